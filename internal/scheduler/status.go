package scheduler

import (
	"time"

	"go.uber.org/zap"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/clock"
)

// statusInterval is the pause between two lines on the state of the cell.
const statusInterval = 2 * time.Second

// logStatus writes one line on how full the cell is and what waits.
func (s *Scheduler) logStatus(now clock.Instant) {
	if now < s.nextStatus {
		return
	}
	s.nextStatus = now.Add(statusInterval)
	var capacity, used, usable, waitingTasks int64
	waiting, held := map[string]int{}, map[string]int64{}
	active := 0
	var spread [freeBands]int
	s.cfg.State.Read(func() {
		for id, w := range s.cfg.State.Workers {
			capacity += w.Capacity.MilliCPU
			used += w.Used.MilliCPU
			for k, a := range w.Held {
				if j := s.cfg.State.Jobs[k.Job]; j != nil {
					held[j.Queue] += a.Need.MilliCPU
				}
			}
			if se := s.sessions[id]; se != nil && s.takesWork(se, w, now) {
				usable += w.Capacity.MilliCPU
				spread[freeBand(w)]++
			}
		}
		active = len(s.cfg.State.Active)
		for _, j := range s.cfg.State.Active {
			for o := range j.Occurrences {
				for i := range j.Occurrences[o].Steps {
					st := &j.Occurrences[o].Steps[i]
					if n := len(st.Tasks) - st.Done - st.Placed; n > 0 && j.Ready(o, i) {
						waiting[j.Queue]++
						waitingTasks += int64(n)
					}
				}
			}
		}
	})
	s.logStuck(now)
	idle, all := s.countAdvisers(now)
	s.cfg.Log.Info("cell status", zap.Int64("cores", capacity/1000), zap.Int64("usable", usable/1000),
		zap.Int64("used", used/1000), zap.Int("jobs", active), zap.Int64("waiting_tasks", waitingTasks),
		zap.Ints("workers_by_free_quarter", spread[:]), zap.Any("waiting_steps", waiting), zap.Any("millicpu", held), zap.Int("advisers_idle", idle), zap.Int("advisers", all))
}

// freeBands is how many equal bands of free cores the workers are counted in.
const freeBands = 4

// freeBand is the band of a worker's free cores: the last one is nearly empty.
func freeBand(w *cell.WorkerState) int {
	share := float64(max(0, w.Free().MilliCPU)) / float64(max(1, w.Capacity.MilliCPU))
	return min(freeBands-1, int(share*freeBands))
}

const (
	// stuckAfter is how long a job must have been here for its waiting steps to
	// be explained, and maxExplained how many are at a time.
	stuckAfter   = 8 * time.Second
	maxExplained = 4
)

// logStuck explains some steps that have waited for long.
func (s *Scheduler) logStuck(now clock.Instant) {
	explained := 0
	s.cfg.State.Read(func() {
		for id, j := range s.cfg.State.Active {
			if in, ok := s.taken[id]; !ok || now.Sub(in.at) < stuckAfter {
				continue
			}
			for o := range j.Occurrences {
				for i := range j.Occurrences[o].Steps {
					st := &j.Occurrences[o].Steps[i]
					if len(st.Tasks)-st.Done-st.Placed == 0 || !j.Ready(o, i) || explained == maxExplained {
						continue
					}
					explained++
					s.explain(cell.StepKey{Job: id, Occurrence: o, Step: i}, j, st, now)
				}
			}
		}
	})
}

// explain writes what is known of a waiting step. The state is locked.
func (s *Scheduler) explain(k cell.StepKey, j *cell.Job, st *cell.StepState, now clock.Instant) {
	fields := []zap.Field{
		zap.Stringer("step", k), zap.String("queue", j.Queue), zap.Duration("age", now.Sub(s.taken[k.Job].at)),
		zap.Bool("over_share", s.taken[k.Job].overShare),
		zap.Int("tasks", len(st.Tasks)), zap.Int("done", st.Done), zap.Int("placed", st.Placed), zap.Int("held", st.Held),
		zap.Bool("gang", j.Steps[k.Step].Gang), zap.Int64("millicpu", j.Steps[k.Step].Need.MilliCPU),
	}
	if a := s.advice[k]; a != nil {
		valid := 0
		for _, t := range a.Good {
			if now < t.Until {
				valid++
			}
		}
		fields = append(fields, zap.Int("asked", len(a.Asked)), zap.Int("good", len(a.Good)), zap.Int("valid", valid),
			zap.Int("asking", a.InFlight))
	}
	s.cfg.Log.Info("step waits", fields...)
}
