package plan

import (
	"cmp"
	"iter"
	"slices"

	"github.com/cespare/xxhash/v2"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/model"
)

const (
	// maxRequestWorkers limits the workers in one advice request. The placement policy is
	// reported to refuse requests that name more, so that the step gets no advice at all.
	// maxGangRequestWorkers limits the workers that are requested for a gang at a
	// time. Unless the pool is scarce they are split into concurrent requests of
	// gangBatchSize workers, each of which is answered sooner than one request for all.
	maxRequestWorkers     = 100
	maxGangRequestWorkers = 200
	gangBatchSize         = 50
	// maxRenewedWorkers is the number of workers up to which eligible workers
	// outside a gang's slots get their tickets renewed too. The workers that hold
	// the slots are always renewed.
	maxRenewedWorkers = 40
	// minGangBatches is the number of a gang's batches that are sent even if too
	// few advisers are idle for low-priority requests. They still leave the
	// reservedAdvisers idle.
	minGangBatches = 2
	// minIdleAdviserShare is the share of the advisers that must be idle before a
	// low-priority request is sent.
	minIdleAdviserShare = 0.5
	// requestOversampling and gangRequestOversampling are the ratios of the slots
	// that a request is expected to make available to the tasks that need one. The
	// ratio is higher for a gang, since all of its tasks must fit at once.
	requestOversampling     = 2.0
	gangRequestOversampling = 5.0
	// quickGangOversampling is the ratio for a gang whose policy is quick, since a
	// further request soon follows.
	quickGangOversampling = 3.0
	// workersPerStart is the distance of the workers at which the requests for
	// different gangs begin.
	workersPerStart = 100
	// minRequestWorkers is the minimum number of workers in a request, provided
	// that there are so many candidates.
	minRequestWorkers = 6
	// slowDecideMillis and mediumDecideMillis are thresholds of a policy's
	// decision time, in milliseconds. Policies below both are quick. A request to a policy at or above a
	// threshold must leave the matching share of all advisers idle for faster
	// policies.
	slowDecideMillis    = 200.0
	slowReservedShare   = 0.34
	mediumDecideMillis  = 30.0
	mediumReservedShare = 0.17
	// defaultEligibleShare applies until the eligible share of a queue has been
	// measured.
	defaultEligibleShare = 0.5
)

// requestAdvice requests the placement policy's advice for the unplaced tasks of
// a step. It lists workers on which a task fits and which have no valid ticket:
// eligible workers first and suspect ones last, and otherwise those with the
// least free CPU first, so that the emptiest workers stay available for large
// tasks.
func (p *planner) requestAdvice(s *Pending, missing int) {
	if !p.mayRequestAdvice(s) {
		return
	}
	p.addAdviceRequest(s, p.chooseWorkers(s, p.adviceOrder(s), float64(missing)*requestOversampling, maxRequestWorkers, freeSlots))
}

// requestFreeWorkers requests advice for a gang about workers that have free task slots
// now, and reports whether such a request is sent or in flight. It does so only for
// quick policies: their answer is there before the capacity is taken, so that the gang
// need not wait for the workers that it was told about earlier.
func (p *planner) requestFreeWorkers(s *Pending) bool {
	if s.Advice == nil || !s.hasQuickPolicy() {
		return false
	}
	if s.Advice.InFlight > 0 {
		return true
	}
	if !p.mayRequestAdvice(s) {
		return false
	}
	ids := p.chooseWorkers(s, p.adviceOrder(s), float64(len(s.Waiting))*quickGangOversampling, maxRequestWorkers, freeSlots)
	slots := 0
	for _, id := range ids {
		slots += freeSlots(s, p.byID[id])
	}
	for _, w := range p.withValidTickets(s) {
		slots += freeSlots(s, w)
	}
	if len(ids) == 0 || slots < len(s.Waiting) {
		return false
	}
	p.addAdviceRequest(s, ids)
	return true
}

// hasQuickPolicy reports whether the placement policy answers requests for the step
// quickly.
func (s *Pending) hasQuickPolicy() bool { return s.Queue.Advice.DecideMillis < mediumDecideMillis }

