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
	"kumquatwing/internal/fake/loopback"
	"kumquatwing/internal/settings"
	"kumquatwing/internal/verdict"
)

type fakeConfig = backend.Config

// TestBackendContract checks the response and verdict of a request to a backend
// server that responds in each of the fake's modes, most of them faulty, and
// whether an idempotent request is then retried with another server.
func TestBackendContract(t *testing.T) {
	t.Parallel()
	cases := []struct {
		mode    backend.Mode
		status  int
		verdict verdict.Verdict
		reason  verdict.Reason
		// retried tells whether an idempotent request is retried with another server.
		retried bool
	}{
		{backend.Echo, 200, verdict.Done, "", false},
		{backend.Error, 500, verdict.Done, "", false},
		{backend.Busy, 503, verdict.Done, "", true},
		{backend.Cut, 502, verdict.MayHaveRun, verdict.ReasonTruncatedResponse, true},
		{backend.Drop, 502, verdict.MayHaveRun, verdict.ReasonTruncatedResponse, true},
		{backend.Unsized, 502, verdict.MayHaveRun, verdict.ReasonTruncatedResponse, true},
		{backend.WrongID, 502, verdict.MayHaveRun, verdict.ReasonTruncatedResponse, true},
		{backend.Silent, 502, verdict.MayHaveRun, verdict.ReasonUnreachable, true},
		{backend.Large, 413, verdict.MayHaveRun, verdict.ReasonTooLarge, false},
		// The declared part is complete. Excess bytes are discarded with the
		// connection.
		{backend.Long, 200, verdict.Done, "", false},
		{backend.Duplicate, 200, verdict.Done, "", false},
		// The caller already has the status and half of the response when the
		// server closes the connection.
		{backend.CutLarge, 200, verdict.Done, "", false},
	}
	for _, tc := range cases {
		t.Run(string(tc.mode), func(t *testing.T) {
			dc := newTestDC(t)
			dc.control.Set(func(v *api.EntryView) {
				v.Tree = settings.NewTree()
				v.Tree.Set(settings.LevelWorkspace, "vets", settings.RequestIdle, settings.Value{Int: 200}, 7)
				v.Tree.Set(settings.LevelWorkspace, "vets", settings.RequestAnswer, settings.Value{Int: 600_000}, 7)
			})
			e := dc.addEntry()
			size := 500_000
			if tc.mode == backend.Large {
				size = 700_000
			}
			faulty := dc.addServer("orders", func(cfg *fakeConfig) { cfg.AnswerBytes = size })
			faulty.SetMode(tc.mode)
			got := dc.send(e, request{path: "/q/orders", key: vetsKey, body: "abcdef"})
			qt.Check(t, got.err != nil, qt.Equals, tc.mode == backend.CutLarge)
			qt.Check(t, got.status, qt.Equals, tc.status)
			qt.Check(t, got.verdict, qt.Equals, tc.verdict)
			qt.Check(t, got.reason, qt.Equals, tc.reason)
			qt.Check(t, faulty.Counts().Runs[got.id], qt.Equals, 1)
			if tc.mode == backend.CutLarge {
				return
			}

			good := dc.addServer("orders")
			for range 8 {
				got = dc.send(e, request{path: "/q/orders", key: vetsKey, body: "abcdef", idempotent: true})
				if tc.retried {
					qt.Check(t, got.body, qt.Equals, "abcdef")
				}
			}
			if tc.retried {
				qt.Check(t, good.Counts().Runs, qt.HasLen, 8)
			}
		})
	}
}

// TestLateAnswersGoNowhere checks that no caller gets the response to another
// request. The server sends each response twice, the second copy late, with or
// without the request's id.
func TestLateAnswersGoNowhere(t *testing.T) {
	t.Parallel()
	for _, omitRequestID := range []bool{false, true} {
		dc := newTestDC(t)
		e := dc.addEntry()
		s := dc.addServer("orders", func(cfg *fakeConfig) {
			cfg.Delay, cfg.OmitRequestID = 5*time.Millisecond, omitRequestID
		})
		s.SetMode(backend.Duplicate)
		for i := range 40 {
			body := string(rune('a' + i))
			got := dc.send(e, request{path: "/q/orders", key: vetsKey, body: body})
			if got.verdict != verdict.Done {
				// The router read the late copy of an earlier response and
				// rejected it by its id.
				qt.Assert(t, got.reason, qt.Equals, verdict.ReasonTruncatedResponse)
				qt.Assert(t, omitRequestID, qt.IsFalse)
				continue
			}
			qt.Assert(t, got.body, qt.Equals, body)
			time.Sleep(time.Duration(i%4) * 2 * time.Millisecond)
		}
	}
}

