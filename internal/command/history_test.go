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

// configInput is one operator's call: a change of a workspace's share at an expected
// revision, or a read.
type configInput struct {
	read   bool
	expect uint64
	share  int64
}

// configOutput is its answer. Unknown calls may or may not have run.
type configOutput struct {
	unknown  bool
	refused  bool
	revision uint64
	share    int64
}

// configState is the register that operators race for.
type configState struct {
	revision uint64
	share    int64
}

// stepConfig returns the states that an answer allows.
func stepConfig(s configState, in configInput, out configOutput) []any {
	if in.read {
		if out.unknown || out.revision == s.revision && out.share == s.share {
			return []any{s}
		}
		return nil
	}
	wins := in.expect == s.revision
	next := configState{s.revision + 1, in.share}
	switch {
	case out.unknown && wins:
		return []any{s, next}
	case out.unknown, out.refused && !wins:
		return []any{s}
	case !out.refused && wins && out.revision == next.revision:
		return []any{next}
	}
	return nil
}

var configModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{configState{1, 1}} },
	Step: func(s, in, out any) []any { return stepConfig(s.(configState), in.(configInput), out.(configOutput)) },
}).ToModel()

var errLost = errors.New("answer lost")

// lossyTransport loses some answers after the call was done, and sends some
// calls a second time, late and unseen.
type lossyTransport struct {
	mu   sync.Mutex
	rand *rand.Rand
	late sync.WaitGroup
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
		again := r.Clone(context.Background())
		again.Body = io.NopCloser(bytes.NewReader(body))
		l.late.Go(func() {
			time.Sleep(2 * time.Millisecond)
			if resp, err := http.DefaultTransport.RoundTrip(again); err == nil {
				resp.Body.Close()
			}
		})
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err == nil && l.chance(30) {
		resp.Body.Close()
		return nil, errLost
	}
	return resp, err
}

// racers is how many operators race, rounds how many changes each tries.
const (
	racers = 4
	rounds = 12
)

// recorder collects the history of a run.
type recorder struct {
	mu      sync.Mutex
	start   time.Time
	history []porcupine.Operation
}

func (r *recorder) run(id int, in configInput, do func() configOutput) configOutput {
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

// race lets operators change one workspace's share through handler and returns the
// history of what they were told.
func race(t *testing.T, handler http.Handler, seed uint64) []porcupine.Operation {
	server := httptest.NewServer(handler)
	defer server.Close()
	transport := &lossyTransport{rand: rand.New(rand.NewPCG(seed, 1))}
	defer transport.late.Wait()
	r := &recorder{start: time.Now()}
	var wg sync.WaitGroup
	for id := range racers {
		c := &client{
			servers: []string{server.URL, server.URL}, operator: "tok",
			timeout: 5 * time.Second, http: &http.Client{Transport: transport},
		}
		wg.Go(func() { operate(c, r, id) })
	}
	wg.Wait()
	return r.history
}

// operate reads and changes in turn, as `kqctl apply` does.
func operate(c *client, r *recorder, id int) {
	for n := range rounds {
		seen := r.run(id, configInput{read: true}, func() configOutput { return readShare(c) })
		in := configInput{expect: seen.revision, share: int64(2 + id*rounds + n)}
		r.run(id, in, func() configOutput { return applyShare(c, in) })
	}
}

func readShare(c *client) configOutput {
	var answer api.SettingsAnswer
	body, err := c.do(context.Background(), call{method: http.MethodGet, path: api.PathSettings})
	if err != nil || json.Unmarshal(body, &answer) != nil {
		return configOutput{unknown: true}
	}
	return configOutput{revision: answer.Revision, share: answer.Declarations.Workspaces[0].Share}
}

func applyShare(c *client, in configInput) configOutput {
	body, err := c.do(context.Background(), call{method: http.MethodPost, path: api.PathSettings, body: applyCall(in)})
	var answer api.OperationAnswer
	switch {
	case err == nil && json.Unmarshal(body, &answer) == nil:
		return configOutput{revision: answer.Revision}
	case err != nil && verdict.From(err).Verdict == verdict.NotRun:
		return configOutput{refused: true}
	}
	return configOutput{unknown: true}
}

func applyCall(in configInput) *api.ApplyCall {
	return &api.ApplyCall{
		Operation:    api.Operation{OpID: uuid.NewString(), Actor: "ada", ExpectRevision: &in.expect},
		Declarations: shareOf(in.share),
	}
}

func shareOf(share int64) *settings.Declarations {
	workspace := model.Workspace{ID: "shop", Share: share, Limit: model.Resources{MilliCPU: 1000}}
	return &settings.Declarations{Workspaces: []model.Workspace{workspace}}
}

// prepared serves a state at revision 1 with a share of 1.
func prepared(t *testing.T) (http.Handler, *fleet.State) {
	server, state := serve(t, 0)
	c := &client{servers: []string{server.URL}, operator: "tok", timeout: time.Second, http: &http.Client{}}
	out := applyShare(c, configInput{share: 1})
	qt.Assert(t, out.revision, qt.Equals, uint64(1))
	return server.Config.Handler, state
}

func checkHistory(t *testing.T, history []porcupine.Operation) bool {
	result := porcupine.CheckOperationsTimeout(configModel, history, 30*time.Second)
	qt.Assert(t, result, qt.Not(qt.Equals), porcupine.Unknown)
	return result == porcupine.Ok
}

func TestRacingOperatorsAreLinearizable(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			handler, state := prepared(t)
			history := race(t, handler, seed)
			qt.Assert(t, history, qt.HasLen, 2*racers*rounds)
			qt.Assert(t, checkHistory(t, history), qt.IsTrue)
			qt.Assert(t, state.Revision() > racers, qt.IsTrue)
		})
	}
}

// without serves handler with a protection taken out of each apply.
func without(handler http.Handler, strip func(*api.ApplyCall)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var c api.ApplyCall
		body, err := io.ReadAll(r.Body)
		if r.Method == http.MethodPost && err == nil && json.Unmarshal(body, &c) == nil {
			strip(&c)
			body, _ = json.Marshal(&c)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		handler.ServeHTTP(w, r)
	})
}

// TestHistoryCheckNoticesFaults shows that the check fails without compare-and-
// set and without the memory of operations.
func TestHistoryCheckNoticesFaults(t *testing.T) {
	faults := []struct {
		name  string
		strip func(*api.ApplyCall)
	}{
		{"no compare-and-set", func(c *api.ApplyCall) { *c.ExpectRevision = fleet.AnyRevision }},
		{"no memory of operations", func(c *api.ApplyCall) { c.OpID = uuid.NewString() }},
	}
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			handler, _ := prepared(t)
			qt.Assert(t, checkHistory(t, race(t, without(handler, f.strip), 1)), qt.IsFalse)
		})
	}
}
