package fdlimit

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Limiter limits the connections of a client that are open at a time. Its methods
// are safe for concurrent use.
type Limiter struct {
	dial  DialFunc
	slots chan struct{}
	// onFull is called when a dial finds all slots taken. It should close idle
	// connections.
	onFull  func()
	full    atomic.Uint64
	waiting atomic.Int64
}

// NewLimiter returns a Limiter that opens at most limit connections with dial.
func NewLimiter(limit int, dial DialFunc, onFull func()) *Limiter {
	return &Limiter{dial: dial, slots: make(chan struct{}, limit), onFull: onFull}
}

// DialContext opens a connection. While all slots are taken it waits, in the order
// of the calls, until a connection is closed or ctx ends.
func (l *Limiter) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	if err := l.acquire(ctx); err != nil {
		return nil, err
	}
	conn, err := l.dial(ctx, network, addr)
	if err != nil {
		l.release()
		return nil, err
	}
	return &limitedConn{Conn: conn, release: l.release}, nil
}

func (l *Limiter) acquire(ctx context.Context) error {
	select {
	case l.slots <- struct{}{}:
		return nil
	default:
	}
	l.full.Add(1)
	l.waiting.Add(1)
	defer l.waiting.Add(-1)
	l.onFull()
	select {
	case l.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *Limiter) release() { <-l.slots }

// Open returns the number of open connections, those being opened included.
func (l *Limiter) Open() int { return len(l.slots) }

// Waiting returns how many dials wait for a slot.
func (l *Limiter) Waiting() int { return int(l.waiting.Load()) }

// Limit returns the highest number of open connections.
func (l *Limiter) Limit() int { return cap(l.slots) }

// FullCount returns how many dials have found all slots taken.
func (l *Limiter) FullCount() uint64 { return l.full.Load() }

// limitedConn is a connection that gives its slot back when it is closed.
type limitedConn struct {
	net.Conn
	release func()
	once    sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}

// SyscallConn implements syscall.Conn.
func (c *limitedConn) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return conn.SyscallConn()
}
