package api

import (
	"kumquatwing/internal/model"
	"kumquatwing/internal/settings"
)

// Operation is part of every operator's call that changes something.
type Operation struct {
	// OpID identifies the operation. A duplicate with the same OpID gets the response
	// to the first call.
	OpID string `json:"op_id"`
	// Actor is the name of the operator. It is recorded in the history.
	Actor string `json:"actor"`
	// ExpectRevision, if set, is the current revision that the call requires.
	ExpectRevision *uint64 `json:"expect_revision,omitempty"`
}

// ApplyCall replaces all declarations by new ones or by those of an earlier
// revision. Exactly one of the two fields is set.
type ApplyCall struct {
	Operation
	Declarations *settings.Declarations `json:"declarations,omitempty"`
	FromRevision uint64                 `json:"from_revision,omitempty"`
}

// KeyCall grants a key. The operator generates the secret and sends only its hash.
type KeyCall struct {
	Operation
	Key       model.KeyID       `json:"key"`
	Workspace model.WorkspaceID `json:"workspace"`
	// Hash is the SHA-256 of the secret, in base64.
	Hash string `json:"hash"`
}

// OperationAnswer is the response to a call with an Operation.
type OperationAnswer struct {
	// Revision is the one that the call created, or the current one if it changed
	// nothing.
	Revision uint64   `json:"revision"`
	Changes  []string `json:"changes,omitempty"`
	// Repeat is set if the call is a duplicate and this is the response to the first
	// one.
	Repeat bool `json:"repeat,omitempty"`
}

// SettingsAnswer returns the declarations in their current revision.
type SettingsAnswer struct {
	Revision     uint64                `json:"revision"`
	Declarations settings.Declarations `json:"declarations"`
}

// ExplainAnswer lists effective settings with the decision behind each of them.
type ExplainAnswer struct {
	Revision  uint64                    `json:"revision"`
	Decisions []settings.EffectiveValue `json:"decisions"`
	// Lines describes Decisions in readable text, one line each.
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
	// Kept is set if the declarations of this revision are still stored and can be
	// applied again.
	Kept bool `json:"kept"`
}

// HistoryAnswer lists accepted changes, oldest first.
type HistoryAnswer struct {
	Revision uint64   `json:"revision"`
	Changes  []Change `json:"changes"`
}

// KeysAnswer lists the keys without their hashes.
type KeysAnswer struct {
	Keys []model.Key `json:"keys"`
}

// CancelCall cancels several jobs. If one of them is not known, none is cancelled.
type CancelCall struct {
	Jobs []model.JobID `json:"jobs"`
}

// CancelAnswer is the response to a cancellation.
type CancelAnswer struct {
	Jobs []model.JobID `json:"jobs"`
}

// JobsAnswer lists jobs without their tasks.
type JobsAnswer struct {
	Jobs []JobStatus `json:"jobs"`
	// Left is the number of older jobs that were omitted because the list is full.
	Left int `json:"left,omitempty"`
}
