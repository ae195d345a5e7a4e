package plan

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/cell"
)

// largeLoad returns the job classes of a yearbook workspace with hundreds of workers:
// three quarters of 1,100 workers outside bursts. Wide gangs of tasks of unlike size
// need a third of that, and their placement policy answers after a second. Some runs
// fail, and with them the rest of their gang.
func largeLoad() []loadClass {
	classes := yearbookLoad()
	table, series, extract := &classes[0], &classes[1], &classes[2]
	table.jobsPerSecond, table.meanTasks, table.meanTaskTime, table.value = 7.5, 32, 6200*time.Millisecond, 12.4
	table.queue.Advice.PerWorkerMillis = 7.4
	table.failShare = 0.006
	series.jobsPerSecond, series.meanTasks, series.milliCPU, series.meanTaskTime, series.value = 16.8, 50, 2600, 2200*time.Millisecond, 4.34
	extract.jobsPerSecond, extract.meanTasks, extract.milliCPU, extract.meanTaskTime, extract.value = 124, 4, 3700, 640*time.Millisecond, 0.384
	extract.queue.ObjectiveMillis = 300
	series.failShare, extract.failShare = 0.02, 0.02
	gangs := *extract
	gangs.name, gangs.gang, gangs.jobsPerSecond = "extract-gang", true, 53
	classes = append(classes, gangs)
	for i := range classes {
		classes[i].sizeSigma = 0.45
	}
	return classes
}

// TestLargeLoad plays the heaviest days of hundreds of workers: a burst of wide gangs,
// a second without a leader, and a twelfth of the workers lost. Of what callers ask for
// 0.9 is to be earned, the worth of 0.84 that users want less prices of 0.06; no class
// may pay for the others.
func TestLargeLoad(t *testing.T) {
	for _, workers := range []int{1100, 880} {
		sc := scenario{fmt.Sprintf("%d workers", workers), workers, 152, largeLoad(), 1.7, 40 * time.Millisecond, 0.08, time.Second, false}
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel()
			results := simulate(sc, 7, Compute)
			for _, c := range sc.classes {
				r := results[c.name]
				earned := r.earnedValue / r.maxValue
				t.Logf("%-12s submitted %4d: in time %4d, late %3d, earned %.3f", c.name, r.submitted, r.inTime, r.late, earned)
				qt.Check(t, earned >= 0.9, qt.IsTrue, qt.Commentf("%s: %.3f", c.name, earned))
				largest := float64(r.largestServed) / float64(max(1, r.largestJobs))
				qt.Check(t, largest >= r.servedShare()/2, qt.IsTrue, qt.Commentf("%s: the largest tenth is served %.2f", c.name, largest))
			}
			t.Logf("earned %.3f", earnedShare(results))
			qt.Check(t, earnedShare(results) >= 0.9, qt.IsTrue)
		})
	}
}

// TestGangsAskAboutFreeWorkers checks that a gang asks first about workers with free
// room, and only then about those whose runs it would have to stop; and that gangs that
// wait at the same time don't all ask about the same workers of a large pool.
func TestGangsAskAboutFreeWorkers(t *testing.T) {
	const size = 600
	var ws []Worker
	for i := range size {
		w := worker(fmt.Sprintf("w%03d", i), 16)
		if i%2 == 0 {
			w.Free.MilliCPU = 0
			w.Victims = []Victim{{Task: cell.TaskKey{Job: "v", Index: i}, Run: 1, Need: w.Capacity, Priority: 2}}
		}
		ws = append(ws, w)
	}
	var gangs []Pending
	for i := range 8 {
		gangs = append(gangs, withAdvice(pending(fmt.Sprint("g", i), 8, 4, 1, true)))
	}
	in := input(ws, gangs...)
	in.IdleAdvisers, in.AllAdvisers = 100, 100
	out := Compute(in)
	asked := map[cell.WorkerID]bool{}
	for _, r := range out.AdviceRequests {
		for _, id := range r.Workers {
			asked[id] = true
			var index int
			_, err := fmt.Sscanf(string(id), "w%d", &index)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, index%2, qt.Equals, 1, qt.Commentf("asked about a full worker"))
		}
	}
	qt.Check(t, len(asked) > 60, qt.IsTrue, qt.Commentf("all gangs ask about the same %d workers", len(asked)))
}

// TestCallersReturnAfterOutage plays five seconds without control processes, in which
// all callers are refused. Those of the last three seconds return together, with up to
// three seconds of their objective gone. Of the value of the accepted jobs 0.9 is to be
// earned, as in TestLargeLoad.
func TestCallersReturnAfterOutage(t *testing.T) {
	sc := scenario{"outage", 1100, 152, largeLoad(), 1.7, 60 * time.Millisecond, 0, 5 * time.Second, true}
	results := simulate(sc, 7, Compute)
	for _, c := range sc.classes {
		r := results[c.name]
		t.Logf("%-12s refused %3d, accepted %4d: in time %4d, late %3d, earned %.3f", c.name, r.refused, r.submitted, r.inTime, r.late, r.earnedValue/r.maxValue)
	}
	t.Logf("earned %.3f", earnedShare(results))
	qt.Check(t, earnedShare(results) >= 0.9, qt.IsTrue)
}
