package scheduler

import "github.com/prometheus/client_golang/prometheus"

// Metrics are the scheduler's Prometheus metrics.
type Metrics struct {
	starts  prometheus.Counter
	ends    prometheus.Counter
	refused *prometheus.CounterVec

	// planSeconds is the time to compute a plan, with its snapshot.
	planSeconds    prometheus.Histogram
	preempted      prometheus.Counter
	adviceRequests *prometheus.CounterVec
	// firstStart is the time from a job's submission to its first confirmed
	// start.
	firstStart prometheus.Histogram
	// jobs is the time from a job's submission to its end.
	jobs  *prometheus.HistogramVec
	order orderMetrics
}

// NewMetrics returns the scheduler's metrics, registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		starts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "kq_cell_starts_total", Help: "Runs that a worker confirmed.",
		}),
		ends: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "kq_cell_ends_total", Help: "Ends of runs that were recorded.",
		}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kq_cell_starts_refused_total", Help: "Starts that a worker refused, by reason.",
		}, []string{"reason"}),
	}
	m.planSeconds = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "kq_cell_plan_seconds", Help: "Time to compute a plan.",
		Buckets: prometheus.ExponentialBuckets(0.0002, 2, 12),
	})
	m.preempted = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "kq_cell_preempted_total", Help: "Runs that were stopped for more urgent work.",
	})
	m.adviceRequests = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kq_cell_questions_total", Help: "Questions to the placement policy, by queue.",
	}, []string{"queue"})
	m.firstStart = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "kq_cell_first_start_seconds", Help: "Time from a job's record to its first confirmed start.",
		Buckets: prometheus.ExponentialBuckets(0.01, 2, 12),
	})
	m.jobs = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "kq_cell_job_seconds", Help: "Time from a job's record to its end, by queue and final state.",
		Buckets: prometheus.ExponentialBuckets(0.1, 2, 10),
	}, []string{"queue", "state"})
	r.MustRegister(m.starts, m.ends, m.refused, m.planSeconds, m.preempted, m.adviceRequests, m.firstStart, m.jobs)
	m.order = newOrderMetrics(r)
	return m
}
