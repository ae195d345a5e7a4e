package wire

import (
	"context"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
)

// userTimeout returns a connection's TCP_USER_TIMEOUT in milliseconds.
func userTimeout(t *testing.T, c net.Conn) int {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	qt.Assert(t, err, qt.IsNil)
	millis := 0
	qt.Assert(t, raw.Control(func(fd uintptr) {
		millis, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}), qt.IsNil)
	qt.Assert(t, err, qt.IsNil)
	return millis
}

// TestUnackedTimeoutIsSetOnBothEnds checks that both ends of a connection have
// TCP_USER_TIMEOUT set, so that a network partition ends the connection and a new
// one is opened. It doesn't test that the kernel closes the connection, since
// dropping packets needs privileges that tests don't have.
func TestUnackedTimeoutIsSetOnBothEnds(t *testing.T) {
	a, err := Listen("127.0.0.1:0", nil)
	qt.Assert(t, err, qt.IsNil)
	defer a.Close()
	b, err := Listen("127.0.0.1:0", nil)
	qt.Assert(t, err, qt.IsNil)
	defer b.Close()
	b.Handle("t", func(context.Context, []byte) ([]byte, error) { return nil, nil })
	_, err = a.CallRaw(context.Background(), b.Addr(), "t", nil)
	qt.Assert(t, err, qt.IsNil)
	for _, n := range []*Node{a, b} {
		n.mu.Lock()
		qt.Check(t, n.conns, qt.HasLen, 1)
		for c := range n.conns {
			qt.Check(t, userTimeout(t, c), qt.Equals, int(unackedTimeout.Milliseconds()))
		}
		n.mu.Unlock()
	}
}
