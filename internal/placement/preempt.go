package placement

import (
	"fmt"
	"slices"

	"kumquatwing/internal/model"
)

// ScorerLostWork is the score part of a preemption: work lost since the newest
// checkpoints, in core milliseconds, as a negative number.
const ScorerLostWork = "work-lost"

// eviction is a set of runs of one worker whose end makes room for a task.
type eviction struct {
	worker int
	runs   []indexedRun
	lost   int64
}

// mayEvict says whether a run may be stopped for the task in question.
type mayEvict func(run int32) bool

// findEviction returns the cheapest way to make room for a: the worker on which
// the least work is lost, with no run more than needed. Room that runs which
// already stop will free is used first. No more room than limit is counted on
// any worker. ok is false if there is no way.
func (d *decider) findEviction(a *ask, may mayEvict, limit model.Resources) (best eviction, ok bool) {
	x := d.index()
	for w := range d.c.workers {
		if !d.c.takes(w, a) {
			continue
		}
		room := d.c.room(w, a).Add(x.coming[w]).Min(limit)
		if a.size.Fits(room) {
			return eviction{worker: w}, true
		}
		e := eviction{worker: w}
		most := int64(neverEnds)
		if ok {
			most = best.lost
		}
		if d.collect(&e, a.size, room, may, most) && (!ok || cheaper(&e, &best)) {
			best, ok = e, true
		}
	}
	return best, ok
}

// cheaper reports whether a loses less work than b, or as much with fewer runs.
func cheaper(a, b *eviction) bool {
	if a.lost != b.lost {
		return a.lost < b.lost
	}
	return len(a.runs) < len(b.runs)
}

// collect adds runs to e until size fits, those that lose least first, and then
// takes out the ones that turned out not to be needed. It gives up, returning
// false, when size does not fit or more work than most would be lost.
func (d *decider) collect(e *eviction, size, room model.Resources, may mayEvict, most int64) bool {
	x := d.index()
	for _, r := range x.cheapestFirst(e.worker) {
		if size.Fits(room) {
			break
		}
		if r.lost > most {
			return false
		}
		if !x.mayStop(r.run) || !may(r.run) || !helps(size, room, r.holds) {
			continue
		}
		e.runs = append(e.runs, r)
		room = room.Add(r.holds)
	}
	if !size.Fits(room) {
		return false
	}
	prune(e, size, room)
	for i := range e.runs {
		e.lost += e.runs[i].lost
	}
	return e.lost <= most
}

// helps reports whether holds adds to a dimension in which room is short.
func helps(size, room, holds model.Resources) bool {
	for d := range model.Dimensions {
		if size.At(d) > room.At(d) && holds.At(d) > 0 {
			return true
		}
	}
	return false
}

// prune takes runs out of e, the dearest first, while size still fits.
func prune(e *eviction, size, room model.Resources) {
	for i := len(e.runs) - 1; i >= 0; i-- {
		without := room.Sub(e.runs[i].holds)
		if size.Fits(without) {
			room = without
			e.runs = slices.Delete(e.runs, i, i+1)
		}
	}
}

// evictedRun is a run that the plan preempts.
type evictedRun struct {
	run int32
	// workspace is the one that it is stopped for; forLimit is set if the run is the
	// workspace's own and its room is needed within the limit.
	workspace int
	forLimit  bool
}

// dropUnneeded takes back the preemptions from the first-th on that later ones
// on the same worker have made needless, the last first. spare is the room of a
// worker that no reservation in question needs.
func (d *decider) dropUnneeded(first int, spare func(w int) model.Resources) {
	x := d.index()
	for i := len(d.plan.Preempt) - 1; i >= first; i-- {
		w := int(d.c.byID[d.plan.Preempt[i].Worker])
		e := d.evicted[i]
		holds := x.runs[e.run].Holds
		if !holds.Fits(spare(w)) || e.forLimit && !holds.Fits(d.limitLeft(e.workspace, true)) {
			continue
		}
		x.goOn(w, e.run)
		d.plan.Preempt = slices.Delete(d.plan.Preempt, i, i+1)
		d.evicted = slices.Delete(d.evicted, i, i+1)
	}
}

// spareForUrgent is the room that will be free and is not held for urgent tasks.
func (d *decider) spareForUrgent(w int) model.Resources {
	return d.c.free[w].Add(d.index().coming[w]).Sub(d.c.urgentHeld[w])
}

// spareForAll is the room that will be free and is held for nobody.
func (d *decider) spareForAll(w int) model.Resources {
	return d.spareForUrgent(w).Sub(d.c.held[w])
}

// evict stops the runs of e for a task and reserves the room for its job.
func (d *decider) evict(e eviction, j *jobState, task model.TaskID, until int64, why evictReason) {
	d.stopRuns(e, j, task, why)
	d.reserveRoom(j, e.worker, 1, d.s.NowMillis, until)
}

// stopRuns stops the runs of e for a task.
func (d *decider) stopRuns(e eviction, j *jobState, task model.TaskID, why evictReason) {
	x := d.index()
	for _, stopped := range e.runs {
		r := &x.runs[stopped.run]
		x.stop(e.worker, stopped.run)
		d.evicted = append(d.evicted, evictedRun{stopped.run, j.workspace, why == evictForLimit})
		d.plan.Preempt = append(d.plan.Preempt, Preemption{
			Task: r.Task, Worker: r.Worker, For: task,
			Explain: d.explainEviction(j, r, why),
		})
	}
}

// evictReason says in words why a run is stopped.
type evictReason string

const (
	evictForUrgent evictReason = "stopped for an urgent task"
	evictForLimit  evictReason = "stopped for an urgent task of its workspace, whose limit is used up"
	evictForShare  evictReason = "stopped for the share of the waiting task's workspace"
)

// coreMillis is one core millisecond in the units of lostWork.
const coreMillis = 1000

func (d *decider) explainEviction(j *jobState, r *RunView, why evictReason) Explanation {
	lost := lostWork(r, d.s.NowMillis) / coreMillis
	return Explanation{
		Considered: len(d.c.workers),
		Score:      []ScorePart{{ScorerLostWork, -lost}},
		Decisions:  j.view.Policy.Decisions,
		Detail:     fmt.Sprintf("%s; loses %d core milliseconds, the least found that makes room", why, lost),
	}
}
