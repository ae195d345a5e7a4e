package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"kumquatwing/internal/api"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/workerapi"
)

const (
	// reportInterval is the time between reports when nothing has changed.
	reportInterval = 500 * time.Millisecond
	// holdTimeMillis is the hold time of a report: how long kqcontrol may delay
	// the response while it has no orders.
	holdTimeMillis = 1000
	// reportTimeout is the timeout of one report, including the hold time.
	reportTimeout = 2 * time.Second
	// retryPause is the delay before the next report after a failed one.
	retryPause = 200 * time.Millisecond
	// maxResponseBytes is the maximum number of bytes read of a response body.
	maxResponseBytes = 4 << 20
)

// Process runs a Core that reports to kqcontrol over HTTP.
type Process struct {
	core     *Core
	cfg      Config
	baseURLs []string
	urlIndex int
	client   *http.Client
	clock    clock.Clock
	log      *zap.Logger
	// lastAcked is the full form of the last report that kqcontrol answered, nil
	// after a failed report. The next report is sent as the delta to it.
	lastAcked *api.WorkerReport
	// SilentAfter and SilentFor apply to ModeSilent: the worker stops reporting
	// SilentAfter after the start of Run, for SilentFor.
	SilentAfter, SilentFor time.Duration
}

// reportResult is the outcome of one report. acked is its full form.
type reportResult struct {
	sentAt clock.Instant
	acked  *api.WorkerReport
	orders *api.WorkerOrders
	err    error
}

// NewProcess returns a worker that reports to the first of the base URLs and
// switches to the next one after each failure.
func NewProcess(cfg Config, baseURLs []string, client *http.Client, c clock.Clock, log *zap.Logger) *Process {
	return &Process{core: NewCore(cfg), cfg: cfg, baseURLs: baseURLs, client: client, clock: c, log: log.Named("worker")}
}

// Run sends reports and runs tasks until ctx is cancelled.
func (p *Process) Run(ctx context.Context) error {
	startedAt := p.clock.Now()
	var pending chan reportResult
	cancel := func() {}
	defer func() { cancel() }()
	reportAt := startedAt
	for {
		now := p.clock.Now()
		if p.core.Advance(now) {
			// Cancel a report in its hold time, so that the end of a run is
			// reported immediately.
			cancel()
			reportAt = now
		}
		if pending == nil && !now.Before(reportAt) && !p.silent(now.Sub(startedAt)) {
			pending, cancel = p.sendReport(ctx, now)
		}
		timer := time.NewTimer(p.timeUntilDue(now, reportAt, pending != nil))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		case result := <-pending:
			timer.Stop()
			cancel()
			pending = nil
			reportAt = p.handleResult(result, reportAt)
		}
	}
}

// timeUntilDue returns the time until the core or the next report needs
// attention, between 1 ms and reportInterval.
func (p *Process) timeUntilDue(now, reportAt clock.Instant, reportPending bool) time.Duration {
	due := p.core.NextDue(now)
	if !reportPending {
		due = min(due, max(reportAt, now.Add(10*time.Millisecond)))
	}
	return min(max(due.Sub(now), time.Millisecond), reportInterval)
}

// handleResult applies the orders in a response and returns when to send the
// next report.
func (p *Process) handleResult(result reportResult, reportAt clock.Instant) clock.Instant {
	now := p.clock.Now()
	if result.err != nil {
		p.lastAcked = nil
		p.urlIndex++
		p.log.Debug("report failed", zap.String("id", string(p.cfg.ID)), zap.Error(result.err))
		if reportAt > result.sentAt {
			return reportAt
		}
		return now.Add(retryPause)
	}
	p.lastAcked = result.acked
	p.core.Apply(result.sentAt, now, result.orders)
	if len(result.orders.Start)+len(result.orders.Stop)+len(result.orders.Known) > 0 {
		return now
	}
	return max(reportAt, result.sentAt.Add(reportInterval))
}

func (p *Process) silent(uptime time.Duration) bool {
	return p.cfg.Mode == ModeSilent && uptime >= p.SilentAfter && uptime < p.SilentAfter+p.SilentFor
}

// sendReport starts sending a report. Its result arrives on the channel; the
// returned function cancels the request.
func (p *Process) sendReport(ctx context.Context, now clock.Instant) (chan reportResult, context.CancelFunc) {
	r := p.core.Report(now)
	sent, full := r, r
	if p.lastAcked != nil {
		sent = workerapi.Delta(p.lastAcked, r)
		full = workerapi.ApplyDelta(p.lastAcked, sent)
		// The full report after a failure has no hold time, so that the response
		// renews the lease without delay.
		sent.HoldMillis = holdTimeMillis
	}
	baseURL := p.baseURLs[p.urlIndex%len(p.baseURLs)]
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	result := make(chan reportResult, 1)
	go func() {
		orders, err := p.post(ctx, baseURL+api.PathWorkerReport, sent)
		result <- reportResult{sentAt: now, acked: full, orders: orders, err: err}
	}()
	return result, cancel
}

func (p *Process) post(ctx context.Context, url string, r *api.WorkerReport) (*api.WorkerOrders, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := p.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("worker report failed with HTTP status %d: %.200s", resp.StatusCode, data)
	}
	var orders api.WorkerOrders
	if err := json.Unmarshal(data, &orders); err != nil {
		return nil, err
	}
	return &orders, nil
}
