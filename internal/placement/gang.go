package placement

import "kumquatwing/internal/model"

// placeGang places all pending tasks of the gang j, or none of them.
func (p *planner) placeGang(j *jobState) {
	n := len(j.view.Pending)
	if !p.gangReady(j) {
		j.setWaitReason(ReasonBackoff)
		return
	}
	if !p.workspaces[j.workspace].allows(j.view.Spec.Size.Scale(int64(n))) {
		j.setWaitReason(ReasonLimit)
		return
	}
	a := p.requestFor(j, 0)
	if p.knownUnplaceable(a) || !p.hasSlots(a, n) {
		j.setWaitReason(ReasonNoGangCapacity)
		return
	}
	chosen, ok := p.chooseGang(j)
	if !ok {
		j.setWaitReason(ReasonNoGangCapacity)
		return
	}
	for i, c := range chosen {
		p.place(j, i, c.worker, c.explain)
	}
}

// gangReady reports whether no pending task of the gang is in back-off.
func (p *planner) gangReady(j *jobState) bool {
	for i := range j.view.Pending {
		if j.view.Pending[i].NotBeforeMillis > p.s.NowMillis {
			return false
		}
	}
	return true
}

// hasSlots reports whether the workers have free capacity for n tasks like a at
// the same time.
func (p *planner) hasSlots(a *taskRequest, n int) bool {
	t := p.existingTable(a)
	if t == nil && !p.c.fitsAnyWorker(a) {
		return false
	}
	if t == nil {
		t = p.table(a)
	}
	if t == nil {
		return p.hasSlotsOn(a, n, func(w int) bool { return p.c.reject(w, a) == accepted })
	}
	if t.accepted == 0 || t.smallestFailingGang != 0 && n >= t.smallestFailingGang {
		return false
	}
	ok := p.hasSlotsOn(a, n, func(w int) bool { return t.filters[w] == accepted })
	if !ok {
		t.smallestFailingGang = n
	}
	return ok
}

// hasSlotsOn reports whether the workers for which eligible returns true have
// free capacity for n tasks like a at the same time.
func (p *planner) hasSlotsOn(a *taskRequest, n int, eligible func(w int) bool) bool {
	found := 0
	for w := range p.c.workers {
		if !eligible(w) {
			continue
		}
		if found += slotsIn(p.c.usableCapacity(w, a), a.size, n-found); found >= n {
			return true
		}
	}
	return false
}

// gangChoice is the worker chosen for one task of a gang.
type gangChoice struct {
	worker  int
	explain Explanation
}

// chooseGang chooses a worker for each pending task of the gang. Each choice
// allocates its capacity, so that the next one is made without it; all of it is
// deallocated before chooseGang returns.
func (p *planner) chooseGang(j *jobState) ([]gangChoice, bool) {
	chosen := make([]gangChoice, 0, len(j.view.Pending))
	size := j.view.Spec.Size
	defer func() { p.releaseGang(chosen, size) }()
	for i := range j.view.Pending {
		w, explain := p.choose(p.requestFor(j, i), j)
		if w < 0 {
			return nil, false
		}
		p.c.allocate(w, size)
		chosen = append(chosen, gangChoice{w, explain})
	}
	return chosen, true
}

func (p *planner) releaseGang(chosen []gangChoice, size model.Resources) {
	for _, c := range chosen {
		p.c.deallocate(c.worker, size)
	}
}
