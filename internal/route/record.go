package route

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"kumquatwing/internal/api"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/verdict"
)

const (
	// openRecordPause is the pause before the ledger is asked again about a record
	// whose request is still in flight. It doubles up to openRecordPauseMax.
	openRecordPause    = 20 * time.Millisecond
	openRecordPauseMax = 500 * time.Millisecond
	// beginTries limits the calls of Ledger.Begin for one record.
	beginTries = 4
	// finishTimeout limits the total time spent on finishing a record.
	finishTimeout = 5 * time.Second
	// finishPause is the pause between two calls of Ledger.Finish.
	finishPause = 100 * time.Millisecond
)

// Ledger gives access to request records. Each record is kept by the group of the
// data centre that the request id names. Errors are refusals. If Begin fails with
// any verdict but NotRun, the record may have been created.
type Ledger interface {
	Begin(ctx context.Context, req *api.RecordBegin) (*api.RecordReply, error)
	Finish(ctx context.Context, req *api.RecordFinish) error
}

// acquireRecord creates the request's ledger record and returns true if this call
// may send the request. If it returns false with a nil refusal, the caller has been
// answered from the record. While the record belongs to another call that is in
// flight, acquireRecord waits.
func (rt *Router) acquireRecord(ctx context.Context, w http.ResponseWriter, c *call) (bool, *verdict.Refusal) {
	pause := openRecordPause
	for {
		reply, err := rt.beginRecord(ctx, c)
		if err != nil {
			rt.finishUncertain(c, err)
			return false, c.adjustVerdict(recordRefusal(err))
		}
		if reply.State != api.RecordOpen {
			return rt.applyRecord(w, c, reply)
		}
		if c.timeLeft() < 2*pause || !clock.Sleep(ctx, pause) {
			return false, verdict.RefuseMayHaveRun(verdict.ReasonDuplicate, "an earlier call with this id is in flight or was lost; it may have run")
		}
		pause = min(2*pause, openRecordPauseMax)
	}
}

// beginRecord calls Ledger.Begin and retries it, for example after a lost reply.
// Retries are safe because the ledger replies the same to the same attempt.
func (rt *Router) beginRecord(ctx context.Context, c *call) (*api.RecordReply, error) {
	req := &api.RecordBegin{
		ID:         c.id,
		Workspace:  c.workspace,
		Queue:      c.queue.Name,
		Entry:      rt.vm,
		Digest:     c.digest(),
		LifeMillis: c.limits.recordLifetime.Milliseconds(),
		Attempt:    c.attempt,
	}
	var err error
	for try := range beginTries {
		if try > 0 && !clock.Sleep(ctx, openRecordPause) {
			break
		}
		var reply *api.RecordReply
		if reply, err = rt.ledger.Begin(ctx, req); err == nil {
			return reply, nil
		}
		if r := verdict.FromError(err); r.Verdict == verdict.NotRun && !r.Retry {
			break
		}
	}
	return nil, err
}

// recordRefusal returns the refusal for a request whose record could not be
// created. The verdict is NotRun: the request was not sent, and no other call uses
// the same attempt.
func recordRefusal(err error) *verdict.Refusal {
	cause := verdict.FromError(err)
	r := verdict.Refuse(cause.Reason, "request can't be recorded: %s", cause.Message)
	r.Retry, r.RetryAfterMillis = true, cause.RetryAfterMillis
	return r
}

// applyRecord handles a ledger reply whose state is not open. Its results are
// those of acquireRecord.
func (rt *Router) applyRecord(w http.ResponseWriter, c *call, reply *api.RecordReply) (bool, *verdict.Refusal) {
	switch reply.State {
	case api.RecordFresh:
		c.ownsRecord = true
		return true, nil
	case api.RecordAnswered:
		return false, rt.answerDuplicate(w, reply.Answer)
	case api.RecordNotRun:
		return false, verdict.Refuse(verdict.ReasonDuplicate, "an earlier call with this id was refused before it ran; use a new id")
	case api.RecordMismatch:
		return false, verdict.RefuseMayHaveRun(verdict.ReasonConflict, "this id was used for a different request, which may have run; this one did not")
	}
	if !c.idFromCaller {
		return false, verdict.Refuse(verdict.ReasonRecordLost, "records of the data centre were lost since the id was minted").WithRetryAfter(time.Second)
	}
	return false, verdict.RefuseMayHaveRun(verdict.ReasonRecordExpired, "the record of this id is past its life; the request may have run")
}

// answerDuplicate answers a duplicate request with the stored response, or returns
// a refusal if the response was not stored completely.
func (rt *Router) answerDuplicate(w http.ResponseWriter, a *api.StoredAnswer) *verdict.Refusal {
	if a == nil || !a.Whole {
		return verdict.New(verdict.Done, verdict.ReasonDuplicate, "the request ran once; its answer was too large to be stored")
	}
	writeStoredResponse(w, a)
	return nil
}

// finishUncertain finishes a record as not run if Begin failed in a way that may
// have created it. Duplicates of the request then learn that it did not run.
func (rt *Router) finishUncertain(c *call, err error) {
	if verdict.FromError(err).Verdict == verdict.NotRun {
		return
	}
	rt.finishInBackground(&api.RecordFinish{ID: c.id, Entry: rt.vm, NotRun: true, Attempt: c.attempt})
}

// finishRecord finishes the request's record in the background, as not run if
// answer is nil. The caller's response need not wait for it, since a duplicate that
// arrives earlier waits while the record is open.
func (rt *Router) finishRecord(c *call, answer *api.StoredAnswer) {
	if !c.ownsRecord {
		return
	}
	rt.finishInBackground(&api.RecordFinish{ID: c.id, Entry: rt.vm, NotRun: answer == nil, Answer: answer, Attempt: c.attempt})
}

// finishInBackground starts finishWithRetry. Wait waits for it.
func (rt *Router) finishInBackground(req *api.RecordFinish) {
	rt.finishing.Go(func() { rt.finishWithRetry(req) })
}

// finishWithRetry calls Ledger.Finish until it succeeds or finishTimeout has
// passed.
func (rt *Router) finishWithRetry(req *api.RecordFinish) {
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	for {
		err := rt.ledger.Finish(ctx, req)
		if err == nil {
			return
		}
		if !clock.Sleep(ctx, finishPause) {
			rt.log.Warn("request record not finished before the timeout; it may stay open", zap.String("request", string(req.ID)), zap.Error(err))
			return
		}
	}
}
