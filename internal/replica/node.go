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
	// DefaultTick is the time between two ticks of a member.
	DefaultTick = 50 * time.Millisecond
	// electionTicks make the least election timeout, 1 s at the default tick;
	// up to half is drawn on top.
	electionTicks = 20
	// heartbeatTicks and learnerTicks make 150 ms and 600 ms.
	heartbeatTicks = 3
	learnerTicks   = 12
	// driftShare is the part of a lease kept back for clocks that run unevenly.
	driftShare = 10
	// maxAppendBytes and chunkBytes bound one message between members.
	maxAppendBytes = 256 << 10
	chunkBytes     = 256 << 10
	// maxCommandBytes bounds one command.
	maxCommandBytes = 2 << 20
	// queueLength bounds the calls that wait for the member's goroutine.
	queueLength = 1024
	// reopenPause is the wait before a failed store is opened again.
	reopenPause = 500 * time.Millisecond
	// maxBatch bounds the calls and messages handled before one sync.
	maxBatch = 512
	// topicPrefix begins the topic of messages, callPrefix that of calls.
	topicPrefix = "raft."
	callPrefix  = "raft.call."
)

// Config is what a Node is made of.
type Config struct {
	// Group names the group; messages of others are ignored.
	Group string
	// Self is this member. Its ID must be the Store's, or a newly drawn random
	// one if the store is empty.
	Self    Member
	Machine Machine
	// Store is closed by the node.
	Store storage.Store
	Wire  *wire.Node
	Clock clock.Clock
	// Found makes a member with an empty store form a group of one. Others
	// with an empty store wait until a leader adds them.
	Found bool
	// Founders are the voters of the group that Found forms, this member among
	// them; all must be told the same ones. Without any it forms a group of one.
	Founders []Member
	Logger   *zap.Logger
	// Reopen opens the store's files anew after a failure; nil ends the member's
	// part for good.
	Reopen func() (storage.Store, error)
	// Tick is DefaultTick if 0. All members must use the same.
	Tick time.Duration
	// LearnerPause is the least number of ticks between two batches of entries to
	// a learner that keeps up.
	LearnerPause int
}

// Node is one member of a group, whose goroutine owns the consensus, the store
// and the machine.
type Node struct {
	cfg  Config
	core *core
	book book

	calls   chan func(now clock.Instant)
	cancel  context.CancelFunc
	done    chan struct{}
	stopped chan struct{}
	once    sync.Once
	err     error

	published atomic.Pointer[published]
	// reopenAt is when the store is opened again after a failure.
	reopenAt clock.Instant
}

var _ Group = (*Node)(nil)

// published is the status that other goroutines read.
type published struct {
	status     Status
	leaseUntil clock.Instant
}

