package api

import "kumquatwing/internal/model"

// WorkerReport is what a worker sends about every second, and at once when a
// task ends. Control holds the answer back for up to HoldMillis while
// there is nothing to tell.
type WorkerReport struct {
	Worker model.WorkerID  `json:"worker" msgpack:"w"`
	DC     model.DCID      `json:"dc" msgpack:"d"`
	Rack   string          `json:"rack" msgpack:"r"`
	Size   model.Resources `json:"size" msgpack:"s"`
	// Incarnation is drawn anew when the worker's process starts.
	Incarnation string `json:"incarnation" msgpack:"i"`
	// Seq grows with each report of an incarnation; older ones are ignored.
	Seq uint64 `json:"seq" msgpack:"q"`
	// Epoch is the newest the worker has seen.
	Epoch model.Epoch `json:"epoch" msgpack:"e"`
	// Base, unless 0, is the Seq of the incarnation's newest answered report.
	// Tasks then lists only what differs from it, and Gone the runs that it had
	// and that are to be forgotten. Control refuses the report if it doesn't know
	// Base as the newest; the worker then sends a whole one.
	Base uint64 `json:"base,omitempty" msgpack:"b,omitempty"`
	// Tasks lists every run the worker holds, and those ended since the last
	// report that was answered.
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
	// Used is measured use, some seconds old.
	Used model.Resources `json:"used" msgpack:"u"`
	// CheckpointMillis is the run time saved by the newest checkpoint.
	CheckpointMillis int64  `json:"checkpoint_ms,omitempty" msgpack:"c,omitempty"`
	Reason           string `json:"reason,omitempty" msgpack:"r,omitempty"`
}

// WorkerOrders answers a report. The worker counts LeaseMillis from the moment
// it sent the report; when it has run out the worker stops all its tasks. A
// worker refuses orders whose epoch is older than the newest it has seen.
type WorkerOrders struct {
	Epoch       model.Epoch `json:"epoch" msgpack:"e"`
	LeaseMillis int64       `json:"lease_ms" msgpack:"l"`
	// StartWithinMillis counts like LeaseMillis: later than that the worker
	// starts none of Start.
	StartWithinMillis int64          `json:"start_within_ms,omitempty" msgpack:"sw,omitempty"`
	Start             []TaskOrder    `json:"start,omitempty" msgpack:"s,omitempty"`
	Stop              []StopOrder    `json:"stop,omitempty" msgpack:"x,omitempty"`
	Throttle          []model.TaskID `json:"throttle,omitempty" msgpack:"t,omitempty"`
	// Known acknowledges ended runs; the worker may forget them.
	Known []RunID `json:"known,omitempty" msgpack:"k,omitempty"`
}

// RunID names one run of a task.
type RunID struct {
	Task    model.TaskID `json:"task" msgpack:"t"`
	Attempt uint32       `json:"attempt" msgpack:"a"`
}

// TaskOrder tells a worker to start a run. It is repeated until the run is reported.
type TaskOrder struct {
	RunID
	Job       model.JobID       `json:"job" msgpack:"j"`
	Workspace model.WorkspaceID `json:"workspace" msgpack:"m"`
	Size      model.Resources   `json:"size" msgpack:"s"`
	RunMillis int64             `json:"run_ms" msgpack:"r"`
	Service   bool              `json:"service" msgpack:"v"`
	// FromMillis is the checkpoint to go on from.
	FromMillis int64  `json:"from_ms,omitempty" msgpack:"f,omitempty"`
	Payload    string `json:"payload,omitempty" msgpack:"p,omitempty"`
}

// StopOrder tells a worker to end a run, with a checkpoint first if wanted.
type StopOrder struct {
	RunID
	Checkpoint bool   `json:"checkpoint" msgpack:"c"`
	Reason     string `json:"reason" msgpack:"r"`
}
