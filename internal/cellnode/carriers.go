package cellnode

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/replica"
	"kumquatwing/internal/scheduler"
	"kumquatwing/internal/verdict"
	"kumquatwing/internal/wire"
)

const (
	// carriedWorkers is the number of workers from which on the other members
	// carry the leader's calls; below it they cost more than they spare.
	carriedWorkers = 100
	// carriersRefresh is how long the list of carriers is used.
	carriersRefresh = 100 * time.Millisecond
	// carrierAvoid is how long a member that failed carries nothing, and
	// directTime how long a worker is called by the leader itself after a carrier
	// got no answer from it.
	carrierAvoid = 2 * time.Second
	directTime   = 3 * time.Second

	topicStart = "cell.carry.start"
	topicStop  = "cell.carry.stop"
	topicHold  = "cell.carry.hold"
)

// carried is a call to a worker that another member makes; exactly one of the
// orders is set.
type carried struct {
	Target scheduler.Target      `msgpack:"t"`
	Start  *scheduler.StartOrder `msgpack:"s,omitempty"`
	Stop   *scheduler.StopOrder  `msgpack:"o,omitempty"`
	Hold   *scheduler.HoldOrder  `msgpack:"h,omitempty"`
	// WithinMillis is how long the leader waits for the answer.
	WithinMillis int64 `msgpack:"w"`
}

// carriedReply is the worker's answer.
type carriedReply struct {
	// Refusal is set if the worker refused.
	Refusal scheduler.Refusal `msgpack:"r,omitempty"`
	// Failed says why there is no clear answer, "" if there is one.
	Failed string               `msgpack:"f,omitempty"`
	Hold   *scheduler.HoldReply `msgpack:"h,omitempty"`
}

// carriers spreads the leader's calls to workers over the other members, so that
// connections and their work don't fall on the leader alone. It decides nothing:
// an order that is carried late is as safe as one that the network delays. It
// implements scheduler.WorkerClient.
type carriers struct {
	direct scheduler.WorkerClient
	wire   *wire.Node
	group  replica.Group
	state  *cell.State
	clock  clock.Clock

	mu        sync.Mutex
	refreshed clock.Instant
	members   []string
	// avoid holds until when a member carries nothing, and alone until when a
	// worker is called directly.
	avoid map[string]clock.Instant
	alone map[cell.WorkerID]clock.Instant
}

func newCarriers(direct scheduler.WorkerClient, w *wire.Node, g replica.Group, state *cell.State, c clock.Clock) *carriers {
	return &carriers{
		direct: direct, wire: w, group: g, state: state, clock: c,
		avoid: map[string]clock.Instant{}, alone: map[cell.WorkerID]clock.Instant{},
	}
}

// serve makes this member carry calls for the leader.
func (c *carriers) serve() {
	for _, topic := range []string{topicStart, topicStop, topicHold} {
		wire.HandleTyped(c.wire, topic, c.carry)
	}
}

// carry makes a call for the leader.
func (c *carriers) carry(ctx context.Context, req *carried) (*carriedReply, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.WithinMillis)*time.Millisecond)
	defer cancel()
	reply := &carriedReply{}
	var err error
	switch {
	case req.Start != nil:
		err = c.direct.Start(ctx, req.Target, *req.Start)
	case req.Stop != nil:
		err = c.direct.Stop(ctx, req.Target, *req.Stop)
	case req.Hold != nil:
		reply.Hold, err = c.direct.Hold(ctx, req.Target, *req.Hold)
	default:
		return nil, verdict.Refuse(verdict.ReasonBadRequest, "a carried call has no order")
	}
	var refused *scheduler.RefusedError
	switch {
	case errors.As(err, &refused):
		reply.Refusal = refused.Refusal
	case err != nil:
		reply.Failed = err.Error()
	}
	return reply, nil
}

// Start implements scheduler.WorkerClient.
func (c *carriers) Start(ctx context.Context, t scheduler.Target, o scheduler.StartOrder) error {
	via := c.pick(t.ID)
	if via == "" {
		return c.direct.Start(ctx, t, o)
	}
	_, err := c.call(ctx, via, topicStart, &carried{Target: t, Start: &o})
	if notSent(err) {
		return c.direct.Start(ctx, t, o)
	}
	return err
}

