package plan

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/model"
)

const (
	stragglerFactor = 7
	swingPeriod     = 15 * time.Second
)

// speed returns the speed of the worker with the given index.
func (l *simulation) speed(worker int) float64 {
	if l.speeds == nil {
		return 1
	}
	return l.speeds[worker]
}

// runTime returns how long a worker takes for work, in time at nominal speed.
func (l *simulation) runTime(worker int, work time.Duration) time.Duration {
	if l.speeds == nil {
		return work
	}
	return time.Duration(float64(work) / l.speeds[worker])
}

// workDone returns the work that a worker does in a run time.
func (l *simulation) workDone(worker int, runTime time.Duration) time.Duration {
	if l.speeds == nil {
		return runTime
	}
	return time.Duration(float64(runTime) * l.speeds[worker])
}

// straggle returns the work of a task of a job whose other tasks have the given work.
func (l *simulation) straggle(work time.Duration) time.Duration {
	if l.stragglerShare > 0 && l.rand.Float64() < l.stragglerShare {
		return stragglerFactor * work
	}
	return work
}

// swing returns the factor of the demand at present.
func (l *simulation) swing() float64 {
	if l.demandSwing == 0 {
		return 1
	}
	return 1 + l.demandSwing*math.Sin(2*math.Pi*l.now.Sub(testNow).Seconds()/swingPeriod.Seconds())
}

// paceGangs makes the runs of each started gang end together, at the pace of the slowest.
func (l *simulation) paceGangs(starts []cell.Start) {
	if l.speeds == nil {
		return
	}
	ends := map[cell.JobID]clock.Instant{}
	for i := range starts {
		if j := l.jobByID(starts[i].Task.Job); j.step.Gang {
			ends[j.id] = max(ends[j.id], j.tasks[starts[i].Task.Index].endsAt)
		}
	}
	for i := range starts {
		if j := l.jobByID(starts[i].Task.Job); j.step.Gang {
			j.tasks[starts[i].Task.Index].endsAt = ends[j.id]
		}
	}
}

// believedObjective returns the objective that the planner computes from the estimate.
func (l *simulation) believedObjective(j *simJob) time.Duration {
	if l.estimateError == 0 {
		return j.objective
	}
	a := j.class.queue.Advice
	chain := float64(j.step.EstimateMillis) + a.DecideMillis + 30*a.PerWorkerMillis
	return time.Duration(j.class.queue.Stretch*chain+float64(j.class.queue.ObjectiveMillis)) * time.Millisecond
}

// mixedSpeedLoad returns the job classes of a deployment whose workers have 64 cores each,
// of which a quarter are slow. Steps of a job count as jobs.
func mixedSpeedLoad() []loadClass {
	classes := yearbookLoad()
	gang, batch, quick := &classes[0], &classes[1], &classes[2]
	gang.name, gang.jobsPerSecond, gang.meanTasks, gang.milliCPU, gang.memoryMB, gang.meanTaskTime = "gang", 4.77*1.2, 20, 18_000, 4600, 3400*time.Millisecond
	batch.name, batch.jobsPerSecond, batch.meanTasks, batch.milliCPU, batch.memoryMB, batch.meanTaskTime = "batch", 7.89*1.5, 25, 6900, 910, 2300*time.Millisecond
	quick.name, quick.jobsPerSecond, quick.meanTasks, quick.milliCPU, quick.memoryMB, quick.meanTaskTime = "quick", 88.3*0.7, 3, 9900, 1800, 680*time.Millisecond
	gangs := *quick
	gangs.name, gangs.gang, gangs.jobsPerSecond = "quick-gang", true, 88.3*0.3
	return append(classes, gangs)
}

// placeBySpeedTerm is the placement of the version without speed classes: the speed of a
// worker only adds to its score. It is the baseline of TestMixedSpeedLoad.
func placeBySpeedTerm(in *Input) Output {
	return compute(in, func(p *planner) {
		for i := range p.in.Workers {
			p.in.Workers[i].classSpeed = p.in.Workers[i].Speed
		}
	})
}

// speedSimulation returns a simulation of the classes on 350 workers of the given size, of
// which one in every few, beginning with the second, has the odd speed.
func speedSimulation(classes []loadClass, load float64, capacity model.Resources, usual, odd float64, every int, computePlan func(in *Input) Output) *simulation {
	const workers = 350
	for i := range classes {
		classes[i].jobsPerSecond *= load
	}
	sc := scenario{fmt.Sprintf("load %.2f", load), workers, 70, classes, 1, 20 * time.Millisecond, 0, 0, false}
	l := newSimulation(sc, 7, capacity, computePlan)
	for i := range workers {
		l.speeds = append(l.speeds, usual)
		if i%every == 1 {
			l.speeds[i] = odd
		}
	}
	return l
}

