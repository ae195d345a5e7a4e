package work

import (
	"slices"

	"kumquatwing/internal/model"
)

const (
	// maxBackoffDoublings bounds the growth of a retry's pause.
	maxBackoffDoublings = 10
	// stableMillis is how long a service's run lasts to count as a good start,
	// after which its pauses are short again.
	stableMillis = 60_000
)

// run returns the task of a run that takes room, or nil if it has ended.
func (s *State) run(r RunID) *Task {
	t := s.tasks[r.Task]
	if t == nil || !t.Holds() || t.Attempt != r.Attempt || t.Worker != r.Worker {
		return nil
	}
	return t
}

// Run returns the task of a run that takes room, or nil if it has ended.
func (s *State) Run(r RunID) *Task { return s.run(r) }

func (s *State) started(nowMillis int64, r RunID) {
	t := s.run(r)
	if t != nil && t.State == model.TaskStarting {
		t.State = model.TaskRunning
		t.StartedMillis = nowMillis
		t.Reason = ""
	}
}

// use takes in reported use. A run never takes less room than its size.
func (s *State) use(nowMillis int64, u *Usage) {
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
		t.CheckpointMillis, t.SavedMillis = u.CheckpointMillis, nowMillis
	}
	s.resize(t, t.job.Spec.Size.Max(u.Hold))
}

// adopt takes in a run that its worker reports after the tables were lost. It
// is the worker's word that it runs, so room and grant are not asked.
func (s *State) adopt(nowMillis int64, a *Adopt) {
	t, w := s.tasks[a.Task], s.workers[a.Worker]
	if t == nil || w == nil || !t.Unaccounted || t.State != model.TaskPending {
		return
	}
	if w.State == model.WorkerLost {
		return
	}
	s.hold(t, w, t.job.Spec.Size.Max(a.Hold))
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

// end takes a run off its worker and decides what becomes of its task.
func (s *State) end(nowMillis int64, e *Ended) {
	t := s.run(e.RunID)
	if t == nil {
		s.endUnaccounted(e)
		return
	}
	w := s.workers[t.Worker]
	s.learn(nowMillis, t, e)
	s.noteEnd(w, t, e)
	if t.State == model.TaskStopping && t.Reason == ReasonOverSize {
		t.Need = t.Need.Max(t.Hold)
	}
	s.unhold(t)
	t.CheckpointMillis = max(t.CheckpointMillis, e.CheckpointMillis)
	s.after(nowMillis, t, e)
	s.noteChange(e.RunID, t, e)
}

// endUnaccounted takes in the end of a run from before the tables were lost.
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
	s.toEnded(t, e.Outcome, e.Reason)
}

// noteEnd keeps what tells failing workers from failing jobs.
func (s *State) noteEnd(w *Worker, t *Task, e *Ended) {
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

// after decides what becomes of a task whose run has ended by e. Its state is
// still the one of the run.
func (s *State) after(nowMillis int64, t *Task, e *Ended) {
	j := t.job
	stopped := t.State == model.TaskStopping
	neverRan := e.Outcome == model.OutcomeRefused
	again := j.Spec.Idempotent || neverRan || s.skip&skipIdempotent != 0
	lost := e.Outcome == model.OutcomeNone
	service := j.Spec.Class == model.ClassService
	switch {
	case e.Outcome == model.OutcomeSucceeded && !(service && j.Outcome == model.OutcomeNone):
		s.toEnded(t, model.OutcomeSucceeded, e.Reason)
	case j.Outcome != model.OutcomeNone && (again || !lost):
		s.toEnded(t, j.Outcome, j.Reason)
	case lost && !again:
		s.toEnded(t, model.OutcomeUnknown, e.Reason)
	case lost:
		s.toPending(t, e.Reason)
	case stopped && again && t.Reason == ReasonOverSize:
		s.retry(nowMillis, t, &Ended{Reason: t.Reason, Retries: e.Retries, BackoffMillis: e.BackoffMillis}, again)
	case stopped && again:
		s.toPending(t, t.Reason)
	case stopped:
		s.toEnded(t, model.OutcomeUnknown, t.Reason)
	default:
		s.retry(nowMillis, t, e, again)
	}
}

// spentReason tells tasks that outgrew every worker from ones that failed.
func spentReason(e *Ended) string {
	if e.Reason == ReasonOverSize {
		return ReasonOverSize
	}
	return ReasonRetriesSpent
}

// retry lets a failed task wait for its next run, or ends it.
func (s *State) retry(nowMillis int64, t *Task, e *Ended, again bool) {
	service := t.job.Spec.Class == model.ClassService
	if service && t.StartedMillis > 0 && nowMillis-t.StartedMillis >= stableMillis {
		t.Failures = 0
	}
	t.Failures++
	switch {
	case !again:
		s.toEnded(t, model.OutcomeFailed, ReasonNotIdempotent)
	case !service && t.Failures > e.Retries:
		s.toEnded(t, model.OutcomeFailed, spentReason(e))
	default:
		t.NotBeforeMillis = nowMillis + e.BackoffMillis<<min(t.Failures-1, maxBackoffDoublings)
		if e.Worker != "" {
			t.Avoid = appendBounded(t.Avoid, e.Worker, maxAvoid)
		}
		s.toPending(t, e.Reason)
	}
}
