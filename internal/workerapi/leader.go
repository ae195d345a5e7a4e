// Package workerapi implements the leader's side of the worker protocol. It
// converts workers' reports into commands for the replicated state, and the
// replicated state into orders for the workers. It grants the workers' leases
// and determines when a lease has provably expired. It has no I/O and is called
// on the control thread only.
package workerapi

import (
	"cmp"
	"slices"
	"time"

	"kumquatwing/internal/api"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/lease"
	"kumquatwing/internal/model"
	"kumquatwing/internal/work"
)

// Policy holds the settings of the worker protocol.
type Policy struct {
	// Lease is the term of a worker's lease. Margin is added to the term on the
	// leader's side, to cover clock drift.
	Lease, Margin time.Duration
	// MaxEarlierLease is the longest lease term that an earlier generation of the
	// group, whose replicated state is lost, may have granted; 0 means Lease.
	MaxEarlierLease time.Duration
	// HeadroomPercent is the percentage added to reported usage.
	HeadroomPercent int64
	// Retry returns how often a failed task of the job is retried, and the first
	// back-off.
	Retry func(j *work.Job) (retries int, backoff time.Duration)
}

// LeaseStatus states which leases the group holds when Orders is called, and thus
// what Orders may grant. The caller must read them immediately before the call.
type LeaseStatus struct {
	// LeaderLeaseValid is set while the group's leader lease is valid.
	LeaderLeaseValid bool
	// SettingsLeaseRemaining is the remaining time of the settings lease. It is 0 if
	// the group holds none or the data centre is out of service.
	SettingsLeaseRemaining time.Duration
}

// Leader is the part of the group leader's state that is not replicated. It is
// not safe for concurrent use.
type Leader struct {
	state  *work.State
	policy Policy
	epoch  model.Epoch
	leases *lease.Grantor[model.WorkerID]
	// lossProposed holds the session of each worker whose loss was proposed. Its
	// lease is not renewed until the replicated state shows the loss.
	lossProposed map[model.WorkerID]uint64
	workers      map[model.WorkerID]*workerState
	skip         protection
}

// workerState is what the leader remembers of a worker's newest report.
type workerState struct {
	incarnation string
	// past lists the incarnations that were replaced by a newer one.
	past []string
	seq  uint64
	// hasUnknownRuns is set if the report listed runs that the replicated state
	// doesn't have on this worker.
	hasUnknownRuns bool
	report         *api.WorkerReport
	// wake is closed by Notify; nil if nobody waits.
	wake chan struct{}
}

// protection is a set of checks that tests disable one by one.
type protection uint32

const (
	skipSeq protection = 1 << iota
	skipLease
	skipSettingsLease
	skipLossProposed
	skipCurrent
	skipBase
)

// NewLeader returns the state of a member that became leader at now. The lease
// of every worker counts as renewed at that time.
func NewLeader(state *work.State, epoch model.Epoch, p Policy, now clock.Instant) *Leader {
	l := &Leader{
		state:        state,
		policy:       p,
		epoch:        epoch,
		leases:       lease.NewGrantor[model.WorkerID](p.Margin),
		lossProposed: map[model.WorkerID]uint64{},
		workers:      map[model.WorkerID]*workerState{},
	}
	longest := max(p.Lease, p.MaxEarlierLease, time.Duration(state.LeaseMillis())*time.Millisecond)
	l.leases.TakeOver(now, longest)
	return l
}

// SetPolicy replaces the settings. A longer lease is granted only once the
// replicated state has the new maximum; see Term.
func (l *Leader) SetPolicy(p Policy) { l.policy = p }

// Epoch returns the epoch of the leader's commands and orders.
func (l *Leader) Epoch() model.Epoch { return l.epoch }

// Term returns the term of the leases that Orders grants now. It never exceeds
// the maximum in the replicated state, which is how long a new leader waits.
func (l *Leader) Term() time.Duration {
	return min(l.policy.Lease, time.Duration(l.state.LeaseMillis())*time.Millisecond)
}

