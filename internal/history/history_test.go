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

// event returns a worker event about a run of task, which is named JOB.INDEX.
func event(kind eventlog.Kind, ms int64, task, worker string, attempt uint32) eventlog.Event {
	job, _, _ := strings.Cut(task, ".")
	return eventlog.Event{
		Kind: kind, At: eventlog.Timestamp{WallMillis: ms}, Task: model.TaskID(task), Job: model.JobID(job),
		Workspace: "t", Worker: model.WorkerID(worker), DC: "dc1", Attempt: attempt,
	}
}

var (
	specs = map[model.JobID]model.JobSpec{"j": {ID: "j", Workspace: "t", Size: model.Resources{MilliCPU: 600, MemoryMB: 100}}}
	size  = model.Resources{MilliCPU: 1000, MemoryMB: 1000}
)

// TestRunCheckers gives each checker a correct history and one that violates its rule.
func TestRunCheckers(t *testing.T) {
	start, end := KindStart, KindEnd
	cases := []struct {
		name     string
		events   []eventlog.Event
		check    func([]Run) []Violation
		violated Rule
	}{
		{"a task moved after its run ended", []eventlog.Event{
			event(start, 1, "j.0", "w1", 1), event(end, 5, "j.0", "w1", 1), event(start, 5, "j.0", "w2", 2),
		}, ConcurrentRuns, ""},
		{"a task moved before its run ended", []eventlog.Event{
			event(start, 1, "j.0", "w1", 1), event(start, 4, "j.0", "w2", 2), event(end, 5, "j.0", "w1", 1),
		}, ConcurrentRuns, RuleSingleRun},
		{"a task that never ended is run again", []eventlog.Event{
			event(start, 1, "j.0", "w1", 1), event(start, 90, "j.0", "w2", 2),
		}, ConcurrentRuns, RuleSingleRun},
		{"the capacity of an ended task is used again", []eventlog.Event{
			event(start, 1, "j.0", "w1", 1), event(end, 2, "j.0", "w1", 1), event(start, 2, "j.1", "w1", 1),
		}, func(r []Run) []Violation { return Overcommit(r, specs, size) }, ""},
		{"two tasks where one fits", []eventlog.Event{
			event(start, 1, "j.0", "w1", 1), event(start, 2, "j.1", "w1", 1),
		}, func(r []Run) []Violation { return Overcommit(r, specs, size) }, RuleOvercommit},
		{"a start over a limit that was lowered before", []eventlog.Event{
			event(start, 1, "j.0", "w1", 1), event(start, 20, "j.1", "w2", 1),
		}, func(r []Run) []Violation {
			return OverLimit(r, specs, []Limit{{"t", size.Scale(2), 0}, {"t", size, 10}})
		}, RuleLimit},
		{"a start before the lowered limit is in force", []eventlog.Event{
			event(start, 1, "j.0", "w1", 1), event(start, 9, "j.1", "w2", 1),
		}, func(r []Run) []Violation {
			return OverLimit(r, specs, []Limit{{"t", size.Scale(2), 0}, {"t", size, 10}})
		}, ""},
		{"a start in a data centre that is out of service", []eventlog.Event{
			event(start, 11, "j.0", "w1", 1),
		}, func(r []Run) []Violation { return StartsOutOfService(r, []OutOfServicePeriod{{"dc1", 10, 20}}) }, RuleOutOfService},
		{"a start after the data centre returned to service", []eventlog.Event{
			event(start, 21, "j.0", "w1", 1),
		}, func(r []Run) []Violation { return StartsOutOfService(r, []OutOfServicePeriod{{"dc1", 10, 20}}) }, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			found := c.check(Runs(c.events))
			if c.violated == "" {
				qt.Assert(t, found, qt.HasLen, 0)
				return
			}
			qt.Assert(t, found, qt.HasLen, 1)
			qt.Assert(t, found[0].Rule, qt.Equals, c.violated)
		})
	}
}

func TestRequestCheckers(t *testing.T) {
	once := caller.Attempt{ID: "dc1-1-a-b", Once: true, Verdict: verdict.Done, Answered: true}
	refused := caller.Attempt{ID: "dc1-1-a-b", Once: true, Verdict: verdict.NotRun}
	cases := []struct {
		name       string
		attempt    caller.Attempt
		executions string
		violated   Rule
	}{
		{"executed once", once, "dc1-1-a-b 1\n", ""},
		{"executed twice", once, "dc1-1-a-b 2\n", RuleAtMostOnce},
		{"executed once on each of two servers", once, "dc1-1-a-b 1\ndc1-1-a-b 1\n", RuleAtMostOnce},
		{"refused and not executed", refused, "", ""},
		{"refused as not-run but executed", refused, "dc1-1-a-b 1\n", RuleNotRun},
		{"the response to another request", caller.Attempt{Wrong: true}, "", RuleResponse},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			executions := Executions{}
			qt.Assert(t, executions.ReadExecutions(strings.NewReader(c.executions)), qt.IsNil)
			found := CheckRequests([]caller.Attempt{c.attempt}, executions)
			if c.violated == "" {
				qt.Assert(t, found, qt.HasLen, 0)
				return
			}
			qt.Assert(t, found, qt.HasLen, 1)
			qt.Assert(t, found[0].Rule, qt.Equals, c.violated)
		})
	}
}

func TestRevokedKey(t *testing.T) {
	attempts := []caller.Attempt{{StartMS: 9, Answered: true}, {StartMS: 12}}
	qt.Assert(t, AcceptedWithRevokedKey(attempts, 10), qt.HasLen, 0)
	attempts[1].Answered = true
	qt.Assert(t, AcceptedWithRevokedKey(attempts, 10), qt.HasLen, 1)
}
