package work

import (
	"slices"

	"kumquatwing/internal/model"
)

const (
	// maxBackoffDoublings limits the exponential growth of the back-off.
	maxBackoffDoublings = 10
	// stableMillis is how long a run of a service must last to reset the task's
	// failure count, and with it the back-off.
	stableMillis = 60_000
)

// run returns the task of an active run, or nil if the run has ended.
func (s *State) run(r RunID) *Task {
	t := s.tasks[r.Task]
	if t == nil || !t.Active() || t.Attempt != r.Attempt || t.Worker != r.Worker {
		return nil
	}
	return t
}

// Run returns the task of an active run, or nil if the run has ended.
func (s *State) Run(r RunID) *Task { return s.run(r) }

// markStarted records that the worker has confirmed the start of a run.
func (s *State) markStarted(nowMillis int64, r RunID) {
	t := s.run(r)
	if t != nil && t.State == model.TaskStarting {
		t.State = model.TaskRunning
		t.StartedMillis = nowMillis
		t.Reason = ""
	}
}

// applyUsage records a usage report and resizes the run's reservation, which is
// never smaller than the declared size.
func (s *State) applyUsage(nowMillis int64, u *Usage) {
	t := s.run(u.RunID)
	if t == nil {
		return
	}
	if u.Seq == 0 {
		t.Throttled = u.Throttled
		return
	}
	if u.Seq < t.UsageSeq {
		return
	}
	t.UsageSeq = u.Seq
	t.Reported = u.Reported
	t.Peak = t.Peak.Max(u.Reported)
	if u.CheckpointMillis > t.CheckpointMillis {
		t.CheckpointMillis, t.CheckpointedAtMillis = u.CheckpointMillis, nowMillis
	}
	s.resizeReservation(t, t.job.Spec.Size.Max(u.Reserved))
}

// adopt adds a run that its worker reports during a rebuild. The task is already
// running, so free capacity and the grant are not checked.
func (s *State) adopt(nowMillis int64, a *Adopt) {
	t, w := s.tasks[a.Task], s.workers[a.Worker]
	if t == nil || w == nil || !t.Unaccounted || t.State != model.TaskPending {
		return
	}
	if w.State == model.WorkerLost {
		return
	}
	s.reserve(t, w, t.job.Spec.Size.Max(a.Reserved))
	t.State = model.TaskRunning
	t.Attempt = a.Attempt
	t.CheckpointMillis = max(t.CheckpointMillis, a.CheckpointMillis)
	t.PlacedMillis, t.StartedMillis = nowMillis, nowMillis
	t.Unaccounted = false
	t.Reason = ReasonGroupLost
	if t.job.Outcome != model.OutcomeNone {
		t.State = model.TaskStopping
		t.Reason = t.job.Reason
	}
}

// endRun ends a run: it frees the reservation and moves the task to its next
// state.
func (s *State) endRun(nowMillis int64, e *Ended) {
	t := s.run(e.RunID)
	if t == nil {
		s.endUnaccounted(e)
		return
	}
	w := s.workers[t.Worker]
	s.recordSample(nowMillis, t, e)
	s.recordOutcome(w, t, e)
	if t.State == model.TaskStopping && t.Reason == ReasonOverSize {
		t.RequiredCapacity = t.RequiredCapacity.Max(t.Reserved)
	}
	s.unreserve(t)
	t.CheckpointMillis = max(t.CheckpointMillis, e.CheckpointMillis)
	s.updateTaskAfterRun(nowMillis, t, e)
	s.recordChange(e.RunID, t, e)
}

// endUnaccounted applies the end of a run that was placed before the state was
// lost.
func (s *State) endUnaccounted(e *Ended) {
	t := s.tasks[e.Task]
	if t == nil || !t.Unaccounted || t.State != model.TaskPending {
		return
	}
	t.Attempt = max(t.Attempt, e.Attempt)
	if e.Outcome != model.OutcomeSucceeded {
		return
	}
	t.Unaccounted = false
	t.job.pending--
	t.job.Succeeded++
	s.setEnded(t, e.Outcome, e.Reason)
}

// recordOutcome updates the failure history of the worker and the job, which
// serves to tell a faulty worker from a faulty job.
func (s *State) recordOutcome(w *Worker, t *Task, e *Ended) {
	j := t.job
	switch e.Outcome {
	case model.OutcomeSucceeded:
		j.Succeeded++
		w.FailedRuns = nil
		w.Probation = false
		w.Quarantines = 0
	case model.OutcomeFailed, model.OutcomeRefused:
		if t.State == model.TaskStopping {
			return
		}
		w.FailedRuns = appendBounded(w.FailedRuns, j.Spec.ID, maxFailedRuns)
		if !slices.Contains(j.FailedOn, w.ID) {
			j.FailedOn = appendBounded(j.FailedOn, w.ID, maxFailedOn)
		}
	}
}

// updateTaskAfterRun moves a task to its next state after its run has ended with
// e. On entry t.State is still the state of the run.
func (s *State) updateTaskAfterRun(nowMillis int64, t *Task, e *Ended) {
	j := t.job
	stopped := t.State == model.TaskStopping
	neverRan := e.Outcome == model.OutcomeRefused
	mayRerun := j.Spec.Idempotent || neverRan || s.skip&skipIdempotence != 0
	lost := e.Outcome == model.OutcomeNone
	service := j.Spec.Class == model.ClassService
	switch {
	case e.Outcome == model.OutcomeSucceeded && !(service && j.Outcome == model.OutcomeNone):
		s.setEnded(t, model.OutcomeSucceeded, e.Reason)
	case j.Outcome != model.OutcomeNone && (mayRerun || !lost):
		s.setEnded(t, j.Outcome, j.Reason)
	case lost && !mayRerun:
		s.setEnded(t, model.OutcomeUnknown, e.Reason)
	case lost:
		s.setPending(t, e.Reason)
	case stopped && mayRerun && t.Reason == ReasonOverSize:
		s.retry(nowMillis, t, &Ended{Reason: t.Reason, Retries: e.Retries, BackoffMillis: e.BackoffMillis}, mayRerun)
	case stopped && mayRerun:
		s.setPending(t, t.Reason)
	case stopped:
		s.setEnded(t, model.OutcomeUnknown, t.Reason)
	default:
		s.retry(nowMillis, t, e, mayRerun)
	}
}

// exhaustedReason returns the reason code for a task without retries left. It
// distinguishes tasks that exceeded their declared size from ones that failed.
func exhaustedReason(e *Ended) string {
	if e.Reason == ReasonOverSize {
		return ReasonOverSize
	}
	return ReasonRetriesExhausted
}

// retry makes a failed task wait for its next run after a back-off, or ends the
// task if it may not run again or has no retries left.
func (s *State) retry(nowMillis int64, t *Task, e *Ended, mayRerun bool) {
	service := t.job.Spec.Class == model.ClassService
	if service && t.StartedMillis > 0 && nowMillis-t.StartedMillis >= stableMillis {
		t.Failures = 0
	}
	t.Failures++
	switch {
	case !mayRerun:
		s.setEnded(t, model.OutcomeFailed, ReasonNotIdempotent)
	case !service && t.Failures > e.Retries:
		s.setEnded(t, model.OutcomeFailed, exhaustedReason(e))
	default:
		t.NotBeforeMillis = nowMillis + e.BackoffMillis<<min(t.Failures-1, maxBackoffDoublings)
		if e.Worker != "" {
			t.Avoid = appendBounded(t.Avoid, e.Worker, maxAvoid)
		}
		s.setPending(t, e.Reason)
	}
}
