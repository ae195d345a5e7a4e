package placement_test

import (
	"slices"
	"time"

	"kumquatwing/internal/model"
)

// stats holds the measurements of one run of the driver.
type stats struct {
	// wallTimes and cpuTimes are the wall-clock time and the CPU time of each plan,
	// timePerPlacement the wall-clock time per placement of each plan with
	// placements.
	wallTimes        []time.Duration
	cpuTimes         []time.Duration
	timePerPlacement []time.Duration
	// placed, totalTime and mallocs are the totals of all plans: placements,
	// wall-clock time and heap allocations.
	placed    int
	totalTime time.Duration
	mallocs   uint64
	// done and lost are the work done and the work lost to preemption, in
	// thousandths of a core times milliseconds.
	done, lost int64
	preempted  int
	// used, allocated and memory sum, over the samples, the fractions of the
	// CPU that tasks use, of the CPU allocated to tasks and of the memory that
	// tasks use.
	used, allocated, memory float64
	samples                 int
	// distance sums the result of distance over the samples with waiting tasks,
	// contended counts these samples.
	distance  float64
	contended int
	// waits has the milliseconds that each task waited, by class.
	waits map[model.Class][]int64
	// unstarted counts the tasks that had not started when the run ended.
	unstarted int
	// maxRunning and maxWaiting are the largest numbers of running and of waiting
	// tasks in a sample.
	maxRunning, maxWaiting int
}

// recordPlan records one plan.
func (s *stats) recordPlan(wallTime, cpuTime time.Duration, placed int, mallocs uint64) {
	s.wallTimes = append(s.wallTimes, wallTime)
	s.cpuTimes = append(s.cpuTimes, cpuTime)
	s.totalTime += wallTime
	s.placed += placed
	s.mallocs += mallocs
	if placed > 0 {
		s.timePerPlacement = append(s.timePerPlacement, wallTime/time.Duration(placed))
	}
}

// sample records the usage of the workers after a step of the simulation.
func (s *stats) sample(d *driver) {
	var size, allocated, used int64
	var memory, memoryUsed int64
	for _, dc := range d.dcs {
		for i := range dc.workers {
			size += dc.workers[i].Size.MilliCPU
			memory += dc.workers[i].Size.MemoryMB
			allocated += dc.workers[i].Size.MilliCPU - dc.workers[i].Free.MilliCPU
		}
		for _, t := range dc.running {
			used += min(t.size.MilliCPU, t.job.use.MilliCPU)
			memoryUsed += t.job.use.MemoryMB
		}
	}
	running := 0
	for _, dc := range d.dcs {
		running += len(dc.running)
	}
	s.maxRunning = max(s.maxRunning, running)
	s.samples++
	s.allocated += float64(allocated) / float64(size)
	s.used += float64(used) / float64(size)
	s.memory += float64(memoryUsed) / float64(memory)
	s.sampleShares(d)
}

// sampleShares adds the distance of the workspaces from their fair shares if any
// task waits. The fair shares are those of weighted max-min fairness.
func (s *stats) sampleShares(d *driver) {
	allocated := make([]float64, len(d.workspaces))
	wanted := make([]float64, len(d.workspaces))
	waiting := 0
	for i := range d.workspaces {
		var use, wait model.Resources
		for _, dc := range d.dcs {
			for _, t := range dc.running {
				if t.job.spec.Workspace == d.workspaces[i].ID {
					use = use.Add(t.size)
				}
			}
			for _, j := range dc.jobs {
				if j.job.spec.Workspace == d.workspaces[i].ID {
					wait = wait.Add(j.size.Scale(int64(len(j.pending))))
					waiting += len(j.pending)
				}
			}
		}
		allocated[i] = dominantShare(use, d)
		wanted[i] = dominantShare(use.Add(wait), d)
	}
	s.maxWaiting = max(s.maxWaiting, waiting)
	if waiting == 0 {
		return
	}
	s.contended++
	s.distance += distance(allocated, fairShares(allocated, wanted, d))
}

