package scheduler

import (
	"context"

	"go.uber.org/zap"

	"kumquatwing/internal/cell"
)

// updateRunning updates the runs that a reply lists as running, stops those that are not
// known, and returns the listed run numbers by task.
func (s *Scheduler) updateRunning(ctx context.Context, se *session, rn *renewal) map[cell.TaskKey]int64 {
	now := s.now()
	listed := make(map[cell.TaskKey]int64, len(rn.reply.Running))
	for i := range rn.reply.Running {
		rt := &rn.reply.Running[i]
		listed[rt.Task] = rt.Run
		r := se.runs[rt.Task]
		if r == nil || r.number != rt.Run {
			s.stopUnknownRun(ctx, se, rt.Task, rt.Run)
			continue
		}
		if r.status == runInherited || (r.status == runUnconfirmed && !r.stopSent) {
			r.status, r.confirmedAt, r.timed = runStarted, now, false
			r.withdrawUnconfirmedStop()
			s.begun.add(rt.Task.Job)
		}
		r.listedAt = now
		if rt.Percent > 0 {
			r.notePace(rt.Percent, now)
		}
		s.recordProgress(se, rt.Task, r, rt.Percent, now)
		r.noteCheckpoint(rt.Checkpoint, now)
	}
	return listed
}

// withdrawUnconfirmedStop withdraws a stop that was requested only since the start of the run
// was not answered.
func (r *run) withdrawUnconfirmedStop() {
	if r.cause == causeUnconfirmed {
		r.stopRequestedAt, r.cause = 0, causeNone
	}
}

// recordFinished records the ends that a reply lists, and as lost the runs that the worker
// certainly doesn't have, if the lists are complete. The renewal loop continues once the
// listed ends are durable. Ends are taken only from the loop's own renewals: each renewal of
// the loop acknowledges all ends that the previous one listed, so these must be recorded
// before it is sent.
func (s *Scheduler) recordFinished(ctx context.Context, se *session, rn *renewal, running map[cell.TaskKey]int64) {
	listed := map[cell.TaskKey]int64{}
	last := se.lastRecordedEnd
	for i := range rn.reply.Finished {
		f := &rn.reply.Finished[i]
		last = max(last, f.Number)
		listed[f.Task] = max(listed[f.Task], f.Run)
		r := se.runs[f.Task]
		if rn.outOfBand {
			continue
		}
		if r == nil || r.number != f.Run || r.ending {
			s.addLateSuccess(se, f)
			continue
		}
		r.ending = true
		s.begun.add(f.Task.Job)
		s.recordOutcome(se, f)
		if f.Outcome == cell.OutcomeDone {
			s.recordRunTime(se, f.Task, r, rn, s.now())
		}
		s.addEnd(se, f.Task, r, f.Outcome, f.Checkpoint)
		s.measureWork(se, &s.ends.ends[len(s.ends.ends)-1], r, rn)
	}
	for k, r := range se.runs {
		if r.ending || running[k] == r.number || listed[k] == r.number {
			continue
		}
		if !rn.reply.MoreFinished && r.isLost(rn) {
			r.ending = true
			s.cfg.Log.Info("worker no longer has the run, recording it as lost", zap.Stringer("task", k), zap.Int64("run", r.number), zap.String("worker", string(se.target.ID)))
			s.addEndBecause(se, k, r, cell.OutcomeLost, r.checkpoint, r.causeIfMissing(se))
		}
	}
	if last > se.lastRecordedEnd && !rn.outOfBand {
		s.ends.acks = append(s.ends.acks, endAck{se, se.replying, last})
		return
	}
	se.resumeAfter(rn)
}

// fencedOff reports whether the worker refuses the start of the run since the renewal, whose
// token is higher. That is so for a start that was meant for an earlier incarnation, whose
// clock the end of its lease belongs to.
func (r *run) fencedOff(rn *renewal) bool { return r.fence < rn.order.Fence }

// isLost reports whether a run that the reply to rn does not list is certain
// not to be running and never to run.
func (r *run) isLost(rn *renewal) bool {
	switch r.status {
	case runInherited:
		return true
	case runStarted:
		return r.confirmedAt < rn.sent
	case runUnconfirmed:
		stopped := r.stopAcceptedAt != 0 && r.stopAcceptedAt < rn.sent
		return stopped || r.fencedOff(rn) || rn.reply.ClockMillis > r.leaseMillis
	}
	return false
}
