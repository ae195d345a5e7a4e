package scheduler

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/cell/plan"
	"kumquatwing/internal/model"
)

var (
	twoCores       = model.Resources{MilliCPU: 2000}
	lossyTask      = cell.Step{Count: 1, Need: twoCores, EstimateMillis: 10000}
	savingTask     = cell.Step{Count: 1, Need: twoCores, EstimateMillis: 10000, Checkpoints: true}
	errOutcomeLate = errors.New("commit timed out")
)

// lossesAfter commits the collected ends and returns the core-seconds lost by cause.
func (r *rig) lossesAfter() map[string]int64 {
	r.t.Helper()
	r.commitEnds(r.ctx)
	r.runUntil(func() bool { return r.ends.inFlight == 0 })
	r.settleLosses(r.now())
	return r.lost.rounded()
}

// gangJob is a job for which preemptFor preempts.
const gangJob cell.JobID = "00000000000000cc"

// preemptFor preempts a run for another job, which then starts.
func (r *rig) preemptFor(k cell.TaskKey) {
	r.submitGang()
	r.preempt(r.ctx, &plan.Stop{Worker: testWorker, Task: k, Run: 1, For: cell.StepKey{Job: gangJob}})
	r.startGang()
}

func (r *rig) submitGang() {
	r.apply(&cell.Command{Submit: &cell.Submit{Job: cell.Job{ID: gangJob, Queue: "q", Workspace: "a", Steps: []cell.Step{oneTask}}}})
}

func (r *rig) startGang() {
	start := cell.Start{Task: cell.TaskKey{Job: gangJob}, Run: 1, Worker: testWorker, Born: 1}
	r.apply(&cell.Command{Leadership: r.term.Load(), Starts: &cell.Starts{Starts: []cell.Start{start}}})
}

// finish delivers a reply that lists the end of a run.
func (r *rig) finish(k cell.TaskKey, outcome cell.Outcome, checkpoint string) {
	r.deliverReply(RenewReply{ClockMillis: 20000, Finished: []FinishedTask{{Number: 1, Task: k, Run: 1, Outcome: outcome, Checkpoint: checkpoint}}})
}

// TestLossesHaveTheCauseOfTheStop guards against losses that are counted under another
// decision than the one that caused them. Each run has two cores for 3 s before it is
// stopped, and ends 1 s later.
func TestLossesHaveTheCauseOfTheStop(t *testing.T) {
	for _, c := range []struct {
		name    string
		stop    func(r *rig, se *session, k cell.TaskKey)
		outcome cell.Outcome
		want    map[string]int64
	}{
		{"preempted", func(r *rig, _ *session, k cell.TaskKey) {
			r.preemptFor(k)
		}, cell.OutcomeStopped, map[string]int64{"preempted": 8}},
		{"stalled", func(r *rig, se *session, k cell.TaskKey) {
			r.deliverReply(RenewReply{ClockMillis: 4000, Running: []RunningTask{{Task: k, Run: 1}}})
			r.stopStalled(r.ctx, se, r.now())
		}, cell.OutcomeStopped, map[string]int64{"stalled": 8}},
		{"cancelled", func(r *rig, _ *session, _ cell.TaskKey) {
			r.apply(&cell.Command{Cancel: &cell.Cancel{ID: testJob}})
			r.syncSessions(r.ctx)
		}, cell.OutcomeStopped, map[string]int64{"cancelled": 8}},
		{"unconfirmed", func(r *rig, se *session, k cell.TaskKey) {
			r.onStartReply(r.ctx, se, k, se.runs[k], errNoReply)
		}, cell.OutcomeStopped, map[string]int64{"unconfirmed": 8}},
		{"preempted and then cancelled", func(r *rig, _ *session, k cell.TaskKey) {
			r.preemptFor(k)
			r.apply(&cell.Command{Cancel: &cell.Cancel{ID: testJob}})
			r.syncSessions(r.ctx)
		}, cell.OutcomeStopped, map[string]int64{"preempted": 8}},
		{"preempted and done before that", func(r *rig, _ *session, k cell.TaskKey) {
			r.preemptFor(k)
		}, cell.OutcomeDone, map[string]int64{}},
		{"stopped by an earlier leader", func(*rig, *session, cell.TaskKey) {}, cell.OutcomeStopped, map[string]int64{"earlier-leader": 8}},
		{"failed", func(*rig, *session, cell.TaskKey) {}, cell.OutcomeFailed, map[string]int64{"failed": 8}},
		{"lapsed", func(*rig, *session, cell.TaskKey) {}, cell.OutcomeLeaseExpired, map[string]int64{"lease": 8}},
		{"broken", func(*rig, *session, cell.TaskKey) {}, cell.OutcomeBroken, map[string]int64{"gang-member": 8}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, lossyTask)
			r.lead()
			k := r.startedRun()
			se := r.sessions[testWorker]
			r.clock.Advance(3 * time.Second)
			c.stop(r, se, k)
			r.clock.Advance(time.Second)
			r.finish(k, c.outcome, "")
			qt.Check(t, r.lossesAfter(), qt.DeepEquals, c.want)
		})
	}
}

