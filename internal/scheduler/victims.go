package scheduler

import (
	"time"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/cell/plan"
	"kumquatwing/internal/clock"
)

// victimCache holds what was computed for the victims of one snapshot, many of which belong
// to the same step.
type victimCache struct {
	paces     paceCache
	taskTimes map[cell.StepKey]time.Duration
}

func newVictimCache() victimCache {
	return victimCache{paceCache{}, map[cell.StepKey]time.Duration{}}
}

// cachedTaskTime is taskTime for a step of job j. The state is locked.
func (s *Scheduler) cachedTaskTime(cache victimCache, k cell.StepKey, j *cell.Job) time.Duration {
	took, ok := cache.taskTimes[k]
	if !ok {
		took = s.taskTime(j, k.Occurrence, k.Step)
		cache.taskTimes[k] = took
	}
	return took
}

// addVictims adds to pw the capacity of the runs that are being stopped or are about to
// end, and the runs that may be preempted. A run that ends as soon as it could be stopped
// is none of these: a stop would free its capacity no sooner. The state is locked.
func (s *Scheduler) addVictims(pw *plan.Worker, se *session, w *cell.WorkerState, cache victimCache, now clock.Instant) {
	for k, a := range w.Allocations {
		r := se.runs[k]
		j := s.cfg.State.Jobs[k.Job]
		if r == nil || j == nil || a.Filler {
			continue
		}
		if r.stopRequestedAt != 0 {
			pw.Releasing = pw.Releasing.Add(a.Need)
			continue
		}
		step := &j.Steps[k.Step]
		q := s.cfg.State.QueueOf(j)
		if r.status != runStarted || step.Gang || step.Service || q == nil {
			continue
		}
		if r.isAboutToEnd(now, s.cfg.Bounds.StopTimeout) {
			pw.Releasing = pw.Releasing.Add(a.Need)
			continue
		}
		pace := s.paceOf(cache.paces, k, j, q)
		if pw.Victims == nil {
			pw.Victims = make([]plan.Victim, 0, len(w.Allocations))
		}
		pw.Victims = append(pw.Victims, plan.Victim{
			Task: k, Run: r.number, Need: a.Need, Priority: q.Priority,
			LostWork:    s.preemptionCost(step, r, s.cachedTaskTime(cache, k.StepKey(), j), now),
			LatestStart: pace.latestStart, Objective: pace.objective,
		})
	}
}

// preemptionCost returns the work that stopping a run discards, in
// core-milliseconds. A task with checkpoints saves one when it is stopped, so
// that its cost is the time to restore the checkpoint. A run that an earlier leader started
// has worked for longer than this one knows: at least for the listed share of the expected
// time.
func (s *Scheduler) preemptionCost(step *cell.Step, r *run, expected time.Duration, now clock.Instant) float64 {
	lost := s.cfg.Bounds.RestoreTime
	if !step.Checkpoints {
		lost = max(now.Sub(r.confirmedAt), expected*time.Duration(r.percent)/100)
	}
	return float64(lost.Milliseconds()) * float64(step.Need.MilliCPU) / 1000
}
