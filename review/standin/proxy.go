package main

import (
	"net"
	"sync/atomic"
	"time"
)

// link is the network between one address and the machines of the system. While it is
// down nothing passes, silently, as in a partition.
type link struct {
	down atomic.Bool
	// cutAfterNext makes the link go down as soon as the next request has passed.
	cutAfterNext atomic.Bool
}

// minRequestBytes tells requests of clients from pings and heartbeats, which are
// smaller.
const minRequestBytes = 150

// minRetransmission is how long TCP waits before it first sends unacknowledged bytes
// again; the pause doubles each time.
const minRetransmission = 200 * time.Millisecond

// pass waits until what was sent at the given time gets through: at once, or with the
// first retransmission after the link is up again.
func (l *link) pass(sent time.Time) {
	if !l.down.Load() {
		return
	}
	for pause := minRetransmission; ; pause *= 2 {
		sent = sent.Add(pause)
		time.Sleep(time.Until(sent))
		if !l.down.Load() {
			return
		}
	}
}

// proxy forwards connections between a loopback address that others call and the one
// on which a stand-in listens.
type proxy struct {
	listener net.Listener
	target   string
	// linkOf returns the link that the connections from an address use.
	linkOf func(ip string) *link
}

func newProxy(addr, target string, linkOf func(ip string) *link) (*proxy, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	p := &proxy{linkOf: linkOf, listener: listener, target: target}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

// serve forwards one connection. One that is opened while the link is down never gets
// through: its first packet would be sent again after a second, and the programs give
// up sooner.
func (p *proxy) serve(client net.Conn) {
	defer client.Close()
	ip, _, _ := net.SplitHostPort(client.RemoteAddr().String())
	link := p.linkOf(ip)
	if link.down.Load() {
		for link.down.Load() {
			time.Sleep(10 * time.Millisecond)
		}
		return
	}
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	defer server.Close()
	done := make(chan struct{}, 2)
	go pump(link, client, server, done, true)
	go pump(link, server, client, done, false)
	<-done
}

// pump copies bytes. What is read while the link is down gets through later, the end of
// the connection too.
func pump(l *link, from, to net.Conn, done chan<- struct{}, requests bool) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		l.pass(time.Now())
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
			if requests && n > minRequestBytes && l.cutAfterNext.CompareAndSwap(true, false) {
				l.down.Store(true)
			}
		}
		if err != nil {
			done <- struct{}{}
			return
		}
	}
}

func (p *proxy) close() { p.listener.Close() }
