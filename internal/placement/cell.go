package placement

import (
	"slices"

	"kumquatwing/internal/model"
)

// cell is the room of a data centre's workers while one plan is made. Slices
// are indexed like Snapshot.Workers.
type cell struct {
	now     int64
	workers []WorkerView
	ready   []bool
	size    []model.Resources
	// changes logs the workers whose room has changed, in order.
	changes []int32
	blocks  []block
	// reserved marks the workers on which any room is held.
	reserved []bool
	// free is what no task holds.
	free []model.Resources
	// urgentHeld and held are reserved for urgent and for other jobs.
	urgentHeld []model.Resources
	held       []model.Resources
	// starts lists the starts of the reservations in held.
	starts [][]int64
	// scale turns room into thousandths of the worker's size.
	scale []scale
	rack  []int32
	racks int
	// total is the size of all workers that are not lost.
	total model.Resources
	byID  map[model.WorkerID]int32
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

// take uses room of worker w for a task.
func (c *cell) take(w int, size model.Resources) {
	c.free[w] = c.free[w].Sub(size)
	c.changed(int32(w))
}

// giveBack undoes take.
func (c *cell) giveBack(w int, size model.Resources) {
	c.free[w] = c.free[w].Add(size)
	c.changed(int32(w))
}

// hold reserves room; a worker that is gone is passed over.
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
		c.heldChanged(i)
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
		c.heldChanged(i)
	}
}

// heldChanged notes a change of reserved room on a worker.
func (c *cell) heldChanged(w int32) {
	c.reserved[w] = !c.urgentHeld[w].IsZero() || !c.held[w].IsZero()
	c.changed(w)
}

// changed notes a change of a worker's room.
func (c *cell) changed(w int32) {
	c.changes = append(c.changes, w)
	c.blocks[w/blockWorkers].stale = true
}

// room is what a may use of worker w now.
func (c *cell) room(w int, a *ask) model.Resources {
	if !c.reserved[w] {
		return c.free[w]
	}
	room := c.free[w].Sub(c.urgentHeld[w])
	if a.urgent || c.mayBackfill(w, a) {
		return room
	}
	return room.Sub(c.held[w])
}

// slotsIn is how often size fits in room, at most limit.
func slotsIn(room, size model.Resources, limit int) int {
	n := int64(limit)
	for d := range model.Dimensions {
		if need := size.At(d); need > 0 {
			n = min(n, room.At(d)/need)
		}
	}
	return int(max(n, 0))
}
