package control

import (
	"slices"
	"time"

	"kumquatwing/internal/api"
	"kumquatwing/internal/fleet"
	"kumquatwing/internal/model"
	"kumquatwing/internal/replica"
	"kumquatwing/internal/settings"
	"kumquatwing/internal/systems"
	"kumquatwing/internal/work"
)

// fleetView is what this process has taken from the fleet's state, as of one
// applied command. It is never changed once stored.
type fleetView struct {
	applied  uint64
	revision uint64
	region   string
	dc       model.DCID
	tree     *settings.Tree
	entry    *api.EntryView
	members  []fleet.Member
	group    fleet.Group
	hasGroup bool
	out      model.DataCentre
	tick     *systems.View
	// longestLease is the longest settings lease of any known revision.
	longestLease time.Duration
	// jobsVersion and grantsVersion are those that tick was built from.
	jobsVersion, grantsVersion uint64
}

func emptyFleetView(cfg *Config) *fleetView {
	tree := settings.NewTree()
	return &fleetView{
		region: cfg.Region,
		dc:     cfg.DC,
		tree:   tree,
		entry:  &api.EntryView{Tree: tree},
		tick:   &systems.View{Region: cfg.Region, DC: cfg.DC, Tree: tree},
	}
}

// scope is the settings scope of this data centre.
func (v *fleetView) scope() settings.Scope {
	return settings.Scope{Region: v.region, DC: v.dc}
}

// regionOf returns the region of a data centre, or "".
func (v *fleetView) regionOf(dc model.DCID) string {
	for _, d := range v.entry.DataCentres {
		if d.ID == dc {
			return d.Region
		}
	}
	return ""
}

// fleetView returns the newest applied state.
func (s *Server) fleetView() *fleetView {
	s.fleet.refresh()
	return s.fleet.view.Load()
}

// fleetChanged delivers a value after the fleet's revision has changed.
func (s *Server) fleetChanged() <-chan struct{} { return s.fleet.changed }

// refresh takes the state over if a command was applied since the last time.
func (f *fleetSide) refresh() {
	node, state := f.member()
	old := f.view.Load()
	if st := node.Status(); st.Applied == old.applied {
		return
	}
	var next *fleetView
	node.View(func(st replica.Status) {
		if st.Applied != old.applied {
			next = f.s.viewOf(state, st.Applied, old)
		}
	})
	if next == nil || !f.storeNewer(old, next) {
		return
	}
	if next.revision != old.revision {
		select {
		case f.changed <- struct{}{}:
		default:
		}
	}
}

// storeNewer stores next unless another goroutine has stored a newer view.
func (f *fleetSide) storeNewer(old, next *fleetView) bool {
	for {
		if f.view.CompareAndSwap(old, next) {
			return true
		}
		old = f.view.Load()
		if old.applied >= next.applied {
			return false
		}
	}
}

// viewOf copies what this process needs. It runs on the group's goroutine; the
// state's reads return values that are never changed afterwards.
func (s *Server) viewOf(state *fleet.State, applied uint64, old *fleetView) *fleetView {
	v := &fleetView{
		applied:  applied,
		revision: state.Revision(),
		region:   s.cfg.Region,
		dc:       s.cfg.DC,
		tree:     state.Tree(),
		entry:    state.EntryView(),
		members:  state.Members(),
	}
	v.group, v.hasGroup = state.Group(s.cfg.DC)
	v.out, _ = state.DataCentre(s.cfg.DC)
	if v.out.Region != "" {
		v.region = v.out.Region
	}
	v.longestLease = old.longestLease
	if old.revision != v.revision || old.applied == 0 {
		v.longestLease = longestLease(state)
	}
	v.tick = newTickView(state, v, old)
	return v
}

// longestLease is the longest term that any leader may have granted under the
// revisions that are remembered.
func longestLease(state *fleet.State) time.Duration {
	longest := longestIn(state.Tree())
	for _, c := range state.History() {
		if c.Declarations != nil {
			longest = max(longest, longestIn(c.Declarations.Tree(settings.NewTree(), c.Revision)))
		}
	}
	return longest
}

