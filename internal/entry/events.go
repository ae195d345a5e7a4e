package entry

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"kumquatwing/internal/eventlog"
	"kumquatwing/internal/verdict"
)

// Kinds of events that kqentry records about its own state.
const (
	eventStarted       eventlog.Kind = "entry.started"
	eventStopping      eventlog.Kind = "entry.stopping"
	eventStopped       eventlog.Kind = "entry.stopped"
	eventRevision      eventlog.Kind = "entry.revision"
	eventLeaseLost     eventlog.Kind = "entry.lease-lost"
	eventLeaseAcquired eventlog.Kind = "entry.lease-back"
	eventSyncFailed    eventlog.Kind = "entry.sync-failed"
	eventSyncRecovered eventlog.Kind = "entry.sync-back"
	eventSlots         eventlog.Kind = "entry.slots"
)

const (
	// stateCheckInterval is how often the current state is compared with the one
	// recorded last.
	stateCheckInterval = 100 * time.Millisecond
	// slotCheckTicks is the number of intervals between two records of slot changes
	// and of events dropped by the rate limit.
	slotCheckTicks = 10
)

// recordedState is the state that was recorded last. An event is recorded when the
// current state differs.
type recordedState struct {
	revision uint64
	leased   bool
	servers  int
	slots    int
}

// eventLoop records changes of the settings revision, the settings lease and the
// slots until ctx ends.
func (e *Entry) eventLoop(ctx context.Context) {
	var last recordedState
	t := time.NewTicker(stateCheckInterval)
	defer t.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			e.router.FlushEvents()
			return
		case <-t.C:
		}
		last = e.recordSettingsChanges(last)
		if n%slotCheckTicks == 0 {
			last = e.recordSlotChanges(last)
			e.router.FlushEvents()
		}
	}
}

// recordSettingsChanges records a new settings revision, and whether the settings
// lease was acquired or has expired. It returns the updated state.
func (e *Entry) recordSettingsChanges(last recordedState) recordedState {
	if revision := e.router.Revision(); revision != last.revision {
		last.revision = revision
		e.record(eventRevision, "", fmt.Sprintf("acts on revision %d", revision))
	}
	leased := e.router.LeaseLeft() > 0
	switch {
	case leased && !last.leased:
		e.record(eventLeaseAcquired, "", "holds the settings lease: takes keyed requests")
	case !leased && last.leased:
		e.record(eventLeaseLost, string(verdict.ReasonNoLease), "settings lease ended: takes no keyed requests")
	}
	last.leased = leased
	return last
}

// recordSlotChanges records a change of the slots granted to this process. It
// returns the updated state.
func (e *Entry) recordSlotChanges(last recordedState) recordedState {
	load := e.router.Pool().Load()
	if load.Servers == last.servers && load.Slots == last.slots {
		return last
	}
	last.servers, last.slots = load.Servers, load.Slots
	e.record(eventSlots, "", fmt.Sprintf("holds %d slots of %d servers, %d in use, %d requests wait", load.Slots, load.Servers, load.InUse, load.Waiting))
	return last
}

// recordSyncFailure logs and records the first of consecutive sync failures.
func (e *Entry) recordSyncFailure(err error) {
	if e.syncFailing {
		return
	}
	e.syncFailing = true
	e.log.Warn("sync with kqcontrol failed", zap.Error(err))
	e.record(eventSyncFailed, string(verdict.FromError(err).Reason), verdict.FromError(err).Message)
}

// recordSyncSuccess logs and records the first successful sync after a failure.
func (e *Entry) recordSyncSuccess() {
	if e.syncFailing {
		e.syncFailing = false
		e.log.Info("sync with kqcontrol succeeded after failures")
		e.record(eventSyncRecovered, "", "sync with kqcontrol works again")
	}
}

// record records an event of this process with the settings revision in force.
// cause is a verdict.Reason or empty.
func (e *Entry) record(kind eventlog.Kind, cause, detail string) {
	e.events.Record(eventlog.Event{
		Kind: kind, DC: e.cfg.DC, Revision: e.router.Revision(), Cause: cause, Detail: detail,
	})
}
