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
	// minAttemptTimeout is the shortest timeout of one attempt at one server.
	minAttemptTimeout = time.Second
	// retryDelay is the delay before the next round after an attempt at every server
	// has failed.
	retryDelay = 200 * time.Millisecond
	// maxResponseBytes limits the part of a response body that is read.
	maxResponseBytes = 64 << 20
)

// client sends API calls to a list of servers, in turn, until one responds. A call
// may be sent more than once unless noRetry is set: calls that change something
// carry an id by which the servers recognize duplicates.
type client struct {
	servers       []string
	key           string
	operatorToken string
	// timeout limits the total duration of a call, including retries.
	timeout time.Duration
	http    *http.Client
}

// apiCall is one call of the HTTP API.
type apiCall struct {
	method string
	path   string
	body   any
	// noRetry is set for a call that must be sent at most once.
	noRetry bool
}

// do sends call and returns the body of the response. Errors are of type
// *verdict.Refusal.
func (c *client) do(ctx context.Context, call apiCall) ([]byte, error) {
	body, err := encodeBody(call.body)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var failures failedAttempts
	for {
		for _, server := range c.servers {
			response, refusal := c.attempt(ctx, server, call, body)
			if refusal == nil {
				return response, nil
			}
			if call.noRetry || !retryable(refusal) {
				return nil, refusal
			}
			failures.add(refusal)
		}
		if !clock.Sleep(ctx, retryDelay) {
			return nil, failures.refusal()
		}
	}
}

// attemptTimeout returns the timeout of one attempt. It is a fraction of the
// call's timeout, so that a server that does not respond leaves time for the
// others.
func (c *client) attemptTimeout() time.Duration {
	return max(minAttemptTimeout, c.timeout/time.Duration(len(c.servers)+1))
}

func encodeBody(v any) ([]byte, error) {
	if v == nil {
		return nil, nil
	}
	b, err := json.Marshal(v)
	if err != nil {
		return nil, verdict.Refuse(verdict.ReasonBadRequest, "encoding the request body: %v", err)
	}
	return b, nil
}

// failedAttempts holds the last refusal of a call's attempts, and the last one
// that doesn't exclude that the call has run.
type failedAttempts struct {
	last       *verdict.Refusal
	mayHaveRun *verdict.Refusal
}

func (f *failedAttempts) add(r *verdict.Refusal) {
	f.last = r
	if r.Verdict != verdict.NotRun {
		f.mayHaveRun = r
	}
}

// refusal returns the refusal for the whole call: the last one, unless the call
// may have run in an earlier attempt.
func (f *failedAttempts) refusal() *verdict.Refusal {
	if f.mayHaveRun != nil {
		return f.mayHaveRun
	}
	return f.last
}

// retryable reports whether another attempt may succeed, at the same server or at
// another one. A call that may have run is retried too, since its id prevents a
// second execution.
func retryable(r *verdict.Refusal) bool {
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

// attempt sends call to server once and returns the body of the response.
func (c *client) attempt(ctx context.Context, server string, call apiCall, body []byte) ([]byte, *verdict.Refusal) {
	ctx, cancel := context.WithTimeout(ctx, c.attemptTimeout())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, call.method, baseURL(server)+call.path, bytes.NewReader(body))
	if err != nil {
		return nil, verdict.Refuse(verdict.ReasonBadRequest, "%v", err)
	}
	req.Header.Set("Content-Type", "application/json")
	if c.key != "" {
		req.Header.Set(api.HeaderKey, c.key)
	}
	if c.operatorToken != "" {
		req.Header.Set(api.HeaderOperator, c.operatorToken)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, transportRefusal(server, err)
	}
	defer resp.Body.Close()
	response, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, verdict.RefuseMayHaveRun(verdict.ReasonTruncatedResponse, "%s: %v", server, err)
	}
	if resp.StatusCode/100 == 2 {
		return response, nil
	}
	return nil, decodeRefusal(server, resp, response)
}

func baseURL(server string) string {
	if strings.Contains(server, "://") {
		return strings.TrimSuffix(server, "/")
	}
	return "http://" + server
}

// transportRefusal converts an error of the HTTP transport. Only a failed dial
// proves that the call did not reach the server.
func transportRefusal(server string, err error) *verdict.Refusal {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return verdict.Refuse(verdict.ReasonUnreachable, "%s: %v", server, err)
	}
	return verdict.RefuseMayHaveRun(verdict.ReasonUnreachable, "%s: %v", server, err)
}

// decodeRefusal decodes the refusal from an error response. A response without a
// refusal does not show whether the call has run.
func decodeRefusal(server string, resp *http.Response, body []byte) *verdict.Refusal {
	var r verdict.Refusal
	if err := json.Unmarshal(body, &r); err != nil || r.Verdict == "" {
		return verdict.RefuseMayHaveRun(verdict.ReasonInternal, "%s: %s: %s", server, resp.Status, bytes.TrimSpace(body))
	}
	return &r
}
