package lease

import (
	"flag"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"kumquatwing/internal/clock"
)

// init fixes the seed of the property tests.
func init() {
	flag.Set("rapid.seed", "20261204")
}

const (
	testMargin = 250 * time.Millisecond
	testTerm   = 2 * time.Second
)

func TestHeldCountsFromTheRequest(t *testing.T) {
	var h Held
	h.Extend(100, 50)
	qt.Assert(t, h.Valid(149), qt.IsTrue)
	qt.Assert(t, h.Valid(150), qt.IsFalse)
	h.Extend(80, 50)
	qt.Assert(t, h.Valid(149), qt.IsTrue, qt.Commentf("an earlier request must not shorten the lease"))
	h.Expire()
	qt.Assert(t, h.Valid(0), qt.IsFalse)
	qt.Assert(t, h.Valid(-5), qt.IsFalse)
}

func TestGrantorTakeOverWaitsForUnknownHolders(t *testing.T) {
	g := NewGrantor[string](testMargin)
	g.TakeOver(0, testTerm)
	end := clock.Instant(testTerm + testMargin)
	qt.Assert(t, g.Expired("w1", end-1), qt.IsFalse)
	qt.Assert(t, g.Expired("w1", end), qt.IsTrue)
}

func TestRelayRefusesHolderOlderThanConfirmed(t *testing.T) {
	r := NewRelay(testMargin)
	r.Arrived(0, 10)
	qt.Assert(t, r.Confirmed(1, 10), qt.Equals, uint64(10))
	granted := r.Renew(2, "late", "dc1", 9, testTerm)
	qt.Assert(t, granted, qt.Equals, time.Duration(0))
}

func TestRelayWaitsForConfirmationOrExpiry(t *testing.T) {
	r := NewRelay(testMargin)
	r.Arrived(0, 9)
	r.Renew(0, "a", "dc1", 9, testTerm)
	r.Arrived(1, 10)
	qt.Assert(t, r.Confirmed(2, 10), qt.Equals, uint64(9))
	qt.Assert(t, r.Waits(2, 10), qt.HasLen, 1)
	end := clock.Instant(testTerm + testMargin)
	qt.Assert(t, r.Confirmed(end, 10), qt.Equals, uint64(10))
	qt.Assert(t, r.Waits(end, 10), qt.HasLen, 0)
}

// leaf simulates a process below two relays.
type leaf struct {
	held    Held
	applied uint64
}

// TestRelayTreeNeverActsOnWithdrawn runs a root, a relay below it and two leaves
// through random renewals, delays and changes of the revision. Once the root has
// confirmed a revision, neither the relay nor a leaf may act on an older one while
// its lease is unexpired.
func TestRelayTreeNeverActsOnWithdrawn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		root, relay := NewRelay(testMargin), NewRelay(testMargin)
		var relayHeld Held
		relayApplied := uint64(1)
		leaves := []*leaf{{applied: 1}, {applied: 1}}
		names := []string{"l0", "l1"}
		now, revision, inForce := clock.Instant(0), uint64(1), uint64(0)
		root.Arrived(now, revision)
		relay.Arrived(now, relayApplied)
		steps := rapid.IntRange(20, 120).Draw(t, "steps")
		for range steps {
			now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "act") {
			case 0:
				revision++
				root.Arrived(now, revision)
			case 1:
				relayApplied = revision
				relay.Arrived(now, relayApplied)
			case 2:
				asked := now
				now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "delay")) * time.Millisecond)
				relayHeld.Extend(asked, root.Renew(now, "relay", "dc1", relay.Confirmed(now, relayApplied), testTerm))
			case 3:
				l := leaves[rapid.IntRange(0, 1).Draw(t, "leaf")]
				l.applied = relayApplied
			case 4:
				i := rapid.IntRange(0, 1).Draw(t, "leaf")
				term := min(testTerm, relayHeld.Left(now))
				leaves[i].held.Extend(now, relay.Renew(now, names[i], "dc1", leaves[i].applied, term))
			case 5:
				inForce = max(inForce, root.Confirmed(now, revision))
			}
			for i, l := range leaves {
				if l.held.Valid(now) && l.applied < inForce {
					t.Fatalf("leaf %d acts on revision %d while %d is in force", i, l.applied, inForce)
				}
			}
			if relayHeld.Valid(now) && relayApplied < inForce {
				t.Fatalf("relay acts on revision %d while %d is in force", relayApplied, inForce)
			}
		}
	})
}
