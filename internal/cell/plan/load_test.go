package plan

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/model"
)

// loadClass is a class of jobs in a simulated load, with the parameters that users
// state in their requirements.
type loadClass struct {
	name          string
	jobsPerSecond float64
	gang          bool
	meanTasks     float64
	milliCPU      int64
	memoryMB      int64
	meanTaskTime  time.Duration
	value         float64
	queue         cell.Queue
	// eligibleShare is the share of workers that the placement policy lets run a step.
	eligibleShare float64
	// checkpoints reports that stopped tasks resume where they were.
	checkpoints bool
	// failShare is the share of the runs that fail at a random time, and sizeSigma the
	// spread of the tasks' CPU from job to job, as the standard deviation of its
	// logarithm.
	failShare, sizeSigma float64
}

// yearbookLoad returns job classes in the proportions that the yearbook workspace
// requires. Together they need about 90 % of 48 workers outside bursts.
func yearbookLoad() []loadClass {
	advice := func(decide, perWorker float64) *cell.Advice {
		return &cell.Advice{DecideMillis: decide, PerWorkerMillis: perWorker, ValidMillis: 1500}
	}
	return []loadClass{
		{"table", 3.0, true, 8, 4500, 4600, 4 * time.Second, 11.6, cell.Queue{
			Name: "table", Priority: 1, ObjectiveMillis: 1000, Stretch: 2.2, Advice: advice(560, 8),
		}, 0.3, false, 0, 0},
		{"series", 11, false, 10, 890, 910, 2700 * time.Millisecond, 2.23, cell.Queue{
			Name: "series", Priority: 2, ObjectiveMillis: 3000, Stretch: 4, Advice: advice(66, 0.94),
		}, 0.45, true, 0, 0},
		{"extract", 60, false, 2, 1300, 1800, 800 * time.Millisecond, 0.439, cell.Queue{
			Name: "extract", Priority: 0, ObjectiveMillis: 250, Stretch: 1.5, Advice: advice(9.3, 0.13),
		}, 0.7, false, 0, 0},
	}
}

const (
	arrivalPeriod = 20 * time.Second
	drainPeriod   = 30 * time.Second
	stopTime      = 200 * time.Millisecond
	// callerPatience is how long a caller tries to submit a job.
	callerPatience = 3 * time.Second
	ticketMargin   = 200 * time.Millisecond
)

// scenario describes a cell and its load.
type scenario struct {
	name     string
	workers  int
	advisers int
	classes  []loadClass
	// burstFactor multiplies the arrival rate of the first class from 8 to 14 s.
	burstFactor float64
	// planInterval is the virtual time between two plans.
	planInterval time.Duration
	// lostShare of the workers are gone from 10 s on, and no plan is made for pause,
	// the time without a leader, from 6 s on.
	lostShare float64
	pause     time.Duration
	// refuses says that no job is accepted without a leader. Callers try again for
	// callerPatience, and all that do so return when the leader is back.
	refuses bool
}

// scaledLoad returns yearbookLoad scaled up for four times as many workers. All
// classes have four times the work. The gangs of the first class are 2.5 times as
// large, and accordingly fewer.
func scaledLoad() []loadClass {
	classes := yearbookLoad()
	scale := 4.0
	classes[0].meanTasks *= 2.5
	for i := range classes {
		classes[i].jobsPerSecond *= scale
	}
	classes[0].jobsPerSecond /= 2.5
	return classes
}

// simTask is a task of a simulated job.
type simTask struct {
	remaining time.Duration
	running   bool
	done      bool
	run       int64
	worker    int
	// endsAt is the time at which the current run completes, and stopsAt the time
	// at which a preemption ends it, 0 if it is not preempted. failsAt is the time at
	// which it fails, 0 if it does not.
	endsAt, stopsAt, startedAt, failsAt clock.Instant
}

