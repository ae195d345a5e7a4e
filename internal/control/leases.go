package control

import (
	"context"
	"sync"
	"time"

	"kumquatwing/internal/api"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/lease"
	"kumquatwing/internal/model"
	"kumquatwing/internal/replica"
	"kumquatwing/internal/settings"
	"kumquatwing/internal/verdict"
)

const (
	// renewalsPerLease is how often a lease is renewed within its duration.
	renewalsPerLease = 4
	// renewTimeout bounds one renewal.
	renewTimeout = 500 * time.Millisecond
)

// settingsLeases holds this process's settings lease and those that it grants. The
// leases form a tree from the leader of the fleet group through the leaders of the
// data centre groups to every process. It is safe for concurrent use.
type settingsLeases struct {
	s *Server
	// ownLease is the settings lease of this process.
	ownLease lease.Lease

	// mu protects root, rootTerm and relay.
	mu sync.Mutex
	// root grants leases to the leaders of the data centre groups while this process
	// leads the fleet group; rootTerm is the term in which it last took over.
	root     *lease.Relay
	rootTerm uint64
	// relay grants leases to the processes below this one in the tree.
	relay *lease.Relay
}

func newSettingsLeases(s *Server) *settingsLeases {
	margin := time.Duration(settings.Schema(settings.ClockMargin).Default.Int) * time.Millisecond
	return &settingsLeases{s: s, root: lease.NewRelay(margin), relay: lease.NewRelay(margin)}
}

// leaseDuration returns the duration of a settings lease in a data centre.
func (l *settingsLeases) leaseDuration(dc model.DCID) time.Duration {
	v := l.s.fleetView()
	scope := v.scope()
	if dc != l.s.cfg.DC {
		scope = settings.Scope{DC: dc, Region: v.regionOf(dc)}
	}
	d, _ := v.tree.Duration(scope, settings.SettingsLease)
	return d
}

// valid reports whether this process may act on the settings at now. It must be
// called immediately before each such action.
func (l *settingsLeases) valid(now clock.Instant) bool { return l.ownLease.Valid(now) }

// run renews the lease of this process until ctx is done.
func (l *settingsLeases) run(ctx context.Context) {
	for {
		l.renew(ctx)
		select {
		case <-time.After(l.leaseDuration(l.s.cfg.DC) / renewalsPerLease):
		case <-l.s.revisionChanged():
		case <-ctx.Done():
			return
		}
	}
}

// renew requests a renewal from the parent in the tree and extends the lease, which
// counts from before the request was sent.
func (l *settingsLeases) renew(ctx context.Context) {
	requestedAt := l.s.clock.Now()
	ownRevision := l.s.fleetView().revision
	l.mu.Lock()
	l.relay.RecordApplied(requestedAt, ownRevision)
	applied := l.relay.Confirmed(requestedAt, ownRevision)
	l.mu.Unlock()
	req := &api.LeaseRenew{Holder: l.s.holderName(), DC: l.s.cfg.DC, Applied: applied}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	grant, err := l.requestRenewal(ctx, req)
	if err != nil {
		return
	}
	l.ownLease.Extend(requestedAt, time.Duration(grant.LeaseMillis)*time.Millisecond)
}

// requestRenewal sends a renewal to the leader of the data centre group or, if this
// process is the leader, to the leader of the fleet group.
func (l *settingsLeases) requestRenewal(ctx context.Context, req *api.LeaseRenew) (*api.LeaseGrant, error) {
	dc := l.s.dcStatus()
	if !dc.IsLeader() {
		if m, ok := dc.LeaderMember(); ok && m.ID != dc.Self {
			grant := &api.LeaseGrant{}
			err := l.s.wire.Call(ctx, m.Addr, api.TopicLeaseRenew, req, grant)
			return grant, err
		}
	}
	if l.s.fleetStatus().IsLeader() {
		return l.grantRoot(req)
	}
	m, ok := l.s.fleetLeader()
	if !ok {
		return nil, verdict.Refuse(verdict.ReasonNoLeader, "the fleet group has no leader")
	}
	grant := &api.LeaseGrant{}
	err := l.s.wire.Call(ctx, m.Addr, api.TopicLeaseRenew, req, grant)
	return grant, err
}

