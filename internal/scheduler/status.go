package scheduler

import (
	"runtime"
	"time"

	"go.uber.org/zap"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/clock"
)

// statusInterval is the interval between two log lines on the status of the cell.
const statusInterval = 2 * time.Second

// logStatus logs the utilisation of the cell and its waiting work, at most once
// per statusInterval.
func (s *Scheduler) logStatus(now clock.Instant) {
	if now < s.nextStatus {
		return
	}
	s.nextStatus = now.Add(statusInterval)
	var capacity, used, usable, waitingTasks int64
	waiting, held := map[string]int{}, map[string]int64{}
	active := 0
	var workersByBand [freeCPUBands]int
	var workersBySpeed [len(speedBands) + 1]int
	speedsKnown := 0
	var fits map[string]runTimeFit
	s.cfg.State.Read(func() {
		for id, w := range s.cfg.State.Workers {
			capacity += w.Capacity.MilliCPU
			used += w.Used.MilliCPU
			for k, a := range w.Allocations {
				if j := s.cfg.State.Jobs[k.Job]; j != nil {
					held[j.Queue] += a.Need.MilliCPU
				}
			}
			if se := s.sessions[id]; se != nil && s.acceptsTasks(se, w, now) {
				usable += w.Capacity.MilliCPU
				workersByBand[freeCPUBand(w)]++
				speed, _ := s.expectedSpeed(se, w, now)
				workersBySpeed[speedBand(speed)]++
				if w.Speed != 0 {
					speedsKnown++
				}
			}
		}
		active, fits = len(s.cfg.State.Active), s.runTimeFits()
		for _, j := range s.cfg.State.Active {
			for o := range j.Occurrences {
				for i := range j.Occurrences[o].Steps {
					st := &j.Occurrences[o].Steps[i]
					if n := st.Waiting(); n > 0 && j.Ready(o, i) {
						waiting[j.Queue]++
						waitingTasks += int64(n)
					}
				}
			}
		}
	})
	s.setSpeedMetrics(workersBySpeed[:])
	s.logWaitingSteps(now)
	idle, all := s.countAdvisers(now)
	s.cfg.Log.Info("cell status", zap.Int64("cores", capacity/1000), zap.Int64("usable", usable/1000),
		zap.Int64("used", used/1000), zap.Int("jobs", active), zap.Int64("waiting_tasks", waitingTasks),
		zap.Ints("workers_by_free_quarter", workersByBand[:]), zap.Ints("workers_by_speed", workersBySpeed[:]), zap.Int("speeds_known", speedsKnown), zap.Any("waiting_steps", waiting), zap.Any("millicpu", held), zap.Any("run_times", fits), zap.Int("advisers_idle", idle), zap.Int("advisers", all),
		zap.Int("plans", s.plans.count), zap.Duration("planning", s.plans.total), zap.Duration("longest_plan", s.plans.longest), zap.Int("long_polls", s.longPolls),
		zap.Int("events", s.loop.events), zap.Duration("busy", s.loop.busy), zap.Duration("committing", s.loop.committing), zap.Int("goroutines", runtime.NumGoroutine()),
		zap.Int64("renewals", s.calls.renewals.Swap(0)), zap.Int64("failed_renewals", s.calls.failedRenewals.Swap(0)),
		zap.Int64("repeated_starts", s.calls.repeatedStarts.Swap(0)), zap.Duration("order_timeout", s.replyTimes.timeout(0)),
		zap.Any("lost_core_seconds", s.lost.rounded()))
	s.plans, s.loop, s.lost = planStats{}, loopStats{}, lossSums{}
}

// freeCPUBands is the number of equal bands of free CPU share into which the
// workers are counted.
const freeCPUBands = 4

// freeCPUBand returns the band of a worker by its share of free CPU. Workers in
// the last band have the most free.
func freeCPUBand(w *cell.WorkerState) int {
	share := float64(max(0, w.Free().MilliCPU)) / float64(max(1, w.Capacity.MilliCPU))
	return min(freeCPUBands-1, int(share*freeCPUBands))
}

const (
	// explainAfter is how old a job must be before its waiting steps are logged
	// in detail, and maxExplained how many steps are logged at a time.
	explainAfter = 8 * time.Second
	maxExplained = 4
)

// logWaitingSteps logs details of up to maxExplained steps that still wait in
// jobs older than explainAfter.
func (s *Scheduler) logWaitingSteps(now clock.Instant) {
	explained := 0
	s.cfg.State.Read(func() {
		for id, j := range s.cfg.State.Active {
			if adm, ok := s.admissions[id]; !ok || now.Sub(adm.submittedAt) < explainAfter {
				continue
			}
			for o := range j.Occurrences {
				for i := range j.Occurrences[o].Steps {
					st := &j.Occurrences[o].Steps[i]
					if st.Waiting() == 0 || !j.Ready(o, i) || explained == maxExplained {
						continue
					}
					explained++
					s.logWaitingStep(cell.StepKey{Job: id, Occurrence: o, Step: i}, j, st, now)
				}
			}
		}
	})
}

// logWaitingStep logs the details of a step that waits for placement. The state
// is locked.
func (s *Scheduler) logWaitingStep(k cell.StepKey, j *cell.Job, st *cell.StepState, now clock.Instant) {
	fields := []zap.Field{
		zap.Stringer("step", k), zap.String("queue", j.Queue), zap.Duration("age", now.Sub(s.admissions[k.Job].submittedAt)),
		zap.Bool("over_share", s.admissions[k.Job].overShare),
		zap.Int("tasks", len(st.Tasks)), zap.Int("done", st.Done), zap.Int("placed", st.Placed), zap.Int("held", st.Held),
		zap.Bool("gang", j.Steps[k.Step].Gang), zap.Int64("millicpu", j.Steps[k.Step].Need.MilliCPU),
	}
	if a := s.advice[k]; a != nil {
		valid := 0
		for _, t := range a.Eligible {
			if now < t.ExpiresAt {
				valid++
			}
		}
		fields = append(fields, zap.Int("asked", len(a.Evaluated)), zap.Int("good", len(a.Eligible)), zap.Int("valid", valid),
			zap.Int("asking", a.InFlight))
	}
	s.cfg.Log.Info("step is still waiting for placement", fields...)
}