// dominantShare returns the largest fraction of any dimension of all workers that
// use takes.
func dominantShare(use model.Resources, d *driver) float64 {
	var total model.Resources
	for _, dc := range d.dcs {
		for i := range dc.workers {
			total = total.Add(dc.workers[i].Size)
		}
	}
	var most float64
	for i := range model.Dimensions {
		most = max(most, float64(use.At(i))/float64(max(total.At(i), 1)))
	}
	return most
}

// fairShares divides the sum of allocated among the workspaces by weighted max-min
// fairness: in proportion to their Share, but at most wanted for each.
func fairShares(allocated, wanted []float64, d *driver) []float64 {
	fair := make([]float64, len(allocated))
	var left float64
	for _, h := range allocated {
		left += h
	}
	const rounds = 1000
	for range rounds {
		var weights float64
		for i := range fair {
			if fair[i] < wanted[i] {
				weights += float64(d.workspaces[i].Share)
			}
		}
		if weights == 0 || left < 1e-9 {
			break
		}
		perWeight := left / weights
		for i := range fair {
			if fair[i] < wanted[i] {
				give := min(perWeight*float64(d.workspaces[i].Share), wanted[i]-fair[i])
				fair[i] += give
				left -= give
			}
		}
	}
	return fair
}

// distance returns the fraction of the sum of allocated that would have to move
// to other workspaces to reach fair.
func distance(allocated, fair []float64) float64 {
	var moved, sum float64
	for i := range allocated {
		moved += max(allocated[i]-fair[i], fair[i]-allocated[i]) / 2
		sum += allocated[i]
	}
	if sum == 0 {
		return 0
	}
	return moved / sum
}

// merge adds the measurements of another run.
func (s *stats) merge(o *stats) {
	s.wallTimes = append(s.wallTimes, o.wallTimes...)
	s.cpuTimes = append(s.cpuTimes, o.cpuTimes...)
	s.timePerPlacement = append(s.timePerPlacement, o.timePerPlacement...)
	s.placed += o.placed
	s.totalTime += o.totalTime
	s.mallocs += o.mallocs
	s.done += o.done
	s.lost += o.lost
	s.preempted += o.preempted
	s.used += o.used
	s.allocated += o.allocated
	s.memory += o.memory
	s.samples += o.samples
	s.distance += o.distance
	s.contended += o.contended
	s.unstarted += o.unstarted
	s.maxRunning = max(s.maxRunning, o.maxRunning)
	s.maxWaiting = max(s.maxWaiting, o.maxWaiting)
	if s.waits == nil {
		s.waits = make(map[model.Class][]int64)
	}
	for class, w := range o.waits {
		s.waits[class] = append(s.waits[class], w...)
	}
	s.sort()
}

func (s *stats) sort() {
	for _, w := range s.waits {
		slices.Sort(w)
	}
	slices.Sort(s.wallTimes)
	slices.Sort(s.cpuTimes)
	slices.Sort(s.timePerPlacement)
}

// finish records how long each task waited; one that never started has waited until
// the end of the run. It also adds the work done by tasks that have not ended.
func (s *stats) finish(d *driver) {
	s.waits = make(map[model.Class][]int64)
	for _, t := range d.tasks {
		waited := t.waited
		if waited < 0 {
			waited = d.now - t.waits
			s.unstarted++
		}
		s.waits[t.job.spec.Class] = append(s.waits[t.job.spec.Class], waited)
		if t.left > 0 {
			s.done += (t.job.run - t.left) * t.job.use.MilliCPU
		}
	}
	s.sort()
	for _, dc := range d.dcs {
		for _, t := range dc.running {
			s.done += (d.now - t.started) * min(t.size.MilliCPU, t.job.use.MilliCPU)
		}
	}
}

// quantile returns the q-quantile of sorted, or zero if sorted is empty.
func quantile[T any](sorted []T, q float64) T {
	var zero T
	if len(sorted) == 0 {
		return zero
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
