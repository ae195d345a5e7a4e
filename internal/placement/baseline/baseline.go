// Package baseline holds the two simple schedulers that the bench compares
// placement with. They honour room, grants, data centres out and whole gangs,
// and know neither shares, classes, reservations nor preemption.
package baseline

import (
	"cmp"
	"math"
	"slices"

	"kumquatwing/internal/model"
	"kumquatwing/internal/placement"
)

// FirstFit places jobs in the order of arrival, each task on the first worker
// with room. A job that finds none is passed over.
func FirstFit(s *placement.Snapshot) *placement.Plan {
	return decide(s, func(_, _ model.Resources) int64 { return 0 })
}

// BestFit places jobs in the order of arrival, each task on the worker that its
// declared size fills most.
func BestFit(s *placement.Snapshot) *placement.Plan {
	return decide(s, func(left, size model.Resources) int64 {
		const whole = 1000
		return left.MilliCPU*whole/max(size.MilliCPU, 1) + left.MemoryMB*whole/max(size.MemoryMB, 1)
	})
}

// cost rates the room left on a worker of a size; the least is chosen, and the
// first of equals.
type cost func(left, size model.Resources) int64

// state is one plan in the making.
type state struct {
	s    *placement.Snapshot
	cost cost
	free []model.Resources
	// use is by workspace.
	use  map[model.WorkspaceID]*placement.WorkspaceView
	plan placement.Plan
}

func decide(s *placement.Snapshot, c cost) *placement.Plan {
	st := &state{s: s, cost: c, use: make(map[model.WorkspaceID]*placement.WorkspaceView)}
	for i := range s.Workers {
		st.free = append(st.free, s.Workers[i].Free)
	}
	for i := range s.Workspaces {
		t := s.Workspaces[i]
		st.use[t.ID] = &t
	}
	jobs := make([]*placement.JobView, len(s.Jobs))
	for i := range s.Jobs {
		jobs[i] = &s.Jobs[i]
	}
	slices.SortStableFunc(jobs, func(a, b *placement.JobView) int { return cmp.Compare(a.ArrivedMillis, b.ArrivedMillis) })
	for _, j := range jobs {
		st.placeJob(j)
	}
	return &st.plan
}

// placeJob places the job's tasks: all or none of a gang's.
func (st *state) placeJob(j *placement.JobView) {
	first := len(st.plan.Place)
	var taken []int
	for i := range j.Pending {
		if st.full() {
			break
		}
		w := st.placeTask(j, &j.Pending[i])
		if w < 0 {
			break
		}
		taken = append(taken, w)
	}
	if j.Spec.Class != model.ClassGang || len(taken) == len(j.Pending) {
		return
	}
	for _, w := range taken {
		st.move(j, w, 1)
	}
	st.plan.Place = st.plan.Place[:first]
}

func (st *state) full() bool {
	return st.s.Out || st.s.MaxPlacements > 0 && len(st.plan.Place) >= st.s.MaxPlacements
}

// placeTask returns the chosen worker, or -1.
func (st *state) placeTask(j *placement.JobView, p *placement.PendingTask) int {
	t := st.use[j.Spec.Workspace]
	if t == nil || p.NotBeforeMillis > st.s.NowMillis || !t.Usage.Add(j.Spec.Size).Fits(t.Grant) {
		return -1
	}
	w := st.choose(j.Spec.Size, p.Avoid)
	if w < 0 {
		return -1
	}
	st.move(j, w, -1)
	st.plan.Place = append(st.plan.Place, placement.Placement{Task: p.ID, Job: j.Spec.ID, Worker: st.s.Workers[w].ID})
	return w
}

// choose returns the cheapest worker with room, or -1.
func (st *state) choose(size model.Resources, avoid []model.WorkerID) int {
	best, least := -1, int64(math.MaxInt64)
	for w := range st.s.Workers {
		v := &st.s.Workers[w]
		if v.State != model.WorkerReady || !size.Fits(st.free[w]) || slices.Contains(avoid, v.ID) {
			continue
		}
		if c := st.cost(st.free[w].Sub(size), v.Size); c < least {
			best, least = w, c
		}
	}
	return best
}

// move changes the room of worker w, and the workspace's use, by n tasks of j.
func (st *state) move(j *placement.JobView, w int, n int64) {
	size := j.Spec.Size.Scale(n)
	st.free[w] = st.free[w].Add(size)
	t := st.use[j.Spec.Workspace]
	t.Usage = t.Usage.Sub(size)
}
