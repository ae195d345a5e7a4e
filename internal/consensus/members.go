package consensus

import (
	"cmp"
	"slices"
)

// maxPromoteLag is the maximum number of entries that a learner may be behind
// when it is promoted.
const maxPromoteLag = 256

// AddLearner appends a membership that contains m as a learner. An earlier
// incarnation on the same VM is removed in the same change and never votes
// again. For a member that is already in the group, only the address is updated.
func (r *Raft) AddLearner(m Member) (uint64, error) {
	if err := r.checkChange(); err != nil {
		return 0, err
	}
	m.Learner = true
	ms := slices.Clone(r.Members())
	if existing, ok := ms.Find(m.ID); ok {
		if existing.Addr == m.Addr {
			return r.memberships[len(r.memberships)-1].index, nil
		}
		existing.Addr = m.Addr
		return r.appendMembership(append(withoutMember(ms, m.ID), existing))
	}
	for _, existing := range r.Members() {
		if existing.VM != m.VM || m.VM == "" {
			continue
		}
		if err := r.checkRemove(existing); err != nil {
			return 0, err
		}
		ms = withoutMember(ms, existing.ID)
	}
	return r.appendMembership(append(ms, m))
}

// Promote appends a membership in which the learner id is a voter. It fails with
// ErrLearnerLagging if the learner is too far behind.
func (r *Raft) Promote(id ID) (uint64, error) {
	if err := r.checkChange(); err != nil {
		return 0, err
	}
	m, ok := r.Members().Find(id)
	if !ok {
		return 0, ErrUnknownMember
	}
	if !m.Learner {
		return r.memberships[len(r.memberships)-1].index, nil
	}
	if !r.caughtUp(r.leaderState.peer(id)) {
		return 0, ErrLearnerLagging
	}
	m.Learner = false
	return r.appendMembership(append(withoutMember(slices.Clone(r.Members()), id), m))
}

// caughtUp reports whether a learner may be promoted: it replies and has almost the
// whole log.
func (r *Raft) caughtUp(p *progress) bool {
	return !r.unreachable(p) && p.state == replicating && p.match+maxPromoteLag >= r.log.last()
}

// CaughtUp returns the learners that may be promoted. It returns nil if this member
// does not lead.
func (r *Raft) CaughtUp() []ID {
	var ids []ID
	for _, p := range r.leaderState.peers {
		if p.member.Learner && r.caughtUp(p) {
			ids = append(ids, p.member.ID)
		}
	}
	return ids
}

// Remove appends a membership without the member id.
func (r *Raft) Remove(id ID) (uint64, error) {
	if err := r.checkChange(); err != nil {
		return 0, err
	}
	m, ok := r.Members().Find(id)
	if !ok {
		return 0, ErrUnknownMember
	}
	if err := r.checkRemove(m); err != nil {
		return 0, err
	}
	return r.appendMembership(withoutMember(slices.Clone(r.Members()), id))
}

// checkChange returns an error if the membership can't be changed now. Changes
// are made one at a time, and only after an entry of this leader's term is
// committed. Otherwise, two leaders could use memberships whose quorums don't
// overlap.
func (r *Raft) checkChange() error {
	switch {
	case r.role != leader:
		return ErrNotLeader
	case r.leaderState.transferTarget != None:
		return ErrTransferring
	case r.log.commit < r.leaderState.termStart || r.memberships[len(r.memberships)-1].index > r.log.commit:
		return ErrChangePending
	}
	return nil
}

// checkRemove returns an error if m can't be removed.
func (r *Raft) checkRemove(m Member) error {
	switch {
	case m.ID == r.opts.Self:
		return ErrRemoveLeader
	case !m.Learner && r.Members().Voters() == 1:
		return ErrLastVoter
	}
	return nil
}

func withoutMember(ms Members, id ID) Members {
	return slices.DeleteFunc(ms, func(m Member) bool { return m.ID == id })
}

// appendMembership appends a membership entry, which takes effect at once.
func (r *Raft) appendMembership(ms Members) (uint64, error) {
	slices.SortFunc(ms, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	data, err := Encode(ms)
	if err != nil {
		return 0, err
	}
	index := r.appendEntry(EntryMembers, data)
	r.memberships = append(r.memberships, membership{index, ms})
	r.syncPeers()
	r.updateQuorumRound()
	return index, nil
}

// Transfer starts to transfer leadership to the reachable voter with the highest
// matching index that is not a witness. Once MsgTimeoutNow is sent to it, this
// member does not use its lease again in this term, since the message may arrive
// late. If the voter has not taken over within an election timeout, this member
// steps down if MsgTimeoutNow was sent, and otherwise goes on leading.
func (r *Raft) Transfer() error {
	if r.role != leader {
		return ErrNotLeader
	}
	if r.leaderState.transferTarget != None {
		return nil
	}
	var best *progress
	for _, p := range r.leaderState.peers {
		if p.member.Learner || p.member.Witness || r.unreachable(p) {
			continue
		}
		if best == nil || p.match > best.match {
			best = p
		}
	}
	if best == nil {
		return ErrNoTransferTarget
	}
	r.leaderState.transferTarget, r.leaderState.transferTick = best.member.ID, r.ticks
	r.maybeSendTimeoutNow()
	return nil
}

// maybeSendTimeoutNow tells the transfer target to start an election once it has
// the whole log.
func (r *Raft) maybeSendTimeoutNow() {
	if r.leaderState.transferTarget == None || r.leaderState.timeoutNowSent {
		return
	}
	p := r.leaderState.peer(r.leaderState.transferTarget)
	if p == nil || p.match < r.log.last() {
		return
	}
	r.leaderState.timeoutNowSent = true
	r.send(Message{Kind: MsgTimeoutNow, To: p.member.ID})
}

// abortTransfer ends a transfer that was not completed in time. After
// MsgTimeoutNow was sent, the leader steps down, since it has no lease any more.
func (r *Raft) abortTransfer() {
	if r.leaderState.timeoutNowSent {
		r.becomeFollower(r.term, None)
		return
	}
	r.leaderState.transferTarget = None
}
