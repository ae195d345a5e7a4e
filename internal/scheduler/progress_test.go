package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/clock"
)

// startedRun places and confirms one run, and returns the key of its task.
func (r *rig) startedRun() cell.TaskKey {
	r.t.Helper()
	return r.startedRunFrom("")
}

// startedRunFrom is startedRun for a run that resumes from a checkpoint.
func (r *rig) startedRunFrom(checkpoint string) cell.TaskKey {
	r.t.Helper()
	r.deliverReply(RenewReply{ClockMillis: 1000})
	k := r.place(0, 1)
	r.startRun(r.ctx, &cell.Start{Task: k, Run: 1, Worker: testWorker, Born: 1}, "", checkpoint, "")
	se := r.sessions[testWorker]
	r.onStartReply(r.ctx, se, k, se.runs[k], nil)
	return k
}

func TestStalledRunsAreStopped(t *testing.T) {
	for _, c := range []struct {
		name    string
		percent []int
		stopped bool
	}{
		{"works", []int{10, 20, 30, 40, 50, 60}, false},
		{"makes no progress", []int{10, 20, 20, 20, 20, 20}, true},
		{"is about to end", []int{10, 99, 99, 99, 99, 99}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, oneTask)
			r.lead()
			k := r.startedRun()
			se := r.sessions[testWorker]
			for i, percent := range c.percent {
				r.clock.Advance(time.Second)
				r.deliverReply(RenewReply{
					ClockMillis: int64(2000 + 1000*i), Running: []RunningTask{{Task: k, Run: 1, Percent: percent}},
				})
				r.stopStalled(r.ctx, se, r.now())
			}
			qt.Check(t, se.runs[k].stopRequestedAt != 0, qt.Equals, c.stopped)
			qt.Check(t, r.now() < se.blockedUntil, qt.Equals, c.stopped)
		})
	}
}

// TestSilentWorkersKeepTheirRuns checks that a run is not stopped for want of progress
// while its worker does not reply: the leader then knows nothing of the progress.
func TestSilentWorkersKeepTheirRuns(t *testing.T) {
	r := newRig(t, oneTask)
	r.lead()
	k := r.startedRun()
	se := r.sessions[testWorker]
	for i := range 2 {
		r.clock.Advance(time.Second)
		r.deliverReply(RenewReply{ClockMillis: int64(2000 + 1000*i), Running: []RunningTask{{Task: k, Run: 1, Percent: 10}}})
	}
	for range 20 {
		r.clock.Advance(100 * time.Millisecond)
		r.stopStalled(r.ctx, se, r.now())
	}
	qt.Check(t, se.runs[k].stopRequestedAt, qt.Equals, clock.Instant(0))
}

// TestRunsThatEndedInSilenceAreNotStalled checks that a run that ended while its worker
// was cut off is not stopped as stalled, nor its worker left out, when the first reply
// afterwards belongs to a renewal besides the loop, from which ends are not recorded.
func TestRunsThatEndedInSilenceAreNotStalled(t *testing.T) {
	r := newRig(t, oneTask)
	r.lead()
	k := r.startedRun()
	se := r.sessions[testWorker]
	r.clock.Advance(time.Second)
	r.deliverReply(RenewReply{ClockMillis: 2000, Running: []RunningTask{{Task: k, Run: 1, Percent: 60}}})
	r.clock.Advance(6 * time.Second)
	ended := []FinishedTask{{Number: 1, Task: k, Run: 1, Outcome: cell.OutcomeDone}}
	r.deliverReplyTo(true, RenewReply{ClockMillis: 8000, Finished: ended})
	r.stopStalled(r.ctx, se, r.now())
	qt.Check(t, se.runs[k].stopRequestedAt, qt.Equals, clock.Instant(0))
	qt.Check(t, r.now() < se.blockedUntil, qt.IsFalse)
	r.deliverReply(RenewReply{ClockMillis: 8100, Finished: ended})
	r.runUntil(func() bool { return len(r.endsOf(k)) > 0 || se.runs[k] == nil || se.runs[k].ending })
}

