// Package workerapi is the leader's side of the worker protocol. It turns
// reports into commands for the replicated tables, and the tables into orders.
// It grants the workers' leases and knows when one has provably ended. It has
// no I/O and is driven on the control thread.
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

// Policy holds the settings that the protocol needs.
type Policy struct {
	// Lease is the term of a worker's lease, Margin what its giver adds.
	Lease, Margin time.Duration
	// Longest is the longest term that an earlier generation of the group may
	// have granted, whose tables are lost; 0 means Lease.
	Longest time.Duration
	// HeadroomPercent is added to reported use.
	HeadroomPercent int64
	// Retry returns the retries and the first pause of a job's failed task.
	Retry func(j *work.Job) (retries int, backoff time.Duration)
}

// Gate says what the caller of Orders may grant at this moment. It must be
// taken right before the call.
type Gate struct {
	// Leads is set while the group's leader lease holds.
	Leads bool
	// MayStart is what is left of the settings lease; 0 without one, or while
	// the data centre is out.
	MayStart time.Duration
}

// Leader is the soft state of the group's leader. It is not safe for
// concurrent use.
type Leader struct {
	state  *work.State
	policy Policy
	epoch  model.Epoch
	leases *lease.Book[model.WorkerID]
	// losing holds the standing of workers whose loss was proposed: their lease
	// is not renewed before the tables show it.
	losing map[model.WorkerID]uint64
	seen   map[model.WorkerID]*seen
	skip   protection
}

// seen is what the newest report of a worker said.
type seen struct {
	incarnation string
	// past lists the incarnations that a newer one has replaced.
	past []string
	seq  uint64
	// strays is set if the report named runs that the tables don't hold there.
	strays bool
	report *api.WorkerReport
	wake   chan struct{}
}

// protection is a set of checks that tests switch off one by one.
type protection uint32

const (
	skipSeq protection = 1 << iota
	skipLease
	skipMayStart
	skipLosing
	skipCurrent
	skipBase
)

// NewLeader returns the soft state of a member that has just become leader at
// now. Every worker's lease counts as renewed at that moment.
func NewLeader(state *work.State, epoch model.Epoch, p Policy, now clock.Instant) *Leader {
	l := &Leader{
		state:  state,
		policy: p,
		epoch:  epoch,
		leases: lease.NewBook[model.WorkerID](p.Margin),
		losing: map[model.WorkerID]uint64{},
		seen:   map[model.WorkerID]*seen{},
	}
	longest := max(p.Lease, p.Longest, time.Duration(state.LeaseMillis())*time.Millisecond)
	l.leases.TakeOver(now, longest)
	return l
}

// SetPolicy puts changed settings in force. A longer lease is granted only
// once the tables show it; see Term.
func (l *Leader) SetPolicy(p Policy) { l.policy = p }

// Epoch is the one that the leader's commands and orders carry.
func (l *Leader) Epoch() model.Epoch { return l.epoch }

// Term is the lease that Orders grants now: never longer than a new leader
// would wait for.
func (l *Leader) Term() time.Duration {
	return min(l.policy.Lease, time.Duration(l.state.LeaseMillis())*time.Millisecond)
}

// Prepare returns the command that must be applied before the leader may act,
// or nil if there is none. It ends the right of earlier leaders' commands to be
// applied, and lets longer leases be granted when the setting was raised.
func (l *Leader) Prepare() *work.Command {
	millis := max(l.policy.Lease.Milliseconds(), l.state.LeaseMillis())
	if l.acts() && millis == l.state.LeaseMillis() {
		return nil
	}
	return &work.Command{Epoch: l.epoch, LeaseTerm: &work.SetLeaseTerm{Millis: millis}}
}

// acts reports whether the tables show this leader as the newest.
func (l *Leader) acts() bool { return l.state.Epoch() == l.epoch }

// TablesFilled reports whether at now every worker that was alive when the
// leader took over has reported or lost its lease.
func (l *Leader) TablesFilled(now clock.Instant) bool {
	return l.leases.Ended("", now)
}

// Expired lists workers whose leases have provably ended and marks them, so
// that no report renews them before their loss is in the tables. The caller
// must propose it.
func (l *Leader) Expired(now clock.Instant) []work.WorkerLost {
	if !l.acts() {
		return nil
	}
	var lost []work.WorkerLost
	for _, w := range l.state.Workers() {
		if w.State == model.WorkerLost {
			delete(l.losing, w.ID)
			continue
		}
		if !l.ended(w.ID, now) {
			continue
		}
		l.losing[w.ID] = w.Standing
		lost = append(lost, work.WorkerLost{Worker: w.ID, Standing: w.Standing, Reason: work.ReasonWorkerLost})
	}
	return lost
}

// Usable reports whether the worker may get new tasks: it has reported to this
// leader and runs nothing beyond what the tables account for.
func (l *Leader) Usable(id model.WorkerID) bool {
	s := l.seen[id]
	return s != nil && s.report != nil && !s.strays
}

// ended reports whether the worker's lease has provably ended at now.
func (l *Leader) ended(id model.WorkerID, now clock.Instant) bool {
	if l.skip&skipLease != 0 && l.seen[id] == nil {
		return true
	}
	return l.leases.Ended(id, now)
}

// Wake returns a channel that is closed when there may be new orders for the
// worker. It must be taken before the Orders that it backs up.
func (l *Leader) Wake(id model.WorkerID) <-chan struct{} {
	s := l.see(id)
	if s.wake == nil {
		s.wake = make(chan struct{})
	}
	return s.wake
}

// Notify wakes those who wait for orders of the workers.
func (l *Leader) Notify(ids ...model.WorkerID) {
	for _, id := range ids {
		if s := l.seen[id]; s != nil && s.wake != nil {
			close(s.wake)
			s.wake = nil
		}
	}
}

// NotifyAll wakes everyone who waits, for a leader that steps down.
func (l *Leader) NotifyAll() {
	for _, s := range l.seen {
		if s.wake != nil {
			close(s.wake)
			s.wake = nil
		}
	}
}

// LeaseEnds returns when the worker's lease has provably ended, for status.
func (l *Leader) LeaseEnds(id model.WorkerID) clock.Instant { return l.leases.End(id) }

func (l *Leader) see(id model.WorkerID) *seen {
	s := l.seen[id]
	if s == nil {
		s = &seen{}
		l.seen[id] = s
	}
	return s
}

// compareRuns orders runs by task and attempt.
func compareRuns(a, b api.RunID) int {
	return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
}

// replace notes that incarnation id reports now and older ones must not any more.
func (s *seen) replace(id string, others ...string) {
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

// maxPast bounds the incarnations kept per worker.
const maxPast = 8

// sortRuns sorts runs and drops repeats.
func sortRuns(runs []api.RunID) []api.RunID {
	slices.SortFunc(runs, compareRuns)
	return slices.Compact(runs)
}
