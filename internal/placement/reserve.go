package placement

import "kumquatwing/internal/model"

// reservedFor is a reservation with its job.
type reservedFor struct {
	job         *jobState
	reservation *Reservation
}

// keep takes in a reservation made by an earlier plan. One that has ended
// is dropped.
func (d *decider) keep(j *jobState, r *Reservation) {
	if r.UntilMillis <= d.s.NowMillis {
		return
	}
	d.reservations = append(d.reservations, reservedFor{j, r})
	if len(r.Workers) == 0 {
		return
	}
	j.reservation = r
	d.c.hold(r)
}

// shrinkReservation holds again what j, whose reservation was released, still
// needs of it.
func (d *decider) shrinkReservation(j *jobState) {
	r := j.reservation
	if j.left == 0 {
		return
	}
	if j.reason == ReasonRoom || j.reason == ReasonGang {
		j.reason = ReasonReserved
	}
	r.Workers = firstRooms(r.Workers, j.view.Spec.Size, j.left)
	d.c.hold(r)
}

// firstRooms is the part of rooms that covers n tasks.
func firstRooms(rooms []ReservedRoom, size model.Resources, n int) []ReservedRoom {
	var out []ReservedRoom
	for _, room := range rooms {
		k := slotsIn(room.Room, size, n)
		if k == 0 {
			continue
		}
		out = append(out, ReservedRoom{room.Worker, size.Scale(int64(k))})
		n -= k
	}
	return out
}

// standing lists the reservations of jobs that still wait after the plan.
func (d *decider) standing() []Reservation {
	var out []Reservation
	for _, e := range d.reservations {
		if e.job.left > 0 && !e.job.refused {
			out = append(out, *e.reservation)
		}
	}
	return out
}