// adviceOrder yields the workers that an advice request for the step may name, in the
// order of requestAdvice. The CPU that was free at the start of the plan counts. The
// consumer usually needs only the first few, which are found without a look at the
// rest.
func (p *planner) adviceOrder(s *Pending) iter.Seq[*Worker] {
	usable := func(w *Worker, r adviceRank) bool {
		return w.Suspect == r.suspect && (r.anySpeed || p.suits(s, w) == r.suits) && fits(s, w) && !p.hasValidTicket(s, w)
	}
	return func(yield func(*Worker) bool) {
		eligible := slices.Clone(p.eligible(s))
		slices.SortStableFunc(eligible, func(a, b *Worker) int { return cmp.Compare(a.Free.MilliCPU, b.Free.MilliCPU) })
		for _, rank := range s.adviceRanks() {
			for _, w := range eligible {
				if usable(w, rank) && !yield(w) {
					return
				}
			}
			for _, w := range p.leastFreeFirst(s.Pool) {
				if usable(w, rank) && p.notEvaluated(s, w) && !yield(w) {
					return
				}
			}
		}
	}
}

// leastFreeFirst returns the pool's workers in the order of the CPU that was free when
// it was first called in this plan. The caller must not modify the slice.
func (p *planner) leastFreeFirst(pool string) []*Worker {
	if sorted, ok := p.poolsByFree[pool]; ok {
		return sorted
	}
	sorted := slices.Clone(p.pools[pool])
	slices.SortStableFunc(sorted, func(a, b *Worker) int { return cmp.Compare(a.Free.MilliCPU, b.Free.MilliCPU) })
	p.poolsByFree[pool] = sorted
	return sorted
}

// gangCandidate is a worker that an advice request for a gang may name.
type gangCandidate struct {
	worker *Worker
	// free is the number of the gang's task slots that are free on the worker now, and
	// available that with those that preemption would free.
	free, available int
	// muchSlower says that the worker's speed does not suit the gang.
	muchSlower bool
	// order breaks ties, see firstCandidate.
	order int
}

