package replica

import (
	"errors"
	"fmt"
	"slices"

	"go.uber.org/zap"

	"kumquatwing/internal/clock"
	"kumquatwing/internal/consensus"
	"kumquatwing/internal/storage"
	"kumquatwing/internal/verdict"
)

// waiter is told what became of a proposed entry.
type waiter struct {
	term uint64
	done func(result []byte, err error)
}

// reader is told once index has been applied.
type reader struct {
	index uint64
	done  func(err error)
}

// core drives one member's consensus, store and machine. It has no goroutine
// and no clock; Node and the tests' simulation run it.
type core struct {
	raft    *consensus.Raft
	store   storage.Store
	machine Machine
	log     *zap.Logger
	send    func(consensus.Message)
	witness bool

	applied uint64
	// limits says when the log is compacted.
	limits logLimits
	// snapshotSize is the size of the last snapshot written.
	snapshotSize int
	waiters      map[uint64][]waiter
	reads        map[uint64]func(index uint64, err error)
	lastRead     uint64
	readers      []reader
	// failed is set when the store or the machine can't go on.
	failed error
}

// coreConfig is what a core is made of.
type coreConfig struct {
	Self     Member
	Found    bool
	Founders []Member
	Store    storage.Store
	Machine  Machine
	Options  consensus.Options
	Limits   logLimits
	Send     func(consensus.Message)
	Logger   *zap.Logger
}

// newCore starts a member from its store, or as a new one if that is empty.
func newCore(c coreConfig, now clock.Instant) (*core, error) {
	self := memberOut(c.Self)
	if err := begin(c.Store, self, c.founders()); err != nil {
		return nil, err
	}
	st := c.Store.State()
	if len(st.Snapshot.Data) > 0 && !c.Self.Witness {
		if err := c.Machine.Restore(st.Snapshot.Data); err != nil {
			return nil, fmt.Errorf("replica: stored snapshot can't be restored: %w", err)
		}
	}
	co := newCoreAt(c, &st, st.Snapshot.Index)
	co.raft = consensus.New(c.Options, st, now)
	return co, co.flush()
}

// founders returns the voters of a group that this member founds, nil if it
// waits to be added to one.
func (c *coreConfig) founders() []consensus.Member {
	if !c.Found {
		return nil
	}
	if len(c.Founders) == 0 {
		return []consensus.Member{memberOut(c.Self)}
	}
	out := make([]consensus.Member, len(c.Founders))
	for i, m := range c.Founders {
		out[i] = memberOut(m)
	}
	return out
}

// resume starts again from a store that was opened anew after the former core
// failed. The machine goes on where it is, unless the store's snapshot is newer.
func resume(c coreConfig, former *core, now clock.Instant) (*core, error) {
	st := c.Store.State()
	if c.Store.Identity() != memberOut(c.Self).ID {
		return nil, fmt.Errorf("replica: the store no longer belongs to member %d", c.Self.ID)
	}
	applied := former.applied
	if st.Snapshot.Index > applied && !c.Self.Witness {
		if err := c.Machine.Restore(st.Snapshot.Data); err != nil {
			return nil, fmt.Errorf("replica: stored snapshot can't be restored: %w", err)
		}
		applied = st.Snapshot.Index
	}
	co := newCoreAt(c, &st, applied)
	co.raft = consensus.New(c.Options, st, now)
	return co, co.flush()
}

// newCoreAt returns a core whose machine has applied the entries up to an index.
func newCoreAt(c coreConfig, st *consensus.State, applied uint64) *core {
	co := &core{
		store:        c.Store,
		machine:      c.Machine,
		log:          c.Logger,
		limits:       c.Limits,
		send:         c.Send,
		witness:      c.Self.Witness,
		applied:      applied,
		snapshotSize: len(st.Snapshot.Data),
		waiters:      map[uint64][]waiter{},
		reads:        map[uint64]func(uint64, error){},
	}
	st.Snapshot.Data = nil
	return co
}

