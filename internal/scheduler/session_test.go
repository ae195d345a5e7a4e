package scheduler

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/model"
	"kumquatwing/internal/replica"
)

// unresponsiveWorkers never answers an order, so that a test supplies the replies
// itself.
type unresponsiveWorkers struct{}

func (unresponsiveWorkers) Start(ctx context.Context, _ WorkerTarget, _ StartOrder) error {
	<-ctx.Done()
	return ctx.Err()
}

func (unresponsiveWorkers) Stop(ctx context.Context, _ WorkerTarget, _ StopOrder) error {
	<-ctx.Done()
	return ctx.Err()
}

func (unresponsiveWorkers) RenewLease(ctx context.Context, _ WorkerTarget, _ RenewOrder) (*RenewReply, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

const (
	testJob    cell.JobID    = "00000000000000aa"
	testWorker cell.WorkerID = "w1"
)

// rig is a scheduler on a group with one member. The test calls its handlers and
// advances its clock, in place of the control loop.
type rig struct {
	*Scheduler
	t     *testing.T
	ctx   context.Context
	state *cell.State
	group *replica.Local
	clock *clock.Manual
}

func newRig(t *testing.T, steps ...cell.Step) *rig {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	state := cell.NewState(nil)
	group := replica.NewLocal(state, replica.Member{ID: 1})
	manual := &clock.Manual{}
	manual.Advance(time.Hour)
	s := New(Config{
		Group: group, State: state, Workers: unresponsiveWorkers{}, Clock: manual, Log: zap.NewNop(),
		Bounds:  Bounds{MaxLease: 10 * time.Second, StopTimeout: 400 * time.Millisecond, EndedJobRetention: time.Minute},
		Metrics: NewMetrics(prometheus.NewRegistry()),
	})
	r := &rig{s, t, ctx, state, group, manual}
	r.apply(&cell.Command{Configure: &cell.Configure{Document: []byte("{}"), Config: cell.Config{
		Version: 1, Pools: []cell.Pool{{Name: "p"}},
		Queues: []cell.Queue{{
			Name: "q", Host: "h", Prefix: "/q/", Attempts: 2, TimeoutMillis: 1000, Pool: "p", Stretch: 2, ObjectiveMillis: 1000,
		}},
		Workspaces: []cell.Workspace{{Name: "a", Keys: []string{"k"}}},
	}}})
	r.apply(&cell.Command{Workers: &cell.Workers{Seen: []cell.Worker{{
		ID: testWorker, Born: 1, Addr: "10.0.0.1:1", DC: "dc1", Pool: "p",
		Capacity: model.Resources{MilliCPU: 16000, MemoryMB: 32000},
	}}}})
	r.apply(&cell.Command{Submit: &cell.Submit{Job: cell.Job{ID: testJob, Queue: "q", Workspace: "a", Steps: steps}}})
	return r
}

func (r *rig) apply(c *cell.Command) {
	r.t.Helper()
	data, err := c.Encode()
	qt.Assert(r.t, err, qt.IsNil)
	_, err = r.group.Propose(context.Background(), data)
	qt.Assert(r.t, err, qt.IsNil)
}

// lead starts a leadership in the group's current term.
func (r *rig) lead() {
	r.reset(r.group.Status().Term)
	qt.Assert(r.t, r.takeOver(r.ctx), qt.IsNil)
	r.syncSessions(r.ctx)
}

// runUntil runs the events that background goroutines post until done reports
// true.
func (r *rig) runUntil(done func() bool) {
	r.t.Helper()
	limit := time.After(10 * time.Second)
	for !done() {
		select {
		case e := <-r.events:
			e()
		case <-limit:
			r.t.Fatal("the expected event was not posted within 10 s")
		}
	}
}

// place commits one start, as a plan does, and returns the key of its task.
func (r *rig) place(index int, run int64) cell.TaskKey {
	k := cell.TaskKey{Job: testJob, Index: index}
	r.apply(&cell.Command{Leadership: r.term.Load(), Starts: &cell.Starts{Starts: []cell.Start{{Task: k, Run: run, Worker: testWorker, Born: 1}}}})
	return k
}

// reply delivers a worker's reply to a renewal of the loop that was sent now.
func (r *rig) deliverReply(reply RenewReply) { r.deliverReplyTo(false, reply) }

// replyTo delivers the reply to a renewal of the loop or to an out-of-band one.
func (r *rig) deliverReplyTo(outOfBand bool, reply RenewReply) {
	se := r.sessions[testWorker]
	rn := &renewal{target: se.target, order: RenewOrder{Fence: se.fence}, sent: r.now(), reply: &reply, outOfBand: outOfBand}
	r.onRenewalReply(r.ctx, se, rn)
}

// endsOf returns the outcomes of a task that wait in the batch for their commit.
func (r *rig) endsOf(k cell.TaskKey) []cell.Outcome {
	var out []cell.Outcome
	for i := range r.ends.ends {
		if r.ends.ends[i].Task == k {
			out = append(out, r.ends.ends[i].Outcome)
		}
	}
	return out
}

var oneTask = cell.Step{Count: 1, Need: model.Resources{MilliCPU: 1000}, EstimateMillis: 1000}

// A run whose placement is committed but whose start is not sent yet must not
// be treated as one of an earlier leader, which a renewal that does not list it
// would declare lost.
func TestPlacedRunIsNotReportedLost(t *testing.T) {
	r := newRig(t, oneTask)
	r.lead()
	k := r.place(0, 1)
	r.syncSessions(r.ctx)
	r.deliverReply(RenewReply{ClockMillis: 1000})
	qt.Check(t, r.endsOf(k), qt.HasLen, 0)
}

func TestInheritedRuns(t *testing.T) {
	for _, k := range []struct {
		name  string
		reply RenewReply
		want  []cell.Outcome
	}{
		{"listed as running", RenewReply{ClockMillis: 5, Running: []RunningTask{{Task: cell.TaskKey{Job: testJob}, Run: 1}}}, nil},
		{"not listed", RenewReply{ClockMillis: 5}, []cell.Outcome{cell.OutcomeLost}},
		{"ended", RenewReply{ClockMillis: 5, Finished: []FinishedTask{{
			Number: 1, Task: cell.TaskKey{Job: testJob}, Run: 1, Outcome: cell.OutcomeDone,
		}}}, []cell.Outcome{cell.OutcomeDone}},
	} {
		t.Run(k.name, func(t *testing.T) {
			r := newRig(t, oneTask)
			r.lead()
			key := r.place(0, 1)
			r.lead()
			r.deliverReply(k.reply)
			qt.Check(t, r.endsOf(key), qt.DeepEquals, k.want)
		})
	}
}

// A start that was not answered may still be carried out seconds later. Its run
// may be declared lost only once the worker has accepted a stop, or the lease
// in the start has expired.
func TestUnansweredStart(t *testing.T) {
	for _, c := range []struct {
		name string
		then func(r *rig, run *run)
		lost bool
	}{
		{"stop reply outstanding", func(*rig, *run) {}, false},
		{"stop accepted", func(r *rig, run *run) { r.onStopReply(r.ctx, r.sessions[testWorker], run, nil) }, true},
		{"stop not answered", func(r *rig, run *run) { r.onStopReply(r.ctx, r.sessions[testWorker], run, context.DeadlineExceeded) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, oneTask)
			r.lead()
			r.deliverReply(RenewReply{ClockMillis: 1000})
			k := r.place(0, 1)
			r.startRun(r.ctx, &cell.Start{Task: k, Run: 1, Worker: testWorker, Born: 1}, "", "", "")
			se := r.sessions[testWorker]
			run := se.runs[k]
			r.onStartReply(r.ctx, se, k, run, context.DeadlineExceeded)
			c.then(r, run)
			r.clock.Advance(10 * time.Millisecond)
			r.deliverReply(RenewReply{ClockMillis: 1010})
			qt.Check(t, len(r.endsOf(k)) > 0, qt.Equals, c.lost)
			if c.lost {
				return
			}
			r.deliverReply(RenewReply{ClockMillis: run.leaseMillis + 1})
			qt.Check(t, r.endsOf(k), qt.DeepEquals, []cell.Outcome{cell.OutcomeLost}, qt.Commentf("after the lease in the start has expired"))
		})
	}
}