// handleRenew answers a renewal from a process below this one in the tree.
func (l *settingsLeases) handleRenew(_ context.Context, req *api.LeaseRenew) (*api.LeaseGrant, error) {
	if req.DC == l.s.cfg.DC && l.s.dcStatus().IsLeader() {
		return l.grant(req), nil
	}
	if l.s.fleetStatus().IsLeader() {
		return l.grantRoot(req)
	}
	return nil, verdict.Refuse(verdict.ReasonNotLeader, "%s leads neither %s nor the fleet", l.s.cfg.VM, req.DC)
}

// grant grants a lease that does not outlast this process's own.
func (l *settingsLeases) grant(req *api.LeaseRenew) *api.LeaseGrant {
	ownRevision := l.s.fleetView().revision
	duration := l.leaseDuration(req.DC)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.s.clock.Now()
	l.relay.RecordApplied(now, ownRevision)
	granted := l.relay.Renew(now, req.Holder, req.DC, req.Applied, min(duration, l.ownLease.Remaining(now)))
	return &api.LeaseGrant{LeaseMillis: granted.Milliseconds(), Revision: ownRevision}
}

// grantRoot grants a lease as the leader of the fleet group.
func (l *settingsLeases) grantRoot(req *api.LeaseRenew) (*api.LeaseGrant, error) {
	duration := l.leaseDuration(req.DC)
	l.mu.Lock()
	defer l.mu.Unlock()
	st := l.s.fleetStatus()
	if !st.IsLeader() || st.Applied < st.Commit {
		return nil, verdict.Refuse(verdict.ReasonNotLeader, "%s no longer leads the fleet", l.s.cfg.VM)
	}
	// The revision is read after the check, so that it is at least every revision
	// that an earlier leader may have confirmed.
	ownRevision := l.s.fleetView().revision
	now := l.s.clock.Now()
	l.takeOver(now, st, ownRevision)
	l.root.RecordApplied(now, ownRevision)
	granted := l.root.Renew(now, req.Holder, req.DC, req.Applied, duration)
	return &api.LeaseGrant{LeaseMillis: granted.Milliseconds(), Revision: ownRevision}, nil
}

// takeOver resets root once per term of this leader. An earlier leader has granted no
// lease longer than the longest one that a remembered revision sets.
func (l *settingsLeases) takeOver(now clock.Instant, st replica.Status, revision uint64) {
	if l.rootTerm == st.Term {
		return
	}
	l.rootTerm = st.Term
	l.root.TakeOver(now, revision, l.s.fleetView().longestLease)
}

// inForce reports whether every process acts on revision or a newer one, and if not,
// which leases it waits for. Only the leader of the fleet group can answer.
func (l *settingsLeases) inForce(revision uint64) (*api.InForce, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	st := l.s.fleetStatus()
	if !st.IsLeader() || st.Applied < st.Commit {
		return nil, verdict.Refuse(verdict.ReasonNotLeader, "%s does not lead the fleet", l.s.cfg.VM)
	}
	ownRevision := l.s.fleetView().revision
	now := l.s.clock.Now()
	l.takeOver(now, st, ownRevision)
	out := &api.InForce{Revision: revision, InForce: l.root.Confirmed(now, ownRevision) >= revision}
	if out.InForce {
		return out, nil
	}
	for _, w := range l.root.PendingHolders(now, revision) {
		out.Waiting = append(out.Waiting, api.PendingHolder{
			Holder:     w.Holder,
			DC:         w.DC,
			Confirmed:  w.Confirmed,
			EndsMillis: w.Ends.Sub(now).Milliseconds(),
		})
	}
	return out, nil
}
