package fleet

import (
	"kumquatwing/internal/codec"
	"kumquatwing/internal/verdict"
)

// Result is the result of a command.
type Result struct {
	// Revision is the configuration revision after the command.
	Revision uint64 `msgpack:"r"`
	// Refusal is set if the command was refused; it then changed nothing.
	Refusal *verdict.Refusal `msgpack:"e,omitempty"`
	// Duplicate is set for a duplicate of a command that was applied before. For an
	// operator's command the other fields are then the result of the first one.
	Duplicate bool `msgpack:"p,omitempty"`
	// Changes describes what an operator's command changed, one line each.
	Changes []string `msgpack:"c,omitempty"`
	// Job is set by SubmitJob and ReassignTasks.
	Job *Job `msgpack:"j,omitempty"`
	// Grant is set by RequestGrant and ReturnGrant.
	Grant *Grant `msgpack:"g,omitempty"`
	// Group is set by BootstrapGroup and SetGroupVoters.
	Group *Group `msgpack:"u,omitempty"`
}

// DecodeResult decodes the result of a proposed command. If the command was refused,
// it returns the refusal as the error, along with the result.
func DecodeResult(b []byte) (*Result, error) {
	r := new(Result)
	if err := codec.Unmarshal(b, r); err != nil {
		return nil, verdict.RefuseMayHaveRun(verdict.ReasonInternal, "fleet: result can't be decoded: %v", err)
	}
	if r.Refusal != nil {
		return r, r.Refusal
	}
	return r, nil
}

// refuse returns the result of a refused command.
func refuse(reason verdict.Reason, format string, args ...any) *Result {
	return &Result{Refusal: verdict.Refuse(reason, format, args...)}
}
