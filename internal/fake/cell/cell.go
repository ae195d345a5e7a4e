// Package cell steps a data centre's tables, its leader and fake workers in
// virtual time, for tests. It calls the very functions that kqcontrol runs by.
package cell

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"kumquatwing/internal/api"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/eventlog"
	"kumquatwing/internal/fake/worker"
	"kumquatwing/internal/model"
	"kumquatwing/internal/placement"
	"kumquatwing/internal/settings"
	"kumquatwing/internal/systems"
	"kumquatwing/internal/work"
	"kumquatwing/internal/workerapi"
)

// Settings of the worker leases.
const (
	Lease  = 5 * time.Second
	Margin = 250 * time.Millisecond
)

// Log keeps events.
type Log struct{ Events []eventlog.Event }

// Record implements eventlog.Recorder.
func (m *Log) Record(e eventlog.Event) { m.Events = append(m.Events, e) }

// Count returns how many events of a kind were recorded.
func (m *Log) Count(kind eventlog.Kind) int {
	n := 0
	for i := range m.Events {
		if m.Events[i].Kind == kind {
			n++
		}
	}
	return n
}

// Cell steps the tables, a leader and fake workers in virtual time.
type Cell struct {
	State *work.State
	// Follower, if set, applies the same commands as State.
	Follower *work.State
	Leader   *workerapi.Leader
	Memory   *systems.Memory
	View     *systems.View
	Clock    clock.Manual
	Term     uint64
	// Generation of the group, 1 at first.
	Generation uint64
	Gate       workerapi.Gate
	Workers    []*worker.Core
	Log        Log
	Last       *systems.Output
	// Decide makes the plans; placement.Decide by default.
	Decide func(*placement.Snapshot) *placement.Plan
	// OnElect, if set, is called with each new leader.
	OnElect func(*workerapi.Leader)
}

// New returns a cell with a leader and no workers.
func New() *Cell {
	c := &Cell{State: work.New(), Decide: placement.Decide, Generation: 1, View: &systems.View{Generation: 1, DC: "dc1", Tree: settings.NewTree()}}
	c.Clock.Advance(time.Hour)
	c.Gate = workerapi.Gate{Leads: true, MayStart: 3 * time.Second}
	c.Elect()
	return c
}

// Elect makes a new leader with empty soft state.
func (c *Cell) Elect() {
	c.Term++
	policy := workerapi.Policy{Lease: Lease, Margin: Margin, HeadroomPercent: 10, Retry: retryTwice}
	c.Leader = workerapi.NewLeader(c.State, model.NewEpoch(c.Generation, c.Term), policy, c.Clock.Now())
	if c.OnElect != nil {
		c.OnElect(c.Leader)
	}
	c.Memory = systems.NewMemory()
	if cmd := c.Leader.Prepare(); cmd != nil {
		c.Propose(cmd)
	}
}

func retryTwice(*work.Job) (int, time.Duration) { return 2, 100 * time.Millisecond }

// Millis is the group's clock.
func (c *Cell) Millis() int64 { return time.Duration(c.Clock.Now()).Milliseconds() }

// Propose applies a command in its encoded form, as the group would.
func (c *Cell) Propose(cmd *work.Command) work.Result {
	data, err := msgpack.Marshal(cmd)
	if err != nil {
		panic(err)
	}
	if c.Follower != nil {
		c.Follower.Apply(c.Millis(), decode(data))
	}
	return c.State.Apply(c.Millis(), decode(data))
}

func decode(data []byte) *work.Command {
	cmd := &work.Command{}
	if err := msgpack.Unmarshal(data, cmd); err != nil {
		panic(err)
	}
	return cmd
}

// AddWorker adds a fake worker; empty fields get defaults.
func (c *Cell) AddWorker(cfg worker.Config) *worker.Core {
	cfg.DC = "dc1"
	if cfg.ID == "" {
		cfg.ID = model.WorkerID(fmt.Sprintf("w%02d", len(c.Workers)))
	}
	if cfg.Incarnation == "" {
		cfg.Incarnation = "i1"
	}
	if cfg.Size.IsZero() {
		cfg.Size = model.Resources{MilliCPU: 4000, MemoryMB: 4096}
	}
	core := worker.NewCore(cfg)
	c.Workers = append(c.Workers, core)
	return core
}

