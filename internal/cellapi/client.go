package cellapi

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/codec"
	"kumquatwing/internal/verdict"
	"kumquatwing/internal/wire"
)

// transport sends a request to a control process and returns its reply.
// *wire.Node implements it.
type transport interface {
	CallRaw(ctx context.Context, addr, topic string, body []byte) ([]byte, error)
}

// Client sends calls to the leader of a cell, which it finds by itself. All
// methods are safe for concurrent use; their errors are of type
// *verdict.Refusal.
type Client struct {
	transport transport
	clock     clock.Clock
	log       *zap.Logger

	// mu protects the fields below.
	mu       sync.Mutex
	controls controlTable
	// lookingUp says that a lookup of the leader is running.
	lookingUp bool
	// configured says that the cell has reported that it has a configuration.
	configured bool
	// maxBodyBytes is the limit on callers' bodies in the configuration, 0 for none.
	maxBodyBytes int64
	// connected says that the last hello succeeded.
	connected bool
	// failingSince is when the first attempt failed since the last success, 0 if
	// none has failed since.
	failingSince clock.Instant
}

// NewClient returns a client that at first knows the control processes at the
// seed addresses.
func NewClient(w *wire.Node, seeds []string, c clock.Clock, log *zap.Logger) *Client {
	return newClient(w, seeds, c, log)
}

func newClient(t transport, seeds []string, c clock.Clock, log *zap.Logger) *Client {
	return &Client{transport: t, clock: c, log: log.Named("cell"), controls: newControlTable(seeds)}
}

// AddSeeds adds the addresses of further control processes.
func (c *Client) AddSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.controls.addSeeds(seeds)
}

// Configured reports whether the cell is known to have a configuration.
func (c *Client) Configured() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.configured
}

// Submit submits a job.
func (c *Client) Submit(ctx context.Context, req *SubmitRequest) (*SubmitReply, error) {
	repeated := *req
	repeated.Repeated = true
	return invokeRepeatable[SubmitReply](ctx, c, topicSubmit, req, &repeated)
}

// Job returns the state of a job.
func (c *Client) Job(ctx context.Context, req *JobRequest) (*JobReply, error) {
	return invoke[JobReply](ctx, c, topicJob, req)
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, req *JobRequest) (*CancelReply, error) {
	return invoke[CancelReply](ctx, c, topicCancel, req)
}

// Queue returns how many jobs of a queue are waiting.
func (c *Client) Queue(ctx context.Context, req *QueueRequest) (*QueueReply, error) {
	return invoke[QueueReply](ctx, c, topicQueue, req)
}

// Configure applies a configuration.
func (c *Client) Configure(ctx context.Context, req *ConfigureRequest) (*ConfigureReply, error) {
	return invoke[ConfigureReply](ctx, c, topicConfigure, req)
}

// Config returns the newest configuration.
func (c *Client) Config(ctx context.Context) (*ConfigReply, error) {
	return invoke[ConfigReply](ctx, c, topicConfig, &ConfigRequest{})
}

// Report sends a worker's report.
func (c *Client) Report(ctx context.Context, req *ReportRequest) (*ReportReply, error) {
	return invoke[ReportReply](ctx, c, topicReport, req)
}

// Leave announces that a worker is about to shut down.
func (c *Client) Leave(ctx context.Context, id cell.WorkerID) (*LeaveReply, error) {
	return invoke[LeaveReply](ctx, c, topicLeave, &LeaveRequest{id})
}

// invoke makes a call and returns its reply.
func invoke[Resp any](ctx context.Context, c *Client, topic string, req any) (*Resp, error) {
	return invokeRepeatable[Resp](ctx, c, topic, req, req)
}

// invokeRepeatable makes a call and returns its reply. Attempts that follow on one that
// may have run send the request repeated.
func invokeRepeatable[Resp any](ctx context.Context, c *Client, topic string, req, repeated any) (*Resp, error) {
	k := c.newCall(topic)
	var err error
	if k.body, err = encode(topic, req); err != nil {
		return nil, err
	}
	if k.repeated, err = encode(topic, repeated); err != nil {
		return nil, err
	}
	reply, err := k.run(ctx)
	if err != nil {
		return nil, err
	}
	return decode[Resp](topic, reply)
}

// decode decodes the reply to a call.
func decode[Resp any](topic string, reply []byte) (*Resp, error) {
	resp := new(Resp)
	if err := codec.Unmarshal(reply, resp); err != nil {
		return nil, verdict.RefuseMayHaveRun(verdict.ReasonInternal, "%s: reply can't be decoded: %v", topic, err)
	}
	return resp, nil
}

// HandleAdvise registers advise as the handler of the leader's advice requests
// to the placement policy.
func HandleAdvise(w *wire.Node, advise func(ctx context.Context, req *AdviseRequest) (*AdviseReply, error)) {
	wire.HandleTyped(w, topicAdvise, advise)
}

// Reachable reports whether calls can be expected to succeed soon. They cannot
// once attempts have been failing for longer than an election takes, or while no
// control process answers.
func (c *Client) Reachable() bool { return c.failingFor() < leaderWait && !c.allDown() }

// Ready reports whether this process should get further callers. That is the case
// until attempts have been failing for readyTolerance.
func (c *Client) Ready() bool { return c.failingFor() < readyTolerance && !c.allDown() }

// allDown reports whether no control process has answered the last lookup.
func (c *Client) allDown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.controls.allDown()
}

// failingFor returns for how long attempts have been failing.
func (c *Client) failingFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failingSince == 0 {
		return 0
	}
	return c.clock.Now().Sub(c.failingSince)
}

// recordSuccess records that the leader has answered.
func (c *Client) recordSuccess() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failingSince = 0
}

// recordFailure records that an attempt has failed.
func (c *Client) recordFailure() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failingSince == 0 {
		c.failingSince = c.clock.Now()
	}
}
