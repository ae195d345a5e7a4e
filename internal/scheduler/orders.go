package scheduler

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/clock"
)

const (
	// startAttempts is how often a start is sent that gets no reply. Starts are
	// idempotent by the number of the run.
	startAttempts = 4
	// stopRetryInterval is the pause before a stop is sent again for a run that
	// is still running, and unansweredStopRetry the pause after a stop without a
	// reply.
	stopRetryInterval   = 400 * time.Millisecond
	unansweredStopRetry = 50 * time.Millisecond
	// refusalBackoff is how long no new tasks are placed on a worker that refused
	// one.
	refusalBackoff = 500 * time.Millisecond
	// placedTimeout is how long a run may stay in runPlaced, as happens when
	// the outcome of the plan's commit is unknown. After proposeTimeout its
	// start is no longer sent, so the run can then be treated as unconfirmed.
	placedTimeout = proposeTimeout + time.Second
	// doneGangGrace is how long the members of a done gang may take to report their own
	// ends before they are stopped: longer than a renewal waits at a worker.
	doneGangGrace = maxRenewalWait + 800*time.Millisecond
	// unconfirmedBackoff is how long no new tasks are placed on a worker that did
	// not answer a start.
	unconfirmedBackoff = 250 * time.Millisecond
)

// startRun sends the start of a run whose placement is committed.
func (s *Scheduler) startRun(ctx context.Context, st *cell.Start, spec, checkpoint, token string) {
	se := s.sessions[st.Worker]
	if se == nil || se.target.Incarnation != st.Born {
		return
	}
	now := s.now()
	r := &run{number: st.Run, status: runStarting, fence: se.fence, workingSince: now, lastProgress: now, checkpoint: checkpoint, timed: checkpoint == ""}
	r.leaseMillis = s.extendLease(se)
	se.runs[st.Task] = r
	if se.isReplaced() {
		s.recordNotStarted(ctx, se, st.Task, r)
		return
	}
	o := StartOrder{
		Task: st.Task, Run: st.Run, Spec: spec, LeaseMillis: r.leaseMillis,
		Fence: r.fence, Checkpoint: checkpoint, Token: token,
	}
	target := se.target
	go func() {
		err := s.sendStart(ctx, target, o, func() { s.post(ctx, func() { s.recordNoReply(se, s.now()) }) })
		s.post(ctx, func() { s.onStartReply(ctx, se, st.Task, r, err) })
	}()
}

// sendStart sends a start, up to startAttempts times if no reply comes, while this
// member still leads. The result is ErrNotSent or errNotLeading only if no attempt was
// sent, and a refusal only if no earlier attempt may still be carried out. onNoReply is
// called once the first attempt has got no reply.
func (s *Scheduler) sendStart(ctx context.Context, t WorkerTarget, o StartOrder, onNoReply func()) error {
	var unanswered error
	for attempt := range startAttempts {
		err := s.attemptStart(ctx, t, o, attempt)
		var refused *RefusedError
		switch {
		case err == nil:
			return nil
		case unanswered != nil && (errors.As(err, &refused) || errors.Is(err, errNotLeading)):
			return unanswered
		case errors.As(err, &refused) || errors.Is(err, errNotLeading):
			return err
		case !errors.Is(err, ErrNotSent):
			if unanswered == nil {
				onNoReply()
			}
			unanswered = err
		}
	}
	if unanswered == nil {
		return ErrNotSent
	}
	return unanswered
}

// orderContext returns the context of one call with an order, which ends after timeout.
// The order is sent only while this member leads.
func (s *Scheduler) orderContext(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(WithPermission(ctx, s.leads), timeout)
}

// attemptStart sends a start once and waits for the reply, if this member still
// leads. attempt counts the earlier attempts at the start.
func (s *Scheduler) attemptStart(ctx context.Context, t WorkerTarget, o StartOrder, attempt int) error {
	if !s.leads() {
		return errNotLeading
	}
	if attempt > 0 {
		s.calls.repeatedStarts.Add(1)
	}
	ctx, cancel := s.orderContext(ctx, s.replyTimes.timeout(attempt))
	defer cancel()
	sentAt := s.now()
	err := s.cfg.Workers.Start(ctx, t, o)
	if attempt == 0 {
		s.replyTimes.observe(s.now().Sub(sentAt))
	}
	return err
}

