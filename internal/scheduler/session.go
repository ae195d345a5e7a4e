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
	// leaseTerm is how long a worker may run its tasks unheard, if the
	// environment allows that much.
	leaseTerm = 6 * time.Second
	// holdWait is how long a worker may let a renewal wait for an end.
	holdWait = 1200 * time.Millisecond
	// holdSlack is how long an answer may take beyond that.
	holdSlack = 800 * time.Millisecond
	// drainLease is the lease of a worker that is about to leave, and drainWait
	// how long its renewals wait: once it has left, its runs can be given up soon.
	drainLease = 1500 * time.Millisecond
	drainWait  = 400 * time.Millisecond
	// holdGather is the pause before the renewal that follows recorded ends, so
	// that it finds more of them.
	holdGather = 50 * time.Millisecond
	// holdRetry is the pause after a renewal that failed, holdRetrySlow the one
	// once the worker has not been heard for unheardAfter.
	holdRetry     = 150 * time.Millisecond
	holdRetrySlow = time.Second
	// slowestClock is the least rate of a worker's clock.
	slowestClock = 0.98
	// lapseMargin is added before a lease counts as lapsed.
	lapseMargin = 150 * time.Millisecond
	// grantFor is how long after a worker's last answer its lease is still
	// renewed: a renewal without an answer may have reached it, and then puts off
	// the time at which its runs can be given up.
	grantFor = 2 * time.Second
	// unheardAfter keeps new tasks off a worker that has not answered for so long.
	unheardAfter = 2500 * time.Millisecond
)

// runStatus is where a run stands as far as the leader knows.
type runStatus uint8

const (
	// runPlaced is in the tables, and its start has not been sent.
	runPlaced runStatus = iota
	// runInherited was placed by an earlier leader.
	runInherited
	// runStarting has its start on the way.
	runStarting
	// runStarted was confirmed by the worker.
	runStarted
	// runUnclear had no answer to its start and must be stopped.
	runUnclear
)

// run is one allocation as the leader sees it.
type run struct {
	number int64
	status runStatus
	// leaseMillis is the lease in the start, on the worker's clock.
	leaseMillis int64
	// confirmed is when the status was last settled by an answer.
	confirmed clock.Instant
	// stopSince is when the run was first told to stop, 0 if it was not.
	stopSince clock.Instant
	// stopAnswered is when the worker took the stop, 0 before.
	stopAnswered clock.Instant
	stopInFlight bool
	nextStop     clock.Instant
	checkpoint   string
	percent      int
	// moved is when percent last changed.
	moved clock.Instant
	// ending holds an end that is being recorded.
	ending bool
}

// session is the leader's contact with one incarnation of a worker.
type session struct {
	target Target
	cancel context.CancelFunc
	// draining says that the worker is about to leave.
	draining bool
	// leaves is when a draining worker may end, 0 if that is not known.
	leaves clock.Instant

	// clockMillis was on the worker's clock at or after clockAt.
	clockMillis int64
	clockAt     clock.Instant
	hasClock    bool
	// granted is the latest lease end sent, on the worker's clock.
	granted int64
	// reached says that the worker has seen this leader's fencing token.
	reached bool
	heard   clock.Instant
	// seen is the number of the last recorded end.
	seen int64
	// goOn lets the hold loop continue once its ends are recorded.
	goOn chan struct{}

	runs map[cell.TaskKey]*run
	// blockedUntil keeps new tasks off the worker.
	blockedUntil clock.Instant
	failures     failureCount
	speed        speedRecord
	// lapsed says that the lease ran out and its runs were given up.
	lapsed bool
}

// syncSessions opens and closes sessions to match the tables, and runs to match
// the allocations.
func (s *Scheduler) syncSessions(ctx context.Context) {
	s.cfg.State.Read(func() {
		touched := s.cfg.State.TakeTouched()
		if s.looked {
			for id := range touched {
				s.syncSession(ctx, id)
			}
			return
		}
		for id := range s.cfg.State.Workers {
			s.syncSession(ctx, id)
		}
		s.looked = true
	})
}

// syncSession makes the session with a worker match the tables. The state is
// locked.
func (s *Scheduler) syncSession(ctx context.Context, id cell.WorkerID) {
	w, se := s.cfg.State.Workers[id], s.sessions[id]
	if se != nil && (w == nil || w.Born != se.target.Born) {
		se.cancel()
		delete(s.sessions, id)
		se = nil
	}
	if w == nil {
		return
	}
	if se == nil {
		se = s.open(ctx, w)
	}
	se.target.Addr, se.draining = w.Addr, w.Draining
	s.syncRuns(ctx, se, w)
}