type simJob struct {
	id    cell.JobID
	class *loadClass
	step  cell.Step
	// submittedAt is when the caller first sent the job, and acceptedAt when it was
	// accepted. The scheduler knows only the latter.
	submittedAt clock.Instant
	acceptedAt  clock.Instant
	objective   time.Duration
	tasks       []simTask
	advice      *StepAdvice
	// endedAt is the time at which the last task ended, 0 before that.
	endedAt clock.Instant
	// expected is the run time of a task that the scheduler assumes. steps is the number
	// of equal steps that run one after the other, and current the index of the present
	// one.
	expected       time.Duration
	steps, current int
	overShare      bool
	workspace      string
}

// simCall is an advice request in flight.
type simCall struct {
	request AdviceRequest
	endsAt  clock.Instant
}

// simulation runs a scenario in virtual time with the plans of computePlan.
type simulation struct {
	scenario
	rand        *rand.Rand
	computePlan func(in *Input) Output
	now         clock.Instant
	free        []model.Resources
	jobs        []*simJob
	unfinished  []*simJob
	// refused holds the jobs whose callers try again.
	refused []*simJob
	calls   []simCall
	// workerCapacity is that of each worker if conditions is nil.
	workerCapacity model.Resources
	// speeds holds the speeds of the workers, nil if all are 1, and stragglerShare the share
	// of the tasks that take stragglerFactor times as long as the others of their job.
	// demandSwing is the amplitude of a swing of the demand with a period of swingPeriod.
	speeds         []float64
	stragglerShare float64
	demandSwing    float64
	// estimateError is the spread of the estimates as the standard deviation of their
	// logarithm, 0 for 0.3. If it is set the planner's deadlines depend on the estimates.
	estimateError float64
	// conditions is nil in a load with constant arrivals and workers.
	conditions *loadConditions
}

// classResult summarizes how the jobs of one class were served.
type classResult struct {
	// submitted counts the accepted jobs, and refused those that never were accepted.
	submitted, refused         int
	inTime, late               int
	largestJobs, largestServed int
	maxValue, earnedValue      float64
}

// servedShare returns the share of jobs that ended within three times their
// objective.
func (r *classResult) servedShare() float64 {
	return float64(r.inTime+r.late) / float64(max(1, r.submitted))
}

// simulate runs the scenario and returns the results by class name.
func simulate(sc scenario, seed uint64, computePlan func(in *Input) Output) map[string]*classResult {
	return newSimulation(sc, seed, model.Resources{MilliCPU: 16000, MemoryMB: 32768}, computePlan).run()
}

func newSimulation(sc scenario, seed uint64, capacity model.Resources, computePlan func(in *Input) Output) *simulation {
	return &simulation{scenario: sc, rand: rand.New(rand.NewPCG(seed, 1)), workerCapacity: capacity, computePlan: computePlan, now: testNow}
}

// run runs the scenario and returns the results by class name.
func (l *simulation) run() map[string]*classResult {
	l.play(arrivalPeriod)
	return l.results()
}

// play runs the scenario with jobs arriving in the given period.
func (l *simulation) play(arrivals time.Duration) {
	for range l.workers {
		l.free = append(l.free, l.capacity())
	}
	for l.now < testNow.Add(arrivals+drainPeriod) {
		if l.now < testNow.Add(arrivals) {
			l.submitArrivals()
		}
		l.acceptReturning()
		l.endTasks()
		l.failRuns()
		l.completeCalls()
		if !l.pausedNow() {
			l.planOnce()
		}
		l.now = l.now.Add(l.planInterval)
	}
}

// capacity returns the capacity of a worker.
func (l *simulation) capacity() model.Resources {
	if l.conditions != nil {
		return l.conditions.capacity
	}
	return l.workerCapacity
}

// pausedNow reports whether there is no leader to make plans.
func (l *simulation) pausedNow() bool {
	const pauseBegins = 6 * time.Second
	at := l.now.Sub(testNow)
	return at >= pauseBegins && at < pauseBegins+l.pause
}

// gone reports whether the worker with the given index has left.
func (l *simulation) gone(worker int) bool {
	if l.conditions != nil {
		return l.conditions.gone(l, worker)
	}
	const lossAt = 10 * time.Second
	if l.now.Sub(testNow) < lossAt {
		return false
	}
	return float64(worker*7%l.workers) < l.lostShare*float64(l.workers)
}

