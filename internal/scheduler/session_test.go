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

// quietWorkers answers nothing, so that a test plays the answers itself.
type quietWorkers struct{}

func (quietWorkers) Start(ctx context.Context, _ Target, _ StartOrder) error {
	<-ctx.Done()
	return ctx.Err()
}

func (quietWorkers) Stop(ctx context.Context, _ Target, _ StopOrder) error {
	<-ctx.Done()
	return ctx.Err()
}

func (quietWorkers) Hold(ctx context.Context, _ Target, _ HoldOrder) (*HoldReply, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

const (
	testJob    cell.JobID    = "00000000000000aa"
	testWorker cell.WorkerID = "w1"
)

// rig is a scheduler over a group of one, driven by hand.
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
		Group: group, State: state, Workers: quietWorkers{}, Clock: manual, Log: zap.NewNop(),
		Bounds:  Bounds{MaxLease: 10 * time.Second, StopTimeout: 400 * time.Millisecond, KeepEnded: time.Minute},
		Metrics: NewMetrics(prometheus.NewRegistry()),
	})
	r := &rig{s, t, ctx, state, group, manual}
	r.do(&cell.Command{Configure: &cell.Configure{Document: []byte("{}"), Config: cell.Config{
		Version: 1, Pools: []cell.Pool{{Name: "p"}},
		Queues: []cell.Queue{{
			Name: "q", Host: "h", Prefix: "/q/", Attempts: 2, TimeoutMillis: 1000, Pool: "p", Stretch: 2, ObjectiveMillis: 1000,
		}},
		Workspaces: []cell.Workspace{{Name: "a", Keys: []string{"k"}}},
	}}})
	r.do(&cell.Command{Workers: &cell.Workers{Seen: []cell.Worker{{
		ID: testWorker, Born: 1, Addr: "10.0.0.1:1", DC: "dc1", Pool: "p",
		Capacity: model.Resources{MilliCPU: 16000, MemoryMB: 32000},
	}}}})
	r.do(&cell.Command{Submit: &cell.Submit{Job: cell.Job{ID: testJob, Queue: "q", Workspace: "a", Steps: steps}}})
	return r
}

func (r *rig) do(c *cell.Command) {
	r.t.Helper()
	data, err := c.Encode()
	qt.Assert(r.t, err, qt.IsNil)
	_, err = r.group.Propose(context.Background(), data)
	qt.Assert(r.t, err, qt.IsNil)
}

// lead begins a leadership of the group's present term.
func (r *rig) lead() {
	r.begin(r.group.Status().Term)
	qt.Assert(r.t, r.takeOver(r.ctx), qt.IsNil)
	r.syncSessions(r.ctx)
}

// runUntil runs the events that background calls post until done reports true.
func (r *rig) runUntil(done func() bool) {
	r.t.Helper()
	limit := time.After(10 * time.Second)
	for !done() {
		select {
		case e := <-r.events:
			e()
		case <-limit:
			r.t.Fatal("the expected event did not come")
		}
	}
}

// place commits one start as a plan would.
func (r *rig) place(index int, run int64) cell.TaskKey {
	k := cell.TaskKey{Job: testJob, Index: index}
	r.do(&cell.Command{Leadership: r.term, Starts: &cell.Starts{Starts: []cell.Start{{Task: k, Run: run, Worker: testWorker, Born: 1}}}})
	return k
}

// answer plays a worker's answer to a renewal that is sent now.
func (r *rig) answer(reply HoldReply) { r.answerTo(false, reply) }

// answerTo does so for a renewal of the loop, or an extra one.
func (r *rig) answerTo(extra bool, reply HoldReply) {
	se := r.sessions[testWorker]
	job := &holdJob{target: se.target, order: HoldOrder{Fence: r.term}, sent: r.now(), reply: &reply, extra: extra}
	r.onHold(r.ctx, se, job)
}

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

// A run that is committed while its start waits to be sent must not be taken
// for one that an earlier leader left behind.
func TestPlacedRunIsNotGone(t *testing.T) {
	r := newRig(t, oneTask)
	r.lead()
	k := r.place(0, 1)
	r.syncSessions(r.ctx)
	r.answer(HoldReply{ClockMillis: 1000})
	qt.Check(t, r.endsOf(k), qt.HasLen, 0)
}

func TestInheritedRuns(t *testing.T) {
	for _, k := range []struct {
		name  string
		reply HoldReply
		want  []cell.Outcome
	}{
		{"listed as running", HoldReply{ClockMillis: 5, Running: []RunningTask{{Task: cell.TaskKey{Job: testJob}, Run: 1}}}, nil},
		{"not listed", HoldReply{ClockMillis: 5}, []cell.Outcome{cell.OutcomeLost}},
		{"ended", HoldReply{ClockMillis: 5, Finished: []FinishedTask{{
			Number: 1, Task: cell.TaskKey{Job: testJob}, Run: 1, Outcome: cell.OutcomeDone,
		}}}, []cell.Outcome{cell.OutcomeDone}},
	} {
		t.Run(k.name, func(t *testing.T) {
			r := newRig(t, oneTask)
			r.lead()
			key := r.place(0, 1)
			r.lead()
			r.answer(k.reply)
			qt.Check(t, r.endsOf(key), qt.DeepEquals, k.want)
		})
	}
}

