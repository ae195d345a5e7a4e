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

// eventsOf returns the recorded events of one kind.
func eventsOf(t *testing.T, dir string, kind eventlog.Kind) []eventlog.Event {
	t.Helper()
	events, _, err := timeline.Load(dir)
	qt.Assert(t, err, qt.IsNil)
	return timeline.Select(events, timeline.Filter{Kind: string(kind)})
}

// TestRetriesAndOverflowAreRecorded checks that a request's second try, and its
// way to another data centre, can be seen afterwards.
func TestRetriesAndOverflowAreRecorded(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	a, b := newCellIn(t, "a"), newCellIn(t, "b")
	ea := a.addEntry(func(cfg *Config) { cfg.EventDir = dir })
	eb := b.addEntry()
	b.control.SetRemote([]api.RemoteEntry{{VM: "e0", DC: "a", Addr: ea.Addr()}})
	a.startServer("orders").SetMode(backend.Drop)
	a.addServer("orders")
	q := request{path: "/q/orders", key: vetsKey, idempotent: true, deadline: 2 * time.Second}
	for range 20 {
		a.send(ea, q)
	}
	retried := eventsOf(t, dir, route.EventRetried)
	qt.Assert(t, len(retried) > 0, qt.IsTrue)
	qt.Assert(t, retried[0].Request, qt.Not(qt.Equals), model.RequestID(""))

	a.control.SetRemote([]api.RemoteEntry{{VM: "e0", DC: "b", Addr: eb.Addr()}})
	a.eventually("b is known", ea.router.Overflows)
	b.addServer("orders")
	a.control.Set(func(v *api.EntryView) { v.DataCentres[0].Out = true })
	a.eventually("passed to b", func() bool {
		a.send(ea, q)
		return len(eventsOf(t, dir, route.EventOverflow)) > 0
	})
	qt.Assert(t, eventsOf(t, dir, route.EventOverflow)[0].Detail, qt.Equals, "passed to e0 in b")
}

// TestStandingIsRecorded follows an entry VM through a lost lease, a new
// revision and a failed sync to its stop, by its events alone.
func TestStandingIsRecorded(t *testing.T) {
	t.Parallel()
	c := newCell(t)
	dir := t.TempDir()
	e := c.addEntry(func(cfg *Config) { cfg.EventDir = dir })
	recorded := func(kind eventlog.Kind) bool { return len(eventsOf(t, dir, kind)) > 0 }
	await := func(kind eventlog.Kind) {
		t.Helper()
		c.eventually(string(kind), func() bool { return recorded(kind) })
	}
	lease := c.control.Lease()
	await(eventStarted)
	await(eventRevision)
	await(eventLeaseBack)
	qt.Assert(t, recorded(eventLeaseLost), qt.IsFalse)
	c.control.SetLease(0)
	await(eventLeaseLost)
	c.control.SetLease(lease)
	c.control.Set(func(*api.EntryView) {})
	c.control.SetLeaderless(true)
	await(eventSyncFailed)
	c.control.SetLeaderless(false)
	await(eventSyncBack)
	c.addServer("orders")
	await(eventSlots)
	qt.Assert(t, e.stop(), qt.IsNil)
	qt.Assert(t, recorded(eventStopping), qt.IsTrue)
	qt.Assert(t, recorded(eventStopped), qt.IsTrue)
}
