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
	// lastSlowStart is the time before the latest start on slower workers at which a gang
	// ceases to wait for fast ones. It covers two rounds of advice of a policy that takes a
	// second.
	lastSlowStart = 2 * time.Second
)

// speedClass is a set of workers of a pool whose speeds count as equal: each is within
// speedTolerance of the next one. The fastest class is a main one.
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
		for _, w := range ws {
			w.classSpeed = 1
		}
		return nil
	}
	sorted := slices.Clone(ws)
	slices.SortFunc(sorted, func(a, b *Worker) int { return cmp.Compare(b.Speed, a.Speed) })
	minMain := mainClassShare * float64(len(ws))
	var classes []speedClass
	for begin := 0; begin < len(sorted); {
		end := begin + 1
		for end < len(sorted) && (sorted[end].Speed*speedTolerance >= sorted[end-1].Speed || (len(classes) == 0 && float64(end) < minMain)) {
			end++
		}
		c := speedClass{speed: sorted[begin+(end-begin)/2].Speed, main: float64(end-begin) >= minMain}
		for _, w := range sorted[begin:end] {
			w.classSpeed, w.rareSpeed = c.speed, !c.main
		}
		classes = append(classes, c)
		begin = end
	}
	if len(classes) == 1 {
		return nil
	}
	return classes
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
// A task that can still end on time on some worker is not started where it would be
// late: a late job has a fraction of its value however late it is, and the worker is
// left to others. A task that would be late everywhere takes any worker.
//
// A gang waits for fast workers as long as it can still be on time with slower ones
// later: with one slow member, all others would hold their capacity for as long as that
// one needs. Then it takes the fastest set of workers that there is.
func (p *planner) speedFor(s *Pending, classes []speedClass) stepSpeed {
	out := stepSpeed{varied: true, comfortable: math.Inf(1)}
	if p.fastScarce[s.Pool] {
		out.comfortable = s.speedNeeded(p.in.Now.Add(comfortSlack)) * comfortFactor
	}
	fastest := p.fastestUsable(s, classes)
	required := s.speedNeeded(p.in.Now.Add(startDelay))
	if required > fastest {
		return out
	}
	out.required = required
	if s.Step.Gang {
		later := s.speedNeeded(p.in.Now.Add(startDelay + lastSlowStart))
		for _, c := range classes {
			if c.main && c.speed < fastest && c.speed >= later {
				out.required = fastest
			}
		}
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
// no such preference.
func (s *Pending) speedScore(w *Worker) float64 {
	if s.speed.varied && !s.Step.Gang && !w.rareSpeed && w.classSpeed >= s.speed.comfortable {
		return -speedWeight * w.classSpeed
	}
	return speedWeight * w.classSpeed
}

// suits reports whether the worker is of the speed that the step prefers: the fastest
// class for a gang or a step with little slack, and the slower ones otherwise.
func (p *planner) suits(s *Pending, w *Worker) bool {
	classes := p.speedClasses[s.Pool]
	if len(classes) < 2 {
		return true
	}
	fast := w.classSpeed == classes[0].speed
	if s.Step.Gang || s.speed.comfortable > classes[len(classes)-1].speed {
		return fast
	}
	return !fast && !w.rareSpeed
}

// fastestSlots returns the slots of assignSlots on the workers of the fastest classes that
// hold the gang, so that its slowest worker is as fast as possible. It returns nil if all
// classes together don't hold it.
func (p *planner) fastestSlots(s *Pending, candidates []*Worker, capacity func(*Worker) model.Resources) []*Worker {
	for _, c := range p.speedClasses[s.Pool] {
		fast := slices.DeleteFunc(slices.Clone(candidates), func(w *Worker) bool { return w.classSpeed < c.speed })
		if slots := assignSorted(s, fast, capacity); slots != nil {
			return slots
		}
	}
	return nil
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
