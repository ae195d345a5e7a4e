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

// registerOp is an operation on the register: a write of Write, or a read if
// Write is "".
type registerOp struct{ Write string }

// registerModel is the sequential specification of a register that is initially
// empty.
var registerModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		if op := input.(registerOp); op.Write != "" {
			return true, op.Write
		}
		return output == state, state
	},
}

// history records the operations of concurrent clients on a group whose members
// are paused, restarted and replaced as leader.
type history struct {
	g       *group
	barrier bool
	start   time.Time

	mu  sync.Mutex
	ops []porcupine.Operation
}

func (h *history) randomMember(rng *rand.Rand) *member {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.g.members[rng.IntN(len(h.g.members))]
}

// client performs writes and reads at random members for historyTime.
func (h *history) client(id int) {
	rng := rand.New(rand.NewPCG(uint64(id), 7))
	for i := 0; time.Since(h.start) < historyTime; i++ {
		op := porcupine.Operation{ClientId: id, Call: int64(time.Since(h.start))}
		m := h.randomMember(rng)
		record := false
		if rng.IntN(2) == 0 {
			op.Input = registerOp{fmt.Sprintf("%d.%d", id, i)}
			record = h.write(m, &op)
		} else {
			op.Input = registerOp{}
			record = h.read(m, &op)
		}
		if record {
			h.mu.Lock()
			h.ops = append(h.ops, op)
			h.mu.Unlock()
		}
		time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
	}
}

// write reports whether the write may have been executed. Without a definite
// result, it may take effect at any later time.
func (h *history) write(m *member, op *porcupine.Operation) bool {
	ctx, cancel := context.WithTimeout(context.Background(), historyTimeout)
	defer cancel()
	_, err := m.node.Propose(ctx, []byte(op.Input.(registerOp).Write))
	op.Return = int64(time.Since(h.start))
	if err != nil {
		op.Return = math.MaxInt64
	}
	return err == nil || verdict.FromError(err).Verdict != verdict.NotRun
}

// read reads the register and reports whether it got a result.
func (h *history) read(m *member, op *porcupine.Operation) bool {
	ctx, cancel := context.WithTimeout(context.Background(), historyTimeout)
	defer cancel()
	if h.barrier && m.node.Barrier(ctx) != nil {
		return false
	}
	m.node.View(func(Status) { op.Output = string(m.machine.last) })
	op.Return = int64(time.Since(h.start))
	return true
}

// injectFaults pauses or restarts a random member, or transfers its leadership,
// at regular intervals.
func (h *history) injectFaults() {
	rng := rand.New(rand.NewPCG(1, 9))
	for time.Since(h.start) < historyTime {
		time.Sleep(30 * testTick)
		m := h.randomMember(rng)
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

// restart stops a member and starts it again from its store.
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

// run runs clients and faults for historyTime and checks that the history is
// linearizable.
func (h *history) run() porcupine.CheckResult {
	h.start = time.Now()
	var wg sync.WaitGroup
	for id := range historyClients {
		wg.Go(func() { h.client(id) })
	}
	wg.Go(h.injectFaults)
	wg.Wait()
	return porcupine.CheckOperationsTimeout(registerModel, h.ops, time.Minute)
}

func TestHistoryIsLinearizable(t *testing.T) {
	h := &history{g: newGroup(t, 3, true), barrier: true}
	qt.Assert(t, h.run(), qt.Equals, porcupine.Ok)
	t.Logf("%d operations", len(h.ops))
	qt.Assert(t, len(h.ops) > 50, qt.IsTrue)
}

// TestHistoryWithoutBarrier shows that the check detects stale reads: reads
// without a barrier give a history that is not linearizable.
func TestHistoryWithoutBarrier(t *testing.T) {
	h := &history{g: newGroup(t, 3, true)}
	qt.Assert(t, h.run(), qt.Equals, porcupine.Illegal)
}
