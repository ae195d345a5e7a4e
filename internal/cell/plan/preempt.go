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

// seatSearch looks for the seats of one gang.
type seatSearch struct {
	step *Pending
	// options holds the next seat of each good worker, nil if it has none, rooms
	// what is left there, and taken how many seats were chosen on it.
	options []*seatCost
	rooms   []model.Resources
	taken   []int
}

// findRoom marks the victims that it chooses as stopped.
func findRoom(s *Pending, good []*Worker, share float64) *preemption {
	c := &preemption{}
	search := newSeatSearch(s, good)
	lost, allowed := 0.0, share*s.work()
	for len(c.seats) < len(s.Waiting) {
		i := search.cheapest()
		if i < 0 || lost+search.options[i].lost > allowed {
			release(c.victims)
			return nil
		}
		next := search.options[i]
		lost += next.lost
		c.seats = append(c.seats, next.worker)
		for _, v := range next.victims {
			v.stopped = true
			c.victims, c.on = append(c.victims, v), append(c.on, next.worker)
		}
		search.take(i)
	}
	return c
}

func newSeatSearch(s *Pending, good []*Worker) *seatSearch {
	f := &seatSearch{
		step: s, options: make([]*seatCost, len(good)), rooms: make([]model.Resources, len(good)), taken: make([]int, len(good)),
	}
	for i, w := range good {
		f.rooms[i] = comingRoom(w)
		f.options[i] = f.next(i, w)
	}
	return f
}

// next returns a worker's next seat, nil if it has none.
func (f *seatSearch) next(i int, w *Worker) *seatCost {
	s := f.step
	if s.Step.MaxPerWorker > 0 && s.OnWorker[w.ID]+f.taken[i] >= s.Step.MaxPerWorker {
		return nil
	}
	return nextSeat(s, w, f.rooms[i])
}

// cheapest returns the index of the seat that throws away the least work, -1 if
// there is none.
func (f *seatSearch) cheapest() int {
	best := -1
	for i, c := range f.options {
		if c != nil && (best < 0 || c.lost < f.options[best].lost) {
			best = i
		}
		if best >= 0 && f.options[best].lost == 0 {
			break
		}
	}
	return best
}

// take chooses a worker's next seat.
func (f *seatSearch) take(i int) {
	c := f.options[i]
	for _, v := range c.victims {
		f.rooms[i] = f.rooms[i].Add(v.Need)
	}
	f.rooms[i] = f.rooms[i].Sub(f.step.Step.Need)
	f.taken[i]++
	f.options[i] = f.next(i, c.worker)
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

// nextSeat returns what must be stopped on a worker for one more task.
func nextSeat(s *Pending, w *Worker, room model.Resources) *seatCost {
	c := &seatCost{worker: w}
	if s.Step.Need.Fits(room) {
		return c
	}
	for _, v := range w.victimsByLoss() {
		if v.stopped || v.Priority <= s.Queue.Priority {
			continue
		}
		room = room.Add(v.Need)
		c.victims = append(c.victims, v)
		c.lost += v.Lost
		if s.Step.Need.Fits(room) {
			return c
		}
	}
	return nil
}

// victimsByLoss returns the runs of a worker that may be stopped, those first
// that lose the least a core.
func (w *Worker) victimsByLoss() []*Victim {
	if len(w.byLoss) == len(w.Victims) {
		return w.byLoss
	}
	w.byLoss = make([]*Victim, len(w.Victims))
	for i := range w.Victims {
		w.byLoss[i] = &w.Victims[i]
	}
	slices.SortFunc(w.byLoss, func(a, b *Victim) int {
		return cmp.Or(cmp.Compare(a.lossPerCore(), b.lossPerCore()), a.Task.Compare(b.Task))
	})
	return w.byLoss
}

func (v *Victim) lossPerCore() float64 { return v.Lost / float64(max(1, v.Need.MilliCPU)) }
