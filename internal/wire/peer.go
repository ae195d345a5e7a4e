package wire

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"kumquatwing/internal/clock"
	"kumquatwing/internal/verdict"
)

const (
	// maxQueuedFrames bounds the frames queued for one peer.
	maxQueuedFrames = 1024
	// dialTimeout bounds one attempt to connect.
	dialTimeout = time.Second
	// backoffMin and backoffMax bound the back-off between attempts to connect.
	backoffMin = 20 * time.Millisecond
	backoffMax = 200 * time.Millisecond
	// writeTimeout bounds writing a frame, including the flush. The connection to a
	// peer that takes longer is closed.
	writeTimeout = 5 * time.Second
)

// pendingCall is a request that waits for its reply.
type pendingCall struct {
	id uint64
	// deadline is when the caller gives up.
	deadline time.Time
	// reply receives the reply, or nil if there will be none.
	reply chan *frame
	// sent is set before the request is written to a connection. It is protected by
	// the peer's mu.
	sent bool
}

// queuedFrame is an element of a peer's queue. call is nil for one-way messages.
type queuedFrame struct {
	frame *frame
	call  *pendingCall
}

// setBudget states in a request how long its caller still waits.
func (q *queuedFrame) setBudget() {
	if q.call == nil {
		return
	}
	q.frame.BudgetMillis = max(1, time.Until(q.call.deadline).Milliseconds())
	q.frame.SentMillis = time.Duration(clock.Boot{}.Now()).Milliseconds()
}

// peer sends messages and requests to one address and matches the replies. It has
// at most one connection at a time.
type peer struct {
	node      *Node
	addr      string
	queue     chan queuedFrame
	done      chan struct{}
	closeOnce sync.Once

	// mu protects the fields below.
	mu     sync.Mutex
	lastID uint64
	calls  map[uint64]*pendingCall
}

func newPeer(n *Node, addr string) *peer {
	return &peer{
		node:  n,
		addr:  addr,
		queue: make(chan queuedFrame, maxQueuedFrames),
		done:  make(chan struct{}),
		calls: map[uint64]*pendingCall{},
	}
}

func (p *peer) close() { p.closeOnce.Do(func() { close(p.done) }) }

// enqueue adds f to the queue. call is nil for a one-way message. It returns an
// error if the body is too large or the queue is full.
func (p *peer) enqueue(f *frame, call *pendingCall) error {
	if len(f.Body) > maxBodyBytes {
		return verdict.Refuse(verdict.ReasonTooLarge, "%s: message of %d bytes is over %d", f.Topic, len(f.Body), maxBodyBytes)
	}
	select {
	case p.queue <- queuedFrame{f, call}:
		return nil
	default:
		return verdict.Refuse(verdict.ReasonOverload, "queue to %s is full", p.addr).WithRetryAfter(backoffMax)
	}
}

// call sends a request and waits until its reply arrives, ctx is done or the peer
// is closed.
func (p *peer) call(ctx context.Context, f *frame) ([]byte, error) {
	deadline, _ := ctx.Deadline()
	c := p.register(f, deadline)
	defer p.unregister(c)
	if err := p.enqueue(f, c); err != nil {
		return nil, err
	}
	select {
	case reply := <-c.reply:
		return p.result(f, c, reply)
	case <-ctx.Done():
		return nil, p.abandon(f, c, verdict.ReasonDeadline)
	case <-p.done:
		return nil, p.abandon(f, c, verdict.ReasonStopping)
	}
}

// result returns the body or the refusal of a reply. A nil reply means that the
// call failed without one.
func (p *peer) result(f *frame, c *pendingCall, reply *frame) ([]byte, error) {
	if reply == nil {
		return nil, p.abandon(f, c, verdict.ReasonUnreachable)
	}
	if reply.Refusal != nil {
		return nil, reply.Refusal
	}
	return reply.Body, nil
}

// abandon returns the refusal of a call that gets no reply. It first removes the
// call, so that a request that is not sent by then is never sent, and NotRun holds.
func (p *peer) abandon(f *frame, c *pendingCall, reason verdict.Reason) error {
	p.mu.Lock()
	delete(p.calls, c.id)
	sent := c.sent
	p.mu.Unlock()
	if sent {
		return verdict.RefuseMayHaveRun(reason, "%s at %s: no reply", f.Topic, p.addr)
	}
	return verdict.Refuse(reason, "%s at %s: could not be sent", f.Topic, p.addr)
}

