package scheduler

import (
	"context"

	"go.uber.org/zap"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/verdict"
)

// fenceCounterBits is the number of low bits of a fencing token that count the
// incarnations of workers that this leader has met; the bits above hold its term. Tokens
// stay below 2^53, up to which JSON numbers are exact everywhere.
const fenceCounterBits = 24

// nextFence returns a fencing token above all earlier ones of this leader. Each
// incarnation of a worker gets orders with a token of its own: an order that was meant
// for an earlier incarnation under the same ID has a lower token, so that the worker
// refuses it once it has answered a renewal with the new one.
func (s *Scheduler) nextFence() uint64 {
	s.fences++
	return s.term<<fenceCounterBits | s.fences
}

// pendingReport is the report of a newer incarnation that waits until the runs of the
// older one are accounted for.
type pendingReport struct {
	worker cell.Worker
	// probed is set once the worker was asked what it runs.
	probed bool
	// adopting is set while the report is being committed.
	adopting bool
	// waiters are closed once the report is committed or dropped.
	waiters []chan struct{}
}

// end releases those who wait for the report.
func (p *pendingReport) end() {
	for _, w := range p.waiters {
		close(w)
	}
	p.waiters = nil
}

// ReportIncarnation commits the report of a newer incarnation of a known worker. The
// runs of the older one are not lost at once, since a start that was meant for it may
// have reached the newer one: first that one must have listed what it runs. The error
// says that this was not done before ctx ended.
func (s *Scheduler) ReportIncarnation(ctx context.Context, w *cell.Worker) error {
	done := make(chan struct{})
	s.enqueue(ctx, func() { s.holdReport(*w, done) })
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return verdict.Refuse(verdict.ReasonNoLease, "the runs of the earlier incarnation of worker %s are not accounted for yet", w.ID)
	}
}

// holdReport keeps a report until the session can adopt the incarnation. A new leader
// that has no sessions yet leaves it to the worker to report again.
func (s *Scheduler) holdReport(w cell.Worker, done chan struct{}) {
	if !s.synced {
		return
	}
	se := s.sessions[w.ID]
	if se == nil || w.Born <= se.target.Incarnation {
		close(done)
		return
	}
	if p := se.report; p != nil && p.worker.Born == w.Born {
		p.worker = w
		p.waiters = append(p.waiters, done)
		return
	}
	s.cfg.Log.Info("another incarnation of the worker has reported", zap.String("worker", string(w.ID)),
		zap.Int64("known", se.target.Incarnation), zap.Int64("born", w.Born), zap.Int("runs", len(se.runs)))
	s.dropReport(se)
	se.report = &pendingReport{worker: w, waiters: []chan struct{}{done}}
	s.held[w.ID] = true
}

// dropReport releases those who wait for the held report of a session, if it has one.
func (s *Scheduler) dropReport(se *session) {
	if se.report != nil {
		se.report.end()
	}
	se.report = nil
	delete(s.held, se.target.ID)
}

// noteIncarnation records which incarnation of a worker has replied to a renewal. If it
// is another than before, the session gets a new fencing token, and what it knew of the
// worker's clock and ends is void. It reports whether the lists in the reply are
// complete and final: the runs that they leave out never run on this incarnation.
func (s *Scheduler) noteIncarnation(se *session, rn *renewal) bool {
	replied := rn.reply.Incarnation
	switch {
	case replied == 0 || replied == se.replying:
	case rn.sent < se.replyingSince:
		// An earlier incarnation sent this before it ended.
		return false
	default:
		s.cfg.Log.Info("another incarnation of the worker has replied", zap.String("worker", string(se.target.ID)),
			zap.Int64("known", se.replying), zap.Int64("born", replied), zap.Int("runs", len(se.runs)))
		se.replying, se.replyingSince = replied, s.now()
		se.fence = s.nextFence()
		se.hasClock, se.latestLeaseEnd, se.lastRecordedEnd, se.fenceAccepted = false, 0, 0, false
		se.inheritedLeaseUntil = s.longestLeaseFrom(s.now())
	}
	return rn.order.Fence == se.fence
}

// longestLeaseFrom returns when a lease has certainly ended that a worker took at an
// instant, whatever end its order states: one that is meant for an earlier incarnation
// has an end on another clock, and only Bounds.MaxLease limits it.
func (s *Scheduler) longestLeaseFrom(at clock.Instant) clock.Instant {
	return at.Add(certainAfter(s.cfg.Bounds.MaxLease))
}

// adoptReports asks the workers with held reports what they run, and commits the reports
// of those that are ready for it.
func (s *Scheduler) adoptReports(ctx context.Context) {
	for id := range s.held {
		se := s.sessions[id]
		if !se.report.probed {
			se.report.probed = true
			s.probe(ctx, se)
		}
		if !se.report.adopting && !s.planning && se.accountedFor() {
			s.adoptReport(ctx, se)
		}
	}
}

// accountedFor reports whether the incarnation that has reported has listed all runs of
// the session as running, with a fencing token of its own.
func (se *session) accountedFor() bool {
	if len(se.runs) > 0 && (se.replying != se.report.worker.Born || !se.fenceAccepted) {
		return false
	}
	for _, r := range se.runs {
		if r.status != runStarted || r.ending || r.listedAt < se.replyingSince {
			return false
		}
	}
	return true
}

// adoptReport commits the held report. No plan is being committed meanwhile, and none
// that is made later places a task on the worker, so that the runs stay the same.
func (s *Scheduler) adoptReport(ctx context.Context, se *session) {
	p := se.report
	p.adopting = true
	s.propose(ctx, &cell.Command{Workers: &cell.Workers{Seen: []cell.Worker{p.worker}}}, func(_ cell.Result, err error) {
		if err != nil {
			s.cfg.Log.Warn("could not record the incarnation of a worker, will try again", zap.String("worker", string(se.target.ID)), zap.Error(err))
			p.adopting = false
			return
		}
		if se.report == p {
			s.dropReport(se)
		}
		s.dirty = true
	})
}

// isReplaced reports whether another incarnation than the recorded one has replied or
// reported, so that no task is to be placed on the worker.
func (se *session) isReplaced() bool {
	return se.report != nil || (se.replying != se.target.Incarnation && se.target.Incarnation != 0)
}

// dropIncarnation records that an incarnation has ended of which no runs are left, if
// its successor has replied and not reported.
func (s *Scheduler) dropIncarnation(ctx context.Context, se *session) {
	if se.report == nil && se.isReplaced() && len(se.runs) == 0 && !s.planning {
		s.recordIncarnationGone(ctx, se)
	}
}

// stopUnknownRun stops a run that a worker lists and that the cell doesn't know: its
// start was carried out after the run had been given up.
func (s *Scheduler) stopUnknownRun(ctx context.Context, se *session, k cell.TaskKey, number int64) {
	if se.unknownStops[k] {
		return
	}
	s.cfg.Log.Warn("worker lists a run that is not known, stopping it", zap.Stringer("task", k), zap.Int64("run", number),
		zap.String("worker", string(se.target.ID)))
	se.unknownStops[k] = true
	target, o := se.target, StopOrder{k, number, se.fence}
	go func() {
		// The run is stopped again if the worker still lists it, whatever the reply was.
		_ = s.sendStop(ctx, target, o)
		s.post(ctx, func() { delete(se.unknownStops, k) })
	}()
}
