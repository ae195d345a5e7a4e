package scheduler

import (
	"kumquatwing/internal/cell"
	"kumquatwing/internal/model"
)

// maxPlansInFlight bounds the plans that are being committed at a time. Under load a
// commit takes several times as long as a plan.
const maxPlansInFlight = 2

// pipeline holds the starts of the plans that are being committed. Later plans are
// computed as if these starts were in the state already; the state validates each
// start again when it is applied.
type pipeline struct {
	plans  int
	starts map[cell.TaskKey]proposedStart
	// byStep counts the starts of each step.
	byStep map[cell.StepKey]int
}

// proposedStart is a start that is being committed.
type proposedStart struct {
	start     cell.Start
	need      model.Resources
	filler    bool
	workspace string
}

func newPipeline() pipeline {
	return pipeline{starts: map[cell.TaskKey]proposedStart{}, byStep: map[cell.StepKey]int{}}
}

// add adds the starts of a plan. The state is locked.
func (p *pipeline) add(state *cell.State, starts []cell.Start) {
	p.plans++
	for i := range starts {
		st := &starts[i]
		j := state.Jobs[st.Task.Job]
		if j == nil {
			continue
		}
		step := &j.Steps[st.Task.Step]
		p.starts[st.Task] = proposedStart{*st, step.Need, step.Filler, j.Workspace}
		p.byStep[st.Task.StepKey()]++
	}
}

// remove removes the starts of a plan whose commit has ended.
func (p *pipeline) remove(starts []cell.Start) {
	p.plans--
	for i := range starts {
		k := starts[i].Task
		if _, ok := p.starts[k]; !ok {
			continue
		}
		delete(p.starts, k)
		if p.byStep[k.StepKey()]--; p.byStep[k.StepKey()] == 0 {
			delete(p.byStep, k.StepKey())
		}
	}
}

// use is what the starts of a pipeline will use in addition to the state.
type use struct {
	byWorker    map[cell.WorkerID]model.Resources
	byWorkspace map[string]model.Resources
}

// use returns what the starts that are not applied yet will use. The state is locked.
func (p *pipeline) use(state *cell.State) use {
	u := use{map[cell.WorkerID]model.Resources{}, map[string]model.Resources{}}
	for k, ps := range p.starts {
		if w := state.Workers[ps.start.Worker]; w != nil && w.Allocations[k].Run == ps.start.Run {
			continue
		}
		u.byWorkspace[ps.workspace] = u.byWorkspace[ps.workspace].Add(ps.need)
		if !ps.filler {
			u.byWorker[ps.start.Worker] = u.byWorker[ps.start.Worker].Add(ps.need)
		}
	}
	return u
}

// addTasksByWorker adds the step's starts to the number of its tasks by worker. Starts
// that are applied already are counted by the state.
func (p *pipeline) addTasksByWorker(step cell.StepKey, tasks []cell.Task, n map[cell.WorkerID]int) {
	if p.byStep[step] == 0 {
		return
	}
	for k, ps := range p.starts {
		if k.StepKey() == step && tasks[k.Index].Status == cell.TaskWaiting {
			n[ps.start.Worker]++
		}
	}
}
