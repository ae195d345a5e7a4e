package fleet

import (
	"cmp"
	"maps"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"kumquatwing/internal/model"
	"kumquatwing/internal/settings"
	"kumquatwing/internal/verdict"
)

// snapshotFormat changes when the encoding does.
const snapshotFormat = 1

// snapshot is the state as it is encoded: sorted lists, no maps.
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
	Spent        []uint64              `msgpack:"spent"`
	Seq          uint64                `msgpack:"seq"`
	JobsVersion  uint64                `msgpack:"jobs_version"`
	Grants       []*Grant              `msgpack:"grants"`
	// LimitRevisions are in the order of the declared workspaces.
	LimitRevisions []uint64 `msgpack:"limit_revs"`
	FloorSeq       uint64   `msgpack:"floor_seq"`
	Members        []Member `msgpack:"members"`
	Groups         []*Group `msgpack:"groups"`
}

// Snapshot implements replica.Machine. Equal states have equal snapshots.
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
		Spent:          s.jobs.spentOrder,
		Seq:            s.jobs.seq,
		JobsVersion:    s.jobs.version,
		Grants:         s.sortedGrants(),
		LimitRevisions: sortedValues(s.limitRevisions),
		FloorSeq:       s.floorSeq,
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

// Restore implements replica.Machine. A snapshot that can't be read leaves the
// state as it was.
func (s *State) Restore(b []byte) error {
	var in snapshot
	if err := msgpack.Unmarshal(b, &in); err != nil {
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
	for _, t := range next.Workspaces() {
		next.noteOver(t.ID, sumOf(next.grantsOf(t.ID)))
	}
	next.floorSeq = in.FloorSeq
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
	for i, t := range in.Declarations.Workspaces {
		s.workspaces[t.ID] = t
		if i < len(in.LimitRevisions) {
			s.limitRevisions[t.ID] = in.LimitRevisions[i]
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
		j.Owners = s.shared(j.Owners)
		t.index(nil, j)
		t.byID[j.Spec.ID] = j
		t.unfinished[j.Spec.Workspace]++
	}
	for _, j := range in.Finished {
		t.byID[j.Spec.ID] = j
		t.finished = append(t.finished, j.Spec.ID)
	}
	t.spentOrder = in.Spent
	for _, h := range in.Spent {
		t.spent[h] = struct{}{}
	}
}
