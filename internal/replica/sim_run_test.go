package replica

import (
	"flag"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/consensus"
)

// The virtual times for which a run forms the group, injects faults and lets the
// group recover.
const (
	simFormTime     = 20 * time.Second
	simFaultTime    = 60 * time.Second
	simRecoveryTime = 40 * time.Second
)

// simSeeds is the number of seeds that TestRandomFaults runs for each kind of
// group.
var simSeeds = flag.Uint64("sim.seeds", 40, "seeds of random faults for each group size")

// allFaults are all faults that apply to any group.
var allFaults = []simFault{
	{800, isolate},
	{800, partitionPair},
	{800, pauseMember},
	{1500, onLeader(pauseMember)},
	{1500, advanceClock},
	{1200, crashNow},
	{500, crashAtSync},
	{4000, crashAll},
	{400, wipeDisk},
	{1500, onLeader(transferLeadership)},
}

// memoryFaults are the faults for members without disks. A member that crashes
// loses its state, so that wipeDisk stands for crashes too.
var memoryFaults = []simFault{
	{800, isolate},
	{800, partitionPair},
	{800, pauseMember},
	{1500, onLeader(pauseMember)},
	{1500, advanceClock},
	{400, wipeDisk},
	{1500, onLeader(transferLeadership)},
}

// witnessFaults never wipe the disks of the two members that store commands.
var witnessFaults = []simFault{
	{800, isolate},
	{800, partitionPair},
	{800, pauseMember},
	{1500, advanceClock},
	{1200, crashNow},
	{500, crashAtSync},
	{4000, crashAll},
	{400, wipeWitnessDisk},
	{1500, onLeader(transferLeadership)},
}

// run forms a group, injects faults, lets the group recover, and returns the
// first violation.
func (s *sim) run() (violation string) {
	defer func() {
		if p := recover(); p != nil {
			violation = fmt.Sprint("panic: ", p)
		}
	}()
	s.faultsOff = true
	s.runFor(simFormTime)
	s.faultsOff = false
	s.runFor(simFaultTime)
	s.clearFaults()
	s.runFor(simRecoveryTime)
	s.checkRecovered()
	return s.checker.violation
}

// runFor runs the simulation for d or until the first violation.
func (s *sim) runFor(d time.Duration) {
	for end := s.now + d; s.now < end && s.checker.violation == ""; {
		s.step()
	}
}

// checkRecovered checks that the group works after the faults have ended and
// that no acknowledged command is lost.
func (s *sim) checkRecovered() {
	if s.checker.violation != "" {
		return
	}
	l := s.anyLeader()
	if l == nil {
		s.checker.fail("no member leads after recovery")
		return
	}
	for _, command := range s.checker.ackedCommands {
		if index := s.checker.appliedAt[command]; index > l.machine.index {
			s.checker.fail("%s was acknowledged at %d and is lost", command, index)
		}
	}
	if len(s.checker.ackedCommands) < 100 {
		s.checker.fail("only %d commands were acknowledged", len(s.checker.ackedCommands))
	}
	for _, m := range s.members {
		if m.core == nil || m.joining || m.core.applied+20 < l.core.applied {
			s.checker.fail("member %d has not caught up after recovery: %s", m.self.ID, s.describe(m))
		}
	}
}

// describe returns a member's progress and that of its leader.
func (s *sim) describe(m *simMember) string {
	if m.core == nil {
		return "down"
	}
	l := s.anyLeader()
	return fmt.Sprintf("joining %v, change pending %v, applied %d of %d, members %v", m.joining, m.changePending,
		m.core.applied, l.core.applied, l.core.raft.Members())
}

// TestSimIsDeterministic checks that the same seed gives the same run.
func TestSimIsDeterministic(t *testing.T) {
	result := func() string {
		s := newSim(3, simOptions{size: 3, faults: allFaults, lossPercent: 4})
		s.run()
		return fmt.Sprint(s.checker.ackedCommands, s.checker.leaders, s.rng.Uint64())
	}
	qt.Assert(t, result(), qt.Equals, result())
}

// TestRandomFaults runs groups of several kinds under random faults.
func TestRandomFaults(t *testing.T) {
	cases := []struct {
		name string
		o    simOptions
	}{
		{"3 members", simOptions{size: 3, faults: allFaults}},
		{"5 members", simOptions{size: 5, faults: allFaults}},
		{"3 members without disks", simOptions{size: 3, faults: memoryFaults, memory: true}},
		{"2 members and a witness", simOptions{size: 3, faults: witnessFaults, witness: true}},
	}
	for _, c := range cases {
		c.o.lossPercent = 4
		t.Run(c.name, func(t *testing.T) { randomFaults(t, c.o) })
	}
}

