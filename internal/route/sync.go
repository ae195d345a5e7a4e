package route

import (
	"cmp"
	"slices"
	"time"

	"kumquatwing/internal/api"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/model"
)

// PrepareSync sets the demand, the returned slots and the longest deadline of a
// sync. ApplySync must be called once that sync has a response. A sync that gets no
// response needs no further call.
func (p *Pool) PrepareSync(req *api.EntrySync, stopping bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	req.Demand = p.demand()
	if len(p.pendingReturns) == 0 {
		p.pendingReturns = p.takeReturns(stopping)
	}
	req.Returned = p.pendingReturns
	req.LongestMillis = p.longest.announce(time.Now()).Milliseconds()
}

// demand returns the demand of each queue that needs slots, sorted by queue, and
// starts a new measurement of the peak. The caller must hold p.mu.
func (p *Pool) demand() []api.QueueDemand {
	var out []api.QueueDemand
	for name, q := range p.queues {
		n := max(q.peakDemand, q.inUse+q.waiters.len())
		q.peakDemand = q.inUse + q.waiters.len()
		q.reported = n
		if n > 0 {
			out = append(out, api.QueueDemand{Queue: name, Slots: n})
		}
	}
	slices.SortFunc(out, func(a, b api.QueueDemand) int { return cmp.Compare(a.Queue, b.Queue) })
	return out
}

// takeReturns takes idle slots that were recalled, or all idle slots if all is
// set, out of use and returns them as the grants to give back. It lowers the
// connection limits to match. The caller must hold p.mu.
func (p *Pool) takeReturns(all bool) []api.SlotGrant {
	var out []api.SlotGrant
	for _, s := range p.sortedServers() {
		idle := s.grant.Slots - s.returned - s.inUse
		n := min(s.grant.Recall, idle)
		if all {
			n = idle
		}
		if n <= 0 {
			continue
		}
		s.returned += n
		s.conns.setMaxOpen(connectionLimit(s.grant, s.grant.Slots-s.returned))
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

// connectionLimit returns the connections that n slots of a grant may use: a
// proportional part of the grant's connections, but at least n. It is 0 for a
// grant without slots.
func connectionLimit(g api.SlotGrant, n int) int {
	if g.Slots == 0 {
		return 0
	}
	return max(n, g.Connections*n/g.Slots)
}

// sortedServers returns the servers sorted by id and incarnation. The caller must
// hold p.mu.
func (p *Pool) sortedServers() []*server {
	out := make([]*server, 0, len(p.servers))
	for _, s := range p.servers {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b *server) int {
		return cmp.Or(cmp.Compare(a.key.id, b.key.id), cmp.Compare(a.key.incarnation, b.key.incarnation))
	})
	return out
}

// ApplySync applies the response to the newest sync, which was sent at askedAt.
// It must not be called with the response to an earlier sync.
func (p *Pool) ApplySync(askedAt clock.Instant, state *api.EntryState) {
	if !state.SlotsValid {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pendingReturns = nil
	p.longest.acknowledge()
	p.replaceGrants(state.Slots)
	p.slotLease.Expire()
	p.slotLease.Extend(askedAt, time.Duration(state.SlotLeaseMillis)*time.Millisecond)
	for name, q := range p.queues {
		p.dispatch(name, q)
	}
}

// replaceGrants replaces all held slots by grants. The caller must hold p.mu.
func (p *Pool) replaceGrants(grants []api.SlotGrant) {
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
		s.conns.setMaxOpen(g.Connections)
	}
	for key, s := range p.servers {
		if listed[key] {
			continue
		}
		s.grant.Slots, s.grant.Recall, s.returned = 0, 0, 0
		s.grant.Leaving = true
		s.conns.setMaxOpen(0)
		p.removeIfUnused(s)
	}
}

// waitIdle waits until no slot is in use, for at most limit. The slot of an
// aborted exchange stays in use after its request has ended.
func (p *Pool) waitIdle(limit time.Duration) {
	for end := time.Now().Add(limit); p.Load().InUse > 0 && time.Now().Before(end); {
		time.Sleep(idlePollInterval)
	}
}

// idlePollInterval is the interval at which waitIdle checks the slots in use.
const idlePollInterval = 10 * time.Millisecond

// Close refuses every waiting and new request and closes idle connections. Slots
// in use stay in use until they are released.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, q := range p.queues {
		for q.waiters.len() > 0 {
			q.waiters.pop().turn <- turn{refusal: stoppingRefusal()}
		}
	}
	for _, s := range p.servers {
		s.conns.setMaxOpen(0)
	}
}

// Load is a snapshot of what a pool holds and serves. Slots leaves out returned
// slots, and Waiting counts requests that wait for a slot.
type Load struct {
	Servers, Slots, InUse, Waiting, Connections int
}

// Load returns the current load, for metrics.
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
		l.Connections += s.conns.size()
	}
	for _, q := range p.queues {
		l.Waiting += q.waiters.len()
	}
	return l
}

// QueueLoad returns a queue's usable slots, and its requests running or waiting.
func (p *Pool) QueueLoad(name model.QueueName) (held, wanted int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.queue(name)
	return p.heldSlotsLocked(name), q.inUse + q.waiters.len()
}

// longestDeadline limits how far in the future the deadline of a request may be
// when it is sent. The limit is the value announced in the last acknowledged
// sync: if the entry VM falls silent, the group withholds its slots for that long
// after the slot lease.
type longestDeadline struct {
	// current and previous are the longest times to a deadline seen in the
	// current and the previous time window.
	current, previous time.Duration
	windowStart       time.Time
	// announced is the value in the newest sync. acked is the limit: the last
	// acknowledged value, or a lower one announced since.
	announced, acked time.Duration
}

// observe takes a request into account whose deadline is left away. It reports
// whether the request must wait until the group has acknowledged a longer time.
func (l *longestDeadline) observe(now time.Time, left time.Duration) bool {
	l.rotate(now)
	l.current = max(l.current, left)
	return left > l.allowed()
}

// rotate starts a new window if the current one has ended.
func (l *longestDeadline) rotate(now time.Time) {
	if now.Sub(l.windowStart) < deadlineWindow {
		return
	}
	l.previous, l.current = l.current, 0
	l.windowStart = now
}

// announce returns the value for the next sync, rounded up to whole seconds so
// that it seldom changes. A lower value applies at once, a higher one only when
// the sync is acknowledged.
func (l *longestDeadline) announce(now time.Time) time.Duration {
	l.rotate(now)
	longest := max(l.current, l.previous)
	l.announced = (longest + time.Second - 1).Truncate(time.Second)
	l.acked = min(l.acked, l.announced)
	return l.announced
}

// acknowledge makes the value in the newest sync the limit.
func (l *longestDeadline) acknowledge() { l.acked = l.announced }

// allowed returns the longest time to its deadline that a request may have when
// it is sent.
func (l *longestDeadline) allowed() time.Duration { return l.acked }