// failRuns ends the runs that fail or whose worker has left, and with them the other
// runs of their gangs.
func (l *simulation) failRuns() {
	for _, j := range l.unfinished {
		broken := false
		for i := range j.tasks {
			t := &j.tasks[i]
			if t.running && (l.gone(t.worker) || (t.failsAt != 0 && t.failsAt <= l.now)) {
				l.endRun(j, t)
				broken = true
			}
		}
		if !broken || !j.step.Gang {
			continue
		}
		for i := range j.tasks {
			if t := &j.tasks[i]; t.running {
				l.endRun(j, t)
			}
		}
	}
}

// endRun ends a run whose work is lost.
func (l *simulation) endRun(j *simJob, t *simTask) {
	t.running, t.stopsAt = false, 0
	l.free[t.worker] = l.free[t.worker].Add(j.step.Need)
}

// submitArrivals submits the jobs that arrive within one plan interval. The first
// class has a burst from 8 to 14 s.
func (l *simulation) submitArrivals() {
	for c := range l.classes {
		class := &l.classes[c]
		rate := class.jobsPerSecond * l.planInterval.Seconds()
		if at := l.now.Sub(testNow); c == 0 && at >= 8*time.Second && at < 14*time.Second {
			rate *= l.burstFactor
		}
		rate *= l.swing()
		if l.conditions != nil {
			rate *= l.conditions.demand(l.now.Sub(testNow))
		}
		for ; rate > 0; rate-- {
			if l.rand.Float64() < rate {
				l.submit(class)
			}
		}
	}
}

func (l *simulation) submit(c *loadClass) {
	if l.conditions != nil {
		l.accept(l.conditions.newJob(l, c))
		return
	}
	width := max(1, int(c.meanTasks*math.Exp(0.6*l.rand.NormFloat64()-0.18)))
	work := time.Duration(float64(c.meanTaskTime) * math.Exp(0.5*l.rand.NormFloat64()-0.12))
	j := &simJob{
		id: cell.JobID(fmt.Sprintf("%s-%04d", c.name, len(l.jobs))), class: c, submittedAt: l.now,
		step: cell.Step{
			Count: width, Need: l.taskSize(c), Gang: c.gang,
			EstimateMillis: int64(float64(work.Milliseconds()) * math.Exp(cmp.Or(l.estimateError, 0.3)*l.rand.NormFloat64())), Checkpoints: c.checkpoints,
		},
		advice: newAdvice(), steps: 1, workspace: "a",
	}
	j.expected = time.Duration(j.step.EstimateMillis) * time.Millisecond
	a := c.queue.Advice
	chain := float64(work.Milliseconds()) + a.DecideMillis + 30*a.PerWorkerMillis
	j.objective = time.Duration(c.queue.Stretch*chain+float64(c.queue.ObjectiveMillis)) * time.Millisecond
	for range width {
		j.tasks = append(j.tasks, simTask{remaining: l.straggle(work)})
	}
	l.jobs = append(l.jobs, j)
	if l.refuses && l.pausedNow() {
		l.refused = append(l.refused, j)
		return
	}
	l.accept(j)
}

func newAdvice() *StepAdvice {
	return &StepAdvice{Eligible: map[cell.WorkerID]Ticket{}, Evaluated: map[cell.WorkerID]bool{}}
}

func (l *simulation) accept(j *simJob) {
	j.acceptedAt = l.now
	l.unfinished = append(l.unfinished, j)
}

// acceptReturning accepts the refused jobs whose callers still try once there is a
// leader.
func (l *simulation) acceptReturning() {
	if l.pausedNow() {
		return
	}
	for _, j := range l.refused {
		if l.now.Sub(j.submittedAt) <= callerPatience {
			l.accept(j)
		}
	}
	l.refused = nil
}

