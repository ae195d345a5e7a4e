package placement_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"kumquatwing/internal/model"
	"kumquatwing/internal/placement"
	"kumquatwing/internal/placement/baseline"
)

// benchShares are the shares of the workspaces. Those with small shares submit
// the most work.
var benchShares = []int64{4, 2, 1, 1}

var schedulers = []scheduler{
	{"kumquatwing", placement.Decide, true},
	{"first-fit", baseline.FirstFit, false},
	{"best-fit", baseline.BestFit, false},
}

// row is one row of a table: the figure of each scheduler.
type row struct {
	name    string
	unit    string
	figures []float64
}

// table formats rows with the ratios of the first scheduler's figure to the
// others.
func table(title string, rows []row) string {
	var b strings.Builder
	fmt.Fprintf(&b, "\n%-44s %12s %12s %12s %9s %9s\n", title, schedulers[0].name, schedulers[1].name, schedulers[2].name, "vs first", "vs best")
	for _, r := range rows {
		fmt.Fprintf(&b, "%-44s", r.name+" ("+r.unit+")")
		for _, f := range r.figures {
			fmt.Fprintf(&b, " %12.3f", f)
		}
		for _, f := range r.figures[1:] {
			fmt.Fprintf(&b, " %9s", ratio(r.figures[0], f))
		}
		fmt.Fprintln(&b)
	}
	return b.String()
}

func ratio(a, b float64) string {
	if b == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", a/b)
}

