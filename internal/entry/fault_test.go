package entry

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"kumquatwing/internal/api"
	"kumquatwing/internal/verdict"
)

// TestGracefulStop checks that a stop turns the health page unready first,
// cuts nothing that is in flight, refuses what comes later, hands the slots
// back and leaves nothing running.
func TestGracefulStop(t *testing.T) {
	leaks := goleak.IgnoreCurrent()
	defer goleak.VerifyNone(t, leaks)
	c := newCell(t)
	defer c.close()
	e := c.addEntry(func(cfg *Config) { cfg.Grace = 300 * time.Millisecond })
	s := c.addServer("orders", func(cfg *fakeConfig) { cfg.Delay, cfg.Every = time.Second, time.Hour })
	running := make(chan answer, 1)
	go func() { running <- c.send(e, request{path: "/q/orders", key: vetsKey, body: "x"}) }()
	c.eventually("runs", func() bool { return s.Counts().Running == 1 })
	e.cancel()
	c.eventually("unready", func() bool {
		resp, err := c.client.Get("http://" + e.Addr() + api.PathReady)
		qt.Assert(t, err, qt.IsNil)
		resp.Body.Close()
		return resp.StatusCode == 503
	})
	// Within the grace a balancer that has not noticed may still send.
	c.eventually("second runs", func() bool {
		go c.send(e, request{path: "/q/orders", key: vetsKey, body: "y"})
		return s.Counts().Running >= 2
	})
	qt.Assert(t, e.stop(), qt.IsNil)
	got := <-running
	qt.Assert(t, got.err, qt.IsNil)
	qt.Assert(t, got.body, qt.Equals, "x")
	qt.Assert(t, c.control.Held("s0"), qt.Equals, 0)
}

// load sends requests to entry VMs from several callers until stopped.
type load struct {
	wg   sync.WaitGroup
	stop chan struct{}
	mu   sync.Mutex
	got  []answer
}

func (l *load) run(c *cell, e *testEntry, callers int, q request) {
	for range callers {
		l.wg.Go(func() {
			for {
				select {
				case <-l.stop:
					return
				default:
				}
				a := c.send(e, q)
				l.mu.Lock()
				l.got = append(l.got, a)
				l.mu.Unlock()
				if a.verdict != verdict.Done {
					time.Sleep(10 * time.Millisecond)
				}
			}
		})
	}
}

func (l *load) end() []answer {
	close(l.stop)
	l.wg.Wait()
	return l.got
}

// TestSlotsAreNeverExceeded cuts one of two busy entry VMs off from the group
// until its slots are lent to the other one, and lets it come back.
func TestSlotsAreNeverExceeded(t *testing.T) {
	t.Parallel()
	c := newCell(t)
	e0, e1 := c.addEntry(), c.addEntry()
	s := c.addServer("lookup", func(cfg *fakeConfig) {
		cfg.Slots, cfg.Connections, cfg.Delay = 4, 9, 30*time.Millisecond
	})
	l := &load{stop: make(chan struct{})}
	q := request{path: "/q/lookup", body: "x", idempotent: true, deadline: 400 * time.Millisecond}
	l.run(c, e0, 6, q)
	l.run(c, e1, 6, q)
	shared := func() bool { l := e0.router.Pool().Load(); return l.Slots == 2 && l.InUse == 2 }
	c.eventually("both have slots", shared)
	c.control.Isolate("e0", true)
	c.eventually("the other has all", func() bool { held, _ := e1.router.Pool().QueueLoad("lookup"); return held == 4 })
	time.Sleep(300 * time.Millisecond)
	c.control.Isolate("e0", false)
	c.eventually("both have slots again", shared)
	answers := l.end()
	counts := s.Counts()
	t.Logf("%d answers, peak %d of 4 slots, %d of 9 connections", len(answers), counts.Peak, counts.PeakConnections)
	qt.Check(t, counts.Peak, qt.Equals, 4)
	qt.Check(t, counts.PeakConnections <= 9, qt.IsTrue)
	for _, a := range answers {
		if a.verdict == verdict.NotRun {
			qt.Assert(t, counts.Runs[a.id], qt.Equals, 0, qt.Commentf("%s", a.body))
		}
	}
}

// TestRecordsOutOfReach checks what is said when the ledger fails, and that
// nothing is sent without a record.
func TestRecordsOutOfReach(t *testing.T) {
	t.Parallel()
	c := newCell(t)
	e := c.addEntry()
	s := c.addServer("orders")
	c.control.Fail(api.TopicRecord, verdict.Uncertain(verdict.ReasonNoQuorum, "cut off"))
	cases := []struct {
		name string
		q    request
		want verdict.Verdict
	}{
		{"new request", request{}, verdict.NotRun},
		{"request with an id", request{id: e.router.MintID()}, verdict.MayHaveRun},
		{"idempotent request", request{idempotent: true}, verdict.Done},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			k.q.path, k.q.key, k.q.body = "/q/orders", vetsKey, "x"
			qt.Assert(t, c.send(e, k.q).verdict, qt.Equals, k.want)
		})
	}
	qt.Assert(t, s.Counts().Runs, qt.HasLen, 1)
}

