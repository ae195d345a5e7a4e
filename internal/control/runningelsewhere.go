package control

import (
	"context"
	"slices"
	"time"

	"kumquatwing/internal/fleet"
	"kumquatwing/internal/model"
	"kumquatwing/internal/systems"
)

// elsewherePeriod is how often other data centres are asked for the running
// tasks of services while this one is out.
const elsewherePeriod = time.Second

// runningElsewhere counts, per job, the running tasks in other data centres.
type runningElsewhere map[model.JobID]int

// followElsewhere keeps the counts while this member leads a data centre that
// is out: a service's tasks may leave only while enough others run.
func (s *Server) followElsewhere(ctx context.Context) {
	t := time.NewTicker(elsewherePeriod)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		v := s.fleetView()
		if !v.out.Out || !s.dcStatus().IsLeader() {
			s.elsewhere.Store(nil)
			continue
		}
		counts := runningElsewhere{}
		for i := range v.tick.Jobs {
			if job := &v.tick.Jobs[i]; job.Spec.Class == model.ClassService && job.Spec.MinRunning > 0 {
				counts[job.Spec.ID] = s.countElsewhere(ctx, job.Spec.ID)
			}
		}
		s.elsewhere.Store(&counts)
	}
}

// countElsewhere asks the other owners of a job. A data centre that doesn't
// answer counts as running none.
func (s *Server) countElsewhere(ctx context.Context, id model.JobID) int {
	node, state := s.fleet.member()
	var job *fleet.Job
	node.View(func(replicaStatus) { job, _ = state.Job(id) })
	if job == nil {
		return 0
	}
	running := 0
	for _, dc := range ownersOf(job) {
		if dc == s.cfg.DC {
			continue
		}
		tasks, _ := s.tasksIn(ctx, dc, id)
		for i := range tasks {
			if tasks[i].State == model.TaskRunning {
				running++
			}
		}
	}
	return running
}

// ownersOf lists the data centres that own a job's tasks.
func ownersOf(j *fleet.Job) []model.DCID {
	owners := slices.Clone(j.Owners)
	slices.Sort(owners)
	return slices.Compact(owners)
}

// withElsewhere returns jobs with the counts filled in.
func withElsewhere(jobs []systems.JobHere, counts runningElsewhere) []systems.JobHere {
	out := slices.Clone(jobs)
	for i := range out {
		out[i].RunningElsewhere = counts[out[i].Spec.ID]
	}
	return out
}
