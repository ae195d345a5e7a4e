// Package replica runs a state machine whose commands are agreed by a group of
// members. A group's owner proposes commands, reads the state on the group's
// own goroutine and asks who leads.
package replica

import "context"

// MemberID names one incarnation of a member. A process that lost its state
// comes back under a new MemberID.
type MemberID uint64

// Machine is a deterministic state machine. All methods are called from one
// goroutine.
type Machine interface {
	// Apply executes the committed command at index and returns its result,
	// which must depend on the state and the command alone.
	Apply(index uint64, command []byte) []byte
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state by a snapshot.
	Restore(snapshot []byte) error
}

// Member is one process of a group.
type Member struct {
	ID MemberID `msgpack:"id" json:"id"`
	// VM is the entry VM the member runs on.
	VM string `msgpack:"vm" json:"vm"`
	// Addr is where the member's wire node listens.
	Addr string `msgpack:"addr" json:"addr"`
	// Learner members receive the log and don't vote.
	Learner bool `msgpack:"learner" json:"learner"`
	// Witness members vote and keep no state machine.
	Witness bool `msgpack:"witness" json:"witness"`
}

// Status is a member's view of its group.
type Status struct {
	Self    MemberID
	Leader  MemberID
	Term    uint64
	Commit  uint64
	Applied uint64
	Members []Member
	// LeaseValid is set on a leader that no other member can have replaced yet.
	LeaseValid bool
	// Late lists the members that a leader has not heard from for an election
	// timeout; it is nil on others.
	Late []MemberID
	// Failed says why this member has stopped taking part, "" if it has not.
	Failed string
}

// IsLeader reports whether this member leads and its leader lease holds.
func (s Status) IsLeader() bool { return s.Self == s.Leader && s.LeaseValid }

// LeaderMember returns the leader's entry in Members.
func (s Status) LeaderMember() (Member, bool) {
	for _, m := range s.Members {
		if m.ID == s.Leader && s.Leader != 0 {
			return m, true
		}
	}
	return Member{}, false
}

// Group is one member's handle on a group. All methods are safe for concurrent
// use. Errors are verdict.Refusals.
type Group interface {
	// Propose asks the leader, here or elsewhere, to commit a command and
	// returns the result of applying it. NotRun guarantees that the command is
	// not and will not be committed.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// Barrier returns once this member has applied every command that was
	// committed anywhere before the call.
	Barrier(ctx context.Context) error
	// View runs fn on the group's goroutine, between two applied commands. fn
	// must not block or call the group.
	View(fn func(Status))
	// Status returns the current status; LeaseValid is checked at the call.
	Status() Status
	// AddLearner adds a member or replaces the one of the same VM.
	AddLearner(ctx context.Context, m Member) error
	// Promote makes a learner that has caught up a voter.
	Promote(ctx context.Context, id MemberID) error
	// Remove takes a member out of the group.
	Remove(ctx context.Context, id MemberID) error
	// TransferLeadership asks another voter to take over and waits for it.
	TransferLeadership(ctx context.Context) error
	// Close stops the member.
	Close() error
}

// LeaseTerm is how long a leader may act without hearing from a quorum, at the
// default tick.
const LeaseTerm = electionTicks * DefaultTick * (driftShare - 1) / driftShare
