package placement

import (
	"cmp"
	"container/heap"
	"strings"

	"kumquatwing/internal/model"
)

// jobState is one job while a plan is made.
type jobState struct {
	view *JobView
	// workspace is the index of the job's workspace in the standings.
	workspace int
	// placed has the pending tasks that the plan places.
	placed []bool
	left   int
	// next is the first pending task not tried yet.
	next   int
	reason string
	// ask is empty until the job is first asked for.
	ask ask
	// reservation is the one that the job holds, if any.
	reservation *Reservation
	// ended is an urgent job's reservation that ended with this plan.
	ended *Reservation
	// paused jobs may not reserve; attempt counts reservations that ended.
	paused  bool
	attempt int
	refused bool
}

// fail notes why the job's tasks wait; the first reason stands.
func (j *jobState) fail(reason string) {
	if j.reason == "" {
		j.reason = reason
	}
}

// mark notes that the i-th pending task is placed.
func (j *jobState) mark(i int) {
	j.placed[i] = true
	j.left--
}

// queue gives the workspaces' jobs in turn: the workspace with the smallest weighted
// dominant share first, and within a workspace the job that arrived first.
type queue struct {
	standings []standing
	// waiting holds, per workspace, its jobs in the order of arrival.
	waiting    [][]*jobState
	workspaces []int
}

// newQueue orders jobs, which come by arrival and whose workspaces index standings.
func newQueue(standings []standing, jobs []*jobState) *queue {
	q := &queue{standings: standings, waiting: make([][]*jobState, len(standings))}
	for _, j := range jobs {
		q.waiting[j.workspace] = append(q.waiting[j.workspace], j)
	}
	for t := range q.waiting {
		if len(q.waiting[t]) > 0 {
			q.workspaces = append(q.workspaces, t)
		}
	}
	heap.Init(q)
	return q
}

// compareJobs orders jobs by arrival, then by id.
func compareJobs(a, b *JobView) int {
	if d := cmp.Compare(a.ArrivedMillis, b.ArrivedMillis); d != 0 {
		return d
	}
	return strings.Compare(string(a.Spec.ID), string(b.Spec.ID))
}

// head is the next job, or nil.
func (q *queue) head() *jobState {
	if len(q.workspaces) == 0 {
		return nil
	}
	return q.waiting[q.workspaces[0]][0]
}

// again puts the head's workspace in its place after a change of its share.
func (q *queue) again() { heap.Fix(q, 0) }

// drop takes the head out.
func (q *queue) drop() {
	t := q.workspaces[0]
	q.waiting[t] = q.waiting[t][1:]
	if len(q.waiting[t]) == 0 {
		heap.Pop(q)
		return
	}
	heap.Fix(q, 0)
}

// Len implements heap.Interface.
func (q *queue) Len() int { return len(q.workspaces) }

// Less implements heap.Interface.
func (q *queue) Less(i, j int) bool {
	a, b := q.workspaces[i], q.workspaces[j]
	if q.standings[a].key != q.standings[b].key {
		return q.standings[a].key < q.standings[b].key
	}
	return a < b
}

// Swap implements heap.Interface.
func (q *queue) Swap(i, j int) { q.workspaces[i], q.workspaces[j] = q.workspaces[j], q.workspaces[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { q.workspaces = append(q.workspaces, x.(int)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := q.workspaces[len(q.workspaces)-1]
	q.workspaces = q.workspaces[:len(q.workspaces)-1]
	return last
}

// isGang reports whether the job's tasks start together.
func isGang(v *JobView) bool { return v.Spec.Class == model.ClassGang }

// isUrgent reports whether the job goes before all others.
func isUrgent(v *JobView) bool { return v.Spec.Class == model.ClassUrgent }
