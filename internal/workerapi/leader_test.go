package workerapi_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/api"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/model"
	"kumquatwing/internal/verdict"
	"kumquatwing/internal/work"
	"kumquatwing/internal/workerapi"
)

const (
	lease  = 5 * time.Second
	margin = 250 * time.Millisecond
)

var (
	size = model.Resources{MilliCPU: 4000, MemoryMB: 4096}
	need = model.Resources{MilliCPU: 1000, MemoryMB: 1024}
)

// bench is a table with one worker that runs task j.0 and has task j.1 ordered.
type bench struct {
	state  *work.State
	leader *workerapi.Leader
	now    clock.Instant
}

func newBench() *bench {
	b := &bench{state: work.New(), now: clock.Instant(time.Hour)}
	b.lead(1)
	b.report(b.base(1))
	b.state.Apply(1000, &work.Command{
		Admit:  []work.Admit{{Spec: model.JobSpec{ID: "j", Workspace: "t", Tasks: 3, Size: need, Idempotent: true, Class: model.ClassBatch}}},
		Grants: []work.SetGrant{{Workspace: "t", Version: 1, Cap: size}},
		Place:  []work.Place{{Task: "j.0", Worker: "w"}, {Task: "j.1", Worker: "w"}},
	})
	r := b.base(2)
	r.Tasks = []api.TaskReport{running("j.0", 1)}
	b.report(r)
	return b
}

func (b *bench) lead(term uint64) {
	policy := workerapi.Policy{Lease: lease, Margin: margin, HeadroomPercent: 10}
	b.leader = workerapi.NewLeader(b.state, model.NewEpoch(1, term), policy, b.now)
	b.state.Apply(1000, b.leader.Prepare())
}

// base is an empty report of the worker.
func (b *bench) base(seq uint64) *api.WorkerReport {
	return &api.WorkerReport{Worker: "w", DC: "dc1", Rack: "r", Size: size, Incarnation: "i1", Seq: seq, Epoch: b.leader.Epoch()}
}

func running(id model.TaskID, attempt uint32) api.TaskReport {
	return api.TaskReport{Task: id, Attempt: attempt, State: model.TaskRunning, Used: need}
}

func (b *bench) report(r *api.WorkerReport) (*api.WorkerOrders, error) {
	cmd, err := b.leader.Report("dc1", r)
	if err != nil {
		return nil, err
	}
	b.state.Apply(1000, cmd)
	o, _ := b.leader.Orders(r.Worker, b.now, workerapi.Gate{Leads: true, MayStart: 3 * time.Second})
	return o, nil
}

func TestReportsThatAreRefused(t *testing.T) {
	tests := []struct {
		name   string
		change func(*api.WorkerReport)
		want   verdict.Reason
	}{
		{"no name", func(r *api.WorkerReport) { r.Worker = "" }, verdict.ReasonBadRequest},
		{"no incarnation", func(r *api.WorkerReport) { r.Incarnation = "" }, verdict.ReasonBadRequest},
		{"no size", func(r *api.WorkerReport) { r.Size = model.Resources{} }, verdict.ReasonBadRequest},
		{"negative size", func(r *api.WorkerReport) { r.Size.MemoryMB = -1 }, verdict.ReasonBadRequest},
		{"another data centre", func(r *api.WorkerReport) { r.DC = "dc2" }, workerapi.ReasonWrongDC},
		{"a repeat", func(r *api.WorkerReport) { r.Seq = 2 }, workerapi.ReasonLateReport},
		{"a late one", func(r *api.WorkerReport) { r.Seq = 1 }, workerapi.ReasonLateReport},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench()
			r := b.base(3)
			tt.change(r)
			_, err := b.report(r)
			c := qt.New(t)
			c.Assert(err, qt.IsNotNil)
			c.Assert(verdict.From(err).Reason, qt.Equals, tt.want)
			c.Assert(verdict.From(err).Verdict, qt.Equals, verdict.NotRun)
		})
	}
}

func TestWhatReportsDo(t *testing.T) {
	ended := func(o model.Outcome) api.TaskReport {
		return api.TaskReport{Task: "j.0", Attempt: 1, State: model.TaskEnded, Outcome: o}
	}
	tests := []struct {
		name  string
		tasks []api.TaskReport
		// state of j.0 afterwards, and what the orders name.
		want               model.TaskState
		start, stop, known int
	}{
		{name: "runs on", tasks: []api.TaskReport{running("j.0", 1)}, want: model.TaskRunning, start: 1},
		{name: "both run", tasks: []api.TaskReport{running("j.0", 1), running("j.1", 1)}, want: model.TaskRunning},
		{name: "succeeded", tasks: []api.TaskReport{ended(model.OutcomeSucceeded)}, want: model.TaskEnded, start: 1, known: 1},
		{name: "lease ended", tasks: []api.TaskReport{ended(model.OutcomeNone)}, want: model.TaskPending, start: 1, known: 1},
		{name: "confirmed and gone", want: model.TaskPending, start: 1},
		{name: "an unknown run", tasks: []api.TaskReport{running("j.0", 1), running("x.0", 1)}, want: model.TaskRunning, start: 1, stop: 1},
		{name: "an older attempt", tasks: []api.TaskReport{running("j.0", 1), running("j.2", 0)}, want: model.TaskRunning, start: 1, stop: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			b := newBench()
			r := b.base(3)
			r.Tasks = tt.tasks
			o, err := b.report(r)
			c.Assert(err, qt.IsNil)
			c.Assert(b.state.Task("j.0").State, qt.Equals, tt.want)
			c.Assert(o.Start, qt.HasLen, tt.start)
			c.Assert(o.Stop, qt.HasLen, tt.stop)
			c.Assert(o.Known, qt.HasLen, tt.known)
			c.Assert(o.LeaseMillis, qt.Equals, lease.Milliseconds())
		})
	}
}

