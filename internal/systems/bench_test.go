package systems_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"kumquatwing/internal/model"
	"kumquatwing/internal/placement"
	"kumquatwing/internal/settings"
	"kumquatwing/internal/systems"
	"kumquatwing/internal/work"
)

// newLoadedState returns a replicated state, and its view, in which all of the given
// tasks run.
func newLoadedState(workers, tasks int) (*work.State, *systems.View) {
	const perJob = 100
	s := work.New()
	v := &systems.View{DC: "dc1", Generation: 1, Revision: 1, Tree: settings.NewTree()}
	size := model.Resources{MilliCPU: 16_000, MemoryMB: 32_768}
	c := &work.Command{Epoch: model.NewEpoch(1, 1), FleetRevision: 1}
	for i := range workers {
		c.Register = append(c.Register, work.Register{
			Worker: model.WorkerID(fmt.Sprintf("worker-%05d", i)), DC: "dc1",
			Rack: fmt.Sprintf("rack-%03d", i/8), Size: size, Incarnation: "0f8fad5b-d9cb-469f-a165-70867728950e",
		})
	}
	// Each grant is at least 1.5 times the average usage of a workspace.
	taskSize := model.Resources{MilliCPU: 1000, MemoryMB: 1024}
	grant := taskSize.Scale(int64(max(tasks/220, 2*perJob) * 3 / 2))
	for i := range 220 {
		workspace := model.Workspace{ID: model.WorkspaceID(fmt.Sprintf("workspace-%03d", i)), Share: 1, Limit: grant}
		v.Workspaces = append(v.Workspaces, systems.WorkspaceGrant{Workspace: workspace, Granted: grant, Target: grant, Version: 1})
		c.Grants = append(c.Grants, work.SetGrant{Workspace: workspace.ID, Version: 1, Cap: grant})
	}
	for i := 0; i < tasks; i += perJob {
		spec := model.JobSpec{
			ID: model.JobID(fmt.Sprintf("job-%06d", i/perJob)), Workspace: v.Workspaces[i/perJob%220].ID, Workload: "wl",
			Class: model.ClassBatch, Tasks: perJob, RunMillis: 600_000, Idempotent: true,
			Size: taskSize,
		}
		v.Jobs = append(v.Jobs, systems.AssignedJob{Spec: spec, Assignment: 1})
		c.Admit = append(c.Admit, work.Admit{Spec: spec, Assignment: 1})
	}
	s.Apply(1000, c)
	place := &work.Command{}
	n := 0
	for _, j := range s.Jobs() {
		for _, task := range j.Tasks() {
			place.Place = append(place.Place, work.Place{Task: task.ID, Worker: s.Workers()[n%workers].ID})
			n++
		}
	}
	r := s.Apply(2000, place)
	if len(r.Place) > 0 {
		panic(r.Place[0].Reason)
	}
	started := &work.Command{}
	for _, w := range s.Workers() {
		for _, task := range w.Tasks() {
			started.Started = append(started.Started, work.Run{RunID: task.Run()})
		}
	}
	s.Apply(3000, started)
	return s, v
}

func tickInput(s *work.State, v *systems.View) *systems.Input {
	return &systems.Input{
		NowMillis: 4000, Epoch: model.NewEpoch(1, 1), Member: "vm1", State: s, View: v, RebuildOver: true,
		MayStart: true, LeaderState: systems.NewLeaderState(), Decide: placement.Decide, MaxPlacements: 500,
	}
}

// settleGrants runs ticks until the grants match the demand, applying the returns as
// the fleet would.
func settleGrants(in *systems.Input) {
	for range 8 {
		in.NowMillis += 5000
		out := systems.Tick(in)
		in.State.Apply(in.NowMillis, out.Command)
		for i := range in.View.Workspaces {
			ws := &in.View.Workspaces[i]
			if g := in.State.Grant(ws.ID); g.Returning {
				ws.Granted, ws.Target, ws.Version = g.Cap, g.Cap, g.Version+1
			}
		}
	}
}

var cellSizes = []struct{ workers, tasks int }{{73, 1000}, {1600, 22_000}}

