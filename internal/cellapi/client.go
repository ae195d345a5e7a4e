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
	// attemptTimeout bounds one attempt at one control process.
	attemptTimeout = 600 * time.Millisecond
	// retryInterval is the pause after all control processes were tried without
	// success.
	retryInterval = 40 * time.Millisecond
	// avoidDuration is how long a process that did not answer is tried after the
	// others.
	avoidDuration = 1500 * time.Millisecond
	// leaderWait is how long after the first failed attempt calls still wait
	// for a leader, about the time that an election takes. After that, calls
	// are refused at once.
	leaderWait = 1200 * time.Millisecond
	// helloInterval is the pause after a successful hello.
	helloInterval = 700 * time.Millisecond
	// helloRetry is the pause after a failed hello.
	helloRetry = 150 * time.Millisecond
)

// Client sends calls to the leader of a cell, which it finds by itself. All
// methods are safe for concurrent use; their errors are of type
// *verdict.Refusal.
type Client struct {
	wire  *wire.Node
	clock clock.Clock
	log   *zap.Logger

	// mu protects the fields below.
	mu sync.Mutex
	// controls are the wire addresses of the known control processes, including
	// the seeds.
	controls []string
	// leader is the wire address of the leader, "" if unknown.
	leader string
	// avoidUntil holds, by address, until when a process is tried after the
	// others.
	avoidUntil map[string]clock.Instant
	// configured says that the cell has reported that it has a configuration.
	configured bool
	// connected says that the last hello succeeded.
	connected bool
	// failingSince is when the first attempt failed since the last success, 0 if
	// none has failed since.
	failingSince clock.Instant
}

// NewClient returns a client that at first knows the control processes at the
// seed addresses.
func NewClient(w *wire.Node, seeds []string, c clock.Clock, log *zap.Logger) *Client {
	return &Client{
		wire: w, clock: c, log: log.Named("cell"),
		controls: slices.Clone(seeds), avoidUntil: map[string]clock.Instant{},
	}
}

// AddSeeds adds the addresses of further control processes.
func (c *Client) AddSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range seeds {
		if !slices.Contains(c.controls, s) {
			c.controls = append(c.controls, s)
		}
	}
}

// Configured reports whether the cell is known to have a configuration.
func (c *Client) Configured() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.configured
}

// attemptOrder returns the control processes in the order in which to try them.
func (c *Client) attemptOrder() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	out := slices.Clone(c.controls)
	slices.SortStableFunc(out, func(a, b string) int { return c.attemptCost(a, now) - c.attemptCost(b, now) })
	return out
}

// attemptCost ranks a process for attemptOrder, lowest first: the leader before
// others, and processes to avoid last. The caller holds mu.
func (c *Client) attemptCost(addr string, now clock.Instant) int {
	cost := 1
	if addr == c.leader {
		cost = 0
	}
	if now < c.avoidUntil[addr] {
		cost += 2
	}
	return cost
}

// avoid has a process that did not answer tried after the others for a time.
func (c *Client) avoid(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidUntil[addr] = c.clock.Now().Add(avoidDuration)
	if c.leader == addr {
		c.leader = ""
	}
}

// call sends an idempotent request to the leader, and repeats it until it gets a
// final answer, ctx ends or the leader has been unreachable for too long. The
// verdict of a refusal is NotRun only if no attempt may have run.
func (c *Client) call(ctx context.Context, topic string, req, resp any) error {
	mayHaveRun := false
	last := errNoLeader()
	for {
		if !c.Reachable() {
			if last.Verdict == verdict.NotRun {
				last = last.WithRetryAfter(retryAfter(c.outage()))
			}
			return finalRefusal(last, mayHaveRun)
		}
		for _, addr := range c.attemptOrder() {
			err := c.attempt(ctx, addr, topic, req, resp)
			if err == nil {
				c.recordSuccess()
				return nil
			}
			last = verdict.FromError(err)
			mayHaveRun = mayHaveRun || last.Verdict != verdict.NotRun
			if !retryable(last) {
				c.recordSuccess()
				return finalRefusal(last, mayHaveRun)
			}
			c.recordFailure()
			if ctx.Err() != nil {
				return finalRefusal(last, mayHaveRun)
			}
		}
		if !clock.Sleep(ctx, retryInterval) {
			return finalRefusal(last, mayHaveRun)
		}
	}
}

