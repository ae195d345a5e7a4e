package scheduler

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"kumquatwing/internal/clock"
)

const (
	// maxRenewalWait is how long a worker may delay its reply to a renewal until a
	// run ends, and lossyRenewalWait how long while many replies get lost: each that
	// is lost holds up the ends of the worker's runs until the renewal times out.
	maxRenewalWait   = 1200 * time.Millisecond
	lossyRenewalWait = 600 * time.Millisecond
	// renewalMarginFactor times the timeout of an order is added to a renewal's wait
	// to get its timeout.
	renewalMarginFactor = 2
	// shortPollInterval is the interval of a worker's renewals that don't wait,
	// while those of Bounds.MaxLongPolls others may.
	shortPollInterval = 500 * time.Millisecond
	// endGatherDelay is the pause after a renewal that listed finished runs, so
	// that the next one lists several at once.
	endGatherDelay = 50 * time.Millisecond
	// renewalRetry is the pause after a failed renewal, and unreachableRetry the
	// pause once the worker has not answered for unreachableAfter. goneRetry is the
	// pause once its lease has ended, or it has nothing to run and shuts down: it
	// probably won't be back.
	renewalRetry     = 50 * time.Millisecond
	unreachableRetry = 400 * time.Millisecond
	goneRetry        = 3 * time.Second
)

// renewalLoop renews the worker's lease until the session is closed. It runs on a
// goroutine of its own, one per session, and sends the first renewal after delay.
func (s *Scheduler) renewalLoop(ctx context.Context, se *session, delay time.Duration) {
	if !clock.Sleep(ctx, delay) {
		return
	}
	for {
		next := make(chan renewal, 1)
		s.post(ctx, func() { next <- s.nextRenewal(se) })
		var rn renewal
		select {
		case rn = <-next:
		case <-ctx.Done():
			return
		}
		s.renew(ctx, se, &rn)
		select {
		case <-se.resumed:
		case <-ctx.Done():
			return
		}
		if !clock.Sleep(ctx, rn.nextPause()) {
			return
		}
	}
}

// renewal is one lease renewal and its outcome.
type renewal struct {
	target WorkerTarget
	order  RenewOrder
	sent   clock.Instant
	// outOfBand marks a renewal that was sent besides the renewal loop, which
	// doesn't wait for it.
	outOfBand bool
	// retryPause is how long the renewal loop waits if this renewal fails, and
	// pause how long it waits otherwise.
	retryPause time.Duration
	pause      time.Duration
	reply      *RenewReply
	err        error
}

// nextPause returns how long the renewal loop waits after this renewal.
func (rn *renewal) nextPause() time.Duration {
	switch {
	case rn.err != nil:
		return rn.retryPause
	case len(rn.reply.Finished) > 0:
		return endGatherDelay
	}
	return rn.pause
}

// nextRenewal prepares the next renewal of the loop.
func (s *Scheduler) nextRenewal(se *session) renewal {
	now := s.now()
	o := RenewOrder{Fence: se.fence, AcknowledgedEnds: se.lastRecordedEnd}
	if now.Sub(se.lastReply) < renewalCutoff {
		o.LeaseMillis = s.extendLease(se)
	}
	rn := renewal{target: se.target, sent: now, retryPause: renewalRetry}
	o.Dedicated = s.mayLongPoll(se)
	switch {
	case !o.Dedicated:
		rn.pause = shortPollInterval
	case se.waitsAtWorker(o.LeaseMillis):
		o.Wait = s.renewalWait(se)
	}
	switch silence := now.Sub(se.lastReply); {
	case silence > leaseTerm || (se.draining && len(se.runs) == 0):
		rn.retryPause = goneRetry
	case silence > unreachableAfter:
		rn.retryPause = unreachableRetry
	}
	rn.order = o
	return rn
}

// renewalWait returns how long the worker may delay its reply to the next renewal.
func (s *Scheduler) renewalWait(se *session) time.Duration {
	switch {
	case se.draining:
		return drainRenewalWait
	case s.replyLoss.high():
		return lossyRenewalWait
	}
	return maxRenewalWait
}

// waitsAtWorker reports whether a renewal with the given lease may wait at the worker.
// One that follows on a failed one is answered at once, since the worker may have ends
// to tell.
func (se *session) waitsAtWorker(leaseMillis int64) bool {
	return se.fenceAccepted && leaseMillis != 0 && !se.renewalFailed
}

