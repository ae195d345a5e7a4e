package replica

import "kumquatwing/internal/consensus"

func toConsensusMember(m Member) consensus.Member {
	return consensus.Member{
		ID: consensus.ID(m.ID), VM: m.VM, Addr: m.Addr, Learner: m.Learner, Witness: m.Witness,
	}
}

func fromConsensusMember(m consensus.Member) Member {
	return Member{
		ID: MemberID(m.ID), VM: m.VM, Addr: m.Addr, Learner: m.Learner, Witness: m.Witness,
	}
}

func fromConsensusMembers(ms consensus.Members) []Member {
	out := make([]Member, len(ms))
	for i, m := range ms {
		out[i] = fromConsensusMember(m)
	}
	return out
}

func fromConsensusIDs(ids []consensus.ID) []MemberID {
	var out []MemberID
	for _, id := range ids {
		out = append(out, MemberID(id))
	}
	return out
}
