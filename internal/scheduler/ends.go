package scheduler

import (
	"context"
	"time"

	"go.uber.org/zap"

	"kumquatwing/internal/cell"
)

// endAck is the number up to which the finished runs of a worker's incarnation are
// acknowledged once the batch is committed.
type endAck struct {
	session     *session
	incarnation int64
	number      int64
}

// endBatch collects run ends for the next commit.
type endBatch struct {
	ends []cell.End
	// losses holds the work that is lost with the end of the same index.
	losses []workLoss
	acks   []endAck
	// inFlight counts the batches that are being committed.
	inFlight int
}

// maxEndCommitsInFlight bounds the batches of run ends that are being committed
// at a time.
const maxEndCommitsInFlight = 2

// addEnd adds the end of a run to the batch for the next commit.
func (s *Scheduler) addEnd(se *session, k cell.TaskKey, r *run, outcome cell.Outcome, checkpoint string) {
	s.addEndBecause(se, k, r, outcome, checkpoint, r.causeOf(outcome))
}

// addEndBecause is addEnd for a run whose work, as far as it is lost, is lost because of
// cause.
func (s *Scheduler) addEndBecause(se *session, k cell.TaskKey, r *run, outcome cell.Outcome, checkpoint string, cause lossCause) {
	s.cfg.Log.Info("run ended", zap.Stringer("task", k), zap.Int64("run", r.number), zap.Stringer("how", outcome),
		zap.String("worker", string(se.target.ID)))
	s.ends.ends = append(s.ends.ends, cell.End{
		Task: k, Run: r.number, Worker: se.target.ID, Born: se.target.Incarnation, Outcome: outcome, Checkpoint: checkpoint,
	})
	s.ends.losses = append(s.ends.losses, s.lossOf(k, r, outcome, checkpoint, cause))
}

// addLateSuccess adds the end of a run that the worker lists as done, and that was recorded as
// lost or is being so. Its worker was out of reach for longer than its lease. The task need not
// run again if it still waits.
func (s *Scheduler) addLateSuccess(se *session, f *FinishedTask) {
	if f.Outcome != cell.OutcomeDone {
		return
	}
	r := se.runs[f.Task]
	awaited := r != nil && r.number == f.Run && r.ending
	s.cfg.State.Read(func() { awaited = awaited || s.cfg.State.AwaitsRun(f.Task, f.Run) })
	if !awaited {
		return
	}
	s.cfg.Log.Info("lost run turned out to be done", zap.Stringer("task", f.Task), zap.Int64("run", f.Run), zap.String("worker", string(se.target.ID)))
	s.ends.ends = append(s.ends.ends, cell.End{
		Task: f.Task, Run: f.Run, Worker: se.target.ID, Born: se.target.Incarnation, Outcome: f.Outcome, Late: true,
	})
	s.ends.losses = append(s.ends.losses, workLoss{})
}

// commitEnds commits the collected run ends. Once they are committed, the next
// lease renewals acknowledge them to the workers, which may then forget them.
func (s *Scheduler) commitEnds(ctx context.Context) {
	b := &s.ends
	if b.inFlight >= maxEndCommitsInFlight || (len(b.ends) == 0 && len(b.acks) == 0) {
		return
	}
	ends, losses, acks := b.ends, b.losses, b.acks
	b.ends, b.losses, b.acks = nil, nil, nil
	if len(ends) == 0 {
		acknowledge(acks)
		return
	}
	b.inFlight++
	c := &cell.Command{Ends: &cell.Ends{Ends: ends, UnixMillis: time.Now().UnixMilli(), Speeds: s.takeUnrecordedSpeeds()}}
	s.propose(ctx, c, func(_ cell.Result, err error) {
		if err == nil {
			s.recordLosses(losses)
		}
		s.onEndsCommitted(ends, acks, err)
	})
}

// onEndsCommitted handles the outcome of a commit of run ends.
func (s *Scheduler) onEndsCommitted(ends []cell.End, acks []endAck, err error) {
	s.ends.inFlight--
	s.dirty = true
	if err != nil {
		s.cfg.Log.Warn("could not record run ends, waiting for the workers to report them again", zap.Int("ends", len(ends)), zap.Error(err))
		s.rollBackEnds(ends)
		for _, ack := range acks {
			ack.session.resume()
		}
		return
	}
	s.cfg.Metrics.ends.Add(float64(len(ends)))
	acknowledge(acks)
}

// rollBackEnds clears the marks of run ends that could not be recorded, so that
// the ends are taken again from the next renewal and an expired lease is detected
// again.
func (s *Scheduler) rollBackEnds(ends []cell.End) {
	for i := range ends {
		e := &ends[i]
		if e.Late {
			continue
		}
		if se := s.sessions[e.Worker]; se != nil {
			se.lost = false
			if r := se.runs[e.Task]; r != nil && r.number == e.Run {
				r.ending = false
			}
		}
	}
}

// acknowledge lets the next renewals acknowledge the ends, and resumes the
// renewal loops that waited for the commit.
func acknowledge(acks []endAck) {
	for _, ack := range acks {
		if ack.incarnation == ack.session.replying {
			ack.session.lastRecordedEnd = max(ack.session.lastRecordedEnd, ack.number)
		}
		ack.session.resume()
	}
}
