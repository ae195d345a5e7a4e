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

const (
	simJoin   = 20 * time.Second
	simFaulty = 60 * time.Second
	simHealed = 40 * time.Second
)

// simSeeds is how many seeds TestRandomFaults runs for each size of group.
var simSeeds = flag.Uint64("sim.seeds", 40, "seeds of random faults for each group size")

// allFaults is everything at once.
var allFaults = []simFault{
	{800, cutOff},
	{800, cutPair},
	{800, pauseMember},
	{1500, onLeader(pauseMember)},
	{1500, stepClock},
	{1200, crashNow},
	{500, crashAtSync},
	{4000, crashAll},
	{400, loseDisk},
	{1500, onLeader(transfer)},
}

// memoryFaults are those that members without disks survive: a process that
// ends is a disk that is lost.
var memoryFaults = []simFault{
	{800, cutOff},
	{800, cutPair},
	{800, pauseMember},
	{1500, onLeader(pauseMember)},
	{1500, stepClock},
	{400, loseDisk},
	{1500, onLeader(transfer)},
}

// witnessFaults leave the disks of the two members with the commands whole.
var witnessFaults = []simFault{
	{800, cutOff},
	{800, cutPair},
	{800, pauseMember},
	{1500, stepClock},
	{1200, crashNow},
	{500, crashAtSync},
	{4000, crashAll},
	{400, loseWitness},
	{1500, onLeader(transfer)},
}

// run lets a group form, suffer and heal, and returns the first violation.
func (s *sim) run() (violation string) {
	defer func() {
		if p := recover(); p != nil {
			violation = fmt.Sprint("panic: ", p)
		}
	}()
	s.calm = true
	s.steps(simJoin)
	s.calm = false
	s.steps(simFaulty)
	s.heal()
	s.steps(simHealed)
	s.settled()
	return s.check.violation
}

func (s *sim) steps(d time.Duration) {
	for end := s.now + d; s.now < end && s.check.violation == ""; {
		s.step()
	}
}

// settled checks that the healed group works and holds all that was
// acknowledged.
func (s *sim) settled() {
	if s.check.violation != "" {
		return
	}
	l := s.anyLeader()
	if l == nil {
		s.check.fail("no member leads after healing")
		return
	}
	for _, command := range s.check.ackedAll {
		if index := s.check.at[command]; index > l.hist.index {
			s.check.fail("%s was acknowledged at %d and is lost", command, index)
		}
	}
	if len(s.check.ackedAll) < 100 {
		s.check.fail("only %d commands were acknowledged", len(s.check.ackedAll))
	}
	for _, m := range s.members {
		if m.core == nil || m.joining || m.core.applied+20 < l.core.applied {
			s.check.fail("member %d has not caught up after healing: %s", m.self.ID, s.describe(m))
		}
	}
}

// describe says how far a member and its leader are.
func (s *sim) describe(m *simMember) string {
	if m.core == nil {
		return "down"
	}
	l := s.anyLeader()
	return fmt.Sprintf("joining %v busy %v, at %d of %d, members %v", m.joining, m.busy,
		m.core.applied, l.core.applied, l.core.raft.Members())
}

// TestSimIsDeterministic shows that a seed reproduces a run.
func TestSimIsDeterministic(t *testing.T) {
	end := func() string {
		s := newSim(3, simOptions{size: 3, faults: allFaults, lossPercent: 4})
		s.run()
		return fmt.Sprint(s.check.ackedAll, s.check.leaders, s.rng.Uint64())
	}
	qt.Assert(t, end(), qt.Equals, end())
}

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

// randomFaults runs all seeds and checks that the faults were met.
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
			total.installs += s.check.installs
			total.crashes += s.check.crashes
			total.losses += s.check.losses
			t.Logf("%d acknowledged, %d terms with a leader, %d snapshots, %d crashes at a sync, %d disks lost",
				len(s.check.ackedAll), len(s.check.leaders), s.check.installs, s.check.crashes, s.check.losses)
		})
	}
	t.Cleanup(func() {
		qt.Check(t, total.installs > 0 && total.losses > 0, qt.IsTrue)
		qt.Check(t, total.crashes > 0, qt.Equals, !o.memory)
	})
}

// TestProtectionsAreNeeded shows that the checker notices each protection's
// absence.
func TestProtectionsAreNeeded(t *testing.T) {
	const maxSeeds = 200
	var (
		cutLeader   = onLeader(cutOff)
		pauseLeader = onLeader(pauseMember)
		crashLeader = onLeader(crashNow)
		handOver    = onLeader(transfer)
	)
	cases := []struct {
		name    string
		without consensus.Protection
		faults  []simFault
	}{
		{"vote window", consensus.ProtectVoteWindow, []simFault{{800, cutPair}}},
		{"restart window", consensus.ProtectRestartWindow, []simFault{{800, onLeader(restartBehindCut)}}},
		{"up-to-date log", consensus.ProtectUpToDate, []simFault{{300, cutLeader}}},
		{"lease end", consensus.ProtectLeaseExpiry, []simFault{{300, cutLeader}, {300, pauseLeader}}},
		{"one vote a term", consensus.ProtectOneVote, []simFault{{500, crashLeader}}},
		{"lease given up", consensus.ProtectTransferLease, []simFault{{100, handOver}, {200, cutPair}}},
		{"sync before reply", 0, []simFault{{150, crashAll}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			o := simOptions{size: 3, faults: c.faults, lossPercent: 4}
			qt.Assert(t, newSim(0, o).run(), qt.Equals, "")
			o.without, o.ignoreSync = c.without, c.without == 0
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

// TestLongCut cuts one member off silently and checks who leads meanwhile and
// afterwards.
func TestLongCut(t *testing.T) {
	in := func(s *sim, from, to *simMember) { s.cuts[from.vm][to.vm] = s.now + simFaulty }
	out := func(s *sim, from, to *simMember) { s.cuts[to.vm][from.vm] = s.now + simFaulty }
	both := func(s *sim, from, to *simMember) { in(s, from, to); out(s, from, to) }
	cases := []struct {
		name   string
		leader bool
		cut    func(s *sim, from, to *simMember)
		// newTerm says that another member has to take over.
		newTerm bool
	}{
		{"follower hears nobody", false, in, false},
		{"nobody hears follower", false, out, false},
		{"follower cut off", false, both, false},
		{"leader hears nobody", true, in, true},
		{"nobody hears leader", true, out, true},
		{"leader cut off", true, both, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSim(1, simOptions{size: 3})
			s.calm = true
			s.steps(simJoin)
			m := s.anyLeader()
			if !c.leader {
				m = s.members[(m.vm+1)%3]
			}
			for _, o := range s.members {
				if o != m {
					c.cut(s, o, m)
				}
			}
			term, acked := s.check.maxTerm(), len(s.check.ackedAll)
			s.steps(simFaulty)
			qt.Assert(t, len(s.check.ackedAll) > acked+100, qt.IsTrue)
			qt.Assert(t, s.check.maxTerm() > term, qt.Equals, c.newTerm)
			term = s.check.maxTerm()
			s.steps(simHealed)
			s.settled()
			qt.Assert(t, s.check.violation, qt.Equals, "")
			qt.Assert(t, s.check.maxTerm(), qt.Equals, term)
		})
	}
}
