package control

import (
	"kumquatwing/internal/clock"
)

// groupClock derives the time of a data centre group, in milliseconds, from this
// machine's monotonic clock. The time never goes backwards when the leader changes:
// a new leader continues from the newest time in the log.
type groupClock struct {
	clock  clock.Clock
	term   uint64
	base   int64
	anchor clock.Instant
}

// now returns the group's time for the leader of term. applied is the newest time
// that the state machine has applied.
func (g *groupClock) now(term uint64, applied int64) int64 {
	at := g.clock.Now()
	if g.term != term {
		g.term, g.base, g.anchor = term, applied, at
	}
	return max(applied, g.base+at.Sub(g.anchor).Milliseconds())
}
