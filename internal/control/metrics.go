package control

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"kumquatwing/internal/replica"
)

// metrics holds the Prometheus metrics of this process.
type metrics struct {
	registry    *prometheus.Registry
	tickSeconds prometheus.Histogram
	placements  prometheus.Counter
	reports     prometheus.Counter
}

func newMetrics(s *Server) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		tickSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "kq_tick_seconds",
			Help:    "time to decide one tick of the scheduler",
			Buckets: prometheus.ExponentialBuckets(0.0001, 4, 8),
		}),
		placements: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "kq_placements_total", Help: "tasks placed by this member",
		}),
		reports: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "kq_worker_reports_total", Help: "worker reports taken in by this member",
		}),
	}
	m.registry.MustRegister(m.tickSeconds, m.placements, m.reports)
	m.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.addGauge("kq_wire_sent_bytes", "bytes sent to our own processes", func() float64 { return float64(s.wire.Traffic().SentBytes) })
	m.addGauge("kq_wire_received_bytes", "bytes received from our own processes", func() float64 { return float64(s.wire.Traffic().ReceivedBytes) })
	m.addGauge("kq_settings_lease_seconds", "what is left of the settings lease", func() float64 { return s.leases.ownLease.Remaining(s.clock.Now()).Seconds() })
	m.addGauge("kq_settings_revision", "newest configuration revision applied here", func() float64 { return float64(s.fleetView().revision) })
	m.addGauge("kq_fleet_leader", "1 while this member leads the fleet group", func() float64 { return leaderGauge(s.fleetStatus()) })
	m.addGauge("kq_data_centre_leader", "1 while this member leads its data centre group", func() float64 { return leaderGauge(s.dcStatus()) })
	return m
}

// addGauge registers a gauge whose value is read at each scrape.
func (m *metrics) addGauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// leaderGauge returns 1 if the member leads its group, and 0 otherwise.
func leaderGauge(st replica.Status) float64 {
	if st.IsLeader() {
		return 1
	}
	return 0
}
