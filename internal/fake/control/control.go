// Package control implements a fake kqcontrol for tests of the request path. It
// serves the wire topics that kqentry uses from the slot and ledger states of
// one data centre. It applies commands immediately, without replication, and
// never loses its state.
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
	// generation is the group's generation, which never changes.
	generation = 1
	// tickInterval is the interval of the slot leader's ticks.
	tickInterval = 50 * time.Millisecond
	// DefaultLease is the initial duration of the settings lease granted to
	// entry VMs.
	DefaultLease = 3 * time.Second
)

// Control is a fake kqcontrol.
type Control struct {
	Node  *wire.Node
	clock clock.Clock
	stop  context.CancelFunc
	done  chan struct{}

	// mu guards the fields below.
	mu            sync.Mutex
	view          api.EntryView
	lease         time.Duration
	state         *slots.State
	leader        *slots.Leader
	ledger        *ledger.State
	remoteEntries []api.RemoteEntry
	// homeControls holds the fakes of other data centres, which store the ledger
	// records of request ids created there.
	homeControls map[model.DCID]*Control
	// leaderless makes sync responses carry a settings lease and no slots, as
	// while the data centre has no leader.
	leaderless bool
	// isolated marks the entry VMs whose syncs fail as unreachable.
	isolated map[model.VMID]bool
	// refusals holds the refusal returned for each topic that is set to fail.
	refusals map[string]*verdict.Refusal
	// delays holds the response delay of each topic.
	delays map[string]time.Duration
}

// Start returns a fake that listens on addr for the entry VMs of dc.
func Start(addr string, dc model.DCID, view api.EntryView) (*Control, error) {
	node, err := wire.Listen(addr, nil)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Control{
		Node:     node,
		clock:    clock.Boot{},
		stop:     cancel,
		done:     make(chan struct{}),
		view:     view,
		lease:    DefaultLease,
		state:    slots.NewState(generation),
		ledger:   ledger.New(dc, generation, ledger.Limits{Records: ledger.DefaultRecords, AnswerBytes: ledger.DefaultAnswerBytes}),
		refusals: map[string]*verdict.Refusal{},

		homeControls: map[model.DCID]*Control{},
		isolated:     map[model.VMID]bool{},

		delays: map[string]time.Duration{},
	}
	c.leader = slots.NewLeader(c.state, slots.DefaultMargin)
	c.leader.TakeOver(c.clock.Now(), 1, 0)
	wire.HandleTyped(node, api.TopicEntrySync, withFaults(c, api.TopicEntrySync, c.sync))
	wire.HandleTyped(node, api.TopicRecordBegin, withFaults(c, api.TopicRecordBegin, c.beginRecord))
	wire.HandleTyped(node, api.TopicRecordFinish, withFaults(c, api.TopicRecordFinish, c.finishRecord))
	wire.HandleTyped(node, api.TopicHTTP, withFaults(c, api.TopicHTTP, c.forwardedCall))
	go c.runTicks(ctx)
	return c, nil
}

// Close stops the fake and waits for its ticks to end.
func (c *Control) Close() {
	c.stop()
	<-c.done
	c.Node.Close()
}

// Set changes a copy of the entry view and publishes it as the next revision;
// entry VMs receive it with their next sync.
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

// SetLease sets the duration of the settings lease; 0 grants none.
func (c *Control) SetLease(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease = d
}

// Lease returns the duration of the settings lease that syncs grant.
func (c *Control) Lease() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease
}

// SetLeaderless sets whether syncs are answered as if the data centre had no
// leader.
func (c *Control) SetLeaderless(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaderless = on
}

// Isolate sets whether syncs of an entry VM fail as unreachable.
func (c *Control) Isolate(vm model.VMID, isolate bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolated[vm] = isolate
}

// SetRemote sets the entry VMs of other data centres.
func (c *Control) SetRemote(r []api.RemoteEntry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remoteEntries = r
}

// SetHome sets the fake that stores the ledger records of another data centre.
func (c *Control) SetHome(dc model.DCID, home *Control) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.homeControls[dc] = home
}

// Fail refuses all requests to a topic from now on; a nil refusal ends this.
func (c *Control) Fail(topic string, r *verdict.Refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusals[topic] = r
}

// Delay delays the responses to a topic. The requests are applied before the
// delay.
func (c *Control) Delay(topic string, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delays[topic] = d
}

// Records returns the number of ledger records.
func (c *Control) Records() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Len()
}

// Granted returns the number of a server's slots that are granted to entry VMs.
func (c *Control) Granted(id model.ServerID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Granted(id)
}

// withFaults wraps a topic's handler with the faults set by Fail and Delay.
func withFaults[Req, Resp any](c *Control, topic string, h func(*Req) (*Resp, error)) func(context.Context, *Req) (*Resp, error) {
	return func(ctx context.Context, req *Req) (*Resp, error) {
		c.mu.Lock()
		refusal, delay := c.refusals[topic], c.delays[topic]
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
		return nil, verdict.RefuseMayHaveRun(verdict.ReasonUnreachable, "entry VM %s is cut off", req.Entry)
	}
	out := &api.EntryState{LeaseMillis: c.lease.Milliseconds(), Revision: c.view.Revision, Remote: c.remoteEntries}
	if req.Revision < c.view.Revision {
		v := c.view
		out.View = &v
	}
	if c.leaderless {
		return out, nil
	}
	out.Generation, out.GroupMillis = generation, nowMillis()
	cmds, reply := c.leader.Sync(c.clock.Now(), req)
	c.applyCommands(cmds)
	reply(c.clock.Now(), out)
	return out, nil
}

func (c *Control) applyCommands(cmds []*slots.Command) {
	for _, cmd := range cmds {
		c.state.Apply(nowMillis(), cmd)
	}
}

func (c *Control) beginRecord(req *api.RecordBegin) (*api.RecordReply, error) {
	return c.homeControl(req.ID).applyRecord(&ledger.Command{Begin: req})
}

func (c *Control) finishRecord(req *api.RecordFinish) (*api.RecordReply, error) {
	return c.homeControl(req.ID).applyRecord(&ledger.Command{Finish: req})
}

// homeControl returns the fake that stores the ledger record of a request id.
func (c *Control) homeControl(requestID model.RequestID) *Control {
	c.mu.Lock()
	defer c.mu.Unlock()
	id, err := ledger.Parse(requestID)
	if homeControl := c.homeControls[id.DC]; err == nil && homeControl != nil {
		return homeControl
	}
	return c
}

func (c *Control) applyRecord(cmd *ledger.Command) (*api.RecordReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	res := c.ledger.Apply(nowMillis(), cmd)
	if res.Refusal != nil {
		return nil, res.Refusal
	}
	return res.Reply, nil
}

// forwardedCall answers a forwarded API call with its method and path.
func (c *Control) forwardedCall(req *api.HTTPCall) (*api.HTTPReply, error) {
	return &api.HTTPReply{Status: 200, ContentType: "text/plain", Body: []byte(req.Method + " " + req.Path)}, nil
}

func (c *Control) runTicks(ctx context.Context) {
	defer close(c.done)
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		c.mu.Lock()
		c.applyCommands(c.leader.Tick(c.clock.Now()))
		c.mu.Unlock()
	}
}

func nowMillis() int64 { return time.Now().UnixMilli() }
