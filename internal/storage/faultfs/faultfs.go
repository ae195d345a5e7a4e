// Package faultfs implements storage.FS in memory for crash tests. It counts syncs,
// crashes at a chosen one and then drops or tears the writes that were not synced.
package faultfs

import (
	"errors"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"

	"kumquatwing/internal/storage"
)

// sectorBytes is the size of a sector, which a disk writes completely or not at
// all.
const sectorBytes = 512

// ErrCrashed is returned by every call between a crash and Restart.
var ErrCrashed = errors.New("faultfs: crashed")

// inode is the content of a file, independent of its name.
type inode struct {
	// synced is the content at the last sync, current the one that reads return.
	synced, current []byte
}

// nameChange is the creation, renaming or removal of a file that no SyncDir has
// made durable yet.
type nameChange struct {
	from, to string // from is empty for a creation, to for a removal
	node     *inode
}

// FS implements storage.FS. It is not safe for concurrent use.
type FS struct {
	// IgnoreSync makes syncs have no effect, to simulate a store that does not
	// sync. Restart then keeps a prefix of the unsynced writes of each file, in
	// the order of writing.
	IgnoreSync bool

	durable map[string]*inode // by name, as of the last SyncDir
	current map[string]*inode // by name
	pending []nameChange      // since the last SyncDir, oldest first

	syncs     int  // number of syncs so far
	crashAt   int  // number of the sync at which to crash; 0 for none
	afterSync bool // whether that sync takes effect before the crash
	crashed   bool
}

var _ storage.FS = (*FS)(nil)

// New returns an empty folder.
func New() *FS {
	return &FS{durable: map[string]*inode{}, current: map[string]*inode{}}
}

// CrashAt makes the n-th sync from now on crash: after it has taken effect if
// afterSync is set, otherwise before. Syncs of files and of the folder count.
func (f *FS) CrashAt(n int, afterSync bool) { f.crashAt, f.afterSync = f.syncs+n, afterSync }

// Crashed reports whether there was a crash since the last Restart.
func (f *FS) Crashed() bool { return f.crashed }

// Crash simulates a crash: all calls fail until Restart.
func (f *FS) Crash() { f.crashed = true }

// Restart simulates the restart after a crash. The folder then contains all synced
// data and a part of the rest that rng selects: the first few of the pending name
// changes, and some sectors of the unsynced writes.
func (f *FS) Restart(rng *rand.Rand) {
	names := maps.Clone(f.durable)
	for _, p := range f.pending[:rng.IntN(len(f.pending)+1)] {
		p.apply(names)
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		names[name].loseUnsynced(rng, f.IgnoreSync)
	}
	f.durable, f.current = names, maps.Clone(names)
	f.pending, f.crashed, f.crashAt = nil, false, 0
}

// Wipe removes all content, to simulate the loss of the disk.
func (f *FS) Wipe() {
	*f = FS{IgnoreSync: f.IgnoreSync, durable: map[string]*inode{}, current: map[string]*inode{}}
}

// apply makes the change in names.
func (p nameChange) apply(names map[string]*inode) {
	delete(names, p.from)
	if p.to != "" {
		names[p.to] = p.node
	}
}

// loseUnsynced drops a part of the writes since the last sync. It picks a length
// between the synced and the current one and keeps, up to that length, each
// sector of the current content at random, or with inOrder all of them. The other
// sectors have their synced content, or zeros beyond it.
func (n *inode) loseUnsynced(rng *rand.Rand, inOrder bool) {
	length := len(n.synced)
	if more := len(n.current) - length; more > 0 {
		length += rng.IntN(more + 1)
		if rng.IntN(2) == 0 {
			length = len(n.current)
		}
	} else if more < 0 && rng.IntN(2) == 0 {
		length = len(n.current)
	}
	kept := make([]byte, length)
	copy(kept, n.synced)
	for at := 0; at < length; at += sectorBytes {
		end := min(at+sectorBytes, length)
		if at < len(n.current) && (inOrder || rng.IntN(2) == 0) {
			copy(kept[at:end], n.current[at:min(end, len(n.current))])
		}
	}
	n.synced, n.current = kept, slices.Clone(kept)
}

// sync counts a sync and calls effect, which makes the data durable. At the sync
// chosen by CrashAt it crashes, before or after effect.
func (f *FS) sync(effect func()) error {
	if f.crashed {
		return ErrCrashed
	}
	f.syncs++
	crash := f.crashAt != 0 && f.syncs >= f.crashAt
	if !f.IgnoreSync && (!crash || f.afterSync) {
		effect()
	}
	if crash {
		f.crashed = true
		return ErrCrashed
	}
	return nil
}

// Create implements storage.FS.
func (f *FS) Create(name string) (storage.File, error) {
	if f.crashed {
		return nil, ErrCrashed
	}
	n := &inode{}
	f.current[name] = n
	f.pending = append(f.pending, nameChange{"", name, n})
	return &file{f, n}, nil
}

// Open implements storage.FS.
func (f *FS) Open(name string) (storage.File, error) {
	n, err := f.find(name)
	if err != nil {
		return nil, err
	}
	return &file{f, n}, nil
}

func (f *FS) find(name string) (*inode, error) {
	if f.crashed {
		return nil, ErrCrashed
	}
	n, ok := f.current[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return n, nil
}

// ReadFile implements storage.FS.
func (f *FS) ReadFile(name string) ([]byte, error) {
	n, err := f.find(name)
	if err != nil {
		return nil, err
	}
	return slices.Clone(n.current), nil
}

// Corrupt flips one bit of the byte at offset of a file, in the synced content
// too.
func (f *FS) Corrupt(name string, offset int) {
	n := f.current[name]
	n.current[offset] ^= 1
	n.synced = slices.Clone(n.current)
}

// Rename implements storage.FS.
func (f *FS) Rename(from, to string) error {
	n, err := f.find(from)
	if err != nil {
		return err
	}
	delete(f.current, from)
	f.current[to] = n
	f.pending = append(f.pending, nameChange{from, to, n})
	return nil
}

// Remove implements storage.FS.
func (f *FS) Remove(name string) error {
	if _, err := f.find(name); err != nil {
		return err
	}
	delete(f.current, name)
	f.pending = append(f.pending, nameChange{name, "", nil})
	return nil
}

// List implements storage.FS.
func (f *FS) List() ([]string, error) {
	if f.crashed {
		return nil, ErrCrashed
	}
	return slices.Sorted(maps.Keys(f.current)), nil
}

// SyncDir implements storage.FS.
func (f *FS) SyncDir() error {
	return f.sync(func() {
		f.durable = maps.Clone(f.current)
		f.pending = nil
	})
}

// Close implements storage.FS.
func (f *FS) Close() error { return nil }

// file implements storage.File.
type file struct {
	fs   *FS
	node *inode
}

func (f *file) Write(p []byte) (int, error) {
	if f.fs.crashed {
		return 0, ErrCrashed
	}
	f.node.current = append(f.node.current, p...)
	return len(p), nil
}

func (f *file) Sync() error {
	return f.fs.sync(func() { f.node.synced = slices.Clone(f.node.current) })
}

func (f *file) Truncate(size int64) error {
	if f.fs.crashed {
		return ErrCrashed
	}
	f.node.current = f.node.current[:size:size]
	return nil
}

func (f *file) Close() error { return nil }
