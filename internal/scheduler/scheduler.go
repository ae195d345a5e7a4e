package scheduler

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/cell/plan"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/replica"
)

const (
	// housekeepingInterval is the interval of the checks that no event triggers.
	housekeepingInterval = 50 * time.Millisecond
	// eventQueueSize bounds the events queued for the control goroutine.
	eventQueueSize = 4096
	// proposeTimeout bounds the time to commit one of the scheduler's commands.
	proposeTimeout = 5 * time.Second
)

// Bounds are the limits set by the environment in which the cell runs.
type Bounds struct {
	// MaxLease bounds the duration of a worker's lease.
	MaxLease time.Duration
	// StopTimeout is the longest time that a worker takes to stop a run.
	StopTimeout time.Duration
	// RestoreTime is how long a task takes to resume from a checkpoint.
	RestoreTime time.Duration
	// MaxLongPolls bounds the workers whose lease renewals may wait there, each of
	// which occupies a connection; 0 means no limit.
	MaxLongPolls int
	// EndedJobRetention is how long the state of an ended job is kept.
	EndedJobRetention time.Duration
}

// Config holds the dependencies and limits of a Scheduler.
type Config struct {
	Group replica.Group
	State *cell.State
	// Changed receives a value after the replicated state has changed.
	Changed <-chan struct{}
	Workers WorkerClient
	Clock   clock.Clock
	Bounds  Bounds
	// EqualSpeeds makes all workers count as equally fast. Otherwise their speeds are
	// learnt.
	EqualSpeeds bool
	// DeclaredRunTimes plans with the run times that callers declare, and learns none.
	DeclaredRunTimes bool
	// Order is the rule by which waiting steps get capacity.
	Order   plan.Order
	Log     *zap.Logger
	Metrics *Metrics
}

// Scheduler places the tasks of a cell while its process leads the group. The
// goroutine that runs Lead owns all its fields; other goroutines pass functions
// to it with post and enqueue.
type Scheduler struct {
	cfg    Config
	events chan func()

	// term is the term in which this member leads. Orders that are still being sent read it
	// while a later leadership sets it.
	term atomic.Uint64
	// leadingSince is when the leadership began.
	leadingSince clock.Instant

	sessions map[cell.WorkerID]*session
	// claimed holds the workers whose sessions have a claim, and unverified those to ask
	// whether they still live.
	claimed, unverified map[cell.WorkerID]bool
	// fences counts the fencing tokens of this process.
	fences uint64

	advice   map[cell.StepKey]*plan.StepAdvice
	advisers map[string]*adviserState
	// eligibleShare is, by queue, the moving average of the share of evaluated
	// workers that the placement policy lets run a step.
	eligibleShare map[string]float64
	speeds        *speedLearner
	// admissions holds what was recorded when this leader first saw a job.
	admissions map[cell.JobID]admission
	begun      begunJobs
	stepTimes  stepTimes
	retention  retention
	// shareBuckets limits the rate of each workspace's jobs, by workspace.
	shareBuckets map[string]*tokenBucket

	// longPolls counts the sessions whose renewals may wait at the worker.
	longPolls int
	// longPollWaiters counts the sessions with runs whose renewals may not.
	longPollWaiters int

	// replyTimes estimates how long workers take to answer orders.
	replyTimes replyTimes
	replyLoss  replyLoss
	// reachability tells which data centres are cut off.
	reachability reachability
	calls        callStats

	ends endBatch
	// lost sums the work that was lost since the last status line.
	lost lossSums
	// unsettled holds the losses of preemptions whose beneficiaries may still start.
	unsettled []unsettledLoss
	// planning is set while a plan is being committed.
	planning bool
	// nextPlanAt is when the next plan may be computed, and planTimer fires then if a
	// plan is wanted earlier.
	nextPlanAt clock.Instant
	planTimer  *time.Timer
	// nextLatePlanAt is when the next plan may include late steps.
	nextLatePlanAt clock.Instant
	plans          planStats
	order          orderReport
	loop           loopStats
	// creatingOccurrences is set while a command that creates occurrences is
	// being committed.
	creatingOccurrences bool
	// dirty requests a new plan.
	dirty       bool
	nextCleanup clock.Instant
	nextStatus  clock.Instant
	// synced is set once all sessions were matched to the replicated state
	// in this leadership.
	synced bool
}

// New returns a scheduler that is idle until Lead is called.
func New(cfg Config) *Scheduler {
	return &Scheduler{
		cfg:    cfg,
		events: make(chan func(), eventQueueSize),

		reachability: newReachability(),
		advisers:     map[string]*adviserState{},
		planTimer:    time.NewTimer(time.Hour),
		begun:        begunJobs{ids: map[cell.JobID]bool{}},
	}
}

// enqueue queues an event for the control goroutine, unless ctx ends first.
func (s *Scheduler) enqueue(ctx context.Context, event func()) {
	select {
	case s.events <- event:
	case <-ctx.Done():
	}
}

// post queues an event of the leadership or session with the given context. It is not
// run once ctx has ended, so that no event of an earlier leadership runs in a later one.
func (s *Scheduler) post(ctx context.Context, event func()) {
	s.enqueue(ctx, func() {
		if ctx.Err() == nil {
			event()
		}
	})
}

