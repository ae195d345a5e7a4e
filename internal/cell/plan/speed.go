package plan

import (
	"cmp"
	"math"
	"slices"
	"time"

	"kumquatwing/internal/clock"
	"kumquatwing/internal/model"
)

const (
	// speedTolerance is the factor within which the speeds of two workers count as
	// equal. Measured speeds of equal workers differ by up to that.
	speedTolerance = 1.1
	// muchFaster is the least ratio of the speeds of two classes; those of a smaller ratio
	// are one. The work with the least slack may take 1.5 times its run time, so that it is
	// on time on workers that are slower by less. With a third of the workers faster by 1.3
	// and scarce capacity, callers were served no better by a distinction.
	muchFaster = 1.5
	// mainClassShare is the least share of a pool's workers in a speed class for which a
	// gang times its wait for faster workers.
	mainClassShare = 0.05
	// startDelay is the time from a plan to the begin of the runs that it starts.
	startDelay = 100 * time.Millisecond
	// A step prefers slow workers on which it ends on time even if its tasks take
	// comfortFactor times as long as predicted, and comfortSlack besides. Predicted run
	// times of short tasks have an error that does not shrink with them.
	comfortFactor = 1.5
	comfortSlack  = 500 * time.Millisecond
	// scarceShare is the free share of the CPU capacity of a pool's fastest class below
	// which work with slack leaves these workers to other work.
	scarceShare = 0.2
	// minFastSlack is the least slack on fast workers with which a task waits for one. In it
	// a quick policy answers and several tasks of a second end on the workers it names.
	minFastSlack = 300 * time.Millisecond
	// A gang waits for faster workers if they lack at most the share maxMissingShare of its
	// slots, so that the rest soon becomes free, and if it ends there earlier by at least
	// minEarlierEnd. That is longer than the few tasks of the missing slots take to end.
	maxMissingShare = 0.4
	minEarlierEnd   = time.Second
)

// speedClass is a set of workers of a pool whose speeds count as equal. The speeds of two
// classes differ by muchFaster or more. The fastest class is a main one.
type speedClass struct {
	// speed is the median of the class.
	speed float64
	// main says that the class has at least mainClassShare of the pool's workers.
	main bool
}

// stepSpeed tells how the speed of workers matters to a step. The zero value is that of
// steps in pools whose workers all count as equally fast.
type stepSpeed struct {
	// varied says that the speeds of the pool's workers differ.
	varied bool
	// required is the least speed of a worker on which the step's tasks are started now, 0
	// for none.
	required float64
	// comfortable is the speed from which on a worker is fast enough with time to spare.
	comfortable float64
	// waits says that the gang waits although it could start now.
	waits bool
	// fastest is the speed of the pool's fastest class.
	fastest float64
}

// setSpeedClasses sets the class speeds of the pool's workers and returns the classes,
// fastest first. It returns nil if all speeds count as equal.
func setSpeedClasses(ws []*Worker) []speedClass {
	if len(ws) == 0 {
		return nil
	}
	slowest, fastest := ws[0].Speed, ws[0].Speed
	for _, w := range ws {
		slowest, fastest = min(slowest, w.Speed), max(fastest, w.Speed)
	}
	if fastest <= slowest*speedTolerance {
		setEqualSpeeds(ws)
		return nil
	}
	sorted := slices.Clone(ws)
	slices.SortFunc(sorted, func(a, b *Worker) int { return cmp.Compare(b.Speed, a.Speed) })
	ends := classEnds(sorted)
	if len(ends) == 1 {
		setEqualSpeeds(ws)
		return nil
	}
	var classes []speedClass
	begin := 0
	for _, end := range ends {
		c := speedClass{speed: medianSpeed(sorted[begin:end]), main: float64(end-begin) >= mainClassShare*float64(len(ws))}
		for _, w := range sorted[begin:end] {
			w.classSpeed, w.rareSpeed = c.speed, !c.main
		}
		classes = append(classes, c)
		begin = end
	}
	return classes
}

