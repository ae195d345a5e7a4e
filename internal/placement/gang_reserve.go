package placement

import (
	"cmp"
	"slices"

	"kumquatwing/internal/model"
)

// Bounds of reservations for gangs and large tasks.
const (
	// defaultHoldMillis holds for jobs whose policy says nothing.
	defaultHoldMillis = 10_000
	// maxHoldMillis bounds the hold, which doubles with each attempt.
	maxHoldMillis = 3_600_000
	// largePatienceMillis is how long a large task that is not a gang's waits
	// before room is reserved for it.
	largePatienceMillis = 30_000
	// largePercent is the part of the largest worker from which a task is
	// large: smaller ones find room by themselves.
	largePercent = 25
	// maxNewReservations bounds the cost of one plan.
	maxNewReservations = 1
	// maxReservedPercent bounds the part of the cell that is reserved, unless
	// a single job needs more.
	maxReservedPercent = 10
	// horizonMillis is how far ahead room is planned.
	horizonMillis = 24 * 3_600_000
	// firstStepMillis is the first step of the search for a start; it doubles.
	firstStepMillis = 1000
	// stepsPerStart is the precision of the search: a start is found to a part
	// of the time until it, since run times are no better known.
	stepsPerStart = 8
)

// holdMillis is how long room is held past its expected start: twice as long
// with each attempt, so that no stream of small jobs can starve the job.
func holdMillis(v *JobView, attempt int) int64 {
	hold := v.Policy.GangReservationMillis
	if hold <= 0 {
		hold = defaultHoldMillis
	}
	const maxDoublings = 20
	return min(hold<<min(attempt, maxDoublings), maxHoldMillis)
}

// reserveForWaiting reserves whole sets of room for gangs, and for tasks that
// have waited long. Each reservation covers all it needs and shares no room
// with another, so that two gangs never wait for each other's part.
func (d *decider) reserveForWaiting() {
	budget := maxNewReservations
	for _, j := range d.reservers() {
		if budget == 0 {
			return
		}
		budget--
		d.reserveFor(j)
	}
}

// reservers lists the jobs that may reserve now, in the order of the queue: the
// first of each workspace that holds no reservation yet.
func (d *decider) reservers() []*jobState {
	var out []*jobState
	taken := d.reservingWorkspaces()
	for _, j := range d.jobs {
		if !taken[j.workspace] && d.mayReserve(j) {
			taken[j.workspace] = true
			out = append(out, j)
		}
	}
	slices.SortStableFunc(out, func(a, b *jobState) int {
		return int(min(max(d.workspaces[a.workspace].key-d.workspaces[b.workspace].key, -1), 1))
	})
	return out
}

// reservingWorkspaces marks the workspaces that hold a reservation for a gang or a large
// task.
func (d *decider) reservingWorkspaces() []bool {
	taken := make([]bool, len(d.workspaces))
	for _, j := range d.jobs {
		if j.reservation != nil && !isUrgent(j.view) {
			taken[j.workspace] = true
		}
	}
	return taken
}

// mayReserve reports whether room may be reserved for j in this plan.
func (d *decider) mayReserve(j *jobState) bool {
	if isUrgent(j.view) || j.refused || j.paused || j.reservation != nil {
		return false
	}
	if j.reason == ReasonGang {
		return true
	}
	waited := d.s.NowMillis - j.view.ArrivedMillis
	return j.reason == ReasonRoom && waited >= largePatienceMillis && d.isLarge(j.view.Spec.Size)
}

// isLarge reports whether a task takes a large part of any worker.
func (d *decider) isLarge(size model.Resources) bool {
	const whole = 100
	for i := range d.c.workers {
		if size.Scale(whole).Fits(d.c.workers[i].Size.Scale(largePercent)) {
			return false
		}
	}
	return true
}

// reserveFor reserves room for all tasks of a gang or one task of another job.
func (d *decider) reserveFor(j *jobState) {
	n := 1
	if isGang(j.view) {
		n = j.left
	}
	if !d.underReserveBound(j.view.Spec.Size.Scale(int64(n))) {
		return
	}
	a := d.ask(j, d.firstWaiting(j))
	start, ok := d.earliestStart(a, n)
	if !ok {
		d.pause(j, j.attempt, pauseMillis)
		return
	}
	until := start + holdMillis(j.view, j.attempt)
	for _, part := range d.roomAt(a, n, start) {
		d.reserveRoom(j, part.worker, part.tasks, start, until)
	}
}

// underReserveBound reports whether room may be reserved besides what is.
func (d *decider) underReserveBound(room model.Resources) bool {
	var held model.Resources
	for w := range d.c.held {
		held = held.Add(d.c.held[w])
	}
	if held.IsZero() {
		return true
	}
	const whole = 100
	return held.Add(room).Scale(whole).Fits(d.c.total.Scale(maxReservedPercent))
}

// earliestStart finds when n tasks of a are expected to fit together, to the
// precision of the search's last step.
func (d *decider) earliestStart(a *ask, n int) (int64, bool) {
	low, high := d.s.NowMillis, d.s.NowMillis+firstStepMillis
	for step := int64(firstStepMillis); d.slotsAt(a, n, high) < n; step *= 2 {
		if high-d.s.NowMillis > horizonMillis {
			return 0, false
		}
		low, high = high, high+step
	}
	for high-low > max(firstStepMillis, (high-d.s.NowMillis)/stepsPerStart) {
		middle := (low + high) / 2
		if d.slotsAt(a, n, middle) >= n {
			high = middle
		} else {
			low = middle
		}
	}
	return high, true
}

// slotsAt is how many tasks of a are expected to fit at a time, at most n.
func (d *decider) slotsAt(a *ask, n int, at int64) int {
	found := 0
	for w := range d.c.workers {
		if found += d.futureSlots(w, a, n-found, at); found >= n {
			break
		}
	}
	return found
}

// futureSlots is slotsAt for worker w.
func (d *decider) futureSlots(w int, a *ask, n int, at int64) int {
	if !d.c.takes(w, a) {
		return 0
	}
	x := d.index()
	room := d.c.free[w].Sub(d.c.urgentHeld[w]).Sub(d.c.held[w])
	for i := range x.byWorker[w] {
		r := &x.byWorker[w][i]
		if r.ends <= at || x.stopped[r.run] {
			room = room.Add(r.holds)
		}
	}
	return slotsIn(room, a.size, n)
}

// reservedPart is room for tasks on one worker.
type reservedPart struct {
	worker int
	tasks  int
}

// roomAt chooses workers that hold n tasks of a at a time, those with room for
// the most tasks first, so that few workers are kept from other jobs.
func (d *decider) roomAt(a *ask, n int, at int64) []reservedPart {
	var parts []reservedPart
	for w := range d.c.workers {
		if k := d.futureSlots(w, a, n, at); k > 0 {
			parts = append(parts, reservedPart{w, k})
		}
	}
	slices.SortStableFunc(parts, func(a, b reservedPart) int {
		if a.tasks != b.tasks {
			return b.tasks - a.tasks
		}
		return cmp.Compare(d.c.free[a.worker].MilliCPU, d.c.free[b.worker].MilliCPU)
	})
	for i := range parts {
		parts[i].tasks = min(parts[i].tasks, n)
		if n -= parts[i].tasks; n == 0 {
			return parts[:i+1]
		}
	}
	return parts
}
