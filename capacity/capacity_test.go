//go:build capacity

package capacity

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"kumquatwing/internal/model"
)

const (
	// firstWorkspaces is the number of workspaces that a cluster begins with.
	firstWorkspaces = 30
	// designWorkspaces, designWorkers, designTasks, designVMs and designStarts are
	// one data centre's part of the design size.
	designWorkspaces = 220
	designWorkers    = 73
	designTasks      = 1000
	designVMs        = 8
	designStarts     = 64
	// jobTasks is the size of one job of long tasks.
	jobTasks = 50
	// longRun is longer than a series takes.
	longRun = time.Hour
	// shortRun is the run time of the tasks of load jobs.
	shortRun = 200 * time.Millisecond
)

// every runs fn at a rate per second until the returned function is called.
func every(perSecond float64, fn func()) (stop func()) {
	if perSecond == 0 {
		return func() {}
	}
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		t := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer t.Stop()
		for {
			select {
			case <-t.C:
				wg.Go(fn)
			case <-done:
				return
			}
		}
	})
	return func() { close(done); wg.Wait() }
}

// TestMembers varies the processes of the fleet, in as many data centres and in
// more of them.
func TestMembers(t *testing.T) {
	c := newCluster(t, 61)
	for dc := 1; dc <= 3; dc++ {
		c.addVMs(dc, 3, false)
	}
	c.found()
	dc := c.quietDC()
	first := c.measure(dc, 9)
	points := []point{first}
	for _, perDC := range []int{designVMs, 13} {
		for d := 1; d <= 3; d++ {
			c.addVMs(d, perDC-len(c.in(d)), false)
		}
		c.joined()
		points = append(points, c.measure(dc, float64(len(c.vms))))
	}
	c.report("processes of the fleet, in three data centres", points)
}

// TestDataCentres varies the data centres, three processes each.
func TestDataCentres(t *testing.T) {
	c := newCluster(t, 62)
	for d := 1; d <= 3; d++ {
		c.addVMs(d, 3, false)
	}
	c.found()
	dc := c.quietDC()
	points := []point{c.measure(dc, 3)}
	for _, dcs := range []int{7, 12} {
		for d := 4; d <= dcs; d++ {
			c.addVMs(d, 3-len(c.in(d)), false)
		}
		c.joined()
		points = append(points, c.measure(dc, float64(dcs)))
	}
	c.report("data centres of three processes each", points)
}

// threeByThree is the size of today with some workspaces.
func threeByThree(t *testing.T, base int) (*cluster, int, string) {
	c := newCluster(t, base)
	for d := 1; d <= 3; d++ {
		c.addVMs(d, 3, true)
	}
	c.found()
	c.kqctl("apply", "-f", c.declare(firstWorkspaces, 3, 1), "--wait")
	return c, c.quietDC(), c.grantKey(0)
}

func (c *cluster) awaitWorkers(dc, n int) {
	c.until(fmt.Sprintf("%d workers", n), func() bool { w, _, _ := c.counts(dc); return w == n })
}

// run submits jobs until so many tasks run.
func (c *cluster) run(dc int, key string, tasks int, class model.Class, time time.Duration) {
	_, running, _ := c.counts(dc)
	for ; running < tasks; running += jobTasks {
		if !c.submit(dc, key, class, jobTasks, time) {
			c.t.Errorf("a job was refused")
		}
	}
	c.until(fmt.Sprintf("%d tasks run", tasks), func() bool { _, r, p := c.counts(dc); return r >= tasks && p == 0 })
}

// TestWorkersAndTasks varies the workers of a data centre, then their tasks.
func TestWorkersAndTasks(t *testing.T) {
	c, dc, key := threeByThree(t, 63)
	points := []point{c.measure(dc, 0)}
	workers := 0
	for _, n := range []int{16, designWorkers, 150} {
		c.startWorkers(dc, fmt.Sprintf("w%d-", n), n-workers)
		workers = n
		c.awaitWorkers(dc, n)
		points = append(points, c.measure(dc, float64(n)))
	}
	c.report("workers of a data centre", points)
	tasks := []point{points[len(points)-1]}
	tasks[0].x = 0
	for _, n := range []int{250, 500, designTasks} {
		c.run(dc, key, n, model.ClassService, 0)
		tasks = append(tasks, c.measure(dc, float64(n)))
	}
	c.report("tasks running in a data centre of 150 workers", tasks)
}

