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

func TestDrainKeepsMinimumOfServices(t *testing.T) {
	c := qt.New(t)
	cl := cell.New()
	for range 4 {
		cl.AddWorker(worker.Config{})
	}
	cl.Submit(model.JobSpec{ID: "svc", Class: model.ClassService, Tasks: 6, MinRunning: 4, Idempotent: true})
	cl.Submit(model.JobSpec{ID: "once", Class: model.ClassBatch, Tasks: 1, RunMillis: 4000})
	cl.Steps(4, step)
	cl.View.OutOfService, cl.View.OutOfServiceRevision = true, 9
	cl.View.Revision++
	cl.LeaseStatus.SettingsLeaseRemaining = 0
	cl.Steps(6, step)
	c.Assert(cl.States("svc"), qt.DeepEquals, map[model.TaskState]int{model.TaskRunning: 4, model.TaskPending: 2})
	c.Assert(cl.States("once")[model.TaskRunning], qt.Equals, 1, qt.Commentf("tasks that are not idempotent run to their end"))
	var moved []work.AdmitTask
	for range 4 {
		cl.Step(step)
		for _, r := range cl.Last.Fleet.Reassign {
			moved = append(moved, r.Tasks...)
		}
	}
	c.Assert(len(moved) >= 2, qt.IsTrue)
	// Once two tasks run in another data centre, two more may stop here.
	cl.View.Jobs[0].RunningElsewhere = 2
	cl.Steps(4, step)
	c.Assert(cl.States("svc")[model.TaskRunning], qt.Equals, 2)
}

func TestMovesKeepToTheMoveRate(t *testing.T) {
	c := qt.New(t)
	cl := cell.New()
	for range 10 {
		cl.AddWorker(worker.Config{})
	}
	cl.View.Tree.Set(settings.LevelDataCentre, "dc1", settings.MoveRate, settings.Value{Int: 2}, 1)
	cl.Submit(model.JobSpec{ID: "j", Class: model.ClassBatch, Tasks: 40, RunMillis: 600_000, Idempotent: true})
	cl.Steps(4, step)
	cl.View.OutOfService, cl.View.OutOfServiceRevision = true, 9
	cl.View.Revision++
	cl.Steps(10, step)
	c.Assert(cl.Log.Count(systems.EventMoved) <= 11, qt.IsTrue)
	c.Assert(cl.Log.Count(systems.EventMoved) >= 4, qt.IsTrue)
}

func TestReleasedTasksRunHereOnceBackInService(t *testing.T) {
	c := qt.New(t)
	cl := cell.New()
	cl.AddWorker(worker.Config{})
	cl.Submit(job("j", 2))
	cl.View.OutOfService, cl.View.OutOfServiceRevision = true, 2
	cl.Steps(4, step)
	c.Assert(cl.State.Task("j.0").Released, qt.IsTrue)
	cl.View.OutOfService, cl.View.OutOfServiceRevision = false, 3
	for range 4 {
		cl.Step(step)
		for _, r := range cl.Last.Fleet.Reassign {
			c.Assert(r.To, qt.Equals, model.DCID("dc1"))
			cl.View.Revision++
			cl.View.Jobs[0].Assignment = cl.View.Revision
			cl.View.Jobs[0].Tasks = r.Tasks
		}
	}
	c.Assert(runUntilFinished(c, cl, "j"), qt.Equals, model.OutcomeSucceeded)
}

func TestLoweredLimitStopsNewestTasksAndReturnsGrant(t *testing.T) {
	c := qt.New(t)
	cl := cell.New()
	cl.AddWorker(worker.Config{})
	cl.Submit(model.JobSpec{ID: "old", Class: model.ClassBatch, Tasks: 2, RunMillis: 600_000, Idempotent: true})
	cl.Submit(model.JobSpec{ID: "new", Class: model.ClassBatch, Tasks: 2, RunMillis: 600_000, Idempotent: true})
	cl.Steps(4, step)
	limit := model.Resources{MilliCPU: 2000, MemoryMB: 1024}
	ws := &cl.View.Workspaces[0]
	// A lower target alone, set to grant the difference to another data centre,
	// stops no tasks.
	ws.Target = limit
	cl.Steps(6, step)
	c.Assert(cl.States("new"), qt.DeepEquals, map[model.TaskState]int{model.TaskRunning: 2})
	ws = &cl.View.Workspaces[0]
	ws.Limit, ws.Target, ws.OverLimit = limit, limit, true
	cl.Steps(6, step)
	c.Assert(cl.States("old"), qt.DeepEquals, map[model.TaskState]int{model.TaskRunning: 2})
	c.Assert(cl.States("new"), qt.DeepEquals, map[model.TaskState]int{model.TaskPending: 2})
	c.Assert(cl.View.Workspaces[0].Granted, qt.Equals, limit)
	c.Assert(cl.State.Grant("t1").Cap, qt.Equals, limit)
}

func TestUnusedGrantIsReturned(t *testing.T) {
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

// After a rebuild the replicated state holds no cap. If a limit is lowered at that
// time, the data centre must still return the excess and use the rest of the grant.
// The test starts from an empty replicated state, which holds no cap either.
func TestLoweredLimitIsReturnedAfterARebuild(t *testing.T) {
	c := qt.New(t)
	cl := cell.New()
	cl.AddWorker(worker.Config{})
	cl.Submit(job("j", 2))
	limit := model.Resources{MilliCPU: 2000, MemoryMB: 1024}
	cl.View.Workspaces[0].Limit, cl.View.Workspaces[0].Target = limit, limit
	c.Assert(runUntilFinished(c, cl, "j"), qt.Equals, model.OutcomeSucceeded)
	c.Assert(cl.View.Workspaces[0].Granted, qt.Equals, limit)
}
