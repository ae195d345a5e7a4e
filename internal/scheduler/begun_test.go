package scheduler

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/cell"
)

// TestPlacedJobHasNotBegun checks that a job counts as waiting until a worker has
// confirmed one of its runs: starts that are placed may never be carried out.
func TestPlacedJobHasNotBegun(t *testing.T) {
	r := newRig(t, oneTask)
	r.lead()
	job := r.state.Jobs[testJob]
	r.deliverReply(RenewReply{ClockMillis: 1000})
	k := r.place(0, 1)
	r.startRun(r.ctx, &cell.Start{Task: k, Run: 1, Worker: testWorker, Born: 1}, "", "", "")
	se := r.sessions[testWorker]
	qt.Assert(t, job.State, qt.Equals, cell.JobRunning)
	qt.Check(t, r.HasBegun(job), qt.IsFalse)
	r.onStartReply(r.ctx, se, k, se.runs[k], ErrNotSent)
	qt.Check(t, r.HasBegun(job), qt.IsFalse)
	r.commitEnds(r.ctx)
	r.runUntil(func() bool {
		waiting := false
		r.state.Read(func() { waiting = job.Occurrences[0].Steps[0].Tasks[0].Status == cell.TaskWaiting })
		return waiting
	})

	k = r.place(0, 2)
	r.startRun(r.ctx, &cell.Start{Task: k, Run: 2, Worker: testWorker, Born: 1}, "", "", "")
	r.onStartReply(r.ctx, se, k, se.runs[k], nil)
	qt.Check(t, r.HasBegun(job), qt.IsTrue)
}
