package replica

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/clock"
	"kumquatwing/internal/consensus"
)

// TestLostQuorumIsLogged guards against a group without a quorum that says nothing:
// the log must name the members, and which of them are heard.
func TestLostQuorumIsLogged(t *testing.T) {
	const start = clock.Instant(time.Hour)
	w := leaderWatch{heardAt: map[consensus.ID]clock.Instant{}}
	qt.Check(t, w.observe(true, start), qt.IsFalse)
	qt.Check(t, w.observe(false, start.Add(time.Second)), qt.IsFalse)
	qt.Check(t, w.observe(false, start.Add(time.Second+noLeaderLogDelay-1)), qt.IsFalse, qt.Commentf("an election is no event"))
	qt.Check(t, w.observe(false, start.Add(time.Second+noLeaderLogDelay)), qt.IsTrue)
	qt.Check(t, w.observe(false, start.Add(2*time.Second+noLeaderLogDelay)), qt.IsFalse, qt.Commentf("the lines are bounded"))
	qt.Check(t, w.observe(false, start.Add(time.Second+noLeaderLogDelay+noLeaderLogInterval)), qt.IsTrue)
	w.observe(true, start.Add(20*time.Second))
	qt.Check(t, w.observe(false, start.Add(21*time.Second)), qt.IsFalse, qt.Commentf("a new outage begins anew"))

	w.heard(2, start)
	members := consensus.Members{{ID: 1, VM: "a"}, {ID: 2, VM: "b"}, {ID: 3, VM: "c", Learner: true}}
	qt.Check(t, w.describe(members, 1, start.Add(1500*time.Millisecond)), qt.DeepEquals, []string{
		"b (2) voter, heard 1.5s ago", "c (3) learner, never heard",
	})
}
