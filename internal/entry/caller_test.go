package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/api"
	"kumquatwing/internal/ledger"
	"kumquatwing/internal/model"
	"kumquatwing/internal/settings"
	"kumquatwing/internal/verdict"
)

// sendRaw sends text unchanged over a new connection and returns the response. It
// allows requests that an HTTP client would not send.
func sendRaw(t *testing.T, e *testEntry, text string, closeWrite bool) (*http.Response, error) {
	t.Helper()
	conn, err := net.Dial("tcp", e.Addr())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, err = io.WriteString(conn, text)
	qt.Assert(t, err, qt.IsNil)
	if closeWrite {
		conn.(*net.TCPConn).CloseWrite()
	}
	return http.ReadResponse(bufio.NewReader(conn), nil)
}

// TestCallerContract checks that invalid requests are refused with the correct
// verdict and reach no backend server.
func TestCallerContract(t *testing.T) {
	t.Parallel()
	dc := newTestDC(t)
	dc.control.Set(func(v *api.EntryView) {
		revoked := testKey("k3", "vets")
		revoked.Revoked = true
		v.Keys = append(v.Keys, revoked)
		v.Tree = settings.NewTree()
		v.Tree.Set(settings.LevelWorkspace, "vets", settings.RequestBody, settings.Value{Int: 100_000}, 7)
		v.Tree.Set(settings.LevelWorkspace, "vets", settings.RequestIdle, settings.Value{Int: 300}, 7)
	})
	e := dc.addEntry()
	s := dc.addServer("orders")
	post := func(header string, body string) string {
		return "POST /q/orders HTTP/1.1\r\nHost: x\r\nKq-Key: " + vetsKey + "\r\n" + header + "\r\n" + body
	}
	cases := []struct {
		name       string
		text       string
		closeWrite bool
		status     int
		verdict    verdict.Verdict
		reason     verdict.Reason
	}{
		{"no key", "GET /q/orders HTTP/1.1\r\nHost: x\r\n\r\n", false, 401, verdict.NotRun, verdict.ReasonBadKey},
		{"wrong key", "GET /q/orders HTTP/1.1\r\nHost: x\r\nKq-Key: kq_k1_guess\r\n\r\n", false, 401, verdict.NotRun, verdict.ReasonBadKey},
		{"malformed key", "GET /q/orders HTTP/1.1\r\nHost: x\r\nKq-Key: secret\r\n\r\n", false, 401, verdict.NotRun, verdict.ReasonBadKey},
		{"revoked key", "GET /q/orders HTTP/1.1\r\nHost: x\r\nKq-Key: kq_k3_secret\r\n\r\n", false, 401, verdict.NotRun, verdict.ReasonBadKey},
		{"another workspace's key", "GET /q/orders HTTP/1.1\r\nHost: x\r\nKq-Key: " + shopKey + "\r\n\r\n", false, 403, verdict.NotRun, verdict.ReasonWrongWorkspace},
		{"unknown queue", "GET /q/nothing HTTP/1.1\r\nHost: x\r\n\r\n", false, 404, verdict.NotRun, verdict.ReasonUnknownQueue},
		{"unknown path", "GET /x HTTP/1.1\r\nHost: x\r\n\r\n", false, 400, verdict.NotRun, verdict.ReasonBadRequest},
		{"deadline without number", post("Kq-Deadline-Ms: soon\r\nContent-Length: 0\r\n", ""), false, 400, verdict.NotRun, verdict.ReasonBadRequest},
		{"deadline in the past", post("Kq-Deadline-Ms: -5\r\nContent-Length: 0\r\n", ""), false, 400, verdict.NotRun, verdict.ReasonBadRequest},
		{"idempotent neither true nor false", post("Kq-Idempotent: maybe\r\nContent-Length: 0\r\n", ""), false, 400, verdict.NotRun, verdict.ReasonBadRequest},
		{"malformed id", post("Kq-Request-Id: mine\r\nContent-Length: 0\r\n", ""), false, 400, verdict.NotRun, verdict.ReasonBadRequest},
		{"declared body too large", post("Content-Length: 100001\r\n", ""), false, 413, verdict.NotRun, verdict.ReasonTooLarge},
		{"chunked body ends early", post("Transfer-Encoding: chunked\r\n", "5\r\nab"), true, 400, verdict.NotRun, verdict.ReasonBadRequest},
		{"sized body ends early", post("Content-Length: 10\r\n", "abc"), true, 400, verdict.NotRun, verdict.ReasonBadRequest},
		{"body stalls", post("Content-Length: 10\r\n", "abc"), false, 400, verdict.NotRun, verdict.ReasonBadRequest},
		{"path too long", "GET /q/orders/" + strings.Repeat("a", 9000) + " HTTP/1.1\r\nHost: x\r\nKq-Key: " + vetsKey + "\r\n\r\n", false, 413, verdict.NotRun, verdict.ReasonTooLarge},
		{"headers too long", "GET /q/orders HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("a", 64<<10) + "\r\n\r\n", false, 431, "", ""},
		{"not HTTP", "HELLO\r\n\r\n", false, 400, "", ""},
		{"wrong key with an id that may have run", "POST /q/orders HTTP/1.1\r\nHost: x\r\nKq-Key: kq_k1_guess\r\nKq-Request-Id: " + string(e.router.NewRequestID()) + "\r\nContent-Length: 0\r\n\r\n", false, 401, verdict.MayHaveRun, verdict.ReasonBadKey},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			resp, err := sendRaw(t, e, tc.text, tc.closeWrite)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, resp.StatusCode, qt.Equals, tc.status)
			qt.Assert(t, verdict.Verdict(resp.Header.Get(api.HeaderVerdict)), qt.Equals, tc.verdict)
			qt.Assert(t, verdict.Reason(resp.Header.Get(api.HeaderReason)), qt.Equals, tc.reason)
		})
	}
	qt.Assert(t, s.Counts().Runs, qt.HasLen, 0)
}

