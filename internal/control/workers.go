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
	// maxReportBytes bounds a worker's report.
	maxReportBytes = 1 << 20
	// longestHold bounds how long a report's answer is held back.
	longestHold = 2 * time.Second
)

// workerReport answers a worker. A member that doesn't lead passes the report
// on to the leader.
func (s *Server) workerReport(w http.ResponseWriter, r *http.Request) {
	var report api.WorkerReport
	if refusal := httpx.ReadJSON(r, maxReportBytes, &report); refusal != nil {
		httpx.WriteRefusal(w, refusal)
		return
	}
	orders, err := s.takeReport(r.Context(), &report)
	if err != nil {
		httpx.WriteRefusal(w, err)
		return
	}
	httpx.WriteJSON(w, http.StatusOK, orders)
}

// takeReport takes in a report and returns the orders for the worker, held
// back for a while if there are none.
func (s *Server) takeReport(ctx context.Context, report *api.WorkerReport) (*api.WorkerOrders, error) {
	l := s.dc.leader()
	if l == nil {
		return nil, errNotLeader(s.cfg.DC)
	}
	var cmd *work.Command
	var err error
	c := &dcstate.Command{}
	refusal := l.view(func(clock.Instant) {
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

// awaitOrders returns the worker's orders once there are any or the hold time
// is over.
func (l *leader) awaitOrders(ctx context.Context, report *api.WorkerReport) (*api.WorkerOrders, error) {
	hold := min(time.Duration(report.HoldMillis)*time.Millisecond, longestHold, l.duration(settings.WorkerLease)/renewsPerTerm)
	timeout := time.NewTimer(hold)
	defer timeout.Stop()
	for over := hold <= 0; ; {
		var orders *api.WorkerOrders
		var worth bool
		var wake <-chan struct{}
		refusal := l.view(func(now clock.Instant) {
			wake = l.workers.Wake(report.Worker)
			orders, worth = l.workers.Orders(report.Worker, now, l.gate(now))
		})
		if refusal != nil {
			return nil, refusal
		}
		if worth || over {
			return orders, nil
		}
		select {
		case <-wake:
		case <-timeout.C:
			over = true
		case <-l.s.stopping:
			over = true
		case <-ctx.Done():
			return nil, verdict.Uncertain(verdict.ReasonDeadline, "the worker gave up waiting for its orders")
		}
	}
}
