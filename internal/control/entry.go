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
	// topicSlotSync forwards the sync of an entry VM to the leader of the data centre
	// group.
	topicSlotSync = "dc.slot-sync"
	// slotSyncTimeout bounds the call to the leader for a sync.
	slotSyncTimeout = time.Second
)

// replicaStatus shortens the signature of functions that are passed to
// replica.Node.View.
type replicaStatus = replica.Status

// handleEntrySync answers the sync of this VM's kqentry. The settings lease and the
// view of the fleet come from this process, the slots from the leader of the data
// centre group.
func (s *Server) handleEntrySync(ctx context.Context, req *api.EntrySync) (*api.EntryState, error) {
	out, err := s.syncSlots(ctx, req)
	if err != nil {
		out = &api.EntryState{Refusal: verdict.FromError(err)}
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

// remoteEntries lists the entry VMs of other data centres. Data centres that are out
// of service are included, since their entry VMs still forward requests.
func (s *Server) remoteEntries(v *fleetView) []api.RemoteEntry {
	outOfService := map[model.DCID]bool{}
	for _, dc := range v.entry.DataCentres {
		outOfService[dc.ID] = dc.Out
	}
	var out []api.RemoteEntry
	for _, m := range v.members {
		if m.DC != s.cfg.DC && m.EntryAddr != "" {
			out = append(out, api.RemoteEntry{VM: m.VM, DC: m.DC, Addr: m.EntryAddr, Out: outOfService[m.DC]})
		}
	}
	return out
}

// syncSlots has the leader of the data centre group process the sync. The leader may
// be this process.
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

// handleSlotSync processes a sync as the leader of the data centre group: it renews
// the slot lease of the entry VM and returns its slots.
func (s *Server) handleSlotSync(ctx context.Context, req *api.EntrySync) (*api.EntryState, error) {
	l := s.dc.leaderState()
	if l == nil {
		return nil, errNotLeader(s.cfg.DC)
	}
	var cmds []*slots.Command
	var reply slots.Reply
	c := &dcstate.Command{}
	refusal := l.viewInEpoch(func(now clock.Instant) {
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
	refusal = l.viewInEpoch(func(now clock.Instant) {
		out.Generation = l.generation
		out.GroupMillis = l.nowMillis()
		reply(now, out)
	})
	if refusal != nil {
		return nil, refusal
	}
	return out, nil
}

// handleRecordBegin creates the record of a request, or finds the existing one, in
// the data centre that the request's id names.
func (s *Server) handleRecordBegin(ctx context.Context, req *api.RecordBegin) (*api.RecordReply, error) {
	r, err := callRecordLeader(ctx, s, req.ID, api.TopicRecordBegin, req, func(ctx context.Context, l *leaderState) (*api.RecordReply, error) {
		return l.commitRecord(ctx, &ledger.Command{Begin: req})
	})
	return r, err
}

// handleRecordFinish finishes a record in the data centre that its id names.
func (s *Server) handleRecordFinish(ctx context.Context, req *api.RecordFinish) (*api.RecordReply, error) {
	return callRecordLeader(ctx, s, req.ID, api.TopicRecordFinish, req, func(ctx context.Context, l *leaderState) (*api.RecordReply, error) {
		return l.commitRecord(ctx, &ledger.Command{Finish: req})
	})
}

// commitRecord commits one command of the ledger and returns its reply.
func (l *leaderState) commitRecord(ctx context.Context, c *ledger.Command) (*api.RecordReply, error) {
	var nowMillis int64
	if refusal := l.viewInEpoch(func(clock.Instant) { nowMillis = l.nowMillis() }); refusal != nil {
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

// callRecordLeader runs a ledger call at the leader of the data centre that the
// request's id names. If that is this data centre, the call runs here or is sent to
// the leader; otherwise it is sent to the members of the other data centre, each of
// which forwards it to its leader.
func callRecordLeader[Req any](ctx context.Context, s *Server, requestID model.RequestID, topic string, req *Req,
	local func(context.Context, *leaderState) (*api.RecordReply, error),
) (*api.RecordReply, error) {
	id, err := ledger.Parse(requestID)
	if err != nil {
		return nil, err
	}
	if id.DC == s.cfg.DC {
		if st := s.dcStatus(); st.IsLeader() {
			return local(ctx, s.dc.leaderState())
		}
		addr, refusal := s.dcLeaderAddr()
		if refusal != nil {
			return nil, refusal
		}
		out := &api.RecordReply{}
		return out, s.wire.Call(ctx, addr, topic, req, out)
	}
	return callAnyMember(ctx, s, id.DC, topic, req)
}

// callAnyMember calls the members of another data centre one after the other until
// one succeeds. It tries the next only if the call was certainly not run.
func callAnyMember[Req any](ctx context.Context, s *Server, dc model.DCID, topic string, req *Req) (*api.RecordReply, error) {
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
		if verdict.FromError(last).Verdict != verdict.NotRun {
			return nil, last
		}
	}
	return nil, last
}
