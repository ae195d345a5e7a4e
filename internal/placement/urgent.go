package placement

import (
	"math"

	"kumquatwing/internal/model"
)

// Bounds of preemption for urgent tasks.
const (
	// urgentHoldMillis is how long the room of preempted runs is held.
	urgentHoldMillis = 5000
	// maxUrgentEvictions bounds the urgent tasks that one plan preempts for.
	maxUrgentEvictions = 64
)

// noLimit is more room than there ever is.
var noLimit = model.Resources{MilliCPU: math.MaxInt64, MemoryMB: math.MaxInt64, Accelerators: math.MaxInt64}

// preemptForUrgent makes room for urgent tasks that found none.
func (d *decider) preemptForUrgent() {
	budget := maxUrgentEvictions
	for _, j := range d.jobs {
		if isUrgent(j.view) && !j.refused && mayPreempt(j.reason) {
			budget = d.preemptFor(j, budget)
		}
	}
	if len(d.plan.Preempt) > 1 {
		d.dropUnneeded(0, d.spareForUrgent)
	}
}

// mayPreempt reports whether stopping runs can help a job that waits for reason.
func mayPreempt(reason string) bool {
	return reason == ReasonRoom || reason == ReasonReserved || reason == ReasonLimit
}

// preemptFor makes room for the job's tasks that wait without reserved room.
func (d *decider) preemptFor(j *jobState, budget int) int {
	covered := j.reservedTasks()
	for i := range j.view.Pending {
		if j.placed[i] || j.view.Pending[i].NotBeforeMillis > d.s.NowMillis {
			continue
		}
		if covered > 0 {
			covered--
			continue
		}
		if budget == 0 {
			return 0
		}
		budget--
		if !d.preemptForTask(j, i) {
			return budget
		}
	}
	return budget
}

// preemptForTask makes room for the i-th pending task of j. While the workspace's
// limit is used up, only the workspace's own runs may be stopped, since only that
// makes room within the limit too.
func (d *decider) preemptForTask(j *jobState, i int) bool {
	a := d.ask(j, i)
	a.avoid = append(j.endedWorkers(), a.avoid...)
	limit, why := noLimit, evictForUrgent
	may := func(int32) bool { return true }
	if left := d.limitLeft(j.workspace, true); !a.size.Fits(left) {
		limit, why = left, evictForLimit
		may = func(run int32) bool { return d.s.Runs[run].Workspace == j.view.Spec.Workspace }
	}
	e, ok := d.findEviction(a, may, limit)
	if ok {
		d.evict(e, j, j.view.Pending[i].ID, d.s.NowMillis+urgentHoldMillis, why)
	}
	return ok
}

// limitLeft is what the workspace's grant will cover once the runs that stop have
// ended, besides the tasks with reserved room: all but gangs', which may be a
// long time off, or only urgent ones.
func (d *decider) limitLeft(workspace int, urgent bool) model.Resources {
	t := &d.workspaces[workspace]
	left := t.view.Grant.Sub(t.here).Add(d.stopping(workspace))
	for _, e := range d.reservations {
		v := e.job.view
		if e.job.workspace != workspace || e.job.reservation != e.reservation || isGang(v) || urgent && !isUrgent(v) {
			continue
		}
		left = left.Sub(v.Spec.Size.Scale(int64(e.job.reservedTasks())))
	}
	return left
}

// stopping is what the workspace's runs that stop hold.
func (d *decider) stopping(workspace int) model.Resources {
	if d.stoppingRooms == nil {
		d.stoppingRooms = make(map[model.WorkspaceID]model.Resources)
		for i := range d.s.Runs {
			if r := &d.s.Runs[i]; r.Stopping {
				d.stoppingRooms[r.Workspace] = d.stoppingRooms[r.Workspace].Add(r.Holds)
			}
		}
	}
	id := d.workspaces[workspace].view.ID
	sum := d.stoppingRooms[id]
	for _, e := range d.evicted {
		if r := &d.s.Runs[e.run]; r.Workspace == id {
			sum = sum.Add(r.Holds)
		}
	}
	return sum
}
