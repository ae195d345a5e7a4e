// Package replica runs a state machine that is replicated to the members of a
// group by package consensus. Its users propose commands, read the state on the
// member's goroutine and query the leader.
package replica

import "context"

// MemberID identifies one incarnation of a member. A process that has lost its
// state rejoins the group under a new MemberID.
type MemberID uint64

// StateMachine is the deterministic state machine that a group replicates. Its
// methods are never called concurrently.
type StateMachine interface {
	// Apply executes the committed command at index and returns its result. The
	// result and the new state must depend only on the previous state and the
	// command.
	Apply(index uint64, command []byte) []byte
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state by that of a snapshot.
	Restore(snapshot []byte) error
}

// Member is one process of a group.
type Member struct {
	ID MemberID `msgpack:"id" json:"id"`
	// VM is the name of the entry VM on which the member runs.
	VM string `msgpack:"vm" json:"vm"`
	// Addr is the address on which the member's wire node listens.
	Addr string `msgpack:"addr" json:"addr"`
	// Learner members receive the log but don't vote.
	Learner bool `msgpack:"learner" json:"learner"`
	// Witness members vote but don't have a state machine.
	Witness bool `msgpack:"witness" json:"witness"`
}

// Status describes a group as one member sees it.
type Status struct {
	Self    MemberID
	Leader  MemberID
	Term    uint64
	Commit  uint64
	Applied uint64
	Members []Member
	// LeaseValid is set on a leader whose lease has not expired, so that no other
	// member can lead yet.
	LeaseValid bool
	// Unreachable lists the members that have not replied to the leader for an election
	// timeout; it is nil on other members.
	Unreachable []MemberID
	// CaughtUp lists the learners that have almost the whole log and so may be
	// promoted; it is nil on members that don't lead.
	CaughtUp []MemberID
	// Failure is the text of the error that stopped this member; "" if it is running.
	Failure string
}

// IsLeader reports whether this member is the leader and its lease is valid.
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

// Group is a member's handle on its group. All methods are safe for concurrent
// use. Errors are of type verdict.Refusal.
type Group interface {
	// Propose has the leader, which may be another member, commit a command and
	// returns the result of applying it. The verdict NotRun guarantees that the
	// command is not committed and never will be.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// Barrier returns once this member has applied every command that any member
	// had committed before the call.
	Barrier(ctx context.Context) error
	// View runs fn on the member goroutine, between two applied commands. fn must
	// not block or call the group.
	View(fn func(Status))
	// Status returns the latest published status. LeaseValid is checked at the time
	// of the call.
	Status() Status
	// AddLearner adds m as a learner. It replaces an earlier member on the same VM.
	AddLearner(ctx context.Context, m Member) error
	// Promote makes a learner a voter. The learner must have caught up.
	Promote(ctx context.Context, id MemberID) error
	// Remove removes a member from the group.
	Remove(ctx context.Context, id MemberID) error
	// TransferLeadership transfers leadership to another voter and waits until that
	// one leads.
	TransferLeadership(ctx context.Context) error
	// Close stops the member.
	Close() error
}

// LeaseDuration is how long a leader's lease lasts without replies from a
// quorum, at the default tick.
const LeaseDuration = electionTicks * DefaultTick * (driftDivisor - 1) / driftDivisor
