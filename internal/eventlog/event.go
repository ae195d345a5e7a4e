// Package eventlog records what every process decided and why. The records are
// the only source of `kqctl why`, of the time line and of the histories that
// tests check.
package eventlog

import "kumquatwing/internal/model"

// Kind is a stable name for what happened, "part.verb".
type Kind string

// Stamp is a hybrid logical time: wall milliseconds that never run back, and a
// counter that orders events within one of them. Source: Kulkarni et al.,
// "Logical Physical Clocks", 2014.
type Stamp struct {
	WallMillis int64  `json:"ms" msgpack:"w"`
	Counter    uint32 `json:"n" msgpack:"c"`
}

// Event is one record. Empty fields don't apply.
type Event struct {
	At Stamp `json:"at"`
	// Process and VM say who recorded the event.
	Process string     `json:"process"`
	VM      model.VMID `json:"vm,omitempty"`
	Kind    Kind       `json:"kind"`

	DC        model.DCID        `json:"dc,omitempty"`
	Workspace model.WorkspaceID `json:"workspace,omitempty"`
	Job       model.JobID       `json:"job,omitempty"`
	Task      model.TaskID      `json:"task,omitempty"`
	Attempt   uint32            `json:"attempt,omitempty"`
	Worker    model.WorkerID    `json:"worker,omitempty"`
	Server    model.ServerID    `json:"server,omitempty"`
	Queue     model.QueueName   `json:"queue,omitempty"`
	Request   model.RequestID   `json:"request,omitempty"`
	Key       model.KeyID       `json:"key,omitempty"`
	Epoch     model.Epoch       `json:"epoch,omitempty"`
	// Revision is the fleet revision the decision was made under.
	Revision uint64 `json:"revision,omitempty"`
	// Cause is a stable reason code.
	Cause string `json:"cause,omitempty"`
	// Detail is a short sentence for people.
	Detail string `json:"detail,omitempty"`
	// Explain holds the recorded account of a decision, encoded as JSON.
	Explain []byte `json:"explain,omitempty"`
}

// Recorder takes events. Implementations stamp them and never block for long.
type Recorder interface {
	Record(e Event)
}

// Discard is a Recorder that drops everything.
type Discard struct{}

// Record implements Recorder.
func (Discard) Record(Event) {}
