package fleet

import (
	"cmp"
	"maps"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"kumquatwing/internal/codec"
	"kumquatwing/internal/model"
	"kumquatwing/internal/settings"
	"kumquatwing/internal/verdict"
)

// snapshotFormat is the version of the snapshot encoding. It must change whenever
// the encoding does.
const snapshotFormat = 1

// snapshot is the encoded form of State. It has sorted lists instead of maps, so
// that the encoding is deterministic.
type snapshot struct {
	Format       int                   `msgpack:"format"`
	Revision     uint64                `msgpack:"rev"`
	Declarations settings.Declarations `msgpack:"decl"`
	Tree         *settings.Tree        `msgpack:"tree"`
	DataCentres  []model.DataCentre    `msgpack:"dcs"`
	Keys         []model.Key           `msgpack:"keys"`
	History      []Change              `msgpack:"history"`
	Operations   []*operation          `msgpack:"ops"`
	Jobs         []*Job                `msgpack:"jobs"`
	Finished     []*Job                `msgpack:"finished"`
	Expired      []uint64              `msgpack:"spent"`
	Seq          uint64                `msgpack:"seq"`
	JobsVersion  uint64                `msgpack:"jobs_version"`
	Grants       []*Grant              `msgpack:"grants"`
	// LimitRevisions are in the order of Declarations.Workspaces.
	LimitRevisions []uint64 `msgpack:"limit_revs"`
	MinGrantSeq    uint64   `msgpack:"floor_seq"`
	Members        []Member `msgpack:"members"`
	Groups         []*Group `msgpack:"groups"`
}

// Snapshot implements replica.StateMachine. Equal states have identical snapshots.
func (s *State) Snapshot() ([]byte, error) {
	return msgpack.Marshal(&snapshot{
		Format:         snapshotFormat,
		Revision:       s.revision,
		Declarations:   s.declarations,
		Tree:           s.tree,
		DataCentres:    s.DataCentres(),
		Keys:           s.Keys(),
		History:        s.history,
		Operations:     s.operations.order,
		Jobs:           s.jobs.active,
		Finished:       s.FinishedJobs(),
		Expired:        s.jobs.expiredOrder,
		Seq:            s.jobs.seq,
		JobsVersion:    s.jobs.version,
		Grants:         s.sortedGrants(),
		LimitRevisions: sortedValues(s.limitRevisions),
		MinGrantSeq:    s.minGrantSeq,
		Members:        sortedValues(s.members),
		Groups:         sortedValues(s.groups),
	})
}

func sortedValues[K cmp.Ordered, V any](m map[K]V) []V {
	list := make([]V, 0, len(m))
	for _, k := range sortedKeys(m) {
		list = append(list, m[k])
	}
	return list
}

func (s *State) sortedGrants() []*Grant {
	return slices.SortedFunc(maps.Values(s.grants), func(a, b *Grant) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.DC, b.DC))
	})
}

// Restore implements replica.StateMachine. If the snapshot can't be decoded, the state
// stays unchanged.
func (s *State) Restore(b []byte) error {
	var in snapshot
	if err := codec.Unmarshal(b, &in); err != nil {
		return verdict.Refuse(verdict.ReasonInternal, "fleet: snapshot can't be decoded: %v", err)
	}
	if in.Format != snapshotFormat {
		return verdict.Refuse(verdict.ReasonInternal, "fleet: snapshot has format %d, not %d", in.Format, snapshotFormat)
	}
	next := New()
	next.restoreConfiguration(&in)
	next.restoreJobs(&in)
	for _, g := range in.Grants {
		next.grants[grantKey{g.Workspace, g.DC}] = g
	}
	for _, m := range in.Members {
		next.members[m.VM] = m
	}
	for _, g := range in.Groups {
		next.groups[g.DC] = g
	}
	for _, w := range next.Workspaces() {
		next.updateOverLimit(w.ID, totalAmount(next.grantsOf(w.ID)))
	}
	next.minGrantSeq = in.MinGrantSeq
	next.grantsVersion = s.grantsVersion + 1
	*s = *next
	return nil
}

func (s *State) restoreConfiguration(in *snapshot) {
	s.revision = in.Revision
	s.declarations = in.Declarations
	if in.Tree != nil {
		s.tree = in.Tree
	}
	for i, w := range in.Declarations.Workspaces {
		s.workspaces[w.ID] = w
		if i < len(in.LimitRevisions) {
			s.limitRevisions[w.ID] = in.LimitRevisions[i]
		}
	}
	for _, dc := range in.DataCentres {
		s.dcs[dc.ID] = dc
	}
	for _, k := range in.Keys {
		s.keys[k.ID] = k
	}
	s.history = in.History
	for _, op := range in.Operations {
		s.operations.add(op)
	}
}

func (s *State) restoreJobs(in *snapshot) {
	t := &s.jobs
	t.seq = in.Seq
	t.version = in.JobsVersion
	t.active = in.Jobs
	for _, j := range in.Jobs {
		j.Owners = s.internOwners(j.Owners)
		t.updateIndex(nil, j)
		t.byID[j.Spec.ID] = j
		t.unfinished[j.Spec.Workspace]++
	}
	for _, j := range in.Finished {
		t.byID[j.Spec.ID] = j
		t.finished = append(t.finished, j.Spec.ID)
	}
	t.expiredOrder = in.Expired
	for _, h := range in.Expired {
		t.expired[h] = struct{}{}
	}
}
