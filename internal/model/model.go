// Package model holds the typed entities that the control state, the scheduler
// and the request path share. It has no behaviour beyond small value methods.
package model

// Identifiers. Each is unique within the fleet unless its comment says otherwise.
type (
	// WorkspaceID names a workspace.
	WorkspaceID string
	// KeyID is the public part of a workspace's key.
	KeyID string
	// JobID names a job.
	JobID string
	// TaskID names one task of a job: the job's id, a dot and the task's index.
	TaskID string
	// WorkerID names a worker.
	WorkerID string
	// VMID names an entry VM.
	VMID string
	// DCID names a data centre.
	DCID string
	// ServerID names a backend server.
	ServerID string
	// QueueName names a queue of requests.
	QueueName string
	// RequestID names one caller's request.
	RequestID string
	// Workload names a kind of job or request of one workspace; it is the lowest
	// level of the settings tree.
	Workload string
)

// Epoch orders decisions about one entity: a holder refuses an epoch older
// than the newest it has seen. The high 32 bits are the generation of the data
// centre's group, the low 32 bits the term of its leader.
type Epoch uint64

// epochTermBits is the width of the leader's term within an Epoch.
const epochTermBits = 32

// NewEpoch joins a group's generation and its leader's term.
func NewEpoch(generation, term uint64) Epoch {
	return Epoch(generation<<epochTermBits | term&(1<<epochTermBits-1))
}

// Generation is the group's part of the epoch.
func (e Epoch) Generation() uint64 { return uint64(e) >> epochTermBits }

// Term returns the leader's term that the epoch belongs to.
func (e Epoch) Term() uint64 { return uint64(e) & (1<<epochTermBits - 1) }

// Class is a job's scheduling policy.
type Class string

// The classes of jobs.
const (
	// ClassService runs until cancelled, spread over racks and data centres.
	ClassService Class = "service"
	// ClassBatch runs to an end, packed, and may be preempted.
	ClassBatch Class = "batch"
	// ClassGang needs all its tasks placed at once.
	ClassGang Class = "gang"
	// ClassUrgent goes first and may preempt batch work.
	ClassUrgent Class = "urgent"
)

// Valid reports whether c is one of the known classes.
func (c Class) Valid() bool {
	switch c {
	case ClassService, ClassBatch, ClassGang, ClassUrgent:
		return true
	}
	return false
}

// Workspace is a group of submitters with a share of the cell and an upper limit.
type Workspace struct {
	ID WorkspaceID `msgpack:"id" json:"id"`
	// Share is the workspace's weight when the cell is full; at least 1.
	Share int64 `msgpack:"share" json:"share"`
	// Limit bounds what the workspace may run over the whole fleet at any time.
	Limit Resources `msgpack:"limit" json:"limit"`
}

// Key lets its holder act for one workspace. Only the hash of the secret is kept.
type Key struct {
	ID        KeyID       `msgpack:"id" json:"id"`
	Workspace WorkspaceID `msgpack:"workspace" json:"workspace"`
	Hash      [32]byte    `msgpack:"hash" json:"-"`
	Withdrawn bool        `msgpack:"withdrawn" json:"withdrawn"`
	// Revision is the fleet revision that last changed the key.
	Revision uint64 `msgpack:"rev" json:"revision"`
}

// Queue is a named stream of requests to backend servers.
type Queue struct {
	Name QueueName `msgpack:"name" json:"name"`
	// Open queues take requests without a key.
	Open bool `msgpack:"open" json:"open"`
	// Workspace owns a keyed queue; only its keys open it.
	Workspace WorkspaceID `msgpack:"workspace" json:"workspace"`
	// Workload is the settings level of the queue's requests.
	Workload Workload `msgpack:"workload" json:"workload"`
}

// DataCentre is a place with its own entry VMs, workers and backend servers.
type DataCentre struct {
	ID     DCID   `msgpack:"id" json:"id"`
	Region string `msgpack:"region" json:"region"`
	// Out is set while operators have taken the data centre out of service.
	Out bool `msgpack:"out" json:"out"`
	// Revision is the fleet revision that last changed Out.
	Revision uint64 `msgpack:"rev" json:"revision"`
}

