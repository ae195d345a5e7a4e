package scheduler

import (
	"cmp"
	"context"
	"slices"
	"time"

	"kumquatwing/internal/cell"
)

// createDueOccurrences creates the next occurrence of each scheduled job that is
// due at wall time. It does nothing while an earlier such command is being
// committed.
func (s *Scheduler) createDueOccurrences(ctx context.Context, wall time.Time) {
	if s.creatingOccurrences {
		return
	}
	var due []cell.OccurrenceKey
	s.cfg.State.Read(func() {
		for id, j := range s.cfg.State.Active {
			if at, ok := j.NextDue(); ok && wall.UnixMilli() >= at {
				due = append(due, cell.OccurrenceKey{Job: id, Number: len(j.Occurrences)})
			}
		}
	})
	if len(due) == 0 {
		return
	}
	slices.SortFunc(due, func(a, b cell.OccurrenceKey) int { return cmp.Compare(a.Job, b.Job) })
	s.creatingOccurrences = true
	s.propose(ctx, &cell.Command{Due: &cell.Due{Occurrences: due}}, func(cell.Result, error) {
		s.creatingOccurrences, s.dirty = false, true
	})
}
