package replica

import (
	"fmt"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"kumquatwing/internal/clock"
	"kumquatwing/internal/consensus"
	"kumquatwing/internal/storage"
	"kumquatwing/internal/storage/faultfs"
	"kumquatwing/internal/verdict"
)

const (
	// simStep is the virtual time of one step of the simulation.
	simStep = 5 * time.Millisecond
	// simTick is the tick of the members.
	simTick = DefaultTick
	// simLoadPhase is the length of the alternating phases with and without load.
	simLoadPhase = 3 * time.Second
)

// simMember is a VM with its disk and the current incarnation of its member.
type simMember struct {
	vm      int
	self    Member
	disk    *faultfs.FS
	core    *core
	machine *simMachine
	inbox   []consensus.Message
	// rate and offset define the member's clock relative to virtual time.
	rate     float64
	offset   time.Duration
	nextTick time.Duration
	// The member is paused until pausedUntil.
	pausedUntil time.Duration
	// While core is nil, the member is down until downUntil.
	downUntil time.Duration
	// lease is the end of the leader lease at the last flush.
	lease clock.Instant
	// joining is set until a new member is a voter.
	joining bool
	// changePending is set while a membership change for the member is in
	// progress.
	changePending bool
}

// simMessage is a message in transit, to be delivered at a time.
type simMessage struct {
	at time.Duration
	m  consensus.Message
}

// sim simulates a group in virtual time under random faults that a seed
// determines.
type sim struct {
	rng      *rand.Rand
	now      time.Duration
	members  []*simMember
	inFlight []simMessage
	// blockedUntil is the time until which messages from one VM to another are
	// lost.
	blockedUntil [][]time.Duration
	nextID       MemberID
	opts         simOptions
	faultsOff    bool
	checker      *checker
	commands     int
	scheduled    []simAction
}

// simAction is an action to run at a time.
type simAction struct {
	at  time.Duration
	run func()
}

// schedule runs an action after d of virtual time.
func (s *sim) schedule(d time.Duration, run func()) {
	s.scheduled = append(s.scheduled, simAction{s.now + d, run})
}

// runScheduled runs the actions that are due.
func (s *sim) runScheduled() {
	var due, rest []simAction
	for _, action := range s.scheduled {
		if action.at <= s.now {
			due = append(due, action)
		} else {
			rest = append(rest, action)
		}
	}
	s.scheduled = rest
	for _, action := range due {
		action.run()
	}
}

// simOptions are the kind of group, its faults and the protections to disable.
type simOptions struct {
	size       int
	disabled   consensus.Protection
	ignoreSync bool
	faults     []simFault
	// lossPercent is the percentage of messages that are disturbed: half of these
	// are lost, and half are sent twice.
	lossPercent int
	// memory gives the members stores in memory instead of disks.
	memory bool
	// witness makes the last member a witness.
	witness bool
}

func newSim(seed uint64, o simOptions) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 1)), opts: o, checker: newChecker()}
	s.blockedUntil = make([][]time.Duration, o.size)
	for vm := range o.size {
		s.blockedUntil[vm] = make([]time.Duration, o.size)
		m := &simMember{vm: vm, disk: faultfs.New(), rate: 0.98 + 0.04*s.rng.Float64()}
		m.offset = time.Duration(s.rng.IntN(1000)) * time.Second
		m.disk.IgnoreSync = o.ignoreSync
		s.members = append(s.members, m)
		s.newIncarnation(m)
		s.open(m, vm == 0)
	}
	return s
}

// newIncarnation gives a member without state a new ID.
func (s *sim) newIncarnation(m *simMember) {
	s.nextID++
	witness := s.opts.witness && m.vm == s.opts.size-1
	m.self = Member{ID: s.nextID, VM: fmt.Sprint(m.vm), Witness: witness}
	m.joining = s.nextID > 1
	m.changePending = false
}

// clock returns the member's own clock at a virtual time.
func (m *simMember) clock(now time.Duration) clock.Instant {
	return clock.Instant(float64(now)*m.rate) + clock.Instant(m.offset)
}

// open starts the member's process from its store.
func (s *sim) open(m *simMember, bootstrap bool) {
	store, err := s.store(m)
	if err != nil {
		s.checker.fail("member %d can't open its store: %v", m.self.ID, err)
		return
	}
	if store.Identity() == consensus.None && !m.joining {
		m.joining = m.self.ID != 1
	}
	m.machine = &simMachine{checker: s.checker}
	m.core, err = newCore(coreConfig{
		Self: m.self, Bootstrap: bootstrap, Store: store, StateMachine: m.machine, Logger: zap.NewNop(),
		Limits:  logLimits{compactBytes: 4000, keepBytes: 1000, backlogBytes: 1 << 20},
		Send:    func(out consensus.Message) { s.send(m, out) },
		Options: s.raftOptions(m),
	}, m.clock(s.now))
	if err != nil {
		s.checker.fail("member %d can't start: %v", m.self.ID, err)
	}
	m.nextTick = s.now + time.Duration(s.rng.Int64N(int64(simTick)))
	m.inbox = nil
}

func (s *sim) store(m *simMember) (storage.Store, error) {
	if s.opts.memory {
		return storage.NewMemory(), nil
	}
	return storage.Open(m.disk)
}

func (s *sim) raftOptions(m *simMember) consensus.Options {
	o := options(Config{Self: m.self, Tick: simTick})
	o.Rand = rand.New(rand.NewPCG(s.rng.Uint64(), 2))
	o.ChunkBytes = 64
	o.MaxAppendBytes = 100
	o.Disabled = s.opts.disabled
	return o
}

