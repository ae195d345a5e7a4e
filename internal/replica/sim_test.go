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
	// simStep is how far virtual time moves at once.
	simStep = 5 * time.Millisecond
	// simTick is the members' tick.
	simTick = DefaultTick
	// simQuiet is how long load and quiet last in turn.
	simQuiet = 3 * time.Second
)

// simMember is one VM with its disk and its present incarnation.
type simMember struct {
	vm    int
	self  Member
	disk  *faultfs.FS
	core  *core
	hist  *simMachine
	inbox []consensus.Message
	// rate and offset make the member's clock.
	rate     float64
	offset   time.Duration
	nextTick time.Duration
	paused   time.Duration // until then
	down     time.Duration // until then, while core is nil
	lease    clock.Instant // as published at the last flush
	joining  bool          // has to be added and promoted
	busy     bool          // a membership change is under way
}

// simMessage is a message on its way.
type simMessage struct {
	at time.Duration
	m  consensus.Message
}

// sim runs a group in virtual time under faults drawn from a seed.
type sim struct {
	rng     *rand.Rand
	now     time.Duration
	members []*simMember
	flying  []simMessage
	// cuts holds until when messages from one VM to another are lost.
	cuts    [][]time.Duration
	nextID  MemberID
	opts    simOptions
	calm    bool
	check   *checker
	command int
	planned []simPlan
}

// simPlan is something that happens at a later time.
type simPlan struct {
	at time.Duration
	do func()
}

func (s *sim) later(d time.Duration, do func()) {
	s.planned = append(s.planned, simPlan{s.now + d, do})
}

func (s *sim) runPlanned() {
	var due, rest []simPlan
	for _, p := range s.planned {
		if p.at <= s.now {
			due = append(due, p)
		} else {
			rest = append(rest, p)
		}
	}
	s.planned = rest
	for _, p := range due {
		p.do()
	}
}

// simOptions choose the faults and take protections out.
type simOptions struct {
	size       int
	without    consensus.Protection
	ignoreSync bool
	faults     []simFault
	// lossPercent of messages are lost, and as many repeated.
	lossPercent int
	// memory gives the members no disks.
	memory bool
	// witness makes the last member a witness.
	witness bool
}

func newSim(seed uint64, o simOptions) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 1)), opts: o, check: newChecker()}
	s.cuts = make([][]time.Duration, o.size)
	for vm := range o.size {
		s.cuts[vm] = make([]time.Duration, o.size)
		m := &simMember{vm: vm, disk: faultfs.New(), rate: 0.98 + 0.04*s.rng.Float64()}
		m.offset = time.Duration(s.rng.IntN(1000)) * time.Second
		m.disk.IgnoreSync = o.ignoreSync
		s.members = append(s.members, m)
		s.incarnate(m)
		s.open(m, vm == 0)
	}
	return s
}

// incarnate gives a member without state a new identity.
func (s *sim) incarnate(m *simMember) {
	s.nextID++
	witness := s.opts.witness && m.vm == s.opts.size-1
	m.self = Member{ID: s.nextID, VM: fmt.Sprint(m.vm), Witness: witness}
	m.joining = s.nextID > 1
	m.busy = false
}

func (m *simMember) clock(now time.Duration) clock.Instant {
	return clock.Instant(float64(now)*m.rate) + clock.Instant(m.offset)
}

