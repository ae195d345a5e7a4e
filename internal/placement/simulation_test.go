package placement_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/model"
	"kumquatwing/internal/placement"
)

// jobAt returns a job whose tasks take what they declare.
func jobAt(id string, workspace int, class model.Class, arrives int64, tasks int, milliCPU, run int64) *loadJob {
	size := model.Resources{MilliCPU: milliCPU, MemoryMB: milliCPU}
	return &loadJob{spec: model.JobSpec{
		ID: model.JobID(id), Workspace: workspaceName(workspace), Workload: "w", Class: class, Tasks: tasks, Size: size, RunMillis: run,
	}, arrives: arrives, run: run, use: size}
}

// checked returns a driver that checks every plan.
func checked(workers int, shares ...int64) *driver {
	d := newDriver(scheduler{"kumquatwing", placement.Decide, true}, 1, workers, shares)
	d.check = true
	return d
}

func TestLoadKeepsAllRules(t *testing.T) {
	p := loadPlan{seed: 5, workers: 16, shares: benchShares, millis: 120_000, load: 1.5, peak: 2, services: 3}
	d := checked(p.workers, p.shares...)
	d.run(newLoad(p), p.millis, nil)
	qt.Assert(t, d.stats.placed > 100, qt.IsTrue)
}

func TestLentShareComesBackInTime(t *testing.T) {
	const arrives = 60_000
	var load []*loadJob
	for i := range 40 {
		load = append(load, jobAt(fmt.Sprintf("a%02d", i), 0, model.ClassBatch, 0, 20, 1000, 3_600_000))
	}
	for i := range 40 {
		load = append(load, jobAt(fmt.Sprintf("b%02d", i), 1, model.ClassBatch, arrives, 20, 1000, 3_600_000))
	}
	d := checked(50, 1, 1)
	var back int64
	d.run(load, arrives+placement.ShareReturnMillis, func(d *driver) {
		usage := d.usage(d.dcs[0])
		if back == 0 && usage[1].Usage.MilliCPU >= 50*16_000/2 {
			back = d.now - arrives
		}
	})
	t.Logf("a share of half the cell was back after %d ms", back)
	qt.Assert(t, back > 0, qt.IsTrue)
}

func TestUrgentStartsInTimeInFullCell(t *testing.T) {
	load := []*loadJob{jobAt("a", 0, model.ClassBatch, 0, 160, 1000, 3_600_000)}
	for i := range 100 {
		load = append(load, jobAt(fmt.Sprintf("u%02d", i), 1, model.ClassUrgent, 10_000+int64(i)*200, 1, 2000, 3000))
	}
	d := checked(10, 1, 1)
	d.run(load, 60_000, nil)
	const bound = 2400
	waits := d.stats.waits[model.ClassUrgent]
	qt.Assert(t, waits, qt.HasLen, 100)
	qt.Assert(t, waits[len(waits)-1] <= bound, qt.IsTrue, qt.Commentf("waited %d ms", waits[len(waits)-1]))
}

func TestGangIsNotStarvedBySmallJobs(t *testing.T) {
	const arrives, bound = 20_000, 180_000
	var load []*loadJob
	for i := range int64(1500) {
		load = append(load, jobAt(fmt.Sprintf("s%04d", i), 0, model.ClassBatch, i*200, 2, 4000, 16_000))
	}
	gang := jobAt("g", 1, model.ClassGang, arrives, 5, 16_000, 10_000)
	load = append(load, gang)
	sortLoad(load)
	d := checked(10, 1, 1)
	d.run(load, arrives+bound, nil)
	waits := d.stats.waits[model.ClassGang]
	t.Logf("the gang waited %d ms", waits[0])
	qt.Assert(t, waits[len(waits)-1] < bound, qt.IsTrue)
}
