package control

import (
	"context"
	"fmt"
	"time"

	"kumquatwing/internal/eventlog"
	"kumquatwing/internal/fleet"
	"kumquatwing/internal/verdict"
)

const (
	// recentChange is how old a change may be to be recorded as accepted: a
	// process that starts finds all of them in its log.
	recentChange = time.Minute
	// maxChangeEvents bounds the changes recorded at one look.
	maxChangeEvents = 50
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
		known := n.revision
		n.note(n.s.fleetView().revision, n.s.leases.valid(n.s.clock.Now()))
		if n.revision != known && n.s.fleetStatus().IsLeader() {
			n.noteChanges(n.s.history(), known, time.Now())
		}
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

// noteChanges records who changed what since revision known. The fleet's leader
// alone does, so that a change is recorded once, or twice if the leader changes.
func (n *notes) noteChanges(history []fleet.Change, known uint64, now time.Time) {
	oldest := now.Add(-recentChange).UnixMilli()
	first := len(history)
	for first > 0 && len(history)-first < maxChangeEvents {
		if c := &history[first-1]; c.Revision <= known || c.AtMillis < oldest {
			break
		}
		first--
	}
	for i := range history[first:] {
		c := &history[first+i]
		n.s.events.Record(eventlog.Event{
			Kind: eventAccepted, DC: n.s.cfg.DC, Revision: c.Revision, Cause: c.Kind, Detail: changeText(c),
		})
	}
}

// changeText says who made a change and how it begins.
func changeText(c *fleet.Change) string {
	text := "by " + c.Actor
	if len(c.Changes) > 0 {
		text += ": " + c.Changes[0]
	}
	if more := len(c.Changes) - 1; more > 0 {
		text += fmt.Sprintf(" and %d more lines", more)
	}
	return text + " (operation " + c.OpID + ")"
}

// history returns the accepted changes that this member has applied.
func (s *Server) history() (changes []fleet.Change) {
	node, state := s.fleet.member()
	node.View(func(replicaStatus) { changes = state.History() })
	return changes
}