// Exchange carries one report and its answer.
func (c *Cell) Exchange(w *worker.Core) {
	now := c.Clock.Now()
	w.Advance(now)
	c.Answer(w, now, w.Report(now))
}

// Answer takes in a report and carries out its answer.
func (c *Cell) Answer(w *worker.Core, askedAt clock.Instant, r *api.WorkerReport) {
	cmd, err := c.Leader.Report("dc1", r)
	if err != nil {
		return
	}
	if !cmd.Empty() {
		c.Propose(cmd)
	}
	o, _ := c.Leader.Orders(r.Worker, c.Clock.Now(), c.Gate)
	w.Apply(askedAt, c.Clock.Now(), o)
}

// Tick runs the systems once and applies their command.
func (c *Cell) Tick() *systems.Output {
	out := c.Decided()
	r := c.Propose(out.Command)
	out.Commit(&c.Log, &r)
	c.Last = out
	c.answerGrants(&out.Fleet)
	return out
}

// answerGrants changes the grants in the view as the fleet would, at once.
func (c *Cell) answerGrants(r *systems.FleetRequests) {
	for i := range c.View.Workspaces {
		h := &c.View.Workspaces[i]
		for _, g := range r.Returns {
			if g.Workspace == h.ID && g.Version == h.Version {
				c.regrant(h, g.Keep, h.Target.Min(g.Keep))
			}
		}
		for _, g := range r.Grants {
			if g.Workspace == h.ID {
				amount := h.Granted.Max(g.Want.Min(h.Limit))
				c.regrant(h, amount, amount)
				h.Asked, h.AskedFloor, h.AskedHolds = g.Want, g.Floor, g.Holds
			}
		}
	}
}

func (c *Cell) regrant(h *systems.WorkspaceHere, amount, target model.Resources) {
	c.View.Revision++
	h.Granted, h.Target = amount, target
	h.Version++
}

// Decided runs the systems once and leaves their command to the caller.
func (c *Cell) Decided() *systems.Output {
	return systems.Tick(&systems.Input{
		NowMillis: c.Millis(), Epoch: c.Leader.Epoch(), Member: "vm1", State: c.State, View: c.View,
		Lost: c.Leader.Expired(c.Clock.Now()), RebuildOver: c.Leader.TablesFilled(c.Clock.Now()),
		Usable: c.Leader.Usable, MayStart: c.Gate.MayStart > 0, Memory: c.Memory, Decide: c.Decide,
	})
}

// Step lets d pass, then all workers report and the systems run once.
func (c *Cell) Step(d time.Duration) {
	c.Clock.Advance(d)
	for _, w := range c.Workers {
		c.Exchange(w)
	}
	c.Tick()
}

// Steps steps n times.
func (c *Cell) Steps(n int, d time.Duration) {
	for range n {
		c.Step(d)
	}
}

// Submit lists a job in the fleet's view.
func (c *Cell) Submit(s model.JobSpec) {
	if s.Workspace == "" {
		s.Workspace = "t1"
	}
	if s.Size.IsZero() {
		s.Size = model.Resources{MilliCPU: 1000, MemoryMB: 512}
	}
	c.View.Revision++
	c.View.Jobs = append(c.View.Jobs, systems.JobHere{Spec: s, Assignment: c.View.Revision})
	if len(c.View.Workspaces) == 0 {
		c.SetLimit(model.Resources{MilliCPU: 1 << 40, MemoryMB: 1 << 40, Accelerators: 1 << 40})
	}
}

// SetLimit sets the limit of the only workspace, all of it granted here.
func (c *Cell) SetLimit(r model.Resources) {
	c.View.Revision++
	workspace := model.Workspace{ID: "t1", Share: 1, Limit: r}
	c.View.Workspaces = []systems.WorkspaceHere{{Workspace: workspace, Granted: r, Target: r, Version: c.View.Revision}}
}

// States counts a job's tasks by state.
func (c *Cell) States(job model.JobID) map[model.TaskState]int {
	n := map[model.TaskState]int{}
	for _, t := range c.State.Job(job).Tasks() {
		n[t.State]++
	}
	return n
}
