package systems_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/fake/cell"
	"kumquatwing/internal/fake/worker"
	"kumquatwing/internal/model"
	"kumquatwing/internal/settings"
	"kumquatwing/internal/systems"
	"kumquatwing/internal/work"
)

func TestDrainMovesServicesAboveTheirMinimum(t *testing.T) {
	c := qt.New(t)
	cl := cell.New()
	for range 4 {
		cl.AddWorker(worker.Config{})
	}
	cl.Submit(model.JobSpec{ID: "svc", Class: model.ClassService, Tasks: 6, MinRunning: 4, Idempotent: true})
	cl.Submit(model.JobSpec{ID: "once", Class: model.ClassBatch, Tasks: 1, RunMillis: 4000})
	cl.Steps(4, step)
	cl.View.Out, cl.View.OutRevision = true, 9
	cl.View.Revision++
	cl.Gate.MayStart = 0
	cl.Steps(6, step)
	c.Assert(cl.States("svc"), qt.DeepEquals, map[model.TaskState]int{model.TaskRunning: 4, model.TaskPending: 2})
	c.Assert(cl.States("once")[model.TaskRunning], qt.Equals, 1, qt.Commentf("not idempotent runs end by themselves"))
	var moved []work.AdmitTask
	for range 4 {
		cl.Step(step)
		for _, r := range cl.Last.Fleet.Reassign {
			moved = append(moved, r.Tasks...)
		}
	}
	c.Assert(len(moved) >= 2, qt.IsTrue)
	// Once two run elsewhere, two more may stop.
	cl.View.Jobs[0].RunningElsewhere = 2
	cl.Steps(4, step)
	c.Assert(cl.States("svc")[model.TaskRunning], qt.Equals, 2)
}

func TestMovesKeepTheirRate(t *testing.T) {
	c := qt.New(t)
	cl := cell.New()
	for range 10 {
		cl.AddWorker(worker.Config{})
	}
	cl.View.Tree.Set(settings.LevelDataCentre, "dc1", settings.MoveRate, settings.Value{Int: 2}, 1)
	cl.Submit(model.JobSpec{ID: "j", Class: model.ClassBatch, Tasks: 40, RunMillis: 600_000, Idempotent: true})
	cl.Steps(4, step)
	cl.View.Out, cl.View.OutRevision = true, 9
	cl.View.Revision++
	cl.Steps(10, step)
	c.Assert(cl.Log.Count(systems.EventMoved) <= 11, qt.IsTrue)
	c.Assert(cl.Log.Count(systems.EventMoved) >= 4, qt.IsTrue)
}

func TestReleasedTasksStayWhenTheDataCentreIsInAgain(t *testing.T) {
	c := qt.New(t)
	cl := cell.New()
	cl.AddWorker(worker.Config{})
	cl.Submit(job("j", 2))
	cl.View.Out, cl.View.OutRevision = true, 2
	cl.Steps(4, step)
	c.Assert(cl.State.Task("j.0").Released, qt.IsTrue)
	cl.View.Out, cl.View.OutRevision = false, 3
	for range 4 {
		cl.Step(step)
		for _, r := range cl.Last.Fleet.Reassign {
			c.Assert(r.To, qt.Equals, model.DCID("dc1"))
			cl.View.Revision++
			cl.View.Jobs[0].Assignment = cl.View.Revision
			cl.View.Jobs[0].Tasks = r.Tasks
		}
	}
	c.Assert(until(c, cl, "j"), qt.Equals, model.OutcomeSucceeded)
}

func TestLoweredLimitEvictsTheNewestAndReturnsTheRest(t *testing.T) {
	c := qt.New(t)
	cl := cell.New()
	cl.AddWorker(worker.Config{})
	cl.Submit(model.JobSpec{ID: "old", Class: model.ClassBatch, Tasks: 2, RunMillis: 600_000, Idempotent: true})
	cl.Submit(model.JobSpec{ID: "new", Class: model.ClassBatch, Tasks: 2, RunMillis: 600_000, Idempotent: true})
	cl.Steps(4, step)
	limit := model.Resources{MilliCPU: 2000, MemoryMB: 1024}
	h := &cl.View.Workspaces[0]
	// A smaller target alone, for the sake of another data centre, stops nothing.
	h.Target = limit
	cl.Steps(6, step)
	c.Assert(cl.States("new"), qt.DeepEquals, map[model.TaskState]int{model.TaskRunning: 2})
	h = &cl.View.Workspaces[0]
	h.Limit, h.Target, h.Over = limit, limit, true
	cl.Steps(6, step)
	c.Assert(cl.States("old"), qt.DeepEquals, map[model.TaskState]int{model.TaskRunning: 2})
	c.Assert(cl.States("new"), qt.DeepEquals, map[model.TaskState]int{model.TaskPending: 2})
	c.Assert(cl.View.Workspaces[0].Granted, qt.Equals, limit)
	c.Assert(cl.State.Grant("t1").Cap, qt.Equals, limit)
}

func TestIdleGrantIsReturnedAfterAWhile(t *testing.T) {
	c := qt.New(t)
	cl := cell.New()
	cl.AddWorker(worker.Config{})
	cl.Submit(job("j", 2))
	full := cl.View.Workspaces[0].Granted
	cl.Steps(4, step)
	c.Assert(cl.View.Workspaces[0].Granted, qt.Equals, full)
	cl.Steps(30, step)
	kept := cl.View.Workspaces[0].Granted
	c.Assert(kept.Fits(model.Resources{MilliCPU: 4000, MemoryMB: 2048}), qt.IsTrue)
	cl.Submit(job("k", 4))
	cl.Steps(6, step)
	c.Assert(cl.States("k"), qt.DeepEquals, map[model.TaskState]int{model.TaskRunning: 4})
}

func TestLoweredLimitIsReturnedAfterARebuild(t *testing.T) {
	c := qt.New(t)
	cl := cell.New()
	cl.AddWorker(worker.Config{})
	cl.Submit(job("j", 2))
	limit := model.Resources{MilliCPU: 2000, MemoryMB: 1024}
	cl.View.Workspaces[0].Limit, cl.View.Workspaces[0].Target = limit, limit
	c.Assert(until(c, cl, "j"), qt.Equals, model.OutcomeSucceeded)
	c.Assert(cl.View.Workspaces[0].Granted, qt.Equals, limit)
}
