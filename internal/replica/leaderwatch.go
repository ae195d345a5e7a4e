package replica

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"kumquatwing/internal/clock"
	"kumquatwing/internal/consensus"
)

const (
	// noLeaderLogDelay is how long a member knows no leader before it logs that: most
	// elections take less.
	noLeaderLogDelay = 2 * time.Second
	// noLeaderLogInterval is the interval of the log lines of a group without a leader.
	noLeaderLogInterval = 5 * time.Second
)

// leaderWatch logs which members a member hears while the group has no leader. The
// member goroutine owns it.
type leaderWatch struct {
	// heardAt is when each member was last heard, by ID.
	heardAt map[consensus.ID]clock.Instant
	// lostAt is since when no leader is known, 0 while one is.
	lostAt    clock.Instant
	nextLogAt clock.Instant
}

// heard records a message from a member.
func (w *leaderWatch) heard(id consensus.ID, now clock.Instant) {
	if len(w.heardAt) >= maxAddresses {
		clear(w.heardAt)
	}
	w.heardAt[id] = now
}

// observe records whether a leader is known, and reports whether its absence is to be
// logged now.
func (w *leaderWatch) observe(hasLeader bool, now clock.Instant) bool {
	if hasLeader {
		w.lostAt = 0
		return false
	}
	if w.lostAt == 0 {
		w.lostAt, w.nextLogAt = now, now.Add(noLeaderLogDelay)
	}
	if now.Before(w.nextLogAt) {
		return false
	}
	w.nextLogAt = now.Add(noLeaderLogInterval)
	return true
}

// describe returns one text for each member other than self: its VM, whether it
// votes and when it was last heard.
func (w *leaderWatch) describe(members consensus.Members, self consensus.ID, now clock.Instant) []string {
	var out []string
	for _, m := range members {
		if m.ID == self {
			continue
		}
		kind, heard := "voter", "never heard"
		if m.Learner {
			kind = "learner"
		}
		if at, ok := w.heardAt[m.ID]; ok {
			heard = fmt.Sprintf("heard %v ago", now.Sub(at).Round(time.Millisecond))
		}
		out = append(out, fmt.Sprintf("%s (%d) %s, %s", m.VM, m.ID, kind, heard))
	}
	return out
}

// watchLeader logs at intervals that the group has no leader, with the voters that
// are needed for one and the members that this one hears.
func (n *Node) watchLeader(now clock.Instant) {
	r := n.core.raft
	hasLeader := r.Leader() != consensus.None || n.core.failed != nil || len(r.Members()) == 0
	if !n.leaderWatch.observe(hasLeader, now) {
		return
	}
	members := r.Members()
	n.cfg.Logger.Warn("group has no leader", zap.Duration("for", now.Sub(n.leaderWatch.lostAt)), zap.Uint64("term", r.Term()),
		zap.Int("quorum", members.Quorum()), zap.Int("voters", members.Voters()),
		zap.Bool("voting", members.IsVoter(consensus.ID(n.cfg.Self.ID))),
		zap.Strings("members", n.leaderWatch.describe(members, consensus.ID(n.cfg.Self.ID), now)))
}
