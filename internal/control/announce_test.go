package control

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/model"
	"kumquatwing/internal/replica"
)

// TestKnownAddrsAreBoundedAndVotersComeFirst checks that the reply to an announcement
// stays small in a large fleet, and that it names voters before learners.
func TestKnownAddrsAreBoundedAndVotersComeFirst(t *testing.T) {
	var members []replica.Member
	for i := range 176 {
		members = append(members, replica.Member{
			ID: replica.MemberID(i + 1), Addr: fmt.Sprintf("a%d", i), Learner: i%35 != 1,
		})
	}
	announced := newAnnouncements()
	for i := range 176 {
		announced.put(announcement{VM: model.VMID(fmt.Sprintf("vm%03d", i)), WireAddr: fmt.Sprintf("h%d", i)}, 0)
	}
	for _, c := range []struct {
		name    string
		members []replica.Member
		want    []string
	}{
		{"voters first", members[:40], []string{"a1", "a36", "a0", "a2", "a3"}},
		{"at most maxKnownAddrs", members, []string{"a1", "a36", "a71", "a106", "a141"}},
		{"fewer members", members[:2], []string{"a1", "a0"}},
		{"before there is a fleet group", nil, []string{"h0", "h1", "h2", "h3", "h4"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			qt.Assert(t, knownAddrs(c.members, announced), qt.DeepEquals, c.want)
		})
	}
}
