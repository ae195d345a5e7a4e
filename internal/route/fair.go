package route

import (
	"container/heap"
	"time"

	"kumquatwing/internal/model"
)

// waiter is a request that waits for a slot.
type waiter struct {
	workspace model.WorkspaceID
	share     int64
	deadline  time.Time
	// avoid lists servers that have failed this request.
	avoid []model.ServerID
	// slot receives the slot; it holds one element.
	slot chan *Slot
	// start and finish are virtual times, seq breaks ties.
	start, finish float64
	seq           uint64
	// index is the place in the heap, -1 outside of it.
	index int
}

// fairQueue hands out waiting requests so that each workspace's part of the slots
// follows its share. It is start-time fair queueing with a cost of one per
// request. Source: Goyal, Vin and Cheng, "Start-time Fair Queueing", 1996.
// It is not safe for concurrent use.
type fairQueue struct {
	heap       waiterHeap
	workspaces map[model.WorkspaceID]*flow
	// virtual is the start tag of the request handed out last.
	virtual float64
	seq     uint64
}

// flow is one workspace's part of a queue.
type flow struct {
	waiting int
	share   int64
	finish  float64
}

func newFairQueue() *fairQueue { return &fairQueue{workspaces: map[model.WorkspaceID]*flow{}} }

// push adds w at its workspace's place.
func (q *fairQueue) push(w *waiter) {
	f := q.workspaces[w.workspace]
	if f == nil {
		f = &flow{}
		q.workspaces[w.workspace] = f
	}
	f.share = max(1, w.share)
	w.start = max(q.virtual, f.finish)
	w.finish = w.start + 1/float64(f.share)
	f.finish = w.finish
	f.waiting++
	q.seq++
	w.seq = q.seq
	heap.Push(&q.heap, w)
}

// peek returns the next request without taking it, or nil.
func (q *fairQueue) peek() *waiter {
	if len(q.heap) == 0 {
		return nil
	}
	return q.heap[0]
}

// pop takes the next request; the queue must not be empty.
func (q *fairQueue) pop() *waiter {
	w := heap.Pop(&q.heap).(*waiter)
	q.virtual = w.start
	q.left(w)
	return w
}

// remove takes w out; it reports false if w was no longer in the queue.
func (q *fairQueue) remove(w *waiter) bool {
	if w.index < 0 {
		return false
	}
	heap.Remove(&q.heap, w.index)
	q.left(w)
	return true
}

// left forgets a workspace without waiting requests once its tags lie in the past.
func (q *fairQueue) left(w *waiter) {
	f := q.workspaces[w.workspace]
	f.waiting--
	if len(q.heap) == 0 {
		clear(q.workspaces)
		q.virtual = 0
		return
	}
	if f.waiting == 0 && f.finish <= q.virtual {
		delete(q.workspaces, w.workspace)
	}
}

// len returns the number of waiting requests.
func (q *fairQueue) len() int { return len(q.heap) }

// waiting returns the number of a workspace's waiting requests.
func (q *fairQueue) waiting(workspace model.WorkspaceID) int {
	if f := q.workspaces[workspace]; f != nil {
		return f.waiting
	}
	return 0
}

// ahead estimates how many requests are handed out before a new one of workspace.
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
