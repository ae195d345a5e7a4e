package placement

import (
	"cmp"
	"slices"
	"strings"

	"kumquatwing/internal/model"
)

const (
	// stopMillis is how long a run that was told to stop is expected to take.
	stopMillis = 2000
	// overdueMinMillis is the least that a run past its expected end is
	// expected to go on.
	overdueMinMillis = 1000
)

// runIndex finds the runs of a worker. It is built when a plan first needs it.
type runIndex struct {
	runs []RunView
	// byWorker holds the runs of each worker side by side; sorted marks workers
	// whose runs are in the order of cheapestFirst.
	byWorker [][]indexedRun
	sorted   []bool
	// coming is the room of runs that stop, by worker.
	coming []model.Resources
	// stopped marks the runs that this plan preempts, by index of runs.
	stopped []bool
}

// indexedRun is what the searches need of a run.
type indexedRun struct {
	// run is the index of the run.
	run   int32
	ends  int64
	lost  int64
	holds model.Resources
}

func newRunIndex(c *cell, s *Snapshot) *runIndex {
	x := &runIndex{
		runs:     s.Runs,
		byWorker: make([][]indexedRun, len(c.workers)),
		sorted:   make([]bool, len(c.workers)),
		coming:   make([]model.Resources, len(c.workers)),
		stopped:  make([]bool, len(s.Runs)),
	}
	on := x.makeRoom(c)
	for i, w := range on {
		if w < 0 {
			continue
		}
		r := &x.runs[i]
		x.byWorker[w] = append(x.byWorker[w], indexedRun{int32(i), expectedEnd(r, s.NowMillis), lostWork(r, s.NowMillis), r.Holds})
		if r.Stopping {
			x.coming[w] = x.coming[w].Add(r.Holds)
		}
	}
	return x
}

// makeRoom gives each worker of byWorker room for its runs, and returns the
// worker of each run, or -1.
func (x *runIndex) makeRoom(c *cell) []int32 {
	on := make([]int32, len(x.runs))
	count := make([]int32, len(c.workers))
	for i := range x.runs {
		w, ok := c.byID[x.runs[i].Worker]
		if !ok {
			on[i] = -1
			continue
		}
		on[i] = w
		count[w]++
	}
	all := make([]indexedRun, len(x.runs))
	for w, n := range count {
		x.byWorker[w], all = all[:0:n], all[n:]
	}
	return on
}

// cheapestFirst lists the runs of worker w, those that lose least work first.
func (x *runIndex) cheapestFirst(w int) []indexedRun {
	if !x.sorted[w] {
		slices.SortFunc(x.byWorker[w], x.compareLost)
		x.sorted[w] = true
	}
	return x.byWorker[w]
}

// compareLost orders runs by the work that a stop loses, then by task.
func (x *runIndex) compareLost(a, b indexedRun) int {
	if d := cmp.Compare(a.lost, b.lost); d != 0 {
		return d
	}
	return strings.Compare(string(x.runs[a.run].Task), string(x.runs[b.run].Task))
}

// acceleratorMilliCPU is what an accelerator counts for in lost work.
const acceleratorMilliCPU = 8000

// lostWork is the work done since the newest checkpoint, in thousandths of a
// core times milliseconds.
func lostWork(r *RunView, now int64) int64 {
	since := now - max(r.StartedMillis, r.CheckpointMillis)
	rate := r.Holds.MilliCPU + acceleratorMilliCPU*r.Holds.Accelerators
	return max(since, 0) * max(rate, 1)
}

// expectedEnd is when the run is expected to free its room; neverEnds if that
// is not known. One that is overdue is expected to be as late again.
func expectedEnd(r *RunView, now int64) int64 {
	switch {
	case r.Stopping:
		return now + stopMillis
	case r.EndsMillis == 0:
		return neverEnds
	case r.EndsMillis > now:
		return r.EndsMillis
	default:
		return now + max(now-r.EndsMillis, overdueMinMillis)
	}
}

// stop marks the run as preempted by this plan.
func (x *runIndex) stop(w int, run int32) {
	x.stopped[run] = true
	x.coming[w] = x.coming[w].Add(x.runs[run].Holds)
}

// goOn undoes stop.
func (x *runIndex) goOn(w int, run int32) {
	x.stopped[run] = false
	x.coming[w] = x.coming[w].Sub(x.runs[run].Holds)
}

// mayStop reports whether the run may ever be preempted, and not yet is.
func (x *runIndex) mayStop(run int32) bool {
	r := &x.runs[run]
	return r.Preemptible && r.Class == model.ClassBatch && !r.Stopping && !x.stopped[run]
}

// index returns the runs' index, built at the first call.
func (d *decider) index() *runIndex {
	if d.runs == nil {
		d.runs = newRunIndex(d.c, d.s)
	}
	return d.runs
}
