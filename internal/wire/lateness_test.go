package wire

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/clock"
)

// heldConn holds up what is written to it while held is set.
type heldConn struct {
	net.Conn
	held *atomic.Bool
}

func (c *heldConn) Write(b []byte) (int, error) {
	for c.held.Load() {
		time.Sleep(time.Millisecond)
	}
	return c.Conn.Write(b)
}

// TestHeldUpRequestsAreNotRun guards against a request that is carried out with a full new
// budget after its caller has given up, since the receiver stood still or the connection
// was held up.
func TestHeldUpRequestsAreNotRun(t *testing.T) {
	var held atomic.Bool
	var d net.Dialer
	server := listen(t, nil)
	client := listen(t, func(ctx context.Context, addr string) (net.Conn, error) {
		c, err := d.DialContext(ctx, "tcp", addr)
		return &heldConn{c, &held}, err
	})
	var runs atomic.Int64
	server.Handle("count", func(context.Context, []byte) ([]byte, error) {
		runs.Add(1)
		return nil, nil
	})
	call := func(budget time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), budget)
		defer cancel()
		_, err := client.CallRaw(ctx, server.Addr(), "count", nil)
		return err
	}
	qt.Assert(t, call(5*time.Second), qt.IsNil)
	held.Store(true)
	qt.Check(t, call(100*time.Millisecond), qt.IsNotNil)
	time.Sleep(100 * time.Millisecond)
	held.Store(false)
	qt.Check(t, call(5*time.Second), qt.IsNil, qt.Commentf("a call on the same connection"))
	qt.Check(t, runs.Load(), qt.Equals, int64(2), qt.Commentf("the call that was given up"))
}

// TestLatenessIsRelative checks that the difference of two steady clocks, and a slow drift
// between them, don't count as lateness.
func TestLatenessIsRelative(t *testing.T) {
	const ahead = int64(1_000_000)
	var d delayTracker
	at := clock.Instant(time.Hour)
	sent := func() int64 { return time.Duration(at).Milliseconds() + ahead }
	qt.Check(t, d.lateness(sent(), at), qt.Equals, time.Duration(0))
	for range 1000 {
		at = at.Add(time.Second)
		drift := int64(time.Duration(at-clock.Instant(time.Hour)).Seconds() / 10)
		late := d.lateness(sent()-drift, at)
		qt.Assert(t, late <= 2*delayWindow/10_000, qt.IsTrue, qt.Commentf("%v", late))
	}
	at = at.Add(10 * delayWindow)
	qt.Check(t, d.lateness(sent()-(5*time.Second).Milliseconds(), at) > 4*time.Second, qt.IsTrue, qt.Commentf("after a long silence"))
	qt.Check(t, d.lateness(0, at), qt.Equals, time.Duration(0), qt.Commentf("a sender that doesn't tell"))
}
