package scheduler

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/cell/plan"
	"kumquatwing/internal/clock"
)

// jobPace is by when the unfinished steps of an occurrence must start.
type jobPace struct {
	latestStart clock.Instant
	objective   time.Duration
}

// occurrenceKey names an occurrence of a job.
type occurrenceKey struct {
	job        cell.JobID
	occurrence int
}

// paceCache holds the paces that were computed for one snapshot. Many victims belong to
// the same job.
type paceCache map[occurrenceKey]jobPace

// paceOf returns the pace of the occurrence of a job that a task belongs to, and a zero
// pace if the job has ended. The state is locked.
func (s *Scheduler) paceOf(cache paceCache, k cell.TaskKey, j *cell.Job, q *cell.Queue) jobPace {
	adm, ok := s.admissions[j.ID]
	if !ok {
		return jobPace{}
	}
	key := occurrenceKey{k.Job, k.Occurrence}
	if pace, ok := cache[key]; ok {
		return pace
	}
	objective := s.objective(j, q, k.Occurrence)
	pace := jobPace{adm.submittedAt.Add(objective - s.remainingCriticalPath(j, k.Occurrence)), objective}
	cache[key] = pace
	return pace
}

// orderMetrics are the metrics of the order in which waiting steps get capacity.
type orderMetrics struct {
	// waiting is the number of waiting steps in the newest plan.
	waiting *prometheus.GaugeVec
	// hopeless counts the steps once each.
	hopeless *prometheus.CounterVec
}

func newOrderMetrics(r prometheus.Registerer) orderMetrics {
	m := orderMetrics{
		waiting: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "kq_cell_waiting_steps", Help: "Waiting steps by queue and standing in the newest plan.",
		}, []string{"queue", "standing"}),
		hopeless: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kq_cell_hopeless_steps_total", Help: "Waiting steps of jobs that are expected to end after three times their objective, by queue and reason.",
		}, []string{"queue", "reason"}),
	}
	r.MustRegister(m.waiting, m.hopeless)
	return m
}

// maxHopelessLogged limits the lines on hopeless steps within a statusInterval.
const maxHopelessLogged = 4

// orderReport is what was reported of the order.
type orderReport struct {
	// hopeless holds the steps that were reported as hopeless and still wait.
	hopeless map[cell.StepKey]bool
	// queues holds the queues that the gauge has values of.
	queues     map[string]bool
	nextLog    clock.Instant
	linesLeft  int
	suppressed int
}

// reportOrder updates the metrics of the order with those of a plan. Once per
// statusInterval, if a step isn't expected to be on time, it logs the waiting steps by queue
// and standing.
func (s *Scheduler) reportOrder(out *plan.Output, now clock.Instant) {
	if out.Standings == nil {
		return
	}
	s.setWaitingGauges(out)
	if now >= s.order.nextLog {
		s.order.nextLog = now.Add(statusInterval)
		s.logStandings(out)
		s.order.linesLeft, s.order.suppressed = maxHopelessLogged, 0
	}
	waiting := make(map[cell.StepKey]bool, len(out.Hopeless))
	for i := range out.Hopeless {
		h := &out.Hopeless[i]
		waiting[h.Key] = true
		if !s.order.hopeless[h.Key] {
			s.reportHopeless(h)
		}
	}
	s.order.hopeless = waiting
}

// setWaitingGauges sets the gauges of the waiting steps, and those of queues without any to
// 0.
func (s *Scheduler) setWaitingGauges(out *plan.Output) {
	if s.order.queues == nil {
		s.order.queues = map[string]bool{}
	}
	for name := range out.Standings {
		s.order.queues[name] = true
	}
	for name := range s.order.queues {
		counts := out.Standings[name]
		for standing := plan.OnTime; standing <= plan.Hopeless; standing++ {
			n := 0
			if counts != nil {
				n = counts[standing]
			}
			s.cfg.Metrics.order.waiting.WithLabelValues(name, standing.String()).Set(float64(n))
		}
	}
}

// logStandings logs the waiting steps by standing and queue if some aren't expected to be
// on time.
func (s *Scheduler) logStandings(out *plan.Output) {
	byStanding := map[string]map[string]int{}
	for name, counts := range out.Standings {
		for standing, n := range counts {
			if n == 0 {
				continue
			}
			key := plan.Standing(standing).String()
			if byStanding[key] == nil {
				byStanding[key] = map[string]int{}
			}
			byStanding[key][name] = n
		}
	}
	delete(byStanding, plan.OnTime.String())
	if len(byStanding) == 0 {
		return
	}
	s.cfg.Log.Info("capacity doesn't suffice for all waiting steps in time", zap.Any("steps", byStanding),
		zap.Strings("scarce_pools", out.ScarcePools), zap.Int("hopeless_not_logged", s.order.suppressed))
}

// reportHopeless counts a step that became hopeless, and logs it unless maxHopelessLogged
// were logged in this statusInterval.
func (s *Scheduler) reportHopeless(h *plan.HopelessStep) {
	s.cfg.Metrics.order.hopeless.WithLabelValues(h.Queue, string(h.Reason)).Inc()
	if s.order.linesLeft == 0 {
		s.order.suppressed++
		return
	}
	s.order.linesLeft--
	s.cfg.Log.Info("job is expected to end after three times its objective", zap.Stringer("step", h.Key),
		zap.String("queue", h.Queue), zap.String("reason", string(h.Reason)), zap.Duration("wait", h.Wait))
}
