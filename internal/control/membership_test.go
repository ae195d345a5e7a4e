package control

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/clock"
	"kumquatwing/internal/fleet"
	"kumquatwing/internal/model"
	"kumquatwing/internal/replica"
)

func newCandidate(id uint64, vm, dc string, disk, unreachable bool) candidate {
	return candidate{id: replica.MemberID(id), vm: model.VMID(vm), dc: model.DCID(dc), addr: vm, disk: disk, unreachable: unreachable}
}

func unheard(c candidate) candidate {
	c.unheard = true
	return c
}

func newMember(id uint64, vm string, learner bool) replica.Member {
	return replica.Member{ID: replica.MemberID(id), VM: vm, Addr: vm, Learner: learner}
}

// TestNewLeaderWaitsForAnnouncements guards against a new leader that takes the voters
// that have not announced themselves to it yet as lost, and promotes others.
func TestNewLeaderWaitsForAnnouncements(t *testing.T) {
	const leadingSince = clock.Instant(time.Hour)
	members := []replica.Member{newMember(1, "a", false), newMember(2, "b", false), newMember(3, "c", true)}
	announced := []receivedAnnouncement{
		{announcement{VM: "a", DC: "dc1", ID: 1, Disk: true}, leadingSince - clock.Instant(time.Minute)},
		{announcement{VM: "c", DC: "dc2", ID: 3, Disk: true}, leadingSince},
	}
	registered := []fleet.Member{{VM: "a", DC: "dc1", Incarnation: 1}, {VM: "b", DC: "dc2", Incarnation: 2}, {VM: "c", DC: "dc2", Incarnation: 3}}
	after := func(d time.Duration) membershipChange {
		return nextFleetChange(members, fleetCandidates(announced, registered, leadingSince, leadingSince.Add(d)), 1)
	}
	qt.Check(t, after(600*time.Millisecond).kind, qt.Equals, changeNone)
	announced[1].receivedAt = leadingSince.Add(unreachableAfter)
	got := after(unreachableAfter + time.Millisecond)
	qt.Check(t, got.kind, qt.Equals, changePromote)
	qt.Check(t, got.member.ID, qt.Equals, replica.MemberID(3))
}

// TestNextFleetChange checks the next change for fleet groups in different states.
func TestNextFleetChange(t *testing.T) {
	cases := []struct {
		name       string
		members    []replica.Member
		candidates []candidate
		kind       changeKind
		id         uint64
	}{
		{
			"a new process is added",
			[]replica.Member{newMember(1, "a", false)},
			[]candidate{newCandidate(1, "a", "dc1", true, false), newCandidate(2, "b", "dc2", true, false)},
			changeAdd, 2,
		},
		{
			"a process that lost its disk is added under its new identity",
			[]replica.Member{newMember(1, "a", false), newMember(2, "b", false)},
			[]candidate{newCandidate(1, "a", "dc1", true, false), newCandidate(9, "b", "dc2", true, false)},
			changeAdd, 9,
		},
		{
			"a data centre without a voter gets one, on a VM with a disk if there is one",
			[]replica.Member{newMember(1, "a", false), newMember(2, "b", true), newMember(3, "c", true)},
			[]candidate{newCandidate(1, "a", "dc1", true, false), newCandidate(2, "b", "dc2", false, false), newCandidate(3, "c", "dc2", true, false)},
			changePromote, 3,
		},
		{
			"the data centre of an unreachable voter gets another voter",
			[]replica.Member{newMember(1, "a", false), newMember(2, "b", false), newMember(3, "c", true)},
			[]candidate{newCandidate(1, "a", "dc1", true, false), newCandidate(2, "b", "dc2", true, true), newCandidate(3, "c", "dc2", true, false)},
			changePromote, 3,
		},
		{
			"an unreachable voter is removed once its data centre has another",
			[]replica.Member{newMember(1, "a", false), newMember(2, "b", false), newMember(3, "c", false)},
			[]candidate{newCandidate(1, "a", "dc1", true, false), newCandidate(2, "b", "dc2", true, true), newCandidate(3, "c", "dc2", true, false)},
			changeRemove, 2,
		},
		{
			"an unreachable voter stays if its data centre has no other",
			[]replica.Member{newMember(1, "a", false), newMember(2, "b", false)},
			[]candidate{newCandidate(1, "a", "dc1", true, false), newCandidate(2, "b", "dc2", true, true)},
			changeNone, 0,
		},
		{
			"a second reachable voter of a data centre is removed",
			[]replica.Member{newMember(1, "a", false), newMember(2, "b", false), newMember(3, "c", false)},
			[]candidate{newCandidate(1, "a", "dc1", true, false), newCandidate(2, "b", "dc2", true, false), newCandidate(3, "c", "dc2", true, false)},
			changeRemove, 3,
		},
		{
			"of two voters of a data centre the leader stays",
			[]replica.Member{newMember(3, "c", false), newMember(1, "a", false)},
			[]candidate{newCandidate(3, "c", "dc1", true, false), newCandidate(1, "a", "dc1", false, false)},
			changeRemove, 3,
		},
		{
			"a voter that has not announced itself yet counts as the voter of its data centre",
			[]replica.Member{newMember(1, "a", false), newMember(2, "b", false), newMember(3, "c", true)},
			[]candidate{newCandidate(1, "a", "dc1", true, false), unheard(newCandidate(2, "b", "dc2", true, false)), newCandidate(3, "c", "dc2", true, false)},
			changeNone, 0,
		},
		{
			"a registered process that has not announced itself is not added",
			[]replica.Member{newMember(1, "a", false)},
			[]candidate{newCandidate(1, "a", "dc1", true, false), unheard(newCandidate(2, "b", "dc2", true, false))},
			changeNone, 0,
		},
		{
			"a data centre gets no second voter",
			[]replica.Member{newMember(1, "a", false), newMember(2, "b", true)},
			[]candidate{newCandidate(1, "a", "dc1", true, false), newCandidate(2, "b", "dc1", true, false)},
			changeNone, 0,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := nextFleetChange(c.members, c.candidates, 1)
			qt.Assert(t, got.kind, qt.Equals, c.kind)
			qt.Assert(t, got.member.ID, qt.Equals, replica.MemberID(c.id))
		})
	}
}
