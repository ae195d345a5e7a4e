package work

import (
	"cmp"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"kumquatwing/internal/model"
	"kumquatwing/internal/placement/estimate"
)

// image is the encoded form of State, in a fixed order.
type image struct {
	Epoch       model.Epoch   `msgpack:"e"`
	View        uint64        `msgpack:"v"`
	Generation  uint64        `msgpack:"g"`
	Rebuilding  bool          `msgpack:"rb"`
	Out         SetOut        `msgpack:"o"`
	LeaseMillis int64         `msgpack:"l"`
	Seq         uint64        `msgpack:"q"`
	Jobs        []*Job        `msgpack:"j"`
	Tasks       []*Task       `msgpack:"t"`
	Workers     []*Worker     `msgpack:"w"`
	Grants      []grantRow    `msgpack:"gr"`
	Estimates   estimate.Book `msgpack:"es"`
}

type grantRow struct {
	Workspace model.WorkspaceID `msgpack:"t"`
	Grant     Grant             `msgpack:"g"`
}

// Snapshot encodes all tables; equal tables give equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	im := image{
		Epoch: s.epoch, View: s.view, Generation: s.generation, Rebuilding: s.rebuilding, Out: s.out,
		LeaseMillis: s.leaseMillis, Seq: s.seq, Estimates: s.estimates, Jobs: s.order, Workers: s.sorted,
	}
	for _, j := range s.order {
		im.Tasks = append(im.Tasks, j.tasks...)
	}
	for workspace, g := range s.grants {
		im.Grants = append(im.Grants, grantRow{workspace, g})
	}
	slices.SortFunc(im.Grants, func(a, b grantRow) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return msgpack.Marshal(&im)
}

// Restore replaces all tables by a snapshot.
func (s *State) Restore(snapshot []byte) error {
	var im image
	if err := msgpack.Unmarshal(snapshot, &im); err != nil {
		return err
	}
	fresh := New()
	fresh.skip = s.skip
	fresh.epoch, fresh.generation, fresh.rebuilding = im.Epoch, im.Generation, im.Rebuilding
	fresh.view = im.View
	fresh.out, fresh.leaseMillis, fresh.seq = im.Out, im.LeaseMillis, im.Seq
	fresh.sorted = im.Workers
	for _, w := range im.Workers {
		fresh.workers[w.ID] = w
	}
	fresh.order = im.Jobs
	for _, j := range im.Jobs {
		fresh.jobs[j.Spec.ID] = j
	}
	for _, t := range im.Tasks {
		fresh.restoreTask(t)
	}
	for _, g := range im.Grants {
		fresh.grants[g.Workspace] = g.Grant
	}
	fresh.estimates = im.Estimates
	fresh.changes = s.changes
	*s = *fresh
	return nil
}

func (s *State) restoreTask(t *Task) {
	t.job = s.jobs[t.Job]
	s.insertTask(t)
	switch {
	case t.Holds():
		s.hold(t, s.workers[t.Worker], t.Hold)
	case t.State == model.TaskPending:
		t.job.pending++
	default:
		t.job.ended++
	}
}
