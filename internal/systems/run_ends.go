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

// EventEnded records that a run of a task ended, and the resulting state of the task.
const EventEnded eventlog.Kind = "work.ended"

// recordRunEnds records the runs that ended since the last tick. The first tick
// of a leader only reads the current position in the list of changes, so that
// earlier run ends are skipped.
func (t *tick) recordRunEnds() {
	m := t.LeaderState
	if !m.changesKnown {
		_, m.changes = t.State.Changes(^uint64(0))
		m.changesKnown = true
		t.out.previousChanges = m.changes
		return
	}
	t.out.previousChanges = m.changes
	var list []work.RunEndChange
	list, m.changes = t.State.Changes(m.changes)
	for i := range list {
		t.recordRunEnd(&list[i])
	}
}

func (t *tick) recordRunEnd(c *work.RunEndChange) {
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
		t.recordRunEndEvent(e, c)
		return
	}
	e.Detail += "; the task waits to start again"
	if wait := c.NotBeforeMillis - t.NowMillis; wait > 0 {
		e.Detail += fmt.Sprintf(" in %d ms after %d failures", wait, c.Failures)
	}
	t.recordRunEndEvent(e, c)
}

// recordRunEndEvent records e. After a failure, the event's explanation holds
// the settings for retries and back-off.
func (t *tick) recordRunEndEvent(e *eventlog.Event, c *work.RunEndChange) {
	j := t.State.Job(c.Job)
	if c.Failures == 0 || j == nil {
		t.record(e, nil)
		return
	}
	scope := t.scope(&j.Spec)
	x := &placement.Explanation{Decisions: []settings.EffectiveValue{
		t.View.Tree.Lookup(scope, settings.TaskRetries),
		t.View.Tree.Lookup(scope, settings.TaskBackoff),
	}}
	t.record(e, x)
}
