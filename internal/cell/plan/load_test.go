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

// loadClass is one kind of job of a load, as the users' sheets give it.
type loadClass struct {
	name     string
	perSec   float64
	gang     bool
	width    float64
	milliCPU int64
	memoryMB int64
	work     time.Duration
	worth    float64
	queue    cell.Queue
	// good is the share of workers that the placement policy lets through.
	good float64
	// saves says that stopped tasks go on where they were.
	saves bool
}

// yearbookLoad is a load in the proportions of the yearbook's sheet that needs
// about nine tenths of 48 workers before any burst.
func yearbookLoad() []loadClass {
	advice := func(decide, perWorker float64) *cell.Advice {
		return &cell.Advice{DecideMillis: decide, PerWorkerMillis: perWorker, ValidMillis: 1500}
	}
	return []loadClass{
		{"table", 3.0, true, 8, 4500, 4600, 4 * time.Second, 11.6, cell.Queue{
			Name: "table", Priority: 1, ObjectiveMillis: 1000, Stretch: 2.2, Advice: advice(560, 8),
		}, 0.3, false},
		{"series", 11, false, 10, 890, 910, 2700 * time.Millisecond, 2.23, cell.Queue{
			Name: "series", Priority: 2, ObjectiveMillis: 3000, Stretch: 4, Advice: advice(66, 0.94),
		}, 0.45, true},
		{"extract", 60, false, 2, 1300, 1800, 800 * time.Millisecond, 0.439, cell.Queue{
			Name: "extract", Priority: 0, ObjectiveMillis: 250, Stretch: 1.5, Advice: advice(9.3, 0.13),
		}, 0.7, false},
	}
}

const (
	loadLength = 20 * time.Second
	loadDrain  = 30 * time.Second
	stopTime   = 200 * time.Millisecond
	loadMargin = 200 * time.Millisecond
)

// load is a set of workers and what is asked of them.
type load struct {
	name     string
	workers  int
	advisers int
	classes  []loadClass
	// burst multiplies the jobs of the first class from 8 to 14 s.
	burst float64
	// step is the pause between two plans.
	step time.Duration
}

// grown is a load with more workers, and wider gangs in proportion to them.
func grown() []loadClass {
	classes := yearbookLoad()
	scale := 4.0
	classes[0].width *= 2.5
	for i := range classes {
		classes[i].perSec *= scale
	}
	classes[0].perSec /= 2.5
	return classes
}

// loadTask is a task of a load's job.
type loadTask struct {
	left    time.Duration
	running bool
	done    bool
	run     int64
	worker  int
	// ends is when its run ends, stopped when it is stopped before, 0 if not.
	ends, stopped, began clock.Instant
}

type loadJob struct {
	id      cell.JobID
	class   *loadClass
	step    cell.Step
	arrived clock.Instant
	due     clock.Instant
	tasks   []loadTask
	advice  *StepAdvice
	// ended is when the last task ended, 0 before.
	ended clock.Instant
}

// loadCall is a question on its way.
type loadCall struct {
	question Question
	ends     clock.Instant
}

// loadRun plays a load through a decision in virtual time.
type loadRun struct {
	load
	rand   *rand.Rand
	decide func(in *Input) Output
	now    clock.Instant
	free   []model.Resources
	jobs   []*loadJob
	open   []*loadJob
	calls  []loadCall
}

// loadResult is what callers got of one class.
type loadResult struct {
	asked, inTime, late    int
	largest, largestServed int
	worth, earned          float64
}

func (r *loadResult) served() float64 { return float64(r.inTime+r.late) / float64(max(1, r.asked)) }

func play(ld load, seed uint64, decide func(in *Input) Output) map[string]*loadResult {
	l := &loadRun{load: ld, rand: rand.New(rand.NewPCG(seed, 1)), decide: decide, now: testNow}
	for range l.workers {
		l.free = append(l.free, model.Resources{MilliCPU: 16000, MemoryMB: 32768})
	}
	for l.now < testNow.Add(loadLength+loadDrain) {
		if l.now < testNow.Add(loadLength) {
			l.arrive()
		}
		l.endRuns()
		l.endCalls()
		l.plan()
		l.now = l.now.Add(l.step)
	}
	return l.results()
}

