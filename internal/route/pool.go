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
	// emptyLimit is after how long without slots a request that can go elsewhere
	// no longer waits for the first one.
	emptyLimit = 500 * time.Millisecond
	// toldShare is the part of the demand last told by which it must grow to be
	// told at once.
	toldShare = 4
	// longestWindow is for how long a long deadline is remembered.
	longestWindow = 10 * time.Second
)

// Pool holds the slots lent to this entry VM and the requests that wait for
// them. It is safe for concurrent use.
type Pool struct {
	clock clock.Clock
	dial  Dialer
	// wake is called, without the lock, when a sync should not wait.
	wake func()

	mu      sync.Mutex
	lease   lease.Held
	servers map[serverKey]*server
	queues  map[model.QueueName]*slotQueue
	// pending returns are repeated until a sync that carried them is answered.
	pending []api.SlotGrant
	longest longestDeadline
	closed  bool
}

// slotQueue is one queue's waiting requests and figures.
type slotQueue struct {
	fair *fairQueue
	// inUse counts slots in use, peak the most wanted since the last sync, told
	// what the last sync said.
	inUse, peak, told int
	// hold is the mean time that a slot is taken.
	hold time.Duration
	// empty is since when no slot was held whenever one was wanted.
	empty time.Time
}

// NewPool returns a pool without slots. wake asks for a sync at once.
func NewPool(c clock.Clock, dial Dialer, wake func()) *Pool {
	return &Pool{
		clock:   c,
		dial:    dial,
		wake:    wake,
		servers: map[serverKey]*server{},
		queues:  map[model.QueueName]*slotQueue{},
	}
}

func (p *Pool) queue(name model.QueueName) *slotQueue {
	q := p.queues[name]
	if q == nil {
		q = &slotQueue{fair: newFairQueue()}
		p.queues[name] = q
	}
	return q
}

// Want describes a request that needs a slot.
type Want struct {
	Queue     model.QueueName
	Workspace model.WorkspaceID
	Share     int64
	Deadline  time.Time
	// Avoid lists servers that failed this request.
	Avoid []model.ServerID
	// Room is how many requests of the workspace may wait in the queue.
	Room int
	// Patience bounds the wait if it is above 0.
	Patience time.Duration
}

// limit is the longest wait that makes sense, hold being the time that the
// request then needs.
func (w *Want) limit(hold time.Duration) time.Duration {
	left := time.Until(w.Deadline) - hold
	if w.Patience > 0 {
		return min(left, w.Patience)
	}
	return left
}

// Acquire waits for a slot. Its errors are NotRun refusals.
func (p *Pool) Acquire(ctx context.Context, want *Want) (*Slot, error) {
	w, err := p.enqueue(want)
	if err != nil {
		return nil, err
	}
	if want.Patience > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, want.Patience)
		defer cancel()
	}
	select {
	case slot := <-w.slot:
		if slot == nil {
			return nil, verdict.Refuse(verdict.ReasonStopping, "entry VM is stopping").RetryIn(0)
		}
		return slot, nil
	case <-ctx.Done():
	}
	if slot := p.giveUp(want.Queue, w); slot != nil {
		slot.Release()
	}
	return nil, p.unserved(ctx, want)
}

// unserved explains why a request waited in vain.
func (p *Pool) unserved(ctx context.Context, want *Want) error {
	if p.offered(want.Queue) == 0 {
		return noServer(want.Queue)
	}
	if want.Patience > 0 && time.Until(want.Deadline) > 0 {
		return verdict.Refuse(verdict.ReasonOverload, "no slot became free in queue %s within %v", want.Queue, want.Patience).RetryIn(want.Patience)
	}
	if ctx.Err() == context.DeadlineExceeded {
		return verdict.Refuse(verdict.ReasonDeadline, "no slot became free in queue %s before the deadline", want.Queue).RetryIn(time.Second)
	}
	return verdict.Refuse(verdict.ReasonDeadline, "caller gave up while waiting in queue %s", want.Queue)
}

func noServer(queue model.QueueName) *verdict.Refusal {
	return verdict.Refuse(verdict.ReasonNoServer, "no slot of a backend server is lent to this entry VM for queue %s", queue).RetryIn(time.Second)
}

// emptyFor is for how long no slot was held, given that held are now.
func (q *slotQueue) emptyFor(held int) time.Duration {
	if held > 0 {
		q.empty = time.Time{}
		return 0
	}
	if q.empty.IsZero() {
		q.empty = time.Now()
	}
	return time.Since(q.empty)
}