// taskSize returns the size of the tasks of one job.
func (l *simulation) taskSize(c *loadClass) model.Resources {
	if c.sizeSigma == 0 {
		return model.Resources{MilliCPU: c.milliCPU, MemoryMB: c.memoryMB}
	}
	factor := math.Exp(c.sizeSigma*l.rand.NormFloat64() - c.sizeSigma*c.sizeSigma/2)
	return model.Resources{MilliCPU: min(15_000, max(300, int64(factor*float64(c.milliCPU)))), MemoryMB: c.memoryMB}
}

// endTasks ends the runs that have completed or were stopped by now.
func (l *simulation) endTasks() {
	for _, j := range l.unfinished {
		unfinishedTasks := 0
		for i := range j.tasks {
			t := &j.tasks[i]
			switch {
			case t.running && t.endsAt <= l.now && (t.stopsAt == 0 || t.endsAt <= t.stopsAt):
				t.running, t.done = false, true
				l.free[t.worker] = l.free[t.worker].Add(j.step.Need)
			case t.running && t.stopsAt != 0 && t.stopsAt <= l.now:
				t.running = false
				l.free[t.worker] = l.free[t.worker].Add(j.step.Need)
				if j.step.Checkpoints {
					t.remaining = l.workDone(t.worker, t.endsAt.Sub(t.stopsAt))
					if l.conditions != nil {
						t.remaining += l.conditions.restoreTime
					}
				}
				t.stopsAt = 0
			}
			if !t.done {
				unfinishedTasks++
			}
		}
		switch {
		case unfinishedTasks > 0:
		case j.current+1 < j.steps:
			j.beginNextStep()
		default:
			j.endedAt = l.now
		}
	}
	l.unfinished = slices.DeleteFunc(l.unfinished, func(j *simJob) bool { return j.endedAt != 0 })
}

// isEligible returns the simulated placement policy's decision, which is the same for
// every request about the job and the worker.
func isEligible(j *simJob, w cell.WorkerID) bool {
	h := rand.New(rand.NewPCG(uint64(len(j.id))<<32|hashString(string(j.id)), hashString(string(w))))
	return h.Float64() < j.class.eligibleShare
}

// hashString returns the 64-bit FNV-1a hash of s, but with an offset basis that
// lacks its last digit.
func hashString(s string) uint64 {
	h := uint64(1469598103934665603)
	for _, b := range []byte(s) {
		h = (h ^ uint64(b)) * 1099511628211
	}
	return h
}

// completeCalls applies the decisions of the advice requests that are answered by
// now.
func (l *simulation) completeCalls() {
	l.calls = slices.DeleteFunc(l.calls, func(c simCall) bool {
		if c.endsAt > l.now {
			return false
		}
		j := l.jobByID(c.request.Key.Job)
		if j.current != c.request.Key.Step {
			return true
		}
		j.advice.InFlight--
		if l.conditions != nil && l.conditions.adviceFails(&c) {
			j.advice.Failed++
			return true
		}
		j.advice.Failed = 0
		for _, w := range c.request.Workers {
			j.advice.Evaluated[w] = true
			if isEligible(j, w) {
				valid := time.Duration(j.class.queue.Advice.ValidMillis) * time.Millisecond
				j.advice.SetEligible(w, Ticket{Token: "t", ExpiresAt: l.now.Add(valid - ticketMargin)})
			}
		}
		return true
	})
}

func (l *simulation) jobByID(id cell.JobID) *simJob {
	i := slices.IndexFunc(l.jobs, func(j *simJob) bool { return j.id == id })
	return l.jobs[i]
}

// planOnce computes a plan for the present snapshot and applies it.
func (l *simulation) planOnce() {
	in := l.input()
	if len(in.Pending) == 0 {
		return
	}
	if l.conditions != nil {
		// The leader plans late steps in about one of latePlanFactor plans.
		in.SkipLate = int(l.now.Sub(testNow)/l.planInterval)%5 != 0
	}
	out := l.computePlan(in)
	for i := range out.Starts {
		l.start(&out.Starts[i])
	}
	l.paceGangs(out.Starts)
	for i := range out.Stops {
		t := &l.jobByID(out.Stops[i].Task.Job).tasks[out.Stops[i].Task.Index]
		t.stopsAt = l.now.Add(stopTime)
	}
	for _, r := range out.AdviceRequests {
		if len(r.Workers) > maxRequestWorkers {
			panic("advice request about too many workers")
		}
		a := l.jobByID(r.Key.Job).class.queue.Advice
		duration := time.Duration((a.DecideMillis + float64(len(r.Workers))*a.PerWorkerMillis) * float64(time.Millisecond))
		l.calls = append(l.calls, simCall{r, l.now.Add(duration)})
	}
}

