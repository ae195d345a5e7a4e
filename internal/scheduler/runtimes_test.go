package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/placement/estimate"
)

// end delivers a reply that the worker gave when the run ended, took after its begin.
func (r *rig) end(k cell.TaskKey, number int64, took time.Duration, o cell.Outcome) {
	r.t.Helper()
	se := r.sessions[testWorker]
	sent := r.now()
	r.clock.Advance(took)
	r.onRenewalReply(r.ctx, se, &renewal{target: se.target, order: RenewOrder{Fence: se.fence}, sent: sent, reply: &RenewReply{
		ClockMillis: 1000 + r.now().Sub(r.leadingSince).Milliseconds(),
		Finished:    []FinishedTask{{Number: number, Task: k, Run: 1, Outcome: o}},
	}})
}

// commitBatch commits the collected ends and waits for the outcome.
func (r *rig) commitBatch() {
	r.t.Helper()
	r.commitEnds(r.ctx)
	r.runUntil(func() bool { return r.ends.inFlight == 0 })
	r.syncSessions(r.ctx)
}

// learn completes tasks of a step with as many as are needed for predictions, with the
// given run time.
func (r *rig) learn(took time.Duration) {
	r.t.Helper()
	for i := range estimate.MinRunSamples {
		id := cell.JobID(string(rune('a'+i)) + "bbbbbbbbbbbbbbb")
		r.apply(&cell.Command{Submit: &cell.Submit{Job: cell.Job{ID: id, Queue: "q", Workspace: "a", Steps: []cell.Step{oneTask}}}})
		k := cell.TaskKey{Job: id}
		r.confirm(k, "")
		r.end(k, int64(i+1), took, cell.OutcomeDone)
		r.commitBatch()
	}
}

// confirm places and starts the first run of a task, which the worker confirms.
func (r *rig) confirm(k cell.TaskKey, checkpoint string) {
	r.t.Helper()
	st := cell.Start{Task: k, Run: 1, Worker: testWorker, Born: 1}
	r.apply(&cell.Command{Leadership: r.term.Load(), Starts: &cell.Starts{Starts: []cell.Start{st}}})
	r.syncSessions(r.ctx)
	r.startRun(r.ctx, &st, "", checkpoint, "")
	se := r.sessions[testWorker]
	r.onStartReply(r.ctx, se, k, se.runs[k], nil)
}

// work returns the measured work of the ends that wait in the batch for their commit.
func (r *rig) work() (millis []int64) {
	for i := range r.ends.ends {
		millis = append(millis, r.ends.ends[i].WorkMillis)
	}
	return millis
}

// TestWorkOfRunsIsMeasured guards against run times of runs that did not do a whole task,
// or whose begin is not known.
func TestWorkOfRunsIsMeasured(t *testing.T) {
	const took = 700 * time.Millisecond
	for _, c := range []struct {
		name string
		play func(r *rig, k cell.TaskKey)
		want int64
	}{
		{"whole run", func(r *rig, k cell.TaskKey) { r.confirm(k, ""); r.end(k, 1, took, cell.OutcomeDone) }, 700},
		{"resumed from a checkpoint", func(r *rig, k cell.TaskKey) { r.confirm(k, "c"); r.end(k, 1, took, cell.OutcomeDone) }, 0},
		{"failed", func(r *rig, k cell.TaskKey) { r.confirm(k, ""); r.end(k, 1, took, cell.OutcomeFailed) }, 0},
		{"stopped", func(r *rig, k cell.TaskKey) { r.confirm(k, ""); r.end(k, 1, took, cell.OutcomeStopped) }, 0},
		{"inherited", func(r *rig, k cell.TaskKey) {
			r.confirm(k, "")
			r.lead()
			r.deliverReply(RenewReply{ClockMillis: 1000, Running: []RunningTask{{Task: k, Run: 1}}})
			r.end(k, 1, took, cell.OutcomeDone)
		}, 0},
		{"ended before the start was confirmed", func(r *rig, k cell.TaskKey) {
			r.place(0, 1)
			r.startRun(r.ctx, &cell.Start{Task: k, Run: 1, Worker: testWorker, Born: 1}, "", "", "")
			r.end(k, 1, took, cell.OutcomeDone)
		}, 0},
		{"slow worker", func(r *rig, k cell.TaskKey) {
			r.confirm(k, "")
			for range minSpeedSamples {
				r.sessions[testWorker].speed.recent.add(-0.6931, r.now())
			}
			r.end(k, 1, took, cell.OutcomeDone)
		}, 350},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, oneTask)
			r.lead()
			r.deliverReply(RenewReply{ClockMillis: 1000})
			c.play(r, cell.TaskKey{Job: testJob})
			qt.Check(t, r.work(), qt.DeepEquals, []int64{c.want})
			r.commitBatch()
			qt.Check(t, len(r.state.RunTimes.Entries) != 0, qt.Equals, c.want != 0)
		})
	}
}

