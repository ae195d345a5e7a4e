package replica

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"kumquatwing/internal/consensus"
)

// checker records what the members of a simulation did and the first violation
// of an invariant.
type checker struct {
	// violation describes the first violation, "" if there is none.
	violation string
	// digests maps an index to the digest of all commands up to it.
	digests map[uint64]uint64
	// appliedAt maps a command to the index at which it was applied.
	appliedAt map[string]uint64
	// leaders maps a term to its leader.
	leaders map[uint64]consensus.ID
	// entries maps a log entry to the digest that it must have in every log.
	entries map[entryKey]entryDigest
	// lastChecked is the last log entry checked for each member.
	lastChecked map[MemberID]entryKey
	// ackedCommands were acknowledged to their clients; maxAckedIndex is the
	// highest index of one. refusedCommands were reported as not run.
	ackedCommands   []string
	refusedCommands map[string]bool
	maxAckedIndex   uint64
	// restores counts restored snapshots, syncCrashes crashes at a sync and
	// diskLosses wiped disks, to show that the faults occurred.
	restores, syncCrashes, diskLosses int
}

// entryKey identifies a log entry.
type entryKey struct{ index, term uint64 }

// entryDigest must be the same for an entry in every log. As it includes the
// term of the previous entry, this implies the log matching property by
// induction.
type entryDigest struct {
	sum      uint64
	prevTerm uint64
}

func newChecker() *checker {
	return &checker{
		digests:         map[uint64]uint64{},
		appliedAt:       map[string]uint64{},
		leaders:         map[uint64]consensus.ID{},
		entries:         map[entryKey]entryDigest{},
		lastChecked:     map[MemberID]entryKey{},
		refusedCommands: map[string]bool{},
	}
}

// fail records a violation unless there is one already.
func (c *checker) fail(format string, args ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf(format, args...)
	}
}

// acked records that a command was acknowledged to its client.
func (c *checker) acked(command string) {
	index, ok := c.appliedAt[command]
	if !ok {
		c.fail("%s was acknowledged but never applied", command)
	}
	c.ackedCommands = append(c.ackedCommands, command)
	c.maxAckedIndex = max(c.maxAckedIndex, index)
}

// refused records that a command was reported as not run.
func (c *checker) refused(command string) {
	if _, ok := c.appliedAt[command]; ok {
		c.fail("%s was reported as not run but is applied", command)
	}
	c.refusedCommands[command] = true
}

// checkAll checks the invariants across members: one leader per term, at most
// one lease, no lease without all acknowledged commands, and equal logs.
func (c *checker) checkAll(s *sim) {
	leases := 0
	for _, m := range s.members {
		if m.core == nil {
			continue
		}
		if m.core.raft.IsLeader() {
			c.checkLeader(m)
		}
		if m.clock(s.now) < m.lease {
			leases++
			if m.machine.index < c.maxAckedIndex {
				c.fail("member %d holds a lease but has not applied acknowledged index %d", m.self.ID, c.maxAckedIndex)
			}
		}
		c.checkLog(m)
	}
	if leases > 1 {
		c.fail("%d members hold a lease at %v", leases, s.now)
	}
}

// checkLeader checks that no other member led the same term.
func (c *checker) checkLeader(m *simMember) {
	term, id := m.core.raft.Term(), consensus.ID(m.self.ID)
	if other, ok := c.leaders[term]; ok && other != id {
		c.fail("members %d and %d both lead term %d", other, id, term)
	}
	c.leaders[term] = id
}

// checkLog checks the last entries of a member's log if the log has changed.
func (c *checker) checkLog(m *simMember) {
	r := m.core.raft
	es := r.EntriesAfter(max(r.Base(), r.Last()-min(r.Last(), 200)))
	if len(es) == 0 {
		return
	}
	last := entryKey{es[len(es)-1].Index, es[len(es)-1].Term}
	if c.lastChecked[m.self.ID] == last {
		return
	}
	c.lastChecked[m.self.ID] = last
	for i := 1; i < len(es); i++ {
		key := entryKey{es[i].Index, es[i].Term}
		digest := entryDigest{xxhash.Sum64(es[i].Data), es[i-1].Term}
		if m.self.Witness && es[i].Kind == consensus.EntryCommand {
			continue
		}
		if old, ok := c.entries[key]; ok && old != digest {
			c.fail("logs differ at index %d of term %d", key.index, key.term)
		}
		c.entries[key] = digest
	}
}

// simMachine is a state machine whose state is the digest of all commands.
type simMachine struct {
	checker *checker
	index   uint64
	digest  uint64
}

func (m *simMachine) Apply(index uint64, command []byte) []byte {
	if index <= m.index {
		m.checker.fail("index %d applied after %d", index, m.index)
	}
	name := string(command)
	if old, ok := m.checker.appliedAt[name]; ok && old != index {
		m.checker.fail("%s applied at %d and %d", name, old, index)
	}
	if m.checker.refusedCommands[name] {
		m.checker.fail("%s was reported as not run but is applied later", name)
	}
	m.checker.appliedAt[name] = index
	m.digest = xxhash.Sum64(append(binary.BigEndian.AppendUint64(nil, m.digest), command...))
	m.index = index
	m.checkDigest()
	return nil
}

// checkDigest checks state machine safety: all members must have the same state
// after the same index.
func (m *simMachine) checkDigest() {
	if old, ok := m.checker.digests[m.index]; ok && old != m.digest {
		m.checker.fail("state machines differ at index %d", m.index)
	}
	m.checker.digests[m.index] = m.digest
}

// simPadding makes a snapshot larger than one chunk.
const simPadding = 300

func (m *simMachine) Snapshot() ([]byte, error) {
	b := binary.BigEndian.AppendUint64(nil, m.index)
	b = binary.BigEndian.AppendUint64(b, m.digest)
	return append(b, make([]byte, simPadding)...), nil
}

func (m *simMachine) Restore(b []byte) error {
	m.checker.restores++
	m.index, m.digest = binary.BigEndian.Uint64(b), binary.BigEndian.Uint64(b[8:])
	m.checkDigest()
	return nil
}
