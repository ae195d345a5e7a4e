package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/api"
	"kumquatwing/internal/fake/backend"
	"kumquatwing/internal/settings"
	"kumquatwing/internal/verdict"
)

type fakeConfig = backend.Config

// TestBackendContract gives one request to a server that treats it badly.
func TestBackendContract(t *testing.T) {
	t.Parallel()
	cases := []struct {
		mode    backend.Mode
		status  int
		verdict verdict.Verdict
		reason  verdict.Reason
		// retried says whether an idempotent request then goes to another server.
		retried bool
	}{
		{backend.Echo, 200, verdict.Done, "", false},
		{backend.Error, 500, verdict.Done, "", false},
		{backend.Busy, 503, verdict.Done, "", true},
		{backend.Cut, 502, verdict.MayHaveRun, verdict.ReasonCutAnswer, true},
		{backend.Drop, 502, verdict.MayHaveRun, verdict.ReasonCutAnswer, true},
		{backend.Unsized, 502, verdict.MayHaveRun, verdict.ReasonCutAnswer, true},
		{backend.Stranger, 502, verdict.MayHaveRun, verdict.ReasonCutAnswer, true},
		{backend.Silent, 502, verdict.MayHaveRun, verdict.ReasonUnreachable, true},
		{backend.Large, 413, verdict.MayHaveRun, verdict.ReasonTooLarge, false},
		// The surplus is dropped with the connection; the declared part is whole.
		{backend.Long, 200, verdict.Done, "", false},
		{backend.Duplicate, 200, verdict.Done, "", false},
		// Half of a large answer has gone out when it is cut: no status to send.
		{backend.CutLarge, 200, verdict.Done, "", false},
	}
	for _, k := range cases {
		t.Run(string(k.mode), func(t *testing.T) {
			c := newCell(t)
			c.control.Set(func(v *api.EntryView) {
				v.Tree = settings.NewTree()
				v.Tree.Set(settings.LevelWorkspace, "vets", settings.RequestIdle, settings.Value{Int: 200}, 7)
				v.Tree.Set(settings.LevelWorkspace, "vets", settings.RequestAnswer, settings.Value{Int: 600_000}, 7)
			})
			e := c.addEntry()
			size := 500_000
			if k.mode == backend.Large {
				size = 700_000
			}
			bad := c.addServer("orders", func(cfg *fakeConfig) { cfg.AnswerBytes = size })
			bad.SetMode(k.mode)
			got := c.send(e, request{path: "/q/orders", key: vetsKey, body: "abcdef"})
			qt.Check(t, got.err != nil, qt.Equals, k.mode == backend.CutLarge)
			qt.Check(t, got.status, qt.Equals, k.status)
			qt.Check(t, got.verdict, qt.Equals, k.verdict)
			qt.Check(t, got.reason, qt.Equals, k.reason)
			qt.Check(t, bad.Counts().Runs[got.id], qt.Equals, 1)
			if k.mode == backend.CutLarge {
				return
			}

			good := c.addServer("orders")
			for range 8 {
				got = c.send(e, request{path: "/q/orders", key: vetsKey, body: "abcdef", idempotent: true})
				if k.retried {
					qt.Check(t, got.body, qt.Equals, "abcdef")
				}
			}
			if k.retried {
				qt.Check(t, good.Counts().Runs, qt.HasLen, 8)
			}
		})
	}
}

// TestLateAnswersGoNowhere sends requests to servers whose second copy of each
// answer comes late, with and without the request's id in it.
func TestLateAnswersGoNowhere(t *testing.T) {
	t.Parallel()
	for _, quiet := range []bool{false, true} {
		c := newCell(t)
		e := c.addEntry()
		s := c.addServer("orders", func(cfg *fakeConfig) {
			cfg.Delay, cfg.Quiet = 5*time.Millisecond, quiet
		})
		s.SetMode(backend.Duplicate)
		for i := range 40 {
			body := string(rune('a' + i))
			got := c.send(e, request{path: "/q/orders", key: vetsKey, body: body})
			if got.verdict != verdict.Done {
				// The stray copy of an earlier answer was seen and refused.
				qt.Assert(t, got.reason, qt.Equals, verdict.ReasonCutAnswer)
				qt.Assert(t, quiet, qt.IsFalse)
				continue
			}
			qt.Assert(t, got.body, qt.Equals, body)
			time.Sleep(time.Duration(i%4) * 2 * time.Millisecond)
		}
	}
}