// TestEndsThatWereNotAwaited guards against run times that are too long by the time in
// which no renewal waited at the worker: the run ended at an unknown time since it was
// last listed as running.
func TestEndsThatWereNotAwaited(t *testing.T) {
	r := newRig(t, oneTask)
	r.lead()
	k := r.startedRun()
	r.clock.Advance(300 * time.Millisecond)
	r.deliverReply(RenewReply{ClockMillis: 1300, Running: []RunningTask{{Task: k, Run: 1}}})
	r.clock.Advance(400 * time.Millisecond)
	r.end(k, 1, 0, cell.OutcomeDone)
	qt.Check(t, r.work(), qt.DeepEquals, []int64{500})
}

// TestPlansUsePredictedRunTimes checks that deadlines, remaining times and remaining work
// follow the prediction, and that none of them does where the operator wants declared
// times.
func TestPlansUsePredictedRunTimes(t *testing.T) {
	for _, declared := range []bool{false, true} {
		r := newRig(t, cell.Step{Count: 4, Need: oneTask.Need, EstimateMillis: 1000}, cell.Step{Count: 1, Need: oneTask.Need, EstimateMillis: 1000, After: []int{0}})
		r.cfg.DeclaredRunTimes = declared
		r.lead()
		r.deliverReply(RenewReply{ClockMillis: 1000})
		want := 3 * time.Second
		if declared {
			want = time.Second
		}
		r.learn(3 * time.Second)
		in := r.snapshot()
		qt.Assert(t, in.Pending, qt.HasLen, 1)
		p := &in.Pending[0]
		qt.Check(t, p.TaskTime, qt.Equals, want)
		qt.Check(t, p.Remaining, qt.Equals, 2*want)
		qt.Check(t, p.RemainingWork, qt.Equals, 5*float64(want.Milliseconds()))
		qt.Check(t, p.Deadline.Sub(r.admissions[testJob].submittedAt), qt.Equals, 4*want+time.Second)
	}
}

// TestNewLeaderPredictsAsItsPredecessor guards against a failover that loses what was
// learnt. A sample that was measured and not committed is lost: the new leader takes the
// same end from the worker and doesn't know when the run began.
func TestNewLeaderPredictsAsItsPredecessor(t *testing.T) {
	r := newRig(t, oneTask)
	r.lead()
	r.deliverReply(RenewReply{ClockMillis: 1000})
	r.learn(3 * time.Second)
	k := cell.TaskKey{Job: testJob}
	r.confirm(k, "")
	r.end(k, estimate.MinRunSamples+1, time.Minute, cell.OutcomeDone)
	qt.Check(t, r.work(), qt.DeepEquals, []int64{60_000})

	data, err := r.state.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.state.Restore(data), qt.IsNil)
	r.lead()
	qt.Check(t, r.work(), qt.HasLen, 0)
	r.end(k, estimate.MinRunSamples+1, 0, cell.OutcomeDone)
	qt.Check(t, r.endsOf(k), qt.DeepEquals, []cell.Outcome{cell.OutcomeDone})
	r.commitBatch()
	qt.Check(t, r.state.Jobs[testJob].State, qt.Equals, cell.JobSucceeded)
	qt.Check(t, r.queueTaskTime(r.state.Jobs[testJob], 0), qt.Equals, 3*time.Second)
	qt.Check(t, r.runTimeFits()["q"].Samples, qt.Equals, int64(estimate.MinRunSamples))
}
