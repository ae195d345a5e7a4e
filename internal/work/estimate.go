package work

import (
	"kumquatwing/internal/model"
	"kumquatwing/internal/placement/estimate"
)

// Expected is what to plan a job's tasks with, given the sizes of the workers:
// the declaration as corrected by what its workload took so far.
func (s *State) Expected(j *Job, workers []model.Resources) estimate.Correction {
	return s.estimates.Correct(workloadOf(j), j.Spec.Size, j.Spec.RunMillis, workers)
}

func workloadOf(j *Job) estimate.Key {
	return estimate.Key{Workspace: j.Spec.Workspace, Workload: j.Spec.Workload}
}

// learn takes in what a run used that ended with success.
func (s *State) learn(nowMillis int64, t *Task, e *Ended) {
	if e.Outcome != model.OutcomeSucceeded || t.StartedMillis == 0 {
		return
	}
	s.estimates.Add(workloadOf(t.job), estimate.Sample{
		Declared:       t.job.Spec.Size,
		DeclaredMillis: t.job.Spec.RunMillis,
		Peak:           t.Peak,
		RanMillis:      t.FromMillis + nowMillis - t.StartedMillis,
	})
}
