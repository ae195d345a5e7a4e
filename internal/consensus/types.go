// Package consensus replicates a log of entries among the members of a group
// with the Raft algorithm.
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

	"kumquatwing/internal/codec"
)

// ID identifies one incarnation of a member. A process that has lost its state
// rejoins the group under a new ID.
type ID uint64

// None is the ID that no member has.
const None ID = 0

// Member is one process of a group.
type Member struct {
	ID   ID
	VM   string
	Addr string
	// Learner members receive the log but don't vote.
	Learner bool
	// Witness members vote but store entries without the data of commands.
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

// IsVoter reports whether id is a voter.
func (ms Members) IsVoter(id ID) bool {
	m, ok := ms.Find(id)
	return ok && !m.Learner
}

// Voters returns the number of voters.
func (ms Members) Voters() int {
	n := 0
	for _, m := range ms {
		if !m.Learner {
			n++
		}
	}
	return n
}

// Quorum returns the number of voters in a majority.
func (ms Members) Quorum() int { return ms.Voters()/2 + 1 }

// EntryKind is the type of a log entry.
type EntryKind uint8

const (
	// EntryNoop is the first entry of a leader's term.
	EntryNoop EntryKind = iota + 1
	// EntryCommand holds a command for the state machine.
	EntryCommand
	// EntryMembers holds a membership, which takes effect as soon as it is
	// appended.
	EntryMembers
)

// Entry is one entry of the log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// HardState is the state that a member must persist before it sends a reply.
// Commit is included to shorten recovery after a restart.
type HardState struct {
	Term   uint64
	Vote   ID
	Commit uint64
}

// Snapshot is the state of the state machine after the entry at Index was
// applied.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members Members
	Data    []byte
}

// State is the persisted state from which a member starts.
type State struct {
	HardState HardState
	Snapshot  Snapshot
	// Entries follow the snapshot, or the last compacted entry if the log was
	// compacted without a snapshot.
	Entries []Entry
}

// MessageKind is the type of a message.
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

// Message is a message between two members.
type Message struct {
	Kind MessageKind
	From ID
	To   ID
	Term uint64
	// Index and LogTerm are the sender's last entry in vote requests and the
	// entry before Entries in MsgAppend. In MsgAppendReply, Index is the last
	// matching index, or the index that was rejected if Reject is set.
	Index   uint64
	LogTerm uint64
	Commit  uint64
	Entries []Entry
	// Reject is set in replies that refuse a vote or an append.
	Reject bool
	// Hint is the last index at which the receiver's log may match, in a rejected
	// append.
	Hint uint64
	// Round is the leader's heartbeat round, which replies return.
	Round uint64
	// Transfer marks a vote request sent because the leader transfers its
	// leadership; it is not refused for the leader's lease.
	Transfer bool
	// Chunk is a part of a snapshot; in MsgChunkReply, its Offset is the number of
	// bytes received.
	Chunk *Chunk
}

// Chunk is a part of a snapshot. Sum is the checksum of the snapshot's data and,
// with Index and Size, identifies the snapshot.
type Chunk struct {
	Index   uint64
	Term    uint64
	Members Members
	Size    uint64
	Sum     uint64
	Offset  uint64
	Data    []byte
}

// Errors returned by Propose, ReadIndex, Transfer and membership changes. No
// entry was appended to the log.
var (
	ErrNotLeader        = errors.New("this member does not lead")
	ErrTransferring     = errors.New("leadership is being handed over")
	ErrBacklog          = errors.New("too many proposals wait for a quorum")
	ErrChangePending    = errors.New("a membership change is not committed yet")
	ErrUnknownMember    = errors.New("no such member")
	ErrLearnerLagging   = errors.New("the learner has not caught up")
	ErrLastVoter        = errors.New("the last voter can't be removed")
	ErrRemoveLeader     = errors.New("the leader can't remove itself; transfer leadership first")
	ErrNoTransferTarget = errors.New("no voter can take over")
)

// Encode encodes v as MessagePack: structs as arrays, and integers in their
// shortest form.
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

// Decode decodes data encoded by Encode into v.
func Decode(data []byte, v any) error { return codec.Unmarshal(data, v) }
