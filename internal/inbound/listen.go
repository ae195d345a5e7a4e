package inbound

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"kumquatwing/internal/bodylimit"
	"kumquatwing/internal/fdlimit"
	"kumquatwing/internal/httpx"
	"kumquatwing/internal/logx"
	"kumquatwing/internal/wire"
)

// Listener describes the listener of an HTTP server.
type Listener struct {
	// Name identifies the listener in the log and the metrics.
	Name string
	Addr string
	// MaxConns is the highest number of connections that are open at a time; see
	// fdlimit.Listener.
	MaxConns int
	Buffers  Buffers
}

// Listen opens the listener and registers its metrics.
func (l Listener) Listen(registry prometheus.Registerer, log *zap.Logger) (*fdlimit.Listener, error) {
	inner, err := l.Buffers.listenConfig().Listen(context.Background(), "tcp", l.Addr)
	if err != nil {
		return nil, err
	}
	limited := fdlimit.NewListener(inner, l.MaxConns, logFull(l.Name, l.MaxConns, log))
	registerListener(registry, l.Name, func() (int, int, uint64) { return limited.Open(), limited.Limit(), limited.FullCount() })
	return limited, nil
}

// Limit sets up a server for its listener. Its Handler must be set before.
func Limit(s *http.Server, l *fdlimit.Listener) {
	s.ConnContext = httpx.WithConn
	s.ConnState = l.ConnState
	s.Handler = l.Handler(httpx.Conn, s.Handler)
}

// LimitWire limits the memory of a wire node's frames and its inbound connections, of which there
// are at most conns, with their metrics and log lines.
func LimitWire(n *wire.Node, m Memory, conns int, registry prometheus.Registerer, log *zap.Logger) {
	conns = m.peerConns(conns)
	n.SetLimits(wire.Limits{
		Frames: NewBudget("wire", m.Frames, registry, log), Conns: conns,
		ReceiveBuffer: m.peerBuffer(conns), OnFull: logFull("wire", conns, log),
	})
	registerListener(registry, "wire", n.InboundCount)
}

// logFull returns a function that logs that all connections of a listener are in use.
func logFull(name string, maxConns int, log *zap.Logger) func() {
	var limit logx.Limit
	return func() {
		if times, ok := limit.Allow(time.Now()); ok {
			log.Warn("all connections of the listener are in use, closing idle or stalled ones",
				zap.String("listener", name), zap.Int("limit", maxConns), zap.Int("times", times))
		}
	}
}

// NewBudget returns a budget for the bodies of an account, with its metrics and log lines.
func NewBudget(account string, bytes int64, registry prometheus.Registerer, log *zap.Logger) *bodylimit.Budget {
	b := bodylimit.New(account, bytes)
	var limit logx.Limit
	b.OnReject(func(r bodylimit.Rejection) {
		if times, ok := limit.Allow(time.Now()); ok {
			log.Warn("no memory for more bodies, rejected the one that stalled for longest or is largest", zap.String("account", r.Account),
				zap.Int64("limit", bytes), zap.Int64("bytes", r.Bytes), zap.Duration("stalled", r.Stalled), zap.Int("times", times))
		}
	})
	registerBudget(registry, b)
	return b
}

// registerListener registers the metrics of a listener, whose connections are counted by count.
func registerListener(r prometheus.Registerer, name string, count func() (open, limit int, full uint64)) {
	labels := prometheus.Labels{"listener": name}
	r.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "kq_inbound_connections_open", Help: "Open inbound connections, by listener.", ConstLabels: labels,
		}, func() float64 { open, _, _ := count(); return float64(open) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "kq_inbound_connections_limit", Help: "Limit on the open inbound connections, by listener.", ConstLabels: labels,
		}, func() float64 { _, limit, _ := count(); return float64(limit) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "kq_inbound_connections_full_total", Help: "New connections that found the listener's limit reached, by listener.", ConstLabels: labels,
		}, func() float64 { _, _, full := count(); return float64(full) }),
	)
}

// registerBudget registers the metrics of a budget for bodies.
func registerBudget(r prometheus.Registerer, b *bodylimit.Budget) {
	labels := prometheus.Labels{"account": b.Name()}
	r.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "kq_body_bytes", Help: "Memory of the bodies in progress, by account.", ConstLabels: labels,
		}, func() float64 { return float64(b.Used()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "kq_body_bytes_limit", Help: "Limit on the memory of the bodies in progress, by account.", ConstLabels: labels,
		}, func() float64 { return float64(b.Limit()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "kq_bodies_rejected_total", Help: "Bodies that were rejected for want of memory, by account.", ConstLabels: labels,
		}, func() float64 { return float64(b.Rejected()) }),
	)
}
