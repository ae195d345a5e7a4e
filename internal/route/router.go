package route

import (
	"context"
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
	// slotTries bounds how often a slot is lost between its grant and its use.
	slotTries = 8
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
	if state.View != nil {
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
		c := rt.unread(r)
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
		return rt.unread(r), verdict.Refuse(verdict.ReasonStopping, "entry VM is stopping").RetryIn(0)
	}
	if v == nil {
		return rt.unread(r), verdict.Refuse(verdict.ReasonNoLease, "entry VM has no settings yet").RetryIn(time.Second)
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
func (rt *Router) unread(r *http.Request) *call {
	c := &call{r: r, id: model.RequestID(r.Header.Get(api.HeaderRequestID))}
	c.named = c.id != ""
	c.idempotent, _ = parseIdempotent(r)
	c.hop, _ = rt.checkHop(r)
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
		Kind: kind, DC: rt.dc, Request: c.id, Team: c.team,
		Revision: rt.Revision(), Cause: cause, Detail: detail,
	}
	if c.queue != nil {
		e.Queue = c.queue.Name
	}
	rt.events.Record(e)
}

// result is how a request, or one try of it, ended.
type result struct {
	refusal *verdict.Refusal
	// began is set if part of the answer went to the caller.
	began bool
	// again is set if nothing speaks against another try; moved if the slot was
	// lost before its use, which doesn't count as a try.
	again, moved bool
	// settled is set if the record decided; no other server may be asked.
	settled bool
}

// untouched reports whether the try came to nothing for want of a server, so
// that it may be asked for elsewhere.
func (r *result) untouched() bool {
	return r.refusal.Verdict == verdict.NotRun && !r.began && !r.again && !r.moved && !r.settled
}

// run gets a request done, over several tries if need be.
func (rt *Router) run(w http.ResponseWriter, c *call) result {
	ctx, cancel := c.context()
	defer cancel()
	if c.named && c.recorded() {
		if ok, refusal := rt.begin(ctx, w, c); !ok {
			return result{refusal: refusal}
		}
	}
	rt.budget.earn(c.limits.retryShare)
	res := rt.tries(ctx, w, c)
	if res.refusal != nil && res.refusal.Verdict == verdict.NotRun {
		rt.finish(c, nil)
	}
	return res
}

// tries sends a request until it is answered or may not be sent again.
func (rt *Router) tries(ctx context.Context, w http.ResponseWriter, c *call) result {
	uncertain := false
	for moves := 0; ; {
		res := rt.try(ctx, w, c)
		if res.refusal == nil || res.began {
			return res
		}
		uncertain = uncertain || res.refusal.Verdict != verdict.NotRun
		if res.moved && moves < slotTries {
			moves++
			continue
		}
		c.spent++
		if !res.again || !c.triesLeft() || !rt.budget.spend() {
			return result{refusal: worst(res.refusal, uncertain)}
		}
		rt.record(c, EventRetried, string(res.refusal.Reason), res.refusal.Message)
	}
}

// worst makes a refusal true for all tries: one of them may have run.
func worst(r *verdict.Refusal, uncertain bool) *verdict.Refusal {
	if !uncertain || r.Verdict != verdict.NotRun {
		return r
	}
	out := *r
	out.Verdict = verdict.MayHaveRun
	return &out
}

// try sends the request once: to a server here, or to another data centre if
// there is none or none is free here.
func (rt *Router) try(ctx context.Context, w http.ResponseWriter, c *call) result {
	res := rt.tryHere(ctx, w, c)
	if res.refusal == nil || !res.untouched() || !overflows(res.refusal) || !rt.mayOverflow(c) {
		return res
	}
	away := rt.overflow(ctx, w, c, res.refusal)
	if away.refusal == nil || !away.untouched() {
		return away
	}
	// Nobody else took it: it waits here until its deadline.
	return rt.tryHere(ctx, w, c)
}

// overflows reports whether a refusal here says nothing about other data centres.
func overflows(r *verdict.Refusal) bool {
	switch r.Reason {
	case verdict.ReasonNoServer, verdict.ReasonOverload, verdict.ReasonOut:
		return true
	}
	return false
}

// tryHere gets a slot of a server of this data centre and sends the request
// over it once.
func (rt *Router) tryHere(ctx context.Context, w http.ResponseWriter, c *call) result {
	if refusal := rt.in(); refusal != nil {
		return result{refusal: refusal}
	}
	slot, err := rt.pool.Acquire(ctx, rt.want(c))
	if err != nil {
		return result{refusal: verdict.From(err)}
	}
	conn, err := slot.server.conns.take(ctx)
	if err != nil {
		slot.Suspect()
		slot.Release()
		c.tried = append(c.tried, slot.Server())
		return result{refusal: verdict.From(err), again: true}
	}
	if ok, res := rt.prepare(ctx, w, c, slot); !ok {
		conn.pool.put(conn)
		slot.Release()
		return res
	}
	return rt.exchange(ctx, w, c, slot, conn)
}

// want describes the slot that a call needs. Its patience is short while other
// data centres can be asked, and for their requests.
func (rt *Router) want(c *call) *Want {
	w := &Want{
		Queue: c.queue.Name, Team: c.team, Share: c.share,
		Deadline: c.deadline, Avoid: c.tried, Room: c.limits.room,
	}
	if c.hop || rt.mayOverflow(c) {
		w.Patience = overflowPatience
	}
	return w
}

// prepare makes the record and checks every right to send for the last time.
func (rt *Router) prepare(ctx context.Context, w http.ResponseWriter, c *call, slot *Slot) (bool, result) {
	if c.recorded() && !c.begun {
		if ok, refusal := rt.begin(ctx, w, c); !ok {
			return false, result{refusal: refusal, settled: true}
		}
	}
	if refusal := rt.permitted(c); refusal != nil {
		return false, result{refusal: refusal}
	}
	if refusal := rt.in(); refusal != nil {
		return false, result{refusal: refusal}
	}
	if c.left() <= 0 {
		return false, result{refusal: verdict.Refuse(verdict.ReasonDeadline, "deadline passed before the request was sent")}
	}
	if !slot.Valid(c.deadline) {
		return false, result{moved: true, refusal: verdict.Refuse(verdict.ReasonNoServer, "slot lease ended before the request was sent").RetryIn(time.Second)}
	}
	return true, result{}
}

// exchange sends the request and passes the answer on.
func (rt *Router) exchange(ctx context.Context, w http.ResponseWriter, c *call, slot *Slot, conn *serverConn) result {
	x := &exchange{c: c, conn: conn, server: slot.Server()}
	refusal := x.send(ctx)
	if refusal == nil && x.resp.StatusCode == http.StatusServiceUnavailable && c.repeatable() && c.spent+1 < c.limits.tries {
		refusal = verdict.Uncertain(verdict.ReasonOverload, "backend server %s is busy", x.server).RetryIn(time.Second)
	}
	d := newDelivery(w, x)
	if refusal == nil {
		refusal = d.run()
	}
	x.end(refusal == nil)
	if refusal == nil {
		slot.Done()
		rt.finish(c, d.stored())
		return result{}
	}
	rt.broken(slot, refusal)
	c.tried = append(c.tried, slot.Server())
	again := refusal.Verdict == verdict.NotRun || c.repeatable()
	return result{refusal: refusal, began: d.began, again: again && refusal.Reason != verdict.ReasonTooLarge}
}

// broken gives back the slot of an exchange that failed.
func (rt *Router) broken(slot *Slot, refusal *verdict.Refusal) {
	if refusal.Reason != verdict.ReasonTooLarge && refusal.Reason != verdict.ReasonDeadline {
		slot.Suspect()
	}
	if refusal.Verdict == verdict.NotRun {
		slot.Release()
		return
	}
	slot.Broken()
}
