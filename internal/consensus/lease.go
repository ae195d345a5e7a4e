package consensus

import (
	"time"

	"kumquatwing/internal/clock"
)

// maxPendingRounds bounds the heartbeat rounds that wait for a quorum.
const maxPendingRounds = 128

// heartbeatRound is the number of a heartbeat round and when it started, which
// is before its first heartbeat was sent.
type heartbeatRound struct {
	round     uint64
	startedAt clock.Instant
	startTick int
}

// heartbeatRounds tracks a leader's heartbeat rounds.
type heartbeatRounds struct {
	newest uint64
	// pending holds the rounds not yet acknowledged by a quorum, oldest first.
	pending []heartbeatRound
	// quorumRound is the newest round that a quorum has acknowledged; quorumTick is
	// the tick at which it started, or the tick at which this member became leader
	// if that is later.
	quorumRound heartbeatRound
	quorumTick  int
}

func (h *heartbeatRounds) start(now clock.Instant, tick int) {
	h.newest++
	if len(h.pending) == maxPendingRounds {
		h.pending = append(h.pending[:0], h.pending[1:]...)
	}
	h.pending = append(h.pending, heartbeatRound{h.newest, now, tick})
}

// acknowledge records that a quorum has acknowledged round and all earlier ones.
func (h *heartbeatRounds) acknowledge(round uint64) {
	for len(h.pending) > 0 && h.pending[0].round <= round {
		h.quorumRound = h.pending[0]
		h.quorumTick = max(h.quorumTick, h.quorumRound.startTick)
		h.pending = append(h.pending[:0], h.pending[1:]...)
	}
}

// updateQuorumRound recomputes the newest heartbeat round that a quorum has
// acknowledged.
func (r *Raft) updateQuorumRound() {
	if r.role != leader {
		return
	}
	h := &r.leaderState.heartbeats
	round := r.quorumValue(h.newest, func(p *progress) uint64 { return p.ackedRound })
	h.acknowledge(round)
	r.advanceReads()
}

// LeaseUntil returns the instant until which no other member can become leader,
// or 0 if another member may lead already. The lease runs from the start of the
// newest heartbeat round that a quorum has acknowledged, since those voters
// refuse other candidates for an election timeout after they received the
// heartbeat. It is 0 until all entries that earlier leaders committed have been
// delivered to be applied here.
func (r *Raft) LeaseUntil() clock.Instant {
	if r.role != leader || r.log.delivered < r.leaderState.termStart || r.leaseRelinquished() {
		return 0
	}
	if r.Members().Quorum() == 1 || r.opts.Disabled&ProtectLeaseExpiry != 0 {
		return r.now.Add(r.leaseDuration())
	}
	q := r.leaderState.heartbeats.quorumRound
	if q.round == 0 || r.ticks-q.startTick >= r.opts.ElectionTicks {
		return 0
	}
	return q.startedAt.Add(r.leaseDuration())
}

// leaseRelinquished reports whether the leader has given up its lease for this
// term, for a leadership transfer.
func (r *Raft) leaseRelinquished() bool {
	return r.leaderState.timeoutNowSent && r.opts.Disabled&ProtectTransferLease == 0
}

// leaseDuration is the minimum election timeout less the margin for clock drift.
func (r *Raft) leaseDuration() time.Duration {
	return r.opts.minElectionTimeout() - r.opts.DriftMargin
}

// ReadRequest asks for the index that a linearizable read has to wait for.
type ReadRequest struct {
	// ID is chosen by the driver.
	ID uint64
	// Index is the index up to which the log must be applied before the read.
	Index uint64
	// Failed is set if this member stopped leading before the request was
	// completed.
	Failed bool
	// round is the heartbeat round that a quorum has to acknowledge first; 0 until
	// an entry of this leader's term is committed.
	round uint64
}

// ReadIndex requests the commit index for a linearizable read. The result is in
// Output.Reads; while the lease holds, it needs no heartbeat round.
func (r *Raft) ReadIndex(now clock.Instant, id uint64) error {
	r.advanceNow(now)
	if r.role != leader {
		return ErrNotLeader
	}
	if now < r.LeaseUntil() {
		r.out.Reads = append(r.out.Reads, ReadRequest{ID: id, Index: r.log.commit})
		return nil
	}
	r.leaderState.pendingReads = append(r.leaderState.pendingReads, ReadRequest{ID: id})
	r.advanceReads()
	return nil
}

// advanceReads assigns an index and a heartbeat round to new read requests and
// completes those whose round a quorum has acknowledged.
func (r *Raft) advanceReads() {
	if r.role != leader || r.log.commit < r.leaderState.termStart || len(r.leaderState.pendingReads) == 0 {
		return
	}
	needsRound := false
	for i := range r.leaderState.pendingReads {
		rd := &r.leaderState.pendingReads[i]
		if rd.round == 0 {
			rd.Index, rd.round = r.log.commit, r.leaderState.heartbeats.newest+1
			needsRound = true
		}
	}
	if needsRound {
		r.startHeartbeatRound()
	}
	r.completeReads()
}

// completeReads moves the read requests whose heartbeat round a quorum has
// acknowledged to the output.
func (r *Raft) completeReads() {
	acked := r.quorumValue(r.leaderState.heartbeats.newest, func(p *progress) uint64 { return p.ackedRound })
	pending := r.leaderState.pendingReads[:0]
	for _, rd := range r.leaderState.pendingReads {
		if rd.round <= acked {
			r.out.Reads = append(r.out.Reads, rd)
		} else {
			pending = append(pending, rd)
		}
	}
	r.leaderState.pendingReads = pending
}

// failReads fails all pending reads when the leader steps down.
func (l *leaderState) failReads(out *Output) {
	for _, rd := range l.pendingReads {
		rd.Failed = true
		out.Reads = append(out.Reads, rd)
	}
}
