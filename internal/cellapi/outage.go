package cellapi

import "time"

const (
	// minRetryAfter is the retry delay of callers that are refused early in an
	// outage of the leader. Most outages are elections, which take less.
	minRetryAfter = 2 * time.Second
	// maxRetryAfter bounds the delay, so that callers return soon after the end of a
	// long outage.
	maxRetryAfter = 5 * time.Second
)

// retryAfter returns the delay after which a caller that is refused for want of a
// leader should return. It answers the load of callers that retry a few times and
// then give up: an outage that has lasted long is expected to last as long again,
// and with a fixed short delay a caller would spend all its retries within it.
func retryAfter(outage time.Duration) time.Duration {
	return min(max(outage, minRetryAfter), maxRetryAfter)
}
