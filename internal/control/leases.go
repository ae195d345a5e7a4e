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
	// renewsPerTerm is how often a lease is renewed within its term.
	renewsPerTerm = 4
	// renewTimeout bounds one renewal.
	renewTimeout = 500 * time.Millisecond
)

// settingsLeases is this process's place in the tree of settings leases. It is
// safe for concurrent use.
type settingsLeases struct {
	s    *Server
	held lease.Held

	mu sync.Mutex
	// root grants to data centres' leaders while this process leads the fleet
	// group; rootTerm is the term it took over in.
	root     *lease.Relay
	rootTerm uint64
	// relay grants to the processes below this one.
	relay *lease.Relay
}

func newSettingsLeases(s *Server) *settingsLeases {
	margin := time.Duration(settings.Schema(settings.ClockMargin).Default.Int) * time.Millisecond
	return &settingsLeases{s: s, root: lease.NewRelay(margin), relay: lease.NewRelay(margin)}
}

// term returns the lease's term for a data centre.
func (l *settingsLeases) term(dc model.DCID) time.Duration {
	v := l.s.fleetView()
	scope := v.scope()
	if dc != l.s.cfg.DC {
		scope = settings.Scope{DC: dc, Region: v.regionOf(dc)}
	}
	d, _ := v.tree.Duration(scope, settings.SettingsLease)
	return d
}

// valid reports whether this process may act on the settings at now. It is
// called right before each act.
func (l *settingsLeases) valid(now clock.Instant) bool { return l.held.Valid(now) }

// run renews the lease of this process until ctx ends.
func (l *settingsLeases) run(ctx context.Context) {
	for {
		l.renew(ctx)
		select {
		case <-time.After(l.term(l.s.cfg.DC) / renewsPerTerm):
		case <-l.s.fleetChanged():
		case <-ctx.Done():
			return
		}
	}
}

// renew asks the next process up the tree for the lease.
func (l *settingsLeases) renew(ctx context.Context) {
	asked := l.s.clock.Now()
	own := l.s.fleetView().revision
	l.mu.Lock()
	l.relay.Arrived(asked, own)
	applied := l.relay.Confirmed(asked, own)
	l.mu.Unlock()
	req := &api.LeaseRenew{Holder: l.s.holderName(), DC: l.s.cfg.DC, Applied: applied}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	grant, err := l.ask(ctx, req)
	if err != nil {
		return
	}
	l.held.Extend(asked, time.Duration(grant.LeaseMillis)*time.Millisecond)
}

// ask sends a renewal to the leader of the data centre or, from there, to the
// fleet's leader.
func (l *settingsLeases) ask(ctx context.Context, req *api.LeaseRenew) (*api.LeaseGrant, error) {
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

// handleRenew answers a renewal from a process below this one.
func (l *settingsLeases) handleRenew(_ context.Context, req *api.LeaseRenew) (*api.LeaseGrant, error) {
	if req.DC == l.s.cfg.DC && l.s.dcStatus().IsLeader() {
		return l.grant(req), nil
	}
	if l.s.fleetStatus().IsLeader() {
		return l.grantRoot(req)
	}
	return nil, verdict.Refuse(verdict.ReasonNotLeader, "%s leads neither %s nor the fleet", l.s.cfg.VM, req.DC)
}

// grant lends a part of this process's own lease.
func (l *settingsLeases) grant(req *api.LeaseRenew) *api.LeaseGrant {
	own := l.s.fleetView().revision
	term := l.term(req.DC)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.s.clock.Now()
	l.relay.Arrived(now, own)
	granted := l.relay.Renew(now, req.Holder, req.DC, req.Applied, min(term, l.held.Left(now)))
	return &api.LeaseGrant{LeaseMillis: granted.Milliseconds(), Revision: own}
}

// grantRoot grants a lease as the fleet's leader.
func (l *settingsLeases) grantRoot(req *api.LeaseRenew) (*api.LeaseGrant, error) {
	term := l.term(req.DC)
	l.mu.Lock()
	defer l.mu.Unlock()
	st := l.s.fleetStatus()
	if !st.IsLeader() || st.Applied < st.Commit {
		return nil, verdict.Refuse(verdict.ReasonNotLeader, "%s no longer leads the fleet", l.s.cfg.VM)
	}
	// The revision is read after the check, so that it holds all that a
	// predecessor may have confirmed.
	own := l.s.fleetView().revision
	now := l.s.clock.Now()
	l.takeOver(now, st, own)
	l.root.Arrived(now, own)
	granted := l.root.Renew(now, req.Holder, req.DC, req.Applied, term)
	return &api.LeaseGrant{LeaseMillis: granted.Milliseconds(), Revision: own}, nil
}

// takeOver resets the root once per term of this leader. The predecessor can
// have granted no longer lease than one that some known revision sets.
func (l *settingsLeases) takeOver(now clock.Instant, st replica.Status, revision uint64) {
	if l.rootTerm == st.Term {
		return
	}
	l.rootTerm = st.Term
	l.root.TakeOver(now, revision, l.s.fleetView().longestLease)
}

// inForce says whether every process acts on revision or newer. It is answered
// by the fleet's leader alone.
func (l *settingsLeases) inForce(revision uint64) (*api.InForce, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	st := l.s.fleetStatus()
	if !st.IsLeader() || st.Applied < st.Commit {
		return nil, verdict.Refuse(verdict.ReasonNotLeader, "%s does not lead the fleet", l.s.cfg.VM)
	}
	own := l.s.fleetView().revision
	now := l.s.clock.Now()
	l.takeOver(now, st, own)
	out := &api.InForce{Revision: revision, InForce: l.root.Confirmed(now, own) >= revision}
	if out.InForce {
		return out, nil
	}
	for _, w := range l.root.Waits(now, revision) {
		out.Waiting = append(out.Waiting, api.LeaseWait{
			Holder:     w.Holder,
			DC:         w.DC,
			Confirmed:  w.Confirmed,
			EndsMillis: w.Ends.Sub(now).Milliseconds(),
		})
	}
	return out, nil
}
