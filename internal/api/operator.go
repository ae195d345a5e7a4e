package api

import (
	"kumquatwing/internal/model"
	"kumquatwing/internal/settings"
)

// Operation comes with every operator's call that changes something.
type Operation struct {
	// OpID names the operation. A resend with the same one gets the first answer.
	OpID string `json:"op_id"`
	// Actor names the operator, for the history.
	Actor string `json:"actor"`
	// ExpectRevision, if set, is the only revision the call applies to.
	ExpectRevision *uint64 `json:"expect_revision,omitempty"`
}

// ApplyCall replaces all declarations, by new ones or by those of an older
// revision.
type ApplyCall struct {
	Operation
	Declarations *settings.Declarations `json:"declarations,omitempty"`
	FromRevision uint64                 `json:"from_revision,omitempty"`
}

// KeyCall grants a key. The secret stays with the operator, who mints it.
type KeyCall struct {
	Operation
	Key       model.KeyID       `json:"key"`
	Workspace model.WorkspaceID `json:"workspace"`
	// Hash is the SHA-256 of the secret, in base64.
	Hash string `json:"hash"`
}

// OperationAnswer answers an operator's call.
type OperationAnswer struct {
	// Revision is the one the call made, or found if it changed nothing.
	Revision uint64   `json:"revision"`
	Changes  []string `json:"changes,omitempty"`
	// Repeat is set when this is the answer to an earlier send.
	Repeat bool `json:"repeat,omitempty"`
}

// SettingsAnswer is what was applied last.
type SettingsAnswer struct {
	Revision     uint64                `json:"revision"`
	Declarations settings.Declarations `json:"declarations"`
}

// ExplainAnswer lists effective settings with what decided each.
type ExplainAnswer struct {
	Revision  uint64              `json:"revision"`
	Decisions []settings.Decision `json:"decisions"`
	// Lines says the same for people.
	Lines []string `json:"lines"`
}

// Change is one accepted change of the configuration.
type Change struct {
	Revision uint64   `json:"revision"`
	OpID     string   `json:"op_id"`
	Actor    string   `json:"actor"`
	AtMillis int64    `json:"at_ms"`
	Kind     string   `json:"kind"`
	Changes  []string `json:"changes"`
	// Kept is set if the tree of this revision can be applied again.
	Kept bool `json:"kept"`
}

// HistoryAnswer lists accepted changes, oldest first.
type HistoryAnswer struct {
	Revision uint64   `json:"revision"`
	Changes  []Change `json:"changes"`
}

// KeysAnswer lists keys without their hashes.
type KeysAnswer struct {
	Keys []model.Key `json:"keys"`
}

// CancelCall cancels jobs, all of them or, if one is not known, none.
type CancelCall struct {
	Jobs []model.JobID `json:"jobs"`
}

// CancelAnswer answers a cancellation.
type CancelAnswer struct {
	Jobs []model.JobID `json:"jobs"`
}

// JobsAnswer lists jobs without their tasks.
type JobsAnswer struct {
	Jobs []JobStatus `json:"jobs"`
	// Left counts older jobs that the list has no room for.
	Left int `json:"left,omitempty"`
}
