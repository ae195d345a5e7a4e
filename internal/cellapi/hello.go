package cellapi

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	// helloInterval is the pause after a successful hello.
	helloInterval = 700 * time.Millisecond
	// helloRetry is the pause after a failed hello.
	helloRetry = 100 * time.Millisecond
)

// SendHellos sends a hello at regular intervals, and whenever there is another
// leader, until ctx ends. This keeps the client's list of control processes up to date
// and announces this process to the leader. next returns the request of each hello.
func (c *Client) SendHellos(ctx context.Context, next func() *HelloRequest) {
	for {
		target, changed := c.target()
		pause := helloInterval
		if err := c.sendHello(ctx, target, next()); err != nil {
			pause = helloRetry
		}
		if !c.pauseHellos(ctx, pause, target, changed) {
			return
		}
	}
}

// pauseHellos waits for d, or until the target of calls is no longer the given one.
// It returns false once ctx is done.
func (c *Client) pauseHellos(ctx context.Context, d time.Duration, target string, changed <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return true
		case <-changed:
		}
		var now string
		if now, changed = c.target(); now != target && now != "" {
			return true
		}
	}
}

// sendHello sends a hello to the leader, directly or through another control process.
func (c *Client) sendHello(ctx context.Context, target string, req *HelloRequest) error {
	r, err := c.tryHello(ctx, target, req)
	if err != nil {
		c.recordFailure()
		c.findLeader()
		c.setConnected(false, err)
		return err
	}
	c.applyHello(target, r)
	return nil
}

func (c *Client) tryHello(ctx context.Context, target string, req *HelloRequest) (*HelloReply, error) {
	if target == "" {
		return nil, errNoLeader()
	}
	body, err := encode(topicHello, req)
	if err != nil {
		return nil, err
	}
	reply, refusal := c.attempt(ctx, target, topicHello, body)
	if refusal != nil {
		return nil, refusal
	}
	return decode[HelloReply](topicHello, reply)
}

// applyHello updates the client from the leader's reply to a hello that was sent to
// target. While the leader can't be reached directly, it is looked for again.
func (c *Client) applyHello(target string, r *HelloReply) {
	c.mu.Lock()
	c.controls.answered(target, r.Leader, r.Term)
	c.controls.retain(r.Controls)
	c.configured = c.configured || r.Configured
	c.maxBodyBytes = r.MaxBodyBytes
	c.failingSince = 0
	direct := c.controls.direct()
	c.mu.Unlock()
	if !direct {
		c.findLeader()
	}
	c.setConnected(true, nil)
}

// setConnected records whether the last hello succeeded, and logs each change.
func (c *Client) setConnected(connected bool, err error) {
	c.mu.Lock()
	changed := c.connected != connected
	c.connected = connected
	leader := c.controls.leader
	c.mu.Unlock()
	switch {
	case changed && connected:
		c.log.Info("connected to the cell leader", zap.String("leader", leader))
	case changed:
		c.log.Warn("lost connection to the cell leader", zap.Error(err))
	}
}
