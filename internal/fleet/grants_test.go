package fleet

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"kumquatwing/internal/model"
	"kumquatwing/internal/verdict"
)

var testDCs = []model.DCID{"dc1", "dc2", "dc3"}

// holder simulates a data centre that holds a grant and follows the protocol that
// ReturnGrant documents.
type holder struct {
	dc model.DCID
	// cap is the most that may run, running the amount in use, demand what could
	// run.
	cap, running, demand model.Resources
	// minGrant is the minimum grant that is requested.
	minGrant model.Resources
	// version is the newest Grant.Version that the holder has seen.
	version uint64
}

// observe adopts a grant unless a newer one was seen.
func (h *holder) observe(g *Grant) {
	if g.Version > h.version {
		h.version = g.Version
		h.cap = g.Amount
	}
}

// grantModel runs a State against holders whose commands may be delayed or
// duplicated and whose results may be lost.
type grantModel struct {
	*fixture
	holders  []*holder
	inFlight []*Command
	limit    model.Resources
}

func newGrantModel(t *testing.T) *grantModel {
	m := &grantModel{fixture: newConfiguredFixture(t)}
	workspace, _ := m.state.Workspace("shop")
	m.limit = workspace.Limit
	for _, dc := range testDCs {
		m.holders = append(m.holders, &holder{dc: dc})
	}
	return m
}

func (m *grantModel) holderOf(dc model.DCID) *holder {
	for _, h := range m.holders {
		if h.dc == dc {
			return h
		}
	}
	return nil
}

func (m *grantModel) request(h *holder) *Command {
	return &Command{RequestGrant: &RequestGrant{Workspace: "shop", DC: h.dc, Demand: h.demand.Max(h.running), InUse: h.running, MinGrant: h.minGrant}}
}

// returnExcess lowers the holder's cap and returns the command that returns the part
// of the grant above it.
func (m *grantModel) returnExcess(h *holder) *Command {
	keep := m.state.Grant("shop", h.dc).Target.Max(h.running).Min(h.cap)
	h.cap = keep
	return &Command{ReturnGrant: &ReturnGrant{Workspace: "shop", DC: h.dc, Keep: keep, Version: h.version}}
}

// deliver proposes a command. The holder sees the result only if answered is set.
func (m *grantModel) deliver(c *Command, answered bool) {
	before := m.sum()
	r, refusal := m.do(c)
	if over := m.sum().Exceeds(m.limit.Max(before)); over != "" {
		m.t.Fatalf("grants grew above the limit in %s: %v", over, m.sum())
	}
	if answered && refusal == nil && r.Grant != nil {
		m.holderOf(r.Grant.DC).observe(r.Grant)
	}
}

func (m *grantModel) sum() model.Resources {
	var sum model.Resources
	for _, g := range m.state.grantsOf("shop") {
		sum = sum.Add(g.Amount)
	}
	return sum
}

// check fails the test if an invariant is violated. It runs after every step.
func (m *grantModel) check(t *rapid.T) {
	var running model.Resources
	for _, h := range m.holders {
		running = running.Add(h.running)
		if !h.cap.Fits(m.state.Grant("shop", h.dc).Amount) {
			t.Fatalf("%s may run %v with a grant of %v", h.dc, h.cap, m.state.Grant("shop", h.dc).Amount)
		}
	}
	if !m.state.OverLimit("shop") && !running.Fits(m.limit) {
		t.Fatalf("tasks use %v, above the limit of %v", running, m.limit)
	}
}

func drawResources(t *rapid.T, name string, bound model.Resources) model.Resources {
	return model.Resources{
		MilliCPU:     rapid.Int64Range(0, bound.MilliCPU).Draw(t, name+" cpu"),
		MemoryMB:     rapid.Int64Range(0, bound.MemoryMB).Draw(t, name+" memory"),
		Accelerators: rapid.Int64Range(0, bound.Accelerators).Draw(t, name+" accelerators"),
	}
}

