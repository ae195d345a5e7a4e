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

// Revision is the configuration revision. Jobs, grants and members don't
// change it.
func (s *State) Revision() uint64 { return s.revision }

// Tree returns the settings.
func (s *State) Tree() *settings.Tree { return s.tree }

// Declarations returns what was applied last.
func (s *State) Declarations() settings.Declarations { return s.declarations }

// History lists accepted changes, oldest first.
func (s *State) History() []Change { return slices.Clone(s.history) }

// Workspaces lists the workspaces by id.
func (s *State) Workspaces() []model.Workspace { return s.declarations.Workspaces }

// Workspace returns one workspace.
func (s *State) Workspace(id model.WorkspaceID) (model.Workspace, bool) {
	t, ok := s.workspaces[id]
	return t, ok
}

// DataCentres lists the data centres by id.
func (s *State) DataCentres() []model.DataCentre {
	list := make([]model.DataCentre, 0, len(s.dcs))
	for _, p := range s.declarations.DataCentres {
		list = append(list, s.dcs[p.ID])
	}
	return list
}

// DataCentre returns one data centre.
func (s *State) DataCentre(id model.DCID) (model.DataCentre, bool) {
	dc, ok := s.dcs[id]
	return dc, ok
}

// Keys lists all keys by id, the withdrawn ones too.
func (s *State) Keys() []model.Key {
	list := make([]model.Key, 0, len(s.keys))
	for _, id := range sortedKeys(s.keys) {
		list = append(list, s.keys[id])
	}
	return list
}

// validKeys lists the keys that are not withdrawn, by id.
func (s *State) validKeys() []model.Key {
	return slices.DeleteFunc(s.Keys(), func(k model.Key) bool { return k.Withdrawn })
}

// EntryView returns the part that traffic needs. Withdrawn keys are left out:
// they are refused like unknown ones.
func (s *State) EntryView() *api.EntryView {
	if s.view == nil {
		s.view = &api.EntryView{
			Revision:    s.revision,
			Keys:        s.validKeys(),
			Workspaces:  s.Workspaces(),
			Queues:      s.declarations.Queues,
			DataCentres: s.DataCentres(),
			Tree:        s.tree,
		}
	}
	return s.view
}

// JobsVersion grows with each change of a job, so that a reader can skip an
// unchanged table.
func (s *State) JobsVersion() uint64 { return s.jobs.version }

// Job returns one job.
func (s *State) Job(id model.JobID) (*Job, bool) {
	j, ok := s.jobs.byID[id]
	return j, ok
}

// ActiveJobs lists the unfinished jobs in order of arrival.
func (s *State) ActiveJobs() []*Job { return slices.Clone(s.jobs.active) }

// FinishedJobs lists the finished jobs that are kept, oldest first.
func (s *State) FinishedJobs() []*Job {
	list := make([]*Job, 0, len(s.jobs.finished))
	for _, id := range s.jobs.finished {
		list = append(list, s.jobs.byID[id])
	}
	return list
}

// JobsVersionIn grows with each change of a job that dc owns a task of or has
// owned. It starts anew at the table's version when the state is restored.
func (s *State) JobsVersionIn(dc model.DCID) uint64 {
	if p := s.jobs.places[dc]; p != nil {
		return p.version
	}
	return 0
}

// JobsOwnedBy lists the unfinished jobs of which dc owns a part that has not
// ended, in order of arrival; cancelled ones are among them.
func (s *State) JobsOwnedBy(dc model.DCID) []*Job {
	if p := s.jobs.places[dc]; p != nil {
		return slices.Clone(p.jobs)
	}
	return nil
}

// CancelledIn lists the jobs that dc has to end, in order of arrival.
func (s *State) CancelledIn(dc model.DCID) []model.JobID {
	var list []model.JobID
	for _, j := range s.JobsOwnedBy(dc) {
		if j.Cancelled {
			list = append(list, j.Spec.ID)
		}
	}
	return list
}

// GrantsVersion grows with each command that may have changed a grant, so that a
// reader can skip an unchanged table.
func (s *State) GrantsVersion() uint64 { return s.grantsVersion }

// Grant returns what dc may use of a workspace's limit; nothing if it never asked.
func (s *State) Grant(workspace model.WorkspaceID, dc model.DCID) Grant {
	if g := s.grants[grantKey{workspace, dc}]; g != nil {
		return s.shown(g)
	}
	return Grant{Workspace: workspace, DC: dc}
}

// shown returns a copy of g for a reader.
func (s *State) shown(g *Grant) Grant {
	c := *g
	c.Over = s.OverLimit(g.Workspace)
	return c
}

// Recalled lists the grants that are to be returned in part, by workspace and data
// centre.
func (s *State) Recalled() []Grant {
	var list []Grant
	for _, t := range s.Workspaces() {
		for _, g := range s.grantsOf(t.ID) {
			if g.Target != g.Amount {
				list = append(list, s.shown(g))
			}
		}
	}
	return list
}

// LimitsPending lists the grants that keep limits lowered at or before revision
// from being in force.
func (s *State) LimitsPending(revision uint64) []Grant {
	var list []Grant
	for _, g := range s.Recalled() {
		if g.Over && s.limitRevisions[g.Workspace] <= revision {
			list = append(list, g)
		}
	}
	return list
}

// OverLimit reports whether a workspace's grants exceed its limit, which was
// lowered and is not yet in force.
func (s *State) OverLimit(workspace model.WorkspaceID) bool { return s.over[workspace] }

// Members lists the newest incarnation of each VM, by VM.
func (s *State) Members() []Member {
	list := make([]Member, 0, len(s.members))
	for _, vm := range sortedKeys(s.members) {
		if m := s.members[vm]; m.Incarnation != 0 {
			list = append(list, m)
		}
	}
	return list
}

// Group returns the group of dc; false if it was never founded.
func (s *State) Group(dc model.DCID) (Group, bool) {
	if g := s.groups[dc]; g != nil {
		return *g, true
	}
	return Group{}, false
}
