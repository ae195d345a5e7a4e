package replica

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"path/filepath"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"kumquatwing/internal/clock"
	"kumquatwing/internal/consensus"
	"kumquatwing/internal/storage"
	"kumquatwing/internal/storage/faultfs"
	"kumquatwing/internal/verdict"
	"kumquatwing/internal/wire"
)

// testTick gives election timeouts of 200 to 300 ms.
const testTick = 10 * time.Millisecond

// register is a state machine that counts commands and stores the last one.
type register struct {
	count uint64
	last  []byte
}

func (r *register) Apply(_ uint64, command []byte) []byte {
	r.count++
	r.last = command
	return binary.BigEndian.AppendUint64(nil, r.count)
}

func (r *register) Snapshot() ([]byte, error) {
	return append(binary.BigEndian.AppendUint64(nil, r.count), r.last...), nil
}

func (r *register) Restore(b []byte) error {
	r.count, r.last = binary.BigEndian.Uint64(b), b[8:]
	return nil
}

// member is a node with its network endpoint and state machine.
type member struct {
	node    *Node
	wire    *wire.Node
	machine *register
	self    Member
	dir     string
}

// group is a group of members on loopback addresses.
type group struct {
	t       testing.TB
	members []*member
	nextID  MemberID
	tick    time.Duration
}

func newGroup(t testing.TB, size int, disk bool) *group {
	g := &group{t: t, tick: testTick}
	for i := range size {
		dir := ""
		if disk {
			dir = filepath.Join(t.TempDir(), fmt.Sprint(i))
		}
		g.start(fmt.Sprintf("vm%d", i), dir, i == 0)
		if i > 0 {
			g.join(g.members[i])
		}
	}
	t.Cleanup(g.close)
	return g
}

func (g *group) close() {
	for _, m := range g.members {
		m.stop()
	}
}

func (m *member) stop() {
	m.node.Close()
	m.wire.Close()
}

// start starts a member on vm, with its store in dir or, if dir is empty, in
// memory.
func (g *group) start(vm, dir string, bootstrap bool) *member {
	w, err := wire.Listen("127.0.0.1:0", nil)
	qt.Assert(g.t, err, qt.IsNil)
	var store storage.Store = storage.NewMemory()
	if dir != "" {
		store, err = storage.OpenDir(dir)
		qt.Assert(g.t, err, qt.IsNil)
	}
	g.nextID++
	id := g.nextID
	if old := store.Identity(); old != 0 {
		id = MemberID(old)
	}
	m := &member{wire: w, machine: &register{}, dir: dir, self: Member{ID: id, VM: vm, Addr: w.Addr()}}
	m.node, err = Open(Config{
		Group: "test", Self: m.self, StateMachine: m.machine, Store: store, Wire: w,
		Clock: clock.Boot{}, Bootstrap: bootstrap, Tick: g.tick,
	})
	qt.Assert(g.t, err, qt.IsNil)
	g.members = append(g.members, m)
	return m
}

// join adds a started member to the group and promotes it to voter.
func (g *group) join(m *member) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	first := g.members[0].node
	qt.Assert(g.t, first.AddLearner(ctx, m.self), qt.IsNil)
	for {
		err := first.Promote(ctx, m.self.ID)
		if err == nil {
			return
		}
		qt.Assert(g.t, verdict.FromError(err).Reason, qt.Equals, verdict.ReasonConflict)
		qt.Assert(g.t, clock.Sleep(ctx, retryDelay), qt.IsTrue)
	}
}

// leader waits for a leader with a valid lease and returns it.
func (g *group) leader() *member {
	for range 500 {
		for _, m := range g.members {
			if s := m.node.Status(); s.IsLeader() {
				return m
			}
		}
		time.Sleep(testTick)
	}
	g.t.Fatal("no leader with a valid lease after 500 ticks")
	return nil
}

// remove stops a member and removes it from g. It stays in the group's
// membership.
func (g *group) remove(m *member) {
	m.stop()
	for i := range g.members {
		if g.members[i] == m {
			g.members = append(g.members[:i:i], g.members[i+1:]...)
			return
		}
	}
}

// waitForLeader waits until the leader that m knows is running and has a valid
// lease. A call to a leader that has just stopped would be uncertain.
func (g *group) waitForLeader(m *member) {
	for range 500 {
		leader := m.node.Status().Leader
		for _, o := range g.members {
			if s := o.node.Status(); o.self.ID == leader && s.IsLeader() {
				return
			}
		}
		time.Sleep(testTick)
	}
	g.t.Fatal("member does not know a running leader after 500 ticks")
}

