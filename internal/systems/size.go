package systems

import (
	"fmt"
	"slices"

	"kumquatwing/internal/model"
	"kumquatwing/internal/placement/estimate"
	"kumquatwing/internal/work"
)

// planned is the size and run time to plan a job's tasks with: the declaration
// as corrected by what the workload took, and no less than a waiting task took
// when it outgrew that, as far as a worker and the workspace's limit have it.
func (t *tick) planned(j *work.Job) estimate.Correction {
	if p, ok := t.plans[j.Spec.ID]; ok {
		return p
	}
	p := t.State.Expected(j, t.workerSizes())
	if need := needOf(j); !need.Fits(p.Size) {
		p.Size = t.largestPart(p.Size, need)
		p.Detail = fmt.Sprintf("declared %s; planned with %s after a task was stopped at %s", j.Spec.Size, p.Size, need)
	}
	if limit, ok := t.limitOf(j.Spec.Workspace); ok {
		p.Size = p.Size.Min(limit).Max(j.Spec.Size)
	}
	if t.plans == nil {
		t.plans = map[model.JobID]estimate.Correction{}
	}
	t.plans[j.Spec.ID] = p
	return p
}

// needOf is the most that a waiting task of j took when it outgrew its size.
func needOf(j *work.Job) model.Resources {
	var need model.Resources
	if j.Pending() == 0 {
		return need
	}
	for _, row := range j.Tasks() {
		if row.State == model.TaskPending {
			need = need.Max(row.Need)
		}
	}
	return need
}

// largestPart returns as much of need, on top of size, as one worker has.
func (t *tick) largestPart(size, need model.Resources) model.Resources {
	best := size
	for _, w := range t.workerSizes() {
		if most := size.Max(need).Min(w); best.Fits(most) {
			best = most
		}
	}
	return best
}

func (t *tick) limitOf(workspace model.WorkspaceID) (model.Resources, bool) {
	i, ok := slices.BinarySearchFunc(t.View.Workspaces, workspace, func(h WorkspaceHere, id model.WorkspaceID) int {
		switch {
		case h.ID < id:
			return -1
		case h.ID > id:
			return 1
		}
		return 0
	})
	if !ok {
		return model.Resources{}, false
	}
	return t.View.Workspaces[i].Limit, true
}

// workerSizes lists the different sizes of workers, in the order of the tables.
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
