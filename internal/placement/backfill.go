package placement

import "slices"

// backfillMarginPercent is added to a task's estimated run time before the task
// may use reserved capacity, since tasks often run longer than estimated.
const backfillMarginPercent = 50

// endsBy returns the time by which a task started at now is expected to have
// ended, including the margin; 0 if its run time is not known.
func endsBy(now, runMillis int64) int64 {
	if runMillis <= 0 {
		return 0
	}
	return now + runMillis*(100+backfillMarginPercent)/100
}

// mayBackfill reports whether a task may run in the reserved capacity of worker
// w: it must be expected to end before the first of the worker's reservations
// starts.
func (c *workerCapacity) mayBackfill(w int, a *taskRequest) bool {
	if a.endsBy == 0 || len(c.starts[w]) == 0 {
		return false
	}
	return a.endsBy <= slices.Min(c.starts[w])
}
