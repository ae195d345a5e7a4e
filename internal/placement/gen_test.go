package placement

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"kumquatwing/internal/model"
	"kumquatwing/internal/settings"
)

// TestMain sets a fixed seed for the property tests, unless the command line
// sets another.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		if err := flag.Set("rapid.seed", "20261204"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// genNow is the time of the drawn snapshots.
const genNow = 1_000_000

// gen draws the parts of a snapshot from a single seed. All choices are equally
// likely.
type gen struct{ *rand.Rand }

// oneOf draws one of choices.
func oneOf[T any](g gen, choices ...T) T { return choices[g.IntN(len(choices))] }

// oneIn returns true with a probability of one in n.
func (g gen) oneIn(n int) bool { return g.IntN(n) == 0 }

// genSnapshot draws the snapshot of a small cell with running tasks, waiting
// jobs and reservations.
func genSnapshot(t *rapid.T) *Snapshot {
	g := gen{rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))}
	s := &Snapshot{NowMillis: genNow}
	s.OutOfService = g.oneIn(30)
	s.Rebuilding = g.oneIn(10)
	s.MaxPlacements = oneOf(g, 0, 0, 0, 1, 5)
	g.workers(s)
	g.workspaces(s)
	g.runs(s)
	g.jobs(s)
	g.reservations(s)
	return s
}

func (g gen) workers(s *Snapshot) {
	n := oneOf(g, 0, 1, 3, 6, 9, 12, 12)
	for i := range n {
		size := model.Resources{MilliCPU: 16_000, MemoryMB: 32_768}
		if i%4 == 3 {
			size.Accelerators = 4
		}
		state := model.WorkerReady
		if g.oneIn(5) {
			state = oneOf(g, model.WorkerQuarantined, model.WorkerLost)
		}
		s.Workers = append(s.Workers, WorkerView{
			ID:    model.WorkerID(fmt.Sprintf("w%02d", i)),
			Rack:  fmt.Sprintf("r%d", i/3),
			Size:  size,
			Free:  size,
			State: state,
		})
	}
}

func (g gen) workspaces(s *Snapshot) {
	for i := range 1 + g.IntN(4) {
		t := newTestWorkspace(fmt.Sprintf("t%d", i), 1+g.Int64N(5))
		if g.oneIn(4) {
			t.Grant = model.Resources{MilliCPU: g.Int64N(90_000), MemoryMB: 90_000, Accelerators: 4}
		}
		t.UsageElsewhere = g.size().Scale(g.Int64N(4))
		s.Workspaces = append(s.Workspaces, t)
	}
}

func (g gen) size() model.Resources {
	return model.Resources{
		MilliCPU:     oneOf[int64](g, 250, 1000, 2000, 4000, 9000, 16_000),
		MemoryMB:     oneOf[int64](g, 256, 2048, 8192, 16_384, 20_000),
		Accelerators: oneOf[int64](g, 0, 0, 0, 0, 0, 0, 1, 2),
	}
}

func (g gen) class() model.Class {
	return oneOf(g, model.ClassBatch, model.ClassBatch, model.ClassService, model.ClassGang, model.ClassUrgent)
}

// runs adds running tasks to workers that have enough free capacity for them.
func (g gen) runs(s *Snapshot) {
	for i := range oneOf(g, 0, 10, 40, 120) {
		if len(s.Workers) == 0 {
			return
		}
		w := &s.Workers[g.IntN(len(s.Workers))]
		workspace := &s.Workspaces[g.IntN(len(s.Workspaces))]
		size := g.size()
		if !size.Fits(w.Free) {
			continue
		}
		w.Free = w.Free.Sub(size)
		workspace.Usage = workspace.Usage.Add(size)
		class := g.class()
		s.Runs = append(s.Runs, RunningTask{
			Task:             model.TaskID(fmt.Sprintf("run%03d.0", i)),
			Job:              model.JobID(fmt.Sprintf("run%03d", i)),
			Workspace:        workspace.ID,
			Class:            class,
			Worker:           w.ID,
			Allocated:        size,
			StartedMillis:    g.Int64N(genNow),
			CheckpointMillis: oneOf[int64](g, 0, 0, genNow-1000),
			EndsMillis:       oneOf[int64](g, 0, genNow-1, genNow+5000, genNow+60_000),
			Preemptible:      class == model.ClassBatch && !g.oneIn(4),
			Stopping:         g.oneIn(8),
		})
	}
}

func (g gen) jobs(s *Snapshot) {
	for i := range oneOf(g, 1, 5, 15, 25) {
		size := g.size()
		if g.oneIn(30) {
			size.MemoryMB = 1 << 20
		}
		workspace := fmt.Sprintf("t%d", g.IntN(len(s.Workspaces)))
		if g.oneIn(30) {
			workspace = "nobody"
		}
		j := newTestJob(fmt.Sprintf("j%02d", i), workspace, g.class(), 1+g.IntN(6), 0)
		j.Spec.Size = size
		j.ArrivedMillis = genNow - int64(100-i)*oneOf[int64](g, 10, 200, 1000)
		j.RunMillis = oneOf[int64](g, 0, 1000, 3000, 600_000)
		j.Policy.Decisions = []settings.EffectiveValue{{Name: settings.GangReservation, Revision: uint64(i)}}
		for k := range j.Pending {
			g.pending(s, &j.Pending[k])
		}
		s.Jobs = append(s.Jobs, j)
	}
	slices.SortFunc(s.Jobs, func(a, b JobView) int { return compareJobs(&a, &b) })
}

func (g gen) pending(s *Snapshot, p *PendingTask) {
	if g.oneIn(30) {
		p.NotBeforeMillis = genNow + 500
	}
	if len(s.Workers) > 0 && g.oneIn(8) {
		p.Avoid = append(p.Avoid, s.Workers[g.IntN(len(s.Workers))].ID)
	}
}

// reservations adds reservations as they occur in practice: those that an
// earlier plan, for a cell with less free capacity, has made.
func (g gen) reservations(s *Snapshot) {
	if g.oneIn(2) {
		return
	}
	earlier := *s
	earlier.NowMillis -= oneOf[int64](g, 100, 5000, 20_000)
	earlier.Workers = slices.Clone(s.Workers)
	for i := range earlier.Workers {
		earlier.Workers[i].Free = earlier.Workers[i].Free.Min(model.Resources{MilliCPU: g.Int64N(4000)})
	}
	s.Reservations = Decide(&earlier).Reservations
	// Estimated sizes may change between two plans.
	for i := range s.Jobs {
		if g.oneIn(3) {
			s.Jobs[i].Spec.Size.MilliCPU += s.Jobs[i].Spec.Size.MilliCPU / 8
		}
	}
}