// TestLimitIsKeptUnderLateCommands checks that no workspace uses more than its limit
// when results are lost and commands are delayed, duplicated or reordered.
func TestLimitIsKeptUnderLateCommands(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newGrantModel(t)
		anyHolder := func(rt *rapid.T) *holder { return rapid.SampledFrom(m.holders).Draw(rt, "holder") }
		rt.Repeat(map[string]func(*rapid.T){
			"demand":   func(rt *rapid.T) { anyHolder(rt).demand = drawResources(rt, "want", m.limit.Scale(2)) },
			"request":  func(rt *rapid.T) { m.deliver(m.request(anyHolder(rt)), rapid.Bool().Draw(rt, "answered")) },
			"give":     func(rt *rapid.T) { m.deliver(m.returnExcess(anyHolder(rt)), rapid.Bool().Draw(rt, "answered")) },
			"floor":    func(rt *rapid.T) { anyHolder(rt).minGrant = drawResources(rt, "floor", m.limit) },
			"delay":    func(rt *rapid.T) { m.inFlight = append(m.inFlight, m.request(anyHolder(rt))) },
			"delayRet": func(rt *rapid.T) { m.inFlight = append(m.inFlight, m.returnExcess(anyHolder(rt))) },
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
				h := anyHolder(rt)
				h.running = h.demand.Min(h.cap)
			},
			"end": func(rt *rapid.T) {
				h := anyHolder(rt)
				h.running = drawResources(rt, "left", h.running)
			},
			"limit": func(rt *rapid.T) {
				d := testDeclarations(rapid.Int64Range(1, 30_000).Draw(rt, "limit"))
				m.apply(d)
				m.limit = d.Workspaces[0].Limit
			},
			"move": func(rt *rapid.T) {
				set := &SetDataCentre{DC: anyHolder(rt).dc, Out: rapid.Bool().Draw(rt, "out")}
				m.ok(&Command{Header: m.header(), SetDataCentre: set})
			},
			"": m.check,
		})
	})
}

// runRound lets each holder request its demand, stop tasks above its target and
// return the excess. It returns the number of grants that changed.
func (m *grantModel) runRound() int {
	changed := 0
	for _, h := range m.holders {
		before := m.state.Grant("shop", h.dc)
		h.running = h.running.Min(h.demand)
		m.deliver(m.request(h), true)
		h.running = h.demand.Min(h.cap).Min(m.state.Grant("shop", h.dc).Target)
		if g := m.state.Grant("shop", h.dc); g.Target != g.Amount {
			m.deliver(m.returnExcess(h), true)
		}
		if m.state.Grant("shop", h.dc).Amount != before.Amount {
			changed++
		}
	}
	return changed
}

const convergenceRounds = 8

// TestGrantsConverge checks that under constant demand grants stop changing, that no
// demand is unmet while a part of the limit is free, and that under contention the
// amounts reach the fair shares to within one quantum.
func TestGrantsConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newGrantModel(t)
		for range rapid.IntRange(1, 4).Draw(rt, "phases") {
			var totalDemand model.Resources
			for _, h := range m.holders {
				h.demand = drawResources(rt, string(h.dc), m.limit)
				totalDemand = totalDemand.Add(h.demand)
			}
			for range convergenceRounds {
				m.runRound()
			}
			if changed := m.runRound(); changed > 0 {
				rt.Fatalf("%d grants still change", changed)
			}
			m.checkConverged(rt, totalDemand)
		}
	})
}

func (m *grantModel) checkConverged(t *rapid.T, totalDemand model.Resources) {
	for d, name := range model.Dimensions {
		limit := m.limit.At(d)
		for _, h := range m.holders {
			amount, demand := m.state.Grant("shop", h.dc).Amount.At(d), h.demand.At(d)
			enough := demand
			if totalDemand.At(d) > limit {
				enough = min(demand, limit/int64(len(testDCs))) - quantum(limit)
			}
			if amount < enough {
				t.Fatalf("%s is granted %d of %s, its demand is %d, the limit %d", h.dc, amount, name, demand, limit)
			}
		}
	}
}

// TestWholeShortfallIsRecalledAtOnce guards against a shortfall that is recalled one
// unit a round: one data centre lacks less than a quantum, another has nothing, and
// both must get what they lack.
func TestWholeShortfallIsRecalledAtOnce(t *testing.T) {
	m := newGrantModel(t)
	m.holders[1].demand.MilliCPU = 1
	m.runRound()
	for i, milliCPU := range []int64{16_000, 100, 1} {
		m.holders[i].demand.MilliCPU = milliCPU
	}
	for range convergenceRounds {
		m.runRound()
	}
	qt.Assert(t, m.state.Grant("shop", "dc2").Amount.MilliCPU, qt.Equals, int64(100))
	qt.Assert(t, m.state.Grant("shop", "dc3").Amount.MilliCPU, qt.Equals, int64(1))
	qt.Assert(t, m.runRound(), qt.Equals, 0)
}

// TestSmallDemandChangesMoveNoGrants counts the changes of grants while the limit is
// fully granted and demand oscillates by less than a quantum: an unused amount may
// move once and must then stay.
func TestSmallDemandChangesMoveNoGrants(t *testing.T) {
	m := newGrantModel(t)
	for _, h := range m.holders {
		h.demand = m.limit
	}
	for range convergenceRounds {
		m.runRound()
	}
	moves := 0
	swing := quantum(m.limit.MilliCPU) - 1
	for i := range 100 {
		m.holders[i%2].demand.MilliCPU = m.limit.MilliCPU/3 - swing/2
		m.holders[(i+1)%2].demand.MilliCPU = m.limit.MilliCPU
		moves += m.runRound()
	}
	qt.Assert(t, moves <= 2*len(testDCs), qt.IsTrue, qt.Commentf("%d moves", moves))
}

