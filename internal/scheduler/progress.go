package scheduler

import (
	"context"
	"math"
	"time"

	"go.uber.org/zap"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/clock"
)

const (
	// stallTimeout is how long a confirmed run may make no progress before it is
	// stopped, to be placed again.
	stallTimeout = 2500 * time.Millisecond
	// stallBackoff is how long no new tasks are placed on a worker on which a run
	// stalled.
	stallBackoff = 3 * time.Second
	// workerSpeedWeight is the weight of the newest sample in the moving
	// average of a worker's recent speed.
	workerSpeedWeight = 0.2
	// speedSampleMaxAge is how long a worker's speed estimate stays in use
	// without a new sample.
	speedSampleMaxAge = 4 * time.Second
	// minSpeedSamples is how many samples a worker's speed estimate needs
	// before it is used.
	minSpeedSamples = 4
	// maxLogSpeed bounds the absolute value of one sample, a natural logarithm.
	maxLogSpeed = 2.5
	// suspectSpeed is the share of its own lasting speed below which a worker is suspect.
	suspectSpeed = 0.4
)

// speedEstimate estimates the recent speed of a worker relative to its lasting speed, as
// a moving average of the logarithm.
type speedEstimate struct {
	meanLog    float64
	samples    int
	lastSample clock.Instant
}

// value returns the relative speed; 1 is the lasting speed. It is also 1 while there are
// too few or too old samples.
func (e *speedEstimate) value(now clock.Instant) float64 {
	if e.samples < minSpeedSamples || now.Sub(e.lastSample) > speedSampleMaxAge {
		return 1
	}
	return math.Exp(e.meanLog)
}

// add adds a sample. Samples from before a gap of speedSampleMaxAge are dropped.
func (e *speedEstimate) add(logSpeed float64, now clock.Instant) {
	if now.Sub(e.lastSample) > speedSampleMaxAge {
		*e = speedEstimate{}
	}
	e.samples++
	weight := max(workerSpeedWeight, 1/float64(e.samples))
	e.meanLog += weight * (logSpeed - e.meanLog)
	e.lastSample = now
}

// recordProgress records a run's percentage of work done as reported at now, and
// notes the rate of the run from the change.
func (s *Scheduler) recordProgress(se *session, k cell.TaskKey, r *run, percent int, now clock.Instant) {
	if percent == r.percent {
		return
	}
	if r.percent > 0 && percent > r.percent {
		s.recordRate(se, k, r, float64(percent-r.percent)/100, now.Sub(r.lastProgress), false, now)
	}
	r.percent, r.lastProgress = percent, now
}

// stopStalled stops the runs of a worker that make no progress by the worker's own
// account: a reply lists them as running, without progress since an earlier one. While
// the worker does not reply, nothing is known of its runs, and none is stopped; nor is
// one that the first reply after that lists among those that have ended. No new tasks are
// placed for stallBackoff on a worker on which a run stalled by itself.
func (s *Scheduler) stopStalled(ctx context.Context, se *session, now clock.Instant) {
	for k, r := range se.runs {
		if r.status != runStarted || r.stopRequestedAt != 0 || r.ending || r.percent >= nearlyDonePercent {
			continue
		}
		if r.listedAt.Sub(r.lastProgress) < stallTimeout || r.listedAt.Sub(r.confirmedAt) < stallTimeout || s.isService(k) {
			continue
		}
		s.cfg.Log.Info("run makes no progress, stopping it", zap.Stringer("task", k), zap.Int64("run", r.number),
			zap.String("worker", string(se.target.ID)), zap.Int("percent", r.percent), zap.Duration("for", now.Sub(r.lastProgress)))
		if !s.waitsForSilentMember(k, r.lastProgress) {
			se.blockedUntil = max(se.blockedUntil, now.Add(stallBackoff))
		}
		s.requestStop(ctx, se, k, r, causeStalled)
	}
}

// waitsForSilentMember reports whether a task belongs to a gang of which another member's
// worker has not replied since an instant. The members proceed at the pace of the slowest,
// so that this worker is at fault if none has made progress since then.
func (s *Scheduler) waitsForSilentMember(k cell.TaskKey, since clock.Instant) bool {
	silent := false
	s.cfg.State.Read(func() {
		j, step, _ := s.cfg.State.Task(k)
		if step == nil || !j.Steps[k.Step].Gang {
			return
		}
		for i := range step.Tasks {
			t := &step.Tasks[i]
			if i == k.Index || t.Status != cell.TaskPlaced {
				continue
			}
			if se := s.sessions[t.Worker]; se == nil || se.lastReply < since {
				silent = true
			}
		}
	})
	return silent
}

// nearlyDonePercent is the percentage of work from which on a run counts as about
// to end and is not checked for progress.
const nearlyDonePercent = 99

func (s *Scheduler) isService(k cell.TaskKey) bool {
	service := false
	s.cfg.State.Read(func() {
		if j := s.cfg.State.Jobs[k.Job]; j != nil {
			service = j.Steps[k.Step].Service
		}
	})
	return service
}
