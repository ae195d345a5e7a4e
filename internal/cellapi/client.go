package cellapi

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/verdict"
	"kumquatwing/internal/wire"
)

const (
	// tryTimeout bounds one try at one control process.
	tryTimeout = 600 * time.Millisecond
	// tryPause is the wait before the next try after a refusal.
	tryPause = 40 * time.Millisecond
	// avoidTime is how long a process that failed is tried last.
	avoidTime = 1500 * time.Millisecond
	// electionWait is how long calls wait for a leader: about as long as the
	// election of another one takes. Later ones are refused at once.
	electionWait = 1200 * time.Millisecond
	// lostRetry is when callers that were refused for want of a leader should
	// come back.
	lostRetry = 2 * time.Second
	// helloInterval is the pause between two calls of Hello.
	helloInterval = 700 * time.Millisecond
	// helloRetry is the pause after one that failed.
	helloRetry = 150 * time.Millisecond
)

// Client finds the leader of a cell and puts calls to it. All methods are safe
// for concurrent use; their errors are *verdict.Refusal.
type Client struct {
	wire  *wire.Node
	clock clock.Clock
	log   *zap.Logger

	mu sync.Mutex
	// controls are the known control processes, seeds among them.
	controls []string
	leader   string
	// avoid holds until when a process is tried last.
	avoid      map[string]clock.Instant
	configured bool
	linked     bool
	// lostSince is when the first of the calls failed that no success has
	// followed, 0 if the last one succeeded.
	lostSince clock.Instant
}

// NewClient returns a client that starts from the addresses of some control
// processes.
func NewClient(w *wire.Node, seeds []string, c clock.Clock, log *zap.Logger) *Client {
	return &Client{
		wire: w, clock: c, log: log.Named("cell"),
		controls: slices.Clone(seeds), avoid: map[string]clock.Instant{},
	}
}

// AddSeeds adds addresses to start from.
func (c *Client) AddSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range seeds {
		if !slices.Contains(c.controls, s) {
			c.controls = append(c.controls, s)
		}
	}
}

// Configured reports whether the cell has told of a configuration.
func (c *Client) Configured() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.configured
}

// order returns the control processes in the order in which to try them.
func (c *Client) order() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	out := slices.Clone(c.controls)
	slices.SortStableFunc(out, func(a, b string) int { return c.cost(a, now) - c.cost(b, now) })
	return out
}

func (c *Client) cost(addr string, now clock.Instant) int {
	cost := 1
	if addr == c.leader {
		cost = 0
	}
	if now < c.avoid[addr] {
		cost += 2
	}
	return cost
}

func (c *Client) shun(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoid[addr] = c.clock.Now().Add(avoidTime)
	if c.leader == addr {
		c.leader = ""
	}
}

// call puts an idempotent request to the leader until it is answered or ctx
// ends. A refusal is NotRun only if no try may have run.
func (c *Client) call(ctx context.Context, topic string, req, resp any) error {
	uncertain := false
	last := errNoLeader()
	for {
		if !c.Reachable() {
			return settle(last, uncertain)
		}
		for _, addr := range c.order() {
			err := c.try(ctx, addr, topic, req, resp)
			if err == nil {
				c.succeeded()
				return nil
			}
			last = verdict.From(err)
			uncertain = uncertain || last.Verdict != verdict.NotRun
			if !repeatable(last) {
				c.succeeded()
				return settle(last, uncertain)
			}
			c.failed()
			if ctx.Err() != nil {
				return settle(last, uncertain)
			}
		}
		if !clock.Sleep(ctx, tryPause) {
			return settle(last, uncertain)
		}
	}
}

func errNoLeader() *verdict.Refusal {
	return verdict.Refuse(verdict.ReasonNoLeader, "the cell's leader is not reached").RetryIn(lostRetry)
}

// Reachable reports whether calls have a chance: not if the leader has been out
// of reach for longer than an election takes.
func (c *Client) Reachable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lostSince == 0 || c.clock.Now().Sub(c.lostSince) < electionWait
}

func (c *Client) succeeded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lostSince = 0
}

func (c *Client) failed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lostSince == 0 {
		c.lostSince = c.clock.Now()
	}
}

func (c *Client) try(ctx context.Context, addr, topic string, req, resp any) error {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	err := c.wire.Call(ctx, addr, topic, req, resp)
	if err == nil {
		return nil
	}
	switch verdict.From(err).Reason {
	case verdict.ReasonUnreachable, verdict.ReasonDeadline:
		c.shun(addr)
	}
	return err
}

