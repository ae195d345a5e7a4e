package scheduler

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/cell"
)

var errNoReply = errors.New("no reply")

// scriptedWorkers answers the starts of all workers with the errors of a script,
// in their order. It accepts stops and answers no renewal.
type scriptedWorkers struct {
	unresponsiveWorkers
	mu     sync.Mutex
	script []error
	starts int
	stops  int
}

func (w *scriptedWorkers) Start(context.Context, WorkerTarget, StartOrder) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	err := w.script[w.starts]
	w.starts++
	return err
}

func (w *scriptedWorkers) Stop(context.Context, WorkerTarget, StopOrder) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stops++
	return nil
}

// TestStartAttempts checks what follows from the replies to the attempts of one
// start: a run that certainly did not start is placed again at once, without a stop.
// One that may have started is stopped first, also if a later attempt is refused.
func TestStartAttempts(t *testing.T) {
	refused := &RefusedError{RefusedTicket}
	for _, c := range []struct {
		name      string
		script    []error
		status    runStatus
		stopped   bool
		outcomes  []cell.Outcome
		blockedAt bool
	}{
		{"confirmed", []error{nil}, runStarted, false, nil, false},
		{"confirmed at the second attempt", []error{errNoReply, nil}, runStarted, false, nil, false},
		{"confirmed after a failed dial", []error{ErrNotSent, nil}, runStarted, false, nil, false},
		{"never answered", slices.Repeat([]error{errNoReply}, startAttempts), runUnconfirmed, true, nil, true},
		{"never sent", slices.Repeat([]error{ErrNotSent}, startAttempts), runStarting, false, []cell.Outcome{cell.OutcomeLost}, true},
		{"sent once, then not", append([]error{errNoReply}, slices.Repeat([]error{ErrNotSent}, startAttempts-1)...), runUnconfirmed, true, nil, true},
		{"refused", []error{refused}, runStarting, false, []cell.Outcome{cell.OutcomeLost}, false},
		{"refused after an attempt without a reply", []error{errNoReply, refused}, runUnconfirmed, true, nil, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, oneTask)
			workers := &scriptedWorkers{script: c.script}
			r.cfg.Workers = workers
			r.lead()
			r.deliverReply(RenewReply{ClockMillis: 1000})
			k := r.place(0, 1)
			r.startRun(r.ctx, &cell.Start{Task: k, Run: 1, Worker: testWorker, Born: 1}, "", "", "")
			se := r.sessions[testWorker]
			run := se.runs[k]
			r.runUntil(func() bool {
				workers.mu.Lock()
				defer workers.mu.Unlock()
				return workers.starts == len(c.script) && (run.status != runStarting || run.ending)
			})
			qt.Check(t, run.status, qt.Equals, c.status)
			qt.Check(t, run.stopRequestedAt != 0, qt.Equals, c.stopped)
			qt.Check(t, r.endsOf(k), qt.DeepEquals, c.outcomes)
			qt.Check(t, r.now() < se.blockedUntil, qt.Equals, c.blockedAt)
		})
	}
}

// TestStartIsNotRepeatedAfterLeadershipEnds checks that a leader that lost its
// leadership between two attempts, as one that was paused may, sends nothing more.
func TestStartIsNotRepeatedAfterLeadershipEnds(t *testing.T) {
	r := newRig(t, oneTask)
	workers := &scriptedWorkers{script: []error{errNoReply, nil}}
	r.lead()
	r.cfg.Workers = &deposingWorkers{workers, func() { r.term.Add(1) }}
	err := r.sendStart(r.ctx, WorkerTarget{ID: testWorker}, StartOrder{}, func() {})
	qt.Check(t, err, qt.ErrorIs, errNoReply)
	qt.Check(t, workers.starts, qt.Equals, 1)
}

// deposingWorkers ends the leadership while it handles a start.
type deposingWorkers struct {
	*scriptedWorkers
	depose func()
}

func (w *deposingWorkers) Start(ctx context.Context, t WorkerTarget, o StartOrder) error {
	err := w.scriptedWorkers.Start(ctx, t, o)
	w.depose()
	return err
}

// permissionRecorder keeps the contexts of the orders that it gets.
type permissionRecorder struct {
	contexts []context.Context
}

func (w *permissionRecorder) Start(ctx context.Context, _ WorkerTarget, _ StartOrder) error {
	w.contexts = append(w.contexts, ctx)
	return nil
}

func (w *permissionRecorder) Stop(ctx context.Context, _ WorkerTarget, _ StopOrder) error {
	w.contexts = append(w.contexts, ctx)
	return nil
}

func (w *permissionRecorder) RenewLease(ctx context.Context, _ WorkerTarget, _ RenewOrder) (*RenewReply, error) {
	w.contexts = append(w.contexts, ctx)
	return nil, errNoReply
}

