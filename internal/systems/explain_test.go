package systems_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/fake/cell"
	"kumquatwing/internal/fake/worker"
	"kumquatwing/internal/model"
	"kumquatwing/internal/placement"
	"kumquatwing/internal/systems"
)

// explain returns the prospect of a job of workspace t1 with all its tasks in the cell.
func explain(cl *cell.Cell, spec model.JobSpec) *systems.Prospect {
	spec.Workspace = "t1"
	if spec.Size.IsZero() {
		spec.Size = model.Resources{MilliCPU: 1000, MemoryMB: 512}
	}
	var tasks []int
	for i := range spec.Tasks {
		tasks = append(tasks, i)
	}
	return systems.Explain(&systems.Input{
		NowMillis: cl.NowMillis(), Epoch: cl.Leader.Epoch(), Member: "vm1", State: cl.State, View: cl.View,
		RebuildOver: cl.Leader.TakeoverLeasesExpired(cl.Clock.Now()), Usable: cl.Leader.Usable,
		MayStart: cl.LeaseStatus.SettingsLeaseRemaining > 0, LeaderState: cl.LeaderState, Decide: cl.Decide,
	}, &spec, tasks)
}

// busyCell returns a cell of three workers of four cores, of which six cores are in use,
// once all leases of the time before its leader have ended.
func busyCell() *cell.Cell {
	cl := cell.New()
	for range 3 {
		cl.AddWorker(worker.Config{})
	}
	cl.Submit(model.JobSpec{ID: "long", Class: model.ClassBatch, Tasks: 6, RunMillis: 600_000, Idempotent: true})
	cl.Steps(14, step)
	return cl
}

// TestExplainDecidesAsThePlan guards against an explanation that differs from what happens
// once the job is submitted, and against one that changes something.
func TestExplainDecidesAsThePlan(t *testing.T) {
	c := qt.New(t)
	cl := busyCell()
	spec := job("j", 4)
	events, usage := len(cl.Log.Events), cl.State.Usage("t1")
	p := explain(cl, spec)
	c.Assert(p.Place, qt.HasLen, 4)
	c.Assert(explain(cl, spec), qt.DeepEquals, p, qt.Commentf("asked again"))
	c.Assert(cl.State.Job("j"), qt.IsNil)
	c.Assert(len(cl.Log.Events), qt.Equals, events)
	c.Assert(cl.State.Usage("t1"), qt.Equals, usage)
	for _, placed := range p.Place {
		c.Assert(placed.Explain.Considered, qt.Equals, 3)
		c.Assert(len(placed.Explain.Score) > 0, qt.IsTrue)
	}

	cl.Submit(spec)
	cl.Steps(2, step)
	for _, placed := range p.Place {
		c.Assert(cl.State.Task(placed.Task).Worker, qt.Equals, placed.Worker)
	}
}

// TestExplainSaysWhyTasksWait checks the reasons of tasks that would not start, and the
// counts of the filters that reject the workers.
func TestExplainSaysWhyTasksWait(t *testing.T) {
	all := model.Resources{MilliCPU: 4000, MemoryMB: 512}
	for _, c := range []struct {
		name     string
		change   func(cl *cell.Cell)
		spec     model.JobSpec
		waiting  int
		refused  bool
		reason   string
		rejected []placement.FilterCount
	}{
		{"some tasks fit", nil, job("j", 8), 2, false, placement.ReasonNoCapacity, []placement.FilterCount{{Filter: placement.FilterCPU, Count: 3}}},
		{
			"no worker is free", nil,
			model.JobSpec{ID: "j", Class: model.ClassBatch, Tasks: 3, Size: all},
			2, false, placement.ReasonNoCapacity,
			[]placement.FilterCount{{Filter: placement.FilterCPU, Count: 3}},
		},
		{
			"never fits", nil,
			model.JobSpec{ID: "j", Class: model.ClassBatch, Tasks: 1, Size: all.Scale(2)},
			1, true, placement.ReasonNeverFits, nil,
		},
		{"out of service", func(cl *cell.Cell) { cl.View.OutOfService = true }, job("j", 2), 2, false, placement.ReasonOutOfService, nil},
		{"no settings lease", func(cl *cell.Cell) { cl.LeaseStatus.SettingsLeaseRemaining = 0 }, job("j", 2), 2, false, "no-settings-lease", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			cl := busyCell()
			if c.change != nil {
				c.change(cl)
			}
			p := explain(cl, c.spec)
			qt.Check(t, p.Waiting, qt.Equals, c.waiting)
			qt.Check(t, p.Refused, qt.Equals, c.refused)
			qt.Check(t, p.Reason, qt.Equals, c.reason)
			if c.rejected != nil {
				qt.Check(t, p.Explain.Rejected, qt.DeepEquals, c.rejected)
			}
		})
	}
}

// TestExplainAssumesTheGrantOfTheLimit guards against a job that is said to wait for the
// workspace's limit only because the data centre holds no more of it than it uses. It would
// request more once the job is there.
func TestExplainAssumesTheGrantOfTheLimit(t *testing.T) {
	c := qt.New(t)
	cl := busyCell()
	cl.Steps(30, step)
	c.Assert(cl.State.Grant("t1").Cap.MilliCPU < 10_000, qt.IsTrue, qt.Commentf("%v", cl.State.Grant("t1").Cap))
	p := explain(cl, job("j", 6))
	c.Assert(p.Place, qt.HasLen, 6)
	c.Assert(p.NeedsGrant, qt.IsTrue)

	limit, ws := cl.State.Usage("t1"), &cl.View.Workspaces[0]
	ws.Limit, ws.Target, ws.OverLimit = limit, limit, true
	cl.Steps(6, step)
	p = explain(cl, job("j", 6))
	c.Assert(p.Waiting, qt.Equals, 6)
	c.Assert(p.Reason, qt.Equals, placement.ReasonLimit)
}
