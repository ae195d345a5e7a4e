package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"kumquatwing/internal/clock"
	"kumquatwing/internal/model"
	"kumquatwing/internal/replica"
)

const (
	// topicHello announces a process to the fleet's leader.
	topicHello = "member.hello"
	// helloPeriod is how often a process announces itself.
	helloPeriod = time.Second
	// silentAfter is when a process that stopped announcing itself is shown as
	// silent and, if it votes, replaced by another of its data centre.
	silentAfter = 5 * time.Second
	// helloTimeout bounds one announcement.
	helloTimeout = 800 * time.Millisecond
	// maxKnown bounds the addresses in the answer to an announcement, which
	// every process of the fleet gets every helloPeriod.
	maxKnown = maxFleetVoters
)

// hello is what a process says of itself.
type hello struct {
	VM        model.VMID       `msgpack:"v"`
	DC        model.DCID       `msgpack:"d"`
	Region    string           `msgpack:"r"`
	ID        replica.MemberID `msgpack:"i"`
	WireAddr  string           `msgpack:"w"`
	HTTPAddr  string           `msgpack:"h"`
	EntryAddr string           `msgpack:"e"`
	Disk      bool             `msgpack:"k"`
	// Room is set by the leader of a data centre.
	Room *dcRoom `msgpack:"m,omitempty"`
}

// helloReply points at the fleet's leader and at other processes.
type helloReply struct {
	// Leader is the wire address of the fleet's leader, if known.
	Leader string `msgpack:"l"`
	// Known lists wire addresses of some of the fleet's members, voters first.
	Known []string `msgpack:"k"`
	// FleetSize is the size of all workers, from the fleet's leader.
	FleetSize model.Resources `msgpack:"s"`
}

// heard is the newest announcement of one VM.
type heard struct {
	hello
	at clock.Instant
}

// roster collects announcements; the fleet's leader acts on them. It is safe
// for concurrent use.
type roster struct {
	mu   sync.Mutex
	byVM map[model.VMID]heard
}

func newRoster() *roster { return &roster{byVM: map[model.VMID]heard{}} }

func (r *roster) note(h hello, now clock.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byVM[h.VM] = heard{h, now}
}

// list returns the announcements in the order of their VMs.
func (r *roster) list() []heard {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]heard, 0, len(r.byVM))
	for _, h := range r.byVM {
		out = append(out, h)
	}
	slices.SortFunc(out, func(a, b heard) int { return compareVM(a.VM, b.VM) })
	return out
}

func compareVM(a, b model.VMID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// announcer sends this process's hello to the fleet's leader, or to the next
// known process while it doesn't know the leader.
type announcer struct {
	s      *Server
	known  []string
	next   int
	leader string
}

func (a *announcer) run(ctx context.Context) {
	a.known = slices.Clone(a.s.cfg.Join)
	t := time.NewTicker(helloPeriod)
	defer t.Stop()
	for {
		a.once(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

func (a *announcer) once(ctx context.Context) {
	h := a.s.hello()
	if a.s.fleetStatus().IsLeader() {
		a.s.noteHello(&h)
		size := a.s.rooms.fleetSize(a.s.clock.Now())
		a.s.fleetSize.Store(&size)
		return
	}
	target := a.target()
	if target == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	var reply helloReply
	if err := a.s.wire.Call(ctx, target, topicHello, &h, &reply); err != nil {
		a.leader = ""
		return
	}
	a.leader = reply.Leader
	if !reply.FleetSize.IsZero() {
		a.s.fleetSize.Store(&reply.FleetSize)
	}
	for _, addr := range reply.Known {
		if !slices.Contains(a.known, addr) {
			a.known = append(a.known, addr)
		}
	}
}

// target picks the address for the next hello.
func (a *announcer) target() string {
	if a.leader != "" && a.leader != a.s.cfg.AdvertiseAddr {
		return a.leader
	}
	if m, ok := a.s.fleetLeader(); ok && m.Addr != a.s.cfg.AdvertiseAddr {
		return m.Addr
	}
	for range a.known {
		addr := a.known[a.next%len(a.known)]
		a.next++
		if addr != a.s.cfg.AdvertiseAddr {
			return addr
		}
	}
	return ""
}

func (s *Server) noteHello(h *hello) {
	now := s.clock.Now()
	s.rooms.note(h.Room, now)
	h.Room = nil
	s.roster.note(*h, now)
}

// handleHello notes an announcement and tells the sender who leads.
func (s *Server) handleHello(_ context.Context, h *hello) (*helloReply, error) {
	s.noteHello(h)
	reply := &helloReply{FleetSize: s.rooms.fleetSize(s.clock.Now())}
	st := s.fleetStatus()
	if m, ok := st.LeaderMember(); ok {
		reply.Leader = m.Addr
	}
	reply.Known = knownAddrs(st.Members, s.roster)
	return reply, nil
}

// knownAddrs lists at most maxKnown addresses at which the fleet can be found:
// its voters, then its learners; before there is a fleet, who was heard here.
func knownAddrs(members []replica.Member, r *roster) []string {
	var voters, learners []string
	for _, m := range members {
		if m.Learner {
			learners = append(learners, m.Addr)
		} else {
			voters = append(voters, m.Addr)
		}
	}
	addrs := append(voters, learners...)
	if len(addrs) == 0 {
		for _, h := range r.list() {
			addrs = append(addrs, h.WireAddr)
		}
	}
	return addrs[:min(len(addrs), maxKnown)]
}
