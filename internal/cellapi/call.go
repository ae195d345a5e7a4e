package cellapi

import (
	"context"
	"time"

	"kumquatwing/internal/clock"
	"kumquatwing/internal/codec"
	"kumquatwing/internal/verdict"
)

const (
	// attemptTimeout bounds one attempt at one control process.
	attemptTimeout = 600 * time.Millisecond
	// silenceTolerance is how long an attempt may go without an answer before the
	// client asks the other control processes for a newer leader.
	silenceTolerance = 250 * time.Millisecond
	// retryInterval is the pause after a failed attempt at the same process, and the
	// interval at which a waiting call looks whether the cell is still reachable.
	retryInterval = 40 * time.Millisecond
	// leaderWait is how long after the first failed attempt calls still wait
	// for a leader, about the time that an election takes. After that, calls
	// are refused at once.
	leaderWait = 1200 * time.Millisecond
	// readyTolerance is how long attempts may fail before this process tells the load
	// balancer that it is not ready. It is below leaderWait, since the balancer takes
	// seconds to react.
	readyTolerance = 400 * time.Millisecond
)

// encode encodes the request of a call.
func encode(topic string, req any) ([]byte, error) {
	body, err := codec.Marshal(req)
	if err != nil {
		return nil, verdict.Refuse(verdict.ReasonBadRequest, "%s: request can't be encoded: %v", topic, err)
	}
	return body, nil
}

// outcome is the result of one attempt. refusal is nil if there is a reply.
type outcome struct {
	addr    string
	reply   []byte
	refusal *verdict.Refusal
}

// callState is the state of one call to the leader.
type callState struct {
	client *Client
	topic  string
	// body is the request, and repeated the one for attempts that follow on one that may
	// have run.
	body, repeated []byte
	outcomes       chan outcome
	// inProgress holds the addresses of the attempts that have no outcome yet.
	inProgress map[string]bool
	// refusedBy is the address of the last attempt that failed. It is tried again at
	// retryAt.
	refusedBy string
	retryAt   clock.Instant
	// last is the newest refusal, and mayHaveRun says that an attempt may have run.
	last       *verdict.Refusal
	mayHaveRun bool
}

func (c *Client) newCall(topic string) *callState {
	return &callState{client: c, topic: topic, outcomes: make(chan outcome), inProgress: map[string]bool{}, last: errNoLeader()}
}

// run sends an idempotent request to the leader and returns the reply. It is
// repeated until it gets a final answer or ctx ends, and also sent to a leader that
// is elected meanwhile. While the cell is not reachable, a call that certainly has
// not run is refused at once; any other goes on, to find out. The verdict of a
// refusal is NotRun only if no attempt may have run.
func (k *callState) run(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := k.client
	ticker := time.NewTicker(retryInterval)
	defer ticker.Stop()
	for {
		target, changed := c.target()
		if target == "" {
			c.findLeader()
		}
		if !k.mayHaveRun && len(k.inProgress) == 0 && !c.Reachable() {
			return nil, k.refuseUnreachable(ctx)
		}
		if k.mayStart(target) {
			k.start(ctx, target)
		}
		select {
		case o := <-k.outcomes:
			if reply, err, done := k.finish(&o); done {
				return reply, err
			}
		case <-changed:
		case <-ticker.C:
		case <-ctx.Done():
			return nil, k.finalRefusal()
		}
	}
}

// mayStart reports whether an attempt at target is to be started now.
func (k *callState) mayStart(target string) bool {
	if target == "" || k.inProgress[target] {
		return false
	}
	return target != k.refusedBy || k.client.clock.Now() >= k.retryAt
}

// target returns the address to which calls are sent, "" if there is none, and a
// channel that is closed when it may have changed.
func (c *Client) target() (string, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.controls.target(), c.controls.changed
}

// start sends one attempt to a control process in the background.
func (k *callState) start(ctx context.Context, addr string) {
	body := k.body
	if k.mayHaveRun || len(k.inProgress) > 0 {
		body = k.repeated
	}
	k.inProgress[addr] = true
	go func() {
		o := outcome{addr: addr}
		o.reply, o.refusal = k.client.attempt(ctx, addr, k.topic, body)
		select {
		case k.outcomes <- o:
		case <-ctx.Done():
		}
	}()
}

