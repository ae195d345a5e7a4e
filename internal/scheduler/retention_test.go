package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/cell"
)

// TestEndedJobsOutliveClockErrors guards against jobs that callers can't find any more
// although they ended only lately: the leader that recorded their end, or the one that
// deletes them, has a wall clock that is wrong by seconds or has jumped.
func TestEndedJobsOutliveClockErrors(t *testing.T) {
	r := newRig(t, oneTask)
	r.lead()
	keep := r.cfg.Bounds.EndedJobRetention
	ended := time.Now()
	r.apply(&cell.Command{Cancel: &cell.Cancel{ID: testJob, UnixMillis: ended.UnixMilli()}})
	ahead := func(d time.Duration) time.Time { return ended.Add(d + 5*time.Second) }
	for _, c := range []struct {
		after   time.Duration
		expired bool
	}{{0, false}, {keep - time.Second, false}, {keep + time.Second, true}} {
		now := r.leadingSince.Add(c.after)
		qt.Check(t, len(r.expiredJobs(now, ahead(c.after))) > 0, qt.Equals, c.expired, qt.Commentf("after %v", c.after))
	}
	r.lead()
	qt.Check(t, r.expiredJobs(r.now(), ahead(keep)), qt.HasLen, 0, qt.Commentf("a new leader with a clock ahead"))
	qt.Check(t, r.expiredJobs(r.now(), ended.Add(keep+maxClockError)), qt.HasLen, 1, qt.Commentf("beyond doubt"))
}

// TestTombstonesExpire checks that the cancel of an unknown job holds for as long as an
// ended job is kept, counted anew with each cancel and each leader, and not for good.
func TestTombstonesExpire(t *testing.T) {
	r := newRig(t, oneTask)
	r.lead()
	keep := r.cfg.Bounds.EndedJobRetention
	cancel := &cell.Command{Cancel: &cell.Cancel{ID: "unknown", Caller: &cell.Caller{Workspace: "a"}}}
	r.apply(cancel)
	start := r.now()
	qt.Check(t, r.expiredTombstones(start), qt.HasLen, 0)
	qt.Check(t, r.expiredTombstones(start.Add(keep-time.Second)), qt.HasLen, 0)
	expired := r.expiredTombstones(start.Add(keep))
	qt.Assert(t, expired, qt.HasLen, 1)

	r.apply(cancel)
	qt.Check(t, r.expiredTombstones(start.Add(keep)), qt.HasLen, 0, qt.Commentf("cancelled again"))
	r.apply(&cell.Command{Leadership: r.term.Load(), Forget: &cell.Forget{Tombstones: expired}})
	qt.Check(t, r.state.Tombstones(), qt.HasLen, 1, qt.Commentf("cancelled again after the deletion was proposed"))
	r.apply(&cell.Command{Leadership: r.term.Load(), Forget: &cell.Forget{Tombstones: r.expiredTombstones(start.Add(2 * keep))}})
	qt.Check(t, r.state.Tombstones(), qt.HasLen, 0)
}
