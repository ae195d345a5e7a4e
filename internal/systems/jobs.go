package systems

import (
	"kumquatwing/internal/model"
	"kumquatwing/internal/work"
)

// Bounds of one tick, so that a burst of one kind of change does not hold up the
// other kinds.
const (
	maxAdmitted  = 2000
	maxCancelled = 2000
	maxForgotten = 2000
)

// syncJobs brings the replicated state in line with the jobs of the view: it
// admits jobs newly assigned to this data centre, cancels those that were
// cancelled and forgets those that are no longer listed. Changes beyond the
// bounds of a tick are left to the next ticks.
func (t *tick) syncJobs() {
	m := t.Memory
	if m.synced && m.syncedRevision == t.View.Revision {
		return
	}
	admitted := t.admit()
	cancelled := t.cancel()
	forgotten := t.forget()
	// A command may fail to commit, so the view counts as synced only once a
	// whole pass finds nothing to do.
	m.synced = admitted+cancelled+forgotten == 0 && !t.State.Rebuilding()
	m.syncedRevision = t.View.Revision
}

func (t *tick) admit() int {
	n := 0
	for i := range t.View.Jobs {
		assigned := &t.View.Jobs[i]
		job := t.State.Job(assigned.Spec.ID)
		if job != nil && job.Assignment >= assigned.Assignment {
			continue
		}
		if n == maxAdmitted {
			break
		}
		n++
		t.cmd.Admit = append(t.cmd.Admit, work.Admit{Spec: assigned.Spec, Assignment: assigned.Assignment, Tasks: assigned.Tasks})
		t.recordJob(EventAdmitted, &assigned.Spec, "", "given to this data centre by the fleet", nil)
	}
	return n
}

func (t *tick) cancel() int {
	n := 0
	for i := range t.View.Jobs {
		assigned := &t.View.Jobs[i]
		job := t.State.Job(assigned.Spec.ID)
		if !assigned.Cancelled || job == nil || job.Outcome != model.OutcomeNone {
			continue
		}
		if t.cancelled == nil {
			t.cancelled = map[model.JobID]bool{}
		}
		t.cancelled[assigned.Spec.ID] = true
		if n == maxCancelled {
			continue
		}
		n++
		t.cmd.Cancel = append(t.cmd.Cancel, assigned.Spec.ID)
		t.recordJob(EventCancelled, &assigned.Spec, work.ReasonCancelled, "cancelled by its submitter or an operator", nil)
	}
	return n
}

// forget drops jobs that the view no longer lists because they have finished or
// all their tasks were reassigned. Jobs whose tasks still hold resources are
// cancelled first. The result counts both.
func (t *tick) forget() int {
	if t.State.Rebuilding() {
		return 0
	}
	n := 0
	for _, j := range t.State.Jobs() {
		if t.listed(j) || n == maxForgotten {
			continue
		}
		if j.Held() > 0 {
			n += t.cancelUnlisted(j)
			continue
		}
		n++
		t.cmd.Forget = append(t.cmd.Forget, j.Spec.ID)
		delete(t.Memory.waitReasons, j.Spec.ID)
		delete(t.Memory.finished, j.Spec.ID)
	}
	return n
}

// listed reports whether the view lists the job, with any assignment. Once the
// view is synced, it lists all jobs of the replicated state.
func (t *tick) listed(j *work.Job) bool {
	if t.Memory.synced && t.Memory.syncedRevision == t.View.Revision {
		return true
	}
	if t.assignments == nil {
		t.assignments = make(map[model.JobID]uint64, len(t.View.Jobs))
		for i := range t.View.Jobs {
			t.assignments[t.View.Jobs[i].Spec.ID] = t.View.Jobs[i].Assignment
		}
	}
	_, ok := t.assignments[j.Spec.ID]
	return ok
}

// matchesView reports whether the view lists the job as not cancelled and with
// the same tasks as the replicated state. Tasks of other jobs must not be placed.
func (t *tick) matchesView(j *work.Job) bool {
	return t.listed(j) && !t.cancelled[j.Spec.ID] && (t.assignments == nil || t.assignments[j.Spec.ID] <= j.Assignment)
}

// cancelUnlisted cancels a job that the view no longer lists but whose tasks
// still hold resources. It returns 1, so that the view does not count as synced
// before those tasks have ended.
func (t *tick) cancelUnlisted(j *work.Job) int {
	if j.Outcome == model.OutcomeNone {
		t.cmd.Cancel = append(t.cmd.Cancel, j.Spec.ID)
	}
	return 1
}

// reportFinished tells the fleet group the outcomes of jobs whose tasks here have
// all ended.
func (t *tick) reportFinished() {
	for _, j := range t.State.Jobs() {
		if j.Ended() != len(j.Tasks()) || len(j.Tasks()) == 0 {
			continue
		}
		if !t.Memory.allowRequest("finish "+string(j.Spec.ID), t.NowMillis) {
			continue
		}
		f := newFinish(j)
		t.out.Fleet.Finish = append(t.out.Fleet.Finish, f)
		if !t.Memory.finished[j.Spec.ID] {
			t.Memory.finished[j.Spec.ID] = true
			t.out.finished = append(t.out.finished, j.Spec.ID)
			t.recordJob(EventFinished, &j.Spec, f.Reason, "all tasks have ended: "+string(f.Outcome), nil)
		}
	}
}

// newFinish returns the outcomes of a job's tasks here. The outcome of the job is
// the worst of them.
func newFinish(j *work.Job) JobOutcome {
	f := JobOutcome{Job: j.Spec.ID, Assignment: j.Assignment, AllTasks: len(j.Tasks()) == j.Spec.Tasks}
	worst := -1
	for _, task := range j.Tasks() {
		f.Tasks = append(f.Tasks, TaskOutcome{Index: task.Index, Outcome: task.Outcome, Reason: task.Reason})
		if s := severity(task.Outcome); s > worst {
			worst = s
			f.Outcome, f.Reason = task.Outcome, task.Reason
		}
	}
	return f
}

// severity orders outcomes from best to worst.
func severity(o model.Outcome) int {
	switch o {
	case model.OutcomeSucceeded:
		return 0
	case model.OutcomeCancelled:
		return 1
	case model.OutcomeRefused:
		return 2
	case model.OutcomeFailed:
		return 3
	case model.OutcomeUnknown:
		return 4
	}
	return 5
}
