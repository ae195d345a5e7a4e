package placement_test

import (
	"fmt"
	"runtime"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"kumquatwing/internal/model"
	"kumquatwing/internal/placement"
	"kumquatwing/internal/placement/dispatch"
	"kumquatwing/internal/placement/estimate"
)

const (
	driverStep       = 200    // time between two plans, in milliseconds
	driverStop       = 1000   // time that a preempted task takes to stop, in milliseconds
	driverCheckpoint = 30_000 // time between checkpoints of a batch task, in milliseconds
	driverDrainRate  = 20     // tasks stopped per second in a data centre out of service
	driverBound      = 500    // most placements per plan
)

// scheduler is one of the schedulers that the driver can run.
type scheduler struct {
	name   string
	decide func(*placement.Snapshot) *placement.Plan
	// learn makes the driver correct declarations by the estimates of earlier
	// tasks.
	learn bool
}

// loadJob is a job of the load with the run time and usage that its tasks
// really have.
type loadJob struct {
	spec    model.JobSpec
	arrives int64
	// run is the actual run time at full speed, use the actual usage.
	run int64
	use model.Resources
}

// driverTask is one task. It is pending whenever it is not running.
type driverTask struct {
	job     *loadJob
	id      model.TaskID
	left    int64 // remaining run time as of the latest start or stop
	waits   int64 // when it last began to wait
	waited  int64 // how long it waited for its first start; -1 before that
	started int64
	ends    int64
	stopAt  int64 // when it will have stopped; 0 unless it is stopping
	worker  int
	size    model.Resources
}

// rate returns the speed, in thousandths of full speed, at which a task runs
// when its CPU is limited to its size.
func (t *driverTask) rate() int64 {
	return min(1000, t.size.MilliCPU*1000/t.job.use.MilliCPU)
}

// driverJob holds the tasks of a job that wait in one data centre.
type driverJob struct {
	job     *loadJob
	size    model.Resources
	run     int64
	arrived int64
	pending []*driverTask
}

// driverDC is one data centre.
type driverDC struct {
	id           model.DCID
	out          bool
	workers      []placement.WorkerView
	index        map[model.WorkerID]int
	jobs         []*driverJob
	running      []*driverTask
	reservations []placement.Reservation
}

// driver runs a scheduler under a load in virtual time.
type driver struct {
	scheduler  scheduler
	now        int64
	dcs        []*driverDC
	workspaces []placement.WorkspaceView
	shapes     []model.Resources
	estimates  estimate.Estimates
	tasks      []*driverTask
	stats      stats
	check      bool
}

func newDriver(s scheduler, dcs, workers int, shares []int64) *driver {
	d := &driver{scheduler: s}
	for i := range dcs {
		d.dcs = append(d.dcs, newDriverDC(model.DCID(fmt.Sprintf("dc%d", i)), workers/dcs))
	}
	for i, share := range shares {
		d.workspaces = append(d.workspaces, placement.WorkspaceView{ID: workspaceName(i), Share: share, Grant: model.Resources{MilliCPU: 1 << 40, MemoryMB: 1 << 40, Accelerators: 1 << 40}})
	}
	d.shapes = []model.Resources{driverWorker(0), driverWorker(7)}
	return d
}

func workspaceName(i int) model.WorkspaceID { return model.WorkspaceID(fmt.Sprintf("workspace%d", i)) }

// driverWorker returns the size of the i-th worker. One in eight has
// accelerators.
func driverWorker(i int) model.Resources {
	size := model.Resources{MilliCPU: 16_000, MemoryMB: 32_768}
	if i%8 == 7 {
		size.Accelerators = 4
	}
	return size
}

func newDriverDC(id model.DCID, workers int) *driverDC {
	dc := &driverDC{id: id, index: make(map[model.WorkerID]int)}
	for i := range workers {
		w := model.WorkerID(fmt.Sprintf("%s-w%04d", id, i))
		dc.index[w] = i
		dc.workers = append(dc.workers, placement.WorkerView{ID: w, Rack: fmt.Sprint(i / 8), Size: driverWorker(i), Free: driverWorker(i), State: model.WorkerReady})
	}
	return dc
}

