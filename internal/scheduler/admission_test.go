package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/cell"
)

// Jobs that a workspace submits beyond its share are marked as over the share, so
// that they rank behind the jobs of others. Jobs within the share are not marked.
func TestWorkspaceShareLimitsJobRate(t *testing.T) {
	r := newRig(t, oneTask)
	r.lead()
	w := &cell.Workspace{Name: "a", Weight: 10}
	count := func(jobs int, gap time.Duration) (within int) {
		for range jobs {
			if r.takeShareToken(w, r.now()) {
				within++
			}
			r.clock.Advance(gap)
		}
		return within
	}
	qt.Check(t, count(100, 100*time.Millisecond), qt.Equals, 100, qt.Commentf("submitting at its share"))
	r.clock.Advance(time.Minute)
	within := count(100, 50*time.Millisecond)
	qt.Check(t, within >= 50 && within <= 60, qt.IsTrue, qt.Commentf("submitting at twice its share, %d of 100 jobs are within it", within))
	qt.Check(t, r.takeShareToken(&cell.Workspace{Name: "b"}, r.now()), qt.IsTrue, qt.Commentf("workspace without a weight"))
}
