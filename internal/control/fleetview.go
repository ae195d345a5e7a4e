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

// fleetView is the part of the fleet's state that this process uses, as of one
// applied command. It is immutable once stored.
type fleetView struct {
	applied  uint64
	revision uint64
	region   string
	dc       model.DCID
	tree     *settings.Tree
	// entry is the view that is sent to kqentry processes.
	entry   *api.EntryView
	members []fleet.Member
	// group is the current generation of this data centre's group, if there is one.
	group    fleet.Group
	hasGroup bool
	// dataCentre is the record of this data centre.
	dataCentre model.DataCentre
	// scheduler is the scheduler's input from the fleet's state.
	scheduler *systems.View
	// longestLease is the longest settings lease in the current settings and in those
	// of the remembered revisions.
	longestLease time.Duration
	// jobsVersion and grantsVersion are the versions from which scheduler was built.
	jobsVersion, grantsVersion uint64
}

// emptyFleetView returns the view of a process that has applied no command.
func emptyFleetView(cfg *Config) *fleetView {
	tree := settings.NewTree()
	return &fleetView{
		region:    cfg.Region,
		dc:        cfg.DC,
		tree:      tree,
		entry:     &api.EntryView{Tree: tree},
		scheduler: &systems.View{Region: cfg.Region, DC: cfg.DC, Tree: tree},
	}
}

// scope returns the settings scope of this data centre.
func (v *fleetView) scope() settings.Scope {
	return settings.Scope{Region: v.region, DC: v.dc}
}

// regionOf returns the region of a data centre, or "" if the data centre is unknown.
func (v *fleetView) regionOf(dc model.DCID) string {
	for _, d := range v.entry.DataCentres {
		if d.ID == dc {
			return d.Region
		}
	}
	return ""
}

// fleetView returns the view as of the newest applied command.
func (s *Server) fleetView() *fleetView {
	s.fleet.refresh()
	return s.fleet.view.Load()
}

// revisionChanged returns a channel that receives a value after the fleet's revision
// has changed.
func (s *Server) revisionChanged() <-chan struct{} { return s.fleet.revisionChanged }

// refresh updates the view if a command was applied since the last update.
func (f *fleetGroup) refresh() {
	node, state := f.current()
	old := f.view.Load()
	if st := node.Status(); st.Applied == old.applied {
		return
	}
	var next *fleetView
	node.View(func(st replica.Status) {
		if st.Applied != old.applied {
			next = f.s.newFleetView(state, st.Applied, old)
		}
	})
	if next == nil || !f.storeIfNewer(old, next) {
		return
	}
	if next.revision != old.revision {
		select {
		case f.revisionChanged <- struct{}{}:
		default:
		}
	}
}

