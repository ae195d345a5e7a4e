package placement

import (
	"slices"
	"strings"

	"kumquatwing/internal/model"
)

// Decide computes a plan for s. It is pure: snapshots that differ only in the
// order of their slices give equal plans. The placements on a worker never
// exceed its Free; the capacity of preempted tasks becomes usable only in a
// later snapshot, once it is free.
func Decide(s *Snapshot) *Plan { return decide(s, maxTables) }

// decide implements Decide with at most tableLimit candidate tables. The number
// of tables does not influence the plan.
func decide(s *Snapshot, tableLimit int) *Plan {
	d := newDecider(normalise(s))
	d.maxTables = tableLimit
	if s.Out {
		d.failAll(ReasonOut)
		return d.finish()
	}
	d.refuseNeverFitting()
	d.placeReserved(isUrgent)
	d.placeQueue(isUrgent)
	d.preemptForUrgent()
	d.placeReserved(isOrdinary)
	d.placeQueue(isOrdinary)
	d.reclaimShares()
	d.reserveForWaiting()
	return d.finish()
}

func isOrdinary(v *JobView) bool { return !isUrgent(v) }

// decider computes one plan.
type decider struct {
	s *Snapshot
	c *cell
	// total is the size relative to which shares are computed; see Snapshot.Fleet.
	total      model.Resources
	workspaces []workspaceUsage
	// jobs is in the order of Snapshot.Jobs.
	jobs []*jobState
	// unplaceable maps a task size that fits on no worker to the earliest taskRequest.end
	// of the requests that were tried; see knownFull.
	unplaceable map[model.Resources]int64
	// tables holds the candidate table of each shape that has one, lookups the
	// number of times that a missing one was looked up.
	tables    map[shape]*table
	lookups   map[shape]int
	maxTables int
	// reservations holds the active reservations and the pauses of jobs that may
	// not reserve: those of earlier plans by job id, then those of this plan.
	reservations []reservedFor
	// runs is built by the first call of index.
	runs *runIndex
	plan *Plan
	// services is built by the first call of serviceRuns.
	services map[model.JobID][]int32
	// evicted has the running task of each entry of plan.Preempt.
	evicted []evictedRun
	// stoppingRooms is built by the first call of stopping.
	stoppingRooms map[model.WorkspaceID]model.Resources
}

func newDecider(s *Snapshot) *decider {
	d := &decider{
		s:           s,
		c:           newCell(s),
		unplaceable: make(map[model.Resources]int64),
		tables:      make(map[shape]*table),
		lookups:     make(map[shape]int),
		plan:        &Plan{},
	}
	d.total = s.Fleet
	if d.total.IsZero() {
		d.total = d.c.total
	}
	d.workspaces = newWorkspaceUsages(s.Workspaces, d.total)
	d.addJobs()
	d.addReservations()
	return d
}

// addJobs creates the state of each job. Jobs of workspaces that are not in the
// snapshot wait with ReasonUnknownWorkspace.
func (d *decider) addJobs() {
	indexes := make(map[model.WorkspaceID]int, len(d.workspaces))
	for i := range d.workspaces {
		indexes[d.workspaces[i].view.ID] = i
	}
	states := make([]jobState, len(d.s.Jobs))
	placed := make([]bool, d.countPending())
	d.jobs = make([]*jobState, len(d.s.Jobs))
	for i := range d.s.Jobs {
		v := &d.s.Jobs[i]
		j := &states[i]
		j.view = v
		j.left = len(v.Pending)
		j.placed, placed = placed[:j.left:j.left], placed[j.left:]
		d.jobs[i] = j
		index, ok := indexes[v.Spec.Workspace]
		if !ok {
			j.fail(ReasonUnknownWorkspace)
		}
		j.workspace = index
	}
}

// countPending returns the number of pending tasks of all jobs.
func (d *decider) countPending() int {
	n := 0
	for i := range d.s.Jobs {
		n += len(d.s.Jobs[i].Pending)
	}
	return n
}

// addReservations restores the snapshot's reservations of jobs that still have
// pending tasks; see keep. There are none while the data centre is out of service.
func (d *decider) addReservations() {
	byJob := make(map[model.JobID]*jobState, len(d.s.Reservations))
	for i := range d.s.Reservations {
		byJob[d.s.Reservations[i].Job] = nil
	}
	if len(byJob) == 0 {
		return
	}
	for _, j := range d.jobs {
		if _, ok := byJob[j.view.Spec.ID]; ok {
			byJob[j.view.Spec.ID] = j
		}
	}
	for i := range d.s.Reservations {
		r := d.s.Reservations[i]
		j := byJob[r.Job]
		if j == nil || j.left == 0 || d.s.Out {
			continue
		}
		d.keep(j, &r)
	}
}

// failAll sets the same wait reason for every job.
func (d *decider) failAll(reason string) {
	for _, j := range d.jobs {
		j.reason = reason
	}
}

// planFull reports whether the plan has reached Snapshot.MaxPlacements.
func (d *decider) planFull() bool {
	return d.s.MaxPlacements > 0 && len(d.plan.Place) >= d.s.MaxPlacements
}

// placeable reports whether this plan may still place tasks of j.
func (j *jobState) placeable() bool { return !j.refused && j.reason == "" && j.left > 0 }

