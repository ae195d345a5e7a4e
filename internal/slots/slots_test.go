package slots

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"kumquatwing/internal/api"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/lease"
	"kumquatwing/internal/model"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		flag.Set("rapid.seed", "20261204")
	}
	os.Exit(m.Run())
}

const queue = model.QueueName("orders")

func announce(id string, incarnation string, n int) api.Announcement {
	return api.Announcement{
		Server: model.ServerID(id), Addr: id + ":80", DC: "a", Queue: queue,
		Slots: n, Connections: 60, Incarnation: incarnation,
	}
}

// group is a State with its Leader; commands are committed at once.
type group struct {
	state  *State
	leader *Leader
	clock  clock.Manual
}

func newGroup() *group {
	g := &group{state: NewState(1)}
	g.leader = NewLeader(g.state, DefaultMargin)
	g.leader.TakeOver(g.clock.Now(), 1, 0)
	g.clock.Advance(DefaultMargin)
	return g
}

func (g *group) apply(cmds []*Command) {
	for _, c := range cmds {
		g.state.Apply(0, c)
	}
}

func (g *group) sync(req *api.EntrySync) *api.EntryState {
	cmds, reply := g.leader.Sync(g.clock.Now(), req)
	g.apply(cmds)
	out := &api.EntryState{}
	reply(g.clock.Now(), out)
	return out
}

func demand(n int) []api.QueueDemand { return []api.QueueDemand{{Queue: queue, Slots: n}} }

func total(s *api.EntryState) (n, connections, recall int) {
	for _, g := range s.Slots {
		n += g.Slots
		connections += g.Connections
		recall += g.Recall
	}
	return n, connections, recall
}

// TestSlotsFollowDemand checks that an entry VM without demand is granted all
// slots, and that half of them are recalled when a second entry VM has the same
// demand.
func TestSlotsFollowDemand(t *testing.T) {
	g := newGroup()
	g.sync(&api.EntrySync{Entry: "e1", Incarnation: "x", Announcements: []api.Announcement{announce("s1", "1", 8), announce("s2", "1", 8)}})
	first := g.sync(&api.EntrySync{Entry: "e1", Incarnation: "x"})
	n, connections, _ := total(first)
	qt.Assert(t, n, qt.Equals, 16)
	qt.Assert(t, connections, qt.Equals, 120)

	// The fair share of a second entry VM with demand is recalled from the first.
	g.sync(&api.EntrySync{Entry: "e2", Incarnation: "y", Demand: demand(20)})
	recalled := g.sync(&api.EntrySync{Entry: "e1", Incarnation: "x", Demand: demand(20)})
	_, _, recall := total(recalled)
	qt.Assert(t, recall, qt.Equals, 8)
	giveBack := &api.EntrySync{Entry: "e1", Incarnation: "x", Demand: demand(20)}
	for _, s := range recalled.Slots {
		giveBack.Returned = append(giveBack.Returned, api.SlotGrant{Server: s.Server, Slots: s.Recall, Epoch: s.Epoch})
	}
	g.sync(giveBack)
	// A repeated return counts once.
	g.sync(giveBack)
	n, _, _ = total(g.sync(&api.EntrySync{Entry: "e2", Incarnation: "y", Demand: demand(20)}))
	qt.Assert(t, n, qt.Equals, 8)
	n, _, recall = total(g.sync(&api.EntrySync{Entry: "e1", Incarnation: "x", Demand: demand(20)}))
	qt.Assert(t, n, qt.Equals, 8)
	qt.Assert(t, recall, qt.Equals, 0)
}

// TestDelayedSyncOfStoppingEntryGetsNoSlots checks that a sync that arrives after the
// last one of a stopping entry VM, as a cancelled call may, does not get the slots
// back that the VM has returned. A restarted VM gets slots.
func TestDelayedSyncOfStoppingEntryGetsNoSlots(t *testing.T) {
	g := newGroup()
	g.sync(&api.EntrySync{Entry: "e1", Incarnation: "x", Announcements: []api.Announcement{announce("s1", "1", 8)}})
	g.sync(&api.EntrySync{Entry: "e1", Incarnation: "x", Demand: demand(8)})
	qt.Assert(t, g.state.Granted("s1"), qt.Equals, 8)
	g.sync(&api.EntrySync{Entry: "e1", Incarnation: "x", Stopping: true})
	n, _, _ := total(g.sync(&api.EntrySync{Entry: "e1", Incarnation: "x", Demand: demand(8)}))
	qt.Check(t, n, qt.Equals, 0)
	qt.Check(t, g.state.Granted("s1"), qt.Equals, 0)
	n, _, _ = total(g.sync(&api.EntrySync{Entry: "e1", Incarnation: "y", Demand: demand(8)}))
	qt.Check(t, n, qt.Equals, 8)
}

