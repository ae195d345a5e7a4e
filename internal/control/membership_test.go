package control

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/model"
	"kumquatwing/internal/replica"
)

func cand(id uint64, vm, dc string, disk, silent bool) candidate {
	return candidate{id: replica.MemberID(id), vm: model.VMID(vm), dc: model.DCID(dc), addr: vm, disk: disk, silent: silent}
}

func member(id uint64, vm string, learner bool) replica.Member {
	return replica.Member{ID: replica.MemberID(id), VM: vm, Addr: vm, Learner: learner}
}

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
			[]replica.Member{member(1, "a", false)},
			[]candidate{cand(1, "a", "dc1", true, false), cand(2, "b", "dc2", true, false)},
			changeAdd, 2,
		},
		{
			"a process with a lost disk is added under its new identity",
			[]replica.Member{member(1, "a", false), member(2, "b", false)},
			[]candidate{cand(1, "a", "dc1", true, false), cand(9, "b", "dc2", true, false)},
			changeAdd, 9,
		},
		{
			"a data centre without a voter gets one, with a disk if it has one",
			[]replica.Member{member(1, "a", false), member(2, "b", true), member(3, "c", true)},
			[]candidate{cand(1, "a", "dc1", true, false), cand(2, "b", "dc2", false, false), cand(3, "c", "dc2", true, false)},
			changePromote, 3,
		},
		{
			"a silent voter's data centre gets another",
			[]replica.Member{member(1, "a", false), member(2, "b", false), member(3, "c", true)},
			[]candidate{cand(1, "a", "dc1", true, false), cand(2, "b", "dc2", true, true), cand(3, "c", "dc2", true, false)},
			changePromote, 3,
		},
		{
			"and only then the silent one is removed",
			[]replica.Member{member(1, "a", false), member(2, "b", false), member(3, "c", false)},
			[]candidate{cand(1, "a", "dc1", true, false), cand(2, "b", "dc2", true, true), cand(3, "c", "dc2", true, false)},
			changeRemove, 2,
		},
		{
			"a silent voter alone in its data centre stays",
			[]replica.Member{member(1, "a", false), member(2, "b", false)},
			[]candidate{cand(1, "a", "dc1", true, false), cand(2, "b", "dc2", true, true)},
			changeNone, 0,
		},
		{
			"a second voter of one data centre is not wanted",
			[]replica.Member{member(1, "a", false), member(2, "b", true)},
			[]candidate{cand(1, "a", "dc1", true, false), cand(2, "b", "dc1", true, false)},
			changeNone, 0,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := nextFleetChange(c.members, c.candidates)
			qt.Assert(t, got.kind, qt.Equals, c.kind)
			qt.Assert(t, got.member.ID, qt.Equals, replica.MemberID(c.id))
		})
	}
}
