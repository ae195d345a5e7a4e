package work

import (
	"fmt"
	"slices"

	"kumquatwing/internal/model"
)

// FormatTaskID returns the id of a job's task.
func FormatTaskID(job model.JobID, index int) model.TaskID {
	return model.TaskID(fmt.Sprintf("%s.%d", job, index))
}

// admit adds a job and the tasks assigned to this data centre. Tasks that it
// already has are unchanged, unless they were released and are now assigned to
// this data centre again.
func (s *State) admit(nowMillis int64, a *Admit) {
	j := s.jobs[a.Spec.ID]
	if j == nil {
		s.lastSeq++
		j = &Job{Spec: a.Spec, Seq: s.lastSeq, ArrivedMillis: nowMillis, Assignment: a.Assignment}
		s.jobs[a.Spec.ID] = j
		s.jobsByArrival = append(s.jobsByArrival, j)
	}
	newer := a.Assignment > j.Assignment
	j.Assignment = max(j.Assignment, a.Assignment)
	if len(a.Tasks) > 0 {
		if newer {
			s.dropReassigned(j, a.Tasks)
		}
		for _, t := range a.Tasks {
			s.admitTask(j, t, newer)
		}
		return
	}
	for i := range a.Spec.Tasks {
		s.admitTask(j, AdmitTask{Index: i}, newer)
	}
}

// dropReassigned removes the pending tasks that are no longer assigned to this
// data centre, and stops the active ones.
func (s *State) dropReassigned(j *Job, assigned []AdmitTask) {
	here := make(map[int]bool, len(assigned))
	for i := range assigned {
		here[assigned[i].Index] = true
	}
	kept := j.tasks[:0]
	for _, t := range j.tasks {
		switch {
		case here[t.Index] || t.State == model.TaskEnded:
			kept = append(kept, t)
		case t.Active():
			t.State = model.TaskStopping
			t.Released = true
			t.Reason = ReasonReleased
			kept = append(kept, t)
		default:
			j.pending--
			delete(s.tasks, t.ID)
		}
	}
	j.tasks = kept
}

// admitTask adds a task. newer reports whether the assignment is newer than those
// applied before; a released task then becomes placeable again.
func (s *State) admitTask(j *Job, a AdmitTask, newer bool) {
	id := FormatTaskID(j.Spec.ID, a.Index)
	if t := s.tasks[id]; t != nil {
		if newer && t.Released {
			t.Released = false
			t.Attempt = max(t.Attempt, a.Attempt)
			t.CheckpointMillis = max(t.CheckpointMillis, a.CheckpointMillis)
		}
		return
	}
	t := &Task{job: j, Unaccounted: s.rebuilding}
	t.ID, t.Job, t.Index = id, j.Spec.ID, a.Index
	t.State = model.TaskPending
	t.Attempt = a.Attempt
	t.CheckpointMillis = a.CheckpointMillis
	s.insertTask(t)
	j.pending++
	if j.Outcome != model.OutcomeNone {
		j.pending--
		s.setEnded(t, j.Outcome, j.Reason)
	}
}

// insertTask adds t to the indexes by id and by job.
func (s *State) insertTask(t *Task) {
	s.tasks[t.ID] = t
	j := t.job
	i, _ := slices.BinarySearchFunc(j.tasks, t.Index, func(t *Task, i int) int { return t.Index - i })
	j.tasks = slices.Insert(j.tasks, i, t)
}

// endJob sets a job's outcome. Pending tasks end at once; active tasks end when
// their workers confirm that the runs were stopped.
func (s *State) endJob(id model.JobID, o model.Outcome, reason string) {
	j := s.jobs[id]
	if j == nil || j.Outcome != model.OutcomeNone {
		return
	}
	j.Outcome, j.Reason = o, reason
	for _, t := range j.tasks {
		switch t.State {
		case model.TaskPending:
			// An unaccounted task may have run before the state was lost; it is
			// resolved when Rebuilt is applied.
			if t.Unaccounted || t.Released {
				continue
			}
			j.pending--
			s.setEnded(t, o, reason)
		case model.TaskStarting, model.TaskRunning:
			t.State = model.TaskStopping
			t.Reason = reason
		}
	}
}

// stop marks a run to be stopped. It has no effect if the task has a newer
// attempt.
func (s *State) stop(c *Stop) {
	t := s.tasks[c.Task]
	if t == nil || t.Attempt != c.Attempt {
		return
	}
	if t.State != model.TaskStarting && t.State != model.TaskRunning {
		return
	}
	t.State = model.TaskStopping
	t.StopCheckpoint = c.Checkpoint
	t.Reason = c.Reason
}

// release excludes a pending task from placement in this data centre, since the
// task is about to be assigned to another one.
func (s *State) release(id model.TaskID) {
	t := s.tasks[id]
	if t != nil && t.Placeable() {
		t.Released = true
		t.Reason = ReasonReleased
	}
}

// forget removes a job that has no active tasks.
func (s *State) forget(id model.JobID) {
	j := s.jobs[id]
	if j == nil || j.active > 0 {
		return
	}
	for _, t := range j.tasks {
		delete(s.tasks, t.ID)
	}
	delete(s.jobs, id)
	i, ok := slices.BinarySearchFunc(s.jobsByArrival, j.Seq, func(j *Job, seq uint64) int {
		switch {
		case j.Seq < seq:
			return -1
		case j.Seq > seq:
			return 1
		}
		return 0
	})
	if ok {
		s.jobsByArrival = slices.Delete(s.jobsByArrival, i, i+1)
	}
}

// finishRebuild ends the rebuild and resolves the tasks that no worker reported.
func (s *State) finishRebuild() {
	s.rebuilding = false
	for _, j := range s.jobsByArrival {
		for _, t := range j.tasks {
			if t.Unaccounted {
				s.resolveUnaccounted(t)
			}
		}
	}
}

// resolveUnaccounted decides the state of a task that no worker reported during
// the rebuild. The task may have run before the state was lost, so only an
// idempotent one may be placed again.
func (s *State) resolveUnaccounted(t *Task) {
	t.Unaccounted = false
	t.Attempt = max(t.Attempt, uint32(s.generation)*attemptsPerGeneration)
	if t.State != model.TaskPending {
		return
	}
	j := t.job
	switch {
	case !j.Spec.Idempotent && s.skip&skipIdempotence == 0:
		j.pending--
		s.setEnded(t, model.OutcomeUnknown, ReasonGroupLost)
	case j.Outcome != model.OutcomeNone:
		j.pending--
		s.setEnded(t, j.Outcome, j.Reason)
	default:
		t.Reason = ReasonGroupLost
	}
	s.recordChange(t.Run(), t, &Ended{Reason: ReasonGroupLost})
}
