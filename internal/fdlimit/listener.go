package fdlimit

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// Listener limits the connections of an HTTP server that are open at a time. While the
// limit is reached, a new connection takes the place of the one that has been idle for
// the longest time, so that clients that keep connections open, such as many workers,
// don't keep out others. If none is idle, the new connection is closed at once, so that
// its caller turns to another process and doesn't wait. The server must pass the states of
// its connections to ConnState.
type Listener struct {
	net.Listener
	limit int
	// onFull is called when a new connection finds the limit reached.
	onFull func()

	// mu protects the fields below.
	mu   sync.Mutex
	open int
	// idle holds the idle connections, the longest idle one first, and elements the
	// element of each.
	idle     list.List
	elements map[net.Conn]*list.Element
}

// NewListener returns a Listener that accepts at most limit connections from l at a time.
func NewListener(l net.Listener, limit int, onFull func()) *Listener {
	return &Listener{Listener: l, limit: limit, onFull: onFull, elements: map[net.Conn]*list.Element{}}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.takeSlot() {
			return &limitedConn{Conn: conn, release: l.release}, nil
		}
		// The caller sees the connection closed; there is nobody to tell of an error.
		_ = conn.Close()
	}
}

// takeSlot takes a slot for a connection, if there is one or if an idle connection can be
// closed.
func (l *Listener) takeSlot() bool {
	if l.tryTakeSlot() {
		return true
	}
	l.onFull()
	if conn := l.longestIdle(); conn != nil {
		// Nothing is sent or received on it that an error could concern.
		_ = conn.Close()
	}
	return l.tryTakeSlot()
}

func (l *Listener) tryTakeSlot() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.limit {
		return false
	}
	l.open++
	return true
}

func (l *Listener) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
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
	if state == http.StateIdle {
		l.elements[conn] = l.idle.PushBack(conn)
	}
}
