package systems

import (
	"cmp"
	"fmt"

	"kumquatwing/internal/eventlog"
	"kumquatwing/internal/model"
	"kumquatwing/internal/placement"
	"kumquatwing/internal/settings"
	"kumquatwing/internal/work"
)

// EventEnded tells what became of a task when its run ended.
const EventEnded eventlog.Kind = "work.ended"

// tellEnds records what became of tasks since the last tick.
func (t *tick) tellEnds() {
	m := t.Memory
	if !m.changesSeen {
		_, m.changes = t.State.Changes(^uint64(0))
		m.changesSeen = true
		t.out.changes = m.changes
		return
	}
	t.out.changes = m.changes
	var list []work.Change
	list, m.changes = t.State.Changes(m.changes)
	for i := range list {
		t.tellEnd(&list[i])
	}
}

func (t *tick) tellEnd(c *work.Change) {
	e := &eventlog.Event{
		Kind: EventEnded, Task: c.Run.Task, Attempt: c.Run.Attempt, Worker: c.Run.Worker,
		Job: c.Job, Workspace: c.Workspace, Cause: c.Reason,
	}
	e.Detail = fmt.Sprintf("the run ended as %s", cmp.Or(string(c.RunOutcome), "cut short"))
	if c.RunReason != "" {
		e.Detail += " (" + c.RunReason + ")"
	}
	if c.State == model.TaskEnded {
		e.Detail += fmt.Sprintf("; the task's outcome is %s", c.Outcome)
		t.recordEnd(e, c)
		return
	}
	e.Detail += "; the task waits to start again"
	if wait := c.NotBeforeMillis - t.NowMillis; wait > 0 {
		e.Detail += fmt.Sprintf(" in %d ms after %d failures", wait, c.Failures)
	}
	t.recordEnd(e, c)
}

// recordEnd adds the settings that decided on a retry.
func (t *tick) recordEnd(e *eventlog.Event, c *work.Change) {
	j := t.State.Job(c.Job)
	if c.Failures == 0 || j == nil {
		t.record(e, nil)
		return
	}
	scope := t.scope(&j.Spec)
	x := &placement.Explanation{Decisions: []settings.Decision{
		t.View.Tree.Lookup(scope, settings.TaskRetries),
		t.View.Tree.Lookup(scope, settings.TaskBackoff),
	}}
	t.record(e, x)
}
