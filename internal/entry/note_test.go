package entry

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/api"
	"kumquatwing/internal/eventlog"
	"kumquatwing/internal/timeline"
)

// TestStandingIsRecorded follows an entry VM through a lost lease, a new
// revision and a failed sync to its stop, by its events alone.
func TestStandingIsRecorded(t *testing.T) {
	t.Parallel()
	c := newCell(t)
	dir := t.TempDir()
	e := c.addEntry(func(cfg *Config) { cfg.EventDir = dir })
	recorded := func(kind eventlog.Kind) bool {
		events, _, err := timeline.Load(dir)
		qt.Assert(t, err, qt.IsNil)
		return slices.ContainsFunc(events, func(e eventlog.Event) bool { return e.Kind == kind })
	}
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
