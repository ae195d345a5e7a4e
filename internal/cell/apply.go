package cell

import (
	"kumquatwing/internal/consensus"
	"kumquatwing/internal/model"
)

// Apply implements replica.Machine. A command that can't be decoded changes
// nothing on any member.
func (s *State) Apply(index uint64, data []byte) []byte {
	var c Command
	if err := consensus.Decode(data, &c); err != nil {
		return nil
	}
	s.mu.Lock()
	r := s.apply(&c)
	s.Applied = index
	s.mu.Unlock()
	s.changed()
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
		s.setOut(c.SetOut)
	case c.Workers != nil:
		s.updateWorkers(c.Workers)
	case c.Starts != nil:
		return s.start(c.Starts.Starts)
	case c.Ends != nil:
		for i := range c.Ends.Ends {
			s.end(&c.Ends.Ends[i], c.Ends.UnixMillis)
		}
	case c.Due != nil:
		for _, id := range c.Due.Jobs {
			s.nextOccurrence(s.Active[id])
		}
	case c.Forget != nil:
		s.forget(c.Forget.Jobs)
	}
	return Result{}
}

func (s *State) submit(j *Job) Result {
	if s.Jobs[j.ID] != nil {
		return Result{Known: true}
	}
	job := *j
	job.State, job.Occurrences = JobPending, nil
	s.Jobs[job.ID], s.Active[job.ID] = &job, &job
	if job.Schedule.Times == 0 {
		s.nextOccurrence(&job)
	}
	return Result{}
}

// nextOccurrence creates the next execution of the job's steps.
func (s *State) nextOccurrence(j *Job) {
	if j == nil || len(j.Occurrences) >= j.occurrencesTotal() {
		return
	}
	o := Occurrence{Steps: make([]StepState, len(j.Steps))}
	for i := range j.Steps {
		o.Steps[i].Tasks = make([]Task, j.Steps[i].Count)
	}
	j.Occurrences = append(j.Occurrences, o)
}

func (s *State) cancel(c *Cancel) Result {
	j := s.Jobs[c.ID]
	if j == nil {
		return Result{Unknown: true}
	}
	if !j.State.Ended() {
		s.finish(j, JobCancelled, "", c.UnixMillis)
	}
	return Result{}
}

// finish ends a job and drops what is not needed to answer for it.
func (s *State) finish(j *Job, state JobState, reason string, unixMillis int64) {
	j.State, j.Reason, j.EndedUnixMillis = state, reason, unixMillis
	j.Spec = ""
	delete(s.Active, j.ID)
	s.touchRuns(j)
}

// touchRuns notes the workers that may have runs of a job.
func (s *State) touchRuns(j *Job) {
	for o := range j.Occurrences {
		for i := range j.Occurrences[o].Steps {
			for _, t := range j.Occurrences[o].Steps[i].Tasks {
				if t.Worker != "" {
					s.touched[t.Worker] = true
				}
			}
		}
	}
}

func (s *State) configure(c *Configure) {
	if c.Config.Version <= s.Config.Version && s.Document != nil {
		return
	}
	for _, q := range s.Config.Queues {
		if c.Config.Queue(q.Name) == nil && s.inUse(q.Name) {
			s.Former[q.Name] = q
		}
	}
	s.Config, s.Document = c.Config, c.Document
	s.indexQueues()
}

// inUse reports whether a job that has not ended came by the queue.
func (s *State) inUse(queue string) bool {
	for _, j := range s.Active {
		if j.Queue == queue {
			return true
		}
	}
	return false
}

func (s *State) setOut(c *SetOut) {
	if c.Out {
		s.Out[c.DC] = true
	} else {
		delete(s.Out, c.DC)
	}
}

func (s *State) updateWorkers(c *Workers) {
	for i := range c.Seen {
		s.seen(&c.Seen[i])
	}
	for _, g := range c.Gone {
		if w := s.Workers[g.ID]; w != nil && w.Born == g.Born {
			s.drop(w)
			delete(s.Workers, g.ID)
			s.touched[g.ID], s.sorted = true, nil
		}
	}
}

// seen takes a worker's report; a later incarnation ends all runs of the former.
func (s *State) seen(seen *Worker) {
	w := s.Workers[seen.ID]
	if w == nil {
		w = &WorkerState{Held: map[TaskKey]Allocation{}}
		s.Workers[seen.ID], s.sorted = w, nil
	}
	s.touched[seen.ID] = true
	if seen.Born < w.Born {
		return
	}
	if seen.Born > w.Born {
		s.drop(w)
	}
	w.Worker = *seen
}

// drop ends all runs of an incarnation that is gone.
func (s *State) drop(w *WorkerState) {
	for _, a := range w.allocations() {
		s.endRun(w, a, &End{Task: a.Task, Run: a.Run, Outcome: OutcomeLost}, 0)
	}
}

