package plan

import (
	"cmp"
	"slices"

	"kumquatwing/internal/model"
)

// maxLostWorkShare limits the work that is lost to a preemption, as a share of the
// work of the gang that it makes room for. maxLostWorkShareUrgent applies to gangs
// within urgentSlack of their latest start.
const (
	maxLostWorkShare       = 0.02
	maxLostWorkShareUrgent = 0.40
)

// slotOption is the next task slot on a worker.
type slotOption struct {
	// possible reports that there is such a slot.
	possible bool
	// lost is the work that is lost with the runs to preempt for it, in
	// core-milliseconds.
	lost float64
}

// preemption assigns a gang to free capacity and to that of less urgent runs. slots
// holds the worker of each of the gang's waiting tasks.
type preemption struct {
	slots   []*Worker
	victims []*Victim
	// victimWorkers holds the worker of the victim with the same index.
	victimWorkers []*Worker
}

// preempt assigns a gang to the eligible workers and stops less urgent runs for it,
// choosing the slots that lose the least work. It returns the worker of each task,
// or nil, stopping nothing, if the gang can't fit or more than maxLostShare of its
// work would be lost. If the gang fits only on workers whose tickets may expire
// before the stops have ended, it renews the tickets and leaves the stops to a
// later plan. A gang that could start on slower workers stops nothing.
func (p *planner) preempt(s *Pending, eligible []*Worker, maxLostShare float64) []*Worker {
	if s.speed.waits {
		return nil
	}
	c := findPreemption(s, p.withLastingTickets(s, eligible), maxLostShare)
	if c == nil {
		if c = findPreemption(s, eligible, maxLostShare); c == nil {
			return nil
		}
		deselect(c.victims)
		p.renewTickets(s, c.slots)
		return c.slots
	}
	for i, v := range c.victims {
		w := c.victimWorkers[i]
		w.Releasing = w.Releasing.Add(v.Need)
		p.out.Stops = append(p.out.Stops, Stop{Worker: w.ID, Task: v.Task, Run: v.Run, For: s.Key})
	}
	return c.slots
}

// slotSearch holds the state of the search for the slots of one gang. The slices
// have one element for each eligible worker.
type slotSearch struct {
	pending *Pending
	workers []*Worker
	options []slotOption
	// free holds the worker's future free capacity beyond the slots taken so far, and
	// taken the number of these.
	free  []model.Resources
	taken []int
	// maxLostWork limits the work that a slot may lose.
	maxLostWork float64
}

// findPreemption assigns the gang's tasks one by one to the slots that lose the
// least work. It returns nil if they don't all fit or more than maxLostShare of the
// gang's work would be lost. It marks the victims of the result as selected.
func findPreemption(s *Pending, eligible []*Worker, maxLostShare float64) *preemption {
	available := func(w *Worker) model.Resources { return w.availableTo(s.Queue.Priority) }
	if !hasSlots(s, eligible, available) {
		return nil
	}
	c := &preemption{}
	lost, maxLostWork := 0.0, maxLostShare*s.waitingWork()
	search := newSlotSearch(s, eligible, maxLostWork)
	for len(c.slots) < len(s.Waiting) {
		i := search.cheapest()
		if i < 0 || lost+search.options[i].lost > maxLostWork {
			deselect(c.victims)
			return nil
		}
		lost += search.options[i].lost
		search.take(i, c)
	}
	return c
}

func newSlotSearch(s *Pending, eligible []*Worker, maxLostWork float64) *slotSearch {
	search := &slotSearch{
		pending: s, workers: eligible, maxLostWork: maxLostWork, options: make([]slotOption, len(eligible)),
		free: make([]model.Resources, len(eligible)), taken: make([]int, len(eligible)),
	}
	for i, w := range eligible {
		search.free[i] = futureFreeCapacity(w)
		search.options[i] = search.nextOption(i)
	}
	return search
}