// compareGangCandidates orders suspect workers last and much slower ones before them, then
// those with the most free slots first, and then those with the most available ones.
func compareGangCandidates(a, b gangCandidate) int {
	return cmp.Or(compareBool(a.worker.Suspect, b.worker.Suspect), compareBool(a.muchSlower, b.muchSlower),
		cmp.Compare(b.free, a.free), cmp.Compare(b.available, a.available), cmp.Compare(a.order, b.order))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// requestGangAdvice requests advice for a gang about the workers that accept returns
// true for. It lists those with the most free task slots first and suspect ones last.
// Capacity that is being released or can be preempted counts after that.
func (p *planner) requestGangAdvice(s *Pending, accept func(*Pending, *Worker) bool) {
	if !p.mayRequestAdvice(s) {
		return
	}
	rules := p.adviceRulesFor(s)
	var candidates []gangCandidate
	first := s.firstCandidate(len(p.in.Workers))
	for _, w := range p.pools[s.Pool] {
		if w.hasLabel(s.Step.Requires) && accept(s, w) {
			order := (w.inputIndex - first + len(p.in.Workers)) % len(p.in.Workers)
			candidates = append(candidates, gangCandidate{w, freeSlots(s, w), availableSlots(s, w), !p.suits(s, w), order})
		}
	}
	slices.SortFunc(candidates, compareGangCandidates)
	order := func(yield func(*Worker) bool) {
		for i := range candidates {
			if !yield(candidates[i].worker) {
				return
			}
		}
	}
	ids := p.chooseWorkers(s, order, float64(len(s.Waiting))*rules.requestOversampling, maxGangRequestWorkers, availableSlots)
	requested := 0
	for batch := range slices.Chunk(ids, rules.requestBatch) {
		if p.in.IdleAdvisers <= p.reservedAdvisers(s) || (requested >= rules.minBatches && !p.advisersIdle(s)) {
			return
		}
		p.addAdviceRequest(s, batch)
		requested++
	}
}

// firstCandidate returns the index, below n, of the worker with which the step's
// candidates begin. Gangs that wait at the same time begin at different workers of a
// large pool, so that they don't all count on the same ones. In a small pool they share
// the first workers, which leaves the others to small tasks.
func (s *Pending) firstCandidate(n int) int {
	starts := max(1, n/workersPerStart)
	return int(xxhash.Sum64String(s.Key.String())%uint64(starts)) * workersPerStart
}

// availableSlots returns the number of the step's task slots on the worker, with those
// that preemption would free.
func availableSlots(s *Pending, w *Worker) int { return slotsIn(s, w, w.availableTo(s.Queue.Priority)) }

// availableTo returns the worker's future free capacity plus the capacity of the
// tasks that work of the given priority may preempt.
func (w *Worker) availableTo(priority int) model.Resources {
	capacity := futureFreeCapacity(w)
	for i := range w.Victims {
		if w.Victims[i].Priority > priority && !w.Victims[i].kept {
			capacity = capacity.Add(w.Victims[i].Need)
		}
	}
	return capacity
}

// renewTickets requests new tickets for the workers that hold a gang's slots, and
// for other eligible workers up to maxRenewedWorkers in all.
func (p *planner) renewTickets(s *Pending, slots []*Worker) {
	if !p.mayRequestAdvice(s) {
		return
	}
	var ids []cell.WorkerID
	for _, w := range slots {
		if !slices.Contains(ids, w.ID) {
			ids = append(ids, w.ID)
		}
	}
	for _, w := range p.eligible(s) {
		if len(ids) < p.adviceRulesFor(s).renewedWorkers && !slices.Contains(ids, w.ID) {
			ids = append(ids, w.ID)
		}
	}
	for batch := range slices.Chunk(ids, p.adviceRulesFor(s).requestBatch) {
		p.addAdviceRequest(s, batch)
	}
}

// advisersIdle reports whether enough advisers are idle for a low-priority request for
// the step. One to a quick policy occupies its adviser for so short a time that any
// idle one will do.
func (p *planner) advisersIdle(s *Pending) bool {
	if s.hasQuickPolicy() {
		return p.in.IdleAdvisers > 0
	}
	return float64(p.in.IdleAdvisers) > minIdleAdviserShare*float64(p.in.AllAdvisers)
}

// mayRequestAdvice reports whether advice for the step may be requested now: it
// needs advice, none of its requests is in flight, and an adviser is available.
// A gang that can no longer end in time is served only while enough advisers
// are idle.
func (p *planner) mayRequestAdvice(s *Pending) bool {
	if s.Advice == nil || (s.late(p.in.Now) && s.Step.Gang && !p.advisersIdle(s)) {
		return false
	}
	return s.Advice.InFlight == 0 && p.in.IdleAdvisers > p.reservedAdvisers(s)
}

// reservedAdvisers returns the number of advisers that a request for the step
// must leave idle.
func (p *planner) reservedAdvisers(s *Pending) int {
	share := 0.0
	switch decideMillis := s.Queue.Advice.DecideMillis; {
	case decideMillis >= slowDecideMillis:
		share = slowReservedShare
	case decideMillis >= mediumDecideMillis:
		share = mediumReservedShare
	}
	return int(share * float64(p.in.AllAdvisers))
}

// addAdviceRequest adds a request for the given workers to the plan, and does
// nothing if there are none.
func (p *planner) addAdviceRequest(s *Pending, workers []cell.WorkerID) {
	if len(workers) == 0 {
		return
	}
	p.in.IdleAdvisers--
	s.Advice.InFlight++
	p.out.AdviceRequests = append(p.out.AdviceRequests, AdviceRequest{s.Key, s.Queue.Name, workers})
}

// chooseWorkers returns the first candidates that together are expected to
// provide wantSlots task slots on eligible workers: at least minRequestWorkers if
// there are so many, and at most maxWorkers. The slots of workers that have not been
// evaluated are weighted by the queue's eligible share.
func (p *planner) chooseWorkers(s *Pending, candidates iter.Seq[*Worker], wantSlots float64, maxWorkers int, slots func(*Pending, *Worker) int) []cell.WorkerID {
	eligibleShare := p.in.EligibleShare[s.Queue.Name]
	if eligibleShare <= 0 {
		eligibleShare = defaultEligibleShare
	}
	var ids []cell.WorkerID
	expectedSlots := 0.0
	for w := range candidates {
		if len(ids) == maxWorkers || (expectedSlots >= wantSlots && len(ids) >= minRequestWorkers) {
			break
		}
		n := float64(slots(s, w))
		if !p.isEligible(s, w) {
			n *= eligibleShare
		}
		expectedSlots += n
		ids = append(ids, w.ID)
	}
	return ids
}
