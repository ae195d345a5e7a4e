package scheduler

import (
	"sync"
	"time"
)

const (
	// minOrderTimeout and maxOrderTimeout bound the wait for a worker's reply to a
	// start or a stop.
	minOrderTimeout = 100 * time.Millisecond
	maxOrderTimeout = 300 * time.Millisecond
	// deviationFactor is how many mean deviations above the mean a reply may take.
	deviationFactor = 4
)

// replyTimes estimates how long workers take to answer an order, as TCP estimates its
// retransmission timeout. Source: RFC 6298, section 2. It is safe for concurrent use.
type replyTimes struct {
	mu              sync.Mutex
	mean, deviation time.Duration
	sampled         bool
}

// observe adds the time that a reply took. For an order without a reply that is the
// time waited, so that timeouts grow where all workers or this process are slow.
func (r *replyTimes) observe(took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.sampled {
		r.mean, r.deviation, r.sampled = took, took/2, true
		return
	}
	r.deviation += ((took - r.mean).Abs() - r.deviation) / 4
	r.mean += (took - r.mean) / 8
}

// timeout returns how long to wait for the reply to the given attempt at an order,
// counted from 0. It doubles with each attempt.
func (r *replyTimes) timeout(attempt int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.sampled {
		return maxOrderTimeout
	}
	return min(max(minOrderTimeout, r.mean+deviationFactor*r.deviation)<<attempt, maxOrderTimeout)
}
