package workerapi_test

import (
	"cmp"
	"flag"
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"kumquatwing/internal/api"
	"kumquatwing/internal/model"
	"kumquatwing/internal/verdict"
	"kumquatwing/internal/workerapi"
)

func init() { flag.Set("rapid.seed", "20261204") }

func sortedTasks(r *api.WorkerReport) []api.TaskReport {
	return slices.SortedFunc(slices.Values(r.Tasks), func(a, b api.TaskReport) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
	})
}

// drawReport draws a report with some of five tasks.
func drawReport(t *rapid.T, seq uint64) *api.WorkerReport {
	r := &api.WorkerReport{Worker: "w", Incarnation: "i", Seq: seq, Size: size}
	for i := range 5 {
		if !rapid.Bool().Draw(t, "held") {
			continue
		}
		task := running(model.TaskID(fmt.Sprintf("j.%d", i)), rapid.Uint32Range(1, 2).Draw(t, "attempt"))
		task.CheckpointMillis = 10_000 * rapid.Int64Range(0, 2).Draw(t, "checkpoint")
		if rapid.Bool().Draw(t, "ended") {
			task.State = model.TaskEnded
		}
		r.Tasks = append(r.Tasks, task)
	}
	return r
}

// TestApplyDeltaRestoresFullReport checks that applying a delta to its base gives
// the report that the delta was made from.
func TestApplyDeltaRestoresFullReport(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, next := drawReport(t, 1), drawReport(t, 2)
		delta := workerapi.Delta(base, next)
		got := workerapi.ApplyDelta(base, delta)
		if !slices.Equal(sortedTasks(got), sortedTasks(next)) {
			t.Fatalf("got %v, want %v", got.Tasks, next.Tasks)
		}
		if got.Seq != next.Seq || got.Base != 0 || got.Gone != nil {
			t.Fatalf("merged report is not a full report: %+v", got)
		}
		if empty := workerapi.Delta(next, next); len(empty.Tasks)+len(empty.Gone) > 0 {
			t.Fatalf("delta of an unchanged report is not empty: %v", empty)
		}
	})
}

// TestDeltaNeedsItsBase sends delta reports whose base is not the newest report
// that the leader has accepted. Without the check the leader would merge them
// into a different report.
func TestDeltaNeedsItsBase(t *testing.T) {
	tests := []struct {
		name        string
		base        uint64
		incarnation string
		newLeader   bool
		refused     bool
	}{
		{name: "the newest report", base: 2, incarnation: "i1"},
		{name: "an older report", base: 1, incarnation: "i1", refused: true},
		{name: "a lost report", base: 3, incarnation: "i1", refused: true},
		{name: "a report of another incarnation", base: 2, incarnation: "i2", refused: true},
		{name: "a report to another leader", base: 2, incarnation: "i1", newLeader: true, refused: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture()
			if tt.newLeader {
				f.replaceLeader(2)
			}
			r := f.emptyReport(4)
			r.Base, r.Incarnation = tt.base, tt.incarnation
			_, err := f.report(r)
			if !tt.refused {
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, f.state.Task("j.0").State, qt.Equals, model.TaskRunning)
				return
			}
			qt.Assert(t, verdict.FromError(err).Reason, qt.Equals, workerapi.ReasonFullReportRequired)
			qt.Assert(t, verdict.FromError(err).Verdict, qt.Equals, verdict.NotRun)
			if tt.newLeader {
				return
			}
			f.leader.Skip(workerapi.SkipBase)
			_, err = f.report(r)
			qt.Assert(t, err, qt.IsNil)
		})
	}
}

// TestCheckpointProgressIsReportedInSteps checks that a delta leaves out checkpoint
// progress below one step, unless it goes back or the run has ended.
func TestCheckpointProgressIsReportedInSteps(t *testing.T) {
	report := func(seq uint64, millis int64, state model.TaskState) *api.WorkerReport {
		task := running("j.0", 1)
		task.CheckpointMillis, task.State = millis, state
		return &api.WorkerReport{Worker: "w", Seq: seq, Tasks: []api.TaskReport{task}}
	}
	base := report(1, 5000, model.TaskRunning)
	for _, tt := range []struct {
		name   string
		next   *api.WorkerReport
		listed int
	}{
		{"less than a step", report(2, 14_999, model.TaskRunning), 0},
		{"one step", report(2, 15_000, model.TaskRunning), 1},
		{"backwards", report(2, 4999, model.TaskRunning), 1},
		{"less than a step and ended", report(2, 6000, model.TaskEnded), 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			delta := workerapi.Delta(base, tt.next)
			qt.Assert(t, delta.Tasks, qt.HasLen, tt.listed)
			if tt.listed > 0 {
				qt.Assert(t, workerapi.ApplyDelta(base, delta).Tasks, qt.DeepEquals, tt.next.Tasks)
			}
		})
	}
}

func TestRunsInGoneEnd(t *testing.T) {
	f := newFixture()
	r := f.emptyReport(3)
	r.Base, r.Gone = 2, []api.RunID{{Task: "j.0", Attempt: 1}}
	_, err := f.report(r)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, f.state.Task("j.0").State, qt.Not(qt.Equals), model.TaskRunning)
}

// TestLostBaseHidesEndWithoutCheck loses report 3, in which j.0 no longer runs,
// and sends report 4 as an empty delta to it. Without the check of the base the
// leader merges report 4 into report 2 and keeps j.0 running.
func TestLostBaseHidesEndWithoutCheck(t *testing.T) {
	for _, skip := range []bool{false, true} {
		f := newFixture()
		if skip {
			f.leader.Skip(workerapi.SkipBase)
		}
		r := f.emptyReport(4)
		r.Base = 3
		f.report(r)
		r = f.emptyReport(5)
		r.Base = 4
		if _, err := f.report(r); err != nil {
			_, err = f.report(f.emptyReport(6))
			qt.Assert(t, err, qt.IsNil)
		}
		hidden := f.state.Task("j.0").State == model.TaskRunning
		qt.Assert(t, hidden, qt.Equals, skip)
	}
}
