package placement

import (
	"fmt"

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
	slots := make(map[model.Resources]int)
	for _, j := range d.jobs {
		if j.left > 0 {
			d.refuseIfNeverFits(j, slots)
		}
	}
}

func (d *decider) refuseIfNeverFits(j *jobState, slots map[model.Resources]int) {
	size := j.view.Spec.Size
	n, ok := slots[size]
	if !ok {
		n = emptySlots(d.c.workers, size)
		slots[size] = n
	}
	need := 1
	if isGang(j.view) {
		need = j.left
	}
	if n >= need {
		return
	}
	j.refused = true
	d.plan.Refuse = append(d.plan.Refuse, JobRefusal{
		Job:    j.view.Spec.ID,
		Reason: ReasonNeverFits,
		Explain: Explanation{
			Considered: len(d.c.workers),
			Decisions:  j.view.Policy.Decisions,
			Detail:     neverFitsDetail(d.c.workers, size, n, need),
		},
	})
}

// emptySlots is how many tasks of a size empty workers could take.
func emptySlots(workers []WorkerView, size model.Resources) int {
	const bound = 1 << 30
	n := 0
	for i := range workers {
		n += slotsIn(workers[i].Size, size, bound)
		if n >= bound {
			return bound
		}
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
