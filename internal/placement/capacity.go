package placement

import (
	"slices"

	"kumquatwing/internal/model"
)

// workerCapacity tracks the capacity of a data centre's workers while one plan is
// computed. Slices are indexed like Snapshot.Workers, except changes and blocks.
type workerCapacity struct {
	now     int64
	workers []WorkerView
	// ready marks the workers in state model.WorkerReady.
	ready []bool
	size  []model.Resources
	// changes logs the workers whose score or capacity changed, in order.
	// Candidate tables replay it.
	changes []int32
	// blocks holds one block per blockWorkers consecutive workers.
	blocks []block
	// hasReserved marks the workers with any reserved capacity.
	hasReserved []bool
	// free is the capacity that no task occupies; it includes reserved capacity.
	free []model.Resources
	// urgentReserved is the capacity reserved for urgent jobs, otherReserved
	// for all others.
	urgentReserved []model.Resources
	otherReserved  []model.Resources
	// starts lists Reservation.StartMillis of the reservations counted in
	// otherReserved.
	starts [][]int64
	// scale converts an amount of capacity to thousandths of the worker's size.
	scale []scale
	// rack is the number of each worker's rack, below racks.
	rack  []int32
	racks int
	// total is the total size of all workers that are not lost.
	total model.Resources
	// byID maps a worker's id to its index.
	byID map[model.WorkerID]int32
}

func newWorkerCapacity(s *Snapshot) *workerCapacity {
	n := len(s.Workers)
	c := &workerCapacity{
		now:            s.NowMillis,
		workers:        s.Workers,
		ready:          make([]bool, n),
		size:           make([]model.Resources, n),
		hasReserved:    make([]bool, n),
		free:           make([]model.Resources, n),
		urgentReserved: make([]model.Resources, n),
		otherReserved:  make([]model.Resources, n),
		starts:         make([][]int64, n),
		scale:          make([]scale, n),
		rack:           make([]int32, n),
		blocks:         newBlocks(n),
		byID:           make(map[model.WorkerID]int32, n),
	}
	racks := make(map[string]int32)
	for i := range s.Workers {
		w := &s.Workers[i]
		c.free[i] = w.Free
		c.ready[i] = w.State == model.WorkerReady
		c.size[i] = w.Size
		c.scale[i] = newScale(w.Size)
		c.byID[w.ID] = int32(i)
		if _, ok := racks[w.Rack]; !ok {
			racks[w.Rack] = int32(len(racks))
		}
		c.rack[i] = racks[w.Rack]
		if w.State != model.WorkerLost {
			c.total = c.total.Add(w.Size)
		}
	}
	c.racks = len(racks)
	return c
}

// allocate subtracts the size of a task from the free capacity of worker w.
func (c *workerCapacity) allocate(w int, size model.Resources) {
	c.free[w] = c.free[w].Sub(size)
	c.markChanged(int32(w))
}

// deallocate undoes allocate.
func (c *workerCapacity) deallocate(w int, size model.Resources) {
	c.free[w] = c.free[w].Add(size)
	c.markChanged(int32(w))
}

// reserve adds the capacity of r to the reserved capacity. It skips workers
// that are not in the snapshot.
func (c *workerCapacity) reserve(r *Reservation) {
	for _, rc := range r.Workers {
		i, ok := c.byID[rc.Worker]
		if !ok {
			continue
		}
		if r.Class == model.ClassUrgent {
			c.urgentReserved[i] = c.urgentReserved[i].Add(rc.Capacity)
		} else {
			c.otherReserved[i] = c.otherReserved[i].Add(rc.Capacity)
			c.starts[i] = append(c.starts[i], r.StartMillis)
		}
		c.updateHasReserved(i)
	}
}

// release undoes reserve.
func (c *workerCapacity) release(r *Reservation) {
	for _, rc := range r.Workers {
		i, ok := c.byID[rc.Worker]
		if !ok {
			continue
		}
		if r.Class == model.ClassUrgent {
			c.urgentReserved[i] = c.urgentReserved[i].Sub(rc.Capacity)
		} else {
			c.otherReserved[i] = c.otherReserved[i].Sub(rc.Capacity)
			k := slices.Index(c.starts[i], r.StartMillis)
			c.starts[i] = slices.Delete(c.starts[i], k, k+1)
		}
		c.updateHasReserved(i)
	}
}

// updateHasReserved updates hasReserved after the reserved capacity of worker w
// changed.
func (c *workerCapacity) updateHasReserved(w int32) {
	c.hasReserved[w] = !c.urgentReserved[w].IsZero() || !c.otherReserved[w].IsZero()
	c.markChanged(w)
}

// markChanged records that the free or reserved capacity of worker w changed.
func (c *workerCapacity) markChanged(w int32) {
	c.changes = append(c.changes, w)
	c.blocks[w/blockWorkers].stale = true
}

// usableCapacity returns the capacity of worker w that a may use now: the free
// capacity minus what is reserved for urgent jobs and, unless a is urgent or
// may backfill, minus what is reserved for other jobs.
func (c *workerCapacity) usableCapacity(w int, a *taskRequest) model.Resources {
	if !c.hasReserved[w] {
		return c.free[w]
	}
	capacity := c.free[w].Sub(c.urgentReserved[w])
	if a.urgent || c.mayBackfill(w, a) {
		return capacity
	}
	return capacity.Sub(c.otherReserved[w])
}

// slotsIn returns how many tasks of a size fit in capacity, at most limit.
func slotsIn(capacity, size model.Resources, limit int) int {
	n := int64(limit)
	for d := range model.Dimensions {
		if need := size.At(d); need > 0 {
			n = min(n, capacity.At(d)/need)
		}
	}
	return int(max(n, 0))
}
