package systems

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"kumquatwing/internal/api"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/eventlog"
	"kumquatwing/internal/fake/worker"
	"kumquatwing/internal/model"
	"kumquatwing/internal/placement"
	"kumquatwing/internal/settings"
	"kumquatwing/internal/work"
	"kumquatwing/internal/workerapi"
)

const (
	testLease  = 5 * time.Second
	testMargin = 250 * time.Millisecond
)

// memoryLog keeps events.
type memoryLog struct{ events []eventlog.Event }

func (m *memoryLog) Record(e eventlog.Event) { m.events = append(m.events, e) }

func (m *memoryLog) count(kind eventlog.Kind) int {
	n := 0
	for i := range m.events {
		if m.events[i].Kind == kind {
			n++
		}
	}
	return n
}

// cell steps the tables, a leader and fake workers in virtual time.
type cell struct {
	state   *work.State
	leader  *workerapi.Leader
	memory  *Memory
	view    *View
	clock   clock.Manual
	term    uint64
	gate    workerapi.Gate
	workers []*worker.Core
	log     memoryLog
	last    *Output
}

func newCell() *cell {
	c := &cell{state: work.New(), view: &View{DC: "dc1", Tree: settings.NewTree()}}
	c.clock.Advance(time.Hour)
	c.gate = workerapi.Gate{Leads: true, MayStart: 3 * time.Second}
	c.elect()
	return c
}

// elect makes a new leader with empty soft state.
func (c *cell) elect() {
	c.term++
	policy := workerapi.Policy{Lease: testLease, Margin: testMargin, HeadroomPercent: 10, Retry: retryTwice}
	c.leader = workerapi.NewLeader(c.state, model.NewEpoch(1, c.term), policy, c.clock.Now())
	c.memory = NewMemory()
	if cmd := c.leader.LeaseCommand(); cmd != nil {
		c.propose(cmd)
	}
}

func retryTwice(*work.Job) (int, time.Duration) { return 2, 100 * time.Millisecond }

func (c *cell) millis() int64 { return time.Duration(c.clock.Now()).Milliseconds() }

// propose applies a command in its encoded form, as the group would.
func (c *cell) propose(cmd *work.Command) work.Result {
	data, err := msgpack.Marshal(cmd)
	if err != nil {
		panic(err)
	}
	var decoded work.Command
	if err := msgpack.Unmarshal(data, &decoded); err != nil {
		panic(err)
	}
	return c.state.Apply(c.millis(), &decoded)
}

func (c *cell) addWorker(cfg worker.Config) *worker.Core {
	cfg.DC = "dc1"
	if cfg.ID == "" {
		cfg.ID = model.WorkerID(fmt.Sprintf("w%02d", len(c.workers)))
	}
	if cfg.Incarnation == "" {
		cfg.Incarnation = "i1"
	}
	if cfg.Size.IsZero() {
		cfg.Size = model.Resources{MilliCPU: 4000, MemoryMB: 4096}
	}
	core := worker.NewCore(cfg)
	c.workers = append(c.workers, core)
	return core
}

// exchange carries one report and its answer.
func (c *cell) exchange(w *worker.Core) {
	now := c.clock.Now()
	w.Advance(now)
	c.answer(w, now, w.Report(now))
}

func (c *cell) answer(w *worker.Core, askedAt clock.Instant, r *api.WorkerReport) {
	cmd, err := c.leader.Report("dc1", r)
	if err != nil {
		return
	}
	if !cmd.Empty() {
		c.propose(cmd)
	}
	o, _ := c.leader.Orders(r.Worker, c.clock.Now(), c.gate)
	w.Apply(askedAt, c.clock.Now(), o)
}

func (c *cell) tick() *Output {
	out := Tick(&Input{
		NowMillis: c.millis(), Epoch: c.leader.Epoch(), Member: "vm1", State: c.state, View: c.view,
		Lost: c.leader.Expired(c.clock.Now()), RebuildOver: c.leader.TablesFilled(c.clock.Now()),
		MayStart: c.gate.MayStart > 0, Memory: c.memory, Decide: firstFit,
	})
	r := c.propose(out.Command)
	out.Commit(&c.log, &r)
	c.last = out
	return out
}

