package placement

import "kumquatwing/internal/model"

// blockWorkers is the number of consecutive workers that share one block.
const blockWorkers = 16

// block caches an upper bound of the free capacity of any of its workers. A
// task that exceeds the bound fits on none of them, so a search can skip the
// whole block.
type block struct {
	// maxFree is, per dimension, the largest free capacity of a ready worker.
	maxFree model.Resources
	// stale is set when maxFree has to be recomputed.
	stale bool
}

func newBlocks(workers int) []block {
	blocks := make([]block, (workers+blockWorkers-1)/blockWorkers)
	for i := range blocks {
		blocks[i].stale = true
	}
	return blocks
}

// fitsAnyWorker reports whether any worker passes all filters for a.
func (c *workerCapacity) fitsAnyWorker(a *taskRequest) bool {
	for i := range c.blocks {
		if a.size.Fits(c.maxFreeIn(i)) && c.fitsInBlock(i, a) {
			return true
		}
	}
	return false
}

// fitsInBlock reports whether any worker of the i-th block passes all filters
// for a.
func (c *workerCapacity) fitsInBlock(i int, a *taskRequest) bool {
	first := i * blockWorkers
	for w := first; w < min(first+blockWorkers, len(c.workers)); w++ {
		if c.reject(w, a) == accepted {
			return true
		}
	}
	return false
}

// maxFreeIn returns, per dimension, the largest free capacity of the i-th
// block's ready workers. It includes reserved capacity, which some tasks may use.
func (c *workerCapacity) maxFreeIn(i int) model.Resources {
	b := &c.blocks[i]
	if !b.stale {
		return b.maxFree
	}
	b.maxFree, b.stale = model.Resources{}, false
	first := i * blockWorkers
	for w := first; w < min(first+blockWorkers, len(c.workers)); w++ {
		if c.ready[w] {
			b.maxFree = b.maxFree.Max(c.free[w])
		}
	}
	return b.maxFree
}
