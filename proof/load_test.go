//go:build proof

package proof

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"kumquatwing/internal/fake/caller"
	"kumquatwing/internal/history"
	"kumquatwing/internal/model"
	"kumquatwing/internal/timeline"
)

const (
	// allowed is how long after its acceptance a withdrawal may take to be in
	// force: the 3 s of the design, at today's size.
	allowed = 3 * time.Second
	// patience bounds one request with its repeats.
	patience = 25 * time.Second
	// jobPause is the time between two submissions.
	jobPause = 120 * time.Millisecond
	// jobsDone bounds the time until all accepted jobs have ended.
	jobsDone = 60 * time.Second
	seed     = 20261204
)

// load is what runs while faults are brought about.
type load struct {
	c            *cluster
	ctx          context.Context
	wide, narrow string
	cancel       context.CancelFunc
	wg           sync.WaitGroup

	// withdrawn lists callers whose key was withdrawn, by their place in logs.
	withdrawn []withdrawal

	mu    sync.Mutex
	specs map[model.JobID]model.JobSpec
	logs  []*bytes.Buffer
	sums  []caller.Summary
	outs  []history.Out
	lims  []history.Limit
}

// withdrawal says from when on a caller's key had to be dead.
type withdrawal struct {
	log    int
	fromMS int64
}

// callWithKeyToWithdraw starts a caller with a key of its own and returns the
// function that withdraws the key; it waits for the acceptance alone.
func (l *load) callWithKeyToWithdraw() func() {
	key := l.c.grantKey("wide")
	at := len(l.logs)
	l.call(l.ctx, "keyed", key, uint64(10+at))
	return func() {
		l.c.must("key", "withdraw", keyID(key))
		l.withdrawn = append(l.withdrawn, withdrawal{at, time.Now().Add(allowed).UnixMilli()})
	}
}

// startLoad submits unlike jobs of two workspaces and sends open and keyed requests,
// half of them not idempotent.
func startLoad(c *cluster) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{c: c, ctx: ctx, cancel: cancel, specs: map[model.JobID]model.JobSpec{}}
	l.lims = []history.Limit{{Workspace: "narrow", Limit: model.Resources{MilliCPU: 12_000, MemoryMB: 24 << 10}}}
	l.wide, l.narrow = c.grantKey("wide"), c.grantKey("narrow")
	l.wg.Go(func() { l.submitJobs(ctx) })
	l.call(ctx, "open", "", 1)
	l.call(ctx, "keyed", l.wide, 2)
	return l
}

// call starts a fake caller; its requests end when ctx does.
func (l *load) call(ctx context.Context, queue model.QueueName, key string, n uint64) {
	log := &bytes.Buffer{}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.logs = append(l.logs, log)
	cl := caller.New(caller.Config{
		Entries: l.c.entries(), Queue: queue, Key: key, Requests: 1 << 20, Parallel: 8, PerSecond: 100,
		OncePercent: 50, BodyBytes: 200, Patience: patience, Seed: seed + n, Log: log, Stop: ctx.Done(),
	})
	at := len(l.sums)
	l.sums = append(l.sums, caller.Summary{})
	l.wg.Go(func() {
		s := cl.Run(context.Background())
		l.mu.Lock()
		defer l.mu.Unlock()
		l.sums[at] = s
	})
}

func (l *load) submitJobs(ctx context.Context) {
	draw := rand.New(rand.NewPCG(seed, 7))
	for i := 0; ctx.Err() == nil; i++ {
		spec := drawJob(draw, i)
		key := l.wide
		if spec.Workspace == "narrow" {
			key = l.narrow
		}
		if l.c.submit(key, &spec, patience) {
			l.mu.Lock()
			l.specs[spec.ID] = spec
			l.mu.Unlock()
		}
		select {
		case <-time.After(jobPause):
		case <-ctx.Done():
		}
	}
}