// TestFinishIsLost checks a repeat of a request whose record was never closed.
func TestFinishIsLost(t *testing.T) {
	t.Parallel()
	c := newCell(t)
	e, other := c.addEntry(), c.addEntry()
	s := c.addServer("orders")
	c.control.Fail(api.TopicFinish, verdict.Uncertain(verdict.ReasonNoQuorum, "cut off"))
	first := c.send(e, request{path: "/q/orders", key: vetsKey, body: "x"})
	qt.Assert(t, first.verdict, qt.Equals, verdict.Done)
	again := c.send(other, request{path: "/q/orders", key: vetsKey, body: "x", id: first.id, deadline: 200 * time.Millisecond})
	qt.Assert(t, again.verdict, qt.Equals, verdict.MayHaveRun)
	qt.Assert(t, again.reason, qt.Equals, verdict.ReasonRepeat)
	c.control.Fail(api.TopicFinish, nil)
	again = c.send(other, request{path: "/q/orders", key: vetsKey, body: "x", id: first.id})
	qt.Assert(t, again.body, qt.Equals, "x")
	qt.Assert(t, s.Counts().Runs[first.id], qt.Equals, 1)
}

// TestSharesAndShedding loads an open queue from two workspaces beyond its slots:
// what is shed was not run, and what is answered follows the shares.
func TestSharesAndShedding(t *testing.T) {
	t.Parallel()
	c := newCell(t)
	e := c.addEntry()
	s := c.addServer("lookup", func(cfg *fakeConfig) { cfg.Slots, cfg.Delay = 4, 10*time.Millisecond })
	vets, shop := &load{stop: make(chan struct{})}, &load{stop: make(chan struct{})}
	q := request{path: "/q/lookup", body: "x", idempotent: true, deadline: 500 * time.Millisecond}
	q.key = vetsKey
	vets.run(c, e, 24, q)
	q.key = shopKey
	shop.run(c, e, 24, q)
	time.Sleep(2 * time.Second)
	done := map[string]int{}
	runs := s.Counts().Runs
	for name, l := range map[string]*load{"vets": vets, "shop": shop} {
		for _, a := range l.end() {
			if a.verdict == verdict.Done {
				done[name]++
			}
			if a.verdict == verdict.NotRun {
				qt.Assert(t, runs[a.id], qt.Equals, 0)
			}
		}
	}
	ratio := float64(done["vets"]) / float64(done["shop"])
	t.Logf("shares 3:1, answers %d:%d", done["vets"], done["shop"])
	qt.Assert(t, ratio > 2 && ratio < 4, qt.IsTrue, qt.Commentf("%.2f", ratio))
}

// TestAnnouncementsOutlastLostLeader checks that what a server announced while
// the data centre had no leader reaches the next one.
func TestAnnouncementsOutlastLostLeader(t *testing.T) {
	t.Parallel()
	c := newCell(t)
	c.addEntry()
	c.addServer("orders")
	c.control.SetLeaderless(true)
	c.startServer("lookup", func(cfg *fakeConfig) { cfg.Every = time.Hour })
	time.Sleep(100 * time.Millisecond)
	c.control.SetLeaderless(false)
	c.awaitSlots()
}

// TestLostBegin checks a request whose record was made by a call without a
// reply: it was not sent, and a repeat of its id is told so.
func TestLostBegin(t *testing.T) {
	t.Parallel()
	c := newCell(t)
	e, other := c.addEntry(), c.addEntry()
	s := c.addServer("orders")
	c.control.Delay(api.TopicRecord, 600*time.Millisecond)
	id := e.router.MintID()
	q := request{path: "/q/orders", key: vetsKey, body: "x", id: id, deadline: 300 * time.Millisecond}
	got := c.send(e, q)
	qt.Assert(t, got.reason, qt.Equals, verdict.ReasonDeadline)
	qt.Assert(t, c.control.Records(), qt.Equals, 1)
	c.control.Delay(api.TopicRecord, 0)
	q.deadline = 3 * time.Second
	again := c.send(other, q)
	qt.Assert(t, again.verdict, qt.Equals, verdict.NotRun)
	qt.Assert(t, again.reason, qt.Equals, verdict.ReasonRepeat)
	qt.Assert(t, s.Counts().Runs, qt.HasLen, 0)
}