// TestSavedWorkIsNotLost checks from when the work of a run counts that ends 9 s after its
// confirmation, whose worker has listed the checkpoint c1 after 4 s.
func TestSavedWorkIsNotLost(t *testing.T) {
	for _, c := range []struct {
		name       string
		outcome    cell.Outcome
		checkpoint string
		want       map[string]int64
	}{
		{"none in the end", cell.OutcomeStopped, "", map[string]int64{"preempted": 18}},
		{"the listed one", cell.OutcomeStopped, "c1", map[string]int64{"preempted": 10}},
		{"one saved by the stop", cell.OutcomeStopped, "c2", map[string]int64{}},
		{"one saved after the last listing", cell.OutcomeFailed, "c2", map[string]int64{"failed": 6}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, savingTask)
			r.lead()
			k := r.startedRun()
			for i, at := range []int64{4, 6} {
				r.clock.Advance([]time.Duration{4 * time.Second, 2 * time.Second}[i])
				r.deliverReply(RenewReply{ClockMillis: at * 1000, Running: []RunningTask{{Task: k, Run: 1, Percent: int(at), Checkpoint: "c1"}}})
			}
			r.preemptFor(k)
			r.clock.Advance(3 * time.Second)
			r.finish(k, c.outcome, c.checkpoint)
			qt.Check(t, r.lossesAfter(), qt.DeepEquals, c.want)
		})
	}
}

// TestLossesWithWorkers checks the causes of losses with workers that have gone. A start
// that was never confirmed loses nothing.
func TestLossesWithWorkers(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(r *rig, se *session, k cell.TaskKey)
		want map[string]int64
	}{
		{"lease expired", func(r *rig, se *session, _ cell.TaskKey) {
			r.clock.Advance(16 * time.Second)
			r.declareExpiredRunsLost(se, r.now())
		}, map[string]int64{"lease": 40}},
		{"lease expired after a shutdown was announced", func(r *rig, se *session, _ cell.TaskKey) {
			se.draining = true
			r.clock.Advance(16 * time.Second)
			r.declareExpiredRunsLost(se, r.now())
		}, map[string]int64{"shutdown": 40}},
		{"run no longer listed", func(r *rig, _ *session, _ cell.TaskKey) {
			r.deliverReply(RenewReply{ClockMillis: 6000})
		}, map[string]int64{"missing": 8}},
		{"incarnation ended", func(r *rig, se *session, _ cell.TaskKey) {
			r.recordIncarnationGone(r.ctx, se)
			r.runUntil(func() bool { return !se.lost })
		}, map[string]int64{"worker-ended": 8}},
		{"never confirmed and not listed", func(r *rig, se *session, k cell.TaskKey) {
			se.runs[k].confirmedAt, se.runs[k].status, se.runs[k].stopAcceptedAt = 0, runUnconfirmed, r.now()
			r.clock.Advance(time.Second)
			r.deliverReply(RenewReply{ClockMillis: 6000})
		}, map[string]int64{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, lossyTask)
			r.lead()
			k := r.startedRun()
			r.clock.Advance(4 * time.Second)
			c.end(r, r.sessions[testWorker], k)
			qt.Check(t, r.lossesAfter(), qt.DeepEquals, c.want)
		})
	}
}

// TestGangLosses checks that members that break off because of a stalled one are counted
// apart from it, and none after a member is done, which finishes the gang.
func TestGangLosses(t *testing.T) {
	gang := cell.Step{Count: 3, Need: twoCores, EstimateMillis: 10000, Gang: true}
	for _, c := range []struct {
		name     string
		outcomes []cell.Outcome
		want     map[string]int64
	}{
		{"one is stopped", []cell.Outcome{cell.OutcomeStopped, cell.OutcomeBroken, cell.OutcomeBroken}, map[string]int64{"stalled": 6, "gang-member": 12}},
		{"one is done", []cell.Outcome{cell.OutcomeDone, cell.OutcomeStopped, cell.OutcomeStopped}, map[string]int64{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, gang)
			r.lead()
			r.deliverReply(RenewReply{ClockMillis: 1000})
			var starts []cell.Start
			for i := range c.outcomes {
				starts = append(starts, cell.Start{Task: cell.TaskKey{Job: testJob, Index: i}, Run: 1, Worker: testWorker, Born: 1})
			}
			r.apply(&cell.Command{Leadership: r.term.Load(), Starts: &cell.Starts{Starts: starts}})
			se := r.sessions[testWorker]
			for i := range starts {
				r.startRun(r.ctx, &starts[i], "", "", "")
				r.onStartReply(r.ctx, se, starts[i].Task, se.runs[starts[i].Task], nil)
			}
			r.clock.Advance(3 * time.Second)
			for i, outcome := range c.outcomes {
				k := starts[i].Task
				if outcome == cell.OutcomeStopped && c.want["stalled"] != 0 {
					r.requestStop(r.ctx, se, k, se.runs[k], causeStalled)
				}
				r.deliverReply(RenewReply{ClockMillis: 4000, MoreFinished: true, Finished: []FinishedTask{{Number: int64(i + 1), Task: k, Run: 1, Outcome: outcome}}})
				r.lossesAfter()
			}
			qt.Check(t, r.lost.rounded(), qt.DeepEquals, c.want)
		})
	}
}

