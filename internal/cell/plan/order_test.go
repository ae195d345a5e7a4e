package plan

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/model"
)

// withObjective returns the step as one of a job that was submitted when its deadline was
// the given objective away and that has the given slack now.
func withObjective(p Pending, objective, slack time.Duration) Pending {
	p.Objective = objective
	p.Deadline = testNow.Add(p.Remaining + slack)
	return p
}

// TestOrderWithEnoughCapacity guards against another order than the one by latest start
// while all steps can be on time: deployments with enough capacity would be served in
// another way than before.
func TestOrderWithEnoughCapacity(t *testing.T) {
	var ws []Worker
	for i := range 20 {
		ws = append(ws, worker(fmt.Sprint("w", i), 16))
	}
	steps := func() []Pending {
		var ps []Pending
		for i := range 6 {
			ps = append(ps, withObjective(pending(fmt.Sprint("j", i), 6-i, 4, i%3, false), 20*time.Second, time.Duration(5+i*5%7)*time.Second))
		}
		return ps
	}
	least, latest := input(ws, steps()...), input(ws, steps()...)
	latest.Order = LatestStart
	Compute(least)
	Compute(latest)
	for i := range least.Pending {
		qt.Check(t, least.Pending[i].Key, qt.Equals, latest.Pending[i].Key)
	}
}

// TestScarcePoolHoldsBackLargest guards against gangs that are all started too late: with
// capacity for one of the two before their objectives, the small one is served although the
// large one has to start earlier.
func TestScarcePoolHoldsBackLargest(t *testing.T) {
	large := withObjective(pending("large", 8, 8, 1, true), 12*time.Second, 500*time.Millisecond)
	small := withObjective(pending("small", 2, 8, 1, true), 12*time.Second, time.Second)
	in := input([]Worker{worker("w1", 16)}, large, small)
	out := Compute(in)
	qt.Check(t, placedOn(out)["small"], qt.DeepEquals, map[cell.WorkerID]int{"w1": 2})
	qt.Check(t, out.Standings["q1"], qt.DeepEquals, &[Hopeless + 1]int{OnTime: 1, HeldBack: 1})
	qt.Check(t, out.ScarcePools, qt.DeepEquals, []string{"p"})
}

// TestHopelessStepsAreReported guards against work past three times its objective that takes
// the place of work with some value left, and against steps that wait without a reason
// that operators see. Both are run all the same.
func TestHopelessStepsAreReported(t *testing.T) {
	past := withObjective(pending("past", 1, 8, 1, false), 10*time.Second, -21*time.Second)
	late := withObjective(pending("late", 1, 8, 1, false), 10*time.Second, -time.Second)
	in := input([]Worker{worker("w1", 8)}, past, late)
	out := Compute(in)
	qt.Check(t, placedOn(out)["late"], qt.HasLen, 1)
	qt.Check(t, out.Hopeless, qt.DeepEquals, []HopelessStep{{past.Key, "q1", ReasonRunTime, out.Hopeless[0].Wait}})
	qt.Check(t, placedOn(Compute(input([]Worker{worker("w1", 16)}, past, late)))["past"], qt.HasLen, 1)

	queued := withObjective(pending("queued", 50, 8, 1, false), 5*time.Second, -9*time.Second)
	ahead := withObjective(pending("ahead", 40, 8, 1, false), time.Hour, time.Minute)
	out = Compute(input([]Worker{worker("w1", 16)}, queued, ahead))
	qt.Assert(t, out.Hopeless, qt.HasLen, 1)
	qt.Check(t, out.Hopeless[0].Reason, qt.Equals, ReasonQueue)
}

