package replica

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/verdict"
)

const (
	historyClients = 4
	historyTime    = 3 * time.Second
	historyTimeout = time.Second
)

// registerOp is an operation on the register: a write, or a read if Write is "".
type registerOp struct{ Write string }

// registerModel is a register that starts empty.
var registerModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		if op := input.(registerOp); op.Write != "" {
			return true, op.Write
		}
		return output == state, state
	},
}

// history runs clients against members that are stopped, paused and restarted.
type history struct {
	g       *group
	barrier bool
	began   time.Time

	mu  sync.Mutex
	ops []porcupine.Operation
}

func (h *history) pick(rng *rand.Rand) *member {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.g.members[rng.IntN(len(h.g.members))]
}

// client writes and reads until the time is over.
func (h *history) client(id int) {
	rng := rand.New(rand.NewPCG(uint64(id), 7))
	for i := 0; time.Since(h.began) < historyTime; i++ {
		op := porcupine.Operation{ClientId: id, Call: int64(time.Since(h.began))}
		m := h.pick(rng)
		known := false
		if rng.IntN(2) == 0 {
			op.Input = registerOp{fmt.Sprintf("%d.%d", id, i)}
			known = h.write(m, &op)
		} else {
			op.Input = registerOp{}
			known = h.read(m, &op)
		}
		if known {
			h.mu.Lock()
			h.ops = append(h.ops, op)
			h.mu.Unlock()
		}
		time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
	}
}

// write reports whether the operation may have run; one without an answer may
// run at any later time.
func (h *history) write(m *member, op *porcupine.Operation) bool {
	ctx, cancel := context.WithTimeout(context.Background(), historyTimeout)
	defer cancel()
	_, err := m.node.Propose(ctx, []byte(op.Input.(registerOp).Write))
	op.Return = int64(time.Since(h.began))
	if err != nil {
		op.Return = math.MaxInt64
	}
	return err == nil || verdict.From(err).Verdict != verdict.NotRun
}

func (h *history) read(m *member, op *porcupine.Operation) bool {
	ctx, cancel := context.WithTimeout(context.Background(), historyTimeout)
	defer cancel()
	if h.barrier && m.node.Barrier(ctx) != nil {
		return false
	}
	m.node.View(func(Status) { op.Output = string(m.machine.last) })
	op.Return = int64(time.Since(h.began))
	return true
}

// disturb pauses, restarts and deposes members in turn.
func (h *history) disturb() {
	rng := rand.New(rand.NewPCG(1, 9))
	for time.Since(h.began) < historyTime {
		time.Sleep(30 * testTick)
		m := h.pick(rng)
		switch rng.IntN(3) {
		case 0:
			m.node.View(func(Status) { time.Sleep(40 * testTick) })
		case 1:
			h.restart(m)
		case 2:
			ctx, cancel := context.WithTimeout(context.Background(), historyTimeout)
			_ = m.node.TransferLeadership(ctx)
			cancel()
		}
	}
}

func (h *history) restart(m *member) {
	m.stop()
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, o := range h.g.members {
		if o == m {
			h.g.members = append(h.g.members[:i:i], h.g.members[i+1:]...)
			break
		}
	}
	h.g.start(m.self.VM, m.dir, false)
}

// run returns whether the history of all clients is linearizable.
func (h *history) run() porcupine.CheckResult {
	h.began = time.Now()
	var wg sync.WaitGroup
	for id := range historyClients {
		wg.Go(func() { h.client(id) })
	}
	wg.Go(h.disturb)
	wg.Wait()
	return porcupine.CheckOperationsTimeout(registerModel, h.ops, time.Minute)
}

func TestHistoryIsLinearizable(t *testing.T) {
	h := &history{g: newGroup(t, 3, true), barrier: true}
	qt.Assert(t, h.run(), qt.Equals, porcupine.Ok)
	t.Logf("%d operations", len(h.ops))
	qt.Assert(t, len(h.ops) > 50, qt.IsTrue)
}

// TestHistoryWithoutBarrier shows that the check notices reads without one.
func TestHistoryWithoutBarrier(t *testing.T) {
	h := &history{g: newGroup(t, 3, true)}
	qt.Assert(t, h.run(), qt.Equals, porcupine.Illegal)
}
