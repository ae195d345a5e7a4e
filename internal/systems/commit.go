package systems

import (
	"kumquatwing/internal/eventlog"
	"kumquatwing/internal/model"
	"kumquatwing/internal/work"
)

// detailNotApplied says in an event why a planned start did not happen.
const detailNotApplied = "the placement no longer held when it was applied"

// Commit records what the tick decided, now that its command has been applied
// with the result r. A placement that no longer held is recorded as a wait.
func (o *Output) Commit(rec eventlog.Recorder, r *work.Result) {
	if r.Refused != "" {
		o.Abandon()
		return
	}
	refused := make(map[model.TaskID]string, len(r.Place))
	for _, p := range r.Place {
		refused[p.Task] = p.Reason
	}
	for i := range o.events {
		e := &o.events[i]
		if reason, ok := refused[e.Task]; ok && e.Kind == EventPlaced {
			e.Kind = EventWaits
			e.Cause = reason
			e.Detail = detailNotApplied
			e.Attempt = 0
		}
		rec.Record(*e)
	}
}

// Abandon forgets what the tick decided: nothing is recorded now, and what holds
// without the command is recorded by the next tick.
func (o *Output) Abandon() {
	clear(o.memory.waits)
	o.memory.changes = o.changes
	for _, id := range o.finished {
		delete(o.memory.finished, id)
	}
}
