package plan

import "time"

const (
	// headroomShare is the share of a pool's CPU capacity that is kept free for
	// the most urgent work. Only free capacity on workers of which more than
	// fragmentShare is free counts.
	headroomShare = 0.04
	// fragmentShare is the share of a worker's CPU capacity up to which its free
	// capacity is a fragment: too small to count as headroom.
	fragmentShare = 0.15
	// headroomSlack is the least time before its latest start at which a step must
	// leave the headroom to more urgent work.
	headroomSlack = time.Second
)

// mustLeaveHeadroom reports whether the step may use only fragments, so that more
// urgent work that arrives later can start at once. That holds for steps that
// have slack and lack the highest priority while little of the pool is free.
func (p *planner) mustLeaveHeadroom(s *Pending) bool {
	if s.Queue.Priority == 0 || s.latestStart().Sub(p.in.Now) < headroomSlack {
		return false
	}
	return p.usableFreeShare(s.Pool) < headroomShare
}

// usableFreeShare returns the free share of the pool's CPU capacity without
// fragments.
func (p *planner) usableFreeShare(pool string) float64 {
	var free, all int64
	for _, w := range p.pools[pool] {
		all += w.Capacity.MilliCPU
		if hasUsableCapacity(w) {
			free += w.Free.MilliCPU
		}
	}
	return float64(free) / float64(max(1, all))
}

// hasUsableCapacity reports whether the worker's free capacity is more than a
// fragment.
func hasUsableCapacity(w *Worker) bool {
	return float64(w.Free.MilliCPU) > fragmentShare*float64(w.Capacity.MilliCPU)
}
