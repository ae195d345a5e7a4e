package entry

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/api"
	"kumquatwing/internal/verdict"
)

// newDCPair starts two data centres with one entry VM each, which know each other.
func newDCPair(t *testing.T) (a, b *testDC) {
	t.Helper()
	a, b = newTestDCIn(t, "a"), newTestDCIn(t, "b")
	ea, eb := a.addEntry(), b.addEntry()
	a.control.SetRemote([]api.RemoteEntry{{VM: "e0", DC: "b", Addr: eb.Addr()}})
	b.control.SetRemote([]api.RemoteEntry{{VM: "e0", DC: "a", Addr: ea.Addr()}})
	a.control.SetHome("b", b.control)
	b.control.SetHome("a", a.control)
	a.eventually("entry VMs know each other", func() bool {
		return ea.router.CanOverflow() && eb.router.CanOverflow()
	})
	return a, b
}

// TestOverflow checks requests that data centre a can't serve: b runs each of them
// once, or they are refused as not run.
func TestOverflow(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		set    func(a, b *testDC)
		want   verdict.Verdict
		reason verdict.Reason
		status int
	}{
		{"no servers in a", func(_, b *testDC) { b.addServer("orders") }, verdict.Done, "", 200},
		{"a is out of service", func(a, b *testDC) {
			a.addServer("orders").Close()
			b.addServer("orders")
			// Other data centres don't list one that is out of service as remote.
			b.control.SetRemote(nil)
			b.eventually("a is no longer remote for b", func() bool { return !b.entries[0].router.CanOverflow() })
			a.control.Set(func(v *api.EntryView) { v.DataCentres[0].Out = true })
		}, verdict.Done, "", 200},
		{"no servers anywhere", func(_, _ *testDC) {}, verdict.NotRun, verdict.ReasonNoServer, 503},
		{"b is stopping", func(_, b *testDC) {
			b.addServer("orders")
			b.entries[0].stop()
		}, verdict.NotRun, verdict.ReasonNoServer, 503},
		{"settings lease of b has expired", func(_, b *testDC) {
			b.addServer("orders")
			b.control.SetLease(0)
			b.eventually("lease expires", func() bool { return b.entries[0].router.LeaseLeft() == 0 })
		}, verdict.NotRun, verdict.ReasonNoServer, 503},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			a, b := newDCPair(t)
			tc.set(a, b)
			for _, idempotent := range []bool{false, true} {
				q := request{path: "/q/orders/x?y=1", key: vetsKey, body: "girth", deadline: time.Second, idempotent: idempotent}
				got := a.send(a.entries[0], q)
				qt.Assert(t, got.verdict, qt.Equals, tc.want, qt.Commentf("%s", got.body))
				qt.Assert(t, got.reason, qt.Equals, tc.reason)
				qt.Assert(t, got.status, qt.Equals, tc.status)
				if tc.want != verdict.Done {
					continue
				}
				qt.Assert(t, got.body, qt.Equals, "girth")
				qt.Assert(t, b.servers[0].Counts().Runs[got.id], qt.Equals, 1)
				if idempotent {
					continue
				}
				// The ledger of a holds the record, so a duplicate gets the response.
				q.id = got.id
				duplicate := a.send(a.entries[0], q)
				qt.Assert(t, duplicate.reason, qt.Equals, verdict.ReasonDuplicate)
				qt.Assert(t, duplicate.body, qt.Equals, "girth")
				qt.Assert(t, b.servers[0].Counts().Runs[got.id], qt.Equals, 1)
			}
		})
	}
}

// TestOverflowWhenFull sends more concurrent requests to one data centre than it
// has slots. It checks that the other data centre runs some of them and that no
// request runs twice.
func TestOverflowWhenFull(t *testing.T) {
	t.Parallel()
	a, b := newDCPair(t)
	slow := func(cfg *fakeConfig) { cfg.Slots, cfg.Delay = 2, 100*time.Millisecond }
	sa, sb := a.addServer("orders", slow), b.addServer("orders", slow)
	var wg sync.WaitGroup
	results := make(chan result, 20)
	for range 20 {
		wg.Go(func() {
			results <- a.send(a.entries[0], request{path: "/q/orders", key: vetsKey, body: "x", deadline: 3 * time.Second})
		})
	}
	wg.Wait()
	close(results)
	forwarded := 0
	for got := range results {
		qt.Check(t, got.verdict, qt.Equals, verdict.Done, qt.Commentf("%s", got.body))
		runsA, runsB := sa.Counts().Runs[got.id], sb.Counts().Runs[got.id]
		qt.Check(t, runsA+runsB, qt.Equals, 1)
		forwarded += runsB
	}
	qt.Check(t, forwarded > 0, qt.IsTrue)
	qt.Check(t, sa.Counts().Peak <= 2 && sb.Counts().Peak <= 2, qt.IsTrue)
}

// TestCallersCannotForgeHopHeader checks that a caller can't bypass the detection of
// duplicate requests with the header that marks requests forwarded by entry VMs.
func TestCallersCannotForgeHopHeader(t *testing.T) {
	t.Parallel()
	dc := newTestDC(t)
	e := dc.addEntry()
	s := dc.addServer("orders")
	resp, err := sendRaw(t, e, "POST /q/orders HTTP/1.1\r\nHost: x\r\nKq-Hop: b\r\nKq-Key: "+vetsKey+"\r\nKq-Request-Id: "+string(e.router.NewRequestID())+"\r\nContent-Length: 0\r\n\r\n", false)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, resp.StatusCode, qt.Equals, 200)
	done := dc.send(e, request{path: "/q/orders", key: vetsKey, body: "x"})
	resp, err = sendRaw(t, e, "POST /q/orders HTTP/1.1\r\nHost: x\r\nKq-Hop: b\r\nKq-Key: "+vetsKey+"\r\nKq-Request-Id: "+string(done.id)+"\r\nContent-Length: 1\r\n\r\nx", false)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, resp.StatusCode, qt.Equals, 400)
	qt.Assert(t, s.Counts().Runs[done.id], qt.Equals, 1)
}
