package systems

import (
	"fmt"

	"kumquatwing/internal/eventlog"
	"kumquatwing/internal/model"
	"kumquatwing/internal/placement"
	"kumquatwing/internal/settings"
	"kumquatwing/internal/work"
)

// place computes a placement plan and adds its placements, preemptions and
// refusals to the command.
func (t *tick) place() {
	if !t.mayPlace() {
		return
	}
	snap := t.snapshot()
	if len(snap.Jobs) == 0 {
		t.LeaderState.reservations = nil
		return
	}
	plan := t.Decide(snap)
	t.out.Plan = plan
	t.LeaderState.reservations = plan.Reservations
	t.applyPreemptions(plan)
	t.applyRefusals(plan)
	t.applyPlacements(plan)
	t.applyWaits(plan)
}

// mayPlace reports whether tasks may be placed in this data centre now.
func (t *tick) mayPlace() bool {
	return t.MayStart && !t.View.OutOfService && t.cmd.Out == nil && !t.State.Out().Out && !t.State.Rebuilding()
}

// snapshot returns the input of the placement plan. Workers, running tasks and
// workspaces are left out if no job waits for placement.
func (t *tick) snapshot() *placement.Snapshot {
	s := &placement.Snapshot{
		NowMillis:     t.NowMillis,
		OutOfService:  t.View.OutOfService,
		Reservations:  t.LeaderState.reservations,
		MaxPlacements: t.MaxPlacements,
		Fleet:         t.View.FleetSize,
		Rebuilding:    !t.RebuildOver,
	}
	s.Jobs = t.jobViews()
	if len(s.Jobs) == 0 {
		return s
	}
	s.Workers = t.workerViews()
	s.Runs = t.runningTasks()
	s.Workspaces = t.workspaceViews()
	return s
}

// workerViews returns all workers. Those that must not get a task now are shown
// as quarantined.
func (t *tick) workerViews() []placement.WorkerView {
	views := make([]placement.WorkerView, 0, len(t.State.Workers()))
	for _, w := range t.State.Workers() {
		v := placement.WorkerView{ID: w.ID, Rack: w.Rack, Size: w.Size, Free: w.Free(), State: w.State}
		// A worker on probation runs one task at a time.
		unusable := t.Usable != nil && !t.Usable(w.ID)
		if unusable || w.Probation && len(w.Tasks()) > 0 {
			v.State = model.WorkerQuarantined
		}
		views = append(views, v)
	}
	return views
}

func (t *tick) jobViews() []placement.JobView {
	var views []placement.JobView
	for _, j := range t.State.Jobs() {
		if j.Pending() == 0 || j.Outcome != model.OutcomeNone || !t.matchesView(j) {
			continue
		}
		v := placement.JobView{
			Spec:          j.Spec,
			ArrivedMillis: j.ArrivedMillis,
			Running:       j.ActiveTasks(),
		}
		p := t.estimate(j)
		v.Spec.Size, v.RunMillis = p.Size, p.RunMillis
		v.Pending = t.pendingTasks(j)
		if len(v.Pending) == 0 {
			continue
		}
		v.Policy = t.policy(&j.Spec)
		views = append(views, v)
	}
	return views
}

func (t *tick) pendingTasks(j *work.Job) []placement.PendingTask {
	ready := t.readyWorkers()
	pending := make([]placement.PendingTask, 0, j.Pending())
	for _, task := range j.Tasks() {
		if task.Placeable() {
			pending = append(pending, placement.PendingTask{
				ID: task.ID, NotBeforeMillis: task.NotBeforeMillis, Avoid: avoidedWorkers(task, ready),
			})
		}
	}
	return pending
}

// avoidedWorkers returns the workers on which the task failed most recently, but
// fewer than there are ready workers, so that at least one is left for the task.
func avoidedWorkers(task *work.Task, ready int) []model.WorkerID {
	over := max(len(task.Avoid)-max(ready-1, 0), 0)
	return task.Avoid[over:]
}

// readyWorkers returns the number of workers in the ready state.
func (t *tick) readyWorkers() int {
	if t.readyCount > 0 {
		return t.readyCount
	}
	for _, w := range t.State.Workers() {
		if w.State == model.WorkerReady {
			t.readyCount++
		}
	}
	return t.readyCount
}

// policy returns the placement policy for a job. The settings are looked up once
// per tick and workload.
func (t *tick) policy(s *model.JobSpec) placement.Policy {
	scope := t.scope(s)
	p, ok := t.policies[scope]
	if !ok {
		p = t.lookupPolicy(scope)
		if t.policies == nil {
			t.policies = map[settings.Scope]placement.Policy{}
		}
		t.policies[scope] = p
	}
	// A preempted task that is not idempotent could not run again.
	p.Preemptible = p.Preemptible && s.Idempotent
	return p
}

func (t *tick) lookupPolicy(scope settings.Scope) placement.Policy {
	preemptible, d1 := t.View.Tree.Bool(scope, settings.Preemptible)
	reservation, d2 := t.View.Tree.Duration(scope, settings.GangReservation)
	return placement.Policy{
		Preemptible:           preemptible,
		GangReservationMillis: reservation.Milliseconds(),
		Decisions:             []settings.EffectiveValue{d1, d2},
	}
}

