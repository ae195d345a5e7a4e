package dispatch

import (
	"slices"
	"strings"

	"kumquatwing/internal/model"
)

// Parameters of rebalancing.
const (
	// rebalanceAfterMillis is how long a job waits before its tasks may be
	// moved.
	rebalanceAfterMillis = 5000
	// spareDivisor sets the capacity that rebalancing leaves free in a data
	// centre for the jobs that arrive there: the size of the data centre
	// divided by it.
	spareDivisor = 10
)

// WaitingJob holds the tasks of a job that wait in a data centre and hold no
// capacity there.
type WaitingJob struct {
	Spec *model.JobSpec
	DC   model.DCID
	// Tasks is the number of waiting tasks, Running the number of the job's
	// tasks that run in DC.
	Tasks   int
	Running int
	// SinceMillis is when the tasks began to wait, by the caller's clock.
	SinceMillis int64
}

// Move is the transfer of waiting tasks of a job to another data centre.
type Move struct {
	Job  model.JobID
	From model.DCID
	To   model.DCID
	// Tasks is the number of tasks to move.
	Tasks int
}

// Rebalance moves tasks from data centres in which they wait for capacity to
// data centres that have free capacity and no waiting tasks, so that a data
// centre that returns to service is used again. Tasks that have waited longest
// are moved first, and at most bound tasks in one call; a gang is never split
// and may exceed the bound. Jobs with running tasks in a data centre stay
// there.
func Rebalance(now int64, waiting []WaitingJob, dcs []DCView, bound int) []Move {
	waiting = slices.Clone(waiting)
	slices.SortFunc(waiting, compareWaiting)
	var moves []Move
	targets := newTargets(dcs)
	for i := range waiting {
		w := &waiting[i]
		if bound <= 0 {
			break
		}
		if w.Running > 0 || now-w.SinceMillis < rebalanceAfterMillis {
			continue
		}
		m, ok := targets.move(w, bound)
		if !ok {
			continue
		}
		bound -= m.Tasks
		moves = append(moves, m)
	}
	return moves
}

func compareWaiting(a, b WaitingJob) int {
	if a.SinceMillis != b.SinceMillis {
		return int(max(min(a.SinceMillis-b.SinceMillis, 1), -1))
	}
	if d := strings.Compare(string(a.Spec.ID), string(b.Spec.ID)); d != 0 {
		return d
	}
	return strings.Compare(string(a.DC), string(b.DC))
}

// targets holds the capacity left in the data centres that may take tasks from
// others.
type targets struct {
	views []DCView
	free  []model.Resources
}

func newTargets(dcs []DCView) *targets {
	t := &targets{views: slices.Clone(dcs)}
	slices.SortFunc(t.views, func(a, b DCView) int { return strings.Compare(string(a.ID), string(b.ID)) })
	for i := range t.views {
		v := &t.views[i]
		spare := totalSize(v)
		spare = model.Resources{MilliCPU: spare.MilliCPU / spareDivisor, MemoryMB: spare.MemoryMB / spareDivisor}
		t.free = append(t.free, v.Free.Sub(v.Waiting).Sub(spare))
	}
	return t
}

// move returns the move of w's tasks to the data centre with the most free CPU,
// or false if none can take them.
func (t *targets) move(w *WaitingJob, bound int) (Move, bool) {
	spec := *w.Spec
	spec.Tasks = w.Tasks
	if spec.Class != model.ClassGang {
		spec.Tasks = min(spec.Tasks, bound)
	}
	need := spec.Size.Scale(int64(spec.Tasks))
	best := -1
	for i := range t.views {
		v := &t.views[i]
		if v.ID == w.DC || !v.Waiting.IsZero() || !need.Fits(t.free[i]) {
			continue
		}
		c := newChooser(&spec, t.views[i:i+1])
		if len(c.candidates) == 0 {
			continue
		}
		if best < 0 || t.free[i].MilliCPU > t.free[best].MilliCPU {
			best = i
		}
	}
	if best < 0 {
		return Move{}, false
	}
	t.free[best] = t.free[best].Sub(need)
	return Move{Job: spec.ID, From: w.DC, To: t.views[best].ID, Tasks: spec.Tasks}, true
}
