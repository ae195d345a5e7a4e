package consensus

import "slices"

// maxInFlight bounds the unacknowledged entries sent to a member.
const maxInFlight = 4096

// maxUncommitted bounds the entries in the leader's log that are not committed.
const maxUncommitted = 4096

// maxMissedHeartbeats is the number of heartbeat intervals without a reply from
// a voter after which acknowledgements of witnesses count towards commits.
const maxMissedHeartbeats = 2

// progressState is the mode in which a leader replicates its log to a member.
type progressState uint8

const (
	// probing sends one batch and waits for a reply that shows where the logs
	// match.
	probing progressState = iota
	// replicating sends batches without waiting for replies.
	replicating
	// snapshotting sends a snapshot in chunks.
	snapshotting
)

// progress is a leader's view of the replication state of another member.
type progress struct {
	member Member
	state  progressState
	// match is the highest index known to match the leader's log; next is the index
	// of the next entry to send.
	match, next uint64
	// probeSent is set in state probing while the reply to a batch is outstanding.
	probeSent bool
	// sentCommit is the last commit index that was sent.
	sentCommit uint64
	// ackedRound is the newest heartbeat round that the member has acknowledged.
	ackedRound uint64
	// lastReplyTick is the tick of the member's last reply.
	lastReplyTick int
	// lastSendTick is the tick at which entries were last sent; it spaces the
	// batches sent to a learner.
	lastSendTick int
	// chunkOffset is the offset of the next snapshot chunk in bytes; chunkTick is
	// the tick at which the last chunk was sent.
	chunkOffset uint64
	chunkTick   int
}

// leaderState is the state that a member keeps only while it leads.
type leaderState struct {
	// termStart is the index of the term's first entry.
	termStart uint64
	// peers are the other members, in order of ID.
	peers      []*progress
	heartbeats heartbeatRounds
	// pendingReads wait for a quorum to confirm that this member still leads.
	pendingReads []ReadRequest
	// transferTarget is the member to which leadership is being transferred, or
	// None; transferTick is when the transfer began.
	transferTarget ID
	transferTick   int
	// timeoutNowSent is set once MsgTimeoutNow was sent; from then on, the leader
	// does not use its lease in this term.
	timeoutNowSent bool
	// snapshot is the snapshot being sent to members in state snapshotting.
	snapshot *outgoingSnapshot
}

func (l *leaderState) peer(id ID) *progress {
	for _, p := range l.peers {
		if p.member.ID == id {
			return p
		}
	}
	return nil
}

// unreachable reports whether a member has not replied for an election timeout.
func (r *Raft) unreachable(p *progress) bool { return r.ticks-p.lastReplyTick > r.opts.ElectionTicks }

// Unreachable returns the members that have not replied to this leader for an
// election timeout. It returns nil if this member does not lead.
func (r *Raft) Unreachable() []ID {
	var ids []ID
	for _, p := range r.leaderState.peers {
		if r.unreachable(p) {
			ids = append(ids, p.member.ID)
		}
	}
	return ids
}

func (r *Raft) becomeLeader() {
	r.role, r.leaderID = leader, r.opts.Self
	r.transferCampaign = false
	r.leaderState = leaderState{termStart: r.log.last() + 1}
	r.leaderState.heartbeats.quorumTick = r.ticks
	r.syncPeers()
	r.appendEntry(EntryNoop, nil)
	r.startHeartbeatRound()
}

// syncPeers updates the peers to the current membership. Members that are
// already known keep their progress.
func (r *Raft) syncPeers() {
	var peers []*progress
	for _, m := range r.Members() {
		if m.ID == r.opts.Self {
			continue
		}
		p := r.leaderState.peer(m.ID)
		if p == nil {
			p = &progress{next: r.log.last() + 1, lastReplyTick: r.ticks}
		}
		p.member = m
		peers = append(peers, p)
	}
	r.leaderState.peers = peers
}

// appendEntry appends an entry of the leader's term and returns its index.
func (r *Raft) appendEntry(kind EntryKind, data []byte) uint64 {
	e := Entry{Index: r.log.last() + 1, Term: r.term, Kind: kind, Data: data}
	r.log.append(e)
	return e.Index
}

