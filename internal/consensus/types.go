// Package consensus agrees on one log of entries among the members of a group.
// It is a pure state machine without I/O, clock or goroutines: its driver
// passes in messages, ticks, proposals and the present instant, and takes out
// messages to send, state to persist and entries to apply.
//
// Source: Ongaro, "Consensus: Bridging Theory and Practice", 2014, with
// pre-vote (9.6), check-quorum and the leader lease (6.4.1), read index (6.4),
// leadership transfer (3.10) and one-at-a-time membership change (4.1).
package consensus

import (
	"bytes"
	"errors"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// ID names one incarnation of a member. A process that lost its state comes
// back under a new ID.
type ID uint64

// None is the ID of no member.
const None ID = 0

// Member is one process of a group.
type Member struct {
	ID   ID
	VM   string
	Addr string
	// Learner members receive the log and don't vote.
	Learner bool
	// Witness members vote and store the headers of entries only.
	Witness bool
}

// Members is a group's membership, sorted by ID.
type Members []Member

// Find returns the member with the given ID.
func (ms Members) Find(id ID) (Member, bool) {
	i := slices.IndexFunc(ms, func(m Member) bool { return m.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return ms[i], true
}

// IsVoter reports whether id may vote.
func (ms Members) IsVoter(id ID) bool {
	m, ok := ms.Find(id)
	return ok && !m.Learner
}

// Voters returns how many members may vote.
func (ms Members) Voters() int {
	n := 0
	for _, m := range ms {
		if !m.Learner {
			n++
		}
	}
	return n
}

// Quorum returns how many voters a decision needs.
func (ms Members) Quorum() int { return ms.Voters()/2 + 1 }

// EntryKind says what an entry holds.
type EntryKind uint8

const (
	// EntryNoop starts a leader's term.
	EntryNoop EntryKind = iota + 1
	// EntryCommand holds a command of the state machine.
	EntryCommand
	// EntryMembers holds a membership, which is in use from when it is appended.
	EntryMembers
)

// Entry is one element of the log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// HardState is what a member must have persisted before it answers. Commit is
// persisted along with the rest to shorten a restart.
type HardState struct {
	Term   uint64
	Vote   ID
	Commit uint64
}

// Snapshot is the state machine at one index.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members Members
	Data    []byte
}

// State is what a member starts from.
type State struct {
	Hard     HardState
	Snapshot Snapshot
	// Entries follow the snapshot, or the index that was compacted without one.
	Entries []Entry
}

// MessageKind tells messages apart.
type MessageKind uint8

const (
	MsgPreVote MessageKind = iota + 1
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgAppend
	MsgAppendReply
	MsgChunk
	MsgChunkReply
	MsgTimeoutNow
)

// Message travels between two members.
type Message struct {
	Kind MessageKind
	From ID
	To   ID
	Term uint64
	// Index and LogTerm are the sender's last entry in vote requests and the
	// entry before Entries in MsgAppend. In MsgAppendReply Index is the last
	// matching index, or the refused one if Reject is set.
	Index   uint64
	LogTerm uint64
	Commit  uint64
	Entries []Entry
	// Reject refuses a vote or an append.
	Reject bool
	// Hint is where the receiver's log may match, in a refused append.
	Hint uint64
	// Round numbers the leader's heartbeat rounds; replies repeat it.
	Round uint64
	// Transfer marks a vote request that the leader itself asked for.
	Transfer bool
	// Chunk is a part of a snapshot, or how far one has been received.
	Chunk *Chunk
}

// Chunk is a part of a snapshot. Sum identifies the encoded snapshot.
type Chunk struct {
	Index   uint64
	Term    uint64
	Members Members
	Size    uint64
	Sum     uint64
	Offset  uint64
	Data    []byte
}

// Errors of proposals; none of them leaves an entry in the log.
var (
	ErrNotLeader    = errors.New("this member does not lead")
	ErrTransferring = errors.New("leadership is being handed over")
	ErrBacklog      = errors.New("too many proposals wait for a quorum")
	ErrChanging     = errors.New("a membership change is not committed yet")
	ErrUnknown      = errors.New("no such member")
	ErrLagging      = errors.New("the learner has not caught up")
	ErrLastVoter    = errors.New("the last voter can't be removed")
	ErrSelf         = errors.New("the leader can't remove itself; transfer leadership first")
	ErrNoTarget     = errors.New("no voter can take over")
)

// Encode encodes v compactly: structs as arrays, integers at their least size.
func Encode(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(&buf)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// Decode reverses Encode.
func Decode(data []byte, v any) error { return msgpack.Unmarshal(data, v) }
