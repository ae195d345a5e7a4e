//go:build proof

package proof

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// relay carries the traffic between VMs. Each VM's processes are reached at an
// address of the relay; the caller's IP number tells the sender. A cut is
// silent: connections stay open and nothing arrives until it heals.
type relay struct {
	mu    sync.Mutex
	cuts  map[direction]bool
	ended chan struct{}
	conns map[net.Conn]struct{}
}

// direction is from one VM's IP number to another's.
type direction struct{ from, to string }

func newRelay(t *testing.T) *relay {
	r := &relay{cuts: map[direction]bool{}, ended: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	t.Cleanup(r.close)
	return r
}

func (r *relay) close() {
	close(r.ended)
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.Close()
	}
}

// carry relays connections that arrive at listen to the VM at target.
func (r *relay) carry(t *testing.T, listen, target string) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		<-r.ended
		l.Close()
	}()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.join(c, target)
		}
	}()
}

func (r *relay) join(c net.Conn, target string) {
	from := host(c.RemoteAddr().String())
	to := host(target)
	r.hold(direction{from, to})
	out, err := net.Dial("tcp", target)
	if err != nil {
		c.Close()
		return
	}
	r.track(c, out)
	go r.pump(out, c, direction{from, to})
	r.pump(c, out, direction{to, from})
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

// pump copies one direction; what was read before a cut is held until it heals.
func (r *relay) pump(dst, src net.Conn, d direction) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		r.hold(d)
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

// hold waits while a direction is cut.
func (r *relay) hold(d direction) {
	for r.isCut(d) {
		select {
		case <-time.After(10 * time.Millisecond):
		case <-r.ended:
			return
		}
	}
}

func (r *relay) isCut(d direction) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cuts[d]
}

// cut stops or heals traffic from one IP number to another.
func (r *relay) cut(from, to string, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts[direction{from, to}] = on
}

func host(addr string) string {
	h, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return h
}
