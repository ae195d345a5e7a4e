// Package worker is a fake worker for tests and demos. It speaks the worker
// protocol of package api, keeps its lease as a real worker must and runs
// tasks as timers.
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

// Mode is a way to behave.
type Mode string

// The modes.
const (
	ModeHealthy Mode = "healthy"
	// ModeFails fails every task soon after its start.
	ModeFails Mode = "fails"
	// ModeOveruses uses more than the tasks' sizes.
	ModeOveruses Mode = "overuses"
	// ModeSilent stops reporting after SilentAfter, for SilentFor.
	ModeSilent Mode = "silent"
	// ModeSlowStop takes StopDelay to end a task.
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
	// Lag is the age of reported use.
	Lag time.Duration
	// StopDelay is how long a task takes to end when told to.
	StopDelay time.Duration
	// FailAfter is how long a task runs in ModeFails.
	FailAfter time.Duration
	// FailJobs lists jobs whose tasks fail whatever the mode.
	FailJobs []model.JobID
	// UsePercent is use relative to the task's size.
	UsePercent int64
	// CheckpointEvery is the interval of checkpoints.
	CheckpointEvery time.Duration
	Events          eventlog.Recorder
	Faults          Faults
}

// Faults switches single rules of the protocol off, for tests that show what
// each rule is for.
type Faults struct {
	IgnoreEpoch      bool
	IgnoreLease      bool
	IgnoreStartBound bool
}

// Kinds of events, the history of what ran where.
const (
	EventStart eventlog.Kind = "worker.start"
	EventEnd   eventlog.Kind = "worker.end"
)

// Reasons that a worker gives.
const (
	ReasonLeaseEnded   = "lease-ended"
	ReasonNeverStarted = "never-started"
	ReasonTaskFailed   = "task-failed"
)

// maxNewest bounds the tasks whose newest attempt is remembered.
const maxNewest = 10_000

// run is one run of a task.
type run struct {
	order api.TaskOrder
	// startedAt is when it began, endsAt when it ends by itself or by a stop; 0
	// is never.
	startedAt, endsAt clock.Instant
	ended             bool
	stopping          bool
	throttled         bool
	outcome           model.Outcome
	reason            string
	checkpoint        time.Duration
}

// Core is the worker without I/O and clock. It is not safe for concurrent use.
type Core struct {
	cfg    Config
	lease  lease.Held
	epoch  model.Epoch
	seq    uint64
	runs   map[model.TaskID]*run
	newest map[model.TaskID]uint32
	order  []model.TaskID // of newest, oldest first
}

// NewCore returns a worker that holds nothing.
func NewCore(cfg Config) *Core {
	if cfg.Events == nil {
		cfg.Events = eventlog.Discard{}
	}
	if cfg.UsePercent == 0 {
		cfg.UsePercent = 80
	}
	return &Core{cfg: cfg, runs: map[model.TaskID]*run{}, newest: map[model.TaskID]uint32{}}
}

// Report returns the next report at now.
func (c *Core) Report(now clock.Instant) *api.WorkerReport {
	c.seq++
	r := &api.WorkerReport{
		Worker: c.cfg.ID, DC: c.cfg.DC, Rack: c.cfg.Rack, Size: c.cfg.Size,
		Incarnation: c.cfg.Incarnation, Seq: c.seq, Epoch: c.epoch,
	}
	for _, one := range c.sorted() {
		r.Tasks = append(r.Tasks, c.reportRun(one, now))
	}
	return r
}

func (c *Core) reportRun(r *run, now clock.Instant) api.TaskReport {
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
		t.Used = c.used(r)
	}
	return t
}

func (c *Core) used(r *run) model.Resources {
	p := c.cfg.UsePercent
	if r.throttled {
		p = min(p, 100)
	}
	s := r.order.Size
	return model.Resources{
		MilliCPU: s.MilliCPU * p / 100, MemoryMB: s.MemoryMB * p / 100, Accelerators: s.Accelerators,
	}
}

// Apply carries out orders that answer a report sent at askedAt. Orders older
// than the newest epoch seen are refused.
func (c *Core) Apply(askedAt, now clock.Instant, o *api.WorkerOrders) {
	if o.Epoch < c.epoch && !c.cfg.Faults.IgnoreEpoch {
		return
	}
	// A lease that has lapsed ends all runs, even if it is renewed now.
	c.Advance(now)
	c.epoch = o.Epoch
	c.lease.Extend(askedAt, time.Duration(o.LeaseMillis)*time.Millisecond)
	for _, k := range o.Known {
		c.forget(k)
	}
	for _, s := range o.Stop {
		c.stop(now, s)
	}
	for _, id := range o.Throttle {
		if r := c.runs[id]; r != nil {
			r.throttled = true
		}
	}
	startBy := askedAt.Add(time.Duration(o.StartWithinMillis) * time.Millisecond)
	for _, s := range o.Start {
		if (now.Before(startBy) || c.cfg.Faults.IgnoreStartBound) && c.LeaseValid(now) {
			c.start(now, s)
		}
	}
}

