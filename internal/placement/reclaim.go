package placement

import "kumquatwing/internal/model"

const (
	// ShareReturnMillis is the time within which a workspace with waiting tasks
	// gets its share back from workspaces that run preemptible batch tasks
	// beyond theirs. It holds for a cell of 50 workers in which a preempted
	// task stops within stopMillis.
	ShareReturnMillis = 60_000
	// reclaimWaitMillis is how long a job waits before running tasks are
	// preempted to give its workspace its share.
	reclaimWaitMillis = 10_000
	// reclaimHoldMillis is how long the capacity of preempted tasks is
	// reserved.
	reclaimHoldMillis = 5000
	// minReclaims and workersPerReclaim bound the tasks for which one plan
	// preempts others: minReclaims, or one per workersPerReclaim workers if
	// that is more. This bounds the cost of a plan.
	minReclaims       = 8
	workersPerReclaim = 50
	// minOutstanding and workersPerOutstanding bound in the same way the tasks
	// that wait with reserved capacity. This bounds how many tasks are being
	// preempted at the same time.
	minOutstanding        = 16
	workersPerOutstanding = 2
)

// entitlement returns the part of the fleet, in shareUnit, to which a workspace
// is entitled. active is the sum of the shares of all workspaces that use or
// wait for capacity.
func entitlement(ws *WorkspaceView, active int64) int64 {
	return shareUnit / max(active, 1) * max(ws.Share, 1)
}

// activeShares returns the sum of the shares of the workspaces that use or wait
// for capacity.
func (p *planner) activeShares() int64 {
	wants := make([]bool, len(p.workspaces))
	for _, j := range p.jobs {
		if j.remaining > 0 && j.reason != ReasonUnknownWorkspace {
			wants[j.workspace] = true
		}
	}
	var sum int64
	for i := range p.workspaces {
		if wants[i] || !p.workspaces[i].fleet.IsZero() {
			sum += max(p.workspaces[i].view.Share, 1)
		}
	}
	return sum
}

// reclaimShares preempts tasks of workspaces above their share for waiting
// tasks of workspaces below theirs. No workspace is taken below its own share,
// so that it can't reclaim the capacity in turn.
func (p *planner) reclaimShares() {
	first := len(p.plan.Preempt)
	var r *reclaimer
	for _, j := range p.jobs {
		if !p.mayReclaim(j) {
			continue
		}
		if r == nil {
			r = newReclaimer(p)
		}
		if r.budget == 0 {
			break
		}
		if isGang(j.view) {
			r.reclaimForGang(j)
		} else {
			r.reclaimFor(j)
		}
	}
	if len(p.plan.Preempt) > first+1 {
		p.dropUnneeded(first, p.spareForAll)
	}
}

// mayReclaim reports whether tasks may be preempted to give j's workspace its
// share.
func (p *planner) mayReclaim(j *jobState) bool {
	if isUrgent(j.view) || j.refused || p.s.NowMillis-j.view.ArrivedMillis < reclaimWaitMillis {
		return false
	}
	if isGang(j.view) {
		return j.reason == ReasonReserved && j.reservation != nil
	}
	return j.reason == ReasonNoCapacity || j.reason == ReasonReserved
}

// reclaimer returns capacity to workspaces below their share, within one plan.
type reclaimer struct {
	planner *planner
	budget  int
	// entitled and expected are indexed by workspace: the part of the fleet to
	// which it is entitled, and what it will hold once the stopping tasks have
	// ended and reserved capacity is in use.
	entitled []int64
	expected []model.Resources
	byID     map[model.WorkspaceID]int
}

func newReclaimer(p *planner) *reclaimer {
	r := &reclaimer{
		planner:  p,
		budget:   reclaimBudget(p),
		entitled: make([]int64, len(p.workspaces)),
		expected: make([]model.Resources, len(p.workspaces)),
		byID:     make(map[model.WorkspaceID]int, len(p.workspaces)),
	}
	active := p.activeShares()
	for i := range p.workspaces {
		ws := &p.workspaces[i]
		r.entitled[i] = entitlement(ws.view, active)
		r.expected[i] = ws.fleet
		r.byID[ws.view.ID] = i
	}
	r.addReserved()
	r.subtractStopping()
	return r
}

// reclaimBudget returns the number of tasks for which this plan may preempt
// others.
func reclaimBudget(p *planner) int {
	workers := len(p.c.workers)
	left := max(minOutstanding, workers/workersPerOutstanding)
	for _, j := range p.jobs {
		if !isUrgent(j.view) && !isGang(j.view) {
			left -= j.reservedTasks()
		}
	}
	return max(min(left, max(minReclaims, workers/workersPerReclaim)), 0)
}

