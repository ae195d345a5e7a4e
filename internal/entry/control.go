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
	// syncTimeout limits one sync.
	syncTimeout = time.Second
	// recordTimeout limits one call to the request ledger.
	recordTimeout = 2 * time.Second
	// forwardTimeout limits one forwarded API call, such as an operator's or a
	// worker's.
	forwardTimeout = 20 * time.Second
)

// controlClient calls kqcontrol over the wire transport. It uses one address until
// that becomes unreachable and then switches to the next. It is safe for concurrent
// use.
type controlClient struct {
	node  *wire.Node
	addrs []string
	// current modulo len(addrs) is the index of the address in use.
	current atomic.Uint32
}

// call sends one request and waits at most timeout for the reply. If the address
// is unreachable, later calls use the next one; call itself does not retry.
func (c *controlClient) call(ctx context.Context, timeout time.Duration, topic string, req, resp any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	used := c.current.Load()
	err := c.node.Call(ctx, c.addrs[int(used)%len(c.addrs)], topic, req, resp)
	if err != nil && unreachable(err) {
		c.current.CompareAndSwap(used, used+1)
	}
	return err
}

// unreachable reports whether err means that kqcontrol could not be reached or
// did not reply in time.
func unreachable(err error) bool {
	r := verdict.FromError(err)
	return r.Reason == verdict.ReasonUnreachable || r.Reason == verdict.ReasonDeadline
}

// Begin implements route.Ledger.
func (c *controlClient) Begin(ctx context.Context, req *api.RecordBegin) (*api.RecordReply, error) {
	resp := &api.RecordReply{}
	if err := c.call(ctx, recordTimeout, api.TopicRecordBegin, req, resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// Finish implements route.Ledger.
func (c *controlClient) Finish(ctx context.Context, req *api.RecordFinish) error {
	return c.call(ctx, recordTimeout, api.TopicRecordFinish, req, &api.RecordReply{})
}

// sync sends one sync and returns the reply.
func (c *controlClient) sync(ctx context.Context, req *api.EntrySync) (*api.EntryState, error) {
	resp := &api.EntryState{}
	if err := c.call(ctx, syncTimeout, api.TopicEntrySync, req, resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// callHTTP sends an HTTP API call to kqcontrol and returns the reply.
func (c *controlClient) callHTTP(ctx context.Context, req *api.HTTPCall) (*api.HTTPReply, error) {
	resp := &api.HTTPReply{}
	if err := c.call(ctx, forwardTimeout, api.TopicHTTP, req, resp); err != nil {
		return nil, err
	}
	return resp, nil
}
