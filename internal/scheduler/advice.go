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
	// adviserSilence is how long after its last contact an adviser is used.
	adviserSilence = 3 * time.Second
	// adviceSlack is how long a call may take beyond its stated time.
	adviceSlack = time.Second
	// ticketMargin is taken off a ticket's life for the way to the worker.
	ticketMargin = 200 * time.Millisecond
	// goodShareGain is the weight of the newest answer in a queue's share.
	goodShareGain = 0.1
)

// adviserState is a process that can ask the placement policy.
type adviserState struct {
	adviser Adviser
	heard   clock.Instant
	busy    bool
	// used is when it was last given a call.
	used clock.Instant
}

// SetAdviser notes that a process named addr is there to ask the placement
// policy.
func (s *Scheduler) SetAdviser(ctx context.Context, addr string, a Adviser) {
	s.post(ctx, func() {
		st := s.advisers[addr]
		if st == nil {
			st = &adviserState{adviser: a}
			s.advisers[addr] = st
		}
		st.heard = s.now()
	})
}

// countAdvisers returns how many advisers are idle, and how many there are.
func (s *Scheduler) countAdvisers(now clock.Instant) (idle, all int) {
	for _, a := range s.advisers {
		if a.present(now) {
			all++
		}
		if a.idle(now) {
			idle++
		}
	}
	return idle, all
}

func (a *adviserState) present(now clock.Instant) bool { return now.Sub(a.heard) < adviserSilence }

func (a *adviserState) idle(now clock.Instant) bool { return !a.busy && a.present(now) }

// nextAdviser returns the idle adviser that rested longest.
func (s *Scheduler) nextAdviser(now clock.Instant) *adviserState {
	var best *adviserState
	for _, a := range s.advisers {
		if a.idle(now) && (best == nil || a.used < best.used) {
			best = a
		}
	}
	return best
}

// adviceFor returns what the policy has said of a step so far.
func (s *Scheduler) adviceFor(k cell.StepKey) *plan.StepAdvice {
	a := s.advice[k]
	if a == nil {
		a = &plan.StepAdvice{Good: map[cell.WorkerID]plan.Ticket{}, Asked: map[cell.WorkerID]bool{}}
		s.advice[k] = a
	}
	return a
}

// expired returns a ticket that marks a good worker and can't be used.
func expired(t plan.Ticket) plan.Ticket { return plan.Ticket{Token: t.Token} }

// ask sends a question through an idle adviser.
func (s *Scheduler) ask(ctx context.Context, q *plan.Question) {
	now := s.now()
	st := s.advice[q.Key]
	a := s.nextAdviser(now)
	if a == nil || st == nil {
		if st != nil {
			st.InFlight--
		}
		return
	}
	a.busy, a.used = true, now
	limit := adviceSlack + s.adviceTime(q)
	key, queue, workers := q.Key, q.Queue, q.Workers
	s.cfg.Metrics.questions.WithLabelValues(queue).Inc()
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		advice, err := a.adviser.Advise(callCtx, key, workers)
		s.post(ctx, func() {
			a.busy, s.dirty = false, true
			st.InFlight--
			if err != nil {
				s.cfg.Log.Info("no advice", zap.Stringer("step", key), zap.Error(err))
				return
			}
			s.advised(st, queue, workers, advice)
		})
	}()
}

// adviceTime is how long the policy needs for a question.
func (s *Scheduler) adviceTime(q *plan.Question) time.Duration {
	var millis float64
	s.cfg.State.Read(func() {
		if queue := s.cfg.State.Config.Queue(q.Queue); queue != nil && queue.Advice != nil {
			millis = queue.Advice.DecideMillis + queue.Advice.PerWorkerMillis*float64(len(q.Workers))
		}
	})
	return time.Duration(millis) * time.Millisecond
}

// advised notes an answer of the policy.
func (s *Scheduler) advised(st *plan.StepAdvice, queue string, workers []cell.WorkerID, a *Advice) {
	until := s.now().Add(a.Valid - ticketMargin)
	fresh, good := 0, 0
	for _, w := range workers {
		token, ok := a.Tickets[w]
		if !st.Asked[w] {
			fresh++
			if ok {
				good++
			}
		}
		st.Asked[w] = true
		if ok {
			st.Good[w] = plan.Ticket{Token: token, Until: until}
		} else {
			delete(st.Good, w)
		}
	}
	if fresh > 0 {
		s.learnShare(queue, float64(good)/float64(fresh))
	}
}

func (s *Scheduler) learnShare(queue string, share float64) {
	old, ok := s.goodShare[queue]
	if !ok {
		s.goodShare[queue] = share
		return
	}
	s.goodShare[queue] = old + goodShareGain*(share-old)
}

// failureCount judges a worker by the ends of its tasks.
type failureCount struct {
	// jobs are the jobs that failed there in a row, newest last.
	jobs  []cell.JobID
	until clock.Instant
}

const (
	// suspectFailures is how many jobs in a row must fail at a worker for it to
	// be suspect.
	suspectFailures = 2
	// suspectTime is how long a worker stays suspect after its last failure.
	suspectTime = 4 * time.Second
)

func (f *failureCount) failed(job cell.JobID, now clock.Instant) {
	if !slices.Contains(f.jobs, job) {
		f.jobs = append(f.jobs, job)
	}
	if len(f.jobs) >= suspectFailures {
		f.until = now.Add(suspectTime)
	}
}

func (f *failureCount) succeeded() { f.jobs, f.until = nil, 0 }

func (f *failureCount) suspect(now clock.Instant) bool { return now < f.until }

// noteOutcome learns from the end of a run.
func (s *Scheduler) noteOutcome(se *session, f *FinishedTask) {
	switch f.Outcome {
	case cell.OutcomeDone:
		se.failures.succeeded()
	case cell.OutcomeFailed:
		se.failures.failed(f.Task.Job, s.now())
	}
}
