package scheduler

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/cell/plan"
	"kumquatwing/internal/clock"
)

const (
	// adviserTimeout is how long after its last hello an adviser still counts as
	// alive.
	adviserTimeout = 3 * time.Second
	// adviceCallMargin is added to the expected duration of an advice request to
	// get its timeout. It doubles with each request for the step that failed, at most
	// maxMarginDoublings times.
	adviceCallMargin   = 300 * time.Millisecond
	maxMarginDoublings = 3
	// ticketExpiryMargin is subtracted from a ticket's validity, so that the
	// ticket is still valid when a start that carries it reaches the worker.
	ticketExpiryMargin = 200 * time.Millisecond
	// eligibleShareWeight is the weight of the newest answer in the moving
	// average of a queue's eligible share.
	eligibleShareWeight = 0.1
)

// adviserState tracks a process that can request advice from the placement
// policy.
type adviserState struct {
	adviser   Adviser
	lastHello clock.Instant
	busy      bool
	// lastUsed is when the adviser was last given a request, and failed says that it
	// gave no answer to it.
	lastUsed clock.Instant
	failed   bool
}

// SetAdviser registers the process at addr as one that can request advice from
// the placement policy. Each further call renews the registration.
func (s *Scheduler) SetAdviser(ctx context.Context, addr string, a Adviser) {
	s.enqueue(ctx, func() {
		st := s.advisers[addr]
		if st == nil {
			st = &adviserState{adviser: a}
			s.advisers[addr] = st
		}
		st.lastHello = s.now()
	})
}

// countAdvisers returns how many advisers are alive and idle, and how many are
// alive in all.
func (s *Scheduler) countAdvisers(now clock.Instant) (idle, all int) {
	for _, a := range s.advisers {
		if a.alive(now) {
			all++
		}
		if a.idle(now) {
			idle++
		}
	}
	return idle, all
}

// alive reports whether the adviser has sent a hello within adviserTimeout and, if a
// request to it failed, since it was given that request.
func (a *adviserState) alive(now clock.Instant) bool {
	if a.failed && a.lastHello <= a.lastUsed {
		return false
	}
	return now.Sub(a.lastHello) < adviserTimeout
}

// idle reports whether the adviser is alive and has no call in progress.
func (a *adviserState) idle(now clock.Instant) bool { return !a.busy && a.alive(now) }

// nextAdviser returns the least recently used idle adviser, or nil.
func (s *Scheduler) nextAdviser(now clock.Instant) *adviserState {
	var best *adviserState
	for _, a := range s.advisers {
		if a.idle(now) && (best == nil || a.lastUsed < best.lastUsed) {
			best = a
		}
	}
	return best
}

// adviceFor returns the policy's answers for a step so far. It creates an empty
// record for a step that has none.
func (s *Scheduler) adviceFor(k cell.StepKey) *plan.StepAdvice {
	a := s.advice[k]
	if a == nil {
		a = &plan.StepAdvice{Eligible: map[cell.WorkerID]plan.Ticket{}, Evaluated: map[cell.WorkerID]bool{}}
		s.advice[k] = a
	}
	return a
}

// expireTicket returns the ticket without its validity: the worker stays listed
// as eligible for the step, but the ticket is not used for a start.
func expireTicket(t plan.Ticket) plan.Ticket { return plan.Ticket{Token: t.Token} }

// requestAdvice sends an advice request to the placement policy through an idle
// adviser, or drops the request if there is none.
func (s *Scheduler) requestAdvice(ctx context.Context, r *plan.AdviceRequest) {
	now := s.now()
	st := s.advice[r.Key]
	a := s.nextAdviser(now)
	if a == nil || st == nil {
		if st != nil {
			st.InFlight--
		}
		return
	}
	a.busy, a.lastUsed = true, now
	limit := adviceCallMargin<<min(st.Failed, maxMarginDoublings) + s.expectedAdviceTime(r)
	key, queue, workers := r.Key, r.Queue, r.Workers
	s.cfg.Metrics.adviceRequests.WithLabelValues(queue).Inc()
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		advice, err := a.adviser.Advise(callCtx, key, workers)
		s.post(ctx, func() {
			a.busy, a.failed, s.dirty = false, err != nil, true
			st.InFlight--
			if err != nil {
				st.Failed++
				s.cfg.Log.Info("advice request to the placement policy failed", zap.Stringer("step", key), zap.Error(err))
				return
			}
			st.Failed = 0
			s.onAdvice(st, queue, workers, advice)
		})
	}()
}