// JobSpec is what a workspace submits.
type JobSpec struct {
	ID        JobID       `msgpack:"id" json:"id"`
	Workspace WorkspaceID `msgpack:"workspace" json:"workspace"`
	Workload  Workload    `msgpack:"workload" json:"workload"`
	Class     Class       `msgpack:"class" json:"class"`
	// Tasks is the number of tasks; at least 1.
	Tasks int `msgpack:"tasks" json:"tasks"`
	// Size is the declared need of each task.
	Size Resources `msgpack:"size" json:"size"`
	// RunMillis is the declared run time of each task in milliseconds; 0 for services.
	RunMillis int64 `msgpack:"run_ms" json:"run_ms"`
	// Idempotent jobs may have a task started again after it may have run.
	Idempotent bool `msgpack:"idempotent" json:"idempotent"`
	// MinRunning is how many tasks of a service a planned move keeps running.
	MinRunning int `msgpack:"min_running" json:"min_running"`
	// DataCentres limits where the job may run; empty means anywhere.
	DataCentres []DCID `msgpack:"dcs" json:"data_centres,omitempty"`
	// Payload is handed to the worker as it is.
	Payload string `msgpack:"payload" json:"payload,omitempty"`
}

// TaskState is where a task stands.
type TaskState string

// The states of a task.
const (
	// TaskPending waits for a placement.
	TaskPending TaskState = "pending"
	// TaskStarting is placed; its worker has not yet confirmed the start.
	TaskStarting TaskState = "starting"
	// TaskRunning is confirmed by its worker.
	TaskRunning TaskState = "running"
	// TaskStopping was told to stop; its worker has not yet confirmed the end.
	TaskStopping TaskState = "stopping"
	// TaskEnded has a final outcome.
	TaskEnded TaskState = "ended"
)

// Outcome is how a task or job ended.
type Outcome string

// The outcomes.
const (
	OutcomeNone      Outcome = ""
	OutcomeSucceeded Outcome = "succeeded"
	OutcomeFailed    Outcome = "failed"
	OutcomeCancelled Outcome = "cancelled"
	OutcomeRefused   Outcome = "refused"
	// OutcomeUnknown marks a task that may have run and may not be repeated.
	OutcomeUnknown Outcome = "may-have-run"
)

// Task is one unit of a job that runs on one worker at a time.
type Task struct {
	ID    TaskID    `msgpack:"id" json:"id"`
	Job   JobID     `msgpack:"job" json:"job"`
	Index int       `msgpack:"index" json:"index"`
	State TaskState `msgpack:"state" json:"state"`
	// Worker holds the task in every state but pending and ended.
	Worker WorkerID `msgpack:"worker" json:"worker,omitempty"`
	// Attempt counts placements; together with ID it names one run.
	Attempt uint32 `msgpack:"attempt" json:"attempt"`
	// Epoch is the one the placement was decided under.
	Epoch   Epoch   `msgpack:"epoch" json:"epoch"`
	Outcome Outcome `msgpack:"outcome" json:"outcome,omitempty"`
	// Reason is a stable code for the last change of state.
	Reason string `msgpack:"reason" json:"reason,omitempty"`
	// Reported is the newest usage the worker has reported.
	Reported Resources `msgpack:"reported" json:"reported"`
	// Checkpointed is the progress saved so far, in milliseconds of run time.
	CheckpointMillis int64 `msgpack:"checkpoint_ms" json:"checkpoint_ms,omitempty"`
}

// Holds reports whether the task takes room on its worker.
func (t *Task) Holds() bool {
	return t.State == TaskStarting || t.State == TaskRunning || t.State == TaskStopping
}

// WorkerState is a worker's standing with the scheduler.
type WorkerState string

// The states of a worker.
const (
	WorkerReady WorkerState = "ready"
	// WorkerQuarantined gets no new work after failing too much of it.
	WorkerQuarantined WorkerState = "quarantined"
	// WorkerLost has not renewed its lease.
	WorkerLost WorkerState = "lost"
)

// Worker is a machine that runs tasks under a lease.
type Worker struct {
	ID    WorkerID    `msgpack:"id" json:"id"`
	DC    DCID        `msgpack:"dc" json:"dc"`
	Rack  string      `msgpack:"rack" json:"rack"`
	Size  Resources   `msgpack:"size" json:"size"`
	State WorkerState `msgpack:"state" json:"state"`
	// Incarnation changes whenever the worker's process starts anew.
	Incarnation string `msgpack:"incarnation" json:"incarnation"`
	// Reason is a stable code for the last change of state.
	Reason string `msgpack:"reason" json:"reason,omitempty"`
}
