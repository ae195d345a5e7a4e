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
	// enforcementBound is the maximum time until a change is in force, from the
	// acceptance of a key revocation or of taking a data centre out of service: the
	// 3 s that the design guarantees at the present size of the fleet.
	enforcementBound = 3 * time.Second
	// requestTimeout is the timeout of one request or submission including its
	// retries.
	requestTimeout = 25 * time.Second
	// submitInterval is the pause between two job submissions.
	submitInterval = 120 * time.Millisecond
	// jobsTimeout is the time limit for all accepted jobs to end, from the end of
	// the load.
	jobsTimeout = 60 * time.Second
	seed        = 20261204
)

// load generates jobs and requests while faults are injected, and records what
// the histories are checked against.
type load struct {
	c                  *cluster
	ctx                context.Context
	wideKey, narrowKey string
	cancel             context.CancelFunc
	wg                 sync.WaitGroup

	// revocations lists the callers whose key was revoked.
	revocations []revocation

	// mu guards specs, logs and summaries. logs and summaries are indexed by
	// caller.
	mu        sync.Mutex
	specs     map[model.JobID]model.JobSpec
	logs      []*bytes.Buffer
	summaries []caller.Summary
	outages   []history.OutOfServicePeriod
	limits    []history.Limit
}

// revocation records that the key of a caller must be refused from fromMS on. log
// is the caller's index in load.logs.
type revocation struct {
	log    int
	fromMS int64
}

// startCallerWithOwnKey starts a caller with a key of its own and returns a
// function that revokes the key. The function returns when the revocation is
// accepted, before it is in force.
func (l *load) startCallerWithOwnKey() func() {
	key := l.c.grantKey("wide")
	index := len(l.logs)
	l.startCaller(l.ctx, "keyed", key, uint64(10+index))
	return func() {
		l.c.mustKqctl("key", "withdraw", keyID(key))
		l.revocations = append(l.revocations, revocation{index, time.Now().Add(enforcementBound).UnixMilli()})
	}
}

// startLoad starts submitting random jobs of two workspaces and sending requests
// to an open and to a keyed queue, half of them not idempotent.
func startLoad(c *cluster) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{c: c, ctx: ctx, cancel: cancel, specs: map[model.JobID]model.JobSpec{}}
	l.limits = []history.Limit{{Workspace: "narrow", Limit: model.Resources{MilliCPU: 12_000, MemoryMB: 24 << 10}}}
	l.wideKey, l.narrowKey = c.grantKey("wide"), c.grantKey("narrow")
	l.wg.Go(func() { l.submitJobs(ctx) })
	l.startCaller(ctx, "open", "", 1)
	l.startCaller(ctx, "keyed", l.wideKey, 2)
	return l
}

// startCaller starts a fake caller, which sends no new requests once ctx is
// cancelled.
func (l *load) startCaller(ctx context.Context, queue model.QueueName, key string, seedOffset uint64) {
	log := &bytes.Buffer{}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.logs = append(l.logs, log)
	client := caller.New(caller.Config{
		Entries: l.c.entryAddrs(), Queue: queue, Key: key, Requests: 1 << 20, Parallel: 8, PerSecond: 100,
		OncePercent: 50, BodyBytes: 200, Patience: requestTimeout, Seed: seed + seedOffset, Log: log, Stop: ctx.Done(),
	})
	index := len(l.summaries)
	l.summaries = append(l.summaries, caller.Summary{})
	l.wg.Go(func() {
		summary := client.Run(context.Background())
		l.mu.Lock()
		defer l.mu.Unlock()
		l.summaries[index] = summary
	})
}

func (l *load) submitJobs(ctx context.Context) {
	rng := rand.New(rand.NewPCG(seed, 7))
	for i := 0; ctx.Err() == nil; i++ {
		spec := randomJob(rng, i)
		key := l.wideKey
		if spec.Workspace == "narrow" {
			key = l.narrowKey
		}
		if l.c.submit(key, &spec, requestTimeout) {
			l.mu.Lock()
			l.specs[spec.ID] = spec
			l.mu.Unlock()
		}
		select {
		case <-time.After(submitInterval):
		case <-ctx.Done():
		}
	}
}