// TestLossesAcrossLeaders plays a change of leader halfway through a run. The new leader
// counts from when it first saw the run, and under its own cause if it stops the run.
func TestLossesAcrossLeaders(t *testing.T) {
	for _, stops := range []bool{false, true} {
		r := newRig(t, lossyTask)
		r.lead()
		k := r.startedRun()
		r.clock.Advance(5 * time.Second)
		r.lead()
		r.clock.Advance(time.Second)
		r.deliverReply(RenewReply{ClockMillis: 7000, Running: []RunningTask{{Task: k, Run: 1, Percent: 50}}})
		want := map[string]int64{"earlier-leader": 6}
		if stops {
			r.preemptFor(k)
			want = map[string]int64{"preempted": 6}
		}
		r.clock.Advance(2 * time.Second)
		r.finish(k, cell.OutcomeStopped, "")
		qt.Check(t, r.lossesAfter(), qt.DeepEquals, want)
	}
}

// TestLossesCountOnceCommitted guards against losses that are counted again when an end
// could not be committed and is taken from the next reply.
func TestLossesCountOnceCommitted(t *testing.T) {
	r := newRig(t, lossyTask)
	r.lead()
	k := r.startedRun()
	r.clock.Advance(4 * time.Second)
	r.finish(k, cell.OutcomeFailed, "")
	ends := r.ends.ends
	r.ends = endBatch{inFlight: 1}
	r.onEndsCommitted(ends, nil, errOutcomeLate)
	r.finish(k, cell.OutcomeFailed, "")
	qt.Check(t, r.lossesAfter(), qt.DeepEquals, map[string]int64{"failed": 8})
}

// TestStatusLineHasLossesSinceTheLast checks that each status line has the losses of its
// own interval.
func TestStatusLineHasLossesSinceTheLast(t *testing.T) {
	r := newRig(t, lossyTask)
	core, logs := observer.New(zap.InfoLevel)
	r.cfg.Log = zap.New(core)
	r.lead()
	for _, want := range []map[string]int64{{"failed": 8, "lease": 1}, {}} {
		if len(want) > 0 {
			r.recordLosses([]workLoss{{cause: causeFailed, coreSeconds: 3.5}, {cause: causeFailed, coreSeconds: 4}, {cause: causeLease, coreSeconds: 1}, {}})
		}
		r.logStatus(r.now())
		r.clock.Advance(statusInterval)
		lines := logs.FilterMessage("cell status").TakeAll()
		qt.Assert(t, lines, qt.HasLen, 1)
		qt.Check(t, lines[0].ContextMap()["lost_core_seconds"], qt.DeepEquals, want)
		logs.TakeAll()
	}
}

// TestPreemptionsForNothing guards against preemptions that pass for useful ones although
// the gang that they were made for did not start.
func TestPreemptionsForNothing(t *testing.T) {
	for _, c := range []struct {
		name string
		then func(r *rig)
		want map[string]int64
	}{
		{"it starts", (*rig).startGang, map[string]int64{"preempted": 8}},
		{"it still waits", func(*rig) {}, map[string]int64{}},
		{"it waits for too long", func(r *rig) { r.clock.Advance(beneficiaryTimeout + time.Millisecond) }, map[string]int64{"reserved": 8}},
		{"it is cancelled", func(r *rig) { r.apply(&cell.Command{Cancel: &cell.Cancel{ID: gangJob}}) }, map[string]int64{"reserved": 8}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, lossyTask)
			r.lead()
			k := r.startedRun()
			r.submitGang()
			r.clock.Advance(3 * time.Second)
			r.preempt(r.ctx, &plan.Stop{Worker: testWorker, Task: k, Run: 1, For: cell.StepKey{Job: gangJob}})
			r.clock.Advance(time.Second)
			r.finish(k, cell.OutcomeStopped, "")
			qt.Check(t, r.lossesAfter(), qt.HasLen, 0)
			c.then(r)
			r.settleLosses(r.now())
			qt.Check(t, r.lost.rounded(), qt.DeepEquals, c.want)
			for range 2 {
				r.settleLosses(r.now())
			}
			qt.Check(t, r.lost.rounded(), qt.DeepEquals, c.want, qt.Commentf("each loss counts once"))
		})
	}
}
