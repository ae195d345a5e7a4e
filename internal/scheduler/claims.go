package scheduler

import (
	"context"
	"time"

	"go.uber.org/zap"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/verdict"
)

const (
	// claimTimeout is how long a claim about a worker may stay unconfirmed. No task is
	// placed on the worker meanwhile.
	claimTimeout = 2 * time.Second
	// claimProbeInterval is the interval at which the worker is asked.
	claimProbeInterval = 250 * time.Millisecond
)

// claim is a report that differs from what the cell has recorded about a worker: it names
// a newer incarnation or another address. It may come from another sender, or be
// outdated. It holds once the worker has confirmed it at the address that it names, and is
// dropped once the worker contradicts it at the recorded address.
type claim struct {
	worker cell.Worker
	madeAt clock.Instant
	// probeAt is when the worker is next asked.
	probeAt clock.Instant
	// confirmed is set once the incarnation has answered at the address.
	confirmed bool
	// adopting is set while the report is being committed.
	adopting bool
	// waiters learn whether the report was committed.
	waiters []chan<- bool
}

// end tells those who wait for the claim whether the report was committed.
func (c *claim) end(adopted bool) {
	for _, w := range c.waiters {
		w <- adopted
	}
	c.waiters = nil
}

// sameAs reports whether two reports make the same claim.
func (c *claim) sameAs(w *cell.Worker) bool {
	return c.worker.Born == w.Born && c.worker.Addr == w.Addr
}

// ConfirmReport commits the report of a newer incarnation of a known worker, or of another
// address, once the worker has confirmed it. The runs of an older incarnation are not lost
// at once, since a start that was meant for it may have reached the newer one: first that
// one must have listed what it runs. The error says that this was not done before ctx
// ended, or that the worker did not confirm it.
func (s *Scheduler) ConfirmReport(ctx context.Context, w *cell.Worker) error {
	done := make(chan bool, 1)
	s.enqueue(ctx, func() { s.holdClaim(*w, done) })
	select {
	case adopted := <-done:
		if adopted {
			return nil
		}
		return verdict.Refuse(verdict.ReasonConflict, "worker %s does not confirm the report", w.ID)
	case <-ctx.Done():
		return verdict.Refuse(verdict.ReasonNoLease, "the report of worker %s is not confirmed yet", w.ID)
	}
}

// VerifyWorkers asks workers whether they still live, since another one reports their
// address.
func (s *Scheduler) VerifyWorkers(ctx context.Context, ids []cell.WorkerID) {
	s.enqueue(ctx, func() {
		for _, id := range ids {
			s.unverified[id] = true
		}
	})
}

// AnsweredSince reports whether an incarnation of a worker has answered a renewal that was
// sent after an instant of the scheduler's clock.
func (s *Scheduler) AnsweredSince(ctx context.Context, w cell.Incarnation, at clock.Instant) bool {
	answered := make(chan bool, 1)
	s.enqueue(ctx, func() {
		se := s.sessions[w.ID]
		if se != nil {
			se.wakeIfIdle()
		}
		answered <- se != nil && se.target.Incarnation == w.Born && se.replying == w.Born && se.answeredSentAt > at
	})
	select {
	case a := <-answered:
		return a
	case <-ctx.Done():
		return false
	}
}

// verifyWorkers sends the probes that VerifyWorkers requested.
func (s *Scheduler) verifyWorkers(ctx context.Context) {
	for id := range s.unverified {
		if se := s.sessions[id]; se != nil {
			s.cfg.Log.Info("another worker reports the address of this one, asking it", zap.String("worker", string(id)))
			s.probe(ctx, se)
		}
	}
	clear(s.unverified)
}

// holdClaim keeps a claim until the worker confirms or contradicts it. A new leader that
// has no sessions yet leaves it to the worker to report again.
func (s *Scheduler) holdClaim(w cell.Worker, done chan<- bool) {
	if !s.synced {
		return
	}
	se := s.sessions[w.ID]
	if se == nil || w.Born < se.target.Incarnation {
		done <- false
		return
	}
	if w.Born == se.target.Incarnation && w.Addr == se.target.Addr {
		done <- true
		return
	}
	if c := se.claim; c != nil && c.sameAs(&w) {
		c.worker = w
		c.waiters = append(c.waiters, done)
		return
	}
	s.cfg.Log.Info("a report differs from what is known of the worker, asking it", zap.String("worker", string(w.ID)),
		zap.Int64("known", se.target.Incarnation), zap.Int64("born", w.Born), zap.String("addr", w.Addr), zap.Int("runs", len(se.runs)))
	s.endClaim(se, false)
	now := s.now()
	se.claim = &claim{worker: w, madeAt: now, probeAt: now, waiters: []chan<- bool{done}}
	se.claim.confirmed = w.Addr == se.target.Addr && se.replying == w.Born
	s.claimed[w.ID] = true
}

