package placement

import "kumquatwing/internal/model"

const (
	// ShareReturnMillis is the time within which a workspace that waits gets its
	// share back from workspaces that run preemptible batch work over theirs, in a
	// cell of today's size (50 workers), when stops take up to stopMillis.
	ShareReturnMillis = 60_000
	// reclaimPatienceMillis is how long a job waits before runs are stopped
	// for its workspace's share.
	reclaimPatienceMillis = 10_000
	// reclaimHoldMillis is how long the room of stopped runs is held.
	reclaimHoldMillis = 5000
	// minReclaims and reclaimWorkers bound the tasks for which one plan stops
	// runs: minReclaims, or one per reclaimWorkers workers if that is more. It
	// bounds the cost of a plan.
	minReclaims    = 8
	reclaimWorkers = 50
	// minOutstanding and outstandingWorkers bound in the same way the tasks
	// whose room is on its way. It bounds what is stopped at the same time.
	minOutstanding     = 16
	outstandingWorkers = 2
)

// entitlement is the part of the fleet that a workspace may count on while the workspaces
// that use or want anything are those of active, in shareUnit.
func entitlement(t *WorkspaceView, active int64) int64 {
	return shareUnit / max(active, 1) * max(t.Share, 1)
}

// activeShares sums the shares of the workspaces that use or want anything.
func (d *decider) activeShares() int64 {
	wants := make([]bool, len(d.workspaces))
	for _, j := range d.jobs {
		if j.left > 0 && j.reason != ReasonUnknownWorkspace {
			wants[j.workspace] = true
		}
	}
	var sum int64
	for i := range d.workspaces {
		if wants[i] || !d.workspaces[i].fleet.IsZero() {
			sum += max(d.workspaces[i].view.Share, 1)
		}
	}
	return sum
}

