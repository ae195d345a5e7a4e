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

// benchShares are the shares of the bench's workspaces; the smaller, the more the
// workspace sends.
var benchShares = []int64{4, 2, 1, 1}

var schedulers = []scheduler{
	{"kumquatwing", placement.Decide, true},
	{"first-fit", baseline.FirstFit, false},
	{"best-fit", baseline.BestFit, false},
}

// row is one line of the table: a figure of each scheduler.
type row struct {
	name    string
	unit    string
	figures []float64
}

// table prints rows with the ratios of the first figure to the others.
func table(title string, rows []row) string {
	var b strings.Builder
	fmt.Fprintf(&b, "\n%-44s %12s %12s %12s %9s %9s\n", title, schedulers[0].name, schedulers[1].name, schedulers[2].name, "to first", "to best")
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
	{"tasks running, at the most", "tasks", func(s *stats) float64 { return float64(s.most) }},
	{"tasks waiting, at the most", "tasks", func(s *stats) float64 { return float64(s.mostWaiting) }},
	{"placements per second of deciding", "1/s", func(s *stats) float64 { return float64(s.placed) / s.deciding.Seconds() }},
	{"one plan, p50", "ms", func(s *stats) float64 { return millis(quantile(s.took, 0.5)) }},
	{"one plan, p99", "ms", func(s *stats) float64 { return millis(quantile(s.took, 0.99)) }},
	{"one plan, processor time, p50", "ms", func(s *stats) float64 { return millis(quantile(s.worked, 0.5)) }},
	{"one plan, processor time, p99", "ms", func(s *stats) float64 { return millis(quantile(s.worked, 0.99)) }},
	{"plan per placement, p50", "ms", func(s *stats) float64 { return millis(quantile(s.perTask, 0.5)) }},
	{"plan per placement, p99", "ms", func(s *stats) float64 { return millis(quantile(s.perTask, 0.99)) }},
	{"allocations per placement", "count", func(s *stats) float64 { return float64(s.mallocs) / float64(max(s.placed, 1)) }},
	{"allocations per plan", "count", func(s *stats) float64 { return float64(s.mallocs) / float64(len(s.took)) }},
}

// waitFigure is a quantile of the waiting time of a class.
func waitFigure(class model.Class, name string, q float64) figure {
	return figure{fmt.Sprintf("wait of %s tasks, %s", class, name), "s", func(s *stats) float64 {
		return float64(quantile(s.waits[class], q)) / 1000
	}}
}

const coreSeconds = 1_000_000

var policyFigures = []figure{
	waitFigure(model.ClassUrgent, "p50", 0.5), waitFigure(model.ClassUrgent, "p99", 0.99),
	waitFigure(model.ClassBatch, "p50", 0.5), waitFigure(model.ClassBatch, "p99", 0.99),
	waitFigure(model.ClassGang, "p50", 0.5), waitFigure(model.ClassGang, "p99", 0.99),
	waitFigure(model.ClassService, "p99", 0.99),
	{"not started at the end", "tasks", func(s *stats) float64 { return float64(s.unstarted) }},
	{"packing: processors used of offered", "part", func(s *stats) float64 { return s.used / float64(s.samples) }},
	{"packing: memory used of offered", "part", func(s *stats) float64 { return s.memory / float64(s.samples) }},
	{"packing: mean of both", "part", func(s *stats) float64 { return (s.used + s.memory) / 2 / float64(s.samples) }},
	{"processors held of offered", "part", func(s *stats) float64 { return s.held / float64(s.samples) }},
	{"distance from shares while work waits", "part", func(s *stats) float64 { return s.distance / float64(max(s.contended, 1)) }},
	{"work done", "core s", func(s *stats) float64 { return float64(s.done) / coreSeconds }},
	{"tasks preempted", "tasks", func(s *stats) float64 { return float64(s.preempted) }},
	{"preempted work lost", "core s", func(s *stats) float64 { return float64(s.lost) / coreSeconds }},
}

// rowsOf measures runs, one per scheduler.
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

// runAll steps every scheduler through the same load.
func runAll(p loadPlan, dcs int, during func(*driver)) []*stats {
	var out []*stats
	for _, s := range schedulers {
		d := newDriver(s, dcs, p.workers, p.shares)
		d.run(newLoad(p), p.millis, during)
		out = append(out, &d.stats)
	}
	return out
}

// merge pools the measures of runs of one scheduler under several loads.
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

// today is the cell of the users' sizes, for 15 minutes, once per seed.
func today(seed uint64) loadPlan {
	return loadPlan{seed: seed, workers: 50, shares: benchShares, millis: 900_000, load: 1.2, peak: 2.5, services: 12}
}

// large is a cell of 1,600 workers that is given more than 22,000 tasks at once
// and then as many as it can take.
var large = loadPlan{seed: 1, workers: 1600, shares: benchShares, millis: 40_000, load: 1, peak: 1, services: 100, backlog: 30_000, divide: 4}

// moved is a load that two of three data centres can nearly carry.
func moved(seed uint64) loadPlan {
	return loadPlan{seed: seed, workers: 51, shares: benchShares, millis: 600_000, load: 0.8, peak: 0.8, services: 12}
}

// leaveAndReturn takes one of the data centres out for the middle third.
func leaveAndReturn(d *driver) {
	total := moved(0).millis
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

// BenchmarkCell prints the table of issue 5.
func BenchmarkCell(b *testing.B) {
	for range b.N {
		runs := overSeeds(today, 1, nil)
		fmt.Print(table("50 workers, 4 loads: cost", rowsOf(costFigures, runs)))
		fmt.Print(table("50 workers, 4 loads: policy", rowsOf(policyFigures, runs)))
		fmt.Print(table("1,600 workers: cost", rowsOf(costFigures, runAll(large, 1, nil))))
		fmt.Print(table("3 data centres, one leaves, 4 loads", moveRows()))
	}
}

// moveRows compares runs in which a data centre leaves and returns with the
// same runs without.
func moveRows() []row {
	with, without := overSeeds(moved, 3, leaveAndReturn), overSeeds(moved, 3, nil)
	part := row{name: "work done, of the run without", unit: "part"}
	for i := range with {
		part.figures = append(part.figures, float64(with[i].done)/float64(without[i].done))
	}
	rows := []row{part}
	for _, f := range rowsOf(policyFigures, with) {
		f.name += ", leaving"
		rows = append(rows, f)
	}
	return append(rows, rowsOf(policyFigures[:6], without)...)
}
