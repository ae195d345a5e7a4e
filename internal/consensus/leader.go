package consensus

import "slices"

// maxInFlight bounds the entries sent to a member ahead of its replies.
const maxInFlight = 4096

// maxUncommitted bounds the proposed entries that no quorum has yet.
const maxUncommitted = 4096

// lateBeats is how many heartbeats without a reply make a voter late.
const lateBeats = 2

// progressState says how entries are sent to a member.
type progressState uint8

const (
	// probing sends one batch and waits until a reply shows where logs match.
	probing progressState = iota
	// streaming sends batches ahead of the replies.
	streaming
	// snapshotting sends a snapshot in chunks.
	snapshotting
)

// progress is what a leader knows of another member.
type progress struct {
	member      Member
	state       progressState
	match, next uint64
	// waiting is set after a probing batch was sent.
	waiting bool
	// sentCommit is the last commit index sent.
	sentCommit uint64
	// round is the newest heartbeat round the member has replied to.
	round uint64
	// repliedTick is when it last replied.
	repliedTick int
	// fedTick is when entries were last sent to a learner.
	fedTick int
	// offset is the next byte of the snapshot; chunkTick when it was sent.
	offset    uint64
	chunkTick int
}

// leading is the state of a leader.
type leading struct {
	// start is the index of the term's first entry.
	start    uint64
	peers    []*progress // in order of ID
	beats    beats
	reads    []Read
	target   ID // leadership is being handed over to it
	since    int
	gaveUp   bool // TimeoutNow was sent; the lease is over for this term
	snapshot *outgoing
}

func (l *leading) peer(id ID) *progress {
	for _, p := range l.peers {
		if p.member.ID == id {
			return p
		}
	}
	return nil
}

// late reports whether a member has not replied for an election timeout.
func (r *Raft) late(p *progress) bool { return r.ticks-p.repliedTick > r.opts.ElectionTicks }

// Late returns the members that a leader has not heard for an election timeout.
func (r *Raft) Late() []ID {
	var ids []ID
	for _, p := range r.lead.peers {
		if r.late(p) {
			ids = append(ids, p.member.ID)
		}
	}
	return ids
}

func (r *Raft) becomeLeader() {
	r.role, r.leader = leader, r.opts.Self
	r.transfer = false
	r.lead = leading{start: r.log.last() + 1}
	r.lead.beats.quorumTick = r.ticks
	r.syncPeers()
	r.appendOwn(EntryNoop, nil)
	r.beat()
}

// syncPeers makes the peers follow the membership in use.
func (r *Raft) syncPeers() {
	var peers []*progress
	for _, m := range r.Members() {
		if m.ID == r.opts.Self {
			continue
		}
		p := r.lead.peer(m.ID)
		if p == nil {
			p = &progress{next: r.log.last() + 1, repliedTick: r.ticks}
		}
		p.member = m
		peers = append(peers, p)
	}
	r.lead.peers = peers
}

// appendOwn adds an entry of the leader's term.
func (r *Raft) appendOwn(kind EntryKind, data []byte) uint64 {
	e := Entry{Index: r.log.last() + 1, Term: r.term, Kind: kind, Data: data}
	r.log.append(e)
	return e.Index
}

// Propose appends a command and returns its index. Commands proposed
// between two calls of Take travel and are persisted as one batch.
func (r *Raft) Propose(data []byte) (uint64, error) {
	if r.role != leader {
		return 0, ErrNotLeader
	}
	if r.lead.target != None {
		return 0, ErrTransferring
	}
	if r.log.last()-r.log.commit >= maxUncommitted {
		return 0, ErrBacklog
	}
	return r.appendOwn(EntryCommand, data), nil
}

// flush sends the entries appended since the last call, as one batch.
func (r *Raft) flush() {
	if r.role != leader {
		return
	}
	for _, p := range r.lead.peers {
		r.sendEntries(p)
	}
}

func (r *Raft) tickLeader() {
	if r.ticks-r.lead.beats.quorumTick >= r.opts.ElectionTicks && r.Members().Quorum() > 1 {
		r.becomeFollower(r.term, None)
		return
	}
	if r.lead.target != None && r.ticks-r.lead.since >= r.opts.ElectionTicks {
		r.endTransfer()
		return
	}
	r.advanceCommit()
	if r.ticks%r.opts.HeartbeatTicks == 0 {
		r.beat()
		return
	}
	for _, p := range r.lead.peers {
		if p.sentCommit < min(r.log.commit, p.match) {
			r.sendHeartbeat(p)
		}
	}
}

// beat starts a new heartbeat round.
func (r *Raft) beat() {
	r.lead.beats.begin(r.now, r.ticks)
	slow := r.ticks%r.opts.LearnerTicks < r.opts.HeartbeatTicks
	for _, p := range r.lead.peers {
		if p.member.Learner && r.opts.LearnerPause > 0 {
			r.sendEntries(p)
		}
		if p.member.Learner && !slow && p.state == streaming && p.match == r.log.last() {
			continue
		}
		if r.late(p) {
			p.probe(p.match + 1)
		}
		p.waiting = false
		r.sendHeartbeat(p)
	}
	r.releaseSnapshot()
}

