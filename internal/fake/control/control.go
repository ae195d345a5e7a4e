// Package control is a small kqcontrol for tests of the request path: the
// tables of slots and records of one data centre behind the wire topics that
// kqentry uses. It commits at once and never loses its state.
package control

import (
	"context"
	"sync"
	"time"

	"kumquatwing/internal/api"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/ledger"
	"kumquatwing/internal/model"
	"kumquatwing/internal/slots"
	"kumquatwing/internal/verdict"
	"kumquatwing/internal/wire"
)

const (
	// generation is the only one of this group.
	generation = 1
	// tickPause is the pause between two ticks.
	tickPause = 50 * time.Millisecond
	// DefaultLease is the settings lease given to entry VMs.
	DefaultLease = 3 * time.Second
)

// Control is one fake kqcontrol.
type Control struct {
	Node  *wire.Node
	clock clock.Clock
	stop  context.CancelFunc
	done  chan struct{}

	mu     sync.Mutex
	view   api.EntryView
	lease  time.Duration
	state  *slots.State
	leader *slots.Leader
	ledger *ledger.State
	remote []api.RemoteEntry
	// homes are the controls of other data centres, for their records.
	homes map[model.DCID]*Control
	// leaderless syncs get a lease and no slots.
	leaderless bool
	// isolated entry VMs get no answers.
	isolated map[model.VMID]bool
	// fail refuses the topics in it.
	fail map[string]*verdict.Refusal
	// delay holds each answer to a topic back.
	delay map[string]time.Duration
}

// Start listens at addr for the entry VMs of dc.
func Start(addr string, dc model.DCID, view api.EntryView) (*Control, error) {
	node, err := wire.Listen(addr, nil)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Control{
		Node:   node,
		clock:  clock.Boot{},
		stop:   cancel,
		done:   make(chan struct{}),
		view:   view,
		lease:  DefaultLease,
		state:  slots.NewState(generation),
		ledger: ledger.New(dc, generation, ledger.Limits{Records: ledger.DefaultRecords, AnswerBytes: ledger.DefaultAnswerBytes}),
		fail:   map[string]*verdict.Refusal{},

		homes:    map[model.DCID]*Control{},
		isolated: map[model.VMID]bool{},

		delay: map[string]time.Duration{},
	}
	c.leader = slots.NewLeader(c.state, slots.DefaultMargin)
	c.leader.TakeOver(c.clock.Now(), 1, 0)
	wire.HandleTyped(node, api.TopicEntrySync, gated(c, api.TopicEntrySync, c.sync))
	wire.HandleTyped(node, api.TopicRecord, gated(c, api.TopicRecord, c.begin))
	wire.HandleTyped(node, api.TopicFinish, gated(c, api.TopicFinish, c.finish))
	wire.HandleTyped(node, api.TopicHTTP, gated(c, api.TopicHTTP, c.http))
	go c.tick(ctx)
	return c, nil
}

// Close stops the fake.
func (c *Control) Close() {
	c.stop()
	<-c.done
	c.Node.Close()
}

// Set changes the view; entry VMs get it with their next sync.
func (c *Control) Set(change func(v *api.EntryView)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.view
	v.Keys = append([]model.Key(nil), v.Keys...)
	v.Queues = append([]model.Queue(nil), v.Queues...)
	v.DataCentres = append([]model.DataCentre(nil), v.DataCentres...)
	change(&v)
	v.Revision++
	c.view = v
}

// SetLease changes the settings lease; 0 gives none.
func (c *Control) SetLease(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease = d
}

// Lease is the settings lease that syncs grant.
func (c *Control) Lease() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease
}

// SetLeaderless answers syncs as while the data centre has no leader.
func (c *Control) SetLeaderless(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaderless = on
}

// Isolate cuts an entry VM off from the group, or takes it back.
func (c *Control) Isolate(vm model.VMID, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolated[vm] = cut
}

// SetRemote lists entry VMs of other data centres.
func (c *Control) SetRemote(r []api.RemoteEntry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remote = r
}

// SetHome names the control that keeps the records of another data centre.
func (c *Control) SetHome(dc model.DCID, home *Control) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.homes[dc] = home
}

// Fail refuses a topic from now on; nil takes it up again.
func (c *Control) Fail(topic string, r *verdict.Refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fail[topic] = r
}

// Delay holds the answers to a topic back, after they were worked out.
func (c *Control) Delay(topic string, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delay[topic] = d
}

// Records is the number of records.
func (c *Control) Records() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Len()
}

// Held is the number of lent slots of a server.
func (c *Control) Held(id model.ServerID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Held(id)
}

// gated adds the faults to a handler.
func gated[Req, Resp any](c *Control, topic string, h func(*Req) (*Resp, error)) func(context.Context, *Req) (*Resp, error) {
	return func(ctx context.Context, req *Req) (*Resp, error) {
		c.mu.Lock()
		refusal, delay := c.fail[topic], c.delay[topic]
		c.mu.Unlock()
		if refusal != nil {
			return nil, refusal
		}
		resp, err := h(req)
		if delay > 0 {
			time.Sleep(delay)
		}
		return resp, err
	}
}

func (c *Control) sync(req *api.EntrySync) (*api.EntryState, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isolated[req.Entry] {
		return nil, verdict.Uncertain(verdict.ReasonUnreachable, "entry VM %s is cut off", req.Entry)
	}
	out := &api.EntryState{LeaseMillis: c.lease.Milliseconds(), Revision: c.view.Revision, Remote: c.remote}
	if req.Revision < c.view.Revision {
		v := c.view
		out.View = &v
	}
	if c.leaderless {
		return out, nil
	}
	out.Generation, out.GroupMillis = generation, now()
	cmds, reply := c.leader.Sync(c.clock.Now(), req)
	c.apply(cmds)
	reply(c.clock.Now(), out)
	return out, nil
}

func (c *Control) apply(cmds []*slots.Command) {
	for _, cmd := range cmds {
		c.state.Apply(now(), cmd)
	}
}

func (c *Control) begin(req *api.RecordBegin) (*api.RecordReply, error) {
	return c.home(req.ID).record(&ledger.Command{Begin: req})
}

func (c *Control) finish(req *api.RecordFinish) (*api.RecordReply, error) {
	return c.home(req.ID).record(&ledger.Command{Finish: req})
}

// home is the control that keeps the record of an id.
func (c *Control) home(text model.RequestID) *Control {
	c.mu.Lock()
	defer c.mu.Unlock()
	id, err := ledger.Parse(text)
	if home := c.homes[id.DC]; err == nil && home != nil {
		return home
	}
	return c
}

func (c *Control) record(cmd *ledger.Command) (*api.RecordReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	res := c.ledger.Apply(now(), cmd)
	if res.Refusal != nil {
		return nil, res.Refusal
	}
	return res.Reply, nil
}

// http answers a passed call with its path.
func (c *Control) http(req *api.HTTPCall) (*api.HTTPReply, error) {
	return &api.HTTPReply{Status: 200, ContentType: "text/plain", Body: []byte(req.Method + " " + req.Path)}, nil
}

func (c *Control) tick(ctx context.Context) {
	defer close(c.done)
	t := time.NewTicker(tickPause)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		c.mu.Lock()
		c.apply(c.leader.Tick(c.clock.Now()))
		c.mu.Unlock()
	}
}

func now() int64 { return time.Now().UnixMilli() }
