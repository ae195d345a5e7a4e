package control

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/eventlog"
	"kumquatwing/internal/fleet"
)

// recordedEvents is an eventlog.Recorder that stores the events.
type recordedEvents []eventlog.Event

func (r *recordedEvents) Record(e eventlog.Event) { *r = append(*r, e) }

func (r recordedEvents) kinds() []eventlog.Kind {
	var out []eventlog.Kind
	for i := range r {
		out = append(out, r[i].Kind)
	}
	return out
}

// TestOnlyChangesOfTheStateAreRecorded checks that each change of the revision and of
// the settings lease is recorded once, and that nothing is recorded without one.
func TestOnlyChangesOfTheStateAreRecorded(t *testing.T) {
	steps := []struct {
		revision uint64
		hasLease bool
		want     []eventlog.Kind
	}{
		{0, false, nil},
		{1, false, []eventlog.Kind{eventRevision}},
		{1, true, []eventlog.Kind{eventLeaseRegained}},
		{1, true, nil},
		{2, false, []eventlog.Kind{eventRevision, eventLeaseLost}},
		{2, false, nil},
		{2, true, []eventlog.Kind{eventLeaseRegained}},
	}
	var got recordedEvents
	r := &recordedState{s: &Server{events: &got}}
	for i, step := range steps {
		got = nil
		r.recordChanges(step.revision, step.hasLease)
		qt.Assert(t, got.kinds(), qt.DeepEquals, step.want, qt.Commentf("step %d", i))
	}
}

// TestAcceptedChangesAreRecorded checks that each accepted change is recorded with
// its actor, and that neither known nor old changes are recorded again.
func TestAcceptedChangesAreRecorded(t *testing.T) {
	now := time.UnixMilli(10_000_000)
	at := now.UnixMilli()
	history := []fleet.Change{
		{Revision: 1, AtMillis: at - 2*maxChangeAge.Milliseconds(), Actor: "old", Kind: "apply"},
		{Revision: 2, AtMillis: at, Actor: "known", Kind: "apply"},
		{Revision: 3, AtMillis: at, Actor: "ana", Kind: "dc-out", OpID: "o3", Changes: []string{"data centre dc2 is out"}},
		{Revision: 4, AtMillis: at, Actor: "bo", Kind: "apply", OpID: "o4", Changes: []string{"first", "second", "third"}},
	}
	var got recordedEvents
	r := &recordedState{s: &Server{events: &got}}
	r.recordAccepted(history, 2, now)
	qt.Assert(t, got, qt.HasLen, 2)
	qt.Check(t, got[0].Revision, qt.Equals, uint64(3))
	qt.Check(t, got[0].Cause, qt.Equals, "dc-out")
	qt.Check(t, got[0].Detail, qt.Equals, "by ana: data centre dc2 is out (operation o3)")
	qt.Check(t, got[1].Detail, qt.Equals, "by bo: first and 2 more lines (operation o4)")

	got = nil
	r.recordAccepted(history[:1], 0, now)
	qt.Assert(t, got, qt.HasLen, 0)
}
