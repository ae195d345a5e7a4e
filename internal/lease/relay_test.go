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

func TestLeaseCountsFromTheRequest(t *testing.T) {
	var l Lease
	l.Extend(100, 50)
	qt.Assert(t, l.Valid(149), qt.IsTrue)
	qt.Assert(t, l.Valid(150), qt.IsFalse)
	l.Extend(80, 50)
	qt.Assert(t, l.Valid(149), qt.IsTrue, qt.Commentf("an earlier request must not shorten the lease"))
	l.Expire()
	qt.Assert(t, l.Valid(0), qt.IsFalse)
	qt.Assert(t, l.Valid(-5), qt.IsFalse)
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
	r.RecordApplied(0, 10)
	qt.Assert(t, r.Confirmed(1, 10), qt.Equals, uint64(10))
	granted := r.Renew(2, "late", "dc1", 9, testTerm)
	qt.Assert(t, granted, qt.Equals, time.Duration(0))
}

func TestRelayWaitsForConfirmationOrExpiry(t *testing.T) {
	r := NewRelay(testMargin)
	r.RecordApplied(0, 9)
	r.Renew(0, "a", "dc1", 9, testTerm)
	r.RecordApplied(1, 10)
	qt.Assert(t, r.Confirmed(2, 10), qt.Equals, uint64(9))
	qt.Assert(t, r.PendingHolders(2, 10), qt.HasLen, 1)
	end := clock.Instant(testTerm + testMargin)
	qt.Assert(t, r.Confirmed(end, 10), qt.Equals, uint64(10))
	qt.Assert(t, r.PendingHolders(end, 10), qt.HasLen, 0)
}

// leaf simulates a process below two relays.
type leaf struct {
	lease   Lease
	applied uint64
}

// TestRelayTreeNeverActsOnWithdrawn runs a root, a relay below it and two leaves
// through random renewals, delays and changes of the revision. Once the root has
// confirmed a revision, neither the relay nor a leaf may act on an older one while
// its lease is unexpired.
func TestRelayTreeNeverActsOnWithdrawn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		root, relay := NewRelay(testMargin), NewRelay(testMargin)
		var relayLease Lease
		relayApplied := uint64(1)
		leaves := []*leaf{{applied: 1}, {applied: 1}}
		names := []string{"l0", "l1"}
		now, revision, inForce := clock.Instant(0), uint64(1), uint64(0)
		root.RecordApplied(now, revision)
		relay.RecordApplied(now, relayApplied)
		steps := rapid.IntRange(20, 120).Draw(t, "steps")
		for range steps {
			now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "act") {
			case 0:
				revision++
				root.RecordApplied(now, revision)
			case 1:
				relayApplied = revision
				relay.RecordApplied(now, relayApplied)
			case 2:
				asked := now
				now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "delay")) * time.Millisecond)
				relayLease.Extend(asked, root.Renew(now, "relay", "dc1", relay.Confirmed(now, relayApplied), testTerm))
			case 3:
				l := leaves[rapid.IntRange(0, 1).Draw(t, "leaf")]
				l.applied = relayApplied
			case 4:
				i := rapid.IntRange(0, 1).Draw(t, "leaf")
				term := min(testTerm, relayLease.Remaining(now))
				leaves[i].lease.Extend(now, relay.Renew(now, names[i], "dc1", leaves[i].applied, term))
			case 5:
				inForce = max(inForce, root.Confirmed(now, revision))
			}
			for i, l := range leaves {
				if l.lease.Valid(now) && l.applied < inForce {
					t.Fatalf("leaf %d acts on revision %d while %d is in force", i, l.applied, inForce)
				}
			}
			if relayLease.Valid(now) && relayApplied < inForce {
				t.Fatalf("relay acts on revision %d while %d is in force", relayApplied, inForce)
			}
		}
	})
}