// TestOrdersMayBeSentWhileLeading checks that each kind of order that was given under a
// leadership may no longer be sent once that has ended.
func TestOrdersMayBeSentWhileLeading(t *testing.T) {
	r := newRig(t, oneTask)
	r.lead()
	workers := &permissionRecorder{}
	r.cfg.Workers = workers
	target := WorkerTarget{ID: testWorker}
	qt.Assert(t, r.attemptStart(r.ctx, target, StartOrder{}, 0), qt.IsNil)
	qt.Assert(t, r.sendStop(r.ctx, target, StopOrder{}), qt.IsNil)
	r.renew(r.ctx, r.sessions[testWorker], &renewal{target: target})
	qt.Assert(t, workers.contexts, qt.HasLen, 3)
	for _, ctx := range workers.contexts {
		qt.Check(t, MayStillSend(ctx), qt.IsTrue)
	}
	r.term.Add(1)
	for _, ctx := range workers.contexts {
		qt.Check(t, MayStillSend(ctx), qt.IsFalse)
	}
}

// TestLongPollsAreLimited checks that the renewals of sessions beyond the limit don't
// wait at their workers and are paced instead. A session keeps its right to wait while
// its worker replies, so that more workers than connections don't take turns at them.
func TestLongPollsAreLimited(t *testing.T) {
	r := newRig(t, oneTask)
	r.cfg.Bounds.MaxLongPolls = 1
	r.apply(&cell.Command{Workers: &cell.Workers{Seen: []cell.Worker{{ID: "w2", Born: 1, Addr: "10.0.0.2:1", DC: "dc1", Pool: "p"}}}})
	r.lead()
	first, second := r.sessions[testWorker], r.sessions["w2"]
	for _, se := range []*session{first, second} {
		se.fenceAccepted = true
		se.recordClock(1000, r.now())
	}
	long := r.nextRenewal(first)
	short := r.nextRenewal(second)
	short.reply = &RenewReply{}
	qt.Check(t, long.order.Wait, qt.Equals, maxRenewalWait)
	qt.Check(t, short.order.Wait, qt.Equals, time.Duration(0))
	qt.Check(t, short.nextPause(), qt.Equals, shortPollInterval)

	long.reply = &RenewReply{ClockMillis: 2000}
	r.onRenewalReply(r.ctx, first, &long)
	again := r.nextRenewal(second)
	qt.Check(t, again.order.Wait, qt.Equals, time.Duration(0), qt.Commentf("the sessions take turns"))
	long = r.nextRenewal(first)
	qt.Check(t, long.order.Wait, qt.Equals, maxRenewalWait)

	long.err = errNoReply
	r.onRenewalReply(r.ctx, first, &long)
	rn := r.nextRenewal(second)
	qt.Check(t, rn.order.Wait, qt.Equals, maxRenewalWait)

	r.closeSession(second)
	qt.Check(t, r.longPolls, qt.Equals, 0)
}

// TestMembersOfADoneGangEndByThemselves guards against a stop for each member of a gang
// whose first end has finished its job, while the ends of the others are on their way.
// With 20 tasks a gang these are most of all stops. A member whose end does not come is
// stopped.
func TestMembersOfADoneGangEndByThemselves(t *testing.T) {
	r := newRig(t, cell.Step{Count: 2, Need: twoCores, EstimateMillis: 1000, Gang: true})
	workers := &scriptedWorkers{script: []error{nil, nil}}
	r.cfg.Workers = workers
	r.lead()
	r.deliverReply(RenewReply{ClockMillis: 1000})
	keys := []cell.TaskKey{{Job: testJob}, {Job: testJob, Index: 1}}
	var starts []cell.Start
	for _, k := range keys {
		starts = append(starts, cell.Start{Task: k, Run: 1, Worker: testWorker, Born: 1})
	}
	r.apply(&cell.Command{Leadership: r.term.Load(), Starts: &cell.Starts{Starts: starts}})
	se := r.sessions[testWorker]
	for i := range starts {
		r.startRun(r.ctx, &starts[i], "", "", "")
		run := se.runs[keys[i]]
		r.runUntil(func() bool { return run.status == runStarted })
	}
	r.finish(keys[0], cell.OutcomeDone, "")
	r.lossesAfter()
	last := se.runs[keys[1]]
	for range 4 {
		r.syncSessions(r.ctx)
		r.housekeep(r.ctx)
		r.clock.Advance(doneGangGrace / 5)
	}
	qt.Check(t, last.stopSent, qt.IsFalse)
	r.clock.Advance(doneGangGrace)
	r.housekeep(r.ctx)
	qt.Check(t, last.stopSent, qt.IsTrue)
}

// TestStopOfInheritedRunIsRepeated guards against a run of a cancelled job that goes on for
// good after a change of leader: the stop was lost, and the worker listed the run before the
// next one was due.
func TestStopOfInheritedRunIsRepeated(t *testing.T) {
	r := newRig(t, oneTask)
	r.lead()
	k := r.place(0, 1)
	r.apply(&cell.Command{Cancel: &cell.Cancel{ID: testJob}})
	r.lead()
	se := r.sessions[testWorker]
	run := se.runs[k]
	qt.Assert(t, run.status, qt.Equals, runInherited)
	r.deliverReply(RenewReply{ClockMillis: 1000, Running: []RunningTask{{Task: k, Run: 1}}})
	r.onStopReply(r.ctx, se, run, context.DeadlineExceeded)
	r.clock.Advance(unansweredStopRetry)
	r.housekeep(r.ctx)
	qt.Check(t, run.stopInFlight, qt.IsTrue)
	qt.Check(t, run.cause, qt.Equals, causeCancelled)
}
