package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/cell"
)

// TestDrainingRunsKeepLeaseOfEarlierLeader guards against a task that runs twice after a
// hand-over: the worker drains, so that the new leader grants it short leases only, while
// its runs hold the long one that the earlier leader granted.
func TestDrainingRunsKeepLeaseOfEarlierLeader(t *testing.T) {
	r := newRig(t, oneTask)
	r.lead()
	k := r.startedRun()
	se := r.sessions[testWorker]
	granted := r.nextRenewal(se).order.LeaseMillis
	draining := r.state.Workers[testWorker].Worker
	draining.Draining = true
	r.apply(&cell.Command{Workers: &cell.Workers{Seen: []cell.Worker{draining}}})

	r.lead()
	se = r.sessions[testWorker]
	clockMillis := granted - leaseTerm.Milliseconds() + 300
	r.deliverReply(RenewReply{ClockMillis: clockMillis, Running: []RunningTask{{Task: k, Run: 1}}})
	r.nextRenewal(se)
	left := time.Duration(granted-clockMillis) * time.Millisecond
	r.clock.Advance(left - time.Millisecond)
	r.declareExpiredRunsLost(se, r.now())
	qt.Check(t, r.endsOf(k), qt.HasLen, 0, qt.Commentf("the earlier leader's lease holds"))
	r.clock.Advance(time.Second)
	r.declareExpiredRunsLost(se, r.now())
	qt.Check(t, r.endsOf(k), qt.DeepEquals, []cell.Outcome{cell.OutcomeLost})
}
