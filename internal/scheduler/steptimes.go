package scheduler

import (
	"slices"
	"time"

	"kumquatwing/internal/cell"
)

// maxStepSamples bounds the run times that are kept of a step. The median of so many is
// as good as that of more.
const maxStepSamples = 32

// stepTimes holds the measured run times of the steps of active jobs. The tasks of a step
// do the same work, so that those of a step that have ended predict the others better than
// its queue does. Only the leader that measured them has them; a new leader starts with
// the prediction for the queue.
type stepTimes map[cell.JobID]map[occurrenceStep][]time.Duration

// occurrenceStep identifies a step of an occurrence of a job.
type occurrenceStep struct{ occurrence, step int }

// add adds the run time of a task, at nominal speed.
func (t stepTimes) add(k cell.TaskKey, took time.Duration) {
	steps := t[k.Job]
	if steps == nil {
		steps = map[occurrenceStep][]time.Duration{}
		t[k.Job] = steps
	}
	o := occurrenceStep{k.Occurrence, k.Step}
	if len(steps[o]) < maxStepSamples {
		i, _ := slices.BinarySearch(steps[o], took)
		steps[o] = slices.Insert(steps[o], i, took)
	}
}

// typical returns the lower median of a step's run times, which one straggler among two
// doesn't change. ok is false if none was measured.
func (t stepTimes) typical(k cell.StepKey) (took time.Duration, ok bool) {
	samples := t[k.Job][occurrenceStep{k.Occurrence, k.Step}]
	if len(samples) == 0 {
		return 0, false
	}
	return samples[(len(samples)-1)/2], true
}
