package placement

import (
	"slices"

	"kumquatwing/internal/model"
)

// pauseMillis is how long a job whose room could not be planned waits before it
// is tried again.
const pauseMillis = 1000

// reservedFor is a reservation with its job.
type reservedFor struct {
	job         *jobState
	reservation *Reservation
}

// keep takes in a reservation made by an earlier plan. The room of one that has
// ended is let go, and its job pauses before it may reserve again, so that the
// other jobs get their turn.
func (d *decider) keep(j *jobState, r *Reservation) {
	ended := r.UntilMillis <= d.s.NowMillis
	switch {
	case !ended && len(r.Workers) > 0:
		r.Workers = d.resized(j, r)
		j.reservation = r
		d.c.hold(r)
		d.reservations = append(d.reservations, reservedFor{j, r})
	case !ended:
		j.paused = true
		d.reservations = append(d.reservations, reservedFor{j, r})
	case len(r.Workers) == 0:
		j.attempt = r.Attempt + 1
	case isUrgent(j.view):
		j.ended = r
	default:
		j.ended = r
		d.pause(j, r.Attempt, holdMillis(j.view, 0))
	}
}

// resized is r's rooms by the present size of the job's tasks, for as many of
// them as the workers can hold besides what others have reserved.
func (d *decider) resized(j *jobState, r *Reservation) []ReservedRoom {
	size := j.view.Spec.Size
	rooms := slices.Clone(r.Workers)
	for i := range rooms {
		w, ok := d.c.byID[rooms[i].Worker]
		if !ok {
			rooms[i].Tasks = 0
			continue
		}
		room := d.c.size[w]
		if !isUrgent(j.view) {
			room = room.Sub(d.c.held[w])
		}
		rooms[i].Tasks = slotsIn(room, size, rooms[i].Tasks)
	}
	return firstRooms(rooms, size, len(j.view.Pending))
}

// pause keeps j from reserving for some time.
func (d *decider) pause(j *jobState, attempt int, millis int64) {
	j.paused = true
	d.reservations = append(d.reservations, reservedFor{j, &Reservation{
		Job:         j.view.Spec.ID,
		Class:       j.view.Spec.Class,
		UntilMillis: d.s.NowMillis + millis,
		Attempt:     attempt,
	}})
}

// reservedTasks is how many tasks the job's reservation covers.
func (j *jobState) reservedTasks() int {
	if j.reservation == nil {
		return 0
	}
	return reservedTasks(j.reservation.Workers)
}

// reservedTasks is for how many tasks rooms are.
func reservedTasks(rooms []ReservedRoom) int {
	n := 0
	for _, room := range rooms {
		n += room.Tasks
	}
	return n
}

// endedWorkers lists the workers of the job's reservation that has just ended:
// their room did not become free in time.
func (j *jobState) endedWorkers() []model.WorkerID {
	if j.ended == nil {
		return nil
	}
	ids := make([]model.WorkerID, len(j.ended.Workers))
	for i, room := range j.ended.Workers {
		ids[i] = room.Worker
	}
	return ids
}

// reserveRoom holds room for n more tasks of j on worker w.
func (d *decider) reserveRoom(j *jobState, w, n int, start, until int64) {
	if j.reservation == nil {
		j.reservation = &Reservation{Job: j.view.Spec.ID, Class: j.view.Spec.Class, StartMillis: start, Attempt: j.attempt}
		d.reservations = append(d.reservations, reservedFor{j, j.reservation})
	} else {
		d.c.release(j.reservation)
	}
	r := j.reservation
	r.UntilMillis = max(r.UntilMillis, until)
	r.add(d.c.workers[w].ID, n, j.view.Spec.Size)
	d.c.hold(r)
	// A workspace at its limit waits for that, whether there is room or not.
	if j.reason != ReasonLimit {
		j.reason = ReasonReserved
	}
}

// add holds room for n more tasks of a size on a worker.
func (r *Reservation) add(w model.WorkerID, n int, size model.Resources) {
	room := size.Scale(int64(n))
	for i := range r.Workers {
		if r.Workers[i].Worker == w {
			r.Workers[i].Tasks += n
			r.Workers[i].Room = r.Workers[i].Room.Add(room)
			return
		}
	}
	r.Workers = append(r.Workers, ReservedRoom{w, n, room})
}

// shrinkReservation holds again room for n more tasks of j, whose reservation
// was released.
func (d *decider) shrinkReservation(j *jobState, n int) {
	r := j.reservation
	r.Workers = firstRooms(r.Workers, j.view.Spec.Size, min(n, j.left))
	if len(r.Workers) == 0 {
		j.reservation = nil
		return
	}
	d.c.hold(r)
	if j.reason == ReasonRoom || j.reason == ReasonGang {
		j.reason = ReasonReserved
	}
}

// firstRooms is the part of rooms that covers n tasks of a size.
func firstRooms(rooms []ReservedRoom, size model.Resources, n int) []ReservedRoom {
	var out []ReservedRoom
	for _, room := range rooms {
		k := min(room.Tasks, n)
		if k <= 0 {
			continue
		}
		out = append(out, ReservedRoom{room.Worker, k, size.Scale(int64(k))})
		n -= k
	}
	return out
}

// standing lists the reservations of jobs that still wait after the plan, and
// the pauses of those that hold none.
func (d *decider) standing() []Reservation {
	var out []Reservation
	for _, e := range d.reservations {
		pause := len(e.reservation.Workers) == 0
		switch {
		case e.job.left == 0 || e.job.refused:
		case pause && e.job.reservation != nil:
		case !pause && e.job.reservation != e.reservation:
		default:
			out = append(out, *e.reservation)
		}
	}
	return out
}
