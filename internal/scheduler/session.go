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
	// leaseTerm is the duration of a lease: how long a worker may keep running
	// its tasks without a renewal. Bounds.MaxLease may shorten it. A partition of
	// 5.5 s that begins late in a maxRenewalWait must not end the worker's runs.
	leaseTerm = 8 * time.Second
	// drainLease is the lease of a draining worker, and drainRenewalWait how
	// long the worker may delay its replies. Both are short, so that the runs
	// of a worker that has shut down can soon be declared lost.
	drainLease       = 1500 * time.Millisecond
	drainRenewalWait = 400 * time.Millisecond
	// firstRenewalInterval is the time between the first renewals of a new leader to
	// two workers.
	firstRenewalInterval = 200 * time.Microsecond
	// minClockRate is the lowest assumed rate of a worker's clock relative to
	// ours.
	minClockRate = 0.98
	// leaseExpiryMargin is added to a lease's end before the lease counts as
	// expired.
	leaseExpiryMargin = 150 * time.Millisecond
	// renewalCutoff is how long after a worker's last reply its lease is still
	// renewed. A renewal that gets no reply may still have reached the worker, so
	// each one delays the time at which the worker's runs can be declared lost.
	renewalCutoff = 2 * time.Second
	// unreachableAfter is how long a worker may go without a reply, besides the pause
	// after its last one, before no new tasks are placed on it.
	unreachableAfter = 2500 * time.Millisecond
)

// runStatus is the state of a run as far as the leader knows it.
type runStatus uint8

const (
	// runPlaced: the placement is committed, and the start has not been sent.
	runPlaced runStatus = iota
	// runInherited: an earlier leader placed the run, and the worker has not yet
	// listed it to this one.
	runInherited
	// runStarting: the start was sent and the reply is outstanding.
	runStarting
	// runStarted: the worker confirmed the run.
	runStarted
	// runUnconfirmed: the start was not confirmed, so that the worker may or
	// may not have the run; it is stopped.
	runUnconfirmed
)

// run is the leader's view of one allocation: a run of a task on a worker.
type run struct {
	number int64
	status runStatus
	// fence is the fencing token of the start.
	fence uint64
	// leaseMillis is the end of the lease that the start carried, in
	// milliseconds on the worker's clock.
	leaseMillis int64
	// confirmedAt is when the worker confirmed the run, by its reply to the
	// start or by listing an inherited run.
	confirmedAt clock.Instant
	// timed says that confirmedAt is when the run began, and that it began without a
	// checkpoint.
	timed bool
	// workMillis is the run's measured work, 0 before that. It is kept in case that the
	// run's end can't be recorded and is listed again.
	workMillis int64
	// doneListed says that a reply has listed the run as done.
	doneListed bool
	// workingSince is when the worker confirmed the start. For a start without a reply,
	// and for a run that an earlier leader started, it is when this leader first saw the
	// run.
	workingSince clock.Instant
	// stopRequestedAt is when a stop of the run was first requested, 0 if none
	// was.
	stopRequestedAt clock.Instant
	// cause is why a stop was requested or the run was declared lost, causeNone if
	// neither was.
	cause lossCause
	// stoppedFor is the step for which the run was preempted, if it was.
	stoppedFor beneficiary
	// stopAcceptedAt is when the worker first accepted a stop, 0 before that.
	stopAcceptedAt clock.Instant
	stopInFlight   bool
	// stopSent is set once a stop was sent.
	stopSent   bool
	nextStopAt clock.Instant
	// speedCounted says that the run has counted for the lasting speed of its worker.
	speedCounted bool
	// checkpoint is the newest one that is known, at first the one that the run resumes
	// from. checkpointAt is when the worker first listed it, 0 for the first.
	checkpoint   string
	checkpointAt clock.Instant
	percent      int
	// lastProgress is when percent last changed, or the run was created or
	// confirmed.
	lastProgress clock.Instant
	// paceFrom is when the first progress of the run was known, 0 before that, and
	// pacePercent what it was.
	paceFrom    clock.Instant
	pacePercent int
	// listedAt is when the worker last listed the run as running.
	listedAt clock.Instant
	// ending is set while the run's end is being recorded.
	ending bool
}

