package scheduler

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/cell/plan"
)

// TestPlansLeaveTimeForCalls checks that events in close succession share a plan, and
// that the plan which they ask for is computed once the pause is over.
func TestPlansLeaveTimeForCalls(t *testing.T) {
	r := newRig(t, oneTask)
	r.lead()
	for range 10 {
		r.dirty = true
		r.Scheduler.plan(r.ctx)
	}
	qt.Check(t, r.plans.count, qt.Equals, 1)
	qt.Check(t, r.dirty, qt.IsTrue)
	select {
	case <-r.planTimer.C:
	case <-time.After(5 * time.Second):
		t.Fatal("nothing wakes the control loop for the plan that was put off")
	}
	r.clock.Advance(minPlanPause)
	r.Scheduler.plan(r.ctx)
	qt.Check(t, r.plans.count, qt.Equals, 2)
	qt.Check(t, r.dirty, qt.IsFalse)
}

// TestEventOfEarlierLeadershipIsDropped checks that an event that is queued when a
// leadership ends is not run in the next one.
func TestEventOfEarlierLeadershipIsDropped(t *testing.T) {
	r := newRig(t, oneTask)
	ended, end := context.WithCancel(t.Context())
	ran := false
	r.post(ended, func() { ran = true })
	end()
	r.drainEvents()
	qt.Check(t, ran, qt.IsFalse)
}

// TestAdviserStaysAfterItsCall checks that an adviser is registered although the call
// that registers it has been answered by then.
func TestAdviserStaysAfterItsCall(t *testing.T) {
	r := newRig(t, oneTask)
	call, end := context.WithCancel(t.Context())
	r.SetAdviser(call, "10.0.0.9:1", nil)
	end()
	r.drainEvents()
	qt.Check(t, r.advisers, qt.HasLen, 1)
}

// TestPendingOrderIsDefined guards against plans that differ for the same state: the
// occurrences of a job have the same deadline, and the planner keeps the order of its input
// among equal steps.
func TestPendingOrderIsDefined(t *testing.T) {
	var want, ps []plan.Pending
	for o := range 100 {
		want = append(want, plan.Pending{Key: cell.StepKey{Job: testJob, Occurrence: o}})
	}
	for _, i := range rand.New(rand.NewPCG(1, 2)).Perm(len(want)) {
		ps = append(ps, want[i])
	}
	sortPending(ps)
	for i := range ps {
		qt.Assert(t, ps[i].Key, qt.Equals, want[i].Key)
	}
}