// TestServiceIsNeverLate guards against the failed task of a service that isn't restarted for 18 s,
// behind less urgent work that is late or held back: its job was submitted long ago, so that it
// counted as hopeless, but its users need it all the same.
func TestServiceIsNeverLate(t *testing.T) {
	service := withObjective(pending("service", 1, 8, 1, false), 10*time.Second, -21*time.Second)
	service.Step.Service = true
	batch := withObjective(pending("batch", 1, 8, 2, false), 10*time.Second, time.Second)
	for _, order := range []Order{LeastCost, LatestStart} {
		in := input([]Worker{worker("w1", 8)}, service, batch)
		in.Order = order
		out := Compute(in)
		qt.Check(t, placedOn(out)["service"], qt.HasLen, 1, qt.Commentf("order %v", order))
		qt.Check(t, out.Hopeless, qt.HasLen, 0)
	}
}

// scarceInput returns a snapshot of two full workers whose runs have checkpoints, a gang that
// can only start in their place, and more work than the pool can do within 2 s.
func scarceInput(gang Pending, slack time.Duration) *Input {
	var ws []Worker
	for i := range 2 {
		w := worker(fmt.Sprint("w", i+1), 0)
		for v := range 2 {
			w.Victims = append(w.Victims, Victim{
				Task: cell.TaskKey{Job: "batch", Index: 2*i + v}, Run: 1, Need: model.Resources{MilliCPU: 8000, MemoryMB: 1000}, Priority: 2,
				LostWork: 4800, LatestStart: testNow.Add(slack), Objective: 20 * time.Second,
			})
		}
		ws = append(ws, w)
	}
	other := withObjective(pending("other", 20, 8, 2, false), 20*time.Second, 15*time.Second)
	return input(ws, gang, other)
}

// TestRunsWithoutSlackAreKept guards against batch jobs that pay with their objectives for
// gangs: their runs give way only while they have half of their objective left.
func TestRunsWithoutSlackAreKept(t *testing.T) {
	for _, c := range []struct {
		slack time.Duration
		stops int
	}{{11 * time.Second, 4}, {9 * time.Second, 0}, {-time.Second, 4}} {
		gang := withObjective(pending("g", 2, 16, 1, true), 20*time.Second, 10*time.Second)
		qt.Check(t, Compute(scarceInput(gang, c.slack)).Stops, qt.HasLen, c.stops, qt.Commentf("slack %v", c.slack))
	}
}

// TestLeaderLostAfterStops plays the loss of a leader that had runs stopped for a gang. The
// next leader has no advice and no record of the reservation. It must neither give the
// capacity to the tasks that were stopped, nor stop further runs before it knows which
// workers are eligible.
func TestLeaderLostAfterStops(t *testing.T) {
	newGang := func() Pending {
		return withObjective(withAdvice(pending("g", 2, 16, 1, true)), 20*time.Second, 10*time.Second)
	}
	gang := newGang()
	allow := func(p *Pending) {
		for _, w := range []cell.WorkerID{"w1", "w2"} {
			p.Advice.Evaluated[w] = true
			p.Advice.SetEligible(w, Ticket{Token: "t", ExpiresAt: testNow.Add(1500 * time.Millisecond)})
		}
	}
	allow(&gang)
	qt.Assert(t, Compute(scarceInput(gang, 15*time.Second)).Stops, qt.HasLen, 4)

	next := func(stopped bool) *Input {
		in := scarceInput(newGang(), 15*time.Second)
		batch := withObjective(withAdvice(pending("batch", 4, 8, 2, false)), 20*time.Second, 14*time.Second)
		if stopped {
			for i := range in.Workers {
				in.Workers[i].Victims, in.Workers[i].Free.MilliCPU = nil, 16000
			}
			in.Pending = append(in.Pending[:1], batch)
		}
		return in
	}
	for _, stopped := range []bool{true, false} {
		in := next(stopped)
		out := Compute(in)
		qt.Check(t, out.Stops, qt.HasLen, 0, qt.Commentf("stops without advice"))
		qt.Check(t, out.Starts, qt.HasLen, 0)
		qt.Check(t, len(out.AdviceRequests) > 0, qt.IsTrue)

		in = next(stopped)
		for i := range in.Pending {
			if in.Pending[i].Advice != nil {
				allow(&in.Pending[i])
			}
		}
		out = Compute(in)
		if stopped {
			qt.Check(t, placedOn(out)["g"], qt.DeepEquals, map[cell.WorkerID]int{"w1": 1, "w2": 1})
			qt.Check(t, placedOn(out)["batch"], qt.HasLen, 0)
		} else {
			qt.Check(t, out.Stops, qt.HasLen, 4)
		}
	}
}

