package placement_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"kumquatwing/internal/model"
)

// maxErrorFactor is the largest factor by which declared sizes and run times
// differ from the actual ones.
const maxErrorFactor = 4

// workload is a kind of job. The actual run times and usage of all its jobs
// differ from the declared ones by about the same factors.
type workload struct {
	spec     model.JobSpec
	runRatio float64
	useRatio float64
}

// loadPlan describes a load.
type loadPlan struct {
	seed     uint64
	workers  int
	shares   []int64
	millis   int64
	load     float64 // submitted work, as a part of the cell's capacity
	peak     float64 // the same between 30% and 50% of the time
	services int
	// backlog is the number of tasks that are submitted at the start.
	backlog int
	// sizeDivisor divides the declared sizes, so that more tasks run at a time.
	sizeDivisor int64
}

// errorFactor draws a factor between 1/maxErrorFactor and maxErrorFactor whose
// logarithm is uniformly distributed.
func errorFactor(r *rand.Rand) float64 {
	return math.Pow(maxErrorFactor, 2*r.Float64()-1)
}

// workloads draws ten kinds of job for each workspace.
func workloads(r *rand.Rand, shares []int64) []workload {
	var out []workload
	for workspace := range shares {
		for k := range 10 {
			w := workload{runRatio: errorFactor(r), useRatio: errorFactor(r)}
			w.spec = specOf(r, k)
			w.spec.Workspace = workspaceName(workspace)
			w.spec.Workload = model.Workload(fmt.Sprintf("%s-%d", w.spec.Class, k))
			out = append(out, w)
		}
	}
	return out
}

// specOf draws the k-th of ten kinds of job: four urgent, five batch, one gang.
func specOf(r *rand.Rand, k int) model.JobSpec {
	cpu := func(low, high int64) int64 { return (low + r.Int64N(high-low+1)) * 250 }
	s := model.JobSpec{Class: model.ClassBatch, Tasks: 1 + r.IntN(10), RunMillis: 20_000 + r.Int64N(100_000)}
	s.Size.MilliCPU = cpu(2, 20)
	switch {
	case k < 4:
		s.Class, s.Tasks, s.RunMillis = model.ClassUrgent, 1, 1000+r.Int64N(4000)
		s.Size.MilliCPU = cpu(1, 6)
	case k == 4:
		s.Class, s.Tasks, s.RunMillis = model.ClassGang, 4+r.IntN(9), 30_000+r.Int64N(60_000)
		s.Size.MilliCPU = cpu(8, 32)
	case k == 5:
		s.Size.Accelerators, s.Tasks = 1, 1
	}
	s.Size.MemoryMB = s.Size.MilliCPU * (1 + r.Int64N(4))
	return s
}

// newLoad draws the jobs of a load, in order of arrival.
func newLoad(p loadPlan) []*loadJob {
	r := rand.New(rand.NewPCG(p.seed, 2))
	kinds := workloads(r, p.shares)
	var out []*loadJob
	for i := range p.services {
		out = append(out, serviceJob(p, i))
	}
	for i := range kinds {
		kinds[i].divide(p.sizeDivisor)
	}
	perJob := meanWork(r, kinds, len(p.shares))
	tasks, at := 0, float64(driverStep)
	for i := 0; int64(at) < p.millis; i++ {
		if tasks < p.backlog {
			j := drawJob(r, &kinds[drawKind(r, len(p.shares))], i, driverStep)
			tasks += j.spec.Tasks
			out = append(out, j)
			continue
		}
		load := p.load
		if at > 0.3*float64(p.millis) && at < 0.5*float64(p.millis) {
			load = p.peak
		}
		at += r.ExpFloat64() * perJob / (load * float64(p.workers))
		out = append(out, drawJob(r, &kinds[drawKind(r, len(p.shares))], i, int64(at)))
	}
	return out
}

// drawKind draws the index of a workload. Each workspace submits twice as many
// jobs as the one before it, except the second, which submits as many as the
// first. With shares in descending order, as in benchShares, the workspaces
// with the smallest shares submit the most.
func drawKind(r *rand.Rand, workspaces int) int {
	weights := 1 << (workspaces - 1)
	n, workspace := r.IntN(weights), 0
	for n >= 1<<workspace && workspace < workspaces-1 {
		workspace++
	}
	return workspace*10 + r.IntN(10)
}

func drawJob(r *rand.Rand, w *workload, i int, at int64) *loadJob {
	j := &loadJob{spec: w.spec, arrives: at}
	j.spec.ID = model.JobID(fmt.Sprintf("j%06d", i))
	noise := 0.8 + 0.4*r.Float64()
	j.run = max(int64(float64(w.spec.RunMillis)*min(max(w.runRatio*noise, 1.0/maxErrorFactor), maxErrorFactor)), 1)
	j.use = w.use()
	return j
}

// divide divides the declared size of w.
func (w *workload) divide(by int64) {
	w.spec.Size.MilliCPU = max(w.spec.Size.MilliCPU/max(by, 1), 1)
	w.spec.Size.MemoryMB = max(w.spec.Size.MemoryMB/max(by, 1), 1)
}

// use returns the actual usage of a task, at most a whole worker.
func (w *workload) use() model.Resources {
	worker := driverWorker(0)
	return model.Resources{
		MilliCPU: min(max(int64(float64(w.spec.Size.MilliCPU)*w.useRatio), 1), worker.MilliCPU),
		MemoryMB: min(w.spec.Size.MemoryMB, worker.MemoryMB),
	}
}

// meanWork returns the mean work of a job: the part of a worker that its tasks
// take, times the milliseconds for which they do.
func meanWork(r *rand.Rand, kinds []workload, workspaces int) float64 {
	const draws = 10_000
	worker := driverWorker(0)
	var sum float64
	for range draws {
		w := &kinds[drawKind(r, workspaces)]
		s := &w.spec
		part := max(float64(s.Size.MilliCPU)/float64(worker.MilliCPU), float64(s.Size.MemoryMB)/float64(worker.MemoryMB))
		sum += part * float64(s.RunMillis) * w.runRatio * max(1, w.useRatio) * float64(s.Tasks)
	}
	return sum / draws
}

// serviceJob returns a service that runs for the whole time.
func serviceJob(p loadPlan, i int) *loadJob {
	size := model.Resources{MilliCPU: 1000, MemoryMB: 2048}
	return &loadJob{
		spec: model.JobSpec{
			ID: model.JobID(fmt.Sprintf("s%03d", i)), Workspace: workspaceName(i % len(p.shares)), Workload: "service",
			Class: model.ClassService, Tasks: 4, Size: size,
		},
		run: math.MaxInt32 * 1000, use: size,
	}
}

// sortLoad sorts jobs by arrival.
func sortLoad(load []*loadJob) {
	slices.SortStableFunc(load, func(a, b *loadJob) int { return cmp.Compare(a.arrives, b.arrives) })
}
