package placement

import (
	"slices"

	"kumquatwing/internal/model"
)

// pauseMillis is how long a job waits before it may try to reserve again after
// no start time was found for it.
const pauseMillis = 1000

// jobReservation is a reservation, or a pause, with the job that it belongs to.
type jobReservation struct {
	job         *jobState
	reservation *Reservation
}

// restoreReservation adds a reservation from an earlier plan to this one. One
// that has ended is not added, so its capacity is free again. Its job may not
// reserve again until a pause is over, so that other jobs get their turn;
// urgent jobs don't pause. A reservation without workers is such a pause; after
// its end the job may make its next attempt.
func (p *planner) restoreReservation(j *jobState, r *Reservation) {
	ended := r.UntilMillis <= p.s.NowMillis
	switch {
	case !ended && len(r.Workers) > 0:
		r.Workers = p.resizedCapacity(j, r)
		j.reservation = r
		p.c.reserve(r)
		p.reservations = append(p.reservations, jobReservation{j, r})
	case !ended:
		j.reservationPaused = true
		p.reservations = append(p.reservations, jobReservation{j, r})
	case len(r.Workers) == 0:
		j.attempt = r.Attempt + 1
	case isUrgent(j.view):
		j.expiredReservation = r
	default:
		j.expiredReservation = r
		p.pause(j, r.Attempt, holdMillis(j.view, 0))
	}
}

// resizedCapacity returns the reserved capacity of r for the current size of the
// job's tasks, which changes with their estimates. It covers only as many tasks
// as still fit on the workers besides what other jobs have reserved.
func (p *planner) resizedCapacity(j *jobState, r *Reservation) []ReservedCapacity {
	size := j.view.Spec.Size
	reserved := slices.Clone(r.Workers)
	for i := range reserved {
		w, ok := p.c.byID[reserved[i].Worker]
		if !ok {
			reserved[i].Tasks = 0
			continue
		}
		capacity := p.c.size[w]
		if !isUrgent(j.view) {
			capacity = capacity.Sub(p.c.otherReserved[w])
		}
		reserved[i].Tasks = slotsIn(capacity, size, reserved[i].Tasks)
	}
	return reservedForTasks(reserved, size, len(j.view.Pending))
}

// pause keeps j from reserving capacity for the given time. The pause is
// recorded as a reservation without workers.
func (p *planner) pause(j *jobState, attempt int, millis int64) {
	j.reservationPaused = true
	p.reservations = append(p.reservations, jobReservation{j, &Reservation{
		Job:         j.view.Spec.ID,
		Class:       j.view.Spec.Class,
		UntilMillis: p.s.NowMillis + millis,
		Attempt:     attempt,
	}})
}

// reservedTasks returns how many tasks the job's reservation covers.
func (j *jobState) reservedTasks() int {
	if j.reservation == nil {
		return 0
	}
	return reservedTasks(j.reservation.Workers)
}

// reservedTasks returns how many tasks the reserved capacity covers.
func reservedTasks(reserved []ReservedCapacity) int {
	n := 0
	for _, rc := range reserved {
		n += rc.Tasks
	}
	return n
}

// expiredWorkers returns the workers of the job's reservation that has just
// ended. Their capacity did not become free in time.
func (j *jobState) expiredWorkers() []model.WorkerID {
	if j.expiredReservation == nil {
		return nil
	}
	ids := make([]model.WorkerID, len(j.expiredReservation.Workers))
	for i, rc := range j.expiredReservation.Workers {
		ids[i] = rc.Worker
	}
	return ids
}

// reserveCapacity reserves capacity for n more tasks of j on worker w, from
// start until the given time at least.
func (p *planner) reserveCapacity(j *jobState, w, n int, start, until int64) {
	if j.reservation == nil {
		j.reservation = &Reservation{Job: j.view.Spec.ID, Class: j.view.Spec.Class, StartMillis: start, Attempt: j.attempt}
		p.reservations = append(p.reservations, jobReservation{j, j.reservation})
	} else {
		p.c.release(j.reservation)
	}
	r := j.reservation
	r.UntilMillis = max(r.UntilMillis, until)
	r.add(p.c.workers[w].ID, n, j.view.Spec.Size)
	p.c.reserve(r)
	// A job that waits for its workspace's limit does so whether there is free
	// capacity or not.
	if j.reason != ReasonLimit {
		j.reason = ReasonReserved
	}
}

// add reserves capacity for n more tasks of the given size on a worker.
func (r *Reservation) add(w model.WorkerID, n int, size model.Resources) {
	capacity := size.Scale(int64(n))
	for i := range r.Workers {
		if r.Workers[i].Worker == w {
			r.Workers[i].Tasks += n
			r.Workers[i].Capacity = r.Workers[i].Capacity.Add(capacity)
			return
		}
	}
	r.Workers = append(r.Workers, ReservedCapacity{w, n, capacity})
}

// shrinkReservation restores the job's reservation after its capacity was
// released, for at most n of the tasks that still wait.
func (p *planner) shrinkReservation(j *jobState, n int) {
	r := j.reservation
	r.Workers = reservedForTasks(r.Workers, j.view.Spec.Size, min(n, j.remaining))
	if len(r.Workers) == 0 {
		j.reservation = nil
		return
	}
	p.c.reserve(r)
	if j.reason == ReasonNoCapacity || j.reason == ReasonNoGangCapacity {
		j.reason = ReasonReserved
	}
}

// reservedForTasks returns the first parts of the reserved capacity that
// together cover n tasks of the given size.
func reservedForTasks(reserved []ReservedCapacity, size model.Resources, n int) []ReservedCapacity {
	var out []ReservedCapacity
	for _, rc := range reserved {
		k := min(rc.Tasks, n)
		if k <= 0 {
			continue
		}
		out = append(out, ReservedCapacity{rc.Worker, k, size.Scale(int64(k))})
		n -= k
	}
	return out
}

// activeReservations returns the reservations of jobs that still wait after the
// plan, and the pauses of jobs without a reservation.
func (p *planner) activeReservations() []Reservation {
	var out []Reservation
	for _, e := range p.reservations {
		pause := len(e.reservation.Workers) == 0
		switch {
		case e.job.remaining == 0 || e.job.refused:
		case pause && e.job.reservation != nil:
		case !pause && e.job.reservation != e.reservation:
		default:
			out = append(out, *e.reservation)
		}
	}
	return out
}
