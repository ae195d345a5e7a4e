// Package storage keeps what a group's member must not forget: its identity,
// hard state, log and snapshot. Everything is synced before a call returns.
package storage

import (
	"errors"
	"fmt"

	"kumquatwing/internal/consensus"
)

// Store keeps the state of one member. It is not safe for concurrent use. An
// error is final: the store refuses all further writes, since what is on disk
// is no longer known.
type Store interface {
	// Identity returns the member's ID, or consensus.None for an empty store.
	Identity() consensus.ID
	// State returns what the store held when it was opened, once.
	State() consensus.State
	// Begin gives an empty store its identity and first state.
	Begin(id consensus.ID, st consensus.State) error
	// Append sets the hard state and replaces the log from the first entry's
	// index on.
	Append(h consensus.HardState, es []consensus.Entry) error
	// Compact replaces everything but the identity.
	Compact(st consensus.State) error
	// Durable reports whether the state outlives the process.
	Durable() bool
	// Syncs counts the syncs of files since the store was opened.
	Syncs() uint64
	// Close releases the store.
	Close() error
}

// ErrEmpty and ErrNotEmpty report calls that don't fit the store's content.
var (
	ErrEmpty    = errors.New("storage: the store has no identity yet")
	ErrNotEmpty = errors.New("storage: the store has an identity already")
)

// CorruptError says that a file holds something other than what was synced.
// A member whose store is corrupt must not take part under its identity.
type CorruptError struct {
	File   string
	Offset int
	Detail string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("storage: %s is corrupt at byte %d: %s", e.File, e.Offset, e.Detail)
}
