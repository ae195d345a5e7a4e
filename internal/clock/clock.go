// Package clock provides monotonic time that advances while the machine is
// suspended, so that a lease expires on time even if its holder is suspended.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point in monotonic time, counted from the start of its clock: the
// machine's boot for Boot. Instants of different machines or of different clocks
// can't be compared.
type Instant time.Duration

// Add returns i + d.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns i - o.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }

// Before reports whether i is earlier than o.
func (i Instant) Before(o Instant) bool { return i < o }

// Clock returns the current instant.
type Clock interface {
	Now() Instant
}

// Boot is the Clock that reads CLOCK_BOOTTIME, which counts time in suspension.
type Boot struct{}

// Now implements Clock. It panics if the system has no CLOCK_BOOTTIME.
func (Boot) Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return Instant(ts.Nano())
}

// Runtime is the Clock that reads the monotonic clock of the Go runtime. It suits
// tests under testing/synctest, since it follows their virtual time; it doesn't
// count time in suspension.
type Runtime struct{}

// runtimeStart is Instant 0 of Runtime.
var runtimeStart = time.Now()

// Now implements Clock.
func (Runtime) Now() Instant { return Instant(time.Since(runtimeStart)) }

// Manual is a Clock for tests, which changes only by calls of Advance. The zero
// value is at Instant 0. It is safe for concurrent use.
type Manual struct{ nanos atomic.Int64 }

// Now implements Clock.
func (m *Manual) Now() Instant { return Instant(m.nanos.Load()) }

// Advance adds d to the current instant.
func (m *Manual) Advance(d time.Duration) { m.nanos.Add(int64(d)) }
