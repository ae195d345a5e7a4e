// Package verdict says, for every refusal or failure that reaches a caller,
// whether the request may have run.
package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Verdict says whether a request may have had an effect.
type Verdict string

const (
	// NotRun guarantees that the request had no effect and will have none.
	NotRun Verdict = "not-run"
	// MayHaveRun says that the request may or may not have had its effect.
	MayHaveRun Verdict = "may-have-run"
	// Done guarantees that the request had its effect exactly once.
	Done Verdict = "done"
)

// Reason is a stable code for a refusal; operators' pages list them.
type Reason string

// The reasons that several packages share. A package may add its own.
const (
	ReasonBadRequest       Reason = "bad-request"
	ReasonBadKey           Reason = "bad-key"
	ReasonWrongWorkspace   Reason = "wrong-workspace"
	ReasonUnknownWorkspace Reason = "unknown-workspace"
	ReasonUnknownQueue     Reason = "unknown-queue"
	ReasonUnknownJob       Reason = "unknown-job"
	ReasonUnknownKey       Reason = "unknown-key"
	ReasonNoLease          Reason = "no-settings-lease"
	ReasonNoLeader         Reason = "no-leader"
	ReasonNotLeader        Reason = "not-leader"
	ReasonNoQuorum         Reason = "no-quorum"
	ReasonConflict         Reason = "conflict"
	ReasonDeadline         Reason = "deadline"
	ReasonOverload         Reason = "overload"
	ReasonNoServer         Reason = "no-server"
	ReasonStopping         Reason = "stopping"
	ReasonUnreachable      Reason = "unreachable"
	ReasonCutAnswer        Reason = "cut-answer"
	ReasonRepeat           Reason = "repeat"
	ReasonRecordExpired    Reason = "record-expired"
	ReasonRecordLost       Reason = "record-lost"
	ReasonNeverFits        Reason = "never-fits"
	ReasonTooLarge         Reason = "too-large"
	ReasonOut              Reason = "data-centre-out"
	ReasonInternal         Reason = "internal"
)

// Refusal is an error with a verdict. It is what callers, operators and our
// own processes see of a failure.
type Refusal struct {
	Verdict Verdict `json:"verdict" msgpack:"v"`
	Reason  Reason  `json:"reason" msgpack:"r"`
	Message string  `json:"message" msgpack:"m"`
	// Retry says whether sending the same request again can help.
	Retry bool `json:"retry" msgpack:"t"`
	// RetryAfterMillis is how long to wait before that, in milliseconds.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty" msgpack:"a"`
	// DecidedBy names the settings level and revision behind a limit, if any.
	DecidedBy string `json:"decided_by,omitempty" msgpack:"d"`
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Verdict, r.Message)
}

// RetryIn returns a copy that asks the caller to try again after d.
func (r *Refusal) RetryIn(d time.Duration) *Refusal {
	c := *r
	c.Retry = true
	c.RetryAfterMillis = d.Milliseconds()
	return &c
}

// By returns a copy that names the settings level that decided.
func (r *Refusal) By(level string) *Refusal {
	c := *r
	c.DecidedBy = level
	return &c
}

// New returns a refusal with a formatted message.
func New(v Verdict, reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Verdict: v, Reason: reason, Message: fmt.Sprintf(format, args...)}
}

// Refuse returns a NotRun refusal with a formatted message.
func Refuse(reason Reason, format string, args ...any) *Refusal {
	return New(NotRun, reason, format, args...)
}

// Uncertain returns a MayHaveRun refusal with a formatted message.
func Uncertain(reason Reason, format string, args ...any) *Refusal {
	return New(MayHaveRun, reason, format, args...)
}

// From returns the refusal within err. An error that carries none may have
// run, since nothing shows that it did not. From(nil) is nil.
func From(err error) *Refusal {
	if err == nil {
		return nil
	}
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return Uncertain(ReasonInternal, "%v", err)
}
