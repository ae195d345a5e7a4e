// Package worker implements a fake worker for tests and demos. It follows the
// worker protocol of package api, enforces its lease as a real worker must and
// simulates tasks with timers.
package worker

import (
	"cmp"
	"slices"
	"time"

	"kumquatwing/internal/api"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/eventlog"
	"kumquatwing/internal/lease"
	"kumquatwing/internal/model"
)

// Mode selects the behaviour of a fake worker.
type Mode string

// The modes.
const (
	ModeHealthy Mode = "healthy"
	// ModeFails fails every task after Config.FailAfter.
	ModeFails Mode = "fails"
	// ModeOveruses is for workers whose tasks use more than their size. Core
	// treats it as healthy; Config.UsePercent sets the usage.
	ModeOveruses Mode = "overuses"
	// ModeSilent stops reporting after Process.SilentAfter, for
	// Process.SilentFor.
	ModeSilent Mode = "silent"
	// ModeSlowStop is for workers that take long to stop a task. Core treats it
	// as healthy; Config.StopDelay sets the delay.
	ModeSlowStop Mode = "slow-stop"
)

// Modes lists all modes.
var Modes = []Mode{ModeHealthy, ModeFails, ModeOveruses, ModeSilent, ModeSlowStop}

// Config describes a fake worker.
type Config struct {
	ID          model.WorkerID
	DC          model.DCID
	Rack        string
	Size        model.Resources
	Incarnation string
	Mode        Mode
	// Lag is the time from the start of a task until its usage is reported.
	Lag time.Duration
	// StopDelay is the time from a stop order to the end of the task.
	StopDelay time.Duration
	// FailAfter is the time from the start of a failing task to its failure.
	FailAfter time.Duration
	// FailJobs lists jobs whose tasks fail in any mode.
	FailJobs []model.JobID
	// UsePercent is the reported usage in percent of a task's size. The default
	// is 80.
	UsePercent int64
	// CheckpointEvery is the checkpoint interval; 0 disables checkpoints except
	// on a stop order that asks for one.
	CheckpointEvery time.Duration
	Events          eventlog.Recorder
	Faults          Faults
}

// Faults disables single protections of the protocol, for tests that show which
// failure each of them prevents.
type Faults struct {
	IgnoreEpoch      bool
	IgnoreLease      bool
	IgnoreStartBound bool
}

// Event kinds that record which task ran on which worker.
const (
	EventStart eventlog.Kind = "worker.start"
	EventEnd   eventlog.Kind = "worker.end"
)

// Reasons reported for ended runs.
const (
	ReasonLeaseEnded   = "lease-ended"
	ReasonNeverStarted = "never-started"
	ReasonTaskFailed   = "task-failed"
)

// maxRecordedTasks is the maximum number of tasks whose newest attempt is kept.
const maxRecordedTasks = 10_000

// run is one run of a task.
type run struct {
	order api.TaskOrder
	// endsAt is when the run completes, fails or has stopped; 0 means that it
	// runs until a stop order.
	startedAt, endsAt clock.Instant
	ended             bool
	stopping          bool
	throttled         bool
	outcome           model.Outcome
	reason            string
	checkpoint        time.Duration
}

// Core is the state machine of a fake worker. It does no I/O and reads no
// clock. It is not safe for concurrent use.
type Core struct {
	cfg           Config
	lease         lease.Lease
	epoch         model.Epoch
	seq           uint64
	runs          map[model.TaskID]*run
	newestAttempt map[model.TaskID]uint32
	recordedTasks []model.TaskID // keys of newestAttempt, oldest first
}

// NewCore returns a worker without a lease and without runs.
func NewCore(cfg Config) *Core {
	if cfg.Events == nil {
		cfg.Events = eventlog.Discard{}
	}
	if cfg.UsePercent == 0 {
		cfg.UsePercent = 80
	}
	return &Core{cfg: cfg, runs: map[model.TaskID]*run{}, newestAttempt: map[model.TaskID]uint32{}}
}

