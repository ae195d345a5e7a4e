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

// group is a table with its leader, whose commands commit at once.
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

func TestSlotsFollowDemand(t *testing.T) {
	g := newGroup()
	g.sync(&api.EntrySync{Entry: "e1", Incarnation: "x", Announcements: []api.Announcement{announce("s1", "1", 8), announce("s2", "1", 8)}})
	first := g.sync(&api.EntrySync{Entry: "e1", Incarnation: "x"})
	n, connections, _ := total(first)
	qt.Assert(t, n, qt.Equals, 16)
	qt.Assert(t, connections, qt.Equals, 120)

	// A second entry VM in need gets its fair half through a recall.
	g.sync(&api.EntrySync{Entry: "e2", Incarnation: "y", Demand: demand(20)})
	asked := g.sync(&api.EntrySync{Entry: "e1", Incarnation: "x", Demand: demand(20)})
	_, _, recall := total(asked)
	qt.Assert(t, recall, qt.Equals, 8)
	back := &api.EntrySync{Entry: "e1", Incarnation: "x", Demand: demand(20)}
	for _, s := range asked.Slots {
		back.Returned = append(back.Returned, api.SlotGrant{Server: s.Server, Slots: s.Recall, Epoch: s.Epoch})
	}
	g.sync(back)
	// The same return arriving twice counts once.
	g.sync(back)
	n, _, _ = total(g.sync(&api.EntrySync{Entry: "e2", Incarnation: "y", Demand: demand(20)}))
	qt.Assert(t, n, qt.Equals, 8)
	n, _, recall = total(g.sync(&api.EntrySync{Entry: "e1", Incarnation: "x", Demand: demand(20)}))
	qt.Assert(t, n, qt.Equals, 8)
	qt.Assert(t, recall, qt.Equals, 0)
}

func TestLeavingAndSilentServersGetNothingNew(t *testing.T) {
	cases := []struct {
		name  string
		leave func(g *group)
	}{
		{"leaving", func(g *group) {
			a := announce("s1", "1", 8)
			a.Leaving = true
			g.sync(&api.EntrySync{Entry: "e2", Incarnation: "y", Announcements: []api.Announcement{a}})
		}},
		{"silent", func(g *group) {
			g.clock.Advance(DefaultSilence / 2)
			g.sync(&api.EntrySync{Entry: "e1", Incarnation: "x"})
			g.clock.Advance(DefaultSilence / 2)
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
			c.leave(g)
			out := g.sync(&api.EntrySync{Entry: "e1", Incarnation: "x", Demand: demand(9)})
			qt.Assert(t, out.Slots[0].Leaving, qt.IsTrue)
			qt.Assert(t, out.Slots[0].Recall, qt.Equals, 8)
			other := g.sync(&api.EntrySync{Entry: "e2", Incarnation: "y", Demand: demand(9)})
			qt.Assert(t, other.Slots, qt.HasLen, 0)
		})
	}
}