// Stop implements scheduler.WorkerClient.
func (c *carriers) Stop(ctx context.Context, t scheduler.Target, o scheduler.StopOrder) error {
	via := c.pick(t.ID)
	if via == "" {
		return c.direct.Stop(ctx, t, o)
	}
	_, err := c.call(ctx, via, topicStop, &carried{Target: t, Stop: &o})
	if notSent(err) {
		return c.direct.Stop(ctx, t, o)
	}
	return err
}

// Hold implements scheduler.WorkerClient.
func (c *carriers) Hold(ctx context.Context, t scheduler.Target, o scheduler.HoldOrder) (*scheduler.HoldReply, error) {
	via := c.pick(t.ID)
	if via == "" {
		return c.direct.Hold(ctx, t, o)
	}
	reply, err := c.call(ctx, via, topicHold, &carried{Target: t, Hold: &o})
	switch {
	case notSent(err):
		return c.direct.Hold(ctx, t, o)
	case err != nil:
		return nil, err
	case reply.Hold == nil:
		return nil, errNoHold
	}
	return reply.Hold, nil
}

var errNoHold = errors.New("cellnode: a carried renewal came back without its answer")

// notSent reports whether a carrier surely did not pass the call on.
func notSent(err error) bool {
	var refused *scheduler.RefusedError
	var answer *carrierError
	if err == nil || errors.As(err, &refused) || errors.As(err, &answer) {
		return false
	}
	return verdict.From(err).Verdict == verdict.NotRun
}

// carrierError is what a carrier said of a call that had no clear answer.
type carrierError struct{ text string }

// Error implements error.
func (e *carrierError) Error() string { return "through another member: " + e.text }

// call lets a member make a call, and avoids what failed.
func (c *carriers) call(ctx context.Context, via, topic string, req *carried) (*carriedReply, error) {
	if end, ok := ctx.Deadline(); ok {
		req.WithinMillis = time.Until(end).Milliseconds()
	}
	var reply carriedReply
	if err := c.wire.Call(ctx, via, topic, req, &reply); err != nil {
		c.failed(via, req.Target.ID)
		return nil, err
	}
	switch {
	case reply.Refusal != 0:
		return nil, &scheduler.RefusedError{Refusal: reply.Refusal}
	case reply.Failed != "":
		c.failed("", req.Target.ID)
		return nil, &carrierError{reply.Failed}
	}
	return &reply, nil
}

// failed keeps a member, unless "", from carrying for a while, and lets the
// worker be called directly.
func (c *carriers) failed(via string, w cell.WorkerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if via != "" {
		c.avoid[via] = now.Add(carrierAvoid)
		c.refreshed = 0
	}
	c.alone[w] = now.Add(directTime)
}

// pick returns the member that carries a worker's calls, "" for none.
func (c *carriers) pick(w cell.WorkerID) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if until, ok := c.alone[w]; ok {
		if now < until {
			return ""
		}
		delete(c.alone, w)
	}
	if c.refreshed == 0 || now.Sub(c.refreshed) > carriersRefresh {
		c.refreshed = now
		c.members = c.available(now)
	}
	return rendezvous(c.members, w)
}

// available returns the members that may carry: those that are heard, but not
// this one. There are none while the workers are few.
func (c *carriers) available(now clock.Instant) []string {
	workers := 0
	c.state.Read(func() { workers = len(c.state.Workers) })
	if workers < carriedWorkers {
		return nil
	}
	st := c.group.Status()
	var out []string
	for _, m := range st.Members {
		if m.ID != st.Self && !slices.Contains(st.Late, m.ID) && now >= c.avoid[m.Addr] {
			out = append(out, m.Addr)
		}
	}
	return out
}

// rendezvous returns the member with the highest hash for a worker (Thaler and
// Ravishankar, 1998), so that few workers move when members come and go.
func rendezvous(members []string, w cell.WorkerID) string {
	best, highest := "", uint64(0)
	for _, m := range members {
		if h := xxhash.Sum64String(m + "/" + string(w)); best == "" || h > highest {
			best, highest = m, h
		}
	}
	return best
}