// TestCheckpoints varies the running tasks of batch jobs, which workers
// checkpoint each second.
func TestCheckpoints(t *testing.T) {
	c, dc, key := threeByThree(t, 68)
	c.measureFor = longWindow
	c.startWorkers(dc, "w", designWorkers)
	c.awaitWorkers(dc, designWorkers)
	points := []point{c.measure(dc, 0)}
	for _, n := range []int{250, designTasks} {
		c.run(dc, key, n, model.ClassBatch, longRun)
		points = append(points, c.measure(dc, float64(n)))
	}
	c.report("batch tasks running in a data centre of 73 workers, checkpointed each second", points)
}

// TestWorkspacesAndChanges varies the workspaces with a key each, then the changes.
func TestWorkspacesAndChanges(t *testing.T) {
	c, dc, _ := threeByThree(t, 64)
	for workspace := 1; workspace < firstWorkspaces; workspace++ {
		c.grantKey(workspace)
	}
	points := []point{c.measure(dc, firstWorkspaces)}
	have := firstWorkspaces
	for _, n := range []int{110, designWorkspaces} {
		c.kqctl("apply", "-f", c.declare(n, 3, 1), "--wait")
		for ; have < n; have++ {
			c.grantKey(have)
		}
		points = append(points, c.measure(dc, float64(n)))
	}
	c.report("workspaces with a key each", points)
	changes := []point{points[len(points)-1]}
	changes[0].x = 0
	files := []string{c.declare(designWorkspaces, 3, 2), c.declare(designWorkspaces, 3, 3)}
	for _, perMinute := range []float64{30, 120} {
		next := 0
		stop := every(perMinute/60, func() { next++; c.kqctl("apply", "-f", files[next%2]) })
		changes = append(changes, c.measure(dc, perMinute))
		stop()
	}
	c.report("changes a minute of a tree of 220 workspaces", changes)
}

// TestJobsAndStarts varies the jobs of one task, then the tasks of one job a
// second.
func TestJobsAndStarts(t *testing.T) {
	c, dc, key := threeByThree(t, 65)
	c.startWorkers(dc, "w", designWorkers)
	c.awaitWorkers(dc, designWorkers)
	idle := c.measure(dc, 0)
	jobs := []point{idle}
	for _, rate := range []float64{5, 20} {
		stop := every(rate, func() { c.submit(dc, key, model.ClassBatch, 1, shortRun) })
		jobs = append(jobs, c.measure(dc, rate))
		stop()
	}
	c.report("jobs a second of one task, 73 workers", jobs)
	starts := []point{}
	for _, tasks := range []int{1, 32, designStarts, 128} {
		stop := every(1, func() { c.submit(dc, key, model.ClassBatch, tasks, shortRun) })
		starts = append(starts, c.measure(dc, float64(tasks)))
		stop()
	}
	c.report("starts a second, one job a second, 73 workers", starts)
}

// TestRequests varies the callers' requests of a data centre with three VMs.
func TestRequests(t *testing.T) {
	c, dc, _ := threeByThree(t, 66)
	for n := 1; n <= 4; n++ {
		c.startBackend(dc, n, "open")
	}
	idle := c.measure(dc, 0)
	for _, s := range []struct {
		name  string
		once  int
		rates []int
	}{
		{"idempotent requests a second over three VMs", 0, []int{150, 450, 900}},
		{"recorded requests a second over three VMs", 100, []int{60, 150}},
	} {
		points := []point{idle}
		for _, rate := range s.rates {
			caller := c.startCaller(dc, "open", rate, s.once)
			points = append(points, c.measure(dc, float64(rate)))
			c.stop(caller)
		}
		c.report(s.name, points)
	}
}

// TestDesignDataCentre measures one data centre at its part of the design size
// beside two small ones: idle, with its running tasks, and with its starts.
func TestDesignDataCentre(t *testing.T) {
	c := newCluster(t, 67)
	c.addVMs(1, 3, true)
	c.addVMs(2, designVMs, true)
	c.addVMs(3, 1, true)
	c.found()
	c.kqctl("apply", "-f", c.declare(designWorkspaces, 3, 1), "--wait")
	key := c.grantKey(0)
	for workspace := 1; workspace < designWorkspaces; workspace++ {
		c.grantKey(workspace)
	}
	const dc = 2
	c.startWorkers(dc, "w", designWorkers)
	c.awaitWorkers(dc, designWorkers)
	points := []point{c.measure(dc, 0)}
	c.run(dc, key, designTasks, model.ClassService, 0)
	points = append(points, c.measure(dc, 1))
	stop := every(1, func() { c.submit(dc, key, model.ClassBatch, designStarts, shortRun) })
	points = append(points, c.measure(dc, 2))
	stop()
	c.report("a data centre of the design size: 0 without tasks, 1 with 1,000, 2 with 64 starts a second too", points)
}
