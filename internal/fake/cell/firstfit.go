package cell

import (
	"slices"

	"kumquatwing/internal/model"
	"kumquatwing/internal/placement"
)

// FirstFit is a plan in arrival order, for tests of the systems.
func FirstFit(s *placement.Snapshot) *placement.Plan {
	p := &placement.Plan{}
	free := make([]model.Resources, len(s.Workers))
	for i, w := range s.Workers {
		free[i] = w.Free
	}
	for i := range s.Jobs {
		fitJob(s, p, &s.Jobs[i], free)
	}
	return p
}

func fitJob(s *placement.Snapshot, p *placement.Plan, j *placement.JobView, free []model.Resources) {
	before := append([]model.Resources(nil), free...)
	var placed []placement.Placement
	for _, t := range j.Pending {
		if t.NotBeforeMillis > s.NowMillis {
			continue
		}
		for i, w := range s.Workers {
			avoid := len(s.Workers) > 1 && slices.Contains(t.Avoid, w.ID)
			if w.State != model.WorkerReady || avoid || !j.Spec.Size.Fits(free[i]) {
				continue
			}
			free[i] = free[i].Sub(j.Spec.Size)
			placed = append(placed, placement.Placement{Task: t.ID, Job: j.Spec.ID, Worker: w.ID})
			break
		}
	}
	if j.Spec.Class == model.ClassGang && len(placed) < len(j.Pending) {
		copy(free, before)
		placed = nil
	}
	if len(placed) < len(j.Pending) {
		p.Waits = append(p.Waits, placement.Wait{Job: j.Spec.ID, Reason: "no-room"})
	}
	p.Place = append(p.Place, placed...)
}
