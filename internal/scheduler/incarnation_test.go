package scheduler

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/cell"
)

// deliverReplyFrom delivers the reply of an incarnation to a renewal that was sent now.
func (r *rig) deliverReplyFrom(incarnation int64, running ...RunningTask) {
	r.deliverReply(RenewReply{ClockMillis: 1000, Incarnation: incarnation, Running: running})
}

// startUnanswered places a task, whose start is sent and not answered yet.
func (r *rig) startUnanswered() (cell.TaskKey, *run) {
	r.t.Helper()
	k := r.place(0, 1)
	r.startRun(r.ctx, &cell.Start{Task: k, Run: 1, Worker: testWorker, Born: 1}, "", "", "")
	return k, r.sessions[testWorker].runs[k]
}

// TestStartReachesNextIncarnation guards against a task that runs twice: its start is
// meant for an incarnation that has crashed, reaches the next one under the same ID, and
// runs there while the task is placed again. The run is known as lost only once the next
// incarnation has seen a fencing token that refuses the start, and doesn't list the run.
func TestStartReachesNextIncarnation(t *testing.T) {
	for _, c := range []struct {
		name    string
		running []RunningTask
		want    []cell.Outcome
	}{
		{"it runs there", []RunningTask{{Task: cell.TaskKey{Job: testJob}, Run: 1}}, nil},
		{"it never came", nil, []cell.Outcome{cell.OutcomeLost}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, oneTask)
			r.lead()
			r.deliverReplyFrom(1)
			se := r.sessions[testWorker]
			k, run := r.startUnanswered()
			r.clock.Advance(100 * time.Millisecond)
			r.deliverReplyFrom(2)
			qt.Check(t, r.endsOf(k), qt.HasLen, 0, qt.Commentf("the renewal had the token of the earlier incarnation"))
			qt.Check(t, se.fence > run.fence, qt.IsTrue)
			qt.Check(t, r.acceptsTasks(se, r.state.Workers[testWorker], r.now()), qt.IsFalse)

			r.clock.Advance(time.Millisecond)
			r.onStartReply(r.ctx, se, k, run, nil)
			r.clock.Advance(time.Millisecond)
			r.deliverReplyFrom(2, c.running...)
			qt.Check(t, r.endsOf(k), qt.DeepEquals, c.want)
		})
	}
}

// recordedIncarnation returns the incarnation of the test worker in the replicated state.
func (r *rig) recordedIncarnation() (born int64) {
	r.state.Read(func() { born = r.state.Workers[testWorker].Born })
	return born
}

// TestRestartedWorkerKeepsListedRuns guards against runs of a restarted worker that are
// lost with the report of its new incarnation, although that one lists them.
func TestRestartedWorkerKeepsListedRuns(t *testing.T) {
	r := newRig(t, oneTask)
	r.lead()
	r.deliverReplyFrom(1)
	k, run := r.startUnanswered()
	r.onStartReply(r.ctx, r.sessions[testWorker], k, run, nil)
	reborn := r.state.Workers[testWorker].Worker
	reborn.Born = 2
	done := make(chan bool, 1)
	r.holdClaim(reborn, done)
	r.checkClaims(r.ctx)
	qt.Check(t, r.state.Workers[testWorker].Born, qt.Equals, int64(1), qt.Commentf("the new incarnation has not replied yet"))

	listed := RunningTask{Task: k, Run: 1}
	r.deliverReplyFrom(2, listed)
	r.clock.Advance(time.Millisecond)
	r.deliverReplyFrom(2, listed)
	r.checkClaims(r.ctx)
	r.runUntil(func() bool { return r.recordedIncarnation() == 2 })
	r.syncSessions(r.ctx)
	se := r.sessions[testWorker]
	qt.Check(t, se.target.Incarnation, qt.Equals, int64(2))
	qt.Check(t, se.runs[k], qt.Equals, run)
	qt.Check(t, r.endsOf(k), qt.HasLen, 0)
	qt.Check(t, r.state.Workers[testWorker].Allocations[k].Run, qt.Equals, int64(1))
	r.runUntil(func() bool { return se.claim == nil })
	qt.Check(t, <-done, qt.IsTrue)
	qt.Check(t, r.acceptsTasks(se, r.state.Workers[testWorker], r.now()), qt.IsTrue)
}

