package route

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"go.uber.org/zap"

	"kumquatwing/internal/api"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/eventlog"
	"kumquatwing/internal/httpx"
	"kumquatwing/internal/lease"
	"kumquatwing/internal/ledger"
	"kumquatwing/internal/model"
	"kumquatwing/internal/verdict"
)

const (
	// idRandomBase is the number base of the random part of a request id.
	idRandomBase = 36
	// eventsPerSecond and eventsBurst limit the rate of request events with the
	// same kind and reason.
	eventsPerSecond = 20
	eventsBurst     = 100
)

// Kinds of request events.
const (
	// EventDone is recorded when a request that is not idempotent has completed.
	EventDone eventlog.Kind = "request.done"
	// EventRefused is recorded for every refusal, including a failure after the
	// response has started.
	EventRefused eventlog.Kind = "request.refused"
	// EventRetried is recorded when a request is retried, with another backend
	// server if one has a free slot.
	EventRetried eventlog.Kind = "request.retried"
	// EventOverflow is recorded when a request is offered to another data centre.
	EventOverflow eventlog.Kind = "request.overflow"
)

// Config holds the dependencies and limits of a Router. All fields except
// Events and Observe are required.
type Config struct {
	VM          model.VMID
	DC          model.DCID
	Incarnation string
	Clock       clock.Clock
	Dial        Dialer
	Ledger      Ledger
	Log         *zap.Logger
	Events      eventlog.Recorder
	// RequestSync requests an immediate sync with kqcontrol.
	RequestSync func()
	// MaxInFlight limits the number of requests in flight.
	MaxInFlight int
	// Observe is called with the outcome of every request.
	Observe func(Outcome)
}

// Outcome is the result of a request. Reason is empty if the caller got a
// response.
type Outcome struct {
	Verdict  verdict.Verdict
	Reason   verdict.Reason
	Duration time.Duration
}

// Router is the http.Handler for callers' requests. It must be mounted on a chi
// route with the URL parameter "queue".
type Router struct {
	vm          model.VMID
	dc          model.DCID
	incarnation string
	clock       clock.Clock
	ledger      Ledger
	log         *zap.Logger
	events      *eventlog.Sampler
	observe     func(Outcome)

	pool          *Pool
	remotes       remoteSet
	budget        retryBudget
	settingsLease lease.Lease
	view          atomic.Pointer[view]
	idSource      atomic.Pointer[idSource]
	attemptSeq    atomic.Uint64
	inFlight      atomic.Int64
	maxInFlight   int64
	stopping      atomic.Bool
	finishing     sync.WaitGroup
}

// idSource holds the inputs for generating request ids, as of one sync.
type idSource struct {
	generation  uint64
	groupMillis int64
	// askedAt is the local time at which the sync was sent.
	askedAt clock.Instant
}

// New returns a router that has neither a view nor slots until its first sync.
func New(cfg Config) *Router {
	rt := &Router{
		vm:          cfg.VM,
		dc:          cfg.DC,
		incarnation: cfg.Incarnation,
		clock:       cfg.Clock,
		ledger:      cfg.Ledger,
		log:         cfg.Log.Named("route"),
		observe:     cfg.Observe,
		pool:        NewPool(cfg.Clock, cfg.Dial, cfg.RequestSync),
		maxInFlight: int64(cfg.MaxInFlight),
	}
	if cfg.Events == nil {
		cfg.Events = eventlog.Discard{}
	}
	rt.events = eventlog.NewSampler(cfg.Events, eventsPerSecond, eventsBurst, time.Now)
	if rt.observe == nil {
		rt.observe = func(Outcome) {}
	}
	rt.remotes.dial = cfg.Dial
	rt.idSource.Store(&idSource{})
	return rt
}

// Pool returns the router's slot pool, for syncs and metrics.
func (rt *Router) Pool() *Pool { return rt.pool }

// ApplySync applies the response to the newest sync, which was sent at askedAt.
func (rt *Router) ApplySync(askedAt clock.Instant, state *api.EntryState) {
	// The sync may have gone to a kqcontrol of another VM, whose view may be
	// older than the one in force.
	if state.View != nil && state.View.Revision >= rt.Revision() {
		rt.view.Store(newView(state.View, rt.dc))
	}
	if state.LeaseMillis > 0 && rt.Revision() >= state.Revision {
		rt.settingsLease.Extend(askedAt, time.Duration(state.LeaseMillis)*time.Millisecond)
	}
	if state.GroupMillis > 0 {
		rt.idSource.Store(&idSource{state.Generation, state.GroupMillis, askedAt})
	}
	rt.remotes.set(state.Remote)
	rt.pool.ApplySync(askedAt, state)
}

// Revision returns the revision of the view in force, or 0 if there is none.
func (rt *Router) Revision() uint64 {
	if v := rt.view.Load(); v != nil {
		return v.revision
	}
	return 0
}

// Ready reports whether the router accepts requests.
func (rt *Router) Ready() bool { return rt.view.Load() != nil && !rt.stopping.Load() }

// LeaseLeft returns the remaining time of the settings lease.
func (rt *Router) LeaseLeft() time.Duration { return rt.settingsLease.Remaining(rt.clock.Now()) }

// CanGenerateID reports whether the group's generation and clock are known, without
// which NewRequestID can't generate valid ids.
func (rt *Router) CanGenerateID() bool { return rt.idSource.Load().groupMillis > 0 }

// NewRequestID generates a request id of this data centre.
func (rt *Router) NewRequestID() model.RequestID {
	src := rt.idSource.Load()
	now := src.groupMillis + rt.clock.Now().Sub(src.askedAt).Milliseconds()
	return ledger.Mint(rt.dc, src.generation, now, strconv.FormatUint(rand.Uint64(), idRandomBase))
}

