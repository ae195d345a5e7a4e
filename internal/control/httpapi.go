package control

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"kumquatwing/internal/api"
	"kumquatwing/internal/fleetapi"
	"kumquatwing/internal/httpx"
	"kumquatwing/internal/replica"
	"kumquatwing/internal/verdict"
)

const (
	// maxHops bounds how often a call is passed on between our processes.
	maxHops = 2
	// topicInForce asks the fleet's leader how far a revision has come.
	topicInForce = "fleet.in-force"
)

// routes returns the HTTP interface of this process.
func (s *Server) routes() http.Handler {
	r := chi.NewRouter()
	r.Get(api.PathLive, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get(api.PathReady, s.ready)
	r.Handle(api.PathMetrics, promhttp.HandlerFor(s.metrics.registry, promhttp.HandlerOpts{}))
	r.Handle("/*", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.calls().ServeHTTP(w, r) }))
	return r
}

// callRoutes are the routes over one member of the fleet group.
type callRoutes struct {
	node  *replica.Node
	fleet *fleetapi.Server
	http.Handler
}

// calls returns what operators, submitters and workers may call, directly or
// passed on by a kqentry. It is built anew when the member was opened anew.
func (s *Server) calls() *callRoutes {
	node, state := s.fleet.member()
	if c := s.routed.Load(); c != nil && c.node == node {
		return c
	}
	c := &callRoutes{node: node, fleet: fleetapi.New(fleetapi.Config{
		Group:         node,
		State:         state,
		Placer:        s,
		InForcer:      s,
		OperatorToken: s.cfg.OperatorToken,
		Logger:        s.log,
	})}
	r := chi.NewRouter()
	r.Use(s.passToLeader)
	c.fleet.Routes(r)
	s.callerRoutes(r)
	c.Handler = r
	s.routed.Store(c)
	return c
}

// callerRoutes registers what is not the fleet's own interface.
func (s *Server) callerRoutes(r chi.Router) {
	r.NotFound(httpx.UnknownPath)
	r.MethodNotAllowed(httpx.UnknownPath)
	r.Post(api.PathWorkerReport, s.workerReport)
	r.Get(api.PathWhy, s.explainSubject)
	r.Get(api.PathStatus, s.status)
	r.Post(api.PathInit, s.initFleet)
	r.Get(api.PathJobTasks, s.jobTasks)
}

// ready answers the balancer: the process is ready while it knows a leader of
// its data centre and isn't stopping.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case s.isStopping():
		httpx.WriteRefusal(w, verdict.Refuse(verdict.ReasonStopping, "stopping"))
	case s.dcStatus().Leader == 0:
		httpx.WriteRefusal(w, verdict.Refuse(verdict.ReasonNoLeader, "data centre %s has no leader", s.cfg.DC))
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// initFleet founds the fleet group on this process.
func (s *Server) initFleet(w http.ResponseWriter, r *http.Request) {
	if refusal := s.calls().fleet.CheckOperator(r); refusal != nil {
		httpx.WriteRefusal(w, refusal)
		return
	}
	if refusal := s.fleet.found(); refusal != nil {
		httpx.WriteRefusal(w, refusal)
		return
	}
	httpx.WriteJSON(w, http.StatusOK, &initAnswer{
		VM: string(s.cfg.VM), Member: uint64(s.id),
		Lines: []string{fmt.Sprintf("founded the fleet group with %s as its first member", s.cfg.VM)},
	})
}

// initAnswer answers PathInit.
type initAnswer struct {
	VM     string `json:"vm"`
	Member uint64 `json:"member"`
	// Lines says the same for people.
	Lines []string `json:"lines"`
}

// passToLeader passes workers' reports on to the data centre's leader.
func (s *Server) passToLeader(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != api.PathWorkerReport || s.dcStatus().IsLeader() {
			next.ServeHTTP(w, r)
			return
		}
		addr, refusal := s.dcLeaderAddr()
		if refusal == nil && hopsOf(r) >= maxHops {
			refusal = errNotLeader(s.cfg.DC)
		}
		if refusal != nil {
			httpx.WriteRefusal(w, refusal)
			return
		}
		s.pass(w, r, addr)
	})
}

// pass sends a call to the process at addr and its answer back.
func (s *Server) pass(w http.ResponseWriter, r *http.Request, addr string) {
	var body bytes.Buffer
	if _, err := body.ReadFrom(http.MaxBytesReader(w, r.Body, maxReportBytes)); err != nil {
		httpx.WriteRefusal(w, verdict.Refuse(verdict.ReasonTooLarge, "body can't be read: %v", err))
		return
	}
	call := &api.HTTPCall{
		Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery,
		Key: r.Header.Get(api.HeaderKey), Operator: r.Header.Get(api.HeaderOperator),
		Body: body.Bytes(), Hops: hopsOf(r) + 1,
	}
	var reply api.HTTPReply
	if err := s.wire.Call(r.Context(), addr, api.TopicHTTP, call, &reply); err != nil {
		httpx.WriteRefusal(w, err)
		return
	}
	w.Header().Set("Content-Type", reply.ContentType)
	w.WriteHeader(reply.Status)
	w.Write(reply.Body)
}

// hopsKey marks the context of a call that was passed on.
type hopsKey struct{}

func hopsOf(r *http.Request) int {
	n, _ := r.Context().Value(hopsKey{}).(int)
	return n
}

// handleHTTPCall serves a call that was passed on over the wire.
func (s *Server) handleHTTPCall(ctx context.Context, call *api.HTTPCall) (*api.HTTPReply, error) {
	target := url.URL{Path: call.Path, RawQuery: call.Query}
	ctx = context.WithValue(ctx, hopsKey{}, call.Hops)
	r, err := http.NewRequestWithContext(ctx, call.Method, target.String(), bytes.NewReader(call.Body))
	if err != nil {
		return nil, verdict.Refuse(verdict.ReasonBadRequest, "call can't be built: %v", err)
	}
	r.Header.Set("Content-Type", "application/json")
	setHeader(r.Header, api.HeaderKey, call.Key)
	setHeader(r.Header, api.HeaderOperator, call.Operator)
	w := &memoryWriter{header: http.Header{}, status: http.StatusOK}
	s.calls().ServeHTTP(w, r)
	return &api.HTTPReply{Status: w.status, ContentType: w.header.Get("Content-Type"), Body: w.body.Bytes()}, nil
}

func setHeader(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// memoryWriter keeps an answer in memory.
type memoryWriter struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (m *memoryWriter) Header() http.Header         { return m.header }
func (m *memoryWriter) WriteHeader(status int)      { m.status = status }
func (m *memoryWriter) Write(b []byte) (int, error) { return m.body.Write(b) }

// InForce implements fleetapi.InForcer: the fleet's leader knows.
func (s *Server) InForce(ctx context.Context, revision uint64) (*api.InForce, error) {
	if s.fleetStatus().IsLeader() {
		return s.leases.inForce(revision)
	}
	m, ok := s.fleetLeader()
	if !ok {
		return nil, verdict.Refuse(verdict.ReasonNoLeader, "the fleet group has no leader").RetryIn(retryNoLeader)
	}
	out := &api.InForce{}
	err := s.wire.Call(ctx, m.Addr, topicInForce, &inForceCall{revision}, out)
	return out, err
}

// inForceCall asks how far a revision has come.
type inForceCall struct {
	Revision uint64 `msgpack:"r"`
}

func (s *Server) handleInForce(_ context.Context, c *inForceCall) (*api.InForce, error) {
	return s.leases.inForce(c.Revision)
}
