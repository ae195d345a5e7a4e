package placement

import "slices"

// backfillMarginPercent is added to a task's expected run time before it is
// let into reserved room, since run times are often longer than expected.
const backfillMarginPercent = 50

// endsBy is when a task that starts at now is expected to have ended, with the
// margin; 0 if its run time is not known.
func endsBy(now, runMillis int64) int64 {
	if runMillis <= 0 {
		return 0
	}
	return now + runMillis*(100+backfillMarginPercent)/100
}

// mayBackfill reports whether a is expected to end before every reservation on
// worker w starts, so that it may run in reserved room in the meantime.
func (c *cell) mayBackfill(w int, a *ask) bool {
	if a.endsBy == 0 || len(c.starts[w]) == 0 {
		return false
	}
	return a.endsBy <= slices.Min(c.starts[w])
}
