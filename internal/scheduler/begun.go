package scheduler

import (
	"sync"

	"kumquatwing/internal/cell"
)

// begunJobs holds the jobs of which the leader knows that a worker has begun a task.
// It is safe for concurrent use.
type begunJobs struct {
	mu  sync.Mutex
	ids map[cell.JobID]bool
}

func (b *begunJobs) reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ids = map[cell.JobID]bool{}
}

func (b *begunJobs) add(id cell.JobID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ids[id] = true
}

func (b *begunJobs) remove(id cell.JobID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.ids, id)
}

func (b *begunJobs) has(id cell.JobID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ids[id]
}

// HasBegun reports whether a worker is known to have begun a task of the job. A placed
// task has not begun: its start may still fail. The state is locked.
func (s *Scheduler) HasBegun(j *cell.Job) bool {
	if j.State == cell.JobPending {
		return false
	}
	if s.begun.has(j.ID) || j.OccurrencesDone > 0 {
		return true
	}
	for o := range j.Occurrences {
		for i := range j.Occurrences[o].Steps {
			step := &j.Occurrences[o].Steps[i]
			if step.Done > 0 || step.FailedRun > 0 {
				return true
			}
		}
	}
	return false
}