func (t *tick) runningTasks() []placement.RunningTask {
	// The list is long, so each tick reuses the memory of the one before.
	views := t.LeaderState.runs[:0]
	runs := map[model.JobID]runPolicy{}
	for _, w := range t.State.Workers() {
		for _, task := range w.Tasks() {
			p, ok := runs[task.Job]
			if !ok {
				p = t.runPolicy(task.ParentJob())
				runs[task.Job] = p
			}
			views = append(views, t.runningTask(task, p))
		}
	}
	t.LeaderState.runs = views
	return views
}

// runPolicy is what the running tasks of one job have in common.
type runPolicy struct {
	preemptible bool
	runMillis   int64
}

func (t *tick) runPolicy(j *work.Job) runPolicy {
	return runPolicy{preemptible: t.policy(&j.Spec).Preemptible, runMillis: t.estimate(j).RunMillis}
}

func (t *tick) runningTask(task *work.Task, p runPolicy) placement.RunningTask {
	s := &task.ParentJob().Spec
	v := placement.RunningTask{
		Task: task.ID, Job: s.ID, Workspace: s.Workspace, Class: s.Class, Worker: task.Worker,
		Allocated:     task.Reserved,
		StartedMillis: task.StartedMillis,
		Preemptible:   p.preemptible,
		Stopping:      task.State == model.TaskStopping || t.stopped[task.ID],
	}
	v.CheckpointMillis = task.CheckpointedAtMillis
	if s.Class != model.ClassService && p.runMillis > 0 {
		v.EndsMillis = max(task.PlacedMillis, task.StartedMillis) + max(p.runMillis-task.ResumedFromMillis, 0)
	}
	return v
}

func (t *tick) workspaceViews() []placement.WorkspaceView {
	views := make([]placement.WorkspaceView, 0, len(t.View.Workspaces))
	for i := range t.View.Workspaces {
		ws := &t.View.Workspaces[i]
		views = append(views, placement.WorkspaceView{
			ID: ws.ID, Share: ws.Share, Grant: t.State.Grant(ws.ID).Cap,
			Usage: t.State.Usage(ws.ID), UsageElsewhere: ws.UsageElsewhere,
		})
	}
	return views
}

func (t *tick) applyPreemptions(plan *placement.Plan) {
	for i := range plan.Preempt {
		p := &plan.Preempt[i]
		task := t.State.Task(p.Task)
		if task == nil || !t.stop(task, "preempted", true) {
			continue
		}
		t.recordTask(EventPreempted, task, "preempted", fmt.Sprintf("to make room for task %s", p.Beneficiary), &p.Explain)
	}
}

func (t *tick) applyRefusals(plan *placement.Plan) {
	for i := range plan.Refuse {
		r := &plan.Refuse[i]
		j := t.State.Job(r.Job)
		if j == nil {
			continue
		}
		t.cmd.Fail = append(t.cmd.Fail, work.FailJob{Job: r.Job, Outcome: model.OutcomeRefused, Reason: r.Reason})
		t.recordJob(EventRefused, &j.Spec, r.Reason, r.Explain.Detail, &r.Explain)
	}
}

// applyPlacements adds the plan's placements to the command, at most one for each
// worker on probation.
func (t *tick) applyPlacements(plan *placement.Plan) {
	placed := map[model.WorkerID]bool{}
	for i := range plan.Place {
		p := &plan.Place[i]
		task, w := t.State.Task(p.Task), t.State.Worker(p.Worker)
		if task == nil || w == nil || w.Probation && placed[p.Worker] {
			continue
		}
		placed[p.Worker] = true
		t.cmd.Place = append(t.cmd.Place, work.Place{
			Task: p.Task, Worker: p.Worker, Reserved: t.estimate(task.ParentJob()).Size,
		})
		delete(t.LeaderState.waitReasons, p.Job)
		t.recordPlaced(task, p)
	}
}

func (t *tick) recordPlaced(task *work.Task, p *placement.Placement) {
	detail := p.Explain.Detail
	if correction := t.estimate(task.ParentJob()).Detail; correction != "" {
		detail += "; " + correction
	}
	t.record(&eventlog.Event{
		Kind: EventPlaced, Task: p.Task, Job: p.Job, Workspace: task.ParentJob().Spec.Workspace,
		Attempt: task.Attempt + 1, Worker: p.Worker, Detail: detail,
	}, &p.Explain)
}

// applyWaits records why a job waits each time the reason changes.
func (t *tick) applyWaits(plan *placement.Plan) {
	for i := range plan.Waits {
		w := &plan.Waits[i]
		j := t.State.Job(w.Job)
		if j == nil || t.LeaderState.waitReasons[w.Job] == w.Reason {
			continue
		}
		t.LeaderState.waitReasons[w.Job] = w.Reason
		t.recordJob(EventWaits, &j.Spec, w.Reason, w.Explain.Detail, &w.Explain)
	}
}