// classEnds divides workers that are sorted by speed, fastest first, into classes, and
// returns the index after the last worker of each.
func classEnds(sorted []*Worker) []int {
	minMain := mainClassShare * float64(len(sorted))
	var ends []int
	// begin is the first worker of the last class in ends, and next that of the group of
	// workers whose speeds are close to each other.
	begin, next := 0, 0
	for next < len(sorted) {
		end := next + 1
		for end < len(sorted) && sorted[end].Speed*speedTolerance >= sorted[end-1].Speed {
			end++
		}
		n := len(ends)
		switch {
		case n > 0 && (medianSpeed(sorted[next:end])*muchFaster > medianSpeed(sorted[begin:next]) || (n == 1 && float64(next) < minMain)):
			ends[n-1] = end
		default:
			ends, begin = append(ends, end), next
		}
		next = end
	}
	return ends
}

func medianSpeed(sorted []*Worker) float64 { return sorted[len(sorted)/2].Speed }

// setEqualSpeeds sets one class speed for all workers.
func setEqualSpeeds(ws []*Worker) {
	for _, w := range ws {
		w.classSpeed = 1
	}
}

// fastFreeShare returns the free share of the CPU capacity of the fastest class, 1 without
// classes.
func fastFreeShare(ws []*Worker, classes []speedClass) float64 {
	if len(classes) == 0 {
		return 1
	}
	var free, all int64
	for _, w := range ws {
		if w.classSpeed == classes[0].speed {
			free += max(0, w.Free.MilliCPU)
			all += w.Capacity.MilliCPU
		}
	}
	return float64(free) / float64(max(1, all))
}

// setSpeeds classifies the workers of all pools and sets the speeds that the pending
// steps need.
func (p *planner) setSpeeds() {
	p.speedClasses = make(map[string][]speedClass, len(p.pools))
	p.fastScarce = make(map[string]bool, len(p.pools))
	for name, ws := range p.pools {
		p.speedClasses[name] = setSpeedClasses(ws)
		p.fastScarce[name] = fastFreeShare(ws, p.speedClasses[name]) < scarceShare
	}
	for i := range p.in.Pending {
		s := &p.in.Pending[i]
		if classes := p.speedClasses[s.Pool]; len(classes) > 1 {
			s.speed = p.speedFor(s, classes)
		}
	}
}

// speedFor returns the speeds that the step needs now.
//
// A single task that would be late on a slow worker and can still be on time on a fast one
// is kept for a fast one, but only while at least minFastSlack is left for one to become
// free: a late job has a fraction of its value however late it is, but with less time the
// fast worker probably comes too late as well. A task that is late everywhere takes any
// worker. Whether a gang waits is decided in fastestSlots.
func (p *planner) speedFor(s *Pending, classes []speedClass) stepSpeed {
	out := stepSpeed{varied: true, comfortable: math.Inf(1), fastest: classes[0].speed}
	if s.Step.Gang {
		return out
	}
	if p.fastScarce[s.Pool] {
		out.comfortable = s.speedNeeded(p.in.Now.Add(comfortSlack)) * comfortFactor
	}
	fastest := p.fastestUsable(s, classes)
	if s.speedNeeded(p.in.Now.Add(startDelay+minFastSlack)) <= fastest {
		out.required = s.speedNeeded(p.in.Now.Add(startDelay))
	}
	return out
}

// speedNeeded returns the least speed of workers on which the step's tasks can begin at
// the given time for its job to end on time. It is at least 1000 if no speed suffices.
func (s *Pending) speedNeeded(begin clock.Instant) float64 {
	afterwards := max(0, s.Remaining-s.TaskTime)
	left := s.Deadline.Sub(begin) - afterwards
	return float64(s.TaskTime) / float64(max(left, s.TaskTime/1000, 1))
}

// fastestUsable returns the speed of the fastest class from which on the workers of the
// pool could hold the step, a gang as a whole, if they were empty.
func (p *planner) fastestUsable(s *Pending, classes []speedClass) float64 {
	wanted := 1
	if s.Step.Gang {
		wanted = len(s.Waiting)
	}
	for _, c := range classes {
		missing := wanted
		for _, w := range p.pools[s.Pool] {
			if w.classSpeed < c.speed || !w.hasLabel(s.Step.Requires) || !p.mayBeEligible(s, w) {
				continue
			}
			if missing -= slotsIn(s, w, w.Capacity); missing <= 0 {
				return c.speed
			}
		}
	}
	return 0
}

// tooSlow reports whether the step's tasks are not to be started on the worker, since
// they would end late there or its gang waits for faster ones.
func (s *Pending) tooSlow(w *Worker) bool { return s.speed.varied && w.classSpeed < s.speed.required }

