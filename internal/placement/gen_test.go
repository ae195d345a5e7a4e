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

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		if err := flag.Set("rapid.seed", "20261204"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const genNow = 1_000_000

// gen draws the parts of a snapshot, evenly, from one seed.
type gen struct{ *rand.Rand }

// one draws one of choices.
func one[T any](g gen, choices ...T) T { return choices[g.IntN(len(choices))] }

// chance is true once in n times.
func (g gen) chance(n int) bool { return g.IntN(n) == 0 }

// genSnapshot draws a small cell with tasks that run, wait and hold reservations.
func genSnapshot(t *rapid.T) *Snapshot {
	g := gen{rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))}
	s := &Snapshot{NowMillis: genNow}
	s.Out = g.chance(30)
	s.Settling = g.chance(10)
	s.MaxPlacements = one(g, 0, 0, 0, 1, 5)
	g.workers(s)
	g.workspaces(s)
	g.runs(s)
	g.jobs(s)
	g.reservations(s)
	return s
}

func (g gen) workers(s *Snapshot) {
	n := one(g, 0, 1, 3, 6, 9, 12, 12)
	for i := range n {
		size := model.Resources{MilliCPU: 16_000, MemoryMB: 32_768}
		if i%4 == 3 {
			size.Accelerators = 4
		}
		state := model.WorkerReady
		if g.chance(5) {
			state = one(g, model.WorkerQuarantined, model.WorkerLost)
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
		t := workspaceOf(fmt.Sprintf("t%d", i), 1+g.Int64N(5))
		if g.chance(4) {
			t.Grant = model.Resources{MilliCPU: g.Int64N(90_000), MemoryMB: 90_000, Accelerators: 4}
		}
		t.Elsewhere = g.size().Scale(g.Int64N(4))
		s.Workspaces = append(s.Workspaces, t)
	}
}

func (g gen) size() model.Resources {
	return model.Resources{
		MilliCPU:     one[int64](g, 250, 1000, 2000, 4000, 9000, 16_000),
		MemoryMB:     one[int64](g, 256, 2048, 8192, 16_384, 20_000),
		Accelerators: one[int64](g, 0, 0, 0, 0, 0, 0, 1, 2),
	}
}

func (g gen) class() model.Class {
	return one(g, model.ClassBatch, model.ClassBatch, model.ClassService, model.ClassGang, model.ClassUrgent)
}

// runs fills workers up.
func (g gen) runs(s *Snapshot) {
	for i := range one(g, 0, 10, 40, 120) {
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
		s.Runs = append(s.Runs, RunView{
			Task:             model.TaskID(fmt.Sprintf("run%03d.0", i)),
			Job:              model.JobID(fmt.Sprintf("run%03d", i)),
			Workspace:        workspace.ID,
			Class:            class,
			Worker:           w.ID,
			Holds:            size,
			StartedMillis:    g.Int64N(genNow),
			CheckpointMillis: one[int64](g, 0, 0, genNow-1000),
			EndsMillis:       one[int64](g, 0, genNow-1, genNow+5000, genNow+60_000),
			Preemptible:      class == model.ClassBatch && !g.chance(4),
			Stopping:         g.chance(8),
		})
	}
}

func (g gen) jobs(s *Snapshot) {
	for i := range one(g, 1, 5, 15, 25) {
		size := g.size()
		if g.chance(30) {
			size.MemoryMB = 1 << 20
		}
		workspace := fmt.Sprintf("t%d", g.IntN(len(s.Workspaces)))
		if g.chance(30) {
			workspace = "nobody"
		}
		j := jobOf(fmt.Sprintf("j%02d", i), workspace, g.class(), 1+g.IntN(6), 0)
		j.Spec.Size = size
		j.ArrivedMillis = genNow - int64(100-i)*one[int64](g, 10, 200, 1000)
		j.RunMillis = one[int64](g, 0, 1000, 3000, 600_000)
		j.Policy.Decisions = []settings.Decision{{Name: settings.GangReservation, Revision: uint64(i)}}
		for k := range j.Pending {
			g.pending(s, &j.Pending[k])
		}
		s.Jobs = append(s.Jobs, j)
	}
	slices.SortFunc(s.Jobs, func(a, b JobView) int { return compareJobs(&a, &b) })
}

func (g gen) pending(s *Snapshot, p *PendingTask) {
	if g.chance(30) {
		p.NotBeforeMillis = genNow + 500
	}
	if len(s.Workers) > 0 && g.chance(8) {
		p.Avoid = append(p.Avoid, s.Workers[g.IntN(len(s.Workers))].ID)
	}
}

// reservations lets a plan for a fuller cell make them, so that they are such
// as really occur.
func (g gen) reservations(s *Snapshot) {
	if g.chance(2) {
		return
	}
	earlier := *s
	earlier.NowMillis -= one[int64](g, 100, 5000, 20_000)
	earlier.Workers = slices.Clone(s.Workers)
	for i := range earlier.Workers {
		earlier.Workers[i].Free = earlier.Workers[i].Free.Min(model.Resources{MilliCPU: g.Int64N(4000)})
	}
	s.Reservations = Decide(&earlier).Reservations
	// Learnt sizes change between two plans.
	for i := range s.Jobs {
		if g.chance(3) {
			s.Jobs[i].Spec.Size.MilliCPU += s.Jobs[i].Spec.Size.MilliCPU / 8
		}
	}
}
