package cell

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestTombstonesAreBounded checks that a workspace that cancels unknown jobs without end
// is refused at the bound, keeps what it was promised, also over a restart, and doesn't
// keep others from cancelling.
func TestTombstonesAreBounded(t *testing.T) {
	s := stateWithJob(t, Step{Count: 1})
	cancel := func(s *State, workspace string, n int) Result {
		id := JobID(fmt.Sprintf("unknown-%d", n))
		return applyCommand(t, s, &Command{Cancel: &Cancel{ID: id, Caller: &Caller{Workspace: workspace}}})
	}
	for n := range maxTombstones {
		qt.Assert(t, cancel(s, "a", n), qt.DeepEquals, Result{Unknown: true})
	}
	snapshot, err := s.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	restarted := NewState(nil)
	qt.Assert(t, restarted.Restore(snapshot), qt.IsNil)
	for _, state := range []*State{s, restarted} {
		qt.Check(t, cancel(state, "a", maxTombstones), qt.DeepEquals, Result{Full: true})
		qt.Check(t, cancel(state, "a", 0), qt.DeepEquals, Result{Unknown: true}, qt.Commentf("cancelled again"))
		qt.Check(t, cancel(state, "b", 0), qt.DeepEquals, Result{Unknown: true}, qt.Commentf("another workspace"))
		r := applyCommand(t, state, &Command{Submit: &Submit{Job{ID: "unknown-0", Queue: "q", Workspace: "a", Steps: []Step{{Count: 1}}}}})
		qt.Check(t, r, qt.DeepEquals, Result{Cancelled: true})
		again, err := state.Snapshot()
		qt.Assert(t, err, qt.IsNil)
		restored := NewState(nil)
		qt.Assert(t, restored.Restore(again), qt.IsNil)
		qt.Check(t, restored.Tombstones(), qt.DeepEquals, state.Tombstones())
	}
}
