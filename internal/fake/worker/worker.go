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
	// reportEvery is the pause between reports when nothing happens.
	reportEvery = 500 * time.Millisecond
	// holdMillis is how long control may hold an answer.
	holdMillis = 1000
	// askTimeout bounds one report with its answer.
	askTimeout = 2 * time.Second
	// retryPause is the pause after a failed report.
	retryPause = 200 * time.Millisecond
	// maxAnswer bounds an answer, in bytes.
	maxAnswer = 4 << 20
)

// Process runs a Core against control over HTTP.
type Process struct {
	core   *Core
	cfg    Config
	bases  []string
	next   int
	client *http.Client
	clock  clock.Clock
	log    *zap.Logger
	// answered is the newest report, if it was answered.
	answered *api.WorkerReport
	// SilentAfter and SilentFor are of ModeSilent, from the start of Run.
	SilentAfter, SilentFor time.Duration
}

// answer is the outcome of one report.
type answer struct {
	askedAt clock.Instant
	report  *api.WorkerReport
	orders  *api.WorkerOrders
	err     error
}

// NewProcess returns a worker that reports to one of the base URLs, and to the
// next one after a failure.
func NewProcess(cfg Config, bases []string, client *http.Client, c clock.Clock, log *zap.Logger) *Process {
	return &Process{core: NewCore(cfg), cfg: cfg, bases: bases, client: client, clock: c, log: log.Named("worker")}
}

// Run reports and runs tasks until ctx ends.
func (p *Process) Run(ctx context.Context) error {
	began := p.clock.Now()
	var pending chan answer
	cancel := func() {}
	defer func() { cancel() }()
	askAt := began
	for {
		now := p.clock.Now()
		if p.core.Advance(now) {
			// The end of a run is told at once, not when the held answer comes.
			cancel()
			askAt = now
		}
		if pending == nil && !now.Before(askAt) && !p.silent(now.Sub(began)) {
			pending, cancel = p.ask(ctx, now)
		}
		timer := time.NewTimer(p.wait(now, askAt, pending != nil))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		case a := <-pending:
			timer.Stop()
			cancel()
			pending = nil
			askAt = p.take(a, askAt)
		}
	}
}

// wait returns how long nothing is due.
func (p *Process) wait(now, askAt clock.Instant, asking bool) time.Duration {
	due := p.core.NextDue(now)
	if !asking {
		due = min(due, max(askAt, now.Add(10*time.Millisecond)))
	}
	return min(max(due.Sub(now), time.Millisecond), reportEvery)
}

// take carries out an answer and returns when to ask next.
func (p *Process) take(a answer, askAt clock.Instant) clock.Instant {
	now := p.clock.Now()
	if a.err != nil {
		p.answered = nil
		p.next++
		p.log.Debug("report failed", zap.String("id", string(p.cfg.ID)), zap.Error(a.err))
		if askAt > a.askedAt {
			return askAt
		}
		return now.Add(retryPause)
	}
	p.answered = a.report
	p.core.Apply(a.askedAt, now, a.orders)
	if len(a.orders.Start)+len(a.orders.Stop)+len(a.orders.Known) > 0 {
		return now
	}
	return max(askAt, a.askedAt.Add(reportEvery))
}

func (p *Process) silent(age time.Duration) bool {
	return p.cfg.Mode == ModeSilent && age >= p.SilentAfter && age < p.SilentAfter+p.SilentFor
}

// ask sends a report; the answer comes on the channel.
func (p *Process) ask(ctx context.Context, now clock.Instant) (chan answer, context.CancelFunc) {
	r := p.core.Report(now)
	sent := r
	if p.answered != nil {
		sent = workerapi.Changes(p.answered, r)
		// After a failure the answer isn't held back, so that the lease is renewed.
		sent.HoldMillis = holdMillis
	}
	base := p.bases[p.next%len(p.bases)]
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	out := make(chan answer, 1)
	go func() {
		o, err := p.post(ctx, base+api.PathWorkerReport, sent)
		out <- answer{askedAt: now, report: r, orders: o, err: err}
	}()
	return out, cancel
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("control answered %d: %.200s", resp.StatusCode, data)
	}
	var o api.WorkerOrders
	if err := json.Unmarshal(data, &o); err != nil {
		return nil, err
	}
	return &o, nil
}
