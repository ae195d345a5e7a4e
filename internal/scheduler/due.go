package scheduler

import (
	"context"
	"slices"
	"time"

	"kumquatwing/internal/cell"
)

// startDue creates the occurrences of scheduled jobs whose time has come.
func (s *Scheduler) startDue(ctx context.Context, wall time.Time) {
	if s.creating {
		return
	}
	var due []cell.JobID
	s.cfg.State.Read(func() {
		for id, j := range s.cfg.State.Active {
			if at, ok := j.NextDue(); ok && wall.UnixMilli() >= at {
				due = append(due, id)
			}
		}
	})
	if len(due) == 0 {
		return
	}
	slices.Sort(due)
	s.creating = true
	s.propose(ctx, &cell.Command{Due: &cell.Due{Jobs: due}}, func(cell.Result, error) {
		s.creating, s.dirty = false, true
	})
}
