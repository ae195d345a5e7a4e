package placement

import (
	"slices"
	"strings"

	"kumquatwing/internal/model"
)

// Decide makes a plan for s. It is pure: equal snapshots, whatever the order of
// their slices, give equal plans. The plan's placements never need more than
// the workers' Free; room of preempted runs counts only in a later snapshot.
func Decide(s *Snapshot) *Plan { return decide(s, maxTables) }

// decide is Decide with a bound on the number of candidate tables, which has no
// influence on the plan.
func decide(s *Snapshot, tables int) *Plan {
	d := newDecider(normalise(s))
	d.maxTables = tables
	if s.Out {
		d.waitAll(ReasonOut)
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

// decider makes one plan.
type decider struct {
	s          *Snapshot
	c          *cell
	total      model.Resources
	workspaces []standing
	jobs       []*jobState
	// full holds the sizes that fit on no worker; see noFit.
	full map[model.Resources]int64
	// tables rate workers per shape; uses counts how often one was asked for.
	tables    map[shape]*table
	uses      map[shape]int
	maxTables int
	// reservations that stand, in the order of their jobs.
	reservations []reservedFor
	// runs is nil until a step needs it; see index.
	runs *runIndex
	plan *Plan
	// services is nil until a service is placed; see serviceRuns.
	services map[model.JobID][]int32
	// evicted is the run of each preemption of the plan.
	evicted []evictedRun
	// stoppingRooms is nil until it is needed; see stopping.
	stoppingRooms map[model.WorkspaceID]model.Resources
}

func newDecider(s *Snapshot) *decider {
	d := &decider{
		s:      s,
		c:      newCell(s),
		full:   make(map[model.Resources]int64),
		tables: make(map[shape]*table),
		uses:   make(map[shape]int),
		plan:   &Plan{},
	}
	d.total = s.Fleet
	if d.total.IsZero() {
		d.total = d.c.total
	}
	d.workspaces = standings(s.Workspaces, d.total)
	d.addJobs()
	d.addReservations()
	return d
}

// addJobs takes in the jobs of known workspaces; the others wait.
func (d *decider) addJobs() {
	workspaces := make(map[model.WorkspaceID]int, len(d.workspaces))
	for i := range d.workspaces {
		workspaces[d.workspaces[i].view.ID] = i
	}
	states := make([]jobState, len(d.s.Jobs))
	placed := make([]bool, d.pending())
	d.jobs = make([]*jobState, len(d.s.Jobs))
	for i := range d.s.Jobs {
		v := &d.s.Jobs[i]
		j := &states[i]
		j.view = v
		j.left = len(v.Pending)
		j.placed, placed = placed[:j.left:j.left], placed[j.left:]
		d.jobs[i] = j
		t, ok := workspaces[v.Spec.Workspace]
		if !ok {
			j.fail(ReasonUnknownWorkspace)
		}
		j.workspace = t
	}
}

// pending is the number of all pending tasks.
func (d *decider) pending() int {
	n := 0
	for i := range d.s.Jobs {
		n += len(d.s.Jobs[i].Pending)
	}
	return n
}

// addReservations takes in the reservations that have not ended and whose job
// still waits.
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

// waitAll lets every job wait for the same reason.
func (d *decider) waitAll(reason string) {
	for _, j := range d.jobs {
		j.reason = reason
	}
}

// planFull reports whether the plan has reached its bound.
func (d *decider) planFull() bool {
	return d.s.MaxPlacements > 0 && len(d.plan.Place) >= d.s.MaxPlacements
}

// open reports whether j may still get placements from this plan.
func (j *jobState) open() bool { return !j.refused && j.reason == "" && j.left > 0 }

// placeQueue places the jobs of one kind in the order of the queue.
func (d *decider) placeQueue(kind func(*JobView) bool) {
	var jobs []*jobState
	for _, j := range d.jobs {
		if j.open() && kind(j.view) {
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
		if j.open() {
			q.again()
		} else {
			q.drop()
		}
	}
}

// placeReserved gives jobs that hold a reservation the first go at their room.
func (d *decider) placeReserved(kind func(*JobView) bool) {
	for _, j := range d.jobs {
		if j.reservation == nil || !j.open() || !kind(j.view) {
			continue
		}
		// Room that was full for another job may be reserved for this one.
		d.forgetFull()
		d.placeCovered(j)
	}
	d.forgetFull()
}

// placeCovered places as many tasks of j as its reservation covers. Any more
// take their turn in the queue.
func (d *decider) placeCovered(j *jobState) {
	left := j.left - j.reservedTasks()
	d.c.release(j.reservation)
	for j.open() && j.left > left && !d.planFull() {
		d.placeNext(j)
	}
	d.shrinkReservation(j, j.left-left)
}

// placeNext places the job's next task, or all of a gang's; or notes why not.
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
	a := d.ask(j, i)
	if d.knownFull(a) {
		j.fail(ReasonRoom)
		return
	}
	w, explain := d.choose(a, j)
	if w < 0 {
		d.noteFull(a)
		d.failTask(j, a)
		return
	}
	d.place(j, i, w, explain)
}

// failTask gives up on the job, or only on the task when another of the job's
// tasks may still fit where this one has failed before.
func (d *decider) failTask(j *jobState, a *ask) {
	if len(a.avoid) > 0 && j.next < len(j.view.Pending)-1 {
		j.next++
		return
	}
	j.fail(ReasonRoom)
}

// nextTask returns the first pending task that may start now, or -1.
func (d *decider) nextTask(j *jobState) int {
	for ; j.next < len(j.view.Pending); j.next++ {
		if !j.placed[j.next] && j.view.Pending[j.next].NotBeforeMillis <= d.s.NowMillis {
			return j.next
		}
	}
	return -1
}

// ask describes what the job's i-th pending task wants.
func (d *decider) ask(j *jobState, i int) *ask {
	if j.ask.weights == nil {
		d.describe(&j.ask, j.view)
	}
	j.ask.avoid = j.view.Pending[i].Avoid
	return &j.ask
}

// describe fills a with what the tasks of v want.
func (d *decider) describe(a *ask, v *JobView) {
	a.size = v.Spec.Size
	a.urgent = isUrgent(v)
	a.weights = weightsOf(v.Spec.Class)
	if v.Spec.Class == model.ClassService {
		d.describeService(a, v.Spec.ID)
		return
	}
	a.endsBy = endsBy(d.s.NowMillis, v.RunMillis)
}

// place puts the i-th pending task of j on worker w.
func (d *decider) place(j *jobState, i, w int, explain Explanation) {
	size := j.view.Spec.Size
	d.c.take(w, size)
	d.c.countService(&j.ask, w)
	d.workspaces[j.workspace].add(size, d.total)
	j.mark(i)
	d.plan.Place = append(d.plan.Place, Placement{
		Task:    j.view.Pending[i].ID,
		Job:     j.view.Spec.ID,
		Worker:  d.c.workers[w].ID,
		Explain: explain,
	})
}

// finish completes the plan with waits and reservations.
func (d *decider) finish() *Plan {
	d.plan.Reservations = d.standing()
	d.explainWaits()
	return d.plan
}

// normalise returns s with its slices in their order. Runs may stay in any.
func normalise(s *Snapshot) *Snapshot {
	n := *s
	n.Workers = sorted(s.Workers, func(a, b *WorkerView) int { return strings.Compare(string(a.ID), string(b.ID)) })
	n.Workspaces = sorted(s.Workspaces, func(a, b *WorkspaceView) int { return strings.Compare(string(a.ID), string(b.ID)) })
	n.Jobs = sorted(s.Jobs, compareJobs)
	n.Reservations = sorted(s.Reservations, func(a, b *Reservation) int { return strings.Compare(string(a.Job), string(b.Job)) })
	return &n
}

// sorted returns in, or a sorted copy if it is not in order.
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
