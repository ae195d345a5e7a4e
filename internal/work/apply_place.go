package work

import "kumquatwing/internal/model"

// applyPlace starts what still holds and says what does not. A gang's items
// stand together, from the first to the last of one job in a row.
func (s *State) applyPlace(nowMillis int64, items []Place) []PlaceRefusal {
	var refused []PlaceRefusal
	for i := 0; i < len(items); {
		n := s.groupLen(items[i:])
		refused = s.placeGroup(nowMillis, items[i:i+n], refused)
		i += n
	}
	return refused
}

// groupLen returns how many of the first items stand or fall together.
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

// placeGroup places items in order; if one of a gang fails, the ones before it
// are taken back.
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
			s.unplace(s.tasks[items[k].Task])
		}
		return refuseAll(items, reason, refused)
	}
	return refused
}

func refuseAll(items []Place, reason string, refused []PlaceRefusal) []PlaceRefusal {
	for i := range items {
		refused = append(refused, PlaceRefusal{items[i].Task, reason})
	}
	return refused
}

// checkGang returns why items would start a gang in part, or "".
func (s *State) checkGang(items []Place) string {
	t := s.tasks[items[0].Task]
	if t == nil || t.job.Spec.Class != model.ClassGang || s.skip&skipGang != 0 {
		return ""
	}
	j := t.job
	if j.held > 0 || len(items) != j.pending || len(j.tasks) != j.Spec.Tasks {
		return ReasonGangPart
	}
	return ""
}

// checkPlace returns why a placement must not be made, or "".
func (s *State) checkPlace(p *Place) string {
	t, w := s.tasks[p.Task], s.workers[p.Worker]
	switch {
	case s.rebuilding:
		return ReasonRebuilding
	case s.out.Out && s.skip&skipOut == 0:
		return ReasonOut
	case t == nil:
		return ReasonUnknownTask
	case t.Released:
		return ReasonReleased
	case !t.Placeable() || t.job.Outcome != model.OutcomeNone:
		return ReasonNotPending
	case w == nil:
		return ReasonUnknownWorker
	case w.State != model.WorkerReady:
		return ReasonNotReady
	case w.Probation && len(w.tasks) > 0:
		return ReasonProbation
	}
	return s.checkRoom(t, w, p)
}

func (s *State) checkRoom(t *Task, w *Worker, p *Place) string {
	size := t.job.Spec.Size
	if !size.Max(p.Hold).Fits(w.Free()) && s.skip&skipRoom == 0 {
		return ReasonNoRoom
	}
	workspace := t.job.Spec.Workspace
	if !s.usage[workspace].Add(size).Fits(s.grants[workspace].Cap) && s.skip&skipGrant == 0 {
		return ReasonGrant
	}
	return ""
}

func (s *State) place(nowMillis int64, p *Place) {
	t, w := s.tasks[p.Task], s.workers[p.Worker]
	s.hold(t, w, t.job.Spec.Size.Max(p.Hold))
	t.State = model.TaskStarting
	t.Attempt++
	t.Epoch = s.epoch
	t.PlacedMillis = nowMillis
	t.StartedMillis, t.SavedMillis = 0, 0
	t.FromMillis = t.CheckpointMillis
	t.Peak = model.Resources{}
	t.Reason = ""
}

// unplace takes back a placement made by the command that is being applied.
func (s *State) unplace(t *Task) {
	s.unhold(t)
	t.Attempt--
	s.toPending(t, ReasonGangPart)
}