// session is the leader's state for one incarnation of a worker.
type session struct {
	target WorkerTarget
	// dc is the worker's data centre.
	dc     string
	cancel context.CancelFunc
	// draining says that the worker is about to shut down and takes no new tasks.
	draining bool
	// shutdownAt is when a draining worker may shut down, 0 if that is not known.
	shutdownAt clock.Instant

	// fence is the fencing token of the orders to the worker.
	fence uint64
	// replying is the incarnation that replied last, at first the recorded one, and
	// replyingSince when it first did.
	replying      int64
	replyingSince clock.Instant
	// claim is a report that the worker has not confirmed yet, nil if there is none.
	claim *claim
	// adopting is the incarnation that is being recorded, or was last.
	adopting int64

	// clockMillis is the worker's clock reading in a reply that arrived at
	// clockReadAt.
	clockMillis int64
	clockReadAt clock.Instant
	hasClock    bool
	// latestLeaseEnd is the latest lease end that was sent, in milliseconds on
	// the worker's clock.
	latestLeaseEnd int64
	// inheritedLeaseUntil is when the leases have certainly ended that an earlier leader
	// granted, or that the worker took from orders for an earlier incarnation; 0 if there
	// can be none. The replies of the worker don't tell its lease.
	inheritedLeaseUntil clock.Instant
	// fenceAccepted says that the worker has answered a renewal with the session's
	// fencing token.
	fenceAccepted bool
	// answeredSentAt is when the last renewal was sent that the worker has answered.
	answeredSentAt clock.Instant
	// lastReply is when the worker last answered a renewal, or else when the
	// session was opened.
	lastReply clock.Instant
	// lastAnswer is when the worker last answered any call, and unansweredAt when it last
	// left a start unanswered; 0 before that.
	lastAnswer, unansweredAt clock.Instant
	// lastRecordedEnd is the number of the last finished run of the worker that
	// is recorded.
	lastRecordedEnd int64
	// resumed lets the renewal loop continue after a reply is handled and the
	// ends that it listed are recorded.
	resumed chan struct{}
	// woken ends the pause of the renewal loop.
	woken chan struct{}
	// pauseAfterReply is the pause of the renewal loop after its last reply.
	pauseAfterReply time.Duration
	// polledIdle says that the last renewal of the loop was that of an idle worker.
	polledIdle bool
	// longPolls says that the renewals of the loop have a connection of their own and
	// may wait at the worker.
	longPolls bool
	// waitsForLongPoll says that the session has runs and no such connection.
	waitsForLongPoll bool
	// listsOddRows says that the last reply had rows that name no run.
	listsOddRows bool
	// renewalFailed says that the last renewal of the loop got no reply.
	renewalFailed bool

	runs map[cell.TaskKey]*run
	// unknownStops holds the tasks of unknown runs that are being stopped.
	unknownStops map[cell.TaskKey]bool
	// blockedUntil is the time before which no new tasks are placed on the
	// worker.
	blockedUntil clock.Instant
	failures     failureHistory
	speed        workerSpeed
	// labels and rack are the worker's, as of the last settleSpeeds.
	labels []string
	rack   string
	// lost is set when the lease has expired and the runs are being recorded as
	// lost, or the incarnation is being recorded as gone.
	lost bool
}

// syncSessions opens and closes sessions to match the workers in the replicated
// state, and adds and drops runs to match the allocations. After the first call
// in a leadership it visits only the workers that have changed.
func (s *Scheduler) syncSessions(ctx context.Context) {
	s.cfg.State.Read(func() {
		changed := s.cfg.State.TakeChangedWorkers()
		if s.synced {
			for id := range changed {
				s.syncSession(ctx, id)
			}
			return
		}
		for id := range s.cfg.State.Workers {
			s.syncSession(ctx, id)
		}
		s.synced = true
	})
}

