package route

import (
	"context"
	"net/http"
	"time"

	"kumquatwing/internal/verdict"
)

// maxLostSlots limits how often a request may lose its slot before using it without
// the loss counting as a failed try.
const maxLostSlots = 8

// result is the outcome of a request or of one try. refusal is nil if the caller
// got a response.
type result struct {
	refusal *verdict.Refusal
	// started is set if part of a response was sent to the caller.
	started bool
	// retryable is set if another try is safe and useful. slotLost is set if the
	// slot became invalid before it was used, which doesn't count as a failed try.
	retryable, slotLost bool
	// decidedByRecord is set if the ledger did not allow the request to be sent. It
	// must then not be sent to any other server.
	decidedByRecord bool
}

// declined reports whether no server was available or none accepted the request,
// so that another data centre may be tried.
func (r *result) declined() bool {
	return r.refusal.Verdict == verdict.NotRun && !r.started && !r.retryable && !r.slotLost && !r.decidedByRecord
}

// process handles a parsed request: it acquires a record if the request id may have
// been used before, sends the request with retries, and finishes the record if the
// request did not run.
func (rt *Router) process(w http.ResponseWriter, c *call) result {
	ctx, cancel := c.context()
	defer cancel()
	if c.idFromCaller && c.needsRecord() {
		if ok, refusal := rt.acquireRecord(ctx, w, c); !ok {
			return result{refusal: refusal}
		}
	}
	if c.forwarded && !c.idempotent {
		if refusal := rt.verifyForwarded(ctx, c); refusal != nil {
			return result{refusal: refusal}
		}
	}
	rt.budget.deposit(c.limits.retryShare)
	res := rt.runTries(ctx, w, c)
	if res.refusal != nil && res.refusal.Verdict == verdict.NotRun {
		rt.finishRecord(c, nil)
	}
	return res
}

// runTries sends a request until it gets a response or may not be sent again.
func (rt *Router) runTries(ctx context.Context, w http.ResponseWriter, c *call) result {
	uncertain := false
	for lostSlots := 0; ; {
		res := rt.tryOnce(ctx, w, c)
		if res.refusal == nil || res.started {
			return res
		}
		uncertain = uncertain || res.refusal.Verdict != verdict.NotRun
		if res.slotLost && lostSlots < maxLostSlots {
			lostSlots++
			continue
		}
		c.failedTries++
		if !res.retryable || !c.triesLeft() || !rt.budget.withdraw() {
			return result{refusal: markUncertain(res.refusal, uncertain)}
		}
		rt.recordEvent(c, EventRetried, string(res.refusal.Reason), res.refusal.Message)
	}
}

// markUncertain changes a NotRun refusal to MayHaveRun if uncertain is set, which
// means that the request may have run in an earlier try.
func markUncertain(r *verdict.Refusal, uncertain bool) *verdict.Refusal {
	if !uncertain || r.Verdict != verdict.NotRun {
		return r
	}
	out := *r
	out.Verdict = verdict.MayHaveRun
	return &out
}

// tryOnce sends the request to a server of this data centre, or to another data
// centre if none is available here.
func (rt *Router) tryOnce(ctx context.Context, w http.ResponseWriter, c *call) result {
	res := rt.tryLocal(ctx, w, c)
	if res.refusal == nil || !res.declined() || !worthOverflow(res.refusal) || !rt.mayOverflow(c) {
		return res
	}
	remoteRes := rt.overflow(ctx, w, c, res.refusal)
	if remoteRes.refusal == nil || !remoteRes.declined() {
		return remoteRes
	}
	// No other data centre accepted the request. It now waits here until its
	// deadline, because mayOverflow no longer limits the wait.
	return rt.tryLocal(ctx, w, c)
}

// worthOverflow reports whether another data centre may accept a request that was
// refused here for this reason.
func worthOverflow(r *verdict.Refusal) bool {
	switch r.Reason {
	case verdict.ReasonNoServer, verdict.ReasonOverload, verdict.ReasonDataCentreOut:
		return true
	}
	return false
}

