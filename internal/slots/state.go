// Package slots shares out the slots of backend servers between the entry VMs
// of a data centre. State is the table that the data centre's group agrees on;
// Leader is what the group's leader knows besides: leases, silence and demand.
// Both are free of I/O and clocks.
package slots

import (
	"cmp"
	"slices"

	"kumquatwing/internal/model"
	"kumquatwing/internal/verdict"
)

// Holder is one run of a kqentry process.
type Holder struct {
	Entry       model.VMID `msgpack:"e"`
	Incarnation string     `msgpack:"i"`
}

func compareHolders(a, b Holder) int {
	return cmp.Or(cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Incarnation, b.Incarnation))
}

// Server is a backend server as it announced itself last.
type Server struct {
	ID          model.ServerID  `msgpack:"s"`
	Incarnation string          `msgpack:"i"`
	Addr        string          `msgpack:"a"`
	Queue       model.QueueName `msgpack:"q"`
	Slots       int             `msgpack:"n"`
	Connections int             `msgpack:"c"`
	Leaving     bool            `msgpack:"l"`
	// Previous is the incarnation before this one; announcements of it that
	// come late are ignored.
	Previous string `msgpack:"p"`
}

// capacity is how many slots the server can lend: each needs a connection.
func (s *Server) capacity() int { return min(s.Slots, s.Connections) }

// connectionsFor is the share of the server's connections that comes with n of
// its slots. Shares of all holders together never exceed the whole.
func (s *Server) connectionsFor(n int) int {
	if s.capacity() == 0 {
		return 0
	}
	return n * s.Connections / s.capacity()
}

// Holding is a number of slots of one server lent to one holder.
type Holding struct {
	Server      model.ServerID `msgpack:"s"`
	Incarnation string         `msgpack:"i"`
	// Addr and Queue are those of the incarnation that was lent.
	Addr  string          `msgpack:"a"`
	Queue model.QueueName `msgpack:"q"`
	Slots int             `msgpack:"n"`
	// Epoch changes with every change of the holding.
	Epoch model.Epoch `msgpack:"e"`
}

// State is the table. It is not safe for concurrent use.
type State struct {
	generation uint64
	// term is the newest leader's; commands of earlier leaders have no effect.
	term uint64
	// changes counts changes of holdings; it is the low part of their epochs.
	changes uint64
	// open is set once nothing can be held any more that the table doesn't list.
	open     bool
	servers  map[model.ServerID]*Server
	holdings map[Holder]map[model.ServerID]*Holding
	// held is the number of slots of each server that are lent.
	held map[model.ServerID]int
}

// NewState returns the table of a data centre's group in its generation. A
// group that has lost its table must use a higher generation than before.
func NewState(generation uint64) *State {
	return &State{
		generation: generation,
		servers:    map[model.ServerID]*Server{},
		holdings:   map[Holder]map[model.ServerID]*Holding{},
		held:       map[model.ServerID]int{},
	}
}

// Command is one change; exactly one pointer is set.
type Command struct {
	// Term is that of the leader that decided. A command of an earlier leader
	// may be committed late, when the present one has renewed a lease that the
	// earlier one saw end.
	Term     uint64    `msgpack:"t"`
	Lead     *Lead     `msgpack:"l,omitempty"`
	Open     *Open     `msgpack:"o,omitempty"`
	Announce *Server   `msgpack:"a,omitempty"`
	Forget   *Forget   `msgpack:"f,omitempty"`
	Return   *Return   `msgpack:"r,omitempty"`
	Release  *Release  `msgpack:"x,omitempty"`
	Grant    *GrantCmd `msgpack:"g,omitempty"`
}

// Lead begins the term of a new leader.
type Lead struct{}

// Open allows grants. A new group's leader sends it after the longest slot
// lease that a lost predecessor of the group may have granted.
type Open struct{}

// Forget drops a server that nobody holds slots of.
type Forget struct {
	Server model.ServerID `msgpack:"s"`
}

// Return gives back slots of a holder.
type Return struct {
	Holder Holder       `msgpack:"h"`
	Items  []ReturnItem `msgpack:"i"`
}

// ReturnItem gives back slots of one server. It has no effect if the holding's
// epoch is another one.
type ReturnItem struct {
	Server model.ServerID `msgpack:"s"`
	Slots  int            `msgpack:"n"`
	Epoch  model.Epoch    `msgpack:"e"`
}

// Release takes back all holdings of a holder up to an epoch, after its slot
// lease has provably ended or when it has stopped.
type Release struct {
	Holder Holder      `msgpack:"h"`
	UpTo   model.Epoch `msgpack:"u"`
}

// GrantCmd lends a holder further slots, as far as they are free.
type GrantCmd struct {
	Holder Holder      `msgpack:"h"`
	Items  []GrantItem `msgpack:"i"`
}

// GrantItem lends slots of one server's incarnation.
type GrantItem struct {
	Server      model.ServerID `msgpack:"s"`
	Incarnation string         `msgpack:"i"`
	Slots       int            `msgpack:"n"`
}