// submitFillJob submits one job with many tasks to a data centre.
func (l *load) submitFillJob(dc, tasks int, milliCPU int64, run time.Duration) {
	spec := model.JobSpec{
		ID: model.JobID("job-fill"), Workspace: "wide", Class: model.ClassBatch, Tasks: tasks, Idempotent: true,
		Size:      model.Resources{MilliCPU: milliCPU, MemoryMB: 512},
		RunMillis: run.Milliseconds(), DataCentres: []model.DCID{model.DCID(dcName(dc))},
	}
	if !l.c.submit(l.wideKey, &spec, requestTimeout) {
		l.c.t.Error("no entry VM accepted job-fill")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.specs[spec.ID] = spec
}

func randomJob(rng *rand.Rand, i int) model.JobSpec {
	spec := model.JobSpec{
		ID: model.JobID(fmt.Sprintf("job-%d", i)), Workspace: "wide", Class: model.ClassBatch, Tasks: 1 + rng.IntN(3),
		Size:      model.Resources{MilliCPU: int64(500 * (1 + rng.IntN(6))), MemoryMB: int64(256 * (1 + rng.IntN(4)))},
		RunMillis: int64(200 + rng.IntN(1500)), Idempotent: rng.IntN(4) > 0,
	}
	switch rng.IntN(4) {
	case 0:
		spec.Class, spec.Tasks = model.ClassGang, 2+rng.IntN(3)
	case 1:
		spec.Class, spec.Tasks = model.ClassUrgent, 1
	case 2:
		spec.Workspace = "narrow"
	}
	return spec
}

// recordOutOfService records that a data centre has just been taken out of
// service or brought back.
func (l *load) recordOutOfService(dc int, out bool) {
	now := time.Now()
	if out {
		l.outages = append(l.outages, history.OutOfServicePeriod{
			DC: model.DCID(dcName(dc)), FromMS: now.Add(enforcementBound).UnixMilli(), ToMS: now.Add(time.Hour).UnixMilli(),
		})
		return
	}
	l.outages[len(l.outages)-1].ToMS = now.UnixMilli()
}

// finish stops the load, waits until all accepted jobs have ended, stops all
// processes gracefully and checks the histories.
func (l *load) finish() {
	t, c := l.c.t, l.c
	l.cancel()
	l.wg.Wait()
	l.waitForJobs()
	c.stopAll(".kqentry")
	c.stopAll(".workers")
	c.stopAll("backend.")
	c.stopAll(".kqcontrol")
	l.check(t)
}

// waitForJobs waits until no job of the load is listed any more, which means that
// the fleet has recorded the outcome of each.
func (l *load) waitForJobs() {
	l.c.waitFor(jobsTimeout, "all accepted jobs have ended", func() bool {
		out, err := l.c.kqctl("job", "list", "--output", "json", "--operator-token", "")
		return err == nil && !bytes.Contains([]byte(out), []byte(`"id": "job-`))
	})
}

// check reads the histories that the processes and callers recorded, and fails
// the test for each violation of a guarantee.
func (l *load) check(t *testing.T) {
	events, _, err := timeline.Load(filepath.Join(l.c.dir, "events"))
	if err != nil {
		t.Fatal(err)
	}
	runs := history.Runs(events)
	executions := history.Executions{}
	files, _ := filepath.Glob(filepath.Join(l.c.dir, "runs", "*"))
	for _, f := range files {
		r, err := os.Open(f)
		if err != nil {
			t.Fatal(err)
		}
		if err := executions.ReadExecutions(r); err != nil {
			t.Fatal(err)
		}
		r.Close()
	}
	var violations []history.Violation
	violations = append(violations, history.ConcurrentRuns(runs)...)
	violations = append(violations, history.Overcommit(runs, l.specs, workerSize)...)
	violations = append(violations, history.OverLimit(runs, l.specs, l.limits)...)
	violations = append(violations, history.StartsOutOfService(runs, l.outages)...)
	answered, requests, uncertain := 0, 0, 0
	for i, log := range l.logs {
		attempts, err := history.ReadAttempts(log)
		if err != nil {
			t.Fatal(err)
		}
		for _, w := range l.revocations {
			if w.log == i {
				violations = append(violations, history.AcceptedWithRevokedKey(attempts, w.fromMS)...)
			}
		}
		violations = append(violations, history.CheckRequests(attempts, executions)...)
		answered += l.summaries[i].Answered
		requests += l.summaries[i].Requests
		uncertain += l.summaries[i].Uncertain
	}
	for _, v := range violations {
		t.Errorf("%s", v)
	}
	t.Logf("%d jobs, %d runs, %d requests, %d answered, %d uncertain, %d violations",
		len(l.specs), len(runs), requests, answered, uncertain, len(violations))
	if len(runs) == 0 || answered == 0 {
		t.Errorf("the checks are void: %d task runs and %d answered requests in the histories", len(runs), answered)
	}
}