// run advances the virtual time in steps until the given time. It calls during,
// if it is set, at each step.
func (d *driver) run(load []*loadJob, until int64, during func(d *driver)) {
	for next := 0; d.now < until; d.now += driverStep {
		for ; next < len(load) && load[next].arrives <= d.now; next++ {
			d.submit(load[next])
		}
		if during != nil {
			during(d)
		}
		for _, dc := range d.dcs {
			d.end(dc)
			d.drain(dc)
			d.plan(dc)
		}
		d.stats.sample(d)
	}
	d.stats.finish(d)
}

// submit creates the job's tasks and assigns them to data centres.
func (d *driver) submit(j *loadJob) {
	tasks := make([]*driverTask, j.spec.Tasks)
	for i := range tasks {
		tasks[i] = &driverTask{job: j, id: model.TaskID(fmt.Sprintf("%s.%d", j.spec.ID, i)), left: j.run, waits: d.now, waited: -1}
	}
	d.tasks = append(d.tasks, tasks...)
	d.assign(j, d.now, tasks)
}

// assign adds waiting tasks of j to the data centres that dispatch chooses.
func (d *driver) assign(j *loadJob, arrived int64, tasks []*driverTask) {
	spec := j.spec
	spec.Tasks = len(tasks)
	owners := d.owners(&spec)
	for i, t := range tasks {
		for _, dc := range d.dcs {
			if dc.id == owners[i] {
				part := d.waitingPart(dc, j, arrived)
				part.pending = append(part.pending, t)
			}
		}
	}
}

// owners chooses a data centre for each task. The tasks of a gang follow those
// of its tasks that already wait in a data centre in service.
func (d *driver) owners(spec *model.JobSpec) []model.DCID {
	for _, dc := range d.dcs {
		for _, part := range dc.jobs {
			if len(d.dcs) == 1 || spec.Class == model.ClassGang && part.job.spec.ID == spec.ID && !dc.out {
				return slices.Repeat([]model.DCID{dc.id}, spec.Tasks)
			}
		}
	}
	return dispatch.Choose(spec, d.views()).Owners
}

// waitingPart returns the part of a job that waits in a data centre, and
// creates it if there is none.
func (d *driver) waitingPart(dc *driverDC, j *loadJob, arrived int64) *driverJob {
	for _, part := range dc.jobs {
		if part.job == j {
			return part
		}
	}
	part := &driverJob{job: j, size: j.spec.Size, run: j.spec.RunMillis, arrived: arrived}
	if d.scheduler.learn {
		c := d.estimates.Correct(keyOf(&j.spec), j.spec.Size, j.spec.RunMillis, d.shapes)
		part.size, part.run = c.Size, c.RunMillis
	}
	dc.jobs = append(dc.jobs, part)
	return part
}

func keyOf(s *model.JobSpec) estimate.Key {
	return estimate.Key{Workspace: s.Workspace, Workload: s.Workload}
}

func (d *driver) views() []dispatch.DCView {
	var out []dispatch.DCView
	for _, dc := range d.dcs {
		v := dispatch.DCView{ID: dc.id, Out: dc.out, Reporting: true, Known: true, Shapes: []dispatch.Shape{{Size: d.shapes[0], Count: len(dc.workers) * 7 / 8}, {Size: d.shapes[1], Count: len(dc.workers) / 8}}}
		for i := range dc.workers {
			v.Free = v.Free.Add(dc.workers[i].Free)
		}
		for _, j := range dc.jobs {
			v.Waiting = v.Waiting.Add(j.size.Scale(int64(len(j.pending))))
		}
		out = append(out, v)
	}
	return out
}

// end frees the capacity of tasks that have completed or stopped.
func (d *driver) end(dc *driverDC) {
	dc.running = slices.DeleteFunc(dc.running, func(t *driverTask) bool {
		stopped := t.stopAt != 0 && t.stopAt <= d.now
		if t.ends > d.now && !stopped {
			return false
		}
		w := &dc.workers[t.worker]
		w.Free = w.Free.Add(t.size)
		if t.ends <= d.now {
			d.finished(t)
			return true
		}
		d.stopped(dc, t)
		return true
	})
}

