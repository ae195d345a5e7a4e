package command

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"kumquatwing/internal/api"
	"kumquatwing/internal/fleet"
	"kumquatwing/internal/model"
	"kumquatwing/internal/settings"
	"kumquatwing/internal/verdict"
)

// configInput is the input of a call: a change of a workspace's share that expects a
// revision, or a read.
type configInput struct {
	read   bool
	expect uint64
	share  int64
}

// configOutput is the result of a call. If unknown is set, the call may have run.
type configOutput struct {
	unknown  bool
	refused  bool
	revision uint64
	share    int64
}

// configState is the state of the model: the current revision and share.
type configState struct {
	revision uint64
	share    int64
}

// stepConfig returns the states that may follow s after a call with this input and
// output. It returns none if the output is impossible.
func stepConfig(s configState, in configInput, out configOutput) []any {
	if in.read {
		if out.unknown || out.revision == s.revision && out.share == s.share {
			return []any{s}
		}
		return nil
	}
	matches := in.expect == s.revision
	next := configState{s.revision + 1, in.share}
	switch {
	case out.unknown && matches:
		return []any{s, next}
	case out.unknown, out.refused && !matches:
		return []any{s}
	case !out.refused && matches && out.revision == next.revision:
		return []any{next}
	}
	return nil
}

var configModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{configState{1, 1}} },
	Step: func(s, in, out any) []any { return stepConfig(s.(configState), in.(configInput), out.(configOutput)) },
}).ToModel()

var errResponseDropped = errors.New("response dropped")

// lossyTransport drops some responses to calls that were executed. It also sends
// delayed duplicates of some calls, whose responses it discards.
type lossyTransport struct {
	mu         sync.Mutex
	rand       *rand.Rand // guarded by mu
	duplicates sync.WaitGroup
}

func (l *lossyTransport) chance(percent int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rand.IntN(100) < percent
}

