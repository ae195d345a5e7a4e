// Package plan decides which workers run the waiting tasks of a cell. A plan
// depends only on a snapshot of the cell. The replicated state validates the
// plan's starts again when they are applied.
package plan

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/model"
)

// Ticket is the placement policy's permission to run the tasks of one step on one
// worker.
type Ticket struct {
	Token string
	// ExpiresAt is the time from which the ticket must no longer be used.
	ExpiresAt clock.Instant
}

// StepAdvice holds the placement policy's decisions about one step.
type StepAdvice struct {
	// Eligible maps the eligible workers, those that the policy lets run the step, to
	// their newest tickets. A worker stays eligible when its ticket expires.
	Eligible map[cell.WorkerID]Ticket
	// Evaluated holds the evaluated workers: all that the policy has decided about.
	Evaluated map[cell.WorkerID]bool
	// InFlight is the number of advice requests that have not been answered.
	InFlight int
	// Failed is the number of the newest advice requests in a row that got no answer.
	Failed int
	// sortedEligible caches the keys of Eligible in ascending order; nil if it is
	// outdated.
	sortedEligible []cell.WorkerID
}

// SetEligible records that the placement policy lets the worker run the step, with the
// given ticket.
func (a *StepAdvice) SetEligible(id cell.WorkerID, t Ticket) {
	if _, ok := a.Eligible[id]; !ok {
		a.sortedEligible = nil
	}
	a.Eligible[id] = t
}

// SetIneligible records that the placement policy doesn't let the worker run the step.
func (a *StepAdvice) SetIneligible(id cell.WorkerID) {
	if _, ok := a.Eligible[id]; ok {
		delete(a.Eligible, id)
		a.sortedEligible = nil
	}
}

// eligibleIDs returns the eligible workers in ascending order. The caller must not
// modify the slice.
func (a *StepAdvice) eligibleIDs() []cell.WorkerID {
	if a.sortedEligible == nil {
		a.sortedEligible = slices.Sorted(maps.Keys(a.Eligible))
	}
	return a.sortedEligible
}

// Worker is a worker in the snapshot.
type Worker struct {
	ID   cell.WorkerID
	Born int64
	DC   string
	Rack string
	Pool string
	// Labels are the worker's labels.
	Labels []string
	// Capacity is the total capacity of the worker.
	Capacity model.Resources
	// Free is the free capacity. The planner subtracts what it assigns or reserves.
	Free model.Resources
	// Releasing is the releasing capacity: that of the tasks that are being stopped.
	Releasing model.Resources
	// Victims are the task runs that more urgent work may preempt.
	Victims []Victim
	// inputIndex is the worker's index in Input.Workers.
	inputIndex int
	// byLoss caches the result of victimsByLoss.
	byLoss []*Victim
	// Speed is the expected speed of tasks on the worker relative to the nominal
	// speed of 1.
	Speed float64
	// classSpeed is the speed of the worker's class, see setSpeedClasses.
	classSpeed float64
	// rareSpeed says that the class is not a main one.
	rareSpeed bool
	// Suspect workers get tasks only if no other worker fits.
	Suspect bool
}

func (w *Worker) hasLabel(label string) bool { return label == "" || slices.Contains(w.Labels, label) }

// Victim is a task run that more urgent work may preempt.
type Victim struct {
	Task cell.TaskKey
	Run  int64
	Need model.Resources
	// Priority is that of the run's queue. Only work with a lower number may
	// preempt the run.
	Priority int
	// LostWork is the work that is lost if the run is stopped, in core-milliseconds.
	LostWork float64
	// LatestStart is the latest time at which the unfinished steps of the run's job can
	// start if the job is to meet its objective, 0 if it is not known.
	LatestStart clock.Instant
	// Objective is the objective of the run's job.
	Objective time.Duration
	// kept reports that the run isn't preempted in this plan, since its job has too little
	// slack.
	kept bool
	// selected reports that the planner has chosen to preempt the run.
	selected bool
}

