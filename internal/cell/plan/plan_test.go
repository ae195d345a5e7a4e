package plan

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/model"
)

const testNow = clock.Instant(time.Hour)

// worker returns a worker with 16 cores, of which the given number is free.
func worker(id string, free int64) Worker {
	capacity := model.Resources{MilliCPU: 16000, MemoryMB: 32000}
	return Worker{
		ID: cell.WorkerID(id), Pool: "p", DC: "dc1", Capacity: capacity, Speed: 1,
		Free: model.Resources{MilliCPU: free * 1000, MemoryMB: 32000},
	}
}

// pending returns a step with n waiting tasks of the given number of cores, of a job
// with a deadline in a minute.
func pending(job string, n int, cores int64, priority int, gang bool) Pending {
	p := Pending{
		Key: cell.StepKey{Job: cell.JobID(job)}, Pool: "p", Workspace: "a",
		Step: &cell.Step{
			Count: n, Need: model.Resources{MilliCPU: cores * 1000, MemoryMB: 10}, EstimateMillis: 4000, Gang: gang,
		},
		Queue:         &cell.Queue{Name: fmt.Sprint("q", priority), Priority: priority},
		Deadline:      testNow.Add(time.Minute),
		Remaining:     4 * time.Second,
		TaskTime:      4 * time.Second,
		RemainingWork: float64(n) * float64(cores) * 4000,
	}
	for i := range n {
		p.Waiting = append(p.Waiting, i)
		p.NextRun = append(p.NextRun, 1)
	}
	return p
}

func input(ws []Worker, ps ...Pending) *Input {
	return &Input{
		Now: testNow, StopTime: 400 * time.Millisecond, Workers: ws, Pending: ps,
		Quotas: map[string]*Quota{}, EligibleShare: map[string]float64{}, IdleAdvisers: 12, AllAdvisers: 12,
	}
}

func placedOn(out Output) map[cell.JobID]map[cell.WorkerID]int {
	m := map[cell.JobID]map[cell.WorkerID]int{}
	for _, s := range out.Starts {
		if m[s.Task.Job] == nil {
			m[s.Task.Job] = map[cell.WorkerID]int{}
		}
		m[s.Task.Job][s.Worker]++
	}
	return m
}

func TestFiltersAndScores(t *testing.T) {
	gpuWorker := worker("w2", 16)
	gpuWorker.Labels = []string{"gpu", "r1"}
	suspect := worker("w1", 2)
	suspect.Suspect = true
	limited := pending("j", 3, 1, 0, false)
	limited.Step.MaxPerWorker = 1
	limited.OnWorker = map[cell.WorkerID]int{}
	needsLabel := pending("j", 1, 1, 0, false)
	needsLabel.Step.Requires = "gpu"
	for _, c := range []struct {
		name string
		in   *Input
		want map[cell.WorkerID]int
	}{
		{"the fullest worker that fits", input([]Worker{worker("w1", 8), worker("w2", 2)}, pending("j", 1, 2, 0, false)), map[cell.WorkerID]int{"w2": 1}},
		{"no worker that it doesn't fit on", input([]Worker{worker("w1", 1)}, pending("j", 1, 2, 0, false)), nil},
		{"label", input([]Worker{worker("w1", 2), gpuWorker}, needsLabel), map[cell.WorkerID]int{"w2": 1}},
		{"suspect workers last", input([]Worker{suspect, worker("w2", 16)}, pending("j", 1, 1, 0, false)), map[cell.WorkerID]int{"w2": 1}},
		{"a suspect worker if no other fits", input([]Worker{suspect}, pending("j", 1, 1, 0, false)), map[cell.WorkerID]int{"w1": 1}},
		{"limit of tasks per worker", input([]Worker{worker("w1", 16), worker("w2", 16)}, limited), map[cell.WorkerID]int{"w1": 1, "w2": 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			qt.Check(t, placedOn(Compute(c.in))["j"], qt.DeepEquals, c.want)
		})
	}
}

func TestStepOrder(t *testing.T) {
	late := pending("late", 1, 2, 0, false)
	late.Deadline = testNow.Add(time.Second)
	overShare := pending("over", 1, 2, 0, false)
	overShare.OverShare = true
	in := input([]Worker{worker("w1", 4)}, late, overShare, pending("low", 1, 2, 2, false), pending("high", 1, 2, 1, false))
	placed := placedOn(Compute(in))
	qt.Check(t, placed["over"], qt.HasLen, 0, qt.Commentf("a job beyond its workspace's share was placed before others"))
	qt.Check(t, placed["high"], qt.HasLen, 1)
	qt.Check(t, placed["low"], qt.HasLen, 1)
	qt.Check(t, placed["late"], qt.HasLen, 0, qt.Commentf("a job that can't end in time was placed before others"))
}