// register assigns an id to the request f and registers its call.
func (p *peer) register(f *frame, deadline time.Time) *pendingCall {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	f.ID = p.lastID
	c := &pendingCall{id: f.ID, deadline: deadline, reply: make(chan *frame, 1)}
	p.calls[f.ID] = c
	return c
}

func (p *peer) unregister(c *pendingCall) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.calls, c.id)
}

// markSent marks a call as sent. It returns false if the call has ended, so that its
// request must not be sent. For a one-way message, whose c is nil, it returns true.
func (p *peer) markSent(c *pendingCall) bool {
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

// run connects to the peer when a frame is queued and uses the connection until it
// breaks. If connecting fails, all queued calls fail and run backs off.
func (p *peer) run() {
	defer p.node.wg.Done()
	backoff := backoffMin
	for {
		var first queuedFrame
		select {
		case first = <-p.queue:
		case <-p.done:
			return
		}
		conn, err := p.connect()
		if err != nil {
			p.failUnsent(first)
			p.failQueued()
			if !p.waitBackoff(backoff) {
				return
			}
			backoff = min(2*backoff, backoffMax)
			continue
		}
		backoff = backoffMin
		p.exchange(conn, first)
	}
}

// connect dials the peer and registers the connection with the node.
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

// waitBackoff waits between d/2 and 3d/2, at random. It returns false if the peer
// is closed meanwhile.
func (p *peer) waitBackoff(d time.Duration) bool {
	t := time.NewTimer(d/2 + rand.N(d))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-p.done:
		return false
	}
}

// exchange writes queued frames to conn and reads replies until the connection
// breaks or the peer is closed. Calls that were sent and have no reply then fail.
func (p *peer) exchange(conn net.Conn, first queuedFrame) {
	counted := &countingConn{Conn: conn, counter: &p.node.traffic}
	readerDone := make(chan struct{})
	go func() {
		defer close(readerDone)
		p.readReplies(counted)
	}()
	p.writeQueued(counted, first, readerDone)
	conn.Close()
	<-readerDone
	p.node.untrack(conn)
	p.failSent()
}

// writeQueued writes first and then the queued frames to conn. It flushes when the
// queue is empty, and returns when a write fails, readerDone is closed or the peer
// is closed.
func (p *peer) writeQueued(conn net.Conn, first queuedFrame, readerDone <-chan struct{}) {
	w := bufio.NewWriterSize(conn, writeBufferBytes)
	next := first
	for {
		conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if p.markSent(next.call) {
			p.node.stamp(next.frame)
			next.setBudget()
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
		case <-readerDone:
			return
		case <-p.done:
			return
		}
	}
}

// readReplies passes the replies on conn to their calls until the connection breaks.
func (p *peer) readReplies(conn net.Conn) {
	r := bufio.NewReaderSize(conn, readBufferBytes)
	for {
		f, err := readFrame(r, p.node.budget.Load(), func() { conn.Close() })
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

// failUnsent ends the call of a frame that was not sent.
func (p *peer) failUnsent(q queuedFrame) {
	if q.call == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.calls[q.call.id] == q.call {
		delete(p.calls, q.call.id)
		q.call.reply <- nil
	}
}

// failQueued ends the calls of all queued frames and drops the frames.
func (p *peer) failQueued() {
	for {
		select {
		case q := <-p.queue:
			p.failUnsent(q)
		default:
			return
		}
	}
}

// failSent ends the calls that were sent on a broken connection.
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

// replyWriter writes the replies on an inbound connection. It is safe for concurrent
// use.
type replyWriter struct {
	mu   sync.Mutex
	conn net.Conn
	w    *bufio.Writer
}

func newReplyWriter(c net.Conn) *replyWriter {
	return &replyWriter{conn: c, w: bufio.NewWriterSize(c, writeBufferBytes)}
}

// write sends a reply. A body that is too large is replaced by a refusal. If the
// reply can't be encoded or written, write closes the connection, and the caller
// gets the verdict MayHaveRun.
func (rw *replyWriter) write(f *frame) {
	rw.mu.Lock()
	defer rw.mu.Unlock()
	rw.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if len(f.Body) > maxBodyBytes {
		f.Body = nil
		f.Refusal = verdict.New(verdict.Done, verdict.ReasonTooLarge, "reply is too large")
	}
	if writeFrame(rw.w, f) != nil || rw.w.Flush() != nil {
		rw.conn.Close()
	}
}
