package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/clock"
)

// started places and confirms one run, and returns its key.
func (r *rig) startedRun() cell.TaskKey {
	r.t.Helper()
	r.answer(HoldReply{ClockMillis: 1000})
	k := r.place(0, 1)
	r.startRun(r.ctx, &cell.Start{Task: k, Run: 1, Worker: testWorker, Born: 1}, "", "", "")
	se := r.sessions[testWorker]
	r.started(r.ctx, se, k, se.runs[k], nil)
	return k
}

func TestRunsThatStandStillAreStopped(t *testing.T) {
	for _, c := range []struct {
		name    string
		percent []int
		stopped bool
	}{
		{"works", []int{10, 20, 30, 40, 50, 60}, false},
		{"stands still", []int{10, 20, 20, 20, 20, 20}, true},
		{"is about to end", []int{10, 99, 99, 99, 99, 99}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, oneTask)
			r.lead()
			k := r.startedRun()
			se := r.sessions[testWorker]
			for i, percent := range c.percent {
				r.clock.Advance(time.Second)
				r.answer(HoldReply{
					ClockMillis: int64(2000 + 1000*i), Running: []RunningTask{{Task: k, Run: 1, Percent: percent}},
				})
				r.stopStalled(r.ctx, se, r.now())
			}
			qt.Check(t, se.runs[k].stopSince != 0, qt.Equals, c.stopped)
			qt.Check(t, r.now() < se.blockedUntil, qt.Equals, c.stopped)
		})
	}
}

func TestSlowWorkersAreSuspect(t *testing.T) {
	now := clock.Instant(time.Hour)
	var slow, usual speedRecord
	for i := 0; i < 10; i++ {
		now = now.Add(200 * time.Millisecond)
		slow.learn(-1.5, now)
		usual.learn(0.1, now)
	}
	qt.Check(t, slow.value(now) < slowSpeed, qt.IsTrue)
	qt.Check(t, usual.value(now) > slowSpeed, qt.IsTrue)
	qt.Check(t, slow.value(now.Add(2*speedMemory)), qt.Equals, 1.0, qt.Commentf("a worker without work gets another chance"))
}

func TestOccurrencesAreCreatedWhenDue(t *testing.T) {
	r := newRig(t, oneTask)
	first := time.UnixMilli(1_000_000)
	r.do(&cell.Command{Submit: &cell.Submit{Job: cell.Job{
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
		r.startDue(r.ctx, first.Add(c.after))
		if c.want > before {
			r.runUntil(func() bool { return count() == c.want && !r.creating })
		}
		qt.Check(t, count(), qt.Equals, c.want, qt.Commentf("%v after the first is due", c.after))
	}
}
