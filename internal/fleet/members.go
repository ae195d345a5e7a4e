package fleet

import (
	"slices"

	"kumquatwing/internal/model"
	"kumquatwing/internal/replica"
	"kumquatwing/internal/verdict"
)

// maxReplaced bounds the replaced incarnations that are kept of each VM.
const maxReplaced = 64

// Member is a VM's kqcontrol process, with the address of the VM's kqentry.
type Member struct {
	VM     model.VMID `msgpack:"v" json:"vm"`
	DC     model.DCID `msgpack:"d" json:"dc"`
	Region string     `msgpack:"r" json:"region"`
	// Incarnation is a new random id whenever the process starts without its
	// state.
	Incarnation replica.MemberID `msgpack:"i" json:"incarnation"`
	// WireAddr and HTTPAddr are the addresses of kqcontrol, EntryAddr that of
	// kqentry, as host:port.
	WireAddr  string `msgpack:"w" json:"wire_addr"`
	HTTPAddr  string `msgpack:"h" json:"http_addr"`
	EntryAddr string `msgpack:"e" json:"entry_addr"`
	// Disk is set on VMs that can store the fleet group's log.
	Disk bool `msgpack:"k" json:"disk"`
	// Replaced lists the newest replaced incarnations, which can't register again.
	Replaced []replica.MemberID `msgpack:"p,omitempty" json:"-"`
}

// Group is the recorded configuration of a data centre's consensus group.
type Group struct {
	DC model.DCID `msgpack:"d" json:"dc"`
	// Generation counts how often the group was bootstrapped. The state of a generation
	// is lost when the next one is bootstrapped.
	Generation uint64           `msgpack:"g" json:"generation"`
	Founder    replica.MemberID `msgpack:"f" json:"founder"`
	Voters     []Voter          `msgpack:"v" json:"voters"`
}

// Voter is a voting member of a group.
type Voter struct {
	Member replica.MemberID `msgpack:"m" json:"member"`
	VM     model.VMID       `msgpack:"v" json:"vm"`
}

// registerMember records the current incarnation of a VM. The last one in the
// group's log wins; a replaced one is refused.
func (s *State) registerMember(c *RegisterMember) *Result {
	m := c.Member
	if m.VM == "" || m.Incarnation == 0 || len(m.VM) > maxIDBytes {
		return refuse(verdict.ReasonBadRequest, "member: VM and incarnation are needed")
	}
	previous, known := s.members[m.VM]
	if slices.Contains(previous.Replaced, m.Incarnation) {
		return refuse(verdict.ReasonConflict, "member: incarnation %d of VM %s was replaced", m.Incarnation, m.VM)
	}
	m.Replaced = previous.Replaced
	if known && previous.Incarnation != 0 && previous.Incarnation != m.Incarnation {
		m.Replaced = append(slices.Clone(previous.Replaced), previous.Incarnation)
	}
	if over := len(m.Replaced) - maxReplaced; over > 0 {
		m.Replaced = m.Replaced[over:]
	}
	s.members[m.VM] = m
	return &Result{}
}

// removeMember removes a VM. It keeps the VM's incarnations as replaced ones, so
// that none of them can register again.
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

// bootstrapGroup starts the next generation of a group. It is refused while the
// current generation may still have a majority.
func (s *State) bootstrapGroup(c *BootstrapGroup) *Result {
	vm, ok := s.vmOfMember(c.Member)
	if !ok {
		return refuse(verdict.ReasonConflict, "group of %s: member %d is not registered", c.DC, c.Member)
	}
	g := s.groups[c.DC]
	if g != nil && g.Generation == c.Generation && g.Founder == c.Member {
		return &Result{Group: g, Duplicate: true, Revision: s.revision}
	}
	current := uint64(0)
	if g != nil {
		current = g.Generation
	}
	if c.Generation != current+1 {
		return refuse(verdict.ReasonConflict, "group of %s has generation %d", c.DC, current)
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

// checkGeneration refuses a command that was decided by an older generation of a
// data centre's group. Generation 0 skips the check.
func (s *State) checkGeneration(dc model.DCID, generation uint64) *verdict.Refusal {
	g := s.groups[dc]
	if generation == 0 || g == nil || generation >= g.Generation {
		return nil
	}
	return verdict.Refuse(verdict.ReasonConflict, "group of %s has generation %d", dc, g.Generation)
}

// lostMajority reports whether more than half of the voters were replaced by newer
// incarnations on their VMs or removed.
func (s *State) lostMajority(g *Group) bool {
	lost := 0
	for _, v := range g.Voters {
		if slices.Contains(s.members[v.VM].Replaced, v.Member) {
			lost++
		}
	}
	return 2*lost > len(g.Voters)
}

// setGroupVoters records the voters of the current generation.
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
		vm, ok := s.vmOfMember(id)
		if !ok {
			return refuse(verdict.ReasonConflict, "group of %s: voter %d is not registered", c.DC, id)
		}
		next.Voters = append(next.Voters, Voter{id, vm})
	}
	s.groups[c.DC] = &next
	return &Result{Group: &next}
}

// vmOfMember returns the VM that has id as its current or a replaced incarnation.
// Replaced ones count since a group may still list one as a voter before it has
// learnt of the replacement.
func (s *State) vmOfMember(id replica.MemberID) (model.VMID, bool) {
	for _, vm := range sortedKeys(s.members) {
		m := s.members[vm]
		if m.Incarnation == id || slices.Contains(m.Replaced, id) {
			return vm, true
		}
	}
	return "", false
}
