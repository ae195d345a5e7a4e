package cell

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestWithdrawalsOutliveRestarts checks that a draining worker, a withdrawn key and a
// data centre out of service are still so after a restart, and that a report or a
// configuration from before, which arrives after it, doesn't bring them back. A worker
// that comes back as a new incarnation is used again.
func TestWithdrawalsOutliveRestarts(t *testing.T) {
	s := stateWithJob(t, Step{Count: 2})
	before := s.Workers[testWorker].Worker
	draining := before
	draining.Draining = true
	older := s.Config
	newer := older
	newer.Version = 2
	newer.Workspaces = []Workspace{{Name: "a", Keys: []string{"k2"}}}
	seen := func(w Worker) *Command { return &Command{Workers: &Workers{Seen: []Worker{w}}} }
	for _, c := range []*Command{
		seen(draining),
		{Configure: &Configure{Document: []byte("{}"), Config: newer}},
		{SetOut: &SetOut{DC: "dc1", Out: true}},
	} {
		applyCommand(t, s, c)
	}
	snapshot, err := s.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	restarted := NewState(nil)
	qt.Assert(t, restarted.Restore(snapshot), qt.IsNil)
	for _, state := range []*State{s, restarted} {
		applyCommand(t, state, seen(before))
		applyCommand(t, state, &Command{Configure: &Configure{Document: []byte("{}"), Config: older}})
		qt.Check(t, state.Workers[testWorker].Draining, qt.IsTrue)
		qt.Check(t, state.Config.Workspaces[0].Keys, qt.DeepEquals, []string{"k2"})
		qt.Check(t, state.OutOfService["dc1"], qt.IsTrue)
		r := applyCommand(t, state, &Command{Leadership: 2, Starts: &Starts{[]Start{startOf(0, 1)}}})
		qt.Check(t, r.Accepted, qt.HasLen, 0)
		reborn := before
		reborn.Born++
		applyCommand(t, state, seen(reborn))
		qt.Check(t, state.Workers[testWorker].Draining, qt.IsTrue, qt.Commentf("an incarnation that the scheduler hasn't confirmed"))
		confirmed := seen(reborn)
		confirmed.Leadership = 2
		applyCommand(t, state, confirmed)
		qt.Check(t, state.Workers[testWorker].Draining, qt.IsFalse)
	}
}
