package placement

import "kumquatwing/internal/model"

// ask is what a job's task wants of a worker.
type ask struct {
	size    model.Resources
	urgent  bool
	service bool
	// endsBy is when the task is expected to have ended, with a margin for
	// wrong estimates; 0 if it is not known.
	endsBy int64
	// avoid lists workers on which the task has failed.
	avoid []model.WorkerID
	// perRack and perWorker count the job's tasks; nil unless service. own is
	// the service's candidate table, since its counts are no other job's.
	perRack   []int32
	perWorker []int32
	own       *table
	weights   *points
}

// filterID names a filter by its place in filterNames.
type filterID int8

// The filters, in the order in which they are asked. The first three can't
// change within a plan.
const (
	filterState filterID = iota
	filterAvoid
	filterSize
	filterCPU
	filterMemory
	filterAccelerators
	filterReserved
	filterCount
	// accepted is no filter's id.
	accepted filterID = -1
)

// filterNames are the filters' names in explanations.
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

// reject returns the first filter that rejects worker w, or accepted. It is
// one switch, not a list of functions, since it runs for every worker and task.
func (c *cell) reject(w int, a *ask) filterID {
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
	case c.reserved[w] && !a.size.Fits(c.room(w, a)):
		return filterReserved
	}
	return accepted
}

// avoided reports whether a's task has failed on worker w.
func (c *cell) avoided(w int, a *ask) bool {
	for _, id := range a.avoid {
		if id == c.workers[w].ID {
			return true
		}
	}
	return false
}

// takes reports whether worker w could take a if it had room.
func (c *cell) takes(w int, a *ask) bool {
	return c.ready[w] && a.size.Fits(c.size[w]) && !c.avoided(w, a)
}
