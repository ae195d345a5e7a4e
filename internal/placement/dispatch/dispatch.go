// Package dispatch chooses the data centre that owns each task of a new job. It
// is pure: the same views give the same choice, in whatever order they are
// passed.
package dispatch

import (
	"fmt"
	"slices"
	"strings"

	"kumquatwing/internal/model"
	"kumquatwing/internal/placement"
	"kumquatwing/internal/verdict"
)

// Names of the filters, in the order in which they are applied.
const (
	FilterNotAllowed = "not-allowed"
	FilterOut        = "data-centre-out"
	FilterNoLease    = "no-lease"
	FilterSize       = "worker-size"
)

// Names of the parts of a score.
const (
	// ScorerLoad is the part of the data centre that is free after all waiting
	// tasks have started, in thousandths; negative if they don't fit.
	ScorerLoad = "load"
)

// DCView is one data centre as the fleet knows it. The information may be some
// seconds old.
type DCView struct {
	ID model.DCID
	// Out is set while the data centre is out of service, Reporting while its last
	// capacity report is recent. It gets new jobs only if it is reporting and not
	// out.
	Out       bool
	Reporting bool
	// Known is false until the data centre has reported its workers.
	Known bool
	// Shapes lists the distinct sizes of its workers.
	Shapes []Shape
	// Free is the free capacity of all workers, Waiting the total size of all
	// waiting tasks.
	Free    model.Resources
	Waiting model.Resources
}

// Shape is a number of workers of one size.
type Shape struct {
	Size  model.Resources
	Count int
}

// Choice is the result for one job.
type Choice struct {
	// Owners lists the data centre of each task by index; nil if the job is
	// refused.
	Owners  []model.DCID
	Explain placement.Explanation
	// Refusal is set if no data centre can take the job. No data centre has
	// accepted it then, so its verdict is NotRun.
	Refusal *verdict.Refusal
}

// Choose chooses a data centre for each task of spec. All tasks get the same
// one, except those of a service, which are spread. Data centres with enough
// free capacity are preferred to those where the tasks would have to wait.
func Choose(spec *model.JobSpec, dcs []DCView) Choice {
	c := newChooser(spec, dcs)
	if len(c.candidates) == 0 {
		return c.refuse()
	}
	if spec.Class == model.ClassService {
		return c.assignSpread()
	}
	return c.assignTogether()
}

// CheckLimit refuses a job if a single one of its tasks, or its whole gang,
// exceeds the workspace's upper limit.
func CheckLimit(spec *model.JobSpec, workspace *model.Workspace) *verdict.Refusal {
	need := minConcurrent(spec)
	d := need.Exceeds(workspace.Limit)
	if d == "" {
		return nil
	}
	return verdict.Refuse(verdict.ReasonNeverFits,
		"needs %s at once; the limit of workspace %s is %s, short in %s", need, workspace.ID, workspace.Limit, d)
}

// minConcurrent returns the least capacity that the job must hold at a time.
func minConcurrent(spec *model.JobSpec) model.Resources {
	if spec.Class == model.ClassGang {
		return spec.Size.Scale(int64(spec.Tasks))
	}
	return spec.Size
}

// candidate is a data centre that no filter has rejected.
type candidate struct {
	view *DCView
	size model.Resources
	// free is the capacity left after the waiting tasks and those assigned to
	// it so far; negative if tasks would have to wait.
	free  model.Resources
	tasks int
}

// chooser is the working state of one choice.
type chooser struct {
	spec       *model.JobSpec
	dcs        []DCView
	candidates []*candidate
	rejected   map[string]int
}

func newChooser(spec *model.JobSpec, dcs []DCView) *chooser {
	c := &chooser{spec: spec, dcs: slices.Clone(dcs), rejected: make(map[string]int)}
	slices.SortFunc(c.dcs, func(a, b DCView) int { return strings.Compare(string(a.ID), string(b.ID)) })
	for i := range c.dcs {
		v := &c.dcs[i]
		if f := c.reject(v); f != "" {
			c.rejected[f]++
			continue
		}
		c.candidates = append(c.candidates, &candidate{view: v, size: totalSize(v), free: v.Free.Sub(v.Waiting)})
	}
	return c
}

// reject returns the first filter that rejects v, or "".
func (c *chooser) reject(v *DCView) string {
	switch {
	case !c.allowed(v):
		return FilterNotAllowed
	case v.Out:
		return FilterOut
	case !v.Reporting:
		return FilterNoLease
	case v.Known && slots(v, c.spec.Size) < c.minSlots():
		return FilterSize
	}
	return ""
}

