package placement

import (
	"fmt"
	"slices"

	"kumquatwing/internal/model"
)

// ScorerLostWork names the score part of a preemption: the work lost since the
// latest checkpoints, in core milliseconds, as a negative number.
const ScorerLostWork = "work-lost"

// victims is a set of running tasks on one worker whose preemption frees enough
// capacity for a task. lost is the work that the preemption loses, in the unit
// of lostWork.
type victims struct {
	worker int
	runs   []indexedRun
	lost   int64
}

// victimFilter reports whether a running task may be preempted for the task in
// question. The argument is an index of Snapshot.Runs.
type victimFilter func(run int32) bool

// findVictims returns the cheapest way to free capacity for a: the worker on
// which the least work is lost, and no more running tasks than needed; none if
// the capacity that is free or about to be free is enough. Capacity of tasks
// that are already stopping is used first. On any worker, the capacity that is
// free or about to be free counts only up to limit. ok is false if no worker
// qualifies.
func (p *planner) findVictims(a *taskRequest, allowed victimFilter, limit model.Resources) (best victims, ok bool) {
	idx := p.index()
	for w := range p.c.workers {
		if !p.c.eligible(w, a) {
			continue
		}
		capacity := p.c.usableCapacity(w, a).Add(idx.releasing[w]).Min(limit)
		if a.size.Fits(capacity) {
			return victims{worker: w}, true
		}
		v := victims{worker: w}
		maxLost := int64(neverEnds)
		if ok {
			maxLost = best.lost
		}
		if p.addVictims(&v, a.size, capacity, allowed, maxLost) && (!ok || cheaper(&v, &best)) {
			best, ok = v, true
		}
	}
	return best, ok
}

// cheaper reports whether preempting a loses less work than preempting b, or
// the same work with fewer tasks.
func cheaper(a, b *victims) bool {
	if a.lost != b.lost {
		return a.lost < b.lost
	}
	return len(a.runs) < len(b.runs)
}

// addVictims adds running tasks to v until size fits, those that lose the least
// work first, and then removes the ones that are not needed after all. It
// returns false if size does not fit or if more work than maxLost would be
// lost.
func (p *planner) addVictims(v *victims, size, capacity model.Resources, allowed victimFilter, maxLost int64) bool {
	idx := p.index()
	for _, r := range idx.cheapestFirst(v.worker) {
		if size.Fits(capacity) {
			break
		}
		if r.lost > maxLost {
			return false
		}
		if !idx.preemptible(r.run) || !allowed(r.run) || !reducesShortage(size, capacity, r.allocated) {
			continue
		}
		v.runs = append(v.runs, r)
		capacity = capacity.Add(r.allocated)
	}
	if !size.Fits(capacity) {
		return false
	}
	removeUnneeded(v, size, capacity)
	for i := range v.runs {
		v.lost += v.runs[i].lost
	}
	return v.lost <= maxLost
}

// reducesShortage reports whether allocated adds to a dimension of which
// capacity has less than size needs.
func reducesShortage(size, capacity, allocated model.Resources) bool {
	for d := range model.Dimensions {
		if size.At(d) > capacity.At(d) && allocated.At(d) > 0 {
			return true
		}
	}
	return false
}

// removeUnneeded removes tasks from v while size still fits without them, those
// that lose the most work first.
func removeUnneeded(v *victims, size, capacity model.Resources) {
	for i := len(v.runs) - 1; i >= 0; i-- {
		without := capacity.Sub(v.runs[i].allocated)
		if size.Fits(without) {
			capacity = without
			v.runs = slices.Delete(v.runs, i, i+1)
		}
	}
}

// preemptedTask is a running task that the plan preempts.
type preemptedTask struct {
	run int32
	// workspace is the index of the workspace whose task needs the capacity.
	// forLimit is set if that workspace has used up its limit, so that one of its
	// own tasks is preempted.
	workspace int
	forLimit  bool
}

// dropUnneeded cancels preemptions that became unnecessary because of later
// ones on the same worker. It goes through the plan's preemptions from the last
// one back to index first. spare returns the capacity of a worker that is not
// needed for any reservation that counts.
func (p *planner) dropUnneeded(first int, spare func(w int) model.Resources) {
	idx := p.index()
	for i := len(p.plan.Preempt) - 1; i >= first; i-- {
		w := int(p.c.byID[p.plan.Preempt[i].Worker])
		v := p.preempted[i]
		allocated := idx.runs[v.run].Allocated
		if !allocated.Fits(spare(w)) || v.forLimit && !allocated.Fits(p.limitLeft(v.workspace, true)) {
			continue
		}
		idx.undoStop(w, v.run)
		p.plan.Preempt = slices.Delete(p.plan.Preempt, i, i+1)
		p.preempted = slices.Delete(p.preempted, i, i+1)
	}
}

// spareForUrgent returns the capacity of worker w that is free, or will be once
// the stopping tasks have ended, and is not reserved for urgent tasks.
func (p *planner) spareForUrgent(w int) model.Resources {
	return p.c.free[w].Add(p.index().releasing[w]).Sub(p.c.urgentReserved[w])
}

// spareForAll returns the capacity of worker w that is free, or will be once
// the stopping tasks have ended, and is not reserved for any task.
func (p *planner) spareForAll(w int) model.Resources {
	return p.spareForUrgent(w).Sub(p.c.otherReserved[w])
}

// preempt preempts the tasks of v for a task of j and reserves the capacity for
// j.
func (p *planner) preempt(v victims, j *jobState, task model.TaskID, until int64, reason preemptReason) {
	p.preemptTasks(v, j, task, reason)
	p.reserveCapacity(j, v.worker, 1, p.s.NowMillis, until)
}

// preemptTasks preempts the tasks of v for a task of j.
func (p *planner) preemptTasks(v victims, j *jobState, task model.TaskID, reason preemptReason) {
	idx := p.index()
	for _, stopped := range v.runs {
		r := &idx.runs[stopped.run]
		idx.stop(v.worker, stopped.run)
		p.preempted = append(p.preempted, preemptedTask{stopped.run, j.workspace, reason == reasonLimit})
		p.plan.Preempt = append(p.plan.Preempt, Preemption{
			Task: r.Task, Worker: r.Worker, Beneficiary: task,
			Explain: p.explainPreemption(j, r, reason),
		})
	}
}

// preemptReason is the reason of a preemption, as its explanation words it.
type preemptReason string

const (
	reasonUrgent preemptReason = "stopped for an urgent task"
	reasonLimit  preemptReason = "stopped for an urgent task of its workspace, whose limit is used up"
	reasonShare  preemptReason = "stopped for the share of the waiting task's workspace"
)

// coreMillis is one core millisecond in the unit of lostWork.
const coreMillis = 1000

func (p *planner) explainPreemption(j *jobState, r *RunningTask, reason preemptReason) Explanation {
	lost := lostWork(r, p.s.NowMillis) / coreMillis
	return Explanation{
		Considered: len(p.c.workers),
		Score:      []ScorePart{{ScorerLostWork, -lost}},
		Decisions:  j.view.Policy.Decisions,
		Detail:     fmt.Sprintf("%s; loses %d core milliseconds, the least found that makes room", reason, lost),
	}
}
