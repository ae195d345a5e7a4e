package control

import (
	"context"
	"net/http"
	"time"

	"kumquatwing/internal/api"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/dcstate"
	"kumquatwing/internal/httpx"
	"kumquatwing/internal/settings"
	"kumquatwing/internal/verdict"
	"kumquatwing/internal/work"
)

const (
	// maxReportBytes bounds the body of a worker's report.
	maxReportBytes = 1 << 20
	// maxHoldTime bounds how long the response to a report is delayed.
	maxHoldTime = 2 * time.Second
)

// workerReport serves the report of a worker. It runs at the leader of the data
// centre group; forwardReports forwards reports from other members.
func (s *Server) workerReport(w http.ResponseWriter, r *http.Request) {
	var report api.WorkerReport
	if refusal := httpx.ReadJSON(r, maxReportBytes, &report); refusal != nil {
		httpx.WriteRefusal(w, refusal)
		return
	}
	orders, err := s.processReport(r.Context(), &report)
	if err != nil {
		httpx.WriteRefusal(w, err)
		return
	}
	httpx.WriteJSON(w, http.StatusOK, orders)
}

// processReport applies a report and returns the orders for the worker. If there are
// none, it waits for some up to the hold time.
func (s *Server) processReport(ctx context.Context, report *api.WorkerReport) (*api.WorkerOrders, error) {
	l := s.dc.leaderState()
	if l == nil {
		return nil, errNotLeader(s.cfg.DC)
	}
	var cmd *work.Command
	var err error
	c := &dcstate.Command{}
	refusal := l.viewInEpoch(func(clock.Instant) {
		c.NowMillis = l.nowMillis()
		cmd, err = l.workers.Report(s.cfg.DC, report)
	})
	if refusal != nil {
		return nil, refusal
	}
	if err != nil {
		return nil, err
	}
	s.metrics.reports.Inc()
	if !cmd.Empty() {
		c.Work = cmd
		if _, err := l.commit(ctx, c); err != nil {
			return nil, err
		}
	}
	return l.awaitOrders(ctx, report)
}

// awaitOrders returns the worker's orders as soon as there are any, or when the hold
// time ends.
func (l *leaderState) awaitOrders(ctx context.Context, report *api.WorkerReport) (*api.WorkerOrders, error) {
	hold := min(time.Duration(report.HoldMillis)*time.Millisecond, maxHoldTime, l.duration(settings.WorkerLease)/renewalsPerLease)
	timeout := time.NewTimer(hold)
	defer timeout.Stop()
	for timedOut := hold <= 0; ; {
		var orders *api.WorkerOrders
		var respondNow bool
		var wake <-chan struct{}
		refusal := l.viewInEpoch(func(now clock.Instant) {
			wake = l.workers.Wake(report.Worker)
			orders, respondNow = l.workers.Orders(report.Worker, now, l.leaseStatus(now))
		})
		if refusal != nil {
			return nil, refusal
		}
		if respondNow || timedOut {
			return orders, nil
		}
		select {
		case <-wake:
		case <-timeout.C:
			timedOut = true
		case <-l.s.stopping:
			timedOut = true
		case <-ctx.Done():
			return nil, verdict.RefuseMayHaveRun(verdict.ReasonDeadline, "the worker gave up waiting for its orders")
		}
	}
}