// Prepare returns the command that must be applied before the leader may grant
// leases or declare workers lost, or nil if there is none. Once it is applied,
// commands of earlier leaders have no effect. If the lease setting was raised,
// the command also raises the maximum lease term in the replicated state.
func (l *Leader) Prepare() *work.Command {
	millis := max(l.policy.Lease.Milliseconds(), l.state.LeaseMillis())
	if l.epochApplied() && millis == l.state.LeaseMillis() {
		return nil
	}
	return &work.Command{Epoch: l.epoch, LeaseTerm: &work.SetLeaseTerm{Millis: millis}}
}

// epochApplied reports whether this leader's epoch is the newest in the
// replicated state.
func (l *Leader) epochApplied() bool { return l.state.Epoch() == l.epoch }

// TakeoverLeasesExpired reports whether every worker that held a lease when the leader
// took over has by now either reported or lost that lease.
func (l *Leader) TakeoverLeasesExpired(now clock.Instant) bool {
	return l.leases.Expired("", now)
}

// Expired lists the workers whose leases have provably expired. It marks them, so
// that no report renews their leases before the replicated state shows the loss.
// The caller must propose the returned losses.
func (l *Leader) Expired(now clock.Instant) []work.WorkerLost {
	if !l.epochApplied() {
		return nil
	}
	var lost []work.WorkerLost
	for _, w := range l.state.Workers() {
		if w.State == model.WorkerLost {
			delete(l.lossProposed, w.ID)
			continue
		}
		if !l.leaseExpired(w.ID, now) {
			continue
		}
		l.lossProposed[w.ID] = w.Session
		lost = append(lost, work.WorkerLost{Worker: w.ID, Session: w.Session, Reason: work.ReasonWorkerLost})
	}
	return lost
}

// Usable reports whether the worker may get new tasks: it has reported to this
// leader, and it runs nothing that the replicated state doesn't have there.
func (l *Leader) Usable(id model.WorkerID) bool {
	s := l.workers[id]
	return s != nil && s.report != nil && !s.hasUnknownRuns
}

// leaseExpired reports whether the worker's lease has provably expired at now.
func (l *Leader) leaseExpired(id model.WorkerID, now clock.Instant) bool {
	if l.skip&skipLease != 0 && l.workers[id] == nil {
		return true
	}
	return l.leases.Expired(id, now)
}

// Wake returns a channel that is closed when there may be new orders for the
// worker. To miss no notification, the caller must get the channel before it
// calls Orders.
func (l *Leader) Wake(id model.WorkerID) <-chan struct{} {
	s := l.ensureWorker(id)
	if s.wake == nil {
		s.wake = make(chan struct{})
	}
	return s.wake
}

// Notify wakes the callers that wait for orders of the given workers.
func (l *Leader) Notify(ids ...model.WorkerID) {
	for _, id := range ids {
		if s := l.workers[id]; s != nil && s.wake != nil {
			close(s.wake)
			s.wake = nil
		}
	}
}

// NotifyAll wakes all callers that wait for orders, when the leader steps down.
func (l *Leader) NotifyAll() {
	for _, s := range l.workers {
		if s.wake != nil {
			close(s.wake)
			s.wake = nil
		}
	}
}

// LeaseExpiry returns when the worker's lease will have provably expired. It is
// shown in the status.
func (l *Leader) LeaseExpiry(id model.WorkerID) clock.Instant { return l.leases.Expiry(id) }

// ensureWorker returns the state of the worker, which it creates if needed.
func (l *Leader) ensureWorker(id model.WorkerID) *workerState {
	s := l.workers[id]
	if s == nil {
		s = &workerState{}
		l.workers[id] = s
	}
	return s
}

// compareRuns orders runs by task and attempt.
func compareRuns(a, b api.RunID) int {
	return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
}

// setIncarnation makes id the worker's current incarnation and adds those of
// others that differ from it to the past ones, whose reports are refused.
func (s *workerState) setIncarnation(id string, others ...string) {
	for _, old := range others {
		if old != "" && old != id && !slices.Contains(s.past, old) {
			s.past = append(s.past, old)
		}
	}
	if over := len(s.past) - maxPast; over > 0 {
		s.past = slices.Delete(s.past, 0, over)
	}
	s.incarnation = id
}

// maxPast is the maximum number of past incarnations kept for a worker.
const maxPast = 8

// sortRuns sorts runs and removes duplicates.
func sortRuns(runs []api.RunID) []api.RunID {
	slices.SortFunc(runs, compareRuns)
	return slices.Compact(runs)
}