// Lead runs the control loop until ctx ends. The caller guarantees that at the
// time of the call this member was the leader in term and had applied all earlier
// log entries.
func (s *Scheduler) Lead(ctx context.Context, term uint64) {
	s.reset(term)
	if err := s.takeOver(ctx); err != nil {
		s.cfg.Log.Warn("scheduler could not take over leadership", zap.Uint64("term", term), zap.Error(err))
		return
	}
	s.cfg.Log.Info("scheduler started leading", zap.Uint64("term", term))
	defer s.cfg.Log.Info("scheduler stopped leading", zap.Uint64("term", term))
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.cfg.Changed:
			s.dirty = true
		case event := <-s.events:
			event()
		case <-s.planTimer.C:
		case <-ticker.C:
			s.tick(ctx)
		}
		wokenAt := s.now()
		s.drainEvents()
		if ctx.Err() != nil {
			return
		}
		s.step(ctx)
		s.loop.busy += s.now().Sub(wokenAt)
	}
}

// tick does the periodic work while this member leads. A process that was suspended
// may find by its clock that leases have expired which its successor has renewed.
func (s *Scheduler) tick(ctx context.Context) {
	if s.leads() {
		s.housekeep(ctx)
	}
}

// loopStats measures the control loop since the last status line.
type loopStats struct {
	// events counts the events, and busy is the time spent on them and on plans.
	events int
	busy   time.Duration
	// committing is the time in which a plan was being committed.
	committing time.Duration
}

// callStats counts the calls to workers since the last status line. Other goroutines
// than the control goroutine add to it.
type callStats struct {
	repeatedStarts atomic.Int64
	renewals       atomic.Int64
	failedRenewals atomic.Int64
}

// takeOver commits this scheduler's term, after which the cell rejects the
// commands of all earlier schedulers as stale.
func (s *Scheduler) takeOver(ctx context.Context) error {
	c := &cell.Command{Lead: &cell.Lead{Term: s.term.Load()}}
	data, err := c.Encode()
	if err != nil {
		return err
	}
	_, err = s.commit(ctx, data)
	return err
}

// reset clears the state of an earlier leadership and starts one in term.
func (s *Scheduler) reset(term uint64) {
	s.term.Store(term)
	s.leadingSince = s.cfg.Clock.Now()
	s.sessions = map[cell.WorkerID]*session{}
	s.claimed, s.unverified = map[cell.WorkerID]bool{}, map[cell.WorkerID]bool{}
	s.advice = map[cell.StepKey]*plan.StepAdvice{}
	s.eligibleShare = map[string]float64{}
	s.speeds = newSpeedLearner()
	s.admissions = map[cell.JobID]admission{}
	s.begun.reset()
	s.stepTimes = stepTimes{}
	s.retention = newRetention()
	s.reachability = newReachability()
	s.shareBuckets = map[string]*tokenBucket{}
	s.ends, s.longPolls, s.longPollWaiters, s.replyLoss = endBatch{}, 0, 0, replyLoss{}
	s.lost, s.unsettled = lossSums{}, nil
	s.planning, s.creatingOccurrences, s.dirty = false, false, true
	s.nextCleanup, s.nextPlanAt, s.nextLatePlanAt = 0, 0, 0
	s.synced = false
	s.order = orderReport{}
	s.cfg.Metrics.order.waiting.Reset()
	s.cfg.Metrics.unreachable.Reset()
	for _, a := range s.advisers {
		a.busy = false
	}
	s.discardEvents()
}

// discardEvents drops the queued events without running them.
func (s *Scheduler) discardEvents() {
	for {
		select {
		case <-s.events:
		default:
			return
		}
	}
}

// drainEvents runs the queued events without waiting for more.
func (s *Scheduler) drainEvents() {
	for {
		select {
		case event := <-s.events:
			s.loop.events++
			event()
		default:
			return
		}
	}
}

// step brings sessions, run ends and the plan up to date after events were run.
func (s *Scheduler) step(ctx context.Context) {
	s.syncSessions(ctx)
	s.commitEnds(ctx)
	s.verifyWorkers(ctx)
	s.checkClaims(ctx)
	s.plan(ctx)
}

// leads reports whether this member still leads in its term and so may give
// orders.
func (s *Scheduler) leads() bool {
	st := s.cfg.Group.Status()
	return st.IsLeader() && st.Term == s.term.Load()
}

// propose commits a command in the background. onDone receives the outcome on the
// control goroutine.
func (s *Scheduler) propose(ctx context.Context, c *cell.Command, onDone func(cell.Result, error)) {
	c.Leadership = s.term.Load()
	data, err := c.Encode()
	if err != nil {
		onDone(cell.Result{}, err)
		return
	}
	go func() {
		result, err := s.commit(ctx, data)
		s.post(ctx, func() { onDone(result, err) })
	}()
}

var (
	errNotApplied = errors.New("scheduler: the cell could not apply the command")
	errSuperseded = errors.New("scheduler: command is stale, a later leader has taken over")
)

// commit proposes an encoded command to the group and waits for its result.
func (s *Scheduler) commit(ctx context.Context, data []byte) (cell.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	out, err := s.cfg.Group.Propose(ctx, data)
	if err != nil {
		return cell.Result{}, err
	}
	if len(out) == 0 {
		return cell.Result{}, errNotApplied
	}
	r, err := cell.DecodeResult(out)
	if err == nil && r.Stale {
		err = errSuperseded
	}
	return r, err
}

func (s *Scheduler) now() clock.Instant { return s.cfg.Clock.Now() }
