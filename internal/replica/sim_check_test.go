package replica

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"kumquatwing/internal/consensus"
)

// checker holds what was seen of all members and the first violation.
type checker struct {
	violation string
	// chains maps an index to the digest of all commands up to it.
	chains map[uint64]uint64
	// at maps a command to the index it was applied at.
	at       map[string]uint64
	leaders  map[uint64]consensus.ID
	logs     map[entryKey]entryFacts
	lastSeen map[MemberID]entryKey
	ackedAll []string
	refusals map[string]bool
	maxAcked uint64
	// installs, crashes and losses count what was exercised.
	installs, crashes, losses int
}

type entryKey struct{ index, term uint64 }

// entryFacts must be the same wherever an entry is found; by induction over
// the former term this gives log matching.
type entryFacts struct {
	sum        uint64
	formerTerm uint64
}

func newChecker() *checker {
	return &checker{
		chains:   map[uint64]uint64{},
		at:       map[string]uint64{},
		leaders:  map[uint64]consensus.ID{},
		logs:     map[entryKey]entryFacts{},
		lastSeen: map[MemberID]entryKey{},
		refusals: map[string]bool{},
	}
}

// fail keeps the first violation.
func (c *checker) fail(format string, args ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf(format, args...)
	}
}

func (c *checker) acked(command string) {
	index, ok := c.at[command]
	if !ok {
		c.fail("%s was acknowledged and never applied", command)
	}
	c.ackedAll = append(c.ackedAll, command)
	c.maxAcked = max(c.maxAcked, index)
}

func (c *checker) refused(command string) {
	if _, ok := c.at[command]; ok {
		c.fail("%s was refused as not run and is applied", command)
	}
	c.refusals[command] = true
}

// step checks the invariants that relate members to each other.
func (c *checker) step(s *sim) {
	leases := 0
	for _, m := range s.members {
		if m.core == nil {
			continue
		}
		if m.core.raft.IsLeader() {
			c.leader(m)
		}
		if m.clock(s.now) < m.lease {
			leases++
			if m.hist.index < c.maxAcked {
				c.fail("member %d holds the lease without acknowledged %d", m.self.ID, c.maxAcked)
			}
		}
		c.log(m)
	}
	if leases > 1 {
		c.fail("%d members hold a lease at %v", leases, s.now)
	}
}

func (c *checker) leader(m *simMember) {
	term, id := m.core.raft.Term(), consensus.ID(m.self.ID)
	if other, ok := c.leaders[term]; ok && other != id {
		c.fail("members %d and %d lead term %d", other, id, term)
	}
	c.leaders[term] = id
}

// log checks the last entries of a log that has changed.
func (c *checker) log(m *simMember) {
	r := m.core.raft
	es := r.EntriesAfter(max(r.Base(), r.Last()-min(r.Last(), 200)))
	if len(es) == 0 {
		return
	}
	last := entryKey{es[len(es)-1].Index, es[len(es)-1].Term}
	if c.lastSeen[m.self.ID] == last {
		return
	}
	c.lastSeen[m.self.ID] = last
	for i := 1; i < len(es); i++ {
		key := entryKey{es[i].Index, es[i].Term}
		facts := entryFacts{xxhash.Sum64(es[i].Data), es[i-1].Term}
		if m.self.Witness && es[i].Kind == consensus.EntryCommand {
			continue
		}
		if old, ok := c.logs[key]; ok && old != facts {
			c.fail("logs differ at index %d of term %d", key.index, key.term)
		}
		c.logs[key] = facts
	}
}

// simMachine is a machine whose state is the digest of all commands.
type simMachine struct {
	check *checker
	index uint64
	chain uint64
}

func (h *simMachine) Apply(index uint64, command []byte) []byte {
	if index <= h.index {
		h.check.fail("index %d applied after %d", index, h.index)
	}
	name := string(command)
	if old, ok := h.check.at[name]; ok && old != index {
		h.check.fail("%s applied at %d and %d", name, old, index)
	}
	if h.check.refusals[name] {
		h.check.fail("%s was refused as not run and is applied later", name)
	}
	h.check.at[name] = index
	h.chain = xxhash.Sum64(append(binary.BigEndian.AppendUint64(nil, h.chain), command...))
	h.index = index
	h.compare()
	return nil
}

// compare checks state-machine safety.
func (h *simMachine) compare() {
	if old, ok := h.check.chains[h.index]; ok && old != h.chain {
		h.check.fail("machines differ at index %d", h.index)
	}
	h.check.chains[h.index] = h.chain
}

// simPadding makes a snapshot take several chunks.
const simPadding = 300

func (h *simMachine) Snapshot() ([]byte, error) {
	b := binary.BigEndian.AppendUint64(nil, h.index)
	b = binary.BigEndian.AppendUint64(b, h.chain)
	return append(b, make([]byte, simPadding)...), nil
}

func (h *simMachine) Restore(b []byte) error {
	h.check.installs++
	h.index, h.chain = binary.BigEndian.Uint64(b), binary.BigEndian.Uint64(b[8:])
	h.compare()
	return nil
}
