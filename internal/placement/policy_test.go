package placement

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/model"
)

// newTestRun returns a running, preemptible batch task with the given times of
// start, checkpoint and expected end.
func newTestRun(id, workspace, worker string, milliCPU, started, checkpoint, ends int64) RunningTask {
	return RunningTask{
		Task: model.TaskID(id + ".0"), Job: model.JobID(id), Workspace: model.WorkspaceID(workspace), Class: model.ClassBatch,
		Worker: model.WorkerID(worker), Allocated: model.Resources{MilliCPU: milliCPU, MemoryMB: 1000},
		StartedMillis: started, CheckpointMillis: checkpoint, EndsMillis: ends, Preemptible: true,
	}
}

// snapshotWithRuns returns a snapshot in which runs occupy capacity of workers and
// count as usage of workspaces x and y.
func snapshotWithRuns(workers []WorkerView, runs ...RunningTask) *Snapshot {
	s := &Snapshot{NowMillis: genNow, Workers: workers, Runs: runs, Workspaces: []WorkspaceView{newTestWorkspace("x", 1), newTestWorkspace("y", 1)}}
	for _, r := range runs {
		for i := range s.Workers {
			if s.Workers[i].ID == r.Worker {
				s.Workers[i].Free = s.Workers[i].Free.Sub(r.Allocated)
			}
		}
		for i := range s.Workspaces {
			if s.Workspaces[i].ID == r.Workspace {
				s.Workspaces[i].Usage = s.Workspaces[i].Usage.Add(r.Allocated)
			}
		}
	}
	return s
}

// preempted lists the tasks that p preempts.
func preempted(p *Plan) []model.TaskID {
	var out []model.TaskID
	for _, e := range p.Preempt {
		out = append(out, e.Task)
	}
	return out
}

func TestUrgentPreemptionLosesLeastWork(t *testing.T) {
	old, recent := int64(genNow-600_000), int64(genNow-1000)
	cases := []struct {
		name string
		runs []RunningTask
		size int64
		want []model.TaskID
	}{
		{"newest run", []RunningTask{
			newTestRun("a", "x", "w1", 8000, old, 0, 0), newTestRun("b", "x", "w1", 8000, recent, 0, 0),
			newTestRun("c", "x", "w2", 16_000, old, 0, 0),
		}, 4000, []model.TaskID{"b.0"}},
		{"newest checkpoint", []RunningTask{
			newTestRun("a", "x", "w1", 16_000, old, 0, 0), newTestRun("c", "x", "w2", 16_000, old, recent, 0),
		}, 4000, []model.TaskID{"c.0"}},
		{"no more than needed", []RunningTask{
			newTestRun("a", "x", "w1", 1000, recent, 0, 0), newTestRun("b", "x", "w1", 15_000, recent, 0, 0),
			newTestRun("c", "x", "w2", 16_000, old, 0, 0),
		}, 4000, []model.TaskID{"b.0"}},
		{"unneeded runs do not add to the cost", []RunningTask{
			newTestRun("a", "x", "w1", 1000, genNow-2000, 0, 0), newTestRun("b", "x", "w1", 15_000, recent, 0, 0),
			newTestRun("c", "x", "w2", 15_500, recent, 0, 0), newTestRun("d", "x", "w2", 500, old, 0, 0),
		}, 4000, []model.TaskID{"b.0"}},
		{"nothing while another run is stopping", []RunningTask{
			newTestRun("a", "x", "w1", 16_000, old, 0, 0), func() RunningTask {
				r := newTestRun("c", "x", "w2", 16_000, old, 0, 0)
				r.Stopping = true
				return r
			}(),
		}, 4000, nil},
		{"never a service", []RunningTask{
			func() RunningTask {
				r := newTestRun("a", "x", "w1", 16_000, recent, 0, 0)
				r.Class = model.ClassService
				return r
			}(),
			newTestRun("c", "x", "w2", 16_000, old, 0, 0),
		}, 4000, []model.TaskID{"c.0"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := snapshotWithRuns([]WorkerView{newTestWorker("w1", "r1"), newTestWorker("w2", "r1")}, tc.runs...)
			s.Jobs = []JobView{newTestJob("u", "y", model.ClassUrgent, 1, tc.size)}
			p := Decide(s)
			qt.Assert(t, Check(s, p), qt.IsNil)
			qt.Check(t, preempted(p), qt.DeepEquals, tc.want)
			qt.Check(t, p.Place, qt.HasLen, 0)
			qt.Check(t, p.Reservations, qt.HasLen, 1)
			// The capacity is reserved: the next plan preempts nothing more and
			// does not place the batch job there.
			s.Reservations = p.Reservations
			s.NowMillis += 100
			s.Jobs = append(s.Jobs, newTestJob("b", "y", model.ClassBatch, 1, 4000))
			for i := range s.Runs {
				for _, id := range preempted(p) {
					s.Runs[i].Stopping = s.Runs[i].Stopping || s.Runs[i].Task == id
				}
			}
			next := Decide(s)
			qt.Check(t, preempted(next), qt.IsNil)
			qt.Check(t, next.Place, qt.HasLen, 0)
		})
	}
}

