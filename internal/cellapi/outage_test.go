package cellapi

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// returnOf returns when a caller that first calls at the given time of an outage,
// with the given retries, gets through, and false if it gives up. Its Retry-After is
// in whole seconds, as the adapter writes it.
func returnOf(first, outage time.Duration, retries int, delay func(time.Duration) time.Duration) (time.Duration, bool) {
	at := first
	for range retries + 1 {
		if at >= outage {
			return at, true
		}
		refused := max(at, leaderWait)
		if refused >= outage {
			return outage, true
		}
		at = refused + delay(refused).Truncate(time.Second)
		if delay(refused)%time.Second != 0 {
			at += time.Second
		}
	}
	return 0, false
}

// TestCallersOutliveOutages plays the callers that arrive during outages of the
// leader: those with four retries all get through, also if all control VMs are
// without power for 12 s, and nobody waits longer than maxRetryAfter after the end.
// With the shortest delay alone, callers give up in long outages.
func TestCallersOutliveOutages(t *testing.T) {
	shortest := func(time.Duration) time.Duration { return minRetryAfter }
	for _, outage := range []time.Duration{1500 * time.Millisecond, 3 * time.Second, 6 * time.Second, 12 * time.Second} {
		gaveUp, gaveUpShortest := 0, 0
		for first := time.Duration(0); first < outage; first += 10 * time.Millisecond {
			at, ok := returnOf(first, outage, 4, retryAfter)
			if !ok {
				gaveUp++
			}
			qt.Check(t, at-outage <= maxRetryAfter, qt.IsTrue, qt.Commentf("outage %v, first call at %v: returns at %v", outage, first, at))
			if _, ok := returnOf(first, outage, 4, shortest); !ok {
				gaveUpShortest++
			}
		}
		qt.Check(t, gaveUp, qt.Equals, 0, qt.Commentf("outage %v", outage))
		t.Logf("outage %v: %d gave up, with the shortest delay %d", outage, gaveUp, gaveUpShortest)
	}
}
