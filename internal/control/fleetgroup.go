package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"kumquatwing/internal/clock"
	"kumquatwing/internal/eventlog"
	"kumquatwing/internal/fleet"
	"kumquatwing/internal/model"
	"kumquatwing/internal/replica"
	"kumquatwing/internal/storage"
	"kumquatwing/internal/verdict"
)

const (
	// fleetGroupName is the name of the fleet group.
	fleetGroupName = "fleet"
	// membershipPeriod is the interval at which a process checks its members of both
	// groups and, as a leader, reconciles the group's membership.
	membershipPeriod = 300 * time.Millisecond
	// proposeTimeout bounds one step of a membership change, and one command to the
	// fleet group.
	proposeTimeout = 3 * time.Second
)

// fleetGroup is this process's part in the fleet group.
type fleetGroup struct {
	s     *Server
	store storage.Store

	// mu protects node and state.
	mu    sync.Mutex
	node  *replica.Node
	state *fleet.State

	view atomic.Pointer[fleetView]
	// revisionChanged receives a value when view has a new revision.
	revisionChanged chan struct{}
	// wasLeader and unreachable are what was last recorded as an event, and
	// leadingSince is when this process began to lead. They are used by run's goroutine
	// only.
	wasLeader    bool
	unreachable  map[model.VMID]bool
	leadingSince clock.Instant
}

// openFleetGroup opens this process's member under the identity in its store, or
// under a new identity if the store has none.
func openFleetGroup(s *Server) (*fleetGroup, replica.MemberID, error) {
	store, err := openStore(s.cfg.DataDir, fleetGroupName)
	if isCorrupt(err) {
		if err := s.renameCorruptDataDir(err); err != nil {
			return nil, 0, err
		}
		store, err = openStore(s.cfg.DataDir, fleetGroupName)
	}
	if err != nil {
		return nil, 0, err
	}
	id := replica.MemberID(store.Identity())
	if id == 0 {
		id = newMemberID()
	}
	f := &fleetGroup{s: s, store: store, revisionChanged: make(chan struct{}, 1), unreachable: map[model.VMID]bool{}}
	f.view.Store(emptyFleetView(&s.cfg))
	err = f.open(id, false)
	return f, id, err
}

// openStore opens the store of a group below dir. If dir is empty, the store is in
// memory.
func openStore(dir, group string) (storage.Store, error) {
	if dir == "" {
		return storage.NewMemory(), nil
	}
	return storage.OpenDir(filepath.Join(dir, group))
}

func removeStore(dir, group string) error {
	if dir == "" {
		return nil
	}
	return os.RemoveAll(filepath.Join(dir, group))
}

// newMemberID returns a random identity. It is never 0, which means no identity.
func newMemberID() replica.MemberID {
	return replica.MemberID(rand.Uint64() | 1)
}

// open starts the member. If bootstrap is set, it creates the fleet group with this
// process as the only voter.
func (f *fleetGroup) open(id replica.MemberID, bootstrap bool) error {
	state := fleet.New()
	node, err := replica.Open(replica.Config{
		Group:        fleetGroupName,
		Self:         replica.Member{ID: id, VM: string(f.s.cfg.VM), Addr: f.s.cfg.AdvertiseAddr},
		StateMachine: state,
		Store:        f.store,
		Wire:         f.s.wire,
		Clock:        f.s.clock,
		Bootstrap:    bootstrap,
		Logger:       f.s.log,
	})
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.node, f.state = node, state
	return nil
}

// current returns the group's node and its state machine. Both are replaced when
// this process bootstraps the group.
func (f *fleetGroup) current() (*replica.Node, *fleet.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.node, f.state
}

// bootstrap creates the fleet group with this process as its only member. It is
// refused if this process already knows a fleet group.
func (f *fleetGroup) bootstrap() *verdict.Refusal {
	if st := f.s.fleetStatus(); len(st.Members) != 0 || st.Leader != 0 {
		return verdict.Refuse(verdict.ReasonConflict, "%s is a member of a fleet group already", f.s.cfg.VM)
	}
	node, _ := f.current()
	if err := node.Close(); err != nil {
		return verdict.FromError(err)
	}
	// The store holds only the identity so far. A member can bootstrap a group only
	// from an empty store.
	if err := removeStore(f.s.cfg.DataDir, fleetGroupName); err != nil {
		return verdict.FromError(err)
	}
	store, err := openStore(f.s.cfg.DataDir, fleetGroupName)
	if err != nil {
		return verdict.FromError(err)
	}
	f.store = store
	if err := f.open(f.s.id, true); err != nil {
		return verdict.FromError(err)
	}
	f.s.events.Record(eventlog.Event{Kind: eventBootstrapped, Detail: "founded the fleet group"})
	return nil
}