// step lets d pass, then all workers report and the systems run once.
func (c *cell) step(d time.Duration) {
	c.clock.Advance(d)
	for _, w := range c.workers {
		c.exchange(w)
	}
	c.tick()
}

func (c *cell) steps(n int, d time.Duration) {
	for range n {
		c.step(d)
	}
}

// submit lists a job in the fleet's view.
func (c *cell) submit(s model.JobSpec) {
	if s.Team == "" {
		s.Team = "t1"
	}
	if s.Size.IsZero() {
		s.Size = model.Resources{MilliCPU: 1000, MemoryMB: 512}
	}
	c.view.Revision++
	c.view.Jobs = append(c.view.Jobs, JobHere{Spec: s, Assignment: c.view.Revision})
	if len(c.view.Teams) == 0 {
		c.setLimit(model.Resources{MilliCPU: 1 << 40, MemoryMB: 1 << 40, Accelerators: 1 << 40})
	}
}

func (c *cell) setLimit(r model.Resources) {
	c.view.Revision++
	team := model.Team{ID: "t1", Share: 1, Limit: r}
	c.view.Teams = []TeamHere{{Team: team, Granted: r, Target: r, Version: c.view.Revision}}
}

func (c *cell) states(job model.JobID) map[model.TaskState]int {
	n := map[model.TaskState]int{}
	for _, t := range c.state.Job(job).Tasks() {
		n[t.State]++
	}
	return n
}

// firstFit is a plan in arrival order, for tests of the systems.
func firstFit(s *placement.Snapshot) *placement.Plan {
	p := &placement.Plan{}
	free := make([]model.Resources, len(s.Workers))
	for i, w := range s.Workers {
		free[i] = w.Free
	}
	for i := range s.Jobs {
		fitJob(s, p, &s.Jobs[i], free)
	}
	return p
}

func fitJob(s *placement.Snapshot, p *placement.Plan, j *placement.JobView, free []model.Resources) {
	before := append([]model.Resources(nil), free...)
	var placed []placement.Placement
	for _, t := range j.Pending {
		if t.NotBeforeMillis > s.NowMillis {
			continue
		}
		for i, w := range s.Workers {
			avoid := len(s.Workers) > 1 && contains(t.Avoid, w.ID)
			if w.State != model.WorkerReady || avoid || !j.Spec.Size.Fits(free[i]) {
				continue
			}
			free[i] = free[i].Sub(j.Spec.Size)
			placed = append(placed, placement.Placement{Task: t.ID, Job: j.Spec.ID, Worker: w.ID})
			break
		}
	}
	if j.Spec.Class == model.ClassGang && len(placed) < len(j.Pending) {
		copy(free, before)
		placed = nil
	}
	if len(placed) < len(j.Pending) {
		p.Waits = append(p.Waits, placement.Wait{Job: j.Spec.ID, Reason: "no-room"})
	}
	p.Place = append(p.Place, placed...)
}

func contains(list []model.WorkerID, id model.WorkerID) bool {
	for _, x := range list {
		if x == id {
			return true
		}
	}
	return false
}

func TestJobRunsToItsEnd(t *testing.T) {
	c := qt.New(t)
	cl := newCell()
	cl.addWorker(worker.Config{})
	cl.addWorker(worker.Config{})
	cl.submit(model.JobSpec{ID: "j1", Class: model.ClassBatch, Tasks: 6, RunMillis: 2000, Idempotent: true})
	cl.steps(4, 500*time.Millisecond)
	c.Assert(cl.states("j1"), qt.DeepEquals, map[model.TaskState]int{model.TaskRunning: 6})
	cl.steps(6, 500*time.Millisecond)
	c.Assert(cl.states("j1"), qt.DeepEquals, map[model.TaskState]int{model.TaskEnded: 6})
	c.Assert(cl.log.count(EventPlaced), qt.Equals, 6)
	c.Assert(cl.log.count(EventFinished) > 0, qt.IsTrue)
	cl.view.Jobs = nil
	cl.view.Revision++
	cl.steps(2, 500*time.Millisecond)
	c.Assert(cl.state.Job("j1"), qt.IsNil)
	c.Assert(cl.state.Usage("t1").IsZero(), qt.IsTrue)
}
