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

// TestGracefulStop checks that a stopping process first reports itself as not ready,
// still runs requests within the grace time, aborts no request in flight, returns
// its slots, and leaves no goroutine running.
func TestGracefulStop(t *testing.T) {
	leaks := goleak.IgnoreCurrent()
	defer goleak.VerifyNone(t, leaks)
	dc := newTestDC(t)
	defer dc.close()
	e := dc.addEntry(func(cfg *Config) { cfg.Grace = 300 * time.Millisecond })
	s := dc.addServer("orders", func(cfg *fakeConfig) { cfg.Delay, cfg.AnnounceInterval = time.Second, time.Hour })
	running := make(chan result, 1)
	go func() { running <- dc.send(e, request{path: "/q/orders", key: vetsKey, body: "x"}) }()
	dc.eventually("runs", func() bool { return s.Counts().Running == 1 })
	e.cancel()
	dc.eventually("unready", func() bool {
		resp, err := dc.client.Get("http://" + e.Addr() + api.PathReady)
		qt.Assert(t, err, qt.IsNil)
		resp.Body.Close()
		return resp.StatusCode == 503
	})
	// A load balancer that has not noticed yet may send requests within the grace
	// time.
	dc.eventually("second request runs", func() bool {
		go dc.send(e, request{path: "/q/orders", key: vetsKey, body: "y"})
		return s.Counts().Running >= 2
	})
	qt.Assert(t, e.stop(), qt.IsNil)
	got := <-running
	qt.Assert(t, got.err, qt.IsNil)
	qt.Assert(t, got.body, qt.Equals, "x")
	qt.Assert(t, dc.control.Granted("s0"), qt.Equals, 0)
}

// TestFinalSyncIsRepeated checks that a stopping process returns its slots although the
// leader of the data centre's group does not answer its first syncs.
func TestFinalSyncIsRepeated(t *testing.T) {
	t.Parallel()
	dc := newTestDC(t)
	e := dc.addEntry()
	dc.addServer("orders", func(cfg *fakeConfig) { cfg.AnnounceInterval = time.Hour })
	qt.Assert(t, dc.control.Granted("s0"), qt.Equals, 8)
	dc.control.Fail(api.TopicEntrySync, verdict.RefuseMayHaveRun(verdict.ReasonUnreachable, "cut off"))
	recovered := time.AfterFunc(600*time.Millisecond, func() { dc.control.Fail(api.TopicEntrySync, nil) })
	defer recovered.Stop()
	qt.Assert(t, e.stop(), qt.IsNil)
	qt.Assert(t, dc.control.Granted("s0"), qt.Equals, 0)
}

// loadGenerator sends requests to entry VMs from several concurrent callers until
// stopAndCollect is called. mu protects results.
type loadGenerator struct {
	wg      sync.WaitGroup
	stop    chan struct{}
	mu      sync.Mutex
	results []result
}

// run starts callers that send q to e, each one request at a time.
func (l *loadGenerator) run(dc *testDC, e *testEntry, callers int, q request) {
	for range callers {
		l.wg.Go(func() {
			for {
				select {
				case <-l.stop:
					return
				default:
				}
				res := dc.send(e, q)
				l.mu.Lock()
				l.results = append(l.results, res)
				l.mu.Unlock()
				if res.verdict != verdict.Done {
					time.Sleep(10 * time.Millisecond)
				}
			}
		})
	}
}

// completed returns how many requests have got a response from a server so far.
func (l *loadGenerator) completed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, res := range l.results {
		if res.verdict == verdict.Done {
			n++
		}
	}
	return n
}

// stopAndCollect waits until all callers have ended and returns all results.
func (l *loadGenerator) stopAndCollect() []result {
	close(l.stop)
	l.wg.Wait()
	return l.results
}

// TestSlotsAreNeverExceeded isolates one of two entry VMs under load from the group
// until its slots are granted to the other one, and then reconnects it. The server
// must never run more requests than it has slots.
func TestSlotsAreNeverExceeded(t *testing.T) {
	t.Parallel()
	dc := newTestDC(t)
	e0, e1 := dc.addEntry(), dc.addEntry()
	s := dc.addServer("lookup", func(cfg *fakeConfig) {
		cfg.Slots, cfg.Connections, cfg.Delay = 4, 9, 30*time.Millisecond
	})
	l := &loadGenerator{stop: make(chan struct{})}
	q := request{path: "/q/lookup", body: "x", idempotent: true, deadline: 400 * time.Millisecond}
	l.run(dc, e0, 6, q)
	l.run(dc, e1, 6, q)
	shared := func() bool { l := e0.router.Pool().Load(); return l.Slots == 2 && l.InUse == 2 }
	dc.eventually("both have slots", shared)
	dc.control.Isolate("e0", true)
	dc.eventually("the other entry VM has all slots", func() bool { held, _ := e1.router.Pool().QueueLoad("lookup"); return held == 4 })
	time.Sleep(300 * time.Millisecond)
	dc.control.Isolate("e0", false)
	dc.eventually("both have slots again", shared)
	results := l.stopAndCollect()
	counts := s.Counts()
	t.Logf("%d results, peak %d of 4 slots, %d of 9 connections", len(results), counts.Peak, counts.PeakConnections)
	qt.Check(t, counts.Peak, qt.Equals, 4)
	qt.Check(t, counts.PeakConnections <= 9, qt.IsTrue)
	for _, res := range results {
		if res.verdict == verdict.NotRun {
			qt.Assert(t, counts.Runs[res.id], qt.Equals, 0, qt.Commentf("%s", res.body))
		}
	}
}

