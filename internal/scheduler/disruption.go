package scheduler

import (
	"context"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/clock"
)

// atWorkPercent is what a service task that serves its users reports as its share
// of work done.
const atWorkPercent = 100

// requestStop stops a run of a job that goes on, because of cause. The stop waits while its step must
// not lose another task; housekeep then tries again.
func (s *Scheduler) requestStop(ctx context.Context, se *session, k cell.TaskKey, r *run, cause lossCause) {
	if r.stopSent || s.mayStop(se, k) {
		s.stopRun(ctx, se, k, r, cause)
		return
	}
	r.setCause(cause)
	if r.stopRequestedAt == 0 {
		r.stopRequestedAt = s.now()
	}
}

// mayStop reports whether a run may be stopped now. A stop that would leave more
// tasks of a service step unavailable than the step allows must wait, unless the
// job has ended or the worker is about to shut down anyway.
func (s *Scheduler) mayStop(se *session, k cell.TaskKey) bool {
	if se.draining {
		return true
	}
	allowed := true
	s.cfg.State.Read(func() { allowed = s.allowsDisruption(k) })
	return allowed
}

// allowsDisruption reports whether the step of a task tolerates that the task
// becomes unavailable in addition to the others of its step that are. The state is
// locked.
func (s *Scheduler) allowsDisruption(k cell.TaskKey) bool {
	j, step, _ := s.cfg.State.Task(k)
	if j == nil || step == nil || j.State.Ended() {
		return true
	}
	spec := &j.Steps[k.Step]
	if !spec.Service || spec.MaxUnavailable == 0 {
		return true
	}
	now, unavailable := s.now(), 0
	for i := range step.Tasks {
		other := k
		other.Index = i
		if i != k.Index && !s.isAtWork(other, &step.Tasks[i], now) {
			unavailable++
		}
	}
	return unavailable < spec.MaxUnavailable
}

// isAtWork reports whether the newest reply of its worker shows that a service task
// is at work, and no stop of it was requested.
func (s *Scheduler) isAtWork(k cell.TaskKey, t *cell.Task, now clock.Instant) bool {
	if t.Status != cell.TaskPlaced {
		return false
	}
	se := s.sessions[t.Worker]
	if se == nil || se.isSilent(now) {
		return false
	}
	r := se.runs[k]
	return r != nil && r.number == t.Run && r.status == runStarted && r.stopRequestedAt == 0 && r.percent >= atWorkPercent
}