// open starts the contact with a worker.
func (s *Scheduler) open(ctx context.Context, w *cell.WorkerState) *session {
	ctx, cancel := context.WithCancel(ctx)
	se := &session{
		target: Target{w.ID, w.Addr, w.Born},
		cancel: cancel,
		heard:  s.now(),
		goOn:   make(chan struct{}, 1),
		runs:   map[cell.TaskKey]*run{},
	}
	s.sessions[w.ID] = se
	go s.holdLoop(ctx, se)
	return se
}

// syncRuns adds runs for allocations that are new, drops those that are gone
// and stops those whose job has ended. The state is locked.
func (s *Scheduler) syncRuns(ctx context.Context, se *session, w *cell.WorkerState) {
	for k, a := range w.Held {
		r := se.runs[k]
		if r == nil || r.number != a.Run {
			r = &run{number: a.Run, status: s.newRunStatus(), moved: s.now()}
			se.runs[k] = r
		}
		if j := s.cfg.State.Jobs[k.Job]; j == nil || j.State.Ended() {
			s.stopRun(ctx, se, k, r)
		}
	}
	for k := range se.runs {
		if _, held := w.Held[k]; !held {
			delete(se.runs, k)
		}
	}
}

// newRunStatus is the status of a run that is new to the sessions: all that the
// first look finds were placed by earlier leaders.
func (s *Scheduler) newRunStatus() runStatus {
	if s.looked {
		return runPlaced
	}
	return runInherited
}

// clockNow estimates the worker's clock; it may be ahead by little.
func (se *session) clockNow(now clock.Instant) int64 {
	return se.clockMillis + now.Sub(se.clockAt).Milliseconds()
}

// clockLeast is what the worker's clock shows at least.
func (se *session) clockLeast(now clock.Instant) int64 {
	return se.clockMillis + int64(float64(now.Sub(se.clockAt).Milliseconds())*slowestClock)
}

// tookClock notes a reading of the worker's clock that arrived at now.
func (se *session) tookClock(millis int64, now clock.Instant) {
	if se.hasClock && millis < se.clockLeast(now) {
		return
	}
	se.clockMillis, se.clockAt, se.hasClock = millis, now, true
}

// lease returns a new end of the lease on the worker's clock, 0 without a clock.
func (s *Scheduler) lease(se *session) int64 {
	if !se.hasClock {
		return 0
	}
	term := min(leaseTerm, s.cfg.Bounds.MaxLease)
	if se.draining {
		term = drainLease
	}
	end := se.clockNow(s.now()) + term.Milliseconds()
	se.granted = max(se.granted, end)
	return end
}

// holdLoop renews the worker's lease until the session ends.
func (s *Scheduler) holdLoop(ctx context.Context, se *session) {
	for {
		order := make(chan holdJob, 1)
		s.post(ctx, func() { order <- s.nextHold(se) })
		var job holdJob
		select {
		case job = <-order:
		case <-ctx.Done():
			return
		}
		s.hold(ctx, se, &job)
		select {
		case <-se.goOn:
		case <-ctx.Done():
			return
		}
		if !clock.Sleep(ctx, job.nextPause()) {
			return
		}
	}
}

// holdJob is one renewal and its outcome.
type holdJob struct {
	target Target
	order  HoldOrder
	sent   clock.Instant
	// extra says that the renewal loop doesn't wait for this one.
	extra bool
	// pause is how long to wait after a failure.
	pause time.Duration
	reply *HoldReply
	err   error
}

// nextPause is how long the renewal loop rests after this renewal.
func (j *holdJob) nextPause() time.Duration {
	switch {
	case j.err != nil:
		return j.pause
	case len(j.reply.Finished) > 0:
		return holdGather
	}
	return 0
}

func (s *Scheduler) nextHold(se *session) holdJob {
	now := s.now()
	o := HoldOrder{Fence: s.term, Seen: se.seen}
	if now.Sub(se.heard) < grantFor {
		o.LeaseMillis = s.lease(se)
	}
	if se.reached && o.LeaseMillis != 0 {
		o.Wait = holdWait
		if se.draining {
			o.Wait = drainWait
		}
	}
	pause := holdRetry
	if now.Sub(se.heard) > unheardAfter {
		pause = holdRetrySlow
	}
	return holdJob{target: se.target, order: o, sent: now, pause: pause}
}

var errLeaseEnded = errors.New("scheduler: this member doesn't lead any more")

func (s *Scheduler) hold(ctx context.Context, se *session, job *holdJob) {
	if !s.leads() {
		job.err = errLeaseEnded
	} else {
		callCtx, cancel := context.WithTimeout(ctx, job.order.Wait+holdSlack)
		job.reply, job.err = s.cfg.Workers.Hold(callCtx, job.target, job.order)
		cancel()
	}
	s.post(ctx, func() { s.onHold(ctx, se, job) })
}

