// Package caller is a fake caller: it sends requests to entry VMs, repeats them
// as a careful caller would, and checks that each gets the whole answer to
// itself.
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
	// pause is the shortest wait before a request is sent again.
	pause = 50 * time.Millisecond
	// maxAnswerBytes bounds an answer that is read.
	maxAnswerBytes = 1 << 20
)

// Config is what a run of a caller does.
type Config struct {
	// Entries are HTTP addresses of entry VMs, used in turn.
	Entries []string
	Queue   model.QueueName
	Key     string
	// Requests is how many are sent, Parallel how many at the same time.
	Requests, Parallel int
	// PerSecond bounds the rate; 0 means none.
	PerSecond float64
	// OncePercent is the share of requests that are not idempotent.
	OncePercent int
	// BodyBytes is the length of each request's body.
	BodyBytes int
	// Patience bounds one request with all its repeats.
	Patience time.Duration
	Seed     uint64
	// Stop, if set, ends the sending of new requests when it is closed.
	Stop <-chan struct{}
	// Log, if set, gets a line of JSON for every try.
	Log io.Writer
}

// Summary is what came of a run.
type Summary struct {
	Requests int `json:"requests"`
	Answered int `json:"answered"`
	// Wrong answers belonged to another request or were cut.
	Wrong int `json:"wrong"`
	// Uncertain requests ended with may-have-run, Refused with not-run, when
	// patience was over.
	Uncertain int `json:"uncertain"`
	Refused   int `json:"refused"`
	Tries     int `json:"tries"`
}

// Lost is the number of requests without their answer.
func (s *Summary) Lost() int { return s.Requests - s.Answered }

// Try is one sending of a request, as written to the log.
type Try struct {
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

// Caller sends requests. Use New.
type Caller struct {
	cfg    Config
	client *http.Client
	limit  *rate.Limiter

	mu      sync.Mutex
	rand    *rand.Rand
	next    int
	summary Summary
}

// New returns a caller.
func New(cfg Config) *Caller {
	limit := rate.Inf
	if cfg.PerSecond > 0 {
		limit = rate.Limit(cfg.PerSecond)
	}
	return &Caller{
		cfg:    cfg,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: cfg.Parallel}},
		limit:  rate.NewLimiter(limit, max(1, cfg.Parallel)),
		rand:   rand.New(rand.NewPCG(cfg.Seed, 0)),
	}
}

// Run sends all requests and returns what came of them.
func (c *Caller) Run(ctx context.Context) Summary {
	work := make(chan int)
	var wg sync.WaitGroup
	for range max(1, c.cfg.Parallel) {
		wg.Go(func() {
			for i := range work {
				c.request(ctx, i)
			}
		})
	}
	for i := range c.cfg.Requests {
		if c.limit.Wait(ctx) != nil || c.stopped() {
			break
		}
		work <- i
	}
	close(work)
	wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.summary
}

func (c *Caller) stopped() bool {
	select {
	case <-c.cfg.Stop:
		return true
	default:
		return false
	}
}

// request sends one request until it is answered or patience is over.
func (c *Caller) request(ctx context.Context, i int) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Patience)
	defer cancel()
	t := Try{Request: i, Once: c.draw(100) < c.cfg.OncePercent}
	wait := time.Duration(0)
	last := verdict.NotRun
	for clock.Sleep(ctx, wait) {
		wait = pause
		t.Entry = c.entry()
		if t.Once && t.ID == "" {
			id, err := c.mint(ctx, t.Entry)
			if err != nil {
				continue
			}
			t.ID = id
		}
		r := c.send(ctx, &t)
		if t.Answered || t.Wrong {
			break
		}
		last = t.Verdict
		wait = max(pause, time.Duration(r.RetryAfterMillis)*time.Millisecond)
		if t.Verdict == verdict.NotRun {
			// The id of a request that was not run is used up.
			t.ID = ""
		}
	}
	c.count(&t, last)
}

func (c *Caller) count(t *Try, last verdict.Verdict) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.summary.Requests++
	switch {
	case t.Answered:
		c.summary.Answered++
	case t.Wrong:
		c.summary.Wrong++
	case last == verdict.NotRun:
		c.summary.Refused++
	default:
		c.summary.Uncertain++
	}
}

// body is the text that only request i sends.
func (c *Caller) body(i int) []byte {
	text := fmt.Sprintf("request %d of caller %d;", i, c.cfg.Seed)
	return bytes.Repeat([]byte(text), 1+c.cfg.BodyBytes/len(text))
}

// send makes one try and fills in its outcome.
func (c *Caller) send(ctx context.Context, t *Try) verdict.Refusal {
	t.StartMS = time.Now().UnixMilli()
	r := c.exchange(ctx, t)
	t.EndMS = time.Now().UnixMilli()
	t.Verdict, t.Reason = r.Verdict, r.Reason
	c.log(t)
	return r
}

func (c *Caller) exchange(ctx context.Context, t *Try) verdict.Refusal {
	t.Status = 0
	body := c.body(t.Request)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.Entry+"/q/"+string(c.cfg.Queue), bytes.NewReader(body))
	if err != nil {
		return *verdict.Refuse(verdict.ReasonBadRequest, "%v", err)
	}
	c.setHeaders(ctx, req, t)
	resp, err := c.client.Do(req)
	if err != nil {
		return *verdict.Uncertain(verdict.ReasonUnreachable, "%v", err)
	}
	defer resp.Body.Close()
	t.Status = resp.StatusCode
	got, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return *verdict.Uncertain(verdict.ReasonCutAnswer, "%v", err)
	}
	if resp.StatusCode == http.StatusOK {
		t.Answered = bytes.Equal(got, body)
		t.Wrong = !t.Answered
		return *verdict.New(verdict.Done, "", "")
	}
	var r verdict.Refusal
	if json.Unmarshal(got, &r) != nil || r.Verdict == "" {
		return *verdict.Uncertain(verdict.ReasonInternal, "status %d without a verdict", resp.StatusCode)
	}
	return r
}

func (c *Caller) setHeaders(ctx context.Context, req *http.Request, t *Try) {
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

// mint asks an entry VM for an id that may be repeated.
func (c *Caller) mint(ctx context.Context, entry string) (model.RequestID, error) {
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
		return "", fmt.Errorf("status %d", resp.StatusCode)
	}
	var minted struct {
		ID model.RequestID `json:"id"`
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&minted)
	return minted.ID, err
}

func (c *Caller) draw(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rand.IntN(n)
}

// entry returns the entry VMs in turn.
func (c *Caller) entry() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	c.summary.Tries++
	return c.cfg.Entries[c.next%len(c.cfg.Entries)]
}

func (c *Caller) log(t *Try) {
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
