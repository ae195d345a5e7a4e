package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestOrderTimeoutFollowsReplies checks the timeout of orders while workers answer
// quickly, some don't answer at all, or all answer slowly.
func TestOrderTimeoutFollowsReplies(t *testing.T) {
	cases := []struct {
		name string
		// took returns the time that reply i took, given the timeout.
		took func(i int, timeout time.Duration) time.Duration
		min  time.Duration
		max  time.Duration
	}{
		{"quick", func(int, time.Duration) time.Duration { return 5 * time.Millisecond }, minOrderTimeout, minOrderTimeout},
		{"one of 15 without a reply", func(i int, timeout time.Duration) time.Duration {
			if i%15 == 0 {
				return timeout
			}
			return 5 * time.Millisecond
		}, minOrderTimeout, 200 * time.Millisecond},
		{"slow", func(_ int, timeout time.Duration) time.Duration { return min(timeout, 250*time.Millisecond) }, 250 * time.Millisecond, maxOrderTimeout},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var r replyTimes
			qt.Check(t, r.timeout(0), qt.Equals, maxOrderTimeout, qt.Commentf("without a sample"))
			for i := range 200 {
				r.observe(c.took(i, r.timeout(0)))
			}
			qt.Check(t, r.timeout(0) >= c.min && r.timeout(0) <= c.max, qt.IsTrue, qt.Commentf("%v", r.timeout(0)))
			qt.Check(t, r.timeout(1) >= r.timeout(0), qt.IsTrue)
			qt.Check(t, r.timeout(startAttempts), qt.Equals, maxOrderTimeout)
		})
	}
}
