package systems

import (
	"kumquatwing/internal/model"
	"kumquatwing/internal/work"
)

// failedTask returns a task of j that failed for good while others go on, or nil.
func failedTask(j *work.Job) *work.Task {
	if j.Ended() == len(j.Tasks()) {
		return nil
	}
	for _, row := range j.Tasks() {
		if row.Outcome == model.OutcomeFailed || row.Outcome == model.OutcomeUnknown {
			return row
		}
	}
	return nil
}

// mendGangs stops what is left of a gang that lost a task, so that it can
// start again as a whole.
func (t *tick) mendGangs() {
	for _, j := range t.State.Jobs() {
		if j.Spec.Class != model.ClassGang || j.Outcome != model.OutcomeNone {
			continue
		}
		if row := failedTask(j); row != nil {
			t.cmd.Fail = append(t.cmd.Fail, work.FailJob{Job: j.Spec.ID, Outcome: row.Outcome, Reason: row.Reason})
			t.recordJob(EventFailed, &j.Spec, row.Reason, "a task of the gang ended for good: "+string(row.ID), nil)
			continue
		}
		if j.Pending() == 0 || j.Held() == 0 || !j.Spec.Idempotent {
			continue
		}
		for _, row := range j.Tasks() {
			if t.stop(row, work.ReasonGangBroken, true) {
				t.recordTask(EventStopped, row, work.ReasonGangBroken, "another task of its gang ended; the gang starts again as a whole", nil)
			}
		}
	}
}
