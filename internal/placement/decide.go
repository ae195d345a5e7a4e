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
	p := newPlanner(normalise(s))
	p.maxTables = tableLimit
	if s.OutOfService {
		p.setAllWaitReasons(ReasonOutOfService)
		return p.finish()
	}
	p.refuseNeverFitting()
	p.placeReserved(isUrgent)
	p.placeQueue(isUrgent)
	p.preemptForUrgent()
	p.placeReserved(isOrdinary)
	p.placeQueue(isOrdinary)
	p.reclaimShares()
	p.reserveForWaiting()
	return p.finish()
}

func isOrdinary(v *JobView) bool { return !isUrgent(v) }

// planner computes one plan.
type planner struct {
	s *Snapshot
	c *workerCapacity
	// total is the size relative to which shares are computed; see Snapshot.Fleet.
	total      model.Resources
	workspaces []workspaceUsage
	// jobs is in the order of Snapshot.Jobs.
	jobs []*jobState
	// unplaceable maps a task size that fits on no worker to the earliest
	// taskRequest.end of the requests that were tried; see knownUnplaceable.
	unplaceable map[model.Resources]int64
	// tables holds the candidate table of each shape that has one, lookups the
	// number of times that a missing one was looked up.
	tables    map[shape]*table
	lookups   map[shape]int
	maxTables int
	// reservations holds the active reservations and the pauses of jobs that may
	// not reserve: those of earlier plans by job id, then those of this plan.
	reservations []jobReservation
	// runs is built by the first call of index.
	runs *runIndex
	plan *Plan
	// services is built by the first call of serviceRuns.
	services map[model.JobID][]int32
	// preempted has the running task of each entry of plan.Preempt.
	preempted []preemptedTask
	// stoppingCapacity is built by the first call of stoppingUsage.
	stoppingCapacity map[model.WorkspaceID]model.Resources
}

func newPlanner(s *Snapshot) *planner {
	p := &planner{
		s:           s,
		c:           newWorkerCapacity(s),
		unplaceable: make(map[model.Resources]int64),
		tables:      make(map[shape]*table),
		lookups:     make(map[shape]int),
		plan:        &Plan{},
	}
	p.total = s.Fleet
	if p.total.IsZero() {
		p.total = p.c.total
	}
	p.workspaces = newWorkspaceUsages(s.Workspaces, p.total)
	p.addJobs()
	p.addReservations()
	return p
}

// addJobs creates the state of each job. Jobs of workspaces that are not in the
// snapshot wait with ReasonUnknownWorkspace.
func (p *planner) addJobs() {
	indexes := make(map[model.WorkspaceID]int, len(p.workspaces))
	for i := range p.workspaces {
		indexes[p.workspaces[i].view.ID] = i
	}
	states := make([]jobState, len(p.s.Jobs))
	placed := make([]bool, p.countPending())
	p.jobs = make([]*jobState, len(p.s.Jobs))
	for i := range p.s.Jobs {
		v := &p.s.Jobs[i]
		j := &states[i]
		j.view = v
		j.remaining = len(v.Pending)
		j.placed, placed = placed[:j.remaining:j.remaining], placed[j.remaining:]
		p.jobs[i] = j
		index, ok := indexes[v.Spec.Workspace]
		if !ok {
			j.setWaitReason(ReasonUnknownWorkspace)
		}
		j.workspace = index
	}
}

// countPending returns the number of pending tasks of all jobs.
func (p *planner) countPending() int {
	n := 0
	for i := range p.s.Jobs {
		n += len(p.s.Jobs[i].Pending)
	}
	return n
}

// addReservations restores the snapshot's reservations of jobs that still have
// pending tasks; see restoreReservation. There are none while the data centre
// is out of service.
func (p *planner) addReservations() {
	byJob := make(map[model.JobID]*jobState, len(p.s.Reservations))
	for i := range p.s.Reservations {
		byJob[p.s.Reservations[i].Job] = nil
	}
	if len(byJob) == 0 {
		return
	}
	for _, j := range p.jobs {
		if _, ok := byJob[j.view.Spec.ID]; ok {
			byJob[j.view.Spec.ID] = j
		}
	}
	for i := range p.s.Reservations {
		r := p.s.Reservations[i]
		j := byJob[r.Job]
		if j == nil || j.remaining == 0 || p.s.OutOfService {
			continue
		}
		p.restoreReservation(j, &r)
	}
}

// setAllWaitReasons sets the same wait reason for every job.
func (p *planner) setAllWaitReasons(reason string) {
	for _, j := range p.jobs {
		j.reason = reason
	}
}

// planFull reports whether the plan has reached Snapshot.MaxPlacements.
func (p *planner) planFull() bool {
	return p.s.MaxPlacements > 0 && len(p.plan.Place) >= p.s.MaxPlacements
}