// addReserved adds reserved capacity to what its workspace is expected to hold.
func (r *reclaimer) addReserved() {
	for _, j := range r.planner.jobs {
		n := int64(j.reservedTasks())
		r.expected[j.workspace] = r.expected[j.workspace].Add(j.view.Spec.Size.Scale(n))
	}
}

// subtractStopping subtracts the tasks that are stopping, and those that this
// plan preempts, from what their workspaces are expected to hold.
func (r *reclaimer) subtractStopping() {
	runs := r.planner.s.Runs
	for i := range runs {
		if runs[i].Stopping {
			r.subtractRun(&runs[i])
		}
	}
	for _, v := range r.planner.preempted {
		r.subtractRun(&runs[v.run])
	}
}

func (r *reclaimer) subtractRun(run *RunningTask) {
	if ws, ok := r.byID[run.Workspace]; ok {
		r.expected[ws] = r.expected[ws].Sub(run.Allocated)
	}
}

// reclaimFor preempts running tasks for the waiting tasks of j, as long as j's
// workspace stays within its share.
func (r *reclaimer) reclaimFor(j *jobState) {
	p := r.planner
	size := j.view.Spec.Size
	covered := j.reservedTasks()
	for i := range j.view.Pending {
		if j.placed[i] || j.view.Pending[i].NotBeforeMillis > p.s.NowMillis {
			continue
		}
		if covered > 0 {
			covered--
			continue
		}
		if r.budget == 0 || !r.withinShare(j.workspace, size) || !size.Fits(p.limitLeft(j.workspace, false)) {
			return
		}
		r.budget--
		v, ok := p.findVictims(p.shareRequest(j, i), r.mayPreempt, noLimit)
		if !ok || !r.keepsShares(v) {
			return
		}
		r.transfer(v, j)
		p.preempt(v, j, j.view.Pending[i].ID, p.s.NowMillis+reclaimHoldMillis, reasonShare)
	}
}

// shareRequest returns the task request of j's i-th pending task without an
// expected end, so that no capacity reserved for other jobs counts as usable by
// backfill: the task can start only later, once the preempted tasks have
// stopped. Workers on which the job's last reservation expired are avoided.
func (p *planner) shareRequest(j *jobState, i int) *taskRequest {
	a := *p.requestFor(j, i)
	a.endsBy = 0
	a.avoid = append(j.expiredWorkers(), a.avoid...)
	return &a
}

// withinShare reports whether the workspace stays within its share with size
// more.
func (r *reclaimer) withinShare(workspace int, size model.Resources) bool {
	return dominantShare(r.expected[workspace].Add(size), r.planner.total) <= r.entitled[workspace]
}

// mayPreempt reports whether the running task's workspace still has its share
// without that task.
func (r *reclaimer) mayPreempt(run int32) bool {
	view := &r.planner.runs.runs[run]
	ws, ok := r.byID[view.Workspace]
	return ok && dominantShare(r.expected[ws].Sub(view.Allocated), r.planner.total) >= r.entitled[ws]
}

// keepsShares reports whether every workspace still has its share without all
// tasks of v.
func (r *reclaimer) keepsShares(v victims) bool {
	after := make(map[int]model.Resources, 1)
	for _, run := range v.runs {
		view := &r.planner.runs.runs[run.run]
		ws := r.byID[view.Workspace]
		if _, ok := after[ws]; !ok {
			after[ws] = r.expected[ws]
		}
		after[ws] = after[ws].Sub(view.Allocated)
		if dominantShare(after[ws], r.planner.total) < r.entitled[ws] {
			return false
		}
	}
	return true
}

// transfer subtracts the tasks of v from what their workspaces are expected to
// hold, and adds one task of j to what its workspace is.
func (r *reclaimer) transfer(v victims, j *jobState) {
	r.subtractVictims(v)
	r.expected[j.workspace] = r.expected[j.workspace].Add(j.view.Spec.Size)
}

// subtractVictims subtracts the tasks of v from what their workspaces are
// expected to hold.
func (r *reclaimer) subtractVictims(v victims) {
	for _, run := range v.runs {
		view := &r.planner.runs.runs[run.run]
		ws := r.byID[view.Workspace]
		r.expected[ws] = r.expected[ws].Sub(view.Allocated)
	}
}
