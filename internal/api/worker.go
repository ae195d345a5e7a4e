package api

import "kumquatwing/internal/model"

// WorkerReport is sent by a worker about every second, and immediately when a task
// ends. It is a long poll: while there are no new orders, the response is delayed
// for up to HoldMillis.
type WorkerReport struct {
	Worker model.WorkerID  `json:"worker" msgpack:"w"`
	DC     model.DCID      `json:"dc" msgpack:"d"`
	Rack   string          `json:"rack" msgpack:"r"`
	Size   model.Resources `json:"size" msgpack:"s"`
	// Incarnation is a new random value each time the worker's process starts.
	Incarnation string `json:"incarnation" msgpack:"i"`
	// Seq increases with each report of an incarnation. A report that is not newer
	// than one already accepted is refused.
	Seq uint64 `json:"seq" msgpack:"q"`
	// Epoch is the newest epoch that the worker has seen in orders.
	Epoch model.Epoch `json:"epoch" msgpack:"e"`
	// Base is 0 in a full report. In a delta report it is the Seq of the newest
	// answered report of the incarnation. Tasks then lists only the runs that differ
	// from that report, and Gone the runs that have been removed since. The leader
	// refuses a delta report whose Base is not the newest report that it has; the
	// worker then sends a full one.
	Base uint64 `json:"base,omitempty" msgpack:"b,omitempty"`
	// Tasks lists all runs on the worker, and the ended ones that have not been
	// acknowledged.
	Tasks      []TaskReport `json:"tasks,omitempty" msgpack:"t,omitempty"`
	Gone       []RunID      `json:"gone,omitempty" msgpack:"g,omitempty"`
	HoldMillis int64        `json:"hold_ms,omitempty" msgpack:"h,omitempty"`
}

// TaskReport is the state of one run on a worker.
type TaskReport struct {
	Task    model.TaskID `json:"task" msgpack:"t"`
	Attempt uint32       `json:"attempt" msgpack:"a"`
	// State is running or ended.
	State   model.TaskState `json:"state" msgpack:"s"`
	Outcome model.Outcome   `json:"outcome,omitempty" msgpack:"o,omitempty"`
	// Used is the measured usage; it is some seconds old.
	Used model.Resources `json:"used" msgpack:"u"`
	// CheckpointMillis is the run time saved by the newest checkpoint.
	CheckpointMillis int64  `json:"checkpoint_ms,omitempty" msgpack:"c,omitempty"`
	Reason           string `json:"reason,omitempty" msgpack:"r,omitempty"`
}

// WorkerOrders is the response to a WorkerReport. The worker counts LeaseMillis from
// when it sent the report, and stops all its tasks when that time has passed. It
// refuses orders whose epoch is older than the newest that it has seen.
type WorkerOrders struct {
	Epoch       model.Epoch `json:"epoch" msgpack:"e"`
	LeaseMillis int64       `json:"lease_ms" msgpack:"l"`
	// StartWithinMillis is the time in which the worker may start the runs in Start,
	// counted like LeaseMillis.
	StartWithinMillis int64          `json:"start_within_ms,omitempty" msgpack:"sw,omitempty"`
	Start             []TaskOrder    `json:"start,omitempty" msgpack:"s,omitempty"`
	Stop              []StopOrder    `json:"stop,omitempty" msgpack:"x,omitempty"`
	Throttle          []model.TaskID `json:"throttle,omitempty" msgpack:"t,omitempty"`
	// Known acknowledges ended runs. The worker may then forget them.
	Known []RunID `json:"known,omitempty" msgpack:"k,omitempty"`
}

// RunID identifies one run of a task.
type RunID struct {
	Task    model.TaskID `json:"task" msgpack:"t"`
	Attempt uint32       `json:"attempt" msgpack:"a"`
}

// TaskOrder tells a worker to start a run. It is repeated until the worker reports
// the run.
type TaskOrder struct {
	RunID
	Job       model.JobID       `json:"job" msgpack:"j"`
	Workspace model.WorkspaceID `json:"workspace" msgpack:"m"`
	Size      model.Resources   `json:"size" msgpack:"s"`
	RunMillis int64             `json:"run_ms" msgpack:"r"`
	Service   bool              `json:"service" msgpack:"v"`
	// FromMillis is the checkpoint from which the run continues.
	FromMillis int64  `json:"from_ms,omitempty" msgpack:"f,omitempty"`
	Payload    string `json:"payload,omitempty" msgpack:"p,omitempty"`
}

// StopOrder tells a worker to stop a run, after taking a checkpoint if Checkpoint is
// set.
type StopOrder struct {
	RunID
	Checkpoint bool   `json:"checkpoint" msgpack:"c"`
	Reason     string `json:"reason" msgpack:"r"`
}