// BenchmarkTickIdle measures a tick in which no task waits.
func BenchmarkTickIdle(b *testing.B) {
	for _, size := range cellSizes {
		b.Run(fmt.Sprintf("%dworkers", size.workers), func(b *testing.B) {
			s, v := newLoadedState(size.workers, size.tasks)
			in := tickInput(s, v)
			settleGrants(in)
			b.ReportAllocs()
			for b.Loop() {
				systems.Tick(in)
			}
		})
	}
}

// BenchmarkTickPlaces measures a tick that places 64 waiting tasks, as many as start
// within one second.
func BenchmarkTickPlaces(b *testing.B) {
	for _, size := range cellSizes {
		b.Run(fmt.Sprintf("%dworkers", size.workers), func(b *testing.B) {
			s, v := newLoadedState(size.workers, size.tasks)
			spec := v.Jobs[0].Spec
			spec.ID, spec.Tasks = "waiting", 64
			v.Jobs = append(v.Jobs, systems.AssignedJob{Spec: spec, Assignment: 2})
			v.Revision = 2
			s.Apply(3500, &work.Command{FleetRevision: 2, Admit: []work.Admit{{Spec: spec, Assignment: 2}}})
			in := tickInput(s, v)
			in.MayStart = false
			settleGrants(in)
			in.MayStart = true
			b.ReportAllocs()
			for b.Loop() {
				if out := systems.Tick(in); len(out.Command.Place) != 64 {
					b.Fatal(len(out.Command.Place))
				}
			}
		})
	}
}

// BenchmarkApply measures the commands that place and end 64 tasks.
func BenchmarkApply(b *testing.B) {
	for _, size := range cellSizes {
		b.Run(fmt.Sprintf("%dworkers", size.workers), func(b *testing.B) {
			s, _ := newLoadedState(size.workers, size.tasks)
			spec := s.Jobs()[0].Spec
			spec.ID, spec.Tasks = "waiting", 64
			s.Apply(3500, &work.Command{FleetRevision: 2, Admit: []work.Admit{{Spec: spec, Assignment: 2}}})
			b.ReportAllocs()
			for attempt := uint32(1); b.Loop(); attempt++ {
				place, end := &work.Command{}, &work.Command{}
				for i := range 64 {
					id, w := work.FormatTaskID("waiting", i), s.Workers()[i].ID
					place.Place = append(place.Place, work.Place{Task: id, Worker: w})
					end.Ended = append(end.Ended, work.Ended{RunID: work.RunID{Task: id, Attempt: attempt, Worker: w}})
				}
				if r := s.Apply(4000, place); len(r.Place) > 0 {
					b.Fatal(r.Place[0].Reason)
				}
				s.Apply(4000, end)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/64, "ns/run")
		})
	}
}

// BenchmarkSnapshot measures encoding a snapshot and reports its size and the time to
// restore it.
func BenchmarkSnapshot(b *testing.B) {
	for _, size := range cellSizes {
		b.Run(fmt.Sprintf("%dworkers", size.workers), func(b *testing.B) {
			s, _ := newLoadedState(size.workers, size.tasks)
			var bytes int
			var restore time.Duration
			for b.Loop() {
				data, err := s.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				bytes = len(data)
				start := time.Now()
				if err := work.New().Restore(data); err != nil {
					b.Fatal(err)
				}
				restore += time.Since(start)
			}
			b.ReportMetric(float64(bytes), "bytes")
			b.ReportMetric(float64(restore.Nanoseconds())/float64(b.N), "restore-ns")
		})
	}
}

// BenchmarkMemory reports the heap size of the replicated state, and its growth per
// task and per worker.
func BenchmarkMemory(b *testing.B) {
	heapSize := func(workers, tasks int) float64 {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		s, _ := newLoadedState(workers, tasks)
		s.Restore(must(s.Snapshot()))
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(s)
		return float64(after.HeapAlloc) - float64(before.HeapAlloc)
	}
	for b.Loop() {
		full := heapSize(1600, 22_000)
		b.ReportMetric(full/(1<<20), "MB")
		b.ReportMetric((full-heapSize(1600, 2_000))/20_000, "bytes/task")
		b.ReportMetric((heapSize(3200, 2_000)-heapSize(1600, 2_000))/1600, "bytes/worker")
	}
}

func must(data []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return data
}
