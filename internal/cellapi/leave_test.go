package cellapi

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// reportInterval is the time between two reports of a worker in these tests.
const reportInterval = 100 * time.Millisecond

// TestLateLeaveCallEnds guards against a worker that gets no tasks for good: the leave call
// of its earlier incarnation was held up and applied to the present one, which reports to
// be ready again and again.
func TestLateLeaveCallEnds(t *testing.T) {
	ctx := context.Background()
	s, client, workers := newServerWithWorkers(t)
	workers.set(testAddr, "w", 5)
	_, err := client.Report(ctx, reportOf("w", 5, 1))
	qt.Assert(t, err, qt.IsNil)
	_, err = client.Leave(ctx, "w")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, workerOf(s, "w").Draining, qt.IsTrue)
	for sequence := int64(2); workerOf(s, "w").Draining; sequence++ {
		qt.Assert(t, sequence < int64(5*time.Second/reportInterval), qt.IsTrue)
		_, err := client.Report(ctx, reportOf("w", 5, sequence))
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(reportInterval)
	}
}

// TestLeaveCallHolds guards against tasks that are started on a worker that leaves: reports
// from before its leave call arrive late, or it has said itself that it drains.
func TestLeaveCallHolds(t *testing.T) {
	ctx := context.Background()
	for _, c := range []struct {
		name             string
		lives, saysSo    bool
		afterwards       bool
		firstSeq, seqInc int64
	}{
		{name: "it has ended", firstSeq: 2, seqInc: 1},
		{name: "one report again and again", lives: true, firstSeq: 2},
		{name: "it drains", lives: true, saysSo: true, firstSeq: 3, seqInc: 1},
		{name: "it drains afterwards", lives: true, saysSo: true, afterwards: true, firstSeq: 3, seqInc: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s, client, workers := newServerWithWorkers(t)
			if c.lives {
				workers.set(testAddr, "w", 5)
			}
			report := func(sequence int64, draining bool) {
				t.Helper()
				r := reportOf("w", 5, sequence)
				r.Worker.Draining = draining
				_, err := client.Report(ctx, r)
				qt.Assert(t, err, qt.IsNil)
			}
			report(1, false)
			if c.saysSo && !c.afterwards {
				report(2, true)
			}
			_, err := client.Leave(ctx, "w")
			qt.Assert(t, err, qt.IsNil)
			if c.afterwards {
				report(2, true)
			}
			for i := range int64(3 * stayInterval / reportInterval) {
				report(c.firstSeq+i*c.seqInc, false)
				time.Sleep(reportInterval)
				qt.Assert(t, workerOf(s, "w").Draining, qt.IsTrue)
			}
		})
	}
}
