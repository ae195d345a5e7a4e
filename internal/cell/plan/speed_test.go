package plan

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/cell"
)

// withSpeed returns the worker with the given speed.
func withSpeed(w Worker, speed float64) Worker {
	w.Speed = speed
	return w
}

// fastAndSlow returns workers with the given free cores: fast ones f0, f1, ... and slow ones
// s0, s1, ...
func fastAndSlow(fastFree, slowFree []int64) []Worker {
	var ws []Worker
	for i, free := range fastFree {
		ws = append(ws, withSpeed(worker(fmt.Sprint("f", i), free), 1.2))
	}
	for i, free := range slowFree {
		ws = append(ws, withSpeed(worker(fmt.Sprint("s", i), free), 0.55))
	}
	return ws
}

// dueIn sets the deadline of a step.
func dueIn(p Pending, d time.Duration) Pending {
	p.Deadline = testNow.Add(d)
	return p
}

// TestSingleTasksSuitWorkers checks on which of the fast and slow workers tasks of 4 s run.
// They take 3.3 s on a fast and 7.3 s on a slow worker.
func TestSingleTasksSuitWorkers(t *testing.T) {
	for _, c := range []struct {
		name           string
		fast, slow     []int64
		due            time.Duration
		wantFast, want int
	}{
		{"much slack leaves scarce fast workers free", []int64{2, 2}, []int64{16}, time.Minute, 0, 2},
		{"much slack takes fast workers that are plentiful", []int64{16, 16}, []int64{16}, time.Minute, 2, 2},
		{"little slack takes fast workers", []int64{2, 2}, []int64{16}, 5 * time.Second, 2, 2},
		{"on time on slow workers without time to spare", []int64{2}, []int64{16}, 8 * time.Second, 1, 2},
		{"late on slow workers, on time on a fast one soon", []int64{0}, []int64{16}, 5 * time.Second, 0, 0},
		{"late on slow workers, no time to wait", []int64{0}, []int64{16}, 3500 * time.Millisecond, 0, 2},
		{"late everywhere", []int64{0}, []int64{16}, time.Second, 0, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			out := Compute(input(fastAndSlow(c.fast, c.slow), dueIn(pending("j", 2, 2, 0, false), c.due)))
			onFast := 0
			for id, n := range placedOn(out)["j"] {
				if id[0] == 'f' {
					onFast += n
				}
			}
			qt.Check(t, onFast, qt.Equals, c.wantFast)
			qt.Check(t, out.Starts, qt.HasLen, c.want)
		})
	}
}

// TestTasksThatNeedSlowWorkers guards against a task that waits for a fast worker although
// none may run it.
func TestTasksThatNeedSlowWorkers(t *testing.T) {
	ws := fastAndSlow([]int64{16, 16}, []int64{16, 16})
	ws[2].Labels, ws[3].Labels = []string{"gpu"}, []string{"gpu"}
	for _, gang := range []bool{false, true} {
		p := dueIn(pending("j", 4, 4, 0, gang), 5*time.Second)
		p.Step.Requires = "gpu"
		out := Compute(input(append([]Worker(nil), ws...), p))
		qt.Check(t, out.Starts, qt.HasLen, 4, qt.Commentf("gang: %v", gang))
	}
}

// TestGangMembersAreMatched checks which workers a gang of four tasks of 4 s takes, and
// guards against gangs that run at the pace of one slow member while fast ones would do.
func TestGangMembersAreMatched(t *testing.T) {
	for _, c := range []struct {
		name       string
		fast, slow []int64
		tasks      int
		due        time.Duration
		want       map[cell.WorkerID]int
	}{
		{"the fast ones if they hold it", []int64{8, 8}, []int64{16}, 4, time.Minute, map[cell.WorkerID]int{"f0": 2, "f1": 2}},
		{"at once on mixed workers, on as few fast ones as possible", []int64{4}, []int64{12}, 4, time.Minute, map[cell.WorkerID]int{"s0": 3, "f0": 1}},
		{"waits if the fast ones lack two slots of five", []int64{12}, []int64{16}, 5, time.Minute, nil},
		{"at once if it would soon be late on slow ones", []int64{12}, []int64{16}, 5, 8 * time.Second, map[cell.WorkerID]int{"s0": 4, "f0": 1}},
		{"waits if it is late on slow ones", []int64{12}, []int64{16}, 5, 6 * time.Second, nil},
		{"at once if it is late everywhere", []int64{12}, []int64{16}, 5, 3 * time.Second, map[cell.WorkerID]int{"s0": 4, "f0": 1}},
		{"at once if the fast ones lack three slots of five", []int64{8}, []int64{16}, 5, time.Minute, map[cell.WorkerID]int{"s0": 4, "f0": 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			out := Compute(input(fastAndSlow(c.fast, c.slow), dueIn(pending("g", c.tasks, 4, 1, true), c.due)))
			qt.Check(t, placedOn(out)["g"], qt.DeepEquals, c.want)
		})
	}
}