// mixedSpeedSimulation returns a simulation of mixedSpeedLoad with a quarter of the workers
// at 0.55 of the nominal speed and the others at 1.2.
func mixedSpeedSimulation(load float64, computePlan func(in *Input) Output) *simulation {
	l := speedSimulation(mixedSpeedLoad(), load, model.Resources{MilliCPU: 64_000, MemoryMB: 256_000}, 1.2, 0.55, 4, computePlan)
	l.stragglerShare, l.demandSwing = 0.03, 0.55
	return l
}

// similarSpeedSimulation returns a simulation of a deployment with too little capacity, a
// third of whose workers are a little faster than the others.
func similarSpeedSimulation(load float64, computePlan func(in *Input) Output) *simulation {
	classes := mixedSpeedLoad()
	classes[0].milliCPU, classes[0].meanTaskTime = 9000, 5*time.Second
	classes[1].milliCPU, classes[1].meanTaskTime = 3500, 3400*time.Millisecond
	for i := range classes[2:] {
		classes[2+i].milliCPU, classes[2+i].meanTaskTime = 5000, time.Second
	}
	l := speedSimulation(classes, load, model.Resources{MilliCPU: 32_000, MemoryMB: 128_000}, 1, 1.3, 3, computePlan)
	l.burstFactor = 1.7
	return l
}

// TestMixedSpeedLoad plays deployments with slow and fast workers. In the first cases the
// work of a quarter of the workers takes more than twice as long as that of the others. In
// the last one speeds differ little and capacity is scarce, so that a slower worker now is
// better than a faster one later: gangs that waited for the faster third there were late
// (0.794 of them on time instead of 0.997).
func TestMixedSpeedLoad(t *testing.T) {
	for _, c := range []struct {
		name          string
		simulation    func(load float64, computePlan func(in *Input) Output) *simulation
		load          float64
		estimateError float64
		// minInTime is the least number of on-time jobs of each class, and minEarned the least
		// value, both relative to the baseline.
		minInTime, minEarned float64
	}{
		{"0.55 and 1.2, good estimates", mixedSpeedSimulation, 1, 0, 0.95, 1.02},
		{"0.55 and 1.2, bad estimates", mixedSpeedSimulation, 1.2, 0.9, 0.95, 1.05},
		{"1.0 and 1.3, bad estimates", similarSpeedSimulation, 1.1, 0.9, 0.98, 0.99},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			run := func(computePlan func(in *Input) Output) map[string]*classResult {
				l := c.simulation(c.load, computePlan)
				l.estimateError = c.estimateError
				return l.run()
			}
			planned, baseline := run(Compute), run(placeBySpeedTerm)
			for _, class := range mixedSpeedLoad() {
				r, b := planned[class.name], baseline[class.name]
				t.Logf("%-10s submitted %4d: in time %4d, late %4d, not served %4d; baseline %4d, %4d, %4d", class.name, r.submitted,
					r.inTime, r.late, r.submitted-r.inTime-r.late, b.inTime, b.late, b.submitted-b.inTime-b.late)
				qt.Check(t, float64(r.inTime) >= c.minInTime*float64(b.inTime), qt.IsTrue, qt.Commentf("%s", class.name))
				largest := float64(r.largestServed) / float64(max(1, r.largestJobs))
				qt.Check(t, largest >= r.servedShare()/2, qt.IsTrue, qt.Commentf("%s: the largest tenth is served %.2f, all %.2f", class.name, largest, r.servedShare()))
			}
			t.Logf("earned %.3f, baseline %.3f", earnedShare(planned), earnedShare(baseline))
			qt.Check(t, earnedShare(planned) >= c.minEarned*earnedShare(baseline), qt.IsTrue)
		})
	}
}

// BenchmarkComputeMixedSpeeds measures the computation of one plan for a busy cell with
// slow and fast workers, to compare with BenchmarkCompute.
func BenchmarkComputeMixedSpeeds(b *testing.B) {
	for _, c := range []struct{ workers, gangs, small int }{{350, 0, 20}, {350, 60, 20}, {1100, 60, 200}, {1100, 150, 200}} {
		b.Run(fmt.Sprintf("workers=%d/gangs=%d/small=%d", c.workers, c.gangs, c.small), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				b.StopTimer()
				in := busyCell(c.workers, c.gangs, c.small)
				for i := range in.Workers {
					in.Workers[i].Speed = 1.2
					if i%4 == 1 {
						in.Workers[i].Speed = 0.55
					}
				}
				b.StartTimer()
				Compute(in)
			}
		})
	}
}
