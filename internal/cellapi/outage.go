package cellapi

import (
	"context"
	"time"
)

const (
	// minRetryAfter is the retry delay of callers that are refused early in an
	// outage of the leader. Most outages are elections, which take less.
	minRetryAfter = 2 * time.Second
	// maxRetryAfter bounds the delay, so that callers return soon after the end of a
	// long outage.
	maxRetryAfter = 5 * time.Second
	// retryUnit is the resolution of Retry-After in HTTP, and so the shortest delay
	// that a caller can be told.
	retryUnit = time.Second
)

// retryAfter returns the delay after which a caller that is refused for want of a
// leader should return. It answers the load of callers that retry a few times and
// then give up: an outage that has lasted long is expected to last as long again,
// and with a fixed short delay a caller would spend all its retries within it.
func retryAfter(outage time.Duration) time.Duration {
	return min(max(outage, minRetryAfter), maxRetryAfter)
}

// retryAfterWithin returns the delay of a caller that gives up when left has passed.
// It uses at most half of that time, so that a further try follows while one fits:
// with a fixed delay as long as the outage, a caller with 3 s gets one try or none
// after the first. A caller with less than retryUnit left can't return in time and
// gets the delay of callers without a deadline.
func retryAfterWithin(outage, left time.Duration) time.Duration {
	if left < retryUnit {
		return retryAfter(outage)
	}
	return min(retryAfter(outage), max((left/2).Truncate(retryUnit), retryUnit))
}

// callerDeadlineKey is the key of the context value that WithCallerDeadline sets.
type callerDeadlineKey struct{}

// WithCallerDeadline marks a call whose caller gives up soon after the end of ctx. A
// refusal for want of a leader then brings the caller back before that. Calls of
// workers and operators, whose contexts end by limits of this process, aren't marked.
func WithCallerDeadline(ctx context.Context) context.Context {
	return context.WithValue(ctx, callerDeadlineKey{}, true)
}

// callerRetryAfter returns the delay after which the caller of a call that is refused
// for want of a leader should return.
func callerRetryAfter(ctx context.Context, outage time.Duration) time.Duration {
	end, ok := ctx.Deadline()
	if !ok || ctx.Value(callerDeadlineKey{}) == nil {
		return retryAfter(outage)
	}
	return retryAfterWithin(outage, time.Until(end))
}
