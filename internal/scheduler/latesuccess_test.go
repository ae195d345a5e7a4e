package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/cell"
)

// TestLostRunThatIsDoneIsNotRepeated guards against a task that runs twice, because its run was
// recorded as lost while the leader could reach no worker for longer than a lease, and the
// worker then listed it as done: that end was acknowledged without being recorded. It makes no
// difference whether the loss is committed before the list arrives.
func TestLostRunThatIsDoneIsNotRepeated(t *testing.T) {
	for name, committed := range map[string]bool{"loss committed": true, "loss in flight": false} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, oneTask)
			r.lead()
			k := r.startedRun()
			se := r.sessions[testWorker]
			r.clock.Advance(time.Minute)
			r.declareExpiredRunsLost(se, r.now())
			if committed {
				r.commitEnds(r.ctx)
				r.runUntil(func() bool { return r.ends.inFlight == 0 })
			}
			r.deliverReply(RenewReply{ClockMillis: 70000, Finished: []FinishedTask{{Number: 1, Task: k, Run: 1, Outcome: cell.OutcomeDone}}})
			r.commitEnds(r.ctx)
			r.runUntil(func() bool { return se.lastRecordedEnd == 1 })
			r.state.Read(func() {
				qt.Check(t, r.state.Jobs[testJob].State, qt.Equals, cell.JobSucceeded)
			})
		})
	}
}

// TestDoneRunOfARepeatedTaskIsNotLate checks that a run which was lost and is done changes
// nothing once its task runs again.
func TestDoneRunOfARepeatedTaskIsNotLate(t *testing.T) {
	r := newRig(t, oneTask)
	r.lead()
	k := r.startedRun()
	r.clock.Advance(time.Minute)
	r.declareExpiredRunsLost(r.sessions[testWorker], r.now())
	r.commitEnds(r.ctx)
	r.runUntil(func() bool { return r.ends.inFlight == 0 })
	r.place(0, 2)
	r.syncSessions(r.ctx)
	r.deliverReply(RenewReply{ClockMillis: 70000, Finished: []FinishedTask{{Number: 1, Task: k, Run: 1, Outcome: cell.OutcomeDone}}})
	qt.Check(t, r.endsOf(k), qt.HasLen, 0)
}
