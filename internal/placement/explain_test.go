package placement

import (
	"cmp"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"kumquatwing/internal/model"
)

// replay follows a plan step by step and counts by brute force.
type replay struct {
	s      *Snapshot
	p      *Plan
	free   map[model.WorkerID]model.Resources
	jobs   map[model.JobID]*JobView
	placed map[model.JobID]int
	tasks  map[model.TaskID]bool
}

func newReplay(s *Snapshot, p *Plan) *replay {
	r := &replay{
		s: s, p: p,
		free:   make(map[model.WorkerID]model.Resources),
		jobs:   make(map[model.JobID]*JobView),
		placed: make(map[model.JobID]int),
		tasks:  make(map[model.TaskID]bool),
	}
	for _, w := range s.Workers {
		r.free[w.ID] = w.Free
	}
	for i := range s.Jobs {
		r.jobs[s.Jobs[i].Spec.ID] = &s.Jobs[i]
	}
	return r
}

func (r *replay) place(p *Placement) {
	r.free[p.Worker] = r.free[p.Worker].Sub(r.jobs[p.Job].Spec.Size)
	r.placed[p.Job]++
	r.tasks[p.Task] = true
}

// during lists the reservations that stand while j is placed.
func (r *replay) during(j *JobView) []Reservation {
	var out []Reservation
	held := make(map[model.WorkerID]model.Resources)
	before := slices.Clone(r.s.Reservations)
	slices.SortFunc(before, func(a, b Reservation) int { return cmp.Compare(a.Job, b.Job) })
	for _, o := range before {
		owner := r.jobs[o.Job]
		if o.UntilMillis <= r.s.NowMillis || owner == nil {
			continue
		}
		covered := 0
		o.Workers = slices.Clone(o.Workers)
		for i := range o.Workers {
			r.shrink(&o.Workers[i], owner, held)
			covered += o.Workers[i].Tasks
		}
		covered = min(covered, len(owner.Pending))
		o.Workers = firstRooms(o.Workers, owner.Spec.Size, covered-r.placed[o.Job])
		out = append(out, o)
	}
	if isUrgent(j) {
		return out
	}
	out = slices.DeleteFunc(out, func(o Reservation) bool { return o.Class == model.ClassUrgent })
	for _, o := range r.p.Reservations {
		if o.Class == model.ClassUrgent {
			out = append(out, o)
		}
	}
	return out
}

// shrink takes tasks off room until it fits the worker besides the room that is
// held there for others before it.
func (r *replay) shrink(room *ReservedRoom, owner *JobView, held map[model.WorkerID]model.Resources) {
	size := owner.Spec.Size
	for _, w := range r.s.Workers {
		if w.ID != room.Worker {
			continue
		}
		for room.Tasks > 0 && !size.Scale(int64(room.Tasks)).Add(held[w.ID]).Fits(w.Size) {
			room.Tasks--
		}
		if !isUrgent(owner) {
			held[w.ID] = held[w.ID].Add(size.Scale(int64(room.Tasks)))
		}
	}
}

// count counts the workers by the first filter that rejects a task of j.
func (r *replay) count(j *JobView, avoid []model.WorkerID, reservations []Reservation) []FilterCount {
	byName := make(map[string]int)
	for i := range r.s.Workers {
		if name := r.rejectedBy(j, avoid, &r.s.Workers[i], reservations); name != "" {
			byName[name]++
		}
	}
	var out []FilterCount
	for _, f := range filterNames {
		if byName[f] > 0 {
			out = append(out, FilterCount{f, byName[f]})
		}
	}
	return out
}

func (r *replay) rejectedBy(j *JobView, avoid []model.WorkerID, w *WorkerView, reservations []Reservation) string {
	free, need := r.free[w.ID], j.Spec.Size
	switch {
	case w.State != model.WorkerReady:
		return FilterState
	case slices.Contains(avoid, w.ID):
		return FilterAvoid
	case need.Exceeds(w.Size) != "":
		return FilterSize
	case need.Exceeds(free) != "":
		return need.Exceeds(free)
	case need.Exceeds(free.Sub(r.heldFrom(j, w.ID, reservations))) != "":
		return FilterReserved
	}
	return ""
}

func (r *replay) heldFrom(j *JobView, w model.WorkerID, reservations []Reservation) model.Resources {
	var urgent, other model.Resources
	earliest := int64(neverEnds)
	for _, o := range reservations {
		for _, room := range o.Workers {
			switch {
			case room.Worker != w || o.Job == j.Spec.ID:
			case o.Class == model.ClassUrgent:
				urgent = urgent.Add(room.Room)
			default:
				other = other.Add(room.Room)
				earliest = min(earliest, o.StartMillis)
			}
		}
	}
	end := endsBy(r.s.NowMillis, j.RunMillis)
	backfill := j.Spec.Class != model.ClassService && end != 0 && end <= earliest
	if isUrgent(j) || backfill {
		return urgent
	}
	return urgent.Add(other)
}

func avoidOf(j *JobView, id model.TaskID) []model.WorkerID {
	for _, p := range j.Pending {
		if p.ID == id {
			return p.Avoid
		}
	}
	return nil
}

// firstLeft is the first task of j that the plan leaves and nothing holds back.
func (r *replay) firstLeft(j *JobView) *PendingTask {
	var held *PendingTask
	for i := range j.Pending {
		p := &j.Pending[i]
		if r.tasks[p.ID] {
			continue
		}
		if p.NotBeforeMillis <= r.s.NowMillis {
			return p
		}
		if held == nil {
			held = p
		}
	}
	return held
}

func TestExplanationsAreTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := genSnapshot(t)
		p := Decide(s)
		r := newReplay(s, p)
		for i := range p.Place {
			pl := &p.Place[i]
			j := r.jobs[pl.Job]
			want := r.count(j, avoidOf(j, pl.Task), r.during(j))
			if !slices.Equal(pl.Explain.Rejected, want) {
				t.Fatalf("placement of %s: got %v, counted %v", pl.Task, pl.Explain.Rejected, want)
			}
			r.place(pl)
		}
		for _, w := range p.Waits {
			if w.Reason == ReasonNextPlan && len(s.Reservations) == 0 {
				t.Fatalf("%s waits though there was room all the time", w.Job)
			}
			if w.Explain.Considered == 0 {
				continue
			}
			j := r.jobs[w.Job]
			want := r.count(j, r.firstLeft(j).Avoid, p.Reservations)
			if !slices.Equal(w.Explain.Rejected, want) {
				t.Fatalf("wait of %s (%s): got %v, counted %v", w.Job, w.Reason, w.Explain.Rejected, want)
			}
		}
	})
}
