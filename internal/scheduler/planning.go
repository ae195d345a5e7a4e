package scheduler

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/cell/plan"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/model"
)

// plan places waiting tasks. Only one plan is being committed at a time, so
// that each starts from what the last one left.
func (s *Scheduler) plan(ctx context.Context) {
	if s.planning || !s.dirty || !s.leads() {
		return
	}
	s.dirty = false
	var in *plan.Input
	s.cfg.State.Read(func() { in = s.snapshot() })
	out := plan.Make(in)
	for i := range out.Questions {
		s.ask(ctx, &out.Questions[i])
	}
	for i := range out.Stops {
		s.preempt(ctx, &out.Stops[i])
	}
	if len(out.Starts) == 0 {
		return
	}
	s.planning = true
	c := &cell.Command{Starts: &cell.Starts{Starts: out.Starts}}
	s.propose(ctx, c, func(r cell.Result, err error) { s.planCommitted(ctx, &out, r, err) })
}

// preempt stops a run for more urgent work.
func (s *Scheduler) preempt(ctx context.Context, st *plan.Stop) {
	se := s.sessions[st.Worker]
	if se == nil {
		return
	}
	r := se.runs[st.Task]
	if r == nil || r.number != st.Run {
		return
	}
	s.cfg.Log.Info("run is preempted", zap.Stringer("task", st.Task), zap.Int64("run", st.Run),
		zap.String("worker", string(st.Worker)), zap.Stringer("for", st.For))
	s.cfg.Metrics.preempted.Inc()
	s.stopRun(ctx, se, st.Task, r)
}

// planCommitted sends the starts that the tables accepted.
func (s *Scheduler) planCommitted(ctx context.Context, out *plan.Output, r cell.Result, err error) {
	s.planning, s.dirty = false, true
	if err != nil {
		s.cfg.Log.Warn("plan is not committed", zap.Int("starts", len(out.Starts)), zap.Error(err))
		return
	}
	type order struct {
		start            *cell.Start
		spec, checkpoint string
		token            string
	}
	var orders []order
	s.cfg.State.Read(func() {
		for _, i := range r.Accepted {
			st := &out.Starts[i]
			j, _, t := s.cfg.State.Task(st.Task)
			if t == nil || j.State.Ended() || t.Run != st.Run {
				continue
			}
			orders = append(orders, order{st, j.Spec, t.Checkpoint, out.Tokens[i]})
		}
	})
	for _, o := range orders {
		s.cfg.Log.Info("run placed", zap.Stringer("task", o.start.Task), zap.Int64("run", o.start.Run),
			zap.String("worker", string(o.start.Worker)), zap.Bool("resumes", o.checkpoint != ""))
		s.startRun(ctx, o.start, o.spec, o.checkpoint, o.token)
	}
	s.syncSessions(ctx)
}

// snapshot builds the planner's input, which shares with the tables only what
// never changes there: steps, queues and labels. The state is locked.
func (s *Scheduler) snapshot() *plan.Input {
	now := s.now()
	in := &plan.Input{
		Now:       now,
		StopTime:  s.cfg.Bounds.StopTimeout,
		Rooms:     s.rooms(),
		GoodShare: s.goodShare,
	}
	in.Advisers, in.AllAdvisers = s.countAdvisers(now)
	for _, j := range s.cfg.State.Active {
		in.Pending = s.appendPending(in.Pending, j, now)
	}
	if len(in.Pending) == 0 {
		return in
	}
	s.addWorkers(in, now)
	slices.SortFunc(in.Pending, func(a, b plan.Pending) int {
		if a.Key.Job != b.Key.Job {
			if a.Key.Job < b.Key.Job {
				return -1
			}
			return 1
		}
		return a.Key.Step - b.Key.Step
	})
	return in
}

