package cell

import (
	"kumquatwing/internal/consensus"
	"kumquatwing/internal/model"
)

// Apply implements replica.StateMachine. It returns the encoded Result. A command that
// can't be decoded changes nothing on any member, and its result is nil.
func (s *State) Apply(index uint64, data []byte) []byte {
	var c Command
	if err := consensus.Decode(data, &c); err != nil {
		return nil
	}
	s.mu.Lock()
	r := s.apply(&c)
	s.Applied = index
	s.mu.Unlock()
	s.notifyChange()
	out, err := consensus.Encode(&r)
	if err != nil {
		return nil
	}
	return out
}

func (s *State) apply(c *Command) Result {
	if c.Leadership != 0 && c.Leadership != s.Leadership {
		return Result{Stale: true}
	}
	switch {
	case c.Lead != nil:
		s.Leadership = max(s.Leadership, c.Lead.Term)
	case c.Submit != nil:
		return s.submit(&c.Submit.Job)
	case c.Cancel != nil:
		return s.cancel(c.Cancel)
	case c.Configure != nil:
		s.configure(c.Configure)
	case c.SetOut != nil:
		s.setOutOfService(c.SetOut)
	case c.Workers != nil:
		s.updateWorkers(c.Workers, c.Leadership != 0)
	case c.Starts != nil:
		return s.applyStarts(c.Starts.Starts)
	case c.Ends != nil:
		for i := range c.Ends.Ends {
			s.applyEnd(&c.Ends.Ends[i], c.Ends.UnixMillis)
		}
		s.recordSpeeds(c.Ends.Speeds)
	case c.Due != nil:
		for _, k := range c.Due.Occurrences {
			if j := s.Active[k.Job]; j != nil && len(j.Occurrences) == k.Number {
				s.addOccurrence(j)
			}
		}
		for _, id := range c.Due.Jobs {
			s.addOccurrence(s.Active[id])
		}
	case c.Forget != nil:
		s.deleteJobs(c.Forget.Jobs)
		for i := range c.Forget.Tombstones {
			s.tombstones.remove(&c.Forget.Tombstones[i])
		}
	}
	return Result{}
}

// submit adds a job. A job without a start time gets its only occurrence at once. The
// queue or the workspace may have been removed after the proposer had checked them; such
// a job would never run. A job that was cancelled before must not run.
func (s *State) submit(j *Job) Result {
	if s.Jobs[j.ID] != nil {
		return Result{Known: true}
	}
	if s.Config.Queue(j.Queue) == nil || (j.Workspace != "" && s.Config.Workspace(j.Workspace) == nil) {
		return Result{Unknown: true}
	}
	if s.cancelledBefore(j) {
		return Result{Cancelled: true}
	}
	job := *j
	job.State, job.Occurrences = JobPending, nil
	s.Jobs[job.ID], s.Active[job.ID] = &job, &job
	if job.Schedule.Times == 0 {
		s.addOccurrence(&job)
	}
	return Result{}
}

// addOccurrence creates the job's next occurrence. It does nothing if j is nil or
// has all its occurrences.
func (s *State) addOccurrence(j *Job) {
	if j == nil || len(j.Occurrences) >= j.totalOccurrences() {
		return
	}
	o := Occurrence{Steps: make([]StepState, len(j.Steps))}
	for i := range j.Steps {
		o.Steps[i].Tasks = make([]Task, j.Steps[i].Count)
	}
	j.Occurrences = append(j.Occurrences, o)
}

// cancel cancels a job. If its caller can't see it, the cancel holds for a submission that
// is applied later.
func (s *State) cancel(c *Cancel) Result {
	j := s.Jobs[c.ID]
	if j == nil || (c.Caller != nil && !s.MaySee(c.Caller, j)) {
		return s.addTombstone(c)
	}
	if !j.State.Ended() {
		s.endJob(j, JobCancelled, "", c.UnixMillis)
	}
	return Result{}
}

// endJob moves a job to a final state. It keeps the data that queries about the job
// need, and discards its specification.
func (s *State) endJob(j *Job, state JobState, reason string, unixMillis int64) {
	j.State, j.Reason, j.EndedUnixMillis = state, reason, unixMillis
	j.Spec = ""
	delete(s.Active, j.ID)
	s.endWaiters.wake(j.ID)
	s.markWorkersOf(j)
}

// markWorkersOf marks the workers that may have runs of the job as changed.
func (s *State) markWorkersOf(j *Job) {
	for o := range j.Occurrences {
		for i := range j.Occurrences[o].Steps {
			for _, t := range j.Occurrences[o].Steps[i].Tasks {
				if t.Worker != "" {
					s.changedWorkers[t.Worker] = true
				}
			}
		}
	}
}