func (l *lossyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	if l.chance(20) {
		duplicate := r.Clone(context.Background())
		duplicate.Body = io.NopCloser(bytes.NewReader(body))
		l.duplicates.Go(func() {
			time.Sleep(2 * time.Millisecond)
			if resp, err := http.DefaultTransport.RoundTrip(duplicate); err == nil {
				resp.Body.Close()
			}
		})
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err == nil && l.chance(30) {
		resp.Body.Close()
		return nil, errResponseDropped
	}
	return resp, err
}

// operators is the number of concurrent operators, and rounds the number of changes
// that each of them attempts.
const (
	operators = 4
	rounds    = 12
)

// recorder collects the history of all operators' calls.
type recorder struct {
	mu      sync.Mutex
	start   time.Time
	history []porcupine.Operation // guarded by mu
}

// record executes do and adds it to the history. A call with an unknown result may
// take effect at any later time, so its end is unbounded.
func (r *recorder) record(id int, in configInput, do func() configOutput) configOutput {
	call := time.Since(r.start).Nanoseconds()
	out := do()
	end := time.Since(r.start).Nanoseconds()
	if out.unknown {
		end = math.MaxInt64
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, porcupine.Operation{ClientId: id, Input: in, Call: call, Output: out, Return: end})
	return out
}

// runOperators lets operators concurrently change one workspace's share through
// handler and returns the history of their calls.
func runOperators(t *testing.T, handler http.Handler, seed uint64) []porcupine.Operation {
	server := httptest.NewServer(handler)
	defer server.Close()
	transport := &lossyTransport{rand: rand.New(rand.NewPCG(seed, 1))}
	defer transport.duplicates.Wait()
	r := &recorder{start: time.Now()}
	var wg sync.WaitGroup
	for id := range operators {
		c := &client{
			servers: []string{server.URL, server.URL}, operatorToken: "tok",
			timeout: 5 * time.Second, http: &http.Client{Transport: transport},
		}
		wg.Go(func() { readAndApply(c, r, id) })
	}
	wg.Wait()
	return r.history
}

// readAndApply reads the revision and applies a change that expects it, repeatedly,
// as `kqctl apply` does.
func readAndApply(c *client, r *recorder, id int) {
	for n := range rounds {
		seen := r.record(id, configInput{read: true}, func() configOutput { return readShare(c) })
		in := configInput{expect: seen.revision, share: int64(2 + id*rounds + n)}
		r.record(id, in, func() configOutput { return applyShare(c, in) })
	}
}

func readShare(c *client) configOutput {
	var response api.SettingsAnswer
	body, err := c.do(context.Background(), apiCall{method: http.MethodGet, path: api.PathSettings})
	if err != nil || json.Unmarshal(body, &response) != nil {
		return configOutput{unknown: true}
	}
	return configOutput{revision: response.Revision, share: response.Declarations.Workspaces[0].Share}
}

func applyShare(c *client, in configInput) configOutput {
	body, err := c.do(context.Background(), apiCall{method: http.MethodPost, path: api.PathSettings, body: applyCall(in)})
	var response api.OperationAnswer
	switch {
	case err == nil && json.Unmarshal(body, &response) == nil:
		return configOutput{revision: response.Revision}
	case err != nil && verdict.FromError(err).Verdict == verdict.NotRun:
		return configOutput{refused: true}
	}
	return configOutput{unknown: true}
}

func applyCall(in configInput) *api.ApplyCall {
	return &api.ApplyCall{
		Operation:    api.Operation{OpID: uuid.NewString(), Actor: "ada", ExpectRevision: &in.expect},
		Declarations: declarationsWithShare(in.share),
	}
}

func declarationsWithShare(share int64) *settings.Declarations {
	workspace := model.Workspace{ID: "shop", Share: share, Limit: model.Resources{MilliCPU: 1000}}
	return &settings.Declarations{Workspaces: []model.Workspace{workspace}}
}

// newHandler returns the HTTP API of a fleet group at revision 1 with a share of 1,
// and its state.
func newHandler(t *testing.T) (http.Handler, *fleet.State) {
	server, state := startServer(t, 0)
	c := &client{servers: []string{server.URL}, operatorToken: "tok", timeout: time.Second, http: &http.Client{}}
	out := applyShare(c, configInput{share: 1})
	qt.Assert(t, out.revision, qt.Equals, uint64(1))
	return server.Config.Handler, state
}

// isLinearizable reports whether history is linearizable. It fails the test if the
// check takes longer than 30 s.
func isLinearizable(t *testing.T, history []porcupine.Operation) bool {
	result := porcupine.CheckOperationsTimeout(configModel, history, 30*time.Second)
	qt.Assert(t, result, qt.Not(qt.Equals), porcupine.Unknown)
	return result == porcupine.Ok
}

func TestConcurrentOperatorsAreLinearizable(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			handler, state := newHandler(t)
			history := runOperators(t, handler, seed)
			qt.Assert(t, history, qt.HasLen, 2*operators*rounds)
			qt.Assert(t, isLinearizable(t, history), qt.IsTrue)
			qt.Assert(t, state.Revision() > operators, qt.IsTrue)
		})
	}
}

// withoutProtection wraps handler and lets disable remove a protection from each
// apply call.
func withoutProtection(handler http.Handler, disable func(*api.ApplyCall)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var c api.ApplyCall
		body, err := io.ReadAll(r.Body)
		if r.Method == http.MethodPost && err == nil && json.Unmarshal(body, &c) == nil {
			disable(&c)
			body, _ = json.Marshal(&c)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		handler.ServeHTTP(w, r)
	})
}

// TestLinearizabilityCheckFindsFaults checks that isLinearizable rejects a history
// without compare-and-set on the revision and one without detection of duplicates.
func TestLinearizabilityCheckFindsFaults(t *testing.T) {
	faults := []struct {
		name    string
		disable func(*api.ApplyCall)
	}{
		{"no compare-and-set", func(c *api.ApplyCall) { *c.ExpectRevision = fleet.AnyRevision }},
		{"no detection of duplicates", func(c *api.ApplyCall) { c.OpID = uuid.NewString() }},
	}
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			handler, _ := newHandler(t)
			qt.Assert(t, isLinearizable(t, runOperators(t, withoutProtection(handler, f.disable), 1)), qt.IsFalse)
		})
	}
}
