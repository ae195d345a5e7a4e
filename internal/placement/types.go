// Package placement decides which task runs on which worker. Its functions are
// pure: they compute a Plan from a Snapshot without reading a clock, doing I/O
// or depending on map iteration order, so the same snapshot always gives the
// same plan. The caller validates the plan again when it applies it.
package placement

import (
	"kumquatwing/internal/model"
	"kumquatwing/internal/settings"
)

// Snapshot is the complete input of a placement decision for one data centre.
// Slices are sorted by id, Jobs by arrival time; Decide sorts those that are not.
type Snapshot struct {
	// NowMillis is the current time on the data centre group's clock.
	NowMillis int64
	// OutOfService is set while the data centre is out of service: no task may
	// start.
	OutOfService bool
	Workers      []WorkerView
	Jobs         []JobView
	Runs         []RunningTask
	Workspaces   []WorkspaceView
	// Reservations is the Plan.Reservations of the previous plan.
	Reservations []Reservation
	// MaxPlacements limits the placements of one plan; 0 means no limit. A gang
	// is placed whole even if that exceeds the limit.
	MaxPlacements int
	// Fleet is the total size of all workers of the fleet, relative to which
	// shares are computed; zero means the total size of Workers without the lost.
	Fleet model.Resources
	// Rebuilding is set while the worker table is still being rebuilt after the
	// data centre group started. Workers may be incomplete, so no job is refused
	// for lack of a large enough worker.
	Rebuilding bool
}

// WorkerView is the scheduler's view of one worker.
type WorkerView struct {
	ID   model.WorkerID
	Rack string
	Size model.Resources
	// Free is Size minus the capacity of every task not known to have ended. A
	// task counts with its declared size or its reported use plus headroom,
	// whichever is larger.
	Free  model.Resources
	State model.WorkerState
}

// JobView is one job with pending tasks.
type JobView struct {
	Spec model.JobSpec
	// ArrivedMillis is when the data centre accepted the job.
	ArrivedMillis int64
	Pending       []PendingTask
	// Running counts the job's tasks that occupy capacity on any worker.
	Running int
	// RunMillis is the run time of a task, estimated from earlier runs if there
	// are any and declared otherwise; 0 if unknown.
	RunMillis int64
	Policy    Policy
}

// PendingTask is a task that waits to be placed.
type PendingTask struct {
	ID model.TaskID
	// NotBeforeMillis is the end of the back-off after a failure.
	NotBeforeMillis int64
	// Avoid lists the workers on which the task has failed.
	Avoid []model.WorkerID
}

// Policy holds the effective settings of a job.
type Policy struct {
	Preemptible           bool
	GangReservationMillis int64
	// Decisions says which level decided each setting. Every Explanation for
	// the job includes it.
	Decisions []settings.EffectiveValue
}

// RunningTask is a task that occupies capacity on a worker.
type RunningTask struct {
	Task      model.TaskID
	Job       model.JobID
	Workspace model.WorkspaceID
	Class     model.Class
	Worker    model.WorkerID
	// Allocated is the capacity that the task occupies on its worker.
	Allocated model.Resources
	// StartedMillis, CheckpointMillis and EndsMillis are the times of the start,
	// of the newest checkpoint and of the estimated end (0 if unknown), on the
	// data centre group's clock.
	StartedMillis    int64
	CheckpointMillis int64
	EndsMillis       int64
	Preemptible      bool
	// Stopping is set once the task was told to stop. Its capacity is expected
	// to become free soon, and it is not preempted again.
	Stopping bool
}

// WorkspaceView is the share, limit and usage of one workspace.
type WorkspaceView struct {
	ID model.WorkspaceID
	// Share is the workspace's weight in dividing the fleet's capacity.
	Share int64
	// Grant is the part of the workspace's upper limit that this data centre holds.
	Grant model.Resources
	// Usage is the capacity that the workspace's tasks occupy in this data
	// centre, UsageElsewhere in all others.
	Usage          model.Resources
	UsageElsewhere model.Resources
}

// Plan is the outcome of one placement decision. Placements and preemptions are
// in the order in which they were decided.
type Plan struct {
	Place   []Placement
	Preempt []Preemption
	Refuse  []JobRefusal
	// Waits has one entry for each job with tasks left that is not refused.
	Waits []Wait
	// Reservations replaces Snapshot.Reservations.
	Reservations []Reservation
}

// Placement starts a task on a worker. Its explanation describes the workers as
// they are after the placements that precede it in the plan.
type Placement struct {
	Task    model.TaskID
	Job     model.JobID
	Worker  model.WorkerID
	Explain Explanation
}

// Preemption stops a running task to free capacity for another task.
type Preemption struct {
	Task   model.TaskID
	Worker model.WorkerID
	// Beneficiary is the pending task that gets the capacity.
	Beneficiary model.TaskID
	Explain     Explanation
}

// JobRefusal ends a job that could not run even on empty workers.
type JobRefusal struct {
	Job     model.JobID
	Reason  string
	Explain Explanation
}

// Wait says why this plan leaves tasks of a job pending. Its explanation is for
// the first of these tasks and for the capacity that is free after the whole
// plan.
type Wait struct {
	Job     model.JobID
	Reason  string
	Explain Explanation
}

// Reservation keeps capacity on workers for tasks of one job until UntilMillis.
// A reservation without Workers keeps no capacity: it stops its job from
// reserving again before UntilMillis.
type Reservation struct {
	Job model.JobID
	// Class is the class of the job.
	Class model.Class
	// StartMillis is when the capacity is expected to be free.
	StartMillis int64
	UntilMillis int64
	// Attempt counts the job's earlier attempts to reserve. Each attempt keeps
	// the capacity for longer, up to a limit.
	Attempt int
	Workers []ReservedCapacity
}

// ReservedCapacity is the capacity that a reservation keeps on one worker.
type ReservedCapacity struct {
	Worker model.WorkerID
	// Tasks is the number of tasks that the capacity is reserved for.
	Tasks int
	// Capacity is what they need together. It is recomputed when the
	// estimated size of the job's tasks changes.
	Capacity model.Resources
}

// Explanation records how one decision was reached.
type Explanation struct {
	// Considered is the number of workers examined.
	Considered int                       `json:"considered" msgpack:"c"`
	Rejected   []FilterCount             `json:"rejected,omitempty" msgpack:"r,omitempty"`
	Score      []ScorePart               `json:"score,omitempty" msgpack:"s,omitempty"`
	Decisions  []settings.EffectiveValue `json:"decisions,omitempty" msgpack:"d,omitempty"`
	// Detail is a short human-readable sentence.
	Detail string `json:"detail,omitempty" msgpack:"t,omitempty"`
}

// FilterCount is the number of workers that one filter rejected.
type FilterCount struct {
	Filter string `json:"filter" msgpack:"f"`
	Count  int    `json:"count" msgpack:"c"`
}

// ScorePart is the weighted points that one scorer gave the chosen worker, or
// the cost of a preemption.
type ScorePart struct {
	Scorer string `json:"scorer" msgpack:"s"`
	Points int64  `json:"points" msgpack:"p"`
}