// TestPolicyStopsAnswering plays a placement policy that stops answering while a gang holds
// free capacity: the reservation must end with its tickets, or the capacity would be idle
// for as long as the policy is away.
func TestPolicyStopsAnswering(t *testing.T) {
	for _, scarce := range []bool{false, true} {
		for _, c := range []struct {
			expires time.Duration
			started int
		}{{time.Second, 0}, {-time.Second, 1}} {
			gang := withObjective(withAdvice(pending("g", 2, 16, 1, true)), 20*time.Second, 10*time.Second)
			for _, w := range []cell.WorkerID{"w1", "w2"} {
				gang.Advice.Evaluated[w] = true
				gang.Advice.SetEligible(w, Ticket{Token: "t", ExpiresAt: testNow.Add(c.expires)})
			}
			gang.Advice.InFlight, gang.Advice.Failed = 1, 1
			gang.TaskTime = 200 * time.Millisecond
			w1, w2 := worker("w1", 16), worker("w2", 4)
			w2.Releasing = model.Resources{MilliCPU: 12000, MemoryMB: 1000}
			small := withObjective(pending("small", 1, 4, 2, false), 20*time.Second, 9*time.Second)
			in := input([]Worker{w1, w2}, gang, small)
			if scarce {
				in.Pending = append(in.Pending, withObjective(pending("other", 40, 17, 2, false), 20*time.Second, 15*time.Second))
			}
			out := Compute(in)
			qt.Check(t, out.ScarcePools, qt.HasLen, map[bool]int{true: 1}[scarce])
			qt.Check(t, placedOn(out)["small"], qt.HasLen, c.started, qt.Commentf("scarce %v, tickets expire in %v", scarce, c.expires))
		}
	}
}

// TestScarceGangsUseFreeSlots guards against capacity that stays free because only some of
// the waiting gangs are looked at: a gang that fits into the free capacity has its tickets
// renewed however many others wait before it.
func TestScarceGangsUseFreeSlots(t *testing.T) {
	var gangs []Pending
	for i := range 20 {
		gangs = append(gangs, withObjective(withAdvice(pending(fmt.Sprintf("full%02d", i), 1, 16, 1, true), "w1"), 20*time.Second, 10*time.Second))
	}
	last := withObjective(withAdvice(pending("last", 2, 16, 1, true), "w2", "w3"), 20*time.Second, 10*time.Second)
	for w := range last.Advice.Eligible {
		last.Advice.SetEligible(w, Ticket{Token: "t"})
	}
	in := input([]Worker{worker("w1", 0), worker("w2", 16), worker("w3", 16)}, append(gangs, last)...)
	in.IdleAdvisers, in.AllAdvisers = 200, 200
	out := Compute(in)
	renewed := false
	for _, r := range out.AdviceRequests {
		renewed = renewed || (r.Key == last.Key && slices.Contains(r.Workers, "w2"))
	}
	qt.Check(t, renewed, qt.IsTrue)
}

// TestParseOrder guards against a setting that is mistyped and silently ignored.
func TestParseOrder(t *testing.T) {
	for name, want := range map[string]Order{"": LeastCost, "least-cost": LeastCost, "latest-start": LatestStart} {
		got, err := ParseOrder(name)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, got, qt.Equals, want)
	}
	_, err := ParseOrder("latest")
	qt.Check(t, err, qt.ErrorMatches, `order "latest" is not known: it must be least-cost or latest-start`)
}
