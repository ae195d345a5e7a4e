package slots

import (
	"cmp"
	"slices"

	"kumquatwing/internal/clock"
	"kumquatwing/internal/model"
)

// claim is one entry VM's part in sharing out the slots of a queue.
type claim struct {
	holder Holder
	// demand is what it could use, held what it has on usable servers.
	demand, held int
	// target is what it should have.
	target int
}

// claims computes every live entry VM's target for one queue: demand is met by
// max-min fairness, and what is left over is spread evenly, so that an entry
// VM has a slot at hand when the next request comes.
func (l *Leader) claims(now clock.Instant, queue model.QueueName) []claim {
	var all []claim
	for h, e := range l.entries {
		if e.stopping || l.book.Ended(h, now) {
			continue
		}
		all = append(all, claim{holder: h, demand: e.demand[queue], held: l.heldBy(now, h, queue)})
	}
	slices.SortFunc(all, func(a, b claim) int { return compareHolders(a.holder, b.holder) })
	rest := fill(all, l.offered(now, queue), func(c *claim) int { return c.demand - c.target })
	fill(all, rest, func(*claim) int { return rest })
	return all
}

// fill raises targets by max-min fairness: it hands out one slot at a time to
// the claim with the lowest target that still wants one, and returns what is
// left. Source: Bertsekas and Gallager, "Data Networks", section 6.5.2.
func fill(all []claim, room int, wants func(*claim) int) int {
	for ; room > 0; room-- {
		var lowest *claim
		for i := range all {
			c := &all[i]
			if wants(c) > 0 && (lowest == nil || c.target < lowest.target) {
				lowest = c
			}
		}
		if lowest == nil {
			return room
		}
		lowest.target++
	}
	return 0
}

// offered is the number of slots of the queue's usable servers.
func (l *Leader) offered(now clock.Instant, queue model.QueueName) int {
	n := 0
	for _, s := range l.state.servers {
		if s.Queue == queue && l.usable(now, s) {
			n += s.capacity()
		}
	}
	return n
}

// heldBy counts the slots that a holder has on usable servers of a queue.
func (l *Leader) heldBy(now clock.Instant, h Holder, queue model.QueueName) int {
	n := 0
	for _, held := range l.state.holdings[h] {
		s := l.state.servers[held.Server]
		if s != nil && s.Queue == queue && s.Incarnation == held.Incarnation && l.usable(now, s) {
			n += held.Slots
		}
	}
	return n
}

// appendGrants lends the holder what it is short of. The table clips what was
// lent to others meanwhile. fresh says that what it held is being released.
func (l *Leader) appendGrants(now clock.Instant, h Holder, fresh bool, cmds []*Command) []*Command {
	g := &GrantCmd{Holder: h}
	for _, queue := range l.queues(now) {
		for _, c := range l.claims(now, queue) {
			if c.holder != h {
				continue
			}
			if fresh {
				c.held = 0
			}
			g.Items = l.pick(now, h, queue, c.target-c.held, fresh, g.Items)
		}
	}
	if len(g.Items) == 0 {
		return cmds
	}
	return append(cmds, &Command{Grant: g})
}

// queues lists the queues of usable servers, sorted.
func (l *Leader) queues(now clock.Instant) []model.QueueName {
	var out []model.QueueName
	for _, s := range l.state.servers {
		if l.usable(now, s) {
			out = append(out, s.Queue)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// offer is what a server can still lend.
type offer struct {
	server *Server
	free   int
	taken  int
}

// pick takes n slots from the servers with the most free ones, one at a time,
// so that a holder's slots lie on many servers.
func (l *Leader) pick(now clock.Instant, h Holder, queue model.QueueName, n int, fresh bool, items []GrantItem) []GrantItem {
	offers := l.offers(now, h, queue, fresh)
	for ; n > 0; n-- {
		var best *offer
		for i := range offers {
			o := &offers[i]
			if o.free > 0 && (best == nil || o.free > best.free) {
				best = o
			}
		}
		if best == nil {
			break
		}
		best.free--
		best.taken++
	}
	for _, o := range offers {
		if o.taken > 0 {
			items = append(items, GrantItem{Server: o.server.ID, Incarnation: o.server.Incarnation, Slots: o.taken})
		}
	}
	return items
}

// offers lists the free slots of a queue's usable servers, sorted by server.
func (l *Leader) offers(now clock.Instant, h Holder, queue model.QueueName, fresh bool) []offer {
	var out []offer
	for _, s := range l.state.servers {
		if s.Queue != queue || !l.usable(now, s) {
			continue
		}
		free := l.state.free(s)
		held := l.state.holdings[h][s.ID]
		if held != nil && fresh {
			free += held.Slots
		}
		if held != nil && !fresh && held.Incarnation != s.Incarnation {
			continue
		}
		out = append(out, offer{server: s, free: free})
	}
	slices.SortFunc(out, func(a, b offer) int { return cmp.Compare(a.server.ID, b.server.ID) })
	return out
}

// recalls says which slots the holder should return: those over its target,
// as far as another entry VM is short of them.
func (l *Leader) recalls(now clock.Instant, h Holder) map[model.ServerID]int {
	out := map[model.ServerID]int{}
	for _, queue := range l.queues(now) {
		l.recall(now, h, queue, out)
	}
	return out
}

func (l *Leader) recall(now clock.Instant, h Holder, queue model.QueueName, out map[model.ServerID]int) {
	over, short := 0, 0
	for _, c := range l.claims(now, queue) {
		if c.holder == h {
			over = c.held - c.target
		} else {
			short += shortOf(c)
		}
	}
	free := 0
	for _, o := range l.offers(now, h, queue, false) {
		free += max(0, o.free)
	}
	n := min(over, short-free)
	l.spreadRecall(now, h, queue, n, out)
}

// shortOf is how many slots others should give up for c: what it needs and is
// due, or a first one.
func shortOf(c claim) int {
	need := min(c.demand, c.target)
	if c.target > 0 {
		need = max(need, 1)
	}
	return max(0, need-c.held)
}

// spreadRecall takes n slots from the holder's largest holdings, one at a time.
func (l *Leader) spreadRecall(now clock.Instant, h Holder, queue model.QueueName, n int, out map[model.ServerID]int) {
	held := l.state.sortedHoldings(h)
	for ; n > 0; n-- {
		var most *Holding
		for _, o := range held {
			s := l.state.servers[o.Server]
			if s == nil || s.Queue != queue || o.Slots <= out[o.Server] {
				continue
			}
			if most == nil || o.Slots-out[o.Server] > most.Slots-out[most.Server] {
				most = o
			}
		}
		if most == nil {
			return
		}
		out[most.Server]++
	}
}