// tryLocal acquires a slot of a server of this data centre and sends the request
// to that server once.
func (rt *Router) tryLocal(ctx context.Context, w http.ResponseWriter, c *call) result {
	if refusal := rt.checkInService(); refusal != nil {
		return result{refusal: refusal}
	}
	slot, err := rt.pool.Acquire(ctx, rt.slotRequest(c))
	if err != nil {
		return result{refusal: verdict.FromError(err)}
	}
	conn, err := slot.server.conns.take(ctx)
	if err != nil {
		slot.Suspect()
		slot.Release()
		c.failedServers = append(c.failedServers, slot.Server())
		return result{refusal: verdict.FromError(err), retryable: true}
	}
	if ok, res := rt.prepare(ctx, w, c, slot); !ok {
		conn.pool.put(conn)
		slot.Release()
		return res
	}
	return rt.sendToServer(ctx, w, c, slot, conn)
}

// slotRequest describes the slot that a call needs. The wait is limited to
// overflowWait while other data centres can be tried, and for requests that were
// forwarded from another data centre.
func (rt *Router) slotRequest(c *call) *SlotRequest {
	w := &SlotRequest{
		Queue: c.queue.Name, Workspace: c.workspace, Share: c.share,
		Deadline: c.deadline, Avoid: c.failedServers, MaxWaiting: c.limits.maxWaiting,
	}
	if c.forwarded || rt.mayOverflow(c) {
		w.MaxWait = overflowWait
	}
	return w
}

// prepare makes the last checks before a request is sent: it acquires the record
// and checks authorization, the state of the data centre, the deadline and the
// slot. It returns true if the request may be sent.
func (rt *Router) prepare(ctx context.Context, w http.ResponseWriter, c *call, slot *Slot) (bool, result) {
	if c.needsRecord() && !c.ownsRecord {
		if ok, refusal := rt.acquireRecord(ctx, w, c); !ok {
			return false, result{refusal: refusal, decidedByRecord: true}
		}
	}
	if refusal := rt.authorize(c); refusal != nil {
		return false, result{refusal: refusal}
	}
	if refusal := rt.checkInService(); refusal != nil {
		return false, result{refusal: refusal}
	}
	if c.timeLeft() <= 0 {
		return false, result{refusal: verdict.Refuse(verdict.ReasonDeadline, "deadline passed before the request was sent")}
	}
	if !slot.Valid(c.deadline) {
		return false, result{slotLost: true, refusal: verdict.Refuse(verdict.ReasonNoServer, "slot lease ended before the request was sent").WithRetryAfter(time.Second)}
	}
	return true, result{}
}

// sendToServer sends the request to the slot's server, relays the response, and
// releases the slot.
func (rt *Router) sendToServer(ctx context.Context, w http.ResponseWriter, c *call, slot *Slot, conn *serverConn) result {
	x := &exchange{c: c, conn: conn, server: slot.Server()}
	refusal := x.send(ctx)
	if refusal == nil && x.resp.StatusCode == http.StatusServiceUnavailable && c.safeToRepeat() && c.failedTries+1 < c.limits.maxTries {
		refusal = verdict.RefuseMayHaveRun(verdict.ReasonOverload, "backend server %s is busy", x.server).WithRetryAfter(time.Second)
	}
	d := newDelivery(w, x)
	if refusal == nil {
		refusal = d.run()
	}
	x.release(refusal == nil)
	if refusal == nil {
		slot.ReleaseDone()
		rt.finishRecord(c, d.storedResponse())
		return result{}
	}
	rt.releaseFailed(slot, refusal)
	c.failedServers = append(c.failedServers, slot.Server())
	retryable := refusal.Verdict == verdict.NotRun || c.safeToRepeat()
	return result{refusal: refusal, started: d.started, retryable: retryable && refusal.Reason != verdict.ReasonTooLarge}
}

// releaseFailed releases the slot of a failed exchange and marks the server as
// suspect, unless the size limit or the deadline was the reason. If the request may
// still be running, the slot is released after a delay.
func (rt *Router) releaseFailed(slot *Slot, refusal *verdict.Refusal) {
	if refusal.Reason != verdict.ReasonTooLarge && refusal.Reason != verdict.ReasonDeadline {
		slot.Suspect()
	}
	if refusal.Verdict == verdict.NotRun {
		slot.Release()
		return
	}
	slot.ReleaseAfterAbort()
}
