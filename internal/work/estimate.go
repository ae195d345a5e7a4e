package work

import (
	"kumquatwing/internal/model"
	"kumquatwing/internal/placement/estimate"
)

// CorrectedEstimate returns the size and run time to plan a job's tasks with: the
// declared values, corrected by earlier tasks of the same workload. workers are the
// sizes of the existing workers.
func (s *State) CorrectedEstimate(j *Job, workers []model.Resources) estimate.Correction {
	return s.estimates.Correct(workloadKey(j), j.Spec.Size, j.Spec.RunMillis, workers)
}

// workloadKey returns the key under which a job's samples are kept.
func workloadKey(j *Job) estimate.Key {
	return estimate.Key{Workspace: j.Spec.Workspace, Workload: j.Spec.Workload}
}

// recordSample adds the usage and run time of a successful run to the estimates.
func (s *State) recordSample(nowMillis int64, t *Task, e *Ended) {
	if e.Outcome != model.OutcomeSucceeded || t.StartedMillis == 0 {
		return
	}
	s.estimates.Add(workloadKey(t.job), estimate.Sample{
		Declared:       t.job.Spec.Size,
		DeclaredMillis: t.job.Spec.RunMillis,
		Peak:           t.Peak,
		RanMillis:      t.ResumedFromMillis + nowMillis - t.StartedMillis,
	})
}
