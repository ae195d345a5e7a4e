package entry

import (
	"context"
	"sync/atomic"
	"time"

	"kumquatwing/internal/api"
	"kumquatwing/internal/verdict"
	"kumquatwing/internal/wire"
)

const (
	// syncTimeout bounds one sync.
	syncTimeout = time.Second
	// recordTimeout bounds one call to the ledger.
	recordTimeout = 2 * time.Second
	// passTimeout bounds an operator's or worker's call that is passed on.
	passTimeout = 20 * time.Second
)

// controlClient reaches kqcontrol over the wire transport. It stays with one address
// while that answers and goes on to the next when it doesn't.
type controlClient struct {
	node  *wire.Node
	addrs []string
	// current indexes addrs.
	current atomic.Uint32
}

// call sends one request within timeout, and moves on after a failure to reach
// the address.
func (c *controlClient) call(ctx context.Context, timeout time.Duration, topic string, req, resp any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	at := c.current.Load()
	err := c.node.Call(ctx, c.addrs[int(at)%len(c.addrs)], topic, req, resp)
	if err != nil && unreachable(err) {
		c.current.CompareAndSwap(at, at+1)
	}
	return err
}

func unreachable(err error) bool {
	r := verdict.From(err)
	return r.Reason == verdict.ReasonUnreachable || r.Reason == verdict.ReasonDeadline
}

// Begin implements route.Ledger.
func (c *controlClient) Begin(ctx context.Context, req *api.RecordBegin) (*api.RecordReply, error) {
	resp := &api.RecordReply{}
	if err := c.call(ctx, recordTimeout, api.TopicRecord, req, resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// Finish implements route.Ledger.
func (c *controlClient) Finish(ctx context.Context, req *api.RecordFinish) error {
	return c.call(ctx, recordTimeout, api.TopicFinish, req, &api.RecordReply{})
}

// sync sends one EntrySync.
func (c *controlClient) sync(ctx context.Context, req *api.EntrySync) (*api.EntryState, error) {
	resp := &api.EntryState{}
	if err := c.call(ctx, syncTimeout, api.TopicEntrySync, req, resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// http passes a call on.
func (c *controlClient) http(ctx context.Context, req *api.HTTPCall) (*api.HTTPReply, error) {
	resp := &api.HTTPReply{}
	if err := c.call(ctx, passTimeout, api.TopicHTTP, req, resp); err != nil {
		return nil, err
	}
	return resp, nil
}
