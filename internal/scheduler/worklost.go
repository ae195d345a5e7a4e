package scheduler

import (
	"slices"
	"time"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/clock"
)

// lossCause is the decision or the event because of which a run ends without a saved
// result.
type lossCause uint8

const (
	// causeNone: the run ends by itself, or its work is not lost.
	causeNone lossCause = iota
	// causePreempted: stopped to free capacity for more urgent work, which then started.
	causePreempted
	// causeReserved: stopped to free capacity for a gang that then did not start.
	causeReserved
	// causeShutdown: stopped since its worker was about to shut down, or lost with it.
	causeShutdown
	// causeStalled: stopped since it made no progress.
	causeStalled
	// causeGangMember: another member of its gang ended or was refused.
	causeGangMember
	// causeFailed: it failed, or its job did.
	causeFailed
	// causeLease: the lease of its worker expired.
	causeLease
	// causeUnconfirmed: stopped since its worker had not answered the start.
	causeUnconfirmed
	// causeCancelled: its job was cancelled.
	causeCancelled
	// causeWorkerEnded: the incarnation of its worker ended.
	causeWorkerEnded
	// causeMissing: its worker no longer listed it and reported no end.
	causeMissing
	// causeEarlierLeader: stopped by an earlier leader, whose reason is not known.
	causeEarlierLeader

	lossCauses
)

// String returns the label of the cause in metrics and logs.
func (c lossCause) String() string {
	return [...]string{
		"none", "preempted", "reserved", "shutdown", "stalled", "gang-member", "failed", "lease", "unconfirmed", "cancelled",
		"worker-ended", "missing", "earlier-leader",
	}[c]
}

// workLoss is the work that is lost with the end of one run.
type workLoss struct {
	cause       lossCause
	coreSeconds float64
	// stoppedFor is set if the cause is causePreempted.
	stoppedFor beneficiary
}

// beneficiary is a step for which runs were preempted, and the number of its latest run
// before that.
type beneficiary struct {
	step cell.StepKey
	run  int64
}

// unsettledLoss is the loss of a preemption whose beneficiary has not started yet.
type unsettledLoss struct {
	workLoss
	committedAt clock.Instant
}

// beneficiaryTimeout is how long after the end of a preempted run its beneficiary may take
// to start. The capacity is free by then, and a gang preempts most in the last 2.5 s before
// its latest start, so that one that takes longer is late.
const beneficiaryTimeout = 5 * time.Second

// lossSums holds core-seconds by cause.
type lossSums [lossCauses]float64

// rounded returns the sums that aren't 0 by the label of their cause, in whole
// core-seconds.
func (l *lossSums) rounded() map[string]int64 {
	out := map[string]int64{}
	for c, sum := range l {
		if sum > 0 {
			out[lossCause(c).String()] = int64(sum + 0.5)
		}
	}
	return out
}

// recordLosses counts the losses of runs whose ends are committed. Those of preemptions
// wait for settleLosses.
func (s *Scheduler) recordLosses(losses []workLoss) {
	for _, l := range losses {
		switch {
		case l.coreSeconds <= 0:
		case l.cause == causePreempted:
			s.unsettled = append(s.unsettled, unsettledLoss{l, s.now()})
		default:
			s.countLoss(l.cause, l.coreSeconds)
		}
	}
}

func (s *Scheduler) countLoss(c lossCause, coreSeconds float64) {
	s.lost[c] += coreSeconds
	s.cfg.Metrics.workLost.WithLabelValues(c.String()).Add(coreSeconds)
}

// settleLosses counts the losses of preemptions whose beneficiary has started, as
// causePreempted, or has not within beneficiaryTimeout or for good, as causeReserved.
func (s *Scheduler) settleLosses(now clock.Instant) {
	if len(s.unsettled) == 0 {
		return
	}
	s.cfg.State.Read(func() {
		s.unsettled = slices.DeleteFunc(s.unsettled, func(l unsettledLoss) bool {
			j, _, t := s.cfg.State.Task(firstTask(l.stoppedFor.step))
			switch {
			case t != nil && t.Run > l.stoppedFor.run:
				s.countLoss(causePreempted, l.coreSeconds)
			case t == nil || j.State.Ended() || now.Sub(l.committedAt) > beneficiaryTimeout:
				s.countLoss(causeReserved, l.coreSeconds)
			default:
				return false
			}
			return true
		})
	})
}

// firstTask returns the key of the first task of a step. All tasks of a gang have the same
// run number.
func firstTask(k cell.StepKey) cell.TaskKey {
	return cell.TaskKey{Job: k.Job, Occurrence: k.Occurrence, Step: k.Step}
}