// Result is what applying a command gave.
type Result struct {
	// Granted is the number of slots lent.
	Granted int              `msgpack:"g,omitempty"`
	Refusal *verdict.Refusal `msgpack:"e,omitempty"`
}

// Apply executes one command. The group's time is not needed here; it is a
// parameter so that all tables of the group look alike.
func (s *State) Apply(_ int64, cmd *Command) Result {
	if cmd.Term < s.term {
		return Result{Refusal: verdict.Refuse(verdict.ReasonNotLeader, "slots: term %d is over, %d began", cmd.Term, s.term)}
	}
	s.term = cmd.Term
	switch {
	case cmd.Lead != nil:
	case cmd.Open != nil:
		s.open = true
	case cmd.Announce != nil:
		s.announce(cmd.Announce)
	case cmd.Forget != nil:
		s.forget(cmd.Forget.Server)
	case cmd.Return != nil:
		s.giveBack(cmd.Return)
	case cmd.Release != nil:
		s.release(cmd.Release)
	case cmd.Grant != nil:
		return Result{Granted: s.grant(cmd.Grant)}
	default:
		return Result{Refusal: verdict.Refuse(verdict.ReasonBadRequest, "empty slots command")}
	}
	return Result{}
}

func (s *State) announce(n *Server) {
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

func (s *State) forget(id model.ServerID) {
	if s.held[id] == 0 {
		delete(s.servers, id)
		delete(s.held, id)
	}
}

func (s *State) giveBack(r *Return) {
	for _, item := range r.Items {
		h := s.holdings[r.Holder][item.Server]
		if h == nil || h.Epoch != item.Epoch || item.Slots <= 0 {
			continue
		}
		s.change(r.Holder, h, -min(item.Slots, h.Slots))
	}
}

func (s *State) release(r *Release) {
	for _, h := range s.sortedHoldings(r.Holder) {
		if h.Epoch <= r.UpTo {
			s.change(r.Holder, h, -h.Slots)
		}
	}
}

func (s *State) grant(g *GrantCmd) int {
	if !s.open {
		return 0
	}
	granted := 0
	for _, item := range g.Items {
		granted += s.lend(g.Holder, item)
	}
	return granted
}

// lend adds to a holding what is free. A holder of an earlier incarnation must
// first return that.
func (s *State) lend(to Holder, item GrantItem) int {
	server := s.servers[item.Server]
	if server == nil || server.Incarnation != item.Incarnation || server.Leaving {
		return 0
	}
	n := min(item.Slots, s.free(server))
	if n <= 0 {
		return 0
	}
	h := s.holdings[to][item.Server]
	if h != nil && h.Incarnation != item.Incarnation {
		return 0
	}
	if h == nil {
		h = &Holding{Server: server.ID, Incarnation: server.Incarnation, Addr: server.Addr, Queue: server.Queue}
		if s.holdings[to] == nil {
			s.holdings[to] = map[model.ServerID]*Holding{}
		}
		s.holdings[to][item.Server] = h
	}
	s.change(to, h, n)
	return n
}

// change moves a holding by n slots under a new epoch.
func (s *State) change(of Holder, h *Holding, n int) {
	s.changes++
	h.Epoch = model.NewEpoch(s.generation, s.changes)
	h.Slots += n
	s.held[h.Server] += n
	if h.Slots > 0 {
		return
	}
	delete(s.holdings[of], h.Server)
	if len(s.holdings[of]) == 0 {
		delete(s.holdings, of)
	}
}

// free is the number of slots of a server that nobody holds. Holdings of its
// earlier incarnations count: their requests may reach the same address.
func (s *State) free(server *Server) int {
	return server.capacity() - s.held[server.ID]
}

// Opened reports whether grants are allowed.
func (s *State) Opened() bool { return s.open }

// Holdings returns copies of all that a holder holds, sorted by server.
func (s *State) Holdings(of Holder) []Holding {
	var out []Holding
	for _, h := range s.sortedHoldings(of) {
		out = append(out, *h)
	}
	return out
}

func (s *State) sortedHoldings(of Holder) []*Holding {
	out := make([]*Holding, 0, len(s.holdings[of]))
	for _, h := range s.holdings[of] {
		out = append(out, h)
	}
	slices.SortFunc(out, func(a, b *Holding) int { return cmp.Compare(a.Server, b.Server) })
	return out
}

// Holders lists everyone who holds slots, sorted.
func (s *State) Holders() []Holder {
	out := make([]Holder, 0, len(s.holdings))
	for h := range s.holdings {
		out = append(out, h)
	}
	slices.SortFunc(out, compareHolders)
	return out
}

// Servers returns copies of all servers, sorted.
func (s *State) Servers() []Server {
	out := make([]Server, 0, len(s.servers))
	for _, v := range s.servers {
		out = append(out, *v)
	}
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Held returns how many slots of a server are lent.
func (s *State) Held(id model.ServerID) int { return s.held[id] }
