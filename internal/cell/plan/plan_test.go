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

// worker returns one of 16 cores, of which free are left.
func worker(id string, free int64) Worker {
	room := model.Resources{MilliCPU: 16000, MemoryMB: 32000}
	return Worker{
		ID: cell.WorkerID(id), Pool: "p", DC: "dc1", Capacity: room, Speed: 1,
		Free: model.Resources{MilliCPU: free * 1000, MemoryMB: 32000},
	}
}

// pending returns a step of n tasks of the given cores that is due in a minute.
func pending(job string, n int, cores int64, priority int, gang bool) Pending {
	p := Pending{
		Key: cell.StepKey{Job: cell.JobID(job)}, Pool: "p", Workspace: "a",
		Step: &cell.Step{
			Count: n, Need: model.Resources{MilliCPU: cores * 1000, MemoryMB: 10}, EstimateMillis: 4000, Gang: gang,
		},
		Queue:     &cell.Queue{Name: fmt.Sprint("q", priority), Priority: priority},
		Due:       testNow.Add(time.Minute),
		Remaining: 4 * time.Second,
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
		Rooms: map[string]*Room{}, GoodShare: map[string]float64{}, Advisers: 12, AllAdvisers: 12,
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
	labelled := worker("w2", 16)
	labelled.Labels = []string{"gpu", "r1"}
	suspect := worker("w1", 2)
	suspect.Suspect = true
	bounded := pending("j", 3, 1, 0, false)
	bounded.Step.MaxPerWorker = 1
	bounded.OnWorker = map[cell.WorkerID]int{}
	needs := pending("j", 1, 1, 0, false)
	needs.Step.Requires = "gpu"
	for _, c := range []struct {
		name string
		in   *Input
		want map[cell.WorkerID]int
	}{
		{"the fullest that fits", input([]Worker{worker("w1", 8), worker("w2", 2)}, pending("j", 1, 2, 0, false)), map[cell.WorkerID]int{"w2": 1}},
		{"not where it doesn't fit", input([]Worker{worker("w1", 1)}, pending("j", 1, 2, 0, false)), nil},
		{"label", input([]Worker{worker("w1", 2), labelled}, needs), map[cell.WorkerID]int{"w2": 1}},
		{"sound ones first", input([]Worker{suspect, worker("w2", 16)}, pending("j", 1, 1, 0, false)), map[cell.WorkerID]int{"w2": 1}},
		{"suspect ones rather than none", input([]Worker{suspect}, pending("j", 1, 1, 0, false)), map[cell.WorkerID]int{"w1": 1}},
		{"bound per worker", input([]Worker{worker("w1", 16), worker("w2", 16)}, bounded), map[cell.WorkerID]int{"w1": 1, "w2": 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			qt.Check(t, placedOn(Make(c.in))["j"], qt.DeepEquals, c.want)
		})
	}
}

func TestOrder(t *testing.T) {
	late := pending("late", 1, 2, 0, false)
	late.Due = testNow.Add(time.Second)
	over := pending("over", 1, 2, 0, false)
	over.OverShare = true
	in := input([]Worker{worker("w1", 4)}, late, over, pending("low", 1, 2, 2, false), pending("high", 1, 2, 1, false))
	placed := placedOn(Make(in))
	qt.Check(t, placed["over"], qt.HasLen, 0, qt.Commentf("a job beyond its workspace's share went before others"))
	qt.Check(t, placed["high"], qt.HasLen, 1)
	qt.Check(t, placed["low"], qt.HasLen, 1)
	qt.Check(t, placed["late"], qt.HasLen, 0, qt.Commentf("a job that can't be in time went before others"))
}

func TestWorkspaceLimit(t *testing.T) {
	in := input([]Worker{worker("w1", 16)}, pending("j", 4, 2, 0, false))
	in.Rooms["a"] = &Room{Limited: true, Left: model.Resources{MilliCPU: 5000, MemoryMB: 1000}}
	qt.Check(t, Make(in).Starts, qt.HasLen, 2)
}

func TestGangIsPlacedWholeOrNotAtAll(t *testing.T) {
	qt.Check(t, Make(input([]Worker{worker("w1", 8), worker("w2", 8)}, pending("g", 4, 4, 1, true))).Starts, qt.HasLen, 4)
	qt.Check(t, Make(input([]Worker{worker("w1", 8), worker("w2", 7)}, pending("g", 4, 4, 1, true))).Starts, qt.HasLen, 0)
}

// A waiting gang keeps what it counts on, so that small tasks don't take each
// core that becomes free.
func TestGangKeepsRoomFromLessUrgentWork(t *testing.T) {
	in := input([]Worker{worker("w1", 7)}, pending("g", 2, 4, 1, true), pending("small", 7, 1, 2, false))
	in.Workers[0].Victims = []Victim{{Task: cell.TaskKey{Job: "x"}, Run: 1, Need: model.Resources{MilliCPU: 9000, MemoryMB: 1}, Priority: 2, Lost: 1e9}}
	out := Make(in)
	qt.Check(t, out.Starts, qt.HasLen, 0)
	qt.Check(t, out.Stops, qt.HasLen, 0, qt.Commentf("too much work would be thrown away"))
}

// Where much is free, a gang that doesn't fit on its good workers asks about
// others and keeps nothing from the next gang.
func TestGangKeepsNothingInAnEmptyPool(t *testing.T) {
	first := withAdvice(pending("first", 3, 7, 1, true), "w1", "w2")
	second := withAdvice(pending("second", 2, 8, 1, true), "w1")
	second.Due = second.Due.Add(time.Second)
	ws := []Worker{worker("w1", 16), worker("w2", 2), worker("w3", 16), worker("w4", 16)}
	out := Make(input(ws, first, second))
	qt.Check(t, placedOn(out), qt.DeepEquals, map[cell.JobID]map[cell.WorkerID]int{"second": {"w1": 2}})
	qt.Assert(t, out.Questions, qt.HasLen, 1)
	qt.Check(t, out.Questions[0].Workers, qt.DeepEquals, []cell.WorkerID{"w3", "w4"})
}

func TestPreemption(t *testing.T) {
	victim := func(cores int64, priority int, lost float64) Victim {
		return Victim{
			Task: cell.TaskKey{Job: "x", Index: int(lost)}, Run: 1, Priority: priority, Lost: lost,
			Need: model.Resources{MilliCPU: cores * 1000, MemoryMB: 1},
		}
	}
	for _, c := range []struct {
		name    string
		victims []Victim
		due     time.Duration
		stops   int
	}{
		{"the cheapest that suffice", []Victim{victim(2, 2, 900), victim(2, 2, 100), victim(2, 2, 200)}, time.Minute, 2},
		{"none of the same priority", []Victim{victim(4, 1, 100)}, time.Minute, 0},
		{"not for a gang that can't be in time", []Victim{victim(4, 2, 100)}, time.Second, 0},
		{"not if it costs too much", []Victim{victim(4, 2, 8000)}, time.Minute, 0},
		{"more if it must start soon", []Victim{victim(4, 2, 8000)}, 5 * time.Second, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := pending("g", 2, 4, 1, true)
			g.Due = testNow.Add(c.due)
			in := input([]Worker{worker("w1", 4)}, g)
			in.Workers[0].Victims = c.victims
			qt.Check(t, Make(in).Stops, qt.HasLen, c.stops)
		})
	}
}

