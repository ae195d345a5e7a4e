package placement

import (
	"cmp"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"kumquatwing/internal/model"
)

// replay applies the placements of a plan one by one and recounts the rejected
// workers by brute force.
type replay struct {
	s    *Snapshot
	p    *Plan
	free map[model.WorkerID]model.Resources
	jobs map[model.JobID]*JobView
	// placed counts the placements of each job so far, tasks has their tasks.
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

// reservationsFor lists the reservations that are active while j is placed: those
// of earlier plans, without the tasks placed since, and for a job that is not
// urgent this plan's reservations for urgent jobs in place of the earlier ones.
func (r *replay) reservationsFor(j *JobView) []Reservation {
	var out []Reservation
	reserved := make(map[model.WorkerID]model.Resources)
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
			r.fitToWorker(&o.Workers[i], owner, reserved)
			covered += o.Workers[i].Tasks
		}
		covered = min(covered, len(owner.Pending))
		o.Workers = reservedForTasks(o.Workers, owner.Spec.Size, covered-r.placed[o.Job])
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

// fitToWorker reduces the tasks of rc, a part of owner's reservation, until they
// fit on the worker together with reserved, the capacity that reservations handled
// earlier keep there. If owner is not urgent, it adds the result to reserved.
func (r *replay) fitToWorker(rc *ReservedCapacity, owner *JobView, reserved map[model.WorkerID]model.Resources) {
	size := owner.Spec.Size
	for _, w := range r.s.Workers {
		if w.ID != rc.Worker {
			continue
		}
		for rc.Tasks > 0 && !size.Scale(int64(rc.Tasks)).Add(reserved[w.ID]).Fits(w.Size) {
			rc.Tasks--
		}
		if !isUrgent(owner) {
			reserved[w.ID] = reserved[w.ID].Add(size.Scale(int64(rc.Tasks)))
		}
	}
}

// countRejections counts the workers by the first filter that rejects a task of j.
func (r *replay) countRejections(j *JobView, avoid []model.WorkerID, reservations []Reservation) []FilterCount {
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

// rejectedBy returns the name of the first filter that rejects w for a task of j,
// or "".
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
	case need.Exceeds(free.Sub(r.reservedAgainst(j, w.ID, reservations))) != "":
		return FilterReserved
	}
	return ""
}

// reservedAgainst sums the capacity of worker w that reservations keep from j.
func (r *replay) reservedAgainst(j *JobView, w model.WorkerID, reservations []Reservation) model.Resources {
	var urgent, other model.Resources
	earliest := int64(neverEnds)
	for _, o := range reservations {
		for _, rc := range o.Workers {
			switch {
			case rc.Worker != w || o.Job == j.Spec.ID:
			case o.Class == model.ClassUrgent:
				urgent = urgent.Add(rc.Capacity)
			default:
				other = other.Add(rc.Capacity)
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

// avoidOf returns the workers that a pending task of j has to avoid.
func avoidOf(j *JobView, id model.TaskID) []model.WorkerID {
	for _, p := range j.Pending {
		if p.ID == id {
			return p.Avoid
		}
	}
	return nil
}

// firstWaiting returns the first task of j that is neither placed nor in back-off.
// If all that are not placed are in back-off, it returns the first of them.
func (r *replay) firstWaiting(j *JobView) *PendingTask {
	var first *PendingTask
	for i := range j.Pending {
		p := &j.Pending[i]
		if r.tasks[p.ID] {
			continue
		}
		if p.NotBeforeMillis <= r.s.NowMillis {
			return p
		}
		if first == nil {
			first = p
		}
	}
	return first
}

// TestExplanationsMatchReplay checks the counts of rejected workers: those of a
// placement are for the moment at which it was chosen, those of a wait for the
// capacity that is free after the whole plan.
func TestExplanationsMatchReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := genSnapshot(t)
		p := Decide(s)
		r := newReplay(s, p)
		for i := range p.Place {
			pl := &p.Place[i]
			j := r.jobs[pl.Job]
			want := r.countRejections(j, avoidOf(j, pl.Task), r.reservationsFor(j))
			if !slices.Equal(pl.Explain.Rejected, want) {
				t.Fatalf("placement of %s: explanation says %v, replay counts %v", pl.Task, pl.Explain.Rejected, want)
			}
			r.place(pl)
		}
		for _, w := range p.Waits {
			if w.Reason == ReasonNextPlan && len(s.Reservations) == 0 {
				t.Fatalf("%s waits for the next plan although no reservation could have freed capacity late", w.Job)
			}
			if w.Explain.Considered == 0 {
				continue
			}
			j := r.jobs[w.Job]
			want := r.countRejections(j, r.firstWaiting(j).Avoid, p.Reservations)
			if !slices.Equal(w.Explain.Rejected, want) {
				t.Fatalf("wait of %s (%s): explanation says %v, replay counts %v", w.Job, w.Reason, w.Explain.Rejected, want)
			}
		}
	})
}