// A worker's runs are declared lost only when every lease has certainly expired
// on the worker's clock, which may run slow.
func TestLeaseExpiry(t *testing.T) {
	r := newRig(t, oneTask)
	r.lead()
	k := r.startedRun()
	se := r.sessions[testWorker]
	term := time.Duration(se.latestLeaseEnd-1000) * time.Millisecond
	r.clock.Advance(term)
	r.declareExpiredRunsLost(se, r.now())
	qt.Check(t, r.endsOf(k), qt.HasLen, 0, qt.Commentf("the lease has not expired yet on a slow clock"))
	r.clock.Advance(time.Duration(float64(term)*(1/minClockRate-1)) + 2*leaseExpiryMargin)
	r.declareExpiredRunsLost(se, r.now())
	qt.Check(t, r.endsOf(k), qt.DeepEquals, []cell.Outcome{cell.OutcomeLost})
}

// Renewals that are not answered must not keep extending the lease of a dead
// worker, or its runs would never be declared lost.
// TestBriefPartitionKeepsRuns checks that neither the worker nor the leader ends the
// runs of a worker that is cut off for 6 s: its lease covers that time from the last
// renewal that it got, which may have been sent a maxRenewalWait before the cut.
func TestBriefPartitionKeepsRuns(t *testing.T) {
	const partition = 6 * time.Second
	r := newRig(t, oneTask)
	r.lead()
	r.startedRun()
	se := r.sessions[testWorker]
	rn := r.nextRenewal(se)
	sentAt := se.estimateClock(r.now())
	r.clock.Advance(maxRenewalWait + partition)
	qt.Check(t, rn.order.LeaseMillis > sentAt+(maxRenewalWait+partition).Milliseconds(), qt.IsTrue)
	r.declareExpiredRunsLost(se, r.now())
	qt.Check(t, r.ends.ends, qt.HasLen, 0)
}

