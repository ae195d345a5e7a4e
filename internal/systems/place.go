package systems

import (
	"fmt"

	"kumquatwing/internal/eventlog"
	"kumquatwing/internal/model"
	"kumquatwing/internal/placement"
	"kumquatwing/internal/settings"
	"kumquatwing/internal/work"
)

// place asks for a plan and turns it into placements, stops and refusals.
func (t *tick) place() {
	if !t.mayPlace() {
		return
	}
	snap := t.snapshot()
	if len(snap.Jobs) == 0 {
		t.Memory.reservations = nil
		return
	}
	plan := t.Decide(snap)
	t.out.Plan = plan
	t.Memory.reservations = plan.Reservations
	t.applyPreemptions(plan)
	t.applyRefusals(plan)
	t.applyPlacements(plan)
	t.applyWaits(plan)
}

// mayPlace reports whether tasks may start at all.
func (t *tick) mayPlace() bool {
	return t.MayStart && !t.View.Out && t.cmd.Out == nil && !t.State.Out().Out && !t.State.Rebuilding()
}

// snapshot is the view of the tables that a plan is made from.
func (t *tick) snapshot() *placement.Snapshot {
	s := &placement.Snapshot{
		NowMillis:     t.NowMillis,
		Out:           t.View.Out,
		Reservations:  t.Memory.reservations,
		MaxPlacements: t.MaxPlacements,
		Fleet:         t.View.FleetSize,
		Settling:      !t.RebuildOver,
	}
	s.Jobs = t.jobViews()
	if len(s.Jobs) == 0 {
		return s
	}
	s.Workers = t.workerViews()
	s.Runs = t.runViews()
	s.Workspaces = t.workspaceViews()
	return s
}

func (t *tick) workerViews() []placement.WorkerView {
	views := make([]placement.WorkerView, 0, len(t.State.Workers()))
	for _, w := range t.State.Workers() {
		v := placement.WorkerView{ID: w.ID, Rack: w.Rack, Size: w.Size, Free: w.Free(), State: w.State}
		// On probation a worker gets its next task when it holds none.
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
		if j.Pending() == 0 || j.Outcome != model.OutcomeNone || !t.current(j) {
			continue
		}
		v := placement.JobView{
			Spec:          j.Spec,
			ArrivedMillis: j.ArrivedMillis,
			Running:       j.Held(),
		}
		p := t.planned(j)
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
	for _, row := range j.Tasks() {
		if row.Placeable() {
			pending = append(pending, placement.PendingTask{
				ID: row.ID, NotBeforeMillis: row.NotBeforeMillis, Avoid: avoidOf(row, ready),
			})
		}
	}
	return pending
}

// avoidOf lists the workers on which a task failed last, but leaves it one of
// the ready workers.
func avoidOf(row *work.Task, ready int) []model.WorkerID {
	over := max(len(row.Avoid)-max(ready-1, 0), 0)
	return row.Avoid[over:]
}

// readyWorkers counts the workers that may get work.
func (t *tick) readyWorkers() int {
	if t.ready > 0 {
		return t.ready
	}
	for _, w := range t.State.Workers() {
		if w.State == model.WorkerReady {
			t.ready++
		}
	}
	return t.ready
}

// policy looks up what decides on a job, once per workload.
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
	// A task that is not idempotent could never run again.
	p.Preemptible = p.Preemptible && s.Idempotent
	return p
}

func (t *tick) lookupPolicy(scope settings.Scope) placement.Policy {
	preemptible, d1 := t.View.Tree.Bool(scope, settings.Preemptible)
	reservation, d2 := t.View.Tree.Duration(scope, settings.GangReservation)
	return placement.Policy{
		Preemptible:           preemptible,
		GangReservationMillis: reservation.Milliseconds(),
		Decisions:             []settings.Decision{d1, d2},
	}
}

