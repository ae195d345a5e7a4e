package consensus

import (
	"time"

	"kumquatwing/internal/clock"
)

// maxBeats bounds the remembered heartbeat rounds.
const maxBeats = 128

// beatStart is when a heartbeat round began, before its first send.
type beatStart struct {
	round uint64
	at    clock.Instant
	tick  int
}

// beats are a leader's heartbeat rounds.
type beats struct {
	newest uint64
	open   []beatStart // not yet replied to by a quorum, oldest first
	// quorum is the newest round that a quorum has replied to.
	quorum     beatStart
	quorumTick int
}

func (b *beats) begin(now clock.Instant, tick int) {
	b.newest++
	if len(b.open) == maxBeats {
		b.open = append(b.open[:0], b.open[1:]...)
	}
	b.open = append(b.open, beatStart{b.newest, now, tick})
}

// reach notes that a quorum has replied to round.
func (b *beats) reach(round uint64) {
	for len(b.open) > 0 && b.open[0].round <= round {
		b.quorum = b.open[0]
		b.quorumTick = max(b.quorumTick, b.quorum.tick)
		b.open = append(b.open[:0], b.open[1:]...)
	}
}

// countBeats finds the newest round that a quorum has replied to.
func (r *Raft) countBeats() {
	if r.role != leader {
		return
	}
	b := &r.lead.beats
	round := r.quorumOf(b.newest, func(p *progress) uint64 { return p.round })
	b.reach(round)
	r.settleReads()
}

// LeaseUntil returns until when no other member can lead, 0 if that may
// already be so. The lease counts from when the newest heartbeat round that a
// quorum replied to began; its voters refuse other candidates from when they
// got it. It holds once all that earlier leaders committed can be applied here.
func (r *Raft) LeaseUntil() clock.Instant {
	if r.role != leader || r.log.handed < r.lead.start || r.leaseGivenUp() {
		return 0
	}
	if r.Members().Quorum() == 1 || r.opts.Without&ProtectLeaseEnd != 0 {
		return r.now.Add(r.leaseTerm())
	}
	q := r.lead.beats.quorum
	if q.round == 0 || r.ticks-q.tick >= r.opts.ElectionTicks {
		return 0
	}
	return q.at.Add(r.leaseTerm())
}

func (r *Raft) leaseGivenUp() bool {
	return r.lead.gaveUp && r.opts.Without&ProtectTransferLease == 0
}

func (r *Raft) leaseTerm() time.Duration {
	return r.opts.electionTimeout() - r.opts.DriftMargin
}

// Read is a request to know what was committed when it was made.
type Read struct {
	// ID is the driver's.
	ID uint64
	// Index is what has to be applied before the read.
	Index uint64
	// Failed is set when this member stopped leading.
	Failed bool
	// round must be replied to by a quorum first; 0 before the term's first commit.
	round uint64
}

// Read asks for the commit index; the answer comes in Output.Reads.
func (r *Raft) Read(now clock.Instant, id uint64) error {
	r.setNow(now)
	if r.role != leader {
		return ErrNotLeader
	}
	if now < r.LeaseUntil() {
		r.out.Reads = append(r.out.Reads, Read{ID: id, Index: r.log.commit})
		return nil
	}
	r.lead.reads = append(r.lead.reads, Read{ID: id})
	r.settleReads()
	return nil
}

// settleReads moves waiting reads on.
func (r *Raft) settleReads() {
	if r.role != leader || r.log.commit < r.lead.start || len(r.lead.reads) == 0 {
		return
	}
	fresh := false
	for i := range r.lead.reads {
		rd := &r.lead.reads[i]
		if rd.round == 0 {
			rd.Index, rd.round = r.log.commit, r.lead.beats.newest+1
			fresh = true
		}
	}
	if fresh {
		r.beat()
	}
	r.answerReads()
}

func (r *Raft) answerReads() {
	reached := r.quorumOf(r.lead.beats.newest, func(p *progress) uint64 { return p.round })
	rest := r.lead.reads[:0]
	for _, rd := range r.lead.reads {
		if rd.round <= reached {
			r.out.Reads = append(r.out.Reads, rd)
		} else {
			rest = append(rest, rd)
		}
	}
	r.lead.reads = rest
}

func (l *leading) failReads(out *Output) {
	for _, rd := range l.reads {
		rd.Failed = true
		out.Reads = append(out.Reads, rd)
	}
}
