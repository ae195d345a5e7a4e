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

// replaceAfter is how long a voter must be silent before another member takes
// its vote.
const replaceAfter = 8 * time.Second

// join notes a process that wants to be a member.
func (n *Node) join(m cellapi.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	id := replica.MemberID(m.ID)
	n.joining[id] = joiner{replica.Member{ID: id, VM: m.VM, Addr: m.Addr, Learner: true}, n.clock.Now()}
}

// changeKind is a step of a membership change.
type changeKind uint8

const (
	changeNone changeKind = iota
	changeAdd
	changePromote
	changeRemove
)

// change is the next step towards the wanted membership.
type change struct {
	kind   changeKind
	member replica.Member
}

// keepMembers changes the membership, one step at a time, while this process
// leads.
func (n *Node) keepMembers(ctx context.Context) {
	lateSince := map[replica.MemberID]clock.Instant{}
	for clock.Sleep(ctx, memberInterval) {
		st := n.member.Status()
		if !st.IsLeader() {
			clear(lateSince)
			continue
		}
		now := n.clock.Now()
		noteLate(lateSince, st.Late, now)
		c := nextChange(st.Members, n.waiting(now), silentFor(lateSince, now), n.cfg.Voters)
		if err := n.apply(ctx, c); err != nil {
			n.cfg.Log.Info("membership is not changed yet", zap.String("vm", c.member.VM), zap.Error(err))
		}
	}
}

func (n *Node) apply(ctx context.Context, c change) error {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	switch c.kind {
	case changeAdd:
		n.cfg.Log.Info("member joins", zap.String("vm", c.member.VM), zap.Uint64("id", uint64(c.member.ID)))
		return n.member.AddLearner(ctx, c.member)
	case changePromote:
		return n.member.Promote(ctx, c.member.ID)
	case changeRemove:
		n.cfg.Log.Info("silent member is removed", zap.String("vm", c.member.VM), zap.Uint64("id", uint64(c.member.ID)))
		return n.member.Remove(ctx, c.member.ID)
	}
	return nil
}

// waiting returns the processes that asked to join a short time ago.
func (n *Node) waiting(now clock.Instant) []replica.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []replica.Member
	for id, j := range n.joining {
		if now.Sub(j.heard) > joinSilence {
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

func noteLate(since map[replica.MemberID]clock.Instant, late []replica.MemberID, now clock.Instant) {
	for id := range since {
		if !slices.Contains(late, id) {
			delete(since, id)
		}
	}
	for _, id := range late {
		if _, ok := since[id]; !ok {
			since[id] = now
		}
	}
}

func silentFor(since map[replica.MemberID]clock.Instant, now clock.Instant) map[replica.MemberID]time.Duration {
	out := map[replica.MemberID]time.Duration{}
	for id, at := range since {
		out[id] = now.Sub(at)
	}
	return out
}

// nextChange returns the next step: processes that ask are added, learners that
// are heard get a vote while too few members vote, and a voter that has been
// silent for long gives its vote to a learner.
func nextChange(members, joining []replica.Member, silent map[replica.MemberID]time.Duration, voters int) change {
	for _, j := range joining {
		if !slices.ContainsFunc(members, func(m replica.Member) bool { return m.ID == j.ID }) {
			return change{changeAdd, j}
		}
	}
	votes, dead := 0, replica.Member{}
	for _, m := range members {
		if m.Learner {
			continue
		}
		votes++
		if silent[m.ID] > replaceAfter {
			dead = m
		}
	}
	if votes > voters && dead.ID != 0 {
		return change{changeRemove, dead}
	}
	for _, m := range members {
		_, late := silent[m.ID]
		if m.Learner && !late && (votes < voters || (votes == voters && dead.ID != 0)) {
			return change{changePromote, m}
		}
	}
	return change{}
}
