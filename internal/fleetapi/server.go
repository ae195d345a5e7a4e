// Package fleetapi implements the HTTP API of the fleet group for operators and job
// submitters: settings, keys, data centres and jobs. It runs on the members of the
// group.
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
	// callTimeout bounds a proposal or barrier, including the time to reach the
	// group's leader.
	callTimeout = 5 * time.Second
	// maxApplyBytes bounds the body of a call that replaces the declarations.
	maxApplyBytes = 8 << 20
	// maxCallBytes bounds the body of every other call.
	maxCallBytes = 1 << 20
	// maxCancelled bounds the number of jobs in one cancellation.
	maxCancelled = 10_000
	// maxListed bounds the number of jobs in one list.
	maxListed = 1000
	// lookupsPerSecond bounds how often this member requests a barrier from the
	// group's leader to look up unknown keys, so that wrong keys can't overload the
	// leader.
	lookupsPerSecond = 20
)

// Placer chooses data centres for jobs.
type Placer interface {
	// Owners returns the data centre of each task of the job.
	Owners(ctx context.Context, spec *model.JobSpec) ([]model.DCID, *verdict.Refusal)
}

// RolloutTracker tracks the rollout of revisions.
type RolloutTracker interface {
	// InForce returns whether the revision is in force everywhere, and if not, which
	// lease holders it waits for.
	InForce(ctx context.Context, revision uint64) (*api.InForce, error)
}

// Config holds the dependencies and settings of a Server.
type Config struct {
	Group replica.Group
	// State is the group's state machine. It is read only within Group.View.
	State *fleet.State
	// Placer may be nil. Tasks are then spread regardless of free capacity.
	Placer Placer
	// InForcer may be nil. Calls that need it are then refused.
	InForcer RolloutTracker
	// OperatorToken is required in the header of every operator's call. If it is
	// empty, operators' calls are not authenticated.
	OperatorToken string
	// Logger may be nil.
	Logger *zap.Logger
}

// Server implements the handlers of the API. It is safe for concurrent use.
type Server struct {
	Config
	// tokenHash is the hash of Config.OperatorToken.
	tokenHash [sha256.Size]byte
	// keyLookups limits the barriers for unknown keys.
	keyLookups *rate.Limiter
	log        *zap.Logger
}

// New returns a server with the given configuration.
func New(c Config) *Server {
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	return &Server{
		Config:     c,
		tokenHash:  sha256.Sum256([]byte(c.OperatorToken)),
		keyLookups: rate.NewLimiter(lookupsPerSecond, lookupsPerSecond),
		log:        c.Logger.Named("fleetapi"),
	}
}

// Routes registers the handlers on r.
func (s *Server) Routes(r chi.Router) {
	r.Group(func(r chi.Router) {
		r.Use(s.requireOperator)
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

// requireOperator is middleware that refuses calls without the operators' token.
func (s *Server) requireOperator(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if refusal := s.CheckOperator(r); refusal != nil {
			httpx.WriteRefusal(w, refusal)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// CheckOperator returns a refusal if the call lacks the operators' token. It compares
// hashes in constant time, so that the time reveals neither the token nor its length.
func (s *Server) CheckOperator(r *http.Request) *verdict.Refusal {
	if s.OperatorToken == "" {
		return nil
	}
	got := sha256.Sum256([]byte(r.Header.Get(api.HeaderOperator)))
	if subtle.ConstantTimeCompare(got[:], s.tokenHash[:]) != 1 {
		return verdict.Refuse(verdict.ReasonBadKey, "header %s is missing or wrong", api.HeaderOperator)
	}
	return nil
}

// propose commits a command and returns its result.
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

// waitForCommitted waits until this member has applied every command committed
// before the call. It returns at once if the query allows stale state.
func (s *Server) waitForCommitted(r *http.Request) error {
	if r.URL.Query().Get("stale") == "true" {
		return nil
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	return s.Group.Barrier(ctx)
}

// readState runs fn on state that is up to date, or stale if the query allows it. If
// that fails, it writes a refusal to w and returns false.
func (s *Server) readState(w http.ResponseWriter, r *http.Request, fn func(*fleet.State)) bool {
	if err := s.waitForCommitted(r); err != nil {
		httpx.WriteRefusal(w, err)
		return false
	}
	s.Group.View(func(replica.Status) { fn(s.State) })
	return true
}