// latestRun returns a gang's step with the number of its latest run.
func (s *Scheduler) latestRun(k cell.StepKey) beneficiary {
	b := beneficiary{step: k}
	s.cfg.State.Read(func() {
		if _, _, t := s.cfg.State.Task(firstTask(k)); t != nil {
			b.run = t.Run
		}
	})
	return b
}

// setCause records why a run is made to end. The first reason holds: a run that is
// being stopped for one ends for it.
func (r *run) setCause(c lossCause) {
	if r.cause == causeNone {
		r.cause = c
	}
}

// lossOf returns the work that is lost because of cause if the run of a task ends now with
// an outcome and a checkpoint. Nothing is lost with a task that is done, which holds for all
// members of a gang once one of them is, nor with a service task, which has no result.
func (s *Scheduler) lossOf(k cell.TaskKey, r *run, outcome cell.Outcome, checkpoint string, cause lossCause) workLoss {
	if cause == causeNone || !r.hasWorked(outcome) {
		return workLoss{}
	}
	var cores float64
	s.cfg.State.Read(func() {
		j, _, t := s.cfg.State.Task(k)
		if t == nil || t.Status == cell.TaskDone || j.Steps[k.Step].Service {
			return
		}
		cores = float64(j.Steps[k.Step].Need.MilliCPU) / 1000
	})
	return workLoss{cause, cores * r.unsavedTime(outcome, checkpoint, s.now()).Seconds(), r.stoppedFor}
}

// hasWorked reports whether a run that ends with an outcome may have worked. A lost run
// that its worker never confirmed or listed did not.
func (r *run) hasWorked(outcome cell.Outcome) bool {
	return outcome != cell.OutcomeLost || r.confirmedAt != 0 || r.listedAt != 0 || r.status == runInherited
}

// causeOf returns why the work of a run is lost that ends with an outcome.
func (r *run) causeOf(outcome cell.Outcome) lossCause {
	switch outcome {
	case cell.OutcomeDone:
		return causeNone
	case cell.OutcomeFailed:
		return causeFailed
	case cell.OutcomeLeaseExpired:
		return causeLease
	case cell.OutcomeBroken, cell.OutcomeAlone:
		return causeGangMember
	}
	switch {
	case r.cause != causeNone:
		return r.cause
	case outcome == cell.OutcomeStopped:
		return causeEarlierLeader
	}
	return causeMissing
}

// causeIfMissing returns why the work of a run is lost that its worker no longer lists.
func (r *run) causeIfMissing(se *session) lossCause {
	if r.cause != causeNone {
		return r.cause
	}
	return se.causeOfLoss(causeMissing)
}

// causeOfLoss returns the cause of losses with a worker that has gone: its shutdown if it
// had announced one.
func (se *session) causeOfLoss(otherwise lossCause) lossCause {
	if se.draining {
		return causeShutdown
	}
	return otherwise
}

// unsavedTime returns for how long a run has worked that ends now, without the time up to
// the checkpoint that its end carries. The checkpoint of a stopped run that was not listed
// before was saved by the stop, and that of another end after the last listing.
func (r *run) unsavedTime(outcome cell.Outcome, checkpoint string, now clock.Instant) time.Duration {
	since := r.workingSince
	switch {
	case checkpoint == "":
	case checkpoint == r.checkpoint:
		since = max(since, r.checkpointAt)
	case outcome == cell.OutcomeStopped:
		since = now
	default:
		since = max(since, r.listedAt)
	}
	return now.Sub(since)
}

// noteCheckpoint records the newest checkpoint that the worker lists.
func (r *run) noteCheckpoint(checkpoint string, now clock.Instant) {
	if checkpoint != "" && checkpoint != r.checkpoint {
		r.checkpoint, r.checkpointAt = checkpoint, now
	}
}

// lossesOfWorker returns the losses with the runs of an incarnation that has ended. Runs
// whose ends are being committed count with these.
func (s *Scheduler) lossesOfWorker(se *session) []workLoss {
	var losses []workLoss
	for k, r := range se.runs {
		if !r.ending {
			losses = append(losses, s.lossOf(k, r, cell.OutcomeLost, "", se.causeOfLoss(causeWorkerEnded)))
		}
	}
	return losses
}

// causeOfJobEnd returns why the runs of a job that has ended are stopped. j is nil if the
// job was deleted since.
func causeOfJobEnd(j *cell.Job) lossCause {
	if j != nil && j.State == cell.JobFailed {
		return causeFailed
	}
	return causeCancelled
}
