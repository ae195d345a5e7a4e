package placement

import (
	"strings"

	"kumquatwing/internal/model"
)

// checkPreemptions checks that preemptions serve pending tasks, that the capacity is
// reserved for these tasks, and that no preemption is unnecessary or takes a
// workspace below its share.
func (c *checker) checkPreemptions() error {
	runs := make(map[model.TaskID]*RunningTask, len(c.s.Runs))
	for i := range c.s.Runs {
		runs[c.s.Runs[i].Task] = &c.s.Runs[i]
	}
	preemptions := make(map[model.TaskID]*Preemption, len(c.p.Preempt))
	for i := range c.p.Preempt {
		p := &c.p.Preempt[i]
		if err := c.checkPreemption(p, runs[p.Task]); err != nil {
			return err
		}
		if preemptions[p.Task] != nil {
			return violation(RulePreempt, "task %s is preempted twice", p.Task)
		}
		preemptions[p.Task] = p
	}
	for i := range c.p.Preempt {
		p := &c.p.Preempt[i]
		if err := c.checkPreemptionNeeded(p, runs[p.Task].Allocated, preemptions); err != nil {
			return err
		}
	}
	return c.checkShares(preemptions)
}

// checkPreemption checks that r, the running task that p stops, may be preempted,
// and that its capacity is reserved for the job of a pending task. r is nil if the
// task does not run.
func (c *checker) checkPreemption(p *Preemption, r *RunningTask) error {
	if r == nil || r.Worker != p.Worker {
		return violation(RulePreempt, "task %s does not run on worker %s", p.Task, p.Worker)
	}
	if !r.Preemptible || r.Stopping || r.Class != model.ClassBatch {
		return violation(RulePreempt, "task %s of class %s may not be preempted", p.Task, r.Class)
	}
	j := c.jobOfTask(p.Beneficiary)
	if j == nil {
		return violation(RulePreempt, "task %s is preempted for task %s, which is not pending", p.Task, p.Beneficiary)
	}
	for _, h := range c.reservedOn(p.Worker) {
		if h.job == j.Spec.ID && j.Spec.Size.Fits(h.capacity) {
			return nil
		}
	}
	return violation(RulePreempt, "no capacity of worker %s is reserved for task %s", p.Worker, p.Beneficiary)
}

// jobOfTask returns the job of the pending task id, or nil if no such task is
// pending. A task's id is the id of its job, a dot and an index.
func (c *checker) jobOfTask(id model.TaskID) *JobView {
	dot := strings.LastIndexByte(string(id), '.')
	if dot < 0 {
		return nil
	}
	j := c.jobs[model.JobID(id[:dot])]
	if j == nil || pendingTask(j, id) == nil {
		return nil
	}
	return j
}

// reservedOn lists the capacity that the plan's reservations keep on a worker.
func (c *checker) reservedOn(w model.WorkerID) []workerReservation {
	var out []workerReservation
	for i := range c.p.Reservations {
		r := &c.p.Reservations[i]
		for _, rc := range r.Workers {
			if rc.Worker == w {
				out = append(out, workerReservation{r.Job, r.Class == model.ClassUrgent, r.StartMillis, rc.Capacity})
			}
		}
	}
	return out
}

// checkPreemptionNeeded checks that p, which frees the capacity allocated, is
// necessary: without it, the reservations on the worker would exceed its future
// free capacity or, if p stops a task of the workspace that it serves, the
// workspace's reservations would exceed its grant. If p serves an urgent task,
// only the reservations and preemptions for urgent tasks count, because these
// come first.
func (c *checker) checkPreemptionNeeded(p *Preemption, allocated model.Resources, preemptions map[model.TaskID]*Preemption) error {
	j := c.jobOfTask(p.Beneficiary)
	urgent := isUrgent(j)
	if ws := c.workspaces[j.Spec.Workspace]; c.workspaceOfTask(p.Task) == ws.ID && !allocated.Fits(c.limitLeft(ws, preemptions)) {
		return nil
	}
	capacity := c.workers[p.Worker].Free.Sub(c.placedOn(p.Worker))
	for i := range c.s.Runs {
		r := &c.s.Runs[i]
		if r.Worker != p.Worker {
			continue
		}
		other := preemptions[r.Task]
		if r.Stopping || other != nil && (!urgent || isUrgent(c.jobOfTask(other.Beneficiary))) {
			capacity = capacity.Add(r.Allocated)
		}
	}
	for _, h := range c.reservedOn(p.Worker) {
		if !urgent || h.urgent {
			capacity = capacity.Sub(h.capacity)
		}
	}
	if allocated.Fits(capacity) {
		return violation(RulePreempt, "task %s is preempted although its capacity is not needed", p.Task)
	}
	return nil
}