// TestRenewalRetries checks that a worker that may only be cut off is tried again soon,
// and one that has left costs few calls.
func TestRenewalRetries(t *testing.T) {
	for _, c := range []struct {
		name     string
		silence  time.Duration
		draining bool
		runs     int
		want     time.Duration
	}{
		{"missed one renewal", time.Second, false, 1, renewalRetry},
		{"cut off", 4 * time.Second, false, 1, unreachableRetry},
		{"silent for longer than a lease", leaseTerm + time.Second, false, 1, goneRetry},
		{"draining with runs", time.Second, true, 1, renewalRetry},
		{"draining without runs", time.Second, true, 0, goneRetry},
	} {
		r := newRig(t, oneTask)
		r.lead()
		if c.runs > 0 {
			r.startedRun()
		}
		se := r.sessions[testWorker]
		se.draining = c.draining
		r.clock.Advance(c.silence)
		rn := r.nextRenewal(se)
		rn.err = errNoReply
		qt.Check(t, rn.nextPause(), qt.Equals, c.want, qt.Commentf(c.name))
	}
}

// TestSuspendedLeaderDeclaresNothing checks that a leader that was suspended for longer
// than all leases, and has a successor, does not take runs for lost.
func TestSuspendedLeaderDeclaresNothing(t *testing.T) {
	r := newRig(t, oneTask)
	r.lead()
	k := r.startedRun()
	r.clock.Advance(time.Minute)
	r.term.Add(1)
	r.tick(r.ctx)
	qt.Check(t, r.endsOf(k), qt.HasLen, 0)
	r.term.Add(^uint64(0))
	r.tick(r.ctx)
	qt.Check(t, r.endsOf(k), qt.DeepEquals, []cell.Outcome{cell.OutcomeLost})
}

// TestLostRenewalIsFollowedAtOnce checks that a renewal whose reply is lost is followed
// soon by one that does not wait at the worker, so that the ends of its runs are known
// little later than they would have been.
func TestLostRenewalIsFollowedAtOnce(t *testing.T) {
	r := newRig(t, oneTask)
	r.lead()
	se := r.sessions[testWorker]
	first := r.nextRenewal(se)
	qt.Check(t, first.order.Dedicated, qt.IsTrue, qt.Commentf("a new leader opens one connection a worker"))
	qt.Check(t, first.order.Wait, qt.Equals, time.Duration(0))
	r.deliverReply(RenewReply{ClockMillis: 1000})
	lost := r.nextRenewal(se)
	qt.Check(t, lost.order.Wait, qt.Equals, maxRenewalWait)
	lost.err = errNoReply
	r.onRenewalReply(r.ctx, se, &lost)
	qt.Check(t, lost.nextPause() <= 50*time.Millisecond, qt.IsTrue)
	next := r.nextRenewal(se)
	qt.Check(t, next.order.Wait, qt.Equals, time.Duration(0))
	next.reply = &RenewReply{ClockMillis: 3000}
	r.onRenewalReply(r.ctx, se, &next)
	waiting := r.nextRenewal(se)
	qt.Check(t, waiting.order.Wait, qt.Equals, maxRenewalWait)
}

func TestUnansweredRenewalsDoNotExtendLease(t *testing.T) {
	r := newRig(t, oneTask)
	r.lead()
	k := r.startedRun()
	se := r.sessions[testWorker]
	for i := 0; i < 100 && len(r.endsOf(k)) == 0; i++ {
		r.clock.Advance(time.Second)
		r.nextRenewal(se)
		r.declareExpiredRunsLost(se, r.now())
	}
	qt.Check(t, r.endsOf(k), qt.DeepEquals, []cell.Outcome{cell.OutcomeLost})
	qt.Check(t, r.now().Sub(se.lastReply) < 2*leaseTerm, qt.IsTrue)
}

