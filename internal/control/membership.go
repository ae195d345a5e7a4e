package control

import (
	"cmp"
	"slices"

	"kumquatwing/internal/model"
	"kumquatwing/internal/replica"
)

const (
	// maxFleetVoters bounds the voters of the fleet group: five survive the
	// loss of two data centres, and more would slow every write.
	maxFleetVoters = 5
	// maxDCVoters bounds the voters of a data centre group.
	maxDCVoters = 5
)

// candidate is a process that could be a member of a group.
type candidate struct {
	id     replica.MemberID
	vm     model.VMID
	dc     model.DCID
	addr   string
	disk   bool
	silent bool
}

// changeKind is a step of a membership change.
type changeKind int

const (
	changeNone changeKind = iota
	changeAdd
	changePromote
	changeRemove
)

// change is the next single step that brings a group to its wanted members.
type change struct {
	kind   changeKind
	member replica.Member
}

// nextFleetChange returns the next step for the fleet group: every process is
// a member, at most one voter per data centre (of those with a disk where
// there is one), at most maxFleetVoters in all. A silent voter is replaced by
// another process of its data centre once that one has been promoted.
func nextFleetChange(members []replica.Member, candidates []candidate) change {
	byVM := candidatesByVM(candidates)
	if c := addMissing(members, candidates); c.kind != changeNone {
		return c
	}
	if c := promoteFleetVoter(members, candidates, byVM); c.kind != changeNone {
		return c
	}
	return removeSpareVoter(members, byVM)
}

// nextDCChange returns the next step for a data centre group: every process of
// the data centre is a member and votes, up to maxDCVoters.
func nextDCChange(members []replica.Member, candidates []candidate) change {
	byVM := candidatesByVM(candidates)
	if c := addMissing(members, candidates); c.kind != changeNone {
		return c
	}
	if countVoters(members) >= maxDCVoters {
		return change{}
	}
	for _, m := range members {
		c, ok := byVM[m.VM]
		if m.Learner && ok && c.id == m.ID && !c.silent {
			return change{changePromote, m}
		}
	}
	return change{}
}

func candidatesByVM(candidates []candidate) map[string]candidate {
	byVM := make(map[string]candidate, len(candidates))
	for _, c := range candidates {
		byVM[string(c.vm)] = c
	}
	return byVM
}

// addMissing finds the first process that is not a member under its present
// identity. Adding it replaces the member of the same VM.
func addMissing(members []replica.Member, candidates []candidate) change {
	for _, c := range candidates {
		if c.silent {
			continue
		}
		known := slices.ContainsFunc(members, func(m replica.Member) bool { return m.ID == c.id })
		if !known {
			return change{changeAdd, replica.Member{ID: c.id, VM: string(c.vm), Addr: c.addr, Learner: true}}
		}
	}
	return change{}
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

// promoteFleetVoter finds a learner of a data centre without a live voter.
func promoteFleetVoter(members []replica.Member, candidates []candidate, byVM map[string]candidate) change {
	served := map[model.DCID]bool{}
	live := 0
	for _, m := range members {
		c, ok := byVM[m.VM]
		if !m.Learner && ok && c.id == m.ID && !c.silent {
			served[c.dc] = true
			live++
		}
	}
	if live >= maxFleetVoters {
		return change{}
	}
	ordered := slices.Clone(candidates)
	// Processes with a disk go first; among them the order of their VMs decides.
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
		if c.silent || served[c.dc] {
			continue
		}
		for _, m := range members {
			if m.ID == c.id && m.Learner {
				return change{changePromote, m}
			}
		}
	}
	return change{}
}

// removeSpareVoter takes a silent voter out when its data centre has a live
// one. The removed process comes back as a learner when it is heard again.
func removeSpareVoter(members []replica.Member, byVM map[string]candidate) change {
	live := map[model.DCID]int{}
	for _, m := range members {
		c, ok := byVM[m.VM]
		if !m.Learner && ok && !c.silent {
			live[c.dc]++
		}
	}
	for _, m := range members {
		c, ok := byVM[m.VM]
		if !m.Learner && ok && c.silent && live[c.dc] > 0 {
			return change{changeRemove, m}
		}
	}
	return change{}
}
