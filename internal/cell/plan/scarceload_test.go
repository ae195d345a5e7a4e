package plan

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/model"
)

// demandBurst multiplies the arrivals of all classes for a period.
type demandBurst struct {
	from, to time.Duration
	factor   float64
}

// loadConditions are the conditions of a load that changes with time, in which the
// scheduler knows run times only as expected times.
type loadConditions struct {
	capacity model.Resources
	bursts   []demandBurst
	// widthSigma, timeSigma and expectedSigma are the standard deviations of the
	// logarithms of a job's width, of its run time and of the ratio of expected to real
	// run time.
	widthSigma, timeSigma, expectedSigma float64
	// meanSteps is the mean number of steps of a job by class, between 1 and 2.
	meanSteps   map[string]float64
	restoreTime time.Duration
	// lostShare of the workers are gone in each of the losses, others in each.
	lostShare float64
	losses    []demandBurst
	// adviceFailShare of the advice requests get no answer.
	adviceFailShare float64
	// workspaces have equal shares. The first sends excess times its share during
	// excessPeriod, and what exceeds the share counts as OverShare.
	workspaces   int
	excess       float64
	excessPeriod demandBurst
}

// demand returns the factor by which the arrivals are multiplied.
func (c *loadConditions) demand(at time.Duration) float64 {
	factor := 1.0
	for _, b := range c.bursts {
		if at >= b.from && at < b.to {
			factor = b.factor
		}
	}
	if at >= c.excessPeriod.from && at < c.excessPeriod.to {
		factor *= c.excessRate()
	}
	return factor
}

// excessRate is the ratio of all arrivals to the usual ones while a workspace exceeds its
// share.
func (c *loadConditions) excessRate() float64 { return 1 + (c.excess-1)/float64(c.workspaces) }

// gone reports whether the worker is gone now.
func (c *loadConditions) gone(l *simulation, worker int) bool {
	at := l.now.Sub(testNow)
	for i, loss := range c.losses {
		if at >= loss.from && at < loss.to {
			return float64((worker*7+i*l.workers/5)%l.workers) < c.lostShare*float64(l.workers)
		}
	}
	return false
}

// adviceFails reports whether the placement policy gives no answer to the request.
func (c *loadConditions) adviceFails(call *simCall) bool {
	luck := rand.New(rand.NewPCG(hashString(call.request.Key.String()), uint64(call.endsAt)))
	return luck.Float64() < c.adviceFailShare
}

// newJob returns a job of the class, with random width, run time, expected time, number
// of steps and workspace.
func (c *loadConditions) newJob(l *simulation, class *loadClass) *simJob {
	lognormal := func(sigma float64) float64 { return math.Exp(sigma*l.rand.NormFloat64() - sigma*sigma/2) }
	width := max(1, int(math.Round(class.meanTasks*lognormal(c.widthSigma))))
	if class.gang {
		width = max(2, width)
	}
	work := time.Duration(float64(class.meanTaskTime) * lognormal(c.timeSigma))
	j := &simJob{
		id: cell.JobID(fmt.Sprintf("%s-%05d", class.name, len(l.jobs))), class: class, submittedAt: l.now, advice: newAdvice(), steps: 1,
		expected: time.Duration(float64(work) * math.Exp(c.expectedSigma*l.rand.NormFloat64())),
	}
	if l.rand.Float64() < c.meanSteps[class.name]-1 {
		j.steps = 2
	}
	j.step = cell.Step{Count: width, Need: l.taskSize(class), Gang: class.gang, EstimateMillis: j.expected.Milliseconds(), Checkpoints: class.checkpoints}
	j.workspace = fmt.Sprint("ws", l.rand.IntN(c.workspaces))
	if at := l.now.Sub(testNow); at >= c.excessPeriod.from && at < c.excessPeriod.to && l.rand.Float64() < 1-1/c.excessRate() {
		j.workspace, j.overShare = "ws0", true
	}
	j.objective = class.objective(j.steps, work)
	for range width {
		j.tasks = append(j.tasks, simTask{remaining: work})
	}
	l.jobs = append(l.jobs, j)
	return j
}

// objective returns the objective of a job with the given number of steps, each of tasks
// with the given run time.
func (c *loadClass) objective(steps int, taskTime time.Duration) time.Duration {
	a := c.queue.Advice
	chain := float64(steps) * (float64(taskTime.Milliseconds()) + a.DecideMillis + 30*a.PerWorkerMillis)
	return time.Duration(c.queue.Stretch*chain+float64(c.queue.ObjectiveMillis)) * time.Millisecond
}

