package cell

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/model"
)

// do applies a command and returns its result.
func do(t *testing.T, s *State, c *Command) Result {
	t.Helper()
	data, err := c.Encode()
	qt.Assert(t, err, qt.IsNil)
	r, err := DecodeResult(s.Apply(s.Applied+1, data))
	qt.Assert(t, err, qt.IsNil)
	return r
}

const (
	testJob    JobID    = "00000000000000aa"
	testWorker WorkerID = "w1"
)

// withJob returns tables with one worker of 16 cores and a job of the steps.
func withJob(t *testing.T, steps ...Step) *State {
	t.Helper()
	s := NewState(nil)
	do(t, s, &Command{Lead: &Lead{Term: 2}})
	do(t, s, &Command{Configure: &Configure{Document: []byte("{}"), Config: Config{
		Version: 1, Pools: []Pool{{Name: "p"}},
		Queues:     []Queue{{Name: "q", Host: "h", Prefix: "/q/", Attempts: 2, TimeoutMillis: 1000, Pool: "p"}},
		Workspaces: []Workspace{{Name: "a", Keys: []string{"k"}}},
	}}})
	do(t, s, &Command{Workers: &Workers{Seen: []Worker{{
		ID: testWorker, Born: 1, Addr: "10.0.0.1:1", DC: "dc1", Pool: "p", Capacity: model.Resources{MilliCPU: 16000, MemoryMB: 32000},
	}}}})
	do(t, s, &Command{Submit: &Submit{Job{ID: testJob, Queue: "q", Workspace: "a", Steps: steps}}})
	return s
}

func startOf(index int, run int64) Start {
	return Start{Task: TaskKey{Job: testJob, Index: index}, Run: run, Worker: testWorker, Born: 1}
}

func endOf(index int, run int64, o Outcome) *Command {
	return &Command{Leadership: 2, Ends: &Ends{Ends: []End{{
		Task: TaskKey{Job: testJob, Index: index}, Run: run, Worker: testWorker, Born: 1, Outcome: o,
	}}}}
}

// A leader that was suspended and replaced must not give up runs that its
// successor has renewed, even if its command reaches the log.
func TestStaleSchedulerChangesNothing(t *testing.T) {
	s := withJob(t, Step{Count: 1, Need: model.Resources{MilliCPU: 1000, MemoryMB: 10}})
	do(t, s, &Command{Leadership: 2, Starts: &Starts{[]Start{startOf(0, 1)}}})
	do(t, s, &Command{Lead: &Lead{Term: 3}})
	r := do(t, s, endOf(0, 1, OutcomeLost))
	qt.Check(t, r.Stale, qt.IsTrue)
	qt.Check(t, s.Workers[testWorker].Used.MilliCPU, qt.Equals, int64(1000))
	r = do(t, s, &Command{Leadership: 2, Starts: &Starts{[]Start{startOf(0, 2)}}})
	qt.Check(t, r.Stale, qt.IsTrue)
}

func TestPlanIsCheckedAgain(t *testing.T) {
	s := withJob(t, Step{Count: 3, Need: model.Resources{MilliCPU: 9000, MemoryMB: 10}})
	r := do(t, s, &Command{Leadership: 2, Starts: &Starts{[]Start{startOf(0, 1), startOf(1, 1)}}})
	qt.Check(t, r.Accepted, qt.DeepEquals, []int{0})
	r = do(t, s, &Command{Leadership: 2, Starts: &Starts{[]Start{startOf(0, 2)}}})
	qt.Check(t, r.Accepted, qt.HasLen, 0, qt.Commentf("a task that is placed was placed again"))
	do(t, s, &Command{Cancel: &Cancel{ID: testJob}})
	do(t, s, endOf(0, 1, OutcomeStopped))
	r = do(t, s, &Command{Leadership: 2, Starts: &Starts{[]Start{startOf(1, 1)}}})
	qt.Check(t, r.Accepted, qt.HasLen, 0, qt.Commentf("a task of a cancelled job was placed"))
}

func TestGangIsPlacedWholeAndEndsTogether(t *testing.T) {
	s := withJob(t, Step{Count: 2, Need: model.Resources{MilliCPU: 9000, MemoryMB: 10}, Gang: true})
	r := do(t, s, &Command{Leadership: 2, Starts: &Starts{[]Start{startOf(0, 1), startOf(1, 1)}}})
	qt.Check(t, r.Accepted, qt.HasLen, 0)
	s = withJob(t, Step{Count: 2, Need: model.Resources{MilliCPU: 8000, MemoryMB: 10}, Gang: true})
	r = do(t, s, &Command{Leadership: 2, Starts: &Starts{[]Start{startOf(0, 1), startOf(1, 1)}}})
	qt.Check(t, r.Accepted, qt.HasLen, 2)
	do(t, s, endOf(0, 1, OutcomeDone))
	qt.Check(t, s.Jobs[testJob].State, qt.Equals, JobSucceeded)
	qt.Check(t, s.Workers[testWorker].Used.MilliCPU, qt.Equals, int64(8000), qt.Commentf("the other member's room is free before its end is listed"))
}

func TestAttemptsEndAJob(t *testing.T) {
	s := withJob(t, Step{Count: 1, Need: model.Resources{MilliCPU: 1000, MemoryMB: 10}})
	for run := int64(1); run <= 2; run++ {
		qt.Assert(t, s.Jobs[testJob].State.Ended(), qt.IsFalse)
		do(t, s, &Command{Leadership: 2, Starts: &Starts{[]Start{startOf(0, run)}}})
		do(t, s, endOf(0, run, OutcomeFailed))
	}
	qt.Check(t, s.Jobs[testJob].State, qt.Equals, JobFailed)
}

func TestSnapshotHoldsAll(t *testing.T) {
	s := withJob(t, Step{Count: 2, Need: model.Resources{MilliCPU: 1000, MemoryMB: 10}}, Step{Count: 1, After: []int{0}})
	do(t, s, &Command{Leadership: 2, Starts: &Starts{[]Start{startOf(0, 1)}}})
	do(t, s, &Command{SetOut: &SetOut{DC: "dc1", Out: true}})
	data, err := s.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	copied := NewState(nil)
	qt.Assert(t, copied.Restore(data), qt.IsNil)
	again, err := copied.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, again, qt.DeepEquals, data)
	qt.Check(t, copied.Used["a"], qt.Equals, model.Resources{MilliCPU: 1000, MemoryMB: 10})
	qt.Check(t, copied.Active, qt.HasLen, 1)
}
