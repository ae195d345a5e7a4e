package placement

import "kumquatwing/internal/model"

// heldRoom is room on workers, reserved for jobs.
type heldRoom map[model.WorkerID][]heldFor

// heldFor is room for one job on one worker.
type heldFor struct {
	job    model.JobID
	urgent bool
	start  int64
	room   model.Resources
}

// checkReservedRoom checks that placements leave the room that is reserved for
// other jobs: urgent tasks that for urgent ones, tasks that are expected to end
// before the others start that for urgent ones too, and all others both.
func (c *checker) checkReservedRoom() error {
	held := c.heldRoom()
	free := make(map[model.WorkerID]model.Resources, len(c.workers))
	for i := range c.s.Workers {
		free[c.s.Workers[i].ID] = c.s.Workers[i].Free
	}
	for i := range c.p.Place {
		p := &c.p.Place[i]
		free[p.Worker] = free[p.Worker].Sub(c.jobs[p.Job].Spec.Size)
		if !c.heldFrom(p, held[p.Worker]).Fits(free[p.Worker]) {
			return broken(RuleReserved, "task %s uses reserved room of worker %s", p.Task, p.Worker)
		}
	}
	return nil
}

// heldRoom lists the room that was reserved before the plan and still is, and
// that which the plan reserves for urgent tasks.
func (c *checker) heldRoom() heldRoom {
	held := make(heldRoom)
	for i := range c.p.Reservations {
		r := &c.p.Reservations[i]
		urgent := r.Class == model.ClassUrgent
		for _, room := range r.Workers {
			size := room.Room
			if !urgent {
				size = size.Min(c.heldBefore(r.Job, room.Worker))
			}
			if !size.IsZero() {
				held[room.Worker] = append(held[room.Worker], heldFor{r.Job, urgent, r.StartMillis, size})
			}
		}
	}
	return held
}

// heldBefore is the room that a job held on a worker before the plan and that
// its tasks placed by the plan have not used up.
func (c *checker) heldBefore(job model.JobID, w model.WorkerID) model.Resources {
	var sum model.Resources
	for i := range c.s.Reservations {
		r := &c.s.Reservations[i]
		if r.Job != job || r.UntilMillis <= c.s.NowMillis {
			continue
		}
		for _, room := range c.unusedRooms(r) {
			if room.Worker == w {
				sum = sum.Add(room.Room)
			}
		}
	}
	return sum
}

// unusedRooms is what is left of r after the plan's placements of its job.
func (c *checker) unusedRooms(r *Reservation) []ReservedRoom {
	j := c.jobs[r.Job]
	covered := min(reservedTasks(r.Workers), len(j.Pending))
	return firstRooms(r.Workers, j.Spec.Size, covered-c.placed[r.Job])
}

// heldFrom sums the held room that p may not use.
func (c *checker) heldFrom(p *Placement, held []heldFor) model.Resources {
	j := c.jobs[p.Job]
	var sum model.Resources
	for _, h := range held {
		switch {
		case h.job == p.Job:
		case h.urgent && !isUrgent(j):
			sum = sum.Add(h.room)
		case h.urgent:
			sum = sum.Add(h.room.Min(c.heldBefore(h.job, p.Worker)))
		case isUrgent(j) || c.endsBefore(j, h.start):
		default:
			sum = sum.Add(h.room)
		}
	}
	return sum
}

// endsBefore reports whether a task of j is expected to end before start.
func (c *checker) endsBefore(j *JobView, start int64) bool {
	if j.Spec.Class == model.ClassService {
		return false
	}
	end := endsBy(c.s.NowMillis, j.RunMillis)
	return end != 0 && end <= start
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
