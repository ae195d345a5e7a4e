package placement

import (
	"math"

	"kumquatwing/internal/model"
)

// Parameters of preemption for urgent tasks.
const (
	// urgentHoldMillis is how long the capacity of preempted tasks is reserved.
	urgentHoldMillis = 5000
	// maxUrgentPreemptions bounds the urgent tasks for which one plan preempts
	// others.
	maxUrgentPreemptions = 64
)

// noLimit exceeds any capacity.
var noLimit = model.Resources{MilliCPU: math.MaxInt64, MemoryMB: math.MaxInt64, Accelerators: math.MaxInt64}

// preemptForUrgent preempts running tasks for the urgent tasks that did not
// find enough free capacity.
func (p *planner) preemptForUrgent() {
	budget := maxUrgentPreemptions
	for _, j := range p.jobs {
		if isUrgent(j.view) && !j.refused && mayPreempt(j.reason) {
			budget = p.preemptFor(j, budget)
		}
	}
	if len(p.plan.Preempt) > 1 {
		p.dropUnneeded(0, p.spareForUrgent)
	}
}

// mayPreempt reports whether preemption can help a job that waits for reason.
func mayPreempt(reason string) bool {
	return reason == ReasonNoCapacity || reason == ReasonReserved || reason == ReasonLimit
}

// preemptFor preempts running tasks for the waiting tasks of j that have no
// reserved capacity. It returns what is left of the budget.
func (p *planner) preemptFor(j *jobState, budget int) int {
	covered := j.reservedTasks()
	for i := range j.view.Pending {
		if j.placed[i] || j.view.Pending[i].NotBeforeMillis > p.s.NowMillis {
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
		if !p.preemptForTask(j, i) {
			return budget
		}
	}
	return budget
}

// preemptForTask preempts running tasks for the i-th pending task of j. While
// the workspace's limit is used up, only its own tasks are preempted, since
// only that makes room within the limit as well.
func (p *planner) preemptForTask(j *jobState, i int) bool {
	a := p.requestFor(j, i)
	a.avoid = append(j.expiredWorkers(), a.avoid...)
	limit, reason := noLimit, reasonUrgent
	allowed := func(int32) bool { return true }
	if left := p.limitLeft(j.workspace, true); !a.size.Fits(left) {
		limit, reason = left, reasonLimit
		allowed = func(run int32) bool { return p.s.Runs[run].Workspace == j.view.Spec.Workspace }
	}
	v, ok := p.findVictims(a, allowed, limit)
	if ok {
		p.preempt(v, j, j.view.Pending[i].ID, p.s.NowMillis+urgentHoldMillis, reason)
	}
	return ok
}

// limitLeft returns what remains of the workspace's grant once the stopping
// tasks have ended and tasks with reserved capacity have started. Reservations
// of gangs don't count, since they may start much later. If urgent is set, only
// reservations of urgent tasks count.
func (p *planner) limitLeft(workspace int, urgent bool) model.Resources {
	ws := &p.workspaces[workspace]
	left := ws.view.Grant.Sub(ws.local).Add(p.stoppingUsage(workspace))
	for _, e := range p.reservations {
		v := e.job.view
		if e.job.workspace != workspace || e.job.reservation != e.reservation || isGang(v) || urgent && !isUrgent(v) {
			continue
		}
		left = left.Sub(v.Spec.Size.Scale(int64(e.job.reservedTasks())))
	}
	return left
}

// stoppingUsage returns what the workspace's tasks hold that are stopping or that
// this plan preempts.
func (p *planner) stoppingUsage(workspace int) model.Resources {
	if p.stoppingCapacity == nil {
		p.stoppingCapacity = make(map[model.WorkspaceID]model.Resources)
		for i := range p.s.Runs {
			if r := &p.s.Runs[i]; r.Stopping {
				p.stoppingCapacity[r.Workspace] = p.stoppingCapacity[r.Workspace].Add(r.Allocated)
			}
		}
	}
	id := p.workspaces[workspace].view.ID
	sum := p.stoppingCapacity[id]
	for _, e := range p.preempted {
		if r := &p.s.Runs[e.run]; r.Workspace == id {
			sum = sum.Add(r.Allocated)
		}
	}
	return sum
}