// onStartReply handles the outcome of a start.
func (s *Scheduler) onStartReply(ctx context.Context, se *session, k cell.TaskKey, r *run, err error) {
	now := s.now()
	var refused *RefusedError
	if err == nil || errors.As(err, &refused) {
		s.recordReply(se, now)
	}
	switch {
	case err == nil:
		r.status, r.confirmedAt, r.workingSince, r.lastProgress = runStarted, now, now, now
		if r.checkpoint == "" {
			r.notePace(0, now)
		}
		se.wakeIfIdle()
		s.begun.add(k.Job)
		s.cfg.Metrics.starts.Inc()
		if adm, ok := s.admissions[k.Job]; ok && r.number == 1 && k.Index == 0 {
			s.cfg.Metrics.firstStart.Observe(now.Sub(adm.submittedAt).Seconds())
		}
	case errors.Is(err, errNotLeading):
		s.onStartNotSent(ctx, se, k, r, err)
	case errors.Is(err, ErrNotSent):
		se.blockedUntil = now.Add(refusalBackoff)
		s.onStartNotSent(ctx, se, k, r, err)
	case errors.As(err, &refused):
		s.onStartRefused(ctx, se, k, r, refused.Refusal)
	default:
		s.cfg.Log.Warn("worker did not answer the start, stopping the run", zap.Stringer("task", k), zap.Int64("run", r.number),
			zap.String("worker", string(se.target.ID)), zap.Error(err))
		r.status = runUnconfirmed
		se.wakeIfIdle()
		se.blockedUntil = now.Add(unconfirmedBackoff)
		s.requestStop(ctx, se, k, r, causeUnconfirmed)
	}
}

// onStartRefused handles a refused start: the run did not start and never will.
// It is recorded as lost, unless a newer leader has fenced this one off or the
// whole incarnation of the worker is recorded as gone. A start that only this leader's
// own newer token has fenced off was meant for an earlier incarnation.
func (s *Scheduler) onStartRefused(ctx context.Context, se *session, k cell.TaskKey, r *run, reason Refusal) {
	s.cfg.Metrics.refused.WithLabelValues(reason.String()).Inc()
	s.cfg.Log.Info("worker refused the start", zap.Stringer("task", k), zap.Int64("run", r.number),
		zap.String("worker", string(se.target.ID)), zap.Stringer("why", reason))
	switch reason {
	case RefusedIncarnation:
		s.recordIncarnationGone(ctx, se)
		return
	case RefusedTicket:
		if a := s.advice[k.StepKey()]; a != nil {
			a.SetEligible(se.target.ID, expireTicket(a.Eligible[se.target.ID]))
		}
	case RefusedFence:
		if r.fence == se.fence {
			r.status = runUnconfirmed
			s.replaceFence(se, r.fence)
			return
		}
	default:
		se.blockedUntil = s.now().Add(refusalBackoff)
	}
	s.recordNotStarted(ctx, se, k, r)
}

// onStartNotSent handles a start that was never sent. The task is placed again at
// once, without a failed attempt. A leader that has a successor can't commit that, and the
// successor finds out by itself.
func (s *Scheduler) onStartNotSent(ctx context.Context, se *session, k cell.TaskKey, r *run, cause error) {
	s.cfg.Metrics.refused.WithLabelValues("not-sent").Inc()
	s.cfg.Log.Info("start could not be sent, placing the task again", zap.Stringer("task", k), zap.Int64("run", r.number),
		zap.String("worker", string(se.target.ID)), zap.Error(cause))
	s.recordNotStarted(ctx, se, k, r)
}

// recordNotStarted records a run that certainly did not start and never will, and
// stops the other runs of its gang.
func (s *Scheduler) recordNotStarted(ctx context.Context, se *session, k cell.TaskKey, r *run) {
	if s.isOpen(se) && se.runs[k] == r && !r.ending {
		r.ending = true
		s.addEnd(se, k, r, cell.OutcomeLost, "")
	}
	s.stopGang(ctx, k, r.number)
}

// stopGang stops the other runs of a gang of which one run was refused, since the
// gang can no longer run in full.
func (s *Scheduler) stopGang(ctx context.Context, k cell.TaskKey, number int64) {
	if !s.isGangTask(k) {
		return
	}
	for _, se := range s.sessions {
		for other, r := range se.runs {
			if other.StepKey() == k.StepKey() && r.number == number && other != k {
				s.requestStop(ctx, se, other, r, causeGangMember)
			}
		}
	}
}

// isGangTask reports whether a task belongs to a gang.
func (s *Scheduler) isGangTask(k cell.TaskKey) bool {
	gang := false
	s.cfg.State.Read(func() {
		j := s.cfg.State.Jobs[k.Job]
		gang = j != nil && j.Steps[k.Step].Gang
	})
	return gang
}

// stopRun tells a worker to stop a run, because of cause. housekeep repeats the stop until the run
// has ended. While the run cannot be stopped yet, only the request is recorded.
func (s *Scheduler) stopRun(ctx context.Context, se *session, k cell.TaskKey, r *run, cause lossCause) {
	r.setCause(cause)
	now := s.now()
	if r.ending || r.stopInFlight || now < r.nextStopAt || r.status == runStarting || r.status == runPlaced {
		if r.stopRequestedAt == 0 {
			r.stopRequestedAt = now
		}
		return
	}
	if r.stopRequestedAt == 0 {
		r.stopRequestedAt = now
	}
	r.stopInFlight, r.stopSent = true, true
	target, o := se.target, StopOrder{k, r.number, se.fence}
	go func() {
		err := s.sendStop(ctx, target, o)
		s.post(ctx, func() { s.onStopReply(ctx, se, r, err) })
	}()
}