// storeIfNewer replaces old by next, unless another goroutine has stored a view at
// least as new. It reports whether it stored next.
func (f *fleetGroup) storeIfNewer(old, next *fleetView) bool {
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

// newFleetView copies what this process needs from the fleet's state. It runs on the
// group's goroutine. The values that state returns are never modified afterwards.
func (s *Server) newFleetView(state *fleet.State, applied uint64, old *fleetView) *fleetView {
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
	v.dataCentre, _ = state.DataCentre(s.cfg.DC)
	if v.dataCentre.Region != "" {
		v.region = v.dataCentre.Region
	}
	v.longestLease = old.longestLease
	if old.revision != v.revision || old.applied == 0 {
		v.longestLease = longestLease(state)
	}
	v.scheduler = newSchedulerView(state, v, old)
	return v
}

// longestLease returns the longest settings lease that any leader may have granted
// under the current settings or those of the remembered revisions.
func longestLease(state *fleet.State) time.Duration {
	longest := longestLeaseIn(state.Tree())
	for _, c := range state.History() {
		if c.Declarations != nil {
			longest = max(longest, longestLeaseIn(c.Declarations.Tree(settings.NewTree(), c.Revision)))
		}
	}
	return longest
}

func longestLeaseIn(t *settings.Tree) time.Duration {
	return t.LongestDuration(settings.SettingsLease)
}

// schedulerView returns v's input of the scheduler, completed with the fleet's size
// and the running tasks that other data centres have reported.
func (s *Server) schedulerView(v *fleetView) *systems.View {
	t := *v.scheduler
	if size := s.fleetSize.Load(); size != nil {
		t.FleetSize = *size
	}
	if counts := s.runningElsewhere.Load(); counts != nil {
		t.Jobs = withRunningElsewhere(t.Jobs, *counts)
	}
	return &t
}

// newSchedulerView returns the scheduler's input from the fleet's state. Jobs and
// workspaces that have not changed since old are taken from it.
func newSchedulerView(state *fleet.State, v, old *fleetView) *systems.View {
	t := &systems.View{
		Revision:             v.applied,
		Region:               v.region,
		DC:                   v.dc,
		OutOfService:         v.dataCentre.Out,
		OutOfServiceRevision: v.dataCentre.Revision,
		Tree:                 v.tree,
		Generation:           v.group.Generation,
		ConfigRevision:       v.revision,
	}
	v.jobsVersion, v.grantsVersion = state.JobsVersionIn(v.dc), state.GrantsVersion()
	sameJobs := old.jobsVersion == v.jobsVersion && old.applied != 0
	sameWorkspaces := old.grantsVersion == v.grantsVersion && old.revision == v.revision && old.applied != 0
	if sameJobs && sameWorkspaces {
		t.Revision = old.scheduler.Revision
	}
	t.Jobs, t.Workspaces = old.scheduler.Jobs, old.scheduler.Workspaces
	if !sameJobs {
		t.Jobs = localJobs(state, v.dc)
	}
	if !sameWorkspaces {
		t.Workspaces = localWorkspaces(state, v.dc)
	}
	return t
}

func localJobs(state *fleet.State, dc model.DCID) []systems.AssignedJob {
	var jobs []systems.AssignedJob
	for _, j := range state.JobsOwnedBy(dc) {
		jobs = append(jobs, localJob(j, dc))
	}
	return jobs
}

func localWorkspaces(state *fleet.State, dc model.DCID) []systems.WorkspaceGrant {
	dcs := state.DataCentres()
	var workspaces []systems.WorkspaceGrant
	for _, workspace := range state.Workspaces() {
		workspaces = append(workspaces, localWorkspace(state, workspace, dc, dcs))
	}
	return workspaces
}

// localJob returns a job with the tasks that dc owns and that have not ended. Tasks
// stays empty if that is all of the job.
func localJob(j *fleet.Job, dc model.DCID) systems.AssignedJob {
	h := systems.AssignedJob{Spec: j.Spec, Assignment: j.Assignment, Cancelled: j.Cancelled}
	ownsAll := !slices.ContainsFunc(j.Owners, func(o model.DCID) bool { return o != dc })
	if ownsAll && len(j.Reassigned) == 0 && len(j.EndedTasks) == 0 {
		return h
	}
	for i, owner := range j.Owners {
		if _, ended := slices.BinarySearch(j.EndedTasks, i); owner != dc || ended {
			continue
		}
		task := work.AdmitTask{Index: i}
		if reassigned, ok := j.ReassignedTask(i); ok {
			task.Attempt, task.CheckpointMillis = reassigned.Attempt, reassigned.CheckpointMillis
		}
		h.Tasks = append(h.Tasks, task)
	}
	return h
}

// localWorkspace returns a workspace with its grant in dc and with its usage in the
// other data centres.
func localWorkspace(state *fleet.State, workspace model.Workspace, dc model.DCID, dcs []model.DataCentre) systems.WorkspaceGrant {
	g := state.Grant(workspace.ID, dc)
	h := systems.WorkspaceGrant{Workspace: workspace, Granted: g.Amount, Target: g.Target, OverLimit: g.Over, Version: g.Version, RequestedDemand: g.Demand, RequestedMinimum: g.MinGrant, RequestedInUse: g.InUse}
	for _, other := range dcs {
		if other.ID != dc {
			h.UsageElsewhere = h.UsageElsewhere.Add(state.Grant(workspace.ID, other.ID).InUse)
		}
	}
	return h
}
