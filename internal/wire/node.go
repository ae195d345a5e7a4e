package wire

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"go.uber.org/zap"

	"kumquatwing/internal/bodylimit"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/codec"
	"kumquatwing/internal/eventlog"
	"kumquatwing/internal/verdict"
)

const (
	// MetaTo is the metadata key for the destination address of a message.
	MetaTo = "to"
	// subscriberBuffer bounds the messages queued for one subscriber.
	subscriberBuffer = 1024
	// maxHandlers bounds the requests that a node handles at the same time, over
	// all topics.
	maxHandlers = 512
	// maxTopicHandlers bounds those of one topic, so that requests that wait for long
	// leave others to be handled.
	maxTopicHandlers = maxHandlers * 3 / 4
	// defaultCallTimeout bounds a call whose context has no deadline.
	defaultCallTimeout = 5 * time.Second
)

// Handler handles a request and returns the reply's body. An error is sent to the
// caller as a verdict.Refusal.
type Handler func(ctx context.Context, body []byte) ([]byte, error)

// Dialer opens connections. Tests replace it to simulate unreachable peers.
type Dialer func(ctx context.Context, addr string) (net.Conn, error)

// HybridClock is a hybrid logical clock. *eventlog.File implements it.
type HybridClock interface {
	Now() eventlog.Timestamp
	Observe(eventlog.Timestamp)
}

// Node is the transport endpoint of one process. It implements message.Publisher
// and message.Subscriber of watermill. It is safe for concurrent use.
type Node struct {
	listener net.Listener
	dial     Dialer

	// mu protects the fields up to closed.
	mu          sync.Mutex
	peers       map[string]*peer
	subscribers map[string][]chan *message.Message
	handlers    map[string]Handler
	// running counts the requests of each topic that are being handled.
	running map[string]int
	conns   map[net.Conn]struct{}
	closed  bool

	// handlerSlots is a semaphore with maxHandlers slots.
	handlerSlots chan struct{}
	done         chan struct{}
	wg           sync.WaitGroup

	// budget bounds the frames that are being received.
	budget  atomic.Pointer[bodylimit.Budget]
	inbound *inboundConns
	traffic trafficCounter
	clock   HybridClock
	log     *zap.Logger
}

var (
	_ message.Publisher  = (*Node)(nil)
	_ message.Subscriber = (*Node)(nil)
)

// Listen opens a node that listens on addr. If dial is nil, the node connects over
// TCP from the IP address that it listens on.
func Listen(addr string, dial Dialer) (*Node, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return newNode(l, dial), nil
}

// newNode returns a node that accepts connections from l.
func newNode(l net.Listener, dial Dialer) *Node {
	if dial == nil {
		dial = dialerFrom(l.Addr())
	}
	n := &Node{
		listener:     l,
		dial:         dial,
		peers:        map[string]*peer{},
		subscribers:  map[string][]chan *message.Message{},
		handlers:     map[string]Handler{},
		running:      map[string]int{},
		conns:        map[net.Conn]struct{}{},
		handlerSlots: make(chan struct{}, maxHandlers),
		done:         make(chan struct{}),
		inbound:      newInboundConns(defaultInboundConns),
		log:          zap.NewNop(),
	}
	n.budget.Store(bodylimit.New("wire", defaultFrameBudget))
	n.wg.Add(1)
	go n.accept()
	return n
}

// dialerFrom returns a Dialer that connects from the IP address of listen, so that
// peers and packet filters see one address per VM.
func dialerFrom(listen net.Addr) Dialer {
	d := &net.Dialer{}
	if a, ok := listen.(*net.TCPAddr); ok && !a.IP.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: a.IP}
	}
	return func(ctx context.Context, addr string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", addr)
	}
}

// SetClock sets the clock whose time every frame carries. It must be called
// before the first message is sent or handled.
func (n *Node) SetClock(c HybridClock) { n.clock = c }

// SetLogger sets the logger for panics of handlers. It must be called before the first
// handler is registered.
func (n *Node) SetLogger(log *zap.Logger) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.log = log.Named("wire")
}

