package scheduler

import (
	"fmt"
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
