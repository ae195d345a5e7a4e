package placement

import "kumquatwing/internal/model"

// taskRequest is what a task requires of a worker. All tasks of a job
// have the same request except for avoid.
type taskRequest struct {
	size    model.Resources
	urgent  bool
	service bool
	// endsBy is when the task would end if it started now, with a margin for
	// inexact estimates; 0 if the run time is unknown.
	endsBy int64
	// avoid lists the workers on which the task has failed.
	avoid []model.WorkerID
	// perRack and perWorker count the tasks of the same service on each rack and
	// worker; nil unless service is set.
	perRack   []int32
	perWorker []int32
	// serviceTable is the candidate table of a service. It can't be shared with other
	// jobs, because its scores depend on perRack and perWorker.
	serviceTable *table
	weights      *points
}

// filterID identifies a filter; it is an index of filterNames.
type filterID int8

// The filters, in the order in which they run. The results of the first three
// don't change while a plan is computed.
const (
	filterState filterID = iota
	filterAvoid
	filterSize
	filterCPU
	filterMemory
	filterAccelerators
	filterReserved
	filterCount
	// accepted means that no filter rejects the worker.
	accepted filterID = -1
)

// filterNames holds the names of the filters in explanations.
var filterNames = [filterCount]string{
	FilterState,
	FilterAvoid,
	FilterSize,
	FilterCPU,
	FilterMemory,
	FilterAccelerators,
	FilterReserved,
}

// rejections counts workers per filter.
type rejections [filterCount]int

// reject returns the first filter that rejects worker w for a, or accepted. It
// is a single switch rather than a list of functions for speed: it runs for
// every pair of worker and task.
func (c *workerCapacity) reject(w int, a *taskRequest) filterID {
	free := &c.free[w]
	switch {
	case !c.ready[w]:
		return filterState
	case len(a.avoid) > 0 && c.avoided(w, a):
		return filterAvoid
	case !a.size.Fits(c.size[w]):
		return filterSize
	case a.size.MilliCPU > free.MilliCPU:
		return filterCPU
	case a.size.MemoryMB > free.MemoryMB:
		return filterMemory
	case a.size.Accelerators > free.Accelerators:
		return filterAccelerators
	case c.hasReserved[w] && !a.size.Fits(c.usableCapacity(w, a)):
		return filterReserved
	}
	return accepted
}

// avoided reports whether worker w is in a.avoid.
func (c *workerCapacity) avoided(w int, a *taskRequest) bool {
	for _, id := range a.avoid {
		if id == c.workers[w].ID {
			return true
		}
	}
	return false
}

// eligible reports whether worker w could run a if it were empty.
func (c *workerCapacity) eligible(w int, a *taskRequest) bool {
	return c.ready[w] && a.size.Fits(c.size[w]) && !c.avoided(w, a)
}
