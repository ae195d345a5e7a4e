package route

import (
	"context"
	"net/http"
	"time"

	"kumquatwing/internal/verdict"
)

// slotTries bounds how often a slot is lost between its grant and its use.
const slotTries = 8

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
	if c.hop && !c.idempotent {
		if refusal := rt.verifyHop(ctx, c); refusal != nil {
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
		Queue: c.queue.Name, Workspace: c.workspace, Share: c.share,
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
