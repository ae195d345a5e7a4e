package cell

// endWaiters holds the readers that wait for the ends of jobs. It is no part of the
// replicated state.
type endWaiters map[JobID][]chan struct{}

// AwaitEnd returns a channel that is closed when the job ends, or when this member
// restores a snapshot. The caller holds the lock, and calls StopAwaiting when it no
// longer waits.
func (s *State) AwaitEnd(id JobID) <-chan struct{} {
	ended := make(chan struct{})
	s.endWaiters[id] = append(s.endWaiters[id], ended)
	return ended
}

// StopAwaiting removes a channel that AwaitEnd has returned. The caller holds the lock.
func (s *State) StopAwaiting(id JobID, ended <-chan struct{}) {
	waiting := s.endWaiters[id]
	for i, c := range waiting {
		if c == ended {
			waiting[i] = waiting[len(waiting)-1]
			waiting = waiting[:len(waiting)-1]
			break
		}
	}
	if len(waiting) == 0 {
		delete(s.endWaiters, id)
		return
	}
	s.endWaiters[id] = waiting
}

// wake closes the channels of those who wait for the job.
func (w endWaiters) wake(id JobID) {
	for _, c := range w[id] {
		close(c)
	}
	delete(w, id)
}

// wakeAll closes all channels.
func (w endWaiters) wakeAll() {
	for id := range w {
		w.wake(id)
	}
}

// MayEndNext reports whether the ends of the runs that are placed now end the job: it has
// no task to place and no occurrence to come.
func (j *Job) MayEndNext() bool {
	if j.State != JobRunning || len(j.Occurrences) < j.totalOccurrences() {
		return false
	}
	for i := range j.Steps {
		if j.Steps[i].Service {
			return false
		}
	}
	return !j.HasWaitingTasks()
}