// run updates the view of the fleet's state and, while this process leads the
// fleet group, reconciles its members and registers processes.
func (f *fleetGroup) run(ctx context.Context) {
	t := time.NewTicker(membershipPeriod)
	defer t.Stop()
	for {
		f.refresh()
		f.recordLeadershipChange()
		f.s.checkMember(fleetGroupName, f.s.fleetStatus())
		if f.s.fleetStatus().IsLeader() && !f.s.isStopping() {
			f.reconcileMembers(ctx)
			f.registerMembers(ctx)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// recordLeadershipChange records an event if this process has become leader of the
// fleet group or is no longer.
func (f *fleetGroup) recordLeadershipChange() {
	st := f.s.fleetStatus()
	leads := st.IsLeader()
	if leads == f.wasLeader {
		return
	}
	f.wasLeader = leads
	kind := eventStepsDown
	if leads {
		kind = eventLeads
		f.leadingSince = f.s.clock.Now()
	}
	f.s.events.Record(eventlog.Event{Kind: kind, Detail: fmt.Sprintf("fleet group, term %d", st.Term)})
	f.s.log.Info("leadership of the fleet group changed", zap.Bool("leads", leads), zap.Uint64("term", st.Term))
}

// candidates returns the processes that may be members. Each change of their
// reachability is recorded.
func (f *fleetGroup) candidates() []candidate {
	out := fleetCandidates(f.s.announcements.list(), f.s.fleetView().members, f.leadingSince, f.s.clock.Now())
	for i := range out {
		c := &out[i]
		if c.unreachable != f.unreachable[c.vm] {
			f.unreachable[c.vm] = c.unreachable
			f.recordReachability(c.vm, c.dc, c.unreachable)
		}
	}
	return out
}

func (f *fleetGroup) recordReachability(vm model.VMID, dc model.DCID, unreachable bool) {
	detail := string(vm) + " is heard again"
	if unreachable {
		detail = string(vm) + " is silent"
		f.s.log.Warn("VM is unreachable", zap.String("vm", string(vm)))
	}
	f.s.events.Record(eventlog.Event{Kind: eventReachability, DC: dc, Detail: detail})
}

// reconcileMembers takes the next step towards the wanted membership of the fleet
// group.
func (f *fleetGroup) reconcileMembers(ctx context.Context) {
	st := f.s.fleetStatus()
	node, _ := f.current()
	f.s.applyChange(ctx, fleetGroupName, node, nextFleetChange(st.Members, f.candidates(), st.Self))
}

// applyChange applies one step of a membership change to a group.
func (s *Server) applyChange(ctx context.Context, name string, g replica.Group, c membershipChange) {
	if c.kind == changeNone {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	var err error
	verb := ""
	switch c.kind {
	case changeAdd:
		verb, err = "added", g.AddLearner(ctx, c.member)
	case changePromote:
		verb, err = "promoted", g.Promote(ctx, c.member.ID)
	case changeRemove:
		verb, err = "removed", g.Remove(ctx, c.member.ID)
	}
	if err != nil {
		s.log.Debug("membership change failed", zap.String("group", name), zap.String("vm", c.member.VM), zap.Error(err))
		return
	}
	s.events.Record(eventlog.Event{
		Kind:   eventMembership,
		DC:     s.cfg.DC,
		Detail: fmt.Sprintf("%s: %s %s as member %d", name, verb, c.member.VM, c.member.ID),
	})
}

// registerMembers registers new and changed processes in the fleet's state.
func (f *fleetGroup) registerMembers(ctx context.Context) {
	known := f.s.fleetView().members
	for _, ann := range f.s.announcements.list() {
		m := fleet.Member{
			VM: ann.VM, DC: ann.DC, Region: ann.Region, Incarnation: ann.ID,
			WireAddr: ann.WireAddr, HTTPAddr: ann.HTTPAddr, EntryAddr: ann.EntryAddr, Disk: ann.Disk,
		}
		upToDate := slices.ContainsFunc(known, func(k fleet.Member) bool {
			k.Replaced = nil
			return k.VM == m.VM && k.Incarnation == m.Incarnation && k.WireAddr == m.WireAddr &&
				k.HTTPAddr == m.HTTPAddr && k.EntryAddr == m.EntryAddr && k.DC == m.DC && k.Disk == m.Disk
		})
		if upToDate {
			continue
		}
		if _, err := f.propose(ctx, &fleet.Command{RegisterMember: &fleet.RegisterMember{Member: m}}); err != nil {
			f.s.log.Debug("registering a process failed", zap.String("vm", string(ann.VM)), zap.Error(err))
		}
	}
}

// propose commits a command to the fleet's state, through the leader of the fleet
// group if that is another process.
func (f *fleetGroup) propose(ctx context.Context, c *fleet.Command) (*fleet.Result, error) {
	body, err := fleet.Encode(c)
	if err != nil {
		return nil, verdict.Refuse(verdict.ReasonBadRequest, "command can't be encoded: %v", err)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	node, _ := f.current()
	out, err := node.Propose(ctx, body)
	if err != nil {
		return nil, err
	}
	return fleet.DecodeResult(out)
}

// transferLeadership transfers the leadership of the fleet group if this process has
// it and there is another voter.
func (f *fleetGroup) transferLeadership(ctx context.Context) {
	node, _ := f.current()
	if st := node.Status(); st.Leader != st.Self || countVoters(st.Members) < 2 {
		return
	}
	if err := node.TransferLeadership(ctx); err != nil {
		f.s.log.Warn("transfer of the fleet group's leadership failed", zap.Error(err))
	}
}

func (f *fleetGroup) close() {
	node, _ := f.current()
	if err := node.Close(); err != nil {
		f.s.log.Warn("closing the fleet group's member failed", zap.Error(err))
	}
}

// fleetStatus returns this member's status in the fleet group.
func (s *Server) fleetStatus() replica.Status {
	node, _ := s.fleet.current()
	return node.Status()
}

// fleetLeader returns the leader of the fleet group, if this process knows it.
func (s *Server) fleetLeader() (replica.Member, bool) {
	st := s.fleetStatus()
	return st.LeaderMember()
}
