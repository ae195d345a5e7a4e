package entry

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"kumquatwing/internal/route"
	"kumquatwing/internal/verdict"
)

const namespace = "kqentry"

// latencyBuckets are the upper bounds of the latency histogram's buckets, in
// seconds.
var latencyBuckets = []float64{.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10, 30}

// metrics holds kqentry's Prometheus metrics.
type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	syncs    *prometheus.CounterVec
}

// newMetrics registers all metrics. Gauges read the state of rt at each scrape.
func newMetrics(rt *route.Router, registry *prometheus.Registry) *metrics {
	m := &metrics{
		registry: registry,
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "requests_total", Help: "Requests by verdict and reason.",
		}, []string{"verdict", "reason"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_seconds", Help: "Time per request.", Buckets: latencyBuckets,
		}, []string{"verdict"}),
		syncs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "syncs_total", Help: "Syncs with kqcontrol by result.",
		}, []string{"result"}),
	}
	m.registry.MustRegister(m.requests, m.latency, m.syncs,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	gauge := func(name, help string, value func(route.Load) int) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help},
			func() float64 { return float64(value(rt.Pool().Load())) }))
	}
	gauge("servers", "Backend servers of which slots are held.", func(l route.Load) int { return l.Servers })
	gauge("slots", "Slots held.", func(l route.Load) int { return l.Slots })
	gauge("slots_in_use", "Slots in use.", func(l route.Load) int { return l.InUse })
	gauge("waiting", "Requests that wait for a slot.", func(l route.Load) int { return l.Waiting })
	gauge("connections", "Open connections to backend servers.", func(l route.Load) int { return l.Connections })
	m.registry.MustRegister(prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Namespace: namespace, Name: "settings_lease_seconds", Help: "What is left of the settings lease."},
		func() float64 { return rt.LeaseLeft().Seconds() }))
	return m
}

// observeRequest counts a request and records its latency.
func (m *metrics) observeRequest(o route.Outcome) {
	m.requests.WithLabelValues(string(o.Verdict), string(o.Reason)).Inc()
	m.latency.WithLabelValues(string(o.Verdict)).Observe(o.Duration.Seconds())
}

// observeSync counts a sync: under "ok", or under the reason of its error.
func (m *metrics) observeSync(err error) {
	result := "ok"
	if err != nil {
		result = string(verdict.FromError(err).Reason)
	}
	m.syncs.WithLabelValues(result).Inc()
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
