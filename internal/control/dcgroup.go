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
	// refoundAfter is how long a data centre's group is without a leader before
	// this process asks to found the next generation.
	refoundAfter = 3 * time.Second
	// dcGroupPrefix begins the folder of every data centre group's member.
	dcGroupPrefix = "dc-"
)

// dcSide is this process's member of its data centre's group.
type dcSide struct {
	s *Server

	mu         sync.Mutex
	group      *replica.Node
	state      *dcstate.State
	generation uint64
	lead       *leader

	leaderless time.Time
}

func newDCSide(s *Server) *dcSide { return &dcSide{s: s} }

// member returns the group handle and its state; nil before the group is known.
func (d *dcSide) member() (*replica.Node, *dcstate.State, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.group, d.state, d.generation
}

// dcStatus is this member's view of its data centre's group.
func (s *Server) dcStatus() replica.Status {
	node, _, _ := s.dc.member()
	if node == nil {
		return replica.Status{}
	}
	return node.Status()
}

// dcLeaderAddr returns the wire address of the data centre's leader.
func (s *Server) dcLeaderAddr() (string, *verdict.Refusal) {
	st := s.dcStatus()
	m, ok := st.LeaderMember()
	if !ok {
		return "", verdict.Refuse(verdict.ReasonNoLeader, "data centre %s has no leader", s.cfg.DC).RetryIn(retryNoLeader)
	}
	return m.Addr, nil
}

// retryNoLeader is when a caller may try again while there is no leader.
const retryNoLeader = 500 * time.Millisecond

func groupName(dc model.DCID, generation uint64) string {
	return fmt.Sprintf("%s%s.g%d", dcGroupPrefix, dc, generation)
}

// run joins the group, keeps its members while leading it, and ticks.
func (d *dcSide) run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { d.tickLoop(ctx) })
	t := time.NewTicker(memberPeriod)
	defer t.Stop()
	for {
		d.s.checkMember("the data centre group", d.s.dcStatus())
		if !d.s.isStopping() {
			d.follow(ctx)
			d.keepMembers(ctx)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			wg.Wait()
			return
		}
	}
}

// follow opens the member of the generation that the fleet's state names, or
// asks to found the first or next one.
func (d *dcSide) follow(ctx context.Context) {
	v := d.s.fleetView()
	if !d.registered(v) {
		return
	}
	_, _, generation := d.member()
	switch {
	case !v.hasGroup:
		d.found(ctx, 1)
	case v.group.Generation > generation:
		d.open(v.group)
	default:
		d.refound(ctx, v)
	}
}

// registered reports whether the fleet knows this incarnation.
func (d *dcSide) registered(v *fleetView) bool {
	return slices.ContainsFunc(v.members, func(m fleet.Member) bool {
		return m.VM == d.s.cfg.VM && m.Incarnation == d.s.id
	})
}

func (d *dcSide) found(ctx context.Context, generation uint64) {
	c := &fleet.Command{FoundGroup: &fleet.FoundGroup{DC: d.s.cfg.DC, Generation: generation, Member: d.s.id}}
	if _, err := d.s.fleet.propose(ctx, c); err != nil {
		d.s.log.Debug("founding was refused", zap.Uint64("generation", generation), zap.Error(err))
		return
	}
	d.s.events.Record(eventlog.Event{
		Kind: eventFounded, DC: d.s.cfg.DC,
		Detail: fmt.Sprintf("founded generation %d of the data centre's group", generation),
	})
}

// refound asks for the next generation once the present one has had no leader
// for a while. The fleet accepts it only if a majority is gone for good.
func (d *dcSide) refound(ctx context.Context, v *fleetView) {
	if d.s.dcStatus().Leader != 0 {
		d.leaderless = time.Time{}
		return
	}
	if d.leaderless.IsZero() {
		d.leaderless = time.Now()
	}
	if time.Since(d.leaderless) < refoundAfter {
		return
	}
	d.leaderless = time.Now()
	d.found(ctx, v.group.Generation+1)
}

// open starts the member of one generation in place of an older one.
func (d *dcSide) open(g fleet.Group) {
	if old, _, _ := d.member(); old != nil {
		old.Close()
	}
	name := groupName(d.s.cfg.DC, g.Generation)
	d.dropOthers(name)
	store, err := openStore(d.s.cfg.DataDir, name)
	if isCorrupt(err) {
		// The fleet group's member goes with it, so the process has to start anew.
		d.s.fail(errors.Join(err, d.s.setAside(err)))
		return
	}
	if err != nil {
		d.s.log.Error("store can't be opened", zap.String("group", name), zap.Error(err))
		return
	}
	if id := replica.MemberID(store.Identity()); id != 0 && id != d.s.id {
		d.s.log.Error("store belongs to another incarnation", zap.String("group", name))
		store.Close()
		return
	}
	state := dcstate.New(d.s.cfg.DC, g.Generation)
	node, err := replica.Open(replica.Config{
		Group:   name,
		Self:    replica.Member{ID: d.s.id, VM: string(d.s.cfg.VM), Addr: d.s.cfg.AdvertiseAddr},
		Machine: state,
		Store:   store,
		Wire:    d.s.wire,
		Clock:   d.s.clock,
		Found:   g.Founder == d.s.id && store.Identity() == 0,
		Logger:  d.s.log,
	})
	if err != nil {
		d.s.log.Error("member can't be opened", zap.String("group", name), zap.Error(err))
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.group, d.state, d.generation = node, state, g.Generation
	d.lead = newLeader(d.s, node, state, g.Generation)
	d.s.log.Info("opened group", zap.String("group", name))
}

// dropOthers removes the folders of other generations and of an incarnation
// whose identity was lost.
func (d *dcSide) dropOthers(keep string) {
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

// leader returns the soft state that this process keeps while it leads.
func (d *dcSide) leader() *leader {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lead
}

// keepMembers makes the next step of the group's membership while leading it.
// The fleet's record of the voters is widened before a promotion and narrowed
// after a removal, so that it never misses one.
func (d *dcSide) keepMembers(ctx context.Context) {
	node, _, generation := d.member()
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
	d.s.change(ctx, groupName(d.s.cfg.DC, generation), node, c)
	if c.kind == changeNone {
		d.recordVoters(ctx, v, generation, voterIDs(st.Members))
	}
}

// candidates lists the processes of this data centre that the fleet knows.
func (d *dcSide) candidates(v *fleetView) []candidate {
	var out []candidate
	for _, m := range v.members {
		if m.DC == d.s.cfg.DC {
			out = append(out, candidate{id: m.Incarnation, vm: m.VM, dc: m.DC, addr: m.WireAddr, disk: m.Disk})
		}
	}
	return out
}

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

// recordVoters writes the voters into the fleet's state unless they stand
// there; it reports whether they do.
func (d *dcSide) recordVoters(ctx context.Context, v *fleetView, generation uint64, ids []replica.MemberID) bool {
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

func (d *dcSide) handOver(ctx context.Context) {
	node, _, _ := d.member()
	if node == nil {
		return
	}
	if st := node.Status(); st.Leader != st.Self || countVoters(st.Members) < 2 {
		return
	}
	if err := node.TransferLeadership(ctx); err != nil {
		d.s.log.Warn("data centre leadership was not handed over", zap.Error(err))
	}
}

func (d *dcSide) close() {
	node, _, _ := d.member()
	if node == nil {
		return
	}
	if err := node.Close(); err != nil {
		d.s.log.Warn("data centre member closed with an error", zap.Error(err))
	}
}
