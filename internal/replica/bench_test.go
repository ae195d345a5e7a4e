package replica

import (
	"bytes"
	"context"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"kumquatwing/internal/clock"
	"kumquatwing/internal/storage"
)

// BenchmarkWrites measures concurrent writes to a group of three members with
// disks.
func BenchmarkWrites(b *testing.B) {
	for _, writers := range []int{1, 64} {
		b.Run(map[int]string{1: "one writer", 64: "64 writers"}[writers], func(b *testing.B) {
			g := newGroup(b, 3, true)
			n := g.leader().node
			command := make([]byte, 200)
			before := n.cfg.Store.Syncs()
			b.ResetTimer()
			var remaining atomic.Int64
			remaining.Store(int64(b.N))
			var wg sync.WaitGroup
			for range writers {
				wg.Go(func() {
					for remaining.Add(-1) >= 0 {
						_, err := n.Propose(context.Background(), command)
						qt.Check(b, err, qt.IsNil)
					}
				})
			}
			wg.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "writes/s")
			b.ReportMetric(float64(n.cfg.Store.Syncs()-before)/float64(b.N), "syncs/write")
		})
	}
}

// BenchmarkFailover measures, in ticks of virtual time, how long after a fault
// of the leader another member can acknowledge a write.
func BenchmarkFailover(b *testing.B) {
	faults := map[string]func(*sim, *simMember){
		"death": func(s *sim, l *simMember) { s.crash(l); l.downUntil = s.now + time.Hour },
		"pause": func(s *sim, l *simMember) { l.pausedUntil = s.now + time.Hour },
		"cut":   func(s *sim, l *simMember) { s.isolateFor(l, time.Hour) },
	}
	for _, name := range []string{"death", "pause", "cut"} {
		b.Run(name, func(b *testing.B) {
			var ticks []float64
			for i := range b.N {
				ticks = append(ticks, failoverTicks(b, uint64(i), faults[name]))
			}
			slices.Sort(ticks)
			b.ReportMetric(ticks[len(ticks)/2], "ticks-p50")
			b.ReportMetric(ticks[len(ticks)-1], "ticks-max")
		})
	}
}

// isolateFor drops all messages to and from a member for a time.
func (s *sim) isolateFor(m *simMember, d time.Duration) {
	for _, o := range s.members {
		s.blockedUntil[m.vm][o.vm], s.blockedUntil[o.vm][m.vm] = s.now+d, s.now+d
	}
}

// failoverTicks returns the time from a fault of the leader until another member
// can acknowledge writes, in ticks.
func failoverTicks(b *testing.B, seed uint64, inject func(*sim, *simMember)) float64 {
	s := newSim(seed, simOptions{size: 3})
	s.faultsOff = true
	s.runFor(simFormTime + s.randomUpTo(time.Second))
	l := s.anyLeader()
	inject(s, l)
	start, term := s.now, s.checker.maxTerm()
	for s.checker.maxTerm() == term || !s.canAcknowledge(l) {
		s.step()
		if s.now > start+time.Minute {
			b.Fatal("no member can acknowledge writes within a minute of the fault")
		}
	}
	qt.Assert(b, s.checker.violation, qt.Equals, "")
	return float64(s.now-start) / float64(simTick)
}

// canAcknowledge reports whether a member other than old holds a lease and could
// acknowledge a write now.
func (s *sim) canAcknowledge(old *simMember) bool {
	for _, m := range s.members {
		if m != old && m.core != nil && m.clock(s.now) < m.lease {
			return true
		}
	}
	return false
}

func (c *checker) maxTerm() uint64 {
	term := uint64(0)
	for t := range c.leaders {
		term = max(term, t)
	}
	return term
}

const (
	// trafficWindow is how long BenchmarkTraffic measures a group.
	trafficWindow = 3 * time.Second
	// writeInterval and writeBytes give 64 writes per second, the rate of one data
	// centre, of 200 bytes each.
	writeInterval = time.Second / 64
	writeBytes    = 200
)

