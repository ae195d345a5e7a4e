package cellapi

import (
	"context"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/model"
	"kumquatwing/internal/replica"
	"kumquatwing/internal/scheduler"
	"kumquatwing/internal/verdict"
	"kumquatwing/internal/wire"
)

// newServer returns a server on a group with one member, and a client for it.
func newServer(t *testing.T) (*Server, *Client) {
	t.Helper()
	return newServerOf(t, silentWorkers{})
}

// newServerOf is newServer with the given workers.
func newServerOf(t *testing.T, workers scheduler.WorkerClient) (*Server, *Client) {
	t.Helper()
	node, err := wire.Listen("127.0.0.1:0", nil)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { node.Close() })
	state := cell.NewState(nil)
	group := replica.NewLocal(state, replica.Member{ID: 1, Addr: node.Addr()})
	s := Serve(Config{
		Wire: node, Group: group, State: state, Clock: clock.Boot{}, Log: zap.NewNop(),
		Scheduler: scheduler.New(scheduler.Config{
			Group: group, State: state, Workers: workers, Clock: clock.Boot{}, Log: zap.NewNop(),
			Bounds:  scheduler.Bounds{MaxLease: 10 * time.Second, EndedJobRetention: time.Minute},
			Metrics: scheduler.NewMetrics(prometheus.NewRegistry()),
		}),
	})
	return s, NewClient(node, []string{node.Addr()}, clock.Boot{}, zap.NewNop())
}

// silentWorkers never answers an order.
type silentWorkers struct{}

func (silentWorkers) Start(ctx context.Context, _ scheduler.WorkerTarget, _ scheduler.StartOrder) error {
	<-ctx.Done()
	return ctx.Err()
}

func (silentWorkers) Stop(ctx context.Context, _ scheduler.WorkerTarget, _ scheduler.StopOrder) error {
	<-ctx.Done()
	return ctx.Err()
}

func (silentWorkers) RenewLease(ctx context.Context, _ scheduler.WorkerTarget, _ scheduler.RenewOrder) (*scheduler.RenewReply, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// lead runs the scheduler of the server until the end of the test.
func lead(t *testing.T, s *Server) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Scheduler.Lead(ctx, s.Group.Status().Term)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

func reasonOf(err error) verdict.Reason {
	if err == nil {
		return ""
	}
	return verdict.FromError(err).Reason
}

var testConfig = cell.Config{
	Version: 1, Pools: []cell.Pool{{Name: "p"}},
	Queues: []cell.Queue{
		{Name: "q", Host: "h", Prefix: "/q/", TimeoutMillis: 1000, Pool: "p"},
		{Name: "open", Host: "h", Prefix: "/q/open/", TimeoutMillis: 1000, Pool: "p", Open: true},
	},
	Workspaces: []cell.Workspace{{Name: "a", Keys: []string{"ka"}}, {Name: "b", Keys: []string{"kb"}}},
}

func TestCallsAreAuthorized(t *testing.T) {
	ctx := context.Background()
	s, client := newServer(t)
	_, err := s.submit(ctx, &SubmitRequest{Place: CallTarget{"h", "/q/", "ka"}, ID: "j"})
	qt.Check(t, reasonOf(err), qt.Equals, verdict.ReasonNoLease, qt.Commentf("without a configuration"))
	_, err = client.Configure(ctx, &ConfigureRequest{Config: testConfig, Document: []byte("{}")})
	qt.Assert(t, err, qt.IsNil)
	steps := []cell.Step{{Count: 1}}
	for _, c := range []struct {
		name   string
		target CallTarget
		steps  []cell.Step
		want   verdict.Reason
	}{
		{"key", CallTarget{"h", "/q/", "ka"}, steps, ""},
		{"no key", CallTarget{"h", "/q/", ""}, steps, verdict.ReasonBadKey},
		{"unknown key", CallTarget{"h", "/q/", "x"}, steps, verdict.ReasonBadKey},
		{"open queue, the longest prefix", CallTarget{"h", "/q/open/", ""}, steps, ""},
		{"unknown host", CallTarget{"other", "/q/", "ka"}, steps, verdict.ReasonUnknownQueue},
		{"unknown prefix", CallTarget{"h", "/x/", "ka"}, steps, verdict.ReasonUnknownQueue},
		{"no steps", CallTarget{"h", "/q/", "ka"}, nil, verdict.ReasonBadRequest},
		{"a step after itself", CallTarget{"h", "/q/", "ka"}, []cell.Step{{Count: 1, After: []int{0}}}, verdict.ReasonBadRequest},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := client.Submit(ctx, &SubmitRequest{Place: c.target, ID: cell.JobID("job" + c.target.Path[1:2]), Steps: c.steps})
			qt.Check(t, reasonOf(err), qt.Equals, c.want)
		})
	}
	_, err = client.Job(ctx, &JobRequest{Place: CallTarget{"h", "/q/", "kb"}, ID: "jobq"})
	qt.Check(t, reasonOf(err), qt.Equals, verdict.ReasonUnknownJob, qt.Commentf("another workspace's job"))
}

