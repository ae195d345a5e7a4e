package fdlimit

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// connOf is the context key of a connection.
type connOf struct{}

// serveLimited starts a server with a limit on its connections.
func serveLimited(t *testing.T, limit int, h http.Handler) *Listener {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	l := NewListener(inner, limit, func() {})
	conn := func(ctx context.Context) net.Conn { c, _ := ctx.Value(connOf{}).(net.Conn); return c }
	s := &http.Server{ConnState: l.ConnState, Handler: l.Handler(conn, h), ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connOf{}, c)
	}}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return l
}

// TestStalledConnectionsMakeWay guards against clients that keep out all others by requests
// that they never end, while requests that are being carried out keep their connections.
func TestStalledConnectionsMakeWay(t *testing.T) {
	entered, proceed := make(chan struct{}), make(chan struct{})
	l := serveLimited(t, 4, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			entered <- struct{}{}
			<-proceed
		}
	}))
	url := "http://" + l.Addr().String()
	slow := make(chan error, 1)
	go func() {
		resp, err := http.Get(url + "/slow")
		if err == nil {
			resp.Body.Close()
		}
		slow <- err
	}()
	<-entered
	for _, sent := range []string{"", "GET / HT", "GET / HTTP/1.1\r\nHost: h\r\n"} {
		_, err := dialTCP(t, l.Addr()).Write([]byte(sent))
		qt.Assert(t, err, qt.IsNil)
	}
	for deadline := time.Now().Add(30 * time.Second); l.Open() < 4 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	// The stalled connections make way only after stallTime.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var err error
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		var resp *http.Response
		if resp, err = client.Get(url); err == nil {
			resp.Body.Close()
			break
		}
	}
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, l.FullCount() > 0, qt.IsTrue)
	close(proceed)
	qt.Check(t, <-slow, qt.IsNil, qt.Commentf("a request that was being carried out lost its connection"))
}

// TestSlowReadersGetTheWholeResponse guards against a response that is cut off although its
// reader makes progress: each part has a deadline of its own.
func TestSlowReadersGetTheWholeResponse(t *testing.T) {
	server, client := net.Pipe()
	defer client.Close()
	c := newServerConn(server, func() {})
	const size = 10*writePart + 1
	written := make(chan error, 1)
	go func() {
		n, err := c.Write(make([]byte, size))
		if err == nil && n != size {
			err = net.ErrClosed
		}
		written <- err
		c.Close()
	}()
	got, buf := 0, make([]byte, 1000)
	for {
		n, err := client.Read(buf)
		got += n
		if err != nil {
			break
		}
	}
	qt.Check(t, got, qt.Equals, size)
	qt.Check(t, <-written, qt.IsNil)
}

// TestWriteDeadlineOfTheServerHolds guards against a response that goes on beyond the deadline
// that its handler has set.
func TestWriteDeadlineOfTheServerHolds(t *testing.T) {
	server, client := net.Pipe()
	defer client.Close()
	c := newServerConn(server, func() {})
	qt.Assert(t, c.SetWriteDeadline(time.Now().Add(-time.Second)), qt.IsNil)
	_, err := c.Write([]byte("x"))
	var timeout net.Error
	qt.Check(t, err, qt.ErrorAs, &timeout)
	qt.Assert(t, c.SetDeadline(time.Time{}), qt.IsNil)
	written := make(chan error, 1)
	go func() {
		_, err := c.Write([]byte("x"))
		written <- err
	}()
	for !c.writing.Load() {
		time.Sleep(time.Millisecond)
	}
	qt.Assert(t, c.SetWriteDeadline(time.Now().Add(-time.Second)), qt.IsNil)
	qt.Check(t, <-written, qt.ErrorAs, &timeout, qt.Commentf("the write in progress must end"))
}

// TestCarriedOutRequestsDoNotCountAsStalled guards against a connection that makes way between
// the end of a long request's handler and the sending of its response, so that the response to
// a request that has run is lost.
func TestCarriedOutRequestsDoNotCountAsStalled(t *testing.T) {
	server, client := net.Pipe()
	defer client.Close()
	l := NewListener(nil, 1, func() {})
	c, ok := l.tryAdd(server).(*serverConn)
	qt.Assert(t, ok, qt.IsTrue)
	defer c.Close()
	h := l.Handler(func(context.Context) net.Conn { return c }, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		c.progress.Store(time.Now().Add(-time.Minute).UnixNano())
	}))
	h.ServeHTTP(nil, (&http.Request{}).WithContext(context.Background()))
	qt.Check(t, l.longestStalled(time.Now()), qt.IsNil)
	qt.Check(t, l.longestStalled(time.Now().Add(2*stallTime)), qt.Equals, net.Conn(c), qt.Commentf("a client that stalls afterwards is kept"))
}
