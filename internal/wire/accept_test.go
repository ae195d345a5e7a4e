package wire

import (
	"context"
	"errors"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

// failingListener fails the first calls of Accept, as the kernel does while the process
// has no descriptors left.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, errors.New("too many open files")
	}
	return l.Listener.Accept()
}

// TestNodeAcceptsAfterErrors guards against a process that no other can reach any more,
// since its listener has failed once.
func TestNodeAcceptsAfterErrors(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server, client := newNode(&failingListener{l, 3}, nil), listen(t, nil)
	t.Cleanup(func() { server.Close() })
	server.Handle("ok", func(context.Context, []byte) ([]byte, error) { return nil, nil })
	_, err = client.CallRaw(context.Background(), server.Addr(), "ok", nil)
	qt.Check(t, err, qt.IsNil)
}