// TestOversizedJobsAreRefused checks that a job whose tasks would take the memory of all
// control processes is refused, and one of the largest allowed size is not.
func TestOversizedJobsAreRefused(t *testing.T) {
	ctx := context.Background()
	_, client := newServer(t)
	_, err := client.Configure(ctx, &ConfigureRequest{Config: testConfig, Document: []byte("{}")})
	qt.Assert(t, err, qt.IsNil)
	for i, c := range []struct {
		name     string
		steps    []cell.Step
		schedule cell.Schedule
		want     verdict.Reason
	}{
		{"largest", []cell.Step{{Count: maxTasks}}, cell.Schedule{}, ""},
		{"wide", []cell.Step{{Count: 2_000_000_000}}, cell.Schedule{}, verdict.ReasonBadRequest},
		{"wide in sum", []cell.Step{{Count: maxTasks}, {Count: 1}}, cell.Schedule{}, verdict.ReasonBadRequest},
		{"many steps", make([]cell.Step, MaxSteps+1), cell.Schedule{}, verdict.ReasonBadRequest},
		{"often", []cell.Step{{Count: 10}}, cell.Schedule{Times: 2_000_000_000}, verdict.ReasonBadRequest},
		{"never", []cell.Step{{Count: 1}}, cell.Schedule{Times: -1}, verdict.ReasonBadRequest},
		{"sum of needs", []cell.Step{{Count: 2, Need: model.Resources{MilliCPU: math.MaxInt64}}}, cell.Schedule{}, verdict.ReasonBadRequest},
		{"estimate", []cell.Step{{Count: 1, EstimateMillis: math.MaxInt64}}, cell.Schedule{}, verdict.ReasonBadRequest},
		{"negative estimate", []cell.Step{{Count: 1, EstimateMillis: -1}}, cell.Schedule{}, verdict.ReasonBadRequest},
		{"times that wrap", []cell.Step{{Count: 1}}, cell.Schedule{Times: 3, FirstUnixMillis: 1, IntervalMillis: math.MaxInt64}, verdict.ReasonBadRequest},
	} {
		_, err := client.Submit(ctx, &SubmitRequest{
			Place: CallTarget{"h", "/q/", "ka"}, ID: cell.JobID(rune('a' + i)), Steps: c.steps, Schedule: c.schedule,
		})
		qt.Check(t, reasonOf(err), qt.Equals, c.want, qt.Commentf(c.name))
	}
}

// TestSupersededReportsAreIgnored checks that a report that arrives after newer ones changes
// nothing for good, where the workers tell who lives.
func TestSupersededReportsAreIgnored(t *testing.T) {
	s, client, workers := newServerWithWorkers(t)
	workers.set(testAddr, "w1", 1)
	send := func(id cell.WorkerID, born, seq int64, draining bool) {
		t.Helper()
		_, err := client.Report(context.Background(), &ReportRequest{
			Worker: cell.Worker{ID: id, Born: born, Addr: testAddr, Pool: "p", Draining: draining}, Sequence: seq,
		})
		qt.Assert(t, err, qt.IsNil)
	}
	worker := func(id cell.WorkerID) *cell.Worker { return workerOf(s, id) }
	gone := func(id cell.WorkerID) func() bool { return func() bool { return worker(id) == nil } }
	send("w1", 1, 2, true)
	send("w1", 1, 1, false)
	qt.Check(t, worker("w1").Draining, qt.IsTrue, qt.Commentf("a report that arrives after a newer one"))
	send("w1", 1, 3, false)
	qt.Check(t, worker("w1").Draining, qt.IsTrue, qt.Commentf("a draining worker stays draining in its incarnation"))
	workers.set(testAddr, "w1", 5)
	send("w1", 5, 1, false)
	qt.Check(t, worker("w1").Draining, qt.IsFalse, qt.Commentf("the same id in a new incarnation"))
	send("w1", 1, 4, true)
	qt.Check(t, worker("w1").Draining, qt.IsFalse, qt.Commentf("a delayed report of the earlier incarnation"))
	workers.set(testAddr, "w2", 9)
	send("w2", 9, 1, false)
	eventually(t, "the worker whose address was taken over has gone", gone("w1"))
	send("w1", 5, 2, false)
	eventually(t, "the sender of a delayed report has gone", gone("w1"))
	qt.Check(t, worker("w2"), qt.IsNotNil)
}

