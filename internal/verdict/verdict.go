// Package verdict defines the refusals that callers get instead of a result. Each
// one states whether the request may have run.
package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Verdict states whether a request may have had an effect.
type Verdict string

const (
	// NotRun guarantees that the request had no effect and will have none.
	NotRun Verdict = "not-run"
	// MayHaveRun states that the request may or may not have had its effect.
	MayHaveRun Verdict = "may-have-run"
	// Done guarantees that the request had its effect exactly once.
	Done Verdict = "done"
)

// Reason is a stable code for the cause of a refusal. The operator documentation
// lists the codes.
type Reason string

// Reasons that several packages use. A package may define its own in addition.
const (
	ReasonBadRequest        Reason = "bad-request"
	ReasonBadKey            Reason = "bad-key"
	ReasonWrongWorkspace    Reason = "wrong-workspace"
	ReasonUnknownWorkspace  Reason = "unknown-workspace"
	ReasonUnknownQueue      Reason = "unknown-queue"
	ReasonUnknownJob        Reason = "unknown-job"
	ReasonCancelled         Reason = "cancelled"
	ReasonUnknownKey        Reason = "unknown-key"
	ReasonNoLease           Reason = "no-settings-lease"
	ReasonNoLeader          Reason = "no-leader"
	ReasonNotLeader         Reason = "not-leader"
	ReasonNoQuorum          Reason = "no-quorum"
	ReasonConflict          Reason = "conflict"
	ReasonDeadline          Reason = "deadline"
	ReasonOverload          Reason = "overload"
	ReasonNoServer          Reason = "no-server"
	ReasonStopping          Reason = "stopping"
	ReasonUnreachable       Reason = "unreachable"
	ReasonTruncatedResponse Reason = "cut-answer"
	ReasonDuplicate         Reason = "repeat"
	ReasonRecordExpired     Reason = "record-expired"
	ReasonRecordLost        Reason = "record-lost"
	ReasonNeverFits         Reason = "never-fits"
	ReasonTooLarge          Reason = "too-large"
	ReasonNoMemory          Reason = "no-memory"
	ReasonDataCentreOut     Reason = "data-centre-out"
	ReasonInternal          Reason = "internal"
)

// Refusal is an error with a verdict. Failures are reported in this form to
// callers, operators and other processes of the system.
type Refusal struct {
	Verdict Verdict `json:"verdict" msgpack:"v"`
	Reason  Reason  `json:"reason" msgpack:"r"`
	Message string  `json:"message" msgpack:"m"`
	// Retry is set if sending the same request again may succeed.
	Retry bool `json:"retry" msgpack:"t"`
	// RetryAfterMillis is how long to wait before the retry, in milliseconds.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty" msgpack:"a"`
	// DecidedBy names the settings level and revision that set the limit behind the
	// refusal, if there is one.
	DecidedBy string `json:"decided_by,omitempty" msgpack:"d"`
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Verdict, r.Message)
}

// WithRetryAfter returns a copy that tells the caller to retry after d.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	c := *r
	c.Retry = true
	c.RetryAfterMillis = d.Milliseconds()
	return &c
}

// WithDecidedBy returns a copy with DecidedBy set to level.
func (r *Refusal) WithDecidedBy(level string) *Refusal {
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

// RefuseMayHaveRun returns a MayHaveRun refusal with a formatted message.
func RefuseMayHaveRun(reason Reason, format string, args ...any) *Refusal {
	return New(MayHaveRun, reason, format, args...)
}

// FromError returns the refusal that err wraps. An error that wraps none becomes a
// MayHaveRun refusal, since nothing shows that the request did not run.
// FromError(nil) is nil.
func FromError(err error) *Refusal {
	if err == nil {
		return nil
	}
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return RefuseMayHaveRun(ReasonInternal, "%v", err)
}
