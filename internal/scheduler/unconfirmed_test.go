package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/cell"
)

// TestUnsentStartIsPlacedAgain guards against a task that waits for the end of a lease
// although its start was never sent: the leader's lease had run out for a moment.
func TestUnsentStartIsPlacedAgain(t *testing.T) {
	r := newRig(t, oneTask)
	r.lead()
	r.deliverReplyFrom(1)
	k, run := r.startUnanswered()
	se := r.sessions[testWorker]
	r.onStartReply(r.ctx, se, k, run, errNotLeading)
	qt.Check(t, r.endsOf(k), qt.DeepEquals, []cell.Outcome{cell.OutcomeLost})
	qt.Check(t, r.acceptsTasks(se, r.state.Workers[testWorker], r.now()), qt.IsTrue)
}

// TestUnconfirmedRunOfEndedIncarnationIsLost guards against a run that never ends, and
// whose worker gets no tasks: the end of the lease in its start is a time on the clock of
// an incarnation that has ended, which the clock of the next one doesn't reach for as long
// as the first one lived.
func TestUnconfirmedRunOfEndedIncarnationIsLost(t *testing.T) {
	r := newRig(t, oneTask)
	r.lead()
	hour := time.Hour.Milliseconds()
	r.deliverReply(RenewReply{ClockMillis: hour, Incarnation: 1})
	k, run := r.startUnanswered()
	qt.Assert(t, run.leaseMillis > hour, qt.IsTrue)
	run.status = runUnconfirmed
	r.clock.Advance(time.Second)
	r.deliverReply(RenewReply{ClockMillis: 10, Incarnation: 2})
	qt.Check(t, r.endsOf(k), qt.HasLen, 0, qt.Commentf("the renewal had the token of the start"))
	r.clock.Advance(time.Millisecond)
	r.deliverReply(RenewReply{ClockMillis: 11, Incarnation: 2})
	qt.Check(t, r.endsOf(k), qt.DeepEquals, []cell.Outcome{cell.OutcomeLost})
}

// TestUnconfirmedRunIsKeptWhileItMayStart checks that a start with the present token that
// was not answered is not lost before its lease has ended or a stop was accepted.
func TestUnconfirmedRunIsKeptWhileItMayStart(t *testing.T) {
	r := newRig(t, oneTask)
	r.lead()
	r.deliverReply(RenewReply{ClockMillis: 1000, Incarnation: 1})
	k, run := r.startUnanswered()
	run.status = runUnconfirmed
	r.clock.Advance(time.Second)
	r.deliverReply(RenewReply{ClockMillis: run.leaseMillis, Incarnation: 1})
	qt.Check(t, r.endsOf(k), qt.HasLen, 0)
	r.deliverReply(RenewReply{ClockMillis: run.leaseMillis + 1, Incarnation: 1})
	qt.Check(t, r.endsOf(k), qt.DeepEquals, []cell.Outcome{cell.OutcomeLost})
}
