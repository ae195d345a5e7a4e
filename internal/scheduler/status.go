package scheduler

import (
	"time"

	"go.uber.org/zap"

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
	waiting := map[string]int{}
	active := 0
	s.cfg.State.Read(func() {
		for id, w := range s.cfg.State.Workers {
			capacity += w.Capacity.MilliCPU
			used += w.Used.MilliCPU
			if se := s.sessions[id]; se != nil && s.takesWork(se, w, now) {
				usable += w.Capacity.MilliCPU
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
	s.cfg.Log.Info("cell status", zap.Int64("cores", capacity/1000), zap.Int64("usable", usable/1000),
		zap.Int64("used", used/1000), zap.Int("jobs", active), zap.Int64("waiting_tasks", waitingTasks),
		zap.Any("waiting_steps", waiting), zap.Int("advisers_idle", s.idleAdvisers(now)))
}
