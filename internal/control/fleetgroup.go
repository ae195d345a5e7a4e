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

	"kumquatwing/internal/eventlog"
	"kumquatwing/internal/fleet"
	"kumquatwing/internal/model"
	"kumquatwing/internal/replica"
	"kumquatwing/internal/storage"
	"kumquatwing/internal/verdict"
)

const (
	// fleetGroup names the fleet group.
	fleetGroup = "fleet"
	// memberPeriod is how often a leader looks at its group's members.
	memberPeriod = 300 * time.Millisecond
	// changeTimeout bounds one step of a membership change.
	changeTimeout = 3 * time.Second
)

// fleetSide is this process's member of the fleet group.
type fleetSide struct {
	s     *Server
	store storage.Store

	mu    sync.Mutex
	group *replica.Node
	state *fleet.State

	view    atomic.Pointer[fleetView]
	changed chan struct{}
	led     bool
	silent  map[model.VMID]bool
}

// openFleetSide opens the member under its stored identity, or under a new one
// if it has none.
func openFleetSide(s *Server) (*fleetSide, replica.MemberID, error) {
	store, err := openStore(s.cfg.DataDir, fleetGroup)
	if isCorrupt(err) {
		if err := s.setAside(err); err != nil {
			return nil, 0, err
		}
		store, err = openStore(s.cfg.DataDir, fleetGroup)
	}
	if err != nil {
		return nil, 0, err
	}
	id := replica.MemberID(store.Identity())
	if id == 0 {
		id = newMemberID()
	}
	f := &fleetSide{s: s, store: store, changed: make(chan struct{}, 1), silent: map[model.VMID]bool{}}
	f.view.Store(emptyFleetView(&s.cfg))
	err = f.open(id, false)
	return f, id, err
}

// openStore opens a group's store below dir, or one in memory without a disk.
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

// newMemberID draws an identity; 0 stands for none.
func newMemberID() replica.MemberID {
	return replica.MemberID(rand.Uint64() | 1)
}

func (f *fleetSide) open(id replica.MemberID, found bool) error {
	state := fleet.New()
	node, err := replica.Open(replica.Config{
		Group:   fleetGroup,
		Self:    replica.Member{ID: id, VM: string(f.s.cfg.VM), Addr: f.s.cfg.AdvertiseAddr},
		Machine: state,
		Store:   f.store,
		Wire:    f.s.wire,
		Clock:   f.s.clock,
		Found:   found,
		Logger:  f.s.log,
	})
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.group, f.state = node, state
	return nil
}

// member returns the group handle and its state machine.
func (f *fleetSide) member() (*replica.Node, *fleet.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.group, f.state
}

// found forms the fleet group with this process as its only member. It is
// refused where a group is known already.
func (f *fleetSide) found() *verdict.Refusal {
	if st := f.s.fleetStatus(); len(st.Members) != 0 || st.Leader != 0 {
		return verdict.Refuse(verdict.ReasonConflict, "%s is a member of a fleet group already", f.s.cfg.VM)
	}
	node, _ := f.member()
	if err := node.Close(); err != nil {
		return verdict.From(err)
	}
	// The store holds the identity and nothing else yet; founding needs an empty one.
	if err := removeStore(f.s.cfg.DataDir, fleetGroup); err != nil {
		return verdict.From(err)
	}
	store, err := openStore(f.s.cfg.DataDir, fleetGroup)
	if err != nil {
		return verdict.From(err)
	}
	f.store = store
	if err := f.open(f.s.id, true); err != nil {
		return verdict.From(err)
	}
	f.s.events.Record(eventlog.Event{Kind: eventFounded, Detail: "founded the fleet group"})
	return nil
}

