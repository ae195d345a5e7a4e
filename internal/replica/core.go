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

// proposalWaiter is the callback for the result of an entry proposed in term.
type proposalWaiter struct {
	term uint64
	done func(result []byte, err error)
}

// applyWaiter is a callback to call once index has been applied.
type applyWaiter struct {
	index uint64
	done  func(err error)
}

// core connects one member's consensus state, store and state machine. It has no
// goroutine and no clock of its own; Node or, in tests, the simulation drives
// it.
type core struct {
	raft         *consensus.Raft
	store        storage.Store
	stateMachine StateMachine
	log          *zap.Logger
	send         func(consensus.Message)
	witness      bool

	applied uint64
	// limits are the log sizes for compaction and for refusing proposals.
	limits logLimits
	// snapshotSize is the size in bytes of the last snapshot that was written or
	// installed.
	snapshotSize int
	// postponedUntilBytes is the log size before which a postponed compaction is
	// not tried again, 0 if none is postponed.
	postponedUntilBytes int
	// proposalWaiters are the waiters by the index of their entry.
	proposalWaiters map[uint64][]proposalWaiter
	// pendingReads are the callbacks of read requests by request ID.
	pendingReads map[uint64]func(index uint64, err error)
	lastReadID   uint64
	applyWaiters []applyWaiter
	// failed is the error of the store or the state machine that stopped this
	// member.
	failed error
	// onFail, if not nil, is called when the member fails, before the pending calls
	// are completed.
	onFail func()
}

// coreConfig holds the dependencies and parameters of a core.
type coreConfig struct {
	Self          Member
	Bootstrap     bool
	InitialVoters []Member
	Store         storage.Store
	StateMachine  StateMachine
	Options       consensus.Options
	Limits        logLimits
	Send          func(consensus.Message)
	Logger        *zap.Logger
}

// newCore starts a member from its store, or as a new member if the store is
// empty.
func newCore(c coreConfig, now clock.Instant) (*core, error) {
	self := toConsensusMember(c.Self)
	if err := initStore(c.Store, self, c.initialVoters()); err != nil {
		return nil, err
	}
	st := c.Store.State()
	if len(st.Snapshot.Data) > 0 && !c.Self.Witness {
		if err := c.StateMachine.Restore(st.Snapshot.Data); err != nil {
			return nil, fmt.Errorf("replica: stored snapshot can't be restored: %w", err)
		}
	}
	co := newCoreAt(c, &st, st.Snapshot.Index)
	co.raft = consensus.New(c.Options, st, now)
	return co, co.flush()
}

// initialVoters returns the voters of the group that this member bootstraps, or
// nil if it waits to be added to a group.
func (c *coreConfig) initialVoters() []consensus.Member {
	if !c.Bootstrap {
		return nil
	}
	if len(c.InitialVoters) == 0 {
		return []consensus.Member{toConsensusMember(c.Self)}
	}
	out := make([]consensus.Member, len(c.InitialVoters))
	for i, m := range c.InitialVoters {
		out[i] = toConsensusMember(m)
	}
	return out
}

// resume starts a member from a store that was reopened after the core failed.
// The state machine keeps its state unless the store's snapshot is newer.
func resume(c coreConfig, failed *core, now clock.Instant) (*core, error) {
	st := c.Store.State()
	if c.Store.Identity() != toConsensusMember(c.Self).ID {
		return nil, fmt.Errorf("replica: the store no longer belongs to member %d", c.Self.ID)
	}
	applied := failed.applied
	if st.Snapshot.Index > applied && !c.Self.Witness {
		if err := c.StateMachine.Restore(st.Snapshot.Data); err != nil {
			return nil, fmt.Errorf("replica: stored snapshot can't be restored: %w", err)
		}
		applied = st.Snapshot.Index
	}
	co := newCoreAt(c, &st, applied)
	co.raft = consensus.New(c.Options, st, now)
	return co, co.flush()
}

// newCoreAt returns a core whose state machine has applied the entries up to
// index applied.
func newCoreAt(c coreConfig, st *consensus.State, applied uint64) *core {
	co := &core{
		store:           c.Store,
		stateMachine:    c.StateMachine,
		log:             c.Logger,
		limits:          c.Limits,
		send:            c.Send,
		witness:         c.Self.Witness,
		applied:         applied,
		snapshotSize:    len(st.Snapshot.Data),
		proposalWaiters: map[uint64][]proposalWaiter{},
		pendingReads:    map[uint64]func(uint64, error){},
	}
	st.Snapshot.Data = nil
	return co
}

