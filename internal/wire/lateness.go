package wire

import (
	"time"

	"kumquatwing/internal/clock"
)

// delayWindow is how long the shortest delay of a connection's requests is remembered at
// least. It is far above the time for which a process stands still, and short enough that
// two steady clocks hardly drift apart in it.
const delayWindow = 30 * time.Second

// delayTracker tells how late the requests on one connection are read, by a windowed
// minimum (as in BBR's filter of round-trip times): the difference of the receiver's and the
// sender's steady clocks is that of a request without delay plus the time for which it was
// held up. Clocks are compared within one connection only, so that both ends are the same
// processes. The first request of a connection counts as in time.
type delayTracker struct {
	// current and previous are the least differences in the present window and in the one
	// before it, in milliseconds.
	current, previous int64
	hasPrevious       bool
	windowEnd         clock.Instant
}

// lateness returns how long a request that is read now was held up, compared with the
// fastest one lately. sentMillis is the sender's steady clock when it was written, 0 if that
// isn't known.
func (d *delayTracker) lateness(sentMillis int64, now clock.Instant) time.Duration {
	if sentMillis == 0 {
		return 0
	}
	difference := time.Duration(now).Milliseconds() - sentMillis
	switch {
	case d.windowEnd == 0:
		d.current, d.windowEnd = difference, now.Add(delayWindow)
	case now >= d.windowEnd:
		d.previous, d.hasPrevious = d.current, true
		d.current, d.windowEnd = difference, now.Add(delayWindow)
	}
	d.current = min(d.current, difference)
	least := d.current
	if d.hasPrevious {
		least = min(least, d.previous)
	}
	return time.Duration(difference-least) * time.Millisecond
}
