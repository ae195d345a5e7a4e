package storage_test

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"testing"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/consensus"
	"kumquatwing/internal/storage"
	"kumquatwing/internal/storage/faultfs"
)

// entries returns the entries first to last of the given term.
func entries(first, last, term uint64) []consensus.Entry {
	var es []consensus.Entry
	for i := first; i <= last; i++ {
		data := fmt.Appendf(nil, "command %d of term %d", i, term)
		es = append(es, consensus.Entry{Index: i, Term: term, Kind: consensus.EntryCommand, Data: data})
	}
	return es
}

// reopen opens the store in fs and returns it with its state.
func reopen(t *testing.T, fs *faultfs.FS) (*storage.Disk, consensus.State) {
	t.Helper()
	d, err := storage.Open(fs)
	qt.Assert(t, err, qt.IsNil)
	return d, d.State()
}

func TestDiskPersistsState(t *testing.T) {
	fs := faultfs.New()
	d, _ := reopen(t, fs)
	qt.Assert(t, d.Identity(), qt.Equals, consensus.None)
	qt.Assert(t, d.Append(consensus.HardState{}, nil), qt.Equals, storage.ErrEmpty)
	qt.Assert(t, d.Init(7, consensus.State{}), qt.IsNil)
	qt.Assert(t, d.Append(consensus.HardState{Term: 1}, entries(1, 5, 1)), qt.IsNil)
	qt.Assert(t, d.Append(consensus.HardState{Term: 2, Vote: 3}, entries(4, 6, 2)), qt.IsNil)
	d, st := reopen(t, fs)
	want := append(entries(1, 3, 1), entries(4, 6, 2)...)
	qt.Assert(t, d.Identity(), qt.Equals, consensus.ID(7))
	qt.Assert(t, st.HardState, qt.Equals, consensus.HardState{Term: 2, Vote: 3})
	qt.Assert(t, st.Entries, qt.DeepEquals, want)

	snap := consensus.Snapshot{Index: 4, Term: 2, Members: consensus.Members{{ID: 7}}, Data: []byte("state")}
	next := consensus.State{HardState: st.HardState, Snapshot: snap, Entries: want[4:]}
	qt.Assert(t, d.Compact(next), qt.IsNil)
	qt.Assert(t, d.Append(consensus.HardState{Term: 3}, entries(7, 7, 3)), qt.IsNil)
	_, st = reopen(t, fs)
	qt.Assert(t, st.Snapshot, qt.DeepEquals, snap)
	qt.Assert(t, st.Entries, qt.DeepEquals, append(entries(5, 6, 2), entries(7, 7, 3)...))
	names, err := fs.List()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(names), qt.Equals, 2)
}

// script makes calls 1 to n on a store until one fails. It returns the number of
// the last call that succeeded, whose state must survive, and the number of the
// call that failed, whose state may survive; the same number twice if all
// succeeded.
func script(d *storage.Disk, n int) (acked, next int) {
	for i := 1; i <= n; i++ {
		if apply(d, i) != nil {
			return i - 1, i
		}
	}
	return n, n
}

// apply makes call i of the script: Init, then Append, and Compact at every
// seventh call.
func apply(d *storage.Disk, i int) error {
	switch {
	case i == 1:
		return d.Init(7, consensus.State{})
	case i%7 == 0:
		return d.Compact(stateAfter(i))
	}
	index := indexOf(i)
	return d.Append(consensus.HardState{Term: index}, entries(index, index, index))
}

// indexOf returns the index of the entry that call i appends, or of the last entry
// that call i compacts.
func indexOf(i int) uint64 { return uint64(i - 1 - i/7) }

// stateAfter returns the state of the store after call i of the script.
func stateAfter(i int) consensus.State {
	var st consensus.State
	for k := 2; k <= i; k++ {
		index := indexOf(k)
		st.HardState = consensus.HardState{Term: index}
		if k%7 != 0 {
			st.Entries = append(st.Entries, entries(index, index, index)...)
			continue
		}
		// The second snapshot is too large to be written in one call.
		data := bytes.Repeat([]byte{byte(k)}, 2000)
		if k > 7 {
			data = append(data, make([]byte, 64<<10)...)
		}
		st.Snapshot = consensus.Snapshot{Index: index, Term: index, Data: data}
		st.Entries = nil
	}
	return st
}

// digest returns a text that is the same for equal states, with a hash in place of
// the snapshot's data.
func digest(st consensus.State) string {
	st.Snapshot.Data = binary.BigEndian.AppendUint64(nil, xxhash.Sum64(st.Snapshot.Data))
	return fmt.Sprint(st)
}

// TestCrashAtEverySync crashes before and after each sync. All acknowledged calls
// must survive; only the call in progress may be lost.
func TestCrashAtEverySync(t *testing.T) {
	const calls = 16
	for seed := range uint64(40) {
		for _, after := range []bool{false, true} {
			for at := 1; ; at++ {
				fs := faultfs.New()
				fs.CrashAt(at, after)
				d, err := storage.Open(fs)
				qt.Assert(t, err, qt.IsNil)
				acked, next := script(d, calls)
				if !fs.Crashed() {
					break
				}
				fs.Restart(rand.New(rand.NewPCG(seed, uint64(at))))
				d, err = storage.Open(fs)
				qt.Assert(t, err, qt.IsNil, qt.Commentf("seed %d, sync %d, after %v", seed, at, after))
				checkRecovered(t, d, acked, next)
			}
		}
	}
}