// sendHeartbeat sends an append without entries.
func (r *Raft) sendHeartbeat(p *progress) {
	m := Message{Kind: MsgAppend, To: p.member.ID, Round: r.lead.beats.newest}
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

// sendEntries sends what the member is missing, as far as flow control lets it.
// A late member gets heartbeats alone until it replies. Learners that keep up
// may get entries less often, since no commit waits for them.
func (r *Raft) sendEntries(p *progress) {
	if p.state == snapshotting || p.waiting || r.late(p) {
		return
	}
	if p.member.Learner && p.state == streaming && r.ticks-p.fedTick < r.opts.LearnerPause {
		return
	}
	p.fedTick = r.ticks
	if p.next <= r.log.base {
		r.startSnapshot(p)
		return
	}
	for p.next <= r.log.last() && p.next-p.match <= maxInFlight {
		es := r.log.batch(p.next, r.opts.MaxAppendBytes)
		prevTerm, _ := r.log.term(p.next - 1)
		r.send(Message{
			Kind: MsgAppend, To: p.member.ID, Round: r.lead.beats.newest,
			Index: p.next - 1, LogTerm: prevTerm, Commit: r.log.commit, Entries: forMember(p, es),
		})
		if p.state == probing {
			p.waiting = true
			return
		}
		p.next += uint64(len(es))
		p.sentCommit = r.log.commit
	}
}

// forMember takes the commands out of entries for a witness.
func forMember(p *progress, es []Entry) []Entry {
	if !p.member.Witness {
		return es
	}
	heads := slices.Clone(es)
	for i := range heads {
		if heads[i].Kind == EntryCommand {
			heads[i].Data = nil
		}
	}
	return heads
}

func (p *progress) probe(next uint64) {
	p.state, p.next, p.waiting = probing, next, false
}

func (r *Raft) onAppendReply(m *Message) {
	if r.role != leader {
		return
	}
	p := r.lead.peer(m.From)
	if p == nil {
		return
	}
	p.repliedTick = r.ticks
	p.round = max(p.round, m.Round)
	if m.Reject {
		r.onReject(p, m)
	} else {
		r.onMatch(p, m.Index)
	}
	r.countBeats()
}

func (r *Raft) onReject(p *progress, m *Message) {
	switch {
	case p.state == snapshotting || m.Index <= p.match:
		return
	case p.state == probing && m.Index != p.next-1:
		return
	}
	p.probe(max(p.match, min(m.Hint, m.Index-1)) + 1)
	r.sendEntries(p)
}

func (r *Raft) onMatch(p *progress, index uint64) {
	p.match = max(p.match, index)
	switch {
	case p.state == snapshotting && p.match < r.log.base:
		return
	case p.state == snapshotting:
		p.probe(p.match + 1)
		r.releaseSnapshot()
	case p.state == probing && index+1 >= p.next:
		p.state, p.waiting = streaming, false
	}
	p.next = max(p.next, p.match+1)
	r.advanceCommit()
	r.sendEntries(p)
	r.handOver()
}

// advanceCommit commits what a quorum has persisted. A witness counts only
// where it is needed: once a leader is gone whose last entries nobody but a
// witness has, nobody can be elected.
func (r *Raft) advanceCommit() {
	witnesses := r.needsWitness()
	index := r.quorumOf(r.log.persisted, func(p *progress) uint64 {
		if p.member.Witness && !witnesses {
			return 0
		}
		return p.match
	})
	if index <= r.log.commit {
		return
	}
	term, _ := r.log.term(index)
	if term != r.term && r.opts.Without&ProtectTermCommit == 0 {
		return
	}
	r.log.commit = index
	r.settleReads()
}

// needsWitness reports whether the voters that keep commands are too few for a
// quorum, or one of them has not replied lately.
func (r *Raft) needsWitness() bool {
	keepers := 1 // the leader
	for _, p := range r.lead.peers {
		if p.member.Learner || p.member.Witness {
			continue
		}
		if r.ticks-p.repliedTick > lateBeats*r.opts.HeartbeatTicks {
			return true
		}
		keepers++
	}
	return keepers < r.Members().Quorum()
}

// quorumOf returns the greatest value that a quorum of voters has reached.
func (r *Raft) quorumOf(own uint64, of func(*progress) uint64) uint64 {
	var vs []uint64
	if r.Members().IsVoter(r.opts.Self) {
		vs = append(vs, own)
	}
	for _, p := range r.lead.peers {
		if !p.member.Learner {
			vs = append(vs, of(p))
		}
	}
	slices.Sort(vs)
	q := r.Members().Quorum()
	if len(vs) < q {
		return 0
	}
	return vs[len(vs)-q]
}
