package placement

import (
	"cmp"
	"container/heap"
	"strings"

	"kumquatwing/internal/model"
)

// jobState is the state of one job while a plan is computed.
type jobState struct {
	view *JobView
	// workspace is the index of the job's workspace in planner.workspaces.
	workspace int
	// placed marks the pending tasks that the plan places, remaining counts the
	// others.
	placed    []bool
	remaining int
	// next is the index of the first pending task that was not tried yet.
	next int
	// reason is the code for why tasks wait; empty until a placement fails.
	reason string
	// request is filled in by the first call of planner.requestFor.
	request taskRequest
	// reservation is the job's active reservation, or nil.
	reservation *Reservation
	// expiredReservation is the job's reservation that this plan found expired,
	// or nil.
	expiredReservation *Reservation
	// reservationPaused is set while the job may not reserve.
	reservationPaused bool
	// attempt is Reservation.Attempt of the job's next reservation.
	attempt int
	refused bool
}

// setWaitReason sets the reason why the job's tasks wait, unless one is already
// set.
func (j *jobState) setWaitReason(reason string) {
	if j.reason == "" {
		j.reason = reason
	}
}

// markPlaced records that the plan places the i-th pending task.
func (j *jobState) markPlaced(i int) {
	j.placed[i] = true
	j.remaining--
}

// queue orders jobs: the workspace with the smallest weighted dominant share
// comes first, and within a workspace the job that arrived first.
type queue struct {
	usages []workspaceUsage
	// waiting holds the queued jobs of each workspace in the order of arrival.
	waiting [][]*jobState
	// workspaces is a heap of the workspaces with queued jobs.
	workspaces []int
}

// newQueue returns a queue of jobs, which must be in the order of arrival.
// jobState.workspace is an index of usages.
func newQueue(usages []workspaceUsage, jobs []*jobState) *queue {
	q := &queue{usages: usages, waiting: make([][]*jobState, len(usages))}
	for _, j := range jobs {
		q.waiting[j.workspace] = append(q.waiting[j.workspace], j)
	}
	for ws := range q.waiting {
		if len(q.waiting[ws]) > 0 {
			q.workspaces = append(q.workspaces, ws)
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

// head returns the next job, or nil if the queue is empty.
func (q *queue) head() *jobState {
	if len(q.workspaces) == 0 {
		return nil
	}
	return q.waiting[q.workspaces[0]][0]
}

// fixHead restores the order after the share of the head's workspace has changed.
func (q *queue) fixHead() { heap.Fix(q, 0) }

// removeHead removes the next job. Like fixHead, it restores the order.
func (q *queue) removeHead() {
	ws := q.workspaces[0]
	q.waiting[ws] = q.waiting[ws][1:]
	if len(q.waiting[ws]) == 0 {
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
	if q.usages[a].key != q.usages[b].key {
		return q.usages[a].key < q.usages[b].key
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

// isGang reports whether all tasks of the job must start together.
func isGang(v *JobView) bool { return v.Spec.Class == model.ClassGang }

// isUrgent reports whether the job has precedence over all others.
func isUrgent(v *JobView) bool { return v.Spec.Class == model.ClassUrgent }