// TestUnusableServersAreNotGranted checks that slots of a server that is about
// to shut down, has stopped announcing itself or has restarted are recalled
// from their holder and that its earlier slots are granted to nobody else.
func TestUnusableServersAreNotGranted(t *testing.T) {
	cases := []struct {
		name         string
		makeUnusable func(g *group)
	}{
		{"leaving", func(g *group) {
			a := announce("s1", "1", 8)
			a.Leaving = true
			g.sync(&api.EntrySync{Entry: "e2", Incarnation: "y", Announcements: []api.Announcement{a}})
		}},
		{"silent", func(g *group) {
			g.clock.Advance(DefaultServerTimeout / 2)
			g.sync(&api.EntrySync{Entry: "e1", Incarnation: "x"})
			g.clock.Advance(DefaultServerTimeout / 2)
		}},
		{"restarted", func(g *group) {
			g.sync(&api.EntrySync{Entry: "e2", Incarnation: "y", Announcements: []api.Announcement{announce("s1", "2", 8)}})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newGroup()
			g.sync(&api.EntrySync{Entry: "e1", Incarnation: "x", Announcements: []api.Announcement{announce("s1", "1", 8)}})
			g.sync(&api.EntrySync{Entry: "e1", Incarnation: "x"})
			c.makeUnusable(g)
			out := g.sync(&api.EntrySync{Entry: "e1", Incarnation: "x", Demand: demand(9)})
			qt.Assert(t, out.Slots[0].Leaving, qt.IsTrue)
			qt.Assert(t, out.Slots[0].Recall, qt.Equals, 8)
			other := g.sync(&api.EntrySync{Entry: "e2", Incarnation: "y", Demand: demand(9)})
			qt.Assert(t, other.Slots, qt.HasLen, 0)
		})
	}
}

// TestSlotsOfUnreachableEntryAreReclaimed checks when the slots of a dead entry
// VM are granted again: after its lease and the margin and, unless the process
// was restarted, after the remaining time of the requests that it may have sent
// under the lease.
func TestSlotsOfUnreachableEntryAreReclaimed(t *testing.T) {
	const longest = 5 * time.Second
	cases := []struct {
		name    string
		restart bool
		after   time.Duration
	}{
		{"silent", false, DefaultSlotLease + DefaultMargin + longest},
		{"restarted", true, DefaultSlotLease + DefaultMargin},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newGroup()
			dead := &api.EntrySync{Entry: "e1", Incarnation: "x", LongestMillis: longest.Milliseconds(), Announcements: []api.Announcement{announce("s1", "1", 8)}}
			g.sync(dead)
			g.sync(dead)
			if c.restart {
				g.sync(&api.EntrySync{Entry: "e1", Incarnation: "z"})
			}
			alive := &api.EntrySync{Entry: "e2", Incarnation: "y", Demand: demand(8), Announcements: dead.Announcements}
			g.clock.Advance(c.after - time.Millisecond)
			g.sync(alive)
			n, _, _ := total(g.sync(alive))
			qt.Assert(t, n, qt.Equals, 0)
			g.clock.Advance(time.Millisecond)
			g.sync(alive)
			n, _, _ = total(g.sync(alive))
			qt.Assert(t, n > 0, qt.IsTrue)
		})
	}
}

// testHolder is an entry VM with the slots that it assumes to hold.
type testHolder struct {
	req   api.EntrySync
	lease lease.Lease
	slots []api.SlotGrant
	// unconfirmedReturns are returned in every sync until one that carried them
	// is answered, even if the lease ends meanwhile, since an earlier sync may
	// still arrive.
	unconfirmedReturns []api.SlotGrant
}

// assumedSlots returns the number of slots of a server that the holder may use.
func (h *testHolder) assumedSlots(now clock.Instant, id model.ServerID) int {
	if !h.lease.Valid(now) {
		return 0
	}
	n := 0
	for _, g := range h.slots {
		if g.Server == id {
			n += g.Slots
		}
	}
	for _, g := range h.unconfirmedReturns {
		if g.Server == id {
			n -= g.Slots
		}
	}
	return n
}

// simulation is a group with several entry VMs whose syncs are lost, delayed or
// repeated, whose commands are committed late and whose leader changes.
type simulation struct {
	*group
	holders []*testHolder
	servers map[string]api.Announcement
	delayed [][]*Command
	term    uint64
}

