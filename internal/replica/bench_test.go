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

// BenchmarkWrites measures concurrent writes on three members with disks.
func BenchmarkWrites(b *testing.B) {
	for _, writers := range []int{1, 64} {
		b.Run(map[int]string{1: "one writer", 64: "64 writers"}[writers], func(b *testing.B) {
			g := newGroup(b, 3, true)
			n := g.leader().node
			command := make([]byte, 200)
			before := n.cfg.Store.Syncs()
			b.ResetTimer()
			var left atomic.Int64
			left.Store(int64(b.N))
			var wg sync.WaitGroup
			for range writers {
				wg.Go(func() {
					for left.Add(-1) >= 0 {
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
// of the leader the next write is acknowledged.
func BenchmarkFailover(b *testing.B) {
	faults := map[string]func(*sim, *simMember){
		"death": func(s *sim, l *simMember) { s.crash(l); l.down = s.now + time.Hour },
		"pause": func(s *sim, l *simMember) { l.paused = s.now + time.Hour },
		"cut":   func(s *sim, l *simMember) { s.cutFor(l, time.Hour) },
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

func (s *sim) cutFor(m *simMember, d time.Duration) {
	for _, o := range s.members {
		s.cuts[m.vm][o.vm], s.cuts[o.vm][m.vm] = s.now+d, s.now+d
	}
}

func failoverTicks(b *testing.B, seed uint64, strike func(*sim, *simMember)) float64 {
	s := newSim(seed, simOptions{size: 3})
	s.calm = true
	s.steps(simJoin + s.upTo(time.Second))
	l := s.anyLeader()
	strike(s, l)
	began, term := s.now, s.check.maxTerm()
	for s.check.maxTerm() == term || !s.acks(l) {
		s.step()
		if s.now > began+time.Minute {
			b.Fatal("no write is acknowledged")
		}
	}
	qt.Assert(b, s.check.violation, qt.Equals, "")
	return float64(s.now-began) / float64(simTick)
}

// acks reports whether a member other than old could acknowledge a write now.
func (s *sim) acks(old *simMember) bool {
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
	// watchFor is how long BenchmarkTraffic watches a group.
	watchFor = 3 * time.Second
	// loadInterval and loadBytes make 64 writes/s of a data centre's size.
	loadInterval = time.Second / 64
	loadBytes    = 200
)

// BenchmarkTraffic measures traffic and processor time of a group at the
// default tick, without load and with it.
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
			watch(b, g, c.load)
		})
	}
}

func watch(b *testing.B, g *group, load bool) {
	l := g.leader()
	for b.Loop() {
		leader, other, used := l.wire.Traffic(), g.members[1].wire.Traffic(), processorTime(b)
		for end := time.Now().Add(watchFor); time.Now().Before(end); time.Sleep(loadInterval) {
			if load {
				go l.node.Propose(context.Background(), make([]byte, loadBytes))
			}
		}
		seconds := watchFor.Seconds()
		b.ReportMetric(float64(l.wire.Traffic().SentBytes-leader.SentBytes)/seconds, "leader-B/s")
		b.ReportMetric(float64(g.members[1].wire.Traffic().SentBytes-other.SentBytes)/seconds, "follower-B/s")
		cpu := (processorTime(b) - used).Seconds() / seconds / float64(len(g.members))
		b.ReportMetric(100*cpu, "core-%/member")
	}
}

func processorTime(b *testing.B) time.Duration {
	var u unix.Rusage
	qt.Assert(b, unix.Getrusage(unix.RUSAGE_SELF, &u), qt.IsNil)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// blob is a machine with a state of a fixed size.
type blob struct{ data []byte }

func (m *blob) Apply(uint64, []byte) []byte { return nil }

func (m *blob) Snapshot() ([]byte, error) { return bytes.Clone(m.data), nil }

func (m *blob) Restore(b []byte) error {
	m.data = b
	return nil
}

// blobBytes is about the size of the design size's state.
const blobBytes = 5 << 20

func newBlob() *blob {
	m := &blob{data: make([]byte, blobBytes)}
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range m.data {
		m.data[i] = byte(rng.Uint32())
	}
	return m
}

// BenchmarkSnapshot measures writing a snapshot of 5 MB and starting from it.
func BenchmarkSnapshot(b *testing.B) {
	dir := filepath.Join(b.TempDir(), "store")
	var written, opened time.Duration
	for i := 0; b.Loop(); i++ {
		m := newBlob()
		began := time.Now()
		store, err := storage.OpenDir(dir)
		qt.Assert(b, err, qt.IsNil)
		c, err := newCore(coreConfig{
			Self: Member{ID: 1}, Found: i == 0, Store: store, Machine: m,
			Options: options(Config{Self: Member{ID: 1}, Tick: DefaultTick}), Limits: defaultLimits,
		}, clock.Instant(0))
		qt.Assert(b, err, qt.IsNil)
		opened += time.Since(began)
		c.raft.Tick(0)
		qt.Assert(b, c.flush(), qt.IsNil)
		began = time.Now()
		qt.Assert(b, c.writeSnapshot(), qt.IsNil)
		written += time.Since(began)
		qt.Assert(b, store.Close(), qt.IsNil)
	}
	b.ReportMetric(written.Seconds()*1e3/float64(b.N), "write-ms")
	b.ReportMetric(opened.Seconds()*1e3/float64(b.N), "restore-ms")
}
