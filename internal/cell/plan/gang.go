package plan

import (
	"cmp"
	"slices"
	"time"

	"kumquatwing/internal/model"
)

const (
	// minSaved is how many gangs may keep room from others while they wait for
	// more of it, and workersPerSaved adds one for so many workers of the pool.
	minSaved        = 2
	workersPerSaved = 50
	// mostlyFree is the free part of a pool from which on a gang that doesn't fit
	// asks about more workers instead of keeping room from others.
	mostlyFree = 0.5
	// preemptSlack is how close a gang's latest start must be for more work to be
	// thrown away for it; until then it waits for less urgent runs to end.
	preemptSlack = 2500 * time.Millisecond
	// renewBefore is how long before their end the tickets of a gang that is
	// about to be placed are renewed.
	renewBefore = 400 * time.Millisecond
	// maxPrepared bounds the waiting gangs whose tickets are kept valid.
	maxPrepared = 8
)

// placeGang starts all tasks of a gang or none. One that doesn't fit yet has
// less urgent runs stopped for it, and keeps the room from less urgent steps.
func (p *planner) placeGang(s *Pending, room *Room) {
	if !room.allows(s.Step.Need.Scale(int64(len(s.Waiting)))) {
		return
	}
	if seats := p.seat(s, withLabel(s, p.ticketed(s)), freeRoom); seats != nil {
		for i, index := range s.Waiting {
			p.start(s, index, s.NextRun[i], seats[i])
		}
		return
	}
	if s.Advice != nil && len(s.Advice.Asked) == 0 {
		p.askGang(s, p.able(s, p.notUnfit))
		return
	}
	p.makeRoom(s, withLabel(s, slices.Clone(p.good(s))))
}

// withLabel drops the workers without the label that the step requires.
func withLabel(s *Pending, ws []*Worker) []*Worker {
	return slices.DeleteFunc(ws, func(w *Worker) bool { return !w.has(s.Step.Requires) })
}

// able returns the workers of the step's pool that pass all filters but room.
func (p *planner) able(s *Pending, ok func(*Pending, *Worker) bool) []*Worker {
	var able []*Worker
	for _, w := range p.pools[s.Pool] {
		if w.has(s.Step.Requires) && ok(s, w) {
			able = append(able, w)
		}
	}
	return able
}

// isGood reports whether the policy lets the worker run the step, whatever the
// age of its ticket.
func (p *planner) isGood(s *Pending, w *Worker) bool {
	if s.Advice == nil {
		return true
	}
	_, ok := s.Advice.Good[w.ID]
	return ok
}

// notUnfit reports whether the policy has not turned the worker down.
func (p *planner) notUnfit(s *Pending, w *Worker) bool {
	return s.Advice == nil || !s.Advice.Asked[w.ID] || p.isGood(s, w)
}

// freeRoom is what a worker has now.
func freeRoom(w *Worker) model.Resources { return w.Free }

// comingRoom is what it has once all stops are done.
func comingRoom(w *Worker) model.Resources { return w.Free.Add(w.Coming) }

// seat returns a worker for each task of the gang, nil if they don't all fit.
// Gangs that are slower across racks try each rack alone first.
func (p *planner) seat(s *Pending, able []*Worker, room func(*Worker) model.Resources) []*Worker {
	slices.SortStableFunc(able, func(a, b *Worker) int { return cmp.Compare(score(s, b), score(s, a)) })
	if s.Step.SameRack {
		for _, rack := range racks(able) {
			if seats := fill(s, inRack(able, rack), room); seats != nil {
				return seats
			}
		}
	}
	return fill(s, able, room)
}

// fill seats the gang on the workers in their order.
func fill(s *Pending, able []*Worker, room func(*Worker) model.Resources) []*Worker {
	var seats []*Worker
	for _, w := range able {
		for n := seatsIn(s, w, room(w)); n > 0 && len(seats) < len(s.Waiting); n-- {
			seats = append(seats, w)
		}
	}
	if len(seats) < len(s.Waiting) {
		return nil
	}
	return seats
}

// makeRoom stops less urgent runs for a gang if that is enough, and keeps the
// room for it.
func (p *planner) makeRoom(s *Pending, good []*Worker) {
	seats := p.seat(s, good, comingRoom)
	if slack := s.latestStart().Sub(p.in.Now); seats == nil && slack >= 0 {
		share := maxLostShare
		if slack < preemptSlack {
			share = maxLostShareUrgent
		}
		seats = p.preempt(s, good, share)
	}
	if seats == nil {
		p.saveRoom(s, good)
		return
	}
	p.keep(s, seats)
	if p.endSoon(s, seats, renewBefore) {
		p.askAgain(s, seats)
	}
}

