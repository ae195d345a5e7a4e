package httpx

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// connKey is the context key of a request's connection.
type connKey struct{}

// WithConn returns the context of the requests on a connection, for CallerGone. It is the
// ConnContext of an http.Server.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// CallerGone reports whether the caller of a request is known to have closed the
// connection. Unlike the end of the request's context, which a goroutine of net/http
// notices at some time, it holds as soon as the kernel knows: a process that was suspended
// finds the requests of callers that have given up and the end of their connections at the
// same time. It is false if it can't be known, such as for a caller that is cut off.
func CallerGone(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	c, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	gone := false
	err = raw.Control(func(fd uintptr) { gone = peerClosed(int(fd)) })
	return err == nil && gone
}

// peerClosed reports whether the peer of a socket has closed or reset the connection, and
// all that it sent was read.
func peerClosed(fd int) bool {
	var b [1]byte
	n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	if err != nil {
		return err == unix.ECONNRESET || err == unix.EPIPE
	}
	return n == 0
}
