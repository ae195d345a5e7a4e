package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/cell"
)

// reincarnate records a new incarnation of the test worker, and returns the session that
// it closes and the one that it opens.
func (r *rig) reincarnate(born int64) (closed, opened *session) {
	r.t.Helper()
	closed = r.sessions[testWorker]
	w := r.state.Workers[testWorker].Worker
	w.Born = born
	r.apply(&cell.Command{Leadership: r.term.Load(), Workers: &cell.Workers{Seen: []cell.Worker{w}}})
	r.syncSessions(r.ctx)
	opened = r.sessions[testWorker]
	qt.Assert(r.t, opened != closed, qt.IsTrue)
	return closed, opened
}

// TestReplyToClosedSessionDrawsNoToken guards against a worker that refuses all orders for
// their fencing token: the reply to a probe came after the session was replaced, drew a
// token above that of the new session, and the next probe showed it to the worker.
func TestReplyToClosedSessionDrawsNoToken(t *testing.T) {
	r := newRig(t, oneTask)
	r.lead()
	r.deliverReplyFrom(1)
	r.clock.Advance(time.Second)
	probe := &renewal{target: r.sessions[testWorker].target, order: RenewOrder{Fence: r.sessions[testWorker].fence}, sent: r.now(), outOfBand: true}
	closed, opened := r.reincarnate(2)
	drawn := r.fences
	probe.reply = &RenewReply{ClockMillis: 10, Incarnation: 2}
	r.onRenewalReply(r.ctx, closed, probe)
	qt.Check(t, r.fences, qt.Equals, drawn)
	qt.Check(t, closed.fence < opened.fence, qt.IsTrue)
}

// TestRefusedTokenIsReplaced guards against a worker that stays idle for good, since it has
// seen a token of this leader above the one that its orders carry.
func TestRefusedTokenIsReplaced(t *testing.T) {
	r := newRig(t, oneTask)
	r.lead()
	r.deliverReplyFrom(1)
	se := r.sessions[testWorker]
	refused := &renewal{target: se.target, order: RenewOrder{Fence: se.fence}, sent: r.now(), err: &RefusedError{RefusedFence}}
	r.onRenewalReply(r.ctx, se, refused)
	qt.Check(t, se.fence > refused.order.Fence, qt.IsTrue)
	qt.Check(t, r.acceptsTasks(se, r.state.Workers[testWorker], r.now()), qt.IsFalse)
	fence := se.fence
	r.onRenewalReply(r.ctx, se, refused)
	qt.Check(t, se.fence, qt.Equals, fence, qt.Commentf("another order with the former token"))
	r.deliverReplyFrom(1)
	qt.Check(t, r.acceptsTasks(se, r.state.Workers[testWorker], r.now()), qt.IsTrue)
}

// TestClaimIsNotRefusedWhileItIsCommitted guards against a worker whose report is refused
// although it is recorded: a reply from its former address comes during the commit.
func TestClaimIsNotRefusedWhileItIsCommitted(t *testing.T) {
	r := newRig(t, oneTask)
	r.lead()
	r.deliverReplyFrom(1)
	moved := r.state.Workers[testWorker].Worker
	moved.Addr = "10.0.0.2:1"
	done := make(chan bool, 1)
	r.holdClaim(moved, done)
	se := r.sessions[testWorker]
	se.claim.confirmed = true
	r.checkClaims(r.ctx)
	r.clock.Advance(time.Millisecond)
	r.deliverReplyFrom(1)
	r.runUntil(func() bool { return se.claim == nil })
	qt.Check(t, <-done, qt.IsTrue)
	qt.Check(t, r.state.Workers[testWorker].Addr, qt.Equals, moved.Addr)
}