// Report returns the full report at now under the next sequence number.
func (c *Core) Report(now clock.Instant) *api.WorkerReport {
	c.seq++
	r := &api.WorkerReport{
		Worker: c.cfg.ID, DC: c.cfg.DC, Rack: c.cfg.Rack, Size: c.cfg.Size,
		Incarnation: c.cfg.Incarnation, Seq: c.seq, Epoch: c.epoch,
	}
	for _, taskRun := range c.sortedRuns() {
		r.Tasks = append(r.Tasks, c.taskReport(taskRun, now))
	}
	return r
}

func (c *Core) taskReport(r *run, now clock.Instant) api.TaskReport {
	t := api.TaskReport{
		Task: r.order.Task, Attempt: r.order.Attempt, State: model.TaskRunning,
		CheckpointMillis: r.checkpoint.Milliseconds(),
	}
	if r.ended {
		t.State = model.TaskEnded
		t.Outcome, t.Reason = r.outcome, r.reason
		return t
	}
	if now.Sub(r.startedAt) >= c.cfg.Lag {
		t.Used = c.usage(r)
	}
	return t
}

func (c *Core) usage(r *run) model.Resources {
	percent := c.cfg.UsePercent
	if r.throttled {
		percent = min(percent, 100)
	}
	size := r.order.Size
	return model.Resources{
		MilliCPU: size.MilliCPU * percent / 100, MemoryMB: size.MemoryMB * percent / 100, Accelerators: size.Accelerators,
	}
}

// Apply carries out the orders in the response to a report sent at reportSentAt.
// The lease and the time limit for starts count from there. Orders of an epoch
// older than the newest one seen are ignored.
func (c *Core) Apply(reportSentAt, now clock.Instant, orders *api.WorkerOrders) {
	if orders.Epoch < c.epoch && !c.cfg.Faults.IgnoreEpoch {
		return
	}
	// An expired lease ends all runs, even if the orders renew it.
	c.Advance(now)
	c.epoch = orders.Epoch
	c.lease.Extend(reportSentAt, time.Duration(orders.LeaseMillis)*time.Millisecond)
	for _, k := range orders.Known {
		c.dropEnded(k)
	}
	for _, s := range orders.Stop {
		c.stop(now, s)
	}
	for _, id := range orders.Throttle {
		if r := c.runs[id]; r != nil {
			r.throttled = true
		}
	}
	startBy := reportSentAt.Add(time.Duration(orders.StartWithinMillis) * time.Millisecond)
	for _, s := range orders.Start {
		if (now.Before(startBy) || c.cfg.Faults.IgnoreStartBound) && c.LeaseValid(now) {
			c.start(now, s)
		}
	}
}

func (c *Core) dropEnded(id api.RunID) {
	if r := c.runs[id.Task]; r != nil && r.ended && r.order.Attempt == id.Attempt {
		delete(c.runs, id.Task)
	}
}

func (c *Core) start(now clock.Instant, order api.TaskOrder) {
	if order.Attempt <= c.newestAttempt[order.Task] || c.runs[order.Task] != nil {
		return
	}
	c.recordAttempt(order.RunID)
	r := &run{order: order, startedAt: now, checkpoint: time.Duration(order.FromMillis) * time.Millisecond}
	switch {
	case c.fails(r):
		r.endsAt = now.Add(c.cfg.FailAfter)
	case !order.Service:
		r.endsAt = now.Add(time.Duration(max(order.RunMillis-order.FromMillis, 0)) * time.Millisecond)
	}
	c.runs[order.Task] = r
	c.record(EventStart, r)
}

// stop carries out a stop order. A run that was never started is recorded as
// ended, so that a delayed start order can't start it.
func (c *Core) stop(now clock.Instant, order api.StopOrder) {
	r := c.runs[order.Task]
	if r == nil && order.Attempt > c.newestAttempt[order.Task] {
		c.recordAttempt(order.RunID)
		c.runs[order.Task] = &run{
			order: api.TaskOrder{RunID: order.RunID}, ended: true,
			outcome: model.OutcomeRefused, reason: ReasonNeverStarted,
		}
		return
	}
	if r == nil || r.ended || r.stopping || r.order.Attempt != order.Attempt {
		return
	}
	r.stopping = true
	if order.Checkpoint {
		r.checkpoint = c.progress(r, now)
	}
	r.endsAt = now.Add(c.cfg.StopDelay)
}

func (c *Core) progress(r *run, now clock.Instant) time.Duration {
	return time.Duration(r.order.FromMillis)*time.Millisecond + now.Sub(r.startedAt)
}

