package cellapi

import (
	"context"
	"time"

	"kumquatwing/internal/verdict"
)

const (
	// pingTimeout bounds a ping.
	pingTimeout = 400 * time.Millisecond
	// lookupInterval is the interval between two rounds of pings.
	lookupInterval = 100 * time.Millisecond
	// lookupRounds bounds the rounds of one lookup. Calls and hellos that still find
	// no leader start another one.
	lookupRounds = 10
)

// PingRequest asks a control process which leader it knows.
type PingRequest struct{}

// PingReply names the leader that the process knows.
type PingReply struct {
	// Leader is the wire address of the leader, "" if none is known, and Term the
	// term in which it leads.
	Leader string
	Term   uint64
	// Member is the ID of the process as a member of the group.
	Member uint64
}

// findLeader looks for the leader in the background, unless a lookup is running.
func (c *Client) findLeader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lookingUp {
		return
	}
	c.lookingUp = true
	go c.lookUpLeader()
}

// lookUpLeader pings the control processes until the leader answers.
func (c *Client) lookUpLeader() {
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.lookingUp = false
	}()
	for range lookupRounds {
		c.pingAll()
		time.Sleep(lookupInterval)
		if c.leaderAnswers() {
			return
		}
	}
}

// leaderAnswers reports whether the leader is known and answers.
func (c *Client) leaderAnswers() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.controls.direct()
}

// pingAll pings all control processes at the same time, except those whose last ping
// has not been answered yet, and does not wait for the answers.
func (c *Client) pingAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, addr := range c.controls.startPings() {
		go c.ping(addr)
	}
}

// ping asks one control process for the leader and records the answer.
func (c *Client) ping(addr string) {
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	r, err := c.sendPing(ctx, addr)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.controls.endPing(addr)
	if err != nil {
		c.controls.silent(addr)
		return
	}
	c.controls.answered(addr, r.Leader, r.Term)
}

// MemberAt asks the control process at an address which member of the group it is.
func (c *Client) MemberAt(ctx context.Context, addr string) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	r, err := c.sendPing(ctx, addr)
	if err != nil {
		return 0, err
	}
	return r.Member, nil
}

func (c *Client) sendPing(ctx context.Context, addr string) (*PingReply, error) {
	body, err := encode(topicPing, &PingRequest{})
	if err != nil {
		return nil, err
	}
	reply, err := c.transport.CallRaw(ctx, addr, topicPing, body)
	if err != nil {
		return nil, verdict.FromError(err)
	}
	return decode[PingReply](topicPing, reply)
}
