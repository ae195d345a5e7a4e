package work

import (
	"fmt"
	"slices"

	"kumquatwing/internal/model"
)

// TaskName returns the id of a job's task.
func TaskName(job model.JobID, index int) model.TaskID {
	return model.TaskID(fmt.Sprintf("%s.%d", job, index))
}

// admit enters a job and the tasks given to this data centre. Tasks that are
// here already stay as they are, unless they were released and come back.
func (s *State) admit(nowMillis int64, a *Admit) {
	j := s.jobs[a.Spec.ID]
	if j == nil {
		s.seq++
		j = &Job{Spec: a.Spec, Seq: s.seq, ArrivedMillis: nowMillis, Assignment: a.Assignment}
		s.jobs[a.Spec.ID] = j
		s.order = append(s.order, j)
	}
	newer := a.Assignment > j.Assignment
	j.Assignment = max(j.Assignment, a.Assignment)
	if len(a.Tasks) > 0 {
		if newer {
			s.dropGone(j, a.Tasks)
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

// dropGone removes waiting tasks that are owned elsewhere now, and stops runs.
func (s *State) dropGone(j *Job, owned []AdmitTask) {
	here := make(map[int]bool, len(owned))
	for i := range owned {
		here[owned[i].Index] = true
	}
	kept := j.tasks[:0]
	for _, t := range j.tasks {
		switch {
		case here[t.Index] || t.State == model.TaskEnded:
			kept = append(kept, t)
		case t.Holds():
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

func (s *State) admitTask(j *Job, a AdmitTask, newer bool) {
	id := TaskName(j.Spec.ID, a.Index)
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
		s.toEnded(t, j.Outcome, j.Reason)
	}
}

// insertTask enters t into the indexes by id and by job.
func (s *State) insertTask(t *Task) {
	s.tasks[t.ID] = t
	j := t.job
	i, _ := slices.BinarySearchFunc(j.tasks, t.Index, func(t *Task, i int) int { return t.Index - i })
	j.tasks = slices.Insert(j.tasks, i, t)
}

// finish ends a job: waiting tasks at once, runs when their workers confirm.
func (s *State) finish(id model.JobID, o model.Outcome, reason string) {
	j := s.jobs[id]
	if j == nil || j.Outcome != model.OutcomeNone {
		return
	}
	j.Outcome, j.Reason = o, reason
	for _, t := range j.tasks {
		switch t.State {
		case model.TaskPending:
			// A task that may have run before the tables were lost is settled by Rebuilt.
			if t.Unaccounted || t.Released {
				continue
			}
			j.pending--
			s.toEnded(t, o, reason)
		case model.TaskStarting, model.TaskRunning:
			t.State = model.TaskStopping
			t.Reason = reason
		}
	}
}

// stop asks for the end of a run, which a newer attempt makes void.
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

// release keeps a waiting task from being placed here again, since another
// data centre is to own it.
func (s *State) release(id model.TaskID) {
	t := s.tasks[id]
	if t != nil && t.Placeable() {
		t.Released = true
		t.Reason = ReasonReleased
	}
}

// forget removes a job none of whose tasks takes room.
func (s *State) forget(id model.JobID) {
	j := s.jobs[id]
	if j == nil || j.held > 0 {
		return
	}
	for _, t := range j.tasks {
		delete(s.tasks, t.ID)
	}
	delete(s.jobs, id)
	i, ok := slices.BinarySearchFunc(s.order, j.Seq, func(j *Job, seq uint64) int {
		switch {
		case j.Seq < seq:
			return -1
		case j.Seq > seq:
			return 1
		}
		return 0
	})
	if ok {
		s.order = slices.Delete(s.order, i, i+1)
	}
}

// rebuilt settles the tasks that no worker reported.
func (s *State) rebuilt() {
	s.rebuilding = false
	for _, j := range s.order {
		for _, t := range j.tasks {
			if t.Unaccounted {
				s.settle(t)
			}
		}
	}
}

func (s *State) settle(t *Task) {
	t.Unaccounted = false
	t.Attempt = max(t.Attempt, uint32(s.generation)*rebuiltAttempts)
	if t.State != model.TaskPending {
		return
	}
	j := t.job
	switch {
	case !j.Spec.Idempotent && s.skip&skipIdempotent == 0:
		j.pending--
		s.toEnded(t, model.OutcomeUnknown, ReasonGroupLost)
	case j.Outcome != model.OutcomeNone:
		j.pending--
		s.toEnded(t, j.Outcome, j.Reason)
	default:
		t.Reason = ReasonGroupLost
	}
	s.noteChange(t.Run(), t, &Ended{Reason: ReasonGroupLost})
}
