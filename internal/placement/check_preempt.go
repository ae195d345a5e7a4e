package placement

import (
	"strings"

	"kumquatwing/internal/model"
)

// checkPreemptions checks that runs are stopped only for tasks that may ask for
// it, that the room is then held for them, and that no run is stopped in vain.
func (c *checker) checkPreemptions() error {
	runs := make(map[model.TaskID]*RunView, len(c.s.Runs))
	for i := range c.s.Runs {
		runs[c.s.Runs[i].Task] = &c.s.Runs[i]
	}
	stopped := make(map[model.TaskID]*Preemption, len(c.p.Preempt))
	for i := range c.p.Preempt {
		p := &c.p.Preempt[i]
		if err := c.checkPreemption(p, runs[p.Task]); err != nil {
			return err
		}
		if stopped[p.Task] != nil {
			return broken(RulePreempt, "task %s is preempted twice", p.Task)
		}
		stopped[p.Task] = p
	}
	for i := range c.p.Preempt {
		p := &c.p.Preempt[i]
		if err := c.checkNeeded(p, runs[p.Task].Holds, stopped); err != nil {
			return err
		}
	}
	return c.checkShares(stopped)
}

func (c *checker) checkPreemption(p *Preemption, r *RunView) error {
	if r == nil || r.Worker != p.Worker {
		return broken(RulePreempt, "task %s does not run on worker %s", p.Task, p.Worker)
	}
	if !r.Preemptible || r.Stopping || r.Class != model.ClassBatch {
		return broken(RulePreempt, "task %s of class %s may not be preempted", p.Task, r.Class)
	}
	j := c.jobOfTask(p.For)
	if j == nil {
		return broken(RulePreempt, "task %s is preempted for %s, which does not wait", p.Task, p.For)
	}
	for _, h := range c.reservedOn(p.Worker) {
		if h.job == j.Spec.ID && j.Spec.Size.Fits(h.room) {
			return nil
		}
	}
	return broken(RulePreempt, "worker %s holds no room for task %s", p.Worker, p.For)
}

// jobOfTask finds the job whose pending task id is, or nil. A task's id is its
// job's with a dot and an index.
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

// reservedOn lists what the plan's reservations hold on a worker.
func (c *checker) reservedOn(w model.WorkerID) []heldFor {
	var out []heldFor
	for i := range c.p.Reservations {
		r := &c.p.Reservations[i]
		for _, room := range r.Workers {
			if room.Worker == w {
				out = append(out, heldFor{r.Job, r.Class == model.ClassUrgent, r.StartMillis, room.Room})
			}
		}
	}
	return out
}

// checkNeeded checks that the room held on p's worker, or within the limit of
// the workspace if p's run is its own, would not be there without p. Urgent tasks are served first, so that only what they hold and
// what was stopped for them counts there.
func (c *checker) checkNeeded(p *Preemption, holds model.Resources, stopped map[model.TaskID]*Preemption) error {
	j := c.jobOfTask(p.For)
	urgent := isUrgent(j)
	if workspace := c.workspaces[j.Spec.Workspace]; c.workspaceOf(p.Task) == workspace.ID && !holds.Fits(c.limitLeft(workspace, stopped)) {
		return nil
	}
	room := c.workers[p.Worker].Free.Sub(c.placedOn(p.Worker))
	for i := range c.s.Runs {
		r := &c.s.Runs[i]
		if r.Worker != p.Worker {
			continue
		}
		other := stopped[r.Task]
		if r.Stopping || other != nil && (!urgent || isUrgent(c.jobOfTask(other.For))) {
			room = room.Add(r.Holds)
		}
	}
	for _, h := range c.reservedOn(p.Worker) {
		if !urgent || h.urgent {
			room = room.Sub(h.room)
		}
	}
	if holds.Fits(room) {
		return broken(RulePreempt, "task %s is preempted though there is room without", p.Task)
	}
	return nil
}

// workspaceOf is the workspace of a run.
func (c *checker) workspaceOf(task model.TaskID) model.WorkspaceID {
	for i := range c.s.Runs {
		if c.s.Runs[i].Task == task {
			return c.s.Runs[i].Workspace
		}
	}
	return ""
}

// limitLeft is what the workspace's grant covers after the plan, when its runs that
// stop have ended and its urgent tasks with reserved room have started.
func (c *checker) limitLeft(t *WorkspaceView, stopped map[model.TaskID]*Preemption) model.Resources {
	left := t.Grant.Sub(t.Usage)
	for i := range c.p.Place {
		if spec := &c.jobs[c.p.Place[i].Job].Spec; spec.Workspace == t.ID {
			left = left.Sub(spec.Size)
		}
	}
	for i := range c.s.Runs {
		if r := &c.s.Runs[i]; r.Workspace == t.ID && (r.Stopping || stopped[r.Task] != nil) {
			left = left.Add(r.Holds)
		}
	}
	for i := range c.p.Reservations {
		if r := &c.p.Reservations[i]; r.Class == model.ClassUrgent {
			left = left.Sub(c.reservedBy(t.ID, r))
		}
	}
	return left
}

// placedOn sums what the plan places on a worker.
func (c *checker) placedOn(w model.WorkerID) model.Resources {
	var sum model.Resources
	for i := range c.p.Place {
		if c.p.Place[i].Worker == w {
			sum = sum.Add(c.jobs[c.p.Place[i].Job].Spec.Size)
		}
	}
	return sum
}

// checkShares checks that no workspace is taken below its share by preemptions for
// other workspaces' shares.
func (c *checker) checkShares(stopped map[model.TaskID]*Preemption) error {
	total, active := c.fleet(), c.active()
	for k := range c.s.Workspaces {
		t := &c.s.Workspaces[k]
		id := t.ID
		use := t.Usage.Add(t.Elsewhere)
		taken := false
		for i := range c.p.Place {
			if spec := &c.jobs[c.p.Place[i].Job].Spec; spec.Workspace == id {
				use = use.Add(spec.Size)
			}
		}
		for i := range c.s.Runs {
			r := &c.s.Runs[i]
			p := stopped[r.Task]
			if r.Workspace == id && (p != nil || r.Stopping) {
				use = use.Sub(r.Holds)
			}
			taken = taken || r.Workspace == id && p != nil && !isUrgent(c.jobOfTask(p.For))
		}
		for i := range c.p.Reservations {
			use = use.Add(c.reservedBy(id, &c.p.Reservations[i]))
		}
		if taken && dominantShare(use, total) < entitlement(t, active) {
			return broken(RulePreempt, "workspace %s is taken below its share", id)
		}
	}
	return nil
}

// reservedBy is the room that r holds if its job is workspace's.
func (c *checker) reservedBy(workspace model.WorkspaceID, r *Reservation) model.Resources {
	var sum model.Resources
	if c.jobs[r.Job].Spec.Workspace != workspace {
		return sum
	}
	for _, room := range r.Workers {
		sum = sum.Add(room.Room)
	}
	return sum
}

// fleet is the size against which shares are counted.
func (c *checker) fleet() model.Resources {
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

// active sums the shares of the workspaces that use or still want anything.
func (c *checker) active() int64 {
	var sum int64
	for k := range c.s.Workspaces {
		t := &c.s.Workspaces[k]
		id := t.ID
		wants := !t.Usage.Add(t.Elsewhere).IsZero()
		for i := range c.s.Jobs {
			j := &c.s.Jobs[i]
			wants = wants || j.Spec.Workspace == id && len(j.Pending) > 0
		}
		if wants {
			sum += max(t.Share, 1)
		}
	}
	return sum
}
