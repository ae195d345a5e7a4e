// Package model defines the types that the control state, the scheduler and the
// request path share. They have no behaviour beyond small value methods.
package model

// Identifiers. Each is unique within the fleet unless its comment says otherwise.
type (
	// WorkspaceID names a workspace.
	WorkspaceID string
	// KeyID is the public part of a workspace's API key.
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
	// Workload names a kind of job or request of one workspace. Workloads are the
	// lowest level of the settings tree.
	Workload string
)

// Epoch is a fencing token: it orders decisions about one entity, and a receiver
// refuses a decision whose epoch is older than the newest one it has seen. The
// high 32 bits are the generation of the data centre's group, the low 32 bits
// the term of its leader.
type Epoch uint64

// epochTermBits is the width of the leader's term within an Epoch.
const epochTermBits = 32

// NewEpoch returns the epoch of a group's generation and its leader's term. Only
// the low 32 bits of each are kept.
func NewEpoch(generation, term uint64) Epoch {
	return Epoch(generation<<epochTermBits | term&(1<<epochTermBits-1))
}

// Generation returns the generation of the data centre's group.
func (e Epoch) Generation() uint64 { return uint64(e) >> epochTermBits }

// Term returns the term of the group's leader.
func (e Epoch) Term() uint64 { return uint64(e) & (1<<epochTermBits - 1) }

// Class is the scheduling class of a job.
type Class string

