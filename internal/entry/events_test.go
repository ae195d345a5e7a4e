package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/api"
	"kumquatwing/internal/eventlog"
	"kumquatwing/internal/fake/backend"
	"kumquatwing/internal/model"
	"kumquatwing/internal/route"
	"kumquatwing/internal/timeline"
)

// recordedEvents returns the events of one kind in the event files of dir.
func recordedEvents(t *testing.T, dir string, kind eventlog.Kind) []eventlog.Event {
	t.Helper()
	events, _, err := timeline.Load(dir)
	qt.Assert(t, err, qt.IsNil)
	return timeline.Select(events, timeline.Filter{Kind: string(kind)})
}

// TestRetriesAndOverflowAreRecorded checks that the retry of a request and its
// overflow to another data centre are recorded as events.
func TestRetriesAndOverflowAreRecorded(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	a, b := newTestDCIn(t, "a"), newTestDCIn(t, "b")
	ea := a.addEntry(func(cfg *Config) { cfg.EventDir = dir })
	eb := b.addEntry()
	b.control.SetRemote([]api.RemoteEntry{{VM: "e0", DC: "a", Addr: ea.Addr()}})
	a.startServer("orders").SetMode(backend.Drop)
	a.addServer("orders")
	q := request{path: "/q/orders", key: vetsKey, idempotent: true, deadline: 2 * time.Second}
	for range 20 {
		a.send(ea, q)
	}
	retried := recordedEvents(t, dir, route.EventRetried)
	qt.Assert(t, len(retried) > 0, qt.IsTrue)
	qt.Assert(t, retried[0].Request, qt.Not(qt.Equals), model.RequestID(""))

	a.control.SetRemote([]api.RemoteEntry{{VM: "e0", DC: "b", Addr: eb.Addr()}})
	a.eventually("entry VM of b is known", ea.router.CanOverflow)
	b.addServer("orders")
	a.control.Set(func(v *api.EntryView) { v.DataCentres[0].Out = true })
	a.eventually("request is forwarded to b", func() bool {
		a.send(ea, q)
		return len(recordedEvents(t, dir, route.EventOverflow)) > 0
	})
	qt.Assert(t, recordedEvents(t, dir, route.EventOverflow)[0].Detail, qt.Equals, "passed to e0 in b")
}

// TestStateChangesAreRecorded checks the events that an entry VM records: its start,
// the first settings revision, the acquired and the expired settings lease, a failed
// sync and the next successful one, newly granted slots, and its stop.
func TestStateChangesAreRecorded(t *testing.T) {
	t.Parallel()
	dc := newTestDC(t)
	dir := t.TempDir()
	e := dc.addEntry(func(cfg *Config) { cfg.EventDir = dir })
	recorded := func(kind eventlog.Kind) bool { return len(recordedEvents(t, dir, kind)) > 0 }
	await := func(kind eventlog.Kind) {
		t.Helper()
		dc.eventually(string(kind), func() bool { return recorded(kind) })
	}
	lease := dc.control.Lease()
	await(eventStarted)
	await(eventRevision)
	await(eventLeaseAcquired)
	qt.Assert(t, recorded(eventLeaseLost), qt.IsFalse)
	dc.control.SetLease(0)
	await(eventLeaseLost)
	dc.control.SetLease(lease)
	dc.control.Set(func(*api.EntryView) {})
	dc.control.SetLeaderless(true)
	await(eventSyncFailed)
	dc.control.SetLeaderless(false)
	await(eventSyncRecovered)
	dc.addServer("orders")
	await(eventSlots)
	qt.Assert(t, e.stop(), qt.IsNil)
	qt.Assert(t, recorded(eventStopping), qt.IsTrue)
	qt.Assert(t, recorded(eventStopped), qt.IsTrue)
}