// onHold takes a renewal's outcome.
func (s *Scheduler) onHold(ctx context.Context, se *session, job *holdJob) {
	now := s.now()
	if job.err == nil && job.reply.Born != 0 && job.reply.Born != se.target.Born {
		job.err = &RefusedError{RefusedIncarnation}
	}
	if job.err != nil {
		s.holdFailed(ctx, se, job.err)
		se.resumeAfter(job)
		return
	}
	first := !se.reached
	se.reached, se.heard, se.lapsed = true, now, false
	se.tookClock(job.reply.ClockMillis, now)
	s.dirty = s.dirty || first
	running := s.noteRunning(se, job)
	s.noteFinished(ctx, se, job, running)
}

// resumeAfter lets the renewal loop go on if it waits for this renewal.
func (se *session) resumeAfter(job *holdJob) {
	if !job.extra {
		se.resume()
	}
}

func (se *session) resume() {
	select {
	case se.goOn <- struct{}{}:
	default:
	}
}

func (s *Scheduler) holdFailed(ctx context.Context, se *session, err error) {
	var refused *RefusedError
	if !errors.As(err, &refused) {
		return
	}
	if refused.Refusal == RefusedIncarnation {
		s.dropIncarnation(ctx, se)
	}
}

// dropIncarnation records that an incarnation is gone, and all its runs with it.
func (s *Scheduler) dropIncarnation(ctx context.Context, se *session) {
	if se.lapsed {
		return
	}
	se.lapsed = true
	s.cfg.Log.Info("worker's incarnation is gone", zap.String("worker", string(se.target.ID)), zap.Int64("born", se.target.Born))
	gone := cell.Incarnation{ID: se.target.ID, Born: se.target.Born}
	s.propose(ctx, &cell.Command{Workers: &cell.Workers{Gone: []cell.Incarnation{gone}}}, func(cell.Result, error) {
		se.lapsed = false
		s.dirty = true
	})
}

// noteRunning takes the list of runs that the worker has.
func (s *Scheduler) noteRunning(se *session, job *holdJob) map[cell.TaskKey]int64 {
	now := s.now()
	listed := make(map[cell.TaskKey]int64, len(job.reply.Running))
	for i := range job.reply.Running {
		rt := &job.reply.Running[i]
		listed[rt.Task] = rt.Run
		r := se.runs[rt.Task]
		if r == nil || r.number != rt.Run {
			continue
		}
		if r.status == runInherited {
			r.status, r.confirmed = runStarted, now
		}
		s.noteProgress(se, rt.Task, r, rt.Percent, now)
		if rt.Checkpoint != "" {
			r.checkpoint = rt.Checkpoint
		}
	}
	return listed
}

// noteFinished records the ends that the worker lists and the runs that are
// surely gone, and lets the hold loop go on once that is durable. Ends are taken
// from the loop's own renewals alone: the next one acknowledges all that its
// predecessor listed, so that each must be recorded by then.
func (s *Scheduler) noteFinished(ctx context.Context, se *session, job *holdJob, running map[cell.TaskKey]int64) {
	listed := map[cell.TaskKey]int64{}
	last := se.seen
	for i := range job.reply.Finished {
		f := &job.reply.Finished[i]
		last = max(last, f.Number)
		listed[f.Task] = max(listed[f.Task], f.Run)
		r := se.runs[f.Task]
		if r == nil || r.number != f.Run || r.ending || job.extra {
			continue
		}
		r.ending = true
		s.noteOutcome(se, f)
		s.addEnd(se, f.Task, r, f.Outcome, f.Checkpoint)
	}
	for k, r := range se.runs {
		if r.ending || running[k] == r.number || listed[k] == r.number {
			continue
		}
		if r.isGone(job) {
			r.ending = true
			s.cfg.Log.Info("run is gone", zap.Stringer("task", k), zap.Int64("run", r.number), zap.String("worker", string(se.target.ID)))
			s.addEnd(se, k, r, cell.OutcomeLost, r.checkpoint)
		}
	}
	if last > se.seen && !job.extra {
		s.ends.seen = append(s.ends.seen, seenUpTo{se, last})
		return
	}
	se.resumeAfter(job)
}

// isGone reports whether a run that a renewal's answer doesn't list can't be
// running and never will be.
func (r *run) isGone(job *holdJob) bool {
	switch r.status {
	case runInherited:
		return true
	case runStarted:
		return r.confirmed < job.sent
	case runUnclear:
		stopped := r.stopAnswered != 0 && r.stopAnswered < job.sent
		return stopped || job.reply.ClockMillis > r.leaseMillis
	}
	return false
}