// figure is one measure of a run.
type figure struct {
	name, unit string
	of         func(s *stats) float64
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

var costFigures = []figure{
	{"tasks running, maximum", "tasks", func(s *stats) float64 { return float64(s.maxRunning) }},
	{"tasks waiting, maximum", "tasks", func(s *stats) float64 { return float64(s.maxWaiting) }},
	{"placements per second of planning", "1/s", func(s *stats) float64 { return float64(s.placed) / s.totalTime.Seconds() }},
	{"plan time, p50", "ms", func(s *stats) float64 { return millis(quantile(s.wallTimes, 0.5)) }},
	{"plan time, p99", "ms", func(s *stats) float64 { return millis(quantile(s.wallTimes, 0.99)) }},
	{"plan CPU time, p50", "ms", func(s *stats) float64 { return millis(quantile(s.cpuTimes, 0.5)) }},
	{"plan CPU time, p99", "ms", func(s *stats) float64 { return millis(quantile(s.cpuTimes, 0.99)) }},
	{"plan time per placement, p50", "ms", func(s *stats) float64 { return millis(quantile(s.timePerPlacement, 0.5)) }},
	{"plan time per placement, p99", "ms", func(s *stats) float64 { return millis(quantile(s.timePerPlacement, 0.99)) }},
	{"allocations per placement", "count", func(s *stats) float64 { return float64(s.mallocs) / float64(max(s.placed, 1)) }},
	{"allocations per plan", "count", func(s *stats) float64 { return float64(s.mallocs) / float64(len(s.wallTimes)) }},
}

// waitFigure returns the measure for a quantile of the waiting time of a class.
func waitFigure(class model.Class, name string, q float64) figure {
	return figure{fmt.Sprintf("wait of %s tasks, %s", class, name), "s", func(s *stats) float64 {
		return float64(quantile(s.waits[class], q)) / 1000
	}}
}

// coreSeconds is one core second in the unit of stats.done.
const coreSeconds = 1_000_000

var policyFigures = []figure{
	waitFigure(model.ClassUrgent, "p50", 0.5), waitFigure(model.ClassUrgent, "p99", 0.99),
	waitFigure(model.ClassBatch, "p50", 0.5), waitFigure(model.ClassBatch, "p99", 0.99),
	waitFigure(model.ClassGang, "p50", 0.5), waitFigure(model.ClassGang, "p99", 0.99),
	waitFigure(model.ClassService, "p99", 0.99),
	{"not started at the end", "tasks", func(s *stats) float64 { return float64(s.unstarted) }},
	{"packing: CPU used of total", "part", func(s *stats) float64 { return s.used / float64(s.samples) }},
	{"packing: memory used of total", "part", func(s *stats) float64 { return s.memory / float64(s.samples) }},
	{"packing: mean of both", "part", func(s *stats) float64 { return (s.used + s.memory) / 2 / float64(s.samples) }},
	{"CPU held of total", "part", func(s *stats) float64 { return s.allocated / float64(s.samples) }},
	{"distance from shares while tasks wait", "part", func(s *stats) float64 { return s.distance / float64(max(s.contended, 1)) }},
	{"work done", "core s", func(s *stats) float64 { return float64(s.done) / coreSeconds }},
	{"tasks preempted", "tasks", func(s *stats) float64 { return float64(s.preempted) }},
	{"preempted work lost", "core s", func(s *stats) float64 { return float64(s.lost) / coreSeconds }},
}

// rowsOf returns the measures of runs, one run per scheduler, as rows.
func rowsOf(figures []figure, runs []*stats) []row {
	rows := make([]row, len(figures))
	for i, f := range figures {
		rows[i] = row{name: f.name, unit: f.unit}
		for _, s := range runs {
			rows[i].figures = append(rows[i].figures, f.of(s))
		}
	}
	return rows
}

// runAll runs every scheduler under the same load.
func runAll(p loadPlan, dcs int, during func(*driver)) []*stats {
	var out []*stats
	for _, s := range schedulers {
		d := newDriver(s, dcs, p.workers, p.shares)
		d.run(newLoad(p), p.millis, during)
		out = append(out, &d.stats)
	}
	return out
}

// merge merges, for each scheduler, the measures of its runs under several
// loads.
func merge(runs [][]*stats) []*stats {
	out := make([]*stats, len(schedulers))
	for i := range out {
		out[i] = &stats{}
		for _, r := range runs {
			out[i].merge(r[i])
		}
	}
	return out
}

// currentSize is a load for a cell of the users' present size, for 15 minutes.
func currentSize(seed uint64) loadPlan {
	return loadPlan{seed: seed, workers: 50, shares: benchShares, millis: 900_000, load: 1.2, peak: 2.5, services: 12}
}

// largeSize is a load for a cell of 1,600 workers: more than 22,000 tasks at
// the start, and then as much work as the cell can do.
var largeSize = loadPlan{seed: 1, workers: 1600, shares: benchShares, millis: 40_000, load: 1, peak: 1, services: 100, backlog: 30_000, sizeDivisor: 4}

// drainLoad is a load that two of three data centres can nearly carry.
func drainLoad(seed uint64) loadPlan {
	return loadPlan{seed: seed, workers: 51, shares: benchShares, millis: 600_000, load: 0.8, peak: 0.8, services: 12}
}

// drainAndReturn takes one of the data centres out of service for the middle
// third of the time.
func drainAndReturn(d *driver) {
	total := drainLoad(0).millis
	d.dcs[1].out = d.now >= total/3 && d.now < total*2/3
}

const benchSeeds = 4

// overSeeds runs every scheduler under the loads of all seeds.
func overSeeds(plan func(seed uint64) loadPlan, dcs int, during func(*driver)) []*stats {
	var runs [][]*stats
	for seed := range uint64(benchSeeds) {
		runs = append(runs, runAll(plan(seed+1), dcs, during))
	}
	return merge(runs)
}

// BenchmarkCell prints the tables of issue 5.
func BenchmarkCell(b *testing.B) {
	for range b.N {
		runs := overSeeds(currentSize, 1, nil)
		fmt.Print(table("50 workers, 4 loads: cost", rowsOf(costFigures, runs)))
		fmt.Print(table("50 workers, 4 loads: policy", rowsOf(policyFigures, runs)))
		fmt.Print(table("1,600 workers: cost", rowsOf(costFigures, runAll(largeSize, 1, nil))))
		fmt.Print(table("3 data centres, one drained, 4 loads", drainRows()))
	}
}

// drainRows compares runs in which a data centre goes out of service and
// returns with the same runs in which none does.
func drainRows() []row {
	with, without := overSeeds(drainLoad, 3, drainAndReturn), overSeeds(drainLoad, 3, nil)
	work := row{name: "work done relative to the run without", unit: "part"}
	for i := range with {
		work.figures = append(work.figures, float64(with[i].done)/float64(without[i].done))
	}
	rows := []row{work}
	for _, f := range rowsOf(policyFigures, with) {
		f.name += ", one drained"
		rows = append(rows, f)
	}
	return append(rows, rowsOf(policyFigures[:6], without)...)
}
