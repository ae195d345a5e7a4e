package dispatch

import (
	"fmt"
	"time"

	"kumquatwing/internal/model"
	"kumquatwing/internal/placement"
	"kumquatwing/internal/verdict"
)

// retryAfter is when a job that no data centre takes now may be sent again.
const retryAfter = 5 * time.Second

// refuse says why no data centre can take the job. It is refused for good only
// when every data centre it may run in is known and too small.
func (c *chooser) refuse() Choice {
	e := placement.Explanation{Considered: len(c.dcs), Rejected: c.counts()}
	if detail, never := c.neverFits(); never {
		e.Detail = detail
		return Choice{Explain: e, Refusal: verdict.Refuse(verdict.ReasonNeverFits, "%s", detail)}
	}
	reason := verdict.ReasonOut
	if c.rejected[FilterOut] == 0 {
		reason = verdict.ReasonNoLease
	}
	e.Detail = "no data centre takes new jobs now"
	return Choice{Explain: e, Refusal: verdict.Refuse(reason, "%s", e.Detail).RetryIn(retryAfter)}
}

// neverFits reports whether no data centre that the job may run in could ever
// take it, also those that are out now, and why.
func (c *chooser) neverFits() (string, bool) {
	var workers []placement.WorkerView
	most := 0
	for i := range c.dcs {
		v := &c.dcs[i]
		if !c.allowed(v) {
			continue
		}
		n := slots(v, c.spec.Size)
		if !v.Known || n >= c.needSlots() {
			return "", false
		}
		most = max(most, n)
		workers = append(workers, workersOf(v)...)
	}
	if len(workers) == 0 {
		return "", false
	}
	if most > 0 {
		return fmt.Sprintf("needs %d tasks of %s at once; the largest data centre has room for %d", c.spec.Tasks, c.spec.Size, most), true
	}
	largest, dimension := placement.LargestFor(workers, c.spec.Size)
	return fmt.Sprintf("needs %s per task; %s is short on every worker; the largest is %s, in %s",
		c.spec.Size, dimension, largest.Size, largest.ID), true
}

// workersOf stands one worker for each shape, named by its data centre.
func workersOf(v *DCView) []placement.WorkerView {
	out := make([]placement.WorkerView, len(v.Shapes))
	for i, s := range v.Shapes {
		out[i] = placement.WorkerView{ID: model.WorkerID(v.ID), Size: s.Size}
	}
	return out
}