// initStore writes the first state to an empty store. For any other store it
// checks that it belongs to this member.
func initStore(s storage.Store, self consensus.Member, voters []consensus.Member) error {
	if id := s.Identity(); id != consensus.None {
		if id != self.ID {
			return fmt.Errorf("replica: the store belongs to member %d, not %d", id, self.ID)
		}
		return nil
	}
	if len(voters) == 0 {
		return s.Init(self.ID, consensus.State{})
	}
	st, err := consensus.Bootstrap(voters...)
	if err != nil {
		return err
	}
	return s.Init(self.ID, st)
}

// flush performs the pending work of the consensus module. It first applies the
// committed entries, which are in the store already, so that their callers don't wait
// for the sync of later ones; after an installed snapshot it applies them last. It
// persists state before it sends messages. Only a leader's appends, once its term and
// vote are persisted, may be sent before its own write is synced, since its own copy
// counts towards a quorum only after the sync (Ongaro, 10.2.1). The callbacks of
// proposals must not call the core.
func (c *core) flush() error {
	for c.failed == nil && c.raft.HasOutput() {
		termPersisted := c.raft.TermPersisted()
		out := c.raft.Take()
		if termPersisted {
			out.Messages = c.sendAppends(out.Messages)
		}
		if out.Install == nil {
			c.apply(out.Committed)
			out.Committed = nil
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
		c.completeReads(out.Reads)
		if out.WantSnapshot {
			c.offerSnapshot()
		}
		c.compact()
	}
	return c.failed
}

// sendAppends sends the append messages and returns the other ones.
func (c *core) sendAppends(ms []consensus.Message) []consensus.Message {
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

// persist writes the state in out to the store.
func (c *core) persist(out *consensus.Output) error {
	if out.Install != nil {
		return c.installSnapshot(out)
	}
	if out.HardState == nil {
		return nil
	}
	return c.store.Append(*out.HardState, out.Entries)
}

// resolveSkipped completes the proposals whose entries are covered by an
// installed snapshot. Their results are not known.
func (c *core) resolveSkipped() {
	for _, index := range c.proposalIndexes() {
		if index > c.applied {
			return
		}
		for _, w := range c.proposalWaiters[index] {
			w.done(nil, verdict.RefuseMayHaveRun(verdict.ReasonNotLeader, "another leader took over"))
		}
		delete(c.proposalWaiters, index)
	}
}

// proposalIndexes returns the indexes of pending proposals in ascending order.
func (c *core) proposalIndexes() []uint64 {
	var indexes []uint64
	for index := range c.proposalWaiters {
		indexes = append(indexes, index)
	}
	slices.Sort(indexes)
	return indexes
}

// apply applies committed entries and completes the calls that wait for them.
func (c *core) apply(es []consensus.Entry) {
	for i := range es {
		e := &es[i]
		if e.Index <= c.applied {
			continue
		}
		var result []byte
		if e.Kind == consensus.EntryCommand && !c.witness {
			result = c.stateMachine.Apply(e.Index, e.Data)
		}
		c.applied = e.Index
		c.resolveProposals(e, result)
	}
	if len(es) > 0 {
		c.notifyApplyWaiters()
	}
}

// resolveProposals completes the proposals at the index of an applied entry. If
// the entry is of another term than a proposal, the proposal was overwritten and
// can't be committed any more.
func (c *core) resolveProposals(e *consensus.Entry, result []byte) {
	ws, ok := c.proposalWaiters[e.Index]
	if !ok {
		return
	}
	delete(c.proposalWaiters, e.Index)
	for _, w := range ws {
		if w.term == e.Term {
			w.done(result, nil)
		} else {
			w.done(nil, verdict.Refuse(verdict.ReasonNotLeader, "another leader took over"))
		}
	}
}

// completeReads completes the read requests that the consensus module has
// answered.
func (c *core) completeReads(reads []consensus.ReadRequest) {
	for _, rd := range reads {
		done := c.pendingReads[rd.ID]
		delete(c.pendingReads, rd.ID)
		if rd.Failed {
			done(0, errNotLeader())
		} else {
			done(rd.Index, nil)
		}
	}
}

// propose appends a command. done is called exactly once, possibly before
// propose returns.
func (c *core) propose(command []byte, done func([]byte, error)) {
	c.appendEntry(func() (uint64, error) {
		if c.raft.LogBytes()+len(command) > c.maxLogBytes() {
			return 0, consensus.ErrBacklog
		}
		return c.raft.Propose(command)
	}, done)
}

// appendEntry calls add, which appends an entry and returns its index. done is
// called once the entry is applied or overwritten, or at once if add fails.
func (c *core) appendEntry(add func() (uint64, error), done func([]byte, error)) {
	if c.failed != nil {
		done(nil, c.errStopped())
		return
	}
	index, err := add()
	switch {
	case err != nil:
		done(nil, refusalFor(err))
	case index <= c.applied:
		done(nil, nil)
	default:
		c.proposalWaiters[index] = append(c.proposalWaiters[index], proposalWaiter{c.raft.Term(), done})
	}
}

// change appends a membership change. done is called as by propose.
func (c *core) change(k changeKind, m Member, done func([]byte, error)) {
	c.appendEntry(func() (uint64, error) {
		switch k {
		case changeAdd:
			return c.raft.AddLearner(toConsensusMember(m))
		case changePromote:
			return c.raft.Promote(consensus.ID(m.ID))
		default:
			return c.raft.Remove(consensus.ID(m.ID))
		}
	}, done)
}

// readIndex asks this member, which must be the leader, for the index that a
// linearizable read has to wait for.
func (c *core) readIndex(now clock.Instant, done func(uint64, error)) {
	if c.failed != nil {
		done(0, c.errStopped())
		return
	}
	c.lastReadID++
	c.pendingReads[c.lastReadID] = done
	if err := c.raft.ReadIndex(now, c.lastReadID); err != nil {
		delete(c.pendingReads, c.lastReadID)
		done(0, refusalFor(err))
	}
}

// onApplied calls done once this member has applied index.
func (c *core) onApplied(index uint64, done func(error)) {
	if c.failed != nil {
		done(c.errStopped())
		return
	}
	if index <= c.applied {
		done(nil)
		return
	}
	c.applyWaiters = append(c.applyWaiters, applyWaiter{index, done})
}

// notifyApplyWaiters calls the waiters whose index has been applied.
func (c *core) notifyApplyWaiters() {
	rest := c.applyWaiters[:0]
	for _, r := range c.applyWaiters {
		if r.index <= c.applied {
			r.done(nil)
		} else {
			rest = append(rest, r)
		}
	}
	clear(c.applyWaiters[len(rest):])
	c.applyWaiters = rest
}

// fail stops the member after an error of its store or state machine. The
// contents of the store are unknown from then on.
func (c *core) fail(err error) {
	c.failed = err
	c.log.Error("store or state machine failed, member stopped", zap.Error(err))
	if c.onFail != nil {
		c.onFail()
	}
	c.failPending("the member's store or machine failed")
}

// failPending completes all pending calls with an error: proposals as uncertain,
// the others as not run.
func (c *core) failPending(reason string) {
	for _, index := range c.proposalIndexes() {
		for _, w := range c.proposalWaiters[index] {
			w.done(nil, verdict.RefuseMayHaveRun(verdict.ReasonStopping, "%s", reason))
		}
	}
	clear(c.proposalWaiters)
	for id := uint64(1); id <= c.lastReadID; id++ {
		if done, ok := c.pendingReads[id]; ok {
			done(0, verdict.Refuse(verdict.ReasonStopping, "%s", reason))
		}
	}
	clear(c.pendingReads)
	for _, r := range c.applyWaiters {
		r.done(verdict.Refuse(verdict.ReasonStopping, "%s", reason))
	}
	c.applyWaiters = nil
}

// errStopped returns the error for calls to a member that has stopped after a
// failure.
func (c *core) errStopped() error {
	return verdict.Refuse(verdict.ReasonStopping, "member has stopped: %v", c.failed)
}

func errNotLeader() *verdict.Refusal {
	return verdict.Refuse(verdict.ReasonNotLeader, "this member does not lead")
}

// refusalFor converts an error of the consensus module into a refusal. No
// request that failed with such an error was executed.
func refusalFor(err error) error {
	switch {
	case errors.Is(err, consensus.ErrNotLeader), errors.Is(err, consensus.ErrTransferring):
		return verdict.Refuse(verdict.ReasonNotLeader, "%v", err)
	case errors.Is(err, consensus.ErrBacklog):
		return verdict.Refuse(verdict.ReasonOverload, "%v", err).WithRetryAfter(retryDelay)
	case errors.Is(err, consensus.ErrChangePending), errors.Is(err, consensus.ErrLearnerLagging):
		return verdict.Refuse(verdict.ReasonConflict, "%v", err).WithRetryAfter(retryDelay)
	default:
		return verdict.Refuse(verdict.ReasonBadRequest, "%v", err)
	}
}
