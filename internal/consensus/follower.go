package consensus

// onAppend takes entries or a heartbeat from the leader of this term.
func (r *Raft) onAppend(m *Message) {
	r.heardLeader(m.From)
	reply := Message{Kind: MsgAppendReply, To: m.From, Round: m.Round}
	switch {
	case m.Index < r.log.base:
		reply.Index = r.overlap(m)
	case !r.log.matches(m.Index, m.LogTerm):
		reply.Index, reply.Reject = m.Index, true
		reply.Hint = r.lastPossibleMatch(m.Index)
	default:
		reply.Index = r.appendFrom(m)
	}
	r.send(reply)
}

// overlap answers an append that starts before the log does. What is compacted
// is committed, so it matches; the leader sends the rest again.
func (r *Raft) overlap(m *Message) uint64 {
	if len(m.Entries) == 0 {
		return m.Index
	}
	return r.log.commit
}

func (r *Raft) appendFrom(m *Message) uint64 {
	for i := range m.Entries {
		e := &m.Entries[i]
		if r.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= r.log.last() {
			r.log.truncate(e.Index - 1)
			r.forgetMembers(e.Index - 1)
		}
		r.log.append(m.Entries[i:]...)
		r.learnMembers(m.Entries[i:])
		break
	}
	last := m.Index + uint64(len(m.Entries))
	r.log.commit = max(r.log.commit, min(m.Commit, last))
	return last
}

// lastPossibleMatch skips the whole term of the entry that didn't match.
func (r *Raft) lastPossibleMatch(index uint64) uint64 {
	if index > r.log.last() {
		return r.log.last()
	}
	term, _ := r.log.term(index)
	for index > r.log.commit && r.log.matches(index, term) {
		index--
	}
	return index
}
