package cellnode

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"kumquatwing/internal/cellapi"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/replica"
)

const (
	// replaceTimeoutDivisor sets how long a voter must be unreachable before a learner
	// takes its place, as a part of the catch-up time. The rest of that time is left
	// for an election and for the changes themselves.
	replaceTimeoutDivisor = 4
	// learnerRemoveTimeout is how long a learner must be unreachable before it is
	// removed. It is added again if it comes back.
	learnerRemoveTimeout = time.Minute
	// membershipChangeTimeout bounds the commit of one membership change.
	membershipChangeTimeout = 2 * time.Second
)

// errMemberGone is the error of a join request whose process has ended.
var errMemberGone = errors.New("another process runs at the address of the new member")

// recordJoinRequest records that a process wants to be a member. Of a VM, the process
// that was heard last counts: an earlier one that has lost its store has ended.
func (n *Node) recordJoinRequest(m cellapi.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	member := replica.Member{ID: replica.MemberID(m.ID), VM: m.VM, Addr: m.Addr, Learner: true}
	n.joining[m.VM] = joinRequest{member, n.clock.Now()}
}

// changeKind is the kind of a membership change.
type changeKind uint8

const (
	changeNone changeKind = iota
	changeAdd
	changePromote
	changeRemove
)

// String implements fmt.Stringer.
func (k changeKind) String() string {
	return [...]string{"none", "add", "promote", "remove"}[k]
}

// change is a change of one member towards the wanted membership.
type change struct {
	kind   changeKind
	member replica.Member
}

// manageMembership changes the membership, one member at a time, while this
// process leads.
func (n *Node) manageMembership(ctx context.Context) {
	unreachableSince := map[replica.MemberID]clock.Instant{}
	pause := membershipInterval
	for clock.Sleep(ctx, pause) {
		pause = membershipInterval
		st := n.member.Status()
		if !st.IsLeader() {
			clear(unreachableSince)
			continue
		}
		now := n.clock.Now()
		n.updateUnreachableSince(unreachableSince, &st, now)
		v := membershipView{
			members: st.Members, joining: n.recentJoinRequests(now), caughtUp: st.CaughtUp,
			lost:   unreachableFor(unreachableSince, now, n.cfg.CatchUpTime/replaceTimeoutDivisor),
			gone:   unreachableFor(unreachableSince, now, learnerRemoveTimeout),
			voters: n.cfg.Voters,
		}
		if n.apply(ctx, v.nextChange()) {
			pause = membershipChangeInterval
		}
	}
}

// apply proposes a membership change to the group, and reports whether it was made.
func (n *Node) apply(ctx context.Context, c change) bool {
	if c.kind == changeNone {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, membershipChangeTimeout)
	defer cancel()
	log := n.cfg.Log.With(zap.Stringer("change", c.kind), zap.String("vm", c.member.VM), zap.Uint64("id", uint64(c.member.ID)))
	log.Info("changing membership")
	if err := n.propose(ctx, c); err != nil {
		log.Info("could not change membership, will try again", zap.Error(err))
		return false
	}
	return true
}

func (n *Node) propose(ctx context.Context, c change) error {
	switch c.kind {
	case changeAdd:
		return n.add(ctx, c.member)
	case changePromote:
		return n.member.Promote(ctx, c.member.ID)
	case changeRemove:
		return n.member.Remove(ctx, c.member.ID)
	}
	return nil
}

// add adds a member, which replaces the one on the same VM, if its process is still
// there: its request may have been on its way when the process lost its store.
func (n *Node) add(ctx context.Context, m replica.Member) error {
	id, err := n.client.MemberAt(ctx, m.Addr)
	if err != nil {
		return err
	}
	if replica.MemberID(id) != m.ID {
		n.dropJoinRequest(m)
		return errMemberGone
	}
	return n.member.AddLearner(ctx, m)
}

// dropJoinRequest deletes the join request of a member.
func (n *Node) dropJoinRequest(m replica.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.joining[m.VM].member.ID == m.ID {
		delete(n.joining, m.VM)
	}
}

