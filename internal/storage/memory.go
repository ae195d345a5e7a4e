package storage

import "kumquatwing/internal/consensus"

// Memory is the Store of a member without a disk. It keeps only the identity: the
// member has its log in memory, and after a restart it joins its group as a new
// member.
type Memory struct {
	id consensus.ID
	st consensus.State
}

var _ Store = (*Memory)(nil)

// NewMemory returns an empty store.
func NewMemory() *Memory { return &Memory{} }

// Identity implements Store.
func (m *Memory) Identity() consensus.ID { return m.id }

// State implements Store.
func (m *Memory) State() consensus.State {
	st := m.st
	m.st = consensus.State{}
	return st
}

// Init implements Store.
func (m *Memory) Init(id consensus.ID, st consensus.State) error {
	if m.id != consensus.None {
		return ErrNotEmpty
	}
	m.id, m.st = id, st
	return nil
}

// Append implements Store.
func (m *Memory) Append(consensus.HardState, []consensus.Entry) error { return nil }

// Compact implements Store.
func (m *Memory) Compact(consensus.State) error { return nil }

// Durable implements Store.
func (m *Memory) Durable() bool { return false }

// Syncs implements Store.
func (m *Memory) Syncs() uint64 { return 0 }

// Close implements Store.
func (m *Memory) Close() error { return nil }
