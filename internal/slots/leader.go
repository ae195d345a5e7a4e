package slots

import (
	"time"

	"kumquatwing/internal/api"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/lease"
	"kumquatwing/internal/model"
)

const (
	// forgetAfter is how long a silent server stays in the table.
	forgetAfter = time.Minute
	// DefaultSlotLease, DefaultMargin and DefaultSilence are used until Set.
	DefaultSlotLease = 2 * time.Second
	DefaultMargin    = 250 * time.Millisecond
	DefaultSilence   = 2 * time.Second
	// tableRoom is how many servers and, apart from them, holders are kept.
	tableRoom = 4096
)

// Terms are the settings that a leader works by.
type Terms struct {
	// SlotLease is how long an entry VM holds slots without renewal.
	SlotLease time.Duration
	// Silence is how long a server may go without announcing itself.
	Silence time.Duration
}

// Leader holds what the group's leader knows besides the table: who renewed
// its lease when, which servers were heard, who wants how much. None of it is
// replicated; a new leader starts with TakeOver. It is not safe for concurrent
// use, and its methods read the table: call them where the table stands still.
type Leader struct {
	state *State
	terms Terms
	// margin is what is added to a lease for clock drift.
	margin time.Duration
	book   *lease.Book[Holder]
	term   uint64
	// took is when this leader took over, openAt when all grants of a lost
	// predecessor of the group have ended.
	took, openAt clock.Instant
	heard        map[model.ServerID]clock.Instant
	entries      map[Holder]*entryInfo
	// releasing is the newest epoch up to which a holder's slots were or will
	// be taken back. The command may be committed late, so that none of these
	// holdings may be told to the holder as its own again.
	releasing map[Holder]model.Epoch
}

// entryInfo is what is known of one holder since this leader took over.
type entryInfo struct {
	// renewed is when the lease was granted last.
	renewed  clock.Instant
	demand   map[model.QueueName]int
	longest  time.Duration
	stopping bool
}

// NewLeader returns the leader's side of a table. margin is what is added to a
// lease for clock drift. TakeOver must be called whenever leadership begins.
func NewLeader(state *State, margin time.Duration) *Leader {
	return &Leader{
		state:   state,
		terms:   Terms{SlotLease: DefaultSlotLease, Silence: DefaultSilence},
		margin:  margin,
		book:    lease.NewBook[Holder](margin),
		heard:   map[model.ServerID]clock.Instant{},
		entries: map[Holder]*entryInfo{},

		releasing: map[Holder]model.Epoch{},
	}
}

// Set changes the terms for leases granted from now on.
func (l *Leader) Set(t Terms) { l.terms = t }

// TakeOver begins leadership in a term of the group at now. longest is the longest time for which a
// predecessor may have let an entry VM act: a slot lease, and after it the
// time left of the requests sent under it.
func (l *Leader) TakeOver(now clock.Instant, term uint64, longest time.Duration) {
	l.term = term
	l.book.TakeOver(now, longest)
	l.took = now
	l.openAt = now.Add(longest + l.margin)
	clear(l.heard)
	clear(l.entries)
	clear(l.releasing)
}

// Reply completes the answer to a sync, once the commands of that sync are
// committed and applied and this member was then still the leader with a valid
// leader lease. now is read just before.
type Reply func(now clock.Instant, out *api.EntryState)

// Sync takes in an entry VM's sync and returns the commands it leads to, in
// order, and the function that builds the reply. Nothing is told to the entry
// before it is committed.
func (l *Leader) Sync(now clock.Instant, req *api.EntrySync) ([]*Command, Reply) {
	h := Holder{req.Entry, req.Incarnation}
	cmds := l.begin(now)
	cmds = l.takeAnnouncements(now, req.Announcements, cmds)
	cmds = l.takeReturns(h, req, cmds)
	if l.book.Ended(h, now) || req.Stopping {
		l.markReleasing(h)
	}
	lapsed := l.holdsReleasing(h)
	if lapsed {
		cmds = l.appendRelease(h, cmds)
	}
	l.note(now, h, req)
	cmds = l.reclaim(now, cmds)
	if !req.Stopping {
		cmds = l.appendGrants(now, h, lapsed, cmds)
	}
	return l.stamp(cmds), func(now clock.Instant, out *api.EntryState) { l.reply(now, h, req.Stopping, out) }
}

