package systems_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/fake/cell"
	"kumquatwing/internal/fake/worker"
	"kumquatwing/internal/model"
	"kumquatwing/internal/systems"
	"kumquatwing/internal/work"
)

// step is the time between two ticks of the fake cell.
const step = 500 * time.Millisecond

func job(id model.JobID, tasks int) model.JobSpec {
	return model.JobSpec{ID: id, Class: model.ClassBatch, Tasks: tasks, RunMillis: 3000, Idempotent: true}
}

// outcome returns the outcome that the last tick reported to the fleet for a job.
func outcome(cl *cell.Cell, id model.JobID) model.Outcome {
	for _, o := range cl.Last.Fleet.Outcomes {
		if o.Job == id {
			return o.Outcome
		}
	}
	return model.OutcomeNone
}

// runUntilFinished steps the cell until a tick reports the job's outcome to the
// fleet.
func runUntilFinished(c *qt.C, cl *cell.Cell, id model.JobID) model.Outcome {
	for range 400 {
		cl.Step(step)
		if o := outcome(cl, id); o != model.OutcomeNone {
			return o
		}
	}
	c.Fatalf("job %s has no outcome", id)
	return ""
}

func TestBadWorkerIsQuarantinedAndJobsSucceed(t *testing.T) {
	c := qt.New(t)
	cl := cell.New()
	bad := cl.AddWorker(worker.Config{Mode: worker.ModeFails, FailAfter: time.Millisecond})
	for range 3 {
		cl.AddWorker(worker.Config{})
	}
	for i := range 20 {
		cl.Submit(job(model.JobID(fmt.Sprintf("j%d", i)), 3))
	}
	c.Assert(runUntilFinished(c, cl, "j19"), qt.Equals, model.OutcomeSucceeded)
	c.Assert(cl.Log.Count(systems.EventQuarantined), qt.Equals, 1)
	c.Assert(cl.State.Worker("w00").State, qt.Equals, model.WorkerQuarantined)
	c.Assert(cl.Log.Count(systems.EventJobFailed), qt.Equals, 0)
	c.Assert(bad.Running(), qt.HasLen, 0)
}

func TestQuarantineIsLongerAfterFailureOnProbation(t *testing.T) {
	c := qt.New(t)
	cl := cell.New()
	cl.AddWorker(worker.Config{Mode: worker.ModeFails, FailAfter: time.Millisecond})
	for i := range 40 {
		cl.Submit(model.JobSpec{ID: model.JobID(fmt.Sprintf("j%02d", i)), Class: model.ClassBatch, Tasks: 1, RunMillis: 1000})
	}
	cl.Steps(20, step)
	w := cl.State.Worker("w00")
	c.Assert(w.State, qt.Equals, model.WorkerQuarantined)
	first := w.QuarantineMillis - cl.NowMillis()
	cl.Steps(70, step)
	c.Assert(cl.Log.Count(systems.EventProbation) > 0, qt.IsTrue)
	// A single failure on probation quarantines the worker again, for longer.
	c.Assert(w.Quarantines > 1, qt.IsTrue)
	c.Assert(cl.State.Worker("w00").QuarantineMillis-cl.NowMillis() > first, qt.IsTrue)
}

func TestJobThatFailsOnAllWorkersIsFailed(t *testing.T) {
	c := qt.New(t)
	cl := cell.New()
	for range 4 {
		cl.AddWorker(worker.Config{FailJobs: []model.JobID{"bad"}, FailAfter: time.Millisecond})
	}
	cl.Submit(job("bad", 20))
	cl.Submit(job("good", 4))
	c.Assert(runUntilFinished(c, cl, "bad"), qt.Equals, model.OutcomeFailed)
	c.Assert(cl.State.Job("bad").Reason, qt.Equals, work.ReasonFailsEverywhere)
	c.Assert(cl.Log.Count(systems.EventQuarantined), qt.Equals, 0)
	c.Assert(runUntilFinished(c, cl, "good"), qt.Equals, model.OutcomeSucceeded)
}

func TestRetriesAreLimitedAndOnlyForIdempotentJobs(t *testing.T) {
	tests := []struct {
		name       string
		idempotent bool
		attempts   uint32
		reason     string
	}{
		{"idempotent", true, 3, work.ReasonRetriesExhausted},
		{"not idempotent", false, 1, work.ReasonNotIdempotent},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			cl := cell.New()
			for range 2 {
				cl.AddWorker(worker.Config{FailJobs: []model.JobID{"j"}, FailAfter: time.Millisecond})
			}
			s := job("j", 1)
			s.Idempotent = tt.idempotent
			cl.Submit(s)
			c.Assert(runUntilFinished(c, cl, "j"), qt.Equals, model.OutcomeFailed)
			task := cl.State.Task("j.0")
			c.Assert(task.Attempt, qt.Equals, tt.attempts)
			c.Assert(task.Reason, qt.Equals, tt.reason)
		})
	}
}

