package control

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/eventlog"
)

// recorded is a Recorder that keeps the kinds of events.
type recorded []eventlog.Kind

func (r *recorded) Record(e eventlog.Event) { *r = append(*r, e.Kind) }

// TestNotesRecordChangesOnly checks that each change of the standing is recorded
// once.
func TestNotesRecordChangesOnly(t *testing.T) {
	steps := []struct {
		revision uint64
		leased   bool
		want     []eventlog.Kind
	}{
		{0, false, nil},
		{1, false, []eventlog.Kind{eventRevision}},
		{1, true, []eventlog.Kind{eventLeaseBack}},
		{1, true, nil},
		{2, false, []eventlog.Kind{eventRevision, eventLeaseLost}},
		{2, false, nil},
		{2, true, []eventlog.Kind{eventLeaseBack}},
	}
	var got recorded
	n := &notes{s: &Server{events: &got}}
	for i, step := range steps {
		got = nil
		n.note(step.revision, step.leased)
		qt.Assert(t, []eventlog.Kind(got), qt.DeepEquals, step.want, qt.Commentf("step %d", i))
	}
}
