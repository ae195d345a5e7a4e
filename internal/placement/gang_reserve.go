package placement

import (
	"cmp"
	"slices"

	"kumquatwing/internal/model"
)

// Parameters of reservations for gangs and large tasks.
const (
	// defaultHoldMillis is the hold time of jobs whose policy sets none.
	defaultHoldMillis = 10_000
	// maxHoldMillis bounds the hold time, which doubles with each attempt.
	maxHoldMillis = 3_600_000
	// largeTaskWaitMillis is how long a large task that belongs to no gang
	// waits before capacity is reserved for it.
	largeTaskWaitMillis = 30_000
	// largeTaskPercent is the percentage of the largest worker from which on a
	// task counts as large. Smaller tasks find free capacity without a
	// reservation.
	largeTaskPercent = 25
	// maxNewReservations is how many jobs one plan may try to reserve for. It
	// bounds the cost of the plan.
	maxNewReservations = 1
	// maxReservedPercent is the percentage of the workers' total size that may
	// be reserved for gangs and large tasks. A single job that needs more may
	// still reserve while there is no other such reservation.
	maxReservedPercent = 10
	// horizonMillis is how far ahead reservations are planned.
	horizonMillis = 24 * 3_600_000
	// firstStepMillis is the first step of the search for a start time. The
	// step doubles until a time with enough capacity is found.
	firstStepMillis = 1000
	// startPrecisionDivisor sets the precision of the search: the start time is
	// found to within 1/startPrecisionDivisor of the time from now until then,
	// or firstStepMillis if that is more. A finer search would gain nothing,
	// since run times are only estimates.
	startPrecisionDivisor = 8
)

// holdMillis returns how long reserved capacity is held past its expected
// start. The time doubles with each attempt, so that a stream of small jobs
// can't starve the job.
func holdMillis(v *JobView, attempt int) int64 {
	hold := v.Policy.GangReservationMillis
	if hold <= 0 {
		hold = defaultHoldMillis
	}
	const maxDoublings = 20
	return min(hold<<min(attempt, maxDoublings), maxHoldMillis)
}

// reserveForWaiting reserves capacity for waiting gangs, and for large tasks
// that have waited long. A reservation covers the whole gang or none of it, and
// no capacity belongs to two reservations; so two gangs can't deadlock, each
// holding a part that the other needs.
func (p *planner) reserveForWaiting() {
	budget := maxNewReservations
	for _, j := range p.reservationCandidates() {
		if budget == 0 {
			return
		}
		budget--
		p.reserveFor(j)
	}
}

// reservationCandidates returns the jobs that may reserve in this plan: of each
// workspace that has no reservation yet, the job that arrived first. They are
// sorted by the weighted dominant share of their workspaces, the smallest
// first.
func (p *planner) reservationCandidates() []*jobState {
	var out []*jobState
	reserving := p.reservingWorkspaces()
	for _, j := range p.jobs {
		if !reserving[j.workspace] && p.mayReserve(j) {
			reserving[j.workspace] = true
			out = append(out, j)
		}
	}
	slices.SortStableFunc(out, func(a, b *jobState) int {
		return int(min(max(p.workspaces[a.workspace].key-p.workspaces[b.workspace].key, -1), 1))
	})
	return out
}

// reservingWorkspaces marks the workspaces that have a reservation for a gang
// or a large task.
func (p *planner) reservingWorkspaces() []bool {
	reserving := make([]bool, len(p.workspaces))
	for _, j := range p.jobs {
		if j.reservation != nil && !isUrgent(j.view) {
			reserving[j.workspace] = true
		}
	}
	return reserving
}

// mayReserve reports whether capacity may be reserved for j in this plan.
func (p *planner) mayReserve(j *jobState) bool {
	if isUrgent(j.view) || j.refused || j.reservationPaused || j.reservation != nil {
		return false
	}
	if j.reason == ReasonNoGangCapacity {
		return true
	}
	waitedMillis := p.s.NowMillis - j.view.ArrivedMillis
	return j.reason == ReasonNoCapacity && waitedMillis >= largeTaskWaitMillis && p.isLarge(j.view.Spec.Size)
}

// isLarge reports whether a task takes more than largeTaskPercent of every
// worker, in at least one dimension.
func (p *planner) isLarge(size model.Resources) bool {
	const fullPercent = 100
	for i := range p.c.workers {
		if size.Scale(fullPercent).Fits(p.c.workers[i].Size.Scale(largeTaskPercent)) {
			return false
		}
	}
	return true
}

