// Package baseline holds two simple schedulers with which the benchmarks
// compare the placement. They respect free capacity, grants and data centres
// out of service, and place gangs as a whole. They ignore shares, classes,
// reservations and preemption.
package baseline

import (
	"cmp"
	"math"
	"slices"

	"kumquatwing/internal/model"
	"kumquatwing/internal/placement"
)

// FirstFit places jobs in order of arrival, each task on the first worker with
// enough free capacity. Tasks that fit nowhere wait, and later jobs are tried.
func FirstFit(s *placement.Snapshot) *placement.Plan {
	return decide(s, func(_, _ model.Resources) int64 { return 0 })
}

// BestFit places jobs in order of arrival, each task on the worker that has the
// least capacity left, relative to the worker's size, after the task is placed.
func BestFit(s *placement.Snapshot) *placement.Plan {
	return decide(s, func(left, size model.Resources) int64 {
		const scale = 1000
		return left.MilliCPU*scale/max(size.MilliCPU, 1) + left.MemoryMB*scale/max(size.MemoryMB, 1)
	})
}

// cost rates a worker of the given size by the capacity left on it after a
// placement. The worker with the lowest cost is chosen; of equals, the first.
type cost func(left, size model.Resources) int64

// state is the working state of one plan.
type state struct {
	s    *placement.Snapshot
	cost cost
	free []model.Resources
	// usage is what each workspace uses, with its grant.
	usage map[model.WorkspaceID]*placement.WorkspaceView
	plan  placement.Plan
}

func decide(s *placement.Snapshot, c cost) *placement.Plan {
	st := &state{s: s, cost: c, usage: make(map[model.WorkspaceID]*placement.WorkspaceView)}
	for i := range s.Workers {
		st.free = append(st.free, s.Workers[i].Free)
	}
	for i := range s.Workspaces {
		ws := s.Workspaces[i]
		st.usage[ws.ID] = &ws
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

// placeJob places the tasks of j until one does not fit. A gang is placed as a
// whole or not at all.
func (st *state) placeJob(j *placement.JobView) {
	first := len(st.plan.Place)
	var workers []int
	for i := range j.Pending {
		if st.full() {
			break
		}
		w := st.placeTask(j, &j.Pending[i])
		if w < 0 {
			break
		}
		workers = append(workers, w)
	}
	if j.Spec.Class != model.ClassGang || len(workers) == len(j.Pending) {
		return
	}
	for _, w := range workers {
		st.addCapacity(j, w, 1)
	}
	st.plan.Place = st.plan.Place[:first]
}

// full reports whether the plan may place no more tasks: the data centre is out
// of service, or the plan has reached its bound.
func (st *state) full() bool {
	return st.s.OutOfService || st.s.MaxPlacements > 0 && len(st.plan.Place) >= st.s.MaxPlacements
}

// placeTask places a pending task of j and returns its worker, or -1 if it has
// to wait.
func (st *state) placeTask(j *placement.JobView, p *placement.PendingTask) int {
	ws := st.usage[j.Spec.Workspace]
	if ws == nil || p.NotBeforeMillis > st.s.NowMillis || !ws.Usage.Add(j.Spec.Size).Fits(ws.Grant) {
		return -1
	}
	w := st.choose(j.Spec.Size, p.Avoid)
	if w < 0 {
		return -1
	}
	st.addCapacity(j, w, -1)
	st.plan.Place = append(st.plan.Place, placement.Placement{Task: p.ID, Job: j.Spec.ID, Worker: st.s.Workers[w].ID})
	return w
}

// choose returns the worker with the lowest cost that has enough free capacity,
// or -1.
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

// addCapacity adds the capacity of n tasks of j to what is free on worker w,
// and subtracts it from the usage of j's workspace; n is negative when tasks
// are placed.
func (st *state) addCapacity(j *placement.JobView, w int, n int64) {
	size := j.Spec.Size.Scale(n)
	st.free[w] = st.free[w].Add(size)
	ws := st.usage[j.Spec.Workspace]
	ws.Usage = ws.Usage.Sub(size)
}
