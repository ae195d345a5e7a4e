package cell

import "kumquatwing/internal/consensus"

// Command is one entry of the cell's log; exactly one pointer is set.
type Command struct {
	// Leadership is the term of the scheduler that issued the command, 0 if none
	// did. A command from a scheduler that has been replaced is stale.
	Leadership uint64
	Lead       *Lead
	Submit     *Submit
	Cancel     *Cancel
	Configure  *Configure
	SetOut     *SetOut
	Workers    *Workers
	Starts     *Starts
	Ends       *Ends
	Due        *Due
	Forget     *Forget
}

// Lead makes the scheduler of a term the only one whose commands are applied. It
// never lowers the term.
type Lead struct{ Term uint64 }

// Submit stores a job. It changes nothing if a job with this ID exists, if the job's
// queue or workspace isn't configured, or if the job was cancelled before.
type Submit struct{ Job Job }

// Cancel cancels a job that has not ended. If the caller can't see such a job, it leaves a
// tombstone.
type Cancel struct {
	ID         JobID
	UnixMillis int64
	// Caller is who cancels the job, nil in commands of earlier versions.
	Caller *Caller
}

// Configure replaces the configuration if the new version is higher.
type Configure struct {
	Config Config
	// Document is the configuration as the operator sent it, which reads return.
	Document []byte
}

// SetOut takes a data centre out of service or back in.
type SetOut struct {
	DC  string
	Out bool
}

// Workers records reports from workers. Only a scheduler records a newer incarnation or
// another address of a known worker: the worker has confirmed it, and has listed the runs
// of the earlier incarnation as running.
type Workers struct {
	// Seen holds what workers reported about themselves.
	Seen []Worker
	// Gone lists the worker incarnations that have permanently ended.
	Gone []Incarnation
	// Left lists those that a leave call named, and Stayed those of them that have shown
	// since that they don't leave.
	Left, Stayed []Incarnation
}

// Start places one run of a task on a worker.
type Start struct {
	Task   TaskKey
	Run    int64
	Worker WorkerID
	// Born identifies the worker's incarnation that the plan was computed for.
	Born int64
}

// Starts places the runs of a plan. The tasks of a gang are placed all or none.
type Starts struct{ Starts []Start }

// Outcome is the way in which a run ended.
type Outcome uint8

const (
	// OutcomeDone means that the task succeeded.
	OutcomeDone Outcome = iota + 1
	// OutcomeFailed means that the task failed, which uses up an attempt.
	OutcomeFailed
	// OutcomeStopped, OutcomeLeaseExpired, OutcomeBroken and OutcomeAlone are ends
	// that the task didn't cause: the scheduler stopped the run, the worker's lease
	// expired, or another member of the gang caused it. They use up no attempt.
	OutcomeStopped
	OutcomeLeaseExpired
	OutcomeBroken
	OutcomeAlone
	// OutcomeLost means that the run is certain not to be running now or later, and
	// its worker has reported no end.
	OutcomeLost
)

// String implements fmt.Stringer.
func (o Outcome) String() string {
	return [...]string{"none", "done", "failed", "stopped", "lapsed", "broken", "alone", "lost"}[o]
}

// End is the end of one run on one worker.
type End struct {
	Task       TaskKey
	Run        int64
	Worker     WorkerID
	Born       int64
	Outcome    Outcome
	Checkpoint string
	// WorkMillis is the run time in milliseconds, at nominal speed, of a run that began
	// without a checkpoint and succeeded; 0 if it was not measured.
	WorkMillis int64
	// Late says that the run was recorded as lost, or was being so, when its worker, which had
	// been out of reach, listed it as done. False in commands of earlier versions.
	Late bool
}

// Ends records the ends of runs, and with them what was learnt about the speed of workers.
type Ends struct {
	Ends       []End
	UnixMillis int64
	// Speeds holds the lasting speeds of workers that have changed, nil in commands of
	// earlier versions.
	Speeds []WorkerSpeed
}

// OccurrenceKey identifies an occurrence of a scheduled job, counted from 0.
type OccurrenceKey struct {
	Job    JobID
	Number int
}

// Due creates occurrences of scheduled jobs, except for those that exist.
type Due struct {
	Occurrences []OccurrenceKey
	// Jobs lists the jobs whose next occurrence a command of an earlier version creates.
	Jobs []JobID
}

// Forget deletes jobs that ended long ago, and tombstones of cancels long ago.
type Forget struct {
	Jobs       []JobID
	Tombstones []Tombstone
}

// Encode returns the command encoded as a log entry.
func (c *Command) Encode() ([]byte, error) { return consensus.Encode(c) }

// Result is what applying a command returns to its proposer.
type Result struct {
	// Stale reports that the command changed nothing, since the scheduler that
	// issued it has been replaced.
	Stale bool
	// Known reports that a job with the submitted job's ID existed already.
	Known bool
	// Unknown reports that the job to cancel doesn't exist, or that the queue or the
	// workspace of the submitted job doesn't.
	Unknown bool
	// Cancelled reports that the submitted job was cancelled before.
	Cancelled bool
	// Full reports that a cancel was not recorded, since the workspace has too many
	// tombstones.
	Full bool
	// Accepted holds the indexes of the starts that were placed, in ascending order.
	Accepted []int
}

// DecodeResult decodes a result of State.Apply. Empty data gives the zero Result.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	if len(data) == 0 {
		return r, nil
	}
	err := consensus.Decode(data, &r)
	return r, err
}
