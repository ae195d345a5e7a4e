package control

import (
	"cmp"
	"slices"

	"kumquatwing/internal/model"
	"kumquatwing/internal/replica"
)

const (
	// maxFleetVoters bounds the reachable voters of the fleet group. Five voters in
	// five data centres tolerate the loss of two; more would slow every write.
	maxFleetVoters = 5
	// maxDCVoters bounds the voters of a data centre group.
	maxDCVoters = 5
)

// candidate is a process that may be a member of a group.
type candidate struct {
	id          replica.MemberID
	vm          model.VMID
	dc          model.DCID
	addr        string
	disk        bool
	unreachable bool
	// unheard says that the process is registered but has not announced itself to
	// this leader.
	unheard bool
}

// changeKind is the kind of one membership change.
type changeKind int

const (
	changeNone changeKind = iota
	changeAdd
	changePromote
	changeRemove
)

// membershipChange is the next single step towards the wanted members of a group.
type membershipChange struct {
	kind   changeKind
	member replica.Member
}

// nextFleetChange returns the next change of the fleet group, which leader leads. Every
// process is a member. Each data centre has one reachable voter, on a VM with a disk if
// it has one, and there are at most maxFleetVoters of these. An unreachable voter is
// removed once another process of its data centre has been promoted, and so is a second
// reachable voter of a data centre.
func nextFleetChange(members []replica.Member, candidates []candidate, leader replica.MemberID) membershipChange {
	byVM := candidatesByVM(candidates)
	if c := nextAddition(members, candidates); c.kind != changeNone {
		return c
	}
	if c := nextFleetPromotion(members, candidates, byVM); c.kind != changeNone {
		return c
	}
	if c := nextFleetRemoval(members, byVM); c.kind != changeNone {
		return c
	}
	return nextSurplusRemoval(members, byVM, leader)
}

// nextDCChange returns the next change of a data centre group. Every process of the
// data centre is a member, and up to maxDCVoters of them are voters.
func nextDCChange(members []replica.Member, candidates []candidate) membershipChange {
	byVM := candidatesByVM(candidates)
	if c := nextAddition(members, candidates); c.kind != changeNone {
		return c
	}
	if countVoters(members) >= maxDCVoters {
		return membershipChange{}
	}
	for _, m := range members {
		c, ok := byVM[m.VM]
		if m.Learner && ok && c.id == m.ID && !c.unreachable {
			return membershipChange{changePromote, m}
		}
	}
	return membershipChange{}
}

// candidatesByVM indexes candidates by VM.
func candidatesByVM(candidates []candidate) map[string]candidate {
	byVM := make(map[string]candidate, len(candidates))
	for _, c := range candidates {
		byVM[string(c.vm)] = c
	}
	return byVM
}

// nextAddition returns the addition of the first reachable process that is not a
// member under its current identity. Adding it replaces the member on the same VM.
func nextAddition(members []replica.Member, candidates []candidate) membershipChange {
	for _, c := range candidates {
		if c.unreachable || c.unheard {
			continue
		}
		known := slices.ContainsFunc(members, func(m replica.Member) bool { return m.ID == c.id })
		if !known {
			return membershipChange{changeAdd, replica.Member{ID: c.id, VM: string(c.vm), Addr: c.addr, Learner: true}}
		}
	}
	return membershipChange{}
}

func countVoters(members []replica.Member) int {
	n := 0
	for _, m := range members {
		if !m.Learner {
			n++
		}
	}
	return n
}

// nextFleetPromotion returns the promotion of a learner in a data centre that has no
// reachable voter.
func nextFleetPromotion(members []replica.Member, candidates []candidate, byVM map[string]candidate) membershipChange {
	hasVoter := map[model.DCID]bool{}
	reachable := 0
	for _, m := range members {
		c, ok := byVM[m.VM]
		if !m.Learner && ok && c.id == m.ID && !c.unreachable {
			hasVoter[c.dc] = true
			reachable++
		}
	}
	if reachable >= maxFleetVoters {
		return membershipChange{}
	}
	ordered := slices.Clone(candidates)
	// VMs with a disk come first; otherwise they are sorted by name.
	slices.SortStableFunc(ordered, func(a, b candidate) int {
		if a.disk != b.disk {
			if a.disk {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.vm, b.vm)
	})
	for _, c := range ordered {
		if c.unreachable || c.unheard || hasVoter[c.dc] {
			continue
		}
		for _, m := range members {
			if m.ID == c.id && m.Learner {
				return membershipChange{changePromote, m}
			}
		}
	}
	return membershipChange{}
}

// nextFleetRemoval returns the removal of an unreachable voter whose data centre has
// a reachable one. The removed process becomes a learner once it announces itself
// again.
func nextFleetRemoval(members []replica.Member, byVM map[string]candidate) membershipChange {
	reachable := map[model.DCID]int{}
	for _, m := range members {
		c, ok := byVM[m.VM]
		if !m.Learner && ok && !c.unreachable {
			reachable[c.dc]++
		}
	}
	for _, m := range members {
		c, ok := byVM[m.VM]
		if !m.Learner && ok && c.unreachable && reachable[c.dc] > 0 {
			return membershipChange{changeRemove, m}
		}
	}
	return membershipChange{}
}

// nextSurplusRemoval returns the removal of a reachable voter whose data centre has
// another one. The leader stays, and so does the first voter on a VM with a disk.
func nextSurplusRemoval(members []replica.Member, byVM map[string]candidate, leader replica.MemberID) membershipChange {
	kept := map[model.DCID]replica.Member{}
	for _, m := range members {
		c, ok := byVM[m.VM]
		if m.Learner || !ok || c.id != m.ID || c.unreachable {
			continue
		}
		other, second := kept[c.dc]
		switch {
		case !second:
			kept[c.dc] = m
		case m.ID == leader || (other.ID != leader && c.disk && !byVM[other.VM].disk):
			return membershipChange{changeRemove, other}
		default:
			return membershipChange{changeRemove, m}
		}
	}
	return membershipChange{}
}
