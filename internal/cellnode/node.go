// Package cellnode runs the control process of a cell: it runs a member of the
// cell's replicated group, serves calls from other processes and, while the
// member is the leader, runs the scheduler.
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
	// groupName is the name of the cell's replicated group.
	groupName = "cell"
	// tickInterval is the group's tick, which gives an election timeout of 0.36 s.
	tickInterval = 18 * time.Millisecond
	// learnerBatchTicks is the minimum number of ticks between two batches of
	// entries to a learner. Learners only stand by to become voters, so they
	// are sent entries less often, which saves the leader's time.
	learnerBatchTicks = 3
	// leadershipPollInterval is how often the process checks whether it leads.
	leadershipPollInterval = 25 * time.Millisecond
	// membershipInterval is how often the leader checks the membership, and
	// membershipChangeInterval the pause after a change, which others may follow.
	membershipInterval       = 300 * time.Millisecond
	membershipChangeInterval = 30 * time.Millisecond
	// joinTimeout is how long a join request is kept after it was last received.
	joinTimeout = 3 * time.Second
	// leadershipTransferTimeout bounds the transfer of leadership at shutdown.
	leadershipTransferTimeout = 1500 * time.Millisecond
)

// Config holds the settings and dependencies of a Node.
type Config struct {
	// Addr is the address at which other processes reach the wire node, IP:port.
	Addr string
	// Listen is the address on which the wire node listens, Addr if "".
	Listen string
	// DC is the data centre of the process.
	DC string
	// Seeds are the wire addresses of some control processes of the cell.
	Seeds []string
	// Bootstrap makes a member with an empty store bootstrap the group, with all
	// Seeds as its initial voters.
	Bootstrap bool
	// DataDir is the directory of the member's store.
	DataDir string
	// Voters is the wanted number of voters.
	Voters int
	// CatchUpTime is the time from the start of a control process in the place of a
	// lost one until the group has to bear the loss of another.
	CatchUpTime time.Duration
	Workers     scheduler.WorkerClient
	Bounds      scheduler.Bounds
	// EqualSpeeds makes all workers count as equally fast.
	EqualSpeeds bool
	// DeclaredRunTimes is that of scheduler.Config.
	DeclaredRunTimes bool
	// Advise requests advice from the placement policy; nil if the process
	// has no access to the policy.
	Advise func(ctx context.Context, req *cellapi.AdviseRequest) (*cellapi.AdviseReply, error)
	// MaxBodyBytes is that of cellapi.Config.
	MaxBodyBytes func(document []byte) int64
	// LimitWire sets the limits of the wire node before it is used; nil for the defaults.
	LimitWire func(*wire.Node)
	Log       *zap.Logger
	Metrics   prometheus.Registerer
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
	// changed signals the scheduler that the replicated state has changed.
	changed chan struct{}

	mu sync.Mutex
	// joining holds the newest join request of each VM. mu protects it.
	joining map[string]joinRequest
}

// joinRequest is the request of a process to be a member of the group.
type joinRequest struct {
	member     replica.Member
	receivedAt clock.Instant
}