func (c *chooser) allowed(v *DCView) bool {
	return len(c.spec.DataCentres) == 0 || slices.Contains(c.spec.DataCentres, v.ID)
}

// minSlots returns how many of the job's tasks must fit on a data centre's
// empty workers at the same time.
func (c *chooser) minSlots() int {
	if c.spec.Class == model.ClassGang {
		return c.spec.Tasks
	}
	return 1
}

// totalSize returns the size of all workers of the data centre.
func totalSize(v *DCView) model.Resources {
	var sum model.Resources
	for _, s := range v.Shapes {
		sum = sum.Add(s.Size.Scale(int64(s.Count)))
	}
	return sum
}

// slots returns how many tasks of the given size fit on the data centre's
// workers when they are empty.
func slots(v *DCView, size model.Resources) int {
	n := 0
	for _, s := range v.Shapes {
		n += s.Count * slotsPerWorker(s.Size, size)
	}
	return n
}

// slotsPerWorker returns how many tasks of the given size fit on an empty
// worker.
func slotsPerWorker(worker, size model.Resources) int {
	const bound = 1 << 20
	n := int64(bound)
	for d := range model.Dimensions {
		if need := size.At(d); need > 0 {
			n = min(n, worker.At(d)/need)
		}
	}
	return int(n)
}

// assignTogether assigns all tasks to one data centre. For a batch job,
// capacity for one task is enough to prefer it; other jobs need capacity for
// all tasks.
func (c *chooser) assignTogether() Choice {
	all := c.spec.Size.Scale(int64(c.spec.Tasks))
	need := all
	if c.spec.Class == model.ClassBatch {
		need = c.spec.Size
	}
	best := c.best(need, func(*candidate) int { return 0 })
	best.free = best.free.Sub(all)
	owners := make([]model.DCID, c.spec.Tasks)
	for i := range owners {
		owners[i] = best.view.ID
	}
	return Choice{Owners: owners, Explain: c.explain(best, need)}
}

// assignSpread assigns each task to the data centre that has the fewest of
// them, among those with enough free capacity.
func (c *chooser) assignSpread() Choice {
	owners := make([]model.DCID, c.spec.Tasks)
	var first *candidate
	for i := range owners {
		best := c.best(c.spec.Size, func(d *candidate) int { return d.tasks })
		best.tasks++
		best.free = best.free.Sub(c.spec.Size)
		owners[i] = best.view.ID
		if first == nil {
			first = best
		}
	}
	return Choice{Owners: owners, Explain: c.explain(first, c.spec.Size)}
}

// best returns the candidate to prefer: one with enough free capacity for need,
// then the one with the fewest tasks, then the one with the most capacity left.
func (c *chooser) best(need model.Resources, tasks func(*candidate) int) *candidate {
	return slices.MinFunc(c.candidates, func(a, b *candidate) int {
		if ra, rb := need.Fits(a.free), need.Fits(b.free); ra != rb {
			if ra {
				return -1
			}
			return 1
		}
		if d := tasks(a) - tasks(b); d != 0 {
			return d
		}
		return int(b.remaining(need) - a.remaining(need))
	})
}

// remaining returns the part of the data centre that stays free without need,
// in thousandths, for the dimension of need in which it is smallest.
func (d *candidate) remaining(need model.Resources) int64 {
	const scale = 1000
	smallest := int64(scale)
	for i := range model.Dimensions {
		if size := d.size.At(i); size > 0 && need.At(i) > 0 {
			smallest = min(smallest, (d.free.At(i)-need.At(i))*scale/size)
		}
	}
	return smallest
}

// explain returns the explanation of a choice.
func (c *chooser) explain(chosen *candidate, need model.Resources) placement.Explanation {
	e := placement.Explanation{
		Considered: len(c.dcs),
		Rejected:   c.rejections(),
		Score:      []placement.ScorePart{{Scorer: ScorerLoad, Points: chosen.remaining(model.Resources{})}},
	}
	e.Detail = fmt.Sprintf("data centre %s; %d more could take it", chosen.view.ID, len(c.candidates)-1)
	if !need.Fits(chosen.view.Free.Sub(chosen.view.Waiting)) {
		e.Detail = fmt.Sprintf("no data centre has room now; waits in %s", chosen.view.ID)
	}
	return e
}

// rejections returns the filters that rejected data centres, with their counts,
// in the order in which they are applied.
func (c *chooser) rejections() []placement.FilterCount {
	var out []placement.FilterCount
	for _, f := range []string{FilterNotAllowed, FilterOut, FilterNoLease, FilterSize} {
		if n := c.rejected[f]; n > 0 {
			out = append(out, placement.FilterCount{Filter: f, Count: n})
		}
	}
	return out
}