// withAdvice makes the policy's answers known to a step.
func withAdvice(p Pending, good ...cell.WorkerID) Pending {
	p.Queue.Advice = &cell.Advice{DecideMillis: 500, PerWorkerMillis: 5, ValidMillis: 2000}
	p.Advice = &StepAdvice{Good: map[cell.WorkerID]Ticket{}, Asked: map[cell.WorkerID]bool{}}
	for _, w := range good {
		p.Advice.Good[w] = Ticket{Token: "t-" + string(w), Until: testNow.Add(time.Second)}
		p.Advice.Asked[w] = true
	}
	return p
}

func TestTickets(t *testing.T) {
	out := Make(input([]Worker{worker("w1", 2), worker("w2", 16)}, withAdvice(pending("j", 1, 1, 0, false), "w2")))
	qt.Assert(t, out.Starts, qt.HasLen, 1)
	qt.Check(t, out.Starts[0].Worker, qt.Equals, cell.WorkerID("w2"))
	qt.Check(t, out.Tokens, qt.DeepEquals, []string{"t-w2"})

	stale := withAdvice(pending("j", 1, 1, 0, false), "w2")
	stale.Advice.Good["w2"] = Ticket{Token: "t", Until: testNow.Add(-time.Second)}
	out = Make(input([]Worker{worker("w1", 2), worker("w2", 16)}, stale))
	qt.Check(t, out.Starts, qt.HasLen, 0)
	qt.Assert(t, out.Questions, qt.HasLen, 1)
	qt.Check(t, out.Questions[0].Workers[0], qt.Equals, cell.WorkerID("w2"), qt.Commentf("a worker known to be good goes first"))
}

// A gang whose good workers could not hold it even if they were empty asks
// about others, also when it is late.
func TestLateGangAsksAboutOthers(t *testing.T) {
	g := withAdvice(pending("g", 3, 7, 1, true), "w1")
	g.Due = testNow.Add(-time.Second)
	out := Make(input([]Worker{worker("w1", 16), worker("w2", 16)}, g))
	qt.Assert(t, out.Questions, qt.HasLen, 1)
	qt.Check(t, out.Questions[0].Workers, qt.DeepEquals, []cell.WorkerID{"w2"})
}

func TestQuestions(t *testing.T) {
	ws := []Worker{worker("w1", 16), worker("w2", 2), worker("w3", 0)}
	out := Make(input(ws, withAdvice(pending("j", 1, 1, 0, false))))
	qt.Assert(t, out.Questions, qt.HasLen, 1)
	qt.Check(t, out.Questions[0].Workers, qt.DeepEquals, []cell.WorkerID{"w2", "w1"}, qt.Commentf("the fullest first, none without room"))

	unfit := withAdvice(pending("j", 1, 1, 0, false))
	unfit.Advice.Asked = map[cell.WorkerID]bool{"w1": true, "w2": true}
	qt.Check(t, Make(input(ws, unfit)).Questions, qt.HasLen, 0, qt.Commentf("workers that were turned down are not asked about again"))

	flying := withAdvice(pending("j", 1, 1, 0, false))
	flying.Advice.InFlight = 1
	qt.Check(t, Make(input(ws, flying)).Questions, qt.HasLen, 0)
}

