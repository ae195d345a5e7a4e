package placement

import "kumquatwing/internal/model"

// fullPoints is the most that one scorer gives before its weight.
const fullPoints = 1000

// workerSpreadPoints is how many points of spread one task of the same job on
// the worker costs; one in the rack costs fullPoints.
const workerSpreadPoints = 200

// The scorers. More points are better.
const (
	scorerPack = iota
	scorerBalance
	scorerDevices
	scorerSpread
	scorerCount
)

// scorerNames are the scorers' names in explanations.
var scorerNames = [scorerCount]string{ScorerPack, ScorerBalance, ScorerDevices, ScorerSpread}

// points holds one number per scorer.
type points [scorerCount]int64

// The weights of the scorers. Of a service's, spread outweighs all others
// together; a scorer without weight is left out of explanations.
var (
	packWeights    = points{scorerPack: 2, scorerBalance: 1, scorerDevices: 4}
	serviceWeights = points{scorerSpread: 10, scorerBalance: 1, scorerDevices: 4}
)

// weightsOf returns the weights of a class.
func weightsOf(class model.Class) *points {
	if class == model.ClassService {
		return &serviceWeights
	}
	return &packWeights
}

// score is the weighted sum of worker w's points for a.
func (c *cell) score(w int, a *ask) int64 {
	p := c.points(w, a)
	var sum int64
	for i := range p {
		sum += a.weights[i] * p[i]
	}
	return sum
}

// points rates worker w, which all filters have accepted, by every scorer.
func (c *cell) points(w int, a *ask) points {
	cpu, memory := c.left(w, a)
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
func scorePack(cpu, memory int64) int64 { return fullPoints - (cpu+memory)/2 }

// scoreBalance prefers to leave processors and memory in equal parts, since
// one without the other is of no use.
func scoreBalance(cpu, memory int64) int64 { return fullPoints - max(cpu-memory, memory-cpu) }

// scoreDevices keeps workers with accelerators for the tasks that need them.
func (c *cell) scoreDevices(w int, a *ask) int64 {
	if a.size.Accelerators == 0 && c.size[w].Accelerators > 0 {
		return 0
	}
	return fullPoints
}

// scoreSpread prefers racks, then workers, with fewer tasks of the same job.
func (c *cell) scoreSpread(w int, a *ask) int64 {
	inRack := int64(a.perRack[c.rack[w]])
	onWorker := int64(a.perWorker[w])
	return -inRack*fullPoints - onWorker*workerSpreadPoints
}
