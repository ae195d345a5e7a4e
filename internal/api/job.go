package api

import "kumquatwing/internal/model"

// JobAnswer answers a submission.
type JobAnswer struct {
	Job      model.JobID `json:"job"`
	DC       model.DCID  `json:"dc"`
	Revision uint64      `json:"revision"`
	// Repeat is set when the job had been accepted before.
	Repeat bool `json:"repeat,omitempty"`
}

// JobStatus is the state of a job.
type JobStatus struct {
	Spec    model.JobSpec `json:"spec"`
	DC      model.DCID    `json:"dc"`
	Outcome model.Outcome `json:"outcome,omitempty"`
	Reason  string        `json:"reason,omitempty"`
	Tasks   []model.Task  `json:"tasks,omitempty"`
}

// InForce says how far a revision has come.
type InForce struct {
	Revision uint64 `json:"revision"`
	InForce  bool   `json:"in_force"`
	// Waiting lists the holders that have neither confirmed nor lost their lease.
	Waiting []LeaseWait `json:"waiting,omitempty"`
	// Limits lists the data centres that must return a part of a lowered limit.
	Limits []LimitWait `json:"limits,omitempty"`
}

// LimitWait is a part of a workspace's lowered limit that a data centre still uses.
type LimitWait struct {
	Workspace model.WorkspaceID `json:"workspace"`
	DC        model.DCID        `json:"dc"`
	// Amount is what the data centre may use now, Target what it keeps.
	Amount model.Resources `json:"amount"`
	Target model.Resources `json:"target"`
}

// LeaseWait is one holder that a change waits for.
type LeaseWait struct {
	Holder    string     `json:"holder"`
	DC        model.DCID `json:"dc"`
	Confirmed uint64     `json:"confirmed"`
	// EndsMillis is when its lease runs out if it is not renewed.
	EndsMillis int64 `json:"ends_ms"`
}

// LeaseRenew asks for a settings lease, from the fleet's leader or from a
// member nearer to it.
type LeaseRenew struct {
	Holder string     `msgpack:"h"`
	DC     model.DCID `msgpack:"d"`
	// Applied is the oldest revision in force at the holder and at all that it
	// lends its lease to.
	Applied uint64 `msgpack:"a"`
}

// LeaseGrant answers a LeaseRenew. The holder counts from when it asked.
type LeaseGrant struct {
	LeaseMillis int64  `msgpack:"l"`
	Revision    uint64 `msgpack:"r"`
}
