package placement

import (
	"slices"

	"kumquatwing/internal/model"
)

// reclaimForGang preempts running tasks on the workers where capacity is
// reserved for the gang j, if that frees all of it and leaves every workspace
// its share; otherwise it preempts none. A gang larger than the budget of a
// plan may only be served by a plan that has not used any of its budget.
func (r *reclaimer) reclaimForGang(j *jobState) {
	p := r.planner
	tasks := j.reservedTasks()
	budgetUnused := r.budget == reclaimBudget(p)
	if tasks < j.remaining || tasks > r.budget && !budgetUnused || !r.withinShare(j.workspace, model.Resources{}) {
		return
	}
	before := slices.Clone(r.expected)
	found, ok := r.victimsFor(j.reservation)
	if !ok {
		r.expected = before
		return
	}
	stopped := 0
	task := j.view.Pending[p.firstWaiting(j)].ID
	for _, v := range found {
		p.preemptTasks(v, j, task, reasonShare)
		stopped += len(v.runs)
	}
	if stopped == 0 {
		return
	}
	r.budget = max(r.budget-tasks, 0)
	p.advanceStart(j.reservation)
}

// victimsFor finds the running tasks to preempt for all capacity of a
// reservation. It subtracts them from what their workspaces are expected to
// hold. If it returns false it may have subtracted some of them, which the
// caller has to undo.
func (r *reclaimer) victimsFor(reservation *Reservation) ([]victims, bool) {
	p := r.planner
	p.c.release(reservation)
	defer p.c.reserve(reservation)
	var found []victims
	for _, rc := range reservation.Workers {
		w, ok := p.c.byID[rc.Worker]
		if !ok || !p.c.ready[w] {
			return nil, false
		}
		v := victims{worker: int(w)}
		if !p.addVictims(&v, rc.Capacity, p.spareForAll(int(w)), r.mayPreempt, neverEnds) || !r.keepsShares(v) {
			return nil, false
		}
		r.subtractVictims(v)
		found = append(found, v)
	}
	return found, true
}

// advanceStart sets the start of the reservation to when the preempted tasks
// have stopped, if that is sooner, so that no task that ends later is
// backfilled.
func (p *planner) advanceStart(r *Reservation) {
	p.c.release(r)
	hold := r.UntilMillis - r.StartMillis
	r.StartMillis = min(r.StartMillis, p.s.NowMillis+stopMillis)
	r.UntilMillis = r.StartMillis + hold
	p.c.reserve(r)
}
