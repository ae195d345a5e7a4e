package scheduler

import (
	"time"

	"kumquatwing/internal/cell"
)

// objective returns the target duration of an occurrence of a job: the expected time of
// its critical path and of its advice requests, times the stretch of the queue, plus the
// fixed objective of the queue.
func (s *Scheduler) objective(j *cell.Job, q *cell.Queue, o int) time.Duration {
	work := float64(s.criticalPath(j, o, func(int) bool { return true }).Milliseconds())
	advice := 0.0
	if q.Advice != nil {
		advice = (q.Advice.DecideMillis + objectiveAdviceWorkers*q.Advice.PerWorkerMillis) * float64(len(j.Steps))
	}
	return time.Duration(q.Stretch*(work+advice)+float64(q.ObjectiveMillis)) * time.Millisecond
}

// objectiveAdviceWorkers is the number of workers per advice request that the
// objective of a job assumes.
const objectiveAdviceWorkers = 30

// remainingCriticalPath returns the expected time of the critical path through
// the unfinished steps of an occurrence.
func (s *Scheduler) remainingCriticalPath(j *cell.Job, o int) time.Duration {
	steps := j.Occurrences[o].Steps
	return s.criticalPath(j, o, func(i int) bool { return steps[i].Done < len(steps[i].Tasks) })
}

// remainingWork returns the expected work of the tasks of an occurrence that are not
// done, in core-milliseconds.
func (s *Scheduler) remainingWork(j *cell.Job, o int) float64 {
	work := 0.0
	for i := range j.Occurrences[o].Steps {
		st := &j.Occurrences[o].Steps[i]
		cores := float64(j.Steps[i].Need.MilliCPU) / 1000
		work += float64(len(st.Tasks)-st.Done) * cores * float64(s.taskTime(j, o, i).Milliseconds())
	}
	return work
}

// criticalPath returns the expected time of the longest chain of dependent
// steps of an occurrence. Steps for which include reports false take no time.
func (s *Scheduler) criticalPath(j *cell.Job, o int, include func(step int) bool) time.Duration {
	finish := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i := range j.Steps {
		for _, dependency := range j.Steps[i].After {
			finish[i] = max(finish[i], finish[dependency])
		}
		if include(i) {
			finish[i] += s.taskTime(j, o, i)
		}
		longest = max(longest, finish[i])
	}
	return longest
}
