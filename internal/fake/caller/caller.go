// Package caller implements a test client for entry VMs. It sends requests,
// retries them according to the verdict in each refusal, and checks that every
// request receives its own complete response.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"kumquatwing/internal/api"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/model"
	"kumquatwing/internal/verdict"
)

const (
	// minRetryPause is the minimum delay before a request is retried.
	minRetryPause = 50 * time.Millisecond
	// maxResponseBytes is the maximum number of bytes read of a response body.
	maxResponseBytes = 1 << 20
)

// Config configures a Caller.
type Config struct {
	// Entries lists the HTTP addresses of the entry VMs, used round-robin.
	Entries []string
	Queue   model.QueueName
	Key     string
	// Requests is the number of requests to send, Parallel the maximum number
	// in flight.
	Requests, Parallel int
	// PerSecond limits the request rate; 0 means unlimited.
	PerSecond float64
	// OncePercent is the percentage of requests sent as not idempotent.
	OncePercent int
	// BodyBytes is the approximate length of each request's body.
	BodyBytes int
	// Patience is the timeout of one request including all retries.
	Patience time.Duration
	Seed     uint64
	// Stop, if set, stops the caller from sending new requests once closed.
	Stop <-chan struct{}
	// Log, if set, receives each attempt as a line of JSON.
	Log io.Writer
}

// Summary counts the outcomes of a run.
type Summary struct {
	Requests int `json:"requests"`
	Answered int `json:"answered"`
	// Wrong counts responses with status 200 that belong to another request or
	// are truncated, so that their body differs from the request's.
	Wrong int `json:"wrong"`
	// Uncertain and Refused count the requests that timed out after a last
	// verdict of may-have-run and not-run.
	Uncertain int `json:"uncertain"`
	Refused   int `json:"refused"`
	// Tries counts the attempts, including those that failed to get a request id.
	Tries int `json:"tries"`
}

// Lost returns the number of requests that did not receive their own response.
func (s *Summary) Lost() int { return s.Requests - s.Answered }

// Attempt is one attempt to send a request, as written to Config.Log.
type Attempt struct {
	Request  int             `json:"request"`
	ID       model.RequestID `json:"id,omitempty"`
	Once     bool            `json:"once"`
	Entry    string          `json:"entry"`
	StartMS  int64           `json:"start_ms"`
	EndMS    int64           `json:"end_ms"`
	Status   int             `json:"status"`
	Verdict  verdict.Verdict `json:"verdict"`
	Reason   verdict.Reason  `json:"reason,omitempty"`
	Answered bool            `json:"answered"`
	Wrong    bool            `json:"wrong,omitempty"`
}

// Caller sends requests to entry VMs. Create one with New.
type Caller struct {
	cfg     Config
	client  *http.Client
	limiter *rate.Limiter

	// mu guards the fields below and writes to cfg.Log.
	mu             sync.Mutex
	rand           *rand.Rand
	nextEntryIndex int
	summary        Summary
}

// New returns a Caller for cfg.
func New(cfg Config) *Caller {
	limit := rate.Inf
	if cfg.PerSecond > 0 {
		limit = rate.Limit(cfg.PerSecond)
	}
	return &Caller{
		cfg:     cfg,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: cfg.Parallel}},
		limiter: rate.NewLimiter(limit, max(1, cfg.Parallel)),
		rand:    rand.New(rand.NewPCG(cfg.Seed, 0)),
	}
}

// Run sends all requests, waits until they have finished and returns the
// summary.
func (c *Caller) Run(ctx context.Context) Summary {
	indexes := make(chan int)
	var wg sync.WaitGroup
	for range max(1, c.cfg.Parallel) {
		wg.Go(func() {
			for i := range indexes {
				c.sendRequest(ctx, i)
			}
		})
	}
	for i := range c.cfg.Requests {
		if c.limiter.Wait(ctx) != nil || c.stopRequested() {
			break
		}
		indexes <- i
	}
	close(indexes)
	wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.summary
}

func (c *Caller) stopRequested() bool {
	select {
	case <-c.cfg.Stop:
		return true
	default:
		return false
	}
}

