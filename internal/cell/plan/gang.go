package plan

import (
	"cmp"
	"slices"
	"time"

	"kumquatwing/internal/model"
)

const (
	// minReservingGangs and workersPerReservingGang limit the gangs that may reserve
	// free capacity while they wait for more. With n workers in the pool, the limit
	// is n/workersPerReservingGang, but at least minReservingGangs.
	minReservingGangs       = 2
	workersPerReservingGang = 100
	// searchedGangsFactor limits the waiting gangs for which a plan searches runs to
	// preempt, as a multiple of those that may reserve capacity. The search takes
	// long, and the less urgent gangs would find little left.
	searchedGangsFactor = 2
	// mostlyFreeShare is the free share of a pool's CPU capacity from which on a
	// gang that doesn't fit requests advice about more workers instead of reserving
	// capacity.
	mostlyFreeShare = 0.5
	// urgentSlack is the time before a gang's latest start from which on it may
	// preempt up to maxLostWorkShareUrgent. Before that it is limited to
	// maxLostWorkShare and otherwise waits for less urgent tasks to end.
	urgentSlack = 2500 * time.Millisecond
	// ticketRenewalMargin is the time before their expiry at which the tickets of a
	// gang that is about to be placed are renewed.
	ticketRenewalMargin = 400 * time.Millisecond
	// maxRenewingGangs limits the waiting gangs whose tickets are kept valid.
	maxRenewingGangs = 8
)

// placeGang starts all waiting tasks of a gang or none. For a gang that doesn't
// fit yet it requests advice, preempts less urgent tasks or reserves capacity. A
// gang beyond its workspace's quota is skipped.
func (p *planner) placeGang(s *Pending, quota *Quota) {
	if !quota.allows(s.Step.Need.Scale(int64(len(s.Waiting)))) {
		return
	}
	if slots := p.assignSlots(s, withLabel(s, p.withValidTickets(s)), freeCapacity); slots != nil {
		for i, index := range s.Waiting {
			p.startTask(s, index, s.NextRun[i], slots[i])
		}
		return
	}
	if p.requestFreeWorkers(s) {
		return
	}
	if s.Advice != nil && len(s.Advice.Evaluated) == 0 {
		p.requestGangAdvice(s, p.mayBeEligible)
		return
	}
	if p.useFutureCapacity(s) {
		return
	}
	p.waitingGangs++
	if p.scarce[s.Pool] && p.yieldTo[s.Pool] == nil && s.standing == OnTime {
		p.yieldTo[s.Pool] = s
	}
	if p.waitingGangs > p.maxReservingGangs(s)*p.rulesFor(s).searchedGangsFactor {
		if p.needsAdvice(s) {
			p.requestGangAdvice(s, p.notEvaluated)
		}
		return
	}
	p.preemptOrReserve(s, withLabel(s, slices.Clone(p.eligible(s))))
}

// maxReservingGangs returns how many gangs may reserve free capacity in the step's
// pool while they wait for more.
func (p *planner) maxReservingGangs(s *Pending) int {
	return max(minReservingGangs, len(p.pools[s.Pool])/workersPerReservingGang)
}

// withLabel deletes the workers without the label that the step requires from ws,
// in place.
func withLabel(s *Pending, ws []*Worker) []*Worker {
	return slices.DeleteFunc(ws, func(w *Worker) bool { return !w.hasLabel(s.Step.Requires) })
}

// isEligible reports whether the placement policy lets the worker run the step,
// even if its ticket has expired.
func (p *planner) isEligible(s *Pending, w *Worker) bool {
	if s.Advice == nil {
		return true
	}
	_, ok := s.Advice.Eligible[w.ID]
	return ok
}

// mayBeEligible reports whether the worker is eligible, or the placement policy has
// not evaluated it yet.
func (p *planner) mayBeEligible(s *Pending, w *Worker) bool {
	return s.Advice == nil || !s.Advice.Evaluated[w.ID] || p.isEligible(s, w)
}

// freeCapacity returns the worker's present free capacity.
func freeCapacity(w *Worker) model.Resources { return w.Free }

// futureFreeCapacity returns the worker's free capacity once all tasks that are
// being stopped have ended.
func futureFreeCapacity(w *Worker) model.Resources { return w.Free.Add(w.Releasing) }

