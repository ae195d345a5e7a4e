package dispatch

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/model"
)

func waitingOf(class model.Class, tasks int, milliCPU int64) WaitingJob {
	return WaitingJob{Spec: specOf(class, tasks, milliCPU), DC: "a", Tasks: tasks}
}

func TestRebalance(t *testing.T) {
	busy := dcOf("a", 0)
	busy.Waiting = model.Resources{MilliCPU: 1000}
	back, out, queued := dcOf("b", 64_000), dcOf("b", 64_000), dcOf("b", 64_000)
	out.Out = true
	queued.Waiting = model.Resources{MilliCPU: 1000}
	running := waitingOf(model.ClassBatch, 2, 1000)
	running.Running = 1
	late := waitingOf(model.ClassBatch, 2, 1000)
	late.SinceMillis = rebalanceAfterMillis
	cases := []struct {
		name    string
		waiting WaitingJob
		to      DCView
		bound   int
		moved   int
	}{
		{"to free capacity", waitingOf(model.ClassBatch, 8, 1000), back, 100, 8},
		{"bounded", waitingOf(model.ClassBatch, 8, 1000), back, 3, 3},
		{"whole gang beyond the bound", waitingOf(model.ClassGang, 4, 1000), back, 3, 4},
		{"leaves spare capacity", waitingOf(model.ClassGang, 4, 15_000), back, 100, 0},
		{"not to a data centre with waiting tasks", waitingOf(model.ClassBatch, 2, 1000), queued, 100, 0},
		{"not to a data centre out of service", waitingOf(model.ClassBatch, 2, 1000), out, 100, 0},
		{"not to workers that are too small", waitingOf(model.ClassBatch, 1, 17_000), back, 100, 0},
		{"not while tasks run", running, back, 100, 0},
		{"not before the minimum wait", late, back, 100, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			moves := Rebalance(rebalanceAfterMillis, []WaitingJob{tc.waiting}, []DCView{tc.to, busy}, tc.bound)
			if tc.moved == 0 {
				qt.Assert(t, moves, qt.HasLen, 0)
				return
			}
			qt.Assert(t, moves, qt.DeepEquals, []Move{{Job: "j", From: "a", To: "b", Tasks: tc.moved}})
		})
	}
}

func TestRebalanceCountsItsOwnMoves(t *testing.T) {
	first, second := waitingOf(model.ClassBatch, 1, 16_000), waitingOf(model.ClassBatch, 1, 16_000)
	second.Spec.ID, second.SinceMillis = "k", 1
	to := dcOf("b", 24_000)
	want := Rebalance(10_000, []WaitingJob{first, second}, []DCView{to}, 100)
	qt.Assert(t, want, qt.DeepEquals, []Move{{Job: "j", From: "a", To: "b", Tasks: 1}})
	qt.Assert(t, Rebalance(10_000, []WaitingJob{second, first}, []DCView{to}, 100), qt.DeepEquals, want)
}
