package slots

import (
	"cmp"
	"slices"

	"kumquatwing/internal/clock"
	"kumquatwing/internal/model"
)

// claim is the demand, the current slots and the target of one entry VM for a
// queue.
type claim struct {
	holder Holder
	// demand is the number of slots that the entry VM could use, held the
	// number that it has on usable servers.
	demand, held int
	// target is the number of slots that the entry VM should have.
	target int
}

// claims computes the target of every live entry VM for one queue. Demand is
// met by max-min fairness. The remaining slots are spread evenly, so that an
// entry VM has a free slot when its next request arrives.
func (l *Leader) claims(now clock.Instant, queue model.QueueName) []claim {
	var all []claim
	for h, e := range l.holders {
		if e.stopping || l.leases.Expired(h, now) {
			continue
		}
		all = append(all, claim{holder: h, demand: e.demand[queue], held: l.usableHeld(now, h, queue)})
	}
	slices.SortFunc(all, func(a, b claim) int { return compareHolders(a.holder, b.holder) })
	remaining := raiseTargets(all, l.usableSlots(now, queue), func(c *claim) int { return c.demand - c.target })
	raiseTargets(all, remaining, func(*claim) int { return remaining })
	return all
}

// raiseTargets raises targets by max-min fairness: it adds one slot at a time
// to the claim with the lowest target for which unmet is positive. It returns
// the number of slots left. Source: Bertsekas and Gallager, "Data Networks",
// section 6.5.2.
func raiseTargets(all []claim, slots int, unmet func(*claim) int) int {
	for ; slots > 0; slots-- {
		var lowest *claim
		for i := range all {
			c := &all[i]
			if unmet(c) > 0 && (lowest == nil || c.target < lowest.target) {
				lowest = c
			}
		}
		if lowest == nil {
			return slots
		}
		lowest.target++
	}
	return 0
}

// usableSlots returns the number of slots of the queue's usable servers.
func (l *Leader) usableSlots(now clock.Instant, queue model.QueueName) int {
	n := 0
	for _, s := range l.state.servers {
		if s.Queue == queue && l.usable(now, s) {
			n += s.capacity()
		}
	}
	return n
}

// usableHeld returns the number of slots that a holder has on the queue's
// usable servers.
func (l *Leader) usableHeld(now clock.Instant, h Holder, queue model.QueueName) int {
	n := 0
	for _, held := range l.state.grants[h] {
		s := l.state.servers[held.Server]
		if s != nil && s.Queue == queue && s.Incarnation == held.Incarnation && l.usable(now, s) {
			n += held.Slots
		}
	}
	return n
}

// appendGrants appends a command that grants the holder the slots missing to
// its targets. If other holders got these slots meanwhile, State grants only
// what is still free. released is set if the holder's present slots are being
// released by an earlier command.
func (l *Leader) appendGrants(now clock.Instant, h Holder, released bool, cmds []*Command) []*Command {
	g := &GrantCmd{Holder: h}
	for _, queue := range l.queues(now) {
		for _, c := range l.claims(now, queue) {
			if c.holder != h {
				continue
			}
			if released {
				c.held = 0
			}
			g.Items = l.appendGrantItems(now, h, queue, c.target-c.held, released, g.Items)
		}
	}
	if len(g.Items) == 0 {
		return cmds
	}
	return append(cmds, &Command{Grant: g})
}

// queues returns the queues of usable servers, sorted.
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

// candidate is a server with the number of its free slots and of the slots to
// grant.
type candidate struct {
	server *Server
	free   int
	taken  int
}

// appendGrantItems picks n slots one at a time, each from the server with the
// most free slots, so that a holder's slots are spread over many servers. It
// appends an item for each server picked.
func (l *Leader) appendGrantItems(now clock.Instant, h Holder, queue model.QueueName, n int, released bool, items []GrantItem) []GrantItem {
	candidates := l.candidates(now, h, queue, released)
	for ; n > 0; n-- {
		var best *candidate
		for i := range candidates {
			c := &candidates[i]
			if c.free > 0 && (best == nil || c.free > best.free) {
				best = c
			}
		}
		if best == nil {
			break
		}
		best.free--
		best.taken++
	}
	for _, c := range candidates {
		if c.taken > 0 {
			items = append(items, GrantItem{Server: c.server.ID, Incarnation: c.server.Incarnation, Slots: c.taken})
		}
	}
	return items
}

// candidates returns the queue's usable servers with their free slots, sorted
// by server. If released is set, the holder's own slots count as free;
// otherwise servers are left out if the holder still has slots of an earlier
// incarnation.
func (l *Leader) candidates(now clock.Instant, h Holder, queue model.QueueName, released bool) []candidate {
	var out []candidate
	for _, s := range l.state.servers {
		if s.Queue != queue || !l.usable(now, s) {
			continue
		}
		free := l.state.free(s)
		held := l.state.grants[h][s.ID]
		if held != nil && released {
			free += held.Slots
		}
		if held != nil && !released && held.Incarnation != s.Incarnation {
			continue
		}
		out = append(out, candidate{server: s, free: free})
	}
	slices.SortFunc(out, func(a, b candidate) int { return cmp.Compare(a.server.ID, b.server.ID) })
	return out
}

// recalls returns how many slots of each server the holder should return: those
// above its targets, as far as other entry VMs are short of slots.
func (l *Leader) recalls(now clock.Instant, h Holder) map[model.ServerID]int {
	out := map[model.ServerID]int{}
	for _, queue := range l.queues(now) {
		l.addRecalls(now, h, queue, out)
	}
	return out
}

// addRecalls adds the recalls of one queue to out.
func (l *Leader) addRecalls(now clock.Instant, h Holder, queue model.QueueName, out map[model.ServerID]int) {
	excess, missing := 0, 0
	for _, c := range l.claims(now, queue) {
		if c.holder == h {
			excess = c.held - c.target
		} else {
			missing += shortfall(c)
		}
	}
	free := 0
	for _, cand := range l.candidates(now, h, queue, false) {
		free += max(0, cand.free)
	}
	n := min(excess, missing-free)
	l.spreadRecall(now, h, queue, n, out)
}

// shortfall returns how many slots other holders should return for c: those
// missing to the smaller of its demand and target, or a first slot if its
// target is positive.
func shortfall(c claim) int {
	need := min(c.demand, c.target)
	if c.target > 0 {
		need = max(need, 1)
	}
	return max(0, need-c.held)
}

// spreadRecall recalls n slots one at a time, each from the server on which the
// holder keeps the most.
func (l *Leader) spreadRecall(now clock.Instant, h Holder, queue model.QueueName, n int, out map[model.ServerID]int) {
	held := l.state.sortedGrants(h)
	for ; n > 0; n-- {
		var most *Grant
		for _, g := range held {
			s := l.state.servers[g.Server]
			if s == nil || s.Queue != queue || g.Slots <= out[g.Server] {
				continue
			}
			if most == nil || g.Slots-out[g.Server] > most.Slots-out[most.Server] {
				most = g
			}
		}
		if most == nil {
			return
		}
		out[most.Server]++
	}
}
