package scheduler

import (
	"math"
	"slices"
	"strconv"
	"time"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/clock"
)

const (
	// settleInterval is the time between two evaluations of the collected rates. Runs of a
	// step that end within it are compared with each other in both directions.
	settleInterval = 500 * time.Millisecond
	// minPeers is the number of runs on other workers with which a run must be compared
	// for a sample.
	minPeers = 2
	// minMeasuredShare is the share of the workers of known speed that this leader must have
	// measured itself to scale the speeds. Until then those that are recorded set the scale.
	minMeasuredShare = 0.9
	// recentSlowShare is the share of its lasting speed below which a worker's recent
	// speed counts. Above it the difference may be chance.
	recentSlowShare = 0.7
)

// speedLearner compares the runs of steps on different workers. The error of the step's
// estimate and its size are the same for all of them.
type speedLearner struct {
	steps map[cell.StepKey]*stepRates
	// fresh holds the rates to evaluate.
	fresh      []newRate
	nextSettle clock.Instant
	// groups maps labels to the speed of the workers that have them, as a logarithm, and
	// others is that of workers without such a label.
	groups map[string]groupSpeed
	others float64
	// unrecorded holds the lasting speeds to record with the next run ends.
	unrecorded []cell.WorkerSpeed
	// scratch is reused by settle.
	scratch []float64
}

func newSpeedLearner() *speedLearner {
	return &speedLearner{steps: map[cell.StepKey]*stepRates{}, groups: map[string]groupSpeed{}}
}

// settleSpeeds takes samples of the new rates and updates the speeds of workers and
// groups, at most once per settleInterval.
func (s *Scheduler) settleSpeeds(now clock.Instant) {
	l := s.speeds
	if s.cfg.EqualSpeeds || now < l.nextSettle {
		return
	}
	l.nextSettle = now.Add(settleInterval)
	s.cfg.State.Read(func() {
		for id, se := range s.sessions {
			if w := s.cfg.State.Workers[id]; w != nil && w.Born == se.target.Incarnation {
				se.speed.recorded, se.labels, se.rack = w.Speed, w.Labels, rackOf(w.Labels)
			}
		}
	})
	l.fresh = slices.DeleteFunc(l.fresh, func(r newRate) bool {
		return s.takeSample(&r) || now.Sub(r.at) > stepRateMaxAge
	})
	for k, st := range l.steps {
		if now.Sub(st.last) > stepRateMaxAge {
			delete(l.steps, k)
		}
	}
	s.updateLasting()
	s.updateGroups()
	l.unrecorded = nil
	for id, se := range s.sessions {
		if v := se.speed.toRecord(); v != 0 {
			l.unrecorded = append(l.unrecorded, cell.WorkerSpeed{Incarnation: cell.Incarnation{ID: id, Born: se.target.Incarnation}, Thousandths: v})
		}
	}
}

// takeSample compares a rate with those of the other runs of its step, corrected by the
// speeds of their workers, and adds the result to the worker's speed. Rates of incarnations
// that have ended are left out. It returns false if there are not enough other runs yet.
func (s *Scheduler) takeSample(r *newRate) bool {
	l := s.speeds
	st, se := l.steps[r.task.StepKey()], s.sessions[r.worker]
	if st == nil || se == nil || se.target.Incarnation != r.born {
		return true
	}
	peers, known := l.scratch[:0], 0
	for i := range st.rates {
		o := &st.rates[i]
		if other := s.sessions[o.worker]; other != nil && other.target.Incarnation == o.born && r.comparable(o) {
			peers = append(peers, o.log-s.lastingLog(other))
			if other.speed.known() {
				known++
			}
		}
	}
	l.scratch = peers
	if len(peers) < minPeers {
		return false
	}
	w := &se.speed
	sample := r.log - median(peers)
	difference := max(-maxLogSpeed, min(maxLogSpeed, sample-s.lastingLog(se)))
	if w.known() {
		w.recent.add(difference, r.at)
	}
	if r.lasting && w.acceptsLasting(r.at) {
		w.add(speedSample{sample, 2*known < len(peers)})
	}
	s.cfg.Metrics.speedSamples.Inc()
	return true
}

// updateLasting updates the lasting speeds, and scales them so that their geometric mean
// over the workers of known speed is 1: comparisons tell ratios only.
func (s *Scheduler) updateLasting() {
	sum, n, measured := 0.0, 0, 0
	for _, se := range s.sessions {
		w := &se.speed
		if w.changed && len(w.samples) >= minLastingSamples {
			s.speeds.scratch = w.update(s.speeds.scratch)
		}
		if w.known() {
			sum += w.log()
			n++
		}
		if w.measured {
			measured++
		}
	}
	if n == 0 || float64(measured) < minMeasuredShare*float64(n) {
		return
	}
	mean := sum / float64(n)
	for _, se := range s.sessions {
		w := &se.speed
		for i := range w.samples {
			w.samples[i].log -= mean
		}
		w.lasting -= mean
	}
}

// lastingLog returns the logarithm of the worker's lasting speed, or that of its group if it
// is not known.
func (s *Scheduler) lastingLog(se *session) float64 {
	if se.speed.known() {
		return se.speed.log()
	}
	return s.groupSpeedOf(se)
}

// nominalSpeed returns the speed of a worker relative to the nominal one, by which run times
// on it are multiplied. The state is locked.
func (s *Scheduler) nominalSpeed(se *session, now clock.Instant) float64 {
	w := s.cfg.State.Workers[se.target.ID]
	if w == nil {
		return 1
	}
	speed, _ := s.expectedSpeed(se, w, now)
	return speed
}

// expectedSpeed returns the speed that tasks are expected to have on the session's worker,
// and whether the worker is much slower at present than usual. The state is locked.
func (s *Scheduler) expectedSpeed(se *session, w *cell.WorkerState, now clock.Instant) (speed float64, slowed bool) {
	if s.cfg.EqualSpeeds {
		return 1, false
	}
	if speed = float64(w.Speed) / 1000; w.Speed == 0 {
		speed = math.Exp(s.groupSpeedOf(se))
	}
	if recent := se.speed.recent.value(now); recent < recentSlowShare {
		return speed * recent, recent < suspectSpeed
	}
	return speed, false
}

// takeUnrecordedSpeeds returns the lasting speeds to record with run ends that are being
// committed. If the commit fails, the next settleSpeeds finds them unrecorded again.
func (s *Scheduler) takeUnrecordedSpeeds() []cell.WorkerSpeed {
	speeds := s.speeds.unrecorded
	s.speeds.unrecorded = nil
	s.cfg.Metrics.speedRecords.Add(float64(len(speeds)))
	return speeds
}

// speedBands are the upper limits of the bands of speed into which workers are counted.
// The last band has no limit.
var speedBands = [...]float64{0.3, 0.5, 0.7, 0.9, 1.1, 1.3}

// speedBand returns the index of the band of a speed.
func speedBand(speed float64) int {
	for i, limit := range speedBands {
		if speed < limit {
			return i
		}
	}
	return len(speedBands)
}

// setSpeedMetrics exports the number of workers in each band.
func (s *Scheduler) setSpeedMetrics(workers []int) {
	for i, n := range workers {
		below := "inf"
		if i < len(speedBands) {
			below = strconv.FormatFloat(speedBands[i], 'g', -1, 64)
		}
		s.cfg.Metrics.workersBySpeed.WithLabelValues(below).Set(float64(n))
	}
}
