// Package cellnode runs the control process of a cell: its member of the
// replicated group, the calls from other processes and, while it leads, the
// scheduler.
package cellnode

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/cellapi"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/consensus"
	"kumquatwing/internal/replica"
	"kumquatwing/internal/scheduler"
	"kumquatwing/internal/storage"
	"kumquatwing/internal/wire"
)

const (
	// group is the name of the cell's replicated group.
	group = "cell"
	// tick is the group's tick; it makes an election timeout of 0.5 s.
	tick = 25 * time.Millisecond
	// learnerPause is the least number of ticks between two batches of entries to
	// a learner: they only wait for a vote, and the leader's time is short.
	learnerPause = 3
	// watchInterval is how often leadership is looked at.
	watchInterval = 25 * time.Millisecond
	// memberInterval is how often the leader looks at the membership.
	memberInterval = 300 * time.Millisecond
	// joinSilence is how long after its last call a joining process is forgotten.
	joinSilence = 3 * time.Second
	// handOverTimeout bounds the transfer of leadership at a stop.
	handOverTimeout = 1500 * time.Millisecond
)

// Config is what a Node is made of.
type Config struct {
	// Addr is where other processes reach the wire node, IP:port.
	Addr string
	// Listen is where the wire node listens: Addr if it is "".
	Listen string
	DC     string
	// Seeds are the wire addresses of some control processes.
	Seeds []string
	// Found makes an empty member form the group with all Seeds as voters.
	Found bool
	// DataDir holds the member's store.
	DataDir string
	// Voters is how many members should vote.
	Voters  int
	Workers scheduler.WorkerClient
	Bounds  scheduler.Bounds
	// Advise asks the placement policy from this process; nil if it can't.
	Advise  func(ctx context.Context, req *cellapi.AdviseRequest) (*cellapi.AdviseReply, error)
	Log     *zap.Logger
	Metrics prometheus.Registerer
}

// Node is a cell's control process.
type Node struct {
	cfg       Config
	clock     clock.Clock
	wire      *wire.Node
	member    *replica.Node
	state     *cell.State
	scheduler *scheduler.Scheduler
	client    *cellapi.Client
	server    *cellapi.Server
	self      replica.Member
	// changed wakes the scheduler after each change of the tables.
	changed chan struct{}

	mu sync.Mutex
	// joining holds the processes that asked to be members, by when last.
	joining map[replica.MemberID]joiner
}

type joiner struct {
	member replica.Member
	heard  clock.Instant
}

// Open starts the process's parts; Run makes them work together.
func Open(cfg Config) (*Node, error) {
	n := &Node{
		cfg: cfg, clock: clock.Boot{}, joining: map[replica.MemberID]joiner{},
		changed: make(chan struct{}, 1),
	}
	store, err := openStore(cfg.DataDir, cfg.Log)
	if err != nil {
		return nil, err
	}
	n.wire, err = wire.Listen(cmp.Or(cfg.Listen, cfg.Addr), nil)
	if err != nil {
		return nil, errors.Join(err, store.Close())
	}
	n.state = cell.NewState(n.wake)
	n.self = n.identity(store)
	n.member, err = replica.Open(replica.Config{
		Group: group, Self: n.self, Machine: n.state, Store: store, Wire: n.wire, Clock: n.clock,
		Found: cfg.Found, Founders: founders(cfg.Seeds), Logger: cfg.Log, Tick: tick, LearnerPause: learnerPause,
		Reopen: func() (storage.Store, error) { return openStore(cfg.DataDir, cfg.Log) },
	})
	if err != nil {
		return nil, errors.Join(err, n.wire.Close(), store.Close())
	}
	n.scheduler = scheduler.New(scheduler.Config{
		Group: n.member, State: n.state, Changed: n.changed, Workers: cfg.Workers, Clock: n.clock, Bounds: cfg.Bounds,
		Log: cfg.Log.Named("sched"), Metrics: scheduler.NewMetrics(cfg.Metrics),
	})
	n.client = cellapi.NewClient(n.wire, cfg.Seeds, n.clock, cfg.Log)
	n.server = cellapi.Serve(cellapi.Config{
		Wire: n.wire, Group: n.member, State: n.state, Scheduler: n.scheduler, Clock: n.clock,
		Log: cfg.Log.Named("api"), Join: n.join,
	})
	if cfg.Advise != nil {
		cellapi.HandleAdvise(n.wire, cfg.Advise)
	}
	return n, nil
}

