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
	// stallTime is how long a run that was seen to work may make no progress
	// before it is stopped and started elsewhere.
	stallTime = 2500 * time.Millisecond
	// stallBlock keeps new tasks off a worker on which a run stood still.
	stallBlock = 3 * time.Second
	// speedGain is the weight of the newest sample in a worker's speed, and
	// queueGain that in a queue's usual speed.
	speedGain = 0.2
	queueGain = 0.02
	// speedMemory is how long a worker's speed is remembered without a sample.
	speedMemory = 4 * time.Second
	// minSpeedSamples is how many samples a worker's speed needs to count.
	minSpeedSamples = 4
	// maxLogSpeed bounds one sample.
	maxLogSpeed = 2.5
	// slowSpeed is the speed below which a worker is suspect.
	slowSpeed = 0.4
)

// speedRecord is the learnt speed of a worker: the mean logarithm of the speed
// of its tasks against the usual of their queue.
type speedRecord struct {
	log     float64
	samples int
	last    clock.Instant
}

// value returns the speed, 1 for the usual.
func (r *speedRecord) value(now clock.Instant) float64 {
	if r.samples < minSpeedSamples || now.Sub(r.last) > speedMemory {
		return 1
	}
	return math.Exp(r.log)
}

// learn takes one sample.
func (r *speedRecord) learn(log float64, now clock.Instant) {
	if now.Sub(r.last) > speedMemory {
		*r = speedRecord{}
	}
	r.samples++
	gain := max(speedGain, 1/float64(r.samples))
	r.log += gain * (log - r.log)
	r.last = now
}

// noteProgress learns from a run's percent of work, sampled at now.
func (s *Scheduler) noteProgress(se *session, k cell.TaskKey, r *run, percent int, now clock.Instant) {
	if percent == r.percent {
		return
	}
	if r.percent > 0 && percent > r.percent {
		s.noteSpeed(se, k, float64(percent-r.percent)/100, now.Sub(r.moved), now)
	}
	r.percent, r.moved = percent, now
}

// noteSpeed learns from a share of a task's work that was done in a time.
func (s *Scheduler) noteSpeed(se *session, k cell.TaskKey, share float64, took time.Duration, now clock.Instant) {
	if took <= 0 {
		return
	}
	var estimate float64
	var queue string
	s.cfg.State.Read(func() {
		if j := s.cfg.State.Jobs[k.Job]; j != nil {
			estimate, queue = float64(j.Steps[k.Step].EstimateMillis), j.Queue
		}
	})
	if estimate <= 0 {
		return
	}
	sample := math.Log(share * estimate / float64(took.Milliseconds()+1))
	usual, ok := s.usualSpeed[queue]
	if !ok {
		usual = sample
	}
	s.usualSpeed[queue] = usual + queueGain*(sample-usual)
	se.speed.learn(max(-maxLogSpeed, min(maxLogSpeed, sample-usual)), now)
}

// stopStalled stops runs that stand still on workers that answer.
func (s *Scheduler) stopStalled(ctx context.Context, se *session, now clock.Instant) {
	if now.Sub(se.heard) > holdWait+holdSlack {
		return
	}
	for k, r := range se.runs {
		if r.status != runStarted || r.stopSince != 0 || r.ending || r.percent >= finishedPercent {
			continue
		}
		if now.Sub(r.moved) < stallTime || now.Sub(r.confirmed) < stallTime || s.isService(k) {
			continue
		}
		s.cfg.Log.Info("run stands still", zap.Stringer("task", k), zap.Int64("run", r.number),
			zap.String("worker", string(se.target.ID)), zap.Int("percent", r.percent), zap.Duration("for", now.Sub(r.moved)))
		se.blockedUntil = max(se.blockedUntil, now.Add(stallBlock))
		s.stopRun(ctx, se, k, r)
	}
}

// finishedPercent is the share of work at which a task is about to end.
const finishedPercent = 99

func (s *Scheduler) isService(k cell.TaskKey) bool {
	service := false
	s.cfg.State.Read(func() {
		if j := s.cfg.State.Jobs[k.Job]; j != nil {
			service = j.Steps[k.Step].Service
		}
	})
	return service
}