// Advance ends the runs that are due at now and reports whether any ended. If
// the lease has expired it ends all runs.
func (c *Core) Advance(now clock.Instant) bool {
	changed := false
	valid := c.LeaseValid(now)
	for _, r := range c.sortedRuns() {
		switch {
		case r.ended:
		case !valid:
			c.end(r, model.OutcomeNone, ReasonLeaseEnded)
			changed = true
		case r.endsAt != 0 && !now.Before(r.endsAt):
			c.end(r, c.outcome(r), outcomeReason(c.outcome(r)))
			changed = true
		default:
			c.saveCheckpoint(r, now)
		}
	}
	return changed
}

func (c *Core) saveCheckpoint(r *run, now clock.Instant) {
	interval := c.cfg.CheckpointEvery
	if interval > 0 && !r.order.Service {
		r.checkpoint = max(r.checkpoint, c.progress(r, now).Truncate(interval))
	}
}

func (c *Core) fails(r *run) bool {
	return c.cfg.Mode == ModeFails || slices.Contains(c.cfg.FailJobs, r.order.Job)
}

func (c *Core) outcome(r *run) model.Outcome {
	switch {
	case r.stopping:
		return model.OutcomeCancelled
	case c.fails(r):
		return model.OutcomeFailed
	}
	return model.OutcomeSucceeded
}

func outcomeReason(o model.Outcome) string {
	if o == model.OutcomeFailed {
		return ReasonTaskFailed
	}
	return ""
}

func (c *Core) end(r *run, o model.Outcome, reason string) {
	r.ended = true
	r.outcome, r.reason = o, reason
	c.record(EventEnd, r)
}

// NextDue returns the next instant at which a run or the lease ends, at most an
// hour from now.
func (c *Core) NextDue(now clock.Instant) clock.Instant {
	due := now.Add(time.Hour)
	running := false
	for _, r := range c.runs {
		if r.ended {
			continue
		}
		running = true
		if r.endsAt != 0 {
			due = min(due, r.endsAt)
		}
	}
	if running {
		due = min(due, now.Add(c.lease.Remaining(now)))
	}
	return due
}

// Running returns the orders of the runs that have not ended, sorted by task id.
func (c *Core) Running() []api.TaskOrder {
	var list []api.TaskOrder
	for _, r := range c.sortedRuns() {
		if !r.ended {
			list = append(list, r.order)
		}
	}
	return list
}

// Heal sets ModeHealthy and clears Config.FailJobs.
func (c *Core) Heal() { c.cfg.Mode, c.cfg.FailJobs = ModeHealthy, nil }

// Resize sets the size that the worker reports.
func (c *Core) Resize(size model.Resources) { c.cfg.Size = size }

// Epoch returns the newest epoch that the worker has seen.
func (c *Core) Epoch() model.Epoch { return c.epoch }

// LeaseValid reports whether the worker may run tasks at now.
func (c *Core) LeaseValid(now clock.Instant) bool {
	return c.lease.Valid(now) || c.cfg.Faults.IgnoreLease
}

func (c *Core) sortedRuns() []*run {
	list := make([]*run, 0, len(c.runs))
	for _, r := range c.runs {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *run) int { return cmp.Compare(a.order.Task, b.order.Task) })
	return list
}

func (c *Core) recordAttempt(id api.RunID) {
	if _, ok := c.newestAttempt[id.Task]; !ok {
		c.recordedTasks = append(c.recordedTasks, id.Task)
	}
	c.newestAttempt[id.Task] = id.Attempt
	if len(c.recordedTasks) > maxRecordedTasks {
		delete(c.newestAttempt, c.recordedTasks[0])
		c.recordedTasks = c.recordedTasks[1:]
	}
}

func (c *Core) record(kind eventlog.Kind, r *run) {
	c.cfg.Events.Record(eventlog.Event{
		Kind: kind, DC: c.cfg.DC, Worker: c.cfg.ID, Task: r.order.Task, Job: r.order.Job,
		Workspace: r.order.Workspace, Attempt: r.order.Attempt, Epoch: c.epoch,
		Cause: cmp.Or(r.reason, string(r.outcome)),
	})
}
