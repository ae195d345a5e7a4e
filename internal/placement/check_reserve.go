package placement

import "kumquatwing/internal/model"

// checkReservedRoom checks that no placement uses room that an earlier plan
// reserved for another job which still waits, but for backfill and urgent work.
func (c *checker) checkReservedRoom() error {
	reserved := make(map[model.WorkerID]model.Resources)
	for i := range c.p.Reservations {
		r := &c.p.Reservations[i]
		if !c.carried(r.Job) {
			continue
		}
		for _, room := range r.Workers {
			reserved[room.Worker] = reserved[room.Worker].Add(room.Room)
		}
	}
	used := make(map[model.WorkerID]model.Resources)
	for i := range c.p.Place {
		p := &c.p.Place[i]
		w := c.workers[p.Worker]
		used[p.Worker] = used[p.Worker].Add(c.jobs[p.Job].Spec.Size)
		if _, ok := reserved[p.Worker]; !ok || c.mayUseReserved(p) {
			continue
		}
		if !used[p.Worker].Add(reserved[p.Worker]).Fits(w.Free) && !c.ownsReservation(p) {
			return broken(RuleReserved, "task %s uses reserved room of worker %s", p.Task, p.Worker)
		}
	}
	return nil
}

// carried reports whether job held a reservation before the plan.
func (c *checker) carried(job model.JobID) bool {
	for i := range c.s.Reservations {
		if c.s.Reservations[i].Job == job {
			return true
		}
	}
	return false
}

// ownsReservation reports whether p's job holds room on p's worker itself.
func (c *checker) ownsReservation(p *Placement) bool {
	for i := range c.s.Reservations {
		r := &c.s.Reservations[i]
		if r.Job == p.Job {
			return true
		}
	}
	return false
}

// mayUseReserved reports whether p is urgent or ends before reservations start.
func (c *checker) mayUseReserved(p *Placement) bool {
	j := c.jobs[p.Job]
	return isUrgent(j) || endsBy(c.s.NowMillis, j.RunMillis) != 0 && j.Spec.Class != model.ClassService
}

// checkPreemptions checks that runs are stopped for tasks that may ask for it.
func (c *checker) checkPreemptions() error {
	runs := make(map[model.TaskID]*RunView, len(c.s.Runs))
	for i := range c.s.Runs {
		runs[c.s.Runs[i].Task] = &c.s.Runs[i]
	}
	for i := range c.p.Preempt {
		p := &c.p.Preempt[i]
		r := runs[p.Task]
		if r == nil || r.Worker != p.Worker {
			return broken(RulePreempt, "task %s does not run on worker %s", p.Task, p.Worker)
		}
		delete(runs, p.Task)
		if !r.Preemptible || r.Stopping || r.Class != model.ClassBatch {
			return broken(RulePreempt, "task %s of class %s may not be preempted", p.Task, r.Class)
		}
		if c.tasks[p.For] == nil {
			return broken(RulePreempt, "task %s is preempted for %s, which does not wait", p.Task, p.For)
		}
	}
	return nil
}

// checkReservations checks that reserved room exists and ends.
func (c *checker) checkReservations() error {
	reserved := make(map[model.WorkerID]model.Resources)
	for i := range c.p.Reservations {
		r := &c.p.Reservations[i]
		j := c.jobs[r.Job]
		if j == nil || c.placed[r.Job] == len(j.Pending) {
			return broken(RuleReservation, "job %s does not wait", r.Job)
		}
		if r.UntilMillis <= c.s.NowMillis {
			return broken(RuleReservation, "job %s: the reservation has ended", r.Job)
		}
		for _, room := range r.Workers {
			w := c.workers[room.Worker]
			if w == nil {
				continue
			}
			if r.Class != model.ClassUrgent {
				reserved[room.Worker] = reserved[room.Worker].Add(room.Room)
			}
			if !reserved[room.Worker].Fits(w.Size) || !room.Room.Fits(w.Size) {
				return broken(RuleReservation, "worker %s: more room reserved than it has", room.Worker)
			}
		}
	}
	return nil
}
