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

func drawReport(t *rapid.T, seq uint64) *api.WorkerReport {
	r := &api.WorkerReport{Worker: "w", Incarnation: "i", Seq: seq, Size: size}
	for i := range 5 {
		if !rapid.Bool().Draw(t, "held") {
			continue
		}
		task := running(model.TaskID(fmt.Sprintf("j.%d", i)), rapid.Uint32Range(1, 2).Draw(t, "attempt"))
		task.CheckpointMillis = rapid.Int64Range(0, 2).Draw(t, "checkpoint")
		if rapid.Bool().Draw(t, "ended") {
			task.State = model.TaskEnded
		}
		r.Tasks = append(r.Tasks, task)
	}
	return r
}

func TestChangesStandForTheWholeReport(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, next := drawReport(t, 1), drawReport(t, 2)
		sent := workerapi.Changes(base, next)
		got := workerapi.Merge(base, sent)
		if !slices.Equal(sortedTasks(got), sortedTasks(next)) {
			t.Fatalf("got %v, want %v", got.Tasks, next.Tasks)
		}
		if got.Seq != next.Seq || got.Base != 0 || got.Gone != nil {
			t.Fatalf("not a whole report: %+v", got)
		}
		if same := workerapi.Changes(next, next); len(same.Tasks)+len(same.Gone) > 0 {
			t.Fatalf("an unchanged report lists %v", same)
		}
	})
}

// TestChangesNeedTheirBase sends changes to reports that the leader doesn't
// have as the newest. Without the check it would go on from the wrong one.
func TestChangesNeedTheirBase(t *testing.T) {
	tests := []struct {
		name        string
		base        uint64
		incarnation string
		newLeader   bool
		refused     bool
	}{
		{name: "the newest", base: 2, incarnation: "i1"},
		{name: "an older one", base: 1, incarnation: "i1", refused: true},
		{name: "one that was lost", base: 3, incarnation: "i1", refused: true},
		{name: "another incarnation's", base: 2, incarnation: "i2", refused: true},
		{name: "one that another leader took", base: 2, incarnation: "i1", newLeader: true, refused: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench()
			if tt.newLeader {
				b.lead(2)
			}
			r := b.base(4)
			r.Base, r.Incarnation = tt.base, tt.incarnation
			_, err := b.report(r)
			if !tt.refused {
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, b.state.Task("j.0").State, qt.Equals, model.TaskRunning)
				return
			}
			qt.Assert(t, verdict.From(err).Reason, qt.Equals, workerapi.ReasonWholeWanted)
			qt.Assert(t, verdict.From(err).Verdict, qt.Equals, verdict.NotRun)
			if tt.newLeader {
				return
			}
			b.leader.Skip(workerapi.SkipBase)
			_, err = b.report(r)
			qt.Assert(t, err, qt.IsNil)
		})
	}
}

func TestGoneRunsEnd(t *testing.T) {
	b := newBench()
	r := b.base(3)
	r.Base, r.Gone = 2, []api.RunID{{Task: "j.0", Attempt: 1}}
	_, err := b.report(r)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, b.state.Task("j.0").State, qt.Not(qt.Equals), model.TaskRunning)
}

// TestLostBaseWouldHideAnEnd shows what the check is for: report 3, in which
// j.0 is gone, was lost, and report 4 says that nothing changed since.
func TestLostBaseWouldHideAnEnd(t *testing.T) {
	for _, skip := range []bool{false, true} {
		b := newBench()
		if skip {
			b.leader.Skip(workerapi.SkipBase)
		}
		r := b.base(4)
		r.Base = 3
		b.report(r)
		r = b.base(5)
		r.Base = 4
		if _, err := b.report(r); err != nil {
			_, err = b.report(b.base(6))
			qt.Assert(t, err, qt.IsNil)
		}
		hidden := b.state.Task("j.0").State == model.TaskRunning
		qt.Assert(t, hidden, qt.Equals, skip)
	}
}
