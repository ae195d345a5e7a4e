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
	// overflowPatience is how long a request waits for a slot of its own data
	// centre before others are asked.
	overflowPatience = 50 * time.Millisecond
	// remoteConnections bounds the connections to one entry VM of another data
	// centre.
	remoteConnections = 64
	// remotePause is how long an entry VM that refused is passed over.
	remotePause = 200 * time.Millisecond
	// maxRefusalBytes bounds the refusal of another entry VM.
	maxRefusalBytes = 64 << 10
)

// remotes are the entry VMs of other data centres. It is safe for concurrent use.
type remotes struct {
	dial Dialer

	mu  sync.Mutex
	all []*remote
}

// remote is one entry VM of another data centre.
type remote struct {
	api.RemoteEntry
	conns *connPool
	// until is when it is asked again after a refusal.
	until time.Time
}

// set replaces the list, keeping the connections of those that stay.
func (r *remotes) set(list []api.RemoteEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var next []*remote
	for _, e := range list {
		i := slices.IndexFunc(r.all, func(o *remote) bool { return o.VM == e.VM && o.DC == e.DC && o.Addr == e.Addr })
		if i >= 0 {
			r.all[i].Out = e.Out
			next = append(next, r.all[i])
			continue
		}
		pool := newConnPool(e.Addr, r.dial)
		pool.setLimit(remoteConnections)
		next = append(next, &remote{RemoteEntry: e, conns: pool})
	}
	for _, old := range r.all {
		if !slices.Contains(next, old) {
			old.conns.close()
		}
	}
	r.all = next
}

// pick returns one entry VM of each other data centre that is in, in random order.
func (r *remotes) pick(now time.Time) []*remote {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*remote
	seen := map[model.DCID]bool{}
	for _, i := range rand.Perm(len(r.all)) {
		e := r.all[i]
		if !seen[e.DC] && !e.Out && !now.Before(e.until) {
			seen[e.DC] = true
			out = append(out, e)
		}
	}
	return out
}

// passOver leaves an entry VM that refused alone for a while.
func (r *remotes) passOver(e *remote, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.until = now.Add(remotePause)
}

// verifyHop checks that a request which says that it comes from another entry
// VM does: it shows the attempt under which the record was made, which no
// caller knows. The other VM closes the record, and repeats are its matter.
func (rt *Router) verifyHop(ctx context.Context, c *call) *verdict.Refusal {
	reply, err := rt.makeRecord(ctx, c)
	if err != nil {
		return unrecorded(err)
	}
	if reply.State != api.RecordFresh {
		return verdict.Refuse(verdict.ReasonBadRequest, "header %s names no request of an entry VM that is in flight", api.HeaderHop)
	}
	return nil
}

// mayOverflow reports whether other data centres can be asked.
func (rt *Router) mayOverflow(c *call) bool {
	return !c.hop && !c.overflowed && c.whole() && rt.Overflows()
}

// overflow asks one entry VM of each other data centre to run the request. The
// result's refusal is NotRun while none of them may have run it.
func (rt *Router) overflow(ctx context.Context, w http.ResponseWriter, c *call, cause *verdict.Refusal) result {
	c.overflowed = true
	res := result{refusal: cause}
	for _, e := range rt.remotes.pick(time.Now()) {
		if c.left() <= 0 {
			break
		}
		rt.record(c, EventOverflow, string(cause.Reason), "passed to "+string(e.VM)+" in "+string(e.DC))
		next := rt.hop(ctx, w, c, e)
		if next.refusal == nil || !next.untouched() {
			return next
		}
		rt.remotes.passOver(e, time.Now())
	}
	return res
}

// hop sends the request to one entry VM, once.
func (rt *Router) hop(ctx context.Context, w http.ResponseWriter, c *call, e *remote) result {
	conn, err := e.conns.take(ctx)
	if err != nil {
		return result{refusal: verdict.From(err)}
	}
	if c.recorded() && !c.begun {
		if ok, refusal := rt.begin(ctx, w, c); !ok {
			conn.pool.put(conn)
			return result{refusal: refusal, settled: true}
		}
	}
	if refusal := rt.permitted(c); refusal != nil {
		conn.pool.put(conn)
		return result{refusal: refusal}
	}
	x := &exchange{c: c, conn: conn, server: model.ServerID(e.VM), hop: true}
	refusal := x.send(ctx)
	if refusal == nil {
		refusal = x.remoteRefusal()
	}
	return rt.conclude(w, c, x, refusal)
}

// conclude passes the answer of another entry VM on.
func (rt *Router) conclude(w http.ResponseWriter, c *call, x *exchange, refusal *verdict.Refusal) result {
	d := newDelivery(w, x)
	if refusal == nil {
		refusal = d.run()
	}
	x.end(refusal == nil)
	if refusal == nil {
		rt.finish(c, d.stored())
		return result{}
	}
	return result{refusal: refusal, began: d.began, again: refusal.Verdict != verdict.NotRun && c.repeatable()}
}

// remoteRefusal returns the refusal that another entry VM answered with, if
// its answer is one.
func (x *exchange) remoteRefusal() *verdict.Refusal {
	if x.resp.Header.Get(api.HeaderVerdict) == string(verdict.Done) {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(x.resp.Body, maxRefusalBytes))
	refusal := &verdict.Refusal{}
	if err != nil || json.Unmarshal(body, refusal) != nil || refusal.Verdict == "" {
		return verdict.Uncertain(verdict.ReasonCutAnswer, "entry VM %s answered without a verdict", x.server)
	}
	return refusal
}

// Overflows reports whether another data centre can be asked now.
func (rt *Router) Overflows() bool { return len(rt.remotes.pick(time.Now())) > 0 }
