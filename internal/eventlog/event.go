// Package eventlog records the decisions of each process and the reasons for them.
// The events are the only source of `kqctl why`, of the timeline and of the
// histories that tests check.
package eventlog

import "kumquatwing/internal/model"

// Kind is the stable name of a type of event, in the form "component.verb".
type Kind string

// Timestamp is a reading of a hybrid logical clock: wall-clock milliseconds that
// never decrease, and a counter that orders events within the same millisecond.
// Source: Kulkarni et al., "Logical Physical Clocks", 2014.
type Timestamp struct {
	WallMillis int64  `json:"ms" msgpack:"w"`
	Counter    uint32 `json:"n" msgpack:"c"`
}

// Event is one recorded event. A field that does not apply has its zero value.
type Event struct {
	At Timestamp `json:"at"`
	// Process and VM identify the process that recorded the event.
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
	// Revision is the fleet revision on which the decision is based.
	Revision uint64 `json:"revision,omitempty"`
	// Cause is a stable reason code.
	Cause string `json:"cause,omitempty"`
	// Detail is a short sentence for human readers.
	Detail string `json:"detail,omitempty"`
	// Explain is the explanation of a decision, encoded as JSON.
	Explain []byte `json:"explain,omitempty"`
}

// Recorder records events. Implementations set the timestamp and the process, and
// don't block for long.
type Recorder interface {
	Record(e Event)
}

// Discard is a Recorder that discards all events.
type Discard struct{}

// Record implements Recorder.
func (Discard) Record(Event) {}
