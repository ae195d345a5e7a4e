package cellnode

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"kumquatwing/internal/cellapi"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/replica"
)

// voterReplaceTimeout is how long a voter must be unresponsive before a learner
// is promoted in its place.
const voterReplaceTimeout = 8 * time.Second

// recordJoinRequest records that a process wants to become a member.
func (n *Node) recordJoinRequest(m cellapi.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	id := replica.MemberID(m.ID)
	n.joining[id] = joinRequest{replica.Member{ID: id, VM: m.VM, Addr: m.Addr, Learner: true}, n.clock.Now()}
}

// changeKind is the kind of a membership change.
type changeKind uint8

const (
	changeNone changeKind = iota
	changeAdd
	changePromote
	changeRemove
)

// change is a change of one member towards the wanted membership.
type change struct {
	kind   changeKind
	member replica.Member
}

// manageMembership changes the membership, one member at a time, while this
// process leads.
func (n *Node) manageMembership(ctx context.Context) {
	unreachableSince := map[replica.MemberID]clock.Instant{}
	for clock.Sleep(ctx, membershipInterval) {
		st := n.member.Status()
		if !st.IsLeader() {
			clear(unreachableSince)
			continue
		}
		now := n.clock.Now()
		updateUnreachableSince(unreachableSince, st.Unreachable, now)
		c := nextChange(st.Members, n.recentJoinRequests(now), unreachableDurations(unreachableSince, now), n.cfg.Voters)
		if err := n.apply(ctx, c); err != nil {
			n.cfg.Log.Info("could not change membership, will try again", zap.String("vm", c.member.VM), zap.Error(err))
		}
	}
}

// apply proposes a membership change to the group.
func (n *Node) apply(ctx context.Context, c change) error {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	switch c.kind {
	case changeAdd:
		n.cfg.Log.Info("adding member", zap.String("vm", c.member.VM), zap.Uint64("id", uint64(c.member.ID)))
		return n.member.AddLearner(ctx, c.member)
	case changePromote:
		return n.member.Promote(ctx, c.member.ID)
	case changeRemove:
		n.cfg.Log.Info("removing unresponsive member", zap.String("vm", c.member.VM), zap.Uint64("id", uint64(c.member.ID)))
		return n.member.Remove(ctx, c.member.ID)
	}
	return nil
}

// recentJoinRequests returns the processes whose join request is at most
// joinTimeout old, ordered by ID, and deletes older requests.
func (n *Node) recentJoinRequests(now clock.Instant) []replica.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []replica.Member
	for id, j := range n.joining {
		if now.Sub(j.receivedAt) > joinTimeout {
			delete(n.joining, id)
			continue
		}
		out = append(out, j.member)
	}
	slices.SortFunc(out, func(a, b replica.Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

// updateUnreachableSince updates since when each member is unreachable, given the
// members that are unreachable now.
func updateUnreachableSince(since map[replica.MemberID]clock.Instant, unreachable []replica.MemberID, now clock.Instant) {
	for id := range since {
		if !slices.Contains(unreachable, id) {
			delete(since, id)
		}
	}
	for _, id := range unreachable {
		if _, ok := since[id]; !ok {
			since[id] = now
		}
	}
}

// unreachableDurations returns how long each unreachable member has been so.
func unreachableDurations(since map[replica.MemberID]clock.Instant, now clock.Instant) map[replica.MemberID]time.Duration {
	out := map[replica.MemberID]time.Duration{}
	for id, at := range since {
		out[id] = now.Sub(at)
	}
	return out
}

// nextChange returns the next membership change. Processes that requested to join
// are added as learners. A responsive learner is promoted while there are too few
// voters, or in place of a voter that has been unreachable for more
// than voterReplaceTimeout; that voter is removed once there are more voters than
// wanted.
func nextChange(members, joining []replica.Member, unreachableFor map[replica.MemberID]time.Duration, voters int) change {
	for _, j := range joining {
		if !slices.ContainsFunc(members, func(m replica.Member) bool { return m.ID == j.ID }) {
			return change{changeAdd, j}
		}
	}
	votes, lostVoter := 0, replica.Member{}
	for _, m := range members {
		if m.Learner {
			continue
		}
		votes++
		if unreachableFor[m.ID] > voterReplaceTimeout {
			lostVoter = m
		}
	}
	if votes > voters && lostVoter.ID != 0 {
		return change{changeRemove, lostVoter}
	}
	for _, m := range members {
		_, unreachable := unreachableFor[m.ID]
		if m.Learner && !unreachable && (votes < voters || (votes == voters && lostVoter.ID != 0)) {
			return change{changePromote, m}
		}
	}
	return change{}
}