// reclaimShares stops runs of workspaces over their share for workspaces under theirs.
// No workspace is taken below its share, so that it can't ask for the room back.
func (d *decider) reclaimShares() {
	first := len(d.plan.Preempt)
	var r *reclaim
	for _, j := range d.jobs {
		if !d.mayReclaim(j) {
			continue
		}
		if r == nil {
			r = newReclaim(d)
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
	if len(d.plan.Preempt) > first+1 {
		d.dropUnneeded(first, d.spareForAll)
	}
}

// mayReclaim reports whether runs may be stopped for j's workspace's share.
func (d *decider) mayReclaim(j *jobState) bool {
	if isUrgent(j.view) || j.refused || d.s.NowMillis-j.view.ArrivedMillis < reclaimPatienceMillis {
		return false
	}
	if isGang(j.view) {
		return j.reason == ReasonReserved && j.reservation != nil
	}
	return j.reason == ReasonRoom || j.reason == ReasonReserved
}

// reclaim is the return of shares within one plan.
type reclaim struct {
	d      *decider
	budget int
	// entitled and expected are per workspace: its share of the fleet, and what it
	// will hold once the plan's stops and reservations have come about.
	entitled []int64
	expected []model.Resources
	byID     map[model.WorkspaceID]int
}

func newReclaim(d *decider) *reclaim {
	r := &reclaim{
		d:        d,
		budget:   reclaimBudget(d),
		entitled: make([]int64, len(d.workspaces)),
		expected: make([]model.Resources, len(d.workspaces)),
		byID:     make(map[model.WorkspaceID]int, len(d.workspaces)),
	}
	active := d.activeShares()
	for i := range d.workspaces {
		t := &d.workspaces[i]
		r.entitled[i] = entitlement(t.view, active)
		r.expected[i] = t.fleet
		r.byID[t.view.ID] = i
	}
	r.expectReserved()
	r.expectStops()
	return r
}

// reclaimBudget is for how many tasks this plan may stop runs.
func reclaimBudget(d *decider) int {
	workers := len(d.c.workers)
	left := max(minOutstanding, workers/outstandingWorkers)
	for _, j := range d.jobs {
		if !isUrgent(j.view) && !isGang(j.view) {
			left -= j.reservedTasks()
		}
	}
	return max(min(left, max(minReclaims, workers/reclaimWorkers)), 0)
}

// expectReserved counts reserved room as its workspace's.
func (r *reclaim) expectReserved() {
	for _, j := range r.d.jobs {
		n := int64(j.reservedTasks())
		r.expected[j.workspace] = r.expected[j.workspace].Add(j.view.Spec.Size.Scale(n))
	}
}

// expectStops no longer counts runs that stop.
func (r *reclaim) expectStops() {
	runs := r.d.s.Runs
	for i := range runs {
		if runs[i].Stopping {
			r.expectStop(&runs[i])
		}
	}
	for _, e := range r.d.evicted {
		r.expectStop(&runs[e.run])
	}
}

func (r *reclaim) expectStop(run *RunView) {
	if t, ok := r.byID[run.Workspace]; ok {
		r.expected[t] = r.expected[t].Sub(run.Holds)
	}
}

// reclaimFor stops runs for the job's tasks while its workspace is under its share.
func (r *reclaim) reclaimFor(j *jobState) {
	d := r.d
	size := j.view.Spec.Size
	covered := j.reservedTasks()
	for i := range j.view.Pending {
		if j.placed[i] || j.view.Pending[i].NotBeforeMillis > d.s.NowMillis {
			continue
		}
		if covered > 0 {
			covered--
			continue
		}
		if r.budget == 0 || !r.under(j.workspace, size) || !size.Fits(d.limitLeft(j.workspace, false)) {
			return
		}
		r.budget--
		e, ok := d.findEviction(d.shareAsk(j, i), r.mayEvict, noLimit)
		if !ok || !r.staysOver(e) {
			return
		}
		r.count(e, j)
		d.evict(e, j, j.view.Pending[i].ID, d.s.NowMillis+reclaimHoldMillis, evictForShare)
	}
}

// shareAsk is the ask of a task that must not rely on backfill: its room is
// only free later.
func (d *decider) shareAsk(j *jobState, i int) *ask {
	a := *d.ask(j, i)
	a.endsBy = 0
	a.avoid = append(j.endedWorkers(), a.avoid...)
	return &a
}

// under reports whether the workspace stays within its share with size more.
func (r *reclaim) under(workspace int, size model.Resources) bool {
	return dominantShare(r.expected[workspace].Add(size), r.d.total) <= r.entitled[workspace]
}

// mayEvict reports whether the run's workspace keeps its share without it.
func (r *reclaim) mayEvict(run int32) bool {
	view := &r.d.runs.runs[run]
	t, ok := r.byID[view.Workspace]
	return ok && dominantShare(r.expected[t].Sub(view.Holds), r.d.total) >= r.entitled[t]
}

// staysOver reports whether every workspace keeps its share without all of e's runs.
func (r *reclaim) staysOver(e eviction) bool {
	after := make(map[int]model.Resources, 1)
	for _, run := range e.runs {
		view := &r.d.runs.runs[run.run]
		t := r.byID[view.Workspace]
		if _, ok := after[t]; !ok {
			after[t] = r.expected[t]
		}
		after[t] = after[t].Sub(view.Holds)
		if dominantShare(after[t], r.d.total) < r.entitled[t] {
			return false
		}
	}
	return true
}

// count moves the room of e from its workspaces to the job's.
func (r *reclaim) count(e eviction, j *jobState) {
	r.takeOff(e)
	r.expected[j.workspace] = r.expected[j.workspace].Add(j.view.Spec.Size)
}

// takeOff no longer counts the runs of e.
func (r *reclaim) takeOff(e eviction) {
	for _, run := range e.runs {
		view := &r.d.runs.runs[run.run]
		t := r.byID[view.Workspace]
		r.expected[t] = r.expected[t].Sub(view.Holds)
	}
}
