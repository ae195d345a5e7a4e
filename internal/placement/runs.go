package placement

import (
	"cmp"
	"slices"
	"strings"

	"kumquatwing/internal/model"
)

const (
	// stopMillis is how long a running task is expected to take to stop.
	stopMillis = 2000
	// overdueMinMillis is the least time that a task past its expected end is
	// expected to run on.
	overdueMinMillis = 1000
)

// runIndex holds the running tasks by worker. It is built when a plan first
// needs it.
type runIndex struct {
	runs []RunningTask
	// byWorker holds the running tasks of each worker in one slice; sorted
	// marks the workers whose slice has been sorted by cheapestFirst.
	byWorker [][]indexedRun
	sorted   []bool
	// releasing is the capacity that stopping tasks hold, by worker. It becomes
	// free when they have ended.
	releasing []model.Resources
	// stopped marks the tasks that this plan preempts, by index of runs.
	stopped []bool
}

// indexedRun is the part of a running task that the searches need.
type indexedRun struct {
	// run is the index of the task in Snapshot.Runs.
	run int32
	// ends is the expected end, lost the work that preemption loses.
	ends      int64
	lost      int64
	allocated model.Resources
}

func newRunIndex(c *workerCapacity, s *Snapshot) *runIndex {
	x := &runIndex{
		runs:      s.Runs,
		byWorker:  make([][]indexedRun, len(c.workers)),
		sorted:    make([]bool, len(c.workers)),
		releasing: make([]model.Resources, len(c.workers)),
		stopped:   make([]bool, len(s.Runs)),
	}
	workerOf := x.allocate(c)
	for i, w := range workerOf {
		if w < 0 {
			continue
		}
		r := &x.runs[i]
		x.byWorker[w] = append(x.byWorker[w], indexedRun{int32(i), expectedEnd(r, s.NowMillis), lostWork(r, s.NowMillis), r.Allocated})
		if r.Stopping {
			x.releasing[w] = x.releasing[w].Add(r.Allocated)
		}
	}
	return x
}

// allocate sets the capacity of each worker's slice in byWorker to the number
// of its running tasks. It returns the worker of each task, or -1 if the worker
// is not in the snapshot.
func (x *runIndex) allocate(c *workerCapacity) []int32 {
	workerOf := make([]int32, len(x.runs))
	count := make([]int32, len(c.workers))
	for i := range x.runs {
		w, ok := c.byID[x.runs[i].Worker]
		if !ok {
			workerOf[i] = -1
			continue
		}
		workerOf[i] = w
		count[w]++
	}
	all := make([]indexedRun, len(x.runs))
	for w, n := range count {
		x.byWorker[w], all = all[:0:n], all[n:]
	}
	return workerOf
}

// cheapestFirst returns the running tasks of worker w, those that lose the
// least work when preempted first.
func (x *runIndex) cheapestFirst(w int) []indexedRun {
	if !x.sorted[w] {
		slices.SortFunc(x.byWorker[w], x.compareLost)
		x.sorted[w] = true
	}
	return x.byWorker[w]
}

// compareLost orders running tasks by the work that preemption loses, then by
// task id.
func (x *runIndex) compareLost(a, b indexedRun) int {
	if d := cmp.Compare(a.lost, b.lost); d != 0 {
		return d
	}
	return strings.Compare(string(x.runs[a.run].Task), string(x.runs[b.run].Task))
}

// acceleratorMilliCPU is the CPU to which one accelerator is equivalent in lost
// work.
const acceleratorMilliCPU = 8000

// lostWork returns the work done since the start or the latest checkpoint, in
// thousandths of a core times milliseconds.
func lostWork(r *RunningTask, now int64) int64 {
	since := now - max(r.StartedMillis, r.CheckpointMillis)
	rate := r.Allocated.MilliCPU + acceleratorMilliCPU*r.Allocated.Accelerators
	return max(since, 0) * max(rate, 1)
}

// expectedEnd returns when the running task is expected to free its capacity;
// neverEnds if its run time is not known. A task past its expected end is
// expected to run on for as long as it is overdue, or overdueMinMillis if that
// is more.
func expectedEnd(r *RunningTask, now int64) int64 {
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

// stop marks the running task as preempted by this plan.
func (x *runIndex) stop(w int, run int32) {
	x.stopped[run] = true
	x.releasing[w] = x.releasing[w].Add(x.runs[run].Allocated)
}

// undoStop reverts stop after the preemption has been dropped from the plan.
func (x *runIndex) undoStop(w int, run int32) {
	x.stopped[run] = false
	x.releasing[w] = x.releasing[w].Sub(x.runs[run].Allocated)
}

// preemptible reports whether the running task may be preempted and is neither
// stopping nor preempted by this plan.
func (x *runIndex) preemptible(run int32) bool {
	r := &x.runs[run]
	return r.Preemptible && r.Class == model.ClassBatch && !r.Stopping && !x.stopped[run]
}

// index returns the index of the running tasks, which the first call builds.
func (p *planner) index() *runIndex {
	if p.runs == nil {
		p.runs = newRunIndex(p.c, p.s)
	}
	return p.runs
}
