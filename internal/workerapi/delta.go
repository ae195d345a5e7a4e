package workerapi

import (
	"slices"

	"kumquatwing/internal/api"
	"kumquatwing/internal/verdict"
)

// ReasonFullReportRequired refuses a delta report whose base is not the newest
// report that this leader has accepted. The worker then sends a full report.
const ReasonFullReportRequired verdict.Reason = "whole-report-wanted"

// Delta returns next as a delta to base, the newest report of the same
// incarnation that was answered. A run whose only change is checkpoint progress
// below checkpointStep is left out.
func Delta(base, next *api.WorkerReport) *api.WorkerReport {
	out := *next
	out.Base, out.Tasks, out.Gone = base.Seq, nil, nil
	for _, t := range next.Tasks {
		if i := indexOfRun(base.Tasks, runID(&t)); i < 0 || differs(&base.Tasks[i], &t) {
			out.Tasks = append(out.Tasks, t)
		}
	}
	for i := range base.Tasks {
		if id := runID(&base.Tasks[i]); indexOfRun(next.Tasks, id) < 0 {
			out.Gone = append(out.Gone, id)
		}
	}
	return &out
}

// differs reports whether a delta to base must contain next. Checkpoint progress
// below checkpointStep doesn't count as a difference.
func differs(base, next *api.TaskReport) bool {
	same := *next
	if d := next.CheckpointMillis - base.CheckpointMillis; d >= 0 && d < checkpointStep && next.State == base.State {
		same.CheckpointMillis = base.CheckpointMillis
	}
	return same != *base
}

// fullReport returns r itself if it is a full report. For a delta report it
// returns the full report that results from applying r to its base.
func (l *Leader) fullReport(r *api.WorkerReport) (*api.WorkerReport, error) {
	if r.Base == 0 {
		return r, nil
	}
	s := l.workers[r.Worker]
	known := s != nil && s.report != nil && s.incarnation == r.Incarnation && s.seq == r.Base
	if !known && l.skip&skipBase == 0 {
		return nil, verdict.Refuse(ReasonFullReportRequired, "report %d of worker %s builds on report %d, which is not the newest here", r.Seq, r.Worker, r.Base)
	}
	if s == nil || s.report == nil {
		return r, nil
	}
	return ApplyDelta(s.report, r), nil
}

// ApplyDelta applies the delta report r to base and returns the full report.
func ApplyDelta(base, r *api.WorkerReport) *api.WorkerReport {
	out := *r
	out.Base, out.Gone, out.Tasks = 0, nil, nil
	for _, t := range base.Tasks {
		if slices.Contains(r.Gone, runID(&t)) {
			continue
		}
		if i := indexOfRun(r.Tasks, runID(&t)); i >= 0 {
			t = r.Tasks[i]
		}
		out.Tasks = append(out.Tasks, t)
	}
	for _, t := range r.Tasks {
		if indexOfRun(base.Tasks, runID(&t)) < 0 {
			out.Tasks = append(out.Tasks, t)
		}
	}
	return &out
}

func runID(t *api.TaskReport) api.RunID { return api.RunID{Task: t.Task, Attempt: t.Attempt} }

// indexOfRun returns the index of the run with the given id in tasks, or -1.
func indexOfRun(tasks []api.TaskReport, id api.RunID) int {
	return slices.IndexFunc(tasks, func(t api.TaskReport) bool { return runID(&t) == id })
}
