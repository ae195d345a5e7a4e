package placement

import (
	"fmt"

	"kumquatwing/internal/model"
)

// RuleError says which rule a plan breaks.
type RuleError struct {
	Rule   string
	Detail string
}

// Error implements error.
func (e *RuleError) Error() string { return fmt.Sprintf("plan breaks %s: %s", e.Rule, e.Detail) }

// The rules that Check checks.
const (
	RuleOut         = "data-centre-out"
	RulePending     = "task-pending"
	RuleOnce        = "one-decision-per-task"
	RuleWorker      = "worker-ready"
	RuleAvoid       = "failed-here"
	RuleRoom        = "no-overcommit"
	RuleReserved    = "reserved-room"
	RuleGang        = "gang-whole"
	RuleGrant       = "workspace-limit"
	RuleBound       = "max-placements"
	RulePreempt     = "preemption"
	RuleRefuse      = "refusal"
	RuleReservation = "reservation"
	RuleExplanation = "explanation"
	RuleUnaccounted = "job-accounted-for"
)

func broken(rule, format string, args ...any) error {
	return &RuleError{rule, fmt.Sprintf(format, args...)}
}

// Check tests every rule on a plan for s, with other means than Decide's. It
// returns a *RuleError for the first rule that is broken.
func Check(s *Snapshot, p *Plan) error {
	c := newChecker(s, p)
	steps := []func() error{
		c.checkOut,
		c.checkPlacements,
		c.checkRoom,
		c.checkReservedRoom,
		c.checkGangs,
		c.checkGrants,
		c.checkBound,
		c.checkPreemptions,
		c.checkRefusals,
		c.checkReservations,
		c.checkAccounts,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// checker holds the indexes that the rules need.
type checker struct {
	s          *Snapshot
	p          *Plan
	workers    map[model.WorkerID]*WorkerView
	jobs       map[model.JobID]*JobView
	workspaces map[model.WorkspaceID]*WorkspaceView
	placed     map[model.JobID]int
}

func newChecker(s *Snapshot, p *Plan) *checker {
	c := &checker{
		s: s, p: p,
		workers:    make(map[model.WorkerID]*WorkerView, len(s.Workers)),
		jobs:       make(map[model.JobID]*JobView, len(s.Jobs)),
		workspaces: make(map[model.WorkspaceID]*WorkspaceView, len(s.Workspaces)),
		placed:     make(map[model.JobID]int),
	}
	for i := range s.Workers {
		c.workers[s.Workers[i].ID] = &s.Workers[i]
	}
	for i := range s.Workspaces {
		c.workspaces[s.Workspaces[i].ID] = &s.Workspaces[i]
	}
	for i := range s.Jobs {
		c.jobs[s.Jobs[i].Spec.ID] = &s.Jobs[i]
	}
	for i := range p.Place {
		c.placed[p.Place[i].Job]++
	}
	return c
}

func (c *checker) checkOut() error {
	if c.s.Out && len(c.p.Place)+len(c.p.Preempt)+len(c.p.Reservations) > 0 {
		return broken(RuleOut, "the data centre is out and the plan acts")
	}
	return nil
}

func (c *checker) checkPlacements() error {
	seen := make(map[model.TaskID]bool, len(c.p.Place))
	for i := range c.p.Place {
		p := &c.p.Place[i]
		if seen[p.Task] {
			return broken(RuleOnce, "task %s is placed twice", p.Task)
		}
		seen[p.Task] = true
		if err := c.checkPlacement(p); err != nil {
			return err
		}
	}
	return nil
}

func (c *checker) checkPlacement(p *Placement) error {
	j, w := c.jobs[p.Job], c.workers[p.Worker]
	t := pendingTask(j, p.Task)
	if t == nil {
		return broken(RulePending, "task %s of job %s is not pending", p.Task, p.Job)
	}
	if t.NotBeforeMillis > c.s.NowMillis {
		return broken(RulePending, "task %s waits until %d", p.Task, t.NotBeforeMillis)
	}
	if w == nil || w.State != model.WorkerReady {
		return broken(RuleWorker, "worker %s takes no tasks", p.Worker)
	}
	for _, id := range t.Avoid {
		if id == p.Worker {
			return broken(RuleAvoid, "task %s failed on worker %s", p.Task, p.Worker)
		}
	}
	return checkExplanation(c.s, string(p.Task), &p.Explain)
}

// pendingTask finds a task of j, which may be nil, or returns nil.
func pendingTask(j *JobView, id model.TaskID) *PendingTask {
	if j == nil {
		return nil
	}
	for i := range j.Pending {
		if j.Pending[i].ID == id {
			return &j.Pending[i]
		}
	}
	return nil
}

func checkExplanation(s *Snapshot, subject string, e *Explanation) error {
	if e.Considered != len(s.Workers) {
		return broken(RuleExplanation, "%s: %d workers considered of %d", subject, e.Considered, len(s.Workers))
	}
	sum := 0
	for _, f := range e.Rejected {
		sum += f.Count
	}
	if sum >= e.Considered {
		return broken(RuleExplanation, "%s: all %d workers rejected, one chosen", subject, sum)
	}
	return nil
}

func (c *checker) checkRoom() error {
	used := make(map[model.WorkerID]model.Resources)
	for i := range c.p.Place {
		p := &c.p.Place[i]
		used[p.Worker] = used[p.Worker].Add(c.jobs[p.Job].Spec.Size)
		if !used[p.Worker].Fits(c.workers[p.Worker].Free) {
			return broken(RuleRoom, "worker %s: %s placed, %s free", p.Worker, used[p.Worker], c.workers[p.Worker].Free)
		}
	}
	return nil
}

func (c *checker) checkGangs() error {
	for i := range c.s.Jobs {
		j := &c.s.Jobs[i]
		n := c.placed[j.Spec.ID]
		if isGang(j) && n != 0 && n != len(j.Pending) {
			return broken(RuleGang, "job %s: %d of %d tasks placed", j.Spec.ID, n, len(j.Pending))
		}
	}
	return nil
}

func (c *checker) checkGrants() error {
	used := make(map[model.WorkspaceID]model.Resources)
	for i := range c.p.Place {
		spec := &c.jobs[c.p.Place[i].Job].Spec
		t := c.workspaces[spec.Workspace]
		if t == nil {
			return broken(RuleGrant, "workspace %s is unknown", spec.Workspace)
		}
		used[t.ID] = used[t.ID].Add(spec.Size)
		if !t.Usage.Add(used[t.ID]).Fits(t.Grant) {
			return broken(RuleGrant, "workspace %s: %s in use, %s placed, %s granted", t.ID, t.Usage, used[t.ID], t.Grant)
		}
	}
	return nil
}

func (c *checker) checkBound() error {
	bound := c.s.MaxPlacements
	if bound == 0 || len(c.p.Place) <= bound {
		return nil
	}
	if last := c.p.Place[bound-1].Job; last == c.p.Place[len(c.p.Place)-1].Job && isGang(c.jobs[last]) {
		return nil
	}
	return broken(RuleBound, "%d placements, at most %d", len(c.p.Place), bound)
}

func (c *checker) checkRefusals() error {
	for i := range c.p.Refuse {
		r := &c.p.Refuse[i]
		j := c.jobs[r.Job]
		if j == nil || c.placed[r.Job] > 0 || c.s.Settling || c.s.Out {
			return broken(RuleRefuse, "job %s can't be refused", r.Job)
		}
		need := 1
		if isGang(j) {
			need = len(j.Pending)
		}
		if emptySlots(groupBySize(c.s.Workers), j.Spec.Size) >= need {
			return broken(RuleRefuse, "job %s fits on empty workers", r.Job)
		}
	}
	return nil
}

// checkAccounts checks that each job with tasks left is refused or waits, once.
func (c *checker) checkAccounts() error {
	accounts := make(map[model.JobID]int)
	for i := range c.p.Refuse {
		accounts[c.p.Refuse[i].Job]++
	}
	for i := range c.p.Waits {
		accounts[c.p.Waits[i].Job]++
	}
	for i := range c.s.Jobs {
		j := &c.s.Jobs[i]
		want := 0
		if c.placed[j.Spec.ID] < len(j.Pending) {
			want = 1
		}
		if accounts[j.Spec.ID] != want {
			return broken(RuleUnaccounted, "job %s: %d accounts, want %d", j.Spec.ID, accounts[j.Spec.ID], want)
		}
	}
	return nil
}