// enqueue adds a request to its queue, unless it is full or the deadline can't
// be met, and hands out what is free.
func (p *Pool) enqueue(want *Want) (*waiter, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, verdict.Refuse(verdict.ReasonStopping, "entry VM is stopping").RetryIn(0)
	}
	q := p.queue(want.Queue)
	if err := p.shed(q, want); err != nil {
		p.mu.Unlock()
		return nil, err
	}
	w := &waiter{
		workspace: want.Workspace,
		share:     want.Share,
		deadline:  want.Deadline,
		avoid:     want.Avoid,
		slot:      make(chan *Slot, 1),
	}
	q.fair.push(w)
	longer := p.longest.note(time.Now(), time.Until(want.Deadline))
	p.dispatch(want.Queue, q)
	news := w.index >= 0 && q.grown()
	q.peak = max(q.peak, q.inUse+q.fair.len())
	p.mu.Unlock()
	if news || longer {
		p.wake()
	}
	return w, nil
}

// grown reports whether so much more is wanted than the group was told that it
// should be told at once. A steady load waits for the next sync.
func (q *slotQueue) grown() bool {
	return q.inUse+q.fair.len() > q.told+q.told/toldShare
}

// shed refuses a request that would wait in vain.
func (p *Pool) shed(q *slotQueue, want *Want) error {
	if q.fair.waiting(want.Workspace) >= want.Room {
		return verdict.Refuse(verdict.ReasonOverload, "%d requests of workspace %q wait in queue %s", want.Room, want.Workspace, want.Queue).RetryIn(q.hold + time.Millisecond)
	}
	held := p.held(want.Queue)
	if q.emptyFor(held) > emptyLimit && want.Patience > 0 {
		return noServer(want.Queue)
	}
	if held == 0 || q.hold == 0 || p.anyFree(want.Queue) {
		return nil
	}
	ahead := q.fair.ahead(want.Workspace, want.Share)
	wait := q.hold * time.Duration(ahead+1) / time.Duration(held)
	if wait <= want.limit(q.hold) {
		return nil
	}
	return verdict.Refuse(verdict.ReasonOverload, "queue %s needs about %v, the deadline is in %v", want.Queue, wait+q.hold, time.Until(want.Deadline)).RetryIn(wait)
}

// giveUp takes a waiter out; a slot that it got meanwhile is returned.
func (p *Pool) giveUp(queue model.QueueName, w *waiter) *Slot {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.queue(queue).fair.remove(w) {
		return nil
	}
	return <-w.slot
}

// dispatch hands free slots to waiting requests. It needs the lock.
func (p *Pool) dispatch(name model.QueueName, q *slotQueue) {
	if q.fair.len() == 0 || !p.lease.Valid(p.clock.Now()) {
		return
	}
	now := time.Now()
	for w := q.fair.peek(); w != nil; w = q.fair.peek() {
		if w.deadline.Sub(now) > p.longest.allowed() {
			return
		}
		s := p.choose(name, w.avoid, now)
		if s == nil {
			return
		}
		q.fair.pop()
		s.inUse++
		q.inUse++
		w.slot <- &Slot{pool: p, server: s, queue: name, taken: now}
	}
}

// choose picks the server with the most free slots. One that failed this
// request or could not be reached lately is taken only for want of others.
func (p *Pool) choose(name model.QueueName, avoid []model.ServerID, now time.Time) *server {
	var best *server
	bestRank := 0
	for _, s := range p.servers {
		if s.grant.Queue != name || s.free() <= 0 {
			continue
		}
		rank := rankOf(s, avoid, now)
		if best == nil || rank < bestRank || rank == bestRank && before(s, best) {
			best, bestRank = s, rank
		}
	}
	return best
}

// rankOf is 0 for a good choice, higher for worse ones.
func rankOf(s *server, avoid []model.ServerID, now time.Time) int {
	rank := 0
	if now.Before(s.suspect) {
		rank++
	}
	if slices.Contains(avoid, s.key.id) {
		rank += 2
	}
	return rank
}

// before orders servers by free slots, then by name.
func before(a, b *server) bool {
	if a.free() != b.free() {
		return a.free() > b.free()
	}
	return cmp.Compare(a.key.id, b.key.id) < 0
}

func (p *Pool) anyFree(name model.QueueName) bool {
	for _, s := range p.servers {
		if s.grant.Queue == name && s.free() > 0 {
			return true
		}
	}
	return false
}

// held is the number of slots of a queue that may be used. It needs the lock.
func (p *Pool) held(name model.QueueName) int {
	if !p.lease.Valid(p.clock.Now()) {
		return 0
	}
	n := 0
	for _, s := range p.servers {
		if s.grant.Queue == name {
			n += s.kept()
		}
	}
	return n
}

// offered is held for callers without the lock.
func (p *Pool) offered(name model.QueueName) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held(name)
}