// TestUnreachableServer checks requests to a server that refuses connections. Since
// nothing was sent, even a request that is not idempotent is retried with another
// server.
func TestUnreachableServer(t *testing.T) {
	t.Parallel()
	dc := newTestDC(t)
	e := dc.addEntry()
	closed := dc.addServer("orders")
	closed.Close()
	got := dc.send(e, request{path: "/q/orders", key: vetsKey, body: "x", deadline: time.Second})
	qt.Assert(t, got.reason, qt.Equals, verdict.ReasonUnreachable)
	qt.Assert(t, got.verdict, qt.Equals, verdict.NotRun)
	good := dc.addServer("orders")
	for range 8 {
		got = dc.send(e, request{path: "/q/orders", key: vetsKey, body: "x"})
		qt.Assert(t, got.body, qt.Equals, "x")
	}
	qt.Assert(t, good.Counts().Runs, qt.HasLen, 8)
}

// TestLeavingServerGetsNothingNew checks that a server gets no new requests after it
// has announced that it leaves, or has stopped announcing itself. The request that
// it runs meanwhile is not aborted.
func TestLeavingServerGetsNothingNew(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		leave func(s *backend.Server)
	}{
		{"leaving", (*backend.Server).Leave},
		{"silent", (*backend.Server).StopAnnouncing},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			dc := newTestDC(t)
			e := dc.addEntry()
			s := dc.addServer("orders", func(cfg *fakeConfig) { cfg.Delay = 2600 * time.Millisecond })
			running := make(chan result, 1)
			go func() { running <- dc.send(e, request{path: "/q/orders", key: vetsKey, body: "x"}) }()
			dc.eventually("runs", func() bool { return s.Counts().Running == 1 })
			tc.leave(s)
			dc.eventually("slots are recalled", func() bool { held, _ := e.router.Pool().QueueLoad("orders"); return held == 0 })
			got := dc.send(e, request{path: "/q/orders", key: vetsKey, body: "y", deadline: 100 * time.Millisecond})
			qt.Assert(t, got.reason, qt.Equals, verdict.ReasonNoServer)
			qt.Assert(t, got.verdict, qt.Equals, verdict.NotRun)
			qt.Assert(t, (<-running).body, qt.Equals, "x")
		})
	}
}

// TestRetriesAreLimited checks that an idempotent request is sent 3 times at most, to
// a different server each time, if all servers fail.
func TestRetriesAreLimited(t *testing.T) {
	t.Parallel()
	dc := newTestDC(t)
	e := dc.addEntry()
	for range 5 {
		dc.startServer("orders").SetMode(backend.Drop)
	}
	dc.awaitSlots()
	got := dc.send(e, request{path: "/q/orders", key: vetsKey, body: "x", idempotent: true})
	qt.Assert(t, got.verdict, qt.Equals, verdict.MayHaveRun)
	runs := 0
	for _, s := range dc.servers {
		n := s.Counts().Runs[got.id]
		qt.Assert(t, n <= 1, qt.IsTrue, qt.Commentf("request was sent twice to the same server"))
		runs += n
	}
	qt.Assert(t, runs, qt.Equals, 3)
}

// TestSlowCallerReleasesSlot checks that a request whose caller doesn't read the
// response is aborted after the idle timeout and releases its slot.
func TestSlowCallerReleasesSlot(t *testing.T) {
	t.Parallel()
	dc := newTestDC(t)
	dc.control.Set(func(v *api.EntryView) {
		v.Tree = settings.NewTree()
		v.Tree.Set(settings.LevelWorkspace, "vets", settings.RequestIdle, settings.Value{Int: 300}, 7)
	})
	e := dc.addEntry()
	s := dc.addServer("orders", func(cfg *fakeConfig) { cfg.AnswerBytes = 15 << 20 })
	s.SetMode(backend.Large)
	conn, err := net.Dial("tcp", e.Addr())
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	fmt.Fprintf(conn, "GET /q/orders HTTP/1.1\r\nHost: x\r\nKq-Idempotent: true\r\nKq-Key: %s\r\n\r\n", vetsKey)
	dc.eventually("runs", func() bool { return e.router.Pool().Load().InUse == 1 })
	dc.eventually("slot is released", func() bool { return e.router.Pool().Load().InUse == 0 })
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	qt.Assert(t, err, qt.IsNil)
	_, err = io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.ErrorIs, io.ErrUnexpectedEOF)
}

// TestFailoverToNextControl checks that an entry VM uses the second kqcontrol address
// if the first one is unreachable.
func TestFailoverToNextControl(t *testing.T) {
	t.Parallel()
	dc := newTestDC(t)
	e := dc.addEntry(func(cfg *Config) { cfg.Control = append([]string{loopback.Addr()}, cfg.Control...) })
	dc.addServer("orders")
	qt.Assert(t, dc.send(e, request{path: "/q/orders", key: vetsKey, body: "x"}).body, qt.Equals, "x")
}