// configure replaces the configuration if the new version is higher or none is set
// yet. It keeps the removed queues that jobs refer to.
func (s *State) configure(c *Configure) {
	if c.Config.Version <= s.Config.Version && s.ConfigDocument != nil {
		return
	}
	inUse := s.queuesInUse()
	for name := range s.RemovedQueues {
		if !inUse[name] {
			delete(s.RemovedQueues, name)
		}
	}
	for _, q := range s.Config.Queues {
		if c.Config.Queue(q.Name) == nil && inUse[q.Name] {
			s.RemovedQueues[q.Name] = q
		}
	}
	s.Config, s.ConfigDocument = c.Config, c.Document
	s.indexQueues()
}

// queuesInUse returns the names of the queues that jobs were submitted to.
func (s *State) queuesInUse() map[string]bool {
	names := map[string]bool{}
	for _, j := range s.Jobs {
		names[j.Queue] = true
	}
	return names
}

func (s *State) setOutOfService(c *SetOut) {
	if c.Out {
		s.OutOfService[c.DC] = true
	} else {
		delete(s.OutOfService, c.DC)
	}
}

// applyStarts places the starts of a plan that are still valid, since the state may
// have changed after the plan was computed. Consecutive starts of one gang are placed
// all or none. Result.Accepted holds the indexes of the placed starts.
func (s *State) applyStarts(starts []Start) Result {
	var r Result
	for i := 0; i < len(starts); {
		n := 1
		for i+n < len(starts) && starts[i+n].Task.StepKey() == starts[i].Task.StepKey() && s.isGangTask(starts[i].Task) {
			n++
		}
		if s.canPlace(starts[i : i+n]) {
			for k := i; k < i+n; k++ {
				s.placeTask(&starts[k])
				r.Accepted = append(r.Accepted, k)
			}
		}
		i += n
	}
	return r
}

func (s *State) isGangTask(k TaskKey) bool {
	j := s.Jobs[k.Job]
	return j != nil && isIndex(k.Step, len(j.Steps)) && j.Steps[k.Step].Gang
}

// canPlace reports whether all the starts together are valid in the present state.
func (s *State) canPlace(starts []Start) bool {
	added := map[WorkerID]model.Resources{}
	var total model.Resources
	for i := range starts {
		st := &starts[i]
		j, step, t := s.Task(st.Task)
		w := s.Workers[st.Worker]
		if t == nil || j.State.Ended() || t.Status != TaskWaiting || st.Run != t.Run+1 || w == nil || w.Born != st.Born {
			return false
		}
		spec := &j.Steps[st.Task.Step]
		if w.Draining || s.OutOfService[w.DC] || !w.HasLabel(spec.Requires) || (spec.Gang && step.Held > 0) {
			return false
		}
		if _, allocated := w.Allocations[st.Task]; allocated {
			return false
		}
		total = total.Add(spec.Need)
		added[st.Worker] = added[st.Worker].Add(spec.Reserved())
		if !added[st.Worker].Fits(w.Free()) {
			return false
		}
	}
	j := s.Jobs[starts[0].Task.Job]
	return s.WithinLimit(j.Workspace, total)
}

// WithinLimit reports whether the workspace's limit allows more on top of what the
// workspace uses. A workspace that isn't configured has no limit.
func (s *State) WithinLimit(workspace string, more model.Resources) bool {
	ws := s.Config.Workspace(workspace)
	if ws == nil {
		return true
	}
	sum := s.UsageByWorkspace[workspace].Add(more)
	return withinLimit(sum.MilliCPU, ws.Limit.MilliCPU) && withinLimit(sum.MemoryMB, ws.Limit.MemoryMB) &&
		withinLimit(sum.Accelerators, ws.Limit.Accelerators)
}

// withinLimit reports whether sum is within limit, where 0 means no limit.
func withinLimit(sum, limit int64) bool { return limit == 0 || sum <= limit }

// placeTask records a start that canPlace has validated, and reserves the worker's
// capacity for it.
func (s *State) placeTask(st *Start) {
	j, step, t := s.Task(st.Task)
	spec := &j.Steps[st.Task.Step]
	t.Status, t.Run, t.Worker = TaskPlaced, st.Run, st.Worker
	step.Placed++
	step.Held++
	s.addAllocation(s.Workers[st.Worker], Allocation{st.Task, st.Run, spec.Need, spec.Filler, j.Workspace})
	if j.State == JobPending {
		j.State = JobRunning
	}
}

