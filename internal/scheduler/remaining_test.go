package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/cell/plan"
)

// listAt delivers listings of a run, one a second, each with the given percentage.
func (r *rig) listAt(k cell.TaskKey, percent ...int) {
	for _, p := range percent {
		r.clock.Advance(time.Second)
		r.deliverReply(RenewReply{ClockMillis: r.now().Sub(0).Milliseconds(), Running: []RunningTask{{Task: k, Run: 1, Percent: p}}})
	}
}

// plannedWorker returns the planner's input for the test's worker, with victims.
func (r *rig) plannedWorker() plan.Worker {
	var pw plan.Worker
	r.state.Read(func() {
		r.addVictims(&pw, r.sessions[testWorker], r.state.Workers[testWorker], newVictimCache(), r.now())
	})
	return pw
}

// TestRunsAboutToEndAreNoVictims guards against runs that are stopped for a gang although
// their capacity becomes free as soon without that. It plays batch tasks of some seconds
// that a gang could preempt, on workers that take 400 ms to stop a run.
func TestRunsAboutToEndAreNoVictims(t *testing.T) {
	for _, c := range []struct {
		name     string
		percent  []int
		later    time.Duration
		aboutTo  bool
		resuming string
	}{
		{"halfway", []int{25, 50}, 0, false, ""},
		{"ends in 1 s", []int{30, 60, 80}, 0, false, ""},
		{"ends in 0.3 s", []int{30, 60, 91}, 0, true, ""},
		{"ends in 1 s, listed 0.7 s ago", []int{25, 50, 75}, 700 * time.Millisecond, true, ""},
		{"should have ended long ago", []int{25, 50, 75}, 3 * time.Second, false, ""},
		{"resumed at 92 percent, ends in 1 s", []int{92, 96}, 0, false, "c"},
		{"restores first and then shows the progress of its checkpoint", []int{0, 92, 93}, 0, false, "c"},
		{"no progress listed", []int{0, 0, 0}, 0, false, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, lossyTask)
			r.lead()
			k := r.startedRunFrom(c.resuming)
			r.listAt(k, c.percent...)
			r.clock.Advance(c.later)
			pw := r.plannedWorker()
			qt.Check(t, len(pw.Victims) == 0, qt.Equals, c.aboutTo)
			qt.Check(t, pw.Releasing.MilliCPU == lossyTask.Need.MilliCPU, qt.Equals, c.aboutTo)
		})
	}
}

// TestRunsThatEndBeforeTheShutdownAreKept guards against runs on a draining worker that
// are stopped shortly before they end, and that run on elsewhere after a restore. The
// worker shuts down 700 ms after the last listing, which is when its runs are stopped.
func TestRunsThatEndBeforeTheShutdownAreKept(t *testing.T) {
	for _, c := range []struct {
		name    string
		percent []int
		stopped bool
	}{
		{"ends in 0.25 s", []int{31, 62, 93}, false},
		{"ends in 0.5 s", []int{29, 58, 86}, true},
		{"halfway", []int{25, 50}, true},
		{"no progress listed", []int{0, 0}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, savingTask)
			r.lead()
			k := r.startedRun()
			se := r.sessions[testWorker]
			r.listAt(k, c.percent...)
			se.draining, se.shutdownAt = true, r.now().Add(r.cfg.Bounds.StopTimeout+shutdownMargin)
			r.stopBeforeShutdown(r.ctx, se, r.now())
			qt.Check(t, se.runs[k].stopRequestedAt != 0, qt.Equals, c.stopped)
		})
	}
}

// TestInheritedRunsKeepTheirCost guards against a new leader that takes runs for new ones
// which its predecessor started long ago, and preempts these first.
func TestInheritedRunsKeepTheirCost(t *testing.T) {
	r := newRig(t, lossyTask)
	r.lead()
	k := r.startedRun()
	r.listAt(k, 10, 20, 30, 40, 50)
	r.lead()
	r.deliverReply(RenewReply{ClockMillis: 7000, Running: []RunningTask{{Task: k, Run: 1, Percent: 50}}})
	victims := r.plannedWorker().Victims
	qt.Assert(t, victims, qt.HasLen, 1)
	qt.Check(t, victims[0].LostWork, qt.Equals, 10000.0)
}
