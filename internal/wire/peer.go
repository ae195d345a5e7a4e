package wire

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"kumquatwing/internal/verdict"
)

const (
	// peerQueue bounds the frames that wait for one connection.
	peerQueue = 1024
	// dialTimeout bounds one attempt to connect.
	dialTimeout = time.Second
	// backoffMin and backoffMax bound the pause between attempts.
	backoffMin = 20 * time.Millisecond
	backoffMax = 200 * time.Millisecond
	// writeTimeout bounds one flush; a peer that takes longer is cut off.
	writeTimeout = 5 * time.Second
)

// pending is a request that waits for its reply.
type pending struct {
	id    uint64
	reply chan *frame
	// sent is set once the request was handed to a connection.
	sent bool
}

// outgoing is a frame in a peer's queue with the request it belongs to, if any.
type outgoing struct {
	frame *frame
	call  *pending
}

// peer is the outbound side to one address. It owns one connection at a time.
type peer struct {
	node  *Node
	addr  string
	queue chan outgoing
	done  chan struct{}
	once  sync.Once

	mu     sync.Mutex
	nextID uint64
	calls  map[uint64]*pending
}

func newPeer(n *Node, addr string) *peer {
	return &peer{
		node:  n,
		addr:  addr,
		queue: make(chan outgoing, peerQueue),
		done:  make(chan struct{}),
		calls: map[uint64]*pending{},
	}
}

func (p *peer) close() { p.once.Do(func() { close(p.done) }) }

// enqueue adds f to the bounded queue.
func (p *peer) enqueue(f *frame, call *pending) error {
	if len(f.Body) > maxBodyBytes {
		return verdict.Refuse(verdict.ReasonTooLarge, "%s: message of %d bytes is over %d", f.Topic, len(f.Body), maxBodyBytes)
	}
	select {
	case p.queue <- outgoing{f, call}:
		return nil
	default:
		return verdict.Refuse(verdict.ReasonOverload, "queue to %s is full", p.addr).RetryIn(backoffMax)
	}
}

// call sends a request and waits for its reply or the end of ctx.
func (p *peer) call(ctx context.Context, f *frame) ([]byte, error) {
	c := p.register(f)
	defer p.forget(c)
	if err := p.enqueue(f, c); err != nil {
		return nil, err
	}
	select {
	case reply := <-c.reply:
		return p.result(f, c, reply)
	case <-ctx.Done():
		return nil, p.lost(f, c, verdict.ReasonDeadline)
	case <-p.done:
		return nil, p.lost(f, c, verdict.ReasonStopping)
	}
}

func (p *peer) result(f *frame, c *pending, reply *frame) ([]byte, error) {
	if reply == nil {
		return nil, p.lost(f, c, verdict.ReasonUnreachable)
	}
	if reply.Refusal != nil {
		return nil, reply.Refusal
	}
	return reply.Body, nil
}

// lost builds the refusal of a call without reply. It first withdraws the call,
// so that a request found unsent is never sent later.
func (p *peer) lost(f *frame, c *pending, reason verdict.Reason) error {
	p.mu.Lock()
	delete(p.calls, c.id)
	sent := c.sent
	p.mu.Unlock()
	if sent {
		return verdict.Uncertain(reason, "%s at %s: no reply", f.Topic, p.addr)
	}
	return verdict.Refuse(reason, "%s at %s: could not be sent", f.Topic, p.addr)
}

func (p *peer) register(f *frame) *pending {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextID++
	f.ID = p.nextID
	c := &pending{id: f.ID, reply: make(chan *frame, 1)}
	p.calls[f.ID] = c
	return c
}

func (p *peer) forget(c *pending) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.calls, c.id)
}

