package placement

import "kumquatwing/internal/model"

// reservationsByWorker holds the reserved capacity of each worker.
type reservationsByWorker map[model.WorkerID][]workerReservation

// workerReservation is the capacity reserved for one job on one worker.
type workerReservation struct {
	job    model.JobID
	urgent bool
	// start is Reservation.StartMillis.
	start    int64
	capacity model.Resources
}

// checkReservedRoom checks that placements don't use capacity reserved for other
// jobs. Urgent tasks, and tasks that are expected to end before a reservation
// starts, may use the capacity that it keeps for a job that is not urgent.
func (c *checker) checkReservedRoom() error {
	reserved := c.reservedByWorker()
	free := make(map[model.WorkerID]model.Resources, len(c.workers))
	for i := range c.s.Workers {
		free[c.s.Workers[i].ID] = c.s.Workers[i].Free
	}
	for i := range c.p.Place {
		p := &c.p.Place[i]
		free[p.Worker] = free[p.Worker].Sub(c.jobs[p.Job].Spec.Size)
		if !c.reservedAgainst(p, reserved[p.Worker]).Fits(free[p.Worker]) {
			return violation(RuleReserved, "task %s uses capacity of worker %s that is reserved for other jobs", p.Task, p.Worker)
		}
	}
	return nil
}

// reservedByWorker lists, per worker, the capacity that was reserved before the
// plan and still is, and the capacity that the plan reserves for urgent jobs.
func (c *checker) reservedByWorker() reservationsByWorker {
	reserved := make(reservationsByWorker)
	for i := range c.p.Reservations {
		r := &c.p.Reservations[i]
		urgent := r.Class == model.ClassUrgent
		for _, rc := range r.Workers {
			size := rc.Capacity
			if !urgent {
				size = size.Min(c.reservedBefore(r.Job, rc.Worker))
			}
			if !size.IsZero() {
				reserved[rc.Worker] = append(reserved[rc.Worker], workerReservation{r.Job, urgent, r.StartMillis, size})
			}
		}
	}
	return reserved
}

// reservedBefore returns the capacity that was reserved for a job on a worker
// before the plan and that the plan's placements of the job leave unused.
func (c *checker) reservedBefore(job model.JobID, w model.WorkerID) model.Resources {
	var sum model.Resources
	for i := range c.s.Reservations {
		r := &c.s.Reservations[i]
		if r.Job != job || r.UntilMillis <= c.s.NowMillis {
			continue
		}
		for _, rc := range c.unusedCapacity(r) {
			if rc.Worker == w {
				sum = sum.Add(rc.Capacity)
			}
		}
	}
	return sum
}

// unusedCapacity returns the part of r that the plan's placements of its job leave
// unused.
func (c *checker) unusedCapacity(r *Reservation) []ReservedCapacity {
	j := c.jobs[r.Job]
	covered := min(reservedTasks(r.Workers), len(j.Pending))
	return reservedForTasks(r.Workers, j.Spec.Size, covered-c.placed[r.Job])
}

// reservedAgainst sums the reserved capacity that p must not use. An urgent task is
// placed before the plan makes new reservations for urgent jobs, so only what
// these had reserved before counts against it.
func (c *checker) reservedAgainst(p *Placement, reserved []workerReservation) model.Resources {
	j := c.jobs[p.Job]
	var sum model.Resources
	for _, r := range reserved {
		switch {
		case r.job == p.Job:
		case r.urgent && !isUrgent(j):
			sum = sum.Add(r.capacity)
		case r.urgent:
			sum = sum.Add(r.capacity.Min(c.reservedBefore(r.job, p.Worker)))
		case isUrgent(j) || c.endsBefore(j, r.start):
		default:
			sum = sum.Add(r.capacity)
		}
	}
	return sum
}

// endsBefore reports whether a task of j that starts now is expected to end by
// start. A service has no expected end.
func (c *checker) endsBefore(j *JobView, start int64) bool {
	if j.Spec.Class == model.ClassService {
		return false
	}
	end := endsBy(c.s.NowMillis, j.RunMillis)
	return end != 0 && end <= start
}

// checkReservations checks that the plan's reservations are for jobs with tasks
// left, have not expired and don't exceed the size of a worker. Reservations for
// urgent jobs may overlap with others.
func (c *checker) checkReservations() error {
	reserved := make(map[model.WorkerID]model.Resources)
	for i := range c.p.Reservations {
		r := &c.p.Reservations[i]
		j := c.jobs[r.Job]
		if j == nil || c.placed[r.Job] == len(j.Pending) {
			return violation(RuleReservation, "job %s has a reservation but no tasks left", r.Job)
		}
		if r.UntilMillis <= c.s.NowMillis {
			return violation(RuleReservation, "reservation of job %s has expired", r.Job)
		}
		for _, rc := range r.Workers {
			w := c.workers[rc.Worker]
			if w == nil {
				continue
			}
			if r.Class != model.ClassUrgent {
				reserved[rc.Worker] = reserved[rc.Worker].Add(rc.Capacity)
			}
			if !reserved[rc.Worker].Fits(w.Size) || !rc.Capacity.Fits(w.Size) {
				return violation(RuleReservation, "reservations on worker %s exceed its size", rc.Worker)
			}
		}
	}
	return nil
}
