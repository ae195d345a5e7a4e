package cell

import (
	"kumquatwing/internal/clock"
	"kumquatwing/internal/model"
	"kumquatwing/internal/systems"
	"kumquatwing/internal/work"
)

// fleet is the part of the fleet's state that a data centre depends on, with
// one workspace and one other data centre that runs what it is given at once.
type fleet struct {
	revision   uint64
	generation uint64
	out        bool
	outAt      clock.Instant
	outRev     uint64
	jobs       []*fleetJob

	limit, granted, target, other model.Resources
	version                       uint64
}

type fleetJob struct {
	spec       model.JobSpec
	assignment uint64
	cancelled  bool
	// here lists the tasks owned by the cell, away those that run elsewhere.
	here []work.AdmitTask
	away []work.AdmitTask
}

func (f *fleet) submit(s model.JobSpec) {
	f.revision++
	j := &fleetJob{spec: s, assignment: f.revision}
	for i := range s.Tasks {
		j.here = append(j.here, work.AdmitTask{Index: i})
	}
	f.jobs = append(f.jobs, j)
}

// view returns what the data centre sees.
func (f *fleet) view(old *systems.View) *systems.View {
	v := *old
	v.Generation = f.generation
	v.Revision, v.Out, v.OutRevision = f.revision, f.out, f.outRev
	v.Jobs = nil
	for _, j := range f.jobs {
		if len(j.here) == 0 {
			continue
		}
		h := systems.JobHere{Spec: j.spec, Assignment: j.assignment, Cancelled: j.cancelled, RunningElsewhere: len(j.away)}
		h.Tasks = append(h.Tasks, j.here...)
		v.Jobs = append(v.Jobs, h)
	}
	workspace := model.Workspace{ID: "t1", Share: 1, Limit: f.limit}
	v.Workspaces = []systems.WorkspaceHere{{Workspace: workspace, Granted: f.granted, Target: f.target, Version: f.version}}
	return &v
}

func (f *fleet) setOut(out bool, now clock.Instant) {
	if f.out == out {
		return
	}
	f.revision++
	f.out, f.outAt, f.outRev = out, now, f.revision
}

func (f *fleet) grant(r systems.GrantRequest) {
	most := f.limit.Sub(f.other)
	next := f.granted.Max(r.Want.Min(most))
	if next != f.granted {
		f.version++
		f.granted, f.target = next, next
	}
}

func (f *fleet) giveBack(r systems.GrantReturn) {
	if r.Version == f.version && r.Generation >= f.generation {
		f.version++
		f.granted = r.Keep.Min(f.granted)
		f.target = f.target.Min(f.granted)
	}
}

// takeFree lends to the other data centre what nobody holds.
func (f *fleet) takeFree() { f.other = f.limit.Sub(f.granted) }

func (f *fleet) reassign(r systems.Reassign) {
	for _, j := range f.jobs {
		if j.spec.ID != r.Job || j.assignment != r.Assignment || r.Generation < f.generation {
			continue
		}
		f.revision++
		j.assignment = f.revision
		for _, t := range r.Tasks {
			j.give(t)
		}
	}
}

func (j *fleetJob) give(t work.AdmitTask) {
	for i := range j.here {
		if j.here[i].Index == t.Index {
			j.here = append(j.here[:i:i], j.here[i+1:]...)
			j.away = append(j.away, t)
			return
		}
	}
}

// bringBack returns all tasks that are elsewhere, which have stopped there.
func (f *fleet) bringBack() {
	for _, j := range f.jobs {
		if len(j.away) == 0 {
			continue
		}
		f.revision++
		j.assignment = f.revision
		for _, t := range j.away {
			t.Attempt++
			j.here = append(j.here, t)
		}
		j.away = nil
	}
}

func (f *fleet) finish(r systems.Finish) {
	for i, j := range f.jobs {
		if j.spec.ID == r.Job && len(j.here) <= len(r.Tasks) {
			f.revision++
			f.jobs = append(f.jobs[:i:i], f.jobs[i+1:]...)
			return
		}
	}
}
