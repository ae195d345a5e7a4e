// Package dispatch chooses the data centre that owns each task of a new job. It
// is pure: the same views give the same choice, whatever their order.
package dispatch

import (
	"fmt"
	"slices"
	"strings"

	"kumquatwing/internal/model"
	"kumquatwing/internal/placement"
	"kumquatwing/internal/verdict"
)

// Names of the filters, in the order in which they are asked.
const (
	FilterNotAllowed = "not-allowed"
	FilterOut        = "data-centre-out"
	FilterNoLease    = "no-lease"
	FilterSize       = "worker-size"
)

// Names of the parts of a score.
const (
	// ScorerLoad is what would stay free, in thousandths; negative when more
	// waits than fits.
	ScorerLoad = "load"
)

// DCView is one data centre as the fleet knows it, some seconds old.
type DCView struct {
	ID model.DCID
	// Out data centres, and those without a settings lease, take no new jobs.
	Out    bool
	Leased bool
	// Known is false until the data centre has told its workers.
	Known bool
	// Shapes lists the distinct sizes of its workers.
	Shapes []Shape
	// Free is the room of all workers, Waiting the size of all tasks that wait.
	Free    model.Resources
	Waiting model.Resources
}

// Shape is a number of workers of one size.
type Shape struct {
	Size  model.Resources
	Count int
}

// Choice is the outcome for one job.
type Choice struct {
	// Owners has the data centre of each task by index; nil when refused.
	Owners  []model.DCID
	Explain placement.Explanation
	// Refusal is set when no data centre can take the job. The job has not been
	// accepted anywhere, so that its verdict is NotRun.
	Refusal *verdict.Refusal
}

// Choose gives each task of spec a data centre: all tasks the same one, but for
// services, whose tasks are spread. A data centre with room goes before one
// where the tasks would wait.
func Choose(spec *model.JobSpec, dcs []DCView) Choice {
	c := newChooser(spec, dcs)
	if len(c.open) == 0 {
		return c.refuse()
	}
	if spec.Class == model.ClassService {
		return c.spread()
	}
	return c.together()
}

// CheckLimit refuses a job of which not even one task, or the whole gang, is
// within the workspace's upper limit.
func CheckLimit(spec *model.JobSpec, workspace *model.Workspace) *verdict.Refusal {
	need := atOnce(spec)
	d := need.Exceeds(workspace.Limit)
	if d == "" {
		return nil
	}
	return verdict.Refuse(verdict.ReasonNeverFits,
		"needs %s at once; the limit of workspace %s is %s, short in %s", need, workspace.ID, workspace.Limit, d)
}

// atOnce is the least that must run at the same time.
func atOnce(spec *model.JobSpec) model.Resources {
	if spec.Class == model.ClassGang {
		return spec.Size.Scale(int64(spec.Tasks))
	}
	return spec.Size
}

// candidate is a data centre that can take the job.
type candidate struct {
	view *DCView
	size model.Resources
	// free is what is left after the tasks given to it so far; negative when
	// tasks would wait.
	free  model.Resources
	tasks int
}

// chooser makes one choice.
type chooser struct {
	spec     *model.JobSpec
	dcs      []DCView
	open     []*candidate
	rejected map[string]int
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
		c.open = append(c.open, &candidate{view: v, size: sizeOf(v), free: v.Free.Sub(v.Waiting)})
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
	case !v.Leased:
		return FilterNoLease
	case v.Known && slots(v, c.spec.Size) < c.needSlots():
		return FilterSize
	}
	return ""
}

func (c *chooser) allowed(v *DCView) bool {
	return len(c.spec.DataCentres) == 0 || slices.Contains(c.spec.DataCentres, v.ID)
}

// needSlots is how many tasks must fit on empty workers.
func (c *chooser) needSlots() int {
	if c.spec.Class == model.ClassGang {
		return c.spec.Tasks
	}
	return 1
}

func sizeOf(v *DCView) model.Resources {
	var sum model.Resources
	for _, s := range v.Shapes {
		sum = sum.Add(s.Size.Scale(int64(s.Count)))
	}
	return sum
}

// slots is how many tasks of a size the data centre's empty workers take.
func slots(v *DCView, size model.Resources) int {
	n := 0
	for _, s := range v.Shapes {
		n += s.Count * perWorker(s.Size, size)
	}
	return n
}

// perWorker is how many tasks of a size fit in room.
func perWorker(room, size model.Resources) int {
	const bound = 1 << 20
	n := int64(bound)
	for d := range model.Dimensions {
		if need := size.At(d); need > 0 {
			n = min(n, room.At(d)/need)
		}
	}
	return int(n)
}

// together gives all tasks to one data centre.
func (c *chooser) together() Choice {
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

// spread gives tasks one by one to the data centre that has the fewest of them
// among those with room.
func (c *chooser) spread() Choice {
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

// best is the candidate with room for need, then with the fewest tasks, then
// with the most left over.
func (c *chooser) best(need model.Resources, tasks func(*candidate) int) *candidate {
	return slices.MinFunc(c.open, func(a, b *candidate) int {
		if ra, rb := need.Fits(a.free), need.Fits(b.free); ra != rb {
			if ra {
				return -1
			}
			return 1
		}
		if d := tasks(a) - tasks(b); d != 0 {
			return d
		}
		return int(b.left(need) - a.left(need))
	})
}

// left is the smallest part of a dimension that stays free without need, in
// thousandths of the data centre's size.
func (d *candidate) left(need model.Resources) int64 {
	const whole = 1000
	least := int64(whole)
	for i := range model.Dimensions {
		if size := d.size.At(i); size > 0 && need.At(i) > 0 {
			least = min(least, (d.free.At(i)-need.At(i))*whole/size)
		}
	}
	return least
}

// explain is the account of a choice.
func (c *chooser) explain(chosen *candidate, need model.Resources) placement.Explanation {
	e := placement.Explanation{
		Considered: len(c.dcs),
		Rejected:   c.counts(),
		Score:      []placement.ScorePart{{Scorer: ScorerLoad, Points: chosen.left(model.Resources{})}},
	}
	e.Detail = fmt.Sprintf("data centre %s; %d more could take it", chosen.view.ID, len(c.open)-1)
	if !need.Fits(chosen.view.Free.Sub(chosen.view.Waiting)) {
		e.Detail = fmt.Sprintf("no data centre has room now; waits in %s", chosen.view.ID)
	}
	return e
}

// counts lists the rejecting filters in the order in which they are asked.
func (c *chooser) counts() []placement.FilterCount {
	var out []placement.FilterCount
	for _, f := range []string{FilterNotAllowed, FilterOut, FilterNoLease, FilterSize} {
		if n := c.rejected[f]; n > 0 {
			out = append(out, placement.FilterCount{Filter: f, Count: n})
		}
	}
	return out
}
