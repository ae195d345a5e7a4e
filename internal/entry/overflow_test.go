package entry

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/api"
	"kumquatwing/internal/verdict"
)

// twoCentres joins an entry VM in each of two data centres.
func twoCentres(t *testing.T) (a, b *cell) {
	t.Helper()
	a, b = newCellIn(t, "a"), newCellIn(t, "b")
	ea, eb := a.addEntry(), b.addEntry()
	a.control.SetRemote([]api.RemoteEntry{{VM: "e0", DC: "b", Addr: eb.Addr()}})
	b.control.SetRemote([]api.RemoteEntry{{VM: "e0", DC: "a", Addr: ea.Addr()}})
	a.control.SetHome("b", b.control)
	b.control.SetHome("a", a.control)
	a.eventually("both know each other", func() bool {
		return ea.router.Overflows() && eb.router.Overflows()
	})
	return a, b
}

// TestOverflow sends requests that data centre a can't serve.
func TestOverflow(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		set    func(a, b *cell)
		want   verdict.Verdict
		reason verdict.Reason
		status int
	}{
		{"no servers here", func(_, b *cell) { b.addServer("orders") }, verdict.Done, "", 200},
		{"out here", func(a, b *cell) {
			a.addServer("orders").Close()
			b.addServer("orders")
			// A data centre that is out is not among the others' remote ones.
			b.control.SetRemote(nil)
			b.eventually("a is not known", func() bool { return !b.entries[0].router.Overflows() })
			a.control.Set(func(v *api.EntryView) { v.DataCentres[0].Out = true })
		}, verdict.Done, "", 200},
		{"no servers anywhere", func(_, _ *cell) {}, verdict.NotRun, verdict.ReasonNoServer, 503},
		{"other one stops", func(_, b *cell) {
			b.addServer("orders")
			b.entries[0].stop()
		}, verdict.NotRun, verdict.ReasonNoServer, 503},
		{"other one has lost its lease", func(_, b *cell) {
			b.addServer("orders")
			b.control.SetLease(0)
			b.eventually("lease ends", func() bool { return b.entries[0].router.LeaseLeft() == 0 })
		}, verdict.NotRun, verdict.ReasonNoServer, 503},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			t.Parallel()
			a, b := twoCentres(t)
			k.set(a, b)
			for _, idempotent := range []bool{false, true} {
				q := request{path: "/q/orders/x?y=1", key: vetsKey, body: "girth", deadline: time.Second, idempotent: idempotent}
				got := a.send(a.entries[0], q)
				qt.Assert(t, got.verdict, qt.Equals, k.want, qt.Commentf("%s", got.body))
				qt.Assert(t, got.reason, qt.Equals, k.reason)
				qt.Assert(t, got.status, qt.Equals, k.status)
				if k.want != verdict.Done {
					continue
				}
				qt.Assert(t, got.body, qt.Equals, "girth")
				qt.Assert(t, b.servers[0].Counts().Runs[got.id], qt.Equals, 1)
				if idempotent {
					continue
				}
				// The record is kept here, so that a repeat finds the answer.
				q.id = got.id
				again := a.send(a.entries[0], q)
				qt.Assert(t, again.reason, qt.Equals, verdict.ReasonRepeat)
				qt.Assert(t, again.body, qt.Equals, "girth")
				qt.Assert(t, b.servers[0].Counts().Runs[got.id], qt.Equals, 1)
			}
		})
	}
}

// TestOverflowWhenFull loads one data centre beyond its slots: the other takes
// part of it, and no request runs twice.
func TestOverflowWhenFull(t *testing.T) {
	t.Parallel()
	a, b := twoCentres(t)
	slow := func(cfg *fakeConfig) { cfg.Slots, cfg.Delay = 2, 100*time.Millisecond }
	sa, sb := a.addServer("orders", slow), b.addServer("orders", slow)
	var wg sync.WaitGroup
	answers := make(chan answer, 20)
	for range 20 {
		wg.Go(func() {
			answers <- a.send(a.entries[0], request{path: "/q/orders", key: vetsKey, body: "x", deadline: 3 * time.Second})
		})
	}
	wg.Wait()
	close(answers)
	there := 0
	for got := range answers {
		qt.Check(t, got.verdict, qt.Equals, verdict.Done, qt.Commentf("%s", got.body))
		here, away := sa.Counts().Runs[got.id], sb.Counts().Runs[got.id]
		qt.Check(t, here+away, qt.Equals, 1)
		there += away
	}
	qt.Check(t, there > 0, qt.IsTrue)
	qt.Check(t, sa.Counts().Peak <= 2 && sb.Counts().Peak <= 2, qt.IsTrue)
}

// TestCallersCantPretendToBeEntryVMs checks that the header which entry VMs
// send gets nobody past the records.
func TestCallersCantPretendToBeEntryVMs(t *testing.T) {
	t.Parallel()
	c := newCell(t)
	e := c.addEntry()
	s := c.addServer("orders")
	resp, err := rawCall(t, e, "POST /q/orders HTTP/1.1\r\nHost: x\r\nKq-Hop: b\r\nKq-Key: "+vetsKey+"\r\nKq-Request-Id: "+string(e.router.MintID())+"\r\nContent-Length: 0\r\n\r\n", false)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, resp.StatusCode, qt.Equals, 200)
	done := c.send(e, request{path: "/q/orders", key: vetsKey, body: "x"})
	resp, err = rawCall(t, e, "POST /q/orders HTTP/1.1\r\nHost: x\r\nKq-Hop: b\r\nKq-Key: "+vetsKey+"\r\nKq-Request-Id: "+string(done.id)+"\r\nContent-Length: 1\r\n\r\nx", false)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, resp.StatusCode, qt.Equals, 400)
	qt.Assert(t, s.Counts().Runs[done.id], qt.Equals, 1)
}
