// Package slots distributes the slots of backend servers among the entry VMs of
// a data centre. State is the replicated state of the data centre group: which
// slots are granted to which entry VM. Leader holds what only the group's
// leader knows: lease expiries, the times of servers' last announcements, and
// demand. Neither does I/O or reads a clock.
package slots

import (
	"cmp"
	"slices"

	"kumquatwing/internal/model"
	"kumquatwing/internal/verdict"
)

// Holder is an entry VM that may hold slots: one incarnation of its kqentry
// process.
type Holder struct {
	Entry       model.VMID `msgpack:"e"`
	Incarnation string     `msgpack:"i"`
}

// compareHolders orders holders by entry VM and then by incarnation.
func compareHolders(a, b Holder) int {
	return cmp.Or(cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Incarnation, b.Incarnation))
}

// Server is a backend server as of its newest announcement.
type Server struct {
	ID          model.ServerID  `msgpack:"s"`
	Incarnation string          `msgpack:"i"`
	Addr        string          `msgpack:"a"`
	Queue       model.QueueName `msgpack:"q"`
	Slots       int             `msgpack:"n"`
	Connections int             `msgpack:"c"`
	Leaving     bool            `msgpack:"l"`
	// Previous is the preceding incarnation; its delayed announcements are
	// ignored.
	Previous string `msgpack:"p"`
}

// capacity returns the number of slots that can be granted: each needs a
// connection.
func (s *Server) capacity() int { return min(s.Slots, s.Connections) }

// connectionsFor returns the number of the server's connections that come with
// n of its slots, rounded down so that the sum over all holders never exceeds
// Connections.
func (s *Server) connectionsFor(n int) int {
	if s.capacity() == 0 {
		return 0
	}
	return n * s.Connections / s.capacity()
}

// Grant is the number of slots of one server that are granted to one holder.
type Grant struct {
	Server      model.ServerID `msgpack:"s"`
	Incarnation string         `msgpack:"i"`
	// Addr and Queue are those of the server incarnation whose slots were
	// granted.
	Addr  string          `msgpack:"a"`
	Queue model.QueueName `msgpack:"q"`
	Slots int             `msgpack:"n"`
	// Epoch changes with every change of the grant.
	Epoch model.Epoch `msgpack:"e"`
}

// State is the replicated state of the slots. It is not safe for concurrent
// use.
type State struct {
	generation uint64
	// term is the newest leader's term; commands of earlier leaders have no
	// effect.
	term uint64
	// changes counts the changes of grants. It is the low part of their epochs.
	changes uint64
	// grantsAllowed is set once every slot that an entry VM may hold is listed
	// in grants.
	grantsAllowed bool
	servers       map[model.ServerID]*Server
	grants        map[Holder]map[model.ServerID]*Grant
	// granted is the number of granted slots of each server.
	granted map[model.ServerID]int
}

// NewState returns the empty state of a data centre group in the given
// generation. A group that has lost its state must use a higher generation than
// before.
func NewState(generation uint64) *State {
	return &State{
		generation: generation,
		servers:    map[model.ServerID]*Server{},
		grants:     map[Holder]map[model.ServerID]*Grant{},
		granted:    map[model.ServerID]int{},
	}
}

// Command is one change of the state. Exactly one pointer is set.
type Command struct {
	// Term is the term of the leader that proposed the command. It fences a
	// delayed release that an earlier leader proposed after a lease expired and
	// that is committed after the current leader has renewed the lease.
	Term         uint64        `msgpack:"t"`
	BeginTerm    *BeginTerm    `msgpack:"l,omitempty"`
	AllowGrants  *AllowGrants  `msgpack:"o,omitempty"`
	Announce     *Server       `msgpack:"a,omitempty"`
	RemoveServer *RemoveServer `msgpack:"f,omitempty"`
	Return       *Return       `msgpack:"r,omitempty"`
	Release      *Release      `msgpack:"x,omitempty"`
	Grant        *GrantCmd     `msgpack:"g,omitempty"`
}

