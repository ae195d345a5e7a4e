package cell

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/consensus"
	"kumquatwing/internal/model"
	"kumquatwing/internal/placement/estimate"
)

// runTask places a run of a task and applies its end.
func runTask(t *testing.T, s *State, k TaskKey, run int64, o Outcome, workMillis int64) {
	t.Helper()
	st := Start{Task: k, Run: run, Worker: testWorker, Born: 1}
	r := applyCommand(t, s, &Command{Leadership: 2, Starts: &Starts{[]Start{st}}})
	qt.Assert(t, r.Accepted, qt.HasLen, 1)
	applyCommand(t, s, &Command{Leadership: 2, Ends: &Ends{Ends: []End{{
		Task: k, Run: run, Worker: testWorker, Born: 1, Outcome: o, WorkMillis: workMillis,
	}}}})
}

var smallNeed = model.Resources{MilliCPU: 100, MemoryMB: 1}

// submitAndRun submits jobs of one task each and ends the tasks with the given work.
func submitAndRun(t *testing.T, s *State, n int, o Outcome, workMillis int64) {
	t.Helper()
	for range n {
		id := JobID(fmt.Sprintf("%016x", len(s.Jobs)))
		step := Step{Count: 1, Need: smallNeed, EstimateMillis: 1000}
		applyCommand(t, s, &Command{Submit: &Submit{Job{ID: id, Queue: "q", Workspace: "a", Steps: []Step{step}}}})
		runTask(t, s, TaskKey{Job: id}, 1, o, workMillis)
	}
}

// samples returns the number of samples of the queue of the tests.
func samples(s *State) int64 {
	if fit := s.RunTimes.Fit("q"); fit != nil {
		return fit.Samples
	}
	return 0
}

// TestRunTimeSamplesOfAStep guards against jobs with many tasks that outweigh all others,
// and against samples of service tasks, which end only when something goes wrong.
func TestRunTimeSamplesOfAStep(t *testing.T) {
	s := stateWithJob(t, Step{Count: 20, Need: smallNeed, EstimateMillis: 1000})
	for i := range 20 {
		runTask(t, s, TaskKey{Job: testJob, Index: i}, 1, OutcomeDone, 3000)
	}
	qt.Check(t, samples(s), qt.Equals, int64(runTimeSamplesPerStep))

	s = stateWithJob(t, Step{Count: 2, Gang: true, Need: smallNeed, EstimateMillis: 1000})
	applyCommand(t, s, &Command{Leadership: 2, Starts: &Starts{[]Start{startOf(0, 1), startOf(1, 1)}}})
	for i := range 2 {
		c := endOf(1-i, 1, OutcomeDone)
		c.Ends.Ends[0].WorkMillis = 3000
		applyCommand(t, s, c)
	}
	qt.Check(t, samples(s), qt.Equals, int64(1), qt.Commentf("a gang gives one sample, whichever run's end is reported first"))

	s = stateWithJob(t, Step{Count: 1, Service: true, Need: smallNeed, EstimateMillis: 1000})
	runTask(t, s, TaskKey{Job: testJob}, 1, OutcomeDone, 3000)
	qt.Check(t, samples(s), qt.Equals, int64(0))
}

// TestOnlyMeasuredSuccessesAreSamples guards against poison jobs, whose tasks only ever
// fail, against runs that were stopped, and against ends without a measurement.
func TestOnlyMeasuredSuccessesAreSamples(t *testing.T) {
	s := stateWithJob(t)
	for _, o := range []Outcome{OutcomeFailed, OutcomeStopped, OutcomeLeaseExpired, OutcomeBroken, OutcomeAlone, OutcomeLost} {
		submitAndRun(t, s, 2*estimate.MinRunSamples, o, 10)
	}
	submitAndRun(t, s, 2*estimate.MinRunSamples, OutcomeDone, 0)
	qt.Check(t, s.RunTimes.Entries, qt.HasLen, 0)
	submitAndRun(t, s, estimate.MinRunSamples, OutcomeDone, 3000)
	qt.Check(t, s.RunTimes.Predict("q", 1000), qt.Equals, int64(3000))
}

// TestRunTimesSurviveSnapshots guards against a member that predicts otherwise than the
// others after it was restored from a snapshot, also with samples after that.
func TestRunTimesSurviveSnapshots(t *testing.T) {
	s := stateWithJob(t)
	submitAndRun(t, s, 20, OutcomeDone, 3000)
	submitAndRun(t, s, 20, OutcomeDone, 4000)
	data, err := s.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	restored := NewState(nil)
	qt.Assert(t, restored.Restore(data), qt.IsNil)
	qt.Check(t, restored.RunTimes, qt.DeepEquals, s.RunTimes)
	for _, member := range []*State{s, restored} {
		submitAndRun(t, member, 20, OutcomeDone, 5000)
	}
	qt.Check(t, restored.RunTimes, qt.DeepEquals, s.RunTimes)
	qt.Assert(t, restored.Restore(data), qt.IsNil)
	qt.Check(t, samples(restored), qt.Equals, int64(40), qt.Commentf("a restore replaces the samples"))
}

// TestRunTimesAreSmall guards against snapshots that grow with the number of queues.
func TestRunTimesAreSmall(t *testing.T) {
	var rt estimate.RunTimes
	for i := range 4 * estimate.MaxRunTimes {
		for range 20 {
			rt.Add(fmt.Sprintf("queue-with-a-long-name-%04d", i), 1000, 60_000)
		}
	}
	data, err := consensus.Encode(&rt)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, len(data) < 20_000, qt.IsTrue, qt.Commentf("%d bytes", len(data)))
}

