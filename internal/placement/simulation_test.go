package placement_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/model"
	"kumquatwing/internal/placement"
)

// jobAt returns a job whose tasks use exactly what is declared.
func jobAt(id string, workspace int, class model.Class, arrives int64, tasks int, milliCPU, run int64) *loadJob {
	size := model.Resources{MilliCPU: milliCPU, MemoryMB: milliCPU}
	return &loadJob{spec: model.JobSpec{
		ID: model.JobID(id), Workspace: workspaceName(workspace), Workload: "w", Class: class, Tasks: tasks, Size: size, RunMillis: run,
	}, arrives: arrives, run: run, use: size}
}

// newCheckedDriver returns a driver that checks every plan.
func newCheckedDriver(workers int, shares ...int64) *driver {
	d := newDriver(scheduler{"kumquatwing", placement.Decide, true}, 1, workers, shares)
	d.check = true
	return d
}

// TestPlansUnderLoadAreValid guards against plans that break a rule of
// placement.Check under a random load of all classes.
func TestPlansUnderLoadAreValid(t *testing.T) {
	p := loadPlan{seed: 5, workers: 16, shares: benchShares, millis: 120_000, load: 1.5, peak: 2, services: 3}
	d := newCheckedDriver(p.workers, p.shares...)
	d.run(newLoad(p), p.millis, nil)
	qt.Assert(t, d.stats.placed > 100, qt.IsTrue)
}

// TestShareIsReclaimedInTime guards against a workspace that uses the whole
// cell and keeps others from their shares: its tasks run for an hour, so the
// other workspace gets its half only by preemption.
func TestShareIsReclaimedInTime(t *testing.T) {
	const arrives = 60_000
	var load []*loadJob
	for i := range 40 {
		load = append(load, jobAt(fmt.Sprintf("a%02d", i), 0, model.ClassBatch, 0, 20, 1000, 3_600_000))
	}
	for i := range 40 {
		load = append(load, jobAt(fmt.Sprintf("b%02d", i), 1, model.ClassBatch, arrives, 20, 1000, 3_600_000))
	}
	d := newCheckedDriver(50, 1, 1)
	var returnedAfter int64
	d.run(load, arrives+placement.ShareReturnMillis, func(d *driver) {
		usage := d.usage(d.dcs[0])
		if returnedAfter == 0 && usage[1].Usage.MilliCPU >= 50*16_000/2 {
			returnedAfter = d.now - arrives
		}
	})
	t.Logf("a share of half the cell was returned after %d ms", returnedAfter)
	qt.Assert(t, returnedAfter > 0, qt.IsTrue)
}

// TestUrgentStartsInTimeInFullCell guards against urgent tasks that wait for
// batch tasks to end in a cell without free capacity.
func TestUrgentStartsInTimeInFullCell(t *testing.T) {
	load := []*loadJob{jobAt("a", 0, model.ClassBatch, 0, 160, 1000, 3_600_000)}
	for i := range 100 {
		load = append(load, jobAt(fmt.Sprintf("u%02d", i), 1, model.ClassUrgent, 10_000+int64(i)*200, 1, 2000, 3000))
	}
	d := newCheckedDriver(10, 1, 1)
	d.run(load, 60_000, nil)
	const bound = 2400
	waits := d.stats.waits[model.ClassUrgent]
	qt.Assert(t, waits, qt.HasLen, 100)
	qt.Assert(t, waits[len(waits)-1] <= bound, qt.IsTrue, qt.Commentf("waited %d ms", waits[len(waits)-1]))
}

// TestGangIsNotStarvedBySmallJobs guards against a steady stream of small jobs
// that takes all capacity as it becomes free, so that it never suffices for a
// whole gang.
func TestGangIsNotStarvedBySmallJobs(t *testing.T) {
	const arrives, bound = 20_000, 180_000
	var load []*loadJob
	for i := range int64(1500) {
		load = append(load, jobAt(fmt.Sprintf("s%04d", i), 0, model.ClassBatch, i*200, 2, 4000, 16_000))
	}
	gang := jobAt("g", 1, model.ClassGang, arrives, 5, 16_000, 10_000)
	load = append(load, gang)
	sortLoad(load)
	d := newCheckedDriver(10, 1, 1)
	d.run(load, arrives+bound, nil)
	waits := d.stats.waits[model.ClassGang]
	t.Logf("the gang waited %d ms", waits[0])
	qt.Assert(t, waits[len(waits)-1] < bound, qt.IsTrue)
}
