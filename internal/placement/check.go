package placement

import (
	"fmt"

	"kumquatwing/internal/model"
)

// RuleError is the error for a plan that violates a rule.
type RuleError struct {
	// Rule is one of the Rule constants.
	Rule   string
	Detail string
}

// Error implements error.
func (e *RuleError) Error() string { return fmt.Sprintf("plan violates rule %s: %s", e.Rule, e.Detail) }

// The rules that Check verifies.
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

// violation returns a RuleError with a formatted detail.
func violation(rule, format string, args ...any) error {
	return &RuleError{rule, fmt.Sprintf(format, args...)}
}

// Check verifies that p, a plan for s, obeys all rules. It recomputes what the
// rules need instead of relying on the state of Decide. It returns a *RuleError
// for the first violation, or nil.
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
		c.checkAccounted,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// checker verifies one plan. It indexes the snapshot by id.
type checker struct {
	s          *Snapshot
	p          *Plan
	workers    map[model.WorkerID]*WorkerView
	jobs       map[model.JobID]*JobView
	workspaces map[model.WorkspaceID]*WorkspaceView
	// placed counts the tasks of each job that the plan places.
	placed map[model.JobID]int
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

// checkOut checks that the plan does nothing while the data centre is out of
// service.
func (c *checker) checkOut() error {
	if c.s.OutOfService && len(c.p.Place)+len(c.p.Preempt)+len(c.p.Reservations) > 0 {
		return violation(RuleOut, "plan starts, preempts or reserves while the data centre is out of service")
	}
	return nil
}

// checkPlacements checks each placement by itself, and that no task is placed twice.
func (c *checker) checkPlacements() error {
	seen := make(map[model.TaskID]bool, len(c.p.Place))
	for i := range c.p.Place {
		p := &c.p.Place[i]
		if seen[p.Task] {
			return violation(RuleOnce, "task %s is placed twice", p.Task)
		}
		seen[p.Task] = true
		if err := c.checkPlacement(p); err != nil {
			return err
		}
	}
	return nil
}

// checkPlacement checks that the task is pending, that the worker may run it, and
// the explanation.
func (c *checker) checkPlacement(p *Placement) error {
	j, w := c.jobs[p.Job], c.workers[p.Worker]
	t := pendingTask(j, p.Task)
	if t == nil {
		return violation(RulePending, "task %s of job %s is not pending", p.Task, p.Job)
	}
	if t.NotBeforeMillis > c.s.NowMillis {
		return violation(RulePending, "task %s is in back-off until %d ms", p.Task, t.NotBeforeMillis)
	}
	if w == nil || w.State != model.WorkerReady {
		return violation(RuleWorker, "worker %s is unknown or not ready", p.Worker)
	}
	for _, id := range t.Avoid {
		if id == p.Worker {
			return violation(RuleAvoid, "task %s has failed on worker %s before", p.Task, p.Worker)
		}
	}
	return checkExplanation(c.s, string(p.Task), &p.Explain)
}

// pendingTask returns the pending task of j with the given id, or nil. j may be nil.
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

// checkExplanation checks that e considers all workers and leaves at least one
// that no filter rejected.
func checkExplanation(s *Snapshot, subject string, e *Explanation) error {
	if e.Considered != len(s.Workers) {
		return violation(RuleExplanation, "%s: explanation considers %d of %d workers", subject, e.Considered, len(s.Workers))
	}
	sum := 0
	for _, f := range e.Rejected {
		sum += f.Count
	}
	if sum >= e.Considered {
		return violation(RuleExplanation, "%s: explanation counts %d rejected workers, although one was chosen", subject, sum)
	}
	return nil
}

// checkRoom checks that the placements on each worker fit in its free capacity.
func (c *checker) checkRoom() error {
	used := make(map[model.WorkerID]model.Resources)
	for i := range c.p.Place {
		p := &c.p.Place[i]
		used[p.Worker] = used[p.Worker].Add(c.jobs[p.Job].Spec.Size)
		if !used[p.Worker].Fits(c.workers[p.Worker].Free) {
			return violation(RuleRoom, "worker %s: %s placed, %s free", p.Worker, used[p.Worker], c.workers[p.Worker].Free)
		}
	}
	return nil
}

// checkGangs checks that the plan places all tasks of a gang or none.
func (c *checker) checkGangs() error {
	for i := range c.s.Jobs {
		j := &c.s.Jobs[i]
		n := c.placed[j.Spec.ID]
		if isGang(j) && n != 0 && n != len(j.Pending) {
			return violation(RuleGang, "job %s: %d of %d tasks placed", j.Spec.ID, n, len(j.Pending))
		}
	}
	return nil
}

// checkGrants checks that no workspace exceeds its grant in this data centre.
func (c *checker) checkGrants() error {
	used := make(map[model.WorkspaceID]model.Resources)
	for i := range c.p.Place {
		spec := &c.jobs[c.p.Place[i].Job].Spec
		ws := c.workspaces[spec.Workspace]
		if ws == nil {
			return violation(RuleGrant, "workspace %s is unknown", spec.Workspace)
		}
		used[ws.ID] = used[ws.ID].Add(spec.Size)
		if !ws.Usage.Add(used[ws.ID]).Fits(ws.Grant) {
			return violation(RuleGrant, "workspace %s: %s in use, %s placed, %s granted", ws.ID, ws.Usage, used[ws.ID], ws.Grant)
		}
	}
	return nil
}

// checkBound checks that the plan has at most MaxPlacements placements, except for
// the rest of a gang.
func (c *checker) checkBound() error {
	limit := c.s.MaxPlacements
	if limit == 0 || len(c.p.Place) <= limit {
		return nil
	}
	if last := c.p.Place[limit-1].Job; last == c.p.Place[len(c.p.Place)-1].Job && isGang(c.jobs[last]) {
		return nil
	}
	return violation(RuleBound, "%d placements, at most %d allowed", len(c.p.Place), limit)
}

// checkRefusals checks that only jobs that don't fit on empty workers are refused,
// and none while workers may be missing or the data centre is out of service.
func (c *checker) checkRefusals() error {
	for i := range c.p.Refuse {
		r := &c.p.Refuse[i]
		j := c.jobs[r.Job]
		if j == nil || c.placed[r.Job] > 0 || c.s.Rebuilding || c.s.OutOfService {
			return violation(RuleRefuse, "job %s must not be refused", r.Job)
		}
		need := 1
		if isGang(j) {
			need = len(j.Pending)
		}
		if emptySlots(groupBySize(c.s.Workers), j.Spec.Size) >= need {
			return violation(RuleRefuse, "job %s fits on empty workers", r.Job)
		}
	}
	return nil
}

// checkAccounted checks that the plan has exactly one refusal or wait for each job
// with tasks left, and none for any other job.
func (c *checker) checkAccounted() error {
	entries := make(map[model.JobID]int)
	for i := range c.p.Refuse {
		entries[c.p.Refuse[i].Job]++
	}
	for i := range c.p.Waits {
		entries[c.p.Waits[i].Job]++
	}
	for i := range c.s.Jobs {
		j := &c.s.Jobs[i]
		want := 0
		if c.placed[j.Spec.ID] < len(j.Pending) {
			want = 1
		}
		if entries[j.Spec.ID] != want {
			return violation(RuleUnaccounted, "job %s: %d refusals and waits, want %d", j.Spec.ID, entries[j.Spec.ID], want)
		}
	}
	return nil
}
