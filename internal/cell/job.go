// Package cell holds the replicated tables of one scheduling cell: a set of
// data centres that share one scheduler. The tables are a pure state machine:
// commands are the only input, and all members that applied the same commands
// hold the same state.
package cell

import (
	"cmp"
	"strconv"
	"strings"

	"kumquatwing/internal/model"
)

// JobID is the caller's name of a job.
type JobID string

// WorkerID names a worker; an ID may return with a new incarnation.
type WorkerID string

// Step is a group of equal tasks of a job.
type Step struct {
	Count int
	// Need is what each task takes.
	Need model.Resources
	// EstimateMillis is the caller's rough duration of a task.
	EstimateMillis int64
	// After lists earlier steps whose tasks must all be done first.
	After []int
	// Gang tasks run only together: one start, one end and one checkpoint.
	Gang bool
	// SameRack gangs are slower across racks.
	SameRack bool
	// Requires is a label that the worker must have, "" for none.
	Requires string
	// DataRack is the rack of the step's data, "" for none.
	DataRack string
	// MaxPerWorker bounds the tasks of the step on one worker; 0 is no bound.
	MaxPerWorker int
	// Checkpoints says that tasks save their progress.
	Checkpoints bool
	// Speculative tasks may run in parallel copies.
	Speculative bool
	// Service tasks run until the job is cancelled.
	Service bool
	// Image names what the tasks run.
	Image string
	// TargetMillis bounds the response times of service tasks.
	TargetMillis int64
	// Filler tasks use what others leave and don't count against capacity.
	Filler bool
	// MaxUnavailable bounds the service tasks that the system may disturb at once.
	MaxUnavailable int
}

// Schedule repeats a job's steps; the zero value runs them once, at once.
type Schedule struct {
	// Times is the number of occurrences; 0 means one without a start time.
	Times int
	// FirstUnixMillis is when occurrence 0 is due.
	FirstUnixMillis int64
	IntervalMillis  int64
}

// JobState is where a job stands.
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

// TaskStatus is where a task stands.
type TaskStatus uint8

const (
	TaskWaiting TaskStatus = iota
	TaskPlaced
	TaskDone
)

// Task is one task of an occurrence's step.
type Task struct {
	Status TaskStatus
	// Run numbers the starts; 0 before the first.
	Run int64
	// Failures counts the runs that ended failed.
	Failures int
	// Worker is where the current run was placed.
	Worker WorkerID
	// Checkpoint resumes the task; "" starts it anew.
	Checkpoint string
}

// StepState is one step of an occurrence.
type StepState struct {
	Tasks []Task
	// Done counts the tasks that are done.
	Done int
	// Placed counts the tasks with a current run.
	Placed int
	// Held counts the allocations on workers, current or not.
	Held int
	// FailedRun is the last gang run that was counted as a failure.
	FailedRun int64
}

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
	// SubmittedUnixMillis is the wall time of the member that took the job.
	SubmittedUnixMillis int64
	State               JobState
	// EndedUnixMillis is set when the job ends.
	EndedUnixMillis int64
	// Reason says why the job failed, "" if it has not.
	Reason string
	// Occurrences run the steps; occurrence K is created when it is due.
	Occurrences []Occurrence
	// OccurrencesDone counts those whose steps are all done.
	OccurrencesDone int
}

// occurrencesTotal is how many occurrences the job has in all.
func (j *Job) occurrencesTotal() int { return max(1, j.Schedule.Times) }

// NextDue returns when the next occurrence of a scheduled job is due, in Unix
// milliseconds; ok is false if there is none left.
func (j *Job) NextDue() (unixMillis int64, ok bool) {
	n := len(j.Occurrences)
	if j.Schedule.Times == 0 || n >= j.Schedule.Times {
		return 0, false
	}
	return j.Schedule.FirstUnixMillis + int64(n)*j.Schedule.IntervalMillis, true
}

// TaskKey names a task across the cell.
type TaskKey struct {
	Job        JobID
	Occurrence int
	Step       int
	Index      int
}

// StepKey names a step across the cell.
type StepKey struct {
	Job        JobID
	Occurrence int
	Step       int
}

// StepKey returns the key of the task's step.
func (k TaskKey) StepKey() StepKey { return StepKey{k.Job, k.Occurrence, k.Step} }

// String is JOB.OCCURRENCE.STEP.
func (k StepKey) String() string {
	return string(k.Job) + "." + strconv.Itoa(k.Occurrence) + "." + strconv.Itoa(k.Step)
}

// String is JOB.OCCURRENCE.STEP.INDEX.
func (k TaskKey) String() string { return k.StepKey().String() + "." + strconv.Itoa(k.Index) }

// ParseTaskKey reverses TaskKey.String.
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
