package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/model"
)

// TestStopsKeepServiceTasksAvailable checks both sides of a step's limit on
// unavailable tasks: a stop is sent while fewer others are unavailable, and waits
// otherwise, whatever the reason why they are. Stops of ended jobs never wait.
func TestStopsKeepServiceTasksAvailable(t *testing.T) {
	service := func(limit int) cell.Step {
		return cell.Step{Count: 3, Need: model.Resources{MilliCPU: 1000}, Service: true, MaxUnavailable: limit}
	}
	for _, c := range []struct {
		name    string
		limit   int
		percent int
		cancel  bool
		silent  bool
		sent    bool
	}{
		{"all others at work", 1, 100, false, false, true},
		{"another still starts", 1, 60, false, false, false},
		{"another still starts, two may", 2, 60, false, false, true},
		{"worker of the others is silent", 1, 100, false, true, false},
		{"job cancelled", 1, 60, true, false, true},
		{"no limit", 0, 60, false, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, service(c.limit))
			r.lead()
			r.deliverReply(RenewReply{ClockMillis: 1000})
			var running []RunningTask
			for i := range 3 {
				k := r.place(i, 1)
				running = append(running, RunningTask{Task: k, Run: 1, Percent: 100})
			}
			running[2].Percent = c.percent
			r.syncSessions(r.ctx)
			se := r.sessions[testWorker]
			for _, run := range se.runs {
				run.status = runStarted
			}
			r.clock.Advance(time.Second)
			r.deliverReply(RenewReply{ClockMillis: 2000, Running: running})
			if c.silent {
				r.clock.Advance(unreachableAfter + time.Second)
			}
			if c.cancel {
				r.apply(&cell.Command{Cancel: &cell.Cancel{ID: testJob}})
			}
			k := running[0].Task
			r.requestStop(r.ctx, se, k, se.runs[k], causeStalled)
			qt.Check(t, se.runs[k].stopSent, qt.Equals, c.sent)
		})
	}
}

// TestUnansweredServiceStartIsKept checks that a service task whose start got no
// reply, and whose stop has to wait, is kept once its worker lists it.
func TestUnansweredServiceStartIsKept(t *testing.T) {
	r := newRig(t, cell.Step{Count: 2, Need: model.Resources{MilliCPU: 1000}, Service: true, MaxUnavailable: 1})
	r.lead()
	r.deliverReply(RenewReply{ClockMillis: 1000})
	k := r.place(0, 1)
	r.startRun(r.ctx, &cell.Start{Task: k, Run: 1, Worker: testWorker, Born: 1}, "", "", "")
	se := r.sessions[testWorker]
	r.onStartReply(r.ctx, se, k, se.runs[k], errNoReply)
	qt.Assert(t, se.runs[k].status, qt.Equals, runUnconfirmed)
	qt.Assert(t, se.runs[k].stopSent, qt.IsFalse)
	r.clock.Advance(time.Second)
	r.deliverReply(RenewReply{ClockMillis: 2000, Running: []RunningTask{{Task: k, Run: 1, Percent: 100}}})
	qt.Check(t, se.runs[k].status, qt.Equals, runStarted)
	qt.Check(t, se.runs[k].stopRequestedAt == 0, qt.IsTrue)
}
