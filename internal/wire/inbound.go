package wire

import (
	"net"
	"sync"
	"time"
)

const (
	// defaultInboundConns and defaultFrameBudget are the limits of a node whose process sets
	// none.
	defaultInboundConns = 1024
	defaultFrameBudget  = 64 << 20
	// minSilence is how long a connection that has sent frames must be silent before it makes
	// way for a new one. Our own processes send a frame about every second.
	minSilence = 10 * time.Second
)

// inboundConns limits the inbound connections of a node. While the limit is reached, a new
// connection takes the place of the one that has been open for the longest time without a
// complete frame, since our own processes connect only to send one; if there is none, of the
// one that has been silent for the longest time, if that is longer than minSilence. So others
// that connect can't keep out our own processes. It is safe for concurrent use.
type inboundConns struct {
	mu     sync.Mutex
	limit  int
	onFull func()
	full   uint64
	conns  map[net.Conn]*inboundConn
}

// inboundConn is what is known of an inbound connection.
type inboundConn struct {
	// framed is set once a complete frame was received, and lastAt is when the connection
	// was accepted or the last frame received.
	framed bool
	lastAt time.Time
}

func newInboundConns(limit int) *inboundConns {
	return &inboundConns{limit: limit, onFull: func() {}, conns: map[net.Conn]*inboundConn{}}
}

func (i *inboundConns) setLimit(limit int, onFull func()) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.limit, i.onFull = limit, onFull
}

func (i *inboundConns) count() (open, limit int, full uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.conns), i.limit, i.full
}

// add adds a connection and reports whether it did.
func (i *inboundConns) add(c net.Conn) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	if len(i.conns) >= i.limit {
		i.full++
		i.onFull()
		victim := i.victim(now)
		if victim == nil {
			return false
		}
		// Its reader ends and removes it again, which has no effect.
		victim.Close()
		delete(i.conns, victim)
	}
	i.conns[c] = &inboundConn{lastAt: now}
	return true
}

// victim returns the connection that makes way, nil if there is none. The caller holds mu.
func (i *inboundConns) victim(now time.Time) net.Conn {
	var victim net.Conn
	var worst *inboundConn
	for c, known := range i.conns {
		if known.framed && now.Sub(known.lastAt) < minSilence {
			continue
		}
		if worst == nil || (worst.framed && !known.framed) || (worst.framed == known.framed && known.lastAt.Before(worst.lastAt)) {
			victim, worst = c, known
		}
	}
	return victim
}

// framed records a complete frame.
func (i *inboundConns) framed(c net.Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if known := i.conns[c]; known != nil {
		known.framed, known.lastAt = true, time.Now()
	}
}

func (i *inboundConns) remove(c net.Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.conns, c)
}