// TestRefusalNamesSettingsLevel checks that a refusal names the settings level that
// the exceeded limit comes from.
func TestRefusalNamesSettingsLevel(t *testing.T) {
	t.Parallel()
	dc := newTestDC(t)
	dc.control.Set(func(v *api.EntryView) {
		v.Tree = settings.NewTree()
		v.Tree.Set(settings.LevelWorkspace, "vets", settings.RequestBody, settings.Value{Int: 4}, 7)
	})
	e := dc.addEntry()
	got := dc.send(e, request{path: "/q/orders", key: vetsKey, body: "12345"})
	qt.Assert(t, got.body, qt.Contains, `"decided_by":"request.body=4B by workspace vets, revision 7"`)
}

// TestOpenQueueNeedsNoKey checks that an open queue accepts requests with no key or
// with a wrong one, and also after the settings lease has expired.
func TestOpenQueueNeedsNoKey(t *testing.T) {
	t.Parallel()
	dc := newTestDC(t)
	e := dc.addEntry()
	dc.addServer("lookup")
	for _, k := range []string{"", vetsKey, "kq_k1_guess"} {
		got := dc.send(e, request{path: "/q/lookup", key: k, body: "x"})
		qt.Assert(t, got.status, qt.Equals, 200)
	}
	// Without a settings lease, only open queues accept requests.
	dc.addServer("orders")
	dc.control.SetLease(0)
	dc.eventually("lease expires", func() bool { return e.router.LeaseLeft() == 0 })
	qt.Assert(t, dc.send(e, request{path: "/q/lookup", body: "x"}).status, qt.Equals, 200)
	got := dc.send(e, request{path: "/q/orders", key: vetsKey, body: "x"})
	qt.Assert(t, got.reason, qt.Equals, verdict.ReasonNoLease)
	qt.Assert(t, got.verdict, qt.Equals, verdict.NotRun)
}

// TestLargeBodies checks that bodies larger than all buffers are forwarded and
// returned unchanged, sized and chunked.
func TestLargeBodies(t *testing.T) {
	t.Parallel()
	dc := newTestDC(t)
	e := dc.addEntry()
	dc.addServer("orders")
	body := strings.Repeat("0123456789abcdef", 50_000)
	got := dc.send(e, request{path: "/q/orders", key: vetsKey, body: body})
	qt.Assert(t, got.err, qt.IsNil)
	qt.Assert(t, got.body == body, qt.IsTrue)
	chunk := strings.Repeat("x", 200_000)
	text := fmt.Sprintf("POST /q/orders HTTP/1.1\r\nHost: x\r\nKq-Key: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", vetsKey, len(chunk), chunk)
	resp, err := sendRaw(t, e, text, false)
	qt.Assert(t, err, qt.IsNil)
	back, err := io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(back) == chunk, qt.IsTrue)
}

