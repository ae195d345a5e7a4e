package control

import (
	"kumquatwing/internal/clock"
)

// groupClock turns this machine's monotonic time into the milliseconds of a
// data centre group, which never run back when the leader changes: a new
// leader goes on from the newest time in the log.
type groupClock struct {
	clock  clock.Clock
	term   uint64
	base   int64
	anchor clock.Instant
}

// now returns the group's time for the leader of term, given the newest time
// its state machine has applied.
func (g *groupClock) now(term uint64, applied int64) int64 {
	at := g.clock.Now()
	if g.term != term {
		g.term, g.base, g.anchor = term, applied, at
	}
	return max(applied, g.base+at.Sub(g.anchor).Milliseconds())
}
