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
	// repeatPause is the pause before a record whose request is still in
	// flight is asked for again; it doubles up to repeatPauseMax.
	repeatPause    = 20 * time.Millisecond
	repeatPauseMax = 500 * time.Millisecond
	// beginTries bounds the attempts to make a record.
	beginTries = 4
	// finishTimeout bounds the attempts to close a record.
	finishTimeout = 5 * time.Second
	// finishPause is the pause between two of them.
	finishPause = 100 * time.Millisecond
)

// Ledger reaches the records of requests, in whichever data centre the id
// names. Errors are refusals; one of Begin that is not NotRun may have made
// the record.
type Ledger interface {
	Begin(ctx context.Context, req *api.RecordBegin) (*api.RecordReply, error)
	Finish(ctx context.Context, req *api.RecordFinish) error
}

// begin makes the request's record. It returns true if this call may send the
// request; otherwise the caller has been answered or the refusal says why not.
func (rt *Router) begin(ctx context.Context, w http.ResponseWriter, c *call) (bool, *verdict.Refusal) {
	pause := repeatPause
	for {
		reply, err := rt.makeRecord(ctx, c)
		if err != nil {
			rt.closeUnsent(c, err)
			return false, c.refuse(unrecorded(err))
		}
		if reply.State != api.RecordOpen {
			return rt.settle(w, c, reply)
		}
		if c.left() < 2*pause || !clock.Sleep(ctx, pause) {
			return false, verdict.Uncertain(verdict.ReasonRepeat, "an earlier call with this id is in flight or was lost; it may have run")
		}
		pause = min(2*pause, repeatPauseMax)
	}
}

// makeRecord asks for the record, again after a lost reply: the attempt's name
// makes that safe.
func (rt *Router) makeRecord(ctx context.Context, c *call) (*api.RecordReply, error) {
	req := &api.RecordBegin{
		ID:         c.id,
		Workspace:  c.workspace,
		Queue:      c.queue.Name,
		Entry:      rt.vm,
		Digest:     c.digest(),
		LifeMillis: c.limits.life.Milliseconds(),
		Attempt:    c.attempt,
	}
	var err error
	for try := range beginTries {
		if try > 0 && !clock.Sleep(ctx, repeatPause) {
			break
		}
		var reply *api.RecordReply
		if reply, err = rt.ledger.Begin(ctx, req); err == nil {
			return reply, nil
		}
		if r := verdict.From(err); r.Verdict == verdict.NotRun && !r.Retry {
			break
		}
	}
	return nil, err
}

// unrecorded explains why a request has no record. It was not sent, and no
// other call may send it under this attempt's name.
func unrecorded(err error) *verdict.Refusal {
	cause := verdict.From(err)
	r := verdict.Refuse(cause.Reason, "request can't be recorded: %s", cause.Message)
	r.Retry, r.RetryAfterMillis = true, cause.RetryAfterMillis
	return r
}

// settle acts on a record that is not in flight.
func (rt *Router) settle(w http.ResponseWriter, c *call, reply *api.RecordReply) (bool, *verdict.Refusal) {
	switch reply.State {
	case api.RecordFresh:
		c.begun = true
		return true, nil
	case api.RecordAnswered:
		return false, rt.answerRepeat(w, reply.Answer)
	case api.RecordNotRun:
		return false, verdict.Refuse(verdict.ReasonRepeat, "an earlier call with this id was refused before it ran; use a new id")
	case api.RecordMismatch:
		return false, verdict.Uncertain(verdict.ReasonConflict, "this id was used for a different request, which may have run; this one did not")
	}
	if !c.named {
		return false, verdict.Refuse(verdict.ReasonRecordLost, "records of the data centre were lost since the id was minted").RetryIn(time.Second)
	}
	return false, verdict.Uncertain(verdict.ReasonRecordExpired, "the record of this id is past its life; the request may have run")
}

// answerRepeat passes on a stored answer, or says that it was not stored.
func (rt *Router) answerRepeat(w http.ResponseWriter, a *api.StoredAnswer) *verdict.Refusal {
	if a == nil || !a.Whole {
		return verdict.New(verdict.Done, verdict.ReasonRepeat, "the request ran once; its answer was too large to be stored")
	}
	writeStored(w, a)
	return nil
}

// closeUnsent closes a record that may have been made by a call whose reply
// was lost, so that a repeat is told that the request was not run.
func (rt *Router) closeUnsent(c *call, err error) {
	if verdict.From(err).Verdict == verdict.NotRun {
		return
	}
	rt.closeLater(&api.RecordFinish{ID: c.id, Entry: rt.vm, NotRun: true, Attempt: c.attempt})
}

// finish closes the request's record in the background. The caller's answer
// does not wait for it: a repeat that comes earlier waits for the record.
func (rt *Router) finish(c *call, answer *api.StoredAnswer) {
	if !c.begun {
		return
	}
	rt.closeLater(&api.RecordFinish{ID: c.id, Entry: rt.vm, NotRun: answer == nil, Answer: answer, Attempt: c.attempt})
}

func (rt *Router) closeLater(req *api.RecordFinish) {
	rt.work.Go(func() { rt.closeRecord(req) })
}

func (rt *Router) closeRecord(req *api.RecordFinish) {
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	for {
		err := rt.ledger.Finish(ctx, req)
		if err == nil {
			return
		}
		if !clock.Sleep(ctx, finishPause) {
			rt.log.Warn("record could not be closed", zap.String("request", string(req.ID)), zap.Error(err))
			return
		}
	}
}
