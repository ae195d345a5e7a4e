package cell

// updateWorkers applies reports. confirmed says that the scheduler issued the command.
func (s *State) updateWorkers(c *Workers, confirmed bool) {
	for i := range c.Seen {
		s.updateWorker(&c.Seen[i], confirmed)
	}
	for _, i := range c.Gone {
		if w := s.incarnation(i); w != nil {
			s.endAllRuns(w)
			delete(s.Workers, i.ID)
			s.changedWorkers[i.ID], s.sortedWorkers = true, nil
		}
	}
	for _, i := range c.Left {
		if w := s.incarnation(i); w != nil && !w.Draining {
			s.setLeaving(w, true)
		}
	}
	for _, i := range c.Stayed {
		if w := s.incarnation(i); w != nil && w.Leaving {
			s.setLeaving(w, false)
		}
	}
}

// incarnation returns the worker whose recorded incarnation is the given one, or nil.
func (s *State) incarnation(i Incarnation) *WorkerState {
	if w := s.Workers[i.ID]; w != nil && w.Born == i.Born {
		return w
	}
	return nil
}

// setLeaving marks a worker as draining by a leave call, or takes that back.
func (s *State) setLeaving(w *WorkerState, leaving bool) {
	w.Draining, w.Leaving = leaving, leaving
	s.changedWorkers[w.ID] = true
}

// updateWorker stores what a worker reported about itself. Only the scheduler records a
// newer incarnation or another address of a known worker, once the worker has confirmed
// it: the runs pass to that. The report of an older incarnation is ignored. A worker that
// is draining stays so for the rest of its incarnation: a report from before may be applied
// after the one that told of it.
func (s *State) updateWorker(report *Worker, confirmed bool) {
	w := s.Workers[report.ID]
	if w == nil {
		w = &WorkerState{Allocations: map[TaskKey]Allocation{}}
		s.Workers[report.ID], s.sortedWorkers = w, nil
	}
	s.changedWorkers[report.ID] = true
	if report.Born < w.Born {
		return
	}
	known := w.ID != ""
	if known && !confirmed && (report.Born > w.Born || report.Addr != w.Addr) {
		return
	}
	same := known && report.Born == w.Born
	draining := report.Draining || (same && w.Draining)
	leaving := !report.Draining && same && w.Leaving
	if !same {
		w.Speed = 0
	}
	w.Worker = *report
	w.Draining, w.Leaving = draining, leaving
}

// endAllRuns ends all runs of a worker incarnation that no longer exists as lost.
func (s *State) endAllRuns(w *WorkerState) {
	for _, a := range w.allocations() {
		s.endRun(w, a, &End{Task: a.Task, Run: a.Run, Outcome: OutcomeLost}, 0)
	}
}