// mayLongPoll reports whether the session's next renewal has a connection of its own,
// on which it may wait at the worker. A session keeps that right while its worker
// replies: its renewals then share one connection, where turns between the sessions
// would open one for each turn.
func (s *Scheduler) mayLongPoll(se *session) bool {
	if se.longPolls {
		return true
	}
	if s.cfg.Bounds.MaxLongPolls > 0 && s.longPolls >= s.cfg.Bounds.MaxLongPolls {
		return false
	}
	s.longPolls++
	se.longPolls = true
	return true
}

// endLongPolls gives the session's right to wait at the worker to another one.
func (s *Scheduler) endLongPolls(se *session) {
	if se.longPolls {
		s.longPolls--
		se.longPolls = false
	}
}

// errNotLeading is the error of an order that was not sent because this member
// no longer leads.
var errNotLeading = errors.New("scheduler: this member is no longer the leader")

// renew sends a renewal and posts its outcome. It runs outside the control
// goroutine.
func (s *Scheduler) renew(ctx context.Context, se *session, rn *renewal) {
	s.sendRenewal(ctx, rn)
	s.post(ctx, func() { s.onRenewalReply(ctx, se, rn) })
}

// sendRenewal sends a renewal and waits for the reply, if this member still leads. It runs
// outside the control goroutine.
func (s *Scheduler) sendRenewal(ctx context.Context, rn *renewal) {
	if !s.leads() {
		rn.err = errNotLeading
		return
	}
	callCtx, cancel := s.orderContext(ctx, rn.order.Wait+renewalMarginFactor*s.replyTimes.timeout(0))
	defer cancel()
	rn.reply, rn.err = s.cfg.Workers.RenewLease(callCtx, rn.target, rn.order)
	s.calls.renewals.Add(1)
	if rn.err != nil {
		s.calls.failedRenewals.Add(1)
	}
}

// onRenewalReply handles the outcome of a renewal. That of a closed session is dropped.
func (s *Scheduler) onRenewalReply(ctx context.Context, se *session, rn *renewal) {
	if !s.isOpen(se) {
		return
	}
	now := s.now()
	if rn.err == nil {
		s.recordReply(se, now)
	}
	if !rn.outOfBand {
		s.recordReplyLoss(se, rn)
	}
	if rn.err != nil {
		if !rn.outOfBand {
			s.endLongPolls(se)
		}
		s.onRenewalError(ctx, se, rn)
		se.resumeAfter(rn)
		return
	}
	if se.isBeingAdopted() {
		// The worker lists the same again once the incarnation is recorded.
		se.resumeAfter(rn)
		return
	}
	s.judgeClaim(se, rn)
	if !s.noteIncarnation(se, rn) {
		s.probe(ctx, se)
		se.resumeAfter(rn)
		return
	}
	first := !se.fenceAccepted
	se.fenceAccepted, se.lastReply, se.lost = true, now, false
	se.answeredSentAt = max(se.answeredSentAt, rn.sent)
	se.recordClock(rn.reply.ClockMillis, now)
	s.dirty = s.dirty || first
	s.noteOddRows(se, rn)
	running := s.updateRunning(ctx, se, rn)
	s.recordFinished(ctx, se, rn, running)
}

// noteOddRows logs when a worker begins to list rows that name no run, and when it no
// longer does.
func (s *Scheduler) noteOddRows(se *session, rn *renewal) {
	odd := rn.reply.OddRows > 0
	if odd == se.listsOddRows {
		return
	}
	se.listsOddRows = odd
	s.cfg.Log.Warn("rows in the worker's lists that name no run", zap.String("worker", string(se.target.ID)), zap.Int("rows", rn.reply.OddRows))
}

// recordReplyLoss records whether a renewal of the loop failed. A failed one counts as
// lost once the worker has answered the next: a worker that is out of reach tells
// nothing about the replies of the others.
func (s *Scheduler) recordReplyLoss(se *session, rn *renewal) {
	failed := rn.err != nil
	if !failed {
		s.replyLoss.observe(se.renewalFailed)
	}
	se.renewalFailed = failed
}

// resumeAfter lets the renewal loop continue if rn is one of its own renewals.
func (se *session) resumeAfter(rn *renewal) {
	if !rn.outOfBand {
		se.resume()
	}
}

// resume lets the renewal loop continue; it never blocks.
func (se *session) resume() {
	select {
	case se.resumed <- struct{}{}:
	default:
	}
}
