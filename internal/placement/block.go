package placement

import "kumquatwing/internal/model"

// blockWorkers is the number of workers side by side in one block.
const blockWorkers = 16

// block keeps the most room, by dimension, that any of its workers has. A task
// that does not fit that fits none of them, so that a full cell can be passed
// over without a look at each worker.
type block struct {
	most  model.Resources
	stale bool
}

func newBlocks(workers int) []block {
	blocks := make([]block, (workers+blockWorkers-1)/blockWorkers)
	for i := range blocks {
		blocks[i].stale = true
	}
	return blocks
}

// fitsSomewhere reports whether any worker would take a now.
func (c *cell) fitsSomewhere(a *ask) bool {
	for i := range c.blocks {
		if a.size.Fits(c.mostIn(i)) && c.fitsIn(i, a) {
			return true
		}
	}
	return false
}

// fitsIn reports whether any worker of the i-th block would take a.
func (c *cell) fitsIn(i int, a *ask) bool {
	first := i * blockWorkers
	for w := first; w < min(first+blockWorkers, len(c.workers)); w++ {
		if c.reject(w, a) == accepted {
			return true
		}
	}
	return false
}

// mostIn is the most free room of the i-th block's ready workers, by dimension.
// Reserved room counts, since some tasks may use it.
func (c *cell) mostIn(i int) model.Resources {
	b := &c.blocks[i]
	if !b.stale {
		return b.most
	}
	b.most, b.stale = model.Resources{}, false
	first := i * blockWorkers
	for w := first; w < min(first+blockWorkers, len(c.workers)); w++ {
		if c.ready[w] {
			b.most = b.most.Max(c.free[w])
		}
	}
	return b.most
}
