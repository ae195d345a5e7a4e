package fdlimit

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestSplitStaysWithinTheLimit(t *testing.T) {
	for _, limit := range []int{64, 200, 300, 1024, 3896, 4124, 100_000} {
		b := Split(limit)
		qt.Check(t, b.Storage+b.Peers+b.Inbound+b.LongPolls+b.Orders <= limit, qt.IsTrue, qt.Commentf("%d: %+v", limit, b))
		qt.Check(t, min(b.Storage, b.Peers, b.Inbound, b.LongPolls, b.Orders) > 0, qt.IsTrue, qt.Commentf("%d: %+v", limit, b))
	}
	qt.Check(t, Split(0), qt.Equals, Split(defaultLimit))
}

// pipeDial opens connections that lead nowhere and counts the open ones.
type pipeDial struct{ open, most atomic.Int64 }

type countedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

func (d *pipeDial) dial(context.Context, string, string) (net.Conn, error) {
	a, _ := net.Pipe()
	n := d.open.Add(1)
	for old := d.most.Load(); n > old && !d.most.CompareAndSwap(old, n); old = d.most.Load() {
	}
	return &countedConn{Conn: a, open: &d.open}, nil
}

func TestLimiterNeverExceedsItsLimit(t *testing.T) {
	const limit = 5
	d := &pipeDial{}
	l := NewLimiter(limit, d.dial, func() {})
	var wg sync.WaitGroup
	for range 60 {
		wg.Go(func() {
			conn, err := l.DialContext(t.Context(), "tcp", "x")
			qt.Check(t, err, qt.IsNil)
			time.Sleep(time.Millisecond)
			qt.Check(t, conn.Close(), qt.IsNil)
			qt.Check(t, conn.Close(), qt.IsNil, qt.Commentf("a second close must not free a second slot"))
		})
	}
	wg.Wait()
	qt.Check(t, d.most.Load() <= limit, qt.IsTrue, qt.Commentf("%d connections were open", d.most.Load()))
	qt.Check(t, l.Open(), qt.Equals, 0)
}

func TestLimiterAsksForIdleConnectionsAndWaits(t *testing.T) {
	d := &pipeDial{}
	var idle net.Conn
	l := NewLimiter(1, d.dial, func() { _ = idle.Close() })
	idle, _ = l.DialContext(t.Context(), "tcp", "x")
	second, err := l.DialContext(t.Context(), "tcp", "y")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, l.FullCount(), qt.Equals, uint64(1))
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
	defer cancel()
	_, err = l.DialContext(ctx, "tcp", "z")
	qt.Check(t, err, qt.ErrorIs, context.DeadlineExceeded)
	qt.Check(t, second.Close(), qt.IsNil)
}

func TestListenerClosesConnectionsBeyondItsLimit(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	full := 0
	l := NewListener(inner, 1, func() { full++ })
	defer l.Close()
	accepted := make(chan net.Conn, 4)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	first := dialTCP(t, inner.Addr())
	served := <-accepted
	second := dialTCP(t, inner.Addr())
	_ = second.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = second.Read(make([]byte, 1))
	var timeout net.Error
	qt.Check(t, err, qt.Not(qt.ErrorAs), &timeout, qt.Commentf("the connection must be closed, not left waiting"))
	qt.Check(t, served.Close(), qt.IsNil)
	third := dialTCP(t, inner.Addr())
	(<-accepted).Close()
	first.Close()
	third.Close()
	qt.Check(t, full, qt.Equals, 1)
}

// TestIdleConnectionsMakeWay guards against clients that are kept out for good: many
// workers keep their connections open, and an operator, or another worker, gets none.
func TestIdleConnectionsMakeWay(t *testing.T) {
	const limit, clients = 3, 8
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	l := NewListener(inner, limit, func() {})
	busy := make(chan struct{})
	server := &http.Server{ConnState: l.ConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			w.(http.Flusher).Flush()
			<-busy
		}
	})}
	go server.Serve(l)
	defer server.Close()
	get := func(c *http.Client, path string) error {
		resp, err := c.Get("http://" + inner.Addr().String() + path)
		if err != nil {
			return err
		}
		if path != "/wait" {
			return resp.Body.Close()
		}
		return nil
	}
	for i := range clients {
		c := &http.Client{Transport: &http.Transport{}}
		qt.Check(t, get(c, "/"), qt.IsNil, qt.Commentf("client %d", i))
		// The client may have its response before the server counts its connection as idle.
		waitForIdle(t, l, min(i+1, limit))
	}
	for i := range limit {
		c := &http.Client{Transport: &http.Transport{}}
		qt.Check(t, get(c, "/wait"), qt.IsNil, qt.Commentf("client %d", i))
	}
	refused := &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
	qt.Check(t, get(refused, "/"), qt.IsNotNil, qt.Commentf("no connection is idle"))
	close(busy)
}

// waitForIdle waits until the given number of connections is idle.
func waitForIdle(t *testing.T, l *Listener, want int) {
	t.Helper()
	idle := func() int {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.idle.Len()
	}
	for end := time.Now().Add(5 * time.Second); idle() < want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d of %d connections are idle", idle(), want)
		}
	}
}

func dialTCP(t *testing.T, addr net.Addr) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr.String())
	qt.Assert(t, err, qt.IsNil)
	return conn
}

// TestEntryProcessesReachLeader guards against a limit on inbound connections that keeps
// entry processes from the leader: at 300 VMs those beyond it were refused, and with them
// all their callers.
func TestEntryProcessesReachLeader(t *testing.T) {
	const vms = 300
	qt.Check(t, Split(4096-200).PeersIn >= vms+vms/2, qt.IsTrue, qt.Commentf("%+v", Split(4096-200)))
}

// TestLargeFleetFits checks that the limit of the users' control VMs leaves a connection
// for the orders to each of 1,100 workers and one for its long poll.
func TestLargeFleetFits(t *testing.T) {
	const limit, workers = 4124, 1100
	b := Split(limit)
	qt.Check(t, b.Orders >= workers*5/4, qt.IsTrue, qt.Commentf("%+v", b))
	qt.Check(t, b.LongPolls >= workers, qt.IsTrue, qt.Commentf("%+v", b))
	const grown = workers * 4 / 3
	qt.Check(t, b.Orders >= grown, qt.IsTrue, qt.Commentf("%+v for a third more workers", b))
}