// sendRequest retries request i until a response with status 200 arrives or
// Config.Patience has elapsed.
func (c *Caller) sendRequest(ctx context.Context, i int) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Patience)
	defer cancel()
	t := Attempt{Request: i, Once: c.randIntN(100) < c.cfg.OncePercent}
	delay := time.Duration(0)
	lastVerdict := verdict.NotRun
	for clock.Sleep(ctx, delay) {
		delay = minRetryPause
		t.Entry = c.nextEntry()
		if t.Once && t.ID == "" {
			id, err := c.newRequestID(ctx, t.Entry)
			if err != nil {
				continue
			}
			t.ID = id
		}
		r := c.attempt(ctx, &t)
		if t.Answered || t.Wrong {
			break
		}
		lastVerdict = t.Verdict
		delay = max(minRetryPause, time.Duration(r.RetryAfterMillis)*time.Millisecond)
		if t.Verdict == verdict.NotRun {
			// The id of a refused request can't be reused.
			t.ID = ""
		}
	}
	c.addToSummary(&t, lastVerdict)
}

func (c *Caller) addToSummary(t *Attempt, lastVerdict verdict.Verdict) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.summary.Requests++
	switch {
	case t.Answered:
		c.summary.Answered++
	case t.Wrong:
		c.summary.Wrong++
	case lastVerdict == verdict.NotRun:
		c.summary.Refused++
	default:
		c.summary.Uncertain++
	}
}

// body returns the body of request i, which is unique to it.
func (c *Caller) body(i int) []byte {
	text := fmt.Sprintf("request %d of caller %d;", i, c.cfg.Seed)
	return bytes.Repeat([]byte(text), 1+c.cfg.BodyBytes/len(text))
}

// attempt sends the request once, records the outcome in t and logs it.
func (c *Caller) attempt(ctx context.Context, t *Attempt) verdict.Refusal {
	t.StartMS = time.Now().UnixMilli()
	r := c.roundTrip(ctx, t)
	t.EndMS = time.Now().UnixMilli()
	t.Verdict, t.Reason = r.Verdict, r.Reason
	c.logAttempt(t)
	return r
}

func (c *Caller) roundTrip(ctx context.Context, t *Attempt) verdict.Refusal {
	t.Status = 0
	body := c.body(t.Request)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.Entry+"/q/"+string(c.cfg.Queue), bytes.NewReader(body))
	if err != nil {
		return *verdict.Refuse(verdict.ReasonBadRequest, "%v", err)
	}
	c.setHeaders(ctx, req, t)
	resp, err := c.client.Do(req)
	if err != nil {
		return *verdict.RefuseMayHaveRun(verdict.ReasonUnreachable, "%v", err)
	}
	defer resp.Body.Close()
	t.Status = resp.StatusCode
	responseBody, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return *verdict.RefuseMayHaveRun(verdict.ReasonTruncatedResponse, "%v", err)
	}
	if resp.StatusCode == http.StatusOK {
		t.Answered = bytes.Equal(responseBody, body)
		t.Wrong = !t.Answered
		return *verdict.New(verdict.Done, "", "")
	}
	var r verdict.Refusal
	if json.Unmarshal(responseBody, &r) != nil || r.Verdict == "" {
		return *verdict.RefuseMayHaveRun(verdict.ReasonInternal, "status %d without a verdict", resp.StatusCode)
	}
	return r
}

func (c *Caller) setHeaders(ctx context.Context, req *http.Request, t *Attempt) {
	if c.cfg.Key != "" {
		req.Header.Set(api.HeaderKey, c.cfg.Key)
	}
	if t.ID != "" {
		req.Header.Set(api.HeaderRequestID, string(t.ID))
	}
	req.Header.Set(api.HeaderIdempotent, strconv.FormatBool(!t.Once))
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(api.HeaderDeadline, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	}
}

// newRequestID asks an entry VM for a request id, under which a request that is
// not idempotent can be retried.
func (c *Caller) newRequestID(ctx context.Context, entry string) (model.RequestID, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+api.PathRequestIDs, nil)
	if err != nil {
		return "", err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return "", fmt.Errorf("creating a request id: HTTP status %d", resp.StatusCode)
	}
	var reply struct {
		ID model.RequestID `json:"id"`
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&reply)
	return reply.ID, err
}

func (c *Caller) randIntN(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rand.IntN(n)
}

// nextEntry returns the address of the next entry VM, round-robin, and counts an
// attempt in Summary.Tries.
func (c *Caller) nextEntry() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextEntryIndex++
	c.summary.Tries++
	return c.cfg.Entries[c.nextEntryIndex%len(c.cfg.Entries)]
}

func (c *Caller) logAttempt(t *Attempt) {
	if c.cfg.Log == nil {
		return
	}
	line, err := json.Marshal(t)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cfg.Log.Write(append(line, '\n'))
}
