package control

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"kumquatwing/internal/api"
	"kumquatwing/internal/fake/loopback"
	"kumquatwing/internal/fake/worker"
	"kumquatwing/internal/fleet"
	"kumquatwing/internal/model"
	"kumquatwing/internal/placement"
	"kumquatwing/internal/systems"
	"kumquatwing/internal/verdict"
)

// TestExplainJobNeedsAKey checks that nobody learns about workers without a workspace's key.
func TestExplainJobNeedsAKey(t *testing.T) {
	s, err := New(Config{
		VM: "vm1", DC: "dc1", WireAddr: "127.0.77.3:7201", HTTPAddr: "127.0.77.3:7200", OperatorToken: "secret",
	}, zap.NewNop())
	qt.Assert(t, err, qt.IsNil)
	defer s.close()
	w := httptest.NewRecorder()
	s.routes().ServeHTTP(w, httptest.NewRequest(http.MethodPost, api.PathExplainJob, strings.NewReader(`{}`)))
	qt.Assert(t, w.Code, qt.Equals, http.StatusUnauthorized)
}

// TestExplainJobLines checks the text about a service whose tasks are spread over two data
// centres, one of which doesn't answer.
func TestExplainJobLines(t *testing.T) {
	owners := []model.DCID{"dc1", "dc2", "dc1", "dc1", "dc1"}
	qt.Assert(t, distinct(owners), qt.DeepEquals, []model.DCID{"dc1", "dc2"})
	qt.Assert(t, tasksOf(owners, "dc1"), qt.DeepEquals, []int{0, 2, 3, 4})
	chosen := placement.Explanation{
		Considered: 9, Rejected: []placement.FilterCount{{Filter: placement.FilterCPU, Count: 7}}, Score: []placement.ScorePart{{Scorer: placement.ScorerPack, Points: 12}},
	}
	p := &systems.Prospect{
		Place:   []placement.Placement{{Worker: "w1", Explain: chosen}, {Worker: "w2", Explain: chosen}, {Worker: "w1"}},
		Preempt: make([]placement.Preemption, 2), Waiting: 1, Reason: placement.ReasonNoCapacity, NeedsGrant: true,
		Explain: placement.Explanation{Considered: 9, Rejected: []placement.FilterCount{{Filter: placement.FilterCPU, Count: 8}, {Filter: placement.FilterState, Count: 1}}},
	}
	response := &ExplainJobResponse{
		Dispatch: placement.Explanation{Considered: 2},
		DataCentres: []ExplainedDC{
			explainedDC("dc1", 4, p, nil),
			explainedDC("dc2", 1, nil, verdict.Refuse(verdict.ReasonNoLeader, "the leader does not answer")),
			explainedDC("dc3", 1, &systems.Prospect{Waiting: 1, Refused: true, Reason: placement.ReasonNeverFits}, nil),
		},
	}
	qt.Check(t, response.describe(), qt.DeepEquals, []string{
		"data centre dc1 would get 4 tasks: 2 data centres considered",
		"  once it has been granted more of the workspace's limit:",
		"  2 would start on w1: 9 workers considered; rejected 7 milli_cpu; score pack 12",
		"  1 would start on w2: 9 workers considered; rejected 7 milli_cpu; score pack 12",
		"  2 runs would be stopped for it",
		"  1 would wait: no-room: 9 workers considered; rejected 8 milli_cpu, 1 worker-state",
		"data centre dc2 would get 1 tasks: 2 data centres considered",
		"  not known: the leader does not answer",
		"data centre dc3 would get 1 tasks: 2 data centres considered",
		"  the job would be refused: never-fits",
	})
}

// TestExplanationsAreLimited guards against a caller that keeps the leader from its work.
func TestExplanationsAreLimited(t *testing.T) {
	limiter := newExplainLimiter()
	allowed := 0
	for range 10 * explainsPerSecond {
		if limiter.Allow() {
			allowed++
		}
	}
	qt.Check(t, allowed, qt.Equals, explainsPerSecond)
}

// explainedCell is a process that leads both groups, with the worker w1, which the test
// plays, and a key of the workspace shop.
type explainedCell struct {
	t      *testing.T
	s      *Server
	worker *worker.Core
	key    string
}