// attempt sends a request to one control process. If there is no answer within
// silenceTolerance, it looks for a newer leader.
func (c *Client) attempt(ctx context.Context, addr, topic string, body []byte) ([]byte, *verdict.Refusal) {
	attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	silence := time.AfterFunc(silenceTolerance, func() { c.recordSilence(addr) })
	defer silence.Stop()
	reply, err := c.transport.CallRaw(attemptCtx, addr, topic, body)
	refusal := verdict.FromError(err)
	if refusal != nil && ctx.Err() == nil {
		c.recordAttemptFailure(addr, refusal)
	}
	return reply, refusal
}

// recordSilence records that a control process has not answered a call for
// silenceTolerance, and finds out whether it answers at all.
func (c *Client) recordSilence(addr string) {
	c.recordFailure()
	c.mu.Lock()
	c.controls.suspect(addr)
	c.mu.Unlock()
	c.findLeader()
}

// recordAttemptFailure records what a failed attempt tells about a control process.
func (c *Client) recordAttemptFailure(addr string, r *verdict.Refusal) {
	if !retryable(r) {
		return
	}
	c.recordFailure()
	c.mu.Lock()
	switch r.Reason {
	case verdict.ReasonUnreachable, verdict.ReasonDeadline:
		c.controls.silent(addr)
	case verdict.ReasonNotLeader:
		c.controls.notLeading(addr)
	}
	c.mu.Unlock()
	c.findLeader()
}

// finish handles the outcome of an attempt, and reports whether it ends the call.
func (k *callState) finish(o *outcome) (reply []byte, err error, done bool) {
	delete(k.inProgress, o.addr)
	if o.refusal == nil {
		k.client.recordSuccess()
		return o.reply, nil, true
	}
	k.last = k.withVerdict(o.refusal)
	k.mayHaveRun = k.mayHaveRun || k.last.Verdict != verdict.NotRun
	if !retryable(o.refusal) {
		k.client.recordSuccess()
		return nil, k.finalRefusal(), true
	}
	k.refusedBy, k.retryAt = o.addr, k.client.clock.Now().Add(retryInterval)
	return nil, nil, false
}

// withVerdict returns the refusal of an attempt with the verdict for this call: a read
// has no effect, whatever became of it.
func (k *callState) withVerdict(r *verdict.Refusal) *verdict.Refusal {
	if !readOnly(k.topic) || r.Verdict == verdict.NotRun {
		return r
	}
	out := *r.WithRetryAfter(minRetryAfter)
	out.Verdict = verdict.NotRun
	return &out
}

// readOnly reports whether calls of the topic change nothing.
func readOnly(topic string) bool {
	return topic == topicJob || topic == topicQueue || topic == topicConfig || topic == topicHello
}

// refuseUnreachable returns the refusal of a call that was not sent because the cell
// is not reachable.
func (k *callState) refuseUnreachable(ctx context.Context) error {
	if k.last.Verdict == verdict.NotRun {
		k.last = k.last.WithRetryAfter(callerRetryAfter(ctx, k.client.failingFor()))
	}
	return k.finalRefusal()
}

// finalRefusal returns the newest refusal. Its verdict is MayHaveRun if an attempt may
// have run or is still in progress.
func (k *callState) finalRefusal() error {
	return withMayHaveRun(k.last, k.mayHaveRun || (len(k.inProgress) > 0 && !readOnly(k.topic)))
}

// withMayHaveRun returns the refusal for the caller. If an attempt may have run, a
// NotRun verdict becomes MayHaveRun, without a retry.
func withMayHaveRun(r *verdict.Refusal, mayHaveRun bool) error {
	if !mayHaveRun || r.Verdict != verdict.NotRun {
		return r
	}
	u := *r
	u.Verdict = verdict.MayHaveRun
	u.Retry, u.RetryAfterMillis = false, 0
	return &u
}

func errNoLeader() *verdict.Refusal {
	return verdict.Refuse(verdict.ReasonNoLeader, "the cell's leader is not reached").WithRetryAfter(minRetryAfter)
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