// applyEnd records the end of a run. It does nothing if the worker's incarnation has
// no allocation for that run, unless the end is late.
func (s *State) applyEnd(e *End, unixMillis int64) {
	w := s.Workers[e.Worker]
	if w != nil && w.Born == e.Born {
		if a, ok := w.Allocations[e.Task]; ok && a.Run == e.Run {
			s.endRun(w, a, e, unixMillis)
			return
		}
	}
	if e.Late && s.AwaitsRun(e.Task, e.Run) {
		j, step, t := s.Task(e.Task)
		t.Worker = e.Worker
		step.Placed++
		s.recordSuccess(j, e.Task, unixMillis)
	}
}

// AwaitsRun reports whether a task waits to be placed again, so that any earlier run which was
// recorded as lost and turns out to be done completes it. The tasks of a gang end together, and
// those of a service never: neither counts.
func (s *State) AwaitsRun(k TaskKey, run int64) bool {
	j, _, t := s.Task(k)
	if t == nil || j.State.Ended() || j.Steps[k.Step].Gang || j.Steps[k.Step].Service {
		return false
	}
	return t.Status == TaskWaiting && 0 < run && run <= t.Run
}

// endRun releases the allocation of a run that has ended, and updates the task if
// this was its current run.
func (s *State) endRun(w *WorkerState, a Allocation, e *End, unixMillis int64) {
	s.removeAllocation(w, a)
	j, step, t := s.Task(a.Task)
	if t == nil {
		return
	}
	step.Held--
	if e.Checkpoint != "" {
		s.saveCheckpoint(j, step, t, a.Task, e.Checkpoint)
	}
	if t.Status != TaskPlaced || t.Run != a.Run {
		return
	}
	switch e.Outcome {
	case OutcomeDone:
		s.recordRunTime(j, a.Task, e.WorkMillis)
		s.recordSuccess(j, a.Task, unixMillis)
	case OutcomeFailed:
		s.recordFailure(j, step, t, a, unixMillis)
	default:
		s.requeue(step, t)
	}
}

// saveCheckpoint stores the latest checkpoint of a task. The tasks of a gang share
// one checkpoint.
func (s *State) saveCheckpoint(j *Job, step *StepState, t *Task, k TaskKey, checkpoint string) {
	if !j.Steps[k.Step].Gang {
		t.Checkpoint = checkpoint
		return
	}
	for i := range step.Tasks {
		step.Tasks[i].Checkpoint = checkpoint
	}
}

// requeue returns a placed task to the waiting tasks.
func (s *State) requeue(step *StepState, t *Task) {
	t.Status, t.Worker = TaskWaiting, ""
	step.Placed--
}

// recordFailure requeues a task whose run failed, and fails the job if the task has
// used up its attempts. The failures of one run of a gang count once, for the gang's
// first task. Service tasks are retried without limit.
func (s *State) recordFailure(j *Job, step *StepState, t *Task, a Allocation, unixMillis int64) {
	s.requeue(step, t)
	spec := &j.Steps[a.Task.Step]
	if spec.Gang {
		if step.FailedRun == a.Run {
			return
		}
		step.FailedRun = a.Run
		t = &step.Tasks[0]
	}
	t.Failures++
	q := s.QueueOf(j)
	if spec.Service || q == nil || q.Attempts == 0 || t.Failures < q.Attempts || j.State.Ended() {
		return
	}
	s.endJob(j, JobFailed, "task "+a.Task.String()+" failed in all its attempts", unixMillis)
}

// recordSuccess marks a task, or all tasks of its gang, as done, and ends the job
// with its last occurrence. A service task is requeued instead, since it must run
// until the job is cancelled.
func (s *State) recordSuccess(j *Job, k TaskKey, unixMillis int64) {
	spec := &j.Steps[k.Step]
	o := &j.Occurrences[k.Occurrence]
	step := &o.Steps[k.Step]
	if spec.Service {
		s.requeue(step, &step.Tasks[k.Index])
		return
	}
	if spec.Gang {
		for i := range step.Tasks {
			step.Tasks[i].Status = TaskDone
		}
		step.Done, step.Placed = len(step.Tasks), 0
	} else {
		step.Tasks[k.Index].Status = TaskDone
		step.Done++
		step.Placed--
	}
	if step.Done < len(step.Tasks) {
		return
	}
	o.StepsDone++
	if o.StepsDone < len(o.Steps) {
		return
	}
	j.OccurrencesDone++
	if j.OccurrencesDone == j.totalOccurrences() && !j.State.Ended() {
		s.endJob(j, JobSucceeded, "", unixMillis)
	}
}

// deleteJobs deletes those of the jobs that have ended.
func (s *State) deleteJobs(ids []JobID) {
	for _, id := range ids {
		if j := s.Jobs[id]; j != nil && j.State.Ended() {
			delete(s.Jobs, id)
		}
	}
}