// TestLedgerUnavailable checks the verdicts while the ledger creates no records, and
// that only idempotent requests are sent without a record.
func TestLedgerUnavailable(t *testing.T) {
	t.Parallel()
	dc := newTestDC(t)
	e := dc.addEntry()
	s := dc.addServer("orders")
	dc.control.Fail(api.TopicRecordBegin, verdict.RefuseMayHaveRun(verdict.ReasonNoQuorum, "cut off"))
	cases := []struct {
		name string
		q    request
		want verdict.Verdict
	}{
		{"new request", request{}, verdict.NotRun},
		{"request with an id", request{id: e.router.NewRequestID()}, verdict.MayHaveRun},
		{"idempotent request", request{idempotent: true}, verdict.Done},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			tc.q.path, tc.q.key, tc.q.body = "/q/orders", vetsKey, "x"
			qt.Assert(t, dc.send(e, tc.q).verdict, qt.Equals, tc.want)
		})
	}
	qt.Assert(t, s.Counts().Runs, qt.HasLen, 1)
}

// TestFinishIsLost checks the duplicate of a request that has completed but whose
// record could not be finished: it may have run, until the record is finished.
func TestFinishIsLost(t *testing.T) {
	t.Parallel()
	dc := newTestDC(t)
	e, other := dc.addEntry(), dc.addEntry()
	s := dc.addServer("orders")
	dc.control.Fail(api.TopicRecordFinish, verdict.RefuseMayHaveRun(verdict.ReasonNoQuorum, "cut off"))
	first := dc.send(e, request{path: "/q/orders", key: vetsKey, body: "x"})
	qt.Assert(t, first.verdict, qt.Equals, verdict.Done)
	duplicate := dc.send(other, request{path: "/q/orders", key: vetsKey, body: "x", id: first.id, deadline: 200 * time.Millisecond})
	qt.Assert(t, duplicate.verdict, qt.Equals, verdict.MayHaveRun)
	qt.Assert(t, duplicate.reason, qt.Equals, verdict.ReasonDuplicate)
	dc.control.Fail(api.TopicRecordFinish, nil)
	duplicate = dc.send(other, request{path: "/q/orders", key: vetsKey, body: "x", id: first.id})
	qt.Assert(t, duplicate.body, qt.Equals, "x")
	qt.Assert(t, s.Counts().Runs[first.id], qt.Equals, 1)
}

// TestSharesAndShedding sends more concurrent requests from two workspaces to an open
// queue than it has slots. Refused requests must not have run, and the completed
// ones must follow the workspaces' shares.
func TestSharesAndShedding(t *testing.T) {
	t.Parallel()
	dc := newTestDC(t)
	e := dc.addEntry()
	s := dc.addServer("lookup", func(cfg *fakeConfig) { cfg.Slots, cfg.Delay = 4, 10*time.Millisecond })
	vets, shop := &loadGenerator{stop: make(chan struct{})}, &loadGenerator{stop: make(chan struct{})}
	q := request{path: "/q/lookup", body: "x", idempotent: true, deadline: 500 * time.Millisecond}
	q.key = vetsKey
	vets.run(dc, e, 24, q)
	q.key = shopKey
	shop.run(dc, e, 24, q)
	time.Sleep(2 * time.Second)
	// The shares hold while both workspaces have waiting requests: once one generator
	// stops, the other gets all slots.
	doneVets, doneShop := vets.completed(), shop.completed()
	results := append(vets.stopAndCollect(), shop.stopAndCollect()...)
	runs := s.Counts().Runs
	for _, res := range results {
		if res.verdict == verdict.NotRun {
			qt.Assert(t, runs[res.id], qt.Equals, 0)
		}
	}
	ratio := float64(doneVets) / float64(doneShop)
	t.Logf("shares 3:1, completed requests %d:%d", doneVets, doneShop)
	qt.Assert(t, ratio > 2 && ratio < 4, qt.IsTrue, qt.Commentf("%.2f", ratio))
}

// TestAnnouncementsSurviveLeaderLoss checks that an announcement received while the
// data centre has no leader is delivered once there is a new one.
func TestAnnouncementsSurviveLeaderLoss(t *testing.T) {
	t.Parallel()
	dc := newTestDC(t)
	dc.addEntry()
	dc.addServer("orders")
	dc.control.SetLeaderless(true)
	dc.startServer("lookup", func(cfg *fakeConfig) { cfg.AnnounceInterval = time.Hour })
	time.Sleep(100 * time.Millisecond)
	dc.control.SetLeaderless(false)
	dc.awaitSlots()
}

// TestLostBegin checks a request whose record was created although the reply to Begin
// came too late. The request was not sent, and its duplicate gets a not-run verdict.
func TestLostBegin(t *testing.T) {
	t.Parallel()
	dc := newTestDC(t)
	e, other := dc.addEntry(), dc.addEntry()
	s := dc.addServer("orders")
	dc.control.Delay(api.TopicRecordBegin, 600*time.Millisecond)
	id := e.router.NewRequestID()
	q := request{path: "/q/orders", key: vetsKey, body: "x", id: id, deadline: 300 * time.Millisecond}
	got := dc.send(e, q)
	qt.Assert(t, got.reason, qt.Equals, verdict.ReasonDeadline)
	qt.Assert(t, dc.control.Records(), qt.Equals, 1)
	dc.control.Delay(api.TopicRecordBegin, 0)
	q.deadline = 3 * time.Second
	duplicate := dc.send(other, q)
	qt.Assert(t, duplicate.verdict, qt.Equals, verdict.NotRun)
	qt.Assert(t, duplicate.reason, qt.Equals, verdict.ReasonDuplicate)
	qt.Assert(t, s.Counts().Runs, qt.HasLen, 0)
}