// TestFairShareDoesNotSetOver checks that a fair share only lowers the target. If it
// set Over, a data centre would stop tasks for the demand of another one of the
// same workspace.
func TestFairShareDoesNotSetOver(t *testing.T) {
	m := newGrantModel(t)
	m.holders[0].demand, m.holders[0].running = m.limit, m.limit
	m.deliver(m.request(m.holders[0]), true)
	m.holders[1].demand = m.limit
	m.deliver(m.request(m.holders[1]), true)
	g := m.state.Grant("shop", "dc1")
	qt.Assert(t, g.Target, qt.Equals, model.Resources{MilliCPU: 8000, MemoryMB: 32_000, Accelerators: 2})
	qt.Assert(t, g.Over, qt.IsFalse)
}

// TestLoweredLimitIsPendingUntilReturned lowers a limit below the amount in use.
func TestLoweredLimitIsPendingUntilReturned(t *testing.T) {
	m := newGrantModel(t)
	for _, h := range m.holders[:2] {
		h.demand = model.Resources{MilliCPU: 8000, MemoryMB: 1000}
	}
	m.runRound()
	low := testDeclarations(4000)
	m.apply(low)
	m.limit = low.Workspaces[0].Limit
	qt.Assert(t, m.state.OverLimit("shop"), qt.IsTrue)
	qt.Assert(t, m.state.PendingReturns(1), qt.HasLen, 0)
	recalled := m.state.PendingReturns(2)
	qt.Assert(t, m.state.Grant("shop", "dc1").Over, qt.IsTrue)
	qt.Assert(t, recalled, qt.HasLen, 2)
	qt.Assert(t, recalled[0].Target.MilliCPU+recalled[1].Target.MilliCPU, qt.Equals, int64(4000))
	m.deliver(m.request(m.holders[2]), true)
	qt.Assert(t, m.state.Grant("shop", "dc3").Amount.MilliCPU, qt.Equals, int64(0))
	m.runRound()
	qt.Assert(t, m.state.OverLimit("shop"), qt.IsFalse)
	qt.Assert(t, m.state.PendingReturns(2), qt.HasLen, 0)
	qt.Assert(t, m.state.Grant("shop", "dc1").Over, qt.IsFalse)
}

// TestReturnedAmountIsNotGrantedAgain returns a part of a grant that the last request
// still demanded.
func TestReturnedAmountIsNotGrantedAgain(t *testing.T) {
	m := newGrantModel(t)
	h := m.holders[0]
	h.demand = model.Resources{MilliCPU: 8000, MemoryMB: 1000}
	m.deliver(m.request(h), true)
	keep := model.Resources{MilliCPU: 1000, MemoryMB: 1000}
	back := &ReturnGrant{Workspace: "shop", DC: h.dc, Keep: keep, Version: h.version}
	r := m.ok(&Command{ReturnGrant: back})
	qt.Assert(t, r.Grant.Amount, qt.Equals, keep)
	qt.Assert(t, r.Grant.Target, qt.Equals, keep)
}

// TestReturnFromOlderGenerationIsRefused checks that a group whose state was lost is
// fenced off by its generation.
func TestReturnFromOlderGenerationIsRefused(t *testing.T) {
	m := newGrantModel(t)
	h := m.holders[0]
	h.demand = model.Resources{MilliCPU: 8000}
	m.deliver(m.request(h), true)
	m.state.groups[h.dc] = &Group{DC: h.dc, Generation: 2}
	back := &ReturnGrant{Workspace: "shop", DC: h.dc, Version: h.version, Generation: 1}
	_, refusal := m.do(&Command{ReturnGrant: back})
	qt.Assert(t, refusal.Reason, qt.Equals, verdict.ReasonConflict)
	qt.Assert(t, refusal.Message, qt.Contains, "generation 2")
}

// TestGrantsOfOutOfServiceDataCentreAreRecalled checks that a data centre that is out
// of service keeps no grant and that the others get what it returns.
func TestGrantsOfOutOfServiceDataCentreAreRecalled(t *testing.T) {
	m := newGrantModel(t)
	for _, h := range m.holders {
		h.demand = model.Resources{MilliCPU: 16_000}
	}
	for range convergenceRounds {
		m.runRound()
	}
	m.ok(&Command{Header: m.header(), SetDataCentre: &SetDataCentre{DC: "dc1", Out: true}})
	qt.Assert(t, m.state.Grant("shop", "dc1").Target.IsZero(), qt.IsTrue)
	m.runRound()
	qt.Assert(t, m.state.Grant("shop", "dc1").Amount.IsZero(), qt.IsTrue)
	qt.Assert(t, m.sum().MilliCPU, qt.Equals, int64(16_000))
}