func TestWorkspaceLimit(t *testing.T) {
	in := input([]Worker{worker("w1", 16)}, pending("j", 4, 2, 0, false))
	in.Quotas["a"] = &Quota{Limited: true, Remaining: model.Resources{MilliCPU: 5000, MemoryMB: 1000}}
	qt.Check(t, Compute(in).Starts, qt.HasLen, 2)
}

func TestGangIsPlacedWholeOrNotAtAll(t *testing.T) {
	qt.Check(t, Compute(input([]Worker{worker("w1", 8), worker("w2", 8)}, pending("g", 4, 4, 1, true))).Starts, qt.HasLen, 4)
	qt.Check(t, Compute(input([]Worker{worker("w1", 8), worker("w2", 7)}, pending("g", 4, 4, 1, true))).Starts, qt.HasLen, 0)
}

// A waiting gang reserves free capacity. Otherwise small tasks would take each core
// as soon as it becomes free, and the gang would never start.
func TestWaitingGangReservesCapacity(t *testing.T) {
	in := input([]Worker{worker("w1", 7)}, pending("g", 2, 4, 1, true), pending("small", 7, 1, 2, false))
	in.Workers[0].Victims = []Victim{{Task: cell.TaskKey{Job: "x"}, Run: 1, Need: model.Resources{MilliCPU: 9000, MemoryMB: 1}, Priority: 2, LostWork: 1e9}}
	out := Compute(in)
	qt.Check(t, out.Starts, qt.HasLen, 0)
	qt.Check(t, out.Stops, qt.HasLen, 0, qt.Commentf("the preemption would lose too much work"))
}

// In a mostly free pool, a gang that doesn't fit on its eligible workers requests
// advice about others and reserves no capacity, so that the next gang can start.
func TestGangReservesNothingInMostlyFreePool(t *testing.T) {
	first := withAdvice(pending("first", 3, 7, 1, true), "w1", "w2")
	second := withAdvice(pending("second", 2, 8, 1, true), "w1")
	second.Deadline = second.Deadline.Add(time.Second)
	ws := []Worker{worker("w1", 16), worker("w2", 2), worker("w3", 16), worker("w4", 16)}
	out := Compute(input(ws, first, second))
	qt.Check(t, placedOn(out), qt.DeepEquals, map[cell.JobID]map[cell.WorkerID]int{"second": {"w1": 2}})
	qt.Assert(t, out.AdviceRequests, qt.HasLen, 1)
	qt.Check(t, out.AdviceRequests[0].Workers, qt.DeepEquals, []cell.WorkerID{"w3", "w4"})
}

func TestPreemption(t *testing.T) {
	victim := func(cores int64, priority int, lost float64) Victim {
		return Victim{
			Task: cell.TaskKey{Job: "x", Index: int(lost)}, Run: 1, Priority: priority, LostWork: lost,
			Need: model.Resources{MilliCPU: cores * 1000, MemoryMB: 1},
		}
	}
	for _, c := range []struct {
		name     string
		victims  []Victim
		deadline time.Duration
		stops    int
	}{
		{"the cheapest runs that suffice", []Victim{victim(2, 2, 900), victim(2, 2, 100), victim(2, 2, 200)}, time.Minute, 2},
		{"no run of the same priority", []Victim{victim(4, 1, 100)}, time.Minute, 0},
		{"none for a gang that can't end in time", []Victim{victim(4, 2, 100)}, time.Second, 0},
		{"none if too much work would be lost", []Victim{victim(4, 2, 8000)}, time.Minute, 0},
		{"more lost work is allowed if the gang must start soon", []Victim{victim(4, 2, 8000)}, 5 * time.Second, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := pending("g", 2, 4, 1, true)
			g.Deadline = testNow.Add(c.deadline)
			in := input([]Worker{worker("w1", 4)}, g)
			in.Workers[0].Victims = c.victims
			qt.Check(t, Compute(in).Stops, qt.HasLen, c.stops)
		})
	}
}

