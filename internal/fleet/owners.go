package fleet

import (
	"cmp"
	"slices"
	"time"

	"kumquatwing/internal/model"
	"kumquatwing/internal/verdict"
)

// submitRetry is the pause before a workspace with too many jobs tries again.
const submitRetry = time.Second

// SpreadOwners chooses a data centre for each task of spec, of those that are in
// and allowed: a gang goes whole to the least loaded, a service is spread evenly,
// and each task of another job goes to the least loaded in turn. It counts what
// unfinished jobs declare and knows nothing of free room.
func (s *State) SpreadOwners(spec *model.JobSpec) ([]model.DCID, *verdict.Refusal) {
	open := s.openDataCentres(spec.DataCentres)
	if len(open) == 0 {
		return nil, verdict.Refuse(verdict.ReasonOut, "no allowed data centre is in").RetryIn(submitRetry)
	}
	loads := make([]model.Resources, len(open))
	for i, dc := range open {
		loads[i] = s.LoadIn(dc)
	}
	owners := make([]model.DCID, max(0, min(spec.Tasks, MaxTasks)))
	for i := range owners {
		at := leastLoaded(loads)
		if spec.Class == model.ClassService {
			at = i % len(open)
		}
		if spec.Class != model.ClassGang {
			loads[at] = loads[at].Add(spec.Size)
		}
		owners[i] = open[at]
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

// leastLoaded returns the index of the least load, by processor time, then by
// memory, then the first.
func leastLoaded(loads []model.Resources) int {
	best := 0
	for i := range loads {
		less := cmp.Or(
			cmp.Compare(loads[i].MilliCPU, loads[best].MilliCPU),
			cmp.Compare(loads[i].MemoryMB, loads[best].MemoryMB),
		)
		if less < 0 {
			best = i
		}
	}
	return best
}

// LoadIn is the declared size of the tasks of unfinished jobs that dc owns,
// ended ones included.
func (s *State) LoadIn(dc model.DCID) model.Resources {
	if p := s.jobs.places[dc]; p != nil {
		return p.load
	}
	return model.Resources{}
}
