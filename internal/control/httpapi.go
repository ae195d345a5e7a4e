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
	// maxHops bounds how often an API call is forwarded between kqentry and kqcontrol
	// processes.
	maxHops = 2
	// topicInForce asks the leader of the fleet group whether all processes act on a
	// revision.
	topicInForce = "fleet.in-force"
)

// routes returns the handler of all HTTP paths of this process.
func (s *Server) routes() http.Handler {
	r := chi.NewRouter()
	r.Get(api.PathLive, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get(api.PathReady, s.ready)
	r.Handle(api.PathMetrics, promhttp.HandlerFor(s.metrics.registry, promhttp.HandlerOpts{}))
	r.Handle("/*", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.api().ServeHTTP(w, r) }))
	return r
}

// apiRoutes is the handler of the API calls for one node of the fleet group.
type apiRoutes struct {
	node  *replica.Node
	fleet *fleetapi.Server
	http.Handler
}

// api returns the handler of the calls of operators, submitters and workers, which
// come in directly or are forwarded by a kqentry. It is rebuilt when the fleet
// group's node was replaced.
func (s *Server) api() *apiRoutes {
	node, state := s.fleet.current()
	if routes := s.apiCache.Load(); routes != nil && routes.node == node {
		return routes
	}
	routes := &apiRoutes{node: node, fleet: fleetapi.New(fleetapi.Config{
		Group:          node,
		State:          state,
		Placer:         s,
		RolloutTracker: s,
		OperatorToken:  s.cfg.OperatorToken,
		Logger:         s.log,
	})}
	r := chi.NewRouter()
	r.Use(s.chargeBodies, s.forwardReports)
	routes.fleet.Routes(r)
	s.registerRoutes(r)
	routes.Handler = r
	s.apiCache.Store(routes)
	return routes
}

// registerRoutes registers the handlers that are not part of package fleetapi.
func (s *Server) registerRoutes(r chi.Router) {
	r.NotFound(httpx.UnknownPath)
	r.MethodNotAllowed(httpx.UnknownPath)
	r.Post(api.PathWorkerReport, s.workerReport)
	r.Get(api.PathWhy, s.explainSubject)
	r.Get(api.PathStatus, s.status)
	r.Post(api.PathInit, s.initFleet)
	r.Get(api.PathJobTasks, s.jobTasks)
	r.Post(api.PathExplainJob, s.explainJob)
}

// ready serves the readiness probe. The process is ready while it knows a leader of
// its data centre group and is not shutting down.
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

// initFleet bootstraps the fleet group with this process as its first member.
func (s *Server) initFleet(w http.ResponseWriter, r *http.Request) {
	if refusal := s.api().fleet.CheckOperator(r); refusal != nil {
		httpx.WriteRefusal(w, refusal)
		return
	}
	if refusal := s.fleet.bootstrap(); refusal != nil {
		httpx.WriteRefusal(w, refusal)
		return
	}
	httpx.WriteJSON(w, http.StatusOK, &initResponse{
		VM: string(s.cfg.VM), Member: uint64(s.id),
		Lines: []string{fmt.Sprintf("founded the fleet group with %s as its first member", s.cfg.VM)},
	})
}

// initResponse is the response to a POST to api.PathInit.
type initResponse struct {
	VM     string `json:"vm"`
	Member uint64 `json:"member"`
	// Lines describes the result for people.
	Lines []string `json:"lines"`
}

// chargeBodies returns a handler that charges the bodies of reports to the budget of workers and
// those of other calls to the one of operators.
func (s *Server) chargeBodies(next http.Handler) http.Handler {
	workers, operators := httpx.UseBudget(s.workerBodies, next), httpx.UseBudget(s.operatorBodies, next)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == api.PathWorkerReport {
			workers.ServeHTTP(w, r)
			return
		}
		operators.ServeHTTP(w, r)
	})
}

// forwardReports returns a handler that forwards workers' reports to the leader of
// the data centre group, unless this process is the leader. It passes all other
// calls to next.
func (s *Server) forwardReports(next http.Handler) http.Handler {
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
		s.forward(w, r, addr)
	})
}

// forward sends an API call to the process at addr and writes its response to w.
func (s *Server) forward(w http.ResponseWriter, r *http.Request, addr string) {
	data, body, refusal := httpx.ReadBody(w, r, maxReportBytes)
	if refusal != nil {
		httpx.WriteRefusal(w, refusal)
		return
	}
	defer body.End()
	call := &api.HTTPCall{
		Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery,
		Key: r.Header.Get(api.HeaderKey), Operator: r.Header.Get(api.HeaderOperator),
		Body: data, Hops: hopsOf(r) + 1,
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

// hopsKey is the context key for how often a call was forwarded.
type hopsKey struct{}

// hopsOf returns how often the call was forwarded.
func hopsOf(r *http.Request) int {
	n, _ := r.Context().Value(hopsKey{}).(int)
	return n
}

// handleForwardedCall serves an API call that another process has forwarded.
func (s *Server) handleForwardedCall(ctx context.Context, call *api.HTTPCall) (*api.HTTPReply, error) {
	target := url.URL{Path: call.Path, RawQuery: call.Query}
	ctx = context.WithValue(ctx, hopsKey{}, call.Hops)
	r, err := http.NewRequestWithContext(ctx, call.Method, target.String(), bytes.NewReader(call.Body))
	if err != nil {
		return nil, verdict.Refuse(verdict.ReasonBadRequest, "call can't be built: %v", err)
	}
	r.Header.Set("Content-Type", "application/json")
	setHeader(r.Header, api.HeaderKey, call.Key)
	setHeader(r.Header, api.HeaderOperator, call.Operator)
	w := &responseBuffer{header: http.Header{}, status: http.StatusOK}
	s.api().ServeHTTP(w, r)
	return &api.HTTPReply{Status: w.status, ContentType: w.header.Get("Content-Type"), Body: w.body.Bytes()}, nil
}

func setHeader(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// responseBuffer is an http.ResponseWriter that keeps the response in memory.
type responseBuffer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (rb *responseBuffer) Header() http.Header         { return rb.header }
func (rb *responseBuffer) WriteHeader(status int)      { rb.status = status }
func (rb *responseBuffer) Write(b []byte) (int, error) { return rb.body.Write(b) }

// InForce implements fleetapi.RolloutTracker. Only the leader of the fleet group can
// tell, so other processes call it.
func (s *Server) InForce(ctx context.Context, revision uint64) (*api.InForce, error) {
	if s.fleetStatus().IsLeader() {
		return s.leases.inForce(revision)
	}
	m, ok := s.fleetLeader()
	if !ok {
		return nil, verdict.Refuse(verdict.ReasonNoLeader, "the fleet group has no leader").WithRetryAfter(retryNoLeader)
	}
	out := &api.InForce{}
	err := s.wire.Call(ctx, m.Addr, topicInForce, &inForceRequest{revision}, out)
	return out, err
}

// inForceRequest asks whether all processes act on a revision.
type inForceRequest struct {
	Revision uint64 `msgpack:"r"`
}

func (s *Server) handleInForce(_ context.Context, req *inForceRequest) (*api.InForce, error) {
	return s.leases.inForce(req.Revision)
}