// Stop preempts a task run.
type Stop struct {
	Worker cell.WorkerID
	Task   cell.TaskKey
	Run    int64
	// For is the step that needs the capacity.
	For cell.StepKey
}

// Pending is a step with waiting tasks.
type Pending struct {
	Key   cell.StepKey
	Step  *cell.Step
	Queue *cell.Queue
	// Pool is the name of the worker pool that may run the step.
	Pool      string
	Workspace string
	// Waiting holds the indexes of the tasks to place, and NextRun the run number
	// that each of them gets next.
	Waiting []int
	NextRun []int64
	// OnWorker counts the step's placed tasks by worker, nil if MaxPerWorker is 0.
	OnWorker map[cell.WorkerID]int
	// Deadline is the time by which the job must end to count as in time.
	Deadline clock.Instant
	// OverShare reports that the job's workspace had submitted more than its share.
	OverShare bool
	// Remaining is the expected run time of the critical path through the job's
	// unfinished steps.
	Remaining time.Duration
	// TaskTime is the expected run time of one task of the step, on a worker of nominal
	// speed.
	TaskTime time.Duration
	// RemainingWork is the expected work of the job's unfinished tasks, in
	// core-milliseconds.
	RemainingWork float64
	// Advice is nil if the queue has no placement policy.
	Advice *StepAdvice
	// Objective is the time from the job's submission to Deadline, 0 if it is not known.
	Objective time.Duration
	// standing is set at the start of a plan.
	standing Standing
	// byWork reports that the step comes in the order of the work that it needs.
	byWork bool
	// eligible caches the result of planner.eligible, nil before the first call.
	eligible []*Worker
	// speed is set by planner.setSpeeds.
	speed stepSpeed
}

// Quota is the remaining quota of a workspace.
type Quota struct {
	Limited   bool
	Remaining model.Resources
}

// Input is a snapshot of the cell.
type Input struct {
	Now clock.Instant
	// StopTime is the longest time that stopping a task takes.
	StopTime time.Duration
	Workers  []Worker
	Pending  []Pending
	// Quotas maps workspaces to their remaining quotas.
	Quotas map[string]*Quota
	// EligibleShare maps queues to their eligible shares: the share of evaluated workers
	// that the placement policy lets run a step.
	EligibleShare map[string]float64
	// Order is the rule by which waiting steps get capacity.
	Order Order
	// SkipLate leaves out the steps that can no longer meet their deadline. They come
	// after all others, so that the plan for these is the same.
	SkipLate bool
	// IdleAdvisers is the number of idle advisers out of AllAdvisers. Each handles one
	// advice request at a time.
	IdleAdvisers int
	AllAdvisers  int
}

// AdviceRequest asks the placement policy to decide which of the workers may run
// the step.
type AdviceRequest struct {
	Key     cell.StepKey
	Queue   string
	Workers []cell.WorkerID
}

// Output is a plan.
type Output struct {
	Starts []cell.Start
	// Tokens holds the ticket token for each start, "" if it needs none.
	Tokens         []string
	AdviceRequests []AdviceRequest
	Stops          []Stop
	// Standings counts the waiting steps by queue and standing, and Hopeless lists those that
	// are expected to end too late. Both are nil in the order LatestStart.
	Standings map[string]*[Hopeless + 1]int
	Hopeless  []HopelessStep
	// ScarcePools holds the pools whose capacity doesn't suffice for the waiting work.
	ScarcePools []string
}

