package fdlimit

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// stallTime is how long a connection may wait for its client, for a part of a request or for
// room for a response, before it makes way for a new one.
const stallTime = time.Second

// Listener limits the connections of an HTTP server that are open at a time. While the
// limit is reached, a new connection takes the place of the one that has been idle for
// the longest time, so that clients that keep connections open, such as many workers,
// don't keep out others. If none is idle, it takes the place of the one whose client has made
// no progress with its request or its response for the longest time, if that is longer than
// stallTime. If there is none either, the new connection is closed at once, so that
// its caller turns to another process and doesn't wait. The server must pass the states of
// its connections to ConnState, and its handler must be wrapped by Handler.
type Listener struct {
	net.Listener
	limit int
	// onFull is called when a new connection finds the limit reached.
	onFull func()
	full   atomic.Uint64

	// mu protects the fields below.
	mu   sync.Mutex
	open map[*serverConn]struct{}
	// idle holds the idle connections, the longest idle one first, and elements the
	// element of each.
	idle     list.List
	elements map[net.Conn]*list.Element
}

// NewListener returns a Listener that accepts at most limit connections from l at a time.
func NewListener(l net.Listener, limit int, onFull func()) *Listener {
	return &Listener{Listener: l, limit: limit, onFull: onFull, open: map[*serverConn]struct{}{}, elements: map[net.Conn]*list.Element{}}
}

// Limit returns the highest number of open connections.
func (l *Listener) Limit() int { return l.limit }

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// FullCount returns how many new connections have found the limit reached.
func (l *Listener) FullCount() uint64 { return l.full.Load() }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.add(conn); c != nil {
			return c, nil
		}
		// The caller sees the connection closed; there is nobody to tell of an error.
		_ = conn.Close()
	}
}

// add adds a connection, if the limit isn't reached or if another connection can be closed.
// It returns nil otherwise.
func (l *Listener) add(conn net.Conn) net.Conn {
	if c := l.tryAdd(conn); c != nil {
		return c
	}
	l.full.Add(1)
	l.onFull()
	victim := l.longestIdle()
	if victim == nil {
		victim = l.longestStalled(time.Now())
	}
	if victim != nil {
		// The client sees it closed; there is nobody to tell of an error.
		_ = victim.Close()
	}
	return l.tryAdd(conn)
}

func (l *Listener) tryAdd(conn net.Conn) net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) >= l.limit {
		return nil
	}
	var c *serverConn
	c = newServerConn(conn, func() { l.release(c) })
	l.open[c] = struct{}{}
	return c
}

func (l *Listener) release(c *serverConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// longestIdle removes the connection that has been idle for the longest time from the
// idle ones and returns it, or nil if none is idle.
func (l *Listener) longestIdle() net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.idle.Front()
	if e == nil {
		return nil
	}
	conn := e.Value.(net.Conn)
	l.remove(conn)
	return conn
}

// longestStalled returns the connection whose client has made no progress for the longest time
// until now, or nil if there is none that has waited for longer than stallTime.
func (l *Listener) longestStalled(now time.Time) net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var longest *serverConn
	earliest := now.Add(-stallTime).UnixNano()
	for c := range l.open {
		if at, ok := c.stalledSince(); ok && at < earliest {
			longest, earliest = c, at
		}
	}
	if longest == nil {
		return nil
	}
	return longest
}

// remove removes a connection from the idle ones. The caller holds mu.
func (l *Listener) remove(conn net.Conn) {
	if e := l.elements[conn]; e != nil {
		l.idle.Remove(e)
		delete(l.elements, conn)
	}
}

// ConnState records the state of a connection. It is the ConnState of the http.Server.
func (l *Listener) ConnState(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remove(conn)
	switch state {
	case http.StateIdle:
		l.elements[conn] = l.idle.PushBack(conn)
	case http.StateActive:
		// The header of a request has arrived.
		if c, ok := conn.(*serverConn); ok {
			c.SetReceiving(true)
		}
	}
}

// Handler wraps the handler of the server. conn returns the connection of a request. While
// the handler runs, the connection doesn't count as waiting for its client, unless its
// SetReceiving says so.
func (l *Listener) Handler(conn func(context.Context) net.Conn, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := conn(r.Context()).(*serverConn); ok {
			c.SetReceiving(false)
			// The server may wait for the rest of a body that the handler has not read.
			// It also sends what it has buffered of the response then.
			defer c.SetReceiving(true)
		}
		next.ServeHTTP(w, r)
	})
}
