package fleet

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"kumquatwing/internal/model"
	"kumquatwing/internal/verdict"
)

var places = []model.DCID{"dc1", "dc2", "dc3"}

// holder is the data centre's side of a grant, as ReturnGrant asks for it.
type holder struct {
	dc model.DCID
	// cap bounds what may run; running is what does, want what could.
	cap, running, want model.Resources
	// floor is what the oldest waiting job needs.
	floor model.Resources
	// version is the newest the holder knows.
	version uint64
}

// learn takes a grant over unless a newer one was seen.
func (h *holder) learn(g *Grant) {
	if g.Version > h.version {
		h.version = g.Version
		h.cap = g.Amount
	}
}

// escrowModel drives a state with holders whose commands may be late, doubled
// or lose their answer.
type escrowModel struct {
	*fixture
	holders  []*holder
	inFlight []*Command
	limit    model.Resources
}

func newEscrowModel(t *testing.T) *escrowModel {
	m := &escrowModel{fixture: started(t)}
	workspace, _ := m.state.Workspace("shop")
	m.limit = workspace.Limit
	for _, dc := range places {
		m.holders = append(m.holders, &holder{dc: dc})
	}
	return m
}

func (m *escrowModel) holderOf(dc model.DCID) *holder {
	for _, h := range m.holders {
		if h.dc == dc {
			return h
		}
	}
	return nil
}

func (m *escrowModel) request(h *holder) *Command {
	return &Command{RequestGrant: &RequestGrant{Workspace: "shop", DC: h.dc, Want: h.want.Max(h.running), Holds: h.running, Floor: h.floor}}
}

// giveBack lowers the holder's cap before it returns the rest.
func (m *escrowModel) giveBack(h *holder) *Command {
	keep := m.state.Grant("shop", h.dc).Target.Max(h.running).Min(h.cap)
	h.cap = keep
	return &Command{ReturnGrant: &ReturnGrant{Workspace: "shop", DC: h.dc, Keep: keep, Version: h.version}}
}

// deliver runs a command; its answer may get lost.
func (m *escrowModel) deliver(c *Command, answered bool) {
	before := m.sum()
	r, refusal := m.do(c)
	if over := m.sum().Exceeds(m.limit.Max(before)); over != "" {
		m.t.Fatalf("grants grew over the limit in %s: %v", over, m.sum())
	}
	if answered && refusal == nil && r.Grant != nil {
		m.holderOf(r.Grant.DC).learn(r.Grant)
	}
}

func (m *escrowModel) sum() model.Resources {
	var sum model.Resources
	for _, g := range m.state.grantsOf("shop") {
		sum = sum.Add(g.Amount)
	}
	return sum
}

// check holds after every step.
func (m *escrowModel) check(t *rapid.T) {
	var running model.Resources
	for _, h := range m.holders {
		running = running.Add(h.running)
		if !h.cap.Fits(m.state.Grant("shop", h.dc).Amount) {
			t.Fatalf("%s may run %v of a grant of %v", h.dc, h.cap, m.state.Grant("shop", h.dc).Amount)
		}
	}
	if !m.state.OverLimit("shop") && !running.Fits(m.limit) {
		t.Fatalf("%v runs of a limit of %v", running, m.limit)
	}
}

func drawResources(t *rapid.T, name string, bound model.Resources) model.Resources {
	return model.Resources{
		MilliCPU:     rapid.Int64Range(0, bound.MilliCPU).Draw(t, name+" cpu"),
		MemoryMB:     rapid.Int64Range(0, bound.MemoryMB).Draw(t, name+" memory"),
		Accelerators: rapid.Int64Range(0, bound.Accelerators).Draw(t, name+" accelerators"),
	}
}

