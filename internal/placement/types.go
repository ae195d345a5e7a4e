// Package placement decides which task runs on which worker. It is made of
// pure functions from a Snapshot to a Plan: no clock, no I/O, no dependence on
// map order, so that the same snapshot always gives the same plan. The plan is
// checked again when it is applied.
package placement

import (
	"kumquatwing/internal/model"
	"kumquatwing/internal/settings"
)

// Snapshot is everything a decision may depend on, for one data centre.
// All slices are sorted by id, jobs by arrival.
type Snapshot struct {
	// NowMillis is the group's clock.
	NowMillis int64
	// Out is set while the data centre is taken out: nothing may start.
	Out        bool
	Workers    []WorkerView
	Jobs       []JobView
	Runs       []RunView
	Workspaces []WorkspaceView
	// Reservations made by earlier plans that still stand.
	Reservations []Reservation
	// MaxPlacements bounds the placements of one plan; 0 means no bound. A gang
	// that has been begun is never cut by it.
	MaxPlacements int
	// Fleet is the size of all workers of the fleet, against which shares are
	// counted; zero means the size of Workers.
	Fleet model.Resources
	// Settling is set while workers are still being learnt after a start of the
	// group: no job is refused for lack of a large enough worker.
	Settling bool
}

// WorkerView is one worker as the scheduler sees it.
type WorkerView struct {
	ID   model.WorkerID
	Rack string
	Size model.Resources
	// Free is the size less what every task not proven ended holds, by the
	// larger of declared size and reported use with headroom.
	Free  model.Resources
	State model.WorkerState
}

// JobView is one job with pending tasks.
type JobView struct {
	Spec model.JobSpec
	// ArrivedMillis is when the data centre took the job in.
	ArrivedMillis int64
	Pending       []PendingTask
	// Running counts the job's tasks that hold room anywhere.
	Running int
	// RunMillis is the learnt run time of a task, or the declared one.
	RunMillis int64
	Policy    Policy
}

// PendingTask is a task that waits.
type PendingTask struct {
	ID model.TaskID
	// NotBeforeMillis holds the task back after a failure.
	NotBeforeMillis int64
	// Avoid lists workers on which the task has failed.
	Avoid []model.WorkerID
}

// Policy holds the effective settings of a job with the levels that decided them.
type Policy struct {
	Preemptible           bool
	GangReservationMillis int64
	// Decisions are kept in each explanation.
	Decisions []settings.Decision
}

// RunView is a task that holds room on a worker.
type RunView struct {
	Task      model.TaskID
	Job       model.JobID
	Workspace model.WorkspaceID
	Class     model.Class
	Worker    model.WorkerID
	// Holds is the room the task takes from its worker.
	Holds model.Resources
	// StartedMillis, CheckpointMillis and EndsMillis (estimated, 0 if unknown)
	// are on the group's clock.
	StartedMillis    int64
	CheckpointMillis int64
	EndsMillis       int64
	Preemptible      bool
	// Stopping runs free their room soon and are not preempted again.
	Stopping bool
}

// WorkspaceView is one workspace's standing.
type WorkspaceView struct {
	ID    model.WorkspaceID
	Share int64
	// Grant is the part of the workspace's upper limit that this data centre holds.
	Grant model.Resources
	// Usage is what the workspace's tasks hold here, Elsewhere in other data centres.
	Usage     model.Resources
	Elsewhere model.Resources
}

// Plan is what to do, in order.
type Plan struct {
	Place        []Placement
	Preempt      []Preemption
	Refuse       []JobRefusal
	Waits        []Wait
	Reservations []Reservation
}

// Placement starts a task on a worker. Its counts are of the moment at which it
// was chosen: after the placements before it in the plan.
type Placement struct {
	Task    model.TaskID
	Job     model.JobID
	Worker  model.WorkerID
	Explain Explanation
}

// Preemption stops a run to make room for another task.
type Preemption struct {
	Task    model.TaskID
	Worker  model.WorkerID
	For     model.TaskID
	Explain Explanation
}

// JobRefusal ends a job that can never run.
type JobRefusal struct {
	Job     model.JobID
	Reason  string
	Explain Explanation
}

// Wait says why a job's tasks were not placed this time. Its counts are for the
// first task that waits, with the room as it is after the whole plan.
type Wait struct {
	Job     model.JobID
	Reason  string
	Explain Explanation
}

// Reservation holds room on workers for a gang or urgent task until it ends.
// One without Workers holds nothing back: it keeps its job from reserving again
// before UntilMillis. Plan.Reservations replaces Snapshot.Reservations.
type Reservation struct {
	Job model.JobID
	// Class is the job's.
	Class model.Class
	// StartMillis is when the room is expected to be free.
	StartMillis int64
	UntilMillis int64
	// Attempt counts the job's reservations; each one may last longer.
	Attempt int
	Workers []ReservedRoom
}

// ReservedRoom is a part of a worker that is held back.
type ReservedRoom struct {
	Worker model.WorkerID
	// Tasks is for how many tasks the room is, Room what they need together. It
	// follows the learnt size of the tasks.
	Tasks int
	Room  model.Resources
}

// Explanation is the recorded account of one decision.
type Explanation struct {
	Considered int                 `json:"considered" msgpack:"c"`
	Rejected   []FilterCount       `json:"rejected,omitempty" msgpack:"r,omitempty"`
	Score      []ScorePart         `json:"score,omitempty" msgpack:"s,omitempty"`
	Decisions  []settings.Decision `json:"decisions,omitempty" msgpack:"d,omitempty"`
	// Detail is a short sentence for people.
	Detail string `json:"detail,omitempty" msgpack:"t,omitempty"`
}

// FilterCount is how many workers one filter rejected.
type FilterCount struct {
	Filter string `json:"filter" msgpack:"f"`
	Count  int    `json:"count" msgpack:"c"`
}

// ScorePart is one scorer's part of the chosen worker's score.
type ScorePart struct {
	Scorer string `json:"scorer" msgpack:"s"`
	Points int64  `json:"points" msgpack:"p"`
}
