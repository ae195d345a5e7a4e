package cellnode

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/replica"
)

func voter(id replica.MemberID) replica.Member { return replica.Member{ID: id} }

func learner(id replica.MemberID) replica.Member { return replica.Member{ID: id, Learner: true} }

func TestNextChange(t *testing.T) {
	three := []replica.Member{voter(1), voter(2), voter(3)}
	with := func(ms ...replica.Member) []replica.Member {
		return append(append([]replica.Member{}, three...), ms...)
	}
	unreachable := func(id replica.MemberID, d time.Duration) map[replica.MemberID]time.Duration {
		return map[replica.MemberID]time.Duration{id: d}
	}
	for _, c := range []struct {
		name        string
		members     []replica.Member
		joining     []replica.Member
		unreachable map[replica.MemberID]time.Duration
		want        change
	}{
		{"nothing to do", three, nil, nil, change{}},
		{"join request of a member", three, []replica.Member{learner(2)}, nil, change{}},
		{"join request of a new process", three, []replica.Member{learner(4)}, nil, change{changeAdd, learner(4)}},
		{"learner with enough voters", with(learner(4)), nil, nil, change{}},
		{"learner with a voter missing", []replica.Member{voter(1), voter(2), learner(4)}, nil, nil, change{changePromote, learner(4)}},
		{"unreachable learner with a voter missing", []replica.Member{voter(1), voter(2), learner(4)}, nil, unreachable(4, time.Millisecond), change{}},
		{"voter unreachable for a short time", with(learner(4)), nil, unreachable(3, voterReplaceTimeout/2), change{}},
		{"voter unreachable for long, with a learner", with(learner(4)), nil, unreachable(3, 2*voterReplaceTimeout), change{changePromote, learner(4)}},
		{"voter unreachable for long, replaced by another voter", with(voter(4)), nil, unreachable(3, 2*voterReplaceTimeout), change{changeRemove, voter(3)}},
		{"voter unreachable for long, without a learner", three, nil, unreachable(3, 2*voterReplaceTimeout), change{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			qt.Check(t, nextChange(c.members, c.joining, c.unreachable, 3), qt.Equals, c.want)
		})
	}
}

func TestInitialVoterIDsAreDerivedFromAddresses(t *testing.T) {
	seeds := []string{"10.0.0.1:7000", "10.0.0.2:7000"}
	fs := initialVoters(seeds)
	qt.Check(t, fs[0].ID, qt.Equals, initialVoterID(seeds[0]))
	qt.Check(t, fs[0].ID, qt.Not(qt.Equals), fs[1].ID)
	qt.Check(t, fs[1].VM, qt.Equals, "10.0.0.2")
}