// Propose appends a command and returns its index. Commands proposed between two
// calls of Take are sent and persisted as one batch.
func (r *Raft) Propose(data []byte) (uint64, error) {
	if r.role != leader {
		return 0, ErrNotLeader
	}
	if r.leaderState.transferTarget != None {
		return 0, ErrTransferring
	}
	if r.log.last()-r.log.commit >= maxUncommitted {
		return 0, ErrBacklog
	}
	return r.appendEntry(EntryCommand, data), nil
}

// broadcastEntries sends the entries that were appended since the last call to
// all members.
func (r *Raft) broadcastEntries() {
	if r.role != leader {
		return
	}
	for _, p := range r.leaderState.peers {
		r.sendEntries(p)
	}
}

// tickLeader runs a leader's timers. A leader steps down if no quorum has
// replied for an election timeout (check-quorum).
func (r *Raft) tickLeader() {
	if r.ticks-r.leaderState.heartbeats.quorumTick >= r.opts.ElectionTicks && r.Members().Quorum() > 1 {
		r.becomeFollower(r.term, None)
		return
	}
	if r.leaderState.transferTarget != None && r.ticks-r.leaderState.transferTick >= r.opts.ElectionTicks {
		r.abortTransfer()
		return
	}
	r.advanceCommit()
	if r.ticks%r.opts.HeartbeatTicks == 0 {
		r.startHeartbeatRound()
		return
	}
	for _, p := range r.leaderState.peers {
		if p.sentCommit < min(r.log.commit, p.match) {
			r.sendHeartbeat(p)
		}
	}
}

// startHeartbeatRound starts a heartbeat round. Learners with an up-to-date log
// get a heartbeat only every LearnerHeartbeatTicks.
func (r *Raft) startHeartbeatRound() {
	r.leaderState.heartbeats.start(r.now, r.ticks)
	learnerRound := r.ticks%r.opts.LearnerHeartbeatTicks < r.opts.HeartbeatTicks
	for _, p := range r.leaderState.peers {
		if p.member.Learner && r.opts.LearnerBatchTicks > 0 {
			r.sendEntries(p)
		}
		if p.member.Learner && !learnerRound && p.state == replicating && p.match == r.log.last() {
			continue
		}
		if r.unreachable(p) {
			p.probe(p.match + 1)
		}
		p.probeSent = false
		r.sendHeartbeat(p)
	}
	r.releaseSnapshot()
}

// sendHeartbeat sends an append without entries. To a member in state
// snapshotting it also sends the current chunk again if that was not
// acknowledged for a heartbeat interval.
func (r *Raft) sendHeartbeat(p *progress) {
	m := Message{Kind: MsgAppend, To: p.member.ID, Round: r.leaderState.heartbeats.newest}
	prev := p.next - 1
	if term, ok := r.log.term(prev); ok && p.state != snapshotting {
		m.Index, m.LogTerm = prev, term
		m.Commit = r.log.commit
		p.sentCommit = min(r.log.commit, p.match)
	}
	r.send(m)
	if p.state == snapshotting && r.ticks-p.chunkTick >= r.opts.HeartbeatTicks {
		r.sendChunk(p)
	}
}

// sendEntries sends the entries that the member is missing, within the limits of
// flow control. An unreachable member gets only heartbeats until it replies. A
// learner that keeps up may get entries less often (LearnerBatchTicks), since no
// commit waits for it.
func (r *Raft) sendEntries(p *progress) {
	if p.state == snapshotting || p.probeSent || r.unreachable(p) {
		return
	}
	if p.member.Learner && p.state == replicating && r.ticks-p.lastSendTick < r.opts.LearnerBatchTicks {
		return
	}
	p.lastSendTick = r.ticks
	if p.next <= r.log.base {
		r.startSnapshot(p)
		return
	}
	for p.next <= r.log.last() && p.next-p.match <= maxInFlight {
		es := r.log.batch(p.next, r.opts.MaxAppendBytes)
		prevTerm, _ := r.log.term(p.next - 1)
		r.send(Message{
			Kind: MsgAppend, To: p.member.ID, Round: r.leaderState.heartbeats.newest,
			Index: p.next - 1, LogTerm: prevTerm, Commit: r.log.commit, Entries: entriesFor(p, es),
		})
		if p.state == probing {
			p.probeSent = true
			return
		}
		p.next += uint64(len(es))
		p.sentCommit = r.log.commit
	}
}

