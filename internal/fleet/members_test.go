package fleet

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/model"
	"kumquatwing/internal/replica"
	"kumquatwing/internal/verdict"
)

func registerCommand(vm model.VMID, id replica.MemberID) *Command {
	return &Command{RegisterMember: &RegisterMember{Member{VM: vm, DC: "dc1", Incarnation: id}}}
}

func bootstrapCommand(generation uint64, id replica.MemberID) *Command {
	return &Command{BootstrapGroup: &BootstrapGroup{DC: "dc1", Generation: generation, Member: id}}
}

func votersCommand(generation uint64, ids ...replica.MemberID) *Command {
	return &Command{SetGroupVoters: &SetGroupVoters{DC: "dc1", Generation: generation, Voters: ids}}
}

func TestReplacedIncarnationStaysReplaced(t *testing.T) {
	f := newConfiguredFixture(t)
	f.ok(registerCommand("vm1", 10))
	f.ok(registerCommand("vm1", 11))
	_, refusal := f.do(registerCommand("vm1", 10))
	qt.Assert(t, refusal.Reason, qt.Equals, verdict.ReasonConflict)
	f.ok(registerCommand("vm1", 11))
	qt.Assert(t, f.state.Members(), qt.HasLen, 1)
	qt.Assert(t, f.state.Members()[0].Incarnation, qt.Equals, replica.MemberID(11))
	_, refusal = f.do(&Command{RemoveMember: &RemoveMember{VM: "vm1", Incarnation: 10}})
	qt.Assert(t, refusal.Reason, qt.Equals, verdict.ReasonConflict)
	f.ok(&Command{RemoveMember: &RemoveMember{VM: "vm1", Incarnation: 11}})
	qt.Assert(t, f.state.Members(), qt.HasLen, 0)
	_, refusal = f.do(registerCommand("vm1", 11))
	qt.Assert(t, refusal.Reason, qt.Equals, verdict.ReasonConflict)
	f.ok(registerCommand("vm1", 12))
}

// TestNextGenerationNeedsLostMajority founds a group, replaces its voters one by one
// and tries to found the next generation after each replacement.
func TestNextGenerationNeedsLostMajority(t *testing.T) {
	f := newConfiguredFixture(t)
	refused := func(c *Command, text string) {
		t.Helper()
		_, refusal := f.do(c)
		qt.Assert(t, refusal, qt.IsNotNil)
		qt.Assert(t, refusal.Message, qt.Contains, text)
	}
	refused(bootstrapCommand(1, 10), "not registered")
	for i, vm := range []model.VMID{"vm1", "vm2", "vm3"} {
		f.ok(registerCommand(vm, replica.MemberID(10*(i+1))))
	}
	refused(bootstrapCommand(2, 10), "generation 0")
	f.ok(bootstrapCommand(1, 10))
	refused(bootstrapCommand(1, 20), "generation 1")
	qt.Assert(t, f.ok(bootstrapCommand(1, 10)).Duplicate, qt.IsTrue)
	f.ok(votersCommand(1, 10, 20, 30))
	refused(votersCommand(2, 10), "not at generation 2")
	refused(votersCommand(1, 99), "not registered")

	f.ok(registerCommand("vm1", 11))
	refused(bootstrapCommand(2, 11), "may still have a majority")
	f.ok(registerCommand("vm2", 21))
	f.ok(bootstrapCommand(2, 21))
	group, ok := f.state.Group("dc1")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, group.Generation, qt.Equals, uint64(2))
	qt.Assert(t, group.Voters, qt.DeepEquals, []Voter{{Member: 21, VM: "vm2"}})
	refused(votersCommand(1, 10, 20, 30), "not at generation 1")
	refused(bootstrapCommand(2, 11), "generation 2")
}