// The types as they were before run times were part of them.
type (
	oldEnd struct {
		Task       TaskKey
		Run        int64
		Worker     WorkerID
		Born       int64
		Outcome    Outcome
		Checkpoint string
	}
	oldEnds struct {
		Ends       []oldEnd
		UnixMillis int64
	}
	oldWorker struct {
		ID       WorkerID
		Born     int64
		Addr     string
		DC       string
		Pool     string
		Labels   []string
		Capacity model.Resources
		Draining bool
	}
	oldCommand struct {
		Leadership uint64
		Lead       *Lead
		Submit     *Submit
		Cancel     *Cancel
		Configure  *Configure
		SetOut     *SetOut
		Workers    *Workers
		Starts     *Starts
		Ends       *oldEnds
		Due        *Due
		Forget     *Forget
	}
	oldSnapshot struct {
		Leadership uint64
		Config     Config
		Document   []byte
		Former     []Queue
		Out        []string
		Workers    []Worker
		Held       [][]Allocation
		Jobs       []*Job
		Tombstones []Tombstone
	}
)

// TestEarlierVersionsReadStateWithoutRunTimes guards against members that diverge while the
// members of a cell are upgraded one after another with run times turned off: those of the
// earlier version would skip ends that they can't decode.
func TestEarlierVersionsReadStateWithoutRunTimes(t *testing.T) {
	c := endOf(1, 1, OutcomeDone)
	c.Ends.Ends[0].Checkpoint = "c"
	e := c.Ends.Ends[0]
	data, err := c.Encode()
	qt.Assert(t, err, qt.IsNil)
	old, err := consensus.Encode(&oldCommand{Leadership: 2, Ends: &oldEnds{
		Ends: []oldEnd{{e.Task, e.Run, e.Worker, e.Born, e.Outcome, e.Checkpoint}},
	}})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, data, qt.DeepEquals, old)

	s := stateWithJob(t, Step{Count: 2, Need: smallNeed, EstimateMillis: 1000})
	submitAndRun(t, s, 1, OutcomeDone, 0)
	data, err = s.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, data, qt.DeepEquals, encodeOldSnapshot(t, data))
}

// encodeOldSnapshot returns a snapshot as the version before run times encodes it.
func encodeOldSnapshot(t *testing.T, data []byte) []byte {
	t.Helper()
	var snap snapshot
	qt.Assert(t, consensus.Decode(data, &snap), qt.IsNil)
	old, err := consensus.Encode(&oldSnapshot{
		snap.Leadership, snap.Config, snap.Document, snap.Former, snap.Out, snap.Workers, snap.Held, snap.Jobs, snap.Tombstones,
	})
	qt.Assert(t, err, qt.IsNil)
	return old
}

// TestStateOfEarlierVersions guards against log entries and snapshots of an earlier version
// that can't be read after an upgrade: the member would skip the entries, or not start.
func TestStateOfEarlierVersions(t *testing.T) {
	s := stateWithJob(t, Step{Count: 2, Need: smallNeed, EstimateMillis: 1000})
	applyCommand(t, s, &Command{Leadership: 2, Starts: &Starts{[]Start{startOf(0, 1), startOf(1, 1)}}})
	data, err := consensus.Encode(&oldCommand{Leadership: 2, Ends: &oldEnds{Ends: []oldEnd{
		{Task: TaskKey{Job: testJob}, Run: 1, Worker: testWorker, Born: 1, Outcome: OutcomeDone},
		{Task: TaskKey{Job: testJob, Index: 1}, Run: 1, Worker: testWorker, Born: 1, Outcome: OutcomeStopped, Checkpoint: "c"},
	}}})
	qt.Assert(t, err, qt.IsNil)
	s.Apply(s.Applied+1, data)
	step := &s.Jobs[testJob].Occurrences[0].Steps[0]
	qt.Check(t, step.Done, qt.Equals, 1)
	qt.Check(t, step.Tasks[1].Checkpoint, qt.Equals, "c")
	qt.Check(t, samples(s), qt.Equals, int64(0))

	// A cancel without its caller, and a worker that doesn't tell whether it leaves.
	for _, entry := range []any{
		&struct {
			Leadership           uint64
			Lead, Submit, Cancel *struct{ ID JobID }
		}{Cancel: &struct{ ID JobID }{testJob}},
		&struct {
			Leadership                                       uint64
			Lead, Submit, Cancel, Configure, SetOut, Workers *struct{ Seen []oldWorker }
		}{Workers: &struct{ Seen []oldWorker }{[]oldWorker{{ID: "w2", Born: 1, Pool: "p"}}}},
	} {
		data, err = consensus.Encode(entry)
		qt.Assert(t, err, qt.IsNil)
		s.Apply(s.Applied+1, data)
	}
	qt.Check(t, s.Jobs[testJob].State, qt.Equals, JobCancelled)
	qt.Check(t, s.Workers["w2"], qt.IsNotNil)

	submitAndRun(t, s, 20, OutcomeDone, 3000)
	data, err = s.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	restored := NewState(nil)
	qt.Assert(t, restored.Restore(encodeOldSnapshot(t, data)), qt.IsNil)
	qt.Check(t, restored.Jobs, qt.HasLen, len(s.Jobs))
	qt.Check(t, restored.RunTimes.Predict("q", 1000), qt.Equals, int64(1000), qt.Commentf("the declared time is used until there are samples"))
}
