package systems_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/fake/cell"
	"kumquatwing/internal/fake/worker"
	"kumquatwing/internal/model"
	"kumquatwing/internal/systems"
)

func TestJobRunsToCompletion(t *testing.T) {
	c := qt.New(t)
	cl := cell.New()
	cl.AddWorker(worker.Config{})
	cl.AddWorker(worker.Config{})
	cl.Submit(model.JobSpec{ID: "j1", Class: model.ClassBatch, Tasks: 6, RunMillis: 2000, Idempotent: true})
	cl.Steps(4, 500*time.Millisecond)
	c.Assert(cl.States("j1"), qt.DeepEquals, map[model.TaskState]int{model.TaskRunning: 6})
	cl.Steps(6, 500*time.Millisecond)
	c.Assert(cl.States("j1"), qt.DeepEquals, map[model.TaskState]int{model.TaskEnded: 6})
	c.Assert(cl.Log.Count(systems.EventPlaced), qt.Equals, 6)
	c.Assert(cl.Log.Count(systems.EventEnded), qt.Equals, 6)
	c.Assert(cl.Log.Count(systems.EventFinished) > 0, qt.IsTrue)
	cl.View.Jobs = nil
	cl.View.Revision++
	cl.Steps(2, 500*time.Millisecond)
	c.Assert(cl.State.Job("j1"), qt.IsNil)
	c.Assert(cl.State.Usage("t1").IsZero(), qt.IsTrue)
}