// claim marks a call as sent; it reports false if the caller has given up.
func (p *peer) claim(c *pending) bool {
	if c == nil {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.calls[c.id] != c {
		return false
	}
	c.sent = true
	return true
}

// run keeps one connection to the peer while there is something to send.
func (p *peer) run() {
	defer p.node.wg.Done()
	backoff := backoffMin
	for {
		var first outgoing
		select {
		case first = <-p.queue:
		case <-p.done:
			return
		}
		conn, err := p.connect()
		if err != nil {
			p.fail(first)
			p.failQueued()
			if !p.pause(backoff) {
				return
			}
			backoff = min(2*backoff, backoffMax)
			continue
		}
		backoff = backoffMin
		p.exchange(conn, first)
	}
}

func (p *peer) connect() (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := p.node.dial(ctx, p.addr)
	if err != nil {
		return nil, err
	}
	if err := setUnackedTimeout(conn); err != nil {
		conn.Close()
		return nil, err
	}
	if !p.node.track(conn) {
		conn.Close()
		return nil, net.ErrClosed
	}
	return conn, nil
}

// pause waits for about d, with jitter; it reports false when the peer closes.
func (p *peer) pause(d time.Duration) bool {
	t := time.NewTimer(d/2 + rand.N(d))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-p.done:
		return false
	}
}

// exchange writes queued frames to conn and reads replies until it breaks.
func (p *peer) exchange(conn net.Conn, first outgoing) {
	counted := &countingConn{Conn: conn, counter: &p.node.traffic}
	broken := make(chan struct{})
	go func() {
		defer close(broken)
		p.readReplies(counted)
	}()
	p.writeQueued(counted, first, broken)
	conn.Close()
	<-broken
	p.node.untrack(conn)
	p.failSent()
}

func (p *peer) writeQueued(conn net.Conn, first outgoing, broken <-chan struct{}) {
	w := bufio.NewWriterSize(conn, writeBufferBytes)
	next := first
	for {
		conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if p.claim(next.call) {
			p.node.stamp(next.frame)
			if err := writeFrame(w, next.frame); err != nil {
				return
			}
		}
		if len(p.queue) == 0 {
			if err := w.Flush(); err != nil {
				return
			}
		}
		select {
		case next = <-p.queue:
		case <-broken:
			return
		case <-p.done:
			return
		}
	}
}

func (p *peer) readReplies(conn net.Conn) {
	r := bufio.NewReaderSize(conn, readBufferBytes)
	for {
		f, err := readFrame(r)
		if err != nil {
			conn.Close()
			return
		}
		p.node.observe(f)
		p.mu.Lock()
		c := p.calls[f.ID]
		delete(p.calls, f.ID)
		p.mu.Unlock()
		if c != nil {
			c.reply <- f
		}
	}
}

// fail ends one unsent call.
func (p *peer) fail(o outgoing) {
	if o.call == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.calls[o.call.id] == o.call {
		delete(p.calls, o.call.id)
		o.call.reply <- nil
	}
}

// failQueued ends every call still in the queue.
func (p *peer) failQueued() {
	for {
		select {
		case o := <-p.queue:
			p.fail(o)
		default:
			return
		}
	}
}

// failSent ends every call that was on the broken connection.
func (p *peer) failSent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, c := range p.calls {
		if c.sent {
			delete(p.calls, id)
			c.reply <- nil
		}
	}
}

// replyWriter serialises the replies on one inbound connection.
type replyWriter struct {
	mu   sync.Mutex
	conn net.Conn
	w    *bufio.Writer
}

func newReplyWriter(c net.Conn) *replyWriter {
	return &replyWriter{conn: c, w: bufio.NewWriterSize(c, writeBufferBytes)}
}

// write sends one reply. A reply that can't be encoded is replaced by a
// refusal; a connection that breaks loses it, and the caller then sees
// MayHaveRun.
func (o *replyWriter) write(f *frame) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if len(f.Body) > maxBodyBytes {
		f.Body = nil
		f.Refusal = verdict.New(verdict.Done, verdict.ReasonTooLarge, "reply is too large")
	}
	if writeFrame(o.w, f) != nil || o.w.Flush() != nil {
		o.conn.Close()
	}
}
