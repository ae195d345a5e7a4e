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
	// maxStepRates bounds the rates that are kept of one step, and stepRateMaxAge is how
	// long they are kept after the last one. Stragglers take several times as long as the
	// other runs of their step.
	maxStepRates   = 64
	stepRateMaxAge = 10 * time.Second
	// lastingSamples is the number of newest samples whose median is a worker's lasting
	// speed, and minLastingSamples the number from which on the speed is known. With
	// minLastingSamples, one straggler among 30 runs leaves the median unaffected.
	lastingSamples    = 31
	minLastingSamples = 6
	// lastingAfter is how long a worker must run at less than suspectSpeed of its lasting
	// speed, or at more than the inverse, until that is its lasting speed.
	lastingAfter = 15 * time.Second
	// minMeasuredShare is the share of the workers of known speed that this leader must have
	// measured itself to scale the speeds. Until then those that are recorded set the scale.
	minMeasuredShare = 0.9
	// lastingSpeedStep is the factor by which a lasting speed must change to be recorded
	// again.
	lastingSpeedStep = 1.05
	// significantErrors is the number of standard errors by which a speed must differ from
	// the recorded one to be recorded again.
	significantErrors = 3
	// recentSlowShare is the share of its lasting speed below which a worker's recent
	// speed counts. Above it the difference may be chance.
	recentSlowShare = 0.7
	// minGroupWorkers is the number of workers of known speed that a group needs, and
	// maxGroupSpread the largest ratio between the 90 % and the 10 % quantiles of their
	// speeds, for the group to tell the speed of its other workers.
	minGroupWorkers = 3
	maxGroupSpread  = 1.25
	// maxRunTimeError is the largest error of a run time, as a share of it, for the run to
	// give a sample.
	maxRunTimeError = 0.15
)

// runRate is the rate of one run.
type runRate struct {
	task   cell.TaskKey
	run    int64
	worker cell.WorkerID
	// log is the natural logarithm of the share of the task's work that the run does in a
	// second.
	log float64
	// whole says that the rate is that of a whole run and not of a part. Both are not
	// compared with each other, since only the whole includes the start and the end.
	whole bool
	// nearData says that the worker is in the rack of the step's data.
	nearData bool
}

// comparable reports whether two rates differ only by their tasks and workers.
func (r *runRate) comparable(o *runRate) bool {
	return r.whole == o.whole && r.nearData == o.nearData && r.worker != o.worker
}

// stepRates holds the newest rates of the runs of one step.
type stepRates struct {
	// measured says that the runs give samples: not those of gangs, which proceed at the
	// pace of their slowest member, of services, nor of fillers.
	measured bool
	dataRack string
	rates    []runRate
	// next is the index in rates that the next rate takes once there are maxStepRates.
	next int
	last clock.Instant
}

// put stores the rate in place of an earlier one of the run.
func (st *stepRates) put(r runRate) {
	i := slices.IndexFunc(st.rates, func(o runRate) bool { return o.task == r.task && o.run == r.run })
	switch {
	case i >= 0:
		st.rates[i] = r
	case len(st.rates) < maxStepRates:
		st.rates = append(st.rates, r)
	default:
		st.rates[st.next] = r
		st.next = (st.next + 1) % maxStepRates
	}
}

// newRate is a rate that no sample was taken of yet.
type newRate struct {
	runRate
	// lasting says that the rate counts for the lasting speed. Each run counts once.
	lasting bool
	at      clock.Instant
}

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

// groupSpeed is the speed of a group of workers.
type groupSpeed struct {
	log     float64
	workers int
}

func newSpeedLearner() *speedLearner {
	return &speedLearner{steps: map[cell.StepKey]*stepRates{}, groups: map[string]groupSpeed{}}
}

// speedSample is one sample of the logarithm of a worker's speed.
type speedSample struct {
	log float64
	// rough says that it was taken in comparison with workers most of whose speeds were not
	// known. Rough samples are dropped once there are minLastingSamples others.
	rough bool
}

