package route

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"kumquatwing/internal/api"
	"kumquatwing/internal/model"
	"kumquatwing/internal/verdict"
)

const (
	// overflowWait is how long a request waits for a slot of its own data centre
	// before other data centres are tried.
	overflowWait = 50 * time.Millisecond
	// remoteConnections limits the connections to one entry VM of another data
	// centre.
	remoteConnections = 64
	// remoteBackoff is how long an entry VM is skipped after it declined a request.
	remoteBackoff = 200 * time.Millisecond
	// maxRefusalBytes limits how much of another entry VM's refusal is read.
	maxRefusalBytes = 64 << 10
)

// remoteSet holds the entry VMs of other data centres. It is safe for concurrent
// use.
type remoteSet struct {
	dial Dialer

	mu  sync.Mutex
	vms []*remoteVM
}

// remoteVM is one entry VM of another data centre.
type remoteVM struct {
	api.RemoteEntry
	conns *connPool
	// skipUntil is when the entry VM may be tried again after it declined a
	// request. It is guarded by remoteSet.mu.
	skipUntil time.Time
}

// set replaces the entry VMs. It keeps the connections to those that remain and
// closes idle connections to the others.
func (r *remoteSet) set(list []api.RemoteEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var next []*remoteVM
	for _, e := range list {
		i := slices.IndexFunc(r.vms, func(o *remoteVM) bool { return o.VM == e.VM && o.DC == e.DC && o.Addr == e.Addr })
		if i >= 0 {
			r.vms[i].Out = e.Out
			next = append(next, r.vms[i])
			continue
		}
		pool := newConnPool(e.Addr, r.dial)
		pool.setMaxOpen(remoteConnections)
		next = append(next, &remoteVM{RemoteEntry: e, conns: pool})
	}
	for _, old := range r.vms {
		if !slices.Contains(next, old) {
			old.conns.close()
		}
	}
	r.vms = next
}

// pick returns, in random order, one entry VM of each other data centre that is in
// service.
func (r *remoteSet) pick(now time.Time) []*remoteVM {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*remoteVM
	seen := map[model.DCID]bool{}
	for _, i := range rand.Perm(len(r.vms)) {
		e := r.vms[i]
		if !seen[e.DC] && !e.Out && !now.Before(e.skipUntil) {
			seen[e.DC] = true
			out = append(out, e)
		}
	}
	return out
}

// skip makes pick leave out an entry VM for remoteBackoff.
func (r *remoteSet) skip(e *remoteVM, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.skipUntil = now.Add(remoteBackoff)
}

// verifyForwarded checks that a request with the forwarding header does come from
// another entry VM: the header must hold the attempt under which the ledger record
// was created, which callers don't know. The other entry VM finishes the record and
// handles duplicates.
func (rt *Router) verifyForwarded(ctx context.Context, c *call) *verdict.Refusal {
	reply, err := rt.beginRecord(ctx, c)
	if err != nil {
		return recordRefusal(err)
	}
	if reply.State != api.RecordFresh {
		return verdict.Refuse(verdict.ReasonBadRequest, "header %s names no request of an entry VM that is in flight", api.HeaderForwarded)
	}
	return nil
}

// mayOverflow reports whether the request may be forwarded to another data centre
// now.
func (rt *Router) mayOverflow(c *call) bool {
	return !c.forwarded && !c.overflowed && c.replayable() && rt.CanOverflow()
}

// overflow offers the request to one entry VM of each other data centre until one
// accepts it. If all decline, the result's refusal is cause.
func (rt *Router) overflow(ctx context.Context, w http.ResponseWriter, c *call, cause *verdict.Refusal) result {
	c.overflowed = true
	res := result{refusal: cause}
	for _, e := range rt.remotes.pick(time.Now()) {
		if c.timeLeft() <= 0 {
			break
		}
		rt.recordEvent(c, EventOverflow, string(cause.Reason), "passed to "+string(e.VM)+" in "+string(e.DC))
		next := rt.forward(ctx, w, c, e)
		if next.refusal == nil || !next.declined() {
			return next
		}
		rt.remotes.skip(e, time.Now())
	}
	return res
}

// forward sends the request to one entry VM, once.
func (rt *Router) forward(ctx context.Context, w http.ResponseWriter, c *call, e *remoteVM) result {
	conn, err := e.conns.take(ctx)
	if err != nil {
		return result{refusal: verdict.FromError(err)}
	}
	if c.needsRecord() && !c.ownsRecord {
		if ok, refusal := rt.acquireRecord(ctx, w, c); !ok {
			conn.pool.put(conn)
			return result{refusal: refusal, decidedByRecord: true}
		}
	}
	if refusal := rt.authorize(c); refusal != nil {
		conn.pool.put(conn)
		return result{refusal: refusal}
	}
	x := &exchange{c: c, conn: conn, server: model.ServerID(e.VM), toEntryVM: true}
	refusal := x.send(ctx)
	if refusal == nil {
		refusal = x.remoteRefusal()
	}
	return rt.relayRemote(w, c, x, refusal)
}

// relayRemote relays the response of another entry VM, or returns its refusal.
func (rt *Router) relayRemote(w http.ResponseWriter, c *call, x *exchange, refusal *verdict.Refusal) result {
	d := newDelivery(w, x)
	if refusal == nil {
		refusal = d.run()
	}
	x.release(refusal == nil)
	if refusal == nil {
		rt.finishRecord(c, d.storedResponse())
		return result{}
	}
	return result{refusal: refusal, started: d.started, retryable: refusal.Verdict != verdict.NotRun && c.safeToRepeat()}
}

// remoteRefusal returns the refusal in another entry VM's response, or nil if the
// response is that of a backend server.
func (x *exchange) remoteRefusal() *verdict.Refusal {
	if x.resp.Header.Get(api.HeaderVerdict) == string(verdict.Done) {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(x.resp.Body, maxRefusalBytes))
	refusal := &verdict.Refusal{}
	if err != nil || json.Unmarshal(body, refusal) != nil || refusal.Verdict == "" {
		return verdict.RefuseMayHaveRun(verdict.ReasonTruncatedResponse, "entry VM %s answered without a verdict", x.server)
	}
	return refusal
}

// CanOverflow reports whether another data centre can currently be tried.
func (rt *Router) CanOverflow() bool { return len(rt.remotes.pick(time.Now())) > 0 }