// TestLimitHoldsUnderLateCommands is the promise that no workspace runs more than
// its limit, with answers lost and commands late, doubled and out of order.
func TestLimitHoldsUnderLateCommands(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newEscrowModel(t)
		some := func(rt *rapid.T) *holder { return rapid.SampledFrom(m.holders).Draw(rt, "holder") }
		rt.Repeat(map[string]func(*rapid.T){
			"demand":   func(rt *rapid.T) { some(rt).want = drawResources(rt, "want", m.limit.Scale(2)) },
			"request":  func(rt *rapid.T) { m.deliver(m.request(some(rt)), rapid.Bool().Draw(rt, "answered")) },
			"give":     func(rt *rapid.T) { m.deliver(m.giveBack(some(rt)), rapid.Bool().Draw(rt, "answered")) },
			"floor":    func(rt *rapid.T) { some(rt).floor = drawResources(rt, "floor", m.limit) },
			"delay":    func(rt *rapid.T) { m.inFlight = append(m.inFlight, m.request(some(rt))) },
			"delayRet": func(rt *rapid.T) { m.inFlight = append(m.inFlight, m.giveBack(some(rt))) },
			"arrive": func(rt *rapid.T) {
				if len(m.inFlight) == 0 {
					return
				}
				i := rapid.IntRange(0, len(m.inFlight)-1).Draw(rt, "which")
				m.deliver(m.inFlight[i], rapid.Bool().Draw(rt, "answered"))
				if rapid.Bool().Draw(rt, "once") {
					m.inFlight = append(m.inFlight[:i:i], m.inFlight[i+1:]...)
				}
			},
			"run": func(rt *rapid.T) {
				h := some(rt)
				h.running = h.want.Min(h.cap)
			},
			"end": func(rt *rapid.T) {
				h := some(rt)
				h.running = drawResources(rt, "left", h.running)
			},
			"limit": func(rt *rapid.T) {
				d := declared(rapid.Int64Range(1, 30_000).Draw(rt, "limit"))
				m.apply(d)
				m.limit = d.Workspaces[0].Limit
			},
			"move": func(rt *rapid.T) {
				set := &SetDataCentre{DC: some(rt).dc, Out: rapid.Bool().Draw(rt, "out")}
				m.ok(&Command{Header: m.header(), SetDataCentre: set})
			},
			"": m.check,
		})
	})
}

// round lets each holder ask, end what is above its target and give it back. It
// returns how many grants changed.
func (m *escrowModel) round() int {
	changed := 0
	for _, h := range m.holders {
		before := m.state.Grant("shop", h.dc)
		h.running = h.running.Min(h.want)
		m.deliver(m.request(h), true)
		h.running = h.want.Min(h.cap).Min(m.state.Grant("shop", h.dc).Target)
		if g := m.state.Grant("shop", h.dc); g.Target != g.Amount {
			m.deliver(m.giveBack(h), true)
		}
		if m.state.Grant("shop", h.dc).Amount != before.Amount {
			changed++
		}
	}
	return changed
}

const settleRounds = 8

// TestGrantsSettle checks that under constant demand grants stop moving, that
// nobody lacks what is free, and that contention ends near the fair shares.
func TestGrantsSettle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newEscrowModel(t)
		for range rapid.IntRange(1, 4).Draw(rt, "phases") {
			var wants model.Resources
			for _, h := range m.holders {
				h.want = drawResources(rt, string(h.dc), m.limit)
				wants = wants.Add(h.want)
			}
			for range settleRounds {
				m.round()
			}
			if changed := m.round(); changed > 0 {
				rt.Fatalf("%d grants still move", changed)
			}
			m.checkSettled(rt, wants)
		}
	})
}

func (m *escrowModel) checkSettled(t *rapid.T, wants model.Resources) {
	for d, name := range model.Dimensions {
		limit := m.limit.At(d)
		for _, h := range m.holders {
			amount, want := m.state.Grant("shop", h.dc).Amount.At(d), h.want.At(d)
			enough := want
			if wants.At(d) > limit {
				enough = min(want, limit/int64(len(places))) - quantum(limit)
			}
			if amount < enough {
				t.Fatalf("%s has %d of %s, wants %d of a limit of %d", h.dc, amount, name, want, limit)
			}
		}
	}
}

// TestAllThatLacksMovesAtOnce has one data centre lack less than a quantum next
// to one that has nothing: both are served, not one unit a round.
func TestAllThatLacksMovesAtOnce(t *testing.T) {
	m := newEscrowModel(t)
	m.holders[1].want.MilliCPU = 1
	m.round()
	for i, milliCPU := range []int64{16_000, 100, 1} {
		m.holders[i].want.MilliCPU = milliCPU
	}
	for range settleRounds {
		m.round()
	}
	qt.Assert(t, m.state.Grant("shop", "dc2").Amount.MilliCPU, qt.Equals, int64(100))
	qt.Assert(t, m.state.Grant("shop", "dc3").Amount.MilliCPU, qt.Equals, int64(1))
	qt.Assert(t, m.round(), qt.Equals, 0)
}

// TestSmallSwingsStopMoving counts the moves of a full limit under demand that
// swings by less than a quantum: what was idle moves once and stays.
func TestSmallSwingsStopMoving(t *testing.T) {
	m := newEscrowModel(t)
	for _, h := range m.holders {
		h.want = m.limit
	}
	for range settleRounds {
		m.round()
	}
	moves := 0
	swing := quantum(m.limit.MilliCPU) - 1
	for i := range 100 {
		m.holders[i%2].want.MilliCPU = m.limit.MilliCPU/3 - swing/2
		m.holders[(i+1)%2].want.MilliCPU = m.limit.MilliCPU
		moves += m.round()
	}
	qt.Assert(t, moves <= 2*len(places), qt.IsTrue, qt.Commentf("%d moves", moves))
}

