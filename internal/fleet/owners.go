package fleet

import (
	"slices"
	"time"

	"kumquatwing/internal/model"
	"kumquatwing/internal/verdict"
)

// submitRetry is the pause before a team with too many jobs tries again.
const submitRetry = time.Second

// SpreadOwners chooses a data centre for each task of spec: a service is
// spread over all that are in and allowed, other jobs go whole to the one with
// the fewest unfinished tasks. It is a simple choice for a caller that knows
// nothing of free room.
func (s *State) SpreadOwners(spec *model.JobSpec) ([]model.DCID, *verdict.Refusal) {
	open := s.openDataCentres(spec.DataCentres)
	if len(open) == 0 {
		return nil, verdict.Refuse(verdict.ReasonOut, "no allowed data centre is in").RetryIn(submitRetry)
	}
	owners := make([]model.DCID, max(0, min(spec.Tasks, MaxTasks)))
	least := s.leastLoaded(open)
	for i := range owners {
		owners[i] = least
		if spec.Class == model.ClassService {
			owners[i] = open[i%len(open)]
		}
	}
	return owners, nil
}

// openDataCentres lists those that are in, of the allowed ones if any are named.
func (s *State) openDataCentres(allowed []model.DCID) []model.DCID {
	var open []model.DCID
	for _, dc := range s.DataCentres() {
		if !dc.Out && (len(allowed) == 0 || slices.Contains(allowed, dc.ID)) {
			open = append(open, dc.ID)
		}
	}
	return open
}

func (s *State) leastLoaded(open []model.DCID) model.DCID {
	best := open[0]
	for _, dc := range open[1:] {
		if s.TasksIn(dc) < s.TasksIn(best) {
			best = dc
		}
	}
	return best
}

// TasksIn counts the tasks of unfinished jobs that dc owns, ended ones included.
func (s *State) TasksIn(dc model.DCID) int {
	if p := s.jobs.places[dc]; p != nil {
		return p.tasks
	}
	return 0
}
