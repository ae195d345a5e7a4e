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

// fixture is a leader and its replicated state, with one worker that runs task j.0
// and has been ordered to start task j.1.
type fixture struct {
	state  *work.State
	leader *workerapi.Leader
	now    clock.Instant
}

func newFixture() *fixture {
	f := &fixture{state: work.New(), now: clock.Instant(time.Hour)}
	f.replaceLeader(1)
	f.report(f.emptyReport(1))
	f.state.Apply(1000, &work.Command{
		Admit:  []work.Admit{{Spec: model.JobSpec{ID: "j", Workspace: "t", Tasks: 3, Size: need, Idempotent: true, Class: model.ClassBatch}}},
		Grants: []work.SetGrant{{Workspace: "t", Version: 1, Cap: size}},
		Place:  []work.Place{{Task: "j.0", Worker: "w"}, {Task: "j.1", Worker: "w"}},
	})
	r := f.emptyReport(2)
	r.Tasks = []api.TaskReport{running("j.0", 1)}
	f.report(r)
	return f
}

// replaceLeader replaces the leader by one of the given term and applies its first
// command.
func (f *fixture) replaceLeader(term uint64) {
	policy := workerapi.Policy{Lease: lease, Margin: margin, HeadroomPercent: 10}
	f.leader = workerapi.NewLeader(f.state, model.NewEpoch(1, term), policy, f.now)
	f.state.Apply(1000, f.leader.Prepare())
}

// emptyReport returns a report of the worker without tasks.
func (f *fixture) emptyReport(seq uint64) *api.WorkerReport {
	return &api.WorkerReport{Worker: "w", DC: "dc1", Rack: "r", Size: size, Incarnation: "i1", Seq: seq, Epoch: f.leader.Epoch()}
}

func running(id model.TaskID, attempt uint32) api.TaskReport {
	return api.TaskReport{Task: id, Attempt: attempt, State: model.TaskRunning, Used: need}
}

// report applies the command that follows from r and returns the orders in response.
func (f *fixture) report(r *api.WorkerReport) (*api.WorkerOrders, error) {
	cmd, err := f.leader.Report("dc1", r)
	if err != nil {
		return nil, err
	}
	f.state.Apply(1000, cmd)
	o, _ := f.leader.Orders(r.Worker, f.now, workerapi.LeaseStatus{LeaderLeaseValid: true, SettingsLeaseRemaining: 3 * time.Second})
	return o, nil
}

func TestRefusedReports(t *testing.T) {
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
		{"a duplicate", func(r *api.WorkerReport) { r.Seq = 2 }, workerapi.ReasonLateReport},
		{"an older one", func(r *api.WorkerReport) { r.Seq = 1 }, workerapi.ReasonLateReport},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture()
			r := f.emptyReport(3)
			tt.change(r)
			_, err := f.report(r)
			c := qt.New(t)
			c.Assert(err, qt.IsNotNil)
			c.Assert(verdict.FromError(err).Reason, qt.Equals, tt.want)
			c.Assert(verdict.FromError(err).Verdict, qt.Equals, verdict.NotRun)
		})
	}
}

func TestReportEffects(t *testing.T) {
	ended := func(o model.Outcome) api.TaskReport {
		return api.TaskReport{Task: "j.0", Attempt: 1, State: model.TaskEnded, Outcome: o}
	}
	tests := []struct {
		name  string
		tasks []api.TaskReport
		// want is the state of j.0 afterwards; start, stop and known are the
		// numbers of entries in the orders.
		want               model.TaskState
		start, stop, known int
	}{
		{name: "still runs", tasks: []api.TaskReport{running("j.0", 1)}, want: model.TaskRunning, start: 1},
		{name: "both run", tasks: []api.TaskReport{running("j.0", 1), running("j.1", 1)}, want: model.TaskRunning},
		{name: "succeeded", tasks: []api.TaskReport{ended(model.OutcomeSucceeded)}, want: model.TaskEnded, start: 1, known: 1},
		{name: "lease ended", tasks: []api.TaskReport{ended(model.OutcomeNone)}, want: model.TaskPending, start: 1, known: 1},
		{name: "confirmed and no longer reported", want: model.TaskPending, start: 1},
		{name: "an unknown run", tasks: []api.TaskReport{running("j.0", 1), running("x.0", 1)}, want: model.TaskRunning, start: 1, stop: 1},
		{name: "an older attempt", tasks: []api.TaskReport{running("j.0", 1), running("j.2", 0)}, want: model.TaskRunning, start: 1, stop: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture()
			r := f.emptyReport(3)
			r.Tasks = tt.tasks
			o, err := f.report(r)
			c.Assert(err, qt.IsNil)
			c.Assert(f.state.Task("j.0").State, qt.Equals, tt.want)
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
		status workerapi.LeaseStatus
		start  int
		within int64
		lease  int64
	}{
		{"settings lease", workerapi.LeaseStatus{LeaderLeaseValid: true, SettingsLeaseRemaining: time.Second}, 1, 1000, 5000},
		{"a longer settings lease", workerapi.LeaseStatus{LeaderLeaseValid: true, SettingsLeaseRemaining: time.Minute}, 1, 5000, 5000},
		{"none", workerapi.LeaseStatus{LeaderLeaseValid: true}, 0, 0, 5000},
		{"no leader lease", workerapi.LeaseStatus{SettingsLeaseRemaining: time.Second}, 0, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			o, _ := newFixture().leader.Orders("w", clock.Instant(time.Hour), tt.status)
			c.Assert(o.Start, qt.HasLen, tt.start)
			c.Assert(o.StartWithinMillis, qt.Equals, tt.within)
			c.Assert(o.LeaseMillis, qt.Equals, tt.lease)
		})
	}
}

