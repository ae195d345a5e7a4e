package plan

import (
	"cmp"
	"slices"
)

// placeGang starts all tasks of a gang or none.
func (p *planner) placeGang(s *Pending, room *Room) {
	if !room.allows(s.Step.Need.Times(int64(len(s.Waiting)))) {
		return
	}
	var able []*Worker
	for _, w := range p.pools[s.Pool] {
		if p.eligible(s, w) {
			able = append(able, w)
		}
	}
	seats := p.seat(s, able)
	if seats == nil {
		p.ask(s, len(s.Waiting))
		return
	}
	for i, index := range s.Waiting {
		p.start(s, index, s.NextRun[i], seats[i])
	}
}

// seat returns a worker for each task of the gang, nil if they don't all fit.
// Gangs that are slower across racks try each rack alone first.
func (p *planner) seat(s *Pending, able []*Worker) []*Worker {
	slices.SortStableFunc(able, func(a, b *Worker) int { return cmp.Compare(score(s, b), score(s, a)) })
	if s.Step.SameRack {
		for _, rack := range racks(able) {
			if seats := fill(s, inRack(able, rack)); seats != nil {
				return seats
			}
		}
	}
	return fill(s, able)
}

// fill seats the gang on the workers in their order.
func fill(s *Pending, able []*Worker) []*Worker {
	var seats []*Worker
	for _, w := range able {
		n := capacityFor(s, w)
		for ; n > 0 && len(seats) < len(s.Waiting); n-- {
			seats = append(seats, w)
		}
	}
	if len(seats) < len(s.Waiting) {
		return nil
	}
	return seats
}

// capacityFor is how many tasks of the step the worker could take now.
func capacityFor(s *Pending, w *Worker) int {
	if s.Step.Filler {
		return len(s.Waiting)
	}
	n := len(s.Waiting)
	n = bound(n, s.Step.Need.MilliCPU, w.Free.MilliCPU)
	n = bound(n, s.Step.Need.MemoryMB, w.Free.MemoryMB)
	n = bound(n, s.Step.Need.Accelerators, w.Free.Accelerators)
	if s.Step.MaxPerWorker > 0 {
		n = min(n, s.Step.MaxPerWorker-s.OnWorker[w.ID])
	}
	return max(0, n)
}

func bound(n int, need, free int64) int {
	if need <= 0 {
		return n
	}
	return min(n, int(max(0, free)/need))
}

func racks(ws []*Worker) []string {
	var out []string
	for _, w := range ws {
		if !slices.Contains(out, w.Rack) {
			out = append(out, w.Rack)
		}
	}
	return out
}

func inRack(ws []*Worker, rack string) []*Worker {
	var out []*Worker
	for _, w := range ws {
		if w.Rack == rack {
			out = append(out, w)
		}
	}
	return out
}
