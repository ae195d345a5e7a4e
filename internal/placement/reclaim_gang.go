package placement

import (
	"slices"

	"kumquatwing/internal/model"
)

// reclaimForGang stops runs on the workers where room is reserved for j, if
// that frees all of it and keeps every workspace its share; otherwise none. A gang
// that is larger than what a plan may stop for has the plan to itself.
func (r *reclaim) reclaimForGang(j *jobState) {
	d := r.d
	tasks := j.reservedTasks()
	fresh := r.budget == reclaimBudget(d)
	if tasks < j.left || tasks > r.budget && !fresh || !r.under(j.workspace, model.Resources{}) {
		return
	}
	before := slices.Clone(r.expected)
	found, ok := r.evictionsFor(j.reservation)
	if !ok {
		r.expected = before
		return
	}
	stopped := 0
	task := j.view.Pending[d.firstWaiting(j)].ID
	for _, e := range found {
		d.stopRuns(e, j, task, evictForShare)
		stopped += len(e.runs)
	}
	if stopped == 0 {
		return
	}
	r.budget = max(r.budget-tasks, 0)
	d.startSooner(j.reservation)
}

// evictionsFor finds what to stop for all rooms of a reservation. What it finds
// is taken off what the workspaces are expected to hold.
func (r *reclaim) evictionsFor(reservation *Reservation) ([]eviction, bool) {
	d := r.d
	d.c.release(reservation)
	defer d.c.hold(reservation)
	var found []eviction
	for _, room := range reservation.Workers {
		w, ok := d.c.byID[room.Worker]
		if !ok || !d.c.ready[w] {
			return nil, false
		}
		e := eviction{worker: int(w)}
		if !d.collect(&e, room.Room, d.spareForAll(int(w)), r.mayEvict, neverEnds) || !r.staysOver(e) {
			return nil, false
		}
		r.takeOff(e)
		found = append(found, e)
	}
	return found, true
}

// startSooner notes that reserved room is free as soon as runs have stopped, so
// that nothing is let in that ends later.
func (d *decider) startSooner(r *Reservation) {
	d.c.release(r)
	hold := r.UntilMillis - r.StartMillis
	r.StartMillis = min(r.StartMillis, d.s.NowMillis+stopMillis)
	r.UntilMillis = r.StartMillis + hold
	d.c.hold(r)
}
