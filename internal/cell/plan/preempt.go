package plan

import (
	"cmp"
	"slices"

	"kumquatwing/internal/model"
)

// maxLostShare bounds the work that a preemption may throw away, as a share of
// the work that it makes room for; maxLostShareUrgent does so for gangs that
// must start soon.
const (
	maxLostShare       = 0.02
	maxLostShareUrgent = 0.40
)

// seatCost is a worker's next seat and what must be stopped for it.
type seatCost struct {
	worker  *Worker
	victims []*Victim
	lost    float64
}

// preemption is a way to seat a gang on free room and on the room of less
// urgent runs.
type preemption struct {
	seats   []*Worker
	victims []*Victim
	// on holds the worker of each victim.
	on []*Worker
}

// preempt seats a gang with the least work thrown away. It returns nil and
// stops nothing if that is not enough or costs too much. The runs are stopped
// once the tickets outlast the stops.
func (p *planner) preempt(s *Pending, good []*Worker, share float64) []*Worker {
	c := findRoom(s, p.fresh(s, good), share)
	if c == nil {
		if c = findRoom(s, good, share); c == nil {
			return nil
		}
		release(c.victims)
		p.askAgain(s, c.seats)
		return c.seats
	}
	for i, v := range c.victims {
		w := c.on[i]
		w.Coming = w.Coming.Add(v.Need)
		p.out.Stops = append(p.out.Stops, Stop{Worker: w.ID, Task: v.Task, Run: v.Run, For: s.Key})
	}
	return c.seats
}

// findRoom marks the victims that it chooses as stopped.
func findRoom(s *Pending, good []*Worker, share float64) *preemption {
	c := &preemption{}
	lost := 0.0
	rooms := map[*Worker]model.Resources{}
	for _, w := range good {
		rooms[w] = comingRoom(w)
	}
	for len(c.seats) < len(s.Waiting) {
		next := cheapest(s, good, rooms, c.seats)
		if next == nil {
			release(c.victims)
			return nil
		}
		room := rooms[next.worker]
		for _, v := range next.victims {
			v.stopped = true
			room = room.Add(v.Need)
			c.victims, c.on = append(c.victims, v), append(c.on, next.worker)
		}
		rooms[next.worker] = room.Sub(s.Step.Need)
		c.seats = append(c.seats, next.worker)
		lost += next.lost
	}
	if lost > share*s.work() {
		release(c.victims)
		return nil
	}
	return c
}

// work is the estimated work of the waiting tasks, in core-milliseconds.
func (p *Pending) work() float64 {
	return float64(len(p.Waiting)) * float64(p.Step.Need.MilliCPU) / 1000 * float64(p.Step.EstimateMillis)
}

func release(vs []*Victim) {
	for _, v := range vs {
		v.stopped = false
	}
}

// cheapest returns the next seat that throws away the least work, nil if there
// is none.
func cheapest(s *Pending, good []*Worker, rooms map[*Worker]model.Resources, seats []*Worker) *seatCost {
	var best *seatCost
	for _, w := range good {
		if s.Step.MaxPerWorker > 0 && s.OnWorker[w.ID]+countOf(seats, w) >= s.Step.MaxPerWorker {
			continue
		}
		c := nextSeat(s, w, rooms[w])
		if c != nil && (best == nil || c.lost < best.lost) {
			best = c
		}
		if best != nil && best.lost == 0 {
			break
		}
	}
	return best
}

func countOf(seats []*Worker, w *Worker) int {
	n := 0
	for _, x := range seats {
		if x == w {
			n++
		}
	}
	return n
}

// nextSeat returns what must be stopped on a worker for one more task.
func nextSeat(s *Pending, w *Worker, room model.Resources) *seatCost {
	c := &seatCost{worker: w}
	if s.Step.Need.Fits(room) {
		return c
	}
	for _, v := range byLoss(w, s.Queue.Priority) {
		room = room.Add(v.Need)
		c.victims = append(c.victims, v)
		c.lost += v.Lost
		if s.Step.Need.Fits(room) {
			return c
		}
	}
	return nil
}

// byLoss returns the runs of a worker that work of a priority may stop, those
// first that lose the least a core.
func byLoss(w *Worker, priority int) []*Victim {
	var out []*Victim
	for i := range w.Victims {
		if v := &w.Victims[i]; !v.stopped && v.Priority > priority {
			out = append(out, v)
		}
	}
	slices.SortStableFunc(out, func(a, b *Victim) int {
		return cmp.Or(cmp.Compare(a.lossPerCore(), b.lossPerCore()), a.Task.Compare(b.Task))
	})
	return out
}

func (v *Victim) lossPerCore() float64 { return v.Lost / float64(max(1, v.Need.MilliCPU)) }
