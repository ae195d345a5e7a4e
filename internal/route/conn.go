package route

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"kumquatwing/internal/verdict"
)

const (
	// dialTimeout limits one attempt to connect to a server.
	dialTimeout = time.Second
	// connBufferBytes is the size of the read and the write buffer of a connection
	// in use.
	connBufferBytes = 4 << 10
	// connIdleLimit is the idle time after which a connection is closed. It is
	// checked whenever a connection is returned to the pool.
	connIdleLimit = 30 * time.Second
)

// Dialer opens a connection to a server. Tests can replace it.
type Dialer func(ctx context.Context, addr string) (net.Conn, error)

// DialTCP returns a Dialer that binds its connections to localIP. The system picks
// the local address if localIP is empty, invalid or unspecified.
func DialTCP(localIP string) Dialer {
	d := &net.Dialer{Timeout: dialTimeout}
	if ip := net.ParseIP(localIP); ip != nil && !ip.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return func(ctx context.Context, addr string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", addr)
	}
}

// connPool manages the connections to one server, of which maxOpen may be open.
// It is safe for concurrent use.
type connPool struct {
	addr string
	dial Dialer

	// mu guards the fields below. idle is ordered by idle time, longest first.
	mu        sync.Mutex
	maxOpen   int
	openCount int
	idle      []*serverConn
}

// serverConn is a connection to a server. It carries one request at a time.
type serverConn struct {
	net.Conn
	pool *connPool
	// written counts the bytes passed to the kernel in the current exchange.
	written int64
	// idleTimeout limits each read and write, deadline the whole exchange.
	idleTimeout time.Duration
	deadline    time.Time
	idleSince   time.Time
	// aborted is set by abort and makes every further read and write fail.
	aborted atomic.Bool
}

func newConnPool(addr string, dial Dialer) *connPool {
	return &connPool{addr: addr, dial: dial}
}

// setMaxOpen sets how many connections may be open and closes idle ones that
// exceed the limit.
func (p *connPool) setMaxOpen(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxOpen = n
	for p.openCount > p.maxOpen && len(p.idle) > 0 {
		p.closeOldest()
	}
}

// closeOldest closes the connection that has been idle longest. The caller must
// hold p.mu.
func (p *connPool) closeOldest() {
	c := p.idle[0]
	p.idle = append(p.idle[:0], p.idle[1:]...)
	p.openCount--
	c.Conn.Close()
}

// take returns an idle connection or dials a new one. Nothing of the next request
// has been sent on it. Its errors are NotRun refusals.
func (p *connPool) take(ctx context.Context) (*serverConn, error) {
	for c := p.popIdle(); c != nil; c = p.popIdle() {
		if c.usable() {
			return c, nil
		}
		p.discard(c)
	}
	if !p.reserve() {
		return nil, verdict.Refuse(verdict.ReasonOverload, "all connections to %s are in use", p.addr)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.dial(ctx, p.addr)
	if err != nil {
		p.mu.Lock()
		p.openCount--
		p.mu.Unlock()
		return nil, verdict.Refuse(verdict.ReasonUnreachable, "backend server at %s can't be reached: %v", p.addr, err)
	}
	return &serverConn{Conn: conn, pool: p}, nil
}

// popIdle removes and returns the connection used last, or nil if none is idle.
func (p *connPool) popIdle() *serverConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

// reserve counts a connection that is about to be opened. It reports false if the
// limit is reached.
func (p *connPool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.openCount >= p.maxOpen {
		return false
	}
	p.openCount++
	return true
}

// put returns a reusable connection to the pool. It closes the connection if the
// pool is over its limit, and others that have been idle for too long.
func (p *connPool) put(c *serverConn) {
	p.mu.Lock()
	if p.openCount <= p.maxOpen {
		c.idleSince = time.Now()
		p.idle = append(p.idle, c)
		for len(p.idle) > 0 && time.Since(p.idle[0].idleSince) > connIdleLimit {
			p.closeOldest()
		}
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	p.discard(c)
}

// discard closes a connection that take returned.
func (p *connPool) discard(c *serverConn) {
	c.Conn.Close()
	p.mu.Lock()
	p.openCount--
	p.mu.Unlock()
}

// size returns the number of connections open or being opened.
func (p *connPool) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openCount
}

// close closes the idle connections and prevents new ones.
func (p *connPool) close() { p.setMaxOpen(0) }

// prepare sets the connection up for one exchange.
func (c *serverConn) prepare(idle time.Duration, deadline time.Time) {
	c.written = 0
	c.idleTimeout = idle
	c.deadline = deadline
}

// ioDeadline returns the deadline for the next read or write.
func (c *serverConn) ioDeadline() time.Time {
	if c.aborted.Load() {
		return expiredDeadline
	}
	next := time.Now().Add(c.idleTimeout)
	if next.After(c.deadline) {
		return c.deadline
	}
	return next
}

// expiredDeadline is a deadline in the past. It makes reads and writes fail at
// once.
var expiredDeadline = time.Unix(1, 0)

// abort makes pending and future reads and writes of the exchange fail at once.
// It may be called while another goroutine uses the connection.
func (c *serverConn) abort() {
	c.aborted.Store(true)
	c.Conn.SetDeadline(expiredDeadline)
}

// Read implements io.Reader, limited by the idle timeout and the deadline.
func (c *serverConn) Read(b []byte) (int, error) {
	c.Conn.SetReadDeadline(c.ioDeadline())
	return c.Conn.Read(b)
}

// Write implements io.Writer, limited by the idle timeout and the deadline.
func (c *serverConn) Write(b []byte) (int, error) {
	c.Conn.SetWriteDeadline(c.ioDeadline())
	n, err := c.Conn.Write(b)
	c.written += int64(n)
	return n, err
}

// usable reports whether an idle connection is still open and has no data to
// read. Data that arrives between requests belongs to none of them.
func (c *serverConn) usable() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	var b [1]byte
	err = raw.Control(func(fd uintptr) {
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		usable = e == unix.EAGAIN
	})
	return err == nil && usable
}

// readerPool holds read buffers. They are pooled so that idle connections need
// no buffer.
var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, connBufferBytes) }}

// writerPool holds write buffers, for the same reason.
var writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, connBufferBytes) }}
