package replica

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"go.uber.org/zap"

	"kumquatwing/internal/clock"
	"kumquatwing/internal/consensus"
	"kumquatwing/internal/storage"
	"kumquatwing/internal/verdict"
	"kumquatwing/internal/wire"
)

const (
	// DefaultTick is the interval between two ticks of a member.
	DefaultTick = 50 * time.Millisecond
	// electionTicks is the minimum election timeout, 1 s at the default tick; a
	// random part of up to half of it is added.
	electionTicks = 20
	// heartbeatTicks and learnerHeartbeatTicks are the heartbeat intervals of voters
	// and of learners that are up to date: 150 ms and 600 ms at the default tick.
	heartbeatTicks        = 3
	learnerHeartbeatTicks = 12
	// driftDivisor sets the margin for clocks that run at different rates:
	// 1/driftDivisor of the election timeout is subtracted from the leader lease.
	driftDivisor = 10
	// maxAppendBytes and chunkBytes limit the size of one message between members.
	maxAppendBytes = 256 << 10
	chunkBytes     = 256 << 10
	// maxCommandBytes limits the size of one command.
	maxCommandBytes = 2 << 20
	// queueLength is the maximum number of calls that wait for the member
	// goroutine.
	queueLength = 1024
	// reopenDelay is the minimum delay between attempts to reopen a failed store.
	reopenDelay = 500 * time.Millisecond
	// maxSyncBatch is the maximum number of further calls and messages that are
	// handled before a sync.
	maxSyncBatch = 512
	// topicPrefix is the prefix of the topics for consensus messages, callPrefix
	// that of the topics for forwarded calls.
	topicPrefix = "raft."
	callPrefix  = "raft.call."
)

// Config holds the dependencies and parameters of a Node.
type Config struct {
	// Group is the group's name. It is part of the topics, so that messages of
	// other groups are not received.
	Group string
	// Self is this member. Its ID must be the one in Store, or a new random one if
	// the store is empty.
	Self         Member
	StateMachine StateMachine
	// Store is closed by Node.Close.
	Store storage.Store
	Wire  *wire.Node
	Clock clock.Clock
	// Bootstrap makes a member with an empty store create the group, with
	// InitialVoters as its voters. If it is not set, a member with an empty store
	// waits until a leader adds it.
	Bootstrap bool
	// InitialVoters are the voters of the group that is bootstrapped, including this
	// member; every one of them must be given the same list. If empty, the member
	// bootstraps a group of one.
	InitialVoters []Member
	Logger        *zap.Logger
	// ReopenStore opens the store again after a failure. If nil, a failed member
	// stays stopped.
	ReopenStore func() (storage.Store, error)
	// Tick is the interval between two ticks, or 0 for DefaultTick. It must be the
	// same on all members.
	Tick time.Duration
	// LearnerBatchTicks is the minimum number of ticks between two batches of entries
	// to a learner that keeps up.
	LearnerBatchTicks int
}

// Node is one member of a group. Its member goroutine (see run) owns core, which
// holds the consensus state, the store and the state machine; the goroutine also
// owns addrs, leaderWatch and reopenAfter.
type Node struct {
	cfg         Config
	core        *core
	addrs       addressBook
	leaderWatch leaderWatch

	calls     chan func(now clock.Instant)
	cancel    context.CancelFunc
	done      chan struct{}
	stopped   chan struct{}
	closeOnce sync.Once
	closeErr  error

	// published is the status for other goroutines, updated after every flush.
	published atomic.Pointer[published]
	// reopenAfter is the earliest instant of the next attempt to reopen a failed
	// store.
	reopenAfter clock.Instant
}

var _ Group = (*Node)(nil)

// published is a copy of the member's status that other goroutines may read.
type published struct {
	status     Status
	leaseUntil clock.Instant
}