// A start without an answer may be carried out seconds later: the task is
// given up once the worker has taken a stop, or the start's lease has passed.
func TestUnansweredStart(t *testing.T) {
	for _, c := range []struct {
		name string
		then func(r *rig, run *run)
		gone bool
	}{
		{"nothing known", func(*rig, *run) {}, false},
		{"stop taken", func(r *rig, run *run) { r.stopped(r.ctx, r.sessions[testWorker], run, nil) }, true},
		{"stop without an answer", func(r *rig, run *run) { r.stopped(r.ctx, r.sessions[testWorker], run, context.DeadlineExceeded) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, oneTask)
			r.lead()
			r.answer(HoldReply{ClockMillis: 1000})
			k := r.place(0, 1)
			r.startRun(r.ctx, &cell.Start{Task: k, Run: 1, Worker: testWorker, Born: 1}, "", "", "")
			se := r.sessions[testWorker]
			run := se.runs[k]
			r.started(r.ctx, se, k, run, context.DeadlineExceeded)
			c.then(r, run)
			r.clock.Advance(10 * time.Millisecond)
			r.answer(HoldReply{ClockMillis: 1010})
			qt.Check(t, len(r.endsOf(k)) > 0, qt.Equals, c.gone)
			if c.gone {
				return
			}
			r.answer(HoldReply{ClockMillis: run.leaseMillis + 1})
			qt.Check(t, r.endsOf(k), qt.DeepEquals, []cell.Outcome{cell.OutcomeLost}, qt.Commentf("after the start's lease"))
		})
	}
}

// A worker's runs are given up only when every lease has surely ended on its
// clock, which may be slow.
func TestLeaseLapse(t *testing.T) {
	r := newRig(t, oneTask)
	r.lead()
	k := r.startedRun()
	se := r.sessions[testWorker]
	term := time.Duration(se.granted-1000) * time.Millisecond
	r.clock.Advance(term)
	r.checkLapse(se, r.now())
	qt.Check(t, r.endsOf(k), qt.HasLen, 0, qt.Commentf("a slow clock has not passed the lease yet"))
	r.clock.Advance(time.Duration(float64(term)*(1/slowestClock-1)) + 2*lapseMargin)
	r.checkLapse(se, r.now())
	qt.Check(t, r.endsOf(k), qt.DeepEquals, []cell.Outcome{cell.OutcomeLost})
}

// Renewals that get no answer must not put off the end of a dead worker's lease.
func TestUnansweredRenewalsEnd(t *testing.T) {
	r := newRig(t, oneTask)
	r.lead()
	k := r.startedRun()
	se := r.sessions[testWorker]
	for i := 0; i < 100 && len(r.endsOf(k)) == 0; i++ {
		r.clock.Advance(time.Second)
		r.nextHold(se)
		r.checkLapse(se, r.now())
	}
	qt.Check(t, r.endsOf(k), qt.DeepEquals, []cell.Outcome{cell.OutcomeLost})
	qt.Check(t, r.now().Sub(se.heard) < 2*leaseTerm, qt.IsTrue)
}

// What runs on a worker that is about to end is stopped in time to be saved.
func TestRunsAreStoppedBeforeTheirWorkerLeaves(t *testing.T) {
	saving := oneTask
	saving.Checkpoints = true
	r := newRig(t, saving)
	r.lead()
	k := r.startedRun()
	se := r.sessions[testWorker]
	se.draining, se.leaves = true, r.now().Add(3*time.Second)
	r.stopLeaving(r.ctx, se, r.now())
	qt.Check(t, se.runs[k].stopSince == 0, qt.IsTrue)
	r.clock.Advance(3*time.Second - r.cfg.Bounds.StopTimeout - leaveMargin)
	r.stopLeaving(r.ctx, se, r.now())
	qt.Check(t, se.runs[k].stopSince != 0, qt.IsTrue)
}

// An end must be recorded before the worker may forget it, also if an extra look
// at the worker showed it first.
func TestEndsAreRecordedBeforeTheyAreAcknowledged(t *testing.T) {
	r := newRig(t, oneTask)
	r.lead()
	k := r.startedRun()
	se := r.sessions[testWorker]
	reply := HoldReply{ClockMillis: 2000, Finished: []FinishedTask{{Number: 1, Task: k, Run: 1, Outcome: cell.OutcomeDone}}}
	r.answerTo(true, reply)
	qt.Check(t, r.endsOf(k), qt.HasLen, 0)
	r.answer(reply)
	qt.Check(t, r.endsOf(k), qt.DeepEquals, []cell.Outcome{cell.OutcomeDone})
	qt.Check(t, se.seen, qt.Equals, int64(0))
	r.commitEnds(r.ctx)
	r.runUntil(func() bool { return se.seen == 1 })
	recorded := false
	r.state.Read(func() { recorded = r.state.Jobs[testJob].State == cell.JobSucceeded })
	qt.Check(t, recorded, qt.IsTrue)
}

// Runs of a lapsed lease whose end could not be recorded are given up again.
func TestLapseIsNoticedAgain(t *testing.T) {
	r := newRig(t, oneTask)
	r.lead()
	k := r.startedRun()
	se := r.sessions[testWorker]
	r.clock.Advance(time.Minute)
	r.checkLapse(se, r.now())
	ends := r.ends.ends
	qt.Assert(t, r.endsOf(k), qt.HasLen, 1)
	r.ends = endBatch{inFlight: 1}
	r.endsCommitted(ends, nil, context.DeadlineExceeded)
	r.checkLapse(se, r.now())
	qt.Check(t, r.endsOf(k), qt.HasLen, 1)
}
