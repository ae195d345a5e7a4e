package command

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"kumquatwing/internal/api"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/verdict"
)

const (
	// minAttempt is the least time that one try at one server gets.
	minAttempt = time.Second
	// retryPause is waited after all servers were tried.
	retryPause = 200 * time.Millisecond
	// maxAnswerBytes bounds an answer.
	maxAnswerBytes = 64 << 20
)

// client sends calls to the first server that answers. A call may be sent again,
// since those that change something carry an id, unless it says otherwise.
type client struct {
	servers  []string
	key      string
	operator string
	// timeout bounds a call over all tries.
	timeout time.Duration
	http    *http.Client
}

// call is one HTTP call.
type call struct {
	method string
	path   string
	body   any
	// once marks a call that must not be sent twice.
	once bool
}

// do sends c and returns the answer's body. An error is a *verdict.Refusal.
func (c *client) do(ctx context.Context, one call) ([]byte, error) {
	body, err := encodeBody(one.body)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var failures failures
	for {
		for _, server := range c.servers {
			answer, refusal := c.try(ctx, server, one, body)
			if refusal == nil {
				return answer, nil
			}
			if one.once || !elsewhere(refusal) {
				return nil, refusal
			}
			failures.add(refusal)
		}
		if !clock.Sleep(ctx, retryPause) {
			return nil, failures.verdict()
		}
	}
}

// attempt is how long one try may take, so that a silent server leaves time for
// the others.
func (c *client) attempt() time.Duration {
	return max(minAttempt, c.timeout/time.Duration(len(c.servers)+1))
}

func encodeBody(v any) ([]byte, error) {
	if v == nil {
		return nil, nil
	}
	b, err := json.Marshal(v)
	if err != nil {
		return nil, verdict.Refuse(verdict.ReasonBadRequest, "call can't be encoded: %v", err)
	}
	return b, nil
}

// failures keeps what the tries of one call said.
type failures struct {
	last  *verdict.Refusal
	mayBe *verdict.Refusal
}

func (f *failures) add(r *verdict.Refusal) {
	f.last = r
	if r.Verdict != verdict.NotRun {
		f.mayBe = r
	}
}

// verdict is that of the last try, unless an earlier one may have run.
func (f *failures) verdict() *verdict.Refusal {
	if f.mayBe != nil {
		return f.mayBe
	}
	return f.last
}

// elsewhere reports whether another server may answer. A try that may have run
// is sent again, since the call's id keeps it from running twice.
func elsewhere(r *verdict.Refusal) bool {
	if r.Verdict == verdict.MayHaveRun {
		return true
	}
	switch r.Reason {
	case verdict.ReasonUnreachable, verdict.ReasonNoLeader, verdict.ReasonNotLeader,
		verdict.ReasonNoQuorum, verdict.ReasonStopping, verdict.ReasonNoLease,
		verdict.ReasonDeadline:
		return r.Verdict == verdict.NotRun
	}
	return false
}

// try sends the call to one server.
func (c *client) try(ctx context.Context, server string, one call, body []byte) ([]byte, *verdict.Refusal) {
	ctx, cancel := context.WithTimeout(ctx, c.attempt())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, one.method, baseURL(server)+one.path, bytes.NewReader(body))
	if err != nil {
		return nil, verdict.Refuse(verdict.ReasonBadRequest, "%v", err)
	}
	req.Header.Set("Content-Type", "application/json")
	if c.key != "" {
		req.Header.Set(api.HeaderKey, c.key)
	}
	if c.operator != "" {
		req.Header.Set(api.HeaderOperator, c.operator)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, lost(server, err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, verdict.Uncertain(verdict.ReasonCutAnswer, "%s: %v", server, err)
	}
	if resp.StatusCode/100 == 2 {
		return answer, nil
	}
	return nil, refusalOf(server, resp, answer)
}

func baseURL(server string) string {
	if strings.Contains(server, "://") {
		return strings.TrimSuffix(server, "/")
	}
	return "http://" + server
}

// lost tells a call that never reached the server from one that may have.
func lost(server string, err error) *verdict.Refusal {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return verdict.Refuse(verdict.ReasonUnreachable, "%s: %v", server, err)
	}
	return verdict.Uncertain(verdict.ReasonUnreachable, "%s: %v", server, err)
}

// refusalOf reads the refusal from an answer. An answer without one proves nothing.
func refusalOf(server string, resp *http.Response, body []byte) *verdict.Refusal {
	var r verdict.Refusal
	if err := json.Unmarshal(body, &r); err != nil || r.Verdict == "" {
		return verdict.Uncertain(verdict.ReasonInternal, "%s: %s: %s", server, resp.Status, bytes.TrimSpace(body))
	}
	return &r
}