// Open starts a member and its goroutine.
func Open(cfg Config) (*Node, error) {
	if cfg.Tick == 0 {
		cfg.Tick = DefaultTick
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	cfg.Logger = cfg.Logger.Named("raft." + cfg.Group)
	n := &Node{
		cfg:         cfg,
		addrs:       addressBook{byID: map[consensus.ID]string{}},
		leaderWatch: leaderWatch{heardAt: map[consensus.ID]clock.Instant{}},
		calls:       make(chan func(clock.Instant), queueLength),
		done:        make(chan struct{}),
		stopped:     make(chan struct{}),
	}
	co, err := newCore(n.coreConfig(cfg.Store), cfg.Clock.Now())
	if err != nil {
		return nil, err
	}
	n.setCore(co)
	n.publish()
	ctx, cancel := context.WithCancel(context.Background())
	messages, err := cfg.Wire.Subscribe(ctx, topicPrefix+cfg.Group)
	if err != nil {
		cancel()
		return nil, err
	}
	n.cancel = cancel
	wire.HandleTyped(cfg.Wire, callPrefix+cfg.Group, n.handleForwarded)
	go n.run(messages)
	return n, nil
}

func (n *Node) coreConfig(store storage.Store) coreConfig {
	cfg := &n.cfg
	return coreConfig{
		Self: cfg.Self, Bootstrap: cfg.Bootstrap, InitialVoters: cfg.InitialVoters, Store: store, StateMachine: cfg.StateMachine,
		Options: options(*cfg), Limits: defaultLimits, Send: n.send, Logger: cfg.Logger,
	}
}

// setCore makes co the member's core. If it fails, the status tells so before any call
// returns.
func (n *Node) setCore(co *core) {
	n.core = co
	co.onFail = n.publish
}

// rejoin reopens a failed store and continues from it as after a restart.
func (n *Node) rejoin(now clock.Instant) {
	if n.core.failed == nil || n.cfg.ReopenStore == nil || now < n.reopenAfter {
		return
	}
	n.reopenAfter = now.Add(reopenDelay)
	// The store has failed already; an error on close adds nothing.
	_ = n.core.store.Close()
	store, err := n.cfg.ReopenStore()
	if err != nil {
		n.cfg.Logger.Warn("failed store can't be reopened, will retry", zap.Error(err))
		return
	}
	co, err := resume(n.coreConfig(store), n.core, now)
	if err != nil {
		n.cfg.Logger.Warn("member can't resume from reopened store, will retry", zap.Error(err))
		_ = store.Close()
		return
	}
	n.setCore(co)
	n.cfg.Logger.Info("member resumed after store failure", zap.Uint64("applied", co.applied))
}

// options returns the consensus options for a configuration.
func options(cfg Config) consensus.Options {
	return consensus.Options{
		Self:                  consensus.ID(cfg.Self.ID),
		Rand:                  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Tick:                  cfg.Tick,
		ElectionTicks:         electionTicks,
		HeartbeatTicks:        heartbeatTicks,
		LearnerHeartbeatTicks: learnerHeartbeatTicks,
		LearnerBatchTicks:     cfg.LearnerBatchTicks,
		DriftMargin:           electionTicks * cfg.Tick / driftDivisor,
		MaxAppendBytes:        maxAppendBytes,
		ChunkBytes:            chunkBytes,
	}
}

// run is the member goroutine. It handles ticks, calls and messages until Close.
func (n *Node) run(messages <-chan *message.Message) {
	defer close(n.stopped)
	ticker := time.NewTicker(n.cfg.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-n.done:
			n.core.failPending("member is closed")
			return
		case <-ticker.C:
			n.rejoin(n.cfg.Clock.Now())
			n.core.raft.Tick(n.cfg.Clock.Now())
			n.watchLeader(n.cfg.Clock.Now())
		case call := <-n.calls:
			call(n.cfg.Clock.Now())
		case m, ok := <-messages:
			if !ok {
				messages = nil
				continue
			}
			n.receive(m)
		}
		n.drain(messages)
		// The core has logged and kept the error and refuses all further calls.
		_ = n.core.flush()
		n.publish()
	}
}

// drain handles more of the calls and messages that are already queued, so that
// one sync covers them all.
func (n *Node) drain(messages <-chan *message.Message) {
	for range maxSyncBatch {
		select {
		case call := <-n.calls:
			call(n.cfg.Clock.Now())
		case m, ok := <-messages:
			if !ok {
				return
			}
			n.receive(m)
		default:
			return
		}
	}
}

// envelope is a message with the address of its sender.
type envelope struct {
	Addr    string
	Message consensus.Message
}

// send queues a message to another member. It may be lost.
func (n *Node) send(m consensus.Message) {
	addr := n.addrs.lookup(n.core, m.To)
	if addr == "" {
		return
	}
	body, err := consensus.Encode(envelope{n.cfg.Self.Addr, m})
	if err != nil {
		n.cfg.Logger.Error("consensus message can't be encoded, dropped", zap.Error(err))
		return
	}
	out := message.NewMessage("", body)
	out.Metadata.Set(wire.MetaTo, addr)
	// A message that can't be queued is lost; the protocol tolerates that.
	_ = n.cfg.Wire.Publish(topicPrefix+n.cfg.Group, out)
}