// sync sends a sync of a random entry VM. Its commands may be delayed and its
// reply lost.
func (s *simulation) sync(t *rapid.T) {
	h := rapid.SampledFrom(s.holders).Draw(t, "entry")
	h.req.Demand = demand(rapid.IntRange(0, 30).Draw(t, "demand"))
	if !h.lease.Valid(s.clock.Now()) {
		h.slots = nil
	}
	if len(h.unconfirmedReturns) == 0 {
		for _, g := range h.slots {
			if n := rapid.IntRange(0, g.Slots).Draw(t, "return"); n > 0 && g.Recall > 0 {
				h.unconfirmedReturns = append(h.unconfirmedReturns, api.SlotGrant{Server: g.Server, Slots: n, Epoch: g.Epoch})
			}
		}
	}
	h.req.Returned = h.unconfirmedReturns
	h.req.Announcements = nil
	for _, id := range []string{"s1", "s2"} {
		h.req.Announcements = append(h.req.Announcements, s.servers[id])
	}
	sentAt := s.clock.Now()
	s.clock.Advance(time.Duration(rapid.IntRange(0, 400).Draw(t, "request latency")) * time.Millisecond)
	cmds, reply := s.leader.Sync(s.clock.Now(), &h.req)
	if rapid.IntRange(0, 5).Draw(t, "delayed") == 0 {
		s.delayed = append(s.delayed, cmds)
		return
	}
	s.apply(cmds)
	s.clock.Advance(time.Duration(rapid.IntRange(0, 400).Draw(t, "commit")) * time.Millisecond)
	out := &api.EntryState{}
	reply(s.clock.Now(), out)
	if rapid.IntRange(0, 5).Draw(t, "lost") == 0 {
		return
	}
	h.slots, h.unconfirmedReturns = out.Slots, nil
	h.lease.Expire()
	h.lease.Extend(sentAt, time.Duration(out.SlotLeaseMillis)*time.Millisecond)
}

// advanceTime advances the clock and applies the commands of a tick.
func (s *simulation) advanceTime(t *rapid.T) {
	s.clock.Advance(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
	s.apply(s.leader.Tick(s.clock.Now()))
}

// commitDelayed applies the commands of one delayed sync.
func (s *simulation) commitDelayed(t *rapid.T) {
	if len(s.delayed) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.delayed)-1).Draw(t, "which")
	s.apply(s.delayed[i])
	s.delayed = append(s.delayed[:i:i], s.delayed[i+1:]...)
}

// changeLeader moves leadership to a member whose state was restored from a
// snapshot.
func (s *simulation) changeLeader(t *rapid.T) {
	snap, err := s.state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	s.state = NewState(0)
	if err := s.state.Restore(snap); err != nil {
		t.Fatal(err)
	}
	s.leader = NewLeader(s.state, DefaultMargin)
	s.term++
	s.leader.TakeOver(s.clock.Now(), s.term, DefaultSlotLease)
}

// restartServer replaces a server's announcement by one of a new incarnation.
func (s *simulation) restartServer(t *rapid.T) {
	id := rapid.SampledFrom([]string{"s1", "s2"}).Draw(t, "server")
	s.servers[id] = announce(id, fmt.Sprint(len(s.delayed), s.clock.Now()), 8)
}

// check fails if the holders assume to hold more slots of a server than it has.
func (s *simulation) check(t *rapid.T) {
	for _, id := range []model.ServerID{"s1", "s2"} {
		n := 0
		for _, h := range s.holders {
			n += h.assumedSlots(s.clock.Now(), id)
		}
		if n > 8 {
			t.Fatalf("server %s has 8 slots, the holders assume to hold %d", id, n)
		}
	}
}

// TestHeldSlotsNeverExceedCapacity checks, over random simulations, that all
// entry VMs together never assume to hold more slots of a server than it has.
func TestHeldSlotsNeverExceedCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{group: newGroup(), term: 1, servers: map[string]api.Announcement{}}
		for i := range 3 {
			s.holders = append(s.holders, &testHolder{req: api.EntrySync{Entry: model.VMID(fmt.Sprint("e", i)), Incarnation: "x"}})
		}
		for _, id := range []string{"s1", "s2"} {
			s.servers[id] = announce(id, "1", 8)
		}
		t.Repeat(map[string]func(*rapid.T){
			"sync":    s.sync,
			"sync2":   s.sync,
			"pass":    s.advanceTime,
			"late":    s.commitDelayed,
			"leader":  s.changeLeader,
			"restart": s.restartServer,
			"":        s.check,
		})
	})
}

// TestDelayedReleases checks that a release that is committed after its holder
// has synced again revokes no slots that were reported to the holder since.
func TestDelayedReleases(t *testing.T) {
	cases := []struct {
		name string
		// meanwhile runs between the proposal of the release and its commit.
		meanwhile func(g *group)
	}{
		{"holder was granted new slots", func(*group) {}},
		{"leader changed", func(g *group) {
			g.leader = NewLeader(g.state, DefaultMargin)
			g.leader.TakeOver(g.clock.Now(), 2, DefaultSlotLease)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newGroup()
			req := &api.EntrySync{Entry: "e1", Incarnation: "x", Demand: demand(8), Announcements: []api.Announcement{announce("s1", "1", 8)}}
			g.sync(req)
			g.sync(req)
			g.clock.Advance(DefaultSlotLease + DefaultMargin)
			release := g.leader.Tick(g.clock.Now())
			c.meanwhile(g)
			reported, _, _ := total(g.sync(req))
			qt.Assert(t, reported, qt.Equals, 8)
			g.apply(release)
			qt.Assert(t, g.state.Granted("s1"), qt.Equals, 8)
		})
	}
}
