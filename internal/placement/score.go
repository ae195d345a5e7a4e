package placement

import "kumquatwing/internal/model"

// fullPoints is the most that one scorer gives before its weight.
const fullPoints = 1000

// Weights of the scorers. Spread outweighs all others together.
const (
	packWeight    = 2
	balanceWeight = 1
	devicesWeight = 4
	spreadWeight  = 10
)

// workerSpreadPoints is how many points of spread one task of the same job on
// the worker costs; one in the rack costs fullPoints.
const workerSpreadPoints = 200

// scorer rates a worker that all filters have accepted; more points are better.
type scorer struct {
	name   string
	weight int64
	points func(c *cell, w int, a *ask) int64
}

var (
	packScorers = []scorer{
		{ScorerPack, packWeight, scorePack},
		{ScorerBalance, balanceWeight, scoreBalance},
		{ScorerDevices, devicesWeight, scoreDevices},
	}
	serviceScorers = []scorer{
		{ScorerSpread, spreadWeight, scoreSpread},
		{ScorerBalance, balanceWeight, scoreBalance},
		{ScorerDevices, devicesWeight, scoreDevices},
	}
)

// scorersOf returns the scorers of a class.
func scorersOf(class model.Class) []scorer {
	if class == model.ClassService {
		return serviceScorers
	}
	return packScorers
}

// score is the weighted sum of a's scorers.
func (c *cell) score(w int, a *ask) int64 {
	var sum int64
	for i := range a.scorers {
		sum += a.scorers[i].weight * a.scorers[i].points(c, w, a)
	}
	return sum
}

// scale holds, per dimension, fullPoints per unit of a worker's size as fixed
// point numbers, so that scoring needs no division.
type scale struct{ cpu, memory int64 }

// scaleBits is the number of bits after the point.
const scaleBits = 20

func newScale(size model.Resources) scale {
	return scale{perUnit(size.MilliCPU), perUnit(size.MemoryMB)}
}

func perUnit(size int64) int64 {
	if size <= 0 {
		return 0
	}
	return fullPoints << scaleBits / size
}

// left returns the thousandths of worker w's processors and memory that stay
// free when a's task runs there.
func (c *cell) left(w int, a *ask) (cpu, memory int64) {
	cpu = (c.free[w].MilliCPU - a.size.MilliCPU) * c.scale[w].cpu >> scaleBits
	memory = (c.free[w].MemoryMB - a.size.MemoryMB) * c.scale[w].memory >> scaleBits
	return cpu, memory
}

// scorePack prefers workers that will be nearly full, so that whole workers
// stay free for large tasks and gangs.
func scorePack(c *cell, w int, a *ask) int64 {
	cpu, memory := c.left(w, a)
	return fullPoints - (cpu+memory)/2
}

// scoreBalance prefers to leave processors and memory in equal parts, since
// one without the other is of no use.
func scoreBalance(c *cell, w int, a *ask) int64 {
	cpu, memory := c.left(w, a)
	return fullPoints - max(cpu-memory, memory-cpu)
}

// scoreDevices keeps workers with accelerators for the tasks that need them.
func scoreDevices(c *cell, w int, a *ask) int64 {
	if a.size.Accelerators == 0 && c.workers[w].Size.Accelerators > 0 {
		return 0
	}
	return fullPoints
}

// scoreSpread prefers racks, then workers, with fewer tasks of the same job.
func scoreSpread(c *cell, w int, a *ask) int64 {
	inRack := int64(a.perRack[c.rack[w]])
	onWorker := int64(a.perWorker[int32(w)])
	return -inRack*fullPoints - onWorker*workerSpreadPoints
}