// placeQueue places tasks of the jobs that match, one task or gang at a time in
// the order of the queue.
func (d *decider) placeQueue(match func(*JobView) bool) {
	var jobs []*jobState
	for _, j := range d.jobs {
		if j.placeable() && match(j.view) {
			jobs = append(jobs, j)
		}
	}
	q := newQueue(d.workspaces, jobs)
	for j := q.head(); j != nil; j = q.head() {
		if d.planFull() {
			j.fail(ReasonPlanFull)
		} else {
			d.placeNext(j)
		}
		if j.placeable() {
			q.fixHead()
		} else {
			q.removeHead()
		}
	}
}

// placeReserved places tasks of the matching jobs that have a reservation, ahead
// of the queue.
func (d *decider) placeReserved(match func(*JobView) bool) {
	for _, j := range d.jobs {
		if j.reservation == nil || !j.placeable() || !match(j.view) {
			continue
		}
		// A size that fitted nowhere for another job may fit in the capacity
		// that is reserved for this one.
		d.resetUnplaceable()
		d.placeCovered(j)
	}
	d.resetUnplaceable()
}

// placeCovered places as many tasks of j as its reservation covers. The job's
// other tasks go through the queue.
func (d *decider) placeCovered(j *jobState) {
	left := j.left - j.reservedTasks()
	d.c.release(j.reservation)
	for j.placeable() && j.left > left && !d.planFull() {
		d.placeNext(j)
	}
	d.shrinkReservation(j, j.left-left)
}

// placeNext places the job's next task, or all tasks of a gang. If it can't, it
// sets the job's wait reason or moves on to the job's next task.
func (d *decider) placeNext(j *jobState) {
	if isGang(j.view) {
		d.placeGang(j)
		return
	}
	i := d.nextTask(j)
	if i < 0 {
		j.fail(ReasonBackoff)
		return
	}
	if !d.workspaces[j.workspace].allows(j.view.Spec.Size) {
		j.fail(ReasonLimit)
		return
	}
	a := d.requestFor(j, i)
	if d.knownFull(a) {
		j.fail(ReasonRoom)
		return
	}
	w, explain := d.choose(a, j)
	if w < 0 {
		d.recordUnplaceable(a)
		d.skipTask(j, a)
		return
	}
	d.place(j, i, w, explain)
}

// skipTask moves on to the job's next task if that may fit on a worker that this
// one has to avoid. Otherwise it sets the job's wait reason to ReasonRoom.
func (d *decider) skipTask(j *jobState, a *taskRequest) {
	if len(a.avoid) > 0 && j.next < len(j.view.Pending)-1 {
		j.next++
		return
	}
	j.fail(ReasonRoom)
}

// nextTask advances j.next to the first task that is neither placed nor in
// back-off and returns its index, or -1 if there is none.
func (d *decider) nextTask(j *jobState) int {
	for ; j.next < len(j.view.Pending); j.next++ {
		if !j.placed[j.next] && j.view.Pending[j.next].NotBeforeMillis <= d.s.NowMillis {
			return j.next
		}
	}
	return -1
}

// requestFor returns the request of the job's i-th pending task. It reuses j.requestFor, so
// the result is valid until the next call for the same job.
func (d *decider) requestFor(j *jobState, i int) *taskRequest {
	if j.request.weights == nil {
		d.describe(&j.request, j.view)
	}
	j.request.avoid = j.view.Pending[i].Avoid
	return &j.request
}

// describe fills in the part of a that is the same for all tasks of v.
func (d *decider) describe(a *taskRequest, v *JobView) {
	a.size = v.Spec.Size
	a.urgent = isUrgent(v)
	a.weights = weightsOf(v.Spec.Class)
	if v.Spec.Class == model.ClassService {
		d.describeService(a, v.Spec.ID)
		return
	}
	a.endsBy = endsBy(d.s.NowMillis, v.RunMillis)
}

// place adds the placement of the i-th pending task of j on worker w to the plan.
func (d *decider) place(j *jobState, i, w int, explain Explanation) {
	size := j.view.Spec.Size
	d.c.take(w, size)
	d.c.countService(&j.request, w)
	d.workspaces[j.workspace].addTask(size, d.total)
	j.markPlaced(i)
	d.plan.Place = append(d.plan.Place, Placement{
		Task:    j.view.Pending[i].ID,
		Job:     j.view.Spec.ID,
		Worker:  d.c.workers[w].ID,
		Explain: explain,
	})
}

// finish adds the waits and reservations to the plan and returns it.
func (d *decider) finish() *Plan {
	d.plan.Reservations = d.standing()
	d.explainWaits()
	return d.plan
}

// normalise returns a copy of s with sorted slices. Runs stay as they are, since
// their order does not influence the plan.
func normalise(s *Snapshot) *Snapshot {
	n := *s
	n.Workers = sorted(s.Workers, func(a, b *WorkerView) int { return strings.Compare(string(a.ID), string(b.ID)) })
	n.Workspaces = sorted(s.Workspaces, func(a, b *WorkspaceView) int { return strings.Compare(string(a.ID), string(b.ID)) })
	n.Jobs = sorted(s.Jobs, compareJobs)
	n.Reservations = sorted(s.Reservations, func(a, b *Reservation) int { return strings.Compare(string(a.Job), string(b.Job)) })
	return &n
}

// sorted returns in if it is sorted, and a sorted copy otherwise.
func sorted[T any](in []T, compare func(a, b *T) int) []T {
	for i := 1; i < len(in); i++ {
		if compare(&in[i-1], &in[i]) > 0 {
			out := slices.Clone(in)
			slices.SortFunc(out, func(a, b T) int { return compare(&a, &b) })
			return out
		}
	}
	return in
}