// arrive submits the jobs of one step of time; the first class comes in a burst
// from 8 to 14 s.
func (l *loadRun) arrive() {
	for c := range l.classes {
		class := &l.classes[c]
		rate := class.perSec * l.step.Seconds()
		if at := l.now.Sub(testNow); c == 0 && at >= 8*time.Second && at < 14*time.Second {
			rate *= l.burst
		}
		for ; rate > 0; rate-- {
			if l.rand.Float64() < rate {
				l.submit(class)
			}
		}
	}
}

func (l *loadRun) submit(c *loadClass) {
	width := max(1, int(c.width*math.Exp(0.6*l.rand.NormFloat64()-0.18)))
	work := time.Duration(float64(c.work) * math.Exp(0.5*l.rand.NormFloat64()-0.12))
	j := &loadJob{
		id: cell.JobID(fmt.Sprintf("%s-%04d", c.name, len(l.jobs))), class: c, arrived: l.now,
		step: cell.Step{
			Count: width, Need: model.Resources{MilliCPU: c.milliCPU, MemoryMB: c.memoryMB}, Gang: c.gang,
			EstimateMillis: int64(float64(work.Milliseconds()) * math.Exp(0.3*l.rand.NormFloat64())), Checkpoints: c.saves,
		},
		advice: &StepAdvice{Good: map[cell.WorkerID]Ticket{}, Asked: map[cell.WorkerID]bool{}},
	}
	a := c.queue.Advice
	chain := float64(work.Milliseconds()) + a.DecideMillis + 30*a.PerWorkerMillis
	j.due = l.now.Add(time.Duration(c.queue.Stretch*chain+float64(c.queue.ObjectiveMillis)) * time.Millisecond)
	for range width {
		j.tasks = append(j.tasks, loadTask{left: work})
	}
	l.jobs, l.open = append(l.jobs, j), append(l.open, j)
}

func (l *loadRun) endRuns() {
	for _, j := range l.open {
		left := 0
		for i := range j.tasks {
			t := &j.tasks[i]
			switch {
			case t.running && t.ends <= l.now && (t.stopped == 0 || t.ends <= t.stopped):
				t.running, t.done = false, true
				l.free[t.worker] = l.free[t.worker].Add(j.step.Need)
			case t.running && t.stopped != 0 && t.stopped <= l.now:
				t.running = false
				l.free[t.worker] = l.free[t.worker].Add(j.step.Need)
				if j.step.Checkpoints {
					t.left = t.ends.Sub(t.stopped)
				}
				t.stopped = 0
			}
			if !t.done {
				left++
			}
		}
		if left == 0 {
			j.ended = l.now
		}
	}
	l.open = slices.DeleteFunc(l.open, func(j *loadJob) bool { return j.ended != 0 })
}

// lets is what the placement policy says, the same each time.
func lets(j *loadJob, w cell.WorkerID) bool {
	h := rand.New(rand.NewPCG(uint64(len(j.id))<<32|hashOf(string(j.id)), hashOf(string(w))))
	return h.Float64() < j.class.good
}

func hashOf(s string) uint64 {
	h := uint64(1469598103934665603)
	for _, b := range []byte(s) {
		h = (h ^ uint64(b)) * 1099511628211
	}
	return h
}

func (l *loadRun) endCalls() {
	l.calls = slices.DeleteFunc(l.calls, func(c loadCall) bool {
		if c.ends > l.now {
			return false
		}
		j := l.jobOf(c.question.Key.Job)
		j.advice.InFlight--
		for _, w := range c.question.Workers {
			j.advice.Asked[w] = true
			if lets(j, w) {
				valid := time.Duration(j.class.queue.Advice.ValidMillis) * time.Millisecond
				j.advice.Good[w] = Ticket{Token: "t", Until: l.now.Add(valid - loadMargin)}
			}
		}
		return true
	})
}

