package scheduler

import (
	"math"
	"slices"
	"time"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/clock"
)

const (
	// maxStepRates bounds the rates that are kept of one step, and stepRateMaxAge is how
	// long they are kept after the last one. Stragglers take several times as long as the
	// other runs of their step.
	maxStepRates   = 64
	stepRateMaxAge = 10 * time.Second
	// maxRunTimeError is the largest error of a run time, as a share of it, for the run to
	// give a sample.
	maxRunTimeError = 0.15
)

// runRate is the rate of one run.
type runRate struct {
	task   cell.TaskKey
	run    int64
	worker cell.WorkerID
	// born is the incarnation of the worker.
	born int64
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
		task: k, run: r.number, worker: se.target.ID, born: se.target.Incarnation, whole: whole,
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

// recordRunTime notes the run time of a run that a reply to rn lists as done, the first time
// that one does: an end that could not be recorded is listed again later. Resumed runs have
// done only a part of their task, and the begin of inherited ones is not known.
func (s *Scheduler) recordRunTime(se *session, k cell.TaskKey, r *run, rn *renewal, now clock.Instant) {
	if r.doneListed {
		return
	}
	r.doneListed = true
	if !r.timed || r.status != runStarted || r.stopRequestedAt != 0 {
		return
	}
	took, uncertain := r.runTime(rn, now), time.Duration(0)
	if rn.order.Wait == 0 || now.Sub(rn.sent) <= promptReply {
		uncertain = now.Sub(r.lastKnownRunning()) / 2
	}
	if float64(uncertain) <= maxRunTimeError*float64(took) {
		s.recordRate(se, k, r, 1, took, true, now)
	}
}
