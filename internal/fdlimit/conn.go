package fdlimit

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// writeTimeout is the time a client has to accept writePart bytes of a response before
	// its connection is closed. It applies to each part, so that a client that reads at that
	// rate gets the whole response, however long it is.
	writeTimeout = 10 * time.Second
	writePart    = 16 << 10
)

// serverConn is a connection that a Listener has accepted. It knows whether it waits for its
// client, and since when the client has made no progress.
type serverConn struct {
	limitedConn
	// receiving is set while a request is received, and writing while a response is
	// written.
	receiving, writing atomic.Bool
	// progress is when bytes were last received or sent, in Unix nanoseconds.
	progress atomic.Int64

	// deadlineMu protects deadline, the write deadline that the server has set; zero for none.
	// It is held while a deadline is passed on, so that an older one never replaces it.
	deadlineMu sync.Mutex
	deadline   time.Time
}

// httpx.CallerGone asks the kernel about the connection.
var _ syscall.Conn = (*serverConn)(nil)

func newServerConn(c net.Conn, release func()) *serverConn {
	s := &serverConn{limitedConn: limitedConn{Conn: c, release: release}}
	s.receiving.Store(true)
	s.progress.Store(time.Now().UnixNano())
	return s
}

// SetReceiving records whether a request is being received. The client has made progress until
// then: it could send nothing while its last request was being carried out.
func (c *serverConn) SetReceiving(receiving bool) {
	if receiving {
		c.progress.Store(time.Now().UnixNano())
	}
	c.receiving.Store(receiving)
}

// stalledSince returns since when the connection has waited for its client, in Unix
// nanoseconds. ok is false while it doesn't wait for it.
func (c *serverConn) stalledSince() (at int64, ok bool) {
	return c.progress.Load(), c.receiving.Load() || c.writing.Load()
}

// Read implements net.Conn.
func (c *serverConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.progress.Store(time.Now().UnixNano())
	}
	return n, err
}

// Write implements net.Conn. It fails if the client takes longer than writeTimeout for a part.
func (c *serverConn) Write(b []byte) (int, error) {
	c.progress.Store(time.Now().UnixNano())
	c.writing.Store(true)
	defer c.writing.Store(false)
	written := 0
	for {
		part := b[written:min(len(b), written+writePart)]
		if err := c.extendDeadline(); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(part)
		written += n
		if n > 0 {
			c.progress.Store(time.Now().UnixNano())
		}
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// extendDeadline gives the client time for the next part of a response, but not beyond the
// deadline that the server has set.
func (c *serverConn) extendDeadline() error {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	return c.Conn.SetWriteDeadline(earlier(c.deadline, time.Now().Add(writeTimeout)))
}

// earlier returns the earlier of two deadlines, the first of which may be zero for none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// SetWriteDeadline implements net.Conn. It also ends a write in progress.
func (c *serverConn) SetWriteDeadline(t time.Time) error {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	c.deadline = t
	return c.Conn.SetWriteDeadline(earlier(t, time.Now().Add(writeTimeout)))
}

// SetDeadline implements net.Conn.
func (c *serverConn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}
