package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/model"
)

// TestGangsAvoidTheWorkerThatFailedThem guards against a gang that is started again on the
// worker on which a member has just failed, and loses the work of all members for it once
// more. A single task that fails does not make its worker suspect: it may fail everywhere.
// It plays gangs of the heaviest day: 20 tasks for 5 s.
func TestGangsAvoidTheWorkerThatFailedThem(t *testing.T) {
	for _, gang := range []bool{false, true} {
		r := newRig(t, cell.Step{Count: 20, Need: model.Resources{MilliCPU: 100}, EstimateMillis: 5000, Gang: gang})
		r.lead()
		r.deliverReply(RenewReply{ClockMillis: 1000})
		var starts []cell.Start
		for i := range 20 {
			starts = append(starts, cell.Start{Task: cell.TaskKey{Job: testJob, Index: i}, Run: 1, Worker: testWorker, Born: 1})
		}
		r.apply(&cell.Command{Leadership: r.term.Load(), Starts: &cell.Starts{Starts: starts}})
		r.syncSessions(r.ctx)
		suspect := func() bool { return r.sessions[testWorker].failures.suspect(r.now()) }
		qt.Check(t, suspect(), qt.IsFalse)
		r.finish(starts[3].Task, cell.OutcomeFailed, "")
		qt.Check(t, suspect(), qt.Equals, gang)
		r.clock.Advance(suspectDuration + time.Millisecond)
		qt.Check(t, suspect(), qt.IsFalse)
	}
}
