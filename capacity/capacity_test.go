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
	// initialWorkspaces is the number of workspaces that newThreeByThreeCluster
	// declares.
	initialWorkspaces = 30
	// designWorkspaces, designWorkers, designTasks, designVMs and designStarts
	// (starts per second) are one data centre's share of the size that the system
	// is designed for.
	designWorkspaces = 220
	designWorkers    = 73
	designTasks      = 1000
	designVMs        = 8
	designStarts     = 64
	// jobTasks is the number of tasks of each job that runTasks submits.
	jobTasks = 50
	// longRun is a run time that exceeds the duration of a test.
	longRun = time.Hour
	// shortRun is the run time of tasks in tests of job and start rates.
	shortRun = 200 * time.Millisecond
)

// repeatAtRate calls fn perSecond times a second, concurrently, until the returned
// function is called. That function waits for the calls in progress.
func repeatAtRate(perSecond float64, fn func()) (stop func()) {
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

// TestMembers varies the number of processes of the fleet in three data centres.
func TestMembers(t *testing.T) {
	c := newCluster(t, 61)
	for dc := 1; dc <= 3; dc++ {
		c.addVMs(dc, 3, false)
	}
	c.bootstrap()
	dc := c.dcWithoutFleetLeader()
	first := c.measure(dc, 9)
	points := []point{first}
	for _, perDC := range []int{designVMs, 13} {
		for d := 1; d <= 3; d++ {
			c.addVMs(d, perDC-len(c.vmsIn(d)), false)
		}
		c.waitForMembers()
		points = append(points, c.measure(dc, float64(len(c.vms))))
	}
	c.report("processes of the fleet, in three data centres", points)
}

// TestDataCentres varies the number of data centres of three processes each.
func TestDataCentres(t *testing.T) {
	c := newCluster(t, 62)
	for d := 1; d <= 3; d++ {
		c.addVMs(d, 3, false)
	}
	c.bootstrap()
	dc := c.dcWithoutFleetLeader()
	points := []point{c.measure(dc, 3)}
	for _, dcs := range []int{7, 12} {
		for d := 4; d <= dcs; d++ {
			c.addVMs(d, 3-len(c.vmsIn(d)), false)
		}
		c.waitForMembers()
		points = append(points, c.measure(dc, float64(dcs)))
	}
	c.report("data centres of three processes each", points)
}

// newThreeByThreeCluster returns a cluster of the present size, three data centres
// of three VMs, with initialWorkspaces workspaces. It also returns the data centre
// to measure and a key.
func newThreeByThreeCluster(t *testing.T, base int) (*cluster, int, string) {
	c := newCluster(t, base)
	for d := 1; d <= 3; d++ {
		c.addVMs(d, 3, true)
	}
	c.bootstrap()
	c.kqctl("apply", "-f", c.writeDeclarations(initialWorkspaces, 3, 1), "--wait")
	return c, c.dcWithoutFleetLeader(), c.grantKey(0)
}

func (c *cluster) waitForWorkers(dc, n int) {
	c.waitFor(fmt.Sprintf("%d workers", n), func() bool { w, _, _ := c.leaderCounts(dc); return w == n })
}

// runTasks submits jobs until the given number of tasks is running and none is
// pending.
func (c *cluster) runTasks(dc int, key string, tasks int, class model.Class, runTime time.Duration) {
	_, running, _ := c.leaderCounts(dc)
	for ; running < tasks; running += jobTasks {
		if !c.submit(dc, key, class, jobTasks, runTime) {
			c.t.Errorf("a job of %d tasks was not accepted", jobTasks)
		}
	}
	c.waitFor(fmt.Sprintf("%d tasks are running", tasks), func() bool { _, r, p := c.leaderCounts(dc); return r >= tasks && p == 0 })
}

// TestWorkersAndTasks varies the number of workers of a data centre, then the
// number of their tasks.
func TestWorkersAndTasks(t *testing.T) {
	c, dc, key := newThreeByThreeCluster(t, 63)
	points := []point{c.measure(dc, 0)}
	workers := 0
	for _, n := range []int{16, designWorkers, 150} {
		c.startWorkers(dc, fmt.Sprintf("w%d-", n), n-workers)
		workers = n
		c.waitForWorkers(dc, n)
		points = append(points, c.measure(dc, float64(n)))
	}
	c.report("workers of a data centre", points)
	tasks := []point{points[len(points)-1]}
	tasks[0].x = 0
	for _, n := range []int{250, 500, designTasks} {
		c.runTasks(dc, key, n, model.ClassService, 0)
		tasks = append(tasks, c.measure(dc, float64(n)))
	}
	c.report("tasks running in a data centre of 150 workers", tasks)
}

// TestCheckpoints varies the number of running batch tasks, which workers
// checkpoint every second.
func TestCheckpoints(t *testing.T) {
	c, dc, key := newThreeByThreeCluster(t, 68)
	c.windowLength = longWindow
	c.startWorkers(dc, "w", designWorkers)
	c.waitForWorkers(dc, designWorkers)
	points := []point{c.measure(dc, 0)}
	for _, n := range []int{250, designTasks} {
		c.runTasks(dc, key, n, model.ClassBatch, longRun)
		points = append(points, c.measure(dc, float64(n)))
	}
	c.report("batch tasks running in a data centre of 73 workers, checkpointed each second", points)
}

// TestWorkspacesAndChanges varies the number of workspaces with a key each, then
// the rate of configuration changes.
func TestWorkspacesAndChanges(t *testing.T) {
	c, dc, _ := newThreeByThreeCluster(t, 64)
	for workspace := 1; workspace < initialWorkspaces; workspace++ {
		c.grantKey(workspace)
	}
	points := []point{c.measure(dc, initialWorkspaces)}
	created := initialWorkspaces
	for _, n := range []int{110, designWorkspaces} {
		c.kqctl("apply", "-f", c.writeDeclarations(n, 3, 1), "--wait")
		for ; created < n; created++ {
			c.grantKey(created)
		}
		points = append(points, c.measure(dc, float64(n)))
	}
	c.report("workspaces with a key each", points)
	changes := []point{points[len(points)-1]}
	changes[0].x = 0
	files := []string{c.writeDeclarations(designWorkspaces, 3, 2), c.writeDeclarations(designWorkspaces, 3, 3)}
	for _, perMinute := range []float64{30, 120} {
		next := 0
		stop := repeatAtRate(perMinute/60, func() { next++; c.kqctl("apply", "-f", files[next%2]) })
		changes = append(changes, c.measure(dc, perMinute))
		stop()
	}
	c.report("changes a minute of a tree of 220 workspaces", changes)
}

// TestJobsAndStarts varies the rate of jobs with one task, then the number of
// tasks of one job per second.
func TestJobsAndStarts(t *testing.T) {
	c, dc, key := newThreeByThreeCluster(t, 65)
	c.startWorkers(dc, "w", designWorkers)
	c.waitForWorkers(dc, designWorkers)
	idle := c.measure(dc, 0)
	jobs := []point{idle}
	for _, rate := range []float64{5, 20} {
		stop := repeatAtRate(rate, func() { c.submit(dc, key, model.ClassBatch, 1, shortRun) })
		jobs = append(jobs, c.measure(dc, rate))
		stop()
	}
	c.report("jobs a second of one task, 73 workers", jobs)
	starts := []point{}
	for _, tasks := range []int{1, 32, designStarts, 128} {
		stop := repeatAtRate(1, func() { c.submit(dc, key, model.ClassBatch, tasks, shortRun) })
		starts = append(starts, c.measure(dc, float64(tasks)))
		stop()
	}
	c.report("starts a second, one job a second, 73 workers", starts)
}

// TestRequests varies the rate of requests to a data centre of three VMs.
func TestRequests(t *testing.T) {
	c, dc, _ := newThreeByThreeCluster(t, 66)
	for n := 1; n <= 4; n++ {
		c.startBackend(dc, n, "open")
	}
	idle := c.measure(dc, 0)
	for _, s := range []struct {
		name        string
		oncePercent int
		rates       []int
	}{
		{"idempotent requests a second over three VMs", 0, []int{150, 450, 900}},
		{"recorded requests a second over three VMs", 100, []int{60, 150}},
	} {
		points := []point{idle}
		for _, rate := range s.rates {
			caller := c.startCaller(dc, "open", rate, s.oncePercent)
			points = append(points, c.measure(dc, float64(rate)))
			c.stop(caller)
		}
		c.report(s.name, points)
	}
}

// TestDesignDataCentre measures one data centre at its share of the design size,
// next to two small ones: idle, with running tasks, and with running tasks and
// starts.
func TestDesignDataCentre(t *testing.T) {
	c := newCluster(t, 67)
	c.addVMs(1, 3, true)
	c.addVMs(2, designVMs, true)
	c.addVMs(3, 1, true)
	c.bootstrap()
	c.kqctl("apply", "-f", c.writeDeclarations(designWorkspaces, 3, 1), "--wait")
	key := c.grantKey(0)
	for workspace := 1; workspace < designWorkspaces; workspace++ {
		c.grantKey(workspace)
	}
	const dc = 2
	c.startWorkers(dc, "w", designWorkers)
	c.waitForWorkers(dc, designWorkers)
	points := []point{c.measure(dc, 0)}
	c.runTasks(dc, key, designTasks, model.ClassService, 0)
	points = append(points, c.measure(dc, 1))
	stop := repeatAtRate(1, func() { c.submit(dc, key, model.ClassBatch, designStarts, shortRun) })
	points = append(points, c.measure(dc, 2))
	stop()
	c.report("a data centre of the design size: 0 without tasks, 1 with 1,000, 2 with 64 starts a second too", points)
}
