package route

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"kumquatwing/internal/api"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/lease"
	"kumquatwing/internal/model"
	"kumquatwing/internal/verdict"
)

const (
	// noSlotsLimit is the time without any slot after which a request with a
	// limited wait is refused at once instead of waiting for a first slot.
	noSlotsLimit = 500 * time.Millisecond
	// demandGrowthDivisor sets the growth that triggers an immediate sync: demand
	// must exceed the reported value by more than 1/demandGrowthDivisor of it.
	demandGrowthDivisor = 4
	// deadlineWindow is the window over which longestDeadline tracks the maximum.
	deadlineWindow = 10 * time.Second
)

// Pool holds the slots granted to this entry VM and the requests that wait for
// them. It is safe for concurrent use.
type Pool struct {
	clock clock.Clock
	dial  Dialer
	// requestSync requests an immediate sync. It is called without holding mu.
	requestSync func()

	// mu guards the fields below.
	mu        sync.Mutex
	slotLease lease.Lease
	servers   map[serverKey]*server
	queues    map[model.QueueName]*slotQueue
	// pendingReturns holds returned slots. They are sent again until a sync that
	// carried them has a response.
	pendingReturns []api.SlotGrant
	longest        longestDeadline
	closed         bool
}

// slotQueue holds the waiting requests and the statistics of one queue.
type slotQueue struct {
	waiters *fairQueue
	// inUse is the number of slots in use, peakDemand the highest demand since the
	// last sync, reported the demand in the last sync.
	inUse, peakDemand, reported int
	// meanHold is the moving average of the time that a slot is in use.
	meanHold time.Duration
	// emptySince is when a request first found no slot held, zero if the last
	// check found one.
	emptySince time.Time
}

// NewPool returns a pool without slots. requestSync requests an immediate sync and
// is called without holding the pool's lock.
func NewPool(c clock.Clock, dial Dialer, requestSync func()) *Pool {
	return &Pool{
		clock:       c,
		dial:        dial,
		requestSync: requestSync,
		servers:     map[serverKey]*server{},
		queues:      map[model.QueueName]*slotQueue{},
	}
}

// queue returns the state of a queue, which it creates if needed. The caller must
// hold p.mu.
func (p *Pool) queue(name model.QueueName) *slotQueue {
	q := p.queues[name]
	if q == nil {
		q = &slotQueue{waiters: newFairQueue()}
		p.queues[name] = q
	}
	return q
}

// SlotRequest describes a request that needs a slot.
type SlotRequest struct {
	Queue     model.QueueName
	Workspace model.WorkspaceID
	Share     int64
	Deadline  time.Time
	// Avoid lists servers that failed this request. They are chosen only if no
	// other server has a free slot.
	Avoid []model.ServerID
	// MaxWaiting limits the workspace's requests that wait in the queue.
	MaxWaiting int
	// MaxWait limits the wait for a slot if it is above 0.
	MaxWait time.Duration
}

// waitLimit returns the longest wait after which a request that needs its slot
// for hold still meets its deadline, and at most MaxWait if that is set.
func (r *SlotRequest) waitLimit(hold time.Duration) time.Duration {
	left := time.Until(r.Deadline) - hold
	if r.MaxWait > 0 {
		return min(left, r.MaxWait)
	}
	return left
}

// Acquire waits for a slot until ctx ends or MaxWait has passed. Its errors are
// NotRun refusals.
func (p *Pool) Acquire(ctx context.Context, req *SlotRequest) (*Slot, error) {
	w, err := p.enqueue(req)
	if err != nil {
		return nil, err
	}
	if req.MaxWait > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, req.MaxWait)
		defer cancel()
	}
	select {
	case t := <-w.turn:
		if t.refusal != nil {
			return nil, t.refusal
		}
		return t.slot, nil
	case <-ctx.Done():
	}
	if slot := p.cancelWait(req.Queue, w); slot != nil {
		slot.Release()
	}
	return nil, p.waitRefusal(ctx, req)
}

