package route

import (
	"container/heap"
	"time"

	"kumquatwing/internal/model"
)

// waiter is a request waiting for a slot.
type waiter struct {
	workspace model.WorkspaceID
	share     int64
	deadline  time.Time
	// avoid lists servers that have failed this request.
	avoid []model.ServerID
	// slot delivers the granted slot, or nil if the pool is closed. It has a buffer
	// of one element, so that the sender never blocks.
	slot chan *Slot
	// start and finish are the request's tags in virtual time. seq is the order of
	// arrival and breaks ties.
	start, finish float64
	seq           uint64
	// index is the position in the heap, -1 if the waiter is not in it.
	index int
}

// fairQueue orders waiting requests so that slots go to workspaces in proportion
// to their shares. It implements start-time fair queueing with a cost of one per
// request. Source: Goyal, Vin and Cheng, "Start-time Fair Queueing", 1996.
// It is not safe for concurrent use.
type fairQueue struct {
	heap       waiterHeap
	workspaces map[model.WorkspaceID]*flow
	// virtualTime is the start tag of the request that was popped last.
	virtualTime float64
	seq         uint64
}

// flow is the state of one workspace in a fairQueue.
type flow struct {
	waiting int
	share   int64
	// finish is the finish tag of the newest request.
	finish float64
}

func newFairQueue() *fairQueue { return &fairQueue{workspaces: map[model.WorkspaceID]*flow{}} }

// push computes the tags of w from its workspace's share and adds it.
func (q *fairQueue) push(w *waiter) {
	f := q.workspaces[w.workspace]
	if f == nil {
		f = &flow{}
		q.workspaces[w.workspace] = f
	}
	f.share = max(1, w.share)
	w.start = max(q.virtualTime, f.finish)
	w.finish = w.start + 1/float64(f.share)
	f.finish = w.finish
	f.waiting++
	q.seq++
	w.seq = q.seq
	heap.Push(&q.heap, w)
}

// peek returns the next request without removing it, or nil if there is none.
func (q *fairQueue) peek() *waiter {
	if len(q.heap) == 0 {
		return nil
	}
	return q.heap[0]
}

// pop removes and returns the next request. The queue must not be empty.
func (q *fairQueue) pop() *waiter {
	w := heap.Pop(&q.heap).(*waiter)
	q.virtualTime = w.start
	q.removed(w)
	return w
}

// remove removes w and reports whether it was still in the queue.
func (q *fairQueue) remove(w *waiter) bool {
	if w.index < 0 {
		return false
	}
	heap.Remove(&q.heap, w.index)
	q.removed(w)
	return true
}

// removed updates the flow of w after w was taken out of the heap. A flow with
// no waiting requests is deleted once its finish tag is not ahead of the virtual
// time.
func (q *fairQueue) removed(w *waiter) {
	f := q.workspaces[w.workspace]
	f.waiting--
	if len(q.heap) == 0 {
		clear(q.workspaces)
		q.virtualTime = 0
		return
	}
	if f.waiting == 0 && f.finish <= q.virtualTime {
		delete(q.workspaces, w.workspace)
	}
}

// len returns the number of waiting requests.
func (q *fairQueue) len() int { return len(q.heap) }

// waiting returns the number of waiting requests of a workspace.
func (q *fairQueue) waiting(workspace model.WorkspaceID) int {
	if f := q.workspaces[workspace]; f != nil {
		return f.waiting
	}
	return 0
}

// ahead estimates how many waiting requests would be served before a new request
// of the workspace.
func (q *fairQueue) ahead(workspace model.WorkspaceID, share int64) int {
	share = max(1, share)
	own := q.waiting(workspace)
	n := own
	for id, f := range q.workspaces {
		if id != workspace {
			n += min(f.waiting, int(int64(own+1)*f.share/share))
		}
	}
	return n
}

// waiterHeap orders waiters by start tag, then by arrival.
type waiterHeap []*waiter

func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].seq < h[j].seq
}

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waiterHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.index = -1
	return w
}