func TestStartsNeedTheSettingsLease(t *testing.T) {
	tests := []struct {
		name   string
		gate   workerapi.Gate
		start  int
		within int64
		lease  int64
	}{
		{"settings lease", workerapi.Gate{Leads: true, MayStart: time.Second}, 1, 1000, 5000},
		{"a longer one", workerapi.Gate{Leads: true, MayStart: time.Minute}, 1, 5000, 5000},
		{"none", workerapi.Gate{Leads: true}, 0, 0, 5000},
		{"no leader's lease", workerapi.Gate{MayStart: time.Second}, 0, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			o, _ := newBench().leader.Orders("w", clock.Instant(time.Hour), tt.gate)
			c.Assert(o.Start, qt.HasLen, tt.start)
			c.Assert(o.StartWithinMillis, qt.Equals, tt.within)
			c.Assert(o.LeaseMillis, qt.Equals, tt.lease)
		})
	}
}

// A report that an earlier leader may have had already says nothing about what
// the worker holds now; neither does one that comes after a newer one.
func TestLateReportsEndNothing(t *testing.T) {
	tests := []struct {
		name  string
		elect bool
		skip  func(*workerapi.Leader)
		want  model.TaskState
	}{
		{"after a leader change", true, func(*workerapi.Leader) {}, model.TaskRunning},
		{"unprotected", true, func(l *workerapi.Leader) { l.Skip(workerapi.SkipCurrent) }, model.TaskPending},
		{"after a newer one", false, func(*workerapi.Leader) {}, model.TaskRunning},
		{"unprotected", false, func(l *workerapi.Leader) { l.Skip(workerapi.SkipSeq) }, model.TaskPending},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench()
			late := b.base(1)
			if tt.elect {
				b.lead(2)
			}
			tt.skip(b.leader)
			b.report(late)
			qt.Assert(t, b.state.Task("j.0").State, qt.Equals, tt.want)
		})
	}
}

// While the loss of a worker is being committed its lease must not be renewed.
func TestNoLeaseWhileLosing(t *testing.T) {
	tests := []struct {
		name string
		skip func(*workerapi.Leader)
		want int64
	}{
		{"protected", func(*workerapi.Leader) {}, 0},
		{"unprotected", func(l *workerapi.Leader) { l.Skip(workerapi.SkipLosing) }, lease.Milliseconds()},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			b := newBench()
			tt.skip(b.leader)
			b.now = b.now.Add(lease + margin)
			c.Assert(b.leader.Expired(b.now), qt.HasLen, 1)
			r := b.base(3)
			r.Tasks = []api.TaskReport{running("j.0", 1)}
			o, err := b.report(r)
			c.Assert(err, qt.IsNil)
			c.Assert(o.LeaseMillis, qt.Equals, tt.want)
		})
	}
}

// A late report of a process that was replaced must not speak for the new one.
func TestLateReportOfAnOldIncarnation(t *testing.T) {
	c := qt.New(t)
	b := newBench()
	fresh := b.base(1)
	fresh.Incarnation = "i2"
	o, err := b.report(fresh)
	c.Assert(err, qt.IsNil)
	c.Assert(o.LeaseMillis, qt.Equals, int64(0), qt.Commentf("the old process's lease has not ended"))
	_, err = b.report(b.base(9))
	c.Assert(verdict.From(err).Reason, qt.Equals, workerapi.ReasonOldIncarnation)
	c.Assert(b.state.Task("j.0").State, qt.Equals, model.TaskRunning)

	b.now = b.now.Add(lease + margin)
	b.state.Apply(1000, &work.Command{Epoch: b.leader.Epoch(), Lost: b.leader.Expired(b.now)})
	c.Assert(b.state.Task("j.0").State, qt.Equals, model.TaskPending)
	fresh.Seq = 2
	o, err = b.report(fresh)
	c.Assert(err, qt.IsNil)
	c.Assert(o.LeaseMillis, qt.Equals, lease.Milliseconds())
}

func TestNoLeaseBeforeTheFirstCommand(t *testing.T) {
	c := qt.New(t)
	b := newBench()
	policy := workerapi.Policy{Lease: lease, Margin: margin}
	next := workerapi.NewLeader(b.state, model.NewEpoch(1, 2), policy, b.now)
	_, err := next.Report("dc1", b.base(3))
	c.Assert(err, qt.IsNil)
	o, _ := next.Orders("w", b.now, workerapi.Gate{Leads: true, MayStart: time.Second})
	c.Assert(o.LeaseMillis, qt.Equals, int64(0))
	c.Assert(next.Expired(b.now.Add(time.Hour)), qt.HasLen, 0)
	b.state.Apply(1000, next.Prepare())
	o, _ = next.Orders("w", b.now, workerapi.Gate{Leads: true, MayStart: time.Second})
	c.Assert(o.LeaseMillis, qt.Equals, lease.Milliseconds())
}

func TestWakeIsClosedByNotify(t *testing.T) {
	b := newBench()
	wake := b.leader.Wake("w")
	b.leader.Notify("w", "another")
	<-wake
}