// receive passes a message from another member to the consensus module.
func (n *Node) receive(raw *message.Message) {
	raw.Ack()
	var e envelope
	if err := consensus.Decode(raw.Payload, &e); err != nil {
		n.cfg.Logger.Warn("consensus message can't be decoded, dropped", zap.Error(err))
		return
	}
	if e.Message.To != consensus.ID(n.cfg.Self.ID) || n.core.failed != nil {
		return
	}
	n.addrs.record(e.Message.From, e.Addr)
	n.leaderWatch.heard(e.Message.From, n.cfg.Clock.Now())
	n.core.raft.Step(n.cfg.Clock.Now(), e.Message)
}

// addressBook maps members to their addresses. The address that a member last
// sent from takes precedence over the one in the membership, which may be
// outdated after a restart of that member.
type addressBook struct {
	byID map[consensus.ID]string
}

// maxAddresses bounds the addresses learnt from messages.
const maxAddresses = 256

// record stores the address that a member sent from.
func (b *addressBook) record(id consensus.ID, addr string) {
	if b.byID[id] == addr || addr == "" {
		return
	}
	if len(b.byID) >= maxAddresses {
		clear(b.byID)
	}
	b.byID[id] = addr
}

// lookup returns a member's address, or "" if it is not known.
func (b *addressBook) lookup(c *core, id consensus.ID) string {
	if addr, ok := b.byID[id]; ok {
		return addr
	}
	m, _ := c.raft.Members().Find(id)
	return m.Addr
}

// publish updates the status that other goroutines read.
func (n *Node) publish() {
	previous := n.published.Load()
	current := &published{status: n.status(), leaseUntil: n.leaseUntil()}
	n.published.Store(current)
	if previous != nil && previous.status.Leader != current.status.Leader {
		n.cfg.Logger.Info("leader changed",
			zap.Uint64("leader", uint64(current.status.Leader)), zap.Uint64("term", current.status.Term))
	}
}

// leaseUntil returns the end of the leader lease, or 0 if this member has none.
func (n *Node) leaseUntil() clock.Instant {
	if n.core.failed != nil {
		return 0
	}
	return n.core.raft.LeaseUntil()
}

// status returns the status without LeaseValid. It runs on the member goroutine.
func (n *Node) status() Status {
	r := n.core.raft
	s := Status{
		Self:    n.cfg.Self.ID,
		Leader:  MemberID(r.Leader()),
		Term:    r.Term(),
		Commit:  r.Commit(),
		Applied: n.core.applied,
		Members: fromConsensusMembers(r.Members()),

		Unreachable: fromConsensusIDs(r.Unreachable()),
		CaughtUp:    fromConsensusIDs(r.CaughtUp()),
	}
	if n.core.failed != nil {
		s.Leader, s.Unreachable, s.CaughtUp = 0, nil, nil
		s.Failure = n.core.failed.Error()
	}
	return s
}

// Status implements Group.
func (n *Node) Status() Status {
	p := n.published.Load()
	s := p.status
	select {
	case <-n.done:
		s.Leader = 0
	default:
		s.LeaseValid = n.cfg.Clock.Now().Before(p.leaseUntil)
	}
	return s
}

// View implements Group. After Close, it passes the last state to fn.
func (n *Node) View(fn func(Status)) {
	ran := make(chan struct{})
	call := func(now clock.Instant) {
		defer close(ran)
		s := n.status()
		s.LeaseValid = now.Before(n.leaseUntil())
		fn(s)
	}
	select {
	case n.calls <- call:
	case <-n.stopped:
	}
	select {
	case <-ran:
	case <-n.stopped:
		n.viewStopped(ran, fn)
	}
}

// viewStopped runs fn on a closed member unless the member goroutine ran it
// before it ended.
func (n *Node) viewStopped(ran <-chan struct{}, fn func(Status)) {
	select {
	case <-ran:
	default:
		fn(n.Status())
	}
}

// Close implements Group.
func (n *Node) Close() error {
	n.closeOnce.Do(func() {
		close(n.done)
		<-n.stopped
		n.cancel()
		n.closeErr = n.core.store.Close()
	})
	<-n.stopped
	return n.closeErr
}

// submit queues a call to be run on the member goroutine.
func (n *Node) submit(call func(now clock.Instant)) error {
	select {
	case <-n.done:
		return verdict.Refuse(verdict.ReasonStopping, "member is closed")
	default:
	}
	select {
	case n.calls <- call:
		return nil
	default:
		return verdict.Refuse(verdict.ReasonOverload, "too many calls wait for the group").WithRetryAfter(retryDelay)
	}
}
