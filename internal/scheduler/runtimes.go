package scheduler

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/clock"
)

// promptReply is the longest time in which a renewal counts as answered at once. The run
// ends that such a reply lists may have happened before the renewal was sent.
const promptReply = endGatherDelay

// measureWork records in e, the end of a run that the reply to rn lists, the run time at
// nominal speed, if the run succeeded, its begin is known, and it began without a
// checkpoint.
func (s *Scheduler) measureWork(se *session, e *cell.End, r *run, rn *renewal) {
	if s.cfg.DeclaredRunTimes || e.Outcome != cell.OutcomeDone || !r.timed || r.status != runStarted {
		return
	}
	if r.workMillis == 0 {
		now := s.now()
		took := r.runTime(rn, now)
		s.cfg.State.Read(func() {
			if work := s.workOf(se, e.Task, took, now); work > 0 {
				r.workMillis = max(1, work.Milliseconds())
				s.recordWork(e.Task, work)
			}
		})
	}
	e.WorkMillis = r.workMillis
}

// workOf returns the run time at nominal speed of a run of a task, 0 for one whose run time
// tells nothing about others. The state is locked.
func (s *Scheduler) workOf(se *session, k cell.TaskKey, took time.Duration, now clock.Instant) time.Duration {
	j, step, _ := s.cfg.State.Task(k)
	if step == nil || j.Steps[k.Step].Service || j.Steps[k.Step].Filler {
		return 0
	}
	speed := s.nominalSpeed(se, now)
	if j.Steps[k.Step].Gang {
		speed = s.slowestMember(step, speed, now)
	}
	return time.Duration(float64(took) * speed)
}

// recordWork records the run time of a task at nominal speed for the other tasks of its
// step, and compares it with the estimates. The state is locked.
func (s *Scheduler) recordWork(k cell.TaskKey, work time.Duration) {
	j := s.cfg.State.Jobs[k.Job]
	if declared := j.Steps[k.Step].EstimateMillis; declared > 0 {
		predicted := s.queueTaskTime(j, k.Step)
		s.cfg.Metrics.runTimeRatio.WithLabelValues(j.Queue, "declared").Observe(float64(work.Milliseconds()) / float64(declared))
		s.cfg.Metrics.runTimeRatio.WithLabelValues(j.Queue, "predicted").Observe(work.Seconds() / predicted.Seconds())
	}
	if !j.State.Ended() {
		s.stepTimes.add(k, work)
	}
}

// runTime estimates how long a timed run took that the reply to rn, which arrived at now,
// lists as finished.
func (r *run) runTime(rn *renewal, now clock.Instant) time.Duration {
	return r.endedAt(rn, now).Sub(r.confirmedAt)
}

// endedAt estimates when a run ended that the reply to rn, which arrived at now, lists
// as finished. A worker that delays its reply answers once a run ends. If it has answered
// at once, the run ended at an unknown time since it was last known to run.
func (r *run) endedAt(rn *renewal, now clock.Instant) clock.Instant {
	if now.Sub(rn.sent) > promptReply {
		return now
	}
	running := r.lastKnownRunning()
	return running.Add(max(0, now.Sub(running)) / 2)
}

// lastKnownRunning returns when the run was last known to run.
func (r *run) lastKnownRunning() clock.Instant { return max(r.confirmedAt, r.listedAt) }

// slowestMember returns the speed of the slowest worker of a gang, at whose pace all its
// runs proceed; speed is that of one of them. The state is locked.
func (s *Scheduler) slowestMember(step *cell.StepState, speed float64, now clock.Instant) float64 {
	for i := range step.Tasks {
		if se := s.sessions[step.Tasks[i].Worker]; se != nil {
			speed = min(speed, s.nominalSpeed(se, now))
		}
	}
	return speed
}

// taskTime returns the expected run time of one task of a step of an occurrence of the
// job, on a worker of nominal speed: that of the step's ended tasks, or else that which its
// queue lets expect. The state is locked.
func (s *Scheduler) taskTime(j *cell.Job, o, step int) time.Duration {
	if took, ok := s.stepTimes.typical(cell.StepKey{Job: j.ID, Occurrence: o, Step: step}); ok {
		return took
	}
	return s.queueTaskTime(j, step)
}

// queueTaskTime returns the run time to expect from earlier tasks of the job's queue. The
// state is locked.
func (s *Scheduler) queueTaskTime(j *cell.Job, step int) time.Duration {
	spec := &j.Steps[step]
	millis := spec.EstimateMillis
	if !s.cfg.DeclaredRunTimes && !spec.Service {
		millis = s.cfg.State.RunTimes.Predict(j.Queue, millis)
	}
	return time.Duration(millis) * time.Millisecond
}

// newRunTimeRatio returns the metric of the ratios of real to estimated run times.
func newRunTimeRatio() *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "kq_cell_run_time_ratio", Help: "Run times of completed tasks at nominal speed, divided by the declared or the predicted time, by queue.",
		Buckets: prometheus.ExponentialBuckets(0.125, 1.4142135623730951, 13),
	}, []string{"queue", "estimate"})
}

// runTimeFit describes the fitted run times of a queue for the log.
type runTimeFit struct {
	Samples int64 `json:"samples"`
	// Slope is that of the logarithm of the run time on that of the declared time.
	Slope float64 `json:"slope"`
	// DeclaredMillis and PredictedMillis are a point of the line, that of the mean of
	// the samples.
	DeclaredMillis  int64 `json:"declared_ms"`
	PredictedMillis int64 `json:"predicted_ms"`
	// SpreadPercent is the typical deviation of run times from the prediction.
	SpreadPercent int64 `json:"spread_percent"`
}

// runTimeFits returns the fitted run times by queue. The state is locked.
func (s *Scheduler) runTimeFits() map[string]runTimeFit {
	out := map[string]runTimeFit{}
	for i := range s.cfg.State.RunTimes.Entries {
		e := &s.cfg.State.RunTimes.Entries[i]
		declared, predicted := e.Fit.Typical()
		out[e.Workload] = runTimeFit{e.Fit.Samples, e.Fit.SlopeValue(), declared, predicted, e.Fit.SpreadPercent()}
	}
	return out
}
