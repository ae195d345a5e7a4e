package work

import "kumquatwing/internal/model"

// applyPlace applies the placements that are still valid and returns the others
// as refused. The placements of a gang must be consecutive in items.
func (s *State) applyPlace(nowMillis int64, items []Place) []PlaceRefusal {
	var refused []PlaceRefusal
	for i := 0; i < len(items); {
		n := s.groupLen(items[i:])
		refused = s.placeGroup(nowMillis, items[i:i+n], refused)
		i += n
	}
	return refused
}

// groupLen returns the number of leading items that must be applied together: the
// consecutive items of one gang, otherwise 1.
func (s *State) groupLen(items []Place) int {
	t := s.tasks[items[0].Task]
	if t == nil || t.job.Spec.Class != model.ClassGang {
		return 1
	}
	n := 1
	for n < len(items) {
		next := s.tasks[items[n].Task]
		if next == nil || next.job != t.job {
			break
		}
		n++
	}
	return n
}

// placeGroup applies items in order. If one placement of a gang is refused, it
// undoes the ones before it and refuses all of them.
func (s *State) placeGroup(nowMillis int64, items []Place, refused []PlaceRefusal) []PlaceRefusal {
	if reason := s.checkGang(items); reason != "" {
		return refuseAll(items, reason, refused)
	}
	for i := range items {
		reason := s.checkPlace(&items[i])
		if reason == "" {
			s.place(nowMillis, &items[i])
			continue
		}
		if len(items) == 1 || s.skip&skipGang != 0 {
			refused = append(refused, PlaceRefusal{items[i].Task, reason})
			continue
		}
		for k := range i {
			s.undoPlace(s.tasks[items[k].Task])
		}
		return refuseAll(items, reason, refused)
	}
	return refused
}

// refuseAll appends a refusal of every item.
func refuseAll(items []Place, reason string, refused []PlaceRefusal) []PlaceRefusal {
	for i := range items {
		refused = append(refused, PlaceRefusal{items[i].Task, reason})
	}
	return refused
}

// checkGang returns the reason code if items would start a gang only in part, or
// "".
func (s *State) checkGang(items []Place) string {
	t := s.tasks[items[0].Task]
	if t == nil || t.job.Spec.Class != model.ClassGang || s.skip&skipGang != 0 {
		return ""
	}
	j := t.job
	if j.active > 0 || len(items) != j.pending || len(j.tasks) != j.Spec.Tasks {
		return ReasonPartialGang
	}
	return ""
}

// checkPlace returns the reason code of a placement that must be refused, or "".
func (s *State) checkPlace(p *Place) string {
	t, w := s.tasks[p.Task], s.workers[p.Worker]
	switch {
	case s.rebuilding:
		return ReasonRebuilding
	case s.outOfService.Out && s.skip&skipOutOfService == 0:
		return ReasonOutOfService
	case t == nil:
		return ReasonUnknownTask
	case t.Released:
		return ReasonReleased
	case !t.Placeable() || t.job.Outcome != model.OutcomeNone:
		return ReasonNotPending
	case w == nil:
		return ReasonUnknownWorker
	case w.State != model.WorkerReady:
		return ReasonWorkerNotReady
	case w.Probation && len(w.tasks) > 0:
		return ReasonProbation
	}
	return s.checkLimits(t, w, p)
}

// checkLimits checks a placement against the worker's free capacity and the
// workspace's grant. It returns a reason code or "".
func (s *State) checkLimits(t *Task, w *Worker, p *Place) string {
	size := t.job.Spec.Size
	if !size.Max(p.Reserved).Fits(w.Free()) && s.skip&skipCapacity == 0 {
		return ReasonNoCapacity
	}
	workspace := t.job.Spec.Workspace
	if !s.usage[workspace].Add(size).Fits(s.grants[workspace].Cap) && s.skip&skipGrant == 0 {
		return ReasonOverGrant
	}
	return ""
}

// place starts a new attempt of a task on a worker.
func (s *State) place(nowMillis int64, p *Place) {
	t, w := s.tasks[p.Task], s.workers[p.Worker]
	s.reserve(t, w, t.job.Spec.Size.Max(p.Reserved))
	t.State = model.TaskStarting
	t.Attempt++
	t.Epoch = s.epoch
	t.PlacedMillis = nowMillis
	t.StartedMillis, t.CheckpointedAtMillis = 0, 0
	t.ResumedFromMillis = t.CheckpointMillis
	t.Peak = model.Resources{}
	t.Reason = ""
}

// undoPlace undoes a placement made by the command that is being applied.
func (s *State) undoPlace(t *Task) {
	s.unreserve(t)
	t.Attempt--
	s.setPending(t, ReasonPartialGang)
}