func (l *simulation) start(s *cell.Start) {
	j := l.jobByID(s.Task.Job)
	t := &j.tasks[s.Task.Index]
	var w int
	if _, err := fmt.Sscanf(string(s.Worker), "w%d", &w); err != nil {
		panic(err)
	}
	l.free[w] = l.free[w].Sub(j.step.Need)
	if l.free[w].MilliCPU < 0 || l.free[w].MemoryMB < 0 {
		panic("start exceeds the free capacity of its worker")
	}
	t.running, t.worker, t.run = true, w, t.run+1
	t.startedAt, t.endsAt, t.failsAt = l.now, l.now.Add(l.runTime(w, t.remaining)), 0
	// Whether a run fails depends on nothing but the run, so that the same runs fail
	// whatever the plans are.
	luck := rand.New(rand.NewPCG(hashString(string(j.id)), uint64(s.Task.Index)<<8|uint64(t.run)))
	if luck.Float64() < j.class.failShare {
		t.failsAt = l.now.Add(time.Duration(luck.Float64() * float64(t.remaining)))
	}
}

// input returns the snapshot of the simulated cell.
func (l *simulation) input() *Input {
	in := input(nil)
	in.Now, in.StopTime = l.now, stopTime
	in.AllAdvisers, in.IdleAdvisers = l.advisers, l.advisers-len(l.calls)
	for i, free := range l.free {
		w := worker(fmt.Sprintf("w%03d", i), 0)
		w.Capacity, w.Free, w.Speed = l.capacity(), free, l.speed(i)
		if l.gone(i) {
			w.Capacity, w.Free = model.Resources{}, model.Resources{}
		}
		in.Workers = append(in.Workers, w)
	}
	for _, j := range l.unfinished {
		p := Pending{
			Key: cell.StepKey{Job: j.id, Step: j.current}, Step: &j.step, Queue: &j.class.queue, Pool: "p", Workspace: j.workspace,
			Deadline: j.acceptedAt.Add(l.believedObjective(j)), Remaining: time.Duration(j.steps-j.current) * j.expected, Advice: j.advice,
			TaskTime: j.expected, OverShare: j.overShare,
		}
		if l.conditions != nil {
			p.Objective = j.class.objective(j.steps, j.expected)
			p.Deadline = j.acceptedAt.Add(p.Objective)
		}
		for i := range j.tasks {
			t := &j.tasks[i]
			switch {
			case t.running && t.stopsAt != 0:
				w := &in.Workers[t.worker]
				w.Releasing = w.Releasing.Add(j.step.Need)
			case t.running && !j.step.Gang:
				l.addVictim(&in.Workers[t.worker], j, i)
			case !t.running && !t.done:
				p.Waiting, p.NextRun = append(p.Waiting, i), append(p.NextRun, t.run+1)
			}
		}
		if len(p.Waiting) > 0 {
			p.RemainingWork = j.unfinishedWork()
			in.Pending = append(in.Pending, p)
		}
	}
	return in
}

func (l *simulation) addVictim(w *Worker, j *simJob, i int) {
	t := &j.tasks[i]
	lost := stopTime
	if !j.step.Checkpoints {
		lost = l.now.Sub(t.startedAt)
	} else if l.conditions != nil {
		lost = l.conditions.restoreTime
	}
	var latestStart clock.Instant
	var objective time.Duration
	if l.conditions != nil {
		objective = j.class.objective(j.steps, j.expected)
		latestStart = j.acceptedAt.Add(objective - time.Duration(j.steps-j.current)*j.expected)
	}
	w.Victims = append(w.Victims, Victim{
		LatestStart: latestStart, Objective: objective,
		Task: cell.TaskKey{Job: j.id, Step: j.current, Index: i}, Run: t.run, Need: j.step.Need, Priority: j.class.queue.Priority,
		LostWork: float64(lost.Milliseconds()) * float64(j.step.Need.MilliCPU) / 1000,
	})
}

