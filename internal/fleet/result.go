package fleet

import (
	"github.com/vmihailenco/msgpack/v5"

	"kumquatwing/internal/verdict"
)

// Result answers a command.
type Result struct {
	// Revision is the configuration revision after the command.
	Revision uint64 `msgpack:"r"`
	// Refusal is set when the command changed nothing.
	Refusal *verdict.Refusal `msgpack:"e,omitempty"`
	// Repeat is set when the command had been applied before; the rest is then
	// the first answer.
	Repeat bool `msgpack:"p,omitempty"`
	// Changes says what an operator's command changed.
	Changes []string `msgpack:"c,omitempty"`
	// Job answers SubmitJob.
	Job *Job `msgpack:"j,omitempty"`
	// Grant answers RequestGrant and ReturnGrant.
	Grant *Grant `msgpack:"g,omitempty"`
	// Group answers FoundGroup and SetGroupVoters.
	Group *Group `msgpack:"u,omitempty"`
}

// DecodeResult reads the result of a proposed command. Its refusal, if any, is
// returned as the error.
func DecodeResult(b []byte) (*Result, error) {
	r := new(Result)
	if err := msgpack.Unmarshal(b, r); err != nil {
		return nil, verdict.Uncertain(verdict.ReasonInternal, "fleet: result can't be decoded: %v", err)
	}
	if r.Refusal != nil {
		return r, r.Refusal
	}
	return r, nil
}

// refuse returns a result that changed nothing.
func refuse(reason verdict.Reason, format string, args ...any) *Result {
	return &Result{Refusal: verdict.Refuse(reason, format, args...)}
}