// fresh returns the workers whose tickets outlast a preemption.
func (p *planner) fresh(s *Pending, good []*Worker) []*Worker {
	if s.Advice == nil {
		return good
	}
	var out []*Worker
	for _, w := range good {
		if p.in.Now.Add(p.in.StopTime+renewBefore) < s.Advice.Good[w.ID].Until {
			out = append(out, w)
		}
	}
	return out
}

// keep takes the room of the seats from less urgent steps.
func (p *planner) keep(s *Pending, seats []*Worker) {
	for _, w := range seats {
		w.Free = w.Free.Sub(s.Step.Need)
	}
}

// adviceTime is how long the policy takes to answer about n workers.
func (p *Pending) adviceTime(n int) time.Duration {
	a := p.Queue.Advice
	return time.Duration((a.DecideMillis + float64(n)*a.PerWorkerMillis) * float64(time.Millisecond))
}

// endSoon reports whether a ticket of the seats ends within a time.
func (p *planner) endSoon(s *Pending, seats []*Worker, within time.Duration) bool {
	if s.Advice == nil {
		return false
	}
	for _, w := range seats {
		if s.Advice.Good[w.ID].Until < p.in.Now.Add(within) {
			return true
		}
	}
	return false
}

// saveRoom keeps the free room of good workers for a gang that waits for more.
// If the workers that were asked about can't hold it, others are asked about.
func (p *planner) saveRoom(s *Pending, good []*Worker) {
	if p.wholeSeats(s, good) < len(s.Waiting) {
		p.askGang(s, p.able(s, p.unasked))
		return
	}
	if p.freeShare(s.Pool) >= mostlyFree {
		p.askGang(s, p.able(s, p.unasked))
		return
	}
	p.prepare(s, good)
	if p.saved >= max(minSaved, len(p.pools[s.Pool])/workersPerSaved) {
		return
	}
	p.saved++
	left := len(s.Waiting)
	slices.SortStableFunc(good, func(a, b *Worker) int { return cmp.Compare(b.Free.MilliCPU, a.Free.MilliCPU) })
	for _, w := range good {
		n := seatsIn(s, w, w.potential(s.Queue.Priority))
		if n == 0 || left <= 0 {
			continue
		}
		left -= n
		w.Free = model.Resources{}
	}
}

// prepare learns of more good workers for a gang that waits for room, or else
// keeps the tickets of the first few such gangs valid, so that they start as
// soon as there is room.
func (p *planner) prepare(s *Pending, good []*Worker) {
	if s.Advice == nil || !p.mayAskMore() {
		return
	}
	if unasked := p.able(s, p.unasked); len(unasked) > 0 {
		p.askGang(s, unasked)
		return
	}
	if p.renewed == maxPrepared {
		return
	}
	p.renewed++
	best := slices.Clone(good)
	slices.SortStableFunc(best, func(a, b *Worker) int { return cmp.Compare(b.Free.MilliCPU, a.Free.MilliCPU) })
	best = best[:min(len(best), maxRenewed)]
	if p.endSoon(s, best, renewBefore+s.adviceTime(len(best))) {
		p.askAgain(s, best)
	}
}

// freeShare is the part of a pool's cores that is free.
func (p *planner) freeShare(pool string) float64 {
	var free, all int64
	for _, w := range p.pools[pool] {
		free += max(0, w.Free.MilliCPU)
		all += w.Capacity.MilliCPU
	}
	return float64(free) / float64(max(1, all))
}

func (p *planner) unasked(s *Pending, w *Worker) bool {
	return s.Advice != nil && !s.Advice.Asked[w.ID]
}

// wholeSeats is how many tasks the workers could hold if they were empty.
func (p *planner) wholeSeats(s *Pending, ws []*Worker) int {
	n := 0
	for _, w := range ws {
		n += seatsIn(s, w, w.Capacity)
	}
	return n
}

// capacityFor is how many tasks of the step the worker could take now.
func capacityFor(s *Pending, w *Worker) int { return seatsIn(s, w, w.Free) }

// seatsIn is how many tasks of the step fit into room on a worker.
func seatsIn(s *Pending, w *Worker, room model.Resources) int {
	n := len(s.Waiting)
	if !s.Step.Filler {
		n = bound(n, s.Step.Need.MilliCPU, room.MilliCPU)
		n = bound(n, s.Step.Need.MemoryMB, room.MemoryMB)
		n = bound(n, s.Step.Need.Accelerators, room.Accelerators)
	}
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