// BeginTerm starts the term of a new leader.
type BeginTerm struct{}

// AllowGrants permits grants. The leader of a new group proposes it after the
// longest slot lease that a lost predecessor of the group may have granted.
type AllowGrants struct{}

// RemoveServer removes a server none of whose slots are granted.
type RemoveServer struct {
	Server model.ServerID `msgpack:"s"`
}

// Return gives back slots of a holder.
type Return struct {
	Holder Holder       `msgpack:"h"`
	Items  []ReturnItem `msgpack:"i"`
}

// ReturnItem gives back slots of one server. It has no effect unless Epoch is
// the epoch of the grant.
type ReturnItem struct {
	Server model.ServerID `msgpack:"s"`
	Slots  int            `msgpack:"n"`
	Epoch  model.Epoch    `msgpack:"e"`
}

// Release revokes all grants of a holder up to an epoch, after its slot lease
// has provably ended or when the holder has stopped.
type Release struct {
	Holder Holder      `msgpack:"h"`
	UpTo   model.Epoch `msgpack:"u"`
}

// GrantCmd grants a holder further slots, as far as they are free.
type GrantCmd struct {
	Holder Holder      `msgpack:"h"`
	Items  []GrantItem `msgpack:"i"`
}

// GrantItem grants slots of one server incarnation.
type GrantItem struct {
	Server      model.ServerID `msgpack:"s"`
	Incarnation string         `msgpack:"i"`
	Slots       int            `msgpack:"n"`
}

// Result is the result of applying a command.
type Result struct {
	// Granted is the number of slots granted by the command.
	Granted int              `msgpack:"g,omitempty"`
	Refusal *verdict.Refusal `msgpack:"e,omitempty"`
}

// Apply executes one command. The first parameter is the group time, which this
// state does not need; the other state machines of the group have it too.
func (s *State) Apply(_ int64, cmd *Command) Result {
	if cmd.Term < s.term {
		return Result{Refusal: verdict.Refuse(verdict.ReasonNotLeader, "slots: term %d is over, %d began", cmd.Term, s.term)}
	}
	s.term = cmd.Term
	switch {
	case cmd.BeginTerm != nil:
	case cmd.AllowGrants != nil:
		s.grantsAllowed = true
	case cmd.Announce != nil:
		s.applyAnnouncement(cmd.Announce)
	case cmd.RemoveServer != nil:
		s.removeServer(cmd.RemoveServer.Server)
	case cmd.Return != nil:
		s.applyReturn(cmd.Return)
	case cmd.Release != nil:
		s.applyRelease(cmd.Release)
	case cmd.Grant != nil:
		return Result{Granted: s.applyGrant(cmd.Grant)}
	default:
		return Result{Refusal: verdict.Refuse(verdict.ReasonBadRequest, "empty slots command")}
	}
	return Result{}
}

// applyAnnouncement adds or updates a server. Announcements of the previous
// incarnation are ignored.
func (s *State) applyAnnouncement(n *Server) {
	fresh := *n
	fresh.Previous = ""
	if old := s.servers[n.ID]; old != nil {
		if n.Incarnation == old.Previous {
			return
		}
		fresh.Previous = old.Previous
		if old.Incarnation != n.Incarnation {
			fresh.Previous = old.Incarnation
		}
	}
	s.servers[n.ID] = &fresh
}

// removeServer removes a server unless some of its slots are granted.
func (s *State) removeServer(id model.ServerID) {
	if s.granted[id] == 0 {
		delete(s.servers, id)
		delete(s.granted, id)
	}
}

