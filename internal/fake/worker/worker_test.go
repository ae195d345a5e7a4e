package worker_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"kumquatwing/internal/api"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/fake/worker"
	"kumquatwing/internal/model"
	"kumquatwing/internal/work"
	"kumquatwing/internal/workerapi"
)

// control answers reports from tables of its own.
type control struct {
	mu     sync.Mutex
	state  *work.State
	leader *workerapi.Leader
}

func newControl() *control {
	c := &control{state: work.New()}
	policy := workerapi.Policy{Lease: 5 * time.Second, Margin: 250 * time.Millisecond}
	c.leader = workerapi.NewLeader(c.state, 1, policy, clock.Boot{}.Now())
	c.state.Apply(1, c.leader.Prepare())
	size := model.Resources{MilliCPU: 100, MemoryMB: 10}
	c.state.Apply(1, &work.Command{
		Admit:  []work.Admit{{Spec: model.JobSpec{ID: "j", Workspace: "t", Tasks: 3, Size: size, RunMillis: 50}}},
		Grants: []work.SetGrant{{Workspace: "t", Version: 1, Cap: size.Scale(9)}},
	})
	return c
}

func (c *control) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var report api.WorkerReport
	if err := json.NewDecoder(r.Body).Decode(&report); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	cmd, err := c.leader.Report("dc1", &report)
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	c.state.Apply(2, cmd)
	c.placeWaiting(report.Worker)
	o, _ := c.leader.Orders(report.Worker, clock.Boot{}.Now(), workerapi.Gate{Leads: true, MayStart: time.Second})
	json.NewEncoder(w).Encode(o)
}

func (c *control) placeWaiting(id model.WorkerID) {
	place := &work.Command{}
	for _, t := range c.state.Job("j").Tasks() {
		if t.Placeable() {
			place.Place = append(place.Place, work.Place{Task: t.ID, Worker: id})
		}
	}
	c.state.Apply(3, place)
}

func (c *control) ended() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Job("j").Ended()
}

func TestProcessRunsTasksOverHTTP(t *testing.T) {
	defer goleak.VerifyNone(t)
	c := qt.New(t)
	ctl := newControl()
	server := httptest.NewServer(ctl)
	defer server.Close()
	down := httptest.NewServer(http.NotFoundHandler())
	defer down.Close()
	client := &http.Client{}
	defer client.CloseIdleConnections()

	cfg := worker.Config{ID: "w", DC: "dc1", Incarnation: "i", Size: model.Resources{MilliCPU: 1000, MemoryMB: 100}}
	p := worker.NewProcess(cfg, []string{down.URL, server.URL}, client, clock.Boot{}, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { p.Run(ctx) })
	// The deadline only keeps a broken run from hanging.
	for deadline := time.Now().Add(20 * time.Second); ctl.ended() < 3 && time.Now().Before(deadline); {
		time.Sleep(20 * time.Millisecond)
	}
	cancel()
	wg.Wait()
	c.Assert(ctl.ended(), qt.Equals, 3)
	for _, row := range ctl.state.Job("j").Tasks() {
		c.Assert(row.Outcome, qt.Equals, model.OutcomeSucceeded)
		c.Assert(row.Attempt, qt.Equals, uint32(1))
	}
}
