package systems

import (
	"fmt"
	"slices"

	"kumquatwing/internal/model"
	"kumquatwing/internal/placement/estimate"
	"kumquatwing/internal/work"
)

// estimate returns the size and run time with which a job's tasks are planned:
// the declared values, corrected by the measured ones of the workload. If a task
// was stopped because it exceeded its size and waits to run again, the size covers
// what that task used, as far as the largest worker and the workspace's limit
// allow.
func (t *tick) estimate(j *work.Job) estimate.Correction {
	if p, ok := t.estimates[j.Spec.ID]; ok {
		return p
	}
	p := t.State.CorrectedEstimate(j, t.workerSizes())
	if required := requiredCapacity(j); !required.Fits(p.Size) {
		p.Size = t.fitToWorker(p.Size, required)
		p.Detail = fmt.Sprintf("declared %s; planned with %s after a task was stopped at %s", j.Spec.Size, p.Size, required)
	}
	if limit, ok := t.workspaceLimit(j.Spec.Workspace); ok {
		p.Size = p.Size.Min(limit).Max(j.Spec.Size)
	}
	if t.estimates == nil {
		t.estimates = map[model.JobID]estimate.Correction{}
	}
	t.estimates[j.Spec.ID] = p
	return p
}

// requiredCapacity returns the most that waiting tasks of j used when they were
// stopped because they exceeded their size.
func requiredCapacity(j *work.Job) model.Resources {
	var required model.Resources
	if j.Pending() == 0 {
		return required
	}
	for _, task := range j.Tasks() {
		if task.State == model.TaskPending {
			required = required.Max(task.RequiredCapacity)
		}
	}
	return required
}

// fitToWorker returns size, raised towards required as far as a single worker has the
// resources.
func (t *tick) fitToWorker(size, required model.Resources) model.Resources {
	best := size
	for _, w := range t.workerSizes() {
		if most := size.Max(required).Min(w); best.Fits(most) {
			best = most
		}
	}
	return best
}

func (t *tick) workspaceLimit(workspace model.WorkspaceID) (model.Resources, bool) {
	i, ok := slices.BinarySearchFunc(t.View.Workspaces, workspace, func(ws WorkspaceGrant, id model.WorkspaceID) int {
		switch {
		case ws.ID < id:
			return -1
		case ws.ID > id:
			return 1
		}
		return 0
	})
	if !ok {
		return model.Resources{}, false
	}
	return t.View.Workspaces[i].Limit, true
}

// workerSizes returns the distinct sizes of the workers that are not lost, in the
// order of State.Workers.
func (t *tick) workerSizes() []model.Resources {
	if t.sizes != nil {
		return t.sizes
	}
	t.sizes = []model.Resources{}
	for _, w := range t.State.Workers() {
		if w.State != model.WorkerLost && !slices.Contains(t.sizes, w.Size) {
			t.sizes = append(t.sizes, w.Size)
		}
	}
	return t.sizes
}