func propose(t testing.TB, n *Node, command string) uint64 {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	result, err := n.Propose(ctx, []byte(command))
	qt.Assert(t, err, qt.IsNil)
	return binary.BigEndian.Uint64(result)
}

func TestEveryMemberProposesAndReads(t *testing.T) {
	defer goleak.VerifyNone(t)
	g := newGroup(t, 3, false)
	defer g.close()
	for i, m := range g.members {
		qt.Assert(t, propose(t, m.node, fmt.Sprint(i)), qt.Equals, uint64(i+1))
	}
	for _, m := range g.members {
		qt.Assert(t, m.node.Barrier(context.Background()), qt.IsNil)
		m.node.View(func(s Status) {
			qt.Check(t, m.machine.count, qt.Equals, uint64(3))
			qt.Check(t, len(s.Members), qt.Equals, 3)
		})
	}
}

func TestConcurrentProposalsShareSyncs(t *testing.T) {
	g := newGroup(t, 3, true)
	const writers, each = 20, 20
	var wg sync.WaitGroup
	for range writers {
		wg.Go(func() {
			for range each {
				propose(t, g.members[1].node, "x")
			}
		})
	}
	wg.Wait()
	l := g.leader()
	l.node.View(func(Status) { qt.Check(t, l.machine.count, qt.Equals, uint64(writers*each)) })
}

func TestWritesContinueAfterLeaderStops(t *testing.T) {
	g := newGroup(t, 3, true)
	propose(t, g.members[0].node, "a")
	old := g.leader()
	g.remove(old)
	g.waitForLeader(g.members[0])
	qt.Assert(t, propose(t, g.members[0].node, "b"), qt.Equals, uint64(2))
	restarted := g.start(old.self.VM, old.dir, false)
	qt.Assert(t, restarted.self.ID, qt.Equals, old.self.ID)
	qt.Assert(t, restarted.node.Barrier(context.Background()), qt.IsNil)
	restarted.node.View(func(Status) { qt.Check(t, restarted.machine.count, qt.Equals, uint64(2)) })
}

func TestLeaderDetectsUnreachableMember(t *testing.T) {
	g := newGroup(t, 3, false)
	l := g.leader()
	qt.Assert(t, l.node.Status().Unreachable, qt.HasLen, 0)
	stopped := g.members[2]
	g.remove(stopped)
	for range 500 {
		if unreachable := l.node.Status().Unreachable; len(unreachable) == 1 {
			qt.Assert(t, unreachable[0], qt.Equals, stopped.self.ID)
			return
		}
		time.Sleep(testTick)
	}
	t.Fatal("leader does not report the stopped member as unreachable")
}

func TestTransferLeadership(t *testing.T) {
	g := newGroup(t, 3, false)
	old := g.leader()
	qt.Assert(t, old.node.TransferLeadership(context.Background()), qt.IsNil)
	qt.Assert(t, propose(t, old.node, "a"), qt.Equals, uint64(1))
	qt.Assert(t, g.leader(), qt.Not(qt.Equals), old)
}

// TestLostDisk replaces a voter that lost its disk by a new incarnation, and
// then stops the first voter: the new one must count towards the quorum.
func TestLostDisk(t *testing.T) {
	g := newGroup(t, 3, true)
	for range 10 {
		propose(t, g.members[0].node, "a")
	}
	lost := g.members[2]
	g.remove(lost)
	g.leader()
	replacement := g.start(lost.self.VM, filepath.Join(t.TempDir(), "new"), false)
	g.join(replacement)
	qt.Assert(t, len(replacement.node.Status().Members), qt.Equals, 3)
	g.remove(g.members[0])
	g.waitForLeader(replacement)
	qt.Assert(t, propose(t, replacement.node, "b"), qt.Equals, uint64(11))
}

// gatedStore holds up each write until the test releases it.
type gatedStore struct {
	storage.Store
	entered, release chan struct{}
}

func (s *gatedStore) Append(h consensus.HardState, es []consensus.Entry) error {
	s.entered <- struct{}{}
	<-s.release
	return s.Store.Append(h, es)
}

// TestCommitDoesNotWaitForLaterWrite checks that a command which a quorum has stored
// returns while the leader still writes the next one.
func TestCommitDoesNotWaitForLaterWrite(t *testing.T) {
	const rounds = 5
	for range rounds {
		if commitReturnsDuringLaterWrite(t) {
			return
		}
	}
	t.Fatalf("in %d rounds, a stored command returned only after the write of the next one", rounds)
}

