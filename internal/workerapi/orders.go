package workerapi

import (
	"kumquatwing/internal/api"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/model"
	"kumquatwing/internal/work"
)

// Orders returns the response to a worker's report at now. It must be called
// after the command of the report was applied. It renews the worker's lease if
// the worker may hold one. The second result reports whether to respond at once,
// rather than when the hold time of the long poll is over.
func (l *Leader) Orders(id model.WorkerID, now clock.Instant, status LeaseStatus) (*api.WorkerOrders, bool) {
	o := &api.WorkerOrders{Epoch: l.epoch}
	s := l.workers[id]
	w := l.state.Worker(id)
	if s == nil || s.report == nil || !status.LeaderLeaseValid || !l.epochApplied() {
		return o, true
	}
	if !l.mayHoldLease(w, s) {
		o.Stop = l.stopUnknownRuns(s.report)
		o.Known = l.acknowledgedEnds(s.report)
		return o, true
	}
	term := l.Term()
	o.LeaseMillis = term.Milliseconds()
	l.leases.Renew(id, now, term)
	l.addStarts(o, w, s.report, status)
	l.addStops(o, w)
	o.Stop = append(o.Stop, l.stopUnknownRuns(s.report)...)
	o.Known = l.acknowledgedEnds(s.report)
	return o, len(o.Start)+len(o.Stop)+len(o.Known)+len(o.Throttle) > 0
}

// mayHoldLease reports whether the worker may hold a lease: the replicated state
// has this incarnation, and its loss has not been proposed.
func (l *Leader) mayHoldLease(w *work.Worker, s *workerState) bool {
	if w == nil || w.State == model.WorkerLost || w.Incarnation != s.incarnation {
		return false
	}
	session, proposed := l.lossProposed[w.ID]
	return !proposed || session != w.Session || l.skip&skipLossProposed != 0
}

// addStarts adds the starts that the worker has not reported yet; they are
// repeated until it does. They are valid no longer than the settings lease.
func (l *Leader) addStarts(o *api.WorkerOrders, w *work.Worker, r *api.WorkerReport, status LeaseStatus) {
	within := min(status.SettingsLeaseRemaining.Milliseconds(), o.LeaseMillis)
	if l.skip&skipSettingsLease != 0 {
		within = o.LeaseMillis
	}
	if within <= 0 {
		return
	}
	for _, t := range w.Tasks() {
		if t.State == model.TaskStarting && !listsRun(r, t) {
			o.Start = append(o.Start, startOrder(t))
		}
	}
	if len(o.Start) > 0 {
		o.StartWithinMillis = within
	}
}

func startOrder(t *work.Task) api.TaskOrder {
	spec := &t.ParentJob().Spec
	return api.TaskOrder{
		RunID:      api.RunID{Task: t.ID, Attempt: t.Attempt},
		Job:        spec.ID,
		Workspace:  spec.Workspace,
		Size:       spec.Size,
		RunMillis:  spec.RunMillis,
		Service:    spec.Class == model.ClassService,
		FromMillis: t.CheckpointMillis,
		Payload:    spec.Payload,
	}
}

// listsRun reports whether r lists the current run of t.
func listsRun(r *api.WorkerReport, t *work.Task) bool {
	for i := range r.Tasks {
		if r.Tasks[i].Task == t.ID && r.Tasks[i].Attempt == t.Attempt {
			return true
		}
	}
	return false
}

// addStops adds the worker's throttled tasks and the stops of its tasks in state
// stopping. A stop is repeated until the worker reports the end of the run.
func (l *Leader) addStops(o *api.WorkerOrders, w *work.Worker) {
	for _, t := range w.Tasks() {
		switch {
		case t.State == model.TaskStopping:
			o.Stop = append(o.Stop, api.StopOrder{
				RunID:      api.RunID{Task: t.ID, Attempt: t.Attempt},
				Checkpoint: t.StopCheckpoint,
				Reason:     t.Reason,
			})
		case t.Throttled:
			o.Throttle = append(o.Throttle, t.ID)
		}
	}
}

// stopUnknownRuns returns stops for the reported runs that the replicated state
// doesn't have on this worker. During a rebuild it returns none, since the state
// is then incomplete.
func (l *Leader) stopUnknownRuns(r *api.WorkerReport) []api.StopOrder {
	var stops []api.StopOrder
	if l.state.Rebuilding() {
		return nil
	}
	for i := range r.Tasks {
		t := &r.Tasks[i]
		if t.State == model.TaskEnded || l.state.Run(workRunID(r, t)) != nil {
			continue
		}
		stops = append(stops, api.StopOrder{
			RunID:  api.RunID{Task: t.Task, Attempt: t.Attempt},
			Reason: work.ReasonUnknownTask,
		})
	}
	return stops
}

// acknowledgedEnds lists the ended runs of the report whose end has been applied
// to the replicated state, so that the worker may forget them.
func (l *Leader) acknowledgedEnds(r *api.WorkerReport) []api.RunID {
	var runs []api.RunID
	for i := range r.Tasks {
		t := &r.Tasks[i]
		if t.State != model.TaskEnded || l.state.Run(workRunID(r, t)) != nil {
			continue
		}
		if l.neededForRebuild(t) {
			continue
		}
		runs = append(runs, api.RunID{Task: t.Task, Attempt: t.Attempt})
	}
	return sortRuns(runs)
}

// neededForRebuild reports whether the worker must keep reporting the end of a
// run, because a rebuild of the replicated state is in progress and the task is
// not in it yet or still unaccounted.
func (l *Leader) neededForRebuild(t *api.TaskReport) bool {
	if !l.state.Rebuilding() {
		return false
	}
	task := l.state.Task(t.Task)
	return task == nil || task.Unaccounted
}
