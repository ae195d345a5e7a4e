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

// maxPlacements bounds the placements of one tick, so that one command stays
// small and reports are answered in between.
const maxPlacements = 500

// tickLoop runs the scheduler while this member leads its data centre.
func (d *dcSide) tickLoop(ctx context.Context) {
	t := time.NewTicker(d.s.cfg.Tick)
	defer t.Stop()
	led := false
	for {
		if l := d.leader(); l != nil {
			led = d.noteLeadership(led, l)
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

func (d *dcSide) noteLeadership(led bool, l *leader) bool {
	st := l.group.Status()
	leads := st.IsLeader()
	if leads == led {
		return leads
	}
	kind := eventSteps
	if leads {
		kind = eventLeads
	}
	d.s.events.Record(eventlog.Event{
		Kind: kind, DC: d.s.cfg.DC, Epoch: model.NewEpoch(l.generation, st.Term), Detail: "data centre group",
	})
	d.s.log.Info("data centre leadership changed", zap.Bool("leads", leads), zap.Uint64("term", st.Term))
	return leads
}

// tick decides once, commits the decision and tells the workers it concerns.
func (l *leader) tick(ctx context.Context) {
	if l.begin(ctx) {
		return
	}
	var out *systems.Output
	var cmd *dcstate.Command
	v := l.s.fleetView()
	started := time.Now()
	refusal := l.view(func(now clock.Instant) {
		out = systems.Tick(l.input(now, v))
		cmd = &dcstate.Command{NowMillis: l.nowMillis(), Work: out.Command, Slots: l.slots.Tick(now)}
	})
	l.s.metrics.tickSeconds.Observe(time.Since(started).Seconds())
	if refusal != nil {
		return
	}
	if out.Command.Empty() {
		cmd.Work = nil
	}
	l.finishTick(ctx, cmd, out)
	l.s.requestFromFleet(ctx, &out.Fleet)
}

// finishTick commits what a tick decided and records it.
func (l *leader) finishTick(ctx context.Context, cmd *dcstate.Command, out *systems.Output) {
	if cmd.Work == nil && len(cmd.Slots) == 0 {
		l.settle(out, &work.Result{})
		return
	}
	r, err := l.commit(ctx, cmd)
	if err != nil {
		l.s.log.Warn("tick was not committed", zap.Error(err))
		l.group.View(func(replicaStatus) { out.Abandon() })
		return
	}
	if r.Work == nil {
		r.Work = &work.Result{}
	}
	l.s.metrics.placements.Add(float64(placed(cmd.Work) - len(r.Work.Place)))
	l.settle(out, r.Work)
}

func placed(c *work.Command) int {
	if c == nil {
		return 0
	}
	return len(c.Place)
}

// settle records the decisions and wakes the workers they concern.
func (l *leader) settle(out *systems.Output, r *work.Result) {
	l.group.View(func(replicaStatus) {
		out.Commit(l.s.account, r)
		if l.workers != nil {
			l.workers.Notify(concerned(l.state.Work, out.Command)...)
		}
	})
}

// concerned lists the workers that a command has orders for.
func concerned(state *work.State, c *work.Command) []model.WorkerID {
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
				if t.Holds() {
					ids = append(ids, t.Worker)
				}
			}
		}
	}
	return ids
}

// begin commits what must stand before a tick: this leader's epoch, the
// rebuilding of lost tables, a longer worker lease. It reports whether there
// was such a command.
func (l *leader) begin(ctx context.Context) bool {
	var c *dcstate.Command
	l.lead(func(clock.Instant) { c = l.beginCommand() })
	if c == nil {
		return false
	}
	if _, err := l.commit(ctx, c); err != nil {
		l.s.log.Warn("leader could not begin", zap.Error(err))
	}
	return true
}

func (l *leader) beginCommand() *dcstate.Command {
	c := l.workers.Prepare()
	// The rebuilding goes first: no worker may be told anything before it.
	if l.generation > 1 && l.state.Work.Generation() != l.generation {
		c = &work.Command{Epoch: l.epoch(), Rebuild: &work.Rebuild{Generation: l.generation}}
	}
	if c == nil {
		return nil
	}
	return &dcstate.Command{NowMillis: l.nowMillis(), Work: c}
}

// input gathers what one tick depends on.
func (l *leader) input(now clock.Instant, v *fleetView) *systems.Input {
	return &systems.Input{
		NowMillis:     l.nowMillis(),
		Epoch:         l.epoch(),
		Member:        string(l.s.cfg.VM),
		State:         l.state.Work,
		View:          l.s.tickView(v),
		Lost:          l.workers.Expired(now),
		RebuildOver:   l.workers.TablesFilled(now),
		Usable:        l.workers.Usable,
		MayStart:      l.s.leases.valid(now),
		Memory:        l.memory,
		Decide:        placement.Decide,
		MaxPlacements: maxPlacements,
	}
}
