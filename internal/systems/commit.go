package systems

import (
	"kumquatwing/internal/eventlog"
	"kumquatwing/internal/model"
	"kumquatwing/internal/work"
)

// detailNotApplied is the detail of the event for a placement that was refused
// when the command was applied.
const detailNotApplied = "the placement no longer held when it was applied"

// Commit passes the tick's events to rec after its command has been applied with
// result r. A placement that was refused when applied is recorded as a wait. If
// the whole command was refused, Commit does the same as Abandon.
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

// Abandon discards the tick's events and resets the leader's memory of what has
// been recorded. The next tick records again what holds without the command.
func (o *Output) Abandon() {
	clear(o.leaderState.waitReasons)
	o.leaderState.changes = o.previousChanges
	for _, id := range o.finished {
		delete(o.leaderState.finished, id)
	}
}