// start checks a plan again, since the state may have moved on, and places what
// still fits. It returns the indexes of the placed starts.
func (s *State) start(starts []Start) Result {
	var r Result
	for i := 0; i < len(starts); {
		n := 1
		for i+n < len(starts) && starts[i+n].Task.StepKey() == starts[i].Task.StepKey() && s.isGang(starts[i].Task) {
			n++
		}
		if s.placeable(starts[i : i+n]) {
			for k := i; k < i+n; k++ {
				s.place(&starts[k])
				r.Accepted = append(r.Accepted, k)
			}
		}
		i += n
	}
	return r
}

func (s *State) isGang(k TaskKey) bool {
	j := s.Jobs[k.Job]
	return j != nil && k.Step < len(j.Steps) && j.Steps[k.Step].Gang
}

// placeable reports whether all starts hold against the present tables.
func (s *State) placeable(starts []Start) bool {
	extra := map[WorkerID]model.Resources{}
	var total model.Resources
	for i := range starts {
		st := &starts[i]
		j, step, t := s.Task(st.Task)
		w := s.Workers[st.Worker]
		if t == nil || j.State.Ended() || t.Status != TaskWaiting || st.Run != t.Run+1 || w == nil || w.Born != st.Born {
			return false
		}
		spec := &j.Steps[st.Task.Step]
		if w.Draining || s.Out[w.DC] || !w.Has(spec.Requires) || (spec.Gang && step.Held > 0) {
			return false
		}
		if _, held := w.Held[st.Task]; held {
			return false
		}
		total = total.Add(spec.Need)
		if spec.Filler {
			continue
		}
		extra[st.Worker] = extra[st.Worker].Add(spec.Need)
		if !extra[st.Worker].Fits(w.Free()) {
			return false
		}
	}
	j := s.Jobs[starts[0].Task.Job]
	return s.WithinLimit(j.Workspace, total)
}

// WithinLimit reports whether a workspace may hold that much more.
func (s *State) WithinLimit(workspace string, more model.Resources) bool {
	ws := s.Config.Workspace(workspace)
	if ws == nil {
		return true
	}
	sum := s.Used[workspace].Add(more)
	return within(sum.MilliCPU, ws.Limit.MilliCPU) && within(sum.MemoryMB, ws.Limit.MemoryMB) &&
		within(sum.Accelerators, ws.Limit.Accelerators)
}

// within treats a limit of 0 as none.
func within(sum, limit int64) bool { return limit == 0 || sum <= limit }

func (s *State) place(st *Start) {
	j, step, t := s.Task(st.Task)
	spec := &j.Steps[st.Task.Step]
	t.Status, t.Run, t.Worker = TaskPlaced, st.Run, st.Worker
	step.Placed++
	step.Held++
	s.hold(s.Workers[st.Worker], Allocation{st.Task, st.Run, spec.Need, spec.Filler, j.Workspace})
	if j.State == JobPending {
		j.State = JobRunning
	}
}

// end takes a run's end; one that isn't held changes nothing.
func (s *State) end(e *End, unixMillis int64) {
	w := s.Workers[e.Worker]
	if w == nil || w.Born != e.Born {
		return
	}
	a, ok := w.Held[e.Task]
	if !ok || a.Run != e.Run {
		return
	}
	s.endRun(w, a, e, unixMillis)
}

func (s *State) endRun(w *WorkerState, a Allocation, e *End, unixMillis int64) {
	s.release(w, a)
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
		s.done(j, a.Task, unixMillis)
	case OutcomeFailed:
		s.failed(j, step, t, a, unixMillis)
	default:
		s.again(step, t)
	}
}

// saveCheckpoint keeps one checkpoint a task, and one for all tasks of a gang.
func (s *State) saveCheckpoint(j *Job, step *StepState, t *Task, k TaskKey, checkpoint string) {
	if !j.Steps[k.Step].Gang {
		t.Checkpoint = checkpoint
		return
	}
	for i := range step.Tasks {
		step.Tasks[i].Checkpoint = checkpoint
	}
}

// again lets the task be started once more.
func (s *State) again(step *StepState, t *Task) {
	t.Status, t.Worker = TaskWaiting, ""
	step.Placed--
}

func (s *State) failed(j *Job, step *StepState, t *Task, a Allocation, unixMillis int64) {
	s.again(step, t)
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
	s.finish(j, JobFailed, "task "+a.Task.String()+" failed in all its attempts", unixMillis)
}

// done marks a task, or a whole gang, as done.
func (s *State) done(j *Job, k TaskKey, unixMillis int64) {
	spec := &j.Steps[k.Step]
	o := &j.Occurrences[k.Occurrence]
	step := &o.Steps[k.Step]
	if spec.Service {
		s.again(step, &step.Tasks[k.Index])
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
	if j.OccurrencesDone == j.occurrencesTotal() && !j.State.Ended() {
		s.finish(j, JobSucceeded, "", unixMillis)
	}
}

// forget drops ended jobs; one whose runs still hold room stays.
func (s *State) forget(ids []JobID) {
	for _, id := range ids {
		if j := s.Jobs[id]; j != nil && j.State.Ended() {
			delete(s.Jobs, id)
		}
	}
}
