package placement

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/model"
)

// runOf returns a preemptible batch run that started and saved at the given times.
func runOf(id, workspace, worker string, milliCPU, started, checkpoint, ends int64) RunView {
	return RunView{
		Task: model.TaskID(id + ".0"), Job: model.JobID(id), Workspace: model.WorkspaceID(workspace), Class: model.ClassBatch,
		Worker: model.WorkerID(worker), Holds: model.Resources{MilliCPU: milliCPU, MemoryMB: 1000},
		StartedMillis: started, CheckpointMillis: checkpoint, EndsMillis: ends, Preemptible: true,
	}
}

// occupied returns a snapshot of workers filled by runs.
func occupied(workers []WorkerView, runs ...RunView) *Snapshot {
	s := &Snapshot{NowMillis: genNow, Workers: workers, Runs: runs, Workspaces: []WorkspaceView{workspaceOf("x", 1), workspaceOf("y", 1)}}
	for _, r := range runs {
		for i := range s.Workers {
			if s.Workers[i].ID == r.Worker {
				s.Workers[i].Free = s.Workers[i].Free.Sub(r.Holds)
			}
		}
		for i := range s.Workspaces {
			if s.Workspaces[i].ID == r.Workspace {
				s.Workspaces[i].Usage = s.Workspaces[i].Usage.Add(r.Holds)
			}
		}
	}
	return s
}

func preempted(p *Plan) []model.TaskID {
	var out []model.TaskID
	for _, e := range p.Preempt {
		out = append(out, e.Task)
	}
	return out
}