// planner holds the working state while one plan is computed.
type planner struct {
	in  *Input
	out Output
	// pools maps pool names to workers in input order.
	pools map[string][]*Worker
	byID  map[cell.WorkerID]*Worker
	// poolsByFree caches the results of leastFreeFirst.
	poolsByFree map[string][]*Worker
	// speedClasses maps pool names to the speed classes of their workers, nil if all are
	// equally fast.
	speedClasses map[string][]speedClass
	// fastScarce says of each pool whether little of its fastest class is free.
	fastScarce map[string]bool
	// waitingGangs counts the gangs that did not fit into the free capacity.
	waitingGangs int
	// reservingGangs counts the gangs that reserve free capacity which does not
	// suffice for them yet.
	reservingGangs int
	// renewingGangs counts the waiting gangs whose tickets are kept valid.
	renewingGangs int
	// scarce holds the pools whose capacity doesn't suffice for the waiting work. It is empty
	// in the order LatestStart.
	scarce map[string]bool
	// usableCPU holds the usable cores of each pool with waiting steps.
	usableCPU map[string]float64
	// yieldTo holds, for scarce pools, the first gang that waits for capacity and can be on
	// time.
	yieldTo map[string]*Pending
}

// Compute computes the plan for a snapshot. It modifies in: it sorts in.Pending,
// subtracts what the plan uses from the workers' free capacity, the quotas and
// in.IdleAdvisers, and updates OnWorker and Advice.InFlight of the pending steps.
func Compute(in *Input) Output { return compute(in, (*planner).setSpeeds) }

// compute is Compute with the given function in place of setSpeeds.
func compute(in *Input, setSpeeds func(*planner)) Output {
	p := &planner{
		in: in, pools: map[string][]*Worker{}, poolsByFree: map[string][]*Worker{}, byID: make(map[cell.WorkerID]*Worker, len(in.Workers)),
		scarce: map[string]bool{}, usableCPU: map[string]float64{}, yieldTo: map[string]*Pending{},
	}
	for i := range in.Workers {
		w := &in.Workers[i]
		w.inputIndex = i
		p.pools[w.Pool] = append(p.pools[w.Pool], w)
		p.byID[w.ID] = w
	}
	setSpeeds(p)
	if in.Order == LatestStart {
		sortByUrgency(in.Pending, in.Now)
	} else {
		p.assignStandings()
		p.keepRunsWithoutSlack()
		sortByStanding(in.Pending)
		p.reportStandings()
	}
	for i := range in.Pending {
		s := &in.Pending[i]
		if in.SkipLate && s.late(in.Now) {
			break
		}
		p.placeStep(s)
	}
	return p.out
}

// sortByUrgency sorts steps by urgency rank, and steps of equal rank by the
// latest start that still meets their deadline.
func sortByUrgency(steps []Pending, now clock.Instant) {
	slices.SortStableFunc(steps, func(a, b Pending) int {
		if c := cmp.Compare(urgencyRank(&a, now), urgencyRank(&b, now)); c != 0 {
			return c
		}
		return cmp.Compare(a.latestStart(), b.latestStart())
	})
}

// lateRank is added for steps that can no longer meet their deadline, so that they
// come after all others. overShareRank is added for steps of jobs beyond their
// workspace's share, so that they come after those within it.
const (
	lateRank      = 1000
	overShareRank = 100
)

// urgencyRank returns the sort key of a step: its queue's priority plus the
// penalties that apply. Lower ranks are planned first.
func urgencyRank(s *Pending, now clock.Instant) int {
	r := s.Queue.Priority
	if s.OverShare {
		r += overShareRank
	}
	if s.late(now) {
		r += lateRank
	}
	return r
}

// late reports whether the step can no longer meet its deadline. A service has none that passes:
// its users need it for as long as it is to run.
func (s *Pending) late(now clock.Instant) bool { return now > s.latestStart() && !s.Step.Service }

// latestStart returns the latest time at which the step can start to meet its
// deadline.
func (s *Pending) latestStart() clock.Instant { return s.Deadline.Add(-s.Remaining) }

