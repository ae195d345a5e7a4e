package route

import (
	"time"

	"kumquatwing/internal/api"
	"kumquatwing/internal/model"
)

const (
	// abortLinger is how long a slot stays in use after its exchange was aborted,
	// so that the server notices the closed connection before the slot is reused.
	abortLinger = 250 * time.Millisecond
	// suspectMin and suspectMax bound how long a server that failed is avoided
	// while other servers have free slots.
	suspectMin = 100 * time.Millisecond
	suspectMax = 2 * time.Second
	// holdSmoothing is the weight of the newest sample in the moving average of
	// slot hold times.
	holdSmoothing = 0.1
)

// serverKey identifies one process incarnation of a backend server.
type serverKey struct {
	id          model.ServerID
	incarnation string
}

// server is the state of one backend server of which this entry VM holds slots or
// has them in use. key and conns don't change; Pool.mu guards the other fields.
type server struct {
	key   serverKey
	grant api.SlotGrant
	inUse int
	// returned counts slots that syncs give back and that are no longer used.
	returned int
	conns    *connPool
	// failures counts consecutive failures. The server is avoided until
	// suspectUntil.
	failures     int
	suspectUntil time.Time
}

// usable returns the number of slots that are neither returned nor recalled.
func (s *server) usable() int {
	if s.grant.Leaving {
		return 0
	}
	return s.grant.Slots - max(s.returned, s.grant.Recall)
}

// free returns how many more requests may be sent to the server. Recalled slots
// don't count: they are returned as soon as they are idle, even while requests
// wait.
func (s *server) free() int { return s.usable() - s.inUse }

// hasReturnable reports whether an idle slot is to be returned because it was
// recalled.
func (s *server) hasReturnable() bool {
	return s.grant.Recall > s.returned && s.grant.Slots-s.returned-s.inUse > 0
}

// Slot is the right to have one request in flight at a server.
type Slot struct {
	pool       *Pool
	server     *server
	queue      model.QueueName
	acquiredAt time.Time
}

// Valid reports whether the slot may still be used for a request with this
// deadline. It must be called right before the first byte is sent.
func (s *Slot) Valid(deadline time.Time) bool {
	p := s.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.server.grant.Leaving || s.server.inUse > s.server.grant.Slots-s.server.returned {
		return false
	}
	if time.Until(deadline) > p.longest.allowed() {
		return false
	}
	return p.slotLease.Valid(p.clock.Now())
}

// Server returns the id of the backend server that the slot belongs to.
func (s *Slot) Server() model.ServerID { return s.server.key.id }

// Release frees the slot for the next request. It requests a sync if a recalled
// slot can be returned.
func (s *Slot) Release() {
	if s.release() {
		s.pool.requestSync()
	}
}

// release frees the slot and reports whether a recalled slot can be returned.
func (s *Slot) release() bool {
	p := s.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.queue(s.queue)
	s.server.inUse--
	q.inUse--
	p.removeIfUnused(s.server)
	p.dispatch(s.queue, q)
	return s.server.hasReturnable()
}

// ReleaseDone releases the slot after a complete exchange.
func (s *Slot) ReleaseDone() {
	s.pool.recordSuccess(s)
	s.Release()
}

// ReleaseAfterAbort releases the slot once abortLinger has passed. It is called
// after an exchange that was aborted.
func (s *Slot) ReleaseAfterAbort() {
	time.AfterFunc(abortLinger, s.Release)
}

// recordSuccess clears the server's failures and updates the queue's mean hold
// time.
func (p *Pool) recordSuccess(s *Slot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.server.failures = 0
	s.server.suspectUntil = time.Time{}
	q := p.queue(s.queue)
	took := time.Since(s.acquiredAt)
	if q.meanHold == 0 {
		q.meanHold = took
		return
	}
	q.meanHold += time.Duration(holdSmoothing * float64(took-q.meanHold))
}

// Suspect makes the pool avoid the slot's server for a time that doubles with
// each consecutive failure, up to suspectMax.
func (s *Slot) Suspect() {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	pause := suspectMin << min(s.server.failures, 8)
	s.server.failures++
	s.server.suspectUntil = time.Now().Add(min(pause, suspectMax))
}

// removeIfUnused removes a server with no slots granted or in use. The caller
// must hold p.mu.
func (p *Pool) removeIfUnused(s *server) {
	if s.inUse == 0 && s.grant.Slots == 0 {
		s.conns.close()
		delete(p.servers, s.key)
	}
}