// TestSilentEntrySlotsComeBack checks when the slots of a dead entry VM are
// lent again: after its lease and the margin, and after the requests that it
// may have sent under it.
func TestSilentEntrySlotsComeBack(t *testing.T) {
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

// holder is an entry VM as a test sees it: what it believes to hold.
type holder struct {
	req   api.EntrySync
	lease lease.Held
	slots []api.SlotGrant
	// pending is returned until a sync that carried it is answered, also when
	// the lease ends meanwhile: an earlier sync may still arrive.
	pending []api.SlotGrant
}

// believed is the number of slots of a server that the holder may use.
func (h *holder) believed(now clock.Instant, id model.ServerID) int {
	if !h.lease.Valid(now) {
		return 0
	}
	n := 0
	for _, g := range h.slots {
		if g.Server == id {
			n += g.Slots
		}
	}
	for _, g := range h.pending {
		if g.Server == id {
			n -= g.Slots
		}
	}
	return n
}

// world is a group with several entry VMs whose syncs are lost, late or
// repeated, whose commands are delayed and whose leader changes.
type world struct {
	*group
	holders []*holder
	servers map[string]api.Announcement
	late    [][]*Command
	term    uint64
}

func (w *world) sync(t *rapid.T) {
	h := rapid.SampledFrom(w.holders).Draw(t, "entry")
	h.req.Demand = demand(rapid.IntRange(0, 30).Draw(t, "demand"))
	if !h.lease.Valid(w.clock.Now()) {
		h.slots = nil
	}
	if len(h.pending) == 0 {
		for _, g := range h.slots {
			if n := rapid.IntRange(0, g.Slots).Draw(t, "return"); n > 0 && g.Recall > 0 {
				h.pending = append(h.pending, api.SlotGrant{Server: g.Server, Slots: n, Epoch: g.Epoch})
			}
		}
	}
	h.req.Returned = h.pending
	h.req.Announcements = nil
	for _, id := range []string{"s1", "s2"} {
		h.req.Announcements = append(h.req.Announcements, w.servers[id])
	}
	asked := w.clock.Now()
	w.clock.Advance(time.Duration(rapid.IntRange(0, 400).Draw(t, "way there")) * time.Millisecond)
	cmds, reply := w.leader.Sync(w.clock.Now(), &h.req)
	if rapid.IntRange(0, 5).Draw(t, "delayed") == 0 {
		w.late = append(w.late, cmds)
		return
	}
	w.apply(cmds)
	w.clock.Advance(time.Duration(rapid.IntRange(0, 400).Draw(t, "commit")) * time.Millisecond)
	out := &api.EntryState{}
	reply(w.clock.Now(), out)
	if rapid.IntRange(0, 5).Draw(t, "lost") == 0 {
		return
	}
	h.slots, h.pending = out.Slots, nil
	h.lease.Drop()
	h.lease.Extend(asked, time.Duration(out.SlotLeaseMillis)*time.Millisecond)
}

func (w *world) pass(t *rapid.T) {
	w.clock.Advance(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
	w.apply(w.leader.Tick(w.clock.Now()))
}

// commitLate applies commands that were proposed earlier.
func (w *world) commitLate(t *rapid.T) {
	if len(w.late) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.late)-1).Draw(t, "which")
	w.apply(w.late[i])
	w.late = append(w.late[:i:i], w.late[i+1:]...)
}

// changeLeader moves to a member whose table was restored from a snapshot.
func (w *world) changeLeader(t *rapid.T) {
	snap, err := w.state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	w.state = NewState(0)
	if err := w.state.Restore(snap); err != nil {
		t.Fatal(err)
	}
	w.leader = NewLeader(w.state, DefaultMargin)
	w.term++
	w.leader.TakeOver(w.clock.Now(), w.term, DefaultSlotLease)
}

// restartServer announces a new incarnation of a server from now on.
func (w *world) restartServer(t *rapid.T) {
	id := rapid.SampledFrom([]string{"s1", "s2"}).Draw(t, "server")
	w.servers[id] = announce(id, fmt.Sprint(len(w.late), w.clock.Now()), 8)
}

func (w *world) check(t *rapid.T) {
	for _, id := range []model.ServerID{"s1", "s2"} {
		n := 0
		for _, h := range w.holders {
			n += h.believed(w.clock.Now(), id)
		}
		if n > 8 {
			t.Fatalf("server %s has 8 slots, %d are believed to be held", id, n)
		}
	}
}

// TestNeverMoreThanOffered checks, over random runs, that the entry VMs never
// believe together that they hold more slots than a server has.
func TestNeverMoreThanOffered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{group: newGroup(), term: 1, servers: map[string]api.Announcement{}}
		for i := range 3 {
			w.holders = append(w.holders, &holder{req: api.EntrySync{Entry: model.VMID(fmt.Sprint("e", i)), Incarnation: "x"}})
		}
		for _, id := range []string{"s1", "s2"} {
			w.servers[id] = announce(id, "1", 8)
		}
		t.Repeat(map[string]func(*rapid.T){
			"sync":    w.sync,
			"sync2":   w.sync,
			"pass":    w.pass,
			"late":    w.commitLate,
			"leader":  w.changeLeader,
			"restart": w.restartServer,
			"":        w.check,
		})
	})
}

// TestLateReleases checks that a release committed after its holder came back
// takes nothing that the holder was told it has.
func TestLateReleases(t *testing.T) {
	cases := []struct {
		name string
		// meanwhile runs between the proposal of the release and its commit.
		meanwhile func(g *group)
	}{
		{"holder was granted anew", func(*group) {}},
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
			late := g.leader.Tick(g.clock.Now())
			c.meanwhile(g)
			told, _, _ := total(g.sync(req))
			qt.Assert(t, told, qt.Equals, 8)
			g.apply(late)
			qt.Assert(t, g.state.Held("s1"), qt.Equals, 8)
		})
	}
}
