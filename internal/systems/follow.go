package systems

import (
	"kumquatwing/internal/model"
	"kumquatwing/internal/work"
)

// Bounds of one tick, so that a wave of one kind leaves room for the others.
const (
	maxAdmitted  = 2000
	maxCancelled = 2000
	maxForgotten = 2000
)

// follow admits the jobs that the fleet gave to this data centre, cancels and
// forgets. It stops at the bounds and goes on in the next tick.
func (t *tick) follow() {
	m := t.Memory
	if m.seenAny && m.seen == t.View.Revision {
		return
	}
	admitted := t.admit()
	cancelled := t.cancel()
	forgotten := t.forget()
	// The view counts as followed once a whole pass finds nothing to do, since
	// a command may fail to commit.
	m.seenAny = admitted+cancelled+forgotten == 0 && !t.State.Rebuilding()
	m.seen = t.View.Revision
}

func (t *tick) admit() int {
	n := 0
	for i := range t.View.Jobs {
		h := &t.View.Jobs[i]
		row := t.State.Job(h.Spec.ID)
		if row != nil && row.Assignment >= h.Assignment {
			continue
		}
		if n == maxAdmitted {
			break
		}
		n++
		t.cmd.Admit = append(t.cmd.Admit, work.Admit{Spec: h.Spec, Assignment: h.Assignment, Tasks: h.Tasks})
		t.recordJob(EventAdmitted, &h.Spec, "", "given to this data centre by the fleet", nil)
	}
	return n
}

func (t *tick) cancel() int {
	n := 0
	for i := range t.View.Jobs {
		h := &t.View.Jobs[i]
		row := t.State.Job(h.Spec.ID)
		if !h.Cancelled || row == nil || row.Outcome != model.OutcomeNone {
			continue
		}
		if t.cancelled == nil {
			t.cancelled = map[model.JobID]bool{}
		}
		t.cancelled[h.Spec.ID] = true
		if n == maxCancelled {
			continue
		}
		n++
		t.cmd.Cancel = append(t.cmd.Cancel, h.Spec.ID)
		t.recordJob(EventCancelled, &h.Spec, work.ReasonCancelled, "cancelled by its submitter or an operator", nil)
	}
	return n
}

// forget drops jobs that the fleet no longer lists here: they are finished, or
// all their tasks are owned elsewhere.
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
			n += t.stopOrphans(j)
			continue
		}
		n++
		t.cmd.Forget = append(t.cmd.Forget, j.Spec.ID)
		delete(t.Memory.waits, j.Spec.ID)
		delete(t.Memory.finished, j.Spec.ID)
	}
	return n
}

// listed reports whether the view lists the job here, as the tables know it. It
// is always so once the view has been followed.
func (t *tick) listed(j *work.Job) bool {
	if t.Memory.seenAny && t.Memory.seen == t.View.Revision {
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

// current reports whether the view lists the job here with the very tasks that
// the tables have, and not as cancelled; others must not be placed.
func (t *tick) current(j *work.Job) bool {
	return t.listed(j) && !t.cancelled[j.Spec.ID] && (t.assignments == nil || t.assignments[j.Spec.ID] <= j.Assignment)
}

// stopOrphans ends the runs of a job that the fleet no longer lists. The view
// is looked at again until they have ended.
func (t *tick) stopOrphans(j *work.Job) int {
	if j.Outcome == model.OutcomeNone {
		t.cmd.Cancel = append(t.cmd.Cancel, j.Spec.ID)
	}
	return 1
}

// report tells the fleet the outcomes of jobs whose tasks here have all ended.
func (t *tick) report() {
	for _, j := range t.State.Jobs() {
		if j.Ended() != len(j.Tasks()) || len(j.Tasks()) == 0 {
			continue
		}
		if !t.Memory.mayAsk("finish "+string(j.Spec.ID), t.NowMillis) {
			continue
		}
		f := finishOf(j)
		t.out.Fleet.Finish = append(t.out.Fleet.Finish, f)
		if !t.Memory.finished[j.Spec.ID] {
			t.Memory.finished[j.Spec.ID] = true
			t.out.finished = append(t.out.finished, j.Spec.ID)
			t.recordJob(EventFinished, &j.Spec, f.Reason, "all tasks have ended: "+string(f.Outcome), nil)
		}
	}
}

// finishOf sums up a job: the worst outcome of a task is the job's.
func finishOf(j *work.Job) Finish {
	f := Finish{Job: j.Spec.ID, Assignment: j.Assignment, Whole: len(j.Tasks()) == j.Spec.Tasks}
	worst := -1
	for _, row := range j.Tasks() {
		f.Tasks = append(f.Tasks, TaskOutcome{Index: row.Index, Outcome: row.Outcome, Reason: row.Reason})
		if r := rank(row.Outcome); r > worst {
			worst = r
			f.Outcome, f.Reason = row.Outcome, row.Reason
		}
	}
	return f
}

// rank orders outcomes from good to bad.
func rank(o model.Outcome) int {
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
