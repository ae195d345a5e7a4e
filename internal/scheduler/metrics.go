package scheduler

import "github.com/prometheus/client_golang/prometheus"

// Metrics are the scheduler's Prometheus metrics.
type Metrics struct {
	starts  prometheus.Counter
	ends    prometheus.Counter
	refused *prometheus.CounterVec

	// planSeconds is the time to compute a plan, with its snapshot.
	planSeconds prometheus.Histogram
	preempted   prometheus.Counter
	// unreachable is 1 for a data centre whose workers don't answer, else 0.
	unreachable    *prometheus.GaugeVec
	adviceRequests *prometheus.CounterVec
	// firstStart is the time from a job's submission to its first confirmed
	// start.
	firstStart prometheus.Histogram
	// jobs is the time from a job's submission to its end.
	jobs *prometheus.HistogramVec
	// runTimeRatio is the ratio of real to declared and to predicted run times.
	runTimeRatio *prometheus.HistogramVec

	// speedSamples counts the samples of workers' speeds, and speedRecords the lasting
	// speeds that were sent to be recorded. workersBySpeed holds the number of workers in
	// each band of speedBands.
	speedSamples, speedRecords prometheus.Counter
	workersBySpeed             *prometheus.GaugeVec
	// workLost is the work of runs that ended without a saved result.
	workLost *prometheus.CounterVec
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
	m.unreachable = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "kq_cell_data_centre_unreachable", Help: "1 while no worker of the data centre answers and no task is placed there, by data centre.",
	}, []string{"dc"})
	r.MustRegister(m.unreachable)
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
	m.workLost = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kq_cell_work_lost_core_seconds_total", Help: "Work of runs that ended without a saved result, by cause.",
	}, []string{"cause"})
	for c := causePreempted; c < lossCauses; c++ {
		m.workLost.WithLabelValues(c.String())
	}
	r.MustRegister(m.workLost)
	m.speedSamples = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "kq_cell_worker_speed_samples_total", Help: "Comparisons of a run with the others of its step.",
	})
	m.speedRecords = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "kq_cell_worker_speed_records_total", Help: "Lasting speeds of workers that were sent to be recorded.",
	})
	m.workersBySpeed = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "kq_cell_workers_by_speed", Help: "Workers that accept tasks, by the upper limit of their expected speed; 1 is nominal.",
	}, []string{"below"})
	r.MustRegister(m.speedSamples, m.speedRecords, m.workersBySpeed)
	m.runTimeRatio = newRunTimeRatio()
	r.MustRegister(m.runTimeRatio, m.starts, m.ends, m.refused, m.planSeconds, m.preempted, m.adviceRequests, m.firstStart, m.jobs)
	return m
}
