package consensus

// canCampaign reports whether this member is eligible to become leader: a voter
// that is not a witness.
func (r *Raft) canCampaign() bool {
	m, ok := r.Members().Find(r.opts.Self)
	return ok && !m.Learner && !m.Witness
}

// electionDue reports whether the election timer has expired and no leader may
// hold a lease. The only voter of a group does not wait.
func (r *Raft) electionDue() bool {
	if r.Members().Quorum() == 1 {
		return true
	}
	return r.elapsed >= r.timeout && !r.leaseMayHold()
}

// leaseMayHold reports whether a leader may still hold a lease, so that votes
// have to be refused. The minimum election timeout must have passed both in
// ticks and by the clock, so that neither a clock that jumps ahead nor a burst
// of ticks shortens the wait.
func (r *Raft) leaseMayHold() bool {
	if r.opts.Disabled&ProtectVoteWindow != 0 {
		return false
	}
	if r.role == leader {
		return true
	}
	return r.ticks-r.leaderContactTick < r.opts.ElectionTicks ||
		r.now.Sub(r.leaderContactAt) < r.opts.minElectionTimeout()
}

// recordLeaderContact notes a message from the current leader and restarts the
// election timer.
func (r *Raft) recordLeaderContact(id ID) {
	if r.role != follower {
		r.becomeFollower(r.term, id)
	}
	r.leaderID = id
	r.elapsed = 0
	r.leaderContactAt, r.leaderContactTick = r.now, r.ticks
}

// resetElectionTimer restarts the election timer with a random timeout between
// the minimum election timeout and one and a half times that.
func (r *Raft) resetElectionTimer() {
	r.elapsed = 0
	r.timeout = r.opts.ElectionTicks + r.opts.Rand.IntN(r.opts.ElectionTicks/2)
}

// resetRetryTimer restarts the election timer for the result of an election. A
// candidate has not heard from a leader for a whole election timeout already, so
// the timeout is shorter: a heartbeat interval plus a random part of up to half
// an election timeout.
func (r *Raft) resetRetryTimer() {
	r.elapsed = 0
	r.timeout = r.opts.HeartbeatTicks + r.opts.Rand.IntN(r.opts.ElectionTicks/2)
}

// becomeFollower makes the member a follower of the leader id, or None if the
// leader is not known. A leader that steps down fails its pending reads.
func (r *Raft) becomeFollower(term uint64, id ID) {
	if term > r.term {
		r.term, r.votedFor = term, None
	}
	if r.role == leader {
		r.leaderState.failReads(&r.out)
		r.leaderState = leaderState{}
	}
	r.role, r.leaderID = follower, id
	r.transferCampaign = false
	r.resetElectionTimer()
}

// preCampaign starts a pre-vote: it asks the voters whether they would elect
// this member, without a new term.
func (r *Raft) preCampaign() {
	r.role, r.leaderID = preCandidate, None
	r.transferCampaign = false
	r.requestVotes(MsgPreVote, r.term+1)
}

// campaign starts an election in a new term.
func (r *Raft) campaign() {
	r.role, r.leaderID = candidate, None
	r.term++
	r.votedFor = r.opts.Self
	r.requestVotes(MsgVote, r.term)
}

func (r *Raft) requestVotes(kind MessageKind, term uint64) {
	r.resetRetryTimer()
	r.votes = map[ID]bool{}
	for _, m := range r.Members() {
		if m.Learner || m.ID == r.opts.Self {
			continue
		}
		r.send(Message{
			Kind: kind, To: m.ID, Term: term,
			Index: r.log.last(), LogTerm: r.log.lastTerm(), Transfer: r.transferCampaign,
		})
	}
	r.recordVote(r.opts.Self, true)
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

// onVote grants a vote if the member has not voted for another candidate in this
// term and knows no leader, and the candidate's log is up to date.
func (r *Raft) onVote(m *Message) {
	canVote := r.votedFor == m.From || (r.votedFor == None && r.leaderID == None)
	if r.opts.Disabled&ProtectOneVote != 0 {
		canVote = r.role != leader
	}
	grant := canVote && r.upToDate(m)
	if grant {
		r.votedFor = m.From
		r.elapsed = 0
	}
	r.send(Message{Kind: MsgVoteReply, To: m.From, Reject: !grant})
}

// upToDate reports whether the candidate's log is at least as up to date as the
// log of this member, so that it contains every entry committed here.
func (r *Raft) upToDate(m *Message) bool {
	if r.opts.Disabled&ProtectUpToDate != 0 {
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
	r.recordVote(m.From, !m.Reject)
}

// recordVote records a voter's reply and ends the election once a quorum has
// granted or rejected it.
func (r *Raft) recordVote(from ID, granted bool) {
	if _, seen := r.votes[from]; seen || !r.Members().IsVoter(from) {
		return
	}
	r.votes[from] = granted
	granting, rejecting := 0, 0
	for _, v := range r.votes {
		if v {
			granting++
		} else {
			rejecting++
		}
	}
	quorum := r.Members().Quorum()
	switch {
	case granting >= quorum && r.role == preCandidate:
		r.campaign()
	case granting >= quorum:
		r.becomeLeader()
	case rejecting >= quorum:
		r.becomeFollower(r.term, None)
	}
}

// onTimeoutNow starts an election at once for a leadership transfer. The leader
// gave up its lease before it sent the message.
func (r *Raft) onTimeoutNow(m *Message) {
	if r.role == leader || !r.canCampaign() || m.From != r.leaderID {
		return
	}
	r.transferCampaign = true
	r.campaign()
}
