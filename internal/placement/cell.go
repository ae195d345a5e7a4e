package placement

import (
	"slices"

	"kumquatwing/internal/model"
)

// cell tracks the capacity of a data centre's workers while one plan is
// computed. Slices are indexed like Snapshot.Workers, except changes and blocks.
type cell struct {
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
	// reserved marks the workers with any reserved capacity.
	reserved []bool
	// free is the capacity that no task occupies; it includes reserved capacity.
	free []model.Resources
	// urgentHeld is the capacity reserved for urgent jobs, held for all others.
	urgentHeld []model.Resources
	held       []model.Resources
	// starts lists Reservation.StartMillis of the reservations counted in held.
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

func newCell(s *Snapshot) *cell {
	n := len(s.Workers)
	c := &cell{
		now:        s.NowMillis,
		workers:    s.Workers,
		ready:      make([]bool, n),
		size:       make([]model.Resources, n),
		reserved:   make([]bool, n),
		free:       make([]model.Resources, n),
		urgentHeld: make([]model.Resources, n),
		held:       make([]model.Resources, n),
		starts:     make([][]int64, n),
		scale:      make([]scale, n),
		rack:       make([]int32, n),
		blocks:     newBlocks(n),
		byID:       make(map[model.WorkerID]int32, n),
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

// take allocates capacity of worker w to a task.
func (c *cell) take(w int, size model.Resources) {
	c.free[w] = c.free[w].Sub(size)
	c.markChanged(int32(w))
}

// giveBack undoes take.
func (c *cell) giveBack(w int, size model.Resources) {
	c.free[w] = c.free[w].Add(size)
	c.markChanged(int32(w))
}

// hold reserves the capacity of r. It skips workers that are not in the snapshot.
func (c *cell) hold(r *Reservation) {
	for _, room := range r.Workers {
		i, ok := c.byID[room.Worker]
		if !ok {
			continue
		}
		if r.Class == model.ClassUrgent {
			c.urgentHeld[i] = c.urgentHeld[i].Add(room.Room)
		} else {
			c.held[i] = c.held[i].Add(room.Room)
			c.starts[i] = append(c.starts[i], r.StartMillis)
		}
		c.updateReserved(i)
	}
}

// release undoes hold.
func (c *cell) release(r *Reservation) {
	for _, room := range r.Workers {
		i, ok := c.byID[room.Worker]
		if !ok {
			continue
		}
		if r.Class == model.ClassUrgent {
			c.urgentHeld[i] = c.urgentHeld[i].Sub(room.Room)
		} else {
			c.held[i] = c.held[i].Sub(room.Room)
			k := slices.Index(c.starts[i], r.StartMillis)
			c.starts[i] = slices.Delete(c.starts[i], k, k+1)
		}
		c.updateReserved(i)
	}
}

// updateReserved updates reserved after the reserved capacity of worker w changed.
func (c *cell) updateReserved(w int32) {
	c.reserved[w] = !c.urgentHeld[w].IsZero() || !c.held[w].IsZero()
	c.markChanged(w)
}

// markChanged records that the free or reserved capacity of worker w changed.
func (c *cell) markChanged(w int32) {
	c.changes = append(c.changes, w)
	c.blocks[w/blockWorkers].stale = true
}

// room returns the capacity of worker w that a may use now: the free capacity
// minus what is reserved for urgent jobs and, unless a is urgent or may backfill,
// minus what is reserved for other jobs.
func (c *cell) room(w int, a *taskRequest) model.Resources {
	if !c.reserved[w] {
		return c.free[w]
	}
	room := c.free[w].Sub(c.urgentHeld[w])
	if a.urgent || c.mayBackfill(w, a) {
		return room
	}
	return room.Sub(c.held[w])
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
