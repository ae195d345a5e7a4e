// Package cellapi carries the calls of entry VMs, workers and operators to the
// leader of a cell. Any control process takes a call and relays it to the
// leader once.
package cellapi

import (
	"time"

	"kumquatwing/internal/cell"
)

// Topics of the calls.
const (
	topicSubmit    = "cell.submit"
	topicJob       = "cell.job"
	topicCancel    = "cell.cancel"
	topicQueue     = "cell.queue"
	topicConfigure = "cell.configure"
	topicConfig    = "cell.config"
	topicSetOut    = "cell.set-out"
	topicReport    = "cell.report"
	topicLeave     = "cell.leave"
	topicHello     = "cell.hello"
	topicAdvise    = "cell.advise"
	// leaderSuffix marks a relayed call, which is not relayed again.
	leaderSuffix = "@leader"
)

// Place names a queue by where callers reach it, and who calls.
type Place struct {
	Host string
	Path string
	// Key is the caller's key, "" for none.
	Key string
}

// SubmitRequest hands a job in; it is idempotent by the job's ID.
type SubmitRequest struct {
	Place    Place
	ID       cell.JobID
	Spec     string
	Steps    []cell.Step
	Schedule cell.Schedule
}

// SubmitReply says that the job is stored.
type SubmitReply struct {
	// Known says that it was stored before.
	Known bool
}

// JobRequest asks for a job.
type JobRequest struct {
	Place Place
	ID    cell.JobID
}

// JobReply is a job's state.
type JobReply struct {
	State  cell.JobState
	Reason string
}

// CancelReply confirms a durable cancellation.
type CancelReply struct{}

// QueueRequest asks how many jobs of a queue have not begun.
type QueueRequest struct{ Place Place }

// QueueReply counts the jobs for which no task has started.
type QueueReply struct{ Waiting int }

// ConfigureRequest declares a configuration.
type ConfigureRequest struct {
	Config   cell.Config
	Document []byte
}

// ConfigureReply confirms that a configuration is durable and in force, or
// that a newer one was already.
type ConfigureReply struct{}

// ConfigRequest asks for the newest configuration.
type ConfigRequest struct{}

// ConfigReply is the configuration as the operator sent it.
type ConfigReply struct{ Document []byte }

// SetOutRequest takes a data centre out or back in.
type SetOutRequest struct {
	DC  string
	Out bool
}

// SetOutReply confirms that the change is durable and in force.
type SetOutReply struct{}

// ReportRequest is what a worker says of itself.
type ReportRequest struct {
	Worker cell.Worker
	// Sequence orders the reports of one incarnation.
	Sequence int64
	// Remaining is the least time that a draining worker has left.
	Remaining time.Duration
}

// ReportReply confirms a report.
type ReportReply struct{}

// LeaveRequest says that a worker is about to end.
type LeaveRequest struct{ ID cell.WorkerID }

// LeaveReply confirms it.
type LeaveReply struct{}

// HelloRequest says that a process is there.
type HelloRequest struct {
	// Addr is where the process's wire node listens.
	Addr string
	DC   string
	// Adviser says that it can ask the placement policy.
	Adviser bool
	// Member is set by a control process that is not in the group yet.
	Member *Member
}

// Member is a control process that wants to join the group.
type Member struct {
	ID   uint64
	VM   string
	Addr string
}

// HelloReply tells where the cell's control processes are.
type HelloReply struct {
	Leader   string
	Controls []string
	// Configured says that the cell has a configuration.
	Configured bool
}

// AdviseRequest asks a process to call the placement policy.
type AdviseRequest struct {
	Step    cell.StepKey
	Workers []cell.WorkerID
}

// AdviseReply is the policy's answer.
type AdviseReply struct {
	Workers []cell.WorkerID
	Tokens  []string
	Valid   time.Duration
}
