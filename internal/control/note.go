package control

import (
	"context"
	"fmt"
	"time"

	"kumquatwing/internal/eventlog"
	"kumquatwing/internal/verdict"
)

// notePeriod is how often the standing is compared with the one recorded last.
const notePeriod = 100 * time.Millisecond

// notes records changes of this process's standing.
type notes struct {
	s        *Server
	revision uint64
	leased   bool
}

// run records changes until ctx ends.
func (n *notes) run(ctx context.Context) {
	t := time.NewTicker(notePeriod)
	defer t.Stop()
	for {
		n.note(n.s.fleetView().revision, n.s.leases.valid(n.s.clock.Now()))
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// note records a new revision, and the end or return of the settings lease.
func (n *notes) note(revision uint64, leased bool) {
	if revision != n.revision {
		n.revision = revision
		n.record(eventRevision, "", fmt.Sprintf("acts on revision %d", revision))
	}
	switch {
	case leased && !n.leased:
		n.record(eventLeaseBack, "", "holds the settings lease")
	case !leased && n.leased:
		n.record(eventLeaseLost, string(verdict.ReasonNoLease),
			"settings lease ended: no task is started and no keyed work taken")
	}
	n.leased = leased
}

func (n *notes) record(kind eventlog.Kind, cause, detail string) {
	n.s.events.Record(eventlog.Event{
		Kind: kind, DC: n.s.cfg.DC, Revision: n.revision, Cause: cause, Detail: detail,
	})
}
