package systems

import (
	"kumquatwing/internal/model"
	"kumquatwing/internal/placement"
	"kumquatwing/internal/settings"
	"kumquatwing/internal/work"
)

// ReasonDataCentreOut is the cause of stops and releases while a data centre is
// out of service.
const ReasonDataCentreOut = "data-centre-out"

// drain moves tasks to other data centres while operators have this one out of
// service. Waiting tasks are released to the fleet group. Running tasks of
// idempotent jobs are checkpointed and stopped; those of other jobs run to their
// end. The settings limit the rate of moves. Services move first, but never drop
// below their minimum of running tasks.
func (t *tick) drain() {
	t.requestReassignment()
	if !t.View.OutOfService || !t.State.Out().Out || t.State.Rebuilding() {
		t.LeaderState.moveRefillMillis = t.NowMillis
		t.LeaderState.moveTokens = 0
		return
	}
	t.refillMoveTokens()
	t.moveJobs(func(c model.Class) bool { return c == model.ClassService })
	t.moveJobs(func(c model.Class) bool { return c != model.ClassService })
}

// refillMoveTokens adds the moves that the rate has allowed since the last
// refill. Unused moves accumulate up to one second's worth, but to at least one.
func (t *tick) refillMoveTokens() {
	rate, _ := t.View.Tree.Int(t.dcScope(), settings.MoveRate)
	m := t.LeaderState
	earned := (t.NowMillis - m.moveRefillMillis) * rate / millisPerSecond
	if earned <= 0 {
		return
	}
	m.moveRefillMillis += earned * millisPerSecond / rate
	m.moveTokens = min(m.moveTokens+earned, max(rate, 1))
}

const millisPerSecond = 1000

// moveJobs moves tasks of the jobs whose class matches, while move tokens last.
func (t *tick) moveJobs(match func(model.Class) bool) {
	for _, j := range t.State.Jobs() {
		if t.LeaderState.moveTokens <= 0 {
			return
		}
		if j.Outcome != model.OutcomeNone || !match(j.Spec.Class) || !t.movable(j) {
			continue
		}
		t.releaseWaiting(j)
		if j.Spec.Idempotent {
			t.stopForMove(j)
		}
	}
}

// movable reports whether the job may run in any other data centre.
func (t *tick) movable(j *work.Job) bool {
	for _, dc := range j.Spec.DataCentres {
		if dc != t.View.DC {
			return true
		}
	}
	return len(j.Spec.DataCentres) == 0
}

// releaseWaiting releases the job's waiting tasks. A gang can only start as a
// whole, so it is released once none of its tasks holds resources, and then
// regardless of the move tokens left.
func (t *tick) releaseWaiting(j *work.Job) {
	if j.Spec.Class == model.ClassGang && j.ActiveTasks() > 0 {
		return
	}
	for _, task := range j.Tasks() {
		if !task.Placeable() {
			continue
		}
		if t.LeaderState.moveTokens <= 0 && j.Spec.Class != model.ClassGang {
			return
		}
		t.LeaderState.moveTokens--
		t.cmd.Release = append(t.cmd.Release, task.ID)
		t.recordTask(EventReleased, task, ReasonDataCentreOut, "waits for another data centre", t.moveRateDecision())
	}
}

// stopForMove checkpoints and stops the job's running tasks, as far as the move
// rate and a service's minimum allow.
func (t *tick) stopForMove(j *work.Job) {
	stoppable := t.stoppable(j)
	for _, task := range j.Tasks() {
		if t.LeaderState.moveTokens <= 0 || stoppable <= 0 {
			return
		}
		if task.State != model.TaskRunning && task.State != model.TaskStarting {
			continue
		}
		if !t.stop(task, ReasonDataCentreOut, true) {
			continue
		}
		t.LeaderState.moveTokens--
		stoppable--
		t.recordTask(EventMoved, task, ReasonDataCentreOut, "is checkpointed and stopped to go on in another data centre", t.moveRateDecision())
	}
}

// moveRateDecision is an explanation that names the setting for the move rate.
func (t *tick) moveRateDecision() *placement.Explanation {
	return &placement.Explanation{Decisions: []settings.EffectiveValue{t.View.Tree.Lookup(t.dcScope(), settings.MoveRate)}}
}

// stoppable returns how many of the job's tasks here may be stopped now. For a
// service this is the number of running tasks in all data centres above its
// minimum.
func (t *tick) stoppable(j *work.Job) int {
	if j.Spec.Class != model.ClassService {
		return j.ActiveTasks()
	}
	running := t.runningElsewhere(j.Spec.ID)
	for _, task := range j.Tasks() {
		if task.State == model.TaskRunning && !t.stopped[task.ID] {
			running++
		}
	}
	return running - j.Spec.MinRunning
}

func (t *tick) runningElsewhere(id model.JobID) int {
	for i := range t.View.Jobs {
		if t.View.Jobs[i].Spec.ID == id {
			return t.View.Jobs[i].RunningElsewhere
		}
	}
	return 0
}

// requestReassignment asks the fleet group to assign released tasks to another
// data centre. The request is repeated until the fleet's state shows the new
// assignment.
func (t *tick) requestReassignment() {
	for _, j := range t.State.Jobs() {
		if j.Pending() == 0 {
			continue
		}
		released := releasedTasks(j)
		if len(released) == 0 || !t.LeaderState.allowRequest("move "+string(j.Spec.ID), t.NowMillis) {
			continue
		}
		t.out.Fleet.Reassign = append(t.out.Fleet.Reassign, Reassign{
			Job: j.Spec.ID, Assignment: j.Assignment, Generation: t.Epoch.Generation(),
			To: t.reassignTarget(), Tasks: released, Reason: ReasonDataCentreOut,
		})
	}
}

// reassignTarget is the data centre to reassign released tasks to: this one if it
// is back in service, and none while it is out, which leaves the choice to the
// fleet group.
func (t *tick) reassignTarget() model.DCID {
	if t.View.OutOfService {
		return ""
	}
	return t.View.DC
}

func releasedTasks(j *work.Job) []work.AdmitTask {
	var tasks []work.AdmitTask
	for _, task := range j.Tasks() {
		if task.Released && task.State == model.TaskPending {
			tasks = append(tasks, work.AdmitTask{
				Index: task.Index, Attempt: task.Attempt, CheckpointMillis: task.CheckpointMillis,
			})
		}
	}
	return tasks
}
