// Package scheduler leads a cell: it places waiting tasks, keeps the leases of
// the workers and records what became of each run. It runs on the member that
// leads the cell's group; everything that must survive it is in the cell's
// tables before a worker hears of it.
package scheduler

import (
	"context"
	"time"

	"kumquatwing/internal/cell"
)

// Target names one incarnation of a worker.
type Target struct {
	ID   cell.WorkerID
	Addr string
	Born int64
}

// StartOrder starts one run of a task.
type StartOrder struct {
	Task cell.TaskKey
	Run  int64
	Spec string
	// LeaseMillis is the end of the lease on the worker's clock.
	LeaseMillis int64
	// Fence is the leader's fencing token; a worker obeys none lower than it has seen.
	Fence      uint64
	Checkpoint string
	// Token is the ticket of the placement policy, "" for none.
	Token string
}

// StopOrder stops one run; afterwards neither it nor an earlier run starts there.
type StopOrder struct {
	Task  cell.TaskKey
	Run   int64
	Fence uint64
}

// HoldOrder renews the lease of all that a worker runs and asks what that is.
type HoldOrder struct {
	Fence uint64
	// LeaseMillis is the new end of the lease on the worker's clock; 0 leaves it.
	LeaseMillis int64
	// Seen is the number of the last end that was recorded.
	Seen int64
	// Wait lets the answer wait for an end.
	Wait time.Duration
}

// RunningTask is a run that a worker has.
type RunningTask struct {
	Task       cell.TaskKey
	Run        int64
	Checkpoint string
	// Percent is how much of its work is done.
	Percent int
	// Load is the tail latency of a service task in milliseconds, and the
	// thousandths of a core in use of any other.
	Load float64
}

// FinishedTask is a run that ended at a worker.
type FinishedTask struct {
	// Number counts the ends of the incarnation, from 1.
	Number     int64
	Task       cell.TaskKey
	Run        int64
	Outcome    cell.Outcome
	Checkpoint string
}

// HoldReply is what a worker answers to a HoldOrder.
type HoldReply struct {
	ClockMillis int64
	// Born names the incarnation that answered.
	Born     int64
	Running  []RunningTask
	Finished []FinishedTask
}

// Refusal says why a worker didn't take an order.
type Refusal uint8

const (
	// RefusedFence: the worker has seen a higher fencing token.
	RefusedFence Refusal = iota + 1
	// RefusedOld: the run, or a later one, was stopped or ended there.
	RefusedOld
	// RefusedLate: the lease in the order has passed.
	RefusedLate
	// RefusedRoom: the task doesn't fit.
	RefusedRoom
	// RefusedTicket: the ticket is missing, wrong or too old.
	RefusedTicket
	// RefusedUnhealthy: the worker takes nothing now and has done nothing.
	RefusedUnhealthy
	// RefusedIncarnation: another incarnation answers at the address.
	RefusedIncarnation
	// RefusedInvalid: the worker can't read the order.
	RefusedInvalid
)

// String implements fmt.Stringer.
func (r Refusal) String() string {
	return [...]string{"none", "fence", "old", "late", "room", "ticket", "unhealthy", "incarnation", "invalid"}[r]
}

// RefusedError is a clear refusal: the order was not and will not be carried out.
type RefusedError struct{ Refusal Refusal }

// Error implements error.
func (e *RefusedError) Error() string { return "worker refused: " + e.Refusal.String() }

// WorkerClient carries orders to workers. An error that is no *RefusedError
// leaves open whether the order was or will be carried out.
type WorkerClient interface {
	Start(ctx context.Context, w Target, o StartOrder) error
	Stop(ctx context.Context, w Target, o StopOrder) error
	Hold(ctx context.Context, w Target, o HoldOrder) (*HoldReply, error)
}

// Advice is the placement policy's answer for one step.
type Advice struct {
	// Tickets maps the workers that may run the step to their tokens.
	Tickets map[cell.WorkerID]string
	// Valid is how long the tickets are good.
	Valid time.Duration
}

// Adviser asks the placement policy. It serves one call at a time.
type Adviser interface {
	Advise(ctx context.Context, step cell.StepKey, workers []cell.WorkerID) (*Advice, error)
}
