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

// fakeControl answers worker reports from a replicated state that it owns.
type fakeControl struct {
	mu     sync.Mutex
	state  *work.State
	leader *workerapi.Leader
}

func newFakeControl() *fakeControl {
	c := &fakeControl{state: work.New()}
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

func (c *fakeControl) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	c.placePending(report.Worker)
	o, _ := c.leader.Orders(report.Worker, clock.Boot{}.Now(), workerapi.LeaseStatus{LeaderLeaseValid: true, SettingsLeaseRemaining: time.Second})
	json.NewEncoder(w).Encode(o)
}

func (c *fakeControl) placePending(id model.WorkerID) {
	cmd := &work.Command{}
	for _, t := range c.state.Job("j").Tasks() {
		if t.Placeable() {
			cmd.Place = append(cmd.Place, work.Place{Task: t.ID, Worker: id})
		}
	}
	c.state.Apply(3, cmd)
}

func (c *fakeControl) endedTasks() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Job("j").Ended()
}

func TestProcessRunsTasksOverHTTP(t *testing.T) {
	defer goleak.VerifyNone(t)
	c := qt.New(t)
	ctl := newFakeControl()
	server := httptest.NewServer(ctl)
	defer server.Close()
	failing := httptest.NewServer(http.NotFoundHandler())
	defer failing.Close()
	client := &http.Client{}
	defer client.CloseIdleConnections()

	cfg := worker.Config{ID: "w", DC: "dc1", Incarnation: "i", Size: model.Resources{MilliCPU: 1000, MemoryMB: 100}}
	p := worker.NewProcess(cfg, []string{failing.URL, server.URL}, client, clock.Boot{}, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { p.Run(ctx) })
	// The deadline keeps the test from hanging if the tasks don't end.
	for deadline := time.Now().Add(20 * time.Second); ctl.endedTasks() < 3 && time.Now().Before(deadline); {
		time.Sleep(20 * time.Millisecond)
	}
	cancel()
	wg.Wait()
	c.Assert(ctl.endedTasks(), qt.Equals, 3)
	for _, task := range ctl.state.Job("j").Tasks() {
		c.Assert(task.Outcome, qt.Equals, model.OutcomeSucceeded)
		c.Assert(task.Attempt, qt.Equals, uint32(1))
	}
}
