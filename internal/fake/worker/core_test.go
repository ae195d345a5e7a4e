package worker

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/api"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/model"
)

// reportSentAt is when the report was sent that the orders answer.
const reportSentAt = clock.Instant(time.Hour)

func taskOrder(attempt uint32) api.TaskOrder {
	return api.TaskOrder{RunID: api.RunID{Task: "j.0", Attempt: attempt}, Job: "j", RunMillis: 60_000}
}

func startOrders(epoch model.Epoch, attempt uint32) *api.WorkerOrders {
	return &api.WorkerOrders{Epoch: epoch, LeaseMillis: 5000, StartWithinMillis: 3000, Start: []api.TaskOrder{taskOrder(attempt)}}
}

func TestStartOrderChecks(t *testing.T) {
	tests := []struct {
		name   string
		before *api.WorkerOrders
		orders *api.WorkerOrders
		delay  time.Duration
		faults Faults
		want   int
	}{
		{name: "in time", orders: startOrders(2, 1), want: 1},
		{name: "after the start bound", orders: startOrders(2, 1), delay: 3 * time.Second},
		{name: "unprotected", orders: startOrders(2, 1), delay: 3 * time.Second, faults: Faults{IgnoreStartBound: true}, want: 1},
		{name: "older epoch", before: &api.WorkerOrders{Epoch: 3, LeaseMillis: 5000}, orders: startOrders(2, 1)},
		{name: "unprotected", before: &api.WorkerOrders{Epoch: 3, LeaseMillis: 5000}, orders: startOrders(2, 1), faults: Faults{IgnoreEpoch: true}, want: 1},
		{name: "no lease", orders: &api.WorkerOrders{Epoch: 2, StartWithinMillis: 3000, Start: []api.TaskOrder{taskOrder(1)}}},
		{name: "stop order before start order", before: &api.WorkerOrders{Epoch: 2, LeaseMillis: 5000, Stop: []api.StopOrder{{RunID: api.RunID{Task: "j.0", Attempt: 1}}}}, orders: startOrders(2, 1)},
		{name: "repeated", before: startOrders(2, 1), orders: startOrders(2, 1), want: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := NewCore(Config{ID: "w", Faults: tt.faults})
			if tt.before != nil {
				c.Apply(reportSentAt, reportSentAt, tt.before)
			}
			c.Apply(reportSentAt, reportSentAt.Add(tt.delay), tt.orders)
			qt.Assert(t, c.Running(), qt.HasLen, tt.want)
		})
	}
}

func TestLeaseExpiryEndsAllRuns(t *testing.T) {
	c := qt.New(t)
	w := NewCore(Config{ID: "w"})
	w.Apply(reportSentAt, reportSentAt, startOrders(2, 1))
	c.Assert(w.Advance(reportSentAt.Add(4999*time.Millisecond)), qt.IsFalse)
	expiry := reportSentAt.Add(5 * time.Second)
	c.Assert(w.NextDue(reportSentAt), qt.Equals, expiry)
	// A renewal after expiry doesn't resume the run.
	w.Apply(expiry, expiry, &api.WorkerOrders{Epoch: 2, LeaseMillis: 5000})
	c.Assert(w.Running(), qt.HasLen, 0)
	report := w.Report(expiry).Tasks[0]
	c.Assert(report.State, qt.Equals, model.TaskEnded)
	c.Assert(report.Outcome, qt.Equals, model.OutcomeNone)
	c.Assert(report.Reason, qt.Equals, ReasonLeaseEnded)
}

func TestStopOrdersAndFailures(t *testing.T) {
	stop := &api.WorkerOrders{Epoch: 2, LeaseMillis: 5000, Stop: []api.StopOrder{{RunID: api.RunID{Task: "j.0", Attempt: 1}, Checkpoint: true}}}
	tests := []struct {
		name                 string
		cfg                  Config
		orders               *api.WorkerOrders
		delay                time.Duration
		want                 model.Outcome
		wantCheckpointMillis int64
	}{
		{"stopped with a checkpoint", Config{}, stop, 0, model.OutcomeCancelled, 1000},
		{"slow to stop", Config{StopDelay: 2 * time.Second}, stop, 2 * time.Second, model.OutcomeCancelled, 1000},
		{"fails", Config{Mode: ModeFails, FailAfter: time.Second}, nil, time.Second, model.OutcomeFailed, 0},
		{"fails one job", Config{FailJobs: []model.JobID{"j"}, FailAfter: time.Second}, nil, time.Second, model.OutcomeFailed, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			w := NewCore(tt.cfg)
			w.Apply(reportSentAt, reportSentAt, startOrders(2, 1))
			now := reportSentAt.Add(time.Second)
			if tt.orders != nil {
				w.Apply(now, now, tt.orders)
			}
			c.Assert(w.Advance(now.Add(tt.delay)), qt.IsTrue)
			report := w.Report(now).Tasks[0]
			c.Assert(report.Outcome, qt.Equals, tt.want)
			c.Assert(report.CheckpointMillis, qt.Equals, tt.wantCheckpointMillis)
		})
	}
}