// The classes of jobs.
const (
	// ClassService tasks run until cancelled and are spread over racks and data
	// centres.
	ClassService Class = "service"
	// ClassBatch tasks run to completion, are packed onto few workers and may be
	// preempted.
	ClassBatch Class = "batch"
	// ClassGang tasks are placed all together or not at all.
	ClassGang Class = "gang"
	// ClassUrgent tasks are placed before the other classes and may preempt batch
	// tasks.
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

// Workspace is a group of submitters with a share of each data centre's capacity
// and an upper limit over the fleet.
type Workspace struct {
	ID WorkspaceID `msgpack:"id" json:"id"`
	// Share is the weight by which the workspaces share a data centre's capacity
	// when demand exceeds it; at least 1.
	Share int64 `msgpack:"share" json:"share"`
	// Limit is the most capacity that the workspace's tasks may use at any time,
	// summed over the whole fleet.
	Limit Resources `msgpack:"limit" json:"limit"`
}

// Key is an API key, which authorizes its holder to act for one workspace. Only
// the hash of its secret is stored.
type Key struct {
	ID        KeyID       `msgpack:"id" json:"id"`
	Workspace WorkspaceID `msgpack:"workspace" json:"workspace"`
	Hash      [32]byte    `msgpack:"hash" json:"-"`
	// Revoked is set once the key has been revoked.
	Revoked bool `msgpack:"withdrawn" json:"withdrawn"`
	// Revision is the fleet revision that last changed the key.
	Revision uint64 `msgpack:"rev" json:"revision"`
}

// Queue is a named stream of requests to backend servers.
type Queue struct {
	Name QueueName `msgpack:"name" json:"name"`
	// Open queues accept requests without a key.
	Open bool `msgpack:"open" json:"open"`
	// Workspace owns a queue that is not open; only keys of this workspace are
	// accepted.
	Workspace WorkspaceID `msgpack:"workspace" json:"workspace"`
	// Workload is the workload whose settings apply to the queue's requests; empty
	// if none do.
	Workload Workload `msgpack:"workload" json:"workload"`
}

// DataCentre is a site with entry VMs, workers and backend servers of its own.
type DataCentre struct {
	ID     DCID   `msgpack:"id" json:"id"`
	Region string `msgpack:"region" json:"region"`
	// Out is set while operators have taken the data centre out of service.
	Out bool `msgpack:"out" json:"out"`
	// Revision is the fleet revision that last changed Out.
	Revision uint64 `msgpack:"rev" json:"revision"`
}

// JobSpec is the specification of a job as a workspace submits it.
type JobSpec struct {
	ID        JobID       `msgpack:"id" json:"id"`
	Workspace WorkspaceID `msgpack:"workspace" json:"workspace"`
	Workload  Workload    `msgpack:"workload" json:"workload"`
	Class     Class       `msgpack:"class" json:"class"`
	// Tasks is the number of tasks; at least 1.
	Tasks int `msgpack:"tasks" json:"tasks"`
	// Size is the declared resource use of each task.
	Size Resources `msgpack:"size" json:"size"`
	// RunMillis is the declared run time of each task in milliseconds; 0 for
	// services.
	RunMillis int64 `msgpack:"run_ms" json:"run_ms"`
	// Idempotent allows a task to be started again even if an earlier attempt may
	// have run.
	Idempotent bool `msgpack:"idempotent" json:"idempotent"`
	// MinRunning is the number of tasks of a service that must keep running while
	// its tasks are moved, for example out of a data centre.
	MinRunning int `msgpack:"min_running" json:"min_running"`
	// DataCentres lists the data centres in which the job may run; empty means all.
	DataCentres []DCID `msgpack:"dcs" json:"data_centres,omitempty"`
	// Payload is passed to the worker unchanged.
	Payload string `msgpack:"payload" json:"payload,omitempty"`
}

// TaskState is the state of a task in its life cycle.
type TaskState string

// The states of a task.
const (
	// TaskPending tasks wait for a placement.
	TaskPending TaskState = "pending"
	// TaskStarting tasks are placed; the worker has not yet confirmed the start.
	TaskStarting TaskState = "starting"
	// TaskRunning tasks have been started; the worker has confirmed it.
	TaskRunning TaskState = "running"
	// TaskStopping tasks have been told to stop; the worker has not yet confirmed
	// the end.
	TaskStopping TaskState = "stopping"
	// TaskEnded tasks have a final outcome.
	TaskEnded TaskState = "ended"
)

// Outcome is the result of a task or job; OutcomeNone until it has ended.
type Outcome string

// The outcomes.
const (
	OutcomeNone      Outcome = ""
	OutcomeSucceeded Outcome = "succeeded"
	OutcomeFailed    Outcome = "failed"
	OutcomeCancelled Outcome = "cancelled"
	OutcomeRefused   Outcome = "refused"
	// OutcomeUnknown is the outcome of a task that may or may not have run and must
	// not be started again.
	OutcomeUnknown Outcome = "may-have-run"
)

// Task is one unit of a job that runs on one worker at a time.
type Task struct {
	ID    TaskID    `msgpack:"id" json:"id"`
	Job   JobID     `msgpack:"job" json:"job"`
	Index int       `msgpack:"index" json:"index"`
	State TaskState `msgpack:"state" json:"state"`
	// Worker is the worker on which the task is placed; set in the states
	// starting, running and stopping.
	Worker WorkerID `msgpack:"worker" json:"worker,omitempty"`
	// Attempt counts the placements of the task; together with ID it identifies
	// one run.
	Attempt uint32 `msgpack:"attempt" json:"attempt"`
	// Epoch is the epoch in which the placement was decided.
	Epoch   Epoch   `msgpack:"epoch" json:"epoch"`
	Outcome Outcome `msgpack:"outcome" json:"outcome,omitempty"`
	// Reason is a stable code for the last change of state.
	Reason string `msgpack:"reason" json:"reason,omitempty"`
	// Reported is the latest resource usage that the worker reported.
	Reported Resources `msgpack:"reported" json:"reported"`
	// CheckpointMillis is the progress saved by the latest checkpoint, in
	// milliseconds of run time.
	CheckpointMillis int64 `msgpack:"checkpoint_ms" json:"checkpoint_ms,omitempty"`
}

// Active reports whether the task occupies capacity on its worker.
func (t *Task) Active() bool {
	return t.State == TaskStarting || t.State == TaskRunning || t.State == TaskStopping
}

// WorkerState is the state of a worker as the scheduler sees it.
type WorkerState string

// The states of a worker.
const (
	WorkerReady WorkerState = "ready"
	// WorkerQuarantined workers get no new tasks, since too many tasks in a row
	// failed on them.
	WorkerQuarantined WorkerState = "quarantined"
	// WorkerLost workers have let their lease expire.
	WorkerLost WorkerState = "lost"
)

// Worker is a machine that runs tasks under a lease.
type Worker struct {
	ID    WorkerID    `msgpack:"id" json:"id"`
	DC    DCID        `msgpack:"dc" json:"dc"`
	Rack  string      `msgpack:"rack" json:"rack"`
	Size  Resources   `msgpack:"size" json:"size"`
	State WorkerState `msgpack:"state" json:"state"`
	// Incarnation identifies one process of the worker; it changes at every
	// restart.
	Incarnation string `msgpack:"incarnation" json:"incarnation"`
	// Reason is a stable code for the last change of state.
	Reason string `msgpack:"reason" json:"reason,omitempty"`
}