// entriesFor returns the entries to send to a member; for a witness, without the
// data of commands.
func entriesFor(p *progress, es []Entry) []Entry {
	if !p.member.Witness {
		return es
	}
	stripped := slices.Clone(es)
	for i := range stripped {
		if stripped[i].Kind == EntryCommand {
			stripped[i].Data = nil
		}
	}
	return stripped
}

// probe switches to state probing, from index next on.
func (p *progress) probe(next uint64) {
	p.state, p.next, p.probeSent = probing, next, false
}

func (r *Raft) onAppendReply(m *Message) {
	if r.role != leader {
		return
	}
	p := r.leaderState.peer(m.From)
	if p == nil {
		return
	}
	p.lastReplyTick = r.ticks
	p.ackedRound = max(p.ackedRound, m.Round)
	if m.Reject {
		r.onAppendRejected(p, m)
	} else {
		r.onAppendAccepted(p, m.Index)
	}
	r.updateQuorumRound()
}

// onAppendRejected resumes probing at an earlier index, unless the reply is
// outdated.
func (r *Raft) onAppendRejected(p *progress, m *Message) {
	switch {
	case p.state == snapshotting || m.Index <= p.match:
		return
	case p.state == probing && m.Index != p.next-1:
		return
	}
	p.probe(max(p.match, min(m.Hint, m.Index-1)) + 1)
	r.sendEntries(p)
}

// onAppendAccepted records that the member's log matches up to index.
func (r *Raft) onAppendAccepted(p *progress, index uint64) {
	p.match = max(p.match, index)
	switch {
	case p.state == snapshotting && p.match < r.log.base:
		return
	case p.state == snapshotting:
		p.probe(p.match + 1)
		r.releaseSnapshot()
	case p.state == probing && index+1 >= p.next:
		p.state, p.probeSent = replicating, false
	}
	p.next = max(p.next, p.match+1)
	r.advanceCommit()
	r.sendEntries(p)
	r.maybeSendTimeoutNow()
}

// advanceCommit commits the entries that a quorum has persisted.
// Acknowledgements of a witness count only if needsWitness: if only the leader
// and a witness had the last committed entries and the leader failed, no
// candidate could be elected, since a witness can't lead and refuses its vote to
// members with older logs.
func (r *Raft) advanceCommit() {
	countWitnesses := r.needsWitness()
	index := r.quorumValue(r.log.persisted, func(p *progress) uint64 {
		if p.member.Witness && !countWitnesses {
			return 0
		}
		return p.match
	})
	if index <= r.log.commit {
		return
	}
	term, _ := r.log.term(index)
	if term != r.term && r.opts.Disabled&ProtectTermCommit == 0 {
		return
	}
	r.log.commit = index
	r.advanceReads()
}

// needsWitness reports whether the voters that store commands are too few for a
// quorum, or whether one of them missed more than maxMissedHeartbeats.
func (r *Raft) needsWitness() bool {
	fullVoters := 1 // the leader
	for _, p := range r.leaderState.peers {
		if p.member.Learner || p.member.Witness {
			continue
		}
		if r.ticks-p.lastReplyTick > maxMissedHeartbeats*r.opts.HeartbeatTicks {
			return true
		}
		fullVoters++
	}
	return fullVoters < r.Members().Quorum()
}

// quorumValue returns the greatest value that a quorum of voters has reached.
// The value of this member is own, the value of a peer is value(peer).
func (r *Raft) quorumValue(own uint64, value func(*progress) uint64) uint64 {
	var values []uint64
	if r.Members().IsVoter(r.opts.Self) {
		values = append(values, own)
	}
	for _, p := range r.leaderState.peers {
		if !p.member.Learner {
			values = append(values, value(p))
		}
	}
	slices.Sort(values)
	q := r.Members().Quorum()
	if len(values) < q {
		return 0
	}
	return values[len(values)-q]
}