// TestLateReportsEndNothing checks that runs missing from a report are not ended
// if the report may be older than one that an earlier leader has processed, or is
// older than one that this leader has processed.
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
			f := newFixture()
			late := f.emptyReport(1)
			if tt.elect {
				f.replaceLeader(2)
			}
			tt.skip(f.leader)
			f.report(late)
			qt.Assert(t, f.state.Task("j.0").State, qt.Equals, tt.want)
		})
	}
}

// TestNoLeaseWhileLossIsProposed checks that a worker's lease is not renewed while
// its loss is being committed. Otherwise it could run tasks that are placed
// elsewhere once the loss is applied.
func TestNoLeaseWhileLossIsProposed(t *testing.T) {
	tests := []struct {
		name string
		skip func(*workerapi.Leader)
		want int64
	}{
		{"protected", func(*workerapi.Leader) {}, 0},
		{"unprotected", func(l *workerapi.Leader) { l.Skip(workerapi.SkipLossProposed) }, lease.Milliseconds()},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture()
			tt.skip(f.leader)
			f.now = f.now.Add(lease + margin)
			c.Assert(f.leader.Expired(f.now), qt.HasLen, 1)
			r := f.emptyReport(3)
			r.Tasks = []api.TaskReport{running("j.0", 1)}
			o, err := f.report(r)
			c.Assert(err, qt.IsNil)
			c.Assert(o.LeaseMillis, qt.Equals, tt.want)
		})
	}
}

// TestLateReportOfAnOldIncarnation checks that a late report of a replaced worker
// process is refused rather than taken for one of the new process.
func TestLateReportOfAnOldIncarnation(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	restarted := f.emptyReport(1)
	restarted.Incarnation = "i2"
	o, err := f.report(restarted)
	c.Assert(err, qt.IsNil)
	c.Assert(o.LeaseMillis, qt.Equals, int64(0), qt.Commentf("the old process's lease has not ended"))
	_, err = f.report(f.emptyReport(9))
	c.Assert(verdict.FromError(err).Reason, qt.Equals, workerapi.ReasonOldIncarnation)
	c.Assert(f.state.Task("j.0").State, qt.Equals, model.TaskRunning)

	f.now = f.now.Add(lease + margin)
	f.state.Apply(1000, &work.Command{Epoch: f.leader.Epoch(), Lost: f.leader.Expired(f.now)})
	c.Assert(f.state.Task("j.0").State, qt.Equals, model.TaskPending)
	restarted.Seq = 2
	o, err = f.report(restarted)
	c.Assert(err, qt.IsNil)
	c.Assert(o.LeaseMillis, qt.Equals, lease.Milliseconds())
}

// TestNoLeaseBeforePrepare checks that a new leader grants no lease and declares no
// worker lost before the command from Prepare is applied.
func TestNoLeaseBeforePrepare(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	policy := workerapi.Policy{Lease: lease, Margin: margin}
	next := workerapi.NewLeader(f.state, model.NewEpoch(1, 2), policy, f.now)
	_, err := next.Report("dc1", f.emptyReport(3))
	c.Assert(err, qt.IsNil)
	o, _ := next.Orders("w", f.now, workerapi.LeaseStatus{LeaderLeaseValid: true, SettingsLeaseRemaining: time.Second})
	c.Assert(o.LeaseMillis, qt.Equals, int64(0))
	c.Assert(next.Expired(f.now.Add(time.Hour)), qt.HasLen, 0)
	f.state.Apply(1000, next.Prepare())
	o, _ = next.Orders("w", f.now, workerapi.LeaseStatus{LeaderLeaseValid: true, SettingsLeaseRemaining: time.Second})
	c.Assert(o.LeaseMillis, qt.Equals, lease.Milliseconds())
}

func TestNotifyClosesWake(t *testing.T) {
	f := newFixture()
	wake := f.leader.Wake("w")
	f.leader.Notify("w", "another")
	<-wake
}