// Limits bound the memory and the descriptors that inbound connections take.
type Limits struct {
	// Frames is charged with the bytes of frames that are being received.
	Frames *bodylimit.Budget
	// Conns is the highest number of inbound connections.
	Conns int
	// ReceiveBuffer is the size of the receive buffer of each inbound connection in bytes, 0
	// to leave it as it is.
	ReceiveBuffer int
	// OnFull is called when a new connection finds Conns reached.
	OnFull func()
}

// SetLimits replaces the limits. The size of the receive buffer holds for new connections.
func (n *Node) SetLimits(l Limits) {
	n.budget.Store(l.Frames)
	n.inbound.setLimit(l.Conns, l.OnFull)
	if err := setReceiveBuffer(n.listener, l.ReceiveBuffer); err != nil {
		n.logger().Warn("could not set the size of receive buffers", zap.Error(err))
	}
}

// InboundCount returns the number of inbound connections, their limit, and how many new ones
// have found it reached.
func (n *Node) InboundCount() (open, limit int, full uint64) { return n.inbound.count() }

func (n *Node) logger() *zap.Logger {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.log
}

// stamp sets the timestamp of an outgoing frame.
func (n *Node) stamp(f *frame) {
	if n.clock != nil {
		f.At = n.clock.Now()
	}
}

// observe advances the clock to the timestamp of an incoming frame.
func (n *Node) observe(f *frame) {
	if n.clock != nil {
		n.clock.Observe(f.At)
	}
}

// Addr returns the address on which the node listens.
func (n *Node) Addr() string { return n.listener.Addr().String() }

// Close closes all connections and waits until the node's goroutines have ended.
func (n *Node) Close() error {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return nil
	}
	n.closed = true
	close(n.done)
	for c := range n.conns {
		c.Close()
	}
	for _, p := range n.peers {
		p.close()
	}
	n.mu.Unlock()
	err := n.listener.Close()
	n.wg.Wait()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, subs := range n.subscribers {
		for _, ch := range subs {
			close(ch)
		}
	}
	return err
}

// Publish queues each message for the address in its MetaTo metadata. Delivery is
// at most once: a failed connection or the full buffer of a subscriber loses a
// message without an error. Publish returns an error, and queues no further
// message, if a message is too large or the queue of its destination is full.
func (n *Node) Publish(topic string, msgs ...*message.Message) error {
	for _, m := range msgs {
		f := &frame{Kind: kindMessage, Topic: topic, Body: m.Payload}
		if err := n.peer(m.Metadata.Get(MetaTo)).enqueue(f, nil); err != nil {
			return err
		}
	}
	return nil
}

// Send encodes v as msgpack and publishes it to the node at addr.
func (n *Node) Send(addr, topic string, v any) error {
	body, err := codec.Marshal(v)
	if err != nil {
		return err
	}
	m := message.NewMessage("", body)
	m.Metadata.Set(MetaTo, addr)
	return n.Publish(topic, m)
}

// Subscribe returns a channel of the one-way messages of topic. It is closed when
// ctx is done or the node is closed.
func (n *Node) Subscribe(ctx context.Context, topic string) (<-chan *message.Message, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil, verdict.Refuse(verdict.ReasonStopping, "node is closed")
	}
	ch := make(chan *message.Message, subscriberBuffer)
	n.subscribers[topic] = append(n.subscribers[topic], ch)
	context.AfterFunc(ctx, func() { n.unsubscribe(topic, ch) })
	return ch, nil
}

func (n *Node) unsubscribe(topic string, ch chan *message.Message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return
	}
	subs := n.subscribers[topic]
	for i, c := range subs {
		if c == ch {
			n.subscribers[topic] = append(subs[:i:i], subs[i+1:]...)
			close(ch)
			return
		}
	}
}

// Handle registers h as the handler of requests to topic.
func (n *Node) Handle(topic string, h Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[topic] = h
}

// HandleTyped registers h as the handler of topic. Requests and replies are encoded
// as msgpack.
func HandleTyped[Req, Resp any](n *Node, topic string, h func(ctx context.Context, req *Req) (*Resp, error)) {
	n.Handle(topic, Typed(topic, h))
}

