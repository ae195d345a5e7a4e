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
	// randomBase writes the random part of an id.
	randomBase = 36
	// eventsPerSecond and eventsBurst bound the events of requests of one kind and
	// reason.
	eventsPerSecond = 20
	eventsBurst     = 100
)

// Kinds of the events of requests.
const (
	// EventDone is recorded for requests that are not idempotent.
	EventDone eventlog.Kind = "request.done"
	// EventRefused is recorded for every refusal that reaches a caller.
	EventRefused eventlog.Kind = "request.refused"
	// EventRetried is recorded when a request is sent to another backend server.
	EventRetried eventlog.Kind = "request.retried"
	// EventOverflow is recorded when a request is passed to another data centre.
	EventOverflow eventlog.Kind = "request.overflow"
)

// Config is what a Router works with. All fields but Events and Observe are
// required.
type Config struct {
	VM          model.VMID
	DC          model.DCID
	Incarnation string
	Clock       clock.Clock
	Dial        Dialer
	Ledger      Ledger
	Log         *zap.Logger
	Events      eventlog.Recorder
	// Wake asks for a sync at once.
	Wake func()
	// Requests bounds the requests that are taken in at the same time.
	Requests int
	// Observe is told of every request's end.
	Observe func(Outcome)
}

// Outcome is how a request ended; Reason is empty for an answer.
type Outcome struct {
	Verdict verdict.Verdict
	Reason  verdict.Reason
	Took    time.Duration
}

// Router is the http.Handler of callers' requests. Its route must have the chi
// parameter "queue".
type Router struct {
	vm          model.VMID
	dc          model.DCID
	incarnation string
	clock       clock.Clock
	ledger      Ledger
	log         *zap.Logger
	events      *eventlog.Sampler
	observe     func(Outcome)

	pool     *Pool
	remotes  remotes
	budget   retryBudget
	settings lease.Held
	view     atomic.Pointer[view]
	minting  atomic.Pointer[minting]
	attempts atomic.Uint64
	taken    atomic.Int64
	room     int64
	stopping atomic.Bool
	work     sync.WaitGroup
}

// minting is what ids are made of, as of one sync.
type minting struct {
	generation  uint64
	groupMillis int64
	at          clock.Instant
}

// New returns a router that has no view and no slots yet.
func New(cfg Config) *Router {
	rt := &Router{
		vm:          cfg.VM,
		dc:          cfg.DC,
		incarnation: cfg.Incarnation,
		clock:       cfg.Clock,
		ledger:      cfg.Ledger,
		log:         cfg.Log.Named("route"),
		observe:     cfg.Observe,
		pool:        NewPool(cfg.Clock, cfg.Dial, cfg.Wake),
		room:        int64(cfg.Requests),
	}
	if cfg.Events == nil {
		cfg.Events = eventlog.Discard{}
	}
	rt.events = eventlog.NewSampler(cfg.Events, eventsPerSecond, eventsBurst, time.Now)
	if rt.observe == nil {
		rt.observe = func(Outcome) {}
	}
	rt.remotes.dial = cfg.Dial
	rt.minting.Store(&minting{})
	return rt
}

// Pool returns the router's slots, for syncs and metrics.
func (rt *Router) Pool() *Pool { return rt.pool }

// Synced takes in the answer to the newest sync, sent at askedAt.
func (rt *Router) Synced(askedAt clock.Instant, state *api.EntryState) {
	// A kqcontrol asked in place of the own one may be behind.
	if state.View != nil && state.View.Revision >= rt.Revision() {
		rt.view.Store(newView(state.View, rt.dc))
	}
	if state.LeaseMillis > 0 && rt.Revision() >= state.Revision {
		rt.settings.Extend(askedAt, time.Duration(state.LeaseMillis)*time.Millisecond)
	}
	if state.GroupMillis > 0 {
		rt.minting.Store(&minting{state.Generation, state.GroupMillis, askedAt})
	}
	rt.remotes.set(state.Remote)
	rt.pool.Synced(askedAt, state)
}

// Revision is the revision of the view in force, 0 without one.
func (rt *Router) Revision() uint64 {
	if v := rt.view.Load(); v != nil {
		return v.revision
	}
	return 0
}

// Ready reports whether requests can be taken in.
func (rt *Router) Ready() bool { return rt.view.Load() != nil && !rt.stopping.Load() }

// LeaseLeft is what is left of the settings lease.
func (rt *Router) LeaseLeft() time.Duration { return rt.settings.Left(rt.clock.Now()) }

// CanMint reports whether the group's generation and time are known.
func (rt *Router) CanMint() bool { return rt.minting.Load().groupMillis > 0 }

// MintID returns a new request id of this data centre.
func (rt *Router) MintID() model.RequestID {
	m := rt.minting.Load()
	now := m.groupMillis + rt.clock.Now().Sub(m.at).Milliseconds()
	return ledger.Mint(rt.dc, m.generation, now, strconv.FormatUint(rand.Uint64(), randomBase))
}

