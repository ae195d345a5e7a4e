package placement

import (
	"fmt"
	"slices"

	"kumquatwing/internal/model"
)

// refuseNeverFitting ends the jobs that this data centre's workers could not
// take even when empty. Workers of every state count, since they may come back.
func (d *decider) refuseNeverFitting() {
	if len(d.c.workers) == 0 {
		d.waitAll(ReasonNoWorkers)
		return
	}
	if d.s.Settling {
		return
	}
	kinds := kindsOf(d.c.workers)
	slots := make(map[model.Resources]int)
	for _, j := range d.jobs {
		if j.left == 0 {
			continue
		}
		size := j.view.Spec.Size
		n, ok := slots[size]
		if !ok {
			n = emptySlots(kinds, size)
			slots[size] = n
		}
		d.refuseIfNeverFits(j, n)
	}
}

// workerKind is a number of workers of the same size.
type workerKind struct {
	size  model.Resources
	count int
}

// kindsOf counts the workers by size, in the order of their first worker.
func kindsOf(workers []WorkerView) []workerKind {
	var out []workerKind
	for i := range workers {
		size := workers[i].Size
		k := slices.IndexFunc(out, func(k workerKind) bool { return k.size == size })
		if k < 0 {
			out = append(out, workerKind{size: size})
			k = len(out) - 1
		}
		out[k].count++
	}
	return out
}

// refuseIfNeverFits refuses j if empty workers have too few slots for it.
func (d *decider) refuseIfNeverFits(j *jobState, slots int) {
	need := 1
	if isGang(j.view) {
		need = j.left
	}
	if slots >= need {
		return
	}
	j.refused = true
	d.plan.Refuse = append(d.plan.Refuse, JobRefusal{
		Job:    j.view.Spec.ID,
		Reason: ReasonNeverFits,
		Explain: Explanation{
			Considered: len(d.c.workers),
			Decisions:  j.view.Policy.Decisions,
			Detail:     neverFitsDetail(d.c.workers, j.view.Spec.Size, slots, need),
		},
	})
}

// emptySlots is how many tasks of a size empty workers could take.
func emptySlots(kinds []workerKind, size model.Resources) int {
	const bound = 1 << 30
	n := 0
	for _, k := range kinds {
		n += min(slotsIn(k.size, size, bound)*k.count, bound-n)
	}
	return n
}

// neverFitsDetail names the dimension that is short and the largest worker.
func neverFitsDetail(workers []WorkerView, size model.Resources, slots, need int) string {
	if slots > 0 {
		return fmt.Sprintf("needs %d tasks of %s at once; all workers together have room for %d", need, size, slots)
	}
	largest, dimension := LargestFor(workers, size)
	return fmt.Sprintf("needs %s per task; %s is short on every worker; the largest is %s with %s",
		size, dimension, largest.ID, largest.Size)
}

// LargestFor returns the worker that comes nearest to taking size when empty,
// and the first dimension in which it is short. Workers must not be empty.
func LargestFor(workers []WorkerView, size model.Resources) (*WorkerView, string) {
	best := &workers[0]
	for i := range workers {
		if shortfall(size, workers[i].Size) < shortfall(size, best.Size) {
			best = &workers[i]
		}
	}
	return best, size.Exceeds(best.Size)
}

// shortfall is the largest part of a dimension of size that room lacks, in
// thousandths.
func shortfall(size, room model.Resources) int64 {
	const whole = 1000
	var most int64
	for d := range model.Dimensions {
		need := size.At(d)
		if need > room.At(d) {
			most = max(most, (need-room.At(d))*whole/need)
		}
	}
	return most
}
