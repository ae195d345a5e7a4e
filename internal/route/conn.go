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
	// dialTimeout bounds one attempt to connect to a server.
	dialTimeout = time.Second
	// connBufferBytes sizes the buffers of a connection in use.
	connBufferBytes = 4 << 10
	// connIdleLimit is how long a connection is kept unused.
	connIdleLimit = 30 * time.Second
)

// Dialer opens a connection to a server; tests replace it.
type Dialer func(ctx context.Context, addr string) (net.Conn, error)

// DialTCP returns a Dialer whose connections come from localIP, or from any
// address if it is empty.
func DialTCP(localIP string) Dialer {
	d := &net.Dialer{Timeout: dialTimeout}
	if ip := net.ParseIP(localIP); ip != nil && !ip.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return func(ctx context.Context, addr string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", addr)
	}
}

// connPool keeps the connections to one server. It is safe for concurrent use.
type connPool struct {
	addr string
	dial Dialer

	mu    sync.Mutex
	limit int
	open  int
	idle  []*serverConn
}

// serverConn is one connection to a server. It carries one request at a time.
type serverConn struct {
	net.Conn
	pool *connPool
	// written counts the bytes handed to the kernel since the last take.
	written int64
	// idle is the longest silence, deadline the end of the whole exchange.
	idle     time.Duration
	deadline time.Time
	since    time.Time
	// cut is set when the exchange is to end at once.
	cut atomic.Bool
}

func newConnPool(addr string, dial Dialer) *connPool {
	return &connPool{addr: addr, dial: dial}
}

// setLimit sets how many connections may be open and closes idle ones over it.
func (p *connPool) setLimit(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = n
	for p.open > p.limit && len(p.idle) > 0 {
		p.closeOldest()
	}
}

// closeOldest closes the connection that was idle for longest.
func (p *connPool) closeOldest() {
	c := p.idle[0]
	p.idle = append(p.idle[:0], p.idle[1:]...)
	p.open--
	c.Conn.Close()
}

// take returns a connection on which nothing was sent yet. Its errors are
// NotRun refusals.
func (p *connPool) take(ctx context.Context) (*serverConn, error) {
	for c := p.popIdle(); c != nil; c = p.popIdle() {
		if c.quiet() {
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
		p.open--
		p.mu.Unlock()
		return nil, verdict.Refuse(verdict.ReasonUnreachable, "backend server at %s can't be reached: %v", p.addr, err)
	}
	return &serverConn{Conn: conn, pool: p}, nil
}

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

// reserve counts a connection about to be opened.
func (p *connPool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.limit {
		return false
	}
	p.open++
	return true
}

// put keeps a connection whose exchange ended whole.
func (p *connPool) put(c *serverConn) {
	p.mu.Lock()
	if p.open <= p.limit {
		c.since = time.Now()
		p.idle = append(p.idle, c)
		for len(p.idle) > 0 && time.Since(p.idle[0].since) > connIdleLimit {
			p.closeOldest()
		}
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	p.discard(c)
}

// discard closes a connection.
func (p *connPool) discard(c *serverConn) {
	c.Conn.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// opened is the number of open connections.
func (p *connPool) opened() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// close closes the idle connections and lets no new one open.
func (p *connPool) close() { p.setLimit(0) }

// begin prepares the connection for one exchange.
func (c *serverConn) begin(idle time.Duration, deadline time.Time) {
	c.written = 0
	c.idle = idle
	c.deadline = deadline
}

// limit is the deadline of the next read or write.
func (c *serverConn) limit() time.Time {
	if c.cut.Load() {
		return longAgo
	}
	next := time.Now().Add(c.idle)
	if next.After(c.deadline) {
		return c.deadline
	}
	return next
}

// longAgo as a deadline makes reads and writes return at once.
var longAgo = time.Unix(1, 0)

// cancel makes the exchange fail now.
func (c *serverConn) cancel() {
	c.cut.Store(true)
	c.Conn.SetDeadline(longAgo)
}

// Read implements io.Reader with the idle time as its bound.
func (c *serverConn) Read(b []byte) (int, error) {
	c.Conn.SetReadDeadline(c.limit())
	return c.Conn.Read(b)
}

// Write implements io.Writer with the idle time as its bound.
func (c *serverConn) Write(b []byte) (int, error) {
	c.Conn.SetWriteDeadline(c.limit())
	n, err := c.Conn.Write(b)
	c.written += int64(n)
	return n, err
}

// quiet reports whether an idle connection is still open and has nothing to
// read: bytes that come without a request belong to nobody.
func (c *serverConn) quiet() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var b [1]byte
	err = raw.Control(func(fd uintptr) {
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = e == unix.EAGAIN
	})
	return err == nil && quiet
}

// readers are shared between connections, so that an idle one has no buffer.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, connBufferBytes) }}

// writers are shared likewise.
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, connBufferBytes) }}
