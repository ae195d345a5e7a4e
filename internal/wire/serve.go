package wire

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"go.uber.org/zap"

	"kumquatwing/internal/verdict"
)

// deliver sends a one-way message to its subscribers, except for those whose buffer
// is full.
func (n *Node) deliver(f *frame) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return
	}
	for _, ch := range n.subscribers[f.Topic] {
		select {
		case ch <- message.NewMessage("", f.Body):
		default:
		}
	}
}

// serveRequest runs the handler of a request and writes the reply. It refuses the
// request if its caller has given up, or if maxHandlers are running, or maxTopicHandlers
// of its topic.
func (n *Node) serveRequest(f *frame, replies *replyWriter) {
	defer n.wg.Done()
	reply := &frame{Kind: kindReply, ID: f.ID}
	switch {
	case f.BudgetMillis <= 0:
		reply.Refusal = verdict.Refuse(verdict.ReasonDeadline, "%s: held up for longer than the caller waits", f.Topic)
	case n.beginRequest(f.Topic):
		reply.Body, reply.Refusal = n.runHandler(f)
		n.endRequest(f.Topic)
	default:
		reply.Refusal = verdict.Refuse(verdict.ReasonOverload, "%s: too many requests at once", f.Topic)
	}
	n.stamp(reply)
	replies.write(reply)
}

// beginRequest takes a handler slot for a request, and reports whether there is one.
func (n *Node) beginRequest(topic string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.running[topic] >= maxTopicHandlers {
		return false
	}
	select {
	case n.handlerSlots <- struct{}{}:
		n.running[topic]++
		return true
	default:
		return false
	}
}

// endRequest frees the slot that beginRequest took.
func (n *Node) endRequest(topic string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	<-n.handlerSlots
	if n.running[topic]--; n.running[topic] == 0 {
		delete(n.running, topic)
	}
}

// runHandler runs the handler of a request. A panic ends the request and not the
// process.
func (n *Node) runHandler(f *frame) (body []byte, refusal *verdict.Refusal) {
	n.mu.Lock()
	h := n.handlers[f.Topic]
	n.mu.Unlock()
	if h == nil {
		// A starting process listens before all handlers are registered, so the
		// caller may retry.
		return nil, verdict.Refuse(verdict.ReasonUnreachable, "no handler for topic %q", f.Topic).WithRetryAfter(backoffMax)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(f.BudgetMillis)*time.Millisecond)
	defer cancel()
	defer func() {
		if v := recover(); v != nil {
			n.logger().Error("handler of a request panicked", zap.String("topic", f.Topic), zap.Any("panic", v), zap.ByteString("stack", debug.Stack()))
			body, refusal = nil, verdict.RefuseMayHaveRun(verdict.ReasonInternal, "%s: the handler failed", f.Topic)
		}
	}()
	body, err := h(ctx, f.Body)
	if err != nil {
		return nil, verdict.FromError(err)
	}
	return body, nil
}