// sendStop sends a stop and waits for the reply, if this member still leads.
func (s *Scheduler) sendStop(ctx context.Context, t WorkerTarget, o StopOrder) error {
	if !s.leads() {
		return errNotLeading
	}
	ctx, cancel := s.orderContext(ctx, s.replyTimes.timeout(0))
	defer cancel()
	return s.cfg.Workers.Stop(ctx, t, o)
}

// onStopReply handles the outcome of a stop. That of a closed session is dropped.
func (s *Scheduler) onStopReply(ctx context.Context, se *session, r *run, err error) {
	if !s.isOpen(se) {
		return
	}
	now := s.now()
	r.stopInFlight = false
	r.nextStopAt = now.Add(stopRetryInterval)
	var refused *RefusedError
	switch {
	case err == nil:
		if r.stopAcceptedAt == 0 {
			r.stopAcceptedAt = now
			s.probeRuns(ctx, se, r)
		}
	case errors.As(err, &refused):
		if refused.Refusal == RefusedIncarnation {
			s.recordIncarnationGone(ctx, se)
		}
	default:
		r.nextStopAt = now.Add(unansweredStopRetry)
	}
}

// probeRuns requests the list of runs from a worker at once, after the worker has
// accepted the stop of a run whose start was not answered. The next regular
// renewal may be more than a second away.
func (s *Scheduler) probeRuns(ctx context.Context, se *session, r *run) {
	if r.status == runUnconfirmed && !r.ending {
		s.probe(ctx, se)
	}
}

// probe requests the list of runs from a worker besides the renewal loop.
func (s *Scheduler) probe(ctx context.Context, se *session) {
	rn := &renewal{target: se.target, order: RenewOrder{Fence: se.fence, AcknowledgedEnds: se.lastRecordedEnd}, sent: s.now(), outOfBand: true}
	go s.renew(ctx, se, rn)
}

// housekeep does the periodic work that no event triggers: it repeats stops,
// stops stalled runs and runs on workers about to shut down, declares runs lost
// whose lease has expired, creates due occurrences, cleans up after ended jobs
// and logs the status of the cell.
func (s *Scheduler) housekeep(ctx context.Context) {
	now := s.now()
	s.logReachability(now)
	for _, se := range s.sessions {
		for k, r := range se.runs {
			if r.status == runPlaced && now.Sub(r.lastProgress) > placedTimeout {
				r.status = runUnconfirmed
			}
			if r.stopRequestedAt != 0 {
				s.requestStop(ctx, se, k, r, r.cause)
			}
		}
		s.dropIncarnation(ctx, se)
		s.stopStalled(ctx, se, now)
		s.stopBeforeShutdown(ctx, se, now)
		s.declareExpiredRunsLost(se, now)
	}
	s.settleSpeeds(now)
	s.createDueOccurrences(ctx, time.Now())
	s.reportEndedJobs(now)
	s.deleteExpiredJobs(ctx, now)
	s.settleLosses(now)
	s.logStatus(now)
	s.dirty = true
}

// declareExpiredRunsLost records the runs of a worker as lost once its lease has
// certainly expired. Runs whose start is still outstanding are left for a later
// call.
func (s *Scheduler) declareExpiredRunsLost(se *session, now clock.Instant) {
	if se.lost || len(se.runs) == 0 || se.isBeingAdopted() || !s.leaseExpired(se, now) {
		return
	}
	se.lost = true
	for k, r := range se.runs {
		if r.ending || r.status == runStarting || r.status == runPlaced {
			se.lost = false
			continue
		}
		r.ending = true
		s.cfg.Log.Warn("worker lease expired, recording run as lost", zap.Stringer("task", k), zap.Int64("run", r.number), zap.String("worker", string(se.target.ID)))
		s.addEndBecause(se, k, r, cell.OutcomeLost, r.checkpoint, se.causeOfLoss(causeLease))
	}
}

// leaseExpired reports whether every lease ever granted to the worker has expired, by
// this leader, by earlier ones, and by orders for an earlier incarnation.
func (s *Scheduler) leaseExpired(se *session, now clock.Instant) bool {
	if now.Sub(se.lastReply) < unreachableAfter || now < se.inheritedLeaseUntil {
		return false
	}
	return !se.hasClock || se.minClock(now) > se.latestLeaseEnd+leaseExpiryMargin.Milliseconds()
}