func (rt *Router) nextAttempt() string {
	return rt.incarnation + "." + strconv.FormatUint(rt.attempts.Add(1), 10)
}

// Stop refuses new requests from here on.
func (rt *Router) Stop() { rt.stopping.Store(true) }

// Wait returns once every record is closed, after the last request has ended.
func (rt *Router) Wait() {
	rt.pool.Close()
	rt.remotes.set(nil)
	rt.pool.drained(2 * cutLinger)
	rt.work.Wait()
}

// ServeHTTP implements http.Handler.
func (rt *Router) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	defer rt.taken.Add(-1)
	if rt.taken.Add(1) > rt.room {
		c := unread(r)
		rt.refuse(w, c, began, c.refuse(verdict.Refuse(verdict.ReasonOverload, "entry VM has %d requests in flight", rt.room).RetryIn(time.Second)))
		return
	}
	c, refusal := rt.accept(w, r)
	if refusal != nil {
		rt.refuse(w, c, began, c.refuse(refusal))
		return
	}
	res := rt.run(w, c)
	if res.refusal != nil && res.began {
		rt.note(c, began, res.refusal)
		// The caller must not take the part of the answer it has for the whole.
		panic(http.ErrAbortHandler)
	}
	if res.refusal != nil {
		rt.refuse(w, c, began, res.refusal)
		return
	}
	rt.observe(Outcome{Verdict: verdict.Done, Took: time.Since(began)})
	if c.begun {
		rt.record(c, EventDone, "", "")
	}
}

// accept reads and checks a request as far as it can be without a slot.
func (rt *Router) accept(w http.ResponseWriter, r *http.Request) (*call, *verdict.Refusal) {
	v := rt.view.Load()
	if rt.stopping.Load() {
		return unread(r), verdict.Refuse(verdict.ReasonStopping, "entry VM is stopping").RetryIn(0)
	}
	if v == nil {
		return unread(r), verdict.Refuse(verdict.ReasonNoLease, "entry VM has no settings yet").RetryIn(time.Second)
	}
	c, refusal := rt.parse(v, model.QueueName(chi.URLParam(r, "queue")), r)
	if refusal != nil {
		return c, refusal
	}
	w.Header().Set(api.HeaderRequestID, string(c.id))
	if refusal := rt.permitted(c); refusal != nil {
		return c, refusal
	}
	return c, c.readBody(w)
}

// unread is a call of which only what decides its verdict was read.
func unread(r *http.Request) *call {
	c := &call{r: r, id: model.RequestID(r.Header.Get(api.HeaderRequestID))}
	c.named = c.id != ""
	c.idempotent, _ = parseIdempotent(r)
	c.hop = r.Header.Get(api.HeaderHop) != ""
	return c
}

// permitted checks what may change while a request waits: the key and the
// settings lease. It is asked again right before the first byte is sent.
func (rt *Router) permitted(c *call) *verdict.Refusal {
	v := rt.view.Load()
	q, _, refusal := v.admit(c.queue.Name, c.key)
	if refusal != nil {
		return refusal
	}
	if !q.Open && !rt.settings.Valid(rt.clock.Now()) {
		return verdict.Refuse(verdict.ReasonNoLease, "entry VM can't confirm that its settings are in force").RetryIn(time.Second)
	}
	return nil
}

// in refuses requests for servers here while the data centre is out.
func (rt *Router) in() *verdict.Refusal {
	if !rt.view.Load().out {
		return nil
	}
	return verdict.Refuse(verdict.ReasonOut, "data centre %s is out of service", rt.dc).RetryIn(time.Second)
}

// refuse answers with a refusal.
func (rt *Router) refuse(w http.ResponseWriter, c *call, began time.Time, refusal *verdict.Refusal) {
	rt.note(c, began, refusal)
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(refusalTimeout))
	if !c.bodyRead && c.r.ContentLength != 0 {
		// Otherwise the library would read the rest of the body first.
		w.Header().Set("Connection", "close")
	}
	httpx.WriteRefusal(w, refusal)
}

// refusalTimeout bounds the writing of a refusal.
const refusalTimeout = 5 * time.Second

// note counts and records a refusal.
func (rt *Router) note(c *call, began time.Time, refusal *verdict.Refusal) {
	rt.observe(Outcome{refusal.Verdict, refusal.Reason, time.Since(began)})
	rt.record(c, EventRefused, string(refusal.Reason), refusal.Message)
}

// FlushEvents records how many events were left out since the last call. It is
// called once a second or so.
func (rt *Router) FlushEvents() { rt.events.Flush() }

// record writes an event, unless there are too many; metrics count them all.
func (rt *Router) record(c *call, kind eventlog.Kind, cause, detail string) {
	e := eventlog.Event{
		Kind: kind, DC: rt.dc, Request: c.id, Workspace: c.workspace,
		Revision: rt.Revision(), Cause: cause, Detail: detail,
	}
	if c.queue != nil {
		e.Queue = c.queue.Name
	}
	rt.events.Record(e)
}