// beginNextStep replaces the tasks of the step that has ended by those of the next.
func (j *simJob) beginNextStep() {
	j.current++
	j.advice = newAdvice()
	work := j.objectiveWork()
	for i := range j.tasks {
		j.tasks[i] = simTask{remaining: work, run: j.tasks[i].run}
	}
}

// objectiveWork returns the real run time of the job's tasks.
func (j *simJob) objectiveWork() time.Duration {
	a := j.class.queue.Advice
	chain := (float64(j.objective.Milliseconds()) - float64(j.class.queue.ObjectiveMillis)) / j.class.queue.Stretch
	return time.Duration((chain/float64(j.steps) - a.DecideMillis - 30*a.PerWorkerMillis) * float64(time.Millisecond))
}

// scarceLoad returns the job classes of a deployment whose callers compete at times for
// too little capacity: without bursts, 350 workers of 32 cores would be 90 % in use.
func scarceLoad() []loadClass {
	advice := func(decide, perWorker float64) *cell.Advice {
		return &cell.Advice{DecideMillis: decide, PerWorkerMillis: perWorker, ValidMillis: 1500}
	}
	gang := loadClass{
		name: "gang", jobsPerSecond: 4.77, gang: true, meanTasks: 20, milliCPU: 9000, memoryMB: 26 << 10, meanTaskTime: 5 * time.Second,
		value: 12, eligibleShare: 0.3, failShare: 0.005,
		queue: cell.Queue{Name: "gang", Priority: 1, ObjectiveMillis: 1000, Stretch: 2.2, Advice: advice(559, 8)},
	}
	batch := loadClass{
		name: "batch", jobsPerSecond: 0.8 * 7.89, meanTasks: 25, milliCPU: 3500, memoryMB: 7 << 10, meanTaskTime: 3400 * time.Millisecond,
		value: 4.3, eligibleShare: 0.45, checkpoints: true,
		queue: cell.Queue{Name: "batch", Priority: 2, ObjectiveMillis: 3000, Stretch: 4, Advice: advice(66, 0.94)},
	}
	plain := batch
	plain.name, plain.jobsPerSecond, plain.checkpoints = "batch-plain", 0.2*7.89, false
	quick := loadClass{
		name: "quick", jobsPerSecond: 0.7 * 88.3, meanTasks: 3, milliCPU: 5000, memoryMB: 10 << 10, meanTaskTime: time.Second,
		value: 0.4, eligibleShare: 0.7,
		queue: cell.Queue{Name: "quick", Priority: 0, ObjectiveMillis: 250, Stretch: 1.5, Advice: advice(9.3, 0.13)},
	}
	quickGang := quick
	quickGang.name, quickGang.jobsPerSecond, quickGang.gang = "quick-gang", 0.3*88.3, true
	return []loadClass{gang, batch, plain, quick, quickGang}
}

func scarceConditions() *loadConditions {
	return &loadConditions{
		capacity: model.Resources{MilliCPU: 32_000, MemoryMB: 128 << 10},
		bursts: []demandBurst{
			{4 * time.Second, 9 * time.Second, 2}, {16 * time.Second, 20 * time.Second, 2.5}, {26 * time.Second, 32 * time.Second, 1.5},
		},
		widthSigma: 0.8, timeSigma: 0.5, expectedSigma: 0.5,
		meanSteps:   map[string]float64{"gang": 1.2, "batch": 1.5, "batch-plain": 1.5},
		restoreTime: 600 * time.Millisecond,
		lostShare:   0.03, losses: []demandBurst{{from: 10 * time.Second, to: 16 * time.Second}, {from: 26 * time.Second, to: 32 * time.Second}},
		adviceFailShare: 0.05, workspaces: 10, excess: 5, excessPeriod: demandBurst{from: 10 * time.Second, to: 16 * time.Second},
	}
}

const scarceArrivals = 40 * time.Second

// sizeBand counts the jobs of a class within a band of sizes.
type sizeBand struct{ jobs, inTime, late int }

func (b *sizeBand) add(j *simJob) {
	b.jobs++
	switch took := j.endedAt.Sub(j.submittedAt); {
	case j.endedAt == 0 || took > 3*j.objective:
	case took <= j.objective:
		b.inTime++
	default:
		b.late++
	}
}

func (b *sizeBand) served() float64 { return float64(b.inTime+b.late) / float64(max(1, b.jobs)) }

func (b *sizeBand) String() string {
	return fmt.Sprintf("%5d: on time %.3f, late %.3f, not served %.3f", b.jobs, float64(b.inTime)/float64(max(1, b.jobs)),
		float64(b.late)/float64(max(1, b.jobs)), 1-b.served())
}

