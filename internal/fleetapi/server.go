// Package fleetapi serves operators' and submitters' calls over HTTP from a
// member of the fleet group: settings, keys, data centres and jobs.
package fleetapi

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"kumquatwing/internal/api"
	"kumquatwing/internal/fleet"
	"kumquatwing/internal/httpx"
	"kumquatwing/internal/model"
	"kumquatwing/internal/replica"
	"kumquatwing/internal/verdict"
)

const (
	// callTimeout bounds one call, including its way to the group's leader.
	callTimeout = 5 * time.Second
	// maxApplyBytes bounds the body of an apply.
	maxApplyBytes = 8 << 20
	// maxCallBytes bounds every other body.
	maxCallBytes = 1 << 20
	// maxCancelled bounds the jobs of one cancellation.
	maxCancelled = 10_000
	// maxListed bounds the jobs of one list.
	maxListed = 1000
	// lookupsPerSecond bounds how often unknown keys make this member ask the
	// group for the newest state.
	lookupsPerSecond = 20
)

// Placer chooses the data centre of each task of a job.
type Placer interface {
	Owners(ctx context.Context, spec *model.JobSpec) ([]model.DCID, *verdict.Refusal)
}

// InForcer says how far a revision has come.
type InForcer interface {
	InForce(ctx context.Context, revision uint64) (*api.InForce, error)
}

// Config is what a Server needs.
type Config struct {
	Group replica.Group
	// State is the group's machine; it is read in Group.View only.
	State *fleet.State
	// Placer may be nil; tasks are then spread without regard to free room.
	Placer Placer
	// InForcer may be nil; the call is then refused.
	InForcer InForcer
	// OperatorToken, if not empty, must come with every operator's call.
	OperatorToken string
	Logger        *zap.Logger
}

// Server holds the handlers. It is safe for concurrent use.
type Server struct {
	Config
	token   [sha256.Size]byte
	lookups *rate.Limiter
	log     *zap.Logger
}

// New returns a server.
func New(c Config) *Server {
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	return &Server{
		Config:  c,
		token:   sha256.Sum256([]byte(c.OperatorToken)),
		lookups: rate.NewLimiter(lookupsPerSecond, lookupsPerSecond),
		log:     c.Logger.Named("fleetapi"),
	}
}

// Routes registers the handlers.
func (s *Server) Routes(r chi.Router) {
	r.Group(func(r chi.Router) {
		r.Use(s.operatorsOnly)
		r.Post(api.PathSettings, s.apply)
		r.Get(api.PathSettings, s.settings)
		r.Get(api.PathExplain, s.explain)
		r.Get(api.PathHistory, s.history)
		r.Get(api.PathInForce, s.inForce)
		r.Post(api.PathKeys, s.grantKey)
		r.Get(api.PathKeys, s.keys)
		r.Delete(api.PathKey, s.withdrawKey)
		r.Post(api.PathDataCentre, s.setDataCentre)
	})
	r.Post(api.PathJobs, s.submitJob)
	r.Get(api.PathJobs, s.listJobs)
	r.Get(api.PathJob, s.showJob)
	r.Delete(api.PathJob, s.cancelJob)
	r.Post(api.PathCancelJobs, s.cancelJobs)
}

// operatorsOnly refuses calls without the operators' token.
func (s *Server) operatorsOnly(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if refusal := s.CheckOperator(r); refusal != nil {
			httpx.WriteRefusal(w, refusal)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// CheckOperator refuses a call without the operators' token. It compares hashes, so that the time tells neither the token nor
// its length.
func (s *Server) CheckOperator(r *http.Request) *verdict.Refusal {
	if s.OperatorToken == "" {
		return nil
	}
	shown := sha256.Sum256([]byte(r.Header.Get(api.HeaderOperator)))
	if subtle.ConstantTimeCompare(shown[:], s.token[:]) != 1 {
		return verdict.Refuse(verdict.ReasonBadKey, "header %s is missing or wrong", api.HeaderOperator)
	}
	return nil
}

// propose commits one command and returns its result.
func (s *Server) propose(ctx context.Context, c *fleet.Command) (*fleet.Result, error) {
	b, err := fleet.Encode(c)
	if err != nil {
		return nil, verdict.Refuse(verdict.ReasonInternal, "command can't be encoded: %v", err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := s.Group.Propose(ctx, b)
	if err != nil {
		return nil, err
	}
	return fleet.DecodeResult(reply)
}

// fresh makes sure that the state read next holds every change accepted before
// the call, unless the caller asked for what this member has.
func (s *Server) fresh(r *http.Request) error {
	if r.URL.Query().Get("stale") == "true" {
		return nil
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	return s.Group.Barrier(ctx)
}

// read runs fn on a fresh state; a failure is answered and reported as false.
func (s *Server) read(w http.ResponseWriter, r *http.Request, fn func(*fleet.State)) bool {
	if err := s.fresh(r); err != nil {
		httpx.WriteRefusal(w, err)
		return false
	}
	s.Group.View(func(replica.Status) { fn(s.State) })
	return true
}