// TestUrgentPreemptsElsewhereWhenRunDoesNotStop covers a preempted run that has not
// stopped when the reservation expires: the urgent task then tries another worker.
func TestUrgentPreemptsElsewhereWhenRunDoesNotStop(t *testing.T) {
	s := snapshotWithRuns([]WorkerView{newTestWorker("w1", "r1"), newTestWorker("w2", "r1")},
		newTestRun("a", "x", "w1", 16_000, genNow-10, 0, 0), newTestRun("c", "x", "w2", 16_000, 0, 0, 0))
	s.Jobs = []JobView{newTestJob("u", "y", model.ClassUrgent, 1, 4000)}
	p := Decide(s)
	qt.Assert(t, preempted(p), qt.DeepEquals, []model.TaskID{"a.0"})
	s.Runs[0].Stopping = true
	s.Reservations = p.Reservations
	s.NowMillis += urgentHoldMillis
	p = Decide(s)
	qt.Assert(t, Check(s, p), qt.IsNil)
	qt.Assert(t, preempted(p), qt.DeepEquals, []model.TaskID{"c.0"})
}

// TestGangReservationAllowsBackfill checks that a gang reserves capacity for all of
// its tasks at once, and that only tasks short enough run there in the meantime.
func TestGangReservationAllowsBackfill(t *testing.T) {
	ends := int64(genNow + 20_000)
	s := snapshotWithRuns([]WorkerView{newTestWorker("w1", "r1"), newTestWorker("w2", "r1")},
		newTestRun("a", "x", "w1", 15_000, 0, 0, ends), newTestRun("c", "x", "w2", 15_000, 0, 0, ends))
	s.Jobs = []JobView{newTestJob("g", "y", model.ClassGang, 2, 16_000)}
	p := Decide(s)
	qt.Assert(t, Check(s, p), qt.IsNil)
	qt.Assert(t, p.Reservations, qt.HasLen, 1)
	r := p.Reservations[0]
	qt.Check(t, r.Workers, qt.HasLen, 2)
	qt.Check(t, r.StartMillis >= ends && r.StartMillis <= ends+20_000/startPrecisionDivisor, qt.IsTrue)
	qt.Check(t, r.UntilMillis, qt.Equals, r.StartMillis+10_000)

	s.Reservations = p.Reservations
	short, long := newTestJob("s", "y", model.ClassBatch, 1, 1000), newTestJob("l", "y", model.ClassBatch, 1, 1000)
	short.RunMillis, long.RunMillis = 5000, 60_000
	s.Jobs = append(s.Jobs, long, short)
	s.Jobs[1].ArrivedMillis, s.Jobs[2].ArrivedMillis = genNow, genNow
	p = Decide(s)
	qt.Assert(t, Check(s, p), qt.IsNil)
	qt.Check(t, placedPerJob(p), qt.DeepEquals, map[model.JobID]int{"s": 1})

	// When the reservation expires, the gang may not reserve for a while. After
	// that it reserves for twice as long.
	s.Jobs = s.Jobs[:1]
	s.NowMillis = r.UntilMillis
	p = Decide(s)
	qt.Assert(t, p.Reservations, qt.HasLen, 1)
	qt.Check(t, p.Reservations[0].Workers, qt.HasLen, 0)
	s.Reservations = p.Reservations
	s.NowMillis = p.Reservations[0].UntilMillis
	p = Decide(s)
	qt.Assert(t, p.Reservations, qt.HasLen, 1)
	qt.Check(t, p.Reservations[0].UntilMillis-p.Reservations[0].StartMillis, qt.Equals, int64(20_000))
}