// placeable reports whether this plan may still place tasks of j.
func (j *jobState) placeable() bool { return !j.refused && j.reason == "" && j.remaining > 0 }

// placeQueue places tasks of the jobs that match, one task or gang at a time in
// the order of the queue.
func (p *planner) placeQueue(match func(*JobView) bool) {
	var jobs []*jobState
	for _, j := range p.jobs {
		if j.placeable() && match(j.view) {
			jobs = append(jobs, j)
		}
	}
	q := newQueue(p.workspaces, jobs)
	for j := q.head(); j != nil; j = q.head() {
		if p.planFull() {
			j.setWaitReason(ReasonPlanFull)
		} else {
			p.placeNext(j)
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
func (p *planner) placeReserved(match func(*JobView) bool) {
	for _, j := range p.jobs {
		if j.reservation == nil || !j.placeable() || !match(j.view) {
			continue
		}
		// A size that fitted nowhere for another job may fit in the capacity
		// that is reserved for this one.
		p.resetUnplaceable()
		p.placeCovered(j)
	}
	p.resetUnplaceable()
}

// placeCovered places as many tasks of j as its reservation covers. The job's
// other tasks go through the queue.
func (p *planner) placeCovered(j *jobState) {
	left := j.remaining - j.reservedTasks()
	p.c.release(j.reservation)
	for j.placeable() && j.remaining > left && !p.planFull() {
		p.placeNext(j)
	}
	p.shrinkReservation(j, j.remaining-left)
}

// placeNext places the job's next task, or all tasks of a gang. If it can't, it
// sets the job's wait reason or moves on to the job's next task.
func (p *planner) placeNext(j *jobState) {
	if isGang(j.view) {
		p.placeGang(j)
		return
	}
	i := p.nextTask(j)
	if i < 0 {
		j.setWaitReason(ReasonBackoff)
		return
	}
	if !p.workspaces[j.workspace].allows(j.view.Spec.Size) {
		j.setWaitReason(ReasonLimit)
		return
	}
	a := p.requestFor(j, i)
	if p.knownUnplaceable(a) {
		j.setWaitReason(ReasonNoCapacity)
		return
	}
	w, explain := p.choose(a, j)
	if w < 0 {
		p.recordUnplaceable(a)
		p.skipTask(j, a)
		return
	}
	p.place(j, i, w, explain)
}

// skipTask moves on to the job's next task if that may fit on a worker that this
// one has to avoid. Otherwise it sets the job's wait reason to ReasonNoCapacity.
func (p *planner) skipTask(j *jobState, a *taskRequest) {
	if len(a.avoid) > 0 && j.next < len(j.view.Pending)-1 {
		j.next++
		return
	}
	j.setWaitReason(ReasonNoCapacity)
}

// nextTask advances j.next to the first task that is neither placed nor in
// back-off and returns its index, or -1 if there is none.
func (p *planner) nextTask(j *jobState) int {
	for ; j.next < len(j.view.Pending); j.next++ {
		if !j.placed[j.next] && j.view.Pending[j.next].NotBeforeMillis <= p.s.NowMillis {
			return j.next
		}
	}
	return -1
}

// requestFor returns the request of the job's i-th pending task. It reuses
// j.request, so the result is valid until the next call for the same job.
func (p *planner) requestFor(j *jobState, i int) *taskRequest {
	if j.request.weights == nil {
		p.describe(&j.request, j.view)
	}
	j.request.avoid = j.view.Pending[i].Avoid
	return &j.request
}

// describe fills in the part of a that is the same for all tasks of v.
func (p *planner) describe(a *taskRequest, v *JobView) {
	a.size = v.Spec.Size
	a.urgent = isUrgent(v)
	a.weights = weightsOf(v.Spec.Class)
	if v.Spec.Class == model.ClassService {
		p.countServiceTasks(a, v.Spec.ID)
		return
	}
	a.endsBy = endsBy(p.s.NowMillis, v.RunMillis)
}

// place adds the placement of the i-th pending task of j on worker w to the plan.
func (p *planner) place(j *jobState, i, w int, explain Explanation) {
	size := j.view.Spec.Size
	p.c.allocate(w, size)
	p.c.countService(&j.request, w)
	p.workspaces[j.workspace].addTask(size, p.total)
	j.markPlaced(i)
	p.plan.Place = append(p.plan.Place, Placement{
		Task:    j.view.Pending[i].ID,
		Job:     j.view.Spec.ID,
		Worker:  p.c.workers[w].ID,
		Explain: explain,
	})
}

// finish adds the waits and reservations to the plan and returns it.
func (p *planner) finish() *Plan {
	p.plan.Reservations = p.activeReservations()
	p.explainWaits()
	return p.plan
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