// addWorkers adds the workers that take new tasks, in the order of their IDs.
func (s *Scheduler) addWorkers(in *plan.Input, now clock.Instant) {
	wanted := gangWorkers(in.Pending)
	workers := s.cfg.State.SortedWorkers()
	in.Workers = make([]plan.Worker, 0, len(workers))
	for _, w := range workers {
		se := s.sessions[w.ID]
		if se == nil || !s.takesWork(se, w, now) {
			continue
		}
		speed := se.speed.value(now)
		pw := plan.Worker{
			ID: w.ID, Born: w.Born, DC: w.DC, Rack: rackOf(w.Labels), Pool: w.Pool, Labels: w.Labels,
			Capacity: w.Capacity, Free: w.Free(), Speed: speed,
			Suspect: se.failures.suspect(now) || speed < slowSpeed,
		}
		if wanted.has(w.ID) {
			s.addVictims(&pw, se, w, now)
		}
		in.Workers = append(in.Workers, pw)
	}
}

// workerSet is a set of workers, or all of them.
type workerSet struct {
	all bool
	ids map[cell.WorkerID]bool
}

func (s *workerSet) has(id cell.WorkerID) bool { return s.all || s.ids[id] }

// gangWorkers returns the workers on which waiting gangs may stop other runs.
func gangWorkers(ps []plan.Pending) *workerSet {
	set := &workerSet{ids: map[cell.WorkerID]bool{}}
	for i := range ps {
		switch p := &ps[i]; {
		case !p.Step.Gang:
		case p.Advice == nil:
			set.all = true
		default:
			for id := range p.Advice.Good {
				set.ids[id] = true
			}
		}
	}
	return set
}

// addVictims notes the runs of a worker that are being stopped, and those that
// may be. The state is locked.
func (s *Scheduler) addVictims(pw *plan.Worker, se *session, w *cell.WorkerState, now clock.Instant) {
	for k, a := range w.Held {
		r := se.runs[k]
		j := s.cfg.State.Jobs[k.Job]
		if r == nil || j == nil || a.Filler {
			continue
		}
		if r.stopSince != 0 {
			pw.Coming = pw.Coming.Add(a.Need)
			continue
		}
		step := &j.Steps[k.Step]
		q := s.cfg.State.QueueOf(j)
		if r.status != runStarted || step.Gang || step.Service || q == nil {
			continue
		}
		pw.Victims = append(pw.Victims, plan.Victim{
			Task: k, Run: r.number, Need: a.Need, Priority: q.Priority, Lost: s.lostWork(step, r, now),
		})
	}
}

// lostWork is what a stop of a run throws away, in core-milliseconds: a task
// that saves its progress does so when it is stopped, and must be restored.
func (s *Scheduler) lostWork(step *cell.Step, r *run, now clock.Instant) float64 {
	lost := s.cfg.Bounds.Restore
	if !step.Checkpoints {
		lost = now.Sub(r.confirmed)
	}
	return float64(lost.Milliseconds()) * float64(step.Need.MilliCPU) / 1000
}

// takesWork reports whether new tasks may go to a worker.
func (s *Scheduler) takesWork(se *session, w *cell.WorkerState, now clock.Instant) bool {
	return se.reached && !se.lapsed && !w.Draining && !s.cfg.State.Out[w.DC] &&
		now >= se.blockedUntil && now.Sub(se.heard) < unheardAfter
}

// rackOf returns the label that names a rack: the last one.
func rackOf(labels []string) string {
	if len(labels) < 2 {
		return ""
	}
	return labels[len(labels)-1]
}

func (s *Scheduler) rooms() map[string]*plan.Room {
	out := map[string]*plan.Room{}
	c := &s.cfg.State.Config
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		limit := w.Limit
		if limit == (model.Resources{}) {
			continue
		}
		out[w.Name] = &plan.Room{Limited: true, Left: leftOf(limit, s.cfg.State.Used[w.Name])}
	}
	return out
}

// unlimited stands for a dimension without a limit.
const unlimited = int64(1) << 50

func leftOf(limit, used model.Resources) model.Resources {
	return model.Resources{
		MilliCPU:     leftIn(limit.MilliCPU, used.MilliCPU),
		MemoryMB:     leftIn(limit.MemoryMB, used.MemoryMB),
		Accelerators: leftIn(limit.Accelerators, used.Accelerators),
	}
}

func leftIn(limit, used int64) int64 {
	if limit == 0 {
		return unlimited
	}
	return limit - used
}

