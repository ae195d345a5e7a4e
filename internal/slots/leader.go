package slots

import (
	"time"

	"kumquatwing/internal/api"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/lease"
	"kumquatwing/internal/model"
)

const (
	// removeAfter is how long after its last announcement a server without
	// granted slots is removed from the state.
	removeAfter = time.Minute
	// DefaultSlotLease is the SlotLease in force until SetSettings is called.
	DefaultSlotLease = 2 * time.Second
	// DefaultMargin is the default margin added to a lease for clock drift.
	DefaultMargin = 250 * time.Millisecond
	// DefaultServerTimeout is the ServerTimeout in force until SetSettings
	// is called.
	DefaultServerTimeout = 2 * time.Second
	// maxServers is the maximum number of servers; announcements of further
	// ones are ignored.
	maxServers = 4096
)

// Settings configure a Leader.
type Settings struct {
	// SlotLease is how long an entry VM may use its slots without renewal.
	SlotLease time.Duration
	// ServerTimeout is how long after its last announcement a server counts
	// as reachable.
	ServerTimeout time.Duration
}

// Leader holds what only the group's leader knows: when each holder renewed its
// lease, when each server last announced itself, and the demand of each entry
// VM. None of it is replicated; a new leader starts with TakeOver. Leader is
// not safe for concurrent use, and its methods read the State: the caller must
// prevent changes of the State during a call.
type Leader struct {
	state    *State
	settings Settings
	// margin is added to each lease for clock drift.
	margin time.Duration
	leases *lease.Grantor[Holder]
	term   uint64
	// tookOverAt is when this leader took over. grantsAllowedAt is when all
	// leases that a lost predecessor of the group may have granted have ended.
	tookOverAt, grantsAllowedAt clock.Instant
	announcedAt                 map[model.ServerID]clock.Instant
	holders                     map[Holder]*holderState
	// releasing is, per holder, the newest epoch of the grants whose release
	// was decided. The command may be committed late, so none of these grants
	// may be reported to the holder again.
	releasing map[Holder]model.Epoch
}

// holderState is what this leader knows about a holder since it took over.
type holderState struct {
	// renewedAt is when the lease was last renewed.
	renewedAt clock.Instant
	demand    map[model.QueueName]int
	// maxRequestTime bounds the remaining time of any request that the entry VM
	// sends before its next sync is answered.
	maxRequestTime time.Duration
	stopping       bool
}

// NewLeader returns a Leader for state. margin is added to each lease for clock
// drift. TakeOver must be called whenever this member becomes the leader.
func NewLeader(state *State, margin time.Duration) *Leader {
	return &Leader{
		state:       state,
		settings:    Settings{SlotLease: DefaultSlotLease, ServerTimeout: DefaultServerTimeout},
		margin:      margin,
		leases:      lease.NewGrantor[Holder](margin),
		announcedAt: map[model.ServerID]clock.Instant{},
		holders:     map[Holder]*holderState{},

		releasing: map[Holder]model.Epoch{},
	}
}

// SetSettings changes the settings for leases granted from now on.
func (l *Leader) SetSettings(s Settings) { l.settings = s }

// TakeOver starts this member's leadership in a term of the group. longest is
// the longest time for which an entry VM may still use slots granted by a
// predecessor: a slot lease, followed by the remaining time of the requests
// sent under it.
func (l *Leader) TakeOver(now clock.Instant, term uint64, longest time.Duration) {
	l.term = term
	l.leases.TakeOver(now, longest)
	l.tookOverAt = now
	l.grantsAllowedAt = now.Add(longest + l.margin)
	clear(l.announcedAt)
	clear(l.holders)
	clear(l.releasing)
}

// Reply fills in the reply to a sync. It must be called after the commands of
// that sync are committed and applied, while this member is the leader with a
// valid leader lease. now is read just before.
type Reply func(now clock.Instant, out *api.EntryState)

