package placement

import "math"

const (
	// maxTables limits the candidate tables of one plan, which bounds their memory.
	maxTables = 96
	// scansBeforeTable is how often all workers are scanned for a shape before a
	// table is built for it, so that a shape that occurs once costs no table.
	scansBeforeTable = 1
	// rejectedScore is the score of a worker that a filter rejects.
	rejectedScore = math.MinInt64
)

// shape is the key of a candidate table: the part of a request that the filters
// and scorers depend on. It does not cover requests with workers to avoid, which
// use no table, and services, each of which has a table of its own.
type shape struct {
	cpu, memory, accelerators int64
	endsBy                    int64
	urgent                    bool
}

func (a *taskRequest) shape() shape {
	return shape{a.size.MilliCPU, a.size.MemoryMB, a.size.Accelerators, a.endsBy, a.urgent}
}

// table is a candidate table: it caches the filter result and the score of every
// worker for one shape, and applies the changes of their capacity incrementally,
// so that a placement needs no scan of all workers.
type table struct {
	request taskRequest
	// nextChange is the index in workerCapacity.changes of the first change not
	// applied yet.
	nextChange int
	// filters and scores are indexed by worker.
	filters []filterID
	scores  []int64
	// counts counts the rejected workers per filter, accepted all others.
	counts   rejections
	accepted int
	// tree is a tournament tree of workers: tree[1] is the best worker, the
	// children of tree[i] are tree[2i] and tree[2i+1], and the leaves start at
	// index leaves.
	tree   []int32
	leaves int
	// smallestFailingGang is the number of tasks of the smallest gang that is
	// known not to fit; 0 if none is known.
	smallestFailingGang int
}

func newTable(c *workerCapacity, a *taskRequest) *table {
	n := len(c.workers)
	t := &table{request: *a, nextChange: len(c.changes), filters: make([]filterID, n), scores: make([]int64, n), leaves: 1}
	for t.leaves < n {
		t.leaves *= 2
	}
	t.tree = make([]int32, 2*t.leaves)
	for i := range t.tree {
		t.tree[i] = -1
	}
	for w := range n {
		t.evaluate(c, w)
		t.tree[t.leaves+w] = int32(w)
	}
	for i := t.leaves - 1; i > 0; i-- {
		t.tree[i] = t.better(t.tree[2*i], t.tree[2*i+1])
	}
	return t
}

// evaluate filters and scores worker w.
func (t *table) evaluate(c *workerCapacity, w int) {
	f := c.reject(w, &t.request)
	t.filters[w] = f
	if f != accepted {
		t.counts[f]++
		t.scores[w] = rejectedScore
		return
	}
	t.accepted++
	t.scores[w] = c.score(w, &t.request)
}

// update evaluates worker w again after its capacity or score has changed, and
// repairs the tree.
func (t *table) update(c *workerCapacity, w int) {
	if f := t.filters[w]; f != accepted {
		t.counts[f]--
	} else {
		t.accepted--
	}
	old := t.scores[w]
	t.evaluate(c, w)
	if t.scores[w] == old {
		return
	}
	for i := (t.leaves + w) / 2; i > 0; i /= 2 {
		t.tree[i] = t.better(t.tree[2*i], t.tree[2*i+1])
	}
}

// better returns the worker with the higher score, or a if the scores are equal.
// A negative index stands for no worker.
func (t *table) better(a, b int32) int32 {
	switch {
	case b < 0:
		return a
	case a < 0 || t.scores[b] > t.scores[a]:
		return b
	}
	return a
}

// applyChanges applies the changes that c has logged since the last call.
func (t *table) applyChanges(c *workerCapacity) {
	for ; t.nextChange < len(c.changes); t.nextChange++ {
		t.update(c, int(c.changes[t.nextChange]))
	}
}

// bestAccepted returns the accepted worker with the highest score, or -1.
func (t *table) bestAccepted() int {
	w := t.tree[1]
	if w < 0 || t.filters[w] != accepted {
		return -1
	}
	return int(w)
}

// existingTable returns the table for a with all changes applied, or nil if
// there is none.
func (p *planner) existingTable(a *taskRequest) *table {
	if len(a.avoid) > 0 {
		return nil
	}
	t := a.serviceTable
	if !a.service {
		t = p.tables[a.shape()]
	}
	if t != nil {
		t.applyChanges(p.c)
	}
	return t
}

// table returns the table for a like existingTable. If there is none, it builds
// one for a service, or for a shape that was looked up more than scansBeforeTable
// times, as long as there are fewer than p.maxTables tables of shapes.
func (p *planner) table(a *taskRequest) *table {
	if t := p.existingTable(a); t != nil || len(a.avoid) > 0 || p.maxTables == 0 {
		return t
	}
	if a.service {
		a.serviceTable = newTable(p.c, a)
		return a.serviceTable
	}
	s := a.shape()
	if p.lookups[s]++; p.lookups[s] <= scansBeforeTable || len(p.tables) >= p.maxTables {
		return nil
	}
	t := newTable(p.c, a)
	p.tables[s] = t
	return t
}

// countRejections counts the workers that each filter rejects for a, and the
// workers that all filters accept.
func (c *workerCapacity) countRejections(a *taskRequest) (counts rejections, accepting int) {
	for w := range c.workers {
		if f := c.reject(w, a); f != accepted {
			counts[f]++
		} else {
			accepting++
		}
	}
	return counts, accepting
}

// scan filters and scores all workers for a. It returns the best worker, or -1,
// and the counts of the rejected workers.
func (c *workerCapacity) scan(a *taskRequest) (best int, counts rejections) {
	best = -1
	points := int64(rejectedScore)
	for w := range c.workers {
		if f := c.reject(w, a); f != accepted {
			counts[f]++
			continue
		}
		if p := c.score(w, a); p > points {
			best, points = w, p
		}
	}
	return best, counts
}

// bestWorker returns the best worker for a, or -1, and the number of workers that
// each filter rejects. The numbers may be missing if it returns -1.
func (p *planner) bestWorker(a *taskRequest) (best int, counts rejections) {
	if t := p.existingTable(a); t != nil {
		return t.bestAccepted(), t.counts
	}
	if !p.c.fitsAnyWorker(a) {
		return -1, counts
	}
	if t := p.table(a); t != nil {
		return t.bestAccepted(), t.counts
	}
	return p.c.scan(a)
}