// checkRecovered checks that d has the state of call acked or next of the script.
func checkRecovered(t *testing.T, d *storage.Disk, acked, next int) {
	t.Helper()
	if d.Identity() == consensus.None {
		qt.Assert(t, acked, qt.Equals, 0)
		return
	}
	got := digest(d.State())
	if got != digest(stateAfter(acked)) {
		qt.Assert(t, got, qt.Equals, digest(stateAfter(next)))
	}
}

// TestIgnoredSyncLosesState checks that the crash tests can detect a store that
// does not sync: without syncs, a crash must lose state for some seed.
func TestIgnoredSyncLosesState(t *testing.T) {
	lost := 0
	for seed := range uint64(20) {
		fs := faultfs.New()
		fs.IgnoreSync = true
		d, err := storage.Open(fs)
		qt.Assert(t, err, qt.IsNil)
		script(d, 6)
		fs.Crash()
		fs.Restart(rand.New(rand.NewPCG(seed, 0)))
		d, err = storage.Open(fs)
		if err != nil || digest(d.State()) != digest(stateAfter(6)) {
			lost++
		}
	}
	qt.Assert(t, lost > 0, qt.IsTrue)
}

// TestOpenRefusesCorruptFiles flips a bit in each byte of the log and of the
// snapshot. Open must return a CorruptError unless the byte is padding.
func TestOpenRefusesCorruptFiles(t *testing.T) {
	writeStore := func() *faultfs.FS {
		fs := faultfs.New()
		d, _ := reopen(t, fs)
		script(d, 9)
		return fs
	}
	names, err := writeStore().List()
	qt.Assert(t, err, qt.IsNil)
	for _, name := range names {
		data, err := writeStore().ReadFile(name)
		qt.Assert(t, err, qt.IsNil)
		for at := range data {
			fs := writeStore()
			fs.Corrupt(name, at)
			d, err := storage.Open(fs)
			if err == nil && digest(d.State()) == digest(stateAfter(9)) {
				continue // The byte is padding.
			}
			var corrupt *storage.CorruptError
			qt.Assert(t, errors.As(err, &corrupt), qt.IsTrue, qt.Commentf("%s at %d: %v", name, at, err))
		}
	}
}

func TestWritesFailAfterFailedSync(t *testing.T) {
	fs := faultfs.New()
	d, _ := reopen(t, fs)
	qt.Assert(t, apply(d, 1), qt.IsNil)
	fs.CrashAt(1, false)
	qt.Assert(t, apply(d, 2), qt.Equals, faultfs.ErrCrashed)
	fs.Restart(rand.New(rand.NewPCG(1, 1)))
	qt.Assert(t, apply(d, 2), qt.ErrorMatches, "storage: an earlier write failed: .*")
}

func TestOpenDirRefusesSecondOpen(t *testing.T) {
	dir := t.TempDir()
	d, err := storage.OpenDir(dir)
	qt.Assert(t, err, qt.IsNil)
	defer d.Close()
	_, err = storage.OpenDir(dir)
	qt.Assert(t, err, qt.ErrorMatches, ".*in use by another process.*")
}

// exhaustedFS can't create files while exhausted is set, as in a process without
// free descriptors.
type exhaustedFS struct {
	*faultfs.FS
	exhausted bool
}

func (f *exhaustedFS) Create(name string) (storage.File, error) {
	if f.exhausted {
		return nil, &os.PathError{Op: "open", Path: name, Err: syscall.EMFILE}
	}
	return f.FS.Create(name)
}

// TestCompactWithoutDescriptorsIsPostponed checks that a compaction that can't open a
// file leaves the store usable and its state complete.
func TestCompactWithoutDescriptorsIsPostponed(t *testing.T) {
	fs := &exhaustedFS{FS: faultfs.New()}
	d, err := storage.Open(fs)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, d.Init(1, consensus.State{}), qt.IsNil)
	qt.Assert(t, d.Append(consensus.HardState{Term: 1}, entries(1, 1, 1)), qt.IsNil)

	snapshot := consensus.State{
		HardState: consensus.HardState{Term: 1, Commit: 1}, Snapshot: consensus.Snapshot{Index: 1, Term: 1, Data: []byte("s")},
	}
	fs.exhausted = true
	var postponed *storage.PostponedError
	qt.Assert(t, d.Compact(snapshot), qt.ErrorAs, &postponed)
	qt.Assert(t, d.Append(consensus.HardState{Term: 1, Commit: 1}, entries(2, 2, 1)), qt.IsNil)
	_, st := reopen(t, fs.FS)
	qt.Check(t, len(st.Entries), qt.Equals, 2)

	fs.exhausted = false
	qt.Assert(t, d.Compact(snapshot), qt.IsNil)
	_, st = reopen(t, fs.FS)
	qt.Check(t, string(st.Snapshot.Data), qt.Equals, "s")
}
