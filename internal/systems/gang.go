package systems

import (
	"kumquatwing/internal/model"
	"kumquatwing/internal/work"
)

// failedTask returns a task of j that ended as failed or with an unknown outcome
// while other tasks of j have not ended, or nil.
func failedTask(j *work.Job) *work.Task {
	if j.Ended() == len(j.Tasks()) {
		return nil
	}
	for _, task := range j.Tasks() {
		if task.Outcome == model.OutcomeFailed || task.Outcome == model.OutcomeUnknown {
			return task
		}
	}
	return nil
}

// stopBrokenGangs stops the remaining tasks of idempotent gangs that lost a task,
// so that the gang can start again as a whole. If the lost task will not be
// retried, the job fails.
func (t *tick) stopBrokenGangs() {
	for _, j := range t.State.Jobs() {
		if j.Spec.Class != model.ClassGang || j.Outcome != model.OutcomeNone {
			continue
		}
		if task := failedTask(j); task != nil {
			t.cmd.Fail = append(t.cmd.Fail, work.FailJob{Job: j.Spec.ID, Outcome: task.Outcome, Reason: task.Reason})
			t.recordJob(EventJobFailed, &j.Spec, task.Reason, "a task of the gang ended for good: "+string(task.ID), nil)
			continue
		}
		if j.Pending() == 0 || j.ActiveTasks() == 0 || !j.Spec.Idempotent {
			continue
		}
		for _, task := range j.Tasks() {
			if t.stop(task, work.ReasonGangBroken, true) {
				t.recordTask(EventStopped, task, work.ReasonGangBroken, "another task of its gang ended; the gang starts again as a whole", nil)
			}
		}
	}
}