// workerSpeed is what the leader knows about the speed of a worker's incarnation.
type workerSpeed struct {
	// recorded is the lasting speed in the replicated state, in thousandths, 0 if there is
	// none.
	recorded int64
	// samples holds the newest samples, and next the index that the next one takes once
	// there are lastingSamples.
	samples []speedSample
	next    int
	// lasting is the logarithm of the lasting speed, and stdError its standard error; both
	// are valid if the lasting speed is known by samples of this leader.
	lasting, stdError float64
	changed           bool
	// recent estimates how the speed differs from the lasting one at present.
	recent speedEstimate
	// differsSince is since when recent differs much from the lasting speed, 0 if it does
	// not.
	differsSince clock.Instant
	// relearning says that the samples from before a lasting change were dropped and there
	// are not enough new ones yet.
	relearning bool
}

// measured reports whether this leader has enough samples of its own.
func (w *workerSpeed) measured() bool { return len(w.samples) >= minLastingSamples }

// known reports whether the worker's own lasting speed is known.
func (w *workerSpeed) known() bool { return w.measured() || w.recorded != 0 }

// log returns the logarithm of the lasting speed of a worker for which known is true.
func (w *workerSpeed) log() float64 {
	if w.measured() {
		return w.lasting
	}
	return math.Log(float64(w.recorded) / 1000)
}

// add adds a sample to the lasting speed.
func (w *workerSpeed) add(sample speedSample) {
	w.changed = true
	if len(w.samples) < lastingSamples {
		w.samples = append(w.samples, sample)
	} else {
		w.samples[w.next] = sample
		w.next = (w.next + 1) % lastingSamples
	}
	if sample.rough {
		return
	}
	rough := 0
	for _, o := range w.samples {
		if o.rough {
			rough++
		}
	}
	if rough > 0 && len(w.samples)-rough >= minLastingSamples {
		w.samples = slices.DeleteFunc(w.samples, func(o speedSample) bool { return o.rough })
		w.next = 0
	}
}

// update computes the lasting speed from the samples.
func (w *workerSpeed) update(scratch []float64) []float64 {
	w.changed = false
	scratch = scratch[:0]
	for _, o := range w.samples {
		scratch = append(scratch, o.log)
	}
	w.lasting = median(scratch)
	if w.relearning {
		w.relearning, w.recent = false, speedEstimate{}
	}
	for i := range scratch {
		scratch[i] = math.Abs(scratch[i] - w.lasting)
	}
	// 1.4826 times the median deviation estimates the standard deviation, and 1.2533 is
	// the ratio of the standard error of a median to that of a mean, for normally
	// distributed values.
	w.stdError = 1.2533 * 1.4826 * median(scratch) / math.Sqrt(float64(len(scratch)))
	return scratch
}

// toRecord returns the lasting speed to record, in thousandths; 0 if the recorded one is
// still good.
func (w *workerSpeed) toRecord() int64 {
	if !w.measured() {
		return 0
	}
	if w.recorded != 0 {
		change := math.Abs(w.lasting - math.Log(float64(w.recorded)/1000))
		if change < max(math.Log(lastingSpeedStep), significantErrors*w.stdError) {
			return 0
		}
	}
	return max(1, int64(math.Round(1000*math.Exp(w.lasting))))
}

// median returns the median of values, which it sorts, 0 for none.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	m := len(values) / 2
	if len(values)%2 == 1 {
		return values[m]
	}
	return (values[m-1] + values[m]) / 2
}

// recordRate notes that a run has done a share of its task's work within took.
func (s *Scheduler) recordRate(se *session, k cell.TaskKey, r *run, share float64, took time.Duration, whole bool, now clock.Instant) {
	if s.cfg.EqualSpeeds || took <= 0 || share <= 0 {
		return
	}
	st := s.stepRatesOf(k.StepKey())
	if !st.measured {
		return
	}
	rate := runRate{
		task: k, run: r.number, worker: se.target.ID, whole: whole,
		log:      math.Log(share / max(took.Seconds(), 0.001)),
		nearData: st.dataRack != "" && se.rack == st.dataRack,
	}
	st.last = now
	st.put(rate)
	lasting := whole || share >= minLastingShare
	s.speeds.fresh = append(s.speeds.fresh, newRate{rate, lasting && !r.speedCounted, now})
	r.speedCounted = r.speedCounted || lasting
}

// minLastingShare is the share of a task's work from which on the progress of a run that
// goes on counts for the lasting speed of its worker.
const minLastingShare = 0.2

