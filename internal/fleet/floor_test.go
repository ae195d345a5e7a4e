package fleet

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/model"
)

// busy returns a model in which every data centre wants the whole limit.
func busy(t *testing.T) *escrowModel {
	m := newEscrowModel(t)
	for _, h := range m.holders {
		h.want = m.limit
	}
	for range settleRounds {
		m.round()
	}
	return m
}

// TestFloorsTakeTurns lets two data centres wait for a gang each that needs more
// than a fair share, beside one that could always use the whole limit.
func TestFloorsTakeTurns(t *testing.T) {
	m := busy(t)
	gang := model.Resources{MilliCPU: 12_000}
	for _, h := range m.holders[:2] {
		h.floor = gang
	}
	for turn, h := range m.holders[:2] {
		for range settleRounds {
			m.round()
		}
		for i, other := range m.holders[:2] {
			met := gang.Fits(m.state.Grant("shop", other.dc).Amount)
			qt.Assert(t, met, qt.Equals, i == turn, qt.Commentf("turn %d, %s", turn, other.dc))
		}
		h.floor = model.Resources{}
	}
	for range settleRounds {
		m.round()
	}
	qt.Assert(t, m.round(), qt.Equals, 0)
	for _, h := range m.holders {
		amount := m.state.Grant("shop", h.dc).Amount.MilliCPU
		qt.Assert(t, amount >= 16_000/3-quantum(16_000), qt.IsTrue, qt.Commentf("%s: %d", h.dc, amount))
	}
}

// TestForgottenFloorEnds keeps a floor that was met stated for ever, while
// another data centre waits for its own.
func TestForgottenFloorEnds(t *testing.T) {
	m := busy(t)
	gang := model.Resources{MilliCPU: 12_000}
	m.holders[0].floor = gang
	for range settleRounds {
		m.round()
	}
	qt.Assert(t, gang.Fits(m.state.Grant("shop", "dc1").Amount), qt.IsTrue)
	silent := m.holders[0]
	m.holders = m.holders[1:]
	m.holders[0].floor = gang
	for range floorPatience {
		m.round()
	}
	qt.Assert(t, m.state.Grant("shop", "dc1").Target.MilliCPU < gang.MilliCPU, qt.IsTrue)
	silent.floor = model.Resources{}
	m.holders = append(m.holders, silent)
	for range settleRounds {
		m.round()
	}
	qt.Assert(t, gang.Fits(m.state.Grant("shop", "dc2").Amount), qt.IsTrue)
}

// TestFloorOverTheLimitIsPassedOver keeps a job that can never start from
// blocking others.
func TestFloorOverTheLimitIsPassedOver(t *testing.T) {
	m := busy(t)
	m.holders[0].floor = model.Resources{MilliCPU: 17_000}
	m.round()
	m.holders[1].floor = model.Resources{MilliCPU: 12_000}
	for range settleRounds {
		m.round()
	}
	qt.Assert(t, m.state.Grant("shop", "dc2").Amount.MilliCPU >= 12_000, qt.IsTrue)
}

// TestFloorsFillTheLimit runs tasks that don't divide a fair share evenly. Each
// data centre states what its next task needs.
func TestFloorsFillTheLimit(t *testing.T) {
	cases := []struct{ size, want int64 }{
		{1000, 16_000}, {1500, 15_000}, {2000, 16_000}, {3000, 15_000}, {5000, 15_000}, {7000, 14_000},
	}
	for _, c := range cases {
		m := busy(t)
		for _, h := range m.holders {
			h.running = model.Resources{}
		}
		for range 20 {
			for _, h := range m.holders {
				m.startWhole(h, c.size)
			}
		}
		var running int64
		for _, h := range m.holders {
			running += h.running.MilliCPU
		}
		qt.Check(t, running, qt.Equals, c.want, qt.Commentf("tasks of %d", c.size))
	}
}

// startWhole asks for the next task's room, starts what fits and gives back what
// is above the target.
func (m *escrowModel) startWhole(h *holder, size int64) {
	h.want.MilliCPU = m.limit.MilliCPU
	h.floor.MilliCPU = h.running.MilliCPU + size
	m.deliver(m.request(h), true)
	g := m.state.Grant("shop", h.dc)
	for h.running.MilliCPU+size <= min(h.cap.MilliCPU, g.Target.MilliCPU) {
		h.running.MilliCPU += size
	}
	if g.Target != g.Amount {
		m.deliver(m.giveBack(h), true)
	}
}
