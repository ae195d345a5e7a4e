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
	// maxChangeAge is the age up to which a change is recorded as accepted. A process
	// that starts finds all earlier changes in its log.
	maxChangeAge = time.Minute
	// maxChangeEvents bounds the changes that are recorded in one stateCheckInterval.
	maxChangeEvents = 50
)

// stateCheckInterval is the interval at which the state of the process is compared
// with the one that was last recorded.
const stateCheckInterval = 100 * time.Millisecond

// recordedState is the state that was last recorded as events: the revision that this
// process acts on, and whether it holds its settings lease.
type recordedState struct {
	s        *Server
	revision uint64
	hasLease bool
}

// run records changes until ctx is done.
func (r *recordedState) run(ctx context.Context) {
	t := time.NewTicker(stateCheckInterval)
	defer t.Stop()
	for {
		known := r.revision
		r.recordChanges(r.s.fleetView().revision, r.s.leases.valid(r.s.clock.Now()))
		if r.revision != known && r.s.fleetStatus().IsLeader() {
			r.recordAccepted(r.s.changeHistory(), known, time.Now())
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// recordChanges records a new revision, and the loss or return of the settings lease.
func (r *recordedState) recordChanges(revision uint64, hasLease bool) {
	if revision != r.revision {
		r.revision = revision
		r.record(eventRevision, "", fmt.Sprintf("acts on revision %d", revision))
	}
	switch {
	case hasLease && !r.hasLease:
		r.record(eventLeaseRegained, "", "holds the settings lease")
	case !hasLease && r.hasLease:
		r.record(eventLeaseLost, string(verdict.ReasonNoLease),
			"settings lease ended: no task is started and no keyed work taken")
	}
	r.hasLease = hasLease
}

func (r *recordedState) record(kind eventlog.Kind, cause, detail string) {
	r.s.events.Record(eventlog.Event{
		Kind: kind, DC: r.s.cfg.DC, Revision: r.revision, Cause: cause, Detail: detail,
	})
}

// recordAccepted records the operators' changes after the revision known, and who
// made them. Only the leader of the fleet group calls it, so that each change is
// recorded once, or twice if the leader changes.
func (r *recordedState) recordAccepted(history []fleet.Change, known uint64, now time.Time) {
	oldest := now.Add(-maxChangeAge).UnixMilli()
	first := len(history)
	for first > 0 && len(history)-first < maxChangeEvents {
		if c := &history[first-1]; c.Revision <= known || c.AtMillis < oldest {
			break
		}
		first--
	}
	for i := range history[first:] {
		c := &history[first+i]
		r.s.events.Record(eventlog.Event{
			Kind: eventChangeAccepted, DC: r.s.cfg.DC, Revision: c.Revision, Cause: c.Kind, Detail: describeChange(c),
		})
	}
}

// describeChange returns a change's actor, first line and operation id.
func describeChange(c *fleet.Change) string {
	text := "by " + c.Actor
	if len(c.Changes) > 0 {
		text += ": " + c.Changes[0]
	}
	if more := len(c.Changes) - 1; more > 0 {
		text += fmt.Sprintf(" and %d more lines", more)
	}
	return text + " (operation " + c.OpID + ")"
}

// changeHistory returns the accepted changes that this member has applied.
func (s *Server) changeHistory() (changes []fleet.Change) {
	node, state := s.fleet.current()
	node.View(func(replicaStatus) { changes = state.History() })
	return changes
}