// Tick returns the commands that the passing of time leads to: slots of dead
// entry VMs come back and servers long silent are forgotten. Call it a few
// times a second.
func (l *Leader) Tick(now clock.Instant) []*Command {
	cmds := l.begin(now)
	cmds = l.reclaim(now, cmds)
	for _, s := range l.state.Servers() {
		if now.Sub(l.lastHeard(s.ID)) > forgetAfter && l.state.Held(s.ID) == 0 {
			delete(l.heard, s.ID)
			cmds = append(cmds, &Command{Forget: &Forget{Server: s.ID}})
		}
	}
	return l.stamp(cmds)
}

// stamp writes the leader's term into its commands.
func (l *Leader) stamp(cmds []*Command) []*Command {
	for _, c := range cmds {
		c.Term = l.term
	}
	return cmds
}

// begin ends the terms of earlier leaders, and allows grants in a new group
// once nothing unlisted can be held.
func (l *Leader) begin(now clock.Instant) []*Command {
	var cmds []*Command
	if l.state.term != l.term {
		cmds = append(cmds, &Command{Lead: &Lead{}})
	}
	if !l.state.Opened() && !now.Before(l.openAt) {
		cmds = append(cmds, &Command{Open: &Open{}})
	}
	return cmds
}

func (l *Leader) takeAnnouncements(now clock.Instant, all []api.Announcement, cmds []*Command) []*Command {
	for i := range all {
		a := &all[i]
		old := l.state.servers[a.Server]
		if old == nil && len(l.state.servers) >= tableRoom {
			continue
		}
		if old != nil && a.Incarnation == old.Previous {
			continue
		}
		l.heard[a.Server] = now
		next := serverOf(a)
		if old != nil && sameAnnounced(old, next) {
			continue
		}
		cmds = append(cmds, &Command{Announce: next})
	}
	return cmds
}

func serverOf(a *api.Announcement) *Server {
	return &Server{
		ID:          a.Server,
		Incarnation: a.Incarnation,
		Addr:        a.Addr,
		Queue:       a.Queue,
		Slots:       max(0, a.Slots),
		Connections: max(0, a.Connections),
		Leaving:     a.Leaving,
	}
}

// sameAnnounced reports whether an announcement changes nothing.
func sameAnnounced(old, next *Server) bool {
	a, b := *old, *next
	a.Previous, b.Previous = "", ""
	return a == b
}

func (l *Leader) takeReturns(h Holder, req *api.EntrySync, cmds []*Command) []*Command {
	if len(req.Returned) == 0 {
		return cmds
	}
	r := &Return{Holder: h}
	for _, g := range req.Returned {
		r.Items = append(r.Items, ReturnItem{Server: g.Server, Slots: g.Slots, Epoch: g.Epoch})
	}
	return append(cmds, &Command{Return: r})
}

// note records the holder's sync. Its lease counts as renewed from here on, so
// that nothing it may be told below is reclaimed meanwhile.
func (l *Leader) note(now clock.Instant, h Holder, req *api.EntrySync) {
	e := l.entries[h]
	if e == nil {
		e = &entryInfo{}
		l.entries[h] = e
		l.replaceOthers(h)
	}
	e.stopping = req.Stopping
	e.longest = time.Duration(max(0, req.LongestMillis)) * time.Millisecond
	e.demand = map[model.QueueName]int{}
	for _, d := range req.Demand {
		e.demand[d.Queue] += max(0, d.Slots)
	}
	l.renew(h, now, e)
}