// placeStep starts as many waiting tasks of the step as fit, and requests advice
// for the others. A gang is started as a whole or not at all.
func (p *planner) placeStep(s *Pending) {
	quota := p.in.Quotas[s.Workspace]
	if s.Step.Gang {
		p.placeGang(s, quota)
		return
	}
	placed := 0
	candidates := p.withValidTickets(s)
	leavesHeadroom := p.mustLeaveHeadroom(s)
	if leavesHeadroom {
		candidates = slices.DeleteFunc(candidates, hasUsableCapacity)
	}
	yields := p.mustYield(s)
	if yields {
		candidates = outsideSlots(candidates, s, p.yieldTo[s.Pool])
	}
	for i, index := range s.Waiting {
		if !quota.allows(s.Step.Need) {
			return
		}
		w := bestWorker(s, candidates)
		if w == nil {
			break
		}
		p.startTask(s, index, s.NextRun[i], w)
		placed++
	}
	if placed < len(s.Waiting) && !leavesHeadroom && !yields {
		p.requestAdvice(s, len(s.Waiting)-placed)
	}
}

// allows reports whether the quota covers need. A nil Quota is unlimited.
func (q *Quota) allows(need model.Resources) bool {
	return q == nil || !q.Limited || need.Fits(q.Remaining)
}

func (q *Quota) subtract(need model.Resources) {
	if q != nil {
		q.Remaining = q.Remaining.Sub(need)
	}
}

// eligible returns the workers of the step's pool that are eligible for the step, in
// the order of their IDs and including those with expired tickets. Without a placement policy
// it returns the whole pool. The caller must not modify the slice.
func (p *planner) eligible(s *Pending) []*Worker {
	if s.Advice == nil {
		return p.pools[s.Pool]
	}
	if s.eligible != nil {
		return s.eligible
	}
	s.eligible = make([]*Worker, 0, len(s.Advice.Eligible))
	for _, id := range s.Advice.eligibleIDs() {
		if w := p.byID[id]; w != nil && w.Pool == s.Pool {
			s.eligible = append(s.eligible, w)
		}
	}
	return s.eligible
}

// withValidTickets returns a new slice of the eligible workers that hold valid
// tickets.
func (p *planner) withValidTickets(s *Pending) []*Worker {
	eligible := p.eligible(s)
	if s.Advice == nil {
		return slices.Clone(eligible)
	}
	out := make([]*Worker, 0, len(eligible))
	for _, w := range eligible {
		if p.hasValidTicket(s, w) {
			out = append(out, w)
		}
	}
	return out
}

// fits reports whether the worker can run one more task of the step.
func fits(s *Pending, w *Worker) bool {
	if !s.Step.Reserved().Fits(w.Free) || s.tooSlow(w) {
		return false
	}
	if !w.hasLabel(s.Step.Requires) {
		return false
	}
	return s.Step.MaxPerWorker == 0 || s.OnWorker[w.ID] < s.Step.MaxPerWorker
}

// hasValidTicket reports whether the worker holds an unexpired ticket for the
// step, or the step needs none.
func (p *planner) hasValidTicket(s *Pending, w *Worker) bool {
	if s.Advice == nil {
		return true
	}
	t, ok := s.Advice.Eligible[w.ID]
	return ok && p.in.Now.Before(t.ExpiresAt)
}

// startTask adds the start of a task to the plan. It subtracts the task's need
// from the workspace's quota, and what it reserves from the worker's free capacity.
func (p *planner) startTask(s *Pending, index int, run int64, w *Worker) {
	w.Free = w.Free.Sub(s.Step.Reserved())
	if s.OnWorker != nil {
		s.OnWorker[w.ID]++
	}
	p.in.Quotas[s.Workspace].subtract(s.Step.Need)
	p.out.Starts = append(p.out.Starts, cell.Start{
		Task: cell.TaskKey{Job: s.Key.Job, Occurrence: s.Key.Occurrence, Step: s.Key.Step, Index: index},
		Run:  run, Worker: w.ID, Born: w.Born,
	})
	token := ""
	if s.Advice != nil {
		token = s.Advice.Eligible[w.ID].Token
	}
	p.out.Tokens = append(p.out.Tokens, token)
}