// applyReturn gives back slots. Items whose epoch differs from that of the
// grant are ignored, so that a repeated return counts once.
func (s *State) applyReturn(r *Return) {
	for _, item := range r.Items {
		g := s.grants[r.Holder][item.Server]
		if g == nil || g.Epoch != item.Epoch || item.Slots <= 0 {
			continue
		}
		s.adjustGrant(r.Holder, g, -min(item.Slots, g.Slots))
	}
}

// applyRelease revokes the holder's grants up to an epoch.
func (s *State) applyRelease(r *Release) {
	for _, g := range s.sortedGrants(r.Holder) {
		if g.Epoch <= r.UpTo {
			s.adjustGrant(r.Holder, g, -g.Slots)
		}
	}
}

// applyGrant grants free slots and returns their number.
func (s *State) applyGrant(g *GrantCmd) int {
	if !s.grantsAllowed {
		return 0
	}
	granted := 0
	for _, item := range g.Items {
		granted += s.applyGrantItem(g.Holder, item)
	}
	return granted
}

// applyGrantItem grants free slots of a server. Nothing is granted while the
// holder still holds slots of an earlier incarnation of the server.
func (s *State) applyGrantItem(to Holder, item GrantItem) int {
	server := s.servers[item.Server]
	if server == nil || server.Incarnation != item.Incarnation || server.Leaving {
		return 0
	}
	n := min(item.Slots, s.free(server))
	if n <= 0 {
		return 0
	}
	g := s.grants[to][item.Server]
	if g != nil && g.Incarnation != item.Incarnation {
		return 0
	}
	if g == nil {
		g = &Grant{Server: server.ID, Incarnation: server.Incarnation, Addr: server.Addr, Queue: server.Queue}
		if s.grants[to] == nil {
			s.grants[to] = map[model.ServerID]*Grant{}
		}
		s.grants[to][item.Server] = g
	}
	s.adjustGrant(to, g, n)
	return n
}

// adjustGrant adds n slots, which may be negative, to a grant and gives it a
// new epoch. A grant without slots is deleted.
func (s *State) adjustGrant(of Holder, g *Grant, n int) {
	s.changes++
	g.Epoch = model.NewEpoch(s.generation, s.changes)
	g.Slots += n
	s.granted[g.Server] += n
	if g.Slots > 0 {
		return
	}
	delete(s.grants[of], g.Server)
	if len(s.grants[of]) == 0 {
		delete(s.grants, of)
	}
}

// free returns the number of slots of a server that are not granted. Grants of
// earlier incarnations count as granted, since their requests may reach the
// same address.
func (s *State) free(server *Server) int {
	return server.capacity() - s.granted[server.ID]
}

// GrantsAllowed reports whether slots may be granted, which is the case once the
// state lists every slot that an entry VM may hold.
func (s *State) GrantsAllowed() bool { return s.grantsAllowed }

// Grants returns copies of the grants of a holder, sorted by server.
func (s *State) Grants(of Holder) []Grant {
	var out []Grant
	for _, g := range s.sortedGrants(of) {
		out = append(out, *g)
	}
	return out
}

// sortedGrants returns the grants of a holder, sorted by server.
func (s *State) sortedGrants(of Holder) []*Grant {
	out := make([]*Grant, 0, len(s.grants[of]))
	for _, g := range s.grants[of] {
		out = append(out, g)
	}
	slices.SortFunc(out, func(a, b *Grant) int { return cmp.Compare(a.Server, b.Server) })
	return out
}

// Holders returns all holders with a grant, sorted.
func (s *State) Holders() []Holder {
	out := make([]Holder, 0, len(s.grants))
	for h := range s.grants {
		out = append(out, h)
	}
	slices.SortFunc(out, compareHolders)
	return out
}

// Servers returns copies of all servers, sorted by id.
func (s *State) Servers() []Server {
	out := make([]Server, 0, len(s.servers))
	for _, v := range s.servers {
		out = append(out, *v)
	}
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Granted returns the number of granted slots of a server.
func (s *State) Granted(id model.ServerID) int { return s.granted[id] }