// waitRefusal returns the refusal for a request that got no slot in time.
func (p *Pool) waitRefusal(ctx context.Context, req *SlotRequest) error {
	if p.heldSlots(req.Queue) == 0 {
		return noServerRefusal(req.Queue)
	}
	if req.MaxWait > 0 && time.Until(req.Deadline) > 0 {
		return verdict.Refuse(verdict.ReasonOverload, "no slot became free in queue %s within %v", req.Queue, req.MaxWait).WithRetryAfter(req.MaxWait)
	}
	if ctx.Err() == context.DeadlineExceeded {
		return verdict.Refuse(verdict.ReasonDeadline, "no slot became free in queue %s before the deadline", req.Queue).WithRetryAfter(time.Second)
	}
	return verdict.Refuse(verdict.ReasonDeadline, "caller gave up while waiting in queue %s", req.Queue)
}

// stoppingRefusal returns the refusal of a pool that is closed.
func stoppingRefusal() *verdict.Refusal {
	return verdict.Refuse(verdict.ReasonStopping, "entry VM is stopping").WithRetryAfter(0)
}

// noServerRefusal returns the refusal for a queue without slots on this entry VM.
func noServerRefusal(queue model.QueueName) *verdict.Refusal {
	return verdict.Refuse(verdict.ReasonNoServer, "no slot of a backend server is lent to this entry VM for queue %s", queue).WithRetryAfter(time.Second)
}

// emptyFor returns how long the queue has had no slot, given that it now has held.
func (q *slotQueue) emptyFor(held int) time.Duration {
	if held > 0 {
		q.emptySince = time.Time{}
		return 0
	}
	if q.emptySince.IsZero() {
		q.emptySince = time.Now()
	}
	return time.Since(q.emptySince)
}

// enqueue adds a request to its queue and assigns free slots. It refuses the
// request if the pool is closed, the queue is full or the deadline can't be met.
func (p *Pool) enqueue(req *SlotRequest) (*waiter, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, stoppingRefusal()
	}
	q := p.queue(req.Queue)
	if err := p.shed(q, req); err != nil {
		p.mu.Unlock()
		return nil, err
	}
	w := &waiter{
		workspace: req.Workspace,
		share:     req.Share,
		deadline:  req.Deadline,
		avoid:     req.Avoid,
		turn:      make(chan turn, 1),
	}
	q.waiters.push(w)
	longerDeadline := p.longest.observe(time.Now(), time.Until(req.Deadline))
	p.dispatch(req.Queue, q)
	grown := w.waiting() && q.demandGrown()
	q.peakDemand = max(q.peakDemand, q.inUse+q.waiters.len())
	p.mu.Unlock()
	if grown || longerDeadline {
		p.requestSync()
	}
	return w, nil
}

// demandGrown reports whether demand has grown so far beyond the reported value
// that a sync is requested at once. Smaller growth waits for the next regular
// sync.
func (q *slotQueue) demandGrown() bool {
	return q.inUse+q.waiters.len() > q.reported+q.reported/demandGrowthDivisor
}

// shed refuses a request if its workspace has too many waiting requests, if the
// queue has had no slots for long, or if the estimated wait is too long for the
// deadline. The caller must hold p.mu.
func (p *Pool) shed(q *slotQueue, req *SlotRequest) error {
	if q.waiters.waiting(req.Workspace) >= req.MaxWaiting {
		return verdict.Refuse(verdict.ReasonOverload, "%d requests of workspace %q wait in queue %s", req.MaxWaiting, req.Workspace, req.Queue).WithRetryAfter(q.meanHold + time.Millisecond)
	}
	held := p.heldSlotsLocked(req.Queue)
	if q.emptyFor(held) > noSlotsLimit && req.MaxWait > 0 {
		return noServerRefusal(req.Queue)
	}
	if held == 0 || q.meanHold == 0 || p.anyFree(req.Queue) {
		return nil
	}
	ahead := q.waiters.ahead(req.Workspace, req.Share)
	wait := q.meanHold * time.Duration(ahead+1) / time.Duration(held)
	if wait <= req.waitLimit(q.meanHold) {
		return nil
	}
	return verdict.Refuse(verdict.ReasonOverload, "queue %s needs about %v, the deadline is in %v", req.Queue, wait+q.meanHold, time.Until(req.Deadline)).WithRetryAfter(wait)
}