// Typed returns a Handler that decodes requests from msgpack, calls h and encodes
// its replies. topic is used in error messages.
func Typed[Req, Resp any](topic string, h func(ctx context.Context, req *Req) (*Resp, error)) Handler {
	return func(ctx context.Context, body []byte) ([]byte, error) {
		req := new(Req)
		if err := codec.Unmarshal(body, req); err != nil {
			return nil, verdict.Refuse(verdict.ReasonBadRequest, "%s: request can't be decoded: %v", topic, err)
		}
		resp, err := h(ctx, req)
		if err != nil {
			return nil, err
		}
		return codec.Marshal(resp)
	}
}

// Call sends req to topic of the node at addr and decodes the reply into resp. An
// error is a verdict.Refusal: one that the handler returned, NotRun if the request
// was not sent, or MayHaveRun if it was sent and no valid reply arrived.
func (n *Node) Call(ctx context.Context, addr, topic string, req, resp any) error {
	body, err := codec.Marshal(req)
	if err != nil {
		return verdict.Refuse(verdict.ReasonBadRequest, "%s: request can't be encoded: %v", topic, err)
	}
	reply, err := n.CallRaw(ctx, addr, topic, body)
	if err != nil {
		return err
	}
	if err := codec.Unmarshal(reply, resp); err != nil {
		return verdict.RefuseMayHaveRun(verdict.ReasonInternal, "%s: reply can't be decoded: %v", topic, err)
	}
	return nil
}

// CallRaw is like Call, but takes an encoded request and returns an encoded reply.
func (n *Node) CallRaw(ctx context.Context, addr, topic string, body []byte) ([]byte, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultCallTimeout)
		defer cancel()
	}
	return n.peer(addr).call(ctx, &frame{Kind: kindRequest, Topic: topic, Body: body})
}

// peer returns the peer for addr. If there is none, it creates it and starts its
// goroutine.
func (n *Node) peer(addr string) *peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	p, ok := n.peers[addr]
	if !ok {
		p = newPeer(n, addr)
		n.peers[addr] = p
		if n.closed {
			p.close()
		} else {
			n.wg.Add(1)
			go p.run()
		}
	}
	return p
}

// track registers an open connection for Close. It returns false if the node is
// closed.
func (n *Node) track(c net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.conns[c] = struct{}{}
	return true
}

func (n *Node) untrack(c net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

// acceptRetry is the pause after a failure to accept a connection.
const acceptRetry = 50 * time.Millisecond

// pauseAccept waits before the next attempt to accept a connection. It returns false if the
// node is closed.
func (n *Node) pauseAccept(err error) bool {
	select {
	case <-n.done:
		return false
	default:
	}
	n.logger().Warn("could not accept a connection, trying again", zap.Error(err))
	select {
	case <-n.done:
		return false
	case <-time.After(acceptRetry):
		return true
	}
}

func (n *Node) accept() {
	defer n.wg.Done()
	for {
		c, err := n.listener.Accept()
		if err != nil {
			if !n.pauseAccept(err) {
				return
			}
			continue
		}
		if !n.track(c) {
			c.Close()
			return
		}
		if err := setUnackedTimeout(c); err != nil {
			n.untrack(c)
			c.Close()
			continue
		}
		if !n.inbound.add(c) {
			n.untrack(c)
			c.Close()
			continue
		}
		n.wg.Add(1)
		go n.serve(c)
	}
}

// serve reads and dispatches the frames of an inbound connection.
func (n *Node) serve(c net.Conn) {
	defer n.wg.Done()
	defer n.untrack(c)
	defer n.inbound.remove(c)
	defer c.Close()
	counted := &countingConn{Conn: c, counter: &n.traffic}
	r := bufio.NewReaderSize(counted, readBufferBytes)
	replies := newReplyWriter(counted)
	var delays delayTracker
	closeConn := func() { c.Close() }
	for {
		f, err := readFrame(r, n.budget.Load(), closeConn)
		if err != nil {
			return
		}
		n.inbound.framed(c)
		n.observe(f)
		switch f.Kind {
		case kindMessage:
			n.deliver(f)
		case kindRequest:
			f.BudgetMillis -= delays.lateness(f.SentMillis, clock.Boot{}.Now()).Milliseconds()
			n.wg.Add(1)
			go n.serveRequest(f, replies)
		default:
			return
		}
	}
}