// begin gives an empty store its first state and checks the identity of others.
func begin(s storage.Store, self consensus.Member, founders []consensus.Member) error {
	if id := s.Identity(); id != consensus.None {
		if id != self.ID {
			return fmt.Errorf("replica: the store belongs to member %d, not %d", id, self.ID)
		}
		return nil
	}
	if len(founders) == 0 {
		return s.Begin(self.ID, consensus.State{})
	}
	st, err := consensus.Bootstrap(founders...)
	if err != nil {
		return err
	}
	return s.Begin(self.ID, st)
}

// flush does what the raft asks for until nothing is left: it persists before
// it sends, and sends before it applies. Only a leader's entries leave while it
// writes them itself, since its own copy counts once it is synced (Ongaro,
// 10.2.1).
func (c *core) flush() error {
	for c.failed == nil && c.raft.HasOutput() {
		early := c.raft.TermPersisted()
		out := c.raft.Take()
		if early {
			out.Messages = c.sendEntries(out.Messages)
		}
		if err := c.persist(&out); err != nil {
			c.fail(err)
			break
		}
		c.raft.Persisted()
		for _, m := range out.Messages {
			c.send(m)
		}
		c.apply(out.Committed)
		c.answer(out.Reads)
		if out.WantSnapshot {
			c.offer()
		}
		c.compact()
	}
	return c.failed
}

// sendEntries sends the messages with entries and returns the others.
func (c *core) sendEntries(ms []consensus.Message) []consensus.Message {
	rest := ms[:0]
	for _, m := range ms {
		if m.Kind == consensus.MsgAppend {
			c.send(m)
		} else {
			rest = append(rest, m)
		}
	}
	return rest
}

func (c *core) persist(out *consensus.Output) error {
	if out.Install != nil {
		return c.install(out)
	}
	if out.HardState == nil {
		return nil
	}
	return c.store.Append(*out.HardState, out.Entries)
}

// settleSkipped answers waiters whose entry a snapshot covers.
func (c *core) settleSkipped() {
	for _, index := range c.waiting() {
		if index > c.applied {
			return
		}
		for _, w := range c.waiters[index] {
			w.done(nil, verdict.Uncertain(verdict.ReasonNotLeader, "another leader took over"))
		}
		delete(c.waiters, index)
	}
}

// waiting returns the indexes with waiters, in order.
func (c *core) waiting() []uint64 {
	var at []uint64
	for index := range c.waiters {
		at = append(at, index)
	}
	slices.Sort(at)
	return at
}

func (c *core) apply(es []consensus.Entry) {
	for i := range es {
		e := &es[i]
		if e.Index <= c.applied {
			continue
		}
		var result []byte
		if e.Kind == consensus.EntryCommand && !c.witness {
			result = c.machine.Apply(e.Index, e.Data)
		}
		c.applied = e.Index
		c.settle(e, result)
	}
	if len(es) > 0 {
		c.wakeReaders()
	}
}

// settle answers the waiters for an index. An entry of another term shows that
// theirs was replaced and can't be committed any more.
func (c *core) settle(e *consensus.Entry, result []byte) {
	ws, ok := c.waiters[e.Index]
	if !ok {
		return
	}
	delete(c.waiters, e.Index)
	for _, w := range ws {
		if w.term == e.Term {
			w.done(result, nil)
		} else {
			w.done(nil, verdict.Refuse(verdict.ReasonNotLeader, "another leader took over"))
		}
	}
}

func (c *core) answer(reads []consensus.ReadRequest) {
	for _, rd := range reads {
		done := c.reads[rd.ID]
		delete(c.reads, rd.ID)
		if rd.Failed {
			done(0, errNotLeader())
		} else {
			done(rd.Index, nil)
		}
	}
}

// propose appends a command; done is called once, possibly before it returns.
func (c *core) propose(command []byte, done func([]byte, error)) {
	c.enter(func() (uint64, error) {
		if c.raft.LogBytes()+len(command) > c.maxLogBytes() {
			return 0, consensus.ErrBacklog
		}
		return c.raft.Propose(command)
	}, done)
}

// enter calls an appending function and waits for its entry.
func (c *core) enter(add func() (uint64, error), done func([]byte, error)) {
	if c.failed != nil {
		done(nil, c.stopped())
		return
	}
	index, err := add()
	switch {
	case err != nil:
		done(nil, refusal(err))
	case index <= c.applied:
		done(nil, nil)
	default:
		c.waiters[index] = append(c.waiters[index], waiter{c.raft.Term(), done})
	}
}

