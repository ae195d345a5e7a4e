package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/cell"
)

// A workspace that sends more than its share has the rest put behind the others'
// jobs; one that keeps to it has not.
func TestShareOfJobs(t *testing.T) {
	r := newRig(t, oneTask)
	r.lead()
	w := &cell.Workspace{Name: "a", Weight: 10}
	count := func(jobs int, gap time.Duration) (within int) {
		for range jobs {
			if r.withinShare(w, r.now()) {
				within++
			}
			r.clock.Advance(gap)
		}
		return within
	}
	qt.Check(t, count(100, 100*time.Millisecond), qt.Equals, 100, qt.Commentf("at its share"))
	r.clock.Advance(time.Minute)
	within := count(100, 50*time.Millisecond)
	qt.Check(t, within >= 50 && within <= 60, qt.IsTrue, qt.Commentf("at twice its share, %d of 100 are within", within))
	qt.Check(t, r.withinShare(&cell.Workspace{Name: "b"}, r.now()), qt.IsTrue, qt.Commentf("without a weight"))
}