// open starts the member's process from its disk.
func (s *sim) open(m *simMember, found bool) {
	store, err := s.store(m)
	if err != nil {
		s.check.fail("member %d can't open its store: %v", m.self.ID, err)
		return
	}
	if store.Identity() == consensus.None && !m.joining {
		m.joining = m.self.ID != 1
	}
	m.hist = &simMachine{check: s.check}
	m.core, err = newCore(coreConfig{
		Self: m.self, Found: found, Store: store, Machine: m.hist, Logger: zap.NewNop(),
		Limits:  logLimits{compactBytes: 4000, keepBytes: 1000, backlogBytes: 1 << 20},
		Send:    func(out consensus.Message) { s.send(m, out) },
		Options: s.raftOptions(m),
	}, m.clock(s.now))
	if err != nil {
		s.check.fail("member %d can't start: %v", m.self.ID, err)
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
	o.Disabled = s.opts.without
	return o
}

// send puts a message on its way, or loses or repeats it.
func (s *sim) send(from *simMember, m consensus.Message) {
	copies := 1
	if !s.calm && s.rng.IntN(100) < s.opts.lossPercent {
		copies = 2 * s.rng.IntN(2)
	}
	for range copies {
		delay := time.Duration(1+s.rng.IntN(20)) * time.Millisecond
		if !s.calm && s.rng.IntN(200) == 0 {
			delay += time.Duration(s.rng.IntN(3000)) * time.Millisecond
		}
		s.flying = append(s.flying, simMessage{s.now + delay, m})
	}
}

// find returns the member whose present incarnation is id.
func (s *sim) find(id consensus.ID) *simMember {
	for _, m := range s.members {
		if consensus.ID(m.self.ID) == id {
			return m
		}
	}
	return nil
}

// step moves virtual time on by simStep and checks everything.
func (s *sim) step() {
	s.now += simStep
	s.deliver()
	if !s.calm {
		s.runPlanned()
		s.inject()
	}
	for _, m := range s.members {
		s.runMember(m)
	}
	s.operate()
	s.load()
	for _, m := range s.members {
		s.flush(m)
	}
	s.check.step(s)
}

// deliver moves arrived messages to inboxes; cuts act on arrival.
func (s *sim) deliver() {
	rest := s.flying[:0]
	for _, f := range s.flying {
		if f.at > s.now {
			rest = append(rest, f)
			continue
		}
		from, to := s.find(f.m.From), s.find(f.m.To)
		if from == nil || to == nil || to.core == nil || s.cuts[from.vm][to.vm] > s.now {
			continue
		}
		to.inbox = append(to.inbox, f.m)
	}
	s.flying = rest
}

// runMember lets a member that isn't paused take its messages and ticks.
func (s *sim) runMember(m *simMember) {
	if m.core == nil {
		if s.now >= m.down {
			m.disk.Restart(s.rng)
			s.open(m, false)
		}
		return
	}
	if s.now < m.paused {
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

func (s *sim) flush(m *simMember) {
	if m.core == nil || s.now < m.paused {
		return
	}
	if m.core.flush() == nil {
		m.lease = m.core.raft.LeaseUntil()
		return
	}
	if !m.disk.Crashed() {
		s.check.fail("member %d failed: %v", m.self.ID, m.core.failed)
	}
	s.check.crashes++
	s.crash(m)
}

// crash ends the member's process; what was not synced may be gone.
func (s *sim) crash(m *simMember) {
	m.disk.Crash()
	m.core.abandon("process ended")
	m.core, m.lease, m.inbox = nil, 0, nil
	m.down = s.now + s.upTo(200*time.Millisecond)
	if s.rng.IntN(2) == 0 {
		m.down = s.now + s.upTo(3*time.Second)
	}
	if s.calm {
		m.down = s.now
	}
}

// operate adds and promotes members that are new.
func (s *sim) operate() {
	l := s.anyLeader()
	if l == nil {
		return
	}
	for _, m := range s.members {
		if !m.joining || m.busy || m.core == nil {
			continue
		}
		known, ok := l.core.raft.Members().Find(consensus.ID(m.self.ID))
		if ok && !known.Learner && l.core.raft.Commit() >= l.core.raft.Last() {
			m.joining = false
			continue
		}
		s.change(l, m, ok)
	}
}

func (s *sim) change(l, m *simMember, known bool) {
	kind := changeAdd
	if known {
		kind = changePromote
	}
	m.busy = true
	id := m.self.ID
	l.core.change(kind, m.self, func([]byte, error) {
		if m.self.ID == id {
			m.busy = false
		}
	})
}

// anyLeader returns a member that runs and believes that it leads.
func (s *sim) anyLeader() *simMember {
	for _, i := range s.rng.Perm(len(s.members)) {
		if m := s.members[i]; m.core != nil && s.now >= m.paused && m.core.raft.IsLeader() {
			return m
		}
	}
	return nil
}

// load proposes a command or reads now and then, with quiet times in which all
// logs are equal and any member could be elected.
func (s *sim) load() {
	quiet := s.now/simQuiet%2 == 1
	if quiet || s.rng.IntN(4) != 0 {
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
	s.command++
	command := fmt.Sprintf("command-%d", s.command)
	l.core.propose([]byte(command), func(_ []byte, err error) {
		if err == nil {
			s.check.acked(command)
		} else if verdict.From(err).Verdict == verdict.NotRun {
			s.check.refused(command)
		}
	})
}

func (s *sim) read(l *simMember) {
	before := s.check.maxAcked
	l.core.readIndex(l.clock(s.now), func(index uint64, err error) {
		if err == nil && index < before {
			s.check.fail("read at %d misses acknowledged %d", index, before)
		}
	})
}
