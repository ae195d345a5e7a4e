package httpx

import (
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestCallersThatHaveGoneAreSeen guards against a call that is carried out although its
// caller has given up: the process finds the request and the end of the connection at the
// same time, after it was suspended.
func TestCallersThatHaveGoneAreSeen(t *testing.T) {
	for _, c := range []struct {
		name  string
		leave func(c *net.TCPConn) error
		gone  bool
	}{
		{"waits", func(*net.TCPConn) error { return nil }, false},
		{"has closed", (*net.TCPConn).Close, true},
		{"has reset", func(c *net.TCPConn) error {
			if err := c.SetLinger(0); err != nil {
				return err
			}
			return c.Close()
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			conn, err := net.Dial("tcp", l.Addr().String())
			qt.Assert(t, err, qt.IsNil)
			defer conn.Close()
			_, err = conn.Write([]byte("DELETE /x HTTP/1.1\r\nHost: h\r\n\r\n"))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, c.leave(conn.(*net.TCPConn)), qt.IsNil)
			time.Sleep(20 * time.Millisecond)

			gone := make(chan bool, 1)
			srv := &http.Server{ConnContext: WithConn, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				gone <- CallerGone(r.Context())
			})}
			go srv.Serve(l)
			defer srv.Close()
			select {
			case g := <-gone:
				qt.Check(t, g, qt.Equals, c.gone)
			case <-time.After(time.Second):
				// A request on a connection that was reset may not be read at all.
				qt.Check(t, c.gone, qt.IsTrue)
			}
		})
	}
}
