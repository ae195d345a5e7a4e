package placement

import "kumquatwing/internal/model"

// maxPoints is the most that one scorer gives before its weight is applied.
const maxPoints = 1000

// workerSpreadPoints is the penalty of the spread scorer for each task of the
// same job on the worker. Each one in the same rack costs maxPoints.
const workerSpreadPoints = 200

// Indexes of the scorers. More points are better.
const (
	scorerPack = iota
	scorerBalance
	scorerDevices
	scorerSpread
	scorerCount
)

// scorerNames are the names of the scorers in explanations.
var scorerNames = [scorerCount]string{ScorerPack, ScorerBalance, ScorerDevices, ScorerSpread}

// points holds one number per scorer.
type points [scorerCount]int64

// The weights of the scorers by class. For services, spread outweighs all other
// scorers together. A scorer without a weight is left out of explanations.
var (
	packWeights    = points{scorerPack: 2, scorerBalance: 1, scorerDevices: 4}
	serviceWeights = points{scorerSpread: 10, scorerBalance: 1, scorerDevices: 4}
)

// weightsOf returns the weights for a class.
func weightsOf(class model.Class) *points {
	if class == model.ClassService {
		return &serviceWeights
	}
	return &packWeights
}

// score returns the weighted sum of worker w's points for a.
func (c *workerCapacity) score(w int, a *taskRequest) int64 {
	p := c.points(w, a)
	var sum int64
	for i := range p {
		sum += a.weights[i] * p[i]
	}
	return sum
}

// points scores worker w, which no filter has rejected, by every scorer.
func (c *workerCapacity) points(w int, a *taskRequest) points {
	cpu, memory := c.remaining(w, a)
	p := points{
		scorerPack:    scorePack(cpu, memory),
		scorerBalance: scoreBalance(cpu, memory),
		scorerDevices: c.scoreDevices(w, a),
	}
	if a.service {
		p[scorerSpread] = c.scoreSpread(w, a)
	}
	return p
}

// scale holds maxPoints per unit of a worker's CPU and memory as fixed-point
// numbers, so that scoring needs no division.
type scale struct{ cpu, memory int64 }

// scaleBits is the number of fractional bits of a scale.
const scaleBits = 20

func newScale(size model.Resources) scale {
	return scale{perUnit(size.MilliCPU), perUnit(size.MemoryMB)}
}

func perUnit(size int64) int64 {
	if size <= 0 {
		return 0
	}
	return maxPoints << scaleBits / size
}

// remaining returns the parts of worker w's CPU and memory, in thousandths,
// that stay free when a's task runs there.
func (c *workerCapacity) remaining(w int, a *taskRequest) (cpu, memory int64) {
	cpu = (c.free[w].MilliCPU - a.size.MilliCPU) * c.scale[w].cpu >> scaleBits
	memory = (c.free[w].MemoryMB - a.size.MemoryMB) * c.scale[w].memory >> scaleBits
	return cpu, memory
}

// scorePack prefers workers that will be nearly full, so that whole workers
// stay free for large tasks and gangs.
func scorePack(cpu, memory int64) int64 { return maxPoints - (cpu+memory)/2 }

// scoreBalance prefers workers on which equal parts of CPU and memory stay
// free, since no task can use one without the other.
func scoreBalance(cpu, memory int64) int64 { return maxPoints - max(cpu-memory, memory-cpu) }

// scoreDevices keeps workers with accelerators free for the tasks that need
// them.
func (c *workerCapacity) scoreDevices(w int, a *taskRequest) int64 {
	if a.size.Accelerators == 0 && c.size[w].Accelerators > 0 {
		return 0
	}
	return maxPoints
}

// scoreSpread prefers racks, then workers, with fewer tasks of the same job.
func (c *workerCapacity) scoreSpread(w int, a *taskRequest) int64 {
	inRack := int64(a.perRack[c.rack[w]])
	onWorker := int64(a.perWorker[w])
	return -inRack*maxPoints - onWorker*workerSpreadPoints
}
