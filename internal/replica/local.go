package replica

import (
	"context"
	"sync"

	"kumquatwing/internal/verdict"
)

// Local is a Group with a single member and no persisted state, for tests and
// single-process use.
type Local struct {
	mu           sync.Mutex
	stateMachine StateMachine
	member       Member
	index        uint64
	closed       bool
}

var _ Group = (*Local)(nil)

// NewLocal returns a group with self as its only member and leader.
func NewLocal(m StateMachine, self Member) *Local {
	return &Local{stateMachine: m, member: self}
}

// Propose implements Group.
func (l *Local) Propose(_ context.Context, command []byte) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, verdict.Refuse(verdict.ReasonStopping, "group is closed")
	}
	l.index++
	return l.stateMachine.Apply(l.index, command), nil
}

// Barrier implements Group.
func (l *Local) Barrier(context.Context) error { return nil }

// View implements Group.
func (l *Local) View(fn func(Status)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fn(l.status())
}

// Status implements Group.
func (l *Local) Status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.status()
}

func (l *Local) status() Status {
	return Status{
		Self:       l.member.ID,
		Leader:     l.member.ID,
		Term:       1,
		Commit:     l.index,
		Applied:    l.index,
		Members:    []Member{l.member},
		LeaseValid: !l.closed,
	}
}

// AddLearner implements Group. It fails, since a Local group has exactly one
// member.
func (l *Local) AddLearner(context.Context, Member) error { return errLocal() }

// Promote implements Group. It fails, since a Local group has exactly one
// member.
func (l *Local) Promote(context.Context, MemberID) error { return errLocal() }

// Remove implements Group. It fails, since a Local group has exactly one member.
func (l *Local) Remove(context.Context, MemberID) error { return errLocal() }

// TransferLeadership implements Group. It fails, since no other member can lead.
func (l *Local) TransferLeadership(context.Context) error { return errLocal() }

// Close implements Group.
func (l *Local) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	return nil
}

func errLocal() error {
	return verdict.Refuse(verdict.ReasonBadRequest, "a local group has exactly one member")
}
