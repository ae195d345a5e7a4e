package ledger

import "container/heap"

// expiryHeap is a min-heap of records, ordered by expiry time and then by id.
type expiryHeap []*record

func (h expiryHeap) Len() int { return len(h) }

func (h expiryHeap) Less(i, j int) bool {
	if h[i].Expires != h[j].Expires {
		return h[i].Expires < h[j].Expires
	}
	return h[i].ID < h[j].ID
}

func (h expiryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(*record)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

func (h *expiryHeap) push(r *record) { heap.Push(h, r) }

func (h *expiryHeap) pop() *record { return heap.Pop(h).(*record) }
