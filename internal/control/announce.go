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
	// topicAnnounce announces a process to the leader of the fleet group.
	topicAnnounce = "member.hello"
	// announcePeriod is the interval at which a process announces itself.
	announcePeriod = time.Second
	// unreachableAfter is the time without an announcement after which a process is
	// shown as unreachable and, if it is a voter, replaced by another process of its
	// data centre.
	unreachableAfter = 5 * time.Second
	// announceTimeout bounds one announcement.
	announceTimeout = 800 * time.Millisecond
	// maxKnownAddrs bounds the addresses in the reply to an announcement, which is
	// sent to every process of the fleet once per announcePeriod.
	maxKnownAddrs = maxFleetVoters
)

// announcement is how a process describes itself to the fleet.
type announcement struct {
	VM        model.VMID       `msgpack:"v"`
	DC        model.DCID       `msgpack:"d"`
	Region    string           `msgpack:"r"`
	ID        replica.MemberID `msgpack:"i"`
	WireAddr  string           `msgpack:"w"`
	HTTPAddr  string           `msgpack:"h"`
	EntryAddr string           `msgpack:"e"`
	Disk      bool             `msgpack:"k"`
	// Capacity is set by the leader of a data centre group.
	Capacity *dcCapacity `msgpack:"m,omitempty"`
}

// announcementReply names the leader of the fleet group and other processes.
type announcementReply struct {
	// Leader is the wire address of the fleet group's leader, if known.
	Leader string `msgpack:"l"`
	// Known lists wire addresses of some members of the fleet group, voters first.
	// See knownAddrs.
	Known []string `msgpack:"k"`
	// FleetSize is the total size of all workers, as known to the leader of the fleet
	// group. A process without capacity reports sends zero.
	FleetSize model.Resources `msgpack:"s"`
}

// receivedAnnouncement is the newest announcement of one VM.
type receivedAnnouncement struct {
	announcement
	receivedAt clock.Instant
}

// announcements stores the newest announcement of each VM; the leader of the fleet
// group uses them. It is safe for concurrent use.
type announcements struct {
	mu   sync.Mutex
	byVM map[model.VMID]receivedAnnouncement
}

func newAnnouncements() *announcements {
	return &announcements{byVM: map[model.VMID]receivedAnnouncement{}}
}

// put stores an announcement that was received at now.
func (as *announcements) put(ann announcement, now clock.Instant) {
	as.mu.Lock()
	defer as.mu.Unlock()
	as.byVM[ann.VM] = receivedAnnouncement{ann, now}
}

// list returns the announcements sorted by VM.
func (as *announcements) list() []receivedAnnouncement {
	as.mu.Lock()
	defer as.mu.Unlock()
	out := make([]receivedAnnouncement, 0, len(as.byVM))
	for _, ann := range as.byVM {
		out = append(out, ann)
	}
	slices.SortFunc(out, func(a, b receivedAnnouncement) int { return compareVM(a.VM, b.VM) })
	return out
}

// compareVM orders VMs by name.
func compareVM(a, b model.VMID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// announcer announces this process to the leader of the fleet group. While it does
// not know the leader, it announces to the known processes in turn.
type announcer struct {
	s *Server
	// addrs are the addresses of known processes, nextAddr the index of the next to try.
	addrs    []string
	nextAddr int
	// leader is the address of the leader according to the last reply, or "".
	leader string
}

// run announces this process once per announcePeriod until ctx is done.
func (a *announcer) run(ctx context.Context) {
	a.addrs = slices.Clone(a.s.cfg.Join)
	t := time.NewTicker(announcePeriod)
	defer t.Stop()
	for {
		a.announce(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// announce sends one announcement. The leader of the fleet group records its own.
func (a *announcer) announce(ctx context.Context) {
	ann := a.s.announcement()
	if a.s.fleetStatus().IsLeader() {
		a.s.recordAnnouncement(&ann)
		size := a.s.capacities.fleetSize(a.s.clock.Now())
		a.s.fleetSize.Store(&size)
		return
	}
	target := a.target()
	if target == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	var reply announcementReply
	if err := a.s.wire.Call(ctx, target, topicAnnounce, &ann, &reply); err != nil {
		a.leader = ""
		return
	}
	a.leader = reply.Leader
	if !reply.FleetSize.IsZero() {
		a.s.fleetSize.Store(&reply.FleetSize)
	}
	for _, addr := range reply.Known {
		if !slices.Contains(a.addrs, addr) {
			a.addrs = append(a.addrs, addr)
		}
	}
}

// target returns the address for the next announcement, or "" if there is none.
func (a *announcer) target() string {
	if a.leader != "" && a.leader != a.s.cfg.AdvertiseAddr {
		return a.leader
	}
	if m, ok := a.s.fleetLeader(); ok && m.Addr != a.s.cfg.AdvertiseAddr {
		return m.Addr
	}
	for range a.addrs {
		addr := a.addrs[a.nextAddr%len(a.addrs)]
		a.nextAddr++
		if addr != a.s.cfg.AdvertiseAddr {
			return addr
		}
	}
	return ""
}

// recordAnnouncement stores an announcement and, separately, the capacity in it.
func (s *Server) recordAnnouncement(ann *announcement) {
	now := s.clock.Now()
	s.capacities.put(ann.Capacity, now)
	ann.Capacity = nil
	s.announcements.put(*ann, now)
}

// handleAnnouncement records an announcement and tells the sender who leads the fleet
// group.
func (s *Server) handleAnnouncement(_ context.Context, ann *announcement) (*announcementReply, error) {
	s.recordAnnouncement(ann)
	reply := &announcementReply{FleetSize: s.capacities.fleetSize(s.clock.Now())}
	st := s.fleetStatus()
	if m, ok := st.LeaderMember(); ok {
		reply.Leader = m.Addr
	}
	reply.Known = knownAddrs(st.Members, s.announcements)
	return reply, nil
}

// knownAddrs lists at most maxKnownAddrs addresses through which a process can reach
// the fleet group: those of its voters, then of its learners. Before there is a
// fleet group, it lists the processes that have announced themselves here.
func knownAddrs(members []replica.Member, as *announcements) []string {
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
		for _, ann := range as.list() {
			addrs = append(addrs, ann.WireAddr)
		}
	}
	return addrs[:min(len(addrs), maxKnownAddrs)]
}
