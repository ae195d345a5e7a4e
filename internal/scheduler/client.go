// Package scheduler implements the scheduler of a cell: it places waiting tasks,
// renews the leases of the workers and records the outcome of each run. It runs
// on the leader of the cell's replicated group. All state that must survive a
// change of leader is committed to the cell's replicated state before a worker is
// told of it.
package scheduler

import (
	"context"
	"errors"
	"time"

	"kumquatwing/internal/cell"
)

// WorkerTarget identifies one incarnation of a worker and its address.
type WorkerTarget struct {
	ID   cell.WorkerID
	Addr string
	// Incarnation is the number of the incarnation; a later one has a higher
	// number.
	Incarnation int64
}

// StartOrder tells a worker to start one run of a task.
type StartOrder struct {
	Task cell.TaskKey
	Run  int64
	Spec string
	// LeaseMillis is when the lease of the run ends, in milliseconds on the
	// worker's clock.
	LeaseMillis int64
	// Fence is the leader's fencing token; a worker refuses an order whose
	// token is lower than the highest one that it has seen.
	Fence      uint64
	Checkpoint string
	// Token is the placement policy's ticket for the worker, "" if none is
	// needed.
	Token string
}

// StopOrder tells a worker to stop one run of a task. Once the worker has taken
// the order, it starts neither this run nor an earlier one of the task.
type StopOrder struct {
	Task  cell.TaskKey
	Run   int64
	Fence uint64
}

// RenewOrder renews the lease on a worker's runs and requests the list of its
// running and finished runs.
type RenewOrder struct {
	Fence uint64
	// LeaseMillis is the new end of the lease, in milliseconds on the worker's
	// clock; 0 leaves the lease unchanged.
	LeaseMillis int64
	// AcknowledgedEnds is the number of the last run end that is acknowledged:
	// all ends up to it are recorded, and the worker may forget them.
	AcknowledgedEnds int64
	// Wait is how long the worker may delay its reply until a run finishes.
	Wait time.Duration
	// Dedicated sends the renewal on the connection that is reserved for the worker's
	// renewals, so that it delays no order.
	Dedicated bool
}

// RunningTask describes a run in progress, as its worker reports it.
type RunningTask struct {
	Task       cell.TaskKey
	Run        int64
	Checkpoint string
	// Percent is the share of the task's work that is done, from 0 to 100.
	Percent int
	// Load is the tail latency in milliseconds for a service task, and the CPU
	// use in thousandths of a core for any other task.
	Load float64
}

// FinishedTask describes a run that has ended, as its worker reports it.
type FinishedTask struct {
	// Number is the sequence number of the end among those of the worker's
	// incarnation, from 1.
	Number     int64
	Task       cell.TaskKey
	Run        int64
	Outcome    cell.Outcome
	Checkpoint string
}

// RenewReply is a worker's reply to a RenewOrder.
type RenewReply struct {
	// ClockMillis is the worker's clock at the reply, in milliseconds.
	ClockMillis int64
	// Incarnation is the number of the incarnation that replied, 0 if the worker did not say.
	Incarnation int64
	Running     []RunningTask
	Finished    []FinishedTask
	// MoreFinished says that the worker may have finished runs that it didn't list. It
	// lists them once the listed ones are acknowledged.
	MoreFinished bool
	// OddRows counts the rows that were left out, since they name no run.
	OddRows int
}

// Refusal is the reason why a worker refused an order.
type Refusal uint8

const (
	// RefusedFence: the worker has seen a higher fencing token.
	RefusedFence Refusal = iota + 1
	// RefusedEnded: the run or a later run of the task has ended or was stopped on
	// the worker.
	RefusedEnded
	// RefusedLeaseExpired: the lease in the order has already expired.
	RefusedLeaseExpired
	// RefusedCapacity: the worker lacks the free capacity for the task.
	RefusedCapacity
	// RefusedTicket: the ticket is missing, invalid or expired.
	RefusedTicket
	// RefusedUnhealthy: the worker takes no orders at present and did not act on
	// this one.
	RefusedUnhealthy
	// RefusedIncarnation: another incarnation replied at the address.
	RefusedIncarnation
	// RefusedInvalid: the worker could not parse the order.
	RefusedInvalid
)

// String implements fmt.Stringer.
func (r Refusal) String() string {
	return [...]string{"none", "fence", "old", "late", "room", "ticket", "unhealthy", "incarnation", "invalid"}[r]
}

// RefusedError reports that a worker refused an order. The order was not carried
// out and never will be.
type RefusedError struct{ Refusal Refusal }

// Error implements error.
func (e *RefusedError) Error() string { return "worker refused the order: " + e.Refusal.String() }

// ErrNotSent reports that no part of an order was sent to the worker, which
// therefore never carries it out. An order that waited too long for a connection
// gets this error.
var ErrNotSent = errors.New("scheduler: the order was not sent")

// permissionKey is the context key of the function that MayStillSend calls.
type permissionKey struct{}

// WithPermission returns a context for orders that may be sent only while permitted
// reports true.
func WithPermission(ctx context.Context, permitted func() bool) context.Context {
	return context.WithValue(ctx, permissionKey{}, permitted)
}

// MayStillSend reports whether the sender of an order still leads. A WorkerClient calls
// it right before it writes an order: the process may have been suspended since the
// order was given, and its clocks for timeouts don't count that time.
func MayStillSend(ctx context.Context) bool {
	permitted, ok := ctx.Value(permissionKey{}).(func() bool)
	return !ok || permitted()
}

// WorkerClient sends orders to workers. After an error other than *RefusedError
// and ErrNotSent, the order may or may not have been carried out, or may still be.
// Errors may be wrapped. An order whose context fails MayStillSend is not sent.
type WorkerClient interface {
	Start(ctx context.Context, w WorkerTarget, o StartOrder) error
	Stop(ctx context.Context, w WorkerTarget, o StopOrder) error
	RenewLease(ctx context.Context, w WorkerTarget, o RenewOrder) (*RenewReply, error)
}

// Advice is the placement policy's answer to a request about one step.
type Advice struct {
	// Tickets maps each worker that may run the step to the token of its ticket.
	Tickets map[cell.WorkerID]string
	// Valid is how long the tickets are valid, counted from the answer.
	Valid time.Duration
}

// Adviser requests advice from the placement policy. The scheduler makes one call
// at a time to each Adviser.
type Adviser interface {
	Advise(ctx context.Context, step cell.StepKey, workers []cell.WorkerID) (*Advice, error)
}