// run follows the state and, while leading, keeps the members as they should be.
func (f *fleetSide) run(ctx context.Context) {
	t := time.NewTicker(memberPeriod)
	defer t.Stop()
	for {
		f.refresh()
		f.noteLeadership()
		f.s.checkMember(fleetGroup, f.s.fleetStatus())
		if f.s.fleetStatus().IsLeader() && !f.s.isStopping() {
			f.keepMembers(ctx)
			f.registerMembers(ctx)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

func (f *fleetSide) noteLeadership() {
	st := f.s.fleetStatus()
	leads := st.IsLeader()
	if leads == f.led {
		return
	}
	f.led = leads
	kind := eventSteps
	if leads {
		kind = eventLeads
	}
	f.s.events.Record(eventlog.Event{Kind: kind, Detail: fmt.Sprintf("fleet group, term %d", st.Term)})
	f.s.log.Info("fleet leadership changed", zap.Bool("leads", leads), zap.Uint64("term", st.Term))
}

// candidates lists the processes that were heard, marking the silent ones.
func (f *fleetSide) candidates() []candidate {
	now := f.s.clock.Now()
	var out []candidate
	for _, h := range f.s.roster.list() {
		silent := now.Sub(h.at) > silentAfter
		if silent != f.silent[h.VM] {
			f.silent[h.VM] = silent
			f.noteSilence(h.VM, h.DC, silent)
		}
		out = append(out, candidate{id: h.ID, vm: h.VM, dc: h.DC, addr: h.WireAddr, disk: h.Disk, silent: silent})
	}
	return out
}

func (f *fleetSide) noteSilence(vm model.VMID, dc model.DCID, silent bool) {
	detail := string(vm) + " is heard again"
	if silent {
		detail = string(vm) + " is silent"
		f.s.log.Warn("VM is silent", zap.String("vm", string(vm)))
	}
	f.s.events.Record(eventlog.Event{Kind: eventSilent, DC: dc, Detail: detail})
}

// keepMembers makes the next step of the fleet group's membership.
func (f *fleetSide) keepMembers(ctx context.Context) {
	st := f.s.fleetStatus()
	node, _ := f.member()
	f.s.change(ctx, fleetGroup, node, nextFleetChange(st.Members, f.candidates()))
}

// change makes one step of a membership change.
func (s *Server) change(ctx context.Context, name string, g replica.Group, c change) {
	if c.kind == changeNone {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
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
		Kind:   eventMembers,
		DC:     s.cfg.DC,
		Detail: fmt.Sprintf("%s: %s %s as member %d", name, verb, c.member.VM, c.member.ID),
	})
}

// registerMembers records newly heard incarnations in the fleet's state.
func (f *fleetSide) registerMembers(ctx context.Context) {
	known := f.s.fleetView().members
	for _, h := range f.s.roster.list() {
		m := fleet.Member{
			VM: h.VM, DC: h.DC, Region: h.Region, Incarnation: h.ID,
			WireAddr: h.WireAddr, HTTPAddr: h.HTTPAddr, EntryAddr: h.EntryAddr, Disk: h.Disk,
		}
		same := slices.ContainsFunc(known, func(k fleet.Member) bool {
			k.Replaced = nil
			return k.VM == m.VM && k.Incarnation == m.Incarnation && k.WireAddr == m.WireAddr &&
				k.HTTPAddr == m.HTTPAddr && k.EntryAddr == m.EntryAddr && k.DC == m.DC && k.Disk == m.Disk
		})
		if same {
			continue
		}
		if _, err := f.propose(ctx, &fleet.Command{RegisterMember: &fleet.RegisterMember{Member: m}}); err != nil {
			f.s.log.Debug("registration failed", zap.String("vm", string(h.VM)), zap.Error(err))
		}
	}
}

// propose commits a command to the fleet's state, here or at its leader.
func (f *fleetSide) propose(ctx context.Context, c *fleet.Command) (*fleet.Result, error) {
	body, err := fleet.Encode(c)
	if err != nil {
		return nil, verdict.Refuse(verdict.ReasonBadRequest, "command can't be encoded: %v", err)
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	node, _ := f.member()
	out, err := node.Propose(ctx, body)
	if err != nil {
		return nil, err
	}
	return fleet.DecodeResult(out)
}

func (f *fleetSide) handOver(ctx context.Context) {
	node, _ := f.member()
	if st := node.Status(); st.Leader != st.Self || countVoters(st.Members) < 2 {
		return
	}
	if err := node.TransferLeadership(ctx); err != nil {
		f.s.log.Warn("fleet leadership was not handed over", zap.Error(err))
	}
}

func (f *fleetSide) close() {
	node, _ := f.member()
	if err := node.Close(); err != nil {
		f.s.log.Warn("fleet member closed with an error", zap.Error(err))
	}
}

// fleetStatus is this member's view of the fleet group.
func (s *Server) fleetStatus() replica.Status {
	node, _ := s.fleet.member()
	return node.Status()
}

// fleetLeader returns the fleet group's leader as far as it is known here.
func (s *Server) fleetLeader() (replica.Member, bool) {
	st := s.fleetStatus()
	return st.LeaderMember()
}
