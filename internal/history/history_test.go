package history

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/eventlog"
	"kumquatwing/internal/fake/caller"
	"kumquatwing/internal/model"
	"kumquatwing/internal/verdict"
)

func event(kind eventlog.Kind, ms int64, task, worker string, attempt uint32) eventlog.Event {
	job, _, _ := strings.Cut(task, ".")
	return eventlog.Event{
		Kind: kind, At: eventlog.Stamp{WallMillis: ms}, Task: model.TaskID(task), Job: model.JobID(job),
		Workspace: "t", Worker: model.WorkerID(worker), DC: "dc1", Attempt: attempt,
	}
}

var (
	specs = map[model.JobID]model.JobSpec{"j": {ID: "j", Workspace: "t", Size: model.Resources{MilliCPU: 600, MemoryMB: 100}}}
	size  = model.Resources{MilliCPU: 1000, MemoryMB: 1000}
)

// TestRunCheckers gives each checker a sound history and one with its fault.
func TestRunCheckers(t *testing.T) {
	start, end := KindStart, KindEnd
	cases := []struct {
		name   string
		events []eventlog.Event
		check  func([]Run) []Violation
		broken Rule
	}{
		{"a task moved after its end", []eventlog.Event{
			event(start, 1, "j.0", "w1", 1), event(end, 5, "j.0", "w1", 1), event(start, 5, "j.0", "w2", 2),
		}, TwoPlaces, ""},
		{"a task moved before its end", []eventlog.Event{
			event(start, 1, "j.0", "w1", 1), event(start, 4, "j.0", "w2", 2), event(end, 5, "j.0", "w1", 1),
		}, TwoPlaces, RuleTwoPlaces},
		{"a task that never ended runs again", []eventlog.Event{
			event(start, 1, "j.0", "w1", 1), event(start, 90, "j.0", "w2", 2),
		}, TwoPlaces, RuleTwoPlaces},
		{"the room of an ended task is used again", []eventlog.Event{
			event(start, 1, "j.0", "w1", 1), event(end, 2, "j.0", "w1", 1), event(start, 2, "j.1", "w1", 1),
		}, func(r []Run) []Violation { return Overcommit(r, specs, size) }, ""},
		{"two tasks where one fits", []eventlog.Event{
			event(start, 1, "j.0", "w1", 1), event(start, 2, "j.1", "w1", 1),
		}, func(r []Run) []Violation { return Overcommit(r, specs, size) }, RuleOvercommit},
		{"one task over a limit lowered before", []eventlog.Event{
			event(start, 1, "j.0", "w1", 1), event(start, 20, "j.1", "w2", 1),
		}, func(r []Run) []Violation {
			return OverLimit(r, specs, []Limit{{"t", size.Scale(2), 0}, {"t", size, 10}})
		}, RuleLimit},
		{"the same before the limit is in force", []eventlog.Event{
			event(start, 1, "j.0", "w1", 1), event(start, 9, "j.1", "w2", 1),
		}, func(r []Run) []Violation {
			return OverLimit(r, specs, []Limit{{"t", size.Scale(2), 0}, {"t", size, 10}})
		}, ""},
		{"a start in a data centre that is out", []eventlog.Event{
			event(start, 11, "j.0", "w1", 1),
		}, func(r []Run) []Violation { return StartedOut(r, []Out{{"dc1", 10, 20}}) }, RuleOut},
		{"a start after it came back", []eventlog.Event{
			event(start, 21, "j.0", "w1", 1),
		}, func(r []Run) []Violation { return StartedOut(r, []Out{{"dc1", 10, 20}}) }, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			found := c.check(Runs(c.events))
			if c.broken == "" {
				qt.Assert(t, found, qt.HasLen, 0)
				return
			}
			qt.Assert(t, found, qt.HasLen, 1)
			qt.Assert(t, found[0].Rule, qt.Equals, c.broken)
		})
	}
}

func TestRequestCheckers(t *testing.T) {
	once := caller.Try{ID: "dc1-1-a-b", Once: true, Verdict: verdict.Done, Answered: true}
	refused := caller.Try{ID: "dc1-1-a-b", Once: true, Verdict: verdict.NotRun}
	cases := []struct {
		name   string
		try    caller.Try
		runs   string
		broken Rule
	}{
		{"ran once", once, "dc1-1-a-b 1\n", ""},
		{"ran twice", once, "dc1-1-a-b 2\n", RuleOnce},
		{"ran once on each of two servers", once, "dc1-1-a-b 1\ndc1-1-a-b 1\n", RuleOnce},
		{"refused and not run", refused, "", ""},
		{"refused as not-run and run", refused, "dc1-1-a-b 1\n", RuleNotRun},
		{"somebody else's answer", caller.Try{Wrong: true}, "", RuleAnswer},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ran := Executions{}
			qt.Assert(t, ran.ReadExecutions(strings.NewReader(c.runs)), qt.IsNil)
			found := Requests([]caller.Try{c.try}, ran)
			if c.broken == "" {
				qt.Assert(t, found, qt.HasLen, 0)
				return
			}
			qt.Assert(t, found, qt.HasLen, 1)
			qt.Assert(t, found[0].Rule, qt.Equals, c.broken)
		})
	}
}

func TestWithdrawnKey(t *testing.T) {
	tries := []caller.Try{{StartMS: 9, Answered: true}, {StartMS: 12}}
	qt.Assert(t, Withdrawn(tries, 10), qt.HasLen, 0)
	tries[1].Answered = true
	qt.Assert(t, Withdrawn(tries, 10), qt.HasLen, 1)
}