// fillUp gives a data centre many tasks at once.
func (l *load) fillUp(dc, tasks int, milliCPU int64, run time.Duration) {
	spec := model.JobSpec{
		ID: model.JobID("job-fill"), Workspace: "wide", Class: model.ClassBatch, Tasks: tasks, Idempotent: true,
		Size:      model.Resources{MilliCPU: milliCPU, MemoryMB: 512},
		RunMillis: run.Milliseconds(), DataCentres: []model.DCID{model.DCID(dcName(dc))},
	}
	if !l.c.submit(l.wide, &spec, patience) {
		l.c.t.Error("the filling job was not taken")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.specs[spec.ID] = spec
}

func drawJob(draw *rand.Rand, i int) model.JobSpec {
	spec := model.JobSpec{
		ID: model.JobID(fmt.Sprintf("job-%d", i)), Workspace: "wide", Class: model.ClassBatch, Tasks: 1 + draw.IntN(3),
		Size:      model.Resources{MilliCPU: int64(500 * (1 + draw.IntN(6))), MemoryMB: int64(256 * (1 + draw.IntN(4)))},
		RunMillis: int64(200 + draw.IntN(1500)), Idempotent: draw.IntN(4) > 0,
	}
	switch draw.IntN(4) {
	case 0:
		spec.Class, spec.Tasks = model.ClassGang, 2+draw.IntN(3)
	case 1:
		spec.Class, spec.Tasks = model.ClassUrgent, 1
	case 2:
		spec.Workspace = "narrow"
	}
	return spec
}

// out notes that a data centre was taken out or brought back at now.
func (l *load) out(dc int, out bool) {
	now := time.Now()
	if out {
		l.outs = append(l.outs, history.Out{
			DC: model.DCID(dcName(dc)), FromMS: now.Add(allowed).UnixMilli(), ToMS: now.Add(time.Hour).UnixMilli(),
		})
		return
	}
	l.outs[len(l.outs)-1].ToMS = now.UnixMilli()
}

// finish ends the load, waits for all accepted jobs, stops everything
// gracefully and checks the histories.
func (l *load) finish() {
	t, c := l.c.t, l.c
	l.cancel()
	l.wg.Wait()
	l.awaitJobs()
	c.stopAll(".kqentry")
	c.stopAll(".workers")
	c.stopAll("backend.")
	c.stopAll(".kqcontrol")
	l.check(t)
}

// awaitJobs waits until the fleet holds an outcome for every accepted job.
func (l *load) awaitJobs() {
	l.c.until(jobsDone, "all accepted jobs have ended", func() bool {
		out, err := l.c.kqctl("job", "list", "--output", "json", "--operator-token", "")
		return err == nil && !bytes.Contains([]byte(out), []byte(`"id": "job-`))
	})
}

func (l *load) check(t *testing.T) {
	events, _, err := timeline.Load(filepath.Join(l.c.dir, "events"))
	if err != nil {
		t.Fatal(err)
	}
	runs := history.Runs(events)
	ran := history.Executions{}
	files, _ := filepath.Glob(filepath.Join(l.c.dir, "runs", "*"))
	for _, f := range files {
		r, err := os.Open(f)
		if err != nil {
			t.Fatal(err)
		}
		if err := ran.ReadExecutions(r); err != nil {
			t.Fatal(err)
		}
		r.Close()
	}
	var found []history.Violation
	found = append(found, history.TwoPlaces(runs)...)
	found = append(found, history.Overcommit(runs, l.specs, workerSize)...)
	found = append(found, history.OverLimit(runs, l.specs, l.lims)...)
	found = append(found, history.StartedOut(runs, l.outs)...)
	answered, requests, uncertain := 0, 0, 0
	for i, log := range l.logs {
		tries, err := history.ReadTries(log)
		if err != nil {
			t.Fatal(err)
		}
		for _, w := range l.withdrawn {
			if w.log == i {
				found = append(found, history.Withdrawn(tries, w.fromMS)...)
			}
		}
		found = append(found, history.Requests(tries, ran)...)
		answered += l.sums[i].Answered
		requests += l.sums[i].Requests
		uncertain += l.sums[i].Uncertain
	}
	for _, v := range found {
		t.Errorf("%s", v)
	}
	t.Logf("%d jobs, %d runs, %d requests, %d answered, %d uncertain, %d violations",
		len(l.specs), len(runs), requests, answered, uncertain, len(found))
	if len(runs) == 0 || answered == 0 {
		t.Errorf("nothing ran: the histories prove nothing")
	}
}