// withAdvice gives the step a placement policy for which the given workers are
// eligible, with tickets valid for 1 s.
func withAdvice(p Pending, eligible ...cell.WorkerID) Pending {
	p.Queue.Advice = &cell.Advice{DecideMillis: 500, PerWorkerMillis: 5, ValidMillis: 2000}
	p.Advice = &StepAdvice{Eligible: map[cell.WorkerID]Ticket{}, Evaluated: map[cell.WorkerID]bool{}}
	for _, w := range eligible {
		p.Advice.Eligible[w] = Ticket{Token: "t-" + string(w), ExpiresAt: testNow.Add(time.Second)}
		p.Advice.Evaluated[w] = true
	}
	return p
}

func TestTickets(t *testing.T) {
	out := Compute(input([]Worker{worker("w1", 2), worker("w2", 16)}, withAdvice(pending("j", 1, 1, 0, false), "w2")))
	qt.Assert(t, out.Starts, qt.HasLen, 1)
	qt.Check(t, out.Starts[0].Worker, qt.Equals, cell.WorkerID("w2"))
	qt.Check(t, out.Tokens, qt.DeepEquals, []string{"t-w2"})

	stale := withAdvice(pending("j", 1, 1, 0, false), "w2")
	stale.Advice.Eligible["w2"] = Ticket{Token: "t", ExpiresAt: testNow.Add(-time.Second)}
	out = Compute(input([]Worker{worker("w1", 2), worker("w2", 16)}, stale))
	qt.Check(t, out.Starts, qt.HasLen, 0)
	qt.Assert(t, out.AdviceRequests, qt.HasLen, 1)
	qt.Check(t, out.AdviceRequests[0].Workers[0], qt.Equals, cell.WorkerID("w2"), qt.Commentf("an eligible worker with an expired ticket must come first"))
}

// A gang that its eligible workers could not hold even when empty requests advice
// about others, also if it can no longer end in time.
func TestLateGangRequestsAdviceAboutOtherWorkers(t *testing.T) {
	g := withAdvice(pending("g", 3, 7, 1, true), "w1")
	g.Deadline = testNow.Add(-time.Second)
	out := Compute(input([]Worker{worker("w1", 16), worker("w2", 16)}, g))
	qt.Assert(t, out.AdviceRequests, qt.HasLen, 1)
	qt.Check(t, out.AdviceRequests[0].Workers, qt.DeepEquals, []cell.WorkerID{"w2"})
}

// TestLateStepsAreSkippedOnRequest checks that a plan without late steps is the same for
// all others.
func TestLateStepsAreSkippedOnRequest(t *testing.T) {
	late := pending("late", 1, 4, 1, false)
	late.Deadline = testNow
	for _, skip := range []bool{false, true} {
		in := input([]Worker{worker("w1", 16)}, late, pending("j", 2, 4, 1, false))
		in.SkipLate = skip
		placed := placedOn(Compute(in))
		qt.Check(t, placed["j"]["w1"], qt.Equals, 2)
		qt.Check(t, placed["late"]["w1"] == 1, qt.Equals, !skip)
	}
}

func TestAdviceRequests(t *testing.T) {
	ws := []Worker{worker("w1", 16), worker("w2", 2), worker("w3", 0)}
	out := Compute(input(ws, withAdvice(pending("j", 1, 1, 0, false))))
	qt.Assert(t, out.AdviceRequests, qt.HasLen, 1)
	qt.Check(t, out.AdviceRequests[0].Workers, qt.DeepEquals, []cell.WorkerID{"w2", "w1"}, qt.Commentf("the fullest worker must come first, and none without free capacity"))

	ineligible := withAdvice(pending("j", 1, 1, 0, false))
	ineligible.Advice.Evaluated = map[cell.WorkerID]bool{"w1": true, "w2": true}
	qt.Check(t, Compute(input(ws, ineligible)).AdviceRequests, qt.HasLen, 0, qt.Commentf("ineligible workers were requested again"))

	inFlight := withAdvice(pending("j", 1, 1, 0, false))
	inFlight.Advice.InFlight = 1
	qt.Check(t, Compute(input(ws, inFlight)).AdviceRequests, qt.HasLen, 0)
}

// Requests to slow placement policies leave advisers idle for fast ones.
func TestSlowPoliciesLeaveAdvisersIdle(t *testing.T) {
	var ps []Pending
	for i := range 20 {
		ps = append(ps, withAdvice(pending(fmt.Sprint("g", i), 1, 1, 1, true)))
	}
	in := input([]Worker{worker("w1", 16)}, ps...)
	qt.Check(t, len(Compute(in).AdviceRequests) <= in.AllAdvisers-int(slowReservedShare*float64(in.AllAdvisers)), qt.IsTrue)
}