// nextAttempt returns an attempt name that no other process or request uses.
func (rt *Router) nextAttempt() string {
	return rt.incarnation + "." + strconv.FormatUint(rt.attemptSeq.Add(1), 10)
}

// Stop makes the router refuse new requests.
func (rt *Router) Stop() { rt.stopping.Store(true) }

// Wait closes the pool and the connections to other data centres. It then waits
// for the slots of aborted exchanges to be released and for pending ledger records
// to be finished. It must be called after the last request has ended.
func (rt *Router) Wait() {
	rt.pool.Close()
	rt.remotes.set(nil)
	rt.pool.waitIdle(2 * abortLinger)
	rt.finishing.Wait()
}

// ServeHTTP implements http.Handler.
func (rt *Router) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	defer rt.inFlight.Add(-1)
	if rt.inFlight.Add(1) > rt.maxInFlight {
		c := newHeaderCall(r)
		rt.refuse(w, c, began, c.adjustVerdict(verdict.Refuse(verdict.ReasonOverload, "entry VM has %d requests in flight", rt.maxInFlight).WithRetryAfter(time.Second)))
		return
	}
	c, refusal := rt.accept(w, r)
	if refusal != nil {
		rt.refuse(w, c, began, c.adjustVerdict(refusal))
		return
	}
	res := rt.process(w, c)
	if res.refusal != nil && res.started {
		rt.reportRefusal(c, began, res.refusal)
		// Aborts the connection, so that the caller can't take the partial
		// response for a complete one.
		panic(http.ErrAbortHandler)
	}
	if res.refusal != nil {
		rt.refuse(w, c, began, res.refusal)
		return
	}
	rt.observe(Outcome{Verdict: verdict.Done, Duration: time.Since(began)})
	if c.ownsRecord {
		rt.recordEvent(c, EventDone, "", "")
	}
}

// accept parses and checks a request, up to the point where a slot is needed.
func (rt *Router) accept(w http.ResponseWriter, r *http.Request) (*call, *verdict.Refusal) {
	v := rt.view.Load()
	if rt.stopping.Load() {
		return newHeaderCall(r), verdict.Refuse(verdict.ReasonStopping, "entry VM is stopping").WithRetryAfter(0)
	}
	if v == nil {
		return newHeaderCall(r), verdict.Refuse(verdict.ReasonNoLease, "entry VM has no settings yet").WithRetryAfter(time.Second)
	}
	c, refusal := rt.parse(v, model.QueueName(chi.URLParam(r, "queue")), r)
	if refusal != nil {
		return c, refusal
	}
	w.Header().Set(api.HeaderRequestID, string(c.id))
	if refusal := rt.authorize(c); refusal != nil {
		return c, refusal
	}
	return c, c.readBody(w)
}

// newHeaderCall returns a call for a request that is refused before it is
// parsed. It reads only the headers that affect the verdict.
func newHeaderCall(r *http.Request) *call {
	c := &call{r: r, id: model.RequestID(r.Header.Get(api.HeaderRequestID))}
	c.idFromCaller = c.id != ""
	c.idempotent, _ = parseIdempotent(r)
	c.forwarded = r.Header.Get(api.HeaderForwarded) != ""
	return c
}

// authorize checks the caller's key and the settings lease. Both may change while
// a request waits, so it is called again right before the first byte is sent.
func (rt *Router) authorize(c *call) *verdict.Refusal {
	v := rt.view.Load()
	q, _, refusal := v.admit(c.queue.Name, c.key)
	if refusal != nil {
		return refusal
	}
	if !q.Open && !rt.settingsLease.Valid(rt.clock.Now()) {
		return verdict.Refuse(verdict.ReasonNoLease, "entry VM can't confirm that its settings are in force").WithRetryAfter(time.Second)
	}
	return nil
}

// checkInService returns a refusal while this data centre is out of service.
func (rt *Router) checkInService() *verdict.Refusal {
	if !rt.view.Load().outOfService {
		return nil
	}
	return verdict.Refuse(verdict.ReasonDataCentreOut, "data centre %s is out of service", rt.dc).WithRetryAfter(time.Second)
}

// refuse reports a refusal and writes it to the caller.
func (rt *Router) refuse(w http.ResponseWriter, c *call, began time.Time, refusal *verdict.Refusal) {
	rt.reportRefusal(c, began, refusal)
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	if !c.bodyComplete && c.r.ContentLength != 0 {
		// On a connection that stays open, net/http would first read the rest of
		// the body.
		w.Header().Set("Connection", "close")
	}
	httpx.WriteRefusal(w, refusal)
}

// refusalWriteTimeout limits the time to write a refusal to the caller.
const refusalWriteTimeout = 5 * time.Second

// reportRefusal reports a refusal to Observe and records it as an event.
func (rt *Router) reportRefusal(c *call, began time.Time, refusal *verdict.Refusal) {
	rt.observe(Outcome{refusal.Verdict, refusal.Reason, time.Since(began)})
	rt.recordEvent(c, EventRefused, string(refusal.Reason), refusal.Message)
}

// FlushEvents records how many events the rate limit dropped since the last
// call. It should be called about once a second.
func (rt *Router) FlushEvents() { rt.events.Flush() }

// recordEvent records an event unless its rate limit is exceeded. Metrics count
// every request regardless.
func (rt *Router) recordEvent(c *call, kind eventlog.Kind, cause, detail string) {
	e := eventlog.Event{
		Kind: kind, DC: rt.dc, Request: c.id, Workspace: c.workspace,
		Revision: rt.Revision(), Cause: cause, Detail: detail,
	}
	if c.queue != nil {
		e.Queue = c.queue.Name
	}
	rt.events.Record(e)
}
