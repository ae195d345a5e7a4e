package work

import "kumquatwing/internal/model"

// WorkloadKey names a workload of a team, whose jobs are taken to be alike.
type WorkloadKey struct {
	Team     model.TeamID   `msgpack:"t"`
	Workload model.Workload `msgpack:"w"`
}

// Estimate is what was learnt of a workload's tasks.
type Estimate struct {
	Key WorkloadKey `msgpack:"k"`
	// Peak is the largest reported use of late; it decays with each run that
	// used less.
	Peak model.Resources `msgpack:"p"`
	// RunMillis is the moving average of successful run times.
	RunMillis int64 `msgpack:"r"`
	Runs      int64 `msgpack:"n"`
}

const (
	// estimateWeight is the part, one in so many, that a new run has in an average.
	estimateWeight = 4
	// maxCorrection bounds how much larger than declared a task is taken to be.
	maxCorrection = 4
)

// Estimate returns what was learnt of a workload, or nil.
func (s *State) Estimate(k WorkloadKey) *Estimate { return s.estimates[k] }

// Expected returns the room to set aside for a task of the job: its declared
// size, or up to maxCorrection times that if its workload used more of late.
func (s *State) Expected(j *Job) model.Resources {
	e := s.estimates[WorkloadKey{j.Spec.Team, j.Spec.Workload}]
	if e == nil {
		return j.Spec.Size
	}
	return j.Spec.Size.Max(e.Peak.Min(j.Spec.Size.Scale(maxCorrection)))
}

// ExpectedRunMillis returns the learnt run time of a task, or the declared one.
func (s *State) ExpectedRunMillis(j *Job) int64 {
	e := s.estimates[WorkloadKey{j.Spec.Team, j.Spec.Workload}]
	if e == nil || e.Runs == 0 {
		return j.Spec.RunMillis
	}
	return e.RunMillis
}

func (s *State) estimate(j *Job) *Estimate {
	k := WorkloadKey{j.Spec.Team, j.Spec.Workload}
	e := s.estimates[k]
	if e == nil {
		e = &Estimate{Key: k}
		s.estimates[k] = e
	}
	return e
}

// learnPeak raises the workload's peak to the run's reported use with headroom.
func (s *State) learnPeak(t *Task) {
	if t.Hold == t.job.Spec.Size && s.estimates[WorkloadKey{t.job.Spec.Team, t.job.Spec.Workload}] == nil {
		return
	}
	e := s.estimate(t.job)
	e.Peak = e.Peak.Max(t.Hold)
}

// learnEnd averages the run time and lets the peak decay.
func (s *State) learnEnd(nowMillis int64, t *Task, e *Ended) {
	if e.Outcome != model.OutcomeSucceeded || t.StartedMillis == 0 {
		return
	}
	est := s.estimate(t.job)
	ran := nowMillis - t.StartedMillis
	est.RunMillis += (ran - est.RunMillis) / min(est.Runs+1, estimateWeight)
	est.Runs++
	if t.Hold.Fits(est.Peak) {
		est.Peak = decay(est.Peak, t.Hold)
	}
}

// decay moves peak one part in estimateWeight towards used.
func decay(peak, used model.Resources) model.Resources {
	step := peak.Sub(used)
	return model.Resources{
		MilliCPU:     peak.MilliCPU - step.MilliCPU/estimateWeight,
		MemoryMB:     peak.MemoryMB - step.MemoryMB/estimateWeight,
		Accelerators: peak.Accelerators - step.Accelerators/estimateWeight,
	}
}
