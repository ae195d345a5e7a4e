package scheduler

import (
	"context"
	"time"

	"go.uber.org/zap"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/clock"
)

// shutdownMargin is added to the stop timeout to tell how long before the
// shutdown of a draining worker its runs are stopped. A run that is stopped in
// time saves a checkpoint and resumes on another worker.
const shutdownMargin = 300 * time.Millisecond

// NoteShutdown records that an incarnation of a draining worker may shut down once
// remaining has passed.
func (s *Scheduler) NoteShutdown(ctx context.Context, w cell.Incarnation, remaining time.Duration) {
	at := s.now().Add(remaining)
	s.enqueue(ctx, func() {
		se := s.sessions[w.ID]
		if se == nil || se.target.Incarnation != w.Born {
			return
		}
		if se.shutdownAt == 0 {
			s.cfg.Log.Info("worker announced its shutdown", zap.String("worker", string(w.ID)), zap.Duration("in", remaining), zap.Int("runs", len(se.runs)))
		}
		se.shutdownAt = at
	})
}

// stopBeforeShutdown stops the checkpointing runs of a worker that is about to
// shut down. Runs without checkpoints continue, since a stop would discard their
// work and the worker may stay up for longer than it announced. Nor are those stopped that
// are expected to end in time; one that is overdue is.
func (s *Scheduler) stopBeforeShutdown(ctx context.Context, se *session, now clock.Instant) {
	if !se.draining || se.shutdownAt == 0 || now.Add(s.cfg.Bounds.StopTimeout+shutdownMargin) < se.shutdownAt {
		return
	}
	for k, r := range se.runs {
		if r.status == runStarted && r.stopRequestedAt == 0 && s.usesCheckpoints(k) && !r.endsBetween(now, se.shutdownAt.Add(-shutdownMargin)) {
			s.stopRun(ctx, se, k, r, causeShutdown)
		}
	}
}

// usesCheckpoints reports whether a task saves checkpoints.
func (s *Scheduler) usesCheckpoints(k cell.TaskKey) bool {
	uses := false
	s.cfg.State.Read(func() {
		if j := s.cfg.State.Jobs[k.Job]; j != nil {
			uses = j.Steps[k.Step].Checkpoints
		}
	})
	return uses
}
