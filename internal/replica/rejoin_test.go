package replica

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/clock"
	"kumquatwing/internal/consensus"
	"kumquatwing/internal/storage"
	"kumquatwing/internal/wire"
)

// fullDisk is a store whose writes fail while full is set.
type fullDisk struct {
	*storage.Disk
	full *atomic.Bool
}

var errFull = errors.New("no space left")

func (d *fullDisk) Append(h consensus.HardState, es []consensus.Entry) error {
	if d.full.Load() {
		return errFull
	}
	return d.Disk.Append(h, es)
}

// TestMemberRejoinsAfterItsDiskWasFull checks that a member whose writes failed
// because its disk was full reopens its store and continues once there is space,
// without a restart and without applying a command twice.
func TestMemberRejoinsAfterItsDiskWasFull(t *testing.T) {
	var full atomic.Bool
	dir := t.TempDir()
	open := func() (storage.Store, error) {
		if full.Load() {
			return nil, errFull
		}
		d, err := storage.OpenDir(dir)
		if err != nil {
			return nil, err
		}
		return &fullDisk{d, &full}, nil
	}
	store, err := open()
	qt.Assert(t, err, qt.IsNil)
	w, err := wire.Listen("127.0.0.1:0", nil)
	qt.Assert(t, err, qt.IsNil)
	defer w.Close()
	n, err := Open(Config{
		Group: "test", Self: Member{ID: 1, VM: "vm0", Addr: w.Addr()}, StateMachine: &register{}, Store: store, Wire: w,
		Clock: clock.Boot{}, Bootstrap: true, Tick: testTick, ReopenStore: open,
	})
	qt.Assert(t, err, qt.IsNil)
	defer n.Close()
	qt.Assert(t, propose(t, n, "a"), qt.Equals, uint64(1))

	full.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err = n.Propose(ctx, []byte("b"))
	qt.Assert(t, err, qt.IsNotNil)
	qt.Check(t, n.Status().Failure, qt.Not(qt.Equals), "")

	full.Store(false)
	for end := time.Now().Add(10 * time.Second); n.Status().Failure != "" || n.Status().Leader == 0; time.Sleep(10 * time.Millisecond) {
		qt.Assert(t, time.Now().Before(end), qt.IsTrue, qt.Commentf("member has not resumed within 10 s after its disk has space again"))
	}
	qt.Check(t, propose(t, n, "c"), qt.Equals, uint64(2), qt.Commentf("a command was lost or applied twice, or the failed one was applied"))
}

// exhaustedStore postpones compactions while exhausted is set, as a store does in a
// process without free descriptors.
type exhaustedStore struct {
	*storage.Disk
	exhausted *atomic.Bool
	postponed *atomic.Int64
}

func (d *exhaustedStore) Compact(st consensus.State) error {
	if d.exhausted.Load() {
		d.postponed.Add(1)
		return &storage.PostponedError{Err: errFull}
	}
	return d.Disk.Compact(st)
}

// TestMemberOutlivesPostponedCompactions checks that a member whose store can't open
// a snapshot file goes on committing commands, and compacts its log once it can.
func TestMemberOutlivesPostponedCompactions(t *testing.T) {
	var exhausted atomic.Bool
	var postponed atomic.Int64
	disk, err := storage.OpenDir(t.TempDir())
	qt.Assert(t, err, qt.IsNil)
	w, err := wire.Listen("127.0.0.1:0", nil)
	qt.Assert(t, err, qt.IsNil)
	defer w.Close()
	n, err := Open(Config{
		Group: "test", Self: Member{ID: 1, VM: "vm0", Addr: w.Addr()}, StateMachine: &register{},
		Store: &exhaustedStore{disk, &exhausted, &postponed}, Wire: w, Clock: clock.Boot{}, Bootstrap: true, Tick: testTick,
	})
	qt.Assert(t, err, qt.IsNil)
	defer n.Close()
	exhausted.Store(true)
	big := string(make([]byte, 64<<10))
	for i := range 40 {
		qt.Assert(t, propose(t, n, big), qt.Equals, uint64(i+1))
	}
	qt.Check(t, n.Status().Failure, qt.Equals, "")
	qt.Check(t, postponed.Load() > 1, qt.IsTrue)
	qt.Check(t, postponed.Load() < 20, qt.IsTrue, qt.Commentf("tried again with each command: %d times", postponed.Load()))
	exhausted.Store(false)
	for i := range 4 {
		qt.Assert(t, propose(t, n, big), qt.Equals, uint64(i+41))
	}
	size := 0
	n.View(func(Status) { size = n.core.raft.LogBytes() })
	qt.Check(t, size < defaultLimits.compactBytes, qt.IsTrue, qt.Commentf("the log still has %d bytes", size))
}