func longestIn(t *settings.Tree) time.Duration {
	return t.LongestDuration(settings.SettingsLease)
}

// tickView returns the scheduler's view with what the other data centres told.
func (s *Server) tickView(v *fleetView) *systems.View {
	t := *v.tick
	if size := s.fleetSize.Load(); size != nil {
		t.FleetSize = *size
	}
	if counts := s.elsewhere.Load(); counts != nil {
		t.Jobs = withElsewhere(t.Jobs, *counts)
	}
	return &t
}

// newTickView builds the scheduler's view of the fleet, keeping the parts of old
// that have not changed since.
func newTickView(state *fleet.State, v, old *fleetView) *systems.View {
	t := &systems.View{
		Revision:    v.applied,
		Region:      v.region,
		DC:          v.dc,
		Out:         v.out.Out,
		OutRevision: v.out.Revision,
		Tree:        v.tree,
		Generation:  v.group.Generation,
		Config:      v.revision,
	}
	v.jobsVersion, v.grantsVersion = state.JobsVersionIn(v.dc), state.GrantsVersion()
	sameJobs := old.jobsVersion == v.jobsVersion && old.applied != 0
	sameWorkspaces := old.grantsVersion == v.grantsVersion && old.revision == v.revision && old.applied != 0
	if sameJobs && sameWorkspaces {
		t.Revision = old.tick.Revision
	}
	t.Jobs, t.Workspaces = old.tick.Jobs, old.tick.Workspaces
	if !sameJobs {
		t.Jobs = jobsHere(state, v.dc)
	}
	if !sameWorkspaces {
		t.Workspaces = workspacesHere(state, v.dc)
	}
	return t
}

func jobsHere(state *fleet.State, dc model.DCID) []systems.JobHere {
	var jobs []systems.JobHere
	for _, j := range state.JobsOwnedBy(dc) {
		jobs = append(jobs, jobHere(j, dc))
	}
	return jobs
}

func workspacesHere(state *fleet.State, dc model.DCID) []systems.WorkspaceHere {
	dcs := state.DataCentres()
	var workspaces []systems.WorkspaceHere
	for _, workspace := range state.Workspaces() {
		workspaces = append(workspaces, workspaceHere(state, workspace, dc, dcs))
	}
	return workspaces
}

func jobHere(j *fleet.Job, dc model.DCID) systems.JobHere {
	h := systems.JobHere{Spec: j.Spec, Assignment: j.Assignment, Cancelled: j.Cancelled}
	whole := !slices.ContainsFunc(j.Owners, func(o model.DCID) bool { return o != dc })
	if whole && len(j.Handed) == 0 && len(j.Ended) == 0 {
		return h
	}
	for i, owner := range j.Owners {
		if _, ended := slices.BinarySearch(j.Ended, i); owner != dc || ended {
			continue
		}
		task := work.AdmitTask{Index: i}
		if handed, ok := j.HandedTask(i); ok {
			task.Attempt, task.CheckpointMillis = handed.Attempt, handed.CheckpointMillis
		}
		h.Tasks = append(h.Tasks, task)
	}
	return h
}

func workspaceHere(state *fleet.State, workspace model.Workspace, dc model.DCID, dcs []model.DataCentre) systems.WorkspaceHere {
	g := state.Grant(workspace.ID, dc)
	h := systems.WorkspaceHere{Workspace: workspace, Granted: g.Amount, Target: g.Target, Over: g.Over, Version: g.Version, Asked: g.Want, AskedFloor: g.Floor, AskedHolds: g.Holds}
	for _, other := range dcs {
		if other.ID != dc {
			h.Elsewhere = h.Elsewhere.Add(state.Grant(workspace.ID, other.ID).Holds)
		}
	}
	return h
}