func TestFinalRefusalKeepsMayHaveRun(t *testing.T) {
	refused := verdict.Refuse(verdict.ReasonNoLeader, "x").WithRetryAfter(time.Second)
	qt.Check(t, verdict.FromError(withMayHaveRun(refused, false)).Verdict, qt.Equals, verdict.NotRun)
	mayHaveRun := verdict.FromError(withMayHaveRun(refused, true))
	qt.Check(t, mayHaveRun.Verdict, qt.Equals, verdict.MayHaveRun, qt.Commentf("an earlier attempt may have run"))
	qt.Check(t, mayHaveRun.RetryAfterMillis, qt.Equals, int64(0))
}

// Calls wait for a leader for about the time that an election takes. After that,
// calls are refused at once, without an attempt, until the leader answers again.
func TestCallsFailFastWithoutLeader(t *testing.T) {
	node, err := wire.Listen("127.0.0.1:0", nil)
	qt.Assert(t, err, qt.IsNil)
	defer node.Close()
	manual := &clock.Manual{}
	manual.Advance(time.Hour)
	c := NewClient(node, nil, manual, zap.NewNop())
	c.recordFailure()
	qt.Check(t, c.Reachable(), qt.IsTrue)
	manual.Advance(leaderWait)
	qt.Check(t, c.Reachable(), qt.IsFalse)
	_, err = c.Job(context.Background(), &JobRequest{})
	qt.Check(t, verdict.FromError(err).Verdict, qt.Equals, verdict.NotRun)
	qt.Check(t, verdict.FromError(err).RetryAfterMillis, qt.Equals, minRetryAfter.Milliseconds())
	c.recordSuccess()
	qt.Check(t, c.Reachable(), qt.IsTrue)
}

// Only a report that matches the process's copy of the replicated state may be
// confirmed without the leader.
func TestUnchangedReports(t *testing.T) {
	s, client := newServer(t)
	w := cell.Worker{ID: "w", Born: 5, Addr: "a", DC: "d", Pool: "p", Labels: []string{"x"}}
	qt.Check(t, s.Unchanged(&w), qt.IsFalse, qt.Commentf("a worker that isn't in the replicated state"))
	_, err := client.Report(context.Background(), &ReportRequest{Worker: w, Sequence: 1})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, s.Unchanged(&w), qt.IsTrue)
	for name, change := range map[string]func(w *cell.Worker){
		"draining":    func(w *cell.Worker) { w.Draining = true },
		"incarnation": func(w *cell.Worker) { w.Born++ },
		"address":     func(w *cell.Worker) { w.Addr = "b" },
		"data centre": func(w *cell.Worker) { w.DC = "e" },
		"labels":      func(w *cell.Worker) { w.Labels = nil },
	} {
		changed := w
		change(&changed)
		qt.Check(t, s.Unchanged(&changed), qt.IsFalse, qt.Commentf("another %s", name))
	}
	w.Draining = true
	_, err = client.Report(context.Background(), &ReportRequest{Worker: w, Sequence: 2})
	qt.Assert(t, err, qt.IsNil)
	ready := w
	ready.Draining = false
	qt.Check(t, s.Unchanged(&ready), qt.IsFalse, qt.Commentf("a report from before the worker was draining"))
	qt.Check(t, s.Unchanged(&w), qt.IsFalse, qt.Commentf("a draining worker's report always goes to the leader"))
}

// removingGroup applies a configuration before the next command, as a concurrent call of
// an operator may.
type removingGroup struct {
	replica.Group
	before []byte
}

func (g *removingGroup) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if c := g.before; c != nil {
		g.before = nil
		if _, err := g.Group.Propose(ctx, c); err != nil {
			return nil, err
		}
	}
	return g.Group.Propose(ctx, command)
}

// TestJobIsRefusedIfItsQueueIsRemovedMeanwhile guards against a caller that is told that
// its job was accepted, although the queue was removed before the job was applied.
func TestJobIsRefusedIfItsQueueIsRemovedMeanwhile(t *testing.T) {
	ctx := context.Background()
	s, client := newServer(t)
	_, err := client.Configure(ctx, &ConfigureRequest{Config: testConfig, Document: []byte("{}")})
	qt.Assert(t, err, qt.IsNil)
	without := testConfig
	without.Version, without.Queues = 2, nil
	remove, err := (&cell.Command{Configure: &cell.Configure{Config: without, Document: []byte("{}")}}).Encode()
	qt.Assert(t, err, qt.IsNil)
	s.Group = &removingGroup{s.Group, remove}
	_, err = s.submit(ctx, &SubmitRequest{Place: CallTarget{"h", "/q/", "ka"}, ID: "j", Steps: []cell.Step{{Count: 1}}})
	qt.Check(t, reasonOf(err), qt.Equals, verdict.ReasonUnknownQueue)
	qt.Check(t, verdict.FromError(err).Verdict, qt.Equals, verdict.NotRun)
}