// stepRatesOf returns the rates of a step.
func (s *Scheduler) stepRatesOf(k cell.StepKey) *stepRates {
	st := s.speeds.steps[k]
	if st != nil {
		return st
	}
	st = &stepRates{last: s.now()}
	s.cfg.State.Read(func() {
		if j := s.cfg.State.Jobs[k.Job]; j != nil && k.Step < len(j.Steps) {
			step := &j.Steps[k.Step]
			st.measured = !step.Gang && !step.Service && !step.Filler && step.Count > minPeers
			st.dataRack = step.DataRack
		}
	})
	s.speeds.steps[k] = st
	return st
}

// recordRunTime notes the run time of a run that a reply to rn lists as done. Resumed runs
// have done only a part of their task, and the begin of inherited ones is not known.
func (s *Scheduler) recordRunTime(se *session, k cell.TaskKey, r *run, rn *renewal, now clock.Instant) {
	if !r.timed || r.status != runStarted || r.stopRequestedAt != 0 {
		return
	}
	took, uncertain := r.endedAt(rn, now).Sub(r.confirmedAt), time.Duration(0)
	if rn.order.Wait == 0 || now.Sub(rn.sent) <= promptReply {
		uncertain = now.Sub(r.lastKnownRunning()) / 2
	}
	if float64(uncertain) <= maxRunTimeError*float64(took) {
		s.recordRate(se, k, r, 1, took, true, now)
	}
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
// speeds of their workers, and adds the result to the worker's speed. It returns false if
// there are not enough other runs yet.
func (s *Scheduler) takeSample(r *newRate) bool {
	l := s.speeds
	st, se := l.steps[r.task.StepKey()], s.sessions[r.worker]
	if st == nil || se == nil {
		return true
	}
	peers, known := l.scratch[:0], 0
	for i := range st.rates {
		o := &st.rates[i]
		if other := s.sessions[o.worker]; other != nil && r.comparable(o) {
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

// acceptsLasting reports whether a sample counts for the lasting speed. While a worker
// differs much from its lasting speed it does not, until that has gone on for lastingAfter;
// then the samples of before are dropped.
func (w *workerSpeed) acceptsLasting(now clock.Instant) bool {
	recent := w.recent.value(now)
	if w.relearning || (recent > suspectSpeed && recent < 1/suspectSpeed) {
		w.differsSince = 0
		return true
	}
	if w.differsSince == 0 {
		w.differsSince = now
	}
	if now.Sub(w.differsSince) < lastingAfter {
		return false
	}
	w.samples, w.next, w.differsSince, w.relearning = nil, 0, 0, true
	return true
}

// updateLasting updates the lasting speeds, and scales them so that their geometric mean
// over the workers of known speed is 1: comparisons tell ratios only.
func (s *Scheduler) updateLasting() {
	sum, n, measured := 0.0, 0, 0
	for _, se := range s.sessions {
		w := &se.speed
		if w.changed && w.measured() {
			s.speeds.scratch = w.update(s.speeds.scratch)
		}
		if w.known() {
			sum += w.log()
			n++
		}
		if w.measured() {
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

// updateGroups computes the speeds of groups: of the workers with the same label, such as
// a rack or a kind, and of all.
func (s *Scheduler) updateGroups() {
	byLabel := map[string][]float64{}
	var all []float64
	for _, se := range s.sessions {
		if !se.speed.known() {
			continue
		}
		log := se.speed.log()
		if se.speed.recorded != 0 {
			// As for the workers themselves in expectedSpeed.
			log = math.Log(float64(se.speed.recorded) / 1000)
		}
		all = append(all, log)
		for _, label := range se.labels {
			byLabel[label] = append(byLabel[label], log)
		}
	}
	s.speeds.others = 0
	if len(all) >= minGroupWorkers {
		s.speeds.others = median(all)
	}
	clear(s.speeds.groups)
	for label, logs := range byLabel {
		if len(logs) < minGroupWorkers {
			continue
		}
		middle := median(logs)
		low, high := logs[len(logs)/10], logs[len(logs)-1-len(logs)/10]
		if high-low <= math.Log(maxGroupSpread) {
			s.speeds.groups[label] = groupSpeed{middle, len(logs)}
		}
	}
}

// groupSpeedOf returns the logarithm of the speed of the worker's group: the largest group
// of equal workers of which it has the label, or else all workers.
func (s *Scheduler) groupSpeedOf(se *session) float64 {
	best := groupSpeed{log: s.speeds.others}
	for _, label := range se.labels {
		if g := s.speeds.groups[label]; g.workers > best.workers {
			best = g
		}
	}
	return best.log
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
