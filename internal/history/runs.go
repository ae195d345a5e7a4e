// Package history checks what the processes have recorded against the promises
// of the system. The checkers read event files, callers' logs and backend
// servers' counts; they know nothing of how a decision was made.
package history

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"kumquatwing/internal/eventlog"
	"kumquatwing/internal/model"
)

// Rule names a promise.
type Rule string

// The rules that this package checks.
const (
	RuleTwoPlaces  Rule = "no task in two places at once"
	RuleOvercommit Rule = "no VM overcommitted"
	RuleLimit      Rule = "no workspace over its upper limit"
	RuleOut        Rule = "no start in a data centre taken out"
	RuleOnce       Rule = "a request that is not idempotent runs at most once"
	RuleNotRun     Rule = "a refusal that says not-run is true"
	RuleAnswer     Rule = "every caller gets the whole answer to its own request"
	RuleKey        Rule = "a withdrawn key stops working"
)

// Violation is one break of a rule.
type Violation struct {
	Rule   Rule
	Detail string
}

// String formats v in one line.
func (v Violation) String() string { return fmt.Sprintf("%s: %s", v.Rule, v.Detail) }

// Kinds of events that workers record.
const (
	KindStart eventlog.Kind = "worker.start"
	KindEnd   eventlog.Kind = "worker.end"
)

// open is the end of a run that has not ended.
const open = math.MaxInt64

// Run is one run of a task on a worker, in wall milliseconds of one machine.
type Run struct {
	Task      model.TaskID
	Job       model.JobID
	Workspace model.WorkspaceID
	Worker    model.WorkerID
	DC        model.DCID
	Attempt   uint32
	StartMS   int64
	EndMS     int64
}

type runKey struct {
	task    model.TaskID
	attempt uint32
	worker  model.WorkerID
}

// Runs pairs the starts and ends that workers recorded, in order of start.
func Runs(events []eventlog.Event) []Run {
	var runs []Run
	started := map[runKey]int{}
	for i := range events {
		e := &events[i]
		k := runKey{e.Task, e.Attempt, e.Worker}
		switch e.Kind {
		case KindStart:
			started[k] = len(runs)
			runs = append(runs, Run{e.Task, e.Job, e.Workspace, e.Worker, e.DC, e.Attempt, e.At.WallMillis, open})
		case KindEnd:
			if at, ok := started[k]; ok {
				runs[at].EndMS = e.At.WallMillis
			}
		}
	}
	slices.SortStableFunc(runs, func(a, b Run) int { return cmp.Compare(a.StartMS, b.StartMS) })
	return runs
}

// TwoPlaces finds tasks with two runs at the same time.
func TwoPlaces(runs []Run) []Violation {
	var out []Violation
	last := map[model.TaskID]Run{}
	for _, r := range runs {
		if p, ok := last[r.Task]; ok && r.StartMS < p.EndMS {
			out = append(out, Violation{RuleTwoPlaces, fmt.Sprintf(
				"task %s attempt %d started on %s at %d ms while attempt %d ran on %s until %d ms",
				r.Task, r.Attempt, r.Worker, r.StartMS, p.Attempt, p.Worker, p.EndMS)})
		}
		if p, ok := last[r.Task]; !ok || r.EndMS >= p.EndMS {
			last[r.Task] = r
		}
	}
	return out
}

// edge is a change of what is in use at a moment.
type edge struct {
	atMS  int64
	group string
	delta model.Resources
	run   *Run
}

// edges lists starts and ends; at one moment ends come first.
func edges(runs []Run, specs map[model.JobID]model.JobSpec, group func(*Run) string) []edge {
	var out []edge
	for i := range runs {
		r := &runs[i]
		size := specs[r.Job].Size
		out = append(out, edge{r.StartMS, group(r), size, r})
		if r.EndMS != open {
			out = append(out, edge{r.EndMS, group(r), model.Resources{}.Sub(size), r})
		}
	}
	slices.SortStableFunc(out, func(a, b edge) int {
		return cmp.Or(cmp.Compare(a.atMS, b.atMS), cmp.Compare(a.delta.MilliCPU, b.delta.MilliCPU))
	})
	return out
}

// Overcommit finds workers whose running tasks' declared sizes exceed their
// own size.
func Overcommit(runs []Run, specs map[model.JobID]model.JobSpec, size model.Resources) []Violation {
	var out []Violation
	used := map[string]model.Resources{}
	for _, e := range edges(runs, specs, func(r *Run) string { return string(r.Worker) }) {
		used[e.group] = used[e.group].Add(e.delta)
		if dim := used[e.group].Exceeds(size); dim != "" && !e.delta.Negative() {
			out = append(out, Violation{RuleOvercommit, fmt.Sprintf(
				"worker %s holds %s of %s (%s) after task %s started at %d ms", e.group, used[e.group], size, dim, e.run.Task, e.atMS)})
		}
	}
	return out
}

// Limit is a workspace's upper limit from a moment on.
type Limit struct {
	Workspace model.WorkspaceID
	Limit     model.Resources
	FromMS    int64
}

// OverLimit finds workspaces that run more than the limit in force. limits are in
// order of time.
func OverLimit(runs []Run, specs map[model.JobID]model.JobSpec, limits []Limit) []Violation {
	var out []Violation
	used := map[string]model.Resources{}
	for _, e := range edges(runs, specs, func(r *Run) string { return string(r.Workspace) }) {
		used[e.group] = used[e.group].Add(e.delta)
		limit, ok := limitAt(limits, model.WorkspaceID(e.group), e.atMS)
		if ok && used[e.group].Exceeds(limit) != "" && !e.delta.Negative() {
			out = append(out, Violation{RuleLimit, fmt.Sprintf(
				"workspace %s runs %s of %s after task %s started at %d ms", e.group, used[e.group], limit, e.run.Task, e.atMS)})
		}
	}
	return out
}

func limitAt(limits []Limit, workspace model.WorkspaceID, atMS int64) (model.Resources, bool) {
	var limit model.Resources
	found := false
	for _, l := range limits {
		if l.Workspace == workspace && l.FromMS <= atMS {
			limit, found = l.Limit, true
		}
	}
	return limit, found
}

// Out is a time in which a data centre is out. FromMS is when it had to be in
// force: its acceptance and the time allowed.
type Out struct {
	DC     model.DCID
	FromMS int64
	ToMS   int64
}

// StartedOut finds starts in a data centre that was out.
func StartedOut(runs []Run, outs []Out) []Violation {
	var v []Violation
	for i := range runs {
		r := &runs[i]
		for _, o := range outs {
			if r.DC == o.DC && r.StartMS > o.FromMS && r.StartMS < o.ToMS {
				v = append(v, Violation{RuleOut, fmt.Sprintf(
					"task %s started in %s at %d ms, out since %d ms", r.Task, r.DC, r.StartMS, o.FromMS)})
			}
		}
	}
	return v
}