// appendPending adds the steps of a job that have tasks to place.
func (s *Scheduler) appendPending(ps []plan.Pending, j *cell.Job, now clock.Instant) []plan.Pending {
	q := s.cfg.State.QueueOf(j)
	if q == nil {
		return ps
	}
	in := s.intakeOf(j, now)
	for o := range j.Occurrences {
		occ := &j.Occurrences[o]
		for i := range occ.Steps {
			st := &occ.Steps[i]
			waiting := len(st.Tasks) - st.Done - st.Placed
			if waiting <= 0 || !j.Ready(o, i) || (j.Steps[i].Gang && (st.Held > 0 || st.Placed > 0)) {
				continue
			}
			ps = append(ps, s.pending(j, q, o, i, in))
		}
	}
	return ps
}

func (s *Scheduler) pending(j *cell.Job, q *cell.Queue, o, i int, in intake) plan.Pending {
	step := &j.Steps[i]
	p := plan.Pending{
		Key:  cell.StepKey{Job: j.ID, Occurrence: o, Step: i},
		Step: step, Queue: q, Pool: q.Pool, Workspace: j.Workspace,
		Due:       in.at.Add(objective(j, q)),
		OverShare: in.overShare,
		Remaining: chain(j, o),
	}
	tasks := j.Occurrences[o].Steps[i].Tasks
	for index := range tasks {
		if tasks[index].Status == cell.TaskWaiting {
			p.Waiting = append(p.Waiting, index)
			p.NextRun = append(p.NextRun, tasks[index].Run+1)
		}
	}
	if step.MaxPerWorker > 0 {
		p.OnWorker = onWorker(tasks)
	}
	if q.Advice != nil {
		p.Advice = s.adviceFor(p.Key)
	}
	return p
}

// onWorker counts the placed tasks of a step by worker.
func onWorker(tasks []cell.Task) map[cell.WorkerID]int {
	n := map[cell.WorkerID]int{}
	for i := range tasks {
		if tasks[i].Status == cell.TaskPlaced {
			n[tasks[i].Worker]++
		}
	}
	return n
}

// objective is the time within which a job should end.
func objective(j *cell.Job, q *cell.Queue) time.Duration {
	work := float64(chainOf(j, func(int) bool { return true }).Milliseconds())
	advice := 0.0
	if q.Advice != nil {
		advice = (q.Advice.DecideMillis + adviceWorkers*q.Advice.PerWorkerMillis) * float64(len(j.Steps))
	}
	return time.Duration(q.Stretch*(work+advice)+float64(q.ObjectiveMillis)) * time.Millisecond
}

// adviceWorkers is the number of workers for which the objective counts advice.
const adviceWorkers = 30

// chain is the longest chain of estimated work that an occurrence has left.
func chain(j *cell.Job, o int) time.Duration {
	steps := j.Occurrences[o].Steps
	return chainOf(j, func(i int) bool { return steps[i].Done < len(steps[i].Tasks) })
}

// chainOf is the longest chain of estimated work over the steps that count.
func chainOf(j *cell.Job, counts func(step int) bool) time.Duration {
	ends := make([]int64, len(j.Steps))
	var longest int64
	for i := range j.Steps {
		for _, before := range j.Steps[i].After {
			ends[i] = max(ends[i], ends[before])
		}
		if counts(i) {
			ends[i] += j.Steps[i].EstimateMillis
		}
		longest = max(longest, ends[i])
	}
	return time.Duration(longest) * time.Millisecond
}

// forgetInterval is the pause between two looks for jobs to forget.
const forgetInterval = 5 * time.Second

// forgetOld drops jobs that ended long ago and what is remembered of ended ones.
func (s *Scheduler) forgetOld(ctx context.Context, now clock.Instant) {
	if now < s.nextForget {
		return
	}
	s.nextForget = now.Add(forgetInterval)
	var old []cell.JobID
	before := time.Now().Add(-s.cfg.Bounds.KeepEnded).UnixMilli()
	s.cfg.State.Read(func() {
		for id, j := range s.cfg.State.Jobs {
			if j.State.Ended() && j.EndedUnixMillis < before {
				old = append(old, id)
			}
		}
		for k := range s.advice {
			if s.cfg.State.Active[k.Job] == nil {
				delete(s.advice, k)
			}
		}
	})
	if len(old) == 0 {
		return
	}
	slices.Sort(old)
	s.propose(ctx, &cell.Command{Forget: &cell.Forget{Jobs: old}}, func(cell.Result, error) {})
}
