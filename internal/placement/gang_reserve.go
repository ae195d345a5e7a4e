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
	// maxReservedPercent is the percentage of the cell that may be reserved for
	// gangs and large tasks. A single job that needs more may still reserve
	// while there is no other such reservation.
	maxReservedPercent = 10
	// horizonMillis is how far ahead reservations are planned.
	horizonMillis = 24 * 3_600_000
	// firstStepMillis is the first step of the search for a start time. The
	// step doubles until a time with enough capacity is found.
	firstStepMillis = 1000
	// stepsPerStart sets the precision of the search: the start time is found
	// to within 1/stepsPerStart of the time from now until then, or
	// firstStepMillis if that is more. A finer search would gain nothing, since
	// run times are only estimates.
	stepsPerStart = 8
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
func (d *decider) reserveForWaiting() {
	budget := maxNewReservations
	for _, j := range d.reservationCandidates() {
		if budget == 0 {
			return
		}
		budget--
		d.reserveFor(j)
	}
}

// reservationCandidates returns the jobs that may reserve in this plan: of each
// workspace that has no reservation yet, the job that arrived first. They are
// sorted by the weighted dominant share of their workspaces, the smallest
// first.
func (d *decider) reservationCandidates() []*jobState {
	var out []*jobState
	reserving := d.reservingWorkspaces()
	for _, j := range d.jobs {
		if !reserving[j.workspace] && d.mayReserve(j) {
			reserving[j.workspace] = true
			out = append(out, j)
		}
	}
	slices.SortStableFunc(out, func(a, b *jobState) int {
		return int(min(max(d.workspaces[a.workspace].key-d.workspaces[b.workspace].key, -1), 1))
	})
	return out
}

// reservingWorkspaces marks the workspaces that have a reservation for a gang
// or a large task.
func (d *decider) reservingWorkspaces() []bool {
	reserving := make([]bool, len(d.workspaces))
	for _, j := range d.jobs {
		if j.reservation != nil && !isUrgent(j.view) {
			reserving[j.workspace] = true
		}
	}
	return reserving
}

// mayReserve reports whether capacity may be reserved for j in this plan.
func (d *decider) mayReserve(j *jobState) bool {
	if isUrgent(j.view) || j.refused || j.paused || j.reservation != nil {
		return false
	}
	if j.reason == ReasonGang {
		return true
	}
	waitedMillis := d.s.NowMillis - j.view.ArrivedMillis
	return j.reason == ReasonRoom && waitedMillis >= largeTaskWaitMillis && d.isLarge(j.view.Spec.Size)
}

// isLarge reports whether a task takes more than largeTaskPercent of every
// worker, in at least one dimension.
func (d *decider) isLarge(size model.Resources) bool {
	const fullPercent = 100
	for i := range d.c.workers {
		if size.Scale(fullPercent).Fits(d.c.workers[i].Size.Scale(largeTaskPercent)) {
			return false
		}
	}
	return true
}

// reserveFor reserves capacity for all remaining tasks of a gang, or for one
// task of any other job. If no start time is found within the horizon, the job
// waits for pauseMillis before it tries again.
func (d *decider) reserveFor(j *jobState) {
	n := 1
	if isGang(j.view) {
		n = j.left
	}
	if !d.withinReservedBound(j.view.Spec.Size.Scale(int64(n))) {
		return
	}
	a := d.requestFor(j, d.firstWaiting(j))
	start, ok := d.earliestStart(a, n)
	if !ok {
		d.pause(j, j.attempt, pauseMillis)
		return
	}
	until := start + holdMillis(j.view, j.attempt)
	for _, part := range d.chooseReserved(a, n, start) {
		d.reserveCapacity(j, part.worker, part.tasks, start, until)
	}
}

// withinReservedBound reports whether capacity may be reserved in addition to
// what is reserved for gangs and large tasks now. The first reservation may
// have any size.
func (d *decider) withinReservedBound(room model.Resources) bool {
	var held model.Resources
	for w := range d.c.held {
		held = held.Add(d.c.held[w])
	}
	if held.IsZero() {
		return true
	}
	const fullPercent = 100
	return held.Add(room).Scale(fullPercent).Fits(d.c.total.Scale(maxReservedPercent))
}

// earliestStart returns the time at which n tasks like a are expected to fit
// together, or false if that is beyond the horizon. The step doubles until
// enough tasks fit, then a binary search narrows the last step to the precision
// set by stepsPerStart.
func (d *decider) earliestStart(a *taskRequest, n int) (int64, bool) {
	low, high := d.s.NowMillis, d.s.NowMillis+firstStepMillis
	for step := int64(firstStepMillis); d.slotsAt(a, n, high) < n; step *= 2 {
		if high-d.s.NowMillis > horizonMillis {
			return 0, false
		}
		low, high = high, high+step
	}
	for high-low > max(firstStepMillis, (high-d.s.NowMillis)/stepsPerStart) {
		mid := (low + high) / 2
		if d.slotsAt(a, n, mid) >= n {
			high = mid
		} else {
			low = mid
		}
	}
	return high, true
}

// slotsAt returns how many tasks like a are expected to fit on all workers at
// the given time, at most n.
func (d *decider) slotsAt(a *taskRequest, n int, at int64) int {
	found := 0
	for w := range d.c.workers {
		if found += d.workerSlotsAt(w, a, n-found, at); found >= n {
			break
		}
	}
	return found
}

// workerSlotsAt returns how many tasks like a are expected to fit on worker w
// at the given time, at most n. Running tasks that are expected to have ended
// by then, or that this plan preempts, no longer count.
func (d *decider) workerSlotsAt(w int, a *taskRequest, n int, at int64) int {
	if !d.c.takes(w, a) {
		return 0
	}
	idx := d.index()
	room := d.c.free[w].Sub(d.c.urgentHeld[w]).Sub(d.c.held[w])
	for i := range idx.byWorker[w] {
		r := &idx.byWorker[w][i]
		if r.ends <= at || idx.stopped[r.run] {
			room = room.Add(r.holds)
		}
	}
	return slotsIn(room, a.size, n)
}

// workerSlots is a number of tasks on one worker.
type workerSlots struct {
	worker int
	tasks  int
}

// chooseReserved chooses workers for n tasks like a at the given time. Workers
// that fit the most tasks come first, so that few workers are reserved; of
// equals, those with the least free CPU.
func (d *decider) chooseReserved(a *taskRequest, n int, at int64) []workerSlots {
	var chosen []workerSlots
	for w := range d.c.workers {
		if k := d.workerSlotsAt(w, a, n, at); k > 0 {
			chosen = append(chosen, workerSlots{w, k})
		}
	}
	slices.SortStableFunc(chosen, func(a, b workerSlots) int {
		if a.tasks != b.tasks {
			return b.tasks - a.tasks
		}
		return cmp.Compare(d.c.free[a.worker].MilliCPU, d.c.free[b.worker].MilliCPU)
	})
	for i := range chosen {
		chosen[i].tasks = min(chosen[i].tasks, n)
		if n -= chosen[i].tasks; n == 0 {
			return chosen[:i+1]
		}
	}
	return chosen
}