func (c *Core) forget(id api.RunID) {
	if r := c.runs[id.Task]; r != nil && r.ended && r.order.Attempt == id.Attempt {
		delete(c.runs, id.Task)
	}
}

func (c *Core) start(now clock.Instant, o api.TaskOrder) {
	if o.Attempt <= c.newest[o.Task] || c.runs[o.Task] != nil {
		return
	}
	c.remember(o.RunID)
	r := &run{order: o, startedAt: now, checkpoint: time.Duration(o.FromMillis) * time.Millisecond}
	switch {
	case c.fails(r):
		r.endsAt = now.Add(c.cfg.FailAfter)
	case !o.Service:
		r.endsAt = now.Add(time.Duration(max(o.RunMillis-o.FromMillis, 0)) * time.Millisecond)
	}
	c.runs[o.Task] = r
	c.record(EventStart, r)
}

// stop begins the end of a run. A run that never came is remembered as ended,
// so that a late order can't start it.
func (c *Core) stop(now clock.Instant, s api.StopOrder) {
	r := c.runs[s.Task]
	if r == nil && s.Attempt > c.newest[s.Task] {
		c.remember(s.RunID)
		c.runs[s.Task] = &run{
			order: api.TaskOrder{RunID: s.RunID}, ended: true,
			outcome: model.OutcomeRefused, reason: ReasonNeverStarted,
		}
		return
	}
	if r == nil || r.ended || r.stopping || r.order.Attempt != s.Attempt {
		return
	}
	r.stopping = true
	if s.Checkpoint {
		r.checkpoint = c.progress(r, now)
	}
	r.endsAt = now.Add(c.cfg.StopDelay)
}

func (c *Core) progress(r *run, now clock.Instant) time.Duration {
	return time.Duration(r.order.FromMillis)*time.Millisecond + now.Sub(r.startedAt)
}

// Advance ends what is due at now and reports whether anything changed. When
// the lease has ended all runs end at once.
func (c *Core) Advance(now clock.Instant) bool {
	changed := false
	valid := c.LeaseValid(now)
	for _, r := range c.sorted() {
		switch {
		case r.ended:
		case !valid:
			c.end(r, model.OutcomeNone, ReasonLeaseEnded)
			changed = true
		case r.endsAt != 0 && !now.Before(r.endsAt):
			c.end(r, c.outcome(r), reasonOf(c.outcome(r)))
			changed = true
		default:
			c.saveProgress(r, now)
		}
	}
	return changed
}

func (c *Core) saveProgress(r *run, now clock.Instant) {
	every := c.cfg.CheckpointEvery
	if every > 0 && !r.order.Service {
		r.checkpoint = max(r.checkpoint, c.progress(r, now).Truncate(every))
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

func reasonOf(o model.Outcome) string {
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

// NextDue returns the next instant at which Advance has something to do.
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
		due = min(due, now.Add(c.lease.Left(now)))
	}
	return due
}

// Running lists the runs that are going on, sorted.
func (c *Core) Running() []api.TaskOrder {
	var list []api.TaskOrder
	for _, r := range c.sorted() {
		if !r.ended {
			list = append(list, r.order)
		}
	}
	return list
}

// Heal makes the worker healthy.
func (c *Core) Heal() { c.cfg.Mode, c.cfg.FailJobs = ModeHealthy, nil }

// Resize changes the size that the worker reports.
func (c *Core) Resize(size model.Resources) { c.cfg.Size = size }

// Epoch is the newest the worker has seen.
func (c *Core) Epoch() model.Epoch { return c.epoch }

// LeaseValid reports whether the worker may run tasks at now.
func (c *Core) LeaseValid(now clock.Instant) bool {
	return c.lease.Valid(now) || c.cfg.Faults.IgnoreLease
}

func (c *Core) sorted() []*run {
	list := make([]*run, 0, len(c.runs))
	for _, r := range c.runs {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *run) int { return cmp.Compare(a.order.Task, b.order.Task) })
	return list
}

func (c *Core) remember(id api.RunID) {
	if _, ok := c.newest[id.Task]; !ok {
		c.order = append(c.order, id.Task)
	}
	c.newest[id.Task] = id.Attempt
	if len(c.order) > maxNewest {
		delete(c.newest, c.order[0])
		c.order = c.order[1:]
	}
}

func (c *Core) record(kind eventlog.Kind, r *run) {
	c.cfg.Events.Record(eventlog.Event{
		Kind: kind, DC: c.cfg.DC, Worker: c.cfg.ID, Task: r.order.Task, Job: r.order.Job,
		Workspace: r.order.Workspace, Attempt: r.order.Attempt, Epoch: c.epoch,
		Cause: cmp.Or(r.reason, string(r.outcome)),
	})
}
