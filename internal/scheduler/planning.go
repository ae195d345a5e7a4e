package scheduler

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/cell/plan"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/model"
)

const (
	// minPlanPause is the least pause between two plans.
	minPlanPause = 2 * time.Millisecond
	// planPauseFactor is the least pause between two plans as a multiple of the time
	// that the last one took, so that planning leaves half of the control loop's time
	// to events.
	planPauseFactor = 1
	// latePlanFactor is the least time between two plans that include late steps, as a
	// multiple of the time that the last such plan took. On the heaviest days most of
	// the waiting gangs are late, and take most of a plan's time.
	latePlanFactor = 5
)

// plan computes a plan for the waiting tasks and commits its starts. Only one
// plan is committed at a time, so that each plan sees the result of the previous
// one.
func (s *Scheduler) plan(ctx context.Context) {
	if s.planning || !s.dirty || !s.leads() {
		return
	}
	begin := s.now()
	if wait := s.nextPlanAt.Sub(begin); wait > 0 {
		s.planTimer.Reset(wait)
		return
	}
	s.dirty = false
	var in *plan.Input
	s.cfg.State.Read(func() { in = s.snapshot() })
	in.SkipLate = begin < s.nextLatePlanAt
	out := plan.Compute(in)
	took := s.now().Sub(begin)
	if !in.SkipLate {
		s.nextLatePlanAt = begin.Add(latePlanFactor * took)
	}
	s.recordPlan(took)
	s.reportOrder(&out, begin)
	s.nextPlanAt = begin.Add(took + max(minPlanPause, planPauseFactor*took))
	for i := range out.AdviceRequests {
		s.requestAdvice(ctx, &out.AdviceRequests[i])
	}
	for i := range out.Stops {
		s.preempt(ctx, &out.Stops[i])
	}
	if len(out.Starts) == 0 {
		return
	}
	s.planning = true
	proposedAt := s.now()
	c := &cell.Command{Starts: &cell.Starts{Starts: out.Starts}}
	s.propose(ctx, c, func(r cell.Result, err error) {
		s.loop.committing += s.now().Sub(proposedAt)
		s.onPlanCommitted(ctx, &out, r, err)
	})
}

// planStats counts the plans since the last status line.
type planStats struct {
	count   int
	total   time.Duration
	longest time.Duration
}

// recordPlan records the time that a plan took.
func (s *Scheduler) recordPlan(took time.Duration) {
	s.cfg.Metrics.planSeconds.Observe(took.Seconds())
	s.plans.count++
	s.plans.total += took
	s.plans.longest = max(s.plans.longest, took)
}

// preempt stops a run to free capacity for more urgent work.
func (s *Scheduler) preempt(ctx context.Context, st *plan.Stop) {
	se := s.sessions[st.Worker]
	if se == nil {
		return
	}
	r := se.runs[st.Task]
	if r == nil || r.number != st.Run {
		return
	}
	s.cfg.Log.Info("preempting run", zap.Stringer("task", st.Task), zap.Int64("run", st.Run),
		zap.String("worker", string(st.Worker)), zap.Stringer("for", st.For))
	s.cfg.Metrics.preempted.Inc()
	if r.cause == causeNone {
		r.stoppedFor = s.latestRun(st.For)
	}
	s.requestStop(ctx, se, st.Task, r, causePreempted)
}

// onPlanCommitted sends the starts that the cell accepted when it applied the
// plan.
func (s *Scheduler) onPlanCommitted(ctx context.Context, out *plan.Output, r cell.Result, err error) {
	s.planning, s.dirty = false, true
	if err != nil {
		s.cfg.Log.Warn("could not commit plan, planning again", zap.Int("starts", len(out.Starts)), zap.Error(err))
		return
	}
	type acceptedStart struct {
		start            *cell.Start
		spec, checkpoint string
		token            string
	}
	var accepted []acceptedStart
	s.cfg.State.Read(func() {
		for _, i := range r.Accepted {
			st := &out.Starts[i]
			j, _, t := s.cfg.State.Task(st.Task)
			if t == nil || j.State.Ended() || t.Run != st.Run {
				continue
			}
			accepted = append(accepted, acceptedStart{st, j.Spec, t.Checkpoint, out.Tokens[i]})
		}
	})
	for _, o := range accepted {
		s.cfg.Log.Info("run placed", zap.Stringer("task", o.start.Task), zap.Int64("run", o.start.Run),
			zap.String("worker", string(o.start.Worker)), zap.Bool("resumes", o.checkpoint != ""))
		s.startRun(ctx, o.start, o.spec, o.checkpoint, o.token)
	}
	s.syncSessions(ctx)
}