// randomFaults runs all seeds in parallel and checks that the faults occurred.
func randomFaults(t *testing.T, o simOptions) {
	var mu sync.Mutex
	var total checker
	for seed := range *simSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			s := newSim(seed, o)
			qt.Assert(t, s.run(), qt.Equals, "")
			mu.Lock()
			defer mu.Unlock()
			total.restores += s.checker.restores
			total.syncCrashes += s.checker.syncCrashes
			total.diskLosses += s.checker.diskLosses
			t.Logf("%d commands acknowledged, %d terms with a leader, %d snapshots restored, %d crashes at a sync, %d disks wiped",
				len(s.checker.ackedCommands), len(s.checker.leaders), s.checker.restores, s.checker.syncCrashes, s.checker.diskLosses)
		})
	}
	t.Cleanup(func() {
		qt.Check(t, total.restores > 0 && total.diskLosses > 0, qt.IsTrue)
		qt.Check(t, total.syncCrashes > 0, qt.Equals, !o.memory)
	})
}

// TestProtectionsAreNeeded checks that the simulation detects the absence of
// each protection of the algorithm: without it, some seed gives a violation.
func TestProtectionsAreNeeded(t *testing.T) {
	const maxSeeds = 200
	var (
		isolateLeader      = onLeader(isolate)
		pauseLeader        = onLeader(pauseMember)
		crashLeader        = onLeader(crashNow)
		transferFromLeader = onLeader(transferLeadership)
	)
	cases := []struct {
		name     string
		disabled consensus.Protection
		faults   []simFault
	}{
		{"vote window", consensus.ProtectVoteWindow, []simFault{{800, partitionPair}}},
		{"restart window", consensus.ProtectRestartWindow, []simFault{{800, onLeader(restartDuringPartition)}}},
		{"up-to-date log", consensus.ProtectUpToDate, []simFault{{300, isolateLeader}}},
		{"lease expiry", consensus.ProtectLeaseExpiry, []simFault{{300, isolateLeader}, {300, pauseLeader}}},
		{"one vote per term", consensus.ProtectOneVote, []simFault{{500, crashLeader}}},
		{"lease given up on transfer", consensus.ProtectTransferLease, []simFault{{100, transferFromLeader}, {200, partitionPair}}},
		{"sync before reply", 0, []simFault{{150, crashAll}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			o := simOptions{size: 3, faults: c.faults, lossPercent: 4}
			qt.Assert(t, newSim(0, o).run(), qt.Equals, "")
			o.disabled, o.ignoreSync = c.disabled, c.disabled == 0
			for seed := range uint64(maxSeeds) {
				if v := newSim(seed, o).run(); v != "" {
					t.Logf("seed %d: %s", seed, v)
					return
				}
			}
			t.Fatalf("no violation in %d seeds", maxSeeds)
		})
	}
}

// TestLongPartition drops the messages to or from one member for a minute.
// Writes must continue, and the leader may change only if the leader itself is
// affected; when the partition ends, no election may take place.
func TestLongPartition(t *testing.T) {
	in := func(s *sim, from, to *simMember) { s.blockedUntil[from.vm][to.vm] = s.now + simFaultTime }
	out := func(s *sim, from, to *simMember) { s.blockedUntil[to.vm][from.vm] = s.now + simFaultTime }
	both := func(s *sim, from, to *simMember) { in(s, from, to); out(s, from, to) }
	cases := []struct {
		name   string
		leader bool
		block  func(s *sim, from, to *simMember)
		// newTerm is set if another member has to take over.
		newTerm bool
	}{
		{"follower receives nothing", false, in, false},
		{"follower's messages are lost", false, out, false},
		{"follower isolated", false, both, false},
		{"leader receives nothing", true, in, true},
		{"leader's messages are lost", true, out, true},
		{"leader isolated", true, both, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSim(1, simOptions{size: 3})
			s.faultsOff = true
			s.runFor(simFormTime)
			m := s.anyLeader()
			if !c.leader {
				m = s.members[(m.vm+1)%3]
			}
			for _, o := range s.members {
				if o != m {
					c.block(s, o, m)
				}
			}
			term, acked := s.checker.maxTerm(), len(s.checker.ackedCommands)
			s.runFor(simFaultTime)
			qt.Assert(t, len(s.checker.ackedCommands) > acked+100, qt.IsTrue)
			qt.Assert(t, s.checker.maxTerm() > term, qt.Equals, c.newTerm)
			term = s.checker.maxTerm()
			s.runFor(simRecoveryTime)
			s.checkRecovered()
			qt.Assert(t, s.checker.violation, qt.Equals, "")
			qt.Assert(t, s.checker.maxTerm(), qt.Equals, term)
		})
	}
}
