package control

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"kumquatwing/internal/dcstate"
	"kumquatwing/internal/eventlog"
	"kumquatwing/internal/fleet"
	"kumquatwing/internal/model"
	"kumquatwing/internal/replica"
	"kumquatwing/internal/verdict"
)

const (
	// leaderlessTimeout is how long a data centre's group may be without a leader
	// before this process proposes its next generation.
	leaderlessTimeout = 3 * time.Second
	// dcGroupPrefix is the prefix of a data centre group's name, and so of the folder
	// of its store.
	dcGroupPrefix = "dc-"
)

// dcGroup is this process's part in the group of its data centre.
type dcGroup struct {
	s *Server

	// mu protects node, state, generation and leader.
	mu         sync.Mutex
	node       *replica.Node
	state      *dcstate.State
	generation uint64
	leader     *leaderState

	// leaderlessSince is when the group was first seen without a leader, or when the
	// next generation was last proposed. It is zero while there is a leader and is used
	// by run's goroutine only.
	leaderlessSince time.Time
}

func newDCGroup(s *Server) *dcGroup { return &dcGroup{s: s} }

// current returns the group's node, its state and its generation. The node is nil
// until this process has opened the group.
func (d *dcGroup) current() (*replica.Node, *dcstate.State, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node, d.state, d.generation
}

// dcStatus returns this member's status in the group of its data centre.
func (s *Server) dcStatus() replica.Status {
	node, _, _ := s.dc.current()
	if node == nil {
		return replica.Status{}
	}
	return node.Status()
}

// dcLeaderAddr returns the wire address of the leader of the data centre group.
func (s *Server) dcLeaderAddr() (string, *verdict.Refusal) {
	st := s.dcStatus()
	m, ok := st.LeaderMember()
	if !ok {
		return "", verdict.Refuse(verdict.ReasonNoLeader, "data centre %s has no leader", s.cfg.DC).WithRetryAfter(retryNoLeader)
	}
	return m.Addr, nil
}

// retryNoLeader is the time after which a caller may retry while there is no leader.
const retryNoLeader = 500 * time.Millisecond

// dcGroupName returns the name of one generation of a data centre's group.
func dcGroupName(dc model.DCID, generation uint64) string {
	return fmt.Sprintf("%s%s.g%d", dcGroupPrefix, dc, generation)
}

// run opens the group's current generation, reconciles its members while this
// process leads it, and runs the scheduler.
func (d *dcGroup) run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { d.tickLoop(ctx) })
	t := time.NewTicker(membershipPeriod)
	defer t.Stop()
	for {
		d.s.checkMember("data centre", d.s.dcStatus())
		if !d.s.isStopping() {
			d.syncGeneration(ctx)
			d.reconcileMembers(ctx)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			wg.Wait()
			return
		}
	}
}

// syncGeneration opens the generation that the fleet's state names. If the fleet
// has none, or the current one has no leader, it proposes the first or the next.
func (d *dcGroup) syncGeneration(ctx context.Context) {
	v := d.s.fleetView()
	if !d.isRegistered(v) {
		return
	}
	_, _, generation := d.current()
	switch {
	case !v.hasGroup:
		d.proposeGeneration(ctx, 1)
	case v.group.Generation > generation:
		d.open(v.group)
	default:
		d.replaceLeaderless(ctx, v)
	}
}

// isRegistered reports whether this incarnation is registered in the fleet's state.
func (d *dcGroup) isRegistered(v *fleetView) bool {
	return slices.ContainsFunc(v.members, func(m fleet.Member) bool {
		return m.VM == d.s.cfg.VM && m.Incarnation == d.s.id
	})
}

// proposeGeneration proposes to the fleet a generation of the group whose only
// initial member is this process.
func (d *dcGroup) proposeGeneration(ctx context.Context, generation uint64) {
	c := &fleet.Command{BootstrapGroup: &fleet.BootstrapGroup{DC: d.s.cfg.DC, Generation: generation, Member: d.s.id}}
	if _, err := d.s.fleet.propose(ctx, c); err != nil {
		d.s.log.Debug("proposal of a group generation failed", zap.Uint64("generation", generation), zap.Error(err))
		return
	}
	d.s.events.Record(eventlog.Event{
		Kind: eventBootstrapped, DC: d.s.cfg.DC,
		Detail: fmt.Sprintf("founded generation %d of the data centre's group", generation),
	})
}

// replaceLeaderless proposes the next generation if the current one has had no
// leader for leaderlessTimeout. The fleet accepts it only if a majority of the
// voters is permanently lost.
func (d *dcGroup) replaceLeaderless(ctx context.Context, v *fleetView) {
	if d.s.dcStatus().Leader != 0 {
		d.leaderlessSince = time.Time{}
		return
	}
	if d.leaderlessSince.IsZero() {
		d.leaderlessSince = time.Now()
	}
	if time.Since(d.leaderlessSince) < leaderlessTimeout {
		return
	}
	d.leaderlessSince = time.Now()
	d.proposeGeneration(ctx, v.group.Generation+1)
}