// send puts a message in transit; it may be lost, duplicated or delayed.
func (s *sim) send(from *simMember, m consensus.Message) {
	copies := 1
	if !s.faultsOff && s.rng.IntN(100) < s.opts.lossPercent {
		copies = 2 * s.rng.IntN(2)
	}
	for range copies {
		delay := time.Duration(1+s.rng.IntN(20)) * time.Millisecond
		if !s.faultsOff && s.rng.IntN(200) == 0 {
			delay += time.Duration(s.rng.IntN(3000)) * time.Millisecond
		}
		s.inFlight = append(s.inFlight, simMessage{s.now + delay, m})
	}
}

// find returns the member whose current incarnation is id.
func (s *sim) find(id consensus.ID) *simMember {
	for _, m := range s.members {
		if consensus.ID(m.self.ID) == id {
			return m
		}
	}
	return nil
}

// step advances virtual time by simStep and checks the invariants.
func (s *sim) step() {
	s.now += simStep
	s.deliver()
	if !s.faultsOff {
		s.runScheduled()
		s.injectFaults()
	}
	for _, m := range s.members {
		s.runMember(m)
	}
	s.joinNewMembers()
	s.generateLoad()
	for _, m := range s.members {
		s.flush(m)
	}
	s.checker.checkAll(s)
}

// deliver moves messages that have arrived to inboxes. A partition drops
// messages on arrival.
func (s *sim) deliver() {
	rest := s.inFlight[:0]
	for _, f := range s.inFlight {
		if f.at > s.now {
			rest = append(rest, f)
			continue
		}
		from, to := s.find(f.m.From), s.find(f.m.To)
		if from == nil || to == nil || to.core == nil || s.blockedUntil[from.vm][to.vm] > s.now {
			continue
		}
		to.inbox = append(to.inbox, f.m)
	}
	s.inFlight = rest
}

// runMember handles a member's messages and tick, unless it is paused. A member
// that is down restarts when its time has come.
func (s *sim) runMember(m *simMember) {
	if m.core == nil {
		if s.now >= m.downUntil {
			m.disk.Restart(s.rng)
			s.open(m, false)
		}
		return
	}
	if s.now < m.pausedUntil {
		return
	}
	for _, msg := range m.inbox {
		m.core.raft.Step(m.clock(s.now), msg)
	}
	m.inbox = nil
	if s.now >= m.nextTick {
		m.core.raft.Tick(m.clock(s.now))
		m.nextTick = s.now + time.Duration(float64(simTick)/m.rate)
	}
}

// flush performs a member's pending work and updates its lease.
func (s *sim) flush(m *simMember) {
	if m.core == nil || s.now < m.pausedUntil {
		return
	}
	if m.core.flush() == nil {
		m.lease = m.core.raft.LeaseUntil()
		return
	}
	if !m.disk.Crashed() {
		s.checker.fail("member %d failed: %v", m.self.ID, m.core.failed)
	}
	s.checker.syncCrashes++
	s.crash(m)
}

// crash ends the member's process. Data that was not synced may be lost.
func (s *sim) crash(m *simMember) {
	m.disk.Crash()
	m.core.failPending("process ended")
	m.core, m.lease, m.inbox = nil, 0, nil
	m.downUntil = s.now + s.randomUpTo(200*time.Millisecond)
	if s.rng.IntN(2) == 0 {
		m.downUntil = s.now + s.randomUpTo(3*time.Second)
	}
	if s.faultsOff {
		m.downUntil = s.now
	}
}

// joinNewMembers adds and promotes new members through the leader.
func (s *sim) joinNewMembers() {
	l := s.anyLeader()
	if l == nil {
		return
	}
	for _, m := range s.members {
		if !m.joining || m.changePending || m.core == nil {
			continue
		}
		known, ok := l.core.raft.Members().Find(consensus.ID(m.self.ID))
		if ok && !known.Learner && l.core.raft.Commit() >= l.core.raft.Last() {
			m.joining = false
			continue
		}
		s.changeMembership(l, m, ok)
	}
}

// changeMembership adds a member as a learner or promotes it.
func (s *sim) changeMembership(l, m *simMember, known bool) {
	kind := changeAdd
	if known {
		kind = changePromote
	}
	m.changePending = true
	id := m.self.ID
	l.core.change(kind, m.self, func([]byte, error) {
		if m.self.ID == id {
			m.changePending = false
		}
	})
}

// anyLeader returns a random running member that considers itself the leader, or
// nil.
func (s *sim) anyLeader() *simMember {
	for _, i := range s.rng.Perm(len(s.members)) {
		if m := s.members[i]; m.core != nil && s.now >= m.pausedUntil && m.core.raft.IsLeader() {
			return m
		}
	}
	return nil
}

// generateLoad proposes a command or reads at random. In the phases without
// load, all logs become equal, so that any member can be elected.
func (s *sim) generateLoad() {
	idle := s.now/simLoadPhase%2 == 1
	if idle || s.rng.IntN(4) != 0 {
		return
	}
	l := s.anyLeader()
	if l == nil {
		return
	}
	if s.rng.IntN(4) == 0 {
		s.read(l)
		return
	}
	s.commands++
	command := fmt.Sprintf("command-%d", s.commands)
	l.core.propose([]byte(command), func(_ []byte, err error) {
		if err == nil {
			s.checker.acked(command)
		} else if verdict.FromError(err).Verdict == verdict.NotRun {
			s.checker.refused(command)
		}
	})
}

// read performs a linearizable read and checks that it covers all commands
// acknowledged before.
func (s *sim) read(l *simMember) {
	before := s.checker.maxAckedIndex
	l.core.readIndex(l.clock(s.now), func(index uint64, err error) {
		if err == nil && index < before {
			s.checker.fail("read at index %d misses acknowledged index %d", index, before)
		}
	})
}