// wake tells the scheduler that the tables changed; it never blocks.
func (n *Node) wake() {
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// openStore opens the member's store; one that can't be read is set aside, and
// the process comes back as a new member.
func openStore(dir string, log *zap.Logger) (storage.Store, error) {
	store, err := storage.OpenDir(dir)
	if err == nil {
		return store, nil
	}
	var corrupt *storage.CorruptError
	if !errors.As(err, &corrupt) {
		return nil, err
	}
	log.Error("store is corrupt and set aside", zap.Error(err))
	return storage.OpenDir(dir + ".new")
}

// identity returns this process's place in the group: the stored one, the one
// that all founders derive from its address, or a new one.
func (n *Node) identity(store storage.Store) replica.Member {
	m := replica.Member{ID: founderID(n.cfg.Addr), VM: hostOf(n.cfg.Addr), Addr: n.cfg.Addr}
	switch {
	case store.Identity() != consensus.None:
		m.ID = replica.MemberID(store.Identity())
	case !n.founds():
		m.ID = replica.MemberID(rand.Uint64() | 1)
	}
	return m
}

// founds reports whether this process is one of the founders.
func (n *Node) founds() bool {
	if !n.cfg.Found {
		return false
	}
	for _, s := range n.cfg.Seeds {
		if s == n.cfg.Addr {
			return true
		}
	}
	return false
}

func founders(seeds []string) []replica.Member {
	out := make([]replica.Member, len(seeds))
	for i, s := range seeds {
		out[i] = replica.Member{ID: founderID(s), VM: hostOf(s), Addr: s}
	}
	return out
}

// founderID derives a founder's identity from its address.
func founderID(addr string) replica.MemberID { return replica.MemberID(xxhash.Sum64String(addr) | 1) }

func hostOf(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return host
}

// Client returns the client that this process's own interfaces use.
func (n *Node) Client() *cellapi.Client { return n.client }

// Report takes a worker's report: here if it says nothing new, so that the
// leader has time for others, else at the leader.
func (n *Node) Report(ctx context.Context, req *cellapi.ReportRequest) (*cellapi.ReportReply, error) {
	if n.server.Known(&req.Worker) {
		return &cellapi.ReportReply{}, nil
	}
	return n.client.Report(ctx, req)
}

// Run works until ctx ends, then hands leadership over and stops.
func (n *Node) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { n.client.Greet(background, n.greeting) })
	wg.Go(func() { n.watch(background) })
	wg.Go(func() { n.keepMembers(background) })
	<-ctx.Done()
	n.handOver()
	cancel()
	wg.Wait()
	return errors.Join(n.member.Close(), n.wire.Close())
}

func (n *Node) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	if !n.member.Status().IsLeader() {
		return
	}
	if err := n.member.TransferLeadership(ctx); err != nil {
		n.cfg.Log.Warn("leadership was not handed over", zap.Error(err))
	}
}

// greeting says hello, and asks to join if this process is no member.
func (n *Node) greeting() *cellapi.HelloRequest {
	r := &cellapi.HelloRequest{Addr: n.cfg.Addr, DC: n.cfg.DC, Adviser: n.cfg.Advise != nil}
	for _, m := range n.member.Status().Members {
		if m.ID == n.self.ID {
			return r
		}
	}
	r.Member = &cellapi.Member{ID: uint64(n.self.ID), VM: n.self.VM, Addr: n.self.Addr}
	return r
}

// watch runs the scheduler while this process leads.
func (n *Node) watch(ctx context.Context) {
	var term uint64
	var stop func()
	var ended <-chan struct{}
	rest := func() {
		if stop != nil {
			stop()
			stop = nil
		}
	}
	defer rest()
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		st := n.member.Status()
		if stop != nil && (st.Leader != st.Self || st.Term != term || isClosed(ended)) {
			rest()
		}
		if stop == nil && st.IsLeader() {
			term = st.Term
			stop, ended = n.lead(ctx, term)
		}
	}
}

// isClosed reports whether a channel that carries nothing is closed.
func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// lead starts the scheduler and returns what ends it and what tells that it
// has ended.
func (n *Node) lead(ctx context.Context, term uint64) (stop func(), ended <-chan struct{}) {
	leadCtx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.scheduler.Lead(leadCtx, term)
	}()
	return func() {
		cancel()
		<-done
	}, done
}