// TestSharingIsNotOver keeps data centres of one workspace from evicting for each
// other: a fair share lowers the target only.
func TestSharingIsNotOver(t *testing.T) {
	m := newEscrowModel(t)
	m.holders[0].want, m.holders[0].running = m.limit, m.limit
	m.deliver(m.request(m.holders[0]), true)
	m.holders[1].want = m.limit
	m.deliver(m.request(m.holders[1]), true)
	g := m.state.Grant("shop", "dc1")
	qt.Assert(t, g.Target, qt.Equals, model.Resources{MilliCPU: 8000, MemoryMB: 32_000, Accelerators: 2})
	qt.Assert(t, g.Over, qt.IsFalse)
}

// TestLoweredLimitIsPendingUntilReturned takes a limit below what runs.
func TestLoweredLimitIsPendingUntilReturned(t *testing.T) {
	m := newEscrowModel(t)
	for _, h := range m.holders[:2] {
		h.want = model.Resources{MilliCPU: 8000, MemoryMB: 1000}
	}
	m.round()
	low := declared(4000)
	m.apply(low)
	m.limit = low.Workspaces[0].Limit
	qt.Assert(t, m.state.OverLimit("shop"), qt.IsTrue)
	qt.Assert(t, m.state.LimitsPending(1), qt.HasLen, 0)
	recalled := m.state.LimitsPending(2)
	qt.Assert(t, m.state.Grant("shop", "dc1").Over, qt.IsTrue)
	qt.Assert(t, recalled, qt.HasLen, 2)
	qt.Assert(t, recalled[0].Target.MilliCPU+recalled[1].Target.MilliCPU, qt.Equals, int64(4000))
	m.deliver(m.request(m.holders[2]), true)
	qt.Assert(t, m.state.Grant("shop", "dc3").Amount.MilliCPU, qt.Equals, int64(0))
	m.round()
	qt.Assert(t, m.state.OverLimit("shop"), qt.IsFalse)
	qt.Assert(t, m.state.LimitsPending(2), qt.HasLen, 0)
	qt.Assert(t, m.state.Grant("shop", "dc1").Over, qt.IsFalse)
}

// TestReturnIsNotLentAgain gives back what was wanted before and no longer is.
func TestReturnIsNotLentAgain(t *testing.T) {
	m := newEscrowModel(t)
	h := m.holders[0]
	h.want = model.Resources{MilliCPU: 8000, MemoryMB: 1000}
	m.deliver(m.request(h), true)
	keep := model.Resources{MilliCPU: 1000, MemoryMB: 1000}
	back := &ReturnGrant{Workspace: "shop", DC: h.dc, Keep: keep, Version: h.version}
	r := m.ok(&Command{ReturnGrant: back})
	qt.Assert(t, r.Grant.Amount, qt.Equals, keep)
	qt.Assert(t, r.Grant.Target, qt.Equals, keep)
}

// TestReturnOfAnOlderGroupIsRefused fences a group whose tables are lost.
func TestReturnOfAnOlderGroupIsRefused(t *testing.T) {
	m := newEscrowModel(t)
	h := m.holders[0]
	h.want = model.Resources{MilliCPU: 8000}
	m.deliver(m.request(h), true)
	m.state.groups[h.dc] = &Group{DC: h.dc, Generation: 2}
	back := &ReturnGrant{Workspace: "shop", DC: h.dc, Version: h.version, Generation: 1}
	_, refusal := m.do(&Command{ReturnGrant: back})
	qt.Assert(t, refusal.Reason, qt.Equals, verdict.ReasonConflict)
	qt.Assert(t, refusal.Message, qt.Contains, "generation 2")
}

// TestOutDataCentreIsRecalled checks that a data centre taken out keeps nothing
// and that what it returns goes to those who want it.
func TestOutDataCentreIsRecalled(t *testing.T) {
	m := newEscrowModel(t)
	for _, h := range m.holders {
		h.want = model.Resources{MilliCPU: 16_000}
	}
	for range settleRounds {
		m.round()
	}
	m.ok(&Command{Header: m.header(), SetDataCentre: &SetDataCentre{DC: "dc1", Out: true}})
	qt.Assert(t, m.state.Grant("shop", "dc1").Target.IsZero(), qt.IsTrue)
	m.round()
	qt.Assert(t, m.state.Grant("shop", "dc1").Amount.IsZero(), qt.IsTrue)
	qt.Assert(t, m.sum().MilliCPU, qt.Equals, int64(16_000))
}
