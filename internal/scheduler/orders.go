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
	// orderTimeout bounds the answer to a start or a stop.
	orderTimeout = 300 * time.Millisecond
	// stopRetry is the pause between two stops of a run that still runs.
	stopRetry = 400 * time.Millisecond
	// refusedPause keeps new tasks off a worker that refused one.
	refusedPause = 500 * time.Millisecond
	// placedTimeout is after when a run whose plan's commit had no answer is
	// given up; its start is not sent after proposeTimeout.
	placedTimeout = proposeTimeout + time.Second
	// unclearPause keeps new tasks off a worker that left an order unanswered.
	unclearPause = 250 * time.Millisecond
)

// startRun sends the start of a run that is committed.
func (s *Scheduler) startRun(ctx context.Context, st *cell.Start, spec, checkpoint, token string) {
	se := s.sessions[st.Worker]
	if se == nil || se.target.Born != st.Born {
		return
	}
	r := &run{number: st.Run, status: runStarting, moved: s.now(), checkpoint: checkpoint}
	r.leaseMillis = s.lease(se)
	se.runs[st.Task] = r
	o := StartOrder{
		Task: st.Task, Run: st.Run, Spec: spec, LeaseMillis: r.leaseMillis,
		Fence: s.term, Checkpoint: checkpoint, Token: token,
	}
	target := se.target
	go func() {
		err := s.sendStart(ctx, target, o)
		s.post(ctx, func() { s.started(ctx, se, st.Task, r, err) })
	}()
}

