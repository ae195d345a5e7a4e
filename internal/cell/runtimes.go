package cell

// runTimeSamplesPerStep is how many tasks of a step give a sample of its queue's run
// times. All tasks of a step have the same declared time, whose error they share, so that
// further ones tell little, and a job with many tasks must not outweigh the others. The
// tasks with the lowest indexes are taken rather than the first to end, since the first
// to end are the fastest.
const runTimeSamplesPerStep = 1

// recordRunTime adds the run time of a successful run to the samples of its queue. It is
// called before the task is marked as done, so that a gang gives one sample, that of the
// first of its runs to end.
func (s *State) recordRunTime(j *Job, k TaskKey, workMillis int64) {
	spec := &j.Steps[k.Step]
	if workMillis <= 0 || spec.Service || (!spec.Gang && k.Index >= runTimeSamplesPerStep) {
		return
	}
	s.RunTimes.Add(j.Queue, spec.EstimateMillis, workMillis)
}
