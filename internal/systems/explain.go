package systems

import (
	"slices"

	"kumquatwing/internal/model"
	"kumquatwing/internal/placement"
	"kumquatwing/internal/verdict"
	"kumquatwing/internal/work"
)

// Prospect is what the next plan would decide about a job that isn't submitted.
type Prospect struct {
	// Place holds the tasks that would start now, Preempt the runs that would be
	// stopped for the others.
	Place   []placement.Placement
	Preempt []placement.Preemption
	// Waiting counts the tasks that would not start now, for Reason. If Refused is set,
	// the job would be refused for it.
	Waiting int
	Refused bool
	Reason  string
	Explain placement.Explanation
	// NeedsGrant is set if the data centre would first request a larger grant for the
	// job's workspace. The prospect is then for a grant of the workspace's limit.
	NeedsGrant bool
}

// Explain computes what the next tick's plan would decide about a job if the given tasks
// of it were assigned to this data centre now. It uses the snapshot and the decision of a
// tick, and changes nothing.
func Explain(in *Input, spec *model.JobSpec, tasks []int) *Prospect {
	// The leader's state is read by ticks that are being committed meanwhile.
	leader := *in.LeaderState
	leader.runs = nil
	input := *in
	input.LeaderState = &leader
	t := &tick{Input: &input, cmd: &work.Command{}, stopped: map[model.TaskID]bool{}}
	if reason := t.whyNothingStarts(); reason != "" {
		return &Prospect{Waiting: len(tasks), Reason: reason}
	}
	job := t.unsubmittedJob(spec, tasks)
	snap := t.snapshotWith(job)
	p := prospectOf(t.Decide(snap), &job)
	if p.Reason == placement.ReasonLimit && t.raiseGrant(snap, spec.Workspace) {
		p = prospectOf(t.Decide(snap), &job)
		p.NeedsGrant = true
	}
	return p
}

// whyNothingStarts returns the reason why no task may start in the data centre now, or "".
func (t *tick) whyNothingStarts() string {
	switch {
	case t.mayPlace():
		return ""
	case t.View.OutOfService || t.State.Out().Out:
		return placement.ReasonOutOfService
	case !t.MayStart:
		return string(verdict.ReasonNoLease)
	}
	return reasonRebuilding
}

// reasonRebuilding is the reason of waits while the worker table is being rebuilt.
const reasonRebuilding = "rebuilding"

// unsubmittedJob returns the planner's input for a job as it would be right after its
// submission.
func (t *tick) unsubmittedJob(spec *model.JobSpec, tasks []int) placement.JobView {
	v := placement.JobView{Spec: *spec, ArrivedMillis: t.NowMillis, Policy: t.policy(spec)}
	c := t.estimate(&work.Job{Spec: *spec})
	v.Spec.Size, v.RunMillis = c.Size, c.RunMillis
	for _, index := range tasks {
		v.Pending = append(v.Pending, placement.PendingTask{ID: work.FormatTaskID(spec.ID, index)})
	}
	return v
}

// snapshotWith returns the input of the placement plan with one more job.
func (t *tick) snapshotWith(v placement.JobView) *placement.Snapshot {
	s := t.snapshot()
	if len(s.Jobs) == 0 {
		s.Workers, s.Runs, s.Workspaces = t.workerViews(), t.runningTasks(), t.workspaceViews()
	}
	s.Jobs = append(s.Jobs, v)
	return s
}

// raiseGrant raises the grant of a workspace in the snapshot to the workspace's limit, and
// reports whether that is more.
func (t *tick) raiseGrant(s *placement.Snapshot, id model.WorkspaceID) bool {
	limit, ok := t.workspaceLimit(id)
	if !ok {
		return false
	}
	for i := range s.Workspaces {
		ws := &s.Workspaces[i]
		if left := limit.Sub(ws.UsageElsewhere); ws.ID == id && !left.Fits(ws.Grant) {
			ws.Grant = left
			return true
		}
	}
	return false
}

// prospectOf returns the decisions of a plan about a job with the given tasks.
func prospectOf(plan *placement.Plan, v *placement.JobView) *Prospect {
	p := &Prospect{Waiting: len(v.Pending)}
	id := v.Spec.ID
	for i := range plan.Place {
		if plan.Place[i].Job == id {
			p.Place = append(p.Place, plan.Place[i])
			p.Waiting--
		}
	}
	for i := range plan.Preempt {
		if slices.ContainsFunc(v.Pending, func(t placement.PendingTask) bool { return t.ID == plan.Preempt[i].Beneficiary }) {
			p.Preempt = append(p.Preempt, plan.Preempt[i])
		}
	}
	for i := range plan.Waits {
		if w := &plan.Waits[i]; w.Job == id {
			p.Reason, p.Explain = w.Reason, w.Explain
		}
	}
	for i := range plan.Refuse {
		if r := &plan.Refuse[i]; r.Job == id {
			p.Refused, p.Reason, p.Explain = true, r.Reason, r.Explain
		}
	}
	return p
}
