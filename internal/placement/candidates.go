package placement

import "math"

const (
	// maxTables bounds the candidate tables of one plan, for their memory.
	maxTables = 96
	// usesBeforeTable is how often workers are scanned for a shape before a
	// table is made, so that a shape asked for once costs no table.
	usesBeforeTable = 1
	// notRated is the score of a worker that a filter rejects.
	notRated = math.MinInt64
)

// shape is what the rating of workers depends on, for tasks that have failed
// nowhere and are no service's; a service has a table of its own.
type shape struct {
	cpu, memory, accelerators int64
	endsBy                    int64
	urgent                    bool
}

func (a *ask) shape() shape {
	return shape{a.size.MilliCPU, a.size.MemoryMB, a.size.Accelerators, a.endsBy, a.urgent}
}

// table rates all workers for one shape and follows the changes of their room,
// so that a placement costs no scan of the workers.
type table struct {
	ask ask
	// seen is how much of the cell's log of changes the table has followed.
	seen     int
	filters  []filterID
	scores   []int64
	counts   rejections
	accepted int
	// best is a tournament tree: best[1] is the best worker, the children of
	// best[i] are best[2i] and best[2i+1], the leaves start at leaves.
	best   []int32
	leaves int
	// gangFails is the smallest gang that is known not to fit; 0 if none is.
	gangFails int
}

func newTable(c *cell, a *ask) *table {
	n := len(c.workers)
	t := &table{ask: *a, seen: len(c.changes), filters: make([]filterID, n), scores: make([]int64, n), leaves: 1}
	for t.leaves < n {
		t.leaves *= 2
	}
	t.best = make([]int32, 2*t.leaves)
	for i := range t.best {
		t.best[i] = -1
	}
	for w := range n {
		t.rate(c, w)
		t.best[t.leaves+w] = int32(w)
	}
	for i := t.leaves - 1; i > 0; i-- {
		t.best[i] = t.better(t.best[2*i], t.best[2*i+1])
	}
	return t
}

// rate filters and scores worker w.
func (t *table) rate(c *cell, w int) {
	f := c.reject(w, &t.ask)
	t.filters[w] = f
	if f != accepted {
		t.counts[f]++
		t.scores[w] = notRated
		return
	}
	t.accepted++
	t.scores[w] = c.score(w, &t.ask)
}

// rateAgain rates worker w after its room has changed.
func (t *table) rateAgain(c *cell, w int) {
	if f := t.filters[w]; f != accepted {
		t.counts[f]--
	} else {
		t.accepted--
	}
	old := t.scores[w]
	t.rate(c, w)
	if t.scores[w] == old {
		return
	}
	for i := (t.leaves + w) / 2; i > 0; i /= 2 {
		t.best[i] = t.better(t.best[2*i], t.best[2*i+1])
	}
}

// better is the worker with the higher score, the first one of equals.
func (t *table) better(a, b int32) int32 {
	switch {
	case b < 0:
		return a
	case a < 0 || t.scores[b] > t.scores[a]:
		return b
	}
	return a
}

// follow takes in the changes of room since the last time.
func (t *table) follow(c *cell) {
	for ; t.seen < len(c.changes); t.seen++ {
		t.rateAgain(c, int(c.changes[t.seen]))
	}
}

// top is the best worker, or -1.
func (t *table) top() int {
	w := t.best[1]
	if w < 0 || t.filters[w] != accepted {
		return -1
	}
	return int(w)
}

// existingTable returns the up-to-date table for a, or nil.
func (d *decider) existingTable(a *ask) *table {
	if len(a.avoid) > 0 {
		return nil
	}
	t := a.own
	if !a.service {
		t = d.tables[a.shape()]
	}
	if t != nil {
		t.follow(d.c)
	}
	return t
}

// table is existingTable, but makes one when the shape is asked for again.
func (d *decider) table(a *ask) *table {
	if t := d.existingTable(a); t != nil || len(a.avoid) > 0 || d.maxTables == 0 {
		return t
	}
	if a.service {
		a.own = newTable(d.c, a)
		return a.own
	}
	s := a.shape()
	if d.uses[s]++; d.uses[s] <= usesBeforeTable || len(d.tables) >= d.maxTables {
		return nil
	}
	t := newTable(d.c, a)
	d.tables[s] = t
	return t
}

// count counts the workers per filter that rejects them, and the others.
func (c *cell) count(a *ask) (counts rejections, open int) {
	for w := range c.workers {
		if f := c.reject(w, a); f != accepted {
			counts[f]++
		} else {
			open++
		}
	}
	return counts, open
}

// scan rates all workers for a once.
func (c *cell) scan(a *ask) (best int, counts rejections) {
	best = -1
	points := int64(notRated)
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

// rate returns the best worker for a, or -1, and the counts of the others. The
// counts are not made when there is no best worker.
func (d *decider) rate(a *ask) (best int, counts rejections) {
	if t := d.existingTable(a); t != nil {
		return t.top(), t.counts
	}
	if !d.c.fitsSomewhere(a) {
		return -1, counts
	}
	if t := d.table(a); t != nil {
		return t.top(), t.counts
	}
	return d.c.scan(a)
}
