package cellnode

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/replica"
	"kumquatwing/internal/scheduler"
	"kumquatwing/internal/wire"
)

// countingWorkers answers calls and counts them.
type countingWorkers struct {
	calls atomic.Int64
	err   error
}

func (w *countingWorkers) Start(context.Context, scheduler.Target, scheduler.StartOrder) error {
	w.calls.Add(1)
	return w.err
}

func (w *countingWorkers) Stop(context.Context, scheduler.Target, scheduler.StopOrder) error {
	w.calls.Add(1)
	return w.err
}

func (w *countingWorkers) Hold(_ context.Context, t scheduler.Target, o scheduler.HoldOrder) (*scheduler.HoldReply, error) {
	w.calls.Add(1)
	if w.err != nil {
		return nil, w.err
	}
	return &scheduler.HoldReply{
		ClockMillis: 7, Born: t.Born,
		Running:  []scheduler.RunningTask{{Task: cell.TaskKey{Job: "j", Index: 3}, Run: 2, Checkpoint: "c", Percent: 41}},
		Finished: []scheduler.FinishedTask{{Number: o.Seen + 1, Task: cell.TaskKey{Job: "k"}, Run: 1, Outcome: cell.OutcomeDone}},
	}, nil
}

// fixedGroup has a fixed status.
type fixedGroup struct {
	replica.Group
	status replica.Status
}

func (g *fixedGroup) Status() replica.Status { return g.status }

// carrying is a leader with one other member that carries its calls.
type carrying struct {
	leader       *carriers
	group        *fixedGroup
	direct, away *countingWorkers
	member       *wire.Node
}

func newCarrying(t *testing.T, workers int) *carrying {
	t.Helper()
	listen := func() *wire.Node {
		n, err := wire.Listen("127.0.0.1:0", nil)
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { n.Close() })
		return n
	}
	here, there := listen(), listen()
	state := cell.NewState(nil)
	seen := &cell.Workers{}
	for i := range workers {
		seen.Seen = append(seen.Seen, cell.Worker{ID: cell.WorkerID(fmt.Sprint(i)), Born: 1, Addr: "a"})
	}
	data, err := (&cell.Command{Workers: seen}).Encode()
	qt.Assert(t, err, qt.IsNil)
	state.Apply(1, data)
	c := &carrying{direct: &countingWorkers{}, away: &countingWorkers{}, member: there}
	c.group = &fixedGroup{status: replica.Status{Self: 1, Leader: 1, Members: []replica.Member{
		{ID: 1, Addr: here.Addr()}, {ID: 2, Addr: there.Addr()},
	}}}
	c.leader = newCarriers(c.direct, here, c.group, state, clock.Boot{})
	newCarriers(c.away, there, c.group, state, clock.Boot{}).serve()
	return c
}

var carriedTarget = scheduler.Target{ID: "5", Addr: "a", Born: 1}

func callTimeout(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func TestOtherMembersCarryCalls(t *testing.T) {
	c := newCarrying(t, carriedWorkers)
	reply, err := c.leader.Hold(callTimeout(t), carriedTarget, scheduler.HoldOrder{Seen: 9})
	qt.Assert(t, err, qt.IsNil)
	want, _ := (&countingWorkers{}).Hold(t.Context(), carriedTarget, scheduler.HoldOrder{Seen: 9})
	qt.Check(t, fmt.Sprint(reply), qt.Equals, fmt.Sprint(want))
	qt.Check(t, c.leader.Start(callTimeout(t), carriedTarget, scheduler.StartOrder{}), qt.IsNil)
	qt.Check(t, c.leader.Stop(callTimeout(t), carriedTarget, scheduler.StopOrder{}), qt.IsNil)
	qt.Check(t, c.away.calls.Load(), qt.Equals, int64(3))
	qt.Check(t, c.direct.calls.Load(), qt.Equals, int64(0))
}

func TestFewWorkersAreCalledDirectly(t *testing.T) {
	c := newCarrying(t, carriedWorkers-1)
	qt.Check(t, c.leader.Start(callTimeout(t), carriedTarget, scheduler.StartOrder{}), qt.IsNil)
	qt.Check(t, c.direct.calls.Load(), qt.Equals, int64(1))
}

// A refusal stays one, so that the run surely didn't start.
func TestCarriedRefusalStaysOne(t *testing.T) {
	c := newCarrying(t, carriedWorkers)
	c.away.err = &scheduler.RefusedError{Refusal: scheduler.RefusedRoom}
	err := c.leader.Start(callTimeout(t), carriedTarget, scheduler.StartOrder{})
	var refused *scheduler.RefusedError
	qt.Assert(t, errors.As(err, &refused), qt.IsTrue)
	qt.Check(t, refused.Refusal, qt.Equals, scheduler.RefusedRoom)
}

// An order without a clear answer is never sent twice; the next call is direct.
func TestUnansweredOrderIsNotRepeated(t *testing.T) {
	c := newCarrying(t, carriedWorkers)
	c.away.err = errors.New("no answer")
	err := c.leader.Start(callTimeout(t), carriedTarget, scheduler.StartOrder{})
	qt.Assert(t, err, qt.ErrorMatches, "through another member: no answer")
	qt.Check(t, c.direct.calls.Load(), qt.Equals, int64(0))
	qt.Check(t, c.leader.Stop(callTimeout(t), carriedTarget, scheduler.StopOrder{}), qt.IsNil)
	qt.Check(t, c.direct.calls.Load(), qt.Equals, int64(1))
}

func TestLostMemberCarriesNothing(t *testing.T) {
	c := newCarrying(t, carriedWorkers)
	qt.Assert(t, c.member.Close(), qt.IsNil)
	qt.Check(t, c.leader.Stop(callTimeout(t), carriedTarget, scheduler.StopOrder{}), qt.IsNil)
	qt.Check(t, c.direct.calls.Load(), qt.Equals, int64(1))

	late := newCarrying(t, carriedWorkers)
	late.group.status.Late = []replica.MemberID{2}
	qt.Check(t, late.leader.Stop(callTimeout(t), carriedTarget, scheduler.StopOrder{}), qt.IsNil)
	qt.Check(t, late.direct.calls.Load(), qt.Equals, int64(1))
}
