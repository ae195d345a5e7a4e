package fleet

import (
	"slices"

	"kumquatwing/internal/model"
	"kumquatwing/internal/replica"
	"kumquatwing/internal/verdict"
)

// incarnationsKept bounds the replaced incarnations remembered per VM.
const incarnationsKept = 64

// Member is a kqcontrol and the kqentry of its VM.
type Member struct {
	VM     model.VMID `msgpack:"v" json:"vm"`
	DC     model.DCID `msgpack:"d" json:"dc"`
	Region string     `msgpack:"r" json:"region"`
	// Incarnation is drawn anew when the process comes up without its state.
	Incarnation replica.MemberID `msgpack:"i" json:"incarnation"`
	// WireAddr and HTTPAddr are kqcontrol's, EntryAddr kqentry's; host:port.
	WireAddr  string `msgpack:"w" json:"wire_addr"`
	HTTPAddr  string `msgpack:"h" json:"http_addr"`
	EntryAddr string `msgpack:"e" json:"entry_addr"`
	// Disk is set on VMs that can hold the fleet group's log.
	Disk bool `msgpack:"k" json:"disk"`
	// Replaced lists earlier incarnations, which can't come back.
	Replaced []replica.MemberID `msgpack:"p,omitempty" json:"-"`
}

// Group is a data centre's group.
type Group struct {
	DC model.DCID `msgpack:"d" json:"dc"`
	// Generation counts foundings; state is lost between two generations.
	Generation uint64           `msgpack:"g" json:"generation"`
	Founder    replica.MemberID `msgpack:"f" json:"founder"`
	Voters     []Voter          `msgpack:"v" json:"voters"`
}

// Voter is a recorded voter of a group.
type Voter struct {
	Member replica.MemberID `msgpack:"m" json:"member"`
	VM     model.VMID       `msgpack:"v" json:"vm"`
}

// registerMember records the newest incarnation of a VM, by log order.
func (s *State) registerMember(c *RegisterMember) *Result {
	m := c.Member
	if m.VM == "" || m.Incarnation == 0 || len(m.VM) > maxIDBytes {
		return refuse(verdict.ReasonBadRequest, "member: VM and incarnation are needed")
	}
	before, known := s.members[m.VM]
	if slices.Contains(before.Replaced, m.Incarnation) {
		return refuse(verdict.ReasonConflict, "member: incarnation %d of VM %s was replaced", m.Incarnation, m.VM)
	}
	m.Replaced = before.Replaced
	if known && before.Incarnation != 0 && before.Incarnation != m.Incarnation {
		m.Replaced = append(slices.Clone(before.Replaced), before.Incarnation)
	}
	if over := len(m.Replaced) - incarnationsKept; over > 0 {
		m.Replaced = m.Replaced[over:]
	}
	s.members[m.VM] = m
	return &Result{}
}

// removeMember forgets a VM but for its incarnations, so that none comes back.
func (s *State) removeMember(c *RemoveMember) *Result {
	m, ok := s.members[c.VM]
	if !ok || m.Incarnation == 0 {
		return &Result{}
	}
	if m.Incarnation != c.Incarnation {
		return refuse(verdict.ReasonConflict, "member: VM %s has incarnation %d", c.VM, m.Incarnation)
	}
	s.members[c.VM] = Member{VM: c.VM, Replaced: append(slices.Clone(m.Replaced), m.Incarnation)}
	return &Result{}
}

// foundGroup accepts the next generation only when the present one can't have
// a majority any more.
func (s *State) foundGroup(c *FoundGroup) *Result {
	vm, ok := s.vmOf(c.Member)
	if !ok {
		return refuse(verdict.ReasonConflict, "group of %s: member %d is not registered", c.DC, c.Member)
	}
	g := s.groups[c.DC]
	if g != nil && g.Generation == c.Generation && g.Founder == c.Member {
		return &Result{Group: g, Repeat: true, Revision: s.revision}
	}
	present := uint64(0)
	if g != nil {
		present = g.Generation
	}
	if c.Generation != present+1 {
		return refuse(verdict.ReasonConflict, "group of %s has generation %d", c.DC, present)
	}
	if g != nil && !s.lostMajority(g) {
		return refuse(verdict.ReasonConflict, "group of %s may still have a majority", c.DC)
	}
	next := &Group{
		DC:         c.DC,
		Generation: c.Generation,
		Founder:    c.Member,
		Voters:     []Voter{{c.Member, vm}},
	}
	s.groups[c.DC] = next
	return &Result{Group: next}
}

// checkGeneration refuses what an older generation of a data centre's group has
// decided. 0 is not checked.
func (s *State) checkGeneration(dc model.DCID, generation uint64) *verdict.Refusal {
	g := s.groups[dc]
	if generation == 0 || g == nil || generation >= g.Generation {
		return nil
	}
	return verdict.Refuse(verdict.ReasonConflict, "group of %s has generation %d", dc, g.Generation)
}

// lostMajority reports whether most voters have been replaced by newer
// incarnations of their VMs or removed.
func (s *State) lostMajority(g *Group) bool {
	lost := 0
	for _, v := range g.Voters {
		if slices.Contains(s.members[v.VM].Replaced, v.Member) {
			lost++
		}
	}
	return 2*lost > len(g.Voters)
}

// setGroupVoters records voters of the present generation.
func (s *State) setGroupVoters(c *SetGroupVoters) *Result {
	g := s.groups[c.DC]
	if g == nil || g.Generation != c.Generation {
		return refuse(verdict.ReasonConflict, "group of %s is not at generation %d", c.DC, c.Generation)
	}
	if len(c.Voters) == 0 {
		return refuse(verdict.ReasonBadRequest, "group of %s: voters are needed", c.DC)
	}
	next := *g
	next.Voters = nil
	for _, id := range slices.Sorted(slices.Values(c.Voters)) {
		vm, ok := s.vmOf(id)
		if !ok {
			return refuse(verdict.ReasonConflict, "group of %s: voter %d is not registered", c.DC, id)
		}
		next.Voters = append(next.Voters, Voter{id, vm})
	}
	s.groups[c.DC] = &next
	return &Result{Group: &next}
}

// vmOf returns the VM whose newest incarnation is id, or whose replaced one
// was: a voter may be replaced before the group has noticed.
func (s *State) vmOf(id replica.MemberID) (model.VMID, bool) {
	for _, vm := range sortedKeys(s.members) {
		m := s.members[vm]
		if m.Incarnation == id || slices.Contains(m.Replaced, id) {
			return vm, true
		}
	}
	return "", false
}