// kindResult is how the jobs of one queue were served: all, the largest tenth, the
// fifth below it, and those beyond their workspace's share.
type kindResult struct{ all, largest, large, overShare sizeBand }

// playScarce plays the scarce load once for each seed and returns the results by queue and the
// earned share of the value.
func playScarce(t *testing.T, seeds int, computePlan func(in *Input) Output) (map[string]*kindResult, float64) {
	t.Helper()
	results, earned, possible := map[string]*kindResult{}, 0.0, 0.0
	sims := make([]*simulation, seeds)
	var wg sync.WaitGroup
	for i := range sims {
		sims[i] = &simulation{
			scenario:   scenario{"scarce", 350, 41, scarceLoad(), 1, 40 * time.Millisecond, 0, 0, false},
			conditions: scarceConditions(), rand: rand.New(rand.NewPCG(uint64(i+1), 1)), computePlan: computePlan, now: testNow,
		}
		wg.Go(func() { sims[i].play(scarceArrivals) })
	}
	wg.Wait()
	for _, l := range sims {
		byQueue := map[string][]*simJob{}
		for _, j := range l.jobs {
			byQueue[j.class.queue.Name] = append(byQueue[j.class.queue.Name], j)
		}
		for name, jobs := range byQueue {
			slices.SortStableFunc(jobs, func(a, b *simJob) int { return cmp.Compare(b.realWork(), a.realWork()) })
			if results[name] == nil {
				results[name] = &kindResult{}
			}
			results[name].add(jobs)
			for _, j := range jobs {
				var b sizeBand
				b.add(j)
				possible += j.class.value
				earned += j.class.value * (float64(b.inTime) + lateValueShare*float64(b.late))
			}
		}
	}
	for _, name := range []string{"gang", "batch", "quick"} {
		r := results[name]
		t.Logf("%-5s all        %v", name, &r.all)
		t.Logf("%-5s largest    %v", name, &r.largest)
		t.Logf("%-5s fifth next %v", name, &r.large)
		t.Logf("%-5s over share %v", name, &r.overShare)
	}
	t.Logf("earned %.4f", earned/possible)
	return results, earned / possible
}

func (r *kindResult) add(jobs []*simJob) {
	for i, j := range jobs {
		r.all.add(j)
		if j.overShare {
			r.overShare.add(j)
		}
		switch {
		case i < len(jobs)/10:
			r.largest.add(j)
		case i < len(jobs)*3/10:
			r.large.add(j)
		}
	}
}

// realWork returns the real work of the job, in core-milliseconds.
func (j *simJob) realWork() float64 {
	return float64(j.steps*len(j.tasks)) * float64(j.objectiveWork().Milliseconds()) * float64(j.step.Need.MilliCPU) / 1000
}

// TestScarceLoad plays bursts beyond the capacity of 350 workers, in which gangs need most
// of the work and advisers are as scarce as workers. Compared with the order by latest
// start alone, more gangs are on time, quick jobs are served as before and batch jobs
// within three times their objective. No size of job pays for the others, and workspaces
// within their shares are served before one that exceeds it.
func TestScarceLoad(t *testing.T) {
	least, earned := playScarce(t, 2, Compute)
	latest, earnedBefore := playScarce(t, 2, func(in *Input) Output {
		in.Order = LatestStart
		return Compute(in)
	})
	onTime := func(b sizeBand) float64 { return float64(b.inTime) / float64(max(1, b.jobs)) }
	qt.Check(t, earned >= earnedBefore+0.06, qt.IsTrue, qt.Commentf("earned %.3f, by latest start %.3f", earned, earnedBefore))
	qt.Check(t, onTime(least["gang"].all) >= 1.4*onTime(latest["gang"].all), qt.IsTrue)
	qt.Check(t, least["gang"].all.served() >= latest["gang"].all.served(), qt.IsTrue)
	qt.Check(t, onTime(least["quick"].all) >= 0.98, qt.IsTrue)
	qt.Check(t, least["batch"].all.served() >= 0.98, qt.IsTrue)
	qt.Check(t, onTime(least["batch"].all) >= 0.88, qt.IsTrue)
	for name, r := range least {
		qt.Check(t, r.largest.served() >= r.all.served()/2, qt.IsTrue, qt.Commentf("%s: the largest tenth is served %.2f", name, r.largest.served()))
		qt.Check(t, r.large.served() >= r.all.served()/2, qt.IsTrue, qt.Commentf("%s: the fifth below it is served %.2f", name, r.large.served()))
		qt.Check(t, onTime(r.all) >= onTime(r.overShare)-0.01, qt.IsTrue, qt.Commentf("%s: jobs beyond the share are on time %.2f", name, onTime(r.overShare)))
	}
}
