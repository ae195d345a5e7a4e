package route

import (
	"container/list"
	"time"

	"kumquatwing/internal/model"
	"kumquatwing/internal/verdict"
)

// waiter is a request waiting for a slot.
type waiter struct {
	workspace model.WorkspaceID
	share     int64
	deadline  time.Time
	// avoid lists servers that have failed this request.
	avoid []model.ServerID
	// turn delivers the end of the wait. It has a buffer of one element, so that the
	// sender never blocks.
	turn chan turn
	// seq is the order of arrival.
	seq uint64
	// element is the waiter's place in its flow, nil if it is not in the queue.
	element *list.Element
}

// turn is the end of a waiter's wait: the granted slot or the refusal.
type turn struct {
	slot    *Slot
	refusal *verdict.Refusal
}

// waiting reports whether the waiter is in the queue.
func (w *waiter) waiting() bool { return w.element != nil }

// fairQueue orders waiting requests so that slots go to workspaces in proportion
// to their shares. It implements start-time fair queueing with a cost of one per
// request. Source: Goyal, Vin and Cheng, "Start-time Fair Queueing", 1996.
// Only the first request of each workspace has a tag, so that one that leaves
// without a slot costs its workspace nothing. It is not safe for concurrent use.
type fairQueue struct {
	flows map[model.WorkspaceID]*flow
	// virtualTime is the start tag of the request that was popped last.
	virtualTime float64
	seq         uint64
	size        int
}

// flow holds the waiting requests of one workspace in a fairQueue.
type flow struct {
	// waiters holds values of type *waiter in the order of arrival.
	waiters *list.List
	share   int64
	// start is the start tag of the first waiter in virtual time, and finish the
	// finish tag of the request that was popped last.
	start, finish float64
}

func newFairQueue() *fairQueue { return &fairQueue{flows: map[model.WorkspaceID]*flow{}} }

// first returns the flow's first waiter. The flow must not be empty.
func (f *flow) first() *waiter { return f.waiters.Front().Value.(*waiter) }

// before reports whether the first waiter of f is served before that of g.
func (f *flow) before(g *flow) bool {
	if f.start != g.start {
		return f.start < g.start
	}
	return f.first().seq < g.first().seq
}

// push adds w behind the other requests of its workspace.
func (q *fairQueue) push(w *waiter) {
	f := q.flows[w.workspace]
	if f == nil {
		f = &flow{waiters: list.New()}
		q.flows[w.workspace] = f
	}
	if f.waiters.Len() == 0 {
		f.start = max(q.virtualTime, f.finish)
	}
	f.share = max(1, w.share)
	q.seq++
	w.seq = q.seq
	w.element = f.waiters.PushBack(w)
	q.size++
}

// next returns the flow whose first request is next, or nil if none waits.
func (q *fairQueue) next() *flow {
	var best *flow
	for _, f := range q.flows {
		if f.waiters.Len() > 0 && (best == nil || f.before(best)) {
			best = f
		}
	}
	return best
}

// peek returns the next request without removing it, or nil if there is none.
func (q *fairQueue) peek() *waiter {
	f := q.next()
	if f == nil {
		return nil
	}
	return f.first()
}

// pop removes and returns the next request. The queue must not be empty.
func (q *fairQueue) pop() *waiter {
	f := q.next()
	w := f.first()
	q.virtualTime = f.start
	f.finish = f.start + 1/float64(max(1, w.share))
	f.start = f.finish
	q.delete(f, w)
	return w
}

// remove removes w and reports whether it was still in the queue.
func (q *fairQueue) remove(w *waiter) bool {
	if !w.waiting() {
		return false
	}
	q.delete(q.flows[w.workspace], w)
	return true
}

// delete takes w out of its flow. A flow with no waiting requests is deleted once
// its finish tag is not ahead of the virtual time.
func (q *fairQueue) delete(f *flow, w *waiter) {
	f.waiters.Remove(w.element)
	w.element = nil
	q.size--
	if q.size == 0 {
		clear(q.flows)
		q.virtualTime = 0
		return
	}
	if f.waiters.Len() == 0 && f.finish <= q.virtualTime {
		delete(q.flows, w.workspace)
	}
}

// len returns the number of waiting requests.
func (q *fairQueue) len() int { return q.size }

// waiting returns the number of waiting requests of a workspace.
func (q *fairQueue) waiting(workspace model.WorkspaceID) int {
	if f := q.flows[workspace]; f != nil {
		return f.waiters.Len()
	}
	return 0
}

// ahead estimates how many waiting requests would be served before a new request
// of the workspace.
func (q *fairQueue) ahead(workspace model.WorkspaceID, share int64) int {
	share = max(1, share)
	own := q.waiting(workspace)
	n := own
	for id, f := range q.flows {
		if id != workspace {
			n += min(f.waiters.Len(), int(int64(own+1)*f.share/share))
		}
	}
	return n
}