// syncSession makes the session with a worker match the replicated state, which
// is locked.
func (s *Scheduler) syncSession(ctx context.Context, id cell.WorkerID) {
	w, se := s.cfg.State.Workers[id], s.sessions[id]
	switch {
	case se == nil:
	case w == nil:
		s.closeSession(se)
	case w.Born == se.target.Incarnation:
	case w.Born == se.replying:
		se.target.Incarnation = w.Born
		se.failures, se.speed, se.shutdownAt = failureHistory{}, workerSpeed{}, 0
	default:
		s.closeSession(se)
		se = nil
	}
	if w == nil {
		return
	}
	inherited := se == nil
	if inherited {
		se = s.openSession(ctx, w)
	}
	if w.Draining && !se.draining {
		se.wakeIfIdle()
	}
	se.target.Addr, se.draining = w.Addr, w.Draining
	if !se.draining {
		se.shutdownAt = 0
	}
	s.syncRuns(ctx, se, w, inherited)
}

// closeSession ends the session's renewal loop and forgets the session.
func (s *Scheduler) closeSession(se *session) {
	se.cancel()
	s.endLongPolls(se)
	s.endClaim(se, se.claim != nil && se.claim.adopting)
	delete(s.sessions, se.target.ID)
}

// isOpen reports whether a session is the present one with its worker. A reply to a closed
// session has no effect: it may come from an earlier incarnation, and a fencing token that
// it draws is above that of the open session, whose orders the worker would then refuse.
func (s *Scheduler) isOpen(se *session) bool { return s.sessions[se.target.ID] == se }

// openSession opens the session with a worker and starts its renewal loop.
func (s *Scheduler) openSession(ctx context.Context, w *cell.WorkerState) *session {
	ctx, cancel := context.WithCancel(ctx)
	se := &session{
		target:    WorkerTarget{w.ID, w.Addr, w.Born},
		dc:        w.DC,
		cancel:    cancel,
		fence:     s.nextFence(),
		replying:  w.Born,
		lastReply: s.now(),
		resumed:   make(chan struct{}, 1),
		woken:     make(chan struct{}, 1),
		runs:      map[cell.TaskKey]*run{},

		unknownStops: map[cell.TaskKey]bool{},
	}
	if !s.synced {
		se.inheritedLeaseUntil = s.leadingSince.Add(certainAfter(s.leaseDuration()))
	}
	s.sessions[w.ID] = se
	go s.renewalLoop(ctx, se, s.firstRenewalDelay())
	return se
}

// firstRenewalDelay returns how long the first renewal of a session that is opened now
// waits. A new leader opens the sessions with all workers at once. It spreads their
// first renewals, so that callers and the first workers to answer need not wait for
// all the others.
func (s *Scheduler) firstRenewalDelay() time.Duration {
	if s.synced {
		return 0
	}
	return time.Duration(len(s.sessions)) * firstRenewalInterval
}

// syncRuns adds runs for new allocations, drops runs whose allocation was
// released and stops runs whose job has ended. If the session has just been opened, the
// allocations are inherited: an earlier leader, or this one for an earlier incarnation,
// placed them. The state is locked.
func (s *Scheduler) syncRuns(ctx context.Context, se *session, w *cell.WorkerState, inherited bool) {
	status := runPlaced
	if inherited {
		status = runInherited
	}
	for k, a := range w.Allocations {
		r := se.runs[k]
		if r == nil || r.number != a.Run {
			now := s.now()
			r = &run{number: a.Run, status: status, workingSince: now, lastProgress: now}
			se.runs[k] = r
		}
		if j := s.cfg.State.Jobs[k.Job]; j == nil || j.State.Ended() {
			s.stopEndedJobsRun(ctx, se, k, r, j)
		}
	}
	for k := range se.runs {
		if _, held := w.Allocations[k]; !held {
			delete(se.runs, k)
		}
	}
}

