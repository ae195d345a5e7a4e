package control

import (
	"context"
	"time"

	"kumquatwing/internal/clock"
	"kumquatwing/internal/dcstate"
	"kumquatwing/internal/model"
	"kumquatwing/internal/replica"
	"kumquatwing/internal/settings"
	"kumquatwing/internal/slots"
	"kumquatwing/internal/systems"
	"kumquatwing/internal/verdict"
	"kumquatwing/internal/work"
	"kumquatwing/internal/workerapi"
)

// commitTimeout bounds the commit of one command of a data centre group.
const commitTimeout = 3 * time.Second

// leader is the soft state that a member keeps for its group. It is read and
// changed on the group's goroutine alone, and reset in each term that this
// member leads.
type leader struct {
	s          *Server
	group      *replica.Node
	state      *dcstate.State
	generation uint64
	clock      groupClock

	term    uint64
	workers *workerapi.Leader
	slots   *slots.Leader
	memory  *systems.Memory
}

func newLeader(s *Server, g *replica.Node, state *dcstate.State, generation uint64) *leader {
	return &leader{s: s, group: g, state: state, generation: generation, clock: groupClock{clock: s.clock}}
}

// view runs fn on the group's goroutine if this member leads with a valid
// lease and its epoch is in force, so that no command of a predecessor can
// come after what fn decides.
func (l *leader) view(fn func(now clock.Instant)) *verdict.Refusal {
	refusal := errNotLeader(l.s.cfg.DC)
	l.lead(func(now clock.Instant) {
		if l.state.Work.Epoch() == l.epoch() {
			refusal = nil
			fn(now)
		}
	})
	return refusal
}

// lead runs fn on the group's goroutine if this member leads with a valid lease
// and has applied all that its predecessors committed.
func (l *leader) lead(fn func(now clock.Instant)) {
	l.group.View(func(st replica.Status) {
		if !st.IsLeader() || st.Applied < st.Commit {
			return
		}
		now := l.s.clock.Now()
		l.takeOver(st, now)
		fn(now)
	})
}

func errNotLeader(dc model.DCID) *verdict.Refusal {
	return verdict.Refuse(verdict.ReasonNotLeader, "this member does not lead data centre %s", dc).RetryIn(retryNoLeader)
}

// takeOver resets the soft state once per term.
func (l *leader) takeOver(st replica.Status, now clock.Instant) {
	if l.term == st.Term {
		l.workers.SetPolicy(l.workerPolicy())
		l.slots.Set(l.slotTerms())
		return
	}
	l.term = st.Term
	epoch := model.NewEpoch(l.generation, st.Term)
	l.workers = workerapi.NewLeader(l.state.Work, epoch, l.workerPolicy(), now)
	l.slots = slots.NewLeader(l.state.Slots, l.margin())
	l.slots.Set(l.slotTerms())
	l.slots.TakeOver(now, st.Term, l.longestSlotUse())
	l.memory = systems.NewMemory()
}

// epoch fences this leader's decisions.
func (l *leader) epoch() model.Epoch { return model.NewEpoch(l.generation, l.term) }

// nowMillis is the group's time.
func (l *leader) nowMillis() int64 { return l.clock.now(l.term, l.state.NowMillis()) }

func (l *leader) duration(name settings.Name) time.Duration {
	v := l.s.fleet.view.Load()
	d, _ := v.tree.Duration(v.scope(), name)
	return d
}

func (l *leader) margin() time.Duration { return l.duration(settings.ClockMargin) }

func (l *leader) slotTerms() slots.Terms {
	return slots.Terms{SlotLease: l.duration(settings.SlotLease), Silence: l.duration(settings.ServerSilence)}
}

// longestSlotUse is how long an entry VM may act on slots that a predecessor
// lent: its lease, and after it the longest request sent under it. The first
// leader of a first generation has no predecessor.
func (l *leader) longestSlotUse() time.Duration {
	if l.generation == 1 && !l.state.Slots.Opened() {
		return 0
	}
	tree := l.s.fleet.view.Load().tree
	return tree.LongestDuration(settings.SlotLease) + tree.LongestDuration(settings.RequestDeadline)
}

func (l *leader) workerPolicy() workerapi.Policy {
	v := l.s.fleet.view.Load()
	headroom, _ := v.tree.Int(v.scope(), settings.Headroom)
	return workerapi.Policy{
		Lease:           l.duration(settings.WorkerLease),
		Longest:         v.tree.LongestDuration(settings.WorkerLease),
		Margin:          l.margin(),
		HeadroomPercent: headroom,
		Retry:           v.retry,
	}
}

// retry returns how often and how soon a failed task of a job is started again.
func (v *fleetView) retry(j *work.Job) (int, time.Duration) {
	scope := v.scope()
	scope.Workspace, scope.Workload = j.Spec.Workspace, j.Spec.Workload
	retries, _ := v.tree.Int(scope, settings.TaskRetries)
	backoff, _ := v.tree.Duration(scope, settings.TaskBackoff)
	return int(retries), backoff
}

// commit proposes one command and returns its result.
func (l *leader) commit(ctx context.Context, c *dcstate.Command) (*dcstate.Result, error) {
	body, err := dcstate.Encode(c)
	if err != nil {
		return nil, verdict.Refuse(verdict.ReasonInternal, "command can't be encoded: %v", err)
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	out, err := l.group.Propose(ctx, body)
	if err != nil {
		return nil, err
	}
	return dcstate.DecodeResult(out)
}

// gate says what workers may be told at now.
func (l *leader) gate(now clock.Instant) workerapi.Gate {
	g := workerapi.Gate{Leads: true}
	if !l.s.fleet.view.Load().out.Out {
		g.MayStart = l.s.leases.held.Left(now)
	}
	return g
}
