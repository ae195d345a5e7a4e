package consensus

import "github.com/cespare/xxhash/v2"

// maxReserveBytes bounds what is reserved for a snapshot before it arrives.
const maxReserveBytes = 64 << 20

// outgoing is the snapshot that a leader sends to members whose log is behind
// the last compaction.
type outgoing struct {
	snap Snapshot
	sum  uint64
}

// incoming is a snapshot of which a part has arrived.
type incoming struct {
	head Chunk
	data []byte
}

func (r *Raft) startSnapshot(p *progress) {
	p.state, p.offset, p.chunkTick = snapshotting, 0, r.ticks
	r.sendChunk(p)
}

// wantsSnapshot reports whether the driver should call OfferSnapshot.
func (r *Raft) wantsSnapshot() bool {
	if r.role != leader {
		return false
	}
	s := r.lead.snapshot
	if s != nil && s.snap.Index >= r.log.base {
		return false
	}
	for _, p := range r.lead.peers {
		if p.state == snapshotting && !r.late(p) {
			return true
		}
	}
	return false
}

// OfferSnapshot gives the leader a snapshot at the last applied index to send.
func (r *Raft) OfferSnapshot(s Snapshot) {
	if r.role != leader {
		return
	}
	r.lead.snapshot = &outgoing{s, xxhash.Sum64(s.Data)}
	for _, p := range r.lead.peers {
		if p.state == snapshotting {
			p.offset = 0
			r.sendChunk(p)
		}
	}
}

// releaseSnapshot frees the snapshot once nobody needs it.
func (r *Raft) releaseSnapshot() {
	if r.lead.snapshot == nil {
		return
	}
	for _, p := range r.lead.peers {
		if p.state == snapshotting {
			return
		}
	}
	r.lead.snapshot = nil
}

func (r *Raft) sendChunk(p *progress) {
	o := r.lead.snapshot
	if o == nil || o.snap.Index < r.log.base {
		return
	}
	p.chunkTick = r.ticks
	size := uint64(len(o.snap.Data))
	if p.offset > size {
		p.offset = 0
	}
	end := min(size, p.offset+uint64(r.opts.ChunkBytes))
	c := &Chunk{
		Index: o.snap.Index, Term: o.snap.Term, Members: o.snap.Members,
		Size: size, Sum: o.sum, Offset: p.offset, Data: o.snap.Data[p.offset:end],
	}
	if p.member.Witness {
		c.Size, c.Sum, c.Data = 0, xxhash.Sum64(nil), nil
	}
	r.send(Message{Kind: MsgChunk, To: p.member.ID, Round: r.lead.beats.newest, Chunk: c})
}

func (r *Raft) onChunk(m *Message) {
	r.heardLeader(m.From)
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

// collect adds a chunk to the snapshot it belongs to, if it is the next one.
func (r *Raft) collect(c *Chunk) {
	in := r.incoming
	if in == nil || in.head.Index != c.Index || in.head.Sum != c.Sum || in.head.Size != c.Size {
		in = &incoming{head: *c, data: make([]byte, 0, min(c.Size, maxReserveBytes))}
		in.head.Data = nil
		r.incoming = in
	}
	if c.Offset == uint64(len(in.data)) {
		in.data = append(in.data, c.Data...)
	}
}

func (r *Raft) install(s Snapshot) {
	if r.log.matches(s.Index, s.Term) {
		r.log.commit = s.Index
		return
	}
	r.log.reset(s.Index, s.Term)
	r.configs = []membersAt{{s.Index, s.Members}}
	r.out.Install = &s
}

func (r *Raft) onChunkReply(m *Message) {
	if r.role != leader || m.Chunk == nil {
		return
	}
	p := r.lead.peer(m.From)
	if p == nil {
		return
	}
	p.repliedTick = r.ticks
	p.round = max(p.round, m.Round)
	o := r.lead.snapshot
	if p.state == snapshotting && o != nil && m.Chunk.Sum == o.sum && m.Chunk.Offset != p.offset {
		p.offset = m.Chunk.Offset
		r.sendChunk(p)
	}
	r.countBeats()
}
