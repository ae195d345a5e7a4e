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

// leaderState is the soft state for leading one generation of a data centre group.
// clock and the fields from term on are used on the group's member goroutine only. The
// latter are reset in each term that this member leads.
type leaderState struct {
	s          *Server
	node       *replica.Node
	state      *dcstate.State
	generation uint64
	clock      groupClock

	term      uint64
	workers   *workerapi.Leader
	slots     *slots.Leader
	tickState *systems.LeaderState
}

func newLeaderState(s *Server, node *replica.Node, state *dcstate.State, generation uint64) *leaderState {
	return &leaderState{s: s, node: node, state: state, generation: generation, clock: groupClock{clock: s.clock}}
}

// viewInEpoch runs fn on the group's member goroutine if this member leads with a valid
// lease and the state has the epoch of its term. No command of an earlier leader can
// then be applied after fn has decided. Otherwise it returns a refusal.
func (l *leaderState) viewInEpoch(fn func(now clock.Instant)) *verdict.Refusal {
	refusal := errNotLeader(l.s.cfg.DC)
	l.viewAsLeader(func(now clock.Instant) {
		if l.state.Work.Epoch() == l.epoch() {
			refusal = nil
			fn(now)
		}
	})
	return refusal
}

// viewAsLeader runs fn on the group's member goroutine if this member leads with a
// valid lease and has applied all commands that earlier leaders committed.
func (l *leaderState) viewAsLeader(fn func(now clock.Instant)) {
	l.node.View(func(st replica.Status) {
		if !st.IsLeader() || st.Applied < st.Commit {
			return
		}
		now := l.s.clock.Now()
		l.takeOver(st, now)
		fn(now)
	})
}

func errNotLeader(dc model.DCID) *verdict.Refusal {
	return verdict.Refuse(verdict.ReasonNotLeader, "this member does not lead data centre %s", dc).WithRetryAfter(retryNoLeader)
}

// takeOver resets the soft state at the first call in a term and updates its
// settings at the others.
func (l *leaderState) takeOver(st replica.Status, now clock.Instant) {
	if l.term == st.Term {
		l.workers.SetPolicy(l.workerPolicy())
		l.slots.SetSettings(l.slotSettings())
		return
	}
	l.term = st.Term
	epoch := model.NewEpoch(l.generation, st.Term)
	l.workers = workerapi.NewLeader(l.state.Work, epoch, l.workerPolicy(), now)
	l.slots = slots.NewLeader(l.state.Slots, l.margin())
	l.slots.SetSettings(l.slotSettings())
	l.slots.TakeOver(now, st.Term, l.longestSlotUse())
	l.tickState = systems.NewLeaderState()
}

// epoch returns the epoch that this leader's commands carry. Commands of earlier
// epochs are rejected.
func (l *leaderState) epoch() model.Epoch { return model.NewEpoch(l.generation, l.term) }

// nowMillis returns the group's time.
func (l *leaderState) nowMillis() int64 { return l.clock.now(l.term, l.state.NowMillis()) }

// duration returns a setting of this data centre.
func (l *leaderState) duration(name settings.Name) time.Duration {
	v := l.s.fleet.view.Load()
	d, _ := v.tree.Duration(v.scope(), name)
	return d
}

func (l *leaderState) margin() time.Duration { return l.duration(settings.ClockMargin) }

func (l *leaderState) slotSettings() slots.Settings {
	return slots.Settings{SlotLease: l.duration(settings.SlotLease), ServerTimeout: l.duration(settings.ServerSilence)}
}

// longestSlotUse returns how long an entry VM may still use slots that an earlier
// leader granted: the slot lease, followed by the longest deadline of a request sent
// under it. It is 0 for the first leader of a first generation, which has no
// predecessor.
func (l *leaderState) longestSlotUse() time.Duration {
	if l.generation == 1 && !l.state.Slots.GrantsAllowed() {
		return 0
	}
	tree := l.s.fleet.view.Load().tree
	return tree.LongestDuration(settings.SlotLease) + tree.LongestDuration(settings.RequestDeadline)
}

func (l *leaderState) workerPolicy() workerapi.Policy {
	v := l.s.fleet.view.Load()
	headroom, _ := v.tree.Int(v.scope(), settings.Headroom)
	return workerapi.Policy{
		Lease:           l.duration(settings.WorkerLease),
		MaxEarlierLease: v.tree.LongestDuration(settings.WorkerLease),
		Margin:          l.margin(),
		HeadroomPercent: headroom,
		Retry:           v.retry,
	}
}

// retry returns how often a failed task of the job is retried, and the first back-off.
func (v *fleetView) retry(j *work.Job) (int, time.Duration) {
	scope := v.scope()
	scope.Workspace, scope.Workload = j.Spec.Workspace, j.Spec.Workload
	retries, _ := v.tree.Int(scope, settings.TaskRetries)
	backoff, _ := v.tree.Duration(scope, settings.TaskBackoff)
	return int(retries), backoff
}

// commit proposes one command and returns its result.
func (l *leaderState) commit(ctx context.Context, c *dcstate.Command) (*dcstate.Result, error) {
	body, err := dcstate.Encode(c)
	if err != nil {
		return nil, verdict.Refuse(verdict.ReasonInternal, "command can't be encoded: %v", err)
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	out, err := l.node.Propose(ctx, body)
	if err != nil {
		return nil, err
	}
	return dcstate.DecodeResult(out)
}

// leaseStatus returns the state at now of the leases that the orders to workers
// depend on. While the data centre is out of service, no task may start.
func (l *leaderState) leaseStatus(now clock.Instant) workerapi.LeaseStatus {
	status := workerapi.LeaseStatus{LeaderLeaseValid: true}
	if !l.s.fleet.view.Load().dataCentre.Out {
		status.SettingsLeaseRemaining = l.s.leases.ownLease.Remaining(now)
	}
	return status
}