// Checkpointing runs on a worker that is about to shut down are stopped early
// enough to save a checkpoint.
func TestCheckpointingRunsAreStoppedBeforeWorkerShutdown(t *testing.T) {
	saving := oneTask
	saving.Checkpoints = true
	r := newRig(t, saving)
	r.lead()
	k := r.startedRun()
	se := r.sessions[testWorker]
	se.draining, se.shutdownAt = true, r.now().Add(3*time.Second)
	r.stopBeforeShutdown(r.ctx, se, r.now())
	qt.Check(t, se.runs[k].stopRequestedAt == 0, qt.IsTrue)
	r.clock.Advance(3*time.Second - r.cfg.Bounds.StopTimeout - shutdownMargin)
	r.stopBeforeShutdown(r.ctx, se, r.now())
	qt.Check(t, se.runs[k].stopRequestedAt != 0, qt.IsTrue)
}

// An end must be recorded before it is acknowledged to the worker, also if an
// out-of-band renewal listed it first.
func TestEndsAreRecordedBeforeTheyAreAcknowledged(t *testing.T) {
	r := newRig(t, oneTask)
	r.lead()
	k := r.startedRun()
	se := r.sessions[testWorker]
	reply := RenewReply{ClockMillis: 2000, Finished: []FinishedTask{{Number: 1, Task: k, Run: 1, Outcome: cell.OutcomeDone}}}
	r.deliverReplyTo(true, reply)
	qt.Check(t, r.endsOf(k), qt.HasLen, 0)
	r.deliverReply(reply)
	qt.Check(t, r.endsOf(k), qt.DeepEquals, []cell.Outcome{cell.OutcomeDone})
	qt.Check(t, se.lastRecordedEnd, qt.Equals, int64(0))
	r.commitEnds(r.ctx)
	r.runUntil(func() bool { return se.lastRecordedEnd == 1 })
	recorded := false
	r.state.Read(func() { recorded = r.state.Jobs[testJob].State == cell.JobSucceeded })
	qt.Check(t, recorded, qt.IsTrue)
}

// If the commit that records the runs of an expired lease as lost fails, the next
// check must declare them lost again.
func TestUnrecordedLeaseExpiryIsRetried(t *testing.T) {
	r := newRig(t, oneTask)
	r.lead()
	k := r.startedRun()
	se := r.sessions[testWorker]
	r.clock.Advance(time.Minute)
	r.declareExpiredRunsLost(se, r.now())
	ends := r.ends.ends
	qt.Assert(t, r.endsOf(k), qt.HasLen, 1)
	r.ends = endBatch{inFlight: 1}
	r.onEndsCommitted(ends, nil, context.DeadlineExceeded)
	r.declareExpiredRunsLost(se, r.now())
	qt.Check(t, r.endsOf(k), qt.HasLen, 1)
}

// TestRunsAreNotLostByIncompleteLists guards against tasks that run twice after many of a
// worker's runs have ended at once: the worker lists the ends in several replies, and a
// run that the first one leaves out may have ended, too.
func TestRunsAreNotLostByIncompleteLists(t *testing.T) {
	r := newRig(t, cell.Step{Count: 2, Need: model.Resources{MilliCPU: 1000}, EstimateMillis: 1000})
	r.lead()
	r.deliverReply(RenewReply{ClockMillis: 1000})
	se := r.sessions[testWorker]
	var keys []cell.TaskKey
	for i := range 2 {
		k := r.place(i, 1)
		r.startRun(r.ctx, &cell.Start{Task: k, Run: 1, Worker: testWorker, Born: 1}, "", "", "")
		r.onStartReply(r.ctx, se, k, se.runs[k], nil)
		keys = append(keys, k)
	}
	ended := func(number int64, k cell.TaskKey) []FinishedTask {
		return []FinishedTask{{Number: number, Task: k, Run: 1, Outcome: cell.OutcomeDone}}
	}
	r.clock.Advance(time.Second)
	r.deliverReply(RenewReply{ClockMillis: 2000, Finished: ended(1, keys[0]), MoreFinished: true})
	qt.Check(t, r.endsOf(keys[1]), qt.HasLen, 0)
	r.deliverReply(RenewReply{ClockMillis: 2010, Finished: ended(2, keys[1])})
	qt.Check(t, r.endsOf(keys[0]), qt.DeepEquals, []cell.Outcome{cell.OutcomeDone})
	qt.Check(t, r.endsOf(keys[1]), qt.DeepEquals, []cell.Outcome{cell.OutcomeDone})
}