// expectedAdviceTime returns how long the policy takes to answer a request,
// according to the settings of its queue.
func (s *Scheduler) expectedAdviceTime(r *plan.AdviceRequest) time.Duration {
	var millis float64
	s.cfg.State.Read(func() {
		if queue := s.cfg.State.Config.Queue(r.Queue); queue != nil && queue.Advice != nil {
			millis = queue.Advice.DecideMillis + queue.Advice.PerWorkerMillis*float64(len(r.Workers))
		}
	})
	return time.Duration(millis) * time.Millisecond
}

// onAdvice records the policy's answer to a request about the given workers.
func (s *Scheduler) onAdvice(st *plan.StepAdvice, queue string, workers []cell.WorkerID, a *Advice) {
	until := s.now().Add(a.Valid - ticketExpiryMargin)
	evaluated, eligible := 0, 0
	for _, w := range workers {
		token, ok := a.Tickets[w]
		if !st.Evaluated[w] {
			evaluated++
			if ok {
				eligible++
			}
		}
		st.Evaluated[w] = true
		if ok {
			st.SetEligible(w, plan.Ticket{Token: token, ExpiresAt: until})
		} else {
			st.SetIneligible(w)
		}
	}
	if evaluated > 0 {
		s.updateEligibleShare(queue, float64(eligible)/float64(evaluated))
	}
}

// updateEligibleShare adds a sample to the moving average of the share of
// workers that the policy of a queue lets run a step.
func (s *Scheduler) updateEligibleShare(queue string, share float64) {
	old, ok := s.eligibleShare[queue]
	if !ok {
		s.eligibleShare[queue] = share
		return
	}
	s.eligibleShare[queue] = old + eligibleShareWeight*(share-old)
}

// failureHistory tracks the consecutive failures of a worker, to tell whether
// the worker is suspect.
type failureHistory struct {
	// jobs lists the distinct jobs with a run that failed on the worker since its
	// last success, newest last.
	jobs         []cell.JobID
	suspectUntil clock.Instant
}

const (
	// suspectThreshold is how many distinct jobs must fail on a worker, with no
	// success in between, before the worker is suspect. A gang is enough by itself: if
	// it were started on the worker again and failed, the work of all its members would
	// be lost once more.
	suspectThreshold     = 2
	gangSuspectThreshold = 1
	// suspectDuration is how long a worker stays suspect after its last failure.
	suspectDuration = 4 * time.Second
)

// recordFailure records a failed run of a job. The worker is suspect if as many jobs as
// the threshold have failed.
func (f *failureHistory) recordFailure(job cell.JobID, threshold int, now clock.Instant) {
	if !slices.Contains(f.jobs, job) {
		f.jobs = append(f.jobs, job)
	}
	if len(f.jobs) >= threshold {
		f.suspectUntil = now.Add(suspectDuration)
	}
}

// reset clears the history, after a run has succeeded.
func (f *failureHistory) reset() { f.jobs, f.suspectUntil = nil, 0 }

// suspect reports whether the worker is suspect at now.
func (f *failureHistory) suspect(now clock.Instant) bool { return now < f.suspectUntil }

// recordOutcome updates the failure history of a worker with the outcome of a
// run.
func (s *Scheduler) recordOutcome(se *session, f *FinishedTask) {
	switch f.Outcome {
	case cell.OutcomeDone:
		se.failures.reset()
	case cell.OutcomeFailed:
		threshold := suspectThreshold
		if s.isGangTask(f.Task) {
			threshold = gangSuspectThreshold
		}
		se.failures.recordFailure(f.Task.Job, threshold, s.now())
	}
}