// TestSilentRestartedWorkerKeepsRunsUntilLeaseExpiry guards against runs that are given
// up when a new incarnation reports, before it has answered: they are lost only with the
// longest lease that it can have taken.
func TestSilentRestartedWorkerKeepsRunsUntilLeaseExpiry(t *testing.T) {
	r := newRig(t, oneTask)
	r.lead()
	k := r.startedRun()
	reborn := r.state.Workers[testWorker].Worker
	reborn.Born = 2
	r.holdClaim(reborn, make(chan bool, 1))
	r.checkClaims(r.ctx)
	r.clock.Advance(unreachableAfter)
	r.declareExpiredRunsLost(r.sessions[testWorker], r.now())
	qt.Check(t, r.endsOf(k), qt.HasLen, 0)
	r.clock.Advance(2 * leaseTerm)
	r.declareExpiredRunsLost(r.sessions[testWorker], r.now())
	qt.Check(t, r.endsOf(k), qt.DeepEquals, []cell.Outcome{cell.OutcomeLost})
}

// TestEndsOfEarlierIncarnationAreNotAcknowledgedToNext guards against ends that are
// acknowledged unseen: the numbers of a restarted worker's ends start anew.
func TestEndsOfEarlierIncarnationAreNotAcknowledgedToNext(t *testing.T) {
	r := newRig(t, oneTask)
	r.lead()
	r.deliverReplyFrom(1)
	k, run := r.startUnanswered()
	se := r.sessions[testWorker]
	r.onStartReply(r.ctx, se, k, run, nil)
	r.deliverReply(RenewReply{ClockMillis: 1000, Incarnation: 1, Finished: []FinishedTask{{Number: 7, Task: k, Run: 1, Outcome: cell.OutcomeDone}}})
	acks := r.ends.acks
	qt.Assert(t, acks, qt.HasLen, 1)
	r.clock.Advance(time.Millisecond)
	r.deliverReplyFrom(2)
	acknowledge(acks)
	qt.Check(t, se.lastRecordedEnd, qt.Equals, int64(0))
}

// TestUnknownRunsAreStopped guards against a run that goes on unseen: its start was
// carried out after the run had been given up.
func TestUnknownRunsAreStopped(t *testing.T) {
	r := newRig(t, oneTask)
	stops := &stopRecorder{got: make(chan StopOrder, 1)}
	r.cfg.Workers = stops
	r.lead()
	k := cell.TaskKey{Job: testJob}
	r.deliverReplyFrom(1, RunningTask{Task: k, Run: 3})
	o := <-stops.got
	qt.Check(t, o, qt.Equals, StopOrder{k, 3, r.sessions[testWorker].fence})
}

// stopRecorder passes on the stops that it gets.
type stopRecorder struct {
	unresponsiveWorkers
	got chan StopOrder
}

func (s *stopRecorder) Stop(_ context.Context, _ WorkerTarget, o StopOrder) error {
	s.got <- o
	return nil
}

// TestEndsDuringAdoptionAreRecorded guards against a run that never ends: its end was
// listed while the incarnation that runs it was being recorded, was committed for the
// earlier incarnation after that, and so was dropped and acknowledged.
func TestEndsDuringAdoptionAreRecorded(t *testing.T) {
	r := newRig(t, oneTask)
	r.lead()
	r.deliverReplyFrom(1)
	k, run := r.startUnanswered()
	se := r.sessions[testWorker]
	r.onStartReply(r.ctx, se, k, run, nil)
	reborn := r.state.Workers[testWorker].Worker
	reborn.Born = 2
	r.holdClaim(reborn, make(chan bool, 1))
	listed := RunningTask{Task: k, Run: 1}
	for range 2 {
		r.clock.Advance(time.Millisecond)
		r.deliverReplyFrom(2, listed)
	}
	r.checkClaims(r.ctx)
	r.runUntil(func() bool { return r.recordedIncarnation() == 2 })

	ended := RenewReply{ClockMillis: 1000, Incarnation: 2, Finished: []FinishedTask{{Number: 1, Task: k, Run: 1, Outcome: cell.OutcomeDone}}}
	r.clock.Advance(time.Millisecond)
	r.deliverReply(ended)
	r.commitEnds(r.ctx)
	r.syncSessions(r.ctx)
	r.runUntil(func() bool { return r.ends.inFlight == 0 })
	r.clock.Advance(time.Millisecond)
	if se.lastRecordedEnd == 0 {
		r.deliverReply(ended)
		r.commitEnds(r.ctx)
	}
	r.runUntil(func() (done bool) {
		r.state.Read(func() { done = r.state.Jobs[testJob].State == cell.JobSucceeded })
		return done
	})
}
