package plan

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"slices"
	"time"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/clock"
)

// Order is the rule by which waiting steps get capacity that doesn't suffice for all.
type Order int

const (
	// LeastCost serves as many callers as possible within their objectives.
	LeastCost Order = iota
	// LatestStart serves the steps that can still be on time in the order of their latest
	// starts, whether or not capacity suffices for them all.
	LatestStart
)

// ParseOrder parses the name of an order. The empty name stands for LeastCost.
func ParseOrder(name string) (Order, error) {
	switch name {
	case "", "least-cost":
		return LeastCost, nil
	case "latest-start":
		return LatestStart, nil
	}
	return LeastCost, fmt.Errorf("order %q is not known: it must be least-cost or latest-start", name)
}

// Standing is the prospect of a waiting step when capacity is given out. Steps of a lower
// standing are planned first.
type Standing int

const (
	// OnTime steps are expected to end within their objective.
	OnTime Standing = iota
	// HeldBack steps could end within their objective alone, but capacity doesn't suffice
	// for them and for the steps that need less of it.
	HeldBack
	// Late steps can no longer end within their objective, but within lateFactor times the
	// objective.
	Late
	// Hopeless steps are expected to end after lateFactor times their objective.
	Hopeless
)

// String implements fmt.Stringer.
func (s Standing) String() string {
	return [...]string{"on-time", "held-back", "late", "hopeless"}[s]
}

const (
	// lateFactor is the multiple of its objective within which a late job still has some
	// value to its caller.
	lateFactor = 3
	// usableShare is the share of a pool's capacity that tasks occupy when more work waits
	// than fits. The rest is in fragments, being gathered for gangs, or waiting for the
	// placement policy.
	usableShare = 0.8
	// scarceBacklog is the time that a pool's usable capacity needs for all waiting work from
	// which on the pool is scarce. A gang of 5 s has 8 s of slack by its objective (2.2 times
	// its critical path and 1 s), of which advice, renewed tickets and stops take 2 to 3 s. With
	// 2 s, gangs of TestLargeLoad became late that are on time by latest start; with 4 s fewer
	// gangs of TestScarceLoad are on time.
	scarceBacklog = 3 * time.Second
)

// assignStandings finds the scarce pools and sets the standing of each step. Steps are held
// back in scarce pools only.
func (p *planner) assignStandings() {
	byPool := map[string][]*Pending{}
	for i := range p.in.Pending {
		s := &p.in.Pending[i]
		byPool[s.Pool] = append(byPool[s.Pool], s)
	}
	for pool, steps := range byPool {
		rate := usableShare * p.poolCPU(pool)
		selectOnTime(steps, rate, p.in.Now)
		p.usableCPU[pool] = rate
		p.scarce[pool] = isScarce(steps, rate)
		for _, s := range steps {
			if s.standing == HeldBack && !p.scarce[pool] {
				s.standing = OnTime
			}
			s.byWork = p.scarce[pool] || s.standing != OnTime
		}
	}
}

// poolCPU returns the CPU capacity of a pool in cores.
func (p *planner) poolCPU(pool string) float64 {
	var all int64
	for _, w := range p.pools[pool] {
		all += w.Capacity.MilliCPU
	}
	return float64(all) / 1000
}

// isScarce reports whether a pool with the given rate of work, in usable cores, is scarce.
func isScarce(steps []*Pending, rate float64) bool {
	work := 0.0
	for _, s := range steps {
		work += s.waitingWork()
	}
	return work > rate*float64(scarceBacklog.Milliseconds())
}

// selectOnTime sets the standings of the steps of a pool with the given rate of work, in
// usable cores.
//
// It treats the pool as one machine that does the steps' work one after the other, at that
// rate, and selects the steps to end in time with the algorithm of
// Moore and Hodgson (J. M. Moore, "An n job, one machine sequencing algorithm for
// minimizing the number of late jobs", Management Science 15, 1968): it takes the steps in
// the order of their latest starts, and whenever one of them can't be done in time, it
// holds back the largest of those taken. The number of steps that end in time is then the
// largest possible. Where capacity suffices none is held back. Each priority is
// selected by itself, and steps of workspaces beyond their share too, since they come after
// the others: less urgent steps also run in capacity that more urgent gangs can't use, and
// would otherwise be held back without need.
func selectOnTime(steps []*Pending, rate float64, now clock.Instant) {
	slices.SortStableFunc(steps, func(a, b *Pending) int {
		return cmp.Or(cmp.Compare(shareRank(a), shareRank(b)), cmp.Compare(a.latestStart(), b.latestStart()))
	})
	selected, work := workHeap{}, 0.0
	rank := -1
	for _, s := range steps {
		switch {
		case s.late(now):
			s.standing = s.lateStanding(now)
			continue
		case now > s.latestStart():
			s.standing = OnTime
			continue
		}
		if r := shareRank(s); r != rank {
			rank, selected, work = r, selected[:0], 0
		}
		s.standing = OnTime
		heap.Push(&selected, s)
		work += s.waitingWork()
		available := rate * float64(s.latestStart().Sub(now).Milliseconds())
		for work-s.waitingWork() > available && len(selected) > 0 {
			largest := heap.Pop(&selected).(*Pending)
			largest.standing = HeldBack
			work -= largest.waitingWork()
			if largest == s {
				break
			}
		}
	}
}

