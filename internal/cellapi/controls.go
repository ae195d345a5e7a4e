package cellapi

import "slices"

// control is what a client knows about one control process.
type control struct {
	addr string
	// down is set if the process has not answered a call or a ping since it last
	// answered one. No call is sent to it: one that gets no answer may have run.
	down bool
	// suspect is set if a call has waited long for an answer of the process, until the
	// next answer. No further call is sent to it meanwhile.
	suspect bool
	// knowsLeader is set if the process named a leader in its last answer, and so
	// can forward calls.
	knowsLeader bool
	// pinging is set while a ping is on its way.
	pinging bool
}

// usable reports whether calls may be sent to the process.
func (c *control) usable() bool { return !c.down && !c.suspect }

// controlTable lists the control processes of a cell and its leader.
type controlTable struct {
	// seeds are the addresses in the settings, and controls the processes at these and
	// at the addresses that the leader listed last.
	seeds    []string
	controls []control
	// leader is the address of the leader, "" if it is not known, and term the term
	// in which it leads.
	leader string
	term   uint64
	// changed is closed when the target of calls may have changed.
	changed chan struct{}
}

func newControlTable(seeds []string) controlTable {
	t := controlTable{changed: make(chan struct{})}
	t.addSeeds(seeds)
	return t
}

func (t *controlTable) find(addr string) *control {
	i := slices.IndexFunc(t.controls, func(c control) bool { return c.addr == addr })
	if i < 0 {
		return nil
	}
	return &t.controls[i]
}

// add adds the processes at the addresses that are not listed yet.
func (t *controlTable) add(addrs []string) {
	for _, a := range addrs {
		if t.find(a) == nil {
			t.controls = append(t.controls, control{addr: a})
		}
	}
}

// addSeeds adds the processes at the addresses in the settings.
func (t *controlTable) addSeeds(seeds []string) {
	t.seeds = append(t.seeds, seeds...)
	t.add(seeds)
}

// retain makes the given addresses and the seeds those of all control processes.
func (t *controlTable) retain(addrs []string) {
	t.add(addrs)
	t.controls = slices.DeleteFunc(t.controls, func(c control) bool {
		return !slices.Contains(addrs, c.addr) && !slices.Contains(t.seeds, c.addr) && c.addr != t.leader
	})
}

// startPings returns the addresses of the processes that have no ping on its way, and
// marks them as having one.
func (t *controlTable) startPings() []string {
	var out []string
	for i := range t.controls {
		if c := &t.controls[i]; !c.pinging {
			c.pinging = true
			out = append(out, c.addr)
		}
	}
	return out
}

// endPing records that the ping of a process has ended.
func (t *controlTable) endPing(addr string) {
	if c := t.find(addr); c != nil {
		c.pinging = false
	}
}

// notify wakes those who wait for another target.
func (t *controlTable) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// answered records an answer of a control process that names the leader in term, ""
// if it knows none. An answer of an earlier term than the known leader's changes only
// what is known of the process itself.
func (t *controlTable) answered(addr, leader string, term uint64) {
	t.add([]string{addr})
	c := t.find(addr)
	before, wasUsable := t.target(), c.usable()
	c.down, c.suspect, c.knowsLeader = false, false, leader != ""
	if leader != "" && term >= t.term {
		t.add([]string{leader})
		t.leader, t.term = leader, term
	}
	if t.target() != before || !wasUsable {
		t.notify()
	}
}

// suspect records that a control process has not answered a call for long.
func (t *controlTable) suspect(addr string) {
	if c := t.find(addr); c != nil {
		c.suspect = true
	}
	t.forgetForwarders()
}

// forgetForwarders makes processes prove again that they reach the leader before calls
// are sent through them: what made one unreachable may have cut off others.
func (t *controlTable) forgetForwarders() {
	for i := range t.controls {
		t.controls[i].knowsLeader = false
	}
}

// silent records that a control process has not answered.
func (t *controlTable) silent(addr string) {
	c := t.find(addr)
	if c == nil || c.down {
		return
	}
	c.down, c.knowsLeader = true, false
	if addr == t.leader {
		t.forgetForwarders()
	}
	t.notify()
}

// notLeading records that the process at addr does not lead.
func (t *controlTable) notLeading(addr string) {
	if t.leader == addr {
		t.leader = ""
		t.notify()
	}
}

// target returns the address to which calls are sent: the leader's or, if it does not
// answer, that of a process that can forward them to it. It returns "" if there is
// neither, or if it is not known yet whether the leader answers.
func (t *controlTable) target() string {
	leader := t.find(t.leader)
	if leader != nil && leader.usable() {
		return t.leader
	}
	if leader != nil && !leader.down {
		return ""
	}
	for i := range t.controls {
		if c := &t.controls[i]; c.usable() && c.knowsLeader {
			return c.addr
		}
	}
	return ""
}

// direct reports whether calls are sent to the leader itself.
func (t *controlTable) direct() bool { return t.leader != "" && t.target() == t.leader }

// allDown reports whether no control process answers.
func (t *controlTable) allDown() bool {
	return len(t.controls) > 0 && !slices.ContainsFunc(t.controls, func(c control) bool { return !c.down })
}
