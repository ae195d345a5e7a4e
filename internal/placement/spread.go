package placement

import "kumquatwing/internal/model"

// describeService adds to a the number of the service's running tasks per rack
// and worker.
func (d *decider) describeService(a *taskRequest, job model.JobID) {
	a.service = true
	a.perRack = make([]int32, d.c.racks)
	a.perWorker = make([]int32, len(d.c.workers))
	for _, w := range d.serviceRuns()[job] {
		d.c.countService(a, int(w))
	}
}

// serviceRuns returns, for each waiting service, the workers of its running
// tasks, each worker once per task. The map is built in one pass over all
// running tasks and serves the whole plan.
func (d *decider) serviceRuns() map[model.JobID][]int32 {
	if d.services != nil {
		return d.services
	}
	d.services = make(map[model.JobID][]int32)
	for _, j := range d.jobs {
		if j.view.Spec.Class == model.ClassService {
			d.services[j.view.Spec.ID] = nil
		}
	}
	for i := range d.s.Runs {
		r := &d.s.Runs[i]
		if r.Class != model.ClassService {
			continue
		}
		on, waits := d.services[r.Job]
		if w, ok := d.c.byID[r.Worker]; ok && waits {
			d.services[r.Job] = append(on, w)
		}
	}
	return d.services
}

// countService counts a placed task of the service on worker w. That changes
// the score of every worker in the rack, so if the service has a candidate
// table, these workers are logged for it as changed.
func (c *cell) countService(a *taskRequest, w int) {
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