func TestTaskOfLostWorkerRestartsOnlyIfIdempotent(t *testing.T) {
	tests := []struct {
		idempotent bool
		want       model.TaskState
		outcome    model.Outcome
	}{
		{true, model.TaskRunning, model.OutcomeNone},
		{false, model.TaskEnded, model.OutcomeUnknown},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.idempotent), func(t *testing.T) {
			c := qt.New(t)
			cl := cell.New()
			cl.AddWorker(worker.Config{})
			cl.Submit(model.JobSpec{ID: "j", Class: model.ClassBatch, Tasks: 1, RunMillis: 600_000, Idempotent: tt.idempotent})
			cl.Steps(4, step)
			cl.Workers = nil
			cl.AddWorker(worker.Config{ID: "other"})
			cl.Steps(8, step)
			c.Assert(cl.State.Task("j.0").Worker, qt.Equals, model.WorkerID("w00"), qt.Commentf("its lease has not ended"))
			cl.Steps(8, step)
			task := cl.State.Task("j.0")
			c.Assert(task.State, qt.Equals, tt.want)
			c.Assert(task.Outcome, qt.Equals, tt.outcome)
		})
	}
}

func TestCancellationsAreBatchedAndDoNotDelayStarts(t *testing.T) {
	c := qt.New(t)
	cl := cell.New()
	for range 10 {
		cl.AddWorker(worker.Config{})
	}
	const jobs = 10_000
	for i := range jobs {
		cl.Submit(job(model.JobID(fmt.Sprintf("j%05d", i)), 1))
	}
	cl.Steps(8, step)
	for i := range cl.View.Jobs {
		cl.View.Jobs[i].Cancelled = true
	}
	cl.Submit(model.JobSpec{ID: "now", Class: model.ClassUrgent, Tasks: 2, RunMillis: 60_000, Idempotent: true})
	cl.Tick()
	c.Assert(len(cl.Last.Command.Cancel) < jobs, qt.IsTrue)
	cl.Steps(3, step)
	c.Assert(cl.States("now"), qt.DeepEquals, map[model.TaskState]int{model.TaskRunning: 2})
	cl.Steps(6, step)
	left := 0
	for _, j := range cl.State.Jobs() {
		if j.Outcome == model.OutcomeNone {
			left++
		}
	}
	c.Assert(left, qt.Equals, 1)
	c.Assert(cl.State.Usage("t1"), qt.Equals, model.Resources{MilliCPU: 2000, MemoryMB: 1024})
}

func TestOversizedTaskIsThrottledOrStopped(t *testing.T) {
	tests := []struct {
		name  string
		size  model.Resources
		event string
	}{
		{"processors", model.Resources{MilliCPU: 1500, MemoryMB: 128}, string(systems.EventThrottled)},
		{"memory", model.Resources{MilliCPU: 100, MemoryMB: 1800}, string(systems.EventStopped)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			cl := cell.New()
			cl.AddWorker(worker.Config{UsePercent: 160, Lag: time.Second})
			cl.Submit(model.JobSpec{ID: "j", Class: model.ClassBatch, Tasks: 2, RunMillis: 600_000, Idempotent: true, Size: tt.size})
			cl.Steps(10, step)
			found := false
			for _, e := range cl.Log.Events {
				found = found || string(e.Kind) == tt.event && e.Cause == systems.ReasonOverSize
			}
			c.Assert(found, qt.IsTrue)
			cl.Steps(20, step)
			c.Assert(cl.State.Worker("w00").Free().Negative(), qt.IsFalse)
		})
	}
}

func TestRebuildAfterLossOfDataCentreGroup(t *testing.T) {
	c := qt.New(t)
	cl := cell.New()
	cl.AddWorker(worker.Config{})
	lost := cl.AddWorker(worker.Config{})
	run := model.JobSpec{ID: "a", Class: model.ClassBatch, Tasks: 4, RunMillis: 600_000, Idempotent: true}
	once := run
	once.ID, once.Idempotent = "b", false
	cl.Submit(run)
	cl.Submit(once)
	cl.Steps(4, step)
	c.Assert(len(lost.Running()) > 0, qt.IsTrue)

	cl.Generation, cl.View.Generation, cl.Term = 2, 2, 0
	cl.State.Reset()
	cl.Workers = cl.Workers[:1]
	cl.Elect()
	cl.Propose(&work.Command{Epoch: cl.Leader.Epoch(), Rebuild: &work.Rebuild{Generation: 2}})
	cl.Steps(8, step)
	c.Assert(cl.State.Rebuilding(), qt.IsTrue)
	c.Assert(cl.State.Worker("w00").Tasks(), qt.HasLen, len(cl.Workers[0].Running()))
	c.Assert(cl.Log.Count(systems.EventFinished), qt.Equals, 0)
	cl.Steps(8, step)
	c.Assert(cl.State.Rebuilding(), qt.IsFalse)
	for _, j := range cl.State.Jobs() {
		for _, task := range j.Tasks() {
			want := model.OutcomeUnknown
			if j.Spec.Idempotent || task.Worker == "w00" && task.Attempt == 1 {
				want = model.OutcomeNone
			}
			c.Assert(task.Outcome, qt.Equals, want, qt.Commentf("task %s", task.ID))
		}
	}
}