// finished counts a completed task and adds it to the estimates.
func (d *driver) finished(t *driverTask) {
	d.stats.done += t.job.run * t.job.use.MilliCPU
	t.left = 0
	if d.scheduler.learn {
		d.estimates.Add(keyOf(&t.job.spec), estimate.Sample{
			Declared: t.job.spec.Size, DeclaredMillis: t.job.spec.RunMillis, Peak: t.job.use, RanMillis: t.job.run,
		})
	}
}

// stopped puts a stopped task back into a queue with the remaining run time
// after its latest checkpoint. In a data centre out of service no work is lost.
func (d *driver) stopped(dc *driverDC, t *driverTask) {
	saved := t.checkpoint(t.stopAt) - t.started
	if dc.out {
		saved = t.stopAt - t.started
	}
	lost := t.stopAt - t.started - saved
	d.stats.lost += lost * min(t.size.MilliCPU, t.job.use.MilliCPU)
	d.stats.preempted++
	t.left = max(t.left-saved*t.rate()/1000, 1)
	t.stopAt, t.waits = 0, d.now
	d.assign(t.job, t.job.arrives, []*driverTask{t})
}

// checkpoint returns the time of the latest checkpoint before at.
func (t *driverTask) checkpoint(at int64) int64 {
	return t.started + (at-t.started)/driverCheckpoint*driverCheckpoint
}

// drain stops the running tasks of a data centre out of service, at a limited
// rate but each gang as a whole, and assigns its waiting tasks to other data
// centres.
func (d *driver) drain(dc *driverDC) {
	if !dc.out {
		return
	}
	budget := driverDrainRate * driverStep / 1000
	gangs := make(map[model.JobID]bool)
	for _, t := range dc.running {
		gang := t.job.spec.Class == model.ClassGang
		if t.stopAt != 0 || budget <= 0 && !(gang && gangs[t.job.spec.ID]) {
			continue
		}
		t.stopAt = d.now + driverStop
		gangs[t.job.spec.ID] = gang
		budget--
	}
	waiting := dc.jobs
	dc.jobs = nil
	for _, j := range waiting {
		d.assign(j.job, j.arrived, j.pending)
	}
}

// plan computes one plan for the data centre and applies it.
func (d *driver) plan(dc *driverDC) {
	s := d.snapshot(dc)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	runtime.LockOSThread()
	start, cpuStart := time.Now(), threadTime()
	p := d.scheduler.decide(s)
	wallTime, cpuTime := time.Since(start), threadTime()-cpuStart
	runtime.UnlockOSThread()
	runtime.ReadMemStats(&after)
	d.stats.recordPlan(wallTime, cpuTime, len(p.Place), after.Mallocs-before.Mallocs)
	if d.check {
		if err := placement.Check(s, p); err != nil {
			panic(err)
		}
	}
	dc.reservations = p.Reservations
	d.start(dc, p)
	stop := make(map[model.TaskID]bool, len(p.Preempt))
	for _, e := range p.Preempt {
		stop[e.Task] = true
	}
	for _, t := range dc.running {
		if len(stop) > 0 && stop[t.id] {
			t.stopAt = d.now + driverStop
		}
	}
}

// threadTime returns the CPU time that the calling thread has used.
func threadTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts); err != nil {
		panic(err)
	}
	return time.Duration(ts.Nano())
}

// start starts the tasks that p places.
func (d *driver) start(dc *driverDC, p *placement.Plan) {
	workerOf := make(map[model.TaskID]int, len(p.Place))
	for _, pl := range p.Place {
		workerOf[pl.Task] = dc.index[pl.Worker]
	}
	for _, j := range dc.jobs {
		j.pending = slices.DeleteFunc(j.pending, func(t *driverTask) bool {
			w, ok := workerOf[t.id]
			if ok {
				d.startTask(dc, j, t, w)
			}
			return ok
		})
	}
	dc.jobs = slices.DeleteFunc(dc.jobs, func(j *driverJob) bool { return len(j.pending) == 0 })
}

func (d *driver) startTask(dc *driverDC, j *driverJob, t *driverTask, w int) {
	t.worker, t.size, t.started = w, j.size, d.now
	t.ends = d.now + t.left*1000/t.rate()
	if t.waited < 0 {
		t.waited = d.now - t.waits
	}
	dc.workers[w].Free = dc.workers[w].Free.Sub(j.size)
	dc.running = append(dc.running, t)
}