// lateValueShare is the share of its value that a job earns if it ends after its
// objective but within three times the objective.
const lateValueShare = 0.2

// results returns the results by class. The largest tenth of the jobs of each class
// is also counted separately.
func (l *simulation) results() map[string]*classResult {
	out := map[string]*classResult{}
	for c := range l.classes {
		class := &l.classes[c]
		r := &classResult{}
		out[class.name] = r
		jobs := slices.DeleteFunc(slices.Clone(l.jobs), func(j *simJob) bool { return j.class != class })
		slices.SortFunc(jobs, func(a, b *simJob) int { return cmp.Compare(b.estimatedWork(), a.estimatedWork()) })
		for i, j := range jobs {
			r.add(j, i < (len(jobs)+9)/10)
		}
	}
	return out
}

// unfinishedWork returns the estimated work of the unfinished tasks, in core-milliseconds.
func (j *simJob) unfinishedWork() float64 {
	work := 0.0
	for i := range j.tasks {
		if !j.tasks[i].done {
			work += float64(j.expected.Milliseconds()) * float64(j.step.Need.MilliCPU) / 1000
		}
	}
	work += float64((j.steps-j.current-1)*len(j.tasks)) * float64(j.expected.Milliseconds()) * float64(j.step.Need.MilliCPU) / 1000
	return work
}

func (j *simJob) estimatedWork() int64 { return int64(len(j.tasks)) * j.step.EstimateMillis }

func (r *classResult) add(j *simJob, largest bool) {
	if j.acceptedAt == 0 {
		r.refused++
		return
	}
	r.submitted++
	r.maxValue += j.class.value
	duration := j.endedAt.Sub(j.submittedAt)
	served := j.endedAt != 0 && duration <= 3*j.objective
	switch {
	case served && duration <= j.objective:
		r.inTime++
		r.earnedValue += j.class.value
	case served:
		r.late++
		r.earnedValue += lateValueShare * j.class.value
	}
	if largest {
		r.largestJobs++
		if served {
			r.largestServed++
		}
	}
}

// firstFit is the baseline planner. It places tasks in the order of arrival on the
// first worker that fits, requests advice about the first 30 workers that may be
// eligible and have no valid ticket, and preempts nothing.
func firstFit(in *Input) Output {
	p := &planner{in: in, pools: map[string][]*Worker{}, byID: map[cell.WorkerID]*Worker{}}
	for i := range in.Workers {
		w := &in.Workers[i]
		w.inputIndex = i
		p.pools[w.Pool], p.byID[w.ID] = append(p.pools[w.Pool], w), w
	}
	for i := range in.Pending {
		s := &in.Pending[i]
		if slots := fillSlots(s, p.withValidTickets(s), freeCapacity); s.Step.Gang && slots != nil {
			for k, index := range s.Waiting {
				p.startTask(s, index, s.NextRun[k], slots[k])
			}
			continue
		}
		placed := 0
		for k, index := range s.Waiting {
			ws := p.withValidTickets(s)
			next := slices.IndexFunc(ws, func(w *Worker) bool { return !s.Step.Gang && fits(s, w) })
			if next < 0 {
				break
			}
			p.startTask(s, index, s.NextRun[k], ws[next])
			placed++
		}
		if placed < len(s.Waiting) && s.Advice.InFlight == 0 && in.IdleAdvisers > 0 {
			var ids []cell.WorkerID
			for _, w := range in.Workers {
				if len(ids) < 30 && !p.hasValidTicket(s, p.byID[w.ID]) && (!s.Advice.Evaluated[w.ID] || p.isEligible(s, p.byID[w.ID])) {
					ids = append(ids, w.ID)
				}
			}
			p.addAdviceRequest(s, ids)
		}
	}
	return p.out
}