// assignSlots returns a worker for each waiting task of the gang, or nil if they
// don't all fit into the given capacity of the candidates. A SameRack gang is
// first tried on each rack alone. The slowest worker is as fast as possible.
// candidates may be sorted in place.
func (p *planner) assignSlots(s *Pending, candidates []*Worker, capacity func(*Worker) model.Resources) []*Worker {
	if !hasSlots(s, candidates, capacity) {
		return nil
	}
	if s.speed.varied {
		return p.fastestSlots(s, candidates, capacity)
	}
	return assignSorted(s, candidates, capacity)
}

// assignSorted assigns the gang's waiting tasks to the candidates with the best scores.
// candidates is sorted in place.
func assignSorted(s *Pending, candidates []*Worker, capacity func(*Worker) model.Resources) []*Worker {
	if !hasSlots(s, candidates, capacity) {
		return nil
	}
	slices.SortStableFunc(candidates, func(a, b *Worker) int { return cmp.Compare(score(s, b), score(s, a)) })
	if s.Step.SameRack {
		for _, rack := range racks(candidates) {
			if slots := fillSlots(s, inRack(candidates, rack), capacity); slots != nil {
				return slots
			}
		}
	}
	return fillSlots(s, candidates, capacity)
}

// hasSlots reports whether the gang's waiting tasks all fit into the given capacity
// of the candidates.
func hasSlots(s *Pending, candidates []*Worker, capacity func(*Worker) model.Resources) bool {
	missing := len(s.Waiting)
	for _, w := range candidates {
		if missing -= slotsIn(s, w, capacity(w)); missing <= 0 {
			return true
		}
	}
	return missing <= 0
}

// fillSlots assigns the gang's waiting tasks to the candidates in their order, and
// returns the worker of each task, or nil if they don't all fit.
func fillSlots(s *Pending, candidates []*Worker, capacity func(*Worker) model.Resources) []*Worker {
	var slots []*Worker
	for _, w := range candidates {
		for n := slotsIn(s, w, capacity(w)); n > 0 && len(slots) < len(s.Waiting); n-- {
			slots = append(slots, w)
		}
	}
	if len(slots) < len(s.Waiting) {
		return nil
	}
	return slots
}

// preemptOrReserve handles a gang that doesn't fit into the free capacity. If it
// fits into the future free capacity, or preemption makes it fit within the limit
// on lost work, its slots are reserved and expiring tickets are renewed. Otherwise
// reservePartial handles the gang. A gang that can no longer meet its deadline
// preempts nothing.
func (p *planner) preemptOrReserve(s *Pending, eligible []*Worker) {
	slots := p.assignSlots(s, eligible, futureFreeCapacity)
	if slack := s.latestStart().Sub(p.in.Now); slots == nil && slack >= 0 {
		maxLostShare := p.rulesFor(s).maxLostShare
		if slack < urgentSlack {
			maxLostShare = p.rulesFor(s).maxLostShareUrgent
		}
		slots = p.preempt(s, eligible, maxLostShare)
	}
	if slots == nil {
		p.reservePartial(s, eligible)
		return
	}
	p.holdSlots(s, slots)
}

// withLastingTickets returns the eligible workers whose tickets remain valid until
// the tasks stopped now have ended, with ticketRenewalMargin to spare.
func (p *planner) withLastingTickets(s *Pending, eligible []*Worker) []*Worker {
	if s.Advice == nil {
		return eligible
	}
	var out []*Worker
	for _, w := range eligible {
		if p.in.Now.Add(p.in.StopTime+ticketRenewalMargin) < s.Advice.Eligible[w.ID].ExpiresAt {
			out = append(out, w)
		}
	}
	return out
}

// reserve subtracts the capacity of the slots from the workers' free capacity, so
// that less urgent steps can't use it.
func (p *planner) reserve(s *Pending, slots []*Worker) {
	for _, w := range slots {
		w.Free = w.Free.Sub(s.Step.Reserved())
	}
}

// adviceTime returns the expected response time of an advice request for n
// workers.
func (s *Pending) adviceTime(n int) time.Duration {
	a := s.Queue.Advice
	return time.Duration((a.DecideMillis + float64(n)*a.PerWorkerMillis) * float64(time.Millisecond))
}

// ticketsExpireWithin reports whether the ticket of any of the workers expires
// within the period.
func (p *planner) ticketsExpireWithin(s *Pending, workers []*Worker, period time.Duration) bool {
	if s.Advice == nil {
		return false
	}
	for _, w := range workers {
		if s.Advice.Eligible[w.ID].ExpiresAt < p.in.Now.Add(period) {
			return true
		}
	}
	return false
}

