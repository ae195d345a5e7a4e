package control

import (
	"context"
	"time"

	"go.uber.org/zap"

	"kumquatwing/internal/clock"
	"kumquatwing/internal/dcstate"
	"kumquatwing/internal/eventlog"
	"kumquatwing/internal/model"
	"kumquatwing/internal/placement"
	"kumquatwing/internal/systems"
	"kumquatwing/internal/work"
)

// maxPlacements bounds the placements of one tick, so that its command stays small
// and workers' reports are answered between ticks.
const maxPlacements = 500

// tickLoop runs the scheduler at the interval Config.Tick while this member leads the
// group.
func (d *dcGroup) tickLoop(ctx context.Context) {
	t := time.NewTicker(d.s.cfg.Tick)
	defer t.Stop()
	led := false
	for {
		if l := d.leaderState(); l != nil {
			led = d.recordLeadershipChange(led, l)
			if led {
				l.tick(ctx)
			}
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// recordLeadershipChange records an event if the leadership of this member differs
// from led. It returns whether the member leads.
func (d *dcGroup) recordLeadershipChange(led bool, l *leaderState) bool {
	st := l.node.Status()
	leads := st.IsLeader()
	if leads == led {
		return leads
	}
	kind := eventStepsDown
	if leads {
		kind = eventLeads
	}
	d.s.events.Record(eventlog.Event{
		Kind: kind, DC: d.s.cfg.DC, Epoch: model.NewEpoch(l.generation, st.Term), Detail: "data centre group",
	})
	d.s.log.Info("leadership of the data centre group changed", zap.Bool("leads", leads), zap.Uint64("term", st.Term))
	return leads
}

// tick runs the scheduler once, commits its decisions and notifies the workers that
// have new orders.
func (l *leaderState) tick(ctx context.Context) {
	if l.prepareTick(ctx) {
		return
	}
	var out *systems.Output
	var cmd *dcstate.Command
	v := l.s.fleetView()
	started := time.Now()
	refusal := l.viewInEpoch(func(now clock.Instant) {
		out = systems.Tick(l.tickInput(now, v))
		cmd = &dcstate.Command{NowMillis: l.nowMillis(), Work: out.Command, Slots: l.slots.Tick(now)}
	})
	l.s.metrics.tickSeconds.Observe(time.Since(started).Seconds())
	if refusal != nil {
		return
	}
	if out.Command.Empty() {
		cmd.Work = nil
	}
	l.commitTick(ctx, cmd, out)
	l.s.proposeFleetRequests(ctx, &out.Fleet)
}

// commitTick commits the decisions of a tick and records them.
func (l *leaderState) commitTick(ctx context.Context, cmd *dcstate.Command, out *systems.Output) {
	if cmd.Work == nil && len(cmd.Slots) == 0 {
		l.recordDecisions(out, &work.Result{})
		return
	}
	r, err := l.commit(ctx, cmd)
	if err != nil {
		l.s.log.Warn("commit of a tick failed", zap.Error(err))
		l.node.View(func(replicaStatus) { out.Abandon() })
		return
	}
	if r.Work == nil {
		r.Work = &work.Result{}
	}
	l.s.metrics.placements.Add(float64(placementCount(cmd.Work) - len(r.Work.Place)))
	l.recordDecisions(out, r.Work)
}

// placementCount returns the number of placements in a command.
func placementCount(c *work.Command) int {
	if c == nil {
		return 0
	}
	return len(c.Place)
}

// recordDecisions records the decisions of a tick and wakes the calls of workers that
// wait for orders.
func (l *leaderState) recordDecisions(out *systems.Output, r *work.Result) {
	l.node.View(func(replicaStatus) {
		out.Commit(l.s.decisions, r)
		if l.workers != nil {
			l.workers.Notify(affectedWorkers(l.state.Work, out.Command)...)
		}
	})
}

// affectedWorkers lists the workers for which a command has orders.
func affectedWorkers(state *work.State, c *work.Command) []model.WorkerID {
	if c == nil {
		return nil
	}
	var ids []model.WorkerID
	for i := range c.Place {
		ids = append(ids, c.Place[i].Worker)
	}
	for i := range c.Stop {
		if row := state.Task(c.Stop[i].Task); row != nil {
			ids = append(ids, row.Worker)
		}
	}
	for _, job := range c.Cancel {
		if row := state.Job(job); row != nil {
			for _, t := range row.Tasks() {
				if t.Active() {
					ids = append(ids, t.Worker)
				}
			}
		}
	}
	return ids
}

// prepareTick commits what must be in the state before a tick can run: this leader's
// epoch, the start of a rebuild if the state of an earlier generation was lost, and
// a longer worker lease if the setting was raised. It reports whether there was such
// a command.
func (l *leaderState) prepareTick(ctx context.Context) bool {
	var c *dcstate.Command
	l.viewAsLeader(func(clock.Instant) { c = l.prepareCommand() })
	if c == nil {
		return false
	}
	if _, err := l.commit(ctx, c); err != nil {
		l.s.log.Warn("commit of a command before a tick failed", zap.Error(err))
	}
	return true
}

// prepareCommand returns the command that must be applied before a tick, or nil.
func (l *leaderState) prepareCommand() *dcstate.Command {
	c := l.workers.Prepare()
	// The rebuild comes first: workers must get no orders before it has begun.
	if l.generation > 1 && l.state.Work.Generation() != l.generation {
		c = &work.Command{Epoch: l.epoch(), Rebuild: &work.Rebuild{Generation: l.generation}}
	}
	if c == nil {
		return nil
	}
	return &dcstate.Command{NowMillis: l.nowMillis(), Work: c}
}

// tickInput returns the input of one tick. Its losses must be proposed; see
// workerapi.Leader.Expired.
func (l *leaderState) tickInput(now clock.Instant, v *fleetView) *systems.Input {
	in := l.explainInput(now, v)
	in.Lost = l.workers.Expired(now)
	return in
}

// explainInput returns the input of a tick without the workers that are lost since the
// last tick. It changes nothing, so that no tick need follow.
func (l *leaderState) explainInput(now clock.Instant, v *fleetView) *systems.Input {
	return &systems.Input{
		NowMillis:     l.nowMillis(),
		Epoch:         l.epoch(),
		Member:        string(l.s.cfg.VM),
		State:         l.state.Work,
		View:          l.s.schedulerView(v),
		RebuildOver:   l.workers.TakeoverLeasesExpired(now),
		Usable:        l.workers.Usable,
		MayStart:      l.s.leases.valid(now),
		LeaderState:   l.tickState,
		Decide:        placement.Decide,
		MaxPlacements: maxPlacements,
	}
}
