package scheduler

import (
	"context"
	"time"

	"go.uber.org/zap"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/clock"
)

// leaveMargin is how long before a draining worker may end its runs are
// stopped, besides the time that a stop takes: what they have done is then saved
// and they go on elsewhere.
const leaveMargin = 300 * time.Millisecond

// NoteLeaving notes that a draining worker may end after remaining.
func (s *Scheduler) NoteLeaving(ctx context.Context, id cell.WorkerID, remaining time.Duration) {
	at := s.now().Add(remaining)
	s.post(ctx, func() {
		se := s.sessions[id]
		if se == nil {
			return
		}
		if se.leaves == 0 {
			s.cfg.Log.Info("worker leaves", zap.String("worker", string(id)), zap.Duration("in", remaining), zap.Int("runs", len(se.runs)))
		}
		se.leaves = at
	})
}

// stopLeaving stops the runs of a worker that is about to end. Those that don't
// save their progress go on: the worker may stay for longer than it must.
func (s *Scheduler) stopLeaving(ctx context.Context, se *session, now clock.Instant) {
	if !se.draining || se.leaves == 0 || now.Add(s.cfg.Bounds.StopTimeout+leaveMargin) < se.leaves {
		return
	}
	for k, r := range se.runs {
		if r.status == runStarted && r.stopSince == 0 && s.checkpoints(k) {
			s.stopRun(ctx, se, k, r)
		}
	}
}

// checkpoints reports whether a task saves its progress.
func (s *Scheduler) checkpoints(k cell.TaskKey) bool {
	saves := false
	s.cfg.State.Read(func() {
		if j := s.cfg.State.Jobs[k.Job]; j != nil {
			saves = j.Steps[k.Step].Checkpoints
		}
	})
	return saves
}
