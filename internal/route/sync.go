package route

import (
	"cmp"
	"slices"
	"time"

	"kumquatwing/internal/api"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/model"
)

// FillSync writes demand, returns and the longest deadline into a sync. It
// must be followed by Synced once that sync is answered; a sync without an
// answer needs nothing.
func (p *Pool) FillSync(req *api.EntrySync, stopping bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	req.Demand = p.demand()
	if len(p.pending) == 0 {
		p.pending = p.takeReturns(stopping)
	}
	req.Returned = p.pending
	req.LongestMillis = p.longest.send(time.Now()).Milliseconds()
}

// demand lists the queues in which slots are wanted, sorted.
func (p *Pool) demand() []api.QueueDemand {
	var out []api.QueueDemand
	for name, q := range p.queues {
		n := max(q.peak, q.inUse+q.fair.len())
		q.peak = q.inUse + q.fair.len()
		q.told = n
		if n > 0 {
			out = append(out, api.QueueDemand{Queue: name, Slots: n})
		}
	}
	slices.SortFunc(out, func(a, b api.QueueDemand) int { return cmp.Compare(a.Queue, b.Queue) })
	return out
}

// takeReturns stops using slots that are free and asked back, and closes the
// connections that went with them.
func (p *Pool) takeReturns(all bool) []api.SlotGrant {
	var out []api.SlotGrant
	for _, s := range p.sorted() {
		idle := s.grant.Slots - s.returned - s.inUse
		n := min(s.grant.Recall, idle)
		if all {
			n = idle
		}
		if n <= 0 {
			continue
		}
		s.returned += n
		s.conns.setLimit(connectionsFor(s.grant, s.grant.Slots-s.returned))
		out = append(out, api.SlotGrant{
			Server:      s.key.id,
			Incarnation: s.key.incarnation,
			Queue:       s.grant.Queue,
			Slots:       n,
			Epoch:       s.grant.Epoch,
		})
	}
	return out
}

// connectionsFor is the part of a grant's connections that goes with n slots.
func connectionsFor(g api.SlotGrant, n int) int {
	if g.Slots == 0 {
		return 0
	}
	return max(n, g.Connections*n/g.Slots)
}

func (p *Pool) sorted() []*server {
	out := make([]*server, 0, len(p.servers))
	for _, s := range p.servers {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b *server) int {
		return cmp.Or(cmp.Compare(a.key.id, b.key.id), cmp.Compare(a.key.incarnation, b.key.incarnation))
	})
	return out
}

// Synced takes in the answer to the newest sync, which was sent at askedAt.
// Answers to earlier syncs must not be passed in.
func (p *Pool) Synced(askedAt clock.Instant, state *api.EntryState) {
	if !state.SlotsValid {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending = nil
	p.longest.acknowledged()
	p.replace(state.Slots)
	p.lease.Drop()
	p.lease.Extend(askedAt, time.Duration(state.SlotLeaseMillis)*time.Millisecond)
	for name, q := range p.queues {
		p.dispatch(name, q)
	}
}

// replace makes grants all that is held.
func (p *Pool) replace(grants []api.SlotGrant) {
	listed := map[serverKey]bool{}
	for _, g := range grants {
		key := serverKey{g.Server, g.Incarnation}
		listed[key] = true
		s := p.servers[key]
		if s == nil {
			s = &server{key: key, conns: newConnPool(g.Addr, p.dial)}
			p.servers[key] = s
		}
		s.grant = g
		s.returned = 0
		s.conns.setLimit(g.Connections)
	}
	for key, s := range p.servers {
		if listed[key] {
			continue
		}
		s.grant.Slots, s.grant.Recall, s.returned = 0, 0, 0
		s.grant.Leaving = true
		s.conns.setLimit(0)
		p.forgetUnused(s)
	}
}

// drained waits until no slot is in use, up to limit. A slot outlasts its
// request when the exchange was broken off.
func (p *Pool) drained(limit time.Duration) {
	for end := time.Now().Add(limit); p.Load().InUse > 0 && time.Now().Before(end); {
		time.Sleep(drainPause)
	}
}

// drainPause is the pause between two looks at the slots in use.
const drainPause = 10 * time.Millisecond

// Close refuses every waiting request and closes idle connections. Slots in
// use stay so until they are released.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, q := range p.queues {
		for q.fair.len() > 0 {
			q.fair.pop().slot <- nil
		}
	}
	for _, s := range p.servers {
		s.conns.setLimit(0)
	}
}

// Load is what a pool holds and carries at one moment.
type Load struct {
	Servers, Slots, InUse, Waiting, Connections int
}

// Load returns the present load, for metrics.
func (p *Pool) Load() Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	var l Load
	for _, s := range p.servers {
		if s.grant.Slots > 0 {
			l.Servers++
		}
		l.Slots += s.grant.Slots - s.returned
		l.InUse += s.inUse
		l.Connections += s.conns.opened()
	}
	for _, q := range p.queues {
		l.Waiting += q.fair.len()
	}
	return l
}

// QueueLoad is the number of slots held, and of requests running or waiting.
func (p *Pool) QueueLoad(name model.QueueName) (held, wanted int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.queue(name)
	return p.held(name), q.inUse + q.fair.len()
}

// longestDeadline bounds the time left of the requests that may be sent. What
// the group was told in the last sync limits them, since it keeps the slots of
// a silent entry VM back for that long.
type longestDeadline struct {
	// current and previous are the longest wanted in two windows of time.
	current, previous time.Duration
	started           time.Time
	// sent is in a sync on its way, acked was in the last answered one.
	sent, acked time.Duration
}

// note takes in a request; it reports whether the group must be told first.
func (l *longestDeadline) note(now time.Time, left time.Duration) bool {
	l.turn(now)
	l.current = max(l.current, left)
	return left > l.allowed()
}

// turn starts a new window when the present one is over.
func (l *longestDeadline) turn(now time.Time) {
	if now.Sub(l.started) < longestWindow {
		return
	}
	l.previous, l.current = l.current, 0
	l.started = now
}

// send returns what the next sync tells, rounded up to whole seconds so that
// it seldom changes.
func (l *longestDeadline) send(now time.Time) time.Duration {
	l.turn(now)
	longest := max(l.current, l.previous)
	l.sent = (longest + time.Second - 1).Truncate(time.Second)
	l.acked = min(l.acked, l.sent)
	return l.sent
}

func (l *longestDeadline) acknowledged() { l.acked = l.sent }

// allowed is the longest time left of a request that may be sent.
func (l *longestDeadline) allowed() time.Duration { return l.acked }