// TestGangsDoNotReserveInParts guards against a deadlock: two gangs that each
// reserve part of the workers would wait for each other's part.
func TestGangsDoNotReserveInParts(t *testing.T) {
	ends := int64(genNow + 20_000)
	s := snapshotWithRuns([]WorkerView{newTestWorker("w1", "r1"), newTestWorker("w2", "r1"), newTestWorker("w3", "r1")},
		newTestRun("a", "x", "w1", 15_000, 0, 0, ends), newTestRun("b", "x", "w2", 15_000, 0, 0, ends), newTestRun("c", "x", "w3", 15_000, 0, 0, ends))
	s.Jobs = []JobView{newTestJob("g", "x", model.ClassGang, 2, 16_000), newTestJob("h", "y", model.ClassGang, 2, 16_000)}
	p := Decide(s)
	qt.Assert(t, Check(s, p), qt.IsNil)
	reserved := 0
	for _, r := range p.Reservations {
		reserved += len(r.Workers)
	}
	qt.Assert(t, reserved, qt.Equals, 2)
}

func TestShareReturnStopsAtEntitlement(t *testing.T) {
	var runs []RunningTask
	for _, id := range []string{"a", "b", "c", "d"} {
		runs = append(runs, newTestRun(id, "x", "w1", 4000, 0, 0, 0))
	}
	s := snapshotWithRuns([]WorkerView{newTestWorker("w1", "r1")}, runs...)
	s.Jobs = []JobView{newTestJob("j", "y", model.ClassBatch, 4, 4000)}
	s.Jobs[0].ArrivedMillis = genNow
	qt.Assert(t, Decide(s).Preempt, qt.HasLen, 0)
	s.Jobs[0].ArrivedMillis = genNow - reclaimWaitMillis
	p := Decide(s)
	qt.Assert(t, Check(s, p), qt.IsNil)
	// The workspaces have equal shares, so two of the four runs are preempted.
	qt.Assert(t, p.Preempt, qt.HasLen, 2)
	s.Runs[0].Stopping, s.Runs[1].Stopping = true, true
	s.Reservations = p.Reservations
	qt.Assert(t, Decide(s).Preempt, qt.HasLen, 0)
}

func TestBackfillEndsBeforeEveryReservation(t *testing.T) {
	s := &Snapshot{NowMillis: genNow, Workers: []WorkerView{newTestWorker("w1", "r1")}}
	c := newWorkerCapacity(s)
	for _, start := range []int64{genNow + 30_000, genNow + 10_000} {
		c.reserve(&Reservation{StartMillis: start, Workers: []ReservedCapacity{{Worker: "w1", Tasks: 1, Capacity: model.Resources{MilliCPU: 8000}}}})
	}
	for _, tc := range []struct {
		run  int64
		want bool
	}{{0, false}, {6000, true}, {7000, false}, {15_000, false}} {
		a := &taskRequest{size: model.Resources{MilliCPU: 1000}, endsBy: endsBy(genNow, tc.run)}
		qt.Check(t, c.mayBackfill(0, a), qt.Equals, tc.want)
	}
}

func TestReservationFollowsEstimatedSize(t *testing.T) {
	ends := int64(genNow + 20_000)
	s := snapshotWithRuns([]WorkerView{newTestWorker("w1", "r1"), newTestWorker("w2", "r1")},
		newTestRun("a", "x", "w1", 15_000, 0, 0, ends), newTestRun("c", "x", "w2", 15_000, 0, 0, ends))
	s.Jobs = []JobView{newTestJob("g", "y", model.ClassGang, 2, 12_000)}
	first := Decide(s).Reservations
	s.Reservations = first
	s.NowMillis += 1000
	s.Jobs[0].Spec.Size.MilliCPU += 100
	p := Decide(s)
	qt.Assert(t, Check(s, p), qt.IsNil)
	qt.Assert(t, p.Reservations, qt.HasLen, 1)
	// The reservation is kept, and its end does not change.
	qt.Check(t, p.Reservations[0].UntilMillis, qt.Equals, first[0].UntilMillis)
	qt.Check(t, p.Reservations[0].Workers[0].Capacity, qt.Equals, s.Jobs[0].Spec.Size)
}

