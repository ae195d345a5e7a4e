package scheduler

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/model"
	"kumquatwing/internal/replica"
)

// slowGroup holds back commits until the test releases them.
type slowGroup struct {
	replica.Group
	release chan struct{}
}

func (g *slowGroup) Propose(ctx context.Context, data []byte) ([]byte, error) {
	<-g.release
	return g.Group.Propose(ctx, data)
}

// TestPlansOverlapTheirCommits checks that a plan that is computed while another one is
// being committed neither starts the same tasks again nor uses the same capacity, and
// that the starts of both are sent.
func TestPlansOverlapTheirCommits(t *testing.T) {
	task := func(cores int64) cell.Step {
		return cell.Step{Count: 1, Need: model.Resources{MilliCPU: cores * 1000}, EstimateMillis: 1000}
	}
	r := newRig(t, task(10))
	slow := &slowGroup{r.group, make(chan struct{})}
	r.lead()
	r.cfg.Group = slow
	r.deliverReply(RenewReply{ClockMillis: 1000})
	submit := func(id cell.JobID, cores int64) {
		r.apply(&cell.Command{Submit: &cell.Submit{Job: cell.Job{ID: id, Queue: "q", Workspace: "a", Steps: []cell.Step{task(cores)}}}})
	}
	computePlan := func() {
		r.dirty = true
		r.clock.Advance(minPlanPause)
		r.Scheduler.plan(r.ctx)
	}
	proposed := func(id cell.JobID) bool {
		_, ok := r.pipeline.starts[cell.TaskKey{Job: id}]
		return ok
	}
	computePlan()
	qt.Assert(t, proposed(testJob), qt.IsTrue)
	submit("0000000000000010", 10)
	submit("0000000000000006", 6)
	computePlan()
	qt.Check(t, r.pipeline.plans, qt.Equals, 2)
	qt.Check(t, proposed("0000000000000006"), qt.IsTrue)
	qt.Check(t, proposed("0000000000000010"), qt.IsFalse)
	computePlan()
	qt.Check(t, r.pipeline.plans, qt.Equals, 2, qt.Commentf("a third plan found something to start"))

	close(slow.release)
	r.runUntil(func() bool { return r.pipeline.plans == 0 })
	qt.Check(t, r.pipeline.starts, qt.HasLen, 0)
	qt.Check(t, r.pipeline.byStep, qt.HasLen, 0)
	se := r.sessions[testWorker]
	for _, id := range []cell.JobID{testJob, "0000000000000006"} {
		run := se.runs[cell.TaskKey{Job: id}]
		qt.Assert(t, run, qt.IsNotNil)
		qt.Check(t, run.status, qt.Equals, runStarting)
	}
}
