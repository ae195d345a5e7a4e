// Package cell simulates one data centre in virtual time, for tests: its
// replicated state, its leader and fake workers. It calls the same functions as
// kqcontrol.
package cell

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"kumquatwing/internal/api"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/codec"
	"kumquatwing/internal/eventlog"
	"kumquatwing/internal/fake/worker"
	"kumquatwing/internal/model"
	"kumquatwing/internal/placement"
	"kumquatwing/internal/settings"
	"kumquatwing/internal/systems"
	"kumquatwing/internal/work"
	"kumquatwing/internal/workerapi"
)

// Lease is the duration of the worker leases and Margin their safety margin.
const (
	Lease  = 5 * time.Second
	Margin = 250 * time.Millisecond
)

// Log stores recorded events in memory.
type Log struct{ Events []eventlog.Event }

// Record implements eventlog.Recorder.
func (m *Log) Record(e eventlog.Event) { m.Events = append(m.Events, e) }

// Count returns the number of recorded events of a kind.
func (m *Log) Count(kind eventlog.Kind) int {
	n := 0
	for i := range m.Events {
		if m.Events[i].Kind == kind {
			n++
		}
	}
	return n
}

// Cell is a simulated data centre. It is not safe for concurrent use.
type Cell struct {
	State *work.State
	// Follower, if set, applies the same commands as State.
	Follower    *work.State
	Leader      *workerapi.Leader
	LeaderState *systems.LeaderState
	View        *systems.View
	Clock       clock.Manual
	Term        uint64
	// Generation is the generation of the data centre group, initially 1.
	Generation  uint64
	LeaseStatus workerapi.LeaseStatus
	Workers     []*worker.Core
	Log         Log
	Last        *systems.Output
	// Decide computes the placement plans. The default is placement.Decide.
	Decide func(*placement.Snapshot) *placement.Plan
	// OnElect, if set, is called with each new leader.
	OnElect func(*workerapi.Leader)
}

// New returns a Cell that has a leader and no workers.
func New() *Cell {
	c := &Cell{State: work.New(), Decide: placement.Decide, Generation: 1, View: &systems.View{Generation: 1, DC: "dc1", Tree: settings.NewTree()}}
	c.Clock.Advance(time.Hour)
	c.LeaseStatus = workerapi.LeaseStatus{LeaderLeaseValid: true, SettingsLeaseRemaining: 3 * time.Second}
	c.Elect()
	return c
}

// Elect starts the next term with a new leader, which has none of the
// unreplicated state of its predecessor.
func (c *Cell) Elect() {
	c.Term++
	policy := workerapi.Policy{Lease: Lease, Margin: Margin, HeadroomPercent: 10, Retry: retryTwice}
	c.Leader = workerapi.NewLeader(c.State, model.NewEpoch(c.Generation, c.Term), policy, c.Clock.Now())
	if c.OnElect != nil {
		c.OnElect(c.Leader)
	}
	c.LeaderState = systems.NewLeaderState()
	if cmd := c.Leader.Prepare(); cmd != nil {
		c.Propose(cmd)
	}
}

func retryTwice(*work.Job) (int, time.Duration) { return 2, 100 * time.Millisecond }

// NowMillis returns the virtual time in milliseconds, used as the group's clock.
func (c *Cell) NowMillis() int64 { return time.Duration(c.Clock.Now()).Milliseconds() }

// Propose encodes and decodes a command, as replication would, and applies it
// to State and Follower.
func (c *Cell) Propose(cmd *work.Command) work.Result {
	data, err := msgpack.Marshal(cmd)
	if err != nil {
		panic(err)
	}
	if c.Follower != nil {
		c.Follower.Apply(c.NowMillis(), decode(data))
	}
	return c.State.Apply(c.NowMillis(), decode(data))
}

func decode(data []byte) *work.Command {
	cmd := &work.Command{}
	if err := codec.Unmarshal(data, cmd); err != nil {
		panic(err)
	}
	return cmd
}

// AddWorker adds a fake worker. Empty ID, Incarnation and Size get defaults.
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

// Exchange delivers one report of a worker to the leader and the orders in the
// response to the worker.
func (c *Cell) Exchange(w *worker.Core) {
	now := c.Clock.Now()
	w.Advance(now)
	c.HandleReport(w, now, w.Report(now))
}