// open starts the member of generation g and closes the member of an older one.
func (d *dcGroup) open(g fleet.Group) {
	if old, _, _ := d.current(); old != nil {
		old.Close()
	}
	name := dcGroupName(d.s.cfg.DC, g.Generation)
	d.removeOtherGenerations(name)
	store, err := openStore(d.s.cfg.DataDir, name)
	if isCorrupt(err) {
		// The rename also moved the store of the fleet group's member, so the process
		// must restart.
		d.s.fail(errors.Join(err, d.s.renameCorruptDataDir(err)))
		return
	}
	if err != nil {
		d.s.log.Error("opening the group's store failed", zap.String("group", name), zap.Error(err))
		return
	}
	if id := replica.MemberID(store.Identity()); id != 0 && id != d.s.id {
		d.s.log.Error("store belongs to another incarnation; group is not opened", zap.String("group", name))
		store.Close()
		return
	}
	state := dcstate.New(d.s.cfg.DC, g.Generation)
	node, err := replica.Open(replica.Config{
		Group:        name,
		Self:         replica.Member{ID: d.s.id, VM: string(d.s.cfg.VM), Addr: d.s.cfg.AdvertiseAddr},
		StateMachine: state,
		Store:        store,
		Wire:         d.s.wire,
		Clock:        d.s.clock,
		Bootstrap:    g.Founder == d.s.id && store.Identity() == 0,
		Logger:       d.s.log,
	})
	if err != nil {
		d.s.log.Error("starting the group's member failed", zap.String("group", name), zap.Error(err))
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.node, d.state, d.generation = node, state, g.Generation
	d.leader = newLeaderState(d.s, node, state, g.Generation)
	d.s.log.Info("group member started", zap.String("group", name))
}

// removeOtherGenerations removes the folders of all data centre groups except keep.
// They belong to other generations, or to an incarnation whose identity was lost.
func (d *dcGroup) removeOtherGenerations(keep string) {
	if d.s.cfg.DataDir == "" {
		return
	}
	entries, err := os.ReadDir(d.s.cfg.DataDir)
	if err != nil {
		return
	}
	for _, e := range entries {
		if strings.HasPrefix(e.Name(), dcGroupPrefix) && e.Name() != keep {
			os.RemoveAll(filepath.Join(d.s.cfg.DataDir, e.Name()))
		}
	}
}

// leaderState returns the soft state for leading the group, or nil until the group
// is open.
func (d *dcGroup) leaderState() *leaderState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leader
}

// reconcileMembers takes the next step towards the wanted membership if this process
// leads the group. The fleet's record of the voters is extended before a promotion
// and reduced after a removal, so that it always includes every voter.
func (d *dcGroup) reconcileMembers(ctx context.Context) {
	node, _, generation := d.current()
	if node == nil {
		return
	}
	st := node.Status()
	if !st.IsLeader() {
		return
	}
	v := d.s.fleetView()
	c := nextDCChange(st.Members, d.candidates(v))
	if c.kind == changePromote && !d.recordVoters(ctx, v, generation, append(voterIDs(st.Members), c.member.ID)) {
		return
	}
	d.s.applyChange(ctx, dcGroupName(d.s.cfg.DC, generation), node, c)
	if c.kind == changeNone {
		d.recordVoters(ctx, v, generation, voterIDs(st.Members))
	}
}

// candidates lists the processes of this data centre in the fleet's state.
func (d *dcGroup) candidates(v *fleetView) []candidate {
	var out []candidate
	for _, m := range v.members {
		if m.DC == d.s.cfg.DC {
			out = append(out, candidate{id: m.Incarnation, vm: m.VM, dc: m.DC, addr: m.WireAddr, disk: m.Disk})
		}
	}
	return out
}

// voterIDs returns the sorted IDs of the voters among members.
func voterIDs(members []replica.Member) []replica.MemberID {
	var ids []replica.MemberID
	for _, m := range members {
		if !m.Learner {
			ids = append(ids, m.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// recordVoters records the voters in the fleet's state if they differ from those on
// record. It reports whether the record is now up to date.
func (d *dcGroup) recordVoters(ctx context.Context, v *fleetView, generation uint64, ids []replica.MemberID) bool {
	slices.Sort(ids)
	var recorded []replica.MemberID
	for _, voter := range v.group.Voters {
		recorded = append(recorded, voter.Member)
	}
	slices.Sort(recorded)
	if slices.Equal(ids, recorded) {
		return true
	}
	c := &fleet.Command{SetGroupVoters: &fleet.SetGroupVoters{DC: d.s.cfg.DC, Generation: generation, Voters: ids}}
	_, err := d.s.fleet.propose(ctx, c)
	return err == nil
}

// transferLeadership transfers the leadership of the group if this process has it
// and there is another voter.
func (d *dcGroup) transferLeadership(ctx context.Context) {
	node, _, _ := d.current()
	if node == nil {
		return
	}
	if st := node.Status(); st.Leader != st.Self || countVoters(st.Members) < 2 {
		return
	}
	if err := node.TransferLeadership(ctx); err != nil {
		d.s.log.Warn("transfer of the data centre group's leadership failed", zap.Error(err))
	}
}

func (d *dcGroup) close() {
	node, _, _ := d.current()
	if node == nil {
		return
	}
	if err := node.Close(); err != nil {
		d.s.log.Warn("closing the data centre group's member failed", zap.Error(err))
	}
}