func TestUrgentPreemptsLeastWork(t *testing.T) {
	old, saved := int64(genNow-600_000), int64(genNow-1000)
	cases := []struct {
		name string
		runs []RunView
		size int64
		want []model.TaskID
	}{
		{"newest run", []RunView{
			runOf("a", "x", "w1", 8000, old, 0, 0), runOf("b", "x", "w1", 8000, saved, 0, 0),
			runOf("c", "x", "w2", 16_000, old, 0, 0),
		}, 4000, []model.TaskID{"b.0"}},
		{"newest checkpoint", []RunView{
			runOf("a", "x", "w1", 16_000, old, 0, 0), runOf("c", "x", "w2", 16_000, old, saved, 0),
		}, 4000, []model.TaskID{"c.0"}},
		{"no more than needed", []RunView{
			runOf("a", "x", "w1", 1000, saved, 0, 0), runOf("b", "x", "w1", 15_000, saved, 0, 0),
			runOf("c", "x", "w2", 16_000, old, 0, 0),
		}, 4000, []model.TaskID{"b.0"}},
		{"needless runs do not count", []RunView{
			runOf("a", "x", "w1", 1000, genNow-2000, 0, 0), runOf("b", "x", "w1", 15_000, saved, 0, 0),
			runOf("c", "x", "w2", 15_500, saved, 0, 0), runOf("d", "x", "w2", 500, old, 0, 0),
		}, 4000, []model.TaskID{"b.0"}},
		{"nothing while another run stops", []RunView{
			runOf("a", "x", "w1", 16_000, old, 0, 0), func() RunView {
				r := runOf("c", "x", "w2", 16_000, old, 0, 0)
				r.Stopping = true
				return r
			}(),
		}, 4000, nil},
		{"never a service", []RunView{
			func() RunView {
				r := runOf("a", "x", "w1", 16_000, saved, 0, 0)
				r.Class = model.ClassService
				return r
			}(),
			runOf("c", "x", "w2", 16_000, old, 0, 0),
		}, 4000, []model.TaskID{"c.0"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := occupied([]WorkerView{workerOf("w1", "r1"), workerOf("w2", "r1")}, tc.runs...)
			s.Jobs = []JobView{jobOf("u", "y", model.ClassUrgent, 1, tc.size)}
			p := Decide(s)
			qt.Assert(t, Check(s, p), qt.IsNil)
			qt.Check(t, preempted(p), qt.DeepEquals, tc.want)
			qt.Check(t, p.Place, qt.HasLen, 0)
			qt.Check(t, p.Reservations, qt.HasLen, 1)
			// The room is held: nothing more is stopped the next time, and
			// batch work doesn't get it.
			s.Reservations = p.Reservations
			s.NowMillis += 100
			s.Jobs = append(s.Jobs, jobOf("b", "y", model.ClassBatch, 1, 4000))
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

func TestUrgentMovesOnFromRunThatDoesNotStop(t *testing.T) {
	s := occupied([]WorkerView{workerOf("w1", "r1"), workerOf("w2", "r1")},
		runOf("a", "x", "w1", 16_000, genNow-10, 0, 0), runOf("c", "x", "w2", 16_000, 0, 0, 0))
	s.Jobs = []JobView{jobOf("u", "y", model.ClassUrgent, 1, 4000)}
	p := Decide(s)
	qt.Assert(t, preempted(p), qt.DeepEquals, []model.TaskID{"a.0"})
	s.Runs[0].Stopping = true
	s.Reservations = p.Reservations
	s.NowMillis += urgentHoldMillis
	p = Decide(s)
	qt.Assert(t, Check(s, p), qt.IsNil)
	qt.Assert(t, preempted(p), qt.DeepEquals, []model.TaskID{"c.0"})
}

func TestGangReservesWholeAndLetsShortWorkIn(t *testing.T) {
	ends := int64(genNow + 20_000)
	s := occupied([]WorkerView{workerOf("w1", "r1"), workerOf("w2", "r1")},
		runOf("a", "x", "w1", 15_000, 0, 0, ends), runOf("c", "x", "w2", 15_000, 0, 0, ends))
	s.Jobs = []JobView{jobOf("g", "y", model.ClassGang, 2, 16_000)}
	p := Decide(s)
	qt.Assert(t, Check(s, p), qt.IsNil)
	qt.Assert(t, p.Reservations, qt.HasLen, 1)
	r := p.Reservations[0]
	qt.Check(t, r.Workers, qt.HasLen, 2)
	qt.Check(t, r.StartMillis >= ends && r.StartMillis <= ends+20_000/stepsPerStart, qt.IsTrue)
	qt.Check(t, r.UntilMillis, qt.Equals, r.StartMillis+10_000)

	s.Reservations = p.Reservations
	short, long := jobOf("s", "y", model.ClassBatch, 1, 1000), jobOf("l", "y", model.ClassBatch, 1, 1000)
	short.RunMillis, long.RunMillis = 5000, 60_000
	s.Jobs = append(s.Jobs, long, short)
	s.Jobs[1].ArrivedMillis, s.Jobs[2].ArrivedMillis = genNow, genNow
	p = Decide(s)
	qt.Assert(t, Check(s, p), qt.IsNil)
	qt.Check(t, placedOf(p), qt.DeepEquals, map[model.JobID]int{"s": 1})

	// Past its end the room is let go, the gang pauses, and then reserves for
	// twice as long.
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

func TestGangsDoNotHoldPartsOfEachOther(t *testing.T) {
	ends := int64(genNow + 20_000)
	s := occupied([]WorkerView{workerOf("w1", "r1"), workerOf("w2", "r1"), workerOf("w3", "r1")},
		runOf("a", "x", "w1", 15_000, 0, 0, ends), runOf("b", "x", "w2", 15_000, 0, 0, ends), runOf("c", "x", "w3", 15_000, 0, 0, ends))
	s.Jobs = []JobView{jobOf("g", "x", model.ClassGang, 2, 16_000), jobOf("h", "y", model.ClassGang, 2, 16_000)}
	p := Decide(s)
	qt.Assert(t, Check(s, p), qt.IsNil)
	held := 0
	for _, r := range p.Reservations {
		held += len(r.Workers)
	}
	qt.Assert(t, held, qt.Equals, 2)
}

func TestShareReturnStopsAtEntitlement(t *testing.T) {
	var runs []RunView
	for _, id := range []string{"a", "b", "c", "d"} {
		runs = append(runs, runOf(id, "x", "w1", 4000, 0, 0, 0))
	}
	s := occupied([]WorkerView{workerOf("w1", "r1")}, runs...)
	s.Jobs = []JobView{jobOf("j", "y", model.ClassBatch, 4, 4000)}
	s.Jobs[0].ArrivedMillis = genNow
	qt.Assert(t, Decide(s).Preempt, qt.HasLen, 0)
	s.Jobs[0].ArrivedMillis = genNow - reclaimPatienceMillis
	p := Decide(s)
	qt.Assert(t, Check(s, p), qt.IsNil)
	// Two of four: the workspaces have equal shares.
	qt.Assert(t, p.Preempt, qt.HasLen, 2)
	s.Runs[0].Stopping, s.Runs[1].Stopping = true, true
	s.Reservations = p.Reservations
	qt.Assert(t, Decide(s).Preempt, qt.HasLen, 0)
}

func TestBackfillEndsBeforeEveryReservation(t *testing.T) {
	s := &Snapshot{NowMillis: genNow, Workers: []WorkerView{workerOf("w1", "r1")}}
	c := newCell(s)
	for _, start := range []int64{genNow + 30_000, genNow + 10_000} {
		c.hold(&Reservation{StartMillis: start, Workers: []ReservedRoom{{Worker: "w1", Tasks: 1, Room: model.Resources{MilliCPU: 8000}}}})
	}
	for _, tc := range []struct {
		run  int64
		want bool
	}{{0, false}, {6000, true}, {7000, false}, {15_000, false}} {
		a := &ask{size: model.Resources{MilliCPU: 1000}, endsBy: endsBy(genNow, tc.run)}
		qt.Check(t, c.mayBackfill(0, a), qt.Equals, tc.want)
	}
}

func TestReservationFollowsLearntSize(t *testing.T) {
	ends := int64(genNow + 20_000)
	s := occupied([]WorkerView{workerOf("w1", "r1"), workerOf("w2", "r1")},
		runOf("a", "x", "w1", 15_000, 0, 0, ends), runOf("c", "x", "w2", 15_000, 0, 0, ends))
	s.Jobs = []JobView{jobOf("g", "y", model.ClassGang, 2, 12_000)}
	first := Decide(s).Reservations
	s.Reservations = first
	s.NowMillis += 1000
	s.Jobs[0].Spec.Size.MilliCPU += 100
	p := Decide(s)
	qt.Assert(t, Check(s, p), qt.IsNil)
	qt.Assert(t, p.Reservations, qt.HasLen, 1)
	// The reservation goes on, and still ends when it was to end.
	qt.Check(t, p.Reservations[0].UntilMillis, qt.Equals, first[0].UntilMillis)
	qt.Check(t, p.Reservations[0].Workers[0].Room, qt.Equals, s.Jobs[0].Spec.Size)
}

func TestUrgentStopsNoMoreThanTheLimitAllows(t *testing.T) {
	s := occupied([]WorkerView{workerOf("w1", "r1"), workerOf("w2", "r1")},
		runOf("a", "x", "w1", 8000, 0, 0, 0), runOf("b", "x", "w1", 8000, 0, 0, 0), runOf("c", "x", "w2", 16_000, 0, 0, 0))
	s.Jobs = []JobView{jobOf("u", "y", model.ClassUrgent, 1, 8000), jobOf("v", "y", model.ClassUrgent, 1, 8000)}
	s.Workspaces[1].Grant.MilliCPU = 8000
	p := Decide(s)
	qt.Assert(t, Check(s, p), qt.IsNil)
	qt.Check(t, p.Preempt, qt.HasLen, 1)
}

func TestUrgentStopsOwnWorkspacesRunsAtTheLimit(t *testing.T) {
	s := occupied([]WorkerView{workerOf("w1", "r1"), workerOf("w2", "r1")},
		runOf("a", "x", "w1", 4000, genNow-10, 0, 0), runOf("b", "y", "w1", 4000, 0, 0, 0), runOf("c", "y", "w1", 4000, genNow-20, 0, 0))
	s.Jobs = []JobView{jobOf("u", "y", model.ClassUrgent, 1, 2000)}
	s.Workspaces[1].Grant.MilliCPU = 9000
	p := Decide(s)
	qt.Assert(t, Check(s, p), qt.IsNil)
	qt.Assert(t, preempted(p), qt.DeepEquals, []model.TaskID{"c.0"})
	// The run that stops makes the room within the limit: nothing more is stopped.
	s.Reservations = p.Reservations
	s.Runs[2].Stopping = true
	qt.Assert(t, Decide(s).Preempt, qt.HasLen, 0)
}

func TestShareReturnForGang(t *testing.T) {
	var runs []RunView
	for _, w := range []string{"w1", "w2", "w3", "w4"} {
		runs = append(runs, runOf("a"+w, "x", w, 8000, 0, 0, genNow+600_000), runOf("b"+w, "x", w, 8000, 0, 0, genNow+700_000))
	}
	s := occupied([]WorkerView{workerOf("w1", "r1"), workerOf("w2", "r1"), workerOf("w3", "r1"), workerOf("w4", "r1")}, runs...)
	s.Jobs = []JobView{jobOf("g", "y", model.ClassGang, 2, 12_000)}
	s.Jobs[0].ArrivedMillis = genNow - reclaimPatienceMillis
	p := Decide(s)
	qt.Assert(t, p.Reservations, qt.HasLen, 1)
	s.Reservations = p.Reservations
	p = Decide(s)
	qt.Assert(t, Check(s, p), qt.IsNil)
	// Two whole workers: half of the cell, which is the workspace's share.
	qt.Assert(t, p.Preempt, qt.HasLen, 4)
	qt.Check(t, p.Reservations[0].StartMillis, qt.Equals, int64(genNow+stopMillis))
	// A larger gang would take its workspace over its share.
	s.Reservations = nil
	s.Jobs[0] = jobOf("g", "y", model.ClassGang, 3, 12_000)
	s.Reservations = Decide(s).Reservations
	qt.Assert(t, s.Reservations, qt.HasLen, 1)
	qt.Assert(t, Decide(s).Preempt, qt.HasLen, 0)
}