func newExplainedCell(t *testing.T) *explainedCell {
	addr := loopback.Addr()
	host, _, _ := strings.Cut(addr, ":")
	s, err := New(Config{VM: "vm1", DC: "dc1", Region: "r", WireAddr: addr, HTTPAddr: host + ":7200", OperatorToken: "tok"}, zap.NewNop())
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		qt.Check(t, <-done, qt.IsNil)
	})
	size := model.Resources{MilliCPU: 4000, MemoryMB: 4096}
	e := &explainedCell{t: t, s: s, worker: worker.NewCore(worker.Config{ID: "w1", DC: "dc1", Incarnation: "i1", Size: size})}
	e.mustCall(api.PathInit, "")
	id, text, hash := fleet.NewKey()
	e.key = text
	e.mustCall(api.PathSettings, `{"op_id":"a","actor":"ada","expect_revision":0,"declarations":{"data_centres":[{"id":"dc1","region":"r"}],
		"workspaces":[{"id":"shop","share":1,"limit":{"milli_cpu":8000,"memory_mb":8192}}]}}`)
	e.mustCall(api.PathKeys, fmt.Sprintf(`{"op_id":"b","actor":"ada","key":%q,"workspace":"shop","hash":%q}`, id, fleet.HashText(hash)))
	return e
}

// call sends a call with the key and the operators' token, and returns the status code and
// the body of the response.
func (e *explainedCell) call(method, path, body string) (int, []byte) {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set(api.HeaderOperator, "tok")
	r.Header.Set(api.HeaderKey, e.key)
	w := httptest.NewRecorder()
	e.s.routes().ServeHTTP(w, r)
	return w.Code, w.Body.Bytes()
}

// mustCall repeats a call until it is accepted.
func (e *explainedCell) mustCall(path, body string) {
	e.t.Helper()
	var code int
	var raw []byte
	defer func() {
		if code != http.StatusOK {
			e.t.Logf("%s: %d %s", path, code, raw)
		}
	}()
	e.until(path, func() bool {
		code, raw = e.call(http.MethodPost, path, body)
		return code == http.StatusOK
	})
}

// until waits until done reports true.
func (e *explainedCell) until(what string, done func() bool) {
	e.t.Helper()
	for end := time.Now().Add(20 * time.Second); !done(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			e.t.Fatalf("%s: not within 20 s", what)
		}
	}
}

// report sends a report of the worker.
func (e *explainedCell) report() {
	now := e.s.clock.Now()
	body, err := json.Marshal(e.worker.Report(now))
	qt.Assert(e.t, err, qt.IsNil)
	code, raw := e.call(http.MethodPost, api.PathWorkerReport, string(body))
	var orders api.WorkerOrders
	if code == http.StatusOK && json.Unmarshal(raw, &orders) == nil {
		e.worker.Apply(now, e.s.clock.Now(), &orders)
	}
}

// TestExplainJob checks the call from its request to its response on a process with one
// worker, that it submits nothing, and that the data centre doesn't look busier after it.
func TestExplainJob(t *testing.T) {
	e := newExplainedCell(t)
	job := `{"class":"batch","tasks":6,"size":{"milli_cpu":1000,"memory_mb":512},"run_ms":1000}`
	var response ExplainJobResponse
	e.until("an explanation with a placement", func() bool {
		e.report()
		code, raw := e.call(http.MethodPost, api.PathExplainJob, job)
		response = ExplainJobResponse{}
		return code == http.StatusOK && json.Unmarshal(raw, &response) == nil && len(response.DataCentres) == 1 && len(response.DataCentres[0].Workers) == 1
	})
	dc := &response.DataCentres[0]
	qt.Check(t, dc.DC, qt.Equals, model.DCID("dc1"))
	qt.Check(t, dc.Workers[0].Worker, qt.Equals, model.WorkerID("w1"))
	qt.Check(t, dc.Workers[0].Tasks, qt.Equals, 4)
	qt.Check(t, []any{dc.Waiting, dc.Reason}, qt.DeepEquals, []any{2, placement.ReasonNoCapacity})
	qt.Check(t, dc.Explain.Rejected, qt.DeepEquals, []placement.FilterCount{{Filter: placement.FilterCPU, Count: 1}})
	qt.Check(t, response.Lines, qt.HasLen, 4, qt.Commentf("%q", response.Lines))

	code, raw := e.call(http.MethodPost, api.PathExplainJob, strings.Replace(job, "{", `{"workspace":"vets",`, 1))
	qt.Check(t, code >= http.StatusBadRequest, qt.IsTrue, qt.Commentf("%s", raw))
	qt.Check(t, string(raw), qt.Contains, string(verdict.ReasonWrongWorkspace))
	_, jobs := e.call(http.MethodGet, api.PathJobs+"?finished=true", "")
	qt.Check(t, string(jobs), qt.Contains, `"jobs":[]`)
	view := e.s.capacities.dcView(model.DataCentre{ID: "dc1"}, e.s.clock.Now())
	qt.Check(t, view.Waiting.IsZero(), qt.IsTrue)
}
