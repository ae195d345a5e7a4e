package consensus

import (
	"cmp"
	"slices"
)

// maxPromoteLag is how many entries a learner may lack when it is promoted.
const maxPromoteLag = 256

// AddLearner appends a membership with m as a learner. It takes the place of
// an earlier incarnation on the same VM in the same step; that one never votes
// again. A member that is already there only gets its new address.
func (r *Raft) AddLearner(m Member) (uint64, error) {
	if err := r.mayChange(); err != nil {
		return 0, err
	}
	m.Learner = true
	ms := slices.Clone(r.Members())
	if old, ok := ms.Find(m.ID); ok {
		if old.Addr == m.Addr {
			return r.configs[len(r.configs)-1].index, nil
		}
		old.Addr = m.Addr
		return r.change(append(without(ms, m.ID), old))
	}
	for _, old := range r.Members() {
		if old.VM != m.VM || m.VM == "" {
			continue
		}
		if err := r.mayRemove(old); err != nil {
			return 0, err
		}
		ms = without(ms, old.ID)
	}
	return r.change(append(ms, m))
}

// Promote appends a membership in which the learner id votes.
func (r *Raft) Promote(id ID) (uint64, error) {
	if err := r.mayChange(); err != nil {
		return 0, err
	}
	m, ok := r.Members().Find(id)
	if !ok {
		return 0, ErrUnknown
	}
	if !m.Learner {
		return r.configs[len(r.configs)-1].index, nil
	}
	p := r.lead.peer(id)
	if r.late(p) || p.state != streaming || p.match+maxPromoteLag < r.log.last() {
		return 0, ErrLagging
	}
	m.Learner = false
	return r.change(append(without(slices.Clone(r.Members()), id), m))
}

// Remove appends a membership without id.
func (r *Raft) Remove(id ID) (uint64, error) {
	if err := r.mayChange(); err != nil {
		return 0, err
	}
	m, ok := r.Members().Find(id)
	if !ok {
		return 0, ErrUnknown
	}
	if err := r.mayRemove(m); err != nil {
		return 0, err
	}
	return r.change(without(slices.Clone(r.Members()), id))
}

// mayChange allows one change at a time, and none before an entry of this
// leader's term is committed: two leaders could else use memberships that
// share no quorum.
func (r *Raft) mayChange() error {
	switch {
	case r.role != leader:
		return ErrNotLeader
	case r.lead.target != None:
		return ErrTransferring
	case r.log.commit < r.lead.start || r.configs[len(r.configs)-1].index > r.log.commit:
		return ErrChanging
	}
	return nil
}

func (r *Raft) mayRemove(m Member) error {
	switch {
	case m.ID == r.opts.Self:
		return ErrSelf
	case !m.Learner && r.Members().Voters() == 1:
		return ErrLastVoter
	}
	return nil
}

func without(ms Members, id ID) Members {
	return slices.DeleteFunc(ms, func(m Member) bool { return m.ID == id })
}

// change puts a membership in use and appends it.
func (r *Raft) change(ms Members) (uint64, error) {
	slices.SortFunc(ms, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	data, err := Encode(ms)
	if err != nil {
		return 0, err
	}
	index := r.appendOwn(EntryMembers, data)
	r.configs = append(r.configs, membersAt{index, ms})
	r.syncPeers()
	r.countBeats()
	return index, nil
}

// Transfer hands leadership over to the voter that has most of the log. From
// when that voter is told, this member never uses its lease again in this
// term: the message may arrive late. Without success it steps down.
func (r *Raft) Transfer() error {
	if r.role != leader {
		return ErrNotLeader
	}
	if r.lead.target != None {
		return nil
	}
	var best *progress
	for _, p := range r.lead.peers {
		if p.member.Learner || p.member.Witness || r.late(p) {
			continue
		}
		if best == nil || p.match > best.match {
			best = p
		}
	}
	if best == nil {
		return ErrNoTarget
	}
	r.lead.target, r.lead.since = best.member.ID, r.ticks
	r.handOver()
	return nil
}

// handOver tells the target to start its election once it has the whole log.
func (r *Raft) handOver() {
	if r.lead.target == None || r.lead.gaveUp {
		return
	}
	p := r.lead.peer(r.lead.target)
	if p == nil || p.match < r.log.last() {
		return
	}
	r.lead.gaveUp = true
	r.send(Message{Kind: MsgTimeoutNow, To: p.member.ID})
}

func (r *Raft) endTransfer() {
	if r.lead.gaveUp {
		r.becomeFollower(r.term, None)
		return
	}
	r.lead.target = None
}
