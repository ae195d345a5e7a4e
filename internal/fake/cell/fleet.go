package cell

import (
	"kumquatwing/internal/clock"
	"kumquatwing/internal/model"
	"kumquatwing/internal/systems"
	"kumquatwing/internal/work"
)

// fleet simulates the part of the fleet's state that a data centre depends on.
// It has one workspace and one other data centre, which starts the tasks that
// are assigned to it immediately.
type fleet struct {
	revision     uint64
	generation   uint64
	outOfService bool
	outChangedAt clock.Instant // last change of outOfService
	outRevision  uint64
	jobs         []*fleetJob

	limit, granted, target, grantedElsewhere model.Resources
	version                                  uint64
}

type fleetJob struct {
	spec       model.JobSpec
	assignment uint64
	cancelled  bool
	// local lists the tasks assigned to the simulated data centre, remote those
	// that run in the other one.
	local  []work.AdmitTask
	remote []work.AdmitTask
}

func (f *fleet) submit(s model.JobSpec) {
	f.revision++
	j := &fleetJob{spec: s, assignment: f.revision}
	for i := range s.Tasks {
		j.local = append(j.local, work.AdmitTask{Index: i})
	}
	f.jobs = append(f.jobs, j)
}

// view returns a copy of old with the fleet's current state.
func (f *fleet) view(old *systems.View) *systems.View {
	v := *old
	v.Generation = f.generation
	v.Revision, v.Out, v.OutRevision = f.revision, f.outOfService, f.outRevision
	v.Jobs = nil
	for _, j := range f.jobs {
		if len(j.local) == 0 {
			continue
		}
		job := systems.JobHere{Spec: j.spec, Assignment: j.assignment, Cancelled: j.cancelled, RunningElsewhere: len(j.remote)}
		job.Tasks = append(job.Tasks, j.local...)
		v.Jobs = append(v.Jobs, job)
	}
	workspace := model.Workspace{ID: "t1", Share: 1, Limit: f.limit}
	v.Workspaces = []systems.WorkspaceHere{{Workspace: workspace, Granted: f.granted, Target: f.target, Version: f.version}}
	return &v
}

func (f *fleet) setOutOfService(out bool, now clock.Instant) {
	if f.outOfService == out {
		return
	}
	f.revision++
	f.outOfService, f.outChangedAt, f.outRevision = out, now, f.revision
}

func (f *fleet) grant(r systems.GrantRequest) {
	available := f.limit.Sub(f.grantedElsewhere)
	next := f.granted.Max(r.Want.Min(available))
	if next != f.granted {
		f.version++
		f.granted, f.target = next, next
	}
}

func (f *fleet) returnGrant(r systems.GrantReturn) {
	if r.Version == f.version && r.Generation >= f.generation {
		f.version++
		f.granted = r.Keep.Min(f.granted)
		f.target = f.target.Min(f.granted)
	}
}

// grantFreeElsewhere grants the free part of the limit to the other data centre.
func (f *fleet) grantFreeElsewhere() { f.grantedElsewhere = f.limit.Sub(f.granted) }

func (f *fleet) reassign(r systems.Reassign) {
	for _, j := range f.jobs {
		if j.spec.ID != r.Job || j.assignment != r.Assignment || r.Generation < f.generation {
			continue
		}
		f.revision++
		j.assignment = f.revision
		for _, t := range r.Tasks {
			j.moveAway(t)
		}
	}
}

func (j *fleetJob) moveAway(t work.AdmitTask) {
	for i := range j.local {
		if j.local[i].Index == t.Index {
			j.local = append(j.local[:i:i], j.local[i+1:]...)
			j.remote = append(j.remote, t)
			return
		}
	}
}

// returnTasks assigns all remote tasks back to the simulated data centre, after
// they have stopped in the other one.
func (f *fleet) returnTasks() {
	for _, j := range f.jobs {
		if len(j.remote) == 0 {
			continue
		}
		f.revision++
		j.assignment = f.revision
		for _, t := range j.remote {
			t.Attempt++
			j.local = append(j.local, t)
		}
		j.remote = nil
	}
}

func (f *fleet) finish(r systems.JobOutcome) {
	for i, j := range f.jobs {
		if j.spec.ID == r.Job && len(j.local) <= len(r.Tasks) {
			f.revision++
			f.jobs = append(f.jobs[:i:i], f.jobs[i+1:]...)
			return
		}
	}
}
