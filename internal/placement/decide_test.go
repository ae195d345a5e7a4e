package placement

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"kumquatwing/internal/model"
)

func TestPlansPassCheck(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := genSnapshot(t)
		p := Decide(s)
		if err := Check(s, p); err != nil {
			t.Fatal(err)
		}
	})
}

// formatPlan formats a plan for comparisons.
func formatPlan(p *Plan) string { return fmt.Sprintf("%+v", *p) }

func TestSamePlanForShuffledSnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := genSnapshot(t)
		want := formatPlan(Decide(s))
		shuffled := *s
		shuffled.Workers = rapid.Permutation(s.Workers).Draw(t, "workers order")
		shuffled.Jobs = rapid.Permutation(s.Jobs).Draw(t, "jobs order")
		shuffled.Runs = rapid.Permutation(s.Runs).Draw(t, "runs order")
		shuffled.Workspaces = rapid.Permutation(s.Workspaces).Draw(t, "workspaces order")
		shuffled.Reservations = rapid.Permutation(s.Reservations).Draw(t, "reservations order")
		if got := formatPlan(Decide(&shuffled)); got != want {
			t.Fatalf("got %s\nwant %s", got, want)
		}
	})
}

// TestSamePlanWithoutTables guards against candidate tables that are out of date:
// a scan of all workers must lead to the same plan.
func TestSamePlanWithoutTables(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := genSnapshot(t)
		if got, want := formatPlan(decide(s, maxTables)), formatPlan(decide(s, 0)); got != want {
			t.Fatalf("got %s\nwant %s", got, want)
		}
	})
}

// newTestWorker returns a ready worker with 16 cores and 32,768 MB of memory.
func newTestWorker(id, rack string) WorkerView {
	size := model.Resources{MilliCPU: 16_000, MemoryMB: 32_768}
	return WorkerView{ID: model.WorkerID(id), Rack: rack, Size: size, Free: size, State: model.WorkerReady}
}

// newTestWorkspace returns a workspace without a limit.
func newTestWorkspace(id string, share int64) WorkspaceView {
	return WorkspaceView{ID: model.WorkspaceID(id), Share: share, Grant: model.Resources{MilliCPU: 1 << 40, MemoryMB: 1 << 40, Accelerators: 1 << 40}}
}

// newTestJob returns a job with n pending tasks of milliCPU thousandths of a
// core each.
func newTestJob(id, workspace string, class model.Class, n int, milliCPU int64) JobView {
	j := JobView{Spec: model.JobSpec{
		ID: model.JobID(id), Workspace: model.WorkspaceID(workspace), Class: class, Tasks: n,
		Size: model.Resources{MilliCPU: milliCPU, MemoryMB: 1000},
	}, RunMillis: 60_000, Policy: Policy{GangReservationMillis: 10_000}}
	for i := range n {
		j.Pending = append(j.Pending, PendingTask{ID: model.TaskID(fmt.Sprintf("%s.%d", id, i))})
	}
	return j
}

// placedPerJob counts the placements of each job.
func placedPerJob(p *Plan) map[model.JobID]int {
	n := make(map[model.JobID]int)
	for i := range p.Place {
		n[p.Place[i].Job]++
	}
	return n
}

