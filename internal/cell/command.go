package cell

import "kumquatwing/internal/consensus"

// Command is one entry of the cell's log; exactly one pointer is set.
type Command struct {
	// Leadership is the term of the scheduler that decided the command, 0 if
	// none did. A command of a scheduler that has been replaced is stale.
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

// Lead makes the scheduler of a term the only one whose commands count.
type Lead struct{ Term uint64 }

// Submit stores a job; an ID that is known keeps its job.
type Submit struct{ Job Job }

// Cancel ends a job.
type Cancel struct {
	ID         JobID
	UnixMillis int64
}

// Configure takes a configuration if its version is higher than the one held.
type Configure struct {
	Config Config
	// Document is what the operator sent, returned on reads.
	Document []byte
}

// SetOut takes a data centre out of service or back in.
type SetOut struct {
	DC  string
	Out bool
}

// Workers records what workers said of themselves.
type Workers struct {
	Seen []Worker
	// Gone lists incarnations that ended for good.
	Gone []Incarnation
}

// Start places one run of a task.
type Start struct {
	Task   TaskKey
	Run    int64
	Worker WorkerID
	// Born names the worker's incarnation the decision was made for.
	Born int64
}

// Starts is a plan: tasks of a gang are placed all or none.
type Starts struct{ Starts []Start }

// Outcome says how a run ended.
type Outcome uint8

const (
	// OutcomeDone: the task succeeded.
	OutcomeDone Outcome = iota + 1
	// OutcomeFailed: it failed, which counts as an attempt.
	OutcomeFailed
	// OutcomeStopped, OutcomeLapsed, OutcomeBroken and OutcomeAlone are ends
	// that were caused by us, by a lease or by another member of a gang.
	OutcomeStopped
	OutcomeLapsed
	OutcomeBroken
	OutcomeAlone
	// OutcomeLost: the run surely isn't running and never will be again, and
	// its worker listed no end.
	OutcomeLost
)

// String implements fmt.Stringer.
func (o Outcome) String() string {
	return [...]string{"none", "done", "failed", "stopped", "lapsed", "broken", "alone", "lost"}[o]
}

// End reports the end of one run at one worker.
type End struct {
	Task       TaskKey
	Run        int64
	Worker     WorkerID
	Born       int64
	Outcome    Outcome
	Checkpoint string
}

// Ends records ends of runs.
type Ends struct {
	Ends       []End
	UnixMillis int64
}

// Due creates the next occurrence of scheduled jobs.
type Due struct{ Jobs []JobID }

// Forget drops jobs that ended long ago.
type Forget struct{ Jobs []JobID }

// Encode returns the command's log entry.
func (c *Command) Encode() ([]byte, error) { return consensus.Encode(c) }

// Result is what applying a command returns to its proposer.
type Result struct {
	// Stale says that the command changed nothing, since the scheduler that
	// decided it has been replaced.
	Stale bool
	// Known says that a submitted job was there already.
	Known bool
	// Unknown says that a cancelled job isn't there.
	Unknown bool
	// Accepted holds the indexes of the starts that were placed.
	Accepted []int
}

// DecodeResult reverses the encoding of Apply's result.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	if len(data) == 0 {
		return r, nil
	}
	err := consensus.Decode(data, &r)
	return r, err
}
