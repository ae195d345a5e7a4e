package replica

import (
	"time"
)

// simFault is a kind of fault that occurs on average once in meanSteps steps.
type simFault struct {
	meanSteps int
	apply     func(s *sim, m *simMember)
}

// injectFaults applies each kind of fault at random to a random member.
func (s *sim) injectFaults() {
	for _, f := range s.opts.faults {
		if s.rng.IntN(f.meanSteps) == 0 {
			f.apply(s, s.members[s.rng.IntN(len(s.members))])
		}
	}
}

// randomUpTo returns a random duration below d.
func (s *sim) randomUpTo(d time.Duration) time.Duration { return time.Duration(s.rng.Int64N(int64(d))) }

// isolate drops the messages that a member sends, those sent to it, or both.
func isolate(s *sim, m *simMember) {
	end, direction := s.now+s.randomUpTo(8*time.Second), s.rng.IntN(3)
	for _, o := range s.members {
		if direction != 0 {
			s.blockedUntil[m.vm][o.vm] = end
		}
		if direction != 1 {
			s.blockedUntil[o.vm][m.vm] = end
		}
	}
}

// partitionPair drops the messages that a member sends to another one, or the
// messages between the two in both directions.
func partitionPair(s *sim, m *simMember) {
	o, end := s.members[s.rng.IntN(len(s.members))], s.now+s.randomUpTo(8*time.Second)
	s.blockedUntil[m.vm][o.vm] = end
	if s.rng.IntN(2) == 0 {
		s.blockedUntil[o.vm][m.vm] = end
	}
}

// pauseMember suspends a member's process for a time.
func pauseMember(s *sim, m *simMember) { m.pausedUntil = s.now + s.randomUpTo(4*time.Second) }

// onLeader applies a fault to a leader instead of a random member.
func onLeader(apply func(*sim, *simMember)) func(*sim, *simMember) {
	return func(s *sim, _ *simMember) {
		if l := s.anyLeader(); l != nil {
			apply(s, l)
		}
	}
}

// advanceClock makes a member's clock jump ahead.
func advanceClock(s *sim, m *simMember) { m.offset += s.randomUpTo(5 * time.Second) }

// crashNow crashes a member's process, unless it is down.
func crashNow(s *sim, m *simMember) {
	if m.core != nil {
		s.crash(m)
	}
}

// restartDuringPartition partitions a leader and a follower from each other.
// After the follower has had time to ask for votes, the other members crash and
// restart at once: they must not elect it while the lease that they granted to
// the leader may hold.
func restartDuringPartition(s *sim, l *simMember) {
	follower := s.members[(l.vm+1)%len(s.members)]
	end := s.now + 3*time.Second
	s.blockedUntil[l.vm][follower.vm], s.blockedUntil[follower.vm][l.vm] = end, end
	s.schedule(1500*time.Millisecond+s.randomUpTo(time.Second), func() {
		for _, m := range s.members {
			if m != l && m != follower && m.core != nil {
				s.crash(m)
				m.downUntil = s.now
			}
		}
	})
}

// crashAtSync crashes a member at one of its next syncs.
func crashAtSync(s *sim, m *simMember) {
	if m.core != nil {
		m.disk.CrashAt(1+s.rng.IntN(6), s.rng.IntN(2) == 0)
	}
}

// crashAll crashes all members at once, as after a power failure.
func crashAll(s *sim, _ *simMember) {
	for _, m := range s.members {
		crashNow(s, m)
	}
}

// wipeDisk wipes a member's disk and starts a new incarnation, unless a member
// is still joining after an earlier loss. A second loss often follows just after
// such a member has joined.
func wipeDisk(s *sim, m *simMember) {
	for _, o := range s.members {
		if o.joining {
			return
		}
	}
	crashNow(s, m)
	s.checker.diskLosses++
	m.disk.Wipe()
	m.downUntil = s.now + s.randomUpTo(2*time.Second)
	s.newIncarnation(m)
}

// wipeWitnessDisk wipes the disk of the witness.
func wipeWitnessDisk(s *sim, _ *simMember) { wipeDisk(s, s.members[len(s.members)-1]) }

// transferLeadership asks a leader to transfer its leadership, which it may
// refuse.
func transferLeadership(_ *sim, m *simMember) { _ = m.core.raft.Transfer() }

// clearFaults ends all faults.
func (s *sim) clearFaults() {
	s.faultsOff = true
	for _, m := range s.members {
		m.pausedUntil, m.downUntil = 0, 0
		for i := range s.blockedUntil[m.vm] {
			s.blockedUntil[m.vm][i] = 0
		}
		m.disk.CrashAt(1<<30, false)
	}
}