// shareRank is the sort key of a step by workspace share and priority.
func shareRank(s *Pending) int {
	r := s.Queue.Priority
	if s.OverShare {
		r += overShareRank
	}
	return r
}

// lateStanding returns the standing of a step that can't end within its objective.
func (s *Pending) lateStanding(now clock.Instant) Standing {
	if s.endsTooLate(now) {
		return Hopeless
	}
	return Late
}

// endsTooLate reports whether the job is expected to end after lateFactor times its
// objective if the step starts at the given time.
func (s *Pending) endsTooLate(start clock.Instant) bool {
	return s.Objective > 0 && !s.Step.Service && start.Add(s.Remaining) > s.Deadline.Add((lateFactor-1)*s.Objective)
}

// workHeap holds steps, the one with the most waiting work first.
type workHeap []*Pending

func (h workHeap) Len() int           { return len(h) }
func (h workHeap) Less(i, j int) bool { return h[i].waitingWork() > h[j].waitingWork() }
func (h workHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *workHeap) Push(x any) { *h = append(*h, x.(*Pending)) }

// Pop implements heap.Interface.
func (h *workHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// sortByStanding sorts steps by standing and shareRank. Steps that are expected to be on
// time then come in the order of their latest starts where capacity suffices. In scarce
// pools, and among the steps that are not expected to be on time, those that need the least
// work come first: as many callers as possible are then served while time is left.
func sortByStanding(steps []Pending) {
	slices.SortStableFunc(steps, func(a, b Pending) int {
		c := cmp.Or(cmp.Compare(a.standing, b.standing), cmp.Compare(shareRank(&a), shareRank(&b)))
		switch {
		case c != 0:
			return c
		case a.byWork != b.byWork:
			if a.byWork {
				return 1
			}
			return -1
		case a.byWork:
			return cmp.Compare(a.waitingWork(), b.waitingWork())
		}
		return cmp.Compare(a.latestStart(), b.latestStart())
	})
}

// HopelessReason is why a job is expected to end after lateFactor times its objective.
type HopelessReason string

const (
	// ReasonRunTime says that the job's own remaining run time is too long.
	ReasonRunTime HopelessReason = "run-time"
	// ReasonQueue says that it would wait too long behind the work that comes before it, while
	// the queue stays as it is.
	ReasonQueue HopelessReason = "queue"
)

// HopelessStep is a waiting step of a job that is expected to end after lateFactor times its
// objective. The job is run all the same, since it was accepted.
type HopelessStep struct {
	Key    cell.StepKey
	Queue  string
	Reason HopelessReason
	// Wait is the expected time until the step gets its turn.
	Wait time.Duration
}

// reportStandings counts the steps by queue and standing and lists the hopeless ones.
// in.Pending is in the order in which the plan is made.
func (p *planner) reportStandings() {
	for _, pool := range slices.Sorted(maps.Keys(p.scarce)) {
		if p.scarce[pool] {
			p.out.ScarcePools = append(p.out.ScarcePools, pool)
		}
	}
	p.out.Standings = map[string]*[Hopeless + 1]int{}
	work := map[string]float64{}
	for i := range p.in.Pending {
		s := &p.in.Pending[i]
		if p.out.Standings[s.Queue.Name] == nil {
			p.out.Standings[s.Queue.Name] = &[Hopeless + 1]int{}
		}
		p.out.Standings[s.Queue.Name][s.standing]++
		wait := time.Duration(work[s.Pool] / max(1, p.usableCPU[s.Pool]) * float64(time.Millisecond))
		work[s.Pool] += s.waitingWork()
		switch {
		case s.standing == Hopeless:
			p.out.Hopeless = append(p.out.Hopeless, HopelessStep{s.Key, s.Queue.Name, ReasonRunTime, wait})
		case s.endsTooLate(p.in.Now.Add(wait)):
			p.out.Hopeless = append(p.out.Hopeless, HopelessStep{s.Key, s.Queue.Name, ReasonQueue, wait})
		}
	}
}
