package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"kumquatwing/internal/clock"
)

// repliesUntil records replies of the data centres at the given interval each, until the
// given time.
func repliesUntil(r *reachability, interval time.Duration, end clock.Instant, dcs ...string) {
	for at := clock.Instant(0).Add(time.Hour); at <= end; at = at.Add(interval) {
		for _, dc := range dcs {
			r.observe(dc, at)
		}
	}
}

// A partition cuts off one of four data centres while quick jobs arrive. Tasks must no
// longer be placed there after minSilence, and must be again with the first reply.
func TestSilentDataCentreIsUnreachable(t *testing.T) {
	r := newReachability()
	cutAt := clock.Instant(0).Add(time.Hour + 5*time.Second)
	repliesUntil(&r, 10*time.Millisecond, cutAt, "a", "b", "c", "d")
	now := cutAt.Add(minSilence + 20*time.Millisecond)
	qt.Check(t, r.unreachable("d", cutAt.Add(50*time.Millisecond)), qt.IsFalse)
	for at := cutAt; at <= now; at = at.Add(10 * time.Millisecond) {
		for _, dc := range []string{"a", "b", "c"} {
			r.observe(dc, at)
		}
	}
	qt.Check(t, r.unreachable("d", now), qt.IsTrue)
	qt.Check(t, r.unreachable("a", now), qt.IsFalse)
	r.observe("d", now)
	qt.Check(t, r.unreachable("d", now), qt.IsFalse)
}

// If no data centre answers, this process is cut off or stood still. Then no data centre
// may count as unreachable, or nothing would be placed once it goes on.
func TestSilenceOfAllIsNoUnreachableDataCentre(t *testing.T) {
	r := newReachability()
	end := clock.Instant(0).Add(time.Hour + 5*time.Second)
	repliesUntil(&r, 10*time.Millisecond, end, "a", "b")
	for _, dc := range []string{"a", "b"} {
		qt.Check(t, r.unreachable(dc, end.Add(3*time.Second)), qt.IsFalse)
	}
	r.observe("a", end.Add(3*time.Second))
	qt.Check(t, r.unreachable("b", end.Add(3*time.Second)), qt.IsTrue, qt.Commentf("a answers again, b does not"))
}

// A data centre with few workers replies seldom: its usual gaps are no silence. One that
// has sent few replies tells nothing.
func TestSeldomRepliesAreNoSilence(t *testing.T) {
	r := newReachability()
	end := clock.Instant(0).Add(time.Hour + 20*time.Second)
	repliesUntil(&r, 10*time.Millisecond, end, "busy")
	repliesUntil(&r, 150*time.Millisecond, end, "small")
	r.observe("new", end.Add(-time.Second))
	for _, dc := range []string{"small", "new"} {
		qt.Check(t, r.unreachable(dc, end.Add(500*time.Millisecond)), qt.IsFalse, qt.Commentf("%s", dc))
	}
}

// A worker that leaves a start unanswered gets no tasks until it answers a call: each
// could neither run there nor be placed elsewhere.
func TestWorkerWithoutAnswerGetsNoTasks(t *testing.T) {
	se := &session{}
	qt.Check(t, se.answers(), qt.IsTrue)
	se.unansweredAt = 10
	qt.Check(t, se.answers(), qt.IsFalse)
	se.lastAnswer = 11
	qt.Check(t, se.answers(), qt.IsTrue)
}

// TestNewLeadershipClearsUnreachable guards against a data centre that is reported as
// unreachable for good, since it was when this member led before.
func TestNewLeadershipClearsUnreachable(t *testing.T) {
	r := newRig(t, oneTask)
	r.lead()
	end := r.now().Add(time.Hour)
	repliesUntil(&r.reachability, 10*time.Millisecond, end, "a", "b")
	r.reachability.observe("b", end.Add(time.Second))
	r.logReachability(end.Add(time.Second))
	series := make(chan prometheus.Metric, 2)
	r.cfg.Metrics.unreachable.Collect(series)
	qt.Assert(t, series, qt.HasLen, 1)
	<-series
	r.reset(r.term.Load() + 1)
	r.cfg.Metrics.unreachable.Collect(series)
	qt.Check(t, series, qt.HasLen, 0)
}
