// Package storage persists the state of a member of a consensus group: its
// identity, hard state, log and snapshot. With a durable Store, all changes are
// synced before a call returns.
package storage

import (
	"errors"
	"fmt"

	"kumquatwing/internal/consensus"
)

// Store persists the state of one member. It is not safe for concurrent use. After
// a failed write it refuses all further ones, since the content of the disk is then
// unknown.
type Store interface {
	// Identity returns the member's ID, or consensus.None for an empty store.
	Identity() consensus.ID
	// State returns the state that was loaded at opening, or set by Init since.
	// The store releases it: a second call returns an empty state.
	State() consensus.State
	// Init initializes an empty store with the identity and first state of its
	// member. It returns ErrNotEmpty if the store has an identity.
	Init(id consensus.ID, st consensus.State) error
	// Append sets the hard state and appends es to the log, after removing the
	// entries from the index of es[0] on.
	Append(h consensus.HardState, es []consensus.Entry) error
	// Compact replaces the whole state except the identity. After a
	// *PostponedError the state is unchanged and the store still usable.
	Compact(st consensus.State) error
	// Durable reports whether the state survives the end of the process.
	Durable() bool
	// Syncs returns the number of syncs of files and folders since the store was
	// opened.
	Syncs() uint64
	// Close closes the store's files and releases its lock.
	Close() error
}

// PostponedError reports that Compact could not open a file, since the process or
// the system has too many open. It changed nothing and can be tried again later.
type PostponedError struct{ Err error }

// Error implements error.
func (e *PostponedError) Error() string {
	return "storage: compaction postponed: " + e.Err.Error()
}

// Unwrap returns the error of the operating system.
func (e *PostponedError) Unwrap() error { return e.Err }

// ErrEmpty is returned by writes to a store without identity, ErrNotEmpty by Init
// on a store that has one.
var (
	ErrEmpty    = errors.New("storage: the store has no identity yet")
	ErrNotEmpty = errors.New("storage: the store has an identity already")
)

// CorruptError reports that the content of a file differs from what was synced.
// A member whose store is corrupt must not take part in its group under its stored
// identity: its log may lack entries that it has acknowledged.
type CorruptError struct {
	File   string
	Offset int
	Detail string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("storage: %s is corrupt at byte %d: %s", e.File, e.Offset, e.Detail)
}