// snapshot builds the planner's input. The input shares with the replicated
// state only values that are never modified in place: steps, queues and labels.
// The state is locked.
func (s *Scheduler) snapshot() *plan.Input {
	now := s.now()
	in := &plan.Input{
		Now:           now,
		StopTime:      s.cfg.Bounds.StopTimeout,
		Quotas:        s.workspaceLimits(),
		EligibleShare: s.eligibleShare,
		Order:         s.cfg.Order,
	}
	in.IdleAdvisers, in.AllAdvisers = s.countAdvisers(now)
	for _, j := range s.cfg.State.Active {
		in.Pending = s.appendPending(in.Pending, j, now)
	}
	if len(in.Pending) == 0 {
		return in
	}
	s.addWorkers(in, now)
	sortPending(in.Pending)
	return in
}

// sortPending sorts steps by their keys.
func sortPending(ps []plan.Pending) {
	slices.SortFunc(ps, func(a, b plan.Pending) int {
		return cmp.Or(cmp.Compare(a.Key.Job, b.Key.Job), cmp.Compare(a.Key.Step, b.Key.Step), cmp.Compare(a.Key.Occurrence, b.Key.Occurrence))
	})
}

// addWorkers adds the workers that accept new tasks, ordered by ID. The state is
// locked.
func (s *Scheduler) addWorkers(in *plan.Input, now clock.Instant) {
	preemptable, cache := preemptionTargets(in.Pending), newVictimCache()
	workers := s.cfg.State.SortedWorkers()
	in.Workers = make([]plan.Worker, 0, len(workers))
	for _, w := range workers {
		se := s.sessions[w.ID]
		if se == nil || !s.acceptsTasks(se, w, now) {
			continue
		}
		speed, slowed := s.expectedSpeed(se, w, now)
		pw := plan.Worker{
			ID: w.ID, Born: w.Born, DC: w.DC, Rack: rackOf(w.Labels), Pool: w.Pool, Labels: w.Labels,
			Capacity: w.Capacity, Free: w.Free(), Speed: speed,
			Suspect: se.failures.suspect(now) || slowed,
		}
		if preemptable.has(w.ID) {
			s.addVictims(&pw, se, w, cache, now)
		}
		in.Workers = append(in.Workers, pw)
	}
}

// workerSet is the union of sets of eligible workers; all stands for every worker. The sets
// of many gangs overlap, so that most workers are found in one of the first few, which takes
// less time than to merge them all.
type workerSet struct {
	all  bool
	sets []map[cell.WorkerID]plan.Ticket
}

func (s *workerSet) has(id cell.WorkerID) bool {
	return s.all || slices.ContainsFunc(s.sets, func(eligible map[cell.WorkerID]plan.Ticket) bool {
		_, ok := eligible[id]
		return ok
	})
}

// preemptionTargets returns the workers on which waiting gangs may preempt other
// runs.
func preemptionTargets(ps []plan.Pending) *workerSet {
	set := &workerSet{}
	for i := range ps {
		switch p := &ps[i]; {
		case !p.Step.Gang:
		case p.Advice == nil:
			set.all = true
		case len(p.Advice.Eligible) > 0:
			set.sets = append(set.sets, p.Advice.Eligible)
		}
	}
	return set
}

// acceptsTasks reports whether new tasks may be placed on a worker. The state is
// locked.
func (s *Scheduler) acceptsTasks(se *session, w *cell.WorkerState, now clock.Instant) bool {
	return se.fenceAccepted && !se.lost && !se.isReplaced() && !w.Draining && !s.cfg.State.OutOfService[w.DC] &&
		now >= se.blockedUntil && !se.isSilent(now) && se.answers() && !s.reachability.unreachable(w.DC, now)
}