// reserveFor reserves capacity for all remaining tasks of a gang, or for one
// task of any other job. If no start time is found within the horizon, the job
// waits for pauseMillis before it tries again.
func (p *planner) reserveFor(j *jobState) {
	n := 1
	if isGang(j.view) {
		n = j.remaining
	}
	if !p.withinReservedBound(j.view.Spec.Size.Scale(int64(n))) {
		return
	}
	a := p.requestFor(j, p.firstWaiting(j))
	start, ok := p.earliestStart(a, n)
	if !ok {
		p.pause(j, j.attempt, pauseMillis)
		return
	}
	until := start + holdMillis(j.view, j.attempt)
	for _, part := range p.chooseReserved(a, n, start) {
		p.reserveCapacity(j, part.worker, part.tasks, start, until)
	}
}

// withinReservedBound reports whether capacity may be reserved in addition to
// what is reserved for gangs and large tasks now. The first reservation may
// have any size.
func (p *planner) withinReservedBound(capacity model.Resources) bool {
	var reserved model.Resources
	for w := range p.c.otherReserved {
		reserved = reserved.Add(p.c.otherReserved[w])
	}
	if reserved.IsZero() {
		return true
	}
	const fullPercent = 100
	return reserved.Add(capacity).Scale(fullPercent).Fits(p.c.total.Scale(maxReservedPercent))
}

// earliestStart returns the time at which n tasks like a are expected to fit
// together, or false if that is beyond the horizon. The step doubles until
// enough tasks fit, then a binary search narrows the last step to the precision
// set by startPrecisionDivisor.
func (p *planner) earliestStart(a *taskRequest, n int) (int64, bool) {
	low, high := p.s.NowMillis, p.s.NowMillis+firstStepMillis
	for step := int64(firstStepMillis); p.slotsAt(a, n, high) < n; step *= 2 {
		if high-p.s.NowMillis > horizonMillis {
			return 0, false
		}
		low, high = high, high+step
	}
	for high-low > max(firstStepMillis, (high-p.s.NowMillis)/startPrecisionDivisor) {
		mid := (low + high) / 2
		if p.slotsAt(a, n, mid) >= n {
			high = mid
		} else {
			low = mid
		}
	}
	return high, true
}

// slotsAt returns how many tasks like a are expected to fit on all workers at
// the given time, at most n.
func (p *planner) slotsAt(a *taskRequest, n int, at int64) int {
	found := 0
	for w := range p.c.workers {
		if found += p.workerSlotsAt(w, a, n-found, at); found >= n {
			break
		}
	}
	return found
}

// workerSlotsAt returns how many tasks like a are expected to fit on worker w
// at the given time, at most n. Running tasks that are expected to have ended
// by then, or that this plan preempts, no longer count.
func (p *planner) workerSlotsAt(w int, a *taskRequest, n int, at int64) int {
	if !p.c.eligible(w, a) {
		return 0
	}
	idx := p.index()
	capacity := p.c.free[w].Sub(p.c.urgentReserved[w]).Sub(p.c.otherReserved[w])
	for i := range idx.byWorker[w] {
		r := &idx.byWorker[w][i]
		if r.ends <= at || idx.stopped[r.run] {
			capacity = capacity.Add(r.allocated)
		}
	}
	return slotsIn(capacity, a.size, n)
}

// workerSlots is a number of tasks on one worker.
type workerSlots struct {
	worker int
	tasks  int
}

// chooseReserved chooses workers for n tasks like a at the given time. Workers
// that fit the most tasks come first, so that few workers are reserved; of
// equals, those with the least free CPU.
func (p *planner) chooseReserved(a *taskRequest, n int, at int64) []workerSlots {
	var chosen []workerSlots
	for w := range p.c.workers {
		if k := p.workerSlotsAt(w, a, n, at); k > 0 {
			chosen = append(chosen, workerSlots{w, k})
		}
	}
	slices.SortStableFunc(chosen, func(a, b workerSlots) int {
		if a.tasks != b.tasks {
			return b.tasks - a.tasks
		}
		return cmp.Compare(p.c.free[a.worker].MilliCPU, p.c.free[b.worker].MilliCPU)
	})
	for i := range chosen {
		chosen[i].tasks = min(chosen[i].tasks, n)
		if n -= chosen[i].tasks; n == 0 {
			return chosen[:i+1]
		}
	}
	return chosen
}
