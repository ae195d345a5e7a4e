package placement

import (
	"flag"
	"fmt"
	"os"
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

// genSnapshot draws a small cell with tasks that run, wait and hold reservations.
func genSnapshot(t *rapid.T) *Snapshot {
	s := &Snapshot{NowMillis: genNow}
	s.Out = rapid.IntRange(0, 19).Draw(t, "out") == 0
	s.Settling = rapid.IntRange(0, 9).Draw(t, "settling") == 0
	s.MaxPlacements = rapid.SampledFrom([]int{0, 0, 0, 1, 5}).Draw(t, "bound")
	genWorkers(t, s)
	genTeams(t, s)
	genRuns(t, s)
	genJobs(t, s)
	genReservations(t, s)
	return s
}

func genWorkers(t *rapid.T, s *Snapshot) {
	n := rapid.IntRange(0, 12).Draw(t, "workers")
	for i := range n {
		size := model.Resources{MilliCPU: 16_000, MemoryMB: 32_000}
		if i%4 == 3 {
			size.Accelerators = 4
		}
		state := rapid.SampledFrom([]model.WorkerState{
			model.WorkerReady, model.WorkerReady, model.WorkerReady, model.WorkerReady,
			model.WorkerQuarantined, model.WorkerLost,
		}).Draw(t, "state")
		s.Workers = append(s.Workers, WorkerView{
			ID:    model.WorkerID(fmt.Sprintf("w%02d", i)),
			Rack:  fmt.Sprintf("r%d", i/3),
			Size:  size,
			Free:  size,
			State: state,
		})
	}
}

func genTeams(t *rapid.T, s *Snapshot) {
	for i := range rapid.IntRange(1, 4).Draw(t, "teams") {
		grant := model.Resources{MilliCPU: 1 << 40, MemoryMB: 1 << 40, Accelerators: 1 << 40}
		if rapid.IntRange(0, 2).Draw(t, "limited") == 0 {
			grant = model.Resources{MilliCPU: rapid.Int64Range(0, 60_000).Draw(t, "limit"), MemoryMB: 90_000, Accelerators: 4}
		}
		s.Teams = append(s.Teams, TeamView{
			ID:        model.TeamID(fmt.Sprintf("t%d", i)),
			Share:     rapid.Int64Range(1, 5).Draw(t, "share"),
			Grant:     grant,
			Elsewhere: genSize(t).Scale(rapid.Int64Range(0, 3).Draw(t, "elsewhere")),
		})
	}
}

func genSize(t *rapid.T) model.Resources {
	return model.Resources{
		MilliCPU:     rapid.SampledFrom([]int64{250, 1000, 2000, 4000, 9000, 16_000}).Draw(t, "cpu"),
		MemoryMB:     rapid.SampledFrom([]int64{256, 2048, 8192, 20_000}).Draw(t, "memory"),
		Accelerators: rapid.SampledFrom([]int64{0, 0, 0, 0, 1, 2}).Draw(t, "accelerators"),
	}
}

func genClass(t *rapid.T) model.Class {
	return rapid.SampledFrom([]model.Class{
		model.ClassBatch, model.ClassBatch, model.ClassService, model.ClassGang, model.ClassUrgent,
	}).Draw(t, "class")
}

// genRuns fills workers up with runs.
func genRuns(t *rapid.T, s *Snapshot) {
	for i := range rapid.IntRange(0, 40).Draw(t, "runs") {
		if len(s.Workers) == 0 {
			return
		}
		w := &s.Workers[rapid.IntRange(0, len(s.Workers)-1).Draw(t, "on")]
		team := &s.Teams[rapid.IntRange(0, len(s.Teams)-1).Draw(t, "team")]
		size := genSize(t)
		if !size.Fits(w.Free) {
			continue
		}
		w.Free = w.Free.Sub(size)
		team.Usage = team.Usage.Add(size)
		class := genClass(t)
		s.Runs = append(s.Runs, RunView{
			Task:             model.TaskID(fmt.Sprintf("run%02d.0", i)),
			Job:              model.JobID(fmt.Sprintf("run%02d", i)),
			Team:             team.ID,
			Class:            class,
			Worker:           w.ID,
			Holds:            size,
			StartedMillis:    rapid.Int64Range(0, genNow).Draw(t, "started"),
			CheckpointMillis: rapid.SampledFrom([]int64{0, 0, genNow - 1000}).Draw(t, "checkpoint"),
			EndsMillis:       rapid.SampledFrom([]int64{0, genNow - 1, genNow + 5000, genNow + 60_000}).Draw(t, "ends"),
			Preemptible:      class == model.ClassBatch && rapid.Bool().Draw(t, "preemptible"),
			Stopping:         rapid.IntRange(0, 5).Draw(t, "stopping") == 0,
		})
	}
}

func genJobs(t *rapid.T, s *Snapshot) {
	for i := range rapid.IntRange(0, 25).Draw(t, "jobs") {
		id := model.JobID(fmt.Sprintf("j%02d", i))
		size := genSize(t)
		if rapid.IntRange(0, 30).Draw(t, "huge") == 0 {
			size.MemoryMB = 1 << 20
		}
		j := JobView{
			Spec: model.JobSpec{
				ID:    id,
				Team:  model.TeamID(fmt.Sprintf("t%d", rapid.IntRange(0, 4).Draw(t, "of"))),
				Class: genClass(t),
				Tasks: rapid.IntRange(1, 6).Draw(t, "tasks"),
				Size:  size,
			},
			ArrivedMillis: genNow - int64(100-i)*rapid.SampledFrom([]int64{10, 1000}).Draw(t, "age"),
			RunMillis:     rapid.SampledFrom([]int64{0, 1000, 3000, 600_000}).Draw(t, "run"),
			Policy: Policy{
				GangReservationMillis: 10_000,
				Decisions:             []settings.Decision{{Name: settings.GangReservation}},
			},
		}
		for k := range j.Spec.Tasks {
			j.Pending = append(j.Pending, genPending(t, s, model.TaskID(fmt.Sprintf("%s.%d", id, k))))
		}
		s.Jobs = append(s.Jobs, j)
	}
}

func genPending(t *rapid.T, s *Snapshot, id model.TaskID) PendingTask {
	p := PendingTask{ID: id}
	if rapid.IntRange(0, 9).Draw(t, "held back") == 0 {
		p.NotBeforeMillis = genNow + 500
	}
	if len(s.Workers) > 0 && rapid.IntRange(0, 4).Draw(t, "failed") == 0 {
		p.Avoid = append(p.Avoid, s.Workers[rapid.IntRange(0, len(s.Workers)-1).Draw(t, "avoid")].ID)
	}
	return p
}

// genReservations lets a plan for a fuller cell make the reservations, so that
// they are such as really occur.
func genReservations(t *rapid.T, s *Snapshot) {
	if rapid.Bool().Draw(t, "reserve") {
		return
	}
	earlier := *s
	earlier.NowMillis -= rapid.SampledFrom([]int64{100, 5000, 20_000}).Draw(t, "earlier")
	earlier.Workers = append([]WorkerView(nil), s.Workers...)
	for i := range earlier.Workers {
		earlier.Workers[i].Free = model.Resources{}
	}
	s.Reservations = Decide(&earlier).Reservations
}