// TestUnreachableServer checks requests to a server that is gone: nothing was
// sent, so that also one that is not idempotent goes to another server.
func TestUnreachableServer(t *testing.T) {
	t.Parallel()
	c := newCell(t)
	e := c.addEntry()
	gone := c.addServer("orders")
	gone.Close()
	got := c.send(e, request{path: "/q/orders", key: vetsKey, body: "x", deadline: time.Second})
	qt.Assert(t, got.reason, qt.Equals, verdict.ReasonUnreachable)
	qt.Assert(t, got.verdict, qt.Equals, verdict.NotRun)
	good := c.addServer("orders")
	for range 8 {
		got = c.send(e, request{path: "/q/orders", key: vetsKey, body: "x"})
		qt.Assert(t, got.body, qt.Equals, "x")
	}
	qt.Assert(t, good.Counts().Runs, qt.HasLen, 8)
}

// TestLeavingServerGetsNothingNew covers a server that says so and one that
// falls silent, and that what it runs is not cut.
func TestLeavingServerGetsNothingNew(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		leave func(s *backend.Server)
	}{
		{"leaving", (*backend.Server).Leave},
		{"silent", (*backend.Server).FallSilent},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			t.Parallel()
			c := newCell(t)
			e := c.addEntry()
			s := c.addServer("orders", func(cfg *fakeConfig) { cfg.Delay = 2600 * time.Millisecond })
			running := make(chan answer, 1)
			go func() { running <- c.send(e, request{path: "/q/orders", key: vetsKey, body: "x"}) }()
			c.eventually("runs", func() bool { return s.Counts().Running == 1 })
			k.leave(s)
			c.eventually("no slots", func() bool { held, _ := e.router.Pool().QueueLoad("orders"); return held == 0 })
			got := c.send(e, request{path: "/q/orders", key: vetsKey, body: "y", deadline: 100 * time.Millisecond})
			qt.Assert(t, got.reason, qt.Equals, verdict.ReasonNoServer)
			qt.Assert(t, got.verdict, qt.Equals, verdict.NotRun)
			qt.Assert(t, (<-running).body, qt.Equals, "x")
		})
	}
}

// TestTriesAreBounded sends one idempotent request to servers that all fail.
func TestTriesAreBounded(t *testing.T) {
	t.Parallel()
	c := newCell(t)
	e := c.addEntry()
	for range 5 {
		c.startServer("orders").SetMode(backend.Drop)
	}
	c.awaitSlots()
	got := c.send(e, request{path: "/q/orders", key: vetsKey, body: "x", idempotent: true})
	qt.Assert(t, got.verdict, qt.Equals, verdict.MayHaveRun)
	runs := 0
	for _, s := range c.servers {
		n := s.Counts().Runs[got.id]
		qt.Assert(t, n <= 1, qt.IsTrue, qt.Commentf("a server that failed was tried again"))
		runs += n
	}
	qt.Assert(t, runs, qt.Equals, 3)
}

// TestSlowCallerGivesItsSlotBack sends a request and doesn't read the answer.
func TestSlowCallerGivesItsSlotBack(t *testing.T) {
	t.Parallel()
	c := newCell(t)
	c.control.Set(func(v *api.EntryView) {
		v.Tree = settings.NewTree()
		v.Tree.Set(settings.LevelWorkspace, "vets", settings.RequestIdle, settings.Value{Int: 300}, 7)
	})
	e := c.addEntry()
	s := c.addServer("orders", func(cfg *fakeConfig) { cfg.AnswerBytes = 15 << 20 })
	s.SetMode(backend.Large)
	conn, err := net.Dial("tcp", e.Addr())
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	fmt.Fprintf(conn, "GET /q/orders HTTP/1.1\r\nHost: x\r\nKq-Idempotent: true\r\nKq-Key: %s\r\n\r\n", vetsKey)
	c.eventually("runs", func() bool { return e.router.Pool().Load().InUse == 1 })
	c.eventually("slot is back", func() bool { return e.router.Pool().Load().InUse == 0 })
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	qt.Assert(t, err, qt.IsNil)
	_, err = io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.ErrorIs, io.ErrUnexpectedEOF)
}

// TestNextControlIsAsked starts an entry VM whose own kqcontrol is gone.
func TestNextControlIsAsked(t *testing.T) {
	t.Parallel()
	c := newCell(t)
	e := c.addEntry(func(cfg *Config) { cfg.Control = append([]string{freeAddr(t)}, cfg.Control...) })
	c.addServer("orders")
	qt.Assert(t, c.send(e, request{path: "/q/orders", key: vetsKey, body: "x"}).body, qt.Equals, "x")
}