// speedScore returns the term of the score that depends on the worker's speed. Where a
// single task has time to spare it prefers the slow workers, which leaves the fast ones to
// work with little slack. Workers of rare speeds are probably slow for a while only, and get
// no such preference. A gang takes the slowest among the workers that fastestSlots allows:
// its pace is that of the slowest anyway.
func (s *Pending) speedScore(w *Worker) float64 {
	switch {
	case s.speed.varied && s.Step.Gang:
		return -speedWeight * w.classSpeed
	case s.speed.varied && !w.rareSpeed && w.classSpeed >= s.speed.comfortable:
		// Above the score of all workers that are not fast enough with time to spare.
		return speedWeight * (s.speed.comfortable + s.speed.fastest - w.classSpeed)
	}
	return speedWeight * w.classSpeed
}

// suits reports whether the worker is of the speed that the step prefers: one that leaves
// the fast workers to others if the step has time to spare, and otherwise one that is not
// much slower than the fastest.
func (p *planner) suits(s *Pending, w *Worker) bool {
	classes := p.speedClasses[s.Pool]
	if len(classes) < 2 {
		return true
	}
	muchSlower := w.classSpeed < classes[0].speed
	if !s.Step.Gang && s.speed.comfortable <= classes[len(classes)-1].speed {
		return muchSlower && !w.rareSpeed
	}
	return !muchSlower
}

// fastestSlots returns the slots of assignSlots on the workers of the fastest classes that
// hold the gang, so that its slowest worker is as fast as possible. It returns nil if all
// classes together don't hold it, or if the gang had better wait for faster workers; then
// it makes the slower ones too slow for the gang for the rest of the plan.
//
// The gang starts at once on the workers that hold it unless waiting is expected to end it
// clearly earlier. Waiting while its deadline allows was tried: it depends on an estimate
// that is off by a factor of up to 6, and gangs waited until they were late.
func (p *planner) fastestSlots(s *Pending, candidates []*Worker, capacity func(*Worker) model.Resources) []*Worker {
	nearlyFits := 0.0
	for _, c := range p.speedClasses[s.Pool] {
		fast := slices.DeleteFunc(slices.Clone(candidates), func(w *Worker) bool { return w.classSpeed < c.speed })
		slots := assignSorted(s, fast, capacity)
		switch {
		case slots != nil && p.waitsFor(s, nearlyFits, c.speed):
			s.speed.required, s.speed.waits = nearlyFits, true
			return nil
		case slots != nil:
			return slots
		case nearlyFits == 0 && lacksFew(s, fast, capacity):
			nearlyFits = c.speed
		}
	}
	return nil
}

// waitsFor reports whether the gang waits for workers of the faster speed, 0 for none,
// although it could start on slower ones: if it ends there clearly earlier, does not
// become late by the wait, and may reserve what is free there.
func (p *planner) waitsFor(s *Pending, faster, slower float64) bool {
	if faster == 0 || p.reservingGangs >= p.maxReservingGangs(s) || float64(s.TaskTime)/slower-float64(s.TaskTime)/faster < float64(minEarlierEnd) {
		return false
	}
	begin := p.in.Now.Add(startDelay)
	if s.speedNeeded(begin) <= slower {
		return s.speedNeeded(begin.Add(minEarlierEnd)) <= slower
	}
	return s.speedNeeded(begin.Add(minFastSlack)) <= faster
}

// lacksFew reports whether the workers hold all but maxMissingShare of the gang's waiting
// tasks.
func lacksFew(s *Pending, ws []*Worker, capacity func(*Worker) model.Resources) bool {
	n := 0
	for _, w := range ws {
		n += slotsIn(s, w, capacity(w))
	}
	return float64(n) >= (1-maxMissingShare)*float64(len(s.Waiting))
}

// adviceRank selects the workers of one part of adviceOrder.
type adviceRank struct {
	suspect bool
	// suits selects the workers that suit the step, or the others. With anySpeed it has no
	// effect.
	suits, anySpeed bool
}

var (
	equalSpeedRanks  = []adviceRank{{anySpeed: true}, {anySpeed: true, suspect: true}}
	variedSpeedRanks = []adviceRank{{suits: true}, {}, {anySpeed: true, suspect: true}}
)

// adviceRanks returns the parts of adviceOrder for the step.
func (s *Pending) adviceRanks() []adviceRank {
	if s.speed.varied {
		return variedSpeedRanks
	}
	return equalSpeedRanks
}