// Questions that take long leave advisers free for quick ones.
func TestSlowQuestionsLeaveAdvisersFree(t *testing.T) {
	var ps []Pending
	for i := range 20 {
		ps = append(ps, withAdvice(pending(fmt.Sprint("g", i), 1, 1, 1, true)))
	}
	in := input([]Worker{worker("w1", 16)}, ps...)
	qt.Check(t, len(Make(in).Questions) <= in.AllAdvisers-int(slowKeepsFree*float64(in.AllAdvisers)), qt.IsTrue)
}

// On a full pool, work that has time left takes splinters only, so that urgent
// work finds room at once; work that must start now takes what there is.
func TestHeadroomIsLeftToUrgentWork(t *testing.T) {
	pressed := pending("pressed", 1, 2, 2, false)
	pressed.Due = testNow.Add(pressed.Remaining + headroomSlack/2)
	urgent, patient := pending("urgent", 1, 2, 0, false), pending("patient", 1, 2, 2, false)
	for _, c := range []struct {
		name string
		step Pending
		// free is the room of one worker beside ten that are full.
		free int64
		want int
	}{
		{"urgent work takes the headroom", urgent, 3, 1},
		{"pressed work takes the headroom", pressed, 3, 1},
		{"patient work leaves the headroom", patient, 3, 0},
		{"patient work takes splinters", patient, 2, 1},
		{"patient work takes what is beyond the headroom", patient, 16, 1},
	} {
		ws := []Worker{worker("w0", c.free)}
		for i := range 10 {
			ws = append(ws, worker(fmt.Sprint("full", i), 0))
		}
		qt.Check(t, Make(input(ws, c.step)).Starts, qt.HasLen, c.want, qt.Commentf("%s", c.name))
	}
}

// A gang asks about many workers in calls side by side, which end sooner than
// one about all.
func TestGangAsksInParts(t *testing.T) {
	var ws []Worker
	for i := range 300 {
		ws = append(ws, worker(fmt.Sprintf("w%03d", i), 16))
	}
	in := input(ws, withAdvice(pending("g", 60, 8, 1, true)))
	in.Advisers, in.AllAdvisers = 40, 40
	out := Make(in)
	named := map[cell.WorkerID]int{}
	for _, q := range out.Questions {
		qt.Check(t, len(q.Workers) <= gangPart, qt.IsTrue)
		for _, w := range q.Workers {
			named[w]++
		}
	}
	qt.Check(t, len(named), qt.Equals, maxAskedGang)
	qt.Check(t, in.Pending[0].Advice.InFlight, qt.Equals, len(out.Questions))
	for w, n := range named {
		qt.Check(t, n, qt.Equals, 1, qt.Commentf("%s was named more than once", w))
	}

	busy := input(ws, withAdvice(pending("g", 60, 8, 1, true)))
	busy.Advisers, busy.AllAdvisers = 18, 40
	qt.Check(t, len(Make(busy).Questions), qt.Equals, firstParts, qt.Commentf("busy advisers are left to others"))
}

// A gang that waits for room keeps its tickets valid, so that it starts at once
// when there is room.
func TestWaitingGangKeepsItsTickets(t *testing.T) {
	ws := []Worker{worker("w1", 2), worker("w2", 2)}
	for i := range ws {
		ws[i].Capacity.MilliCPU = 16_000
	}
	for _, c := range []struct {
		valid     time.Duration
		questions int
	}{{500 * time.Millisecond, 1}, {10 * time.Second, 0}} {
		g := withAdvice(pending("g", 2, 8, 1, true), "w1", "w2")
		for w := range g.Advice.Good {
			g.Advice.Good[w] = Ticket{Token: "t", Until: testNow.Add(c.valid)}
		}
		out := Make(input(ws, g))
		qt.Check(t, out.Starts, qt.HasLen, 0)
		qt.Check(t, out.Questions, qt.HasLen, c.questions, qt.Commentf("tickets valid for %s", c.valid))
	}
}

// A gang that needs many workers has all their tickets renewed, in calls that
// the policy takes.
func TestWideGangRenewsAllItsTickets(t *testing.T) {
	const wide = 130
	var ws []Worker
	var good []cell.WorkerID
	for i := range wide {
		ws = append(ws, worker(fmt.Sprintf("w%03d", i), 16))
		good = append(good, ws[i].ID)
	}
	g := withAdvice(pending("g", wide, 16, 1, true), good...)
	for w := range g.Advice.Good {
		g.Advice.Good[w] = Ticket{Token: "t"}
	}
	named := 0
	for _, q := range Make(input(ws, g)).Questions {
		qt.Check(t, len(q.Workers) <= maxAsked, qt.IsTrue)
		named += len(q.Workers)
	}
	qt.Check(t, named, qt.Equals, wide)
}
