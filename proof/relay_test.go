//go:build proof

package proof

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// relay is a TCP proxy for the traffic between VMs. Each kqcontrol advertises an
// address of the relay; the source IP address of a connection identifies the
// sender. While a direction is cut, its connections stay open and nothing is
// delivered.
type relay struct {
	// mu guards cuts and conns.
	mu     sync.Mutex
	cuts   map[direction]bool
	closed chan struct{}
	conns  map[net.Conn]struct{}
}

// direction is the traffic from one VM's IP address to another's.
type direction struct{ from, to string }

func newRelay(t *testing.T) *relay {
	r := &relay{cuts: map[direction]bool{}, closed: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	t.Cleanup(r.close)
	return r
}

func (r *relay) close() {
	close(r.closed)
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.Close()
	}
}

// forward accepts connections on listen and relays them to target.
func (r *relay) forward(t *testing.T, listen, target string) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		<-r.closed
		l.Close()
	}()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.relayConn(c, target)
		}
	}()
}

func (r *relay) relayConn(c net.Conn, target string) {
	from := hostOf(c.RemoteAddr().String())
	to := hostOf(target)
	r.waitWhileCut(direction{from, to})
	out, err := net.Dial("tcp", target)
	if err != nil {
		c.Close()
		return
	}
	r.track(c, out)
	go r.copyDirection(out, c, direction{from, to})
	r.copyDirection(c, out, direction{to, from})
	r.untrack(c, out)
}

func (r *relay) track(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		r.conns[c] = struct{}{}
	}
}

func (r *relay) untrack(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		c.Close()
		delete(r.conns, c)
	}
}

// copyDirection copies the traffic of one direction. Data that has been read when
// the direction is cut is delivered after the cut ends.
func (r *relay) copyDirection(dst, src net.Conn, d direction) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		r.waitWhileCut(d)
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				break
			}
		}
		if err == io.EOF || err != nil {
			break
		}
	}
	src.Close()
	dst.Close()
}

// waitWhileCut blocks while a direction is cut and the relay is open.
func (r *relay) waitWhileCut(d direction) {
	for r.isCut(d) {
		select {
		case <-time.After(10 * time.Millisecond):
		case <-r.closed:
			return
		}
	}
}

func (r *relay) isCut(d direction) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cuts[d]
}

// setCut cuts or restores the traffic from one IP address to another.
func (r *relay) setCut(from, to string, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts[direction{from, to}] = cut
}

func hostOf(addr string) string {
	h, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return h
}