// BenchmarkTraffic measures the network traffic and CPU time of a group at the
// default tick, idle and with writes.
func BenchmarkTraffic(b *testing.B) {
	cases := []struct {
		name             string
		voters, learners int
		load             bool
	}{
		{"3 voters idle", 3, 0, false},
		{"3 voters and 6 learners idle", 3, 6, false},
		{"3 voters at 64 writes a second", 3, 0, true},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			g := &group{t: b, tick: DefaultTick}
			b.Cleanup(g.close)
			for i := range c.voters + c.learners {
				m := g.start(string(rune('a'+i)), "", i == 0)
				switch {
				case i >= c.voters:
					qt.Assert(b, g.members[0].node.AddLearner(context.Background(), m.self), qt.IsNil)
				case i > 0:
					g.join(m)
				}
			}
			measureTraffic(b, g, c.load)
		})
	}
}

// measureTraffic reports the traffic of the leader and of one follower, and the
// CPU time per member.
func measureTraffic(b *testing.B, g *group, writes bool) {
	l := g.leader()
	for b.Loop() {
		leader, follower, cpuBefore := l.wire.Traffic(), g.members[1].wire.Traffic(), cpuTime(b)
		for end := time.Now().Add(trafficWindow); time.Now().Before(end); time.Sleep(writeInterval) {
			if writes {
				go l.node.Propose(context.Background(), make([]byte, writeBytes))
			}
		}
		seconds := trafficWindow.Seconds()
		b.ReportMetric(float64(l.wire.Traffic().SentBytes-leader.SentBytes)/seconds, "leader-B/s")
		b.ReportMetric(float64(g.members[1].wire.Traffic().SentBytes-follower.SentBytes)/seconds, "follower-B/s")
		cpu := (cpuTime(b) - cpuBefore).Seconds() / seconds / float64(len(g.members))
		b.ReportMetric(100*cpu, "core-%/member")
	}
}

// cpuTime returns the CPU time that the process has used.
func cpuTime(b *testing.B) time.Duration {
	var u unix.Rusage
	qt.Assert(b, unix.Getrusage(unix.RUSAGE_SELF, &u), qt.IsNil)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// fixedSizeMachine is a state machine with a state of fixed size.
type fixedSizeMachine struct{ data []byte }

func (m *fixedSizeMachine) Apply(uint64, []byte) []byte { return nil }

func (m *fixedSizeMachine) Snapshot() ([]byte, error) { return bytes.Clone(m.data), nil }

func (m *fixedSizeMachine) Restore(b []byte) error {
	m.data = b
	return nil
}

// fixedStateBytes is about the size of the state at the design size.
const fixedStateBytes = 5 << 20

func newFixedSizeMachine() *fixedSizeMachine {
	m := &fixedSizeMachine{data: make([]byte, fixedStateBytes)}
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range m.data {
		m.data[i] = byte(rng.Uint32())
	}
	return m
}

// BenchmarkSnapshot measures how long it takes to write a snapshot of 5 MiB and
// to start from it.
func BenchmarkSnapshot(b *testing.B) {
	dir := filepath.Join(b.TempDir(), "store")
	var written, opened time.Duration
	for i := 0; b.Loop(); i++ {
		m := newFixedSizeMachine()
		start := time.Now()
		store, err := storage.OpenDir(dir)
		qt.Assert(b, err, qt.IsNil)
		c, err := newCore(coreConfig{
			Self: Member{ID: 1}, Bootstrap: i == 0, Store: store, StateMachine: m,
			Options: options(Config{Self: Member{ID: 1}, Tick: DefaultTick}), Limits: defaultLimits,
		}, clock.Instant(0))
		qt.Assert(b, err, qt.IsNil)
		opened += time.Since(start)
		c.raft.Tick(0)
		qt.Assert(b, c.flush(), qt.IsNil)
		start = time.Now()
		qt.Assert(b, c.writeSnapshot(), qt.IsNil)
		written += time.Since(start)
		qt.Assert(b, store.Close(), qt.IsNil)
	}
	b.ReportMetric(written.Seconds()*1e3/float64(b.N), "write-ms")
	b.ReportMetric(opened.Seconds()*1e3/float64(b.N), "restore-ms")
}
