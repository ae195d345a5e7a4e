package scheduler

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/cell/plan"
)

// scriptedAdviser answers advice requests with an error, or with no eligible worker.
type scriptedAdviser struct {
	err      error
	requests chan time.Duration
}

func (a *scriptedAdviser) Advise(ctx context.Context, _ cell.StepKey, _ []cell.WorkerID) (*Advice, error) {
	deadline, _ := ctx.Deadline()
	a.requests <- time.Until(deadline)
	if a.err != nil {
		return nil, a.err
	}
	return &Advice{}, nil
}

// TestFailedAdviserWaitsForItsNextHello checks that an adviser that gave no answer, as
// one in a data centre that is cut off, gets no further request until it sends a hello,
// and that the step's next request goes to another adviser and has more time.
func TestFailedAdviserWaitsForItsNextHello(t *testing.T) {
	r := newRig(t, oneTask)
	r.lead()
	cut := &scriptedAdviser{err: errors.New("no reply"), requests: make(chan time.Duration, 9)}
	good := &scriptedAdviser{requests: make(chan time.Duration, 9)}
	r.SetAdviser(r.ctx, "cut", cut)
	r.SetAdviser(r.ctx, "good", good)
	r.drainEvents()
	r.advisers["good"].lastUsed = r.now() - 1
	request := plan.AdviceRequest{Key: cell.StepKey{Job: testJob}, Queue: "q", Workers: []cell.WorkerID{testWorker}}
	st := r.adviceFor(request.Key)
	ask := func() {
		st.InFlight++
		r.requestAdvice(r.ctx, &request)
		r.runUntil(func() bool { return st.InFlight == 0 })
	}
	ask()
	qt.Check(t, <-cut.requests <= adviceCallMargin, qt.IsTrue)
	for range 3 {
		ask()
		qt.Check(t, <-good.requests > adviceCallMargin || st.Failed == 0, qt.IsTrue)
	}
	idle, all := r.countAdvisers(r.now())
	qt.Check(t, []int{idle, all}, qt.DeepEquals, []int{1, 1})
	qt.Check(t, cut.requests, qt.HasLen, 0)

	r.clock.Advance(time.Millisecond)
	r.SetAdviser(r.ctx, "cut", cut)
	r.drainEvents()
	idle, all = r.countAdvisers(r.now())
	qt.Check(t, []int{idle, all}, qt.DeepEquals, []int{2, 2})
}
