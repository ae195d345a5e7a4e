package placement

import (
	"fmt"
	"slices"

	"kumquatwing/internal/model"
)

// refuseNeverFitting refuses the jobs that this data centre's workers could not
// run even if they were empty. Workers count in every state, since they may
// become ready again.
func (p *planner) refuseNeverFitting() {
	if len(p.c.workers) == 0 {
		p.setAllWaitReasons(ReasonNoWorkers)
		return
	}
	if p.s.Rebuilding {
		return
	}
	groups := groupBySize(p.c.workers)
	slots := make(map[model.Resources]int)
	for _, j := range p.jobs {
		if j.remaining == 0 {
			continue
		}
		size := j.view.Spec.Size
		n, ok := slots[size]
		if !ok {
			n = emptySlots(groups, size)
			slots[size] = n
		}
		p.refuseIfNeverFits(j, n)
	}
}

// sizeGroup is a number of workers of the same size.
type sizeGroup struct {
	size  model.Resources
	count int
}

// groupBySize counts the workers of each size, in the order of the first worker
// of each size.
func groupBySize(workers []WorkerView) []sizeGroup {
	var out []sizeGroup
	for i := range workers {
		size := workers[i].Size
		k := slices.IndexFunc(out, func(g sizeGroup) bool { return g.size == size })
		if k < 0 {
			out = append(out, sizeGroup{size: size})
			k = len(out) - 1
		}
		out[k].count++
	}
	return out
}

// refuseIfNeverFits refuses j if slots, the number of its tasks that empty workers
// could run together, is too small: below one, or below a gang's number of tasks.
func (p *planner) refuseIfNeverFits(j *jobState, slots int) {
	need := 1
	if isGang(j.view) {
		need = j.remaining
	}
	if slots >= need {
		return
	}
	j.refused = true
	p.plan.Refuse = append(p.plan.Refuse, JobRefusal{
		Job:    j.view.Spec.ID,
		Reason: ReasonNeverFits,
		Explain: Explanation{
			Considered: len(p.c.workers),
			Decisions:  j.view.Policy.Decisions,
			Detail:     neverFitsDetail(p.c.workers, j.view.Spec.Size, slots, need),
		},
	})
}

// emptySlots returns how many tasks of a size the workers could run together if
// they were empty, at most bound.
func emptySlots(groups []sizeGroup, size model.Resources) int {
	const bound = 1 << 30
	n := 0
	for _, g := range groups {
		n += min(slotsIn(g.size, size, bound)*g.count, bound-n)
	}
	return n
}

// neverFitsDetail explains a refusal: the number of slots if some tasks would fit,
// otherwise the first insufficient dimension of the largest worker.
func neverFitsDetail(workers []WorkerView, size model.Resources, slots, need int) string {
	if slots > 0 {
		return fmt.Sprintf("needs %d tasks of %s at once; all workers together have room for %d", need, size, slots)
	}
	largest, dimension := LargestFor(workers, size)
	return fmt.Sprintf("needs %s per task; %s is short on every worker; the largest is %s with %s",
		size, dimension, largest.ID, largest.Size)
}

// LargestFor returns the worker whose total size comes closest to a task size, and
// the first dimension in which it is too small. It panics if workers is empty.
func LargestFor(workers []WorkerView, size model.Resources) (*WorkerView, string) {
	best := &workers[0]
	for i := range workers {
		if shortfall(size, workers[i].Size) < shortfall(size, best.Size) {
			best = &workers[i]
		}
	}
	return best, size.Exceeds(best.Size)
}

// shortfall returns the largest part of a dimension of size that capacity does not
// cover, in thousandths.
func shortfall(size, capacity model.Resources) int64 {
	const whole = 1000
	var most int64
	for d := range model.Dimensions {
		need := size.At(d)
		if need > capacity.At(d) {
			most = max(most, (need-capacity.At(d))*whole/need)
		}
	}
	return most
}