// In an almost full pool, steps with slack may use only fragments, so that urgent
// work can start at once. A step that must start now uses any free capacity.
func TestHeadroomIsLeftToUrgentWork(t *testing.T) {
	dueSoon := pending("pressed", 1, 2, 2, false)
	dueSoon.Deadline = testNow.Add(dueSoon.Remaining + headroomSlack/2)
	urgent, withSlack := pending("urgent", 1, 2, 0, false), pending("patient", 1, 2, 2, false)
	for _, c := range []struct {
		name string
		step Pending
		// free is the number of free cores of one worker; ten others are full.
		free int64
		want int
	}{
		{"urgent work takes the headroom", urgent, 3, 1},
		{"work that must start soon takes the headroom", dueSoon, 3, 1},
		{"work with slack leaves the headroom", withSlack, 3, 0},
		{"work with slack takes fragments", withSlack, 2, 1},
		{"work with slack takes what is beyond the headroom", withSlack, 16, 1},
	} {
		ws := []Worker{worker("w0", c.free)}
		for i := range 10 {
			ws = append(ws, worker(fmt.Sprint("full", i), 0))
		}
		qt.Check(t, Compute(input(ws, c.step)).Starts, qt.HasLen, c.want, qt.Commentf("%s", c.name))
	}
}

// A gang requests advice about many workers in concurrent batches, which are
// answered sooner than one request for all.
func TestGangRequestsAdviceInBatches(t *testing.T) {
	var ws []Worker
	for i := range 300 {
		ws = append(ws, worker(fmt.Sprintf("w%03d", i), 16))
	}
	in := input(ws, withAdvice(pending("g", 60, 8, 1, true)))
	in.IdleAdvisers, in.AllAdvisers = 40, 40
	out := Compute(in)
	requested := map[cell.WorkerID]int{}
	for _, r := range out.AdviceRequests {
		qt.Check(t, len(r.Workers) <= gangBatchSize, qt.IsTrue)
		for _, w := range r.Workers {
			requested[w]++
		}
	}
	qt.Check(t, len(requested), qt.Equals, maxGangRequestWorkers)
	qt.Check(t, in.Pending[0].Advice.InFlight, qt.Equals, len(out.AdviceRequests))
	for w, n := range requested {
		qt.Check(t, n, qt.Equals, 1, qt.Commentf("%s was requested more than once", w))
	}

	busy := input(ws, withAdvice(pending("g", 60, 8, 1, true)))
	busy.IdleAdvisers, busy.AllAdvisers = 18, 40
	qt.Check(t, len(Compute(busy).AdviceRequests), qt.Equals, minGangBatches, qt.Commentf("with few idle advisers, only the first batches may be requested"))
}

// A gang that waits for capacity renews its tickets before they expire, so that it
// starts as soon as there is enough capacity.
func TestWaitingGangRenewsItsTickets(t *testing.T) {
	ws := []Worker{worker("w1", 2), worker("w2", 2)}
	for i := range ws {
		ws[i].Capacity.MilliCPU = 16_000
	}
	for _, c := range []struct {
		valid    time.Duration
		requests int
	}{{500 * time.Millisecond, 1}, {10 * time.Second, 0}} {
		g := withAdvice(pending("g", 2, 8, 1, true), "w1", "w2")
		for w := range g.Advice.Eligible {
			g.Advice.Eligible[w] = Ticket{Token: "t", ExpiresAt: testNow.Add(c.valid)}
		}
		out := Compute(input(ws, g))
		qt.Check(t, out.Starts, qt.HasLen, 0)
		qt.Check(t, out.AdviceRequests, qt.HasLen, c.requests, qt.Commentf("tickets valid for %s", c.valid))
	}
}

// A gang that needs more than maxRequestWorkers workers has all their tickets
// renewed, in requests of no more than that size.
func TestWideGangRenewsAllItsTickets(t *testing.T) {
	const gangSize = 130
	var ws []Worker
	var eligible []cell.WorkerID
	for i := range gangSize {
		ws = append(ws, worker(fmt.Sprintf("w%03d", i), 16))
		eligible = append(eligible, ws[i].ID)
	}
	g := withAdvice(pending("g", gangSize, 16, 1, true), eligible...)
	for w := range g.Advice.Eligible {
		g.Advice.Eligible[w] = Ticket{Token: "t"}
	}
	renewed := 0
	for _, r := range Compute(input(ws, g)).AdviceRequests {
		qt.Check(t, len(r.Workers) <= maxRequestWorkers, qt.IsTrue)
		renewed += len(r.Workers)
	}
	qt.Check(t, renewed, qt.Equals, gangSize)
}