// HandleReport delivers a report that was sent at reportSentAt to the leader and
// the orders in the response to the worker.
func (c *Cell) HandleReport(w *worker.Core, reportSentAt clock.Instant, r *api.WorkerReport) {
	cmd, err := c.Leader.Report("dc1", r)
	if err != nil {
		return
	}
	if !cmd.Empty() {
		c.Propose(cmd)
	}
	o, _ := c.Leader.Orders(r.Worker, c.Clock.Now(), c.LeaseStatus)
	w.Apply(reportSentAt, c.Clock.Now(), o)
}

// Tick runs the systems once, applies their command and grants what they
// request from the fleet.
func (c *Cell) Tick() *systems.Output {
	out := c.RunSystems()
	r := c.Propose(out.Command)
	out.Commit(&c.Log, &r)
	c.Last = out
	c.applyGrantRequests(&out.Fleet)
	return out
}

// applyGrantRequests applies grant requests and returns to the view immediately,
// with the result that the fleet would give.
func (c *Cell) applyGrantRequests(r *systems.FleetRequests) {
	for i := range c.View.Workspaces {
		workspace := &c.View.Workspaces[i]
		for _, g := range r.Returns {
			if g.Workspace == workspace.ID && g.Version == workspace.Version {
				c.setGrant(workspace, g.Keep, workspace.Target.Min(g.Keep))
			}
		}
		for _, g := range r.Grants {
			if g.Workspace == workspace.ID {
				amount := workspace.Granted.Max(g.Demand.Min(workspace.Limit))
				c.setGrant(workspace, amount, amount)
				workspace.RequestedDemand, workspace.RequestedMinimum, workspace.RequestedInUse = g.Demand, g.Minimum, g.InUse
			}
		}
	}
}

func (c *Cell) setGrant(workspace *systems.WorkspaceGrant, amount, target model.Resources) {
	c.View.Revision++
	workspace.Granted, workspace.Target = amount, target
	workspace.Version++
}

// RunSystems runs the systems once and returns their output without applying it.
func (c *Cell) RunSystems() *systems.Output {
	return systems.Tick(&systems.Input{
		NowMillis: c.NowMillis(), Epoch: c.Leader.Epoch(), Member: "vm1", State: c.State, View: c.View,
		Lost: c.Leader.Expired(c.Clock.Now()), RebuildOver: c.Leader.TakeoverLeasesExpired(c.Clock.Now()),
		Usable: c.Leader.Usable, MayStart: c.LeaseStatus.SettingsLeaseRemaining > 0, LeaderState: c.LeaderState, Decide: c.Decide,
	})
}

// Step advances the clock by d, exchanges a report with each worker and runs the
// systems once.
func (c *Cell) Step(d time.Duration) {
	c.Clock.Advance(d)
	for _, w := range c.Workers {
		c.Exchange(w)
	}
	c.Tick()
}

// Steps calls Step n times.
func (c *Cell) Steps(n int, d time.Duration) {
	for range n {
		c.Step(d)
	}
}

// Submit adds a job to the view. Without a workspace it belongs to t1, which
// gets an unlimited grant if the view has no workspace.
func (c *Cell) Submit(s model.JobSpec) {
	if s.Workspace == "" {
		s.Workspace = "t1"
	}
	if s.Size.IsZero() {
		s.Size = model.Resources{MilliCPU: 1000, MemoryMB: 512}
	}
	c.View.Revision++
	c.View.Jobs = append(c.View.Jobs, systems.AssignedJob{Spec: s, Assignment: c.View.Revision})
	if len(c.View.Workspaces) == 0 {
		c.SetLimit(model.Resources{MilliCPU: 1 << 40, MemoryMB: 1 << 40, Accelerators: 1 << 40})
	}
}

// SetLimit makes t1 the only workspace in the view, with limit r, all of it
// granted to this data centre.
func (c *Cell) SetLimit(r model.Resources) {
	c.View.Revision++
	workspace := model.Workspace{ID: "t1", Share: 1, Limit: r}
	c.View.Workspaces = []systems.WorkspaceGrant{{Workspace: workspace, Granted: r, Target: r, Version: c.View.Revision}}
}

// States returns the number of a job's tasks in each state.
func (c *Cell) States(job model.JobID) map[model.TaskState]int {
	n := map[model.TaskState]int{}
	for _, t := range c.State.Job(job).Tasks() {
		n[t.State]++
	}
	return n
}
