package replica

import (
	"time"
)

// simFault is one kind of fault, which happens about once in every steps.
type simFault struct {
	every  int
	strike func(s *sim, m *simMember)
}

// inject lets faults happen.
func (s *sim) inject() {
	for _, f := range s.opts.faults {
		if s.rng.IntN(f.every) == 0 {
			f.strike(s, s.members[s.rng.IntN(len(s.members))])
		}
	}
}

func (s *sim) upTo(d time.Duration) time.Duration { return time.Duration(s.rng.Int64N(int64(d))) }

// cutOff loses what a member sends, gets or both.
func cutOff(s *sim, m *simMember) {
	end, way := s.now+s.upTo(8*time.Second), s.rng.IntN(3)
	for _, o := range s.members {
		if way != 0 {
			s.cuts[m.vm][o.vm] = end
		}
		if way != 1 {
			s.cuts[o.vm][m.vm] = end
		}
	}
}

// cutPair loses what one member sends to another, or both to each other.
func cutPair(s *sim, m *simMember) {
	o, end := s.members[s.rng.IntN(len(s.members))], s.now+s.upTo(8*time.Second)
	s.cuts[m.vm][o.vm] = end
	if s.rng.IntN(2) == 0 {
		s.cuts[o.vm][m.vm] = end
	}
}

func pauseMember(s *sim, m *simMember) { m.paused = s.now + s.upTo(4*time.Second) }

// onLeader makes a fault strike whoever leads.
func onLeader(strike func(*sim, *simMember)) func(*sim, *simMember) {
	return func(s *sim, _ *simMember) {
		if l := s.anyLeader(); l != nil {
			strike(s, l)
		}
	}
}

func stepClock(s *sim, m *simMember) { m.offset += s.upTo(5 * time.Second) }

func crashNow(s *sim, m *simMember) {
	if m.core != nil {
		s.crash(m)
	}
}

// restartBehindCut cuts a leader and a follower from each other and, once that
// follower seeks votes, restarts the others quickly.
func restartBehindCut(s *sim, l *simMember) {
	cut := s.members[(l.vm+1)%len(s.members)]
	end := s.now + 3*time.Second
	s.cuts[l.vm][cut.vm], s.cuts[cut.vm][l.vm] = end, end
	s.later(1500*time.Millisecond+s.upTo(time.Second), func() {
		for _, m := range s.members {
			if m != l && m != cut && m.core != nil {
				s.crash(m)
				m.down = s.now
			}
		}
	})
}

// crashAtSync stops a member at one of its next syncs.
func crashAtSync(s *sim, m *simMember) {
	if m.core != nil {
		m.disk.CrashAt(1+s.rng.IntN(6), s.rng.IntN(2) == 0)
	}
}

// crashAll is a loss of power everywhere.
func crashAll(s *sim, _ *simMember) {
	for _, m := range s.members {
		crashNow(s, m)
	}
}

// loseDisk wipes a member's disk, unless the repair after the last loss is
// still going on. Often that repair has just ended.
func loseDisk(s *sim, m *simMember) {
	for _, o := range s.members {
		if o.joining {
			return
		}
	}
	crashNow(s, m)
	s.check.losses++
	m.disk.Wipe()
	m.down = s.now + s.upTo(2*time.Second)
	s.incarnate(m)
}

// loseWitness wipes the witness's disk.
func loseWitness(s *sim, _ *simMember) { loseDisk(s, s.members[len(s.members)-1]) }

// transfer asks a leader to hand over; it may refuse.
func transfer(_ *sim, m *simMember) { _ = m.core.raft.Transfer() }

// heal ends all faults.
func (s *sim) heal() {
	s.calm = true
	for _, m := range s.members {
		m.paused, m.down = 0, 0
		for i := range s.cuts[m.vm] {
			s.cuts[m.vm][i] = 0
		}
		m.disk.CrashAt(1<<30, false)
	}
}