// repeatable reports whether another try may get another answer.
func repeatable(r *verdict.Refusal) bool {
	switch r.Reason {
	case verdict.ReasonNotLeader, verdict.ReasonNoLeader, verdict.ReasonUnreachable,
		verdict.ReasonDeadline, verdict.ReasonStopping, verdict.ReasonInternal, verdict.ReasonNoLease:
		return true
	}
	return false
}

// settle makes a refusal uncertain if an earlier try may have run.
func settle(r *verdict.Refusal, uncertain bool) error {
	if !uncertain || r.Verdict != verdict.NotRun {
		return r
	}
	u := *r
	u.Verdict = verdict.MayHaveRun
	u.Retry, u.RetryAfterMillis = false, 0
	return &u
}

// Submit hands a job in.
func (c *Client) Submit(ctx context.Context, req *SubmitRequest) (*SubmitReply, error) {
	return ask[SubmitReply](ctx, c, topicSubmit, req)
}

// Job asks for a job's state.
func (c *Client) Job(ctx context.Context, req *JobRequest) (*JobReply, error) {
	return ask[JobReply](ctx, c, topicJob, req)
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, req *JobRequest) (*CancelReply, error) {
	return ask[CancelReply](ctx, c, topicCancel, req)
}

// Queue asks how many jobs of a queue have not begun.
func (c *Client) Queue(ctx context.Context, req *QueueRequest) (*QueueReply, error) {
	return ask[QueueReply](ctx, c, topicQueue, req)
}

// Configure declares a configuration.
func (c *Client) Configure(ctx context.Context, req *ConfigureRequest) (*ConfigureReply, error) {
	return ask[ConfigureReply](ctx, c, topicConfigure, req)
}

// Config asks for the newest configuration.
func (c *Client) Config(ctx context.Context) (*ConfigReply, error) {
	return ask[ConfigReply](ctx, c, topicConfig, &ConfigRequest{})
}

// SetOut takes a data centre out or back in.
func (c *Client) SetOut(ctx context.Context, req *SetOutRequest) (*SetOutReply, error) {
	return ask[SetOutReply](ctx, c, topicSetOut, req)
}

// Report passes a worker's report on.
func (c *Client) Report(ctx context.Context, req *ReportRequest) (*ReportReply, error) {
	return ask[ReportReply](ctx, c, topicReport, req)
}

// Leave says that a worker is about to end.
func (c *Client) Leave(ctx context.Context, id cell.WorkerID) (*LeaveReply, error) {
	return ask[LeaveReply](ctx, c, topicLeave, &LeaveRequest{id})
}

func ask[Resp any](ctx context.Context, c *Client, topic string, req any) (*Resp, error) {
	resp := new(Resp)
	if err := c.call(ctx, topic, req, resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// Greet says hello until ctx ends, so that the client knows the leader and the
// leader knows this process. next returns the request of each call.
func (c *Client) Greet(ctx context.Context, next func() *HelloRequest) {
	for {
		pause := helloInterval
		if err := c.greetOnce(ctx, next()); err != nil {
			pause = helloRetry
		}
		if !clock.Sleep(ctx, pause) {
			return
		}
	}
}

func (c *Client) greetOnce(ctx context.Context, req *HelloRequest) error {
	var err error
	for _, addr := range c.order() {
		var r HelloReply
		if err = c.try(ctx, addr, topicHello, req, &r); err == nil {
			c.learn(&r)
			return nil
		}
		c.failed()
	}
	c.setLinked(false, err)
	return err
}

func (c *Client) learn(r *HelloReply) {
	c.mu.Lock()
	c.leader = r.Leader
	for _, a := range r.Controls {
		if !slices.Contains(c.controls, a) {
			c.controls = append(c.controls, a)
		}
	}
	c.configured = c.configured || r.Configured
	c.lostSince = 0
	c.mu.Unlock()
	c.setLinked(true, nil)
}

// setLinked logs each loss and return of the leader.
func (c *Client) setLinked(linked bool, err error) {
	c.mu.Lock()
	changed := c.linked != linked
	c.linked = linked
	leader := c.leader
	c.mu.Unlock()
	switch {
	case changed && linked:
		c.log.Info("leader is reached", zap.String("leader", leader))
	case changed:
		c.log.Warn("leader is not reached", zap.Error(err))
	}
}

// HandleAdvise serves the leader's questions to the placement policy.
func HandleAdvise(w *wire.Node, advise func(ctx context.Context, req *AdviseRequest) (*AdviseReply, error)) {
	wire.HandleTyped(w, topicAdvise, advise)
}