// rackOf returns the rack among the labels of a worker, which is the last of two
// or more labels, or "".
func rackOf(labels []string) string {
	if len(labels) < 2 {
		return ""
	}
	return labels[len(labels)-1]
}

// workspaceLimits returns the capacity that each workspace with a limit has left.
// The state is locked.
func (s *Scheduler) workspaceLimits() map[string]*plan.Quota {
	out := map[string]*plan.Quota{}
	c := &s.cfg.State.Config
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		limit := w.Limit
		if limit == (model.Resources{}) {
			continue
		}
		out[w.Name] = &plan.Quota{Limited: true, Remaining: remainingCapacity(limit, s.cfg.State.UsageByWorkspace[w.Name])}
	}
	return out
}

// unlimited is the remaining amount of a resource that has no limit.
const unlimited = int64(1) << 50

// remainingCapacity returns what is left of a limit after use; see remainingIn.
func remainingCapacity(limit, used model.Resources) model.Resources {
	return model.Resources{
		MilliCPU:     remainingIn(limit.MilliCPU, used.MilliCPU),
		MemoryMB:     remainingIn(limit.MemoryMB, used.MemoryMB),
		Accelerators: remainingIn(limit.Accelerators, used.Accelerators),
	}
}

// remainingIn returns what is left of the limit of one resource; 0 means no
// limit.
func remainingIn(limit, used int64) int64 {
	if limit == 0 {
		return unlimited
	}
	return limit - used
}

// appendPending appends the steps of a job that are ready and have tasks to
// place. The state is locked.
func (s *Scheduler) appendPending(ps []plan.Pending, j *cell.Job, now clock.Instant) []plan.Pending {
	adm := s.admissionOf(j, now)
	if !j.HasWaitingTasks() {
		return ps
	}
	q := s.cfg.State.QueueOf(j)
	if q == nil {
		return ps
	}
	for o := range j.Occurrences {
		occ := &j.Occurrences[o]
		for i := range occ.Steps {
			st := &occ.Steps[i]
			if st.Waiting() == 0 || !j.Ready(o, i) || (j.Steps[i].Gang && (st.Held > 0 || st.Placed > 0)) {
				continue
			}
			ps = append(ps, s.pendingStep(j, q, o, i, adm))
		}
	}
	return ps
}

// pendingStep returns the planner's input for step i of occurrence o of a job.
func (s *Scheduler) pendingStep(j *cell.Job, q *cell.Queue, o, i int, adm admission) plan.Pending {
	step := &j.Steps[i]
	objective := s.objective(j, q, o)
	p := plan.Pending{
		Key:  cell.StepKey{Job: j.ID, Occurrence: o, Step: i},
		Step: step, Queue: q, Pool: q.Pool, Workspace: j.Workspace,
		Deadline:      adm.submittedAt.Add(objective),
		Objective:     objective,
		OverShare:     adm.overShare,
		Remaining:     s.remainingCriticalPath(j, o),
		TaskTime:      s.taskTime(j, o, i),
		RemainingWork: s.remainingWork(j, o),
		Waiting:       make([]int, 0, j.Occurrences[o].Steps[i].Waiting()),
		NextRun:       make([]int64, 0, j.Occurrences[o].Steps[i].Waiting()),
	}
	tasks := j.Occurrences[o].Steps[i].Tasks
	for index := range tasks {
		if tasks[index].Status == cell.TaskWaiting {
			p.Waiting = append(p.Waiting, index)
			p.NextRun = append(p.NextRun, tasks[index].Run+1)
		}
	}
	if step.MaxPerWorker > 0 {
		p.OnWorker = tasksByWorker(tasks)
	}
	if q.Advice != nil {
		p.Advice = s.adviceFor(p.Key)
	}
	return p
}

// tasksByWorker counts the placed tasks of a step by worker.
func tasksByWorker(tasks []cell.Task) map[cell.WorkerID]int {
	n := map[cell.WorkerID]int{}
	for i := range tasks {
		if tasks[i].Status == cell.TaskPlaced {
			n[tasks[i].Worker]++
		}
	}
	return n
}
