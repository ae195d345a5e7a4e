package cell

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/model"
)

// applyCommand applies a command and returns its result.
func applyCommand(t *testing.T, s *State, c *Command) Result {
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

// stateWithJob returns a state with one worker of 16 cores and a job with the given
// steps.
func stateWithJob(t *testing.T, steps ...Step) *State {
	t.Helper()
	s := NewState(nil)
	applyCommand(t, s, &Command{Lead: &Lead{Term: 2}})
	applyCommand(t, s, &Command{Configure: &Configure{Document: []byte("{}"), Config: Config{
		Version: 1, Pools: []Pool{{Name: "p"}},
		Queues:     []Queue{{Name: "q", Host: "h", Prefix: "/q/", Attempts: 2, TimeoutMillis: 1000, Pool: "p"}},
		Workspaces: []Workspace{{Name: "a", Keys: []string{"k"}}},
	}}})
	applyCommand(t, s, &Command{Workers: &Workers{Seen: []Worker{{
		ID: testWorker, Born: 1, Addr: "10.0.0.1:1", DC: "dc1", Pool: "p", Capacity: model.Resources{MilliCPU: 16000, MemoryMB: 32000},
	}}}})
	applyCommand(t, s, &Command{Submit: &Submit{Job{ID: testJob, Queue: "q", Workspace: "a", Steps: steps}}})
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

// A scheduler that was suspended and replaced may still get a command into the log.
// Such a command must not end runs whose leases its successor has renewed.
func TestStaleSchedulerChangesNothing(t *testing.T) {
	s := stateWithJob(t, Step{Count: 1, Need: model.Resources{MilliCPU: 1000, MemoryMB: 10}})
	applyCommand(t, s, &Command{Leadership: 2, Starts: &Starts{[]Start{startOf(0, 1)}}})
	applyCommand(t, s, &Command{Lead: &Lead{Term: 3}})
	r := applyCommand(t, s, endOf(0, 1, OutcomeLost))
	qt.Check(t, r.Stale, qt.IsTrue)
	qt.Check(t, s.Workers[testWorker].Used.MilliCPU, qt.Equals, int64(1000))
	r = applyCommand(t, s, &Command{Leadership: 2, Starts: &Starts{[]Start{startOf(0, 2)}}})
	qt.Check(t, r.Stale, qt.IsTrue)
}

func TestStartsAreValidated(t *testing.T) {
	s := stateWithJob(t, Step{Count: 3, Need: model.Resources{MilliCPU: 9000, MemoryMB: 10}})
	r := applyCommand(t, s, &Command{Leadership: 2, Starts: &Starts{[]Start{startOf(0, 1), startOf(1, 1)}}})
	qt.Check(t, r.Accepted, qt.DeepEquals, []int{0})
	r = applyCommand(t, s, &Command{Leadership: 2, Starts: &Starts{[]Start{startOf(0, 2)}}})
	qt.Check(t, r.Accepted, qt.HasLen, 0, qt.Commentf("a placed task was placed again"))
	applyCommand(t, s, &Command{Cancel: &Cancel{ID: testJob}})
	applyCommand(t, s, endOf(0, 1, OutcomeStopped))
	r = applyCommand(t, s, &Command{Leadership: 2, Starts: &Starts{[]Start{startOf(1, 1)}}})
	qt.Check(t, r.Accepted, qt.HasLen, 0, qt.Commentf("a task of a cancelled job was placed"))
}

func TestGangIsPlacedWholeAndEndsTogether(t *testing.T) {
	s := stateWithJob(t, Step{Count: 2, Need: model.Resources{MilliCPU: 9000, MemoryMB: 10}, Gang: true})
	r := applyCommand(t, s, &Command{Leadership: 2, Starts: &Starts{[]Start{startOf(0, 1), startOf(1, 1)}}})
	qt.Check(t, r.Accepted, qt.HasLen, 0)
	s = stateWithJob(t, Step{Count: 2, Need: model.Resources{MilliCPU: 8000, MemoryMB: 10}, Gang: true})
	r = applyCommand(t, s, &Command{Leadership: 2, Starts: &Starts{[]Start{startOf(0, 1), startOf(1, 1)}}})
	qt.Check(t, r.Accepted, qt.HasLen, 2)
	applyCommand(t, s, endOf(0, 1, OutcomeDone))
	qt.Check(t, s.Jobs[testJob].State, qt.Equals, JobSucceeded)
	qt.Check(t, s.Workers[testWorker].Used.MilliCPU, qt.Equals, int64(8000), qt.Commentf("the other task's capacity was freed before its end was reported"))
}

func TestJobFailsAfterMaxAttempts(t *testing.T) {
	s := stateWithJob(t, Step{Count: 1, Need: model.Resources{MilliCPU: 1000, MemoryMB: 10}})
	for run := int64(1); run <= 2; run++ {
		qt.Assert(t, s.Jobs[testJob].State.Ended(), qt.IsFalse)
		applyCommand(t, s, &Command{Leadership: 2, Starts: &Starts{[]Start{startOf(0, run)}}})
		applyCommand(t, s, endOf(0, run, OutcomeFailed))
	}
	qt.Check(t, s.Jobs[testJob].State, qt.Equals, JobFailed)
}

func TestSnapshotRoundTrip(t *testing.T) {
	s := stateWithJob(t, Step{Count: 2, Need: model.Resources{MilliCPU: 1000, MemoryMB: 10}}, Step{Count: 1, After: []int{0}})
	applyCommand(t, s, &Command{Leadership: 2, Starts: &Starts{[]Start{startOf(0, 1)}}})
	applyCommand(t, s, &Command{SetOut: &SetOut{DC: "dc1", Out: true}})
	data, err := s.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	restored := NewState(nil)
	qt.Assert(t, restored.Restore(data), qt.IsNil)
	second, err := restored.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, second, qt.DeepEquals, data)
	qt.Check(t, restored.UsageByWorkspace["a"], qt.Equals, model.Resources{MilliCPU: 1000, MemoryMB: 10})
	qt.Check(t, restored.Active, qt.HasLen, 1)
}

// TestJobForRemovedQueueIsRefused guards against jobs that are accepted and never run:
// their queue or workspace is removed after it was checked and before the job is applied.
func TestJobForRemovedQueueIsRefused(t *testing.T) {
	s := stateWithJob(t, Step{Count: 1})
	without := s.Config
	without.Version, without.Queues, without.Workspaces = 2, nil, nil
	applyCommand(t, s, &Command{Configure: &Configure{Document: []byte("{}"), Config: without}})
	submit := func(id JobID, queue, workspace string) Result {
		return applyCommand(t, s, &Command{Submit: &Submit{Job{ID: id, Queue: queue, Workspace: workspace, Steps: []Step{{Count: 1}}}}})
	}
	qt.Check(t, submit("00000000000000ab", "q", "").Unknown, qt.IsTrue)
	qt.Check(t, s.Jobs["00000000000000ab"], qt.IsNil)
	qt.Check(t, submit(testJob, "q", "a"), qt.DeepEquals, Result{Known: true}, qt.Commentf("a job that was accepted before"))
	qt.Check(t, s.QueueOf(s.Jobs[testJob]), qt.Not(qt.IsNil), qt.Commentf("its queue is kept"))

	workspaceGone := without
	workspaceGone.Version, workspaceGone.Queues = 3, []Queue{{Name: "q", Pool: "p"}}
	applyCommand(t, s, &Command{Configure: &Configure{Document: []byte("{}"), Config: workspaceGone}})
	qt.Check(t, submit("00000000000000ac", "q", "a").Unknown, qt.IsTrue)
	qt.Check(t, submit("00000000000000ac", "q", "").Unknown, qt.IsFalse)
}

// TestFillersTakeMemory guards against a worker whose memory is overcommitted: only the
// CPU of filler tasks doesn't count against its capacity.
func TestFillersTakeMemory(t *testing.T) {
	s := stateWithJob(t, Step{Count: 3, Filler: true, Need: model.Resources{MilliCPU: 16000, MemoryMB: 16000}})
	for i, want := range []int{1, 1, 0} {
		r := applyCommand(t, s, &Command{Leadership: 2, Starts: &Starts{[]Start{startOf(i, 1)}}})
		qt.Check(t, len(r.Accepted), qt.Equals, want, qt.Commentf("task %d", i))
	}
	qt.Check(t, s.Workers[testWorker].Free(), qt.Equals, model.Resources{MilliCPU: 16000})
}

// TestOnlyALateEndCompletesAWaitingTask guards against members that disagree after they have
// applied a log of an earlier version: its ends of runs that are not allocated have no effect.
func TestOnlyALateEndCompletesAWaitingTask(t *testing.T) {
	s := stateWithJob(t, Step{Count: 1, Need: model.Resources{MilliCPU: 1000, MemoryMB: 10}})
	applyCommand(t, s, &Command{Leadership: 2, Starts: &Starts{[]Start{startOf(0, 1)}}})
	applyCommand(t, s, endOf(0, 1, OutcomeLost))
	done := endOf(0, 1, OutcomeDone)
	applyCommand(t, s, done)
	qt.Check(t, s.Jobs[testJob].State, qt.Equals, JobRunning)
	done.Ends.Ends[0].Late = true
	applyCommand(t, s, done)
	qt.Check(t, s.Jobs[testJob].State, qt.Equals, JobSucceeded)
	step := &s.Jobs[testJob].Occurrences[0].Steps[0]
	qt.Check(t, [2]int{step.Placed, step.Held}, qt.Equals, [2]int{0, 0})
	qt.Check(t, step.Tasks[0].Worker, qt.Equals, testWorker)
}
