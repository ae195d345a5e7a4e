package scheduler

import (
	"context"
	"errors"
	"math"
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
	// idlePollsPerSecond bounds the renewals that don't wait, of workers without runs. In
	// a cell with more workers than connections each of them opens a connection.
	// maxIdlePollInterval is the longest interval of one worker's. It takes precedence in
	// cells where more than 1,600 workers have no connection of their own.
	idlePollsPerSecond  = 400
	maxIdlePollInterval = 4 * time.Second
	// busyReserve is the part of Bounds.MaxLongPolls, one in this many, that is only for
	// workers with runs.
	busyReserve = 8
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
		if !se.pause(ctx, rn.nextPause()) {
			return
		}
	}
}

// pause waits for d, or until the session is woken. It returns false if ctx ends.
func (se *session) pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-se.woken:
	case <-ctx.Done():
		return false
	}
	return true
}

// wakeIfIdle ends the pause of the renewal loop if it is that of an idle worker. The end of a run
// that has just started would otherwise be known only after the pause.
func (se *session) wakeIfIdle() {
	if !se.polledIdle {
		return
	}
	se.polledIdle = false
	select {
	case se.woken <- struct{}{}:
	default:
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
	if se.silence(now) < renewalCutoff {
		o.LeaseMillis = s.extendLease(se)
	}
	rn := renewal{target: se.target, sent: now, retryPause: renewalRetry}
	o.Dedicated = s.mayLongPoll(se)
	se.polledIdle = !o.Dedicated && se.isIdle()
	switch {
	case se.polledIdle:
		rn.pause = s.idlePollInterval()
	case !o.Dedicated:
		rn.pause = shortPollInterval
	case se.waitsAtWorker(o.LeaseMillis):
		o.Wait = s.renewalWait(se)
	}
	switch silence := se.silence(now); {
	case silence > leaseTerm || (se.draining && len(se.runs) == 0):
		rn.retryPause = goneRetry
	case silence > unreachableAfter:
		rn.retryPause = unreachableRetry
	}
	rn.order = o
	return rn
}

// isIdle reports whether the worker has no runs, and neither a stop, a shutdown nor a new fencing
// token waits for its next reply.
func (se *session) isIdle() bool {
	return len(se.runs) == 0 && len(se.unknownStops) == 0 && se.fenceAccepted && !se.draining
}

// idlePollInterval returns the interval of the renewals of a worker that has no runs and no
// connection of its own.
func (s *Scheduler) idlePollInterval() time.Duration {
	others := len(s.sessions) - s.maxIdleLongPolls()
	return min(max(time.Duration(others)*time.Second/idlePollsPerSecond, shortPollInterval), maxIdlePollInterval)
}

// silence returns for how long the worker has not answered, besides the pause that followed its
// last reply.
func (se *session) silence(now clock.Instant) time.Duration {
	return now.Sub(se.lastReply) - se.pauseAfterReply
}

// isSilent reports whether the worker has not answered for so long that no new tasks are placed
// on it.
func (se *session) isSilent(now clock.Instant) bool { return se.silence(now) >= unreachableAfter }

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
// would open one for each turn. A session without runs gives it up for those that have some.
func (s *Scheduler) mayLongPoll(se *session) bool {
	hasRuns := len(se.runs) > 0
	if se.longPolls && (hasRuns || s.freeLongPolls() >= 0) {
		return true
	}
	s.endLongPolls(se)
	free := s.maxLongPolls() - s.longPolls
	if !hasRuns {
		free = s.freeLongPolls()
	}
	if free <= 0 {
		s.waitForLongPoll(se, hasRuns)
		return false
	}
	s.longPolls++
	se.longPolls = true
	return true
}

// maxLongPolls returns how many sessions may have a connection of their own.
func (s *Scheduler) maxLongPolls() int {
	if s.cfg.Bounds.MaxLongPolls == 0 {
		return math.MaxInt
	}
	return s.cfg.Bounds.MaxLongPolls
}

// freeLongPolls returns how many sessions without runs may take a connection of their own. If
// it is negative, so many of them must give up theirs.
func (s *Scheduler) freeLongPolls() int {
	return s.maxIdleLongPolls() - s.longPolls - s.longPollWaiters
}

// maxIdleLongPolls returns how many sessions without runs may have a connection of their own.
func (s *Scheduler) maxIdleLongPolls() int {
	limit := s.maxLongPolls()
	if len(s.sessions) <= limit {
		return limit
	}
	return limit - limit/busyReserve
}

// waitForLongPoll records whether a session has runs and no connection of its own.
func (s *Scheduler) waitForLongPoll(se *session, waits bool) {
	if waits == se.waitsForLongPoll {
		return
	}
	se.waitsForLongPoll = waits
	if waits {
		s.longPollWaiters++
	} else {
		s.longPollWaiters--
	}
}

// endLongPolls gives the session's right to wait at the worker, or its turn to get it, to
// another one.
func (s *Scheduler) endLongPolls(se *session) {
	s.waitForLongPoll(se, false)
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
	if !rn.outOfBand {
		se.pauseAfterReply = rn.pause
	}
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
