package fleet

import (
	"cmp"
	"slices"
	"time"

	"kumquatwing/internal/model"
	"kumquatwing/internal/verdict"
)

// submitRetryDelay is how long callers are told to wait before they retry a
// submission that was refused for a condition that may pass.
const submitRetryDelay = time.Second

// AssignOwners returns an owner for each task of spec, a data centre that is in service
// and allowed by the spec. It does not change the state. All tasks of a gang go to the least loaded data centre, the
// tasks of a service are distributed round-robin, and each task of another job
// goes to the least loaded data centre, with the tasks before it counted. Load is
// the declared size of unfinished jobs; the free capacity is not considered.
func (s *State) AssignOwners(spec *model.JobSpec) ([]model.DCID, *verdict.Refusal) {
	candidates := s.usableDataCentres(spec.DataCentres)
	if len(candidates) == 0 {
		return nil, verdict.Refuse(verdict.ReasonDataCentreOut, "no allowed data centre is in").WithRetryAfter(submitRetryDelay)
	}
	loads := make([]model.Resources, len(candidates))
	for i, dc := range candidates {
		loads[i] = s.LoadIn(dc)
	}
	owners := make([]model.DCID, max(0, min(spec.Tasks, MaxTasks)))
	for i := range owners {
		at := leastLoaded(loads)
		if spec.Class == model.ClassService {
			at = i % len(candidates)
		}
		if spec.Class != model.ClassGang {
			loads[at] = loads[at].Add(spec.Size)
		}
		owners[i] = candidates[at]
	}
	return owners, nil
}

// usableDataCentres returns the data centres that are in service and among allowed;
// an empty allowed permits all.
func (s *State) usableDataCentres(allowed []model.DCID) []model.DCID {
	var usable []model.DCID
	for _, dc := range s.DataCentres() {
		if !dc.Out && (len(allowed) == 0 || slices.Contains(allowed, dc.ID)) {
			usable = append(usable, dc.ID)
		}
	}
	return usable
}

// leastLoaded returns the index of the smallest load, compared by CPU, then by
// memory; the first of equal ones.
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

// LoadIn returns the total declared size of the tasks of unfinished jobs that dc
// owns, ended tasks included.
func (s *State) LoadIn(dc model.DCID) model.Resources {
	if d := s.jobs.byDC[dc]; d != nil {
		return d.load
	}
	return model.Resources{}
}