// endClaim ends the claim of a session, if it has one.
func (s *Scheduler) endClaim(se *session, adopted bool) {
	if se.claim != nil {
		se.claim.end(adopted)
	}
	se.claim = nil
	delete(s.claimed, se.target.ID)
}

// checkClaims asks the workers with claims, drops the claims that they don't confirm in
// time, and commits the reports of those that are ready for it.
func (s *Scheduler) checkClaims(ctx context.Context) {
	now := s.now()
	for id := range s.claimed {
		se := s.sessions[id]
		c := se.claim
		switch {
		case c.adopting:
		case c.confirmed && !s.planning && se.accountedFor():
			s.adoptClaim(ctx, se)
		case !c.confirmed && now.Sub(c.madeAt) > claimTimeout:
			s.refuseClaim(se, "nothing answers as it says")
		case now >= c.probeAt:
			c.probeAt = now.Add(claimProbeInterval)
			s.probeClaim(ctx, se)
		}
	}
}

// refuseClaim drops the claim of a session.
func (s *Scheduler) refuseClaim(se *session, reason string) {
	s.cfg.Log.Warn("report about a worker refused", zap.String("worker", string(se.target.ID)), zap.String("why", reason),
		zap.Int64("known", se.target.Incarnation), zap.Int64("born", se.claim.worker.Born), zap.String("addr", se.claim.worker.Addr))
	s.endClaim(se, false)
	s.dirty = true
}

// probeClaim asks for the runs at the recorded address, and at the one that the claim
// names if that is another.
func (s *Scheduler) probeClaim(ctx context.Context, se *session) {
	s.probe(ctx, se)
	c := se.claim
	if c.confirmed || c.worker.Addr == se.target.Addr {
		return
	}
	rn := &renewal{
		target: WorkerTarget{c.worker.ID, c.worker.Addr, c.worker.Born}, order: RenewOrder{Fence: se.fence}, sent: s.now(), outOfBand: true,
	}
	go func() {
		s.sendRenewal(ctx, rn)
		s.post(ctx, func() { s.onClaimReply(se, c, rn) })
	}()
}

// onClaimReply handles the reply from the address that a claim names.
func (s *Scheduler) onClaimReply(se *session, c *claim, rn *renewal) {
	if !s.isOpen(se) || se.claim != c || rn.err != nil {
		return
	}
	if rn.reply.Incarnation == c.worker.Born {
		c.confirmed = true
	}
}

// judgeClaim compares the claim of a session with a reply from the recorded address. An
// order that was sent before the claim was made may have reached an incarnation that has
// ended since.
func (s *Scheduler) judgeClaim(se *session, rn *renewal) {
	c := se.claim
	replied := rn.reply.Incarnation
	if c == nil || c.adopting || replied == 0 || rn.sent < c.madeAt {
		return
	}
	sameAddr := c.worker.Addr == se.target.Addr
	switch {
	case sameAddr && replied == c.worker.Born:
		c.confirmed = true
	case sameAddr, replied == se.target.Incarnation:
		s.refuseClaim(se, "the worker answers otherwise")
	}
}

// accountedFor reports whether the claimed incarnation has listed all runs of the session
// as running, with a fencing token of its own. An incarnation that only has another
// address keeps its runs.
func (se *session) accountedFor() bool {
	if se.claim.worker.Born == se.target.Incarnation {
		return true
	}
	if len(se.runs) > 0 && (se.replying != se.claim.worker.Born || !se.fenceAccepted) {
		return false
	}
	for _, r := range se.runs {
		if r.status != runStarted || r.ending || r.listedAt < se.replyingSince {
			return false
		}
	}
	return true
}

// isBeingAdopted reports whether another incarnation is being recorded. The end of a run
// names the incarnation that had it, so that none may be committed meanwhile.
func (se *session) isBeingAdopted() bool {
	return se.adopting != 0 && se.adopting != se.target.Incarnation
}

// adoptClaim commits the claimed report. No plan is being committed meanwhile, and none
// that is made later places a task on the worker, so that the runs stay the same.
func (s *Scheduler) adoptClaim(ctx context.Context, se *session) {
	c := se.claim
	c.adopting, se.adopting = true, c.worker.Born
	s.propose(ctx, &cell.Command{Workers: &cell.Workers{Seen: []cell.Worker{c.worker}}}, func(_ cell.Result, err error) {
		if err != nil {
			s.cfg.Log.Warn("could not record the report of a worker, will try again", zap.String("worker", string(se.target.ID)), zap.Error(err))
			c.adopting, se.adopting = false, 0
			return
		}
		if se.claim == c {
			s.endClaim(se, true)
		}
		s.dirty = true
	})
}
