package work

import (
	"cmp"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"kumquatwing/internal/codec"
	"kumquatwing/internal/model"
	"kumquatwing/internal/placement/estimate"
)

// image is the encoded form of State. Its lists have a fixed order.
type image struct {
	Epoch         model.Epoch        `msgpack:"e"`
	FleetRevision uint64             `msgpack:"v"`
	Generation    uint64             `msgpack:"g"`
	Rebuilding    bool               `msgpack:"rb"`
	OutOfService  SetOutOfService    `msgpack:"o"`
	LeaseMillis   int64              `msgpack:"l"`
	LastSeq       uint64             `msgpack:"q"`
	Jobs          []*Job             `msgpack:"j"`
	Tasks         []*Task            `msgpack:"t"`
	Workers       []*Worker          `msgpack:"w"`
	Grants        []grantRow         `msgpack:"gr"`
	Estimates     estimate.Estimates `msgpack:"es"`
}

// grantRow is the encoded form of a workspace's grant.
type grantRow struct {
	Workspace model.WorkspaceID `msgpack:"t"`
	Grant     Grant             `msgpack:"g"`
}

// Snapshot encodes the whole state. Equal states have equal encodings.
func (s *State) Snapshot() ([]byte, error) {
	im := image{
		Epoch: s.epoch, FleetRevision: s.fleetRevision, Generation: s.generation, Rebuilding: s.rebuilding, OutOfService: s.outOfService,
		LeaseMillis: s.leaseMillis, LastSeq: s.lastSeq, Estimates: s.estimates, Jobs: s.jobsByArrival, Workers: s.workersByID,
	}
	for _, j := range s.jobsByArrival {
		im.Tasks = append(im.Tasks, j.tasks...)
	}
	for workspace, g := range s.grants {
		im.Grants = append(im.Grants, grantRow{workspace, g})
	}
	slices.SortFunc(im.Grants, func(a, b grantRow) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return msgpack.Marshal(&im)
}

// Restore replaces the whole state by that of a snapshot.
func (s *State) Restore(snapshot []byte) error {
	var im image
	if err := codec.Unmarshal(snapshot, &im); err != nil {
		return err
	}
	fresh := New()
	fresh.skip = s.skip
	fresh.epoch, fresh.generation, fresh.rebuilding = im.Epoch, im.Generation, im.Rebuilding
	fresh.fleetRevision = im.FleetRevision
	fresh.outOfService, fresh.leaseMillis, fresh.lastSeq = im.OutOfService, im.LeaseMillis, im.LastSeq
	fresh.workersByID = im.Workers
	for _, w := range im.Workers {
		fresh.workers[w.ID] = w
	}
	fresh.jobsByArrival = im.Jobs
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

// restoreTask adds a task and rebuilds the counts and reservations derived from
// it.
func (s *State) restoreTask(t *Task) {
	t.job = s.jobs[t.Job]
	s.insertTask(t)
	switch {
	case t.Active():
		s.reserve(t, s.workers[t.Worker], t.Reserved)
	case t.State == model.TaskPending:
		t.job.pending++
	default:
		t.job.ended++
	}
}
