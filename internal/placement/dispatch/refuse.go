package dispatch

import (
	"fmt"
	"time"

	"kumquatwing/internal/model"
	"kumquatwing/internal/placement"
	"kumquatwing/internal/verdict"
)

// retryAfter is the delay after which a client may submit a job again that no
// data centre takes at the moment.
const retryAfter = 5 * time.Second

// refuse explains why no data centre can take the job. The refusal is final
// only if every data centre in which the job may run has reported its workers
// and is too small.
func (c *chooser) refuse() Choice {
	e := placement.Explanation{Considered: len(c.dcs), Rejected: c.rejections()}
	if detail, never := c.neverFits(); never {
		e.Detail = detail
		return Choice{Explain: e, Refusal: verdict.Refuse(verdict.ReasonNeverFits, "%s", detail)}
	}
	reason := verdict.ReasonDataCentreOut
	if c.rejected[FilterOut] == 0 {
		reason = verdict.ReasonNoLease
	}
	e.Detail = "no data centre takes new jobs now"
	return Choice{Explain: e, Refusal: verdict.Refuse(reason, "%s", e.Detail).WithRetryAfter(retryAfter)}
}

// neverFits reports whether the job is too large for every data centre in which
// it may run, including those out of service, with the explanation. It returns
// false while any of them has not reported its workers.
func (c *chooser) neverFits() (string, bool) {
	var workers []placement.WorkerView
	maxSlots := 0
	for i := range c.dcs {
		v := &c.dcs[i]
		if !c.allowed(v) {
			continue
		}
		n := slots(v, c.spec.Size)
		if !v.Known || n >= c.minSlots() {
			return "", false
		}
		maxSlots = max(maxSlots, n)
		workers = append(workers, workersOf(v)...)
	}
	if len(workers) == 0 {
		return "", false
	}
	if maxSlots > 0 {
		return fmt.Sprintf("needs %d tasks of %s at once; the largest data centre has room for %d", c.spec.Tasks, c.spec.Size, maxSlots), true
	}
	largest, dimension := placement.LargestFor(workers, c.spec.Size)
	return fmt.Sprintf("needs %s per task; %s is short on every worker; the largest is %s, in %s",
		c.spec.Size, dimension, largest.Size, largest.ID), true
}

// workersOf returns one worker of each shape, with the id of its data centre as
// its own, which the explanation shows.
func workersOf(v *DCView) []placement.WorkerView {
	out := make([]placement.WorkerView, len(v.Shapes))
	for i, s := range v.Shapes {
		out[i] = placement.WorkerView{ID: model.WorkerID(v.ID), Size: s.Size}
	}
	return out
}
