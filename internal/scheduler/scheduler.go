package scheduler

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/cell/plan"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/replica"
)

const (
	// housekeeping is the interval of checks that no event triggers.
	housekeeping = 50 * time.Millisecond
	// eventQueue bounds the events that wait for the control goroutine.
	eventQueue = 4096
	// proposeTimeout bounds the commit of one of the scheduler's commands.
	proposeTimeout = 5 * time.Second
)

// Bounds are limits that the environment sets.
type Bounds struct {
	// MaxLease bounds a worker's lease.
	MaxLease time.Duration
	// StopTimeout is the longest that a stop takes at a worker.
	StopTimeout time.Duration
	// Restore is how long a task needs to resume from a checkpoint.
	Restore time.Duration
	// KeepEnded is how long the state of an ended job is kept.
	KeepEnded time.Duration
}

// Config is what a Scheduler is made of.
type Config struct {
	Group replica.Group
	State *cell.State
	// Changed has an element after the tables changed.
	Changed <-chan struct{}
	Workers WorkerClient
	Clock   clock.Clock
	Bounds  Bounds
	Log     *zap.Logger
	Metrics *Metrics
}

// Scheduler is the leader's part of a cell. One goroutine owns all its fields.
type Scheduler struct {
	cfg    Config
	events chan func()

	// term is the leadership that this scheduler acts under and its fencing token.
	term uint64
	// since is when the leadership began.
	since clock.Instant

	sessions map[cell.WorkerID]*session
	advice   map[cell.StepKey]*plan.StepAdvice
	advisers map[string]*adviserState
	// goodShare is the learnt share of workers that a queue's policy lets through.
	goodShare map[string]float64
	// usualSpeed is the mean logarithm of the speed of a queue's tasks against
	// their estimates.
	usualSpeed map[string]float64
	// taken holds what was noted when this leader first saw a job.
	taken map[cell.JobID]intake
	// shares counts the jobs of each workspace.
	shares map[string]*shareBucket

	ends     endBatch
	planning bool
	// creating says that occurrences are being created.
	creating bool
	// dirty asks for a plan.
	dirty      bool
	nextForget clock.Instant
	nextStatus clock.Instant
	// looked says that the sessions were matched since the leadership began.
	looked bool
}

// New returns a scheduler that rests until Lead is called.
func New(cfg Config) *Scheduler {
	return &Scheduler{
		cfg:      cfg,
		events:   make(chan func(), eventQueue),
		advisers: map[string]*adviserState{},
	}
}

// post hands an event to the control goroutine, unless ctx ends first.
func (s *Scheduler) post(ctx context.Context, event func()) {
	select {
	case s.events <- event:
	case <-ctx.Done():
	}
}

// Lead runs the control loop until ctx ends. The caller guarantees that this
// member led in term and had applied all earlier entries when it called.
func (s *Scheduler) Lead(ctx context.Context, term uint64) {
	s.begin(term)
	if err := s.takeOver(ctx); err != nil {
		s.cfg.Log.Warn("scheduler could not take over", zap.Uint64("term", term), zap.Error(err))
		return
	}
	s.cfg.Log.Info("scheduler leads", zap.Uint64("term", term))
	defer s.cfg.Log.Info("scheduler rests", zap.Uint64("term", term))
	ticker := time.NewTicker(housekeeping)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.cfg.Changed:
			s.dirty = true
		case event := <-s.events:
			event()
		case <-ticker.C:
			s.houseKeep(ctx)
		}
		s.drain()
		if ctx.Err() != nil {
			return
		}
		s.step(ctx)
	}
}

// takeOver makes the commands of all earlier schedulers stale.
func (s *Scheduler) takeOver(ctx context.Context) error {
	c := &cell.Command{Lead: &cell.Lead{Term: s.term}}
	data, err := c.Encode()
	if err != nil {
		return err
	}
	_, err = s.commit(ctx, data)
	return err
}

// begin forgets what an earlier leadership knew.
func (s *Scheduler) begin(term uint64) {
	s.term, s.since = term, s.cfg.Clock.Now()
	s.sessions = map[cell.WorkerID]*session{}
	s.advice = map[cell.StepKey]*plan.StepAdvice{}
	s.goodShare = map[string]float64{}
	s.usualSpeed = map[string]float64{}
	s.taken = map[cell.JobID]intake{}
	s.shares = map[string]*shareBucket{}
	s.ends = endBatch{}
	s.planning, s.creating, s.dirty, s.nextForget = false, false, true, 0
	s.looked = false
	for _, a := range s.advisers {
		a.busy = false
	}
	s.discardEvents()
}

func (s *Scheduler) discardEvents() {
	for {
		select {
		case <-s.events:
		default:
			return
		}
	}
}

func (s *Scheduler) drain() {
	for {
		select {
		case event := <-s.events:
			event()
		default:
			return
		}
	}
}

// step reacts to what the events changed.
func (s *Scheduler) step(ctx context.Context) {
	s.syncSessions(ctx)
	s.commitEnds(ctx)
	s.plan(ctx)
}

// leads reports whether this member still may give orders.
func (s *Scheduler) leads() bool {
	st := s.cfg.Group.Status()
	return st.IsLeader() && st.Term == s.term
}

// propose commits a command in the background and posts its outcome.
func (s *Scheduler) propose(ctx context.Context, c *cell.Command, then func(cell.Result, error)) {
	c.Leadership = s.term
	data, err := c.Encode()
	if err != nil {
		then(cell.Result{}, err)
		return
	}
	go func() {
		result, err := s.commit(ctx, data)
		s.post(ctx, func() { then(result, err) })
	}()
}

var (
	errNoResult = errors.New("scheduler: the command could not be applied")
	errReplaced = errors.New("scheduler: another member has taken over")
)

func (s *Scheduler) commit(ctx context.Context, data []byte) (cell.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	out, err := s.cfg.Group.Propose(ctx, data)
	if err != nil {
		return cell.Result{}, err
	}
	if len(out) == 0 {
		return cell.Result{}, errNoResult
	}
	r, err := cell.DecodeResult(out)
	if err == nil && r.Stale {
		err = errReplaced
	}
	return r, err
}

func (s *Scheduler) now() clock.Instant { return s.cfg.Clock.Now() }
