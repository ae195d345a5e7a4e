package fleet

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/model"
)

// newContendedModel returns a converged model in which the demand of every data centre
// is the whole limit.
func newContendedModel(t *testing.T) *grantModel {
	m := newGrantModel(t)
	for _, h := range m.holders {
		h.demand = m.limit
	}
	for range convergenceRounds {
		m.runRound()
	}
	return m
}

// TestMinGrantsAreServedInTurn has two data centres wait for a gang each that needs
// more than a fair share, next to one whose demand is always the whole limit.
func TestMinGrantsAreServedInTurn(t *testing.T) {
	m := newContendedModel(t)
	gang := model.Resources{MilliCPU: 12_000}
	for _, h := range m.holders[:2] {
		h.minGrant = gang
	}
	for turn, h := range m.holders[:2] {
		for range convergenceRounds {
			m.runRound()
		}
		for i, other := range m.holders[:2] {
			met := gang.Fits(m.state.Grant("shop", other.dc).Amount)
			qt.Assert(t, met, qt.Equals, i == turn, qt.Commentf("turn %d, %s", turn, other.dc))
		}
		h.minGrant = model.Resources{}
	}
	for range convergenceRounds {
		m.runRound()
	}
	qt.Assert(t, m.runRound(), qt.Equals, 0)
	for _, h := range m.holders {
		amount := m.state.Grant("shop", h.dc).Amount.MilliCPU
		qt.Assert(t, amount >= 16_000/3-quantum(16_000), qt.IsTrue, qt.Commentf("%s: %d", h.dc, amount))
	}
}

// TestStaleMinGrantExpires checks that a satisfied minimum grant that is never
// cleared does not block the minimum grant of another data centre.
func TestStaleMinGrantExpires(t *testing.T) {
	m := newContendedModel(t)
	gang := model.Resources{MilliCPU: 12_000}
	m.holders[0].minGrant = gang
	for range convergenceRounds {
		m.runRound()
	}
	qt.Assert(t, gang.Fits(m.state.Grant("shop", "dc1").Amount), qt.IsTrue)
	unreachable := m.holders[0]
	m.holders = m.holders[1:]
	m.holders[0].minGrant = gang
	for range maxMinGrantAge {
		m.runRound()
	}
	qt.Assert(t, m.state.Grant("shop", "dc1").Target.MilliCPU < gang.MilliCPU, qt.IsTrue)
	unreachable.minGrant = model.Resources{}
	m.holders = append(m.holders, unreachable)
	for range convergenceRounds {
		m.runRound()
	}
	qt.Assert(t, gang.Fits(m.state.Grant("shop", "dc2").Amount), qt.IsTrue)
}

// TestMinGrantOverTheLimitIsSkipped checks that a job that can never start doesn't
// block the minimum grants of other data centres.
func TestMinGrantOverTheLimitIsSkipped(t *testing.T) {
	m := newContendedModel(t)
	m.holders[0].minGrant = model.Resources{MilliCPU: 17_000}
	m.runRound()
	m.holders[1].minGrant = model.Resources{MilliCPU: 12_000}
	for range convergenceRounds {
		m.runRound()
	}
	qt.Assert(t, m.state.Grant("shop", "dc2").Amount.MilliCPU >= 12_000, qt.IsTrue)
}

// TestMinGrantsUseTheWholeLimit runs tasks whose size doesn't divide the fair share
// evenly. Each data centre requests the minimum grant for its next task.
func TestMinGrantsUseTheWholeLimit(t *testing.T) {
	cases := []struct{ size, want int64 }{
		{1000, 16_000}, {1500, 15_000}, {2000, 16_000}, {3000, 15_000}, {5000, 15_000}, {7000, 14_000},
	}
	for _, c := range cases {
		m := newContendedModel(t)
		for _, h := range m.holders {
			h.running = model.Resources{}
		}
		for range 20 {
			for _, h := range m.holders {
				m.startTasks(h, c.size)
			}
		}
		var running int64
		for _, h := range m.holders {
			running += h.running.MilliCPU
		}
		qt.Check(t, running, qt.Equals, c.want, qt.Commentf("tasks of %d", c.size))
	}
}

// startTasks requests the minimum grant for the next task, starts as many tasks as fit
// and returns the part of the grant above the target.
func (m *grantModel) startTasks(h *holder, size int64) {
	h.demand.MilliCPU = m.limit.MilliCPU
	h.minGrant.MilliCPU = h.running.MilliCPU + size
	m.deliver(m.request(h), true)
	g := m.state.Grant("shop", h.dc)
	for h.running.MilliCPU+size <= min(h.cap.MilliCPU, g.Target.MilliCPU) {
		h.running.MilliCPU += size
	}
	if g.Target != g.Amount {
		m.deliver(m.returnExcess(h), true)
	}
}
