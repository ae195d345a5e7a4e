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
	EventJobFailed   eventlog.Kind = "work.job-failed"
	EventMoved       eventlog.Kind = "work.moved"
	EventReleased    eventlog.Kind = "work.released"
	EventFinished    eventlog.Kind = "work.finished"
	EventGrant       eventlog.Kind = "work.grant"
)

// tick is the state of one call of Tick.
type tick struct {
	*Input
	out *Output
	cmd *work.Command
	// stopped holds the tasks that the command stops.
	stopped map[model.TaskID]bool
	// sizes caches the result of workerSizes.
	sizes []model.Resources
	// estimates caches the results of estimate.
	estimates map[model.JobID]estimate.Correction
	// policies caches the placement policies by scope; see policy.
	policies map[settings.Scope]placement.Policy
	// readyCount caches the result of readyWorkers.
	readyCount int
	// assignments holds the assignments of the view's jobs. It is nil if the view
	// was synced before the tick; see listed.
	assignments map[model.JobID]uint64
	// cancelled holds the jobs that are cancelled in the view but not yet in the
	// replicated state.
	cancelled map[model.JobID]bool
}

// Tick runs all systems once. Those that depend on the fleet's state are skipped
// if the view shows another generation of the data centre group than the leader's.
func Tick(in *Input) *Output {
	t := &tick{Input: in, cmd: &work.Command{Epoch: in.Epoch, FleetRevision: in.View.Revision}, stopped: map[model.TaskID]bool{}}
	t.out = &Output{Command: t.cmd, leaderState: in.LeaderState}
	t.recordRunEnds()
	t.declareLostWorkers()
	t.checkUsage()
	t.detectFaults()
	t.stopBrokenGangs()
	if g := in.View.Generation; g == 0 || g == in.Epoch.Generation() {
		t.syncWithFleet()
	}
	in.LeaderState.expire(in.NowMillis)
	return t.out
}

// syncWithFleet runs the systems that depend on the fleet's state.
func (t *tick) syncWithFleet() {
	t.syncOutOfService()
	t.syncJobs()
	t.finishRebuild()
	t.drain()
	t.reconcileGrants()
	t.place()
	t.reportFinished()
}

// syncOutOfService copies to the replicated state whether the fleet has this data
// centre out of service.
func (t *tick) syncOutOfService() {
	out := work.SetOutOfService{Out: t.View.OutOfService, Revision: t.View.OutOfServiceRevision}
	if out != t.State.Out() {
		t.cmd.Out = &out
	}
}

// declareLostWorkers frees the resources that tasks held on lost workers.
func (t *tick) declareLostWorkers() {
	t.cmd.Lost = append(t.cmd.Lost, t.Lost...)
	for _, l := range t.Lost {
		t.record(&eventlog.Event{Kind: EventWorkerLost, Worker: l.Worker, Cause: l.Reason, Detail: "its lease has ended"}, nil)
	}
}

// finishRebuild ends the rebuild of a lost replicated state once no task can be
// running that the state does not know.
func (t *tick) finishRebuild() {
	if t.State.Rebuilding() && t.RebuildOver {
		t.cmd.Rebuilt = &work.Rebuilt{Generation: t.State.Generation()}
	}
}

// scope is the settings scope of a job in this data centre.
func (t *tick) scope(s *model.JobSpec) settings.Scope {
	return settings.Scope{Region: t.View.Region, DC: t.View.DC, Workspace: s.Workspace, Workload: s.Workload}
}

// dcScope is the settings scope of the data centre.
func (t *tick) dcScope() settings.Scope {
	return settings.Scope{Region: t.View.Region, DC: t.View.DC}
}

// stop adds the stop of a task's run to the command. It returns false if the task
// holds no resources or is being stopped already.
func (t *tick) stop(task *work.Task, reason string, checkpoint bool) bool {
	if t.stopped[task.ID] || task.State == model.TaskStopping || !task.Active() {
		return false
	}
	t.stopped[task.ID] = true
	t.cmd.Stop = append(t.cmd.Stop, work.Stop{
		Task: task.ID, Attempt: task.Attempt, Checkpoint: checkpoint, Reason: reason,
	})
	return true
}

// record adds an event to the output, with the member and epoch that decided and
// the explanation x, if any. Commit passes the event on once the command is
// committed.
func (t *tick) record(e *eventlog.Event, x *placement.Explanation) {
	e.DC = t.View.DC
	e.VM = model.VMID(t.Member)
	e.Epoch = t.Epoch
	e.Revision = t.View.ConfigRevision
	if x != nil {
		e.Explain, _ = json.Marshal(x)
	}
	t.out.events = append(t.out.events, *e)
}

// recordTask records an event about a task's current run.
func (t *tick) recordTask(kind eventlog.Kind, task *work.Task, cause, detail string, x *placement.Explanation) {
	t.record(&eventlog.Event{
		Kind: kind, Task: task.ID, Job: task.Job, Workspace: task.ParentJob().Spec.Workspace,
		Attempt: task.Attempt, Worker: task.Worker, Cause: cause, Detail: detail,
	}, x)
}

// recordJob records an event about a job.
func (t *tick) recordJob(kind eventlog.Kind, s *model.JobSpec, cause, detail string, x *placement.Explanation) {
	t.record(&eventlog.Event{Kind: kind, Job: s.ID, Workspace: s.Workspace, Cause: cause, Detail: detail}, x)
}