// TestRepeats checks the response to a duplicate request, depending on the state of
// the ledger record.
func TestRepeats(t *testing.T) {
	t.Parallel()
	dc := newTestDC(t)
	e, other := dc.addEntry(), dc.addEntry()
	s := dc.addServer("orders", func(cfg *fakeConfig) { cfg.Delay = 300 * time.Millisecond })
	id := e.router.NewRequestID()
	first := make(chan result, 1)
	go func() { first <- dc.send(e, request{path: "/q/orders", key: vetsKey, body: "x", id: id}) }()
	dc.eventually("runs", func() bool { return s.Counts().Runs[id] == 1 })
	cases := []struct {
		name    string
		q       request
		verdict verdict.Verdict
		reason  verdict.Reason
		status  int
	}{
		{"in flight, no time to wait", request{id: id, body: "x", deadline: 30 * time.Millisecond}, verdict.MayHaveRun, verdict.ReasonDuplicate, 409},
		{"in flight, waits for the response", request{id: id, body: "x"}, verdict.Done, verdict.ReasonDuplicate, 200},
		{"answered", request{id: id, body: "x"}, verdict.Done, verdict.ReasonDuplicate, 200},
		{"another body", request{id: id, body: "y"}, verdict.MayHaveRun, verdict.ReasonConflict, 409},
		{"older generation", request{id: ledger.Mint("a", 0, 1, "r"), body: "x"}, verdict.MayHaveRun, verdict.ReasonRecordExpired, 410},
		{"id older than records are kept", request{id: ledger.Mint("a", 1, 1, "r"), body: "x"}, verdict.MayHaveRun, verdict.ReasonRecordExpired, 410},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			tc.q.path, tc.q.key = "/q/orders", vetsKey
			got := dc.send(other, tc.q)
			qt.Assert(t, got.verdict, qt.Equals, tc.verdict)
			qt.Assert(t, got.reason, qt.Equals, tc.reason)
			qt.Assert(t, got.status, qt.Equals, tc.status)
		})
	}
	qt.Assert(t, (<-first).body, qt.Equals, "x")
	qt.Assert(t, s.Counts().Runs[id], qt.Equals, 1)
}

// TestRevokedKeyStopsWaitingRequests checks that a request is refused if its key is
// revoked while the request waits for a slot.
func TestRevokedKeyStopsWaitingRequests(t *testing.T) {
	t.Parallel()
	dc := newTestDC(t)
	e := dc.addEntry()
	s := dc.addServer("orders", func(cfg *fakeConfig) {
		cfg.Slots, cfg.Delay = 1, 500*time.Millisecond
	})
	go dc.send(e, request{path: "/q/orders", key: vetsKey, body: "first"})
	dc.eventually("first runs", func() bool { return s.Counts().Running == 1 })
	got := make(chan result, 1)
	go func() { got <- dc.send(e, request{path: "/q/orders", key: vetsKey, body: "second"}) }()
	dc.eventually("second waits", func() bool { return e.router.Pool().Load().Waiting == 1 })
	dc.control.Set(func(v *api.EntryView) { v.Keys[0].Revoked = true })
	refused := <-got
	qt.Assert(t, refused.reason, qt.Equals, verdict.ReasonBadKey)
	qt.Assert(t, refused.verdict, qt.Equals, verdict.NotRun)
	qt.Assert(t, s.Counts().Runs, qt.HasLen, 1)
}

// TestAnnouncementContract checks that each kind of invalid announcement is refused
// with an error that names the fault.
func TestAnnouncementContract(t *testing.T) {
	t.Parallel()
	dc := newTestDC(t)
	e := dc.addEntry()
	good := `{"server":"s","addr":"127.0.0.1:1","dc":"a","queue":"orders","slots":8,"connections":60,"incarnation":"1","leaving":false}`
	cases := []struct {
		name, from, to, want string
	}{
		{"not JSON", good, "{", "body ends within its JSON value"},
		{"unknown field", `"leaving"`, `"leafing"`, "leafing"},
		{"wrong type", `"slots":8`, `"slots":"8"`, `field \"slots\"`},
		{"no server", `"server":"s"`, `"server":""`, `field \"server\"`},
		{"other data centre", `"dc":"a"`, `"dc":"b"`, `field \"dc\"`},
		{"address without port", "127.0.0.1:1", "127.0.0.1", `field \"addr\"`},
		{"address by name", "127.0.0.1:1", "host:1", `field \"addr\"`},
		{"no slots", `"slots":8`, `"slots":0`, `field \"slots\"`},
		{"fewer connections than slots", `"connections":60`, `"connections":7`, `field \"connections\"`},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			resp, err := http.Post("http://"+e.Addr()+api.PathAnnounce, "application/json", strings.NewReader(strings.Replace(good, tc.from, tc.to, 1)))
			qt.Assert(t, err, qt.IsNil)
			defer resp.Body.Close()
			body, _ := io.ReadAll(resp.Body)
			qt.Assert(t, resp.StatusCode, qt.Equals, 400)
			qt.Assert(t, string(body), qt.Contains, tc.want)
		})
	}
	qt.Assert(t, dc.control.Granted(model.ServerID("s")), qt.Equals, 0)
}