// change appends a membership change.
func (c *core) change(k changeKind, m Member, done func([]byte, error)) {
	c.enter(func() (uint64, error) {
		switch k {
		case changeAdd:
			return c.raft.AddLearner(memberOut(m))
		case changePromote:
			return c.raft.Promote(consensus.ID(m.ID))
		default:
			return c.raft.Remove(consensus.ID(m.ID))
		}
	}, done)
}

// readIndex asks the leader, which must be this member, what is committed.
func (c *core) readIndex(now clock.Instant, done func(uint64, error)) {
	if c.failed != nil {
		done(0, c.stopped())
		return
	}
	c.lastRead++
	c.reads[c.lastRead] = done
	if err := c.raft.ReadIndex(now, c.lastRead); err != nil {
		delete(c.reads, c.lastRead)
		done(0, refusal(err))
	}
}

// await calls done once index has been applied here.
func (c *core) await(index uint64, done func(error)) {
	if c.failed != nil {
		done(c.stopped())
		return
	}
	if index <= c.applied {
		done(nil)
		return
	}
	c.readers = append(c.readers, reader{index, done})
}

func (c *core) wakeReaders() {
	rest := c.readers[:0]
	for _, r := range c.readers {
		if r.index <= c.applied {
			r.done(nil)
		} else {
			rest = append(rest, r)
		}
	}
	clear(c.readers[len(rest):])
	c.readers = rest
}

// fail stops the member for good: what its store holds is no longer known.
func (c *core) fail(err error) {
	c.failed = err
	c.log.Error("member stops taking part", zap.Error(err))
	c.abandon("the member's store or machine failed")
}

// abandon answers everything that still waits.
func (c *core) abandon(why string) {
	for _, index := range c.waiting() {
		for _, w := range c.waiters[index] {
			w.done(nil, verdict.Uncertain(verdict.ReasonStopping, "%s", why))
		}
	}
	clear(c.waiters)
	for id := uint64(1); id <= c.lastRead; id++ {
		if done, ok := c.reads[id]; ok {
			done(0, verdict.Refuse(verdict.ReasonStopping, "%s", why))
		}
	}
	clear(c.reads)
	for _, r := range c.readers {
		r.done(verdict.Refuse(verdict.ReasonStopping, "%s", why))
	}
	c.readers = nil
}

func (c *core) stopped() error {
	return verdict.Refuse(verdict.ReasonStopping, "member has stopped: %v", c.failed)
}

func errNotLeader() *verdict.Refusal {
	return verdict.Refuse(verdict.ReasonNotLeader, "this member does not lead")
}

// refusal translates an error of a proposal, none of which ran.
func refusal(err error) error {
	switch {
	case errors.Is(err, consensus.ErrNotLeader), errors.Is(err, consensus.ErrTransferring):
		return verdict.Refuse(verdict.ReasonNotLeader, "%v", err)
	case errors.Is(err, consensus.ErrBacklog):
		return verdict.Refuse(verdict.ReasonOverload, "%v", err).RetryIn(retryPause)
	case errors.Is(err, consensus.ErrChangePending), errors.Is(err, consensus.ErrLearnerLagging):
		return verdict.Refuse(verdict.ReasonConflict, "%v", err).RetryIn(retryPause)
	default:
		return verdict.Refuse(verdict.ReasonBadRequest, "%v", err)
	}
}

func memberOut(m Member) consensus.Member {
	return consensus.Member{
		ID: consensus.ID(m.ID), VM: m.VM, Addr: m.Addr, Learner: m.Learner, Witness: m.Witness,
	}
}

func memberIn(m consensus.Member) Member {
	return Member{
		ID: MemberID(m.ID), VM: m.VM, Addr: m.Addr, Learner: m.Learner, Witness: m.Witness,
	}
}

func membersIn(ms consensus.Members) []Member {
	out := make([]Member, len(ms))
	for i, m := range ms {
		out[i] = memberIn(m)
	}
	return out
}
