package consensus

import "github.com/cespare/xxhash/v2"

// maxReserveBytes bounds the memory allocated for a snapshot before its data
// arrives.
const maxReserveBytes = 64 << 20

// outgoingSnapshot is the snapshot that a leader sends to members whose next
// entry has been compacted.
type outgoingSnapshot struct {
	snap Snapshot
	sum  uint64
}

// incomingSnapshot is a partly received snapshot.
type incomingSnapshot struct {
	header Chunk
	data   []byte
}

func (r *Raft) startSnapshot(p *progress) {
	p.state, p.chunkOffset, p.chunkTick = snapshotting, 0, r.ticks
	r.sendChunk(p)
}

// wantsSnapshot reports whether the driver should call OfferSnapshot: a
// reachable member needs a snapshot, and this leader has none that reaches the
// log's base.
func (r *Raft) wantsSnapshot() bool {
	if r.role != leader {
		return false
	}
	s := r.leaderState.snapshot
	if s != nil && s.snap.Index >= r.log.base {
		return false
	}
	for _, p := range r.leaderState.peers {
		if p.state == snapshotting && !r.unreachable(p) {
			return true
		}
	}
	return false
}

// OfferSnapshot gives the leader a snapshot at the last delivered index, to be
// sent to members in state snapshotting.
func (r *Raft) OfferSnapshot(s Snapshot) {
	if r.role != leader {
		return
	}
	r.leaderState.snapshot = &outgoingSnapshot{s, xxhash.Sum64(s.Data)}
	for _, p := range r.leaderState.peers {
		if p.state == snapshotting {
			p.chunkOffset = 0
			r.sendChunk(p)
		}
	}
}

// releaseSnapshot drops the snapshot once no member is in state snapshotting.
func (r *Raft) releaseSnapshot() {
	if r.leaderState.snapshot == nil {
		return
	}
	for _, p := range r.leaderState.peers {
		if p.state == snapshotting {
			return
		}
	}
	r.leaderState.snapshot = nil
}

// sendChunk sends the chunk at the member's offset. A witness gets the header of
// the snapshot without data.
func (r *Raft) sendChunk(p *progress) {
	outgoing := r.leaderState.snapshot
	if outgoing == nil || outgoing.snap.Index < r.log.base {
		return
	}
	p.chunkTick = r.ticks
	size := uint64(len(outgoing.snap.Data))
	if p.chunkOffset > size {
		p.chunkOffset = 0
	}
	end := min(size, p.chunkOffset+uint64(r.opts.ChunkBytes))
	c := &Chunk{
		Index: outgoing.snap.Index, Term: outgoing.snap.Term, Members: outgoing.snap.Members,
		Size: size, Sum: outgoing.sum, Offset: p.chunkOffset, Data: outgoing.snap.Data[p.chunkOffset:end],
	}
	if p.member.Witness {
		c.Size, c.Sum, c.Data = 0, xxhash.Sum64(nil), nil
	}
	r.send(Message{Kind: MsgChunk, To: p.member.ID, Round: r.leaderState.heartbeats.newest, Chunk: c})
}

// onChunk handles a chunk of a snapshot. A complete snapshot whose checksum does
// not match is dropped, and the leader sends it again.
func (r *Raft) onChunk(m *Message) {
	r.recordLeaderContact(m.From)
	c := m.Chunk
	if c == nil {
		return
	}
	if c.Index <= r.log.commit {
		r.send(Message{Kind: MsgAppendReply, To: m.From, Round: m.Round, Index: r.log.commit})
		return
	}
	r.collect(c)
	if uint64(len(r.incoming.data)) < c.Size {
		r.send(Message{
			Kind: MsgChunkReply, To: m.From, Round: m.Round,
			Chunk: &Chunk{Index: c.Index, Sum: c.Sum, Offset: uint64(len(r.incoming.data))},
		})
		return
	}
	data := r.incoming.data
	r.incoming = nil
	if xxhash.Sum64(data) != c.Sum {
		return
	}
	r.install(Snapshot{Index: c.Index, Term: c.Term, Members: c.Members, Data: data})
	r.send(Message{Kind: MsgAppendReply, To: m.From, Round: m.Round, Index: c.Index})
}

// collect adds a chunk to the snapshot that it belongs to, if it continues the
// data received so far. A chunk of another snapshot replaces that data.
func (r *Raft) collect(c *Chunk) {
	in := r.incoming
	if in == nil || in.header.Index != c.Index || in.header.Sum != c.Sum || in.header.Size != c.Size {
		in = &incomingSnapshot{header: *c, data: make([]byte, 0, min(c.Size, maxReserveBytes))}
		in.header.Data = nil
		r.incoming = in
	}
	if c.Offset == uint64(len(in.data)) {
		in.data = append(in.data, c.Data...)
	}
}

// install replaces the log and the state machine by a received snapshot. If the
// log has the snapshot's last entry already, only the commit index advances.
func (r *Raft) install(s Snapshot) {
	if r.log.matches(s.Index, s.Term) {
		r.log.commit = s.Index
		return
	}
	r.log.reset(s.Index, s.Term)
	r.memberships = []membership{{s.Index, s.Members}}
	r.out.Install = &s
}

// onChunkReply records how much of the snapshot the member has received and
// sends the next chunk.
func (r *Raft) onChunkReply(m *Message) {
	if r.role != leader || m.Chunk == nil {
		return
	}
	p := r.leaderState.peer(m.From)
	if p == nil {
		return
	}
	p.lastReplyTick = r.ticks
	p.ackedRound = max(p.ackedRound, m.Round)
	outgoing := r.leaderState.snapshot
	if p.state == snapshotting && outgoing != nil && m.Chunk.Sum == outgoing.sum && m.Chunk.Offset != p.chunkOffset {
		p.chunkOffset = m.Chunk.Offset
		r.sendChunk(p)
	}
	r.updateQuorumRound()
}
