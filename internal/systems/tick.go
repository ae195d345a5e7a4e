package systems

import (
	"encoding/json"

	"kumquatwing/internal/eventlog"
	"kumquatwing/internal/model"
	"kumquatwing/internal/placement"
	"kumquatwing/internal/placement/estimate"
	"kumquatwing/internal/settings"
	"kumquatwing/internal/work"
)

// Kinds of events that the systems record.
const (
	EventPlaced      eventlog.Kind = "work.placed"
	EventWaits       eventlog.Kind = "work.waits"
	EventRefused     eventlog.Kind = "work.refused"
	EventPreempted   eventlog.Kind = "work.preempted"
	EventStopped     eventlog.Kind = "work.stopped"
	EventThrottled   eventlog.Kind = "work.throttled"
	EventWorkerLost  eventlog.Kind = "work.worker-lost"
	EventQuarantined eventlog.Kind = "work.quarantined"
	EventProbation   eventlog.Kind = "work.probation"
	EventAdmitted    eventlog.Kind = "work.admitted"
	EventCancelled   eventlog.Kind = "work.cancelled"
	EventFailed      eventlog.Kind = "work.job-failed"
	EventMoved       eventlog.Kind = "work.moved"
	EventReleased    eventlog.Kind = "work.released"
	EventFinished    eventlog.Kind = "work.finished"
	EventGrant       eventlog.Kind = "work.grant"
)

// tick is the work of one call of Tick.
type tick struct {
	*Input
	out     *Output
	cmd     *work.Command
	stopped map[model.TaskID]bool
	// sizes are the workers' different sizes; see workerSizes.
	sizes []model.Resources
	// plans are the sizes and run times to plan with; see planned.
	plans    map[model.JobID]estimate.Correction
	policies map[settings.Scope]placement.Policy
	// ready is the number of ready workers; see readyWorkers.
	ready int
	// assignments of the view's jobs, while the view is not yet followed.
	assignments map[model.JobID]uint64
	// cancelled jobs of the view that the tables still have as going on.
	cancelled map[model.JobID]bool
}

// Tick runs all systems once.
func Tick(in *Input) *Output {
	t := &tick{Input: in, cmd: &work.Command{Epoch: in.Epoch, View: in.View.Revision}, stopped: map[model.TaskID]bool{}}
	t.out = &Output{Command: t.cmd, memory: in.Memory}
	t.tellEnds()
	t.expire()
	t.checkUsage()
	t.judge()
	t.mendGangs()
	if g := in.View.Generation; g == 0 || g == in.Epoch.Generation() {
		t.underView()
	}
	in.Memory.expire(in.NowMillis)
	return t.out
}

// underView runs the systems that need the fleet's view.
func (t *tick) underView() {
	t.followOut()
	t.follow()
	t.rebuild()
	t.drain()
	t.balanceGrants()
	t.place()
	t.report()
}

// followOut brings the fleet's word on the data centre into the tables.
func (t *tick) followOut() {
	out := work.SetOut{Out: t.View.Out, Revision: t.View.OutRevision}
	if out != t.State.Out() {
		t.cmd.Out = &out
	}
}

// expire frees what lost workers held.
func (t *tick) expire() {
	t.cmd.Lost = append(t.cmd.Lost, t.Lost...)
	for _, l := range t.Lost {
		t.record(&eventlog.Event{Kind: EventWorkerLost, Worker: l.Worker, Cause: l.Reason, Detail: "its lease has ended"}, nil)
	}
}

// rebuild ends the rebuilding of lost tables when no unknown run can be left.
func (t *tick) rebuild() {
	if t.State.Rebuilding() && t.RebuildOver {
		t.cmd.Rebuilt = &work.Rebuilt{Generation: t.State.Generation()}
	}
}

// scope is the settings scope of a job here.
func (t *tick) scope(s *model.JobSpec) settings.Scope {
	return settings.Scope{Region: t.View.Region, DC: t.View.DC, Workspace: s.Workspace, Workload: s.Workload}
}

// dcScope is the settings scope of the data centre.
func (t *tick) dcScope() settings.Scope {
	return settings.Scope{Region: t.View.Region, DC: t.View.DC}
}

// stop asks for the end of a run, once per tick.
func (t *tick) stop(row *work.Task, reason string, checkpoint bool) bool {
	if t.stopped[row.ID] || row.State == model.TaskStopping || !row.Holds() {
		return false
	}
	t.stopped[row.ID] = true
	t.cmd.Stop = append(t.cmd.Stop, work.Stop{
		Task: row.ID, Attempt: row.Attempt, Checkpoint: checkpoint, Reason: reason,
	})
	return true
}

// record keeps an event, with the deciding member's standing and its account,
// until the command is committed.
func (t *tick) record(e *eventlog.Event, x *placement.Explanation) {
	e.DC = t.View.DC
	e.VM = model.VMID(t.Member)
	e.Epoch = t.Epoch
	e.Revision = t.View.Config
	if x != nil {
		e.Explain, _ = json.Marshal(x)
	}
	t.out.events = append(t.out.events, *e)
}

// recordTask records an event about a task's run.
func (t *tick) recordTask(kind eventlog.Kind, row *work.Task, cause, detail string, x *placement.Explanation) {
	t.record(&eventlog.Event{
		Kind: kind, Task: row.ID, Job: row.Job, Workspace: row.JobRow().Spec.Workspace,
		Attempt: row.Attempt, Worker: row.Worker, Cause: cause, Detail: detail,
	}, x)
}

// recordJob records an event about a job.
func (t *tick) recordJob(kind eventlog.Kind, s *model.JobSpec, cause, detail string, x *placement.Explanation) {
	t.record(&eventlog.Event{Kind: kind, Job: s.ID, Workspace: s.Workspace, Cause: cause, Detail: detail}, x)
}
