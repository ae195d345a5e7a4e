package placement

import "kumquatwing/internal/model"

// countServiceTasks adds to a the number of the service's running tasks per rack
// and worker.
func (p *planner) countServiceTasks(a *taskRequest, job model.JobID) {
	a.service = true
	a.perRack = make([]int32, p.c.racks)
	a.perWorker = make([]int32, len(p.c.workers))
	for _, w := range p.serviceRuns()[job] {
		p.c.countService(a, int(w))
	}
}

// serviceRuns returns, for each waiting service, the workers of its running
// tasks, each worker once per task. The map is built in one pass over all
// running tasks and serves the whole plan.
func (p *planner) serviceRuns() map[model.JobID][]int32 {
	if p.services != nil {
		return p.services
	}
	p.services = make(map[model.JobID][]int32)
	for _, j := range p.jobs {
		if j.view.Spec.Class == model.ClassService {
			p.services[j.view.Spec.ID] = nil
		}
	}
	for i := range p.s.Runs {
		r := &p.s.Runs[i]
		if r.Class != model.ClassService {
			continue
		}
		on, waits := p.services[r.Job]
		if w, ok := p.c.byID[r.Worker]; ok && waits {
			p.services[r.Job] = append(on, w)
		}
	}
	return p.services
}

// countService counts a placed task of the service on worker w. That changes
// the score of every worker in the rack, so if the service has a candidate
// table, these workers are logged for it as changed.
func (c *workerCapacity) countService(a *taskRequest, w int) {
	if !a.service {
		return
	}
	a.perRack[c.rack[w]]++
	a.perWorker[w]++
	if a.serviceTable == nil {
		return
	}
	for i, rack := range c.rack {
		if rack == c.rack[w] {
			c.changes = append(c.changes, int32(i))
		}
	}
}