func (s *Scheduler) sendStart(ctx context.Context, t Target, o StartOrder) error {
	if !s.leads() {
		return errLeaseEnded
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return s.cfg.Workers.Start(ctx, t, o)
}

// started takes the answer to a start.
func (s *Scheduler) started(ctx context.Context, se *session, k cell.TaskKey, r *run, err error) {
	now := s.now()
	var refused *RefusedError
	switch {
	case err == nil:
		r.status, r.confirmed, r.moved = runStarted, now, now
		s.cfg.Metrics.starts.Inc()
		if in, ok := s.taken[k.Job]; ok && r.number == 1 && k.Index == 0 {
			s.cfg.Metrics.firstStart.Observe(now.Sub(in.at).Seconds())
		}
	case errors.Is(err, errLeaseEnded):
		r.status = runUnclear
	case errors.As(err, &refused):
		s.startRefused(ctx, se, k, r, refused.Refusal)
	default:
		s.cfg.Log.Warn("start has no answer", zap.Stringer("task", k), zap.Int64("run", r.number),
			zap.String("worker", string(se.target.ID)), zap.Error(err))
		r.status = runUnclear
		se.blockedUntil = now.Add(unclearPause)
		s.stopRun(ctx, se, k, r)
	}
}

// startRefused gives the run up; it didn't run and never will.
func (s *Scheduler) startRefused(ctx context.Context, se *session, k cell.TaskKey, r *run, why Refusal) {
	s.cfg.Metrics.refused.WithLabelValues(why.String()).Inc()
	s.cfg.Log.Info("start refused", zap.Stringer("task", k), zap.Int64("run", r.number),
		zap.String("worker", string(se.target.ID)), zap.Stringer("why", why))
	switch why {
	case RefusedIncarnation:
		s.dropIncarnation(ctx, se)
		return
	case RefusedTicket:
		if a := s.advice[k.StepKey()]; a != nil {
			a.Good[se.target.ID] = expired(a.Good[se.target.ID])
		}
	case RefusedFence:
		r.status = runUnclear
		return
	default:
		se.blockedUntil = s.now().Add(refusedPause)
	}
	if s.sessions[se.target.ID] == se && se.runs[k] == r && !r.ending {
		r.ending = true
		s.addEnd(se, k, r, cell.OutcomeLost, "")
	}
	s.stopGang(ctx, k, r.number)
}

// stopGang stops the other members of a gang that can't be complete.
func (s *Scheduler) stopGang(ctx context.Context, k cell.TaskKey, number int64) {
	gang := false
	s.cfg.State.Read(func() {
		j := s.cfg.State.Jobs[k.Job]
		gang = j != nil && j.Steps[k.Step].Gang
	})
	if !gang {
		return
	}
	for _, se := range s.sessions {
		for other, r := range se.runs {
			if other.StepKey() == k.StepKey() && r.number == number && other != k {
				s.stopRun(ctx, se, other, r)
			}
		}
	}
}

// stopRun tells a worker to stop a run; it is repeated until the run is gone.
func (s *Scheduler) stopRun(ctx context.Context, se *session, k cell.TaskKey, r *run) {
	now := s.now()
	if r.ending || r.stopInFlight || now < r.nextStop || r.status == runStarting || r.status == runPlaced {
		if r.stopSince == 0 {
			r.stopSince = now
		}
		return
	}
	if r.stopSince == 0 {
		r.stopSince = now
	}
	r.stopInFlight = true
	target, o := se.target, StopOrder{k, r.number, s.term}
	go func() {
		err := s.sendStop(ctx, target, o)
		s.post(ctx, func() { s.stopped(ctx, se, r, err) })
	}()
}

func (s *Scheduler) sendStop(ctx context.Context, t Target, o StopOrder) error {
	if !s.leads() {
		return errLeaseEnded
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return s.cfg.Workers.Stop(ctx, t, o)
}

func (s *Scheduler) stopped(ctx context.Context, se *session, r *run, err error) {
	now := s.now()
	r.stopInFlight = false
	r.nextStop = now.Add(stopRetry)
	var refused *RefusedError
	switch {
	case err == nil:
		if r.stopAnswered == 0 {
			r.stopAnswered = now
			s.look(ctx, se, r)
		}
	case errors.As(err, &refused) && refused.Refusal == RefusedIncarnation:
		s.dropIncarnation(ctx, se)
	}
}

// look asks a worker at once what it runs, after it has taken the stop of a run
// whose start had no answer; the next renewal may be more than a second away.
func (s *Scheduler) look(ctx context.Context, se *session, r *run) {
	if r.status != runUnclear || r.ending {
		return
	}
	job := &holdJob{target: se.target, order: HoldOrder{Fence: s.term, Seen: se.seen}, sent: s.now(), extra: true}
	go s.hold(ctx, se, job)
}

// houseKeep repeats stops, gives up lapsed leases and creates occurrences.
func (s *Scheduler) houseKeep(ctx context.Context) {
	now := s.now()
	for _, se := range s.sessions {
		for k, r := range se.runs {
			if r.status == runPlaced && now.Sub(r.moved) > placedTimeout {
				r.status = runUnclear
			}
			if r.stopSince != 0 {
				s.stopRun(ctx, se, k, r)
			}
		}
		s.stopStalled(ctx, se, now)
		s.stopLeaving(ctx, se, now)
		s.checkLapse(se, now)
	}
	s.startDue(ctx, time.Now())
	s.noteEnded(now)
	s.forgetOld(ctx, now)
	s.logStatus(now)
	s.dirty = true
}

// checkLapse gives up the runs of a worker whose lease has surely ended.
func (s *Scheduler) checkLapse(se *session, now clock.Instant) {
	if se.lapsed || len(se.runs) == 0 || !s.leaseOver(se, now) {
		return
	}
	se.lapsed = true
	for k, r := range se.runs {
		if r.ending || r.status == runStarting || r.status == runPlaced {
			se.lapsed = false
			continue
		}
		r.ending = true
		s.cfg.Log.Warn("lease lapsed", zap.Stringer("task", k), zap.Int64("run", r.number), zap.String("worker", string(se.target.ID)))
		s.addEnd(se, k, r, cell.OutcomeLost, r.checkpoint)
	}
}

// leaseOver reports whether every lease that the worker was ever granted has
// ended. What an earlier leader granted is known only once the worker answered.
func (s *Scheduler) leaseOver(se *session, now clock.Instant) bool {
	if now.Sub(se.heard) < unheardAfter {
		return false
	}
	if !se.reached {
		longest := time.Duration(float64(min(leaseTerm, s.cfg.Bounds.MaxLease)) / slowestClock)
		if now.Sub(s.since) < longest+lapseMargin {
			return false
		}
	}
	return !se.hasClock || se.clockLeast(now) > se.granted+lapseMargin.Milliseconds()
}
