package route

import (
	"time"

	"kumquatwing/internal/api"
	"kumquatwing/internal/model"
)

const (
	// cutLinger is how long a slot stays taken after its exchange was broken
	// off, so that the server has seen the connection close.
	cutLinger = 250 * time.Millisecond
	// suspectMin and suspectMax bound how long a server that could not be
	// reached is passed over while others are free.
	suspectMin = 100 * time.Millisecond
	suspectMax = 2 * time.Second
	// holdWeight is the weight of the newest sample in the mean hold time.
	holdWeight = 0.1
)

// serverKey names one run of a backend server's process.
type serverKey struct {
	id          model.ServerID
	incarnation string
}

// server is what this entry VM holds of one backend server.
type server struct {
	key   serverKey
	grant api.SlotGrant
	inUse int
	// returned slots are on their way back and no longer used.
	returned int
	conns    *connPool
	// failures in a row and until when the server is passed over.
	failures int
	suspect  time.Time
}

// kept is the number of slots that are not on their way back or asked back.
func (s *server) kept() int {
	if s.grant.Leaving {
		return 0
	}
	return s.grant.Slots - max(s.returned, s.grant.Recall)
}

// free is how many requests more may be sent. A slot that is asked back goes
// back as soon as it is idle, also while requests wait.
func (s *server) free() int { return s.kept() - s.inUse }

// returnable reports whether slots wait to be returned.
func (s *server) returnable() bool {
	return s.grant.Recall > s.returned && s.grant.Slots-s.returned-s.inUse > 0
}

// Slot is the right to have one request in flight at a server.
type Slot struct {
	pool   *Pool
	server *server
	queue  model.QueueName
	taken  time.Time
}

// Valid reports whether the slot may still be used. It must be asked right
// before the first byte is sent.
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
	return p.lease.Valid(p.clock.Now())
}

// Server returns the server's id.
func (s *Slot) Server() model.ServerID { return s.server.key.id }

// Release gives the slot to the next request.
func (s *Slot) Release() {
	if s.release() {
		s.pool.wake()
	}
}

// release reports whether there are slots to return.
func (s *Slot) release() bool {
	p := s.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.queue(s.queue)
	s.server.inUse--
	q.inUse--
	p.forgetUnused(s.server)
	p.dispatch(s.queue, q)
	return s.server.returnable()
}

// Done releases the slot after a whole exchange.
func (s *Slot) Done() {
	s.pool.succeeded(s)
	s.Release()
}

// Broken releases the slot a little later, after an exchange that was cut off.
func (s *Slot) Broken() {
	time.AfterFunc(cutLinger, s.Release)
}

func (p *Pool) succeeded(s *Slot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.server.failures = 0
	s.server.suspect = time.Time{}
	q := p.queue(s.queue)
	took := time.Since(s.taken)
	if q.hold == 0 {
		q.hold = took
		return
	}
	q.hold += time.Duration(holdWeight * float64(took-q.hold))
}

// Suspect passes the slot's server over for a while that doubles.
func (s *Slot) Suspect() {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	pause := suspectMin << min(s.server.failures, 8)
	s.server.failures++
	s.server.suspect = time.Now().Add(min(pause, suspectMax))
}

// forgetUnused drops a server of which nothing is held or in use.
func (p *Pool) forgetUnused(s *server) {
	if s.inUse == 0 && s.grant.Slots == 0 {
		s.conns.close()
		delete(p.servers, s.key)
	}
}