func (l *loadRun) jobOf(id cell.JobID) *loadJob {
	i := slices.IndexFunc(l.jobs, func(j *loadJob) bool { return j.id == id })
	return l.jobs[i]
}

func (l *loadRun) plan() {
	in := l.input()
	if len(in.Pending) == 0 {
		return
	}
	out := l.decide(in)
	for i := range out.Starts {
		l.start(&out.Starts[i])
	}
	for i := range out.Stops {
		t := &l.jobOf(out.Stops[i].Task.Job).tasks[out.Stops[i].Task.Index]
		t.stopped = l.now.Add(stopTime)
	}
	for _, q := range out.Questions {
		a := l.jobOf(q.Key.Job).class.queue.Advice
		took := time.Duration((a.DecideMillis + float64(len(q.Workers))*a.PerWorkerMillis) * float64(time.Millisecond))
		l.calls = append(l.calls, loadCall{q, l.now.Add(took)})
	}
}

func (l *loadRun) start(s *cell.Start) {
	j := l.jobOf(s.Task.Job)
	t := &j.tasks[s.Task.Index]
	var w int
	if _, err := fmt.Sscanf(string(s.Worker), "w%d", &w); err != nil {
		panic(err)
	}
	l.free[w] = l.free[w].Sub(j.step.Need)
	if l.free[w].MilliCPU < 0 || l.free[w].MemoryMB < 0 {
		panic("a worker is overcommitted")
	}
	t.running, t.worker, t.run = true, w, t.run+1
	t.began, t.ends = l.now, l.now.Add(t.left)
}

// input is the snapshot for a decision.
func (l *loadRun) input() *Input {
	in := input(nil)
	in.Now, in.StopTime = l.now, stopTime
	in.AllAdvisers, in.Advisers = l.advisers, l.advisers-len(l.calls)
	for i, free := range l.free {
		w := worker(fmt.Sprintf("w%03d", i), 0)
		w.Capacity, w.Free = model.Resources{MilliCPU: 16000, MemoryMB: 32768}, free
		in.Workers = append(in.Workers, w)
	}
	for _, j := range l.open {
		p := Pending{
			Key: cell.StepKey{Job: j.id}, Step: &j.step, Queue: &j.class.queue, Pool: "p", Workspace: "a",
			Due: j.due, Remaining: time.Duration(j.step.EstimateMillis) * time.Millisecond, Advice: j.advice,
		}
		for i := range j.tasks {
			t := &j.tasks[i]
			switch {
			case t.running && t.stopped != 0:
				w := &in.Workers[t.worker]
				w.Coming = w.Coming.Add(j.step.Need)
			case t.running && !j.step.Gang:
				l.addVictim(&in.Workers[t.worker], j, i)
			case !t.running && !t.done:
				p.Waiting, p.NextRun = append(p.Waiting, i), append(p.NextRun, t.run+1)
			}
		}
		if len(p.Waiting) > 0 {
			in.Pending = append(in.Pending, p)
		}
	}
	return in
}

func (l *loadRun) addVictim(w *Worker, j *loadJob, i int) {
	t := &j.tasks[i]
	lost := stopTime
	if !j.step.Checkpoints {
		lost = l.now.Sub(t.began)
	}
	w.Victims = append(w.Victims, Victim{
		Task: cell.TaskKey{Job: j.id, Index: i}, Run: t.run, Need: j.step.Need, Priority: j.class.queue.Priority,
		Lost: float64(lost.Milliseconds()) * float64(j.step.Need.MilliCPU) / 1000,
	})
}

// lateShare is the share of its worth that a job earns up to three times its
// objective.
const lateShare = 0.2

func (l *loadRun) results() map[string]*loadResult {
	out := map[string]*loadResult{}
	for c := range l.classes {
		class := &l.classes[c]
		r := &loadResult{}
		out[class.name] = r
		jobs := slices.DeleteFunc(slices.Clone(l.jobs), func(j *loadJob) bool { return j.class != class })
		slices.SortFunc(jobs, func(a, b *loadJob) int { return cmp.Compare(b.size(), a.size()) })
		for i, j := range jobs {
			r.count(j, i < (len(jobs)+9)/10)
		}
	}
	return out
}