// Sync processes a sync of an entry VM. It returns the commands to propose, in
// order, and the function that fills in the reply. Nothing is reported to the
// entry VM before it is committed. A sync that arrives after the same process has
// said that it is stopping was delayed, and gets no slots.
func (l *Leader) Sync(now clock.Instant, req *api.EntrySync) ([]*Command, Reply) {
	h := Holder{req.Entry, req.Incarnation}
	cmds := l.termCommands(now)
	cmds = l.appendAnnouncements(now, req.Announcements, cmds)
	cmds = l.appendReturn(h, req, cmds)
	stopping := req.Stopping || l.isStopping(h)
	if l.leases.Expired(h, now) || stopping {
		l.markReleasing(h)
	}
	lapsed := l.hasReleasing(h)
	if lapsed {
		cmds = l.appendRelease(h, cmds)
	}
	l.recordSync(now, h, req)
	cmds = l.reclaim(now, cmds)
	if !stopping {
		cmds = l.appendGrants(now, h, lapsed, cmds)
	}
	return l.setTerm(cmds), func(now clock.Instant, out *api.EntryState) { l.reply(now, h, stopping, out) }
}

// isStopping reports whether the holder has said that it is stopping.
func (l *Leader) isStopping(h Holder) bool {
	e := l.holders[h]
	return e != nil && e.stopping
}

// Tick returns the commands that become due with the passage of time: slots of
// holders whose leases have ended are released, and servers without recent
// announcements are removed. It must be called several times per second.
func (l *Leader) Tick(now clock.Instant) []*Command {
	cmds := l.termCommands(now)
	cmds = l.reclaim(now, cmds)
	for _, s := range l.state.Servers() {
		if now.Sub(l.lastAnnounced(s.ID)) > removeAfter && l.state.Granted(s.ID) == 0 {
			delete(l.announcedAt, s.ID)
			cmds = append(cmds, &Command{RemoveServer: &RemoveServer{Server: s.ID}})
		}
	}
	return l.setTerm(cmds)
}

// setTerm sets the leader's term in its commands.
func (l *Leader) setTerm(cmds []*Command) []*Command {
	for _, c := range cmds {
		c.Term = l.term
	}
	return cmds
}

// termCommands returns BeginTerm in a new term, which fences commands of
// earlier leaders, and AllowGrants in a new group once every lease that a lost
// predecessor may have granted has ended.
func (l *Leader) termCommands(now clock.Instant) []*Command {
	var cmds []*Command
	if l.state.term != l.term {
		cmds = append(cmds, &Command{BeginTerm: &BeginTerm{}})
	}
	if !l.state.GrantsAllowed() && !now.Before(l.grantsAllowedAt) {
		cmds = append(cmds, &Command{AllowGrants: &AllowGrants{}})
	}
	return cmds
}

// appendAnnouncements records when servers announced themselves and appends a
// command for each announcement that changes the state.
func (l *Leader) appendAnnouncements(now clock.Instant, all []api.Announcement, cmds []*Command) []*Command {
	for i := range all {
		a := &all[i]
		old := l.state.servers[a.Server]
		if old == nil && len(l.state.servers) >= maxServers {
			continue
		}
		if old != nil && a.Incarnation == old.Previous {
			continue
		}
		l.announcedAt[a.Server] = now
		next := newServer(a)
		if old != nil && sameAnnounced(old, next) {
			continue
		}
		cmds = append(cmds, &Command{Announce: next})
	}
	return cmds
}

