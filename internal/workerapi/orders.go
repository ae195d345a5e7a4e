package workerapi

import (
	"kumquatwing/internal/api"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/model"
	"kumquatwing/internal/work"
)

// Orders returns what to tell a worker at now, after the command of its report
// was applied, and whether it is worth an answer before the hold time is over.
// It renews the worker's lease, if it has one.
func (l *Leader) Orders(id model.WorkerID, now clock.Instant, g Gate) (*api.WorkerOrders, bool) {
	o := &api.WorkerOrders{Epoch: l.epoch}
	s := l.seen[id]
	w := l.state.Worker(id)
	if s == nil || s.report == nil || !g.Leads || !l.acts() {
		return o, true
	}
	if !l.stands(w, s) {
		o.Stop = l.strays(s.report)
		o.Known = l.known(s.report)
		return o, true
	}
	term := l.Term()
	o.LeaseMillis = term.Milliseconds()
	l.leases.Renew(id, now, term)
	l.addStarts(o, w, s.report, g)
	l.addStops(o, w)
	o.Stop = append(o.Stop, l.strays(s.report)...)
	o.Known = l.known(s.report)
	return o, len(o.Start)+len(o.Stop)+len(o.Known)+len(o.Throttle) > 0
}

// stands reports whether the worker may hold a lease: the tables know this
// incarnation, and its loss has not been proposed.
func (l *Leader) stands(w *work.Worker, s *seen) bool {
	if w == nil || w.State == model.WorkerLost || w.Incarnation != s.incarnation {
		return false
	}
	standing, losing := l.losing[w.ID]
	return !losing || standing != w.Standing || l.skip&skipLosing != 0
}

// addStarts repeats the starts that the worker has not reported. They hold
// while the settings lease does.
func (l *Leader) addStarts(o *api.WorkerOrders, w *work.Worker, r *api.WorkerReport, g Gate) {
	within := min(g.MayStart.Milliseconds(), o.LeaseMillis)
	if l.skip&skipMayStart != 0 {
		within = o.LeaseMillis
	}
	if within <= 0 {
		return
	}
	for _, t := range w.Tasks() {
		if t.State == model.TaskStarting && !reports(r, t) {
			o.Start = append(o.Start, startOrder(t))
		}
	}
	if len(o.Start) > 0 {
		o.StartWithinMillis = within
	}
}

func startOrder(t *work.Task) api.TaskOrder {
	spec := &t.JobRow().Spec
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

func reports(r *api.WorkerReport, t *work.Task) bool {
	for i := range r.Tasks {
		if r.Tasks[i].Task == t.ID && r.Tasks[i].Attempt == t.Attempt {
			return true
		}
	}
	return false
}

// addStops repeats the stops until the worker reports the end, and the throttles.
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

// strays lists stops of runs that the worker holds and the tables don't.
func (l *Leader) strays(r *api.WorkerReport) []api.StopOrder {
	var stops []api.StopOrder
	if l.state.Rebuilding() {
		return nil
	}
	for i := range r.Tasks {
		t := &r.Tasks[i]
		if t.State == model.TaskEnded || l.state.Run(runOf(r, t)) != nil {
			continue
		}
		stops = append(stops, api.StopOrder{
			RunID:  api.RunID{Task: t.Task, Attempt: t.Attempt},
			Reason: work.ReasonUnknownTask,
		})
	}
	return stops
}

// known lists the reported ends that the tables have taken in.
func (l *Leader) known(r *api.WorkerReport) []api.RunID {
	var runs []api.RunID
	for i := range r.Tasks {
		t := &r.Tasks[i]
		if t.State != model.TaskEnded || l.state.Run(runOf(r, t)) != nil {
			continue
		}
		if l.unsettled(t) {
			continue
		}
		runs = append(runs, api.RunID{Task: t.Task, Attempt: t.Attempt})
	}
	return sortRuns(runs)
}

// unsettled reports whether the end of a run still matters to tables that are
// being rebuilt.
func (l *Leader) unsettled(t *api.TaskReport) bool {
	if !l.state.Rebuilding() {
		return false
	}
	row := l.state.Task(t.Task)
	return row == nil || row.Unaccounted
}
