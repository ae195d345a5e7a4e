package consensus

// canCampaign reports whether this member may become leader.
func (r *Raft) canCampaign() bool {
	m, ok := r.Members().Find(r.opts.Self)
	return ok && !m.Learner && !m.Witness
}

// due reports whether the election timer has run out. A sole voter waits for
// nobody.
func (r *Raft) due() bool {
	if r.Members().Quorum() == 1 {
		return true
	}
	return r.elapsed >= r.timeout && !r.protected()
}

// protected reports whether votes are refused since a leader may hold a lease.
// Both ticks and instants must have passed, so that neither a clock that steps
// ahead nor a burst of ticks shortens the wait.
func (r *Raft) protected() bool {
	if r.opts.Without&ProtectVoteWindow != 0 {
		return false
	}
	if r.role == leader {
		return true
	}
	return r.ticks-r.heardTick < r.opts.ElectionTicks ||
		r.now.Sub(r.heardAt) < r.opts.electionTimeout()
}

func (r *Raft) heardLeader(id ID) {
	if r.role != follower {
		r.becomeFollower(r.term, id)
	}
	r.leader = id
	r.elapsed = 0
	r.heardAt, r.heardTick = r.now, r.ticks
}

// resetTimer waits for a leader: the least election timeout and up to half more.
func (r *Raft) resetTimer() {
	r.elapsed = 0
	r.timeout = r.opts.ElectionTicks + r.opts.Rand.IntN(r.opts.ElectionTicks/2)
}

// resetRetry waits for the outcome of an election. No leader has been heard for
// a whole election timeout by then, so that the next attempt comes soon.
func (r *Raft) resetRetry() {
	r.elapsed = 0
	r.timeout = r.opts.HeartbeatTicks + r.opts.Rand.IntN(r.opts.ElectionTicks/2)
}

func (r *Raft) becomeFollower(term uint64, id ID) {
	if term > r.term {
		r.term, r.vote = term, None
	}
	if r.role == leader {
		r.lead.failReads(&r.out)
		r.lead = leading{}
	}
	r.role, r.leader = follower, id
	r.transfer = false
	r.resetTimer()
}

// campaignBefore asks whether an election could be won, in no new term.
func (r *Raft) campaignBefore() {
	r.role, r.leader = preCandidate, None
	r.transfer = false
	r.requestVotes(MsgPreVote, r.term+1)
}

func (r *Raft) campaign() {
	r.role, r.leader = candidate, None
	r.term++
	r.vote = r.opts.Self
	r.requestVotes(MsgVote, r.term)
}

func (r *Raft) requestVotes(kind MessageKind, term uint64) {
	r.resetRetry()
	r.votes = map[ID]bool{}
	for _, m := range r.Members() {
		if m.Learner || m.ID == r.opts.Self {
			continue
		}
		r.send(Message{
			Kind: kind, To: m.ID, Term: term,
			Index: r.log.last(), LogTerm: r.log.lastTerm(), Transfer: r.transfer,
		})
	}
	r.countVote(r.opts.Self, true)
}

func (r *Raft) onPreVote(m *Message) {
	reply := Message{Kind: MsgPreVoteReply, To: m.From}
	if m.Term > r.term && r.upToDate(m) {
		reply.Term = m.Term
	} else {
		reply.Reject = true
	}
	r.send(reply)
}

func (r *Raft) onVote(m *Message) {
	free := r.vote == m.From || (r.vote == None && r.leader == None)
	if r.opts.Without&ProtectOneVote != 0 {
		free = r.role != leader
	}
	grant := free && r.upToDate(m)
	if grant {
		r.vote = m.From
		r.elapsed = 0
	}
	r.send(Message{Kind: MsgVoteReply, To: m.From, Reject: !grant})
}

// upToDate reports whether a candidate's log holds all that is committed here.
func (r *Raft) upToDate(m *Message) bool {
	if r.opts.Without&ProtectUpToDate != 0 {
		return true
	}
	if m.LogTerm != r.log.lastTerm() {
		return m.LogTerm > r.log.lastTerm()
	}
	return m.Index >= r.log.last()
}

func (r *Raft) onVoteReply(m *Message) {
	switch {
	case m.Kind == MsgPreVoteReply && r.role == preCandidate:
		if !m.Reject && m.Term != r.term+1 {
			return
		}
	case m.Kind == MsgVoteReply && r.role == candidate:
	default:
		return
	}
	r.countVote(m.From, !m.Reject)
}

func (r *Raft) countVote(from ID, granted bool) {
	if _, seen := r.votes[from]; seen || !r.Members().IsVoter(from) {
		return
	}
	r.votes[from] = granted
	yes, no := 0, 0
	for _, v := range r.votes {
		if v {
			yes++
		} else {
			no++
		}
	}
	quorum := r.Members().Quorum()
	switch {
	case yes >= quorum && r.role == preCandidate:
		r.campaign()
	case yes >= quorum:
		r.becomeLeader()
	case no >= quorum:
		r.becomeFollower(r.term, None)
	}
}

// onTimeoutNow starts an election at once; the leader has given up its lease.
func (r *Raft) onTimeoutNow(m *Message) {
	if r.role == leader || !r.canCampaign() || m.From != r.leader {
		return
	}
	r.transfer = true
	r.campaign()
}
