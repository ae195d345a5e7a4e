package control

import (
	"context"
	"fmt"
	"time"

	"kumquatwing/internal/api"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/dcstate"
	"kumquatwing/internal/ledger"
	"kumquatwing/internal/model"
	"kumquatwing/internal/replica"
	"kumquatwing/internal/slots"
	"kumquatwing/internal/verdict"
)

const (
	// topicSlotSync passes an entry's sync on to the data centre's leader.
	topicSlotSync = "dc.slot-sync"
	// slotSyncTimeout bounds the leader's part of a sync.
	slotSyncTimeout = time.Second
)

// replicaStatus shortens the signature of functions run by Group.View.
type replicaStatus = replica.Status

// handleEntrySync answers the kqentry of this VM: the settings lease and the
// view from here, the slots from the data centre's leader.
func (s *Server) handleEntrySync(ctx context.Context, req *api.EntrySync) (*api.EntryState, error) {
	out, err := s.syncSlots(ctx, req)
	if err != nil {
		out = &api.EntryState{Refusal: verdict.From(err)}
	}
	v := s.fleetView()
	out.Revision = v.revision
	if req.Revision != v.revision || req.Revision == 0 {
		out.View = v.entry
	}
	out.Remote = s.remoteEntries(v)
	grant := s.leases.grant(&api.LeaseRenew{
		Holder: fmt.Sprintf("entry/%s/%s", req.Entry, req.Incarnation), DC: s.cfg.DC, Applied: req.Revision,
	})
	out.LeaseMillis = grant.LeaseMillis
	return out, nil
}

// remoteEntries lists the entry VMs of other data centres. Those of one that is
// out are among them, since they pass their callers' requests on.
func (s *Server) remoteEntries(v *fleetView) []api.RemoteEntry {
	outside := map[model.DCID]bool{}
	for _, dc := range v.entry.DataCentres {
		outside[dc.ID] = dc.Out
	}
	var out []api.RemoteEntry
	for _, m := range v.members {
		if m.DC != s.cfg.DC && m.EntryAddr != "" {
			out = append(out, api.RemoteEntry{VM: m.VM, DC: m.DC, Addr: m.EntryAddr, Out: outside[m.DC]})
		}
	}
	return out
}

// syncSlots asks the data centre's leader, here or elsewhere.
func (s *Server) syncSlots(ctx context.Context, req *api.EntrySync) (*api.EntryState, error) {
	if st := s.dcStatus(); st.IsLeader() {
		return s.handleSlotSync(ctx, req)
	}
	addr, refusal := s.dcLeaderAddr()
	if refusal != nil {
		return nil, refusal
	}
	ctx, cancel := context.WithTimeout(ctx, slotSyncTimeout)
	defer cancel()
	out := &api.EntryState{}
	return out, s.wire.Call(ctx, addr, topicSlotSync, req, out)
}

// handleSlotSync renews the slot lease of an entry as the data centre's leader.
func (s *Server) handleSlotSync(ctx context.Context, req *api.EntrySync) (*api.EntryState, error) {
	l := s.dc.leader()
	if l == nil {
		return nil, errNotLeader(s.cfg.DC)
	}
	var cmds []*slots.Command
	var reply slots.Reply
	c := &dcstate.Command{}
	refusal := l.view(func(now clock.Instant) {
		c.NowMillis = l.nowMillis()
		cmds, reply = l.slots.Sync(now, req)
	})
	if refusal != nil {
		return nil, refusal
	}
	if len(cmds) > 0 {
		c.Slots = cmds
		if _, err := l.commit(ctx, c); err != nil {
			return nil, err
		}
	}
	out := &api.EntryState{}
	refusal = l.view(func(now clock.Instant) {
		out.Generation = l.generation
		out.GroupMillis = l.nowMillis()
		reply(now, out)
	})
	if refusal != nil {
		return nil, refusal
	}
	return out, nil
}

// handleRecordBegin records a request, or finds its record, in the data centre
// that its id names.
func (s *Server) handleRecordBegin(ctx context.Context, req *api.RecordBegin) (*api.RecordReply, error) {
	r, err := callHome(ctx, s, req.ID, api.TopicRecord, req, func(ctx context.Context, l *leader) (*api.RecordReply, error) {
		return l.record(ctx, &ledger.Command{Begin: req})
	})
	return r, err
}

// handleRecordFinish closes a record in the data centre that its id names.
func (s *Server) handleRecordFinish(ctx context.Context, req *api.RecordFinish) (*api.RecordReply, error) {
	return callHome(ctx, s, req.ID, api.TopicFinish, req, func(ctx context.Context, l *leader) (*api.RecordReply, error) {
		return l.record(ctx, &ledger.Command{Finish: req})
	})
}

// record commits one change of the ledger.
func (l *leader) record(ctx context.Context, c *ledger.Command) (*api.RecordReply, error) {
	var nowMillis int64
	if refusal := l.view(func(clock.Instant) { nowMillis = l.nowMillis() }); refusal != nil {
		return nil, refusal
	}
	r, err := l.commit(ctx, &dcstate.Command{NowMillis: nowMillis, Ledger: c})
	if err != nil {
		return nil, err
	}
	if r.Ledger.Refusal != nil {
		return nil, r.Ledger.Refusal
	}
	if r.Ledger.Reply == nil {
		return &api.RecordReply{}, nil
	}
	return r.Ledger.Reply, nil
}

// callHome runs a ledger call at the leader of the data centre that the
// request's id names: here, at the leader of this data centre, or at any
// member of the other one, which passes it on.
func callHome[Req any](ctx context.Context, s *Server, text model.RequestID, topic string, req *Req,
	here func(context.Context, *leader) (*api.RecordReply, error),
) (*api.RecordReply, error) {
	id, err := ledger.Parse(text)
	if err != nil {
		return nil, err
	}
	if id.DC == s.cfg.DC {
		if st := s.dcStatus(); st.IsLeader() {
			return here(ctx, s.dc.leader())
		}
		addr, refusal := s.dcLeaderAddr()
		if refusal != nil {
			return nil, refusal
		}
		out := &api.RecordReply{}
		return out, s.wire.Call(ctx, addr, topic, req, out)
	}
	return callMembers(ctx, s, id.DC, topic, req)
}

// callMembers tries the members of another data centre one after the other. It
// goes on only while the call has certainly not run.
func callMembers[Req any](ctx context.Context, s *Server, dc model.DCID, topic string, req *Req) (*api.RecordReply, error) {
	var last error = verdict.Refuse(verdict.ReasonUnreachable, "no member of data centre %s is known", dc)
	for _, m := range s.fleetView().members {
		if m.DC != dc {
			continue
		}
		out := &api.RecordReply{}
		last = s.wire.Call(ctx, m.WireAddr, topic, req, out)
		if last == nil {
			return out, nil
		}
		if verdict.From(last).Verdict != verdict.NotRun {
			return nil, last
		}
	}
	return nil, last
}
