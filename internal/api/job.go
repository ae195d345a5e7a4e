package api

import "kumquatwing/internal/model"

// JobAnswer is the response to a job submission.
type JobAnswer struct {
	Job      model.JobID `json:"job"`
	DC       model.DCID  `json:"dc"`
	Revision uint64      `json:"revision"`
	// Repeat is set if the job was accepted before and this call is a duplicate.
	Repeat bool `json:"repeat,omitempty"`
}

// JobStatus is the status of a job.
type JobStatus struct {
	Spec    model.JobSpec `json:"spec"`
	DC      model.DCID    `json:"dc"`
	Outcome model.Outcome `json:"outcome,omitempty"`
	Reason  string        `json:"reason,omitempty"`
	Tasks   []model.Task  `json:"tasks,omitempty"`
}

// InForce states whether a revision is in force everywhere, and if not, which lease
// holders and data centres it waits for.
type InForce struct {
	Revision uint64 `json:"revision"`
	InForce  bool   `json:"in_force"`
	// Waiting lists the holders that have not confirmed the revision and whose lease
	// has not expired.
	Waiting []PendingHolder `json:"waiting,omitempty"`
	// Limits lists the data centres that must still return a part of a lowered
	// limit.
	Limits []PendingLimit `json:"limits,omitempty"`
}

// PendingLimit is a data centre's grant of a lowered workspace limit that still
// exceeds its target.
type PendingLimit struct {
	Workspace model.WorkspaceID `json:"workspace"`
	DC        model.DCID        `json:"dc"`
	// Amount is the present grant, and Target the grant that the data centre may
	// keep.
	Amount model.Resources `json:"amount"`
	Target model.Resources `json:"target"`
}

// PendingHolder is the holder of a settings lease that a revision waits for.
type PendingHolder struct {
	Holder string     `json:"holder"`
	DC     model.DCID `json:"dc"`
	// Confirmed is the revision that the holder has confirmed.
	Confirmed uint64 `json:"confirmed"`
	// EndsMillis is the time until its lease expires if it is not renewed.
	EndsMillis int64 `json:"ends_ms"`
}

// LeaseRenew requests a settings lease from the fleet's leader, or from a member
// that is closer to the leader.
type LeaseRenew struct {
	Holder string     `msgpack:"h"`
	DC     model.DCID `msgpack:"d"`
	// Applied is the oldest revision in force at the holder and at all holders to
	// which it grants leases.
	Applied uint64 `msgpack:"a"`
}

// LeaseGrant is the reply to a LeaseRenew. The holder counts LeaseMillis from when
// it sent the request.
type LeaseGrant struct {
	LeaseMillis int64  `msgpack:"l"`
	Revision    uint64 `msgpack:"r"`
}
