// Package clock gives monotonic time that counts suspension of the machine, so
// that a lease ends on time also while its holder sleeps.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point in monotonic time since the machine's boot. Instants of
// different machines can't be compared.
type Instant time.Duration

// Add returns i + d.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns i - o.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }

// Before reports whether i is earlier than o.
func (i Instant) Before(o Instant) bool { return i < o }

// Clock tells the present instant.
type Clock interface {
	Now() Instant
}

// Boot reads CLOCK_BOOTTIME.
type Boot struct{}

// Now implements Clock.
func (Boot) Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return Instant(ts.Nano())
}

// Runtime reads Go's clock. Tests under testing/synctest use it, since it follows
// their virtual time; it doesn't count suspension.
type Runtime struct{}

// runtimeStart anchors Wall's instants.
var runtimeStart = time.Now()

// Now implements Clock.
func (Runtime) Now() Instant { return Instant(time.Since(runtimeStart)) }

// Manual is a clock that a test moves by hand. The zero value stands at 0.
type Manual struct{ now Instant }

// Now implements Clock.
func (m *Manual) Now() Instant { return m.now }

// Advance moves the clock by d.
func (m *Manual) Advance(d time.Duration) { m.now = m.now.Add(d) }