// TestRepeatedSubmissionOfAcceptedJob guards against a caller that is refused although its
// job runs: the reply to the first attempt was lost, and the queue was removed before the
// second one.
func TestRepeatedSubmissionOfAcceptedJob(t *testing.T) {
	ctx := context.Background()
	s, client := newServer(t)
	configure := func(c cell.Config) {
		t.Helper()
		_, err := client.Configure(ctx, &ConfigureRequest{Config: c, Document: []byte("{}")})
		qt.Assert(t, err, qt.IsNil)
	}
	configure(testConfig)
	req := &SubmitRequest{Place: CallTarget{"h", "/q/", "ka"}, ID: "j", Steps: []cell.Step{{Count: 1}}}
	_, err := s.submit(ctx, req)
	qt.Assert(t, err, qt.IsNil)
	without := testConfig
	without.Version, without.Queues = 2, nil
	configure(without)
	for _, c := range []struct {
		name     string
		repeated bool
		key, id  string
		want     verdict.Reason
	}{
		{"repeated", true, "ka", "j", ""},
		{"first attempt", false, "ka", "j", verdict.ReasonUnknownQueue},
		{"another workspace", true, "kb", "j", verdict.ReasonUnknownQueue},
		{"another job", true, "ka", "k", verdict.ReasonUnknownQueue},
	} {
		again := *req
		again.Repeated, again.Place.Key, again.ID = c.repeated, c.key, cell.JobID(c.id)
		_, err := s.submit(ctx, &again)
		qt.Check(t, reasonOf(err), qt.Equals, c.want, qt.Commentf(c.name))
	}
}

// TestJobsAreFoundUnderARenamedQueue guards against accepted jobs that callers can't find
// any more, and that no queue counts, after a configuration has given the queue at their
// place another name and made it open, or closed it.
func TestJobsAreFoundUnderARenamedQueue(t *testing.T) {
	ctx := context.Background()
	s, client := newServer(t)
	configure := func(version int64, q cell.Queue) {
		t.Helper()
		c := testConfig
		q.Host, q.Prefix, q.TimeoutMillis, q.Pool = "h", "/q/", 1000, "p"
		other := cell.Queue{Name: "elsewhere", Host: "h", Prefix: "/x/", TimeoutMillis: 1000, Pool: "p", Open: true}
		c.Version, c.Queues = version, []cell.Queue{q, other}
		_, err := client.Configure(ctx, &ConfigureRequest{Config: c, Document: []byte("{}")})
		qt.Assert(t, err, qt.IsNil)
	}
	submit := func(id cell.JobID, key string) {
		t.Helper()
		_, err := s.submit(ctx, &SubmitRequest{Place: CallTarget{"h", "/q/", key}, ID: id, Steps: []cell.Step{{Count: 1}}})
		qt.Assert(t, err, qt.IsNil)
	}
	check := func(id cell.JobID, path, key string, want verdict.Reason) {
		t.Helper()
		_, err := s.job(ctx, &JobRequest{Place: CallTarget{"h", path, key}, ID: id})
		qt.Check(t, reasonOf(err), qt.Equals, want)
	}
	configure(1, cell.Queue{Name: "closed"})
	submit("with-key", "ka")
	configure(2, cell.Queue{Name: "open", Open: true})
	submit("without-key", "")
	check("with-key", "/q/", "", "")
	check("with-key", "/q/", "ka", "")
	check("with-key", "/x/", "", verdict.ReasonUnknownJob)
	queue, err := s.queue(ctx, &QueueRequest{Place: CallTarget{"h", "/q/", ""}})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, queue.Waiting, qt.Equals, 2)
	_, err = s.cancel(ctx, &JobRequest{Place: CallTarget{"h", "/q/", ""}, ID: "with-key"})
	qt.Check(t, err, qt.IsNil)

	configure(3, cell.Queue{Name: "closed-again"})
	check("without-key", "/q/", "ka", "")
	check("with-key", "/q/", "ka", "")
	check("with-key", "/q/", "kb", verdict.ReasonUnknownJob)
}