// Open starts a member.
func Open(cfg Config) (*Node, error) {
	if cfg.Tick == 0 {
		cfg.Tick = DefaultTick
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	cfg.Logger = cfg.Logger.Named("raft." + cfg.Group)
	n := &Node{
		cfg:     cfg,
		book:    book{known: map[consensus.ID]string{}},
		calls:   make(chan func(clock.Instant), queueLength),
		done:    make(chan struct{}),
		stopped: make(chan struct{}),
	}
	co, err := newCore(n.coreConfig(cfg.Store), cfg.Clock.Now())
	if err != nil {
		return nil, err
	}
	n.core = co
	n.publish()
	ctx, cancel := context.WithCancel(context.Background())
	messages, err := cfg.Wire.Subscribe(ctx, topicPrefix+cfg.Group)
	if err != nil {
		cancel()
		return nil, err
	}
	n.cancel = cancel
	wire.HandleTyped(cfg.Wire, callPrefix+cfg.Group, n.handle)
	go n.run(messages)
	return n, nil
}

func (n *Node) coreConfig(store storage.Store) coreConfig {
	cfg := &n.cfg
	return coreConfig{
		Self: cfg.Self, Found: cfg.Found, Founders: cfg.Founders, Store: store, Machine: cfg.Machine,
		Options: options(*cfg), Limits: defaultLimits, Send: n.send, Logger: cfg.Logger,
	}
}

// rejoin takes part again after the store failed, as after a restart.
func (n *Node) rejoin(now clock.Instant) {
	if n.core.failed == nil || n.cfg.Reopen == nil || now < n.reopenAt {
		return
	}
	n.reopenAt = now.Add(reopenPause)
	// What a failed store says at its end changes nothing.
	_ = n.core.store.Close()
	store, err := n.cfg.Reopen()
	if err != nil {
		n.cfg.Logger.Warn("store can't be opened again yet", zap.Error(err))
		return
	}
	co, err := resume(n.coreConfig(store), n.core, now)
	if err != nil {
		n.cfg.Logger.Warn("member can't take part again yet", zap.Error(err))
		_ = store.Close()
		return
	}
	n.core = co
	n.cfg.Logger.Info("member takes part again", zap.Uint64("applied", co.applied))
}

func options(cfg Config) consensus.Options {
	return consensus.Options{
		Self:                  consensus.ID(cfg.Self.ID),
		Rand:                  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Tick:                  cfg.Tick,
		ElectionTicks:         electionTicks,
		HeartbeatTicks:        heartbeatTicks,
		LearnerHeartbeatTicks: learnerTicks,
		LearnerBatchTicks:     cfg.LearnerPause,
		DriftMargin:           electionTicks * cfg.Tick / driftShare,
		MaxAppendBytes:        maxAppendBytes,
		ChunkBytes:            chunkBytes,
	}
}

// run is the member's goroutine.
func (n *Node) run(messages <-chan *message.Message) {
	defer close(n.stopped)
	ticker := time.NewTicker(n.cfg.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-n.done:
			n.core.abandon("member is closed")
			return
		case <-ticker.C:
			n.rejoin(n.cfg.Clock.Now())
			n.core.raft.Tick(n.cfg.Clock.Now())
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
		// An error is logged and kept by the core, which then refuses all.
		_ = n.core.flush()
		n.publish()
	}
}

// drain takes what else is waiting, so that one sync covers it.
func (n *Node) drain(messages <-chan *message.Message) {
	for range maxBatch {
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

// envelope carries a message with the address of its sender.
type envelope struct {
	Addr    string
	Message consensus.Message
}

func (n *Node) send(m consensus.Message) {
	addr := n.book.find(n.core, m.To)
	if addr == "" {
		return
	}
	body, err := consensus.Encode(envelope{n.cfg.Self.Addr, m})
	if err != nil {
		n.cfg.Logger.Error("message can't be encoded", zap.Error(err))
		return
	}
	out := message.NewMessage("", body)
	out.Metadata.Set(wire.MetaTo, addr)
	// A message that can't be queued counts as lost.
	_ = n.cfg.Wire.Publish(topicPrefix+n.cfg.Group, out)
}

func (n *Node) receive(raw *message.Message) {
	raw.Ack()
	var e envelope
	if err := consensus.Decode(raw.Payload, &e); err != nil {
		n.cfg.Logger.Warn("message can't be decoded", zap.Error(err))
		return
	}
	if e.Message.To != consensus.ID(n.cfg.Self.ID) || n.core.failed != nil {
		return
	}
	n.book.learn(e.Message.From, e.Addr)
	n.core.raft.Step(n.cfg.Clock.Now(), e.Message)
}

// book finds members' addresses: where a member was last heard from goes
// before the membership, which may be older than its restart.
type book struct {
	known map[consensus.ID]string
}

// maxBook bounds the addresses that were learnt.
const maxBook = 256

func (b *book) learn(id consensus.ID, addr string) {
	if b.known[id] == addr || addr == "" {
		return
	}
	if len(b.known) >= maxBook {
		clear(b.known)
	}
	b.known[id] = addr
}

func (b *book) find(c *core, id consensus.ID) string {
	if addr, ok := b.known[id]; ok {
		return addr
	}
	m, _ := c.raft.Members().Find(id)
	return m.Addr
}

// publish makes the status visible to other goroutines.
func (n *Node) publish() {
	old := n.published.Load()
	now := &published{status: n.status(), leaseUntil: n.lease()}
	n.published.Store(now)
	if old != nil && old.status.Leader != now.status.Leader {
		n.cfg.Logger.Info("leader changed",
			zap.Uint64("leader", uint64(now.status.Leader)), zap.Uint64("term", now.status.Term))
	}
}

func (n *Node) lease() clock.Instant {
	if n.core.failed != nil {
		return 0
	}
	return n.core.raft.LeaseUntil()
}

// status is for the member's goroutine; LeaseValid is not set.
func (n *Node) status() Status {
	r := n.core.raft
	s := Status{
		Self:    n.cfg.Self.ID,
		Leader:  MemberID(r.Leader()),
		Term:    r.Term(),
		Commit:  r.Commit(),
		Applied: n.core.applied,
		Members: membersIn(r.Members()),
	}
	for _, id := range r.Unreachable() {
		s.Late = append(s.Late, MemberID(id))
	}
	if n.core.failed != nil {
		s.Leader, s.Late = 0, nil
		s.Failed = n.core.failed.Error()
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

// View implements Group. After Close it shows the last state.
func (n *Node) View(fn func(Status)) {
	ran := make(chan struct{})
	call := func(now clock.Instant) {
		defer close(ran)
		s := n.status()
		s.LeaseValid = now.Before(n.lease())
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

// viewStopped runs fn unless the goroutine did so as its last act.
func (n *Node) viewStopped(ran <-chan struct{}, fn func(Status)) {
	select {
	case <-ran:
	default:
		fn(n.Status())
	}
}

// Close implements Group.
func (n *Node) Close() error {
	n.once.Do(func() {
		close(n.done)
		<-n.stopped
		n.cancel()
		n.err = n.core.store.Close()
	})
	<-n.stopped
	return n.err
}

// submit queues a call for the member's goroutine.
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
		return verdict.Refuse(verdict.ReasonOverload, "too many calls wait for the group").RetryIn(retryPause)
	}
}
