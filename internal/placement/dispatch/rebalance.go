package dispatch

import (
	"slices"
	"strings"

	"kumquatwing/internal/model"
)

// Bounds of rebalancing.
const (
	// rebalanceAfterMillis is how long a job waits before it may be handed on.
	rebalanceAfterMillis = 5000
	// spareParts is the part of a data centre, one in so many, that is left free
	// by rebalancing, for jobs that arrive there.
	spareParts = 10
)

// Waiting is a job's tasks that wait in a data centre and hold nothing there.
type Waiting struct {
	Spec *model.JobSpec
	DC   model.DCID
	// Tasks is how many wait; Running how many of the job run in DC.
	Tasks   int
	Running int
	// SinceMillis is since when they wait, on the caller's clock.
	SinceMillis int64
}

// Move hands a job's waiting tasks from one data centre to another.
type Move struct {
	Job  model.JobID
	From model.DCID
	To   model.DCID
	// Tasks is how many are handed on.
	Tasks int
}

// Rebalance hands on tasks that wait where there is no room to data centres
// that have room and where nothing waits, so that one that has come back is
// filled again. Those that wait longest go first; at most bound tasks are moved
// at a time, but for a gang, which is never split. Jobs of which tasks run stay
// together where they are.
func Rebalance(now int64, waiting []Waiting, dcs []DCView, bound int) []Move {
	waiting = slices.Clone(waiting)
	slices.SortFunc(waiting, compareWaiting)
	var moves []Move
	room := newRooms(dcs)
	for i := range waiting {
		w := &waiting[i]
		if bound <= 0 {
			break
		}
		if w.Running > 0 || now-w.SinceMillis < rebalanceAfterMillis {
			continue
		}
		m, ok := room.move(w, bound)
		if !ok {
			continue
		}
		bound -= m.Tasks
		moves = append(moves, m)
	}
	return moves
}

func compareWaiting(a, b Waiting) int {
	if a.SinceMillis != b.SinceMillis {
		return int(max(min(a.SinceMillis-b.SinceMillis, 1), -1))
	}
	if d := strings.Compare(string(a.Spec.ID), string(b.Spec.ID)); d != 0 {
		return d
	}
	return strings.Compare(string(a.DC), string(b.DC))
}

// rooms is what is left of the data centres that take tasks from others.
type rooms struct {
	views []DCView
	free  []model.Resources
}

func newRooms(dcs []DCView) *rooms {
	r := &rooms{views: slices.Clone(dcs)}
	slices.SortFunc(r.views, func(a, b DCView) int { return strings.Compare(string(a.ID), string(b.ID)) })
	for i := range r.views {
		v := &r.views[i]
		spare := sizeOf(v)
		spare = model.Resources{MilliCPU: spare.MilliCPU / spareParts, MemoryMB: spare.MemoryMB / spareParts}
		r.free = append(r.free, v.Free.Sub(v.Waiting).Sub(spare))
	}
	return r
}

// move finds the data centre with the most room for w's tasks.
func (r *rooms) move(w *Waiting, bound int) (Move, bool) {
	spec := *w.Spec
	spec.Tasks = w.Tasks
	if spec.Class != model.ClassGang {
		spec.Tasks = min(spec.Tasks, bound)
	}
	need := spec.Size.Scale(int64(spec.Tasks))
	best := -1
	for i := range r.views {
		v := &r.views[i]
		if v.ID == w.DC || !v.Waiting.IsZero() || !need.Fits(r.free[i]) {
			continue
		}
		c := newChooser(&spec, r.views[i:i+1])
		if len(c.open) == 0 {
			continue
		}
		if best < 0 || r.free[i].MilliCPU > r.free[best].MilliCPU {
			best = i
		}
	}
	if best < 0 {
		return Move{}, false
	}
	r.free[best] = r.free[best].Sub(need)
	return Move{Job: spec.ID, From: w.DC, To: r.views[best].ID, Tasks: spec.Tasks}, true
}