// newServer returns the server that an announcement describes.
func newServer(a *api.Announcement) *Server {
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

// sameAnnounced reports whether an announcement changes nothing in the state.
func sameAnnounced(old, next *Server) bool {
	a, b := *old, *next
	a.Previous, b.Previous = "", ""
	return a == b
}

// appendReturn appends a command that gives back the slots returned by a sync.
func (l *Leader) appendReturn(h Holder, req *api.EntrySync, cmds []*Command) []*Command {
	if len(req.Returned) == 0 {
		return cmds
	}
	r := &Return{Holder: h}
	for _, g := range req.Returned {
		r.Items = append(r.Items, ReturnItem{Server: g.Server, Slots: g.Slots, Epoch: g.Epoch})
	}
	return append(cmds, &Command{Return: r})
}

// recordSync records the holder's demand and renews its lease. The renewal
// precedes the grants of this sync, so that they are not reclaimed before the
// holder learns of them.
func (l *Leader) recordSync(now clock.Instant, h Holder, req *api.EntrySync) {
	e := l.holders[h]
	if e == nil {
		e = &holderState{}
		l.holders[h] = e
		l.shortenOlderLeases(h)
	}
	e.stopping = e.stopping || req.Stopping
	e.maxRequestTime = time.Duration(max(0, req.LongestMillis)) * time.Millisecond
	e.demand = map[model.QueueName]int{}
	for _, d := range req.Demand {
		e.demand[d.Queue] += max(0, d.Slots)
	}
	l.renew(h, now, e)
}

// shortenOlderLeases shortens the leases of earlier incarnations of the same
// kqentry process to the slot lease. Such a process has died and its
// connections with it, so that none of its requests outlasts the slot lease.
func (l *Leader) shortenOlderLeases(h Holder) {
	for old, e := range l.holders {
		if old.Entry == h.Entry && old != h && e.maxRequestTime > 0 {
			e.maxRequestTime = 0
			l.leases.Remove(old)
			l.leases.Renew(old, e.renewedAt, l.settings.SlotLease)
		}
	}
}

// renew extends the holder's lease. The leader counts the slot lease and, after
// it, the remaining time of the requests that the holder sends under it.
func (l *Leader) renew(h Holder, now clock.Instant, e *holderState) {
	e.renewedAt = now
	l.leases.Renew(h, now, l.settings.SlotLease+e.maxRequestTime)
}

// reclaim appends a release of the slots of every holder whose lease has
// provably ended, and deletes entries of such holders that have no grants left.
func (l *Leader) reclaim(now clock.Instant, cmds []*Command) []*Command {
	for _, h := range l.state.Holders() {
		if l.leases.Expired(h, now) {
			l.markReleasing(h)
			cmds = l.appendRelease(h, cmds)
		}
	}
	for h := range l.holders {
		if l.leases.Expired(h, now) && len(l.state.grants[h]) == 0 {
			delete(l.holders, h)
			l.leases.Remove(h)
		}
	}
	for h := range l.releasing {
		if l.holders[h] == nil && len(l.state.grants[h]) == 0 {
			delete(l.releasing, h)
		}
	}
	return cmds
}

// markReleasing decides to release the grants that the holder has now, but none
// that it may get later.
func (l *Leader) markReleasing(h Holder) {
	if len(l.state.grants[h]) > 0 {
		l.releasing[h] = model.NewEpoch(l.state.generation, l.state.changes)
	}
}

// hasReleasing reports whether the holder has a grant whose release was decided
// and is not applied yet.
func (l *Leader) hasReleasing(h Holder) bool {
	for _, held := range l.state.grants[h] {
		if held.Epoch <= l.releasing[h] {
			return true
		}
	}
	return false
}

// appendRelease appends a release of the holder's grants up to its epoch in
// releasing.
func (l *Leader) appendRelease(h Holder, cmds []*Command) []*Command {
	return append(cmds, &Command{Release: &Release{Holder: h, UpTo: l.releasing[h]}})
}

// reply renews the holder's lease and fills in its grants and recalls.
func (l *Leader) reply(now clock.Instant, h Holder, stopping bool, out *api.EntryState) {
	if e := l.holders[h]; e != nil {
		l.renew(h, now, e)
	}
	out.SlotsValid = true
	out.SlotLeaseMillis = l.settings.SlotLease.Milliseconds()
	if stopping {
		return
	}
	recall := l.recalls(now, h)
	for _, held := range l.state.Grants(h) {
		out.Slots = append(out.Slots, l.slotGrant(now, &held, recall[held.Server]))
	}
}

// slotGrant returns the form of a grant that is sent to the holder. If the
// server is not usable, or its incarnation has changed, all slots of the grant
// are recalled.
func (l *Leader) slotGrant(now clock.Instant, held *Grant, recall int) api.SlotGrant {
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

// usable reports whether a server's slots may be granted: it is not about to
// shut down and has announced itself recently.
func (l *Leader) usable(now clock.Instant, s *Server) bool {
	return !s.Leaving && now.Sub(l.lastAnnounced(s.ID)) < l.settings.ServerTimeout
}

// lastAnnounced returns when the server last announced itself, or when this
// leader took over if that is later.
func (l *Leader) lastAnnounced(id model.ServerID) clock.Instant {
	return max(l.announcedAt[id], l.tookOverAt)
}