func (j *loadJob) size() int64 { return int64(len(j.tasks)) * j.step.EstimateMillis }

func (r *loadResult) count(j *loadJob, largest bool) {
	r.asked++
	r.worth += j.class.worth
	objective := j.due.Sub(j.arrived)
	took := j.ended.Sub(j.arrived)
	served := j.ended != 0 && took <= 3*objective
	switch {
	case served && took <= objective:
		r.inTime++
		r.earned += j.class.worth
	case served:
		r.late++
		r.earned += lateShare * j.class.worth
	}
	if largest {
		r.largest++
		if served {
			r.largestServed++
		}
	}
}

// firstFit places in the order of arrival on the first worker that may run a
// task, asks about the first workers that it has not asked about, and stops
// nothing: the least that a scheduler can do.
func firstFit(in *Input) Output {
	p := &planner{in: in, pools: map[string][]*Worker{}, byID: map[cell.WorkerID]*Worker{}}
	for i := range in.Workers {
		w := &in.Workers[i]
		w.order = i
		p.pools[w.Pool], p.byID[w.ID] = append(p.pools[w.Pool], w), w
	}
	for i := range in.Pending {
		s := &in.Pending[i]
		if seats := fill(s, p.ticketed(s), freeRoom); s.Step.Gang && seats != nil {
			for k, index := range s.Waiting {
				p.start(s, index, s.NextRun[k], seats[k])
			}
			continue
		}
		placed := 0
		for k, index := range s.Waiting {
			ws := p.ticketed(s)
			at := slices.IndexFunc(ws, func(w *Worker) bool { return !s.Step.Gang && fits(s, w) })
			if at < 0 {
				break
			}
			p.start(s, index, s.NextRun[k], ws[at])
			placed++
		}
		if placed < len(s.Waiting) && s.Advice.InFlight == 0 && in.Advisers > 0 {
			var ids []cell.WorkerID
			for _, w := range in.Workers {
				if len(ids) < 30 && !p.hasTicket(s, p.byID[w.ID]) && (!s.Advice.Asked[w.ID] || p.isGood(s, p.byID[w.ID])) {
					ids = append(ids, w.ID)
				}
			}
			p.question(s, ids)
		}
	}
	return p.out
}

func earned(rs map[string]*loadResult) (share float64) {
	var got, owed float64
	for _, r := range rs {
		got += r.earned
		owed += r.worth
	}
	return got / owed
}

// A load that fills the workers, with bursts that need more than there is: what
// callers get is compared with first fit in the order of arrival. No class and
// no size may be starved for it.
func TestLoadAgainstFirstFit(t *testing.T) {
	small := func(burst float64) load {
		return load{fmt.Sprintf("48 workers, burst %.1f", burst), 48, 12, yearbookLoad(), burst, 10 * time.Millisecond}
	}
	for _, ld := range []load{
		small(1), small(1.8), small(2.5),
		{"192 workers, burst 1.8", 192, 39, grown(), 1.8, 20 * time.Millisecond},
	} {
		t.Run(ld.name, func(t *testing.T) {
			ours, theirs := play(ld, 7, Make), play(ld, 7, firstFit)
			for _, c := range ld.classes {
				r, b := ours[c.name], theirs[c.name]
				t.Logf("%-8s asked %4d: in time %4d, late %3d; first fit %4d, %3d", c.name, r.asked, r.inTime, r.late, b.inTime, b.late)
				all := r.served()
				largest := float64(r.largestServed) / float64(max(1, r.largest))
				qt.Check(t, largest >= all/2, qt.IsTrue, qt.Commentf("%s: the largest tenth is served %.2f, all %.2f", c.name, largest, all))
			}
			t.Logf("earned %.3f, first fit %.3f, ratio %.2f", earned(ours), earned(theirs), earned(ours)/earned(theirs))
			qt.Check(t, earned(ours) >= earned(theirs), qt.IsTrue)
		})
	}
}
