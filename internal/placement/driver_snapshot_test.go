package placement_test

import (
	"cmp"
	"slices"

	"kumquatwing/internal/model"
	"kumquatwing/internal/placement"
)

// snapshot returns the snapshot from which the data centre's scheduler plans.
func (d *driver) snapshot(dc *driverDC) *placement.Snapshot {
	s := &placement.Snapshot{NowMillis: d.now, OutOfService: dc.out, Workers: slices.Clone(dc.workers), Reservations: dc.reservations, MaxPlacements: driverBound}
	s.Workspaces = d.usage(dc)
	for _, o := range d.dcs {
		for i := range o.workers {
			s.Fleet = s.Fleet.Add(o.workers[i].Size)
		}
	}
	for _, j := range dc.jobs {
		v := placement.JobView{Spec: j.job.spec, ArrivedMillis: j.arrived, RunMillis: j.run, Policy: placement.Policy{Preemptible: true, GangReservationMillis: 10_000}}
		v.Spec.Size = j.size
		for _, t := range j.pending {
			v.Pending = append(v.Pending, placement.PendingTask{ID: t.id})
		}
		s.Jobs = append(s.Jobs, v)
	}
	slices.SortFunc(s.Jobs, func(a, b placement.JobView) int {
		return cmp.Or(cmp.Compare(a.ArrivedMillis, b.ArrivedMillis), cmp.Compare(a.Spec.ID, b.Spec.ID))
	})
	for _, t := range dc.running {
		s.Runs = append(s.Runs, d.runningTask(dc, t))
	}
	return s
}

func (d *driver) runningTask(dc *driverDC, t *driverTask) placement.RunningTask {
	spec := &t.job.spec
	v := placement.RunningTask{
		Task: t.id, Job: spec.ID, Workspace: spec.Workspace, Class: spec.Class, Worker: dc.workers[t.worker].ID, Allocated: t.size,
		StartedMillis: t.started, Preemptible: spec.Class == model.ClassBatch, Stopping: t.stopAt != 0,
	}
	if spec.Class == model.ClassBatch {
		v.CheckpointMillis = t.checkpoint(d.now)
	}
	if spec.RunMillis > 0 {
		v.EndsMillis = t.started + d.expected(spec)
	}
	return v
}

// expected returns the run time that the scheduler expects.
func (d *driver) expected(spec *model.JobSpec) int64 {
	if !d.scheduler.learn {
		return spec.RunMillis
	}
	return d.estimates.Correct(keyOf(spec), spec.Size, spec.RunMillis, nil).RunMillis
}

// usage returns the workspaces with their usage in the data centre here and in
// the others.
func (d *driver) usage(here *driverDC) []placement.WorkspaceView {
	out := slices.Clone(d.workspaces)
	for _, dc := range d.dcs {
		for _, t := range dc.running {
			for i := range out {
				if out[i].ID != t.job.spec.Workspace {
					continue
				}
				if dc == here {
					out[i].Usage = out[i].Usage.Add(t.size)
				} else {
					out[i].UsageElsewhere = out[i].UsageElsewhere.Add(t.size)
				}
			}
		}
	}
	return out
}