// nextOption returns the next slot of the worker with index i. It loses the work of
// the runs that nextVictims returns.
func (f *slotSearch) nextOption(i int) slotOption {
	s, w := f.pending, f.workers[i]
	if s.tooSlow(w) || (s.Step.MaxPerWorker > 0 && s.OnWorker[w.ID]+f.taken[i] >= s.Step.MaxPerWorker) {
		return slotOption{}
	}
	capacity, lost := f.free[i], 0.0
	if s.Step.Reserved().Fits(capacity) {
		return slotOption{possible: true}
	}
	for _, v := range w.victimsByLoss() {
		if !v.mayYieldTo(s) {
			continue
		}
		capacity = capacity.Add(v.Need)
		if lost += v.LostWork; lost > f.maxLostWork {
			break
		}
		if s.Step.Reserved().Fits(capacity) {
			return slotOption{possible: true, lost: lost}
		}
	}
	return slotOption{}
}

// nextVictims returns the runs to preempt for the next slot of the worker with index
// i: less urgent ones in the order of victimsByLoss until the task fits.
func (f *slotSearch) nextVictims(i int) []*Victim {
	s := f.pending
	var victims []*Victim
	capacity := f.free[i]
	for _, v := range f.workers[i].victimsByLoss() {
		if s.Step.Reserved().Fits(capacity) {
			break
		}
		if v.mayYieldTo(s) {
			capacity = capacity.Add(v.Need)
			victims = append(victims, v)
		}
	}
	return victims
}

// mayYieldTo reports whether the run may be preempted for the step.
func (v *Victim) mayYieldTo(s *Pending) bool {
	return !v.selected && !v.kept && v.Priority > s.Queue.Priority
}

// cheapest returns the index of the worker whose next slot loses the least work, -1
// if no worker has one.
func (f *slotSearch) cheapest() int {
	best := -1
	for i := range f.options {
		option := &f.options[i]
		if option.possible && (best < 0 || option.lost < f.options[best].lost) {
			best = i
		}
		if best >= 0 && f.options[best].lost == 0 {
			break
		}
	}
	return best
}

// take adds the next slot of the worker with index i to c, and selects its victims.
func (f *slotSearch) take(i int, c *preemption) {
	w := f.workers[i]
	c.slots = append(c.slots, w)
	for _, v := range f.nextVictims(i) {
		v.selected = true
		f.free[i] = f.free[i].Add(v.Need)
		c.victims, c.victimWorkers = append(c.victims, v), append(c.victimWorkers, w)
	}
	f.free[i] = f.free[i].Sub(f.pending.Step.Reserved())
	f.taken[i]++
	f.options[i] = f.nextOption(i)
}

// waitingWork returns the expected work of the waiting tasks, in core-milliseconds.
func (s *Pending) waitingWork() float64 {
	return float64(len(s.Waiting)) * float64(s.Step.Need.MilliCPU) / 1000 * float64(s.TaskTime.Milliseconds())
}

// deselect marks the victims as not preempted by this plan.
func deselect(victims []*Victim) {
	for _, v := range victims {
		v.selected = false
	}
}

// victimsByLoss returns the worker's victims, those with the least lost work per
// core first.
func (w *Worker) victimsByLoss() []*Victim {
	if len(w.byLoss) == len(w.Victims) {
		return w.byLoss
	}
	w.byLoss = make([]*Victim, len(w.Victims))
	for i := range w.Victims {
		w.byLoss[i] = &w.Victims[i]
	}
	slices.SortFunc(w.byLoss, func(a, b *Victim) int {
		return cmp.Or(cmp.Compare(a.lossPerMilliCPU(), b.lossPerMilliCPU()), a.Task.Compare(b.Task))
	})
	return w.byLoss
}

func (v *Victim) lossPerMilliCPU() float64 { return v.LostWork / float64(max(1, v.Need.MilliCPU)) }