func TestDecide(t *testing.T) {
	cases := []struct {
		name    string
		jobs    []JobView
		setUp   func(*Snapshot)
		placed  map[model.JobID]int
		reasons map[model.JobID]string
	}{
		{
			name:   "fits",
			jobs:   []JobView{newTestJob("a", "x", model.ClassBatch, 3, 4000)},
			placed: map[model.JobID]int{"a": 3},
		},
		{
			name:    "gang larger than all workers together",
			jobs:    []JobView{newTestJob("a", "x", model.ClassGang, 5, 9000)},
			placed:  map[model.JobID]int{},
			reasons: map[model.JobID]string{"a": ReasonNeverFits},
		},
		{
			name:    "gang waits for capacity",
			jobs:    []JobView{newTestJob("a", "x", model.ClassUrgent, 1, 16_000), newTestJob("b", "x", model.ClassGang, 4, 9000)},
			placed:  map[model.JobID]int{"a": 1},
			reasons: map[model.JobID]string{"b": ReasonNoGangCapacity},
		},
		{
			name:    "larger than any worker",
			jobs:    []JobView{newTestJob("a", "x", model.ClassBatch, 1, 17_000)},
			placed:  map[model.JobID]int{},
			reasons: map[model.JobID]string{"a": ReasonNeverFits},
		},
		{
			name:    "no refusal while the worker table is rebuilt",
			jobs:    []JobView{newTestJob("a", "x", model.ClassBatch, 1, 17_000)},
			setUp:   func(s *Snapshot) { s.Rebuilding = true },
			placed:  map[model.JobID]int{},
			reasons: map[model.JobID]string{"a": ReasonNoCapacity},
		},
		{
			name:    "workspace limit",
			jobs:    []JobView{newTestJob("a", "x", model.ClassBatch, 3, 4000)},
			setUp:   func(s *Snapshot) { s.Workspaces[0].Grant.MilliCPU = 8000 },
			placed:  map[model.JobID]int{"a": 2},
			reasons: map[model.JobID]string{"a": ReasonLimit},
		},
		{
			name:    "data centre out of service",
			jobs:    []JobView{newTestJob("a", "x", model.ClassUrgent, 3, 4000)},
			setUp:   func(s *Snapshot) { s.OutOfService = true },
			placed:  map[model.JobID]int{},
			reasons: map[model.JobID]string{"a": ReasonOutOfService},
		},
		{
			name:    "weighted shares of full workers",
			jobs:    []JobView{newTestJob("a", "x", model.ClassBatch, 64, 1000), newTestJob("b", "y", model.ClassBatch, 64, 1000)},
			placed:  map[model.JobID]int{"a": 16, "b": 48},
			reasons: map[model.JobID]string{"a": ReasonNoCapacity, "b": ReasonNoCapacity},
		},
		{
			name: "usage in other data centres counts against the share",
			jobs: []JobView{newTestJob("a", "x", model.ClassBatch, 64, 1000), newTestJob("b", "y", model.ClassBatch, 64, 1000)},
			setUp: func(s *Snapshot) {
				s.Workspaces[1].Share = 1
				s.Workspaces[1].UsageElsewhere = model.Resources{MilliCPU: 32_000}
			},
			placed:  map[model.JobID]int{"a": 48, "b": 16},
			reasons: map[model.JobID]string{"a": ReasonNoCapacity, "b": ReasonNoCapacity},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := &Snapshot{
				NowMillis:  genNow,
				Workers:    []WorkerView{newTestWorker("w1", "r1"), newTestWorker("w2", "r1"), newTestWorker("w3", "r2"), newTestWorker("w4", "r2")},
				Workspaces: []WorkspaceView{newTestWorkspace("x", 1), newTestWorkspace("y", 3)},
				Jobs:       tc.jobs,
			}
			if tc.setUp != nil {
				tc.setUp(s)
			}
			p := Decide(s)
			qt.Assert(t, Check(s, p), qt.IsNil)
			qt.Assert(t, placedPerJob(p), qt.DeepEquals, tc.placed)
			for _, w := range p.Waits {
				qt.Check(t, w.Reason, qt.Equals, tc.reasons[w.Job])
			}
			for _, r := range p.Refuse {
				qt.Check(t, r.Reason, qt.Equals, tc.reasons[r.Job])
			}
		})
	}
}

func TestServiceSpreadsOverRacks(t *testing.T) {
	s := &Snapshot{
		Workers:    []WorkerView{newTestWorker("w1", "r1"), newTestWorker("w2", "r1"), newTestWorker("w3", "r2"), newTestWorker("w4", "r3")},
		Workspaces: []WorkspaceView{newTestWorkspace("x", 1)},
		Jobs:       []JobView{newTestJob("a", "x", model.ClassService, 6, 1000)},
	}
	racks := make(map[string]int)
	for _, p := range Decide(s).Place {
		for _, w := range s.Workers {
			if w.ID == p.Worker {
				racks[w.Rack]++
			}
		}
	}
	qt.Assert(t, racks, qt.DeepEquals, map[string]int{"r1": 2, "r2": 2, "r3": 2})
}
