package fleet

import (
	"cmp"
	"maps"
	"slices"

	"kumquatwing/internal/api"
	"kumquatwing/internal/model"
	"kumquatwing/internal/settings"
)

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// Revision returns the configuration revision. Changes of jobs, grants and members
// don't change it.
func (s *State) Revision() uint64 { return s.revision }

// Tree returns the settings tree.
func (s *State) Tree() *settings.Tree { return s.tree }

// Declarations returns the declarations that were applied last.
func (s *State) Declarations() settings.Declarations { return s.declarations }

// History returns the newest configuration changes, oldest first.
func (s *State) History() []Change { return slices.Clone(s.history) }

// Workspaces returns the workspaces, sorted by id.
func (s *State) Workspaces() []model.Workspace { return s.declarations.Workspaces }

// Workspace returns the workspace with the given id.
func (s *State) Workspace(id model.WorkspaceID) (model.Workspace, bool) {
	w, ok := s.workspaces[id]
	return w, ok
}

// DataCentres returns the data centres, sorted by id.
func (s *State) DataCentres() []model.DataCentre {
	list := make([]model.DataCentre, 0, len(s.dcs))
	for _, d := range s.declarations.DataCentres {
		list = append(list, s.dcs[d.ID])
	}
	return list
}

// DataCentre returns the data centre with the given id.
func (s *State) DataCentre(id model.DCID) (model.DataCentre, bool) {
	dc, ok := s.dcs[id]
	return dc, ok
}

// Keys returns all keys, revoked ones included, sorted by id.
func (s *State) Keys() []model.Key {
	list := make([]model.Key, 0, len(s.keys))
	for _, id := range sortedKeys(s.keys) {
		list = append(list, s.keys[id])
	}
	return list
}

// validKeys returns the keys that are not revoked, sorted by id.
func (s *State) validKeys() []model.Key {
	return slices.DeleteFunc(s.Keys(), func(k model.Key) bool { return k.Revoked })
}

// EntryView returns the part of the state that kqentry needs to serve traffic. It
// leaves revoked keys out, since kqentry refuses them like unknown ones.
func (s *State) EntryView() *api.EntryView {
	if s.entryView == nil {
		s.entryView = &api.EntryView{
			Revision:    s.revision,
			Keys:        s.validKeys(),
			Workspaces:  s.Workspaces(),
			Queues:      s.declarations.Queues,
			DataCentres: s.DataCentres(),
			Tree:        s.tree,
		}
	}
	return s.entryView
}

// JobsVersion returns a version that grows with each change of a job, so that a
// reader can skip unchanged jobs.
func (s *State) JobsVersion() uint64 { return s.jobs.version }

// Job returns the job with the given id, unless it is unknown or expired.
func (s *State) Job(id model.JobID) (*Job, bool) {
	j, ok := s.jobs.byID[id]
	return j, ok
}

// ActiveJobs returns the unfinished jobs, oldest first.
func (s *State) ActiveJobs() []*Job { return slices.Clone(s.jobs.active) }

// FinishedJobs returns the finished jobs that have not expired, in the order in
// which they finished.
func (s *State) FinishedJobs() []*Job {
	list := make([]*Job, 0, len(s.jobs.finished))
	for _, id := range s.jobs.finished {
		list = append(list, s.jobs.byID[id])
	}
	return list
}

// JobsVersionIn returns a version that grows with each change of a job that dc owns
// a task of or owned one of before the change. For a data centre with unfinished
// jobs, Restore sets it to the value of JobsVersion.
func (s *State) JobsVersionIn(dc model.DCID) uint64 {
	if d := s.jobs.byDC[dc]; d != nil {
		return d.version
	}
	return 0
}

// JobsOwnedBy returns the unfinished jobs of which dc owns a part that has not
// ended, oldest first. Cancelled jobs are included.
func (s *State) JobsOwnedBy(dc model.DCID) []*Job {
	if d := s.jobs.byDC[dc]; d != nil {
		return slices.Clone(d.jobs)
	}
	return nil
}

// CancelledIn returns the ids of the cancelled jobs that dc has to end, oldest
// first.
func (s *State) CancelledIn(dc model.DCID) []model.JobID {
	var list []model.JobID
	for _, j := range s.JobsOwnedBy(dc) {
		if j.Cancelled {
			list = append(list, j.Spec.ID)
		}
	}
	return list
}

// GrantsVersion returns a version that grows with each command that may have changed
// a grant, so that a reader can skip unchanged grants.
func (s *State) GrantsVersion() uint64 { return s.grantsVersion }

// Grant returns the grant of a workspace in dc; an empty one if dc never requested
// it.
func (s *State) Grant(workspace model.WorkspaceID, dc model.DCID) Grant {
	if g := s.grants[grantKey{workspace, dc}]; g != nil {
		return s.readerCopy(g)
	}
	return Grant{Workspace: workspace, DC: dc}
}

// readerCopy returns a copy of g for a reader, with Over set.
func (s *State) readerCopy(g *Grant) Grant {
	c := *g
	c.Over = s.OverLimit(g.Workspace)
	return c
}

// Recalled returns the grants of which a part is to be returned, sorted by workspace
// and data centre.
func (s *State) Recalled() []Grant {
	var list []Grant
	for _, w := range s.Workspaces() {
		for _, g := range s.grantsOf(w.ID) {
			if g.Target != g.Amount {
				list = append(list, s.readerCopy(g))
			}
		}
	}
	return list
}

// PendingReturns returns the grants of which a part has yet to be returned before
// the limits that were lowered at or before revision are in force.
func (s *State) PendingReturns(revision uint64) []Grant {
	var list []Grant
	for _, g := range s.Recalled() {
		if g.Over && s.limitRevisions[g.Workspace] <= revision {
			list = append(list, g)
		}
	}
	return list
}

// OverLimit reports whether a workspace's grants exceed its limit. That is the case
// after the limit was lowered, until enough has been returned.
func (s *State) OverLimit(workspace model.WorkspaceID) bool { return s.overLimit[workspace] }

// Members returns the registered members, sorted by VM.
func (s *State) Members() []Member {
	list := make([]Member, 0, len(s.members))
	for _, vm := range sortedKeys(s.members) {
		if m := s.members[vm]; m.Incarnation != 0 {
			list = append(list, m)
		}
	}
	return list
}

// Group returns the group of dc, or false if it was never bootstrapped.
func (s *State) Group(dc model.DCID) (Group, bool) {
	if g := s.groups[dc]; g != nil {
		return *g, true
	}
	return Group{}, false
}