// A task that was stopped because it exceeded its size must be placed with the
// size that it used. If no worker is large enough, it must fail after its retries
// instead of being stopped and placed again without end.
func TestOversizedTaskIsPlacedWithUsedSize(t *testing.T) {
	tests := []struct {
		name string
		use  int64
		want model.Outcome
	}{
		{"fits an empty worker", 200, model.OutcomeSucceeded},
		{"fits no worker", 500, model.OutcomeFailed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			cl := cell.New()
			cl.AddWorker(worker.Config{UsePercent: tt.use, Lag: time.Second})
			s := model.JobSpec{ID: "j", Class: model.ClassBatch, Tasks: 3, RunMillis: 8000, Idempotent: true}
			s.Size = model.Resources{MilliCPU: 100, MemoryMB: 1300}
			cl.Submit(s)
			c.Assert(runUntilFinished(c, cl, "j"), qt.Equals, tt.want)
			stops := 0
			for _, e := range cl.Log.Events {
				if e.Kind == systems.EventStopped && e.Cause == systems.ReasonOverSize {
					stops++
				}
			}
			c.Assert(stops <= 9, qt.IsTrue, qt.Commentf("%d stops", stops))
		})
	}
}

// A worker whose size drops below that of its running tasks must stop the newest of
// them until it is no longer overcommitted.
func TestShrunkWorkerStopsNewestTasks(t *testing.T) {
	c := qt.New(t)
	cl := cell.New()
	w := cl.AddWorker(worker.Config{})
	cl.Submit(model.JobSpec{ID: "j", Class: model.ClassBatch, Tasks: 4, RunMillis: 600_000, Idempotent: true})
	cl.Steps(4, step)
	w.Resize(model.Resources{MilliCPU: 2000, MemoryMB: 4096})
	cl.Steps(6, step)
	c.Assert(w.Running(), qt.HasLen, 2)
	c.Assert(cl.State.Worker("w00").Free().Negative(), qt.IsFalse)
}

// Tasks that run on a worker but are unknown to the rebuilt replicated state must
// occupy capacity until they have stopped. Otherwise new tasks are placed beside
// them and overcommit the worker.
func TestUnknownRunningTasksOccupyCapacityUntilStopped(t *testing.T) {
	c := qt.New(t)
	cl := cell.New()
	w := cl.AddWorker(worker.Config{StopDelay: 4 * time.Second})
	cl.Submit(model.JobSpec{ID: "gone", Class: model.ClassBatch, Tasks: 4, RunMillis: 600_000, Idempotent: true})
	cl.Steps(4, step)
	c.Assert(w.Running(), qt.HasLen, 4)
	cl.Generation, cl.View.Generation, cl.Term = 2, 2, 0
	cl.State.Reset()
	cl.View.Jobs = nil
	cl.Elect()
	cl.Propose(&work.Command{Epoch: cl.Leader.Epoch(), Rebuild: &work.Rebuild{Generation: 2}})
	cl.Submit(model.JobSpec{ID: "new", Class: model.ClassBatch, Tasks: 4, RunMillis: 600_000, Idempotent: true})
	for range 40 {
		cl.Step(step)
		c.Assert(len(w.Running()) <= 4, qt.IsTrue, qt.Commentf("%d tasks of 1000m on 4000m", len(w.Running())))
	}
	c.Assert(cl.States("new"), qt.DeepEquals, map[model.TaskState]int{model.TaskRunning: 4})
}

// If a tick's command is not committed, its events are discarded. The next tick must
// record them again, or they are missing in the event log.
func TestEventsOfAbandonedTickAreRecordedAgain(t *testing.T) {
	c := qt.New(t)
	cl := cell.New()
	cl.AddWorker(worker.Config{})
	cl.Submit(job("j", 1))
	cl.Steps(8, step)
	cl.Clock.Advance(step)
	cl.Exchange(cl.Workers[0])
	c.Assert(cl.State.Task("j.0").State, qt.Equals, model.TaskEnded)
	before := cl.Log.Count(systems.EventEnded)
	cl.RunSystems().Abandon()
	cl.Tick()
	c.Assert(cl.Log.Count(systems.EventEnded), qt.Equals, before+1)
	cl.Steps(4, step)
	c.Assert(cl.Log.Count(systems.EventFinished), qt.Equals, 1)
}

// Tasks that fail on many workers at first and then succeed must not fail the job.
func TestTemporaryFailuresDoNotFailTheJob(t *testing.T) {
	c := qt.New(t)
	cl := cell.New()
	var workers []*worker.Core
	for range 4 {
		workers = append(workers, cl.AddWorker(worker.Config{FailJobs: []model.JobID{"j"}, FailAfter: time.Millisecond}))
	}
	cl.Submit(job("j", 12))
	for range 40 {
		cl.Step(100 * time.Millisecond)
		if j := cl.State.Job("j"); j != nil && len(j.FailedOn) >= 3 {
			break
		}
	}
	c.Assert(len(cl.State.Job("j").FailedOn) >= 3, qt.IsTrue)
	for _, w := range workers {
		w.Heal()
	}
	c.Assert(runUntilFinished(c, cl, "j"), qt.Equals, model.OutcomeSucceeded)
}