// replaceOthers shortens the leases of earlier runs of the same kqentry: their
// process has died and its connections with it, so that no request of theirs
// outlasts the slot lease.
func (l *Leader) replaceOthers(h Holder) {
	for old, e := range l.entries {
		if old.Entry == h.Entry && old != h && e.longest > 0 {
			e.longest = 0
			l.book.Forget(old)
			l.book.Renew(old, e.renewed, l.terms.SlotLease)
		}
	}
}

// renew counts the holder's lease and, after it, the time left of what the
// holder sends while it lasts.
func (l *Leader) renew(h Holder, now clock.Instant, e *entryInfo) {
	e.renewed = now
	l.book.Renew(h, now, l.terms.SlotLease+e.longest)
}

// reclaim releases the slots of every holder whose lease has provably ended.
func (l *Leader) reclaim(now clock.Instant, cmds []*Command) []*Command {
	for _, h := range l.state.Holders() {
		if l.book.Ended(h, now) {
			l.markReleasing(h)
			cmds = l.appendRelease(h, cmds)
		}
	}
	for h := range l.entries {
		if l.book.Ended(h, now) && len(l.state.holdings[h]) == 0 {
			delete(l.entries, h)
			l.book.Forget(h)
		}
	}
	for h := range l.releasing {
		if l.entries[h] == nil && len(l.state.holdings[h]) == 0 {
			delete(l.releasing, h)
		}
	}
	return cmds
}

// markReleasing decides to take back what the holder holds now, and nothing
// that it may be granted later.
func (l *Leader) markReleasing(h Holder) {
	if len(l.state.holdings[h]) > 0 {
		l.releasing[h] = model.NewEpoch(l.state.generation, l.state.changes)
	}
}

// holdsReleasing reports whether the holder has slots in the table whose
// release was decided and is not applied yet.
func (l *Leader) holdsReleasing(h Holder) bool {
	for _, held := range l.state.holdings[h] {
		if held.Epoch <= l.releasing[h] {
			return true
		}
	}
	return false
}

func (l *Leader) appendRelease(h Holder, cmds []*Command) []*Command {
	return append(cmds, &Command{Release: &Release{Holder: h, UpTo: l.releasing[h]}})
}

func (l *Leader) reply(now clock.Instant, h Holder, stopping bool, out *api.EntryState) {
	if e := l.entries[h]; e != nil {
		l.renew(h, now, e)
	}
	out.SlotsValid = true
	out.SlotLeaseMillis = l.terms.SlotLease.Milliseconds()
	if stopping {
		return
	}
	recall := l.recalls(now, h)
	for _, held := range l.state.Holdings(h) {
		out.Slots = append(out.Slots, l.grantOf(now, &held, recall[held.Server]))
	}
}

func (l *Leader) grantOf(now clock.Instant, held *Holding, recall int) api.SlotGrant {
	server := l.state.servers[held.Server]
	g := api.SlotGrant{
		Server:      held.Server,
		Incarnation: held.Incarnation,
		Addr:        held.Addr,
		Queue:       held.Queue,
		Slots:       held.Slots,
		Epoch:       held.Epoch,
		Recall:      recall,
	}
	if server == nil || server.Incarnation != held.Incarnation || !l.usable(now, server) {
		g.Leaving = true
		g.Recall = held.Slots
	}
	if server != nil {
		g.Connections = max(held.Slots, server.connectionsFor(held.Slots))
	}
	return g
}

// usable reports whether a server gets new work.
func (l *Leader) usable(now clock.Instant, s *Server) bool {
	return !s.Leaving && now.Sub(l.lastHeard(s.ID)) < l.terms.Silence
}

// lastHeard is when the server announced itself; one not heard since this
// leader took over counts as heard then.
func (l *Leader) lastHeard(id model.ServerID) clock.Instant { return max(l.heard[id], l.took) }
