package workerapi

import (
	"slices"

	"kumquatwing/internal/api"
	"kumquatwing/internal/verdict"
)

// ReasonWholeWanted refuses a report of changes to one that this leader has not
// taken in as the newest; the worker then sends a whole one.
const ReasonWholeWanted verdict.Reason = "whole-report-wanted"

// Changes returns next as changes to base, the newest answered report of the
// same incarnation.
func Changes(base, next *api.WorkerReport) *api.WorkerReport {
	out := *next
	out.Base, out.Tasks, out.Gone = base.Seq, nil, nil
	for _, t := range next.Tasks {
		if !slices.Contains(base.Tasks, t) {
			out.Tasks = append(out.Tasks, t)
		}
	}
	for i := range base.Tasks {
		if id := runIDOf(&base.Tasks[i]); findRun(next.Tasks, id) < 0 {
			out.Gone = append(out.Gone, id)
		}
	}
	return &out
}

// whole returns the report that r stands for.
func (l *Leader) whole(r *api.WorkerReport) (*api.WorkerReport, error) {
	if r.Base == 0 {
		return r, nil
	}
	s := l.seen[r.Worker]
	known := s != nil && s.report != nil && s.incarnation == r.Incarnation && s.seq == r.Base
	if !known && l.skip&skipBase == 0 {
		return nil, verdict.Refuse(ReasonWholeWanted, "report %d of worker %s builds on report %d, which is not the newest here", r.Seq, r.Worker, r.Base)
	}
	if s == nil || s.report == nil {
		return r, nil
	}
	return merge(s.report, r), nil
}

// merge applies the changes of r to base.
func merge(base, r *api.WorkerReport) *api.WorkerReport {
	out := *r
	out.Base, out.Gone, out.Tasks = 0, nil, nil
	for _, t := range base.Tasks {
		if slices.Contains(r.Gone, runIDOf(&t)) {
			continue
		}
		if i := findRun(r.Tasks, runIDOf(&t)); i >= 0 {
			t = r.Tasks[i]
		}
		out.Tasks = append(out.Tasks, t)
	}
	for _, t := range r.Tasks {
		if findRun(base.Tasks, runIDOf(&t)) < 0 {
			out.Tasks = append(out.Tasks, t)
		}
	}
	return &out
}

func runIDOf(t *api.TaskReport) api.RunID { return api.RunID{Task: t.Task, Attempt: t.Attempt} }

// findRun returns the place of a run in tasks, or -1.
func findRun(tasks []api.TaskReport, id api.RunID) int {
	return slices.IndexFunc(tasks, func(t api.TaskReport) bool { return runIDOf(&t) == id })
}