// workspaceOfTask returns the workspace of a running task, or "".
func (c *checker) workspaceOfTask(task model.TaskID) model.WorkspaceID {
	for i := range c.s.Runs {
		if c.s.Runs[i].Task == task {
			return c.s.Runs[i].Workspace
		}
	}
	return ""
}

// limitLeft returns how much of the workspace's grant is left after the plan, once
// its stopping tasks have ended and its urgent tasks with reservations have started.
func (c *checker) limitLeft(ws *WorkspaceView, preemptions map[model.TaskID]*Preemption) model.Resources {
	left := ws.Grant.Sub(ws.Usage)
	for i := range c.p.Place {
		if spec := &c.jobs[c.p.Place[i].Job].Spec; spec.Workspace == ws.ID {
			left = left.Sub(spec.Size)
		}
	}
	for i := range c.s.Runs {
		if r := &c.s.Runs[i]; r.Workspace == ws.ID && (r.Stopping || preemptions[r.Task] != nil) {
			left = left.Add(r.Allocated)
		}
	}
	for i := range c.p.Reservations {
		if r := &c.p.Reservations[i]; r.Class == model.ClassUrgent {
			left = left.Sub(c.reservedBy(ws.ID, r))
		}
	}
	return left
}

// placedOn returns the capacity that the plan's placements need on a worker.
func (c *checker) placedOn(w model.WorkerID) model.Resources {
	var sum model.Resources
	for i := range c.p.Place {
		if c.p.Place[i].Worker == w {
			sum = sum.Add(c.jobs[c.p.Place[i].Job].Spec.Size)
		}
	}
	return sum
}

// checkShares checks that preemptions to return shares take no workspace below its
// own share. Preemptions for urgent tasks may do so.
func (c *checker) checkShares(preemptions map[model.TaskID]*Preemption) error {
	total, active := c.fleetSize(), c.activeShares()
	for k := range c.s.Workspaces {
		ws := &c.s.Workspaces[k]
		id := ws.ID
		use := ws.Usage.Add(ws.UsageElsewhere)
		preempted := false
		for i := range c.p.Place {
			if spec := &c.jobs[c.p.Place[i].Job].Spec; spec.Workspace == id {
				use = use.Add(spec.Size)
			}
		}
		for i := range c.s.Runs {
			r := &c.s.Runs[i]
			p := preemptions[r.Task]
			if r.Workspace == id && (p != nil || r.Stopping) {
				use = use.Sub(r.Allocated)
			}
			preempted = preempted || r.Workspace == id && p != nil && !isUrgent(c.jobOfTask(p.Beneficiary))
		}
		for i := range c.p.Reservations {
			use = use.Add(c.reservedBy(id, &c.p.Reservations[i]))
		}
		if preempted && dominantShare(use, total) < entitlement(ws, active) {
			return violation(RulePreempt, "preemptions take workspace %s below its share", id)
		}
	}
	return nil
}

// reservedBy returns the capacity that r keeps if its job belongs to workspace, and
// zero otherwise.
func (c *checker) reservedBy(workspace model.WorkspaceID, r *Reservation) model.Resources {
	var sum model.Resources
	if c.jobs[r.Job].Spec.Workspace != workspace {
		return sum
	}
	for _, rc := range r.Workers {
		sum = sum.Add(rc.Capacity)
	}
	return sum
}

// fleetSize returns the size relative to which shares are computed; see
// Snapshot.Fleet.
func (c *checker) fleetSize() model.Resources {
	if !c.s.Fleet.IsZero() {
		return c.s.Fleet
	}
	var sum model.Resources
	for i := range c.s.Workers {
		if c.s.Workers[i].State != model.WorkerLost {
			sum = sum.Add(c.s.Workers[i].Size)
		}
	}
	return sum
}

// activeShares sums the shares of the workspaces that use capacity in any data
// centre or have pending tasks in this one.
func (c *checker) activeShares() int64 {
	var sum int64
	for k := range c.s.Workspaces {
		ws := &c.s.Workspaces[k]
		id := ws.ID
		active := !ws.Usage.Add(ws.UsageElsewhere).IsZero()
		for i := range c.s.Jobs {
			j := &c.s.Jobs[i]
			active = active || j.Spec.Workspace == id && len(j.Pending) > 0
		}
		if active {
			sum += max(ws.Share, 1)
		}
	}
	return sum
}