// Open opens the member's store, starts the member and serves calls. Run must be
// called for the process to join the group, schedule and change the membership.
func Open(cfg Config) (*Node, error) {
	n := &Node{
		cfg: cfg, clock: clock.Boot{}, joining: map[string]joinRequest{},
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
	n.wire.SetLogger(cfg.Log)
	if cfg.LimitWire != nil {
		cfg.LimitWire(n.wire)
	}
	n.state = cell.NewState(n.notifyChanged)
	n.self = n.identity(store)
	n.member, err = replica.Open(replica.Config{
		Group: groupName, Self: n.self, StateMachine: n.state, Store: store, Wire: n.wire, Clock: n.clock,
		Bootstrap: cfg.Bootstrap, InitialVoters: initialVoters(cfg.Seeds), Logger: cfg.Log, Tick: tickInterval, LearnerBatchTicks: learnerBatchTicks,
		ReopenStore: func() (storage.Store, error) { return openStore(cfg.DataDir, cfg.Log) },
	})
	if err != nil {
		return nil, errors.Join(err, n.wire.Close(), store.Close())
	}
	n.scheduler = scheduler.New(scheduler.Config{
		Group: n.member, State: n.state, Changed: n.changed, Workers: cfg.Workers, Clock: n.clock, Bounds: cfg.Bounds, DeclaredRunTimes: cfg.DeclaredRunTimes,
		EqualSpeeds: cfg.EqualSpeeds, Log: cfg.Log.Named("sched"), Metrics: scheduler.NewMetrics(cfg.Metrics),
	})
	n.client = cellapi.NewClient(n.wire, cfg.Seeds, n.clock, cfg.Log)
	n.server = cellapi.Serve(cellapi.Config{
		Wire: n.wire, Group: n.member, State: n.state, Scheduler: n.scheduler, Clock: n.clock,
		Log: cfg.Log.Named("api"), Join: n.recordJoinRequest, MaxBodyBytes: cfg.MaxBodyBytes,
	})
	if cfg.Advise != nil {
		cellapi.HandleAdvise(n.wire, cfg.Advise)
	}
	return n, nil
}

// notifyChanged signals the scheduler that the replicated state has changed; it
// never blocks.
func (n *Node) notifyChanged() {
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// openStore opens the member's store. If the store is corrupt, it is left as it
// is and one in another directory is opened, so that the process returns as a
// new member.
func openStore(dir string, log *zap.Logger) (storage.Store, error) {
	store, err := storage.OpenDir(dir)
	if err == nil {
		return store, nil
	}
	var corrupt *storage.CorruptError
	if !errors.As(err, &corrupt) {
		return nil, err
	}
	log.Error("store is corrupt, opening another one beside it", zap.Error(err))
	return storage.OpenDir(dir + ".new")
}

// identity returns this process as a member of the group. Its ID is the stored
// one, or for an initial voter the one that all initial voters derive from its
// address, or else a random one.
func (n *Node) identity(store storage.Store) replica.Member {
	m := replica.Member{ID: initialVoterID(n.cfg.Addr), VM: hostOf(n.cfg.Addr), Addr: n.cfg.Addr}
	switch {
	case store.Identity() != consensus.None:
		m.ID = replica.MemberID(store.Identity())
	case !n.isInitialVoter():
		m.ID = replica.MemberID(rand.Uint64() | 1)
	}
	return m
}

// isInitialVoter reports whether this process is one of the initial voters of the
// group.
func (n *Node) isInitialVoter() bool {
	if !n.cfg.Bootstrap {
		return false
	}
	for _, s := range n.cfg.Seeds {
		if s == n.cfg.Addr {
			return true
		}
	}
	return false
}

// initialVoters returns the members at the seed addresses, which bootstrap the
// group.
func initialVoters(seeds []string) []replica.Member {
	out := make([]replica.Member, len(seeds))
	for i, s := range seeds {
		out[i] = replica.Member{ID: initialVoterID(s), VM: hostOf(s), Addr: s}
	}
	return out
}

// initialVoterID derives an initial voter's member ID from its address. It is never
// 0.
func initialVoterID(addr string) replica.MemberID {
	return replica.MemberID(xxhash.Sum64String(addr) | 1)
}

// hostOf returns the host of an address, or the whole address if it has no port.
func hostOf(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return host
}

// Client returns the client with which this process itself calls the cell.
func (n *Node) Client() *cellapi.Client { return n.client }

// Report handles a worker's report. A report that changes nothing is answered
// here, to save the leader's time; any other is sent to the leader.
func (n *Node) Report(ctx context.Context, req *cellapi.ReportRequest) (*cellapi.ReportReply, error) {
	if n.server.Unchanged(&req.Worker) {
		return &cellapi.ReportReply{}, nil
	}
	return n.client.Report(ctx, req)
}

// Run runs the process until ctx ends, then transfers leadership and shuts down.
func (n *Node) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { n.client.SendHellos(background, n.helloRequest) })
	wg.Go(func() { n.followLeadership(background) })
	wg.Go(func() { n.manageMembership(background) })
	<-ctx.Done()
	n.transferLeadership()
	cancel()
	wg.Wait()
	return errors.Join(n.member.Close(), n.wire.Close())
}

// transferLeadership transfers leadership to another member if this one leads.
func (n *Node) transferLeadership() {
	ctx, cancel := context.WithTimeout(context.Background(), leadershipTransferTimeout)
	defer cancel()
	if !n.member.Status().IsLeader() {
		return
	}
	if err := n.member.TransferLeadership(ctx); err != nil {
		n.cfg.Log.Warn("could not transfer leadership before shutdown", zap.Error(err))
	}
}

// helloRequest returns the hello of this process.
func (n *Node) helloRequest() *cellapi.HelloRequest {
	return &cellapi.HelloRequest{
		Addr: n.cfg.Addr, DC: n.cfg.DC, Adviser: n.cfg.Advise != nil,
		Member: &cellapi.Member{ID: uint64(n.self.ID), VM: n.self.VM, Addr: n.self.Addr},
	}
}

// followLeadership runs the scheduler while this process leads the group. It
// stops the scheduler when the leader or the term changes, and starts it again if
// it has ended by itself.
func (n *Node) followLeadership(ctx context.Context) {
	var term uint64
	var stop func()
	var ended <-chan struct{}
	stopScheduler := func() {
		if stop != nil {
			stop()
			stop = nil
		}
	}
	defer stopScheduler()
	ticker := time.NewTicker(leadershipPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		st := n.member.Status()
		if stop != nil && (st.Leader != st.Self || st.Term != term || isClosed(ended)) {
			stopScheduler()
		}
		if stop == nil && st.IsLeader() {
			term = st.Term
			stop, ended = n.startScheduler(ctx, term)
		}
	}
}

// isClosed reports whether a channel on which nothing is ever sent is closed.
func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// startScheduler starts the scheduler in term. stop stops it and waits for its
// end; ended is closed when it has ended.
func (n *Node) startScheduler(ctx context.Context, term uint64) (stop func(), ended <-chan struct{}) {
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
