package control

import (
	"context"
	"slices"
	"time"

	"kumquatwing/internal/fleet"
	"kumquatwing/internal/model"
	"kumquatwing/internal/systems"
)

// runningElsewherePeriod is the interval at which other data centres are queried
// for the running tasks of services while this one is out of service.
const runningElsewherePeriod = time.Second

// runningElsewhere is the number of running tasks in other data centres, by job.
type runningElsewhere map[model.JobID]int

// pollRunningElsewhere updates the counts while this member leads a data centre
// that is out of service. A service's tasks may be moved away only while at least
// its minimum number of tasks runs.
func (s *Server) pollRunningElsewhere(ctx context.Context) {
	t := time.NewTicker(runningElsewherePeriod)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		v := s.fleetView()
		if !v.dataCentre.Out || !s.dcStatus().IsLeader() {
			s.runningElsewhere.Store(nil)
			continue
		}
		counts := runningElsewhere{}
		for i := range v.scheduler.Jobs {
			if job := &v.scheduler.Jobs[i]; job.Spec.Class == model.ClassService && job.Spec.MinRunning > 0 {
				counts[job.Spec.ID] = s.countRunningElsewhere(ctx, job.Spec.ID)
			}
		}
		s.runningElsewhere.Store(&counts)
	}
}

// countRunningElsewhere queries the other data centres that own tasks of a job. One
// that does not answer counts as running none.
func (s *Server) countRunningElsewhere(ctx context.Context, id model.JobID) int {
	node, state := s.fleet.current()
	var job *fleet.Job
	node.View(func(replicaStatus) { job, _ = state.Job(id) })
	if job == nil {
		return 0
	}
	running := 0
	for _, dc := range ownerDCs(job) {
		if dc == s.cfg.DC {
			continue
		}
		tasks, _ := s.tasksOfDC(ctx, dc, id)
		for i := range tasks {
			if tasks[i].State == model.TaskRunning {
				running++
			}
		}
	}
	return running
}

// ownerDCs returns the sorted data centres that own tasks of a job.
func ownerDCs(j *fleet.Job) []model.DCID {
	owners := slices.Clone(j.Owners)
	slices.Sort(owners)
	return slices.Compact(owners)
}

// withRunningElsewhere returns a copy of jobs with RunningElsewhere set from counts.
func withRunningElsewhere(jobs []systems.AssignedJob, counts runningElsewhere) []systems.AssignedJob {
	out := slices.Clone(jobs)
	for i := range out {
		out[i].RunningElsewhere = counts[out[i].Spec.ID]
	}
	return out
}
