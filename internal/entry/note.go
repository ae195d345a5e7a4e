package entry

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"kumquatwing/internal/eventlog"
	"kumquatwing/internal/verdict"
)

// Kinds of events that kqentry records of itself.
const (
	eventStarted    eventlog.Kind = "entry.started"
	eventStopping   eventlog.Kind = "entry.stopping"
	eventStopped    eventlog.Kind = "entry.stopped"
	eventRevision   eventlog.Kind = "entry.revision"
	eventLeaseLost  eventlog.Kind = "entry.lease-lost"
	eventLeaseBack  eventlog.Kind = "entry.lease-back"
	eventSyncFailed eventlog.Kind = "entry.sync-failed"
	eventSyncBack   eventlog.Kind = "entry.sync-back"
	eventSlots      eventlog.Kind = "entry.slots"
)

const (
	// notePeriod is how often the standing is compared with the one recorded last.
	notePeriod = 100 * time.Millisecond
	// slowNotes is after how many periods slots and left-out events are recorded.
	slowNotes = 10
)

// standing is what kqentry records changes of.
type standing struct {
	revision uint64
	leased   bool
	servers  int
	slots    int
}

// noteLoop records changes of the settings in force, the settings lease and the
// slots until ctx ends.
func (e *Entry) noteLoop(ctx context.Context) {
	var last standing
	t := time.NewTicker(notePeriod)
	defer t.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			e.router.FlushEvents()
			return
		case <-t.C:
		}
		last = e.noteLease(last)
		if n%slowNotes == 0 {
			last = e.noteSlots(last)
			e.router.FlushEvents()
		}
	}
}

// noteLease records a new revision, and the end or return of the lease.
func (e *Entry) noteLease(last standing) standing {
	if revision := e.router.Revision(); revision != last.revision {
		last.revision = revision
		e.record(eventRevision, "", fmt.Sprintf("acts on revision %d", revision))
	}
	leased := e.router.LeaseLeft() > 0
	switch {
	case leased && !last.leased:
		e.record(eventLeaseBack, "", "holds the settings lease: takes keyed requests")
	case !leased && last.leased:
		e.record(eventLeaseLost, string(verdict.ReasonNoLease), "settings lease ended: takes no keyed requests")
	}
	last.leased = leased
	return last
}

// noteSlots records a change of the slots lent to this VM.
func (e *Entry) noteSlots(last standing) standing {
	l := e.router.Pool().Load()
	if l.Servers == last.servers && l.Slots == last.slots {
		return last
	}
	last.servers, last.slots = l.Servers, l.Slots
	e.record(eventSlots, "", fmt.Sprintf("holds %d slots of %d servers, %d in use, %d requests wait", l.Slots, l.Servers, l.InUse, l.Waiting))
	return last
}

// noteSyncFailure logs and records the first failure of a row.
func (e *Entry) noteSyncFailure(err error) {
	if e.syncFailing {
		return
	}
	e.syncFailing = true
	e.log.Warn("sync with kqcontrol failed", zap.Error(err))
	e.record(eventSyncFailed, string(verdict.From(err).Reason), verdict.From(err).Message)
}

// noteSync records the first success after a failure.
func (e *Entry) noteSync() {
	if e.syncFailing {
		e.syncFailing = false
		e.log.Info("sync with kqcontrol works again")
		e.record(eventSyncBack, "", "sync with kqcontrol works again")
	}
}

func (e *Entry) record(kind eventlog.Kind, cause, detail string) {
	e.events.Record(eventlog.Event{
		Kind: kind, DC: e.cfg.DC, Revision: e.router.Revision(), Cause: cause, Detail: detail,
	})
}