func TestSlowWorkersAreSuspect(t *testing.T) {
	now := clock.Instant(time.Hour)
	var slow, usual speedEstimate
	for i := 0; i < 10; i++ {
		now = now.Add(200 * time.Millisecond)
		slow.add(-1.5, now)
		usual.add(0.1, now)
	}
	qt.Check(t, slow.value(now) < suspectSpeed, qt.IsTrue)
	qt.Check(t, usual.value(now) > suspectSpeed, qt.IsTrue)
	qt.Check(t, slow.value(now.Add(2*speedSampleMaxAge)), qt.Equals, 1.0, qt.Commentf("the estimate expires on a worker without samples"))
}

func TestOccurrencesAreCreatedWhenDue(t *testing.T) {
	r := newRig(t, oneTask)
	first := time.UnixMilli(1_000_000)
	r.apply(&cell.Command{Submit: &cell.Submit{Job: cell.Job{
		ID: "00000000000000bb", Queue: "q", Workspace: "a", Steps: []cell.Step{oneTask},
		Schedule: cell.Schedule{Times: 2, FirstUnixMillis: first.UnixMilli(), IntervalMillis: 1000},
	}}})
	r.lead()
	count := func() (n int) {
		r.state.Read(func() { n = len(r.state.Jobs["00000000000000bb"].Occurrences) })
		return n
	}
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{-time.Millisecond, 0}, {0, 1}, {999 * time.Millisecond, 1}, {time.Second, 2}, {time.Hour, 2}} {
		before := count()
		r.createDueOccurrences(r.ctx, first.Add(c.after))
		if c.want > before {
			r.runUntil(func() bool { return count() == c.want && !r.creatingOccurrences })
		}
		qt.Check(t, count(), qt.Equals, c.want, qt.Commentf("%v after the first occurrence is due", c.after))
	}
}

// TestStalledGangsBlockTheWorkerAtFault guards against a gang of which one worker is frozen,
// and for which all other workers get no tasks for 3 s: the members proceed at the pace of
// the slowest, so that none makes progress. It plays a gang of 20 tasks on 20 workers. If
// all workers answer, it isn't known which is at fault.
func TestStalledGangsBlockTheWorkerAtFault(t *testing.T) {
	for _, frozen := range []bool{true, false} {
		const members = 20
		r := newRig(t, cell.Step{Count: members, Need: twoCores, EstimateMillis: 5000, Gang: true})
		worker := func(i int) cell.WorkerID { return cell.WorkerID(fmt.Sprint("g", i)) }
		var starts []cell.Start
		for i := range members {
			r.apply(&cell.Command{Workers: &cell.Workers{Seen: []cell.Worker{{ID: worker(i), Born: 1, Addr: fmt.Sprint("10.0.0.", i+2, ":1"), Pool: "p", Capacity: twoCores}}}})
			starts = append(starts, cell.Start{Task: cell.TaskKey{Job: testJob, Index: i}, Run: 1, Worker: worker(i), Born: 1})
		}
		r.lead()
		r.apply(&cell.Command{Leadership: r.term.Load(), Starts: &cell.Starts{Starts: starts}})
		r.syncSessions(r.ctx)
		for i := range members {
			r.sessions[worker(i)].runs[starts[i].Task].status = runStarted
		}
		for range 4 {
			r.clock.Advance(time.Second)
			for i := range members {
				if frozen && i == 7 {
					continue
				}
				se := r.sessions[worker(i)]
				running := []RunningTask{{Task: starts[i].Task, Run: 1, Percent: 30}}
				r.onRenewalReply(r.ctx, se, &renewal{
					target: se.target, order: RenewOrder{Fence: se.fence}, sent: r.now(), reply: &RenewReply{ClockMillis: r.now().Sub(0).Milliseconds(), Running: running},
				})
			}
		}
		blocked, stopped := 0, 0
		for i := range members {
			se := r.sessions[worker(i)]
			r.stopStalled(r.ctx, se, r.now())
			if r.now() < se.blockedUntil {
				blocked++
			}
			if se.runs[starts[i].Task].stopRequestedAt != 0 {
				stopped++
			}
		}
		if frozen {
			qt.Check(t, []int{stopped, blocked}, qt.DeepEquals, []int{members - 1, 0})
		} else {
			qt.Check(t, []int{stopped, blocked}, qt.DeepEquals, []int{members, members})
		}
	}
}
