// Package cellapi implements the calls by which entry VMs, workers and operators
// use a cell. Any control process accepts a call; one that is not the leader
// forwards it to the leader, which does not forward it again.
package cellapi

import (
	"time"

	"kumquatwing/internal/cell"
)

// Wire topics of the calls.
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
	topicPing      = "cell.ping"
	// leaderSuffix marks the topic of a forwarded call, which is not forwarded
	// again.
	leaderSuffix = "@leader"
)

// CallTarget identifies a queue by the host and path of a call, and the caller by
// its key.
type CallTarget struct {
	Host string
	Path string
	// Key is the caller's key, "" for none.
	Key string
}

// SubmitRequest submits a job. It is idempotent by the job's ID.
type SubmitRequest struct {
	Place    CallTarget
	ID       cell.JobID
	Spec     string
	Steps    []cell.Step
	Schedule cell.Schedule
	// Repeated says that an earlier attempt at this request may have run.
	Repeated bool
}

// SubmitReply confirms that the job is stored durably.
type SubmitReply struct {
	// Known says that the job had been submitted before.
	Known bool
}

// JobRequest identifies a job, to read its state or to cancel it.
type JobRequest struct {
	Place CallTarget
	ID    cell.JobID
}

// JobReply is the state of a job.
type JobReply struct {
	State  cell.JobState
	Reason string
}

// CancelReply confirms that the cancellation is durable.
type CancelReply struct{}

// QueueRequest requests the number of waiting jobs of a queue.
type QueueRequest struct{ Place CallTarget }

// QueueReply is the number of jobs of a queue of which no task has been placed.
type QueueReply struct{ Waiting int }

// ConfigureRequest applies a configuration.
type ConfigureRequest struct {
	Config cell.Config
	// Document is the configuration as the operator sent it.
	Document []byte
}

// ConfigureReply confirms that the configuration is durable and in force, or that
// one with the same or a higher version was already.
type ConfigureReply struct{}

// ConfigRequest requests the newest configuration.
type ConfigRequest struct{}

// ConfigReply is the configuration as the operator sent it.
type ConfigReply struct{ Document []byte }

// SetOutRequest takes a data centre out of service or puts it back in service.
type SetOutRequest struct {
	DC  string
	Out bool
	// Revision is the revision that the change is based on; Client.SetOut sets it.
	Revision ServiceRevision
}

// SetOutReply confirms that the change is durable and in force.
type SetOutReply struct{}

// ReportRequest is a worker's report of its properties and state.
type ReportRequest struct {
	Worker cell.Worker
	// Sequence orders the reports of one incarnation of the worker.
	Sequence int64
	// Remaining is the minimum time until a draining worker shuts down.
	Remaining time.Duration
}

// ReportReply confirms that the changes of the report are durable, or that the
// report was out of date.
type ReportReply struct{}

// LeaveRequest announces that a worker is about to shut down.
type LeaveRequest struct{ ID cell.WorkerID }

// LeaveReply confirms that the worker gets no new tasks.
type LeaveReply struct{}

// HelloRequest announces a running process to the cell.
type HelloRequest struct {
	// Addr is the address of the process's wire node.
	Addr string
	DC   string
	// Adviser says that the process can request advice from the placement
	// policy.
	Adviser bool
	// Member is set by a control process, which requests to join the group unless it
	// is a member. A process that was removed while it was down doesn't know that.
	Member *Member
}

// Member is a control process as a member of the group.
type Member struct {
	ID   uint64
	VM   string
	Addr string
}

// HelloReply lists the cell's control processes.
type HelloReply struct {
	// Leader is the wire address of the leader, "" if none is known, and Term the
	// term in which it leads.
	Leader string
	Term   uint64
	// Controls are the wire addresses of all control processes, sorted.
	Controls []string
	// Configured says that the cell has a configuration.
	Configured bool
	// ServiceChanges counts the changes of each data centre's service that the leader has
	// made in Term.
	ServiceChanges map[string]uint64
	// MaxBodyBytes is the limit on callers' bodies in the configuration, 0 for none.
	MaxBodyBytes int64
}

// AdviseRequest asks a process to request advice from the placement policy about
// workers for a step.
type AdviseRequest struct {
	Step    cell.StepKey
	Workers []cell.WorkerID
}

// AdviseReply is the policy's answer.
type AdviseReply struct {
	// Workers are the workers that may run the step.
	Workers []cell.WorkerID
	// Tokens holds the token of the ticket of each of Workers, in the same order.
	Tokens []string
	// Valid is how long the tickets are valid.
	Valid time.Duration
}