func (t *tick) runViews() []placement.RunView {
	// The list is long; its room is used again by the next tick.
	views := t.Memory.runs[:0]
	runs := map[model.JobID]runPolicy{}
	for _, w := range t.State.Workers() {
		for _, row := range w.Tasks() {
			p, ok := runs[row.Job]
			if !ok {
				p = t.runPolicy(row.JobRow())
				runs[row.Job] = p
			}
			views = append(views, t.runView(row, p))
		}
	}
	t.Memory.runs = views
	return views
}

// runPolicy is what a job's runs have in common.
type runPolicy struct {
	preemptible bool
	runMillis   int64
}

func (t *tick) runPolicy(j *work.Job) runPolicy {
	return runPolicy{preemptible: t.policy(&j.Spec).Preemptible, runMillis: t.planned(j).RunMillis}
}

func (t *tick) runView(row *work.Task, p runPolicy) placement.RunView {
	s := &row.JobRow().Spec
	v := placement.RunView{
		Task: row.ID, Job: s.ID, Workspace: s.Workspace, Class: s.Class, Worker: row.Worker,
		Holds:         row.Hold,
		StartedMillis: row.StartedMillis,
		Preemptible:   p.preemptible,
		Stopping:      row.State == model.TaskStopping || t.stopped[row.ID],
	}
	v.CheckpointMillis = row.SavedMillis
	if s.Class != model.ClassService && p.runMillis > 0 {
		v.EndsMillis = max(row.PlacedMillis, row.StartedMillis) + max(p.runMillis-row.FromMillis, 0)
	}
	return v
}

func (t *tick) workspaceViews() []placement.WorkspaceView {
	views := make([]placement.WorkspaceView, 0, len(t.View.Workspaces))
	for i := range t.View.Workspaces {
		h := &t.View.Workspaces[i]
		views = append(views, placement.WorkspaceView{
			ID: h.ID, Share: h.Share, Grant: t.State.Grant(h.ID).Cap,
			Usage: t.State.Usage(h.ID), Elsewhere: h.Elsewhere,
		})
	}
	return views
}

func (t *tick) applyPreemptions(plan *placement.Plan) {
	for i := range plan.Preempt {
		p := &plan.Preempt[i]
		row := t.State.Task(p.Task)
		if row == nil || !t.stop(row, "preempted", true) {
			continue
		}
		t.recordTask(EventPreempted, row, "preempted", fmt.Sprintf("to make room for task %s", p.For), &p.Explain)
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

func (t *tick) applyPlacements(plan *placement.Plan) {
	probation := map[model.WorkerID]bool{}
	for i := range plan.Place {
		p := &plan.Place[i]
		row, w := t.State.Task(p.Task), t.State.Worker(p.Worker)
		if row == nil || w == nil || w.Probation && probation[p.Worker] {
			continue
		}
		probation[p.Worker] = true
		t.cmd.Place = append(t.cmd.Place, work.Place{
			Task: p.Task, Worker: p.Worker, Hold: t.planned(row.JobRow()).Size,
		})
		delete(t.Memory.waits, p.Job)
		t.recordPlaced(row, p)
	}
}

func (t *tick) recordPlaced(row *work.Task, p *placement.Placement) {
	detail := p.Explain.Detail
	if learnt := t.planned(row.JobRow()).Detail; learnt != "" {
		detail += "; " + learnt
	}
	t.record(&eventlog.Event{
		Kind: EventPlaced, Task: p.Task, Job: p.Job, Workspace: row.JobRow().Spec.Workspace,
		Attempt: row.Attempt + 1, Worker: p.Worker, Detail: detail,
	}, &p.Explain)
}

// applyWaits records why a job waits whenever the reason changes.
func (t *tick) applyWaits(plan *placement.Plan) {
	for i := range plan.Waits {
		w := &plan.Waits[i]
		j := t.State.Job(w.Job)
		if j == nil || t.Memory.waits[w.Job] == w.Reason {
			continue
		}
		t.Memory.waits[w.Job] = w.Reason
		t.recordJob(EventWaits, &j.Spec, w.Reason, w.Explain.Detail, &w.Explain)
	}
}
