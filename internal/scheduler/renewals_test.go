package scheduler

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/model"
)

// TestLostRepliesShortenRenewals checks that the ends of short tasks are told soon while
// one renewal in sixteen gets no reply: the renewal that is lost times out within 0.8
// s. Once replies arrive again, and while workers are only out of reach, renewals
// wait as long as before.
func TestLostRepliesShortenRenewals(t *testing.T) {
	r := newRig(t, oneTask)
	r.lead()
	se := r.sessions[testWorker]
	renew := func(lost bool) {
		rn := r.nextRenewal(se)
		if lost {
			rn.err = errNoReply
		} else {
			rn.reply = &RenewReply{ClockMillis: 1000}
		}
		r.onRenewalReply(r.ctx, se, &rn)
	}
	for i := range 1000 {
		renew(i%16 == 0)
	}
	wait := r.nextRenewal(se).order.Wait
	qt.Check(t, wait > 0, qt.IsTrue)
	qt.Check(t, wait+renewalMarginFactor*minOrderTimeout <= 800*time.Millisecond, qt.IsTrue, qt.Commentf("wait %v", wait))
	for range 1000 {
		renew(false)
	}
	qt.Check(t, r.nextRenewal(se).order.Wait, qt.Equals, maxRenewalWait)
	for range 100 {
		renew(true)
	}
	renew(false)
	qt.Check(t, r.nextRenewal(se).order.Wait, qt.Equals, maxRenewalWait)
}

// TestNewLeaderSpreadsFirstRenewals checks that a new leader of 1,100 workers doesn't
// call all of them at the same moment, but all within a quarter of a second; and that a
// worker that joins later is called at once.
func TestNewLeaderSpreadsFirstRenewals(t *testing.T) {
	const workers = 1100
	r := newRig(t, oneTask)
	r.reset(r.group.Status().Term)
	seen := make([]cell.Worker, workers)
	for i := range seen {
		seen[i] = cell.Worker{
			ID: cell.WorkerID(fmt.Sprintf("v%04d", i)), Born: 1, Addr: "10.0.0.2:1", DC: "dc1", Pool: "p",
			Capacity: model.Resources{MilliCPU: 16000, MemoryMB: 32000},
		}
	}
	r.apply(&cell.Command{Workers: &cell.Workers{Seen: seen}})
	qt.Check(t, r.firstRenewalDelay(), qt.Equals, time.Duration(0))
	r.lead()
	qt.Assert(t, r.sessions, qt.HasLen, workers+1)
	qt.Check(t, r.firstRenewalDelay(), qt.Equals, time.Duration(0), qt.Commentf("a worker that joins"))
	r.synced = false
	last := r.firstRenewalDelay()
	qt.Check(t, last > 50*time.Millisecond && last <= 250*time.Millisecond, qt.IsTrue, qt.Commentf("last of %d workers after %v", workers, last))
}

// TestIdleWorkersLeaveConnectionsToBusyOnes guards against a leader of thousands of workers and
// 1,349 connections for long polls whose processor is used up by opening connections:
// nearly all workers were idle, kept the connections that the busy ones needed, and those
// without one were renewed twice a second.
func TestIdleWorkersLeaveConnectionsToBusyOnes(t *testing.T) {
	const (
		workers  = 2600
		longPoll = 1349
		busy     = 1300
	)
	r := newRig(t, oneTask)
	r.cfg.Bounds.MaxLongPolls = longPoll
	seen := make([]cell.Worker, workers-1)
	for i := range seen {
		seen[i] = cell.Worker{ID: cell.WorkerID(fmt.Sprintf("v%04d", i)), Born: 1, Addr: "10.0.0.2:1", DC: "dc1", Pool: "p"}
	}
	r.apply(&cell.Command{Workers: &cell.Workers{Seen: seen}})
	r.lead()
	all := slices.Collect(maps.Values(r.sessions))
	// renewAll returns the renewals a second that don't wait, of workers with and without runs.
	renewAll := func() (busyRate, idleRate float64) {
		for _, se := range all {
			se.fenceAccepted = true
			rn := r.nextRenewal(se)
			switch {
			case rn.order.Dedicated:
			case len(se.runs) > 0:
				busyRate += 1 / rn.pause.Seconds()
			default:
				idleRate += 1 / rn.pause.Seconds()
			}
		}
		return busyRate, idleRate
	}
	_, idle := renewAll()
	qt.Check(t, math.Round(idle) <= idlePollsPerSecond, qt.IsTrue, qt.Commentf("%.0f renewals a second", idle))
	for _, se := range all[workers-busy:] {
		se.runs[cell.TaskKey{Job: testJob}] = &run{number: 1, status: runStarted}
	}
	renewAll()
	busyPolls, _ := renewAll()
	qt.Check(t, busyPolls, qt.Equals, 0.0, qt.Commentf("busy workers without a connection"))
	qt.Check(t, r.longPolls <= longPoll, qt.IsTrue)
}

// TestIdleWorkerIsRenewedOnceItStartsARun guards against the end of a short run that is known
// only after the long pause of an idle worker, and against an idle worker that counts as
// silent because of that pause.
func TestIdleWorkerIsRenewedOnceItStartsARun(t *testing.T) {
	r := newRig(t, oneTask)
	r.lead()
	r.deliverReply(RenewReply{ClockMillis: 1000})
	se := r.sessions[testWorker]
	r.endLongPolls(se)
	r.cfg.Bounds.MaxLongPolls, r.longPolls = 1, 1
	rn := r.nextRenewal(se)
	qt.Assert(t, se.polledIdle, qt.IsTrue)
	rn.reply = &RenewReply{ClockMillis: 1000}
	r.onRenewalReply(r.ctx, se, &rn)
	r.clock.Advance(unreachableAfter + rn.pause - time.Millisecond)
	qt.Check(t, se.isSilent(r.now()), qt.IsFalse)
	r.clock.Advance(time.Millisecond)
	qt.Check(t, se.isSilent(r.now()), qt.IsTrue)

	k := r.place(0, 1)
	r.syncSessions(r.ctx)
	r.onStartReply(r.ctx, se, k, se.runs[k], nil)
	qt.Check(t, se.pause(r.ctx, time.Hour), qt.IsTrue)
	silent := se.isSilent(r.now())
	rn = r.nextRenewal(se)
	qt.Check(t, rn.pause, qt.Equals, shortPollInterval)
	qt.Check(t, se.isSilent(r.now()), qt.Equals, silent, qt.Commentf("the next renewal makes the worker silent"))
}
