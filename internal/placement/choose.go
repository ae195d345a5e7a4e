package placement

import "math"

// choose returns the best worker for a, or -1, with the account of the choice.
func (d *decider) choose(a *ask, j *jobState) (int, Explanation) {
	best, counts := d.rate(a)
	if best < 0 {
		return -1, Explanation{}
	}
	return best, Explanation{
		Considered: len(d.c.workers),
		Rejected:   counts.list(),
		Score:      d.c.parts(best, a),
		Decisions:  j.view.Policy.Decisions,
	}
}

// neverEnds stands for the end of a task whose run time is not known.
const neverEnds = math.MaxInt64

// end is when a is expected to have ended, for comparisons.
func (a *ask) end() int64 {
	if a.endsBy == 0 {
		return neverEnds
	}
	return a.endsBy
}

// knownFull reports whether a fits on no worker, as an earlier task of the
// same size did not which would have ended no later. Room only shrinks while
// a queue is worked through, so that this stays true.
func (d *decider) knownFull(a *ask) bool {
	end, ok := d.full[a.size]
	return ok && a.end() >= end
}

// noteFull remembers that a fits on no worker.
func (d *decider) noteFull(a *ask) {
	if len(a.avoid) > 0 {
		return
	}
	if end, ok := d.full[a.size]; !ok || a.end() < end {
		d.full[a.size] = a.end()
	}
}

// forgetFull is called when room may have grown.
func (d *decider) forgetFull() {
	clear(d.full)
	for _, t := range d.tables {
		t.gangFails = 0
	}
}
