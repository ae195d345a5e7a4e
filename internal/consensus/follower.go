package consensus

// onAppend handles entries or a heartbeat from the leader of the current term.
func (r *Raft) onAppend(m *Message) {
	r.recordLeaderContact(m.From)
	reply := Message{Kind: MsgAppendReply, To: m.From, Round: m.Round}
	switch {
	case m.Index < r.log.base:
		reply.Index = r.ackCompacted(m)
	case !r.log.matches(m.Index, m.LogTerm):
		reply.Index, reply.Reject = m.Index, true
		reply.Hint = r.lastPossibleMatch(m.Index)
	default:
		reply.Index = r.appendFrom(m)
	}
	r.send(reply)
}

// ackCompacted returns the index to acknowledge for an append that starts before
// the log's base. Compacted entries are committed and therefore match; the
// leader sends the entries after the acknowledged index again.
func (r *Raft) ackCompacted(m *Message) uint64 {
	if len(m.Entries) == 0 {
		return m.Index
	}
	return r.log.commit
}

// appendFrom appends the entries of m that the log lacks, after removing entries
// that conflict with them, and advances the commit index. It returns the index
// of the last entry that now matches the leader's log.
func (r *Raft) appendFrom(m *Message) uint64 {
	for i := range m.Entries {
		e := &m.Entries[i]
		if r.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= r.log.last() {
			r.log.truncate(e.Index - 1)
			r.truncateMemberships(e.Index - 1)
		}
		r.log.append(m.Entries[i:]...)
		r.addMemberships(m.Entries[i:])
		break
	}
	last := m.Index + uint64(len(m.Entries))
	r.log.commit = max(r.log.commit, min(m.Commit, last))
	return last
}

// lastPossibleMatch returns the last index at which this log may match the
// leader's log. It skips all entries of the term of the entry that conflicts.
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