func errNoLeader() *verdict.Refusal {
	return verdict.Refuse(verdict.ReasonNoLeader, "the cell's leader is not reached").WithRetryAfter(minRetryAfter)
}

// Reachable reports whether calls can be expected to succeed. They cannot once
// attempts have been failing for longer than an election takes.
func (c *Client) Reachable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failingSince == 0 || c.clock.Now().Sub(c.failingSince) < leaderWait
}

// outage returns for how long attempts have been failing.
func (c *Client) outage() time.Duration {
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

// attempt sends a request to one control process, and avoids the process for a
// time if it does not answer.
func (c *Client) attempt(ctx context.Context, addr, topic string, req, resp any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	err := c.wire.Call(ctx, addr, topic, req, resp)
	if err == nil {
		return nil
	}
	switch verdict.FromError(err).Reason {
	case verdict.ReasonUnreachable, verdict.ReasonDeadline:
		c.avoid(addr)
	}
	return err
}

// retryable reports whether another attempt may get a different answer.
func retryable(r *verdict.Refusal) bool {
	switch r.Reason {
	case verdict.ReasonNotLeader, verdict.ReasonNoLeader, verdict.ReasonUnreachable,
		verdict.ReasonDeadline, verdict.ReasonStopping, verdict.ReasonInternal, verdict.ReasonNoLease:
		return true
	}
	return false
}

// finalRefusal returns the refusal for the caller. If an attempt may have run, a
// NotRun verdict becomes MayHaveRun, without a retry.
func finalRefusal(r *verdict.Refusal, mayHaveRun bool) error {
	if !mayHaveRun || r.Verdict != verdict.NotRun {
		return r
	}
	u := *r
	u.Verdict = verdict.MayHaveRun
	u.Retry, u.RetryAfterMillis = false, 0
	return &u
}

// Submit submits a job.
func (c *Client) Submit(ctx context.Context, req *SubmitRequest) (*SubmitReply, error) {
	return invoke[SubmitReply](ctx, c, topicSubmit, req)
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

// SetOut takes a data centre out of service or puts it back in service.
func (c *Client) SetOut(ctx context.Context, req *SetOutRequest) (*SetOutReply, error) {
	return invoke[SetOutReply](ctx, c, topicSetOut, req)
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
	resp := new(Resp)
	if err := c.call(ctx, topic, req, resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// SendHellos sends a hello at regular intervals until ctx ends, which keeps the
// client's list of control processes up to date and announces this process to
// the leader. next returns the request of each hello.
func (c *Client) SendHellos(ctx context.Context, next func() *HelloRequest) {
	for {
		pause := helloInterval
		if err := c.sendHello(ctx, next()); err != nil {
			pause = helloRetry
		}
		if !clock.Sleep(ctx, pause) {
			return
		}
	}
}

// sendHello sends a hello to the control processes in turn until one answers.
func (c *Client) sendHello(ctx context.Context, req *HelloRequest) error {
	var err error
	for _, addr := range c.attemptOrder() {
		var r HelloReply
		if err = c.attempt(ctx, addr, topicHello, req, &r); err == nil {
			c.applyHello(&r)
			return nil
		}
		c.recordFailure()
	}
	c.setConnected(false, err)
	return err
}

// applyHello updates the client from the reply to a hello.
func (c *Client) applyHello(r *HelloReply) {
	c.mu.Lock()
	c.leader = r.Leader
	for _, a := range r.Controls {
		if !slices.Contains(c.controls, a) {
			c.controls = append(c.controls, a)
		}
	}
	c.configured = c.configured || r.Configured
	c.failingSince = 0
	c.mu.Unlock()
	c.setConnected(true, nil)
}

// setConnected records whether the last hello succeeded, and logs each change.
func (c *Client) setConnected(connected bool, err error) {
	c.mu.Lock()
	changed := c.connected != connected
	c.connected = connected
	leader := c.leader
	c.mu.Unlock()
	switch {
	case changed && connected:
		c.log.Info("connected to the cell leader", zap.String("leader", leader))
	case changed:
		c.log.Warn("lost connection to the cell leader", zap.Error(err))
	}
}

// HandleAdvise registers advise as the handler of the leader's advice requests
// to the placement policy.
func HandleAdvise(w *wire.Node, advise func(ctx context.Context, req *AdviseRequest) (*AdviseReply, error)) {
	wire.HandleTyped(w, topicAdvise, advise)
}