// recentJoinRequests returns the processes whose join request is at most
// joinTimeout old, ordered by VM, and deletes older requests.
func (n *Node) recentJoinRequests(now clock.Instant) []replica.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []replica.Member
	for vm, j := range n.joining {
		if now.Sub(j.receivedAt) > joinTimeout {
			delete(n.joining, vm)
			continue
		}
		out = append(out, j.member)
	}
	slices.SortFunc(out, func(a, b replica.Member) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

// updateUnreachableSince updates since when each member is unreachable, and logs the
// voters for which that changes.
func (n *Node) updateUnreachableSince(since map[replica.MemberID]clock.Instant, st *replica.Status, now clock.Instant) {
	for _, m := range st.Members {
		at, was := since[m.ID]
		is := slices.Contains(st.Unreachable, m.ID)
		switch {
		case is && !was:
			since[m.ID] = now
		case was && !is:
			delete(since, m.ID)
		}
		if is == was || m.Learner {
			continue
		}
		if is {
			n.cfg.Log.Warn("voter is unreachable", zap.String("vm", m.VM), zap.Uint64("id", uint64(m.ID)))
		} else {
			n.cfg.Log.Info("voter is reachable again", zap.String("vm", m.VM), zap.Uint64("id", uint64(m.ID)), zap.Duration("after", now.Sub(at)))
		}
	}
	for id := range since {
		if !slices.ContainsFunc(st.Members, func(m replica.Member) bool { return m.ID == id }) {
			delete(since, id)
		}
	}
}

// unreachableFor returns the members that have been unreachable for timeout or longer.
func unreachableFor(since map[replica.MemberID]clock.Instant, now clock.Instant, timeout time.Duration) map[replica.MemberID]bool {
	out := map[replica.MemberID]bool{}
	for id, at := range since {
		if now.Sub(at) >= timeout {
			out[id] = true
		}
	}
	return out
}

// membershipView is what the next membership change depends on.
type membershipView struct {
	members []replica.Member
	// joining are the processes that want to be members.
	joining []replica.Member
	// caughtUp are the learners that may be promoted.
	caughtUp []replica.MemberID
	// lost are the members that have been unreachable for so long that voters among them
	// are replaced, and gone those for so long that learners among them are removed.
	lost, gone map[replica.MemberID]bool
	// voters is the wanted number of voters.
	voters int
}

// nextChange returns the next membership change. Processes that want to be members
// are added as learners. A learner that has caught up is promoted while there are too
// few voters. If there is such a learner, a lost voter is removed to make way for it.
// The removal comes first, since the loss of a learner that has just been promoted
// would leave the larger group without a quorum.
func (v *membershipView) nextChange() change {
	for _, j := range v.joining {
		if !slices.ContainsFunc(v.members, func(m replica.Member) bool { return m.ID == j.ID }) {
			return change{changeAdd, j}
		}
	}
	votes, lostVoter := 0, replica.Member{}
	for _, m := range v.members {
		if m.Learner {
			continue
		}
		votes++
		if v.lost[m.ID] {
			lostVoter = m
		}
	}
	standby, ok := v.promotable()
	switch {
	case lostVoter.ID != 0 && (votes > v.voters || (votes == v.voters && ok)):
		return change{changeRemove, lostVoter}
	case ok && votes < v.voters:
		return change{changePromote, standby}
	}
	return v.nextLearnerRemoval()
}

// nextLearnerRemoval returns the removal of a learner that is gone.
func (v *membershipView) nextLearnerRemoval() change {
	for _, m := range v.members {
		if m.Learner && v.gone[m.ID] {
			return change{changeRemove, m}
		}
	}
	return change{}
}

// promotable returns the first learner that has caught up.
func (v *membershipView) promotable() (replica.Member, bool) {
	for _, m := range v.members {
		if m.Learner && slices.Contains(v.caughtUp, m.ID) {
			return m, true
		}
	}
	return replica.Member{}, false
}