// TestUrgentPreemptsWithinGrant checks that preemption serves only as many urgent
// tasks as the grant of their workspace covers.
func TestUrgentPreemptsWithinGrant(t *testing.T) {
	s := snapshotWithRuns([]WorkerView{newTestWorker("w1", "r1"), newTestWorker("w2", "r1")},
		newTestRun("a", "x", "w1", 8000, 0, 0, 0), newTestRun("b", "x", "w1", 8000, 0, 0, 0), newTestRun("c", "x", "w2", 16_000, 0, 0, 0))
	s.Jobs = []JobView{newTestJob("u", "y", model.ClassUrgent, 1, 8000), newTestJob("v", "y", model.ClassUrgent, 1, 8000)}
	s.Workspaces[1].Grant.MilliCPU = 8000
	p := Decide(s)
	qt.Assert(t, Check(s, p), qt.IsNil)
	qt.Check(t, p.Preempt, qt.HasLen, 1)
}

// TestUrgentPreemptsOwnWorkspaceAtLimit checks that an urgent task preempts runs of
// its own workspace when the grant is used up, since only these free part of it.
func TestUrgentPreemptsOwnWorkspaceAtLimit(t *testing.T) {
	s := snapshotWithRuns([]WorkerView{newTestWorker("w1", "r1"), newTestWorker("w2", "r1")},
		newTestRun("a", "x", "w1", 4000, genNow-10, 0, 0), newTestRun("b", "y", "w1", 4000, 0, 0, 0), newTestRun("c", "y", "w1", 4000, genNow-20, 0, 0))
	s.Jobs = []JobView{newTestJob("u", "y", model.ClassUrgent, 1, 2000)}
	s.Workspaces[1].Grant.MilliCPU = 9000
	p := Decide(s)
	qt.Assert(t, Check(s, p), qt.IsNil)
	qt.Assert(t, preempted(p), qt.DeepEquals, []model.TaskID{"c.0"})
	// The stopping run will free enough of the grant, so nothing more is preempted.
	s.Reservations = p.Reservations
	s.Runs[2].Stopping = true
	qt.Assert(t, Decide(s).Preempt, qt.HasLen, 0)
}

func TestShareReturnForGang(t *testing.T) {
	var runs []RunningTask
	for _, w := range []string{"w1", "w2", "w3", "w4"} {
		runs = append(runs, newTestRun("a"+w, "x", w, 8000, 0, 0, genNow+600_000), newTestRun("b"+w, "x", w, 8000, 0, 0, genNow+700_000))
	}
	s := snapshotWithRuns([]WorkerView{newTestWorker("w1", "r1"), newTestWorker("w2", "r1"), newTestWorker("w3", "r1"), newTestWorker("w4", "r1")}, runs...)
	s.Jobs = []JobView{newTestJob("g", "y", model.ClassGang, 2, 12_000)}
	s.Jobs[0].ArrivedMillis = genNow - reclaimWaitMillis
	p := Decide(s)
	qt.Assert(t, p.Reservations, qt.HasLen, 1)
	s.Reservations = p.Reservations
	p = Decide(s)
	qt.Assert(t, Check(s, p), qt.IsNil)
	// The runs of two whole workers: half of the capacity, the workspace's share.
	qt.Assert(t, p.Preempt, qt.HasLen, 4)
	qt.Check(t, p.Reservations[0].StartMillis, qt.Equals, int64(genNow+stopMillis))
	// A larger gang would exceed the share of its workspace.
	s.Reservations = nil
	s.Jobs[0] = newTestJob("g", "y", model.ClassGang, 3, 12_000)
	s.Reservations = Decide(s).Reservations
	qt.Assert(t, s.Reservations, qt.HasLen, 1)
	qt.Assert(t, Decide(s).Preempt, qt.HasLen, 0)
}