// reservePartial reserves the free capacity of eligible workers for a gang that
// waits for more: those with the most free CPU first, until the gang would fit
// with preemption. A gang whose placement policy doesn't answer reserves nothing once its
// tickets have expired. If the eligible workers could not hold the gang even when empty,
// or if the pool is mostly free, it reserves nothing and requests advice about
// workers that have not been evaluated.
func (p *planner) reservePartial(s *Pending, eligible []*Worker) {
	if p.emptySlots(s, eligible) < len(s.Waiting) || p.freeShare(s.Pool) >= mostlyFreeShare {
		p.requestGangAdvice(s, p.notEvaluated)
		return
	}
	p.prepareTickets(s, eligible)
	if p.reservingGangs >= p.maxReservingGangs(s) || (p.policyFails(s) && len(p.withValidTickets(s)) == 0) {
		return
	}
	p.reservingGangs++
	left := len(s.Waiting)
	slices.SortStableFunc(eligible, func(a, b *Worker) int { return cmp.Compare(b.Free.MilliCPU, a.Free.MilliCPU) })
	for _, w := range eligible {
		n := slotsIn(s, w, w.availableTo(s.Queue.Priority))
		if n == 0 || left <= 0 {
			continue
		}
		left -= n
		w.Free = model.Resources{}
	}
}

// prepareTickets uses idle advisers for a gang that waits for capacity. It requests
// advice about workers that have not been evaluated. If there are none, it keeps
// the tickets of the first maxRenewingGangs such gangs valid, so that they start as
// soon as there is enough capacity.
func (p *planner) prepareTickets(s *Pending, eligible []*Worker) {
	if s.Advice == nil || !p.advisersIdle(s) {
		return
	}
	if slices.ContainsFunc(p.pools[s.Pool], func(w *Worker) bool { return w.hasLabel(s.Step.Requires) && p.notEvaluated(s, w) }) {
		p.requestGangAdvice(s, p.notEvaluated)
		return
	}
	if p.renewingGangs == maxRenewingGangs {
		return
	}
	p.renewingGangs++
	freest := slices.Clone(eligible)
	slices.SortStableFunc(freest, func(a, b *Worker) int { return cmp.Compare(b.Free.MilliCPU, a.Free.MilliCPU) })
	freest = freest[:min(len(freest), maxRenewedWorkers)]
	if p.ticketsExpireWithin(s, freest, ticketRenewalMargin+s.adviceTime(len(freest))) {
		p.renewTickets(s, freest)
	}
}

// freeShare returns the free share of the pool's CPU capacity.
func (p *planner) freeShare(pool string) float64 {
	var free, all int64
	for _, w := range p.pools[pool] {
		free += max(0, w.Free.MilliCPU)
		all += w.Capacity.MilliCPU
	}
	return float64(free) / float64(max(1, all))
}

// notEvaluated reports whether the step needs advice and the placement policy has
// not evaluated the worker yet.
func (p *planner) notEvaluated(s *Pending, w *Worker) bool {
	return s.Advice != nil && !s.Advice.Evaluated[w.ID]
}

// emptySlots returns the number of the step's task slots on the workers if they
// were empty.
func (p *planner) emptySlots(s *Pending, ws []*Worker) int {
	n := 0
	for _, w := range ws {
		n += slotsIn(s, w, w.Capacity)
	}
	return n
}

// freeSlots returns the number of the step's task slots that are free on the
// worker now.
func freeSlots(s *Pending, w *Worker) int { return slotsIn(s, w, w.Free) }

// slotsIn returns the number of waiting tasks of the step that fit into the given
// capacity of the worker, 0 if the worker is too slow.
func slotsIn(s *Pending, w *Worker, capacity model.Resources) int {
	if s.tooSlow(w) {
		return 0
	}
	n := len(s.Waiting)
	need := s.Step.Reserved()
	n = limitTasks(n, need.MilliCPU, capacity.MilliCPU)
	n = limitTasks(n, need.MemoryMB, capacity.MemoryMB)
	n = limitTasks(n, need.Accelerators, capacity.Accelerators)
	if s.Step.MaxPerWorker > 0 {
		n = min(n, s.Step.MaxPerWorker-s.OnWorker[w.ID])
	}
	return max(0, n)
}

// limitTasks returns n or, if less, the number of tasks that fit into free in one
// resource dimension.
func limitTasks(n int, need, free int64) int {
	if need <= 0 {
		return n
	}
	return min(n, int(max(0, free)/need))
}

// racks returns the distinct racks of the workers in order of first appearance.
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