// commitReturnsDuringLaterWrite reports whether a command returned while the next one was
// being written. It may report false if the acknowledgements of the first were late.
func commitReturnsDuringLaterWrite(t *testing.T) bool {
	g := newGroup(t, 3, false)
	leader := g.leader().node
	gated := &gatedStore{entered: make(chan struct{}), release: make(chan struct{})}
	leader.View(func(Status) { gated.Store, leader.core.store = leader.core.store, gated })
	first, second := make(chan error, 1), make(chan error, 1)
	go func() {
		_, err := leader.Propose(context.Background(), []byte("a"))
		first <- err
	}()
	<-gated.entered
	go func() {
		_, err := leader.Propose(context.Background(), []byte("b"))
		second <- err
	}()
	for len(leader.calls) == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(2 * testTick)
	gated.release <- struct{}{}
	<-gated.entered
	returned := false
	select {
	case err := <-first:
		returned = err == nil
	case <-time.After(10 * testTick):
	}
	close(gated.release)
	go func() {
		for range gated.entered {
		}
	}()
	<-second
	g.close()
	close(gated.entered)
	return returned
}

// TestFailureIsPublishedBeforeCallsReturn checks that a caller whose command failed with
// the member's disk finds a status that tells of the failure.
func TestFailureIsPublishedBeforeCallsReturn(t *testing.T) {
	g := newGroup(t, 1, false)
	n := g.leader().node
	var leads bool
	n.View(func(Status) {
		n.core.propose([]byte("a"), func([]byte, error) { leads = n.Status().IsLeader() })
		n.core.fail(errors.New("disk failed"))
	})
	qt.Check(t, leads, qt.IsFalse)
}

// TestFailedDiskStopsMember checks that a member whose disk fails during a write
// reports that the command may have run, and reports later commands as not run.
func TestFailedDiskStopsMember(t *testing.T) {
	disk := faultfs.New()
	store, err := storage.Open(disk)
	qt.Assert(t, err, qt.IsNil)
	w, err := wire.Listen("127.0.0.1:0", nil)
	qt.Assert(t, err, qt.IsNil)
	defer w.Close()
	n, err := Open(Config{
		Group: "test", Self: Member{ID: 1, VM: "a", Addr: w.Addr()}, StateMachine: &register{},
		Store: store, Wire: w, Clock: clock.Boot{}, Bootstrap: true, Tick: testTick,
	})
	qt.Assert(t, err, qt.IsNil)
	defer n.Close()
	propose(t, n, "a")
	n.View(func(Status) { disk.CrashAt(1, false) })
	_, err = n.Propose(context.Background(), []byte("b"))
	qt.Assert(t, verdict.FromError(err).Verdict, qt.Equals, verdict.MayHaveRun)
	s := n.Status()
	qt.Assert(t, s.IsLeader(), qt.IsFalse)
	qt.Assert(t, s.Failure, qt.Matches, "faultfs: crashed")
	ctx, cancel := context.WithTimeout(context.Background(), 10*testTick)
	defer cancel()
	_, err = n.Propose(ctx, []byte("c"))
	qt.Assert(t, verdict.FromError(err).Verdict, qt.Equals, verdict.NotRun)
}

func TestOpenRefusesForeignStore(t *testing.T) {
	dir := t.TempDir()
	g := newGroup(t, 0, true)
	g.remove(g.start("vm0", dir, true))
	store, err := storage.OpenDir(dir)
	qt.Assert(t, err, qt.IsNil)
	defer store.Close()
	_, err = Open(Config{
		Group: "test", Self: Member{ID: 99}, StateMachine: &register{}, Store: store, Clock: clock.Boot{},
	})
	qt.Assert(t, err, qt.ErrorMatches, ".*belongs to member 1, not 99")
}

func TestProposeWithoutQuorumReportsNotRun(t *testing.T) {
	g := newGroup(t, 3, false)
	last := g.members[0]
	g.remove(g.members[2])
	g.remove(g.members[1])
	ctx, cancel := context.WithTimeout(context.Background(), 100*testTick)
	defer cancel()
	_, err := last.node.Propose(ctx, []byte("a"))
	qt.Assert(t, err, qt.Not(qt.IsNil))
	_, err = last.node.Propose(ctx, []byte("b"))
	qt.Assert(t, verdict.FromError(err).Verdict, qt.Equals, verdict.NotRun)
	s := last.node.Status()
	qt.Assert(t, s.IsLeader(), qt.IsFalse)
}