// stopEndedJobsRun stops a run whose job has ended; j is nil if the job was deleted. If the
// task is done, another member of its gang has reported that, and the run gets
// doneGangGrace to report its own end. The state is locked.
func (s *Scheduler) stopEndedJobsRun(ctx context.Context, se *session, k cell.TaskKey, r *run, j *cell.Job) {
	_, _, t := s.cfg.State.Task(k)
	if t != nil && t.Status == cell.TaskDone && r.stopRequestedAt == 0 {
		r.nextStopAt = s.now().Add(doneGangGrace)
	}
	s.stopRun(ctx, se, k, r, causeOfJobEnd(j))
}

// estimateClock returns an estimate of the worker's clock at now, in
// milliseconds, which may be slightly ahead.
func (se *session) estimateClock(now clock.Instant) int64 {
	return se.clockMillis + now.Sub(se.clockReadAt).Milliseconds()
}

// minClock returns a lower bound on the worker's clock at now, in milliseconds.
func (se *session) minClock(now clock.Instant) int64 {
	return se.clockMillis + int64(float64(now.Sub(se.clockReadAt).Milliseconds())*minClockRate)
}

// recordClock records a reading of the worker's clock that arrived at now. It
// ignores a reading below the lower bound that an earlier one gives.
func (se *session) recordClock(millis int64, now clock.Instant) {
	if se.hasClock && millis < se.minClock(now) {
		return
	}
	se.clockMillis, se.clockReadAt, se.hasClock = millis, now, true
}

// extendLease returns a new end of the lease, in milliseconds on the worker's
// clock, and records it as granted. It returns 0 while the worker's clock is
// unknown.
func (s *Scheduler) extendLease(se *session) int64 {
	if !se.hasClock {
		return 0
	}
	term := s.leaseDuration()
	if se.draining {
		term = drainLease
	}
	end := se.estimateClock(s.now()) + term.Milliseconds()
	se.latestLeaseEnd = max(se.latestLeaseEnd, end)
	return end
}

// leaseDuration returns the duration of the longest leases that leaders grant.
func (s *Scheduler) leaseDuration() time.Duration { return min(leaseTerm, s.cfg.Bounds.MaxLease) }

// certainAfter returns how long after its begin a lease of the given duration has
// certainly ended on the slowest clock of a worker.
func certainAfter(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)/minClockRate) + leaseExpiryMargin
}

// onRenewalError handles a failed renewal. Only a reply from another incarnation and a
// refused token have an effect here; the renewal loop retries after other errors.
func (s *Scheduler) onRenewalError(ctx context.Context, se *session, rn *renewal) {
	var refused *RefusedError
	if !errors.As(rn.err, &refused) {
		return
	}
	switch refused.Refusal {
	case RefusedIncarnation:
		s.recordIncarnationGone(ctx, se)
	case RefusedFence:
		s.replaceFence(se, rn.order.Fence)
	}
}

// replaceFence gives a session a new fencing token after its worker has refused an order
// with the present one. The worker has seen a higher token: of a later leader, which will
// depose this one, or of this leader, in which case only a new token lets it take orders.
func (s *Scheduler) replaceFence(se *session, refused uint64) {
	if se.fence != refused {
		return
	}
	se.fence, se.fenceAccepted = s.nextFence(), false
	se.wakeIfIdle()
	s.cfg.Log.Warn("worker refused the fencing token, using a new one", zap.String("worker", string(se.target.ID)),
		zap.Uint64("refused", refused), zap.Uint64("fence", se.fence))
}

// recordIncarnationGone commits that an incarnation of a worker has ended, and
// with it all its runs.
func (s *Scheduler) recordIncarnationGone(ctx context.Context, se *session) {
	if se.lost {
		return
	}
	se.lost = true
	s.cfg.Log.Info("worker incarnation has ended, dropping its runs", zap.String("worker", string(se.target.ID)), zap.Int64("born", se.target.Incarnation))
	gone := cell.Incarnation{ID: se.target.ID, Born: se.target.Incarnation}
	losses := s.lossesOfWorker(se)
	s.propose(ctx, &cell.Command{Workers: &cell.Workers{Gone: []cell.Incarnation{gone}}}, func(_ cell.Result, err error) {
		if err == nil {
			s.recordLosses(losses)
		}
		se.lost = false
		s.dirty = true
	})
}
