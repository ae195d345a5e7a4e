package scheduler

import (
	"context"

	"go.uber.org/zap"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/clock"
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
	return s.term.Load()<<fenceCounterBits | s.fences
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

// isReplaced reports whether another incarnation than the recorded one has replied or is
// claimed, so that no task is to be placed on the worker.
func (se *session) isReplaced() bool {
	return se.claim != nil || (se.replying != se.target.Incarnation && se.target.Incarnation != 0)
}

// dropIncarnation records that an incarnation has ended of which no runs are left, if
// its successor has replied and not reported.
func (s *Scheduler) dropIncarnation(ctx context.Context, se *session) {
	if se.claim == nil && se.isReplaced() && len(se.runs) == 0 && !s.planning {
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
