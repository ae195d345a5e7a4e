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
	// perRack and perWorker count the job's tasks; nil unless service.
	perRack   []int32
	perWorker map[int32]int32
	scorers   []scorer
}

// filterID is the place of a filter in filters.
type filterID int

// accepted is no filter's id.
const accepted filterID = -1

// filter rejects workers that can't take a task.
type filter struct {
	name   string
	reject func(c *cell, w int, a *ask) bool
}

// filters are asked in this order. The first three can't change within a plan.
var filters = [...]filter{
	{FilterState, rejectState},
	{FilterAvoid, rejectAvoid},
	{FilterSize, rejectSize},
	{FilterCPU, rejectCPU},
	{FilterMemory, rejectMemory},
	{FilterAccelerators, rejectAccelerators},
	{FilterReserved, rejectReserved},
}

// rejections counts workers per filter.
type rejections [len(filters)]int

// reject returns the first filter that rejects worker w, or accepted.
func (c *cell) reject(w int, a *ask) filterID {
	for i := range filters {
		if filters[i].reject(c, w, a) {
			return filterID(i)
		}
	}
	return accepted
}

func rejectState(c *cell, w int, _ *ask) bool {
	return c.workers[w].State != model.WorkerReady
}

func rejectAvoid(c *cell, w int, a *ask) bool {
	for _, id := range a.avoid {
		if id == c.workers[w].ID {
			return true
		}
	}
	return false
}

func rejectSize(c *cell, w int, a *ask) bool { return !a.size.Fits(c.workers[w].Size) }

func rejectCPU(c *cell, w int, a *ask) bool { return a.size.MilliCPU > c.free[w].MilliCPU }

func rejectMemory(c *cell, w int, a *ask) bool { return a.size.MemoryMB > c.free[w].MemoryMB }

func rejectAccelerators(c *cell, w int, a *ask) bool {
	return a.size.Accelerators > c.free[w].Accelerators
}

func rejectReserved(c *cell, w int, a *ask) bool { return !a.size.Fits(c.room(w, a)) }
