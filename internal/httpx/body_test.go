package httpx

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/api"
	"kumquatwing/internal/bodylimit"
)

// serveBodies starts a server that reads bodies of up to limit bytes.
func serveBodies(t *testing.T, budget *bodylimit.Budget, limit int64) net.Addr {
	t.Helper()
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, body, refusal := ReadBody(w, r, limit)
		if refusal != nil {
			WriteRefusal(w, refusal)
			return
		}
		defer body.End()
		WriteJSON(w, http.StatusOK, len(data))
	})
	s := httptest.NewUnstartedServer(UseBudget(budget, h))
	s.Config.ConnContext = WithConn
	s.Start()
	t.Cleanup(s.Close)
	return s.Listener.Addr()
}

// send opens a connection and sends a request with n bytes of body, of which it declares more
// if the body is to stall.
func send(t *testing.T, addr net.Addr, declared, n int) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr.String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { conn.Close() })
	_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", declared, strings.Repeat(" ", n))
	qt.Assert(t, err, qt.IsNil)
	return conn
}

// response reads the response on a connection.
func response(t *testing.T, conn net.Conn) *http.Response {
	t.Helper()
	qt.Assert(t, conn.SetReadDeadline(time.Now().Add(30*time.Second)), qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	qt.Assert(t, err, qt.IsNil)
	_, err = io.Copy(io.Discard, resp.Body)
	qt.Assert(t, err, qt.IsNil)
	return resp
}

func waitUsed(t *testing.T, b *bodylimit.Budget, atLeast, atMost int64) {
	t.Helper()
	for range 3000 {
		if used := b.Used(); used >= atLeast && used <= atMost {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%d bytes are used, not %d to %d", b.Used(), atLeast, atMost)
}

// TestRejectedBodyIsRefusedAsNotRun guards against a stalled body that keeps its memory, and
// against a rejection without its guarantees.
func TestRejectedBodyIsRefusedAsNotRun(t *testing.T) {
	budget := bodylimit.New("test", 400<<10)
	addr := serveBodies(t, budget, 256<<10)
	stalled := send(t, addr, 256<<10, 200<<10)
	waitUsed(t, budget, 200<<10, 400<<10)
	qt.Check(t, response(t, send(t, addr, 150<<10, 150<<10)).StatusCode, qt.Equals, http.StatusOK)
	resp := response(t, stalled)
	qt.Check(t, resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	qt.Check(t, resp.Header.Get("Retry-After"), qt.Equals, "1")
	qt.Check(t, resp.Header.Get(api.HeaderVerdict), qt.Equals, "not-run")
	qt.Check(t, resp.Close, qt.IsTrue, qt.Commentf("the rest of the body must not be taken for a request"))
	waitUsed(t, budget, 0, 0)
}

// TestBodyOverItsLimitGetsResponse guards against a process that reads a body of any length to
// its end, and a client that finds its connection reset instead of a response.
func TestBodyOverItsLimitGetsResponse(t *testing.T) {
	budget := bodylimit.New("test", 4<<20)
	addr := serveBodies(t, budget, 64<<10)
	for name, sent := range map[string]int{"nothing sent": 0, "limit exceeded": 96 << 10} {
		t.Run(name, func(t *testing.T) {
			resp := response(t, send(t, addr, 64<<20, sent))
			qt.Check(t, resp.StatusCode, qt.Equals, http.StatusRequestEntityTooLarge)
			qt.Check(t, resp.Close, qt.IsTrue)
		})
	}
	waitUsed(t, budget, 0, 0)
}

// TestClientsThatFailHalfway guards against memory that stays charged after clients have
// disconnected in the middle of their bodies.
func TestClientsThatFailHalfway(t *testing.T) {
	budget := bodylimit.New("test", 4<<20)
	addr := serveBodies(t, budget, 256<<10)
	var conns []net.Conn
	for range 8 {
		conns = append(conns, send(t, addr, 256<<10, 100<<10))
	}
	waitUsed(t, budget, 800<<10, 4<<20)
	for i, c := range conns {
		if i%2 == 0 {
			qt.Assert(t, c.(*net.TCPConn).SetLinger(0), qt.IsNil)
		}
		qt.Assert(t, c.Close(), qt.IsNil)
	}
	waitUsed(t, budget, 0, 0)
	qt.Check(t, budget.Rejected(), qt.Equals, uint64(0))
	qt.Check(t, response(t, send(t, addr, 256<<10, 256<<10)).StatusCode, qt.Equals, http.StatusOK)
}
