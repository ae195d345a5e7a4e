// Package cell holds the replicated state of one scheduling cell: a set of data
// centres that share one scheduler. It is a deterministic state machine: commands
// are the only input, and all members that have applied the same commands hold the
// same state.
package cell

import (
	"cmp"
	"strconv"
	"strings"

	"kumquatwing/internal/model"
)

// JobID identifies a job. The caller chooses it.
type JobID string

// WorkerID identifies a worker. A worker that restarts may use the same ID, as a new
// incarnation.
type WorkerID string

// Step is a group of identical tasks of a job.
type Step struct {
	// Count is the number of tasks.
	Count int
	// Need is the resources that each task uses.
	Need model.Resources
	// EstimateMillis is the caller's estimate of a task's run time.
	EstimateMillis int64
	// After lists the indexes of earlier steps whose tasks must all be done before
	// this step starts.
	After []int
	// Gang tasks run only together: they start and end together and share one
	// checkpoint.
	Gang bool
	// SameRack gangs run slower if they are spread across racks.
	SameRack bool
	// Requires is a label that the worker must have, "" for none.
	Requires string
	// DataRack is the rack of the step's data, "" for none.
	DataRack string
	// MaxPerWorker limits the tasks of the step on one worker; 0 means no limit.
	MaxPerWorker int
	// Checkpoints reports that tasks save their progress and resume from it.
	Checkpoints bool
	// Speculative tasks may run in parallel copies.
	Speculative bool
	// Service tasks run until the job is cancelled.
	Service bool
	// Image is the name of the image that the tasks run.
	Image string
	// TargetMillis is the maximum response time of service tasks.
	TargetMillis int64
	// Filler tasks use CPU time that others leave idle: their CPU doesn't count against
	// the capacity of their worker.
	Filler bool
	// MaxUnavailable limits the service tasks that the system may disrupt at once.
	MaxUnavailable int
}

// Reserved returns the part of a worker's capacity that one task takes.
func (s *Step) Reserved() model.Resources { return reserved(s.Need, s.Filler) }

// reserved returns the part of a worker's capacity that a task with the given need takes.
func reserved(need model.Resources, filler bool) model.Resources {
	if filler {
		need.MilliCPU = 0
	}
	return need
}

// Schedule defines when a job's steps are executed. The zero value executes them
// once, immediately.
type Schedule struct {
	// Times is the number of occurrences; 0 means one, which is due immediately.
	Times int
	// FirstUnixMillis is the time at which occurrence 0 is due.
	FirstUnixMillis int64
	// IntervalMillis is the time between two occurrences.
	IntervalMillis int64
}

// JobState is the state of a job.
type JobState uint8

const (
	JobPending JobState = iota
	JobRunning
	JobSucceeded
	JobFailed
	JobCancelled
)

// Ended reports whether the state is final.
func (s JobState) Ended() bool { return s >= JobSucceeded }

// String implements fmt.Stringer.
func (s JobState) String() string {
	return [...]string{"pending", "running", "succeeded", "failed", "cancelled"}[s]
}

// TaskStatus is the status of a task.
type TaskStatus uint8

const (
	TaskWaiting TaskStatus = iota
	TaskPlaced
	TaskDone
)

// Task is one task of a step in one occurrence.
type Task struct {
	Status TaskStatus
	// Run is the number of the latest run, counted from 1; 0 before the first.
	Run int64
	// Failures counts the runs that failed. The runs of a gang are counted at its
	// first task.
	Failures int
	// Worker is the worker of the current run, or of the one that succeeded.
	Worker WorkerID
	// Checkpoint is the progress to resume the task from; "" starts it from the
	// beginning.
	Checkpoint string
}

// StepState is the state of one step in one occurrence.
type StepState struct {
	Tasks []Task
	// Done counts the tasks that are done.
	Done int
	// Placed counts the tasks with a current run.
	Placed int
	// Held counts the step's allocations on workers, those of runs that are no longer
	// current included.
	Held int
	// FailedRun is the number of the last gang run that was counted as a failure.
	FailedRun int64
}

// Waiting returns the number of tasks that are neither done nor placed.
func (s *StepState) Waiting() int { return len(s.Tasks) - s.Done - s.Placed }

// Occurrence is one execution of a job's steps.
type Occurrence struct {
	Steps []StepState
	// StepsDone counts the steps whose tasks are all done.
	StepsDone int
}

// Job is a submitted job.
type Job struct {
	ID        JobID
	Queue     string
	Workspace string
	Spec      string
	Steps     []Step
	Schedule  Schedule
	// SubmittedUnixMillis is the wall-clock time at which a member accepted the job.
	SubmittedUnixMillis int64
	State               JobState
	// EndedUnixMillis is set when the job ends.
	EndedUnixMillis int64
	// Reason is the reason why the job failed, "" if it has not.
	Reason string
	// Occurrences holds the occurrences so far. Each is created when it is due.
	Occurrences []Occurrence
	// OccurrencesDone counts the occurrences whose steps are all done.
	OccurrencesDone int
}

// totalOccurrences returns the number of occurrences that the job has in all.
func (j *Job) totalOccurrences() int { return max(1, j.Schedule.Times) }

// HasWaitingTasks reports whether a step has tasks that are neither done nor placed.
func (j *Job) HasWaitingTasks() bool {
	for o := range j.Occurrences {
		steps := j.Occurrences[o].Steps
		for i := range steps {
			if steps[i].Waiting() > 0 {
				return true
			}
		}
	}
	return false
}

// NextDue returns the time in Unix milliseconds at which the next occurrence of a
// scheduled job is due. ok is false if there is none left.
func (j *Job) NextDue() (unixMillis int64, ok bool) {
	n := len(j.Occurrences)
	if j.Schedule.Times == 0 || n >= j.Schedule.Times {
		return 0, false
	}
	return j.Schedule.FirstUnixMillis + int64(n)*j.Schedule.IntervalMillis, true
}

// TaskKey identifies a task within the cell.
type TaskKey struct {
	Job        JobID
	Occurrence int
	Step       int
	Index      int
}

// StepKey identifies the step of one occurrence within the cell.
type StepKey struct {
	Job        JobID
	Occurrence int
	Step       int
}

// StepKey returns the key of the task's step.
func (k TaskKey) StepKey() StepKey { return StepKey{k.Job, k.Occurrence, k.Step} }

// String returns the key in the form JOB.OCCURRENCE.STEP.
func (k StepKey) String() string {
	return string(k.Job) + "." + strconv.Itoa(k.Occurrence) + "." + strconv.Itoa(k.Step)
}

// String returns the key in the form JOB.OCCURRENCE.STEP.INDEX.
func (k TaskKey) String() string { return k.StepKey().String() + "." + strconv.Itoa(k.Index) }

// ParseTaskKey parses the output of TaskKey.String. The second result is false if s
// is not a valid key.
func ParseTaskKey(s string) (TaskKey, bool) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return TaskKey{}, false
	}
	var n [3]int
	for i := range n {
		v, err := strconv.Atoi(parts[i+1])
		if err != nil || v < 0 {
			return TaskKey{}, false
		}
		n[i] = v
	}
	return TaskKey{JobID(parts[0]), n[0], n[1], n[2]}, true
}

// Compare orders keys by job, occurrence, step and index.
func (k TaskKey) Compare(o TaskKey) int {
	return cmp.Or(
		cmp.Compare(k.Job, o.Job), cmp.Compare(k.Occurrence, o.Occurrence),
		cmp.Compare(k.Step, o.Step), cmp.Compare(k.Index, o.Index),
	)
}