// earnedShare returns the share of the possible value that was earned.
func earnedShare(rs map[string]*classResult) (share float64) {
	var earned, possible float64
	for _, r := range rs {
		earned += r.earnedValue
		possible += r.maxValue
	}
	return earned / possible
}

// Under a load that fills the workers, with bursts beyond their capacity, the
// planner must earn at least the value that first fit earns in the order of
// arrival. It must not starve the largest jobs of a class for it.
func TestLoadAgainstFirstFit(t *testing.T) {
	smallCluster := func(burst float64) scenario {
		return scenario{fmt.Sprintf("48 workers, burst %.1f", burst), 48, 12, yearbookLoad(), burst, 10 * time.Millisecond, 0, 0, false}
	}
	for _, sc := range []scenario{
		smallCluster(1), smallCluster(1.8), smallCluster(2.5),
		{"192 workers, burst 1.8", 192, 39, scaledLoad(), 1.8, 20 * time.Millisecond, 0, 0, false},
	} {
		t.Run(sc.name, func(t *testing.T) {
			planned, firstFitResults := simulate(sc, 7, Compute), simulate(sc, 7, firstFit)
			for _, c := range sc.classes {
				r, b := planned[c.name], firstFitResults[c.name]
				t.Logf("%-8s submitted %4d: in time %4d, late %3d; first fit %4d, %3d", c.name, r.submitted, r.inTime, r.late, b.inTime, b.late)
				allShare := r.servedShare()
				largestShare := float64(r.largestServed) / float64(max(1, r.largestJobs))
				qt.Check(t, largestShare >= allShare/2, qt.IsTrue, qt.Commentf("%s: the largest tenth is served %.2f, all %.2f", c.name, largestShare, allShare))
			}
			t.Logf("earned %.3f, first fit %.3f, ratio %.2f", earnedShare(planned), earnedShare(firstFitResults), earnedShare(planned)/earnedShare(firstFitResults))
			qt.Check(t, earnedShare(planned) >= earnedShare(firstFitResults), qt.IsTrue)
		})
	}
}

// urgentGangLoad returns scaledLoad with three in ten of the extracts as small gangs,
// as many as the yearbook workspace submits.
func urgentGangLoad() []loadClass {
	classes := scaledLoad()
	gangs := classes[2]
	gangs.name, gangs.gang, gangs.meanTasks = "extract-gang", true, 3
	gangs.jobsPerSecond *= 0.3
	classes[2].jobsPerSecond *= 0.7
	return append(classes, gangs)
}

// Small urgent gangs have a quick placement policy. While longer work fills most of the
// workers and slow policies occupy most of the advisers, as on the heaviest days, they
// must be served like urgent jobs that are no gangs.
func TestUrgentGangsAreServedUnderLoad(t *testing.T) {
	for _, burst := range []float64{1.8, 3} {
		sc := scenario{fmt.Sprintf("192 workers, burst %.1f", burst), 192, 26, urgentGangLoad(), burst, 20 * time.Millisecond, 0, 0, false}
		t.Run(sc.name, func(t *testing.T) {
			results := simulate(sc, 7, Compute)
			single, gangs := results["extract"], results["extract-gang"]
			for _, c := range sc.classes {
				r := results[c.name]
				t.Logf("%-12s submitted %4d: in time %4d, late %3d", c.name, r.submitted, r.inTime, r.late)
			}
			inTime := func(r *classResult) float64 { return float64(r.inTime) / float64(r.submitted) }
			qt.Check(t, inTime(gangs) >= 0.99*inTime(single), qt.IsTrue, qt.Commentf("in time: gangs %.3f, others %.3f", inTime(gangs), inTime(single)))
			qt.Check(t, gangs.servedShare() >= 0.99*single.servedShare(), qt.IsTrue, qt.Commentf("served: %.3f of the gangs", gangs.servedShare()))
		})
	}
}
