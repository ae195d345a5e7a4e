// Package history checks recorded histories against the guarantees of the system. The
// checkers read events, the logs of callers and the execution counts of backend
// servers. They don't depend on the code that makes the decisions.
package history

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"kumquatwing/internal/eventlog"
	"kumquatwing/internal/model"
)

// Rule is a guarantee of the system.
type Rule string

// The rules that this package checks.
const (
	RuleSingleRun    Rule = "no task in two places at once"
	RuleOvercommit   Rule = "no VM overcommitted"
	RuleLimit        Rule = "no workspace over its upper limit"
	RuleOutOfService Rule = "no start in a data centre taken out"
	RuleAtMostOnce   Rule = "a request that is not idempotent runs at most once"
	RuleNotRun       Rule = "a refusal that says not-run is true"
	RuleResponse     Rule = "every caller gets the whole answer to its own request"
	RuleRevokedKey   Rule = "a withdrawn key stops working"
)

// Violation is a violation of a rule.
type Violation struct {
	Rule   Rule
	Detail string
}

// String returns v as a single line.
func (v Violation) String() string { return fmt.Sprintf("%s: %s", v.Rule, v.Detail) }

// Kinds of the events that workers record at the start and the end of a run.
const (
	KindStart eventlog.Kind = "worker.start"
	KindEnd   eventlog.Kind = "worker.end"
)

// unfinished is the EndMS of a run that has not ended.
const unfinished = math.MaxInt64

// Run is one run of a task on a worker. StartMS and EndMS are wall-clock times in
// milliseconds; they are comparable because all processes run on one machine.
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

// Runs returns the runs that the start and end events of workers describe, sorted by
// their start.
func Runs(events []eventlog.Event) []Run {
	var runs []Run
	started := map[runKey]int{}
	for i := range events {
		e := &events[i]
		k := runKey{e.Task, e.Attempt, e.Worker}
		switch e.Kind {
		case KindStart:
			started[k] = len(runs)
			runs = append(runs, Run{e.Task, e.Job, e.Workspace, e.Worker, e.DC, e.Attempt, e.At.WallMillis, unfinished})
		case KindEnd:
			if at, ok := started[k]; ok {
				runs[at].EndMS = e.At.WallMillis
			}
		}
	}
	slices.SortStableFunc(runs, func(a, b Run) int { return cmp.Compare(a.StartMS, b.StartMS) })
	return runs
}

// ConcurrentRuns reports runs that overlap with another run of the same task. runs
// are sorted by their start.
func ConcurrentRuns(runs []Run) []Violation {
	var out []Violation
	last := map[model.TaskID]Run{}
	for _, r := range runs {
		if p, ok := last[r.Task]; ok && r.StartMS < p.EndMS {
			out = append(out, Violation{RuleSingleRun, fmt.Sprintf(
				"task %s attempt %d started on %s at %d ms while attempt %d ran on %s until %d ms",
				r.Task, r.Attempt, r.Worker, r.StartMS, p.Attempt, p.Worker, p.EndMS)})
		}
		if p, ok := last[r.Task]; !ok || r.EndMS >= p.EndMS {
			last[r.Task] = r
		}
	}
	return out
}

// usageChange is a change of the resources that a group of runs uses, at the start or
// the end of a run.
type usageChange struct {
	atMS  int64
	group string
	delta model.Resources
	run   *Run
}

// usageChanges returns the changes of resource usage by runs, sorted by time. Changes
// at the same time are sorted so that releases come first.
func usageChanges(runs []Run, specs map[model.JobID]model.JobSpec, group func(*Run) string) []usageChange {
	var out []usageChange
	for i := range runs {
		r := &runs[i]
		size := specs[r.Job].Size
		out = append(out, usageChange{r.StartMS, group(r), size, r})
		if r.EndMS != unfinished {
			out = append(out, usageChange{r.EndMS, group(r), model.Resources{}.Sub(size), r})
		}
	}
	slices.SortStableFunc(out, func(a, b usageChange) int {
		return cmp.Or(cmp.Compare(a.atMS, b.atMS), cmp.Compare(a.delta.MilliCPU, b.delta.MilliCPU))
	})
	return out
}

// Overcommit reports starts after which the declared sizes of a worker's running tasks
// exceed size, the capacity of each worker.
func Overcommit(runs []Run, specs map[model.JobID]model.JobSpec, size model.Resources) []Violation {
	var out []Violation
	used := map[string]model.Resources{}
	for _, c := range usageChanges(runs, specs, func(r *Run) string { return string(r.Worker) }) {
		used[c.group] = used[c.group].Add(c.delta)
		if dim := used[c.group].Exceeds(size); dim != "" && !c.delta.Negative() {
			out = append(out, Violation{RuleOvercommit, fmt.Sprintf(
				"worker %s uses %s of %s (%s) after task %s started at %d ms", c.group, used[c.group], size, dim, c.run.Task, c.atMS)})
		}
	}
	return out
}

// Limit is the upper limit of a workspace from FromMS on, in wall-clock milliseconds.
type Limit struct {
	Workspace model.WorkspaceID
	Limit     model.Resources
	FromMS    int64
}

// OverLimit reports starts after which the running tasks of a workspace exceed the
// limit in force. limits are sorted by time.
func OverLimit(runs []Run, specs map[model.JobID]model.JobSpec, limits []Limit) []Violation {
	var out []Violation
	used := map[string]model.Resources{}
	for _, c := range usageChanges(runs, specs, func(r *Run) string { return string(r.Workspace) }) {
		used[c.group] = used[c.group].Add(c.delta)
		limit, ok := limitAt(limits, model.WorkspaceID(c.group), c.atMS)
		if ok && used[c.group].Exceeds(limit) != "" && !c.delta.Negative() {
			out = append(out, Violation{RuleLimit, fmt.Sprintf(
				"workspace %s uses %s of its limit %s after task %s started at %d ms", c.group, used[c.group], limit, c.run.Task, c.atMS)})
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

// OutOfServicePeriod is a period in which a data centre is out of service.
// FromMS is the time at which that had to be in force: the time of its acceptance plus
// the delay allowed.
type OutOfServicePeriod struct {
	DC     model.DCID
	FromMS int64
	ToMS   int64
}

// StartsOutOfService reports starts in a data centre that was out of service.
func StartsOutOfService(runs []Run, outs []OutOfServicePeriod) []Violation {
	var out []Violation
	for i := range runs {
		r := &runs[i]
		for _, o := range outs {
			if r.DC == o.DC && r.StartMS > o.FromMS && r.StartMS < o.ToMS {
				out = append(out, Violation{RuleOutOfService, fmt.Sprintf(
					"task %s started in %s at %d ms, out of service since %d ms", r.Task, r.DC, r.StartMS, o.FromMS)})
			}
		}
	}
	return out
}
