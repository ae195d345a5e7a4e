package cellnode

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/cellapi"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/replica"
)

func voter(id replica.MemberID) replica.Member { return replica.Member{ID: id} }

func learner(id replica.MemberID) replica.Member { return replica.Member{ID: id, Learner: true} }

// TestNextChange checks the next membership change for groups in different states.
func TestNextChange(t *testing.T) {
	three := []replica.Member{voter(1), voter(2), voter(3)}
	with := func(ms ...replica.Member) []replica.Member {
		return append(append([]replica.Member{}, three...), ms...)
	}
	ids := func(ids ...replica.MemberID) []replica.MemberID { return ids }
	set := func(ids ...replica.MemberID) map[replica.MemberID]bool {
		out := map[replica.MemberID]bool{}
		for _, id := range ids {
			out[id] = true
		}
		return out
	}
	for _, c := range []struct {
		name string
		view membershipView
		want change
	}{
		{"nothing to do", membershipView{members: three}, change{}},
		{"request of a member", membershipView{members: three, joining: []replica.Member{learner(2)}}, change{}},
		{"request of a new process", membershipView{members: three, joining: []replica.Member{learner(4)}}, change{changeAdd, learner(4)}},
		{"learner with enough voters", membershipView{members: with(learner(4)), caughtUp: ids(4)}, change{}},
		{
			"learner with a voter missing",
			membershipView{members: []replica.Member{voter(1), voter(2), learner(4)}, caughtUp: ids(4)},
			change{changePromote, learner(4)},
		},
		{
			"learner that lags, with a voter missing",
			membershipView{members: []replica.Member{voter(1), voter(2), learner(4)}},
			change{},
		},
		{"lost voter, with a learner", membershipView{members: with(learner(4)), caughtUp: ids(4), lost: set(3)}, change{changeRemove, voter(3)}},
		{"lost voter, with a learner that lags", membershipView{members: with(learner(4)), lost: set(3)}, change{}},
		{"lost voter, without a learner", membershipView{members: three, lost: set(3)}, change{}},
		{"lost voter beside enough others", membershipView{members: with(voter(4)), lost: set(3)}, change{changeRemove, voter(3)}},
		{"lost learner", membershipView{members: with(learner(4)), lost: set(4)}, change{}},
		{"learner that is gone", membershipView{members: with(learner(4)), lost: set(4), gone: set(4)}, change{changeRemove, learner(4)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.view.voters = 3
			qt.Check(t, c.view.nextChange(), qt.Equals, c.want)
		})
	}
}

// TestReplacementFitsInCatchUpTime guards against lost voters that still count when the
// next one may be lost: the timeout has to leave time for an election and the changes.
func TestReplacementFitsInCatchUpTime(t *testing.T) {
	const start = clock.Instant(time.Hour)
	for _, catchUp := range []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second} {
		since := map[replica.MemberID]clock.Instant{3: start}
		qt.Check(t, unreachableFor(since, start.Add(catchUp/8), catchUp/replaceTimeoutDivisor), qt.HasLen, 0)
		qt.Check(t, unreachableFor(since, start.Add(catchUp/2), catchUp/replaceTimeoutDivisor), qt.DeepEquals, map[replica.MemberID]bool{3: true})
	}
}

// TestNewestProcessOfVMJoins guards against a process that lost its store being added
// in place of its successor on the same VM.
func TestNewestProcessOfVMJoins(t *testing.T) {
	n := &Node{clock: clock.Boot{}, joining: map[string]joinRequest{}}
	n.recordJoinRequest(cellapi.Member{ID: 1, VM: "a", Addr: "a:1"})
	n.recordJoinRequest(cellapi.Member{ID: 2, VM: "a", Addr: "a:1"})
	qt.Check(t, n.recentJoinRequests(n.clock.Now()), qt.DeepEquals, []replica.Member{{ID: 2, VM: "a", Addr: "a:1", Learner: true}})
	n.dropJoinRequest(replica.Member{ID: 1, VM: "a"})
	qt.Check(t, n.recentJoinRequests(n.clock.Now()), qt.HasLen, 1)
	n.dropJoinRequest(replica.Member{ID: 2, VM: "a"})
	qt.Check(t, n.recentJoinRequests(n.clock.Now()), qt.HasLen, 0)
}

func TestInitialVoterIDsAreDerivedFromAddresses(t *testing.T) {
	seeds := []string{"10.0.0.1:7000", "10.0.0.2:7000"}
	fs := initialVoters(seeds)
	qt.Check(t, fs[0].ID, qt.Equals, initialVoterID(seeds[0]))
	qt.Check(t, fs[0].ID, qt.Not(qt.Equals), fs[1].ID)
	qt.Check(t, fs[1].VM, qt.Equals, "10.0.0.2")
}
