package placement

import "math"

// choose returns the best worker for a and the explanation of the choice. The
// worker is -1 if every worker is rejected.
func (p *planner) choose(a *taskRequest, j *jobState) (int, Explanation) {
	best, counts := p.bestWorker(a)
	if best < 0 {
		return -1, Explanation{}
	}
	return best, Explanation{
		Considered: len(p.c.workers),
		Rejected:   counts.filterCounts(),
		Score:      p.c.scoreParts(best, a),
		Decisions:  j.view.Policy.Decisions,
	}
}

// neverEnds is the expected end of a task whose run time is unknown.
const neverEnds = math.MaxInt64

// end returns a.endsBy, or neverEnds if that is unknown, for comparisons.
func (a *taskRequest) end() int64 {
	if a.endsBy == 0 {
		return neverEnds
	}
	return a.endsBy
}

// knownUnplaceable reports whether a is known to fit on no worker: an earlier
// request of the same size, which would have ended no later and so could
// backfill at least as often, did not fit. The result stays valid while one
// queue is processed, because free capacity only shrinks in the meantime.
func (p *planner) knownUnplaceable(a *taskRequest) bool {
	end, ok := p.unplaceable[a.size]
	return ok && a.end() >= end
}

// recordUnplaceable records that a fits on no worker. It ignores requests with
// workers to avoid, since other tasks of the same size may fit on these workers.
func (p *planner) recordUnplaceable(a *taskRequest) {
	if len(a.avoid) > 0 {
		return
	}
	if end, ok := p.unplaceable[a.size]; !ok || a.end() < end {
		p.unplaceable[a.size] = a.end()
	}
}

// resetUnplaceable discards the sizes, and the gang sizes of each table, that are
// known not to fit. It must be called whenever usable capacity may have grown.
func (p *planner) resetUnplaceable() {
	clear(p.unplaceable)
	for _, t := range p.tables {
		t.smallestFailingGang = 0
	}
}