// TestWaitingGangStopsNothing guards against work that is thrown away for a gang that could
// start at once on slower workers.
func TestWaitingGangStopsNothing(t *testing.T) {
	for _, c := range []struct {
		name          string
		slow          int64
		starts, stops int
	}{{"could start on slow workers", 12, 0, 0}, {"fits nowhere", 0, 0, 1}} {
		t.Run(c.name, func(t *testing.T) {
			ws := fastAndSlow([]int64{16, 0}, []int64{c.slow, 0})
			for _, i := range []int{1, 3} {
				ws[i].Victims = []Victim{{Task: cell.TaskKey{Job: "v", Index: i}, Run: 1, Need: ws[i].Capacity, Priority: 2, LostWork: 1}}
			}
			out := Compute(input(ws, pending("g", 5, 4, 1, true)))
			qt.Check(t, out.Starts, qt.HasLen, c.starts)
			qt.Check(t, out.Stops, qt.HasLen, c.stops)
		})
	}
}

// TestEqualSpeedsChangeNothing guards against plans that differ between workers of one speed
// because of the error with which it is known, or between speeds that differ too little to
// matter to callers.
func TestEqualSpeedsChangeNothing(t *testing.T) {
	for _, speed := range []func(i int) float64{
		func(int) float64 { return 0.6 },
		func(i int) float64 { return 1 + 0.09*float64(i%2) },
		func(i int) float64 { return 0.8 + 0.4*float64(i)/350 },
		func(i int) float64 { return 1 + 0.3*float64(i%3/2) },
	} {
		want, in := Compute(busyCell(350, 10, 20)), busyCell(350, 10, 20)
		for i := range in.Workers {
			in.Workers[i].Speed = speed(i)
		}
		qt.Check(t, Compute(in), qt.DeepEquals, want)
	}
}

// TestSpeedClasses checks that a few workers whose speed differs form no class for which
// others wait.
func TestSpeedClasses(t *testing.T) {
	in := input(fastAndSlow(make([]int64, 60), make([]int64, 20)))
	in.Workers[0].Speed, in.Workers[1].Speed = 2, 0.2
	p := &planner{in: in, pools: map[string][]*Worker{}}
	for i := range in.Workers {
		p.pools["p"] = append(p.pools["p"], &in.Workers[i])
	}
	classes := setSpeedClasses(p.pools["p"])
	qt.Check(t, slices.Equal(classes, []speedClass{{1.2, true}, {0.55, true}, {0.2, false}}), qt.IsTrue, qt.Commentf("%v", classes))
	qt.Check(t, in.Workers[0].classSpeed, qt.Equals, 1.2)
	qt.Check(t, in.Workers[1].rareSpeed, qt.IsTrue)
}

// TestAdviceAboutSuitableWorkers checks that a step with little slack and a gang ask about
// fast workers first.
func TestAdviceAboutSuitableWorkers(t *testing.T) {
	free := []int64{16, 16, 16, 16, 16, 16, 16, 16}
	for _, p := range []Pending{dueIn(pending("j", 2, 2, 0, false), 8*time.Second), pending("g", 2, 2, 1, true)} {
		out := Compute(input(fastAndSlow(free, free), withAdvice(p)))
		qt.Assert(t, out.AdviceRequests, qt.HasLen, 1)
		workers := out.AdviceRequests[0].Workers
		for _, id := range workers[:min(len(workers), len(free))] {
			qt.Check(t, id[0], qt.Equals, byte('f'), qt.Commentf("%s", p.Key))
		}
	}
}