// cancelWait removes a waiter from its queue. If the waiter was given a slot in
// the meantime, cancelWait returns that slot, otherwise nil.
func (p *Pool) cancelWait(queue model.QueueName, w *waiter) *Slot {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.queue(queue).waiters.remove(w) {
		return nil
	}
	return (<-w.turn).slot
}

// dispatch assigns free slots to waiting requests, and refuses those whose turn comes
// too late. The caller must hold p.mu.
func (p *Pool) dispatch(name model.QueueName, q *slotQueue) {
	if q.waiters.len() == 0 || !p.slotLease.Valid(p.clock.Now()) {
		return
	}
	now := time.Now()
	for w := q.waiters.peek(); w != nil; w = q.waiters.peek() {
		if w.deadline.Sub(now) > p.longest.allowed() {
			return
		}
		s := p.chooseServer(name, w.avoid, now)
		if s == nil {
			return
		}
		if q.tooLate(w, now) {
			q.waiters.remove(w)
			w.turn <- turn{refusal: lateRefusal(name, w.deadline.Sub(now), q.meanHold)}
			continue
		}
		q.waiters.pop()
		s.inUse++
		q.inUse++
		w.turn <- turn{slot: &Slot{pool: p, server: s, queue: name, acquiredAt: now}}
	}
}

// tooLate reports whether a request whose turn has come can no longer end by its
// deadline. It would only occupy a slot that others wait for. Where no other request
// waits it is tried all the same, so that meanHold follows servers that have become
// faster.
func (q *slotQueue) tooLate(w *waiter, now time.Time) bool {
	return q.waiters.len() > 1 && w.deadline.Sub(now) < q.meanHold
}

// lateRefusal returns the refusal for a request that got its turn too late.
func lateRefusal(queue model.QueueName, left, hold time.Duration) *verdict.Refusal {
	return verdict.Refuse(verdict.ReasonOverload, "a request of queue %s takes about %v, the deadline is in %v", queue, hold, left).WithRetryAfter(hold)
}

// chooseServer returns the server of the queue with the most free slots, or nil if
// there is none. Servers that failed lately, and even more so those that failed
// this request, are chosen only if no better server has a free slot.
// The caller must hold p.mu.
func (p *Pool) chooseServer(name model.QueueName, avoid []model.ServerID, now time.Time) *server {
	var best *server
	bestRank := 0
	for _, s := range p.servers {
		if s.grant.Queue != name || s.free() <= 0 {
			continue
		}
		rank := serverRank(s, avoid, now)
		if best == nil || rank < bestRank || rank == bestRank && lessServer(s, best) {
			best, bestRank = s, rank
		}
	}
	return best
}

// serverRank returns 0 for a server without known failures, and a higher rank for
// a suspect server or one that failed this request.
func serverRank(s *server, avoid []model.ServerID, now time.Time) int {
	rank := 0
	if now.Before(s.suspectUntil) {
		rank++
	}
	if slices.Contains(avoid, s.key.id) {
		rank += 2
	}
	return rank
}

// lessServer orders servers by free slots, most first, then by id.
func lessServer(a, b *server) bool {
	if a.free() != b.free() {
		return a.free() > b.free()
	}
	return cmp.Compare(a.key.id, b.key.id) < 0
}

// anyFree reports whether a server of the queue has a free slot. The caller must
// hold p.mu.
func (p *Pool) anyFree(name model.QueueName) bool {
	for _, s := range p.servers {
		if s.grant.Queue == name && s.free() > 0 {
			return true
		}
	}
	return false
}

// heldSlotsLocked returns the number of usable slots of a queue, 0 if the slot
// lease has ended. The caller must hold p.mu.
func (p *Pool) heldSlotsLocked(name model.QueueName) int {
	if !p.slotLease.Valid(p.clock.Now()) {
		return 0
	}
	n := 0
	for _, s := range p.servers {
		if s.grant.Queue == name {
			n += s.usable()
		}
	}
	return n
}

// heldSlots is heldSlotsLocked for callers that don't hold p.mu.
func (p *Pool) heldSlots(name model.QueueName) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.heldSlotsLocked(name)
}
