package scheduler

import (
	"time"

	"go.uber.org/zap"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/clock"
)

// maxInheritedAge bounds the age of a job that an earlier leader took, since
// the time of day may have jumped.
const maxInheritedAge = 20 * time.Second

// shareWindow is the time over which a workspace's share of jobs is counted.
const shareWindow = time.Second

// intake is what the leader noted when it first saw a job.
type intake struct {
	// at is when the job was submitted, as far as is known.
	at clock.Instant
	// overShare says that its workspace had submitted more than its share then.
	overShare bool
}

// intakeOf returns the note on a job and makes it at the first look.
func (s *Scheduler) intakeOf(j *cell.Job, now clock.Instant) intake {
	in, ok := s.taken[j.ID]
	if ok {
		return in
	}
	in = intake{at: now}
	if now.Sub(s.since) < time.Second {
		age := time.Duration(time.Now().UnixMilli()-j.SubmittedUnixMillis) * time.Millisecond
		in.at = now.Add(-min(max(0, age), maxInheritedAge))
	} else {
		in.overShare = !s.withinShare(s.cfg.State.Config.Workspace(j.Workspace), now)
	}
	s.taken[j.ID] = in
	return in
}

// noteEnded writes a line for each job that has ended since the last look, and
// forgets the note on it.
func (s *Scheduler) noteEnded(now clock.Instant) {
	s.cfg.State.Read(func() {
		for id, in := range s.taken {
			if s.cfg.State.Active[id] != nil {
				continue
			}
			delete(s.taken, id)
			j := s.cfg.State.Jobs[id]
			if j == nil {
				continue
			}
			s.jobEnded(j, now.Sub(in.at), in.overShare)
		}
	})
}

// jobEnded tells what became of a job. The state is locked.
func (s *Scheduler) jobEnded(j *cell.Job, took time.Duration, overShare bool) {
	s.cfg.Metrics.jobs.WithLabelValues(j.Queue, j.State.String()).Observe(took.Seconds())
	var allowed time.Duration
	if q := s.cfg.State.QueueOf(j); q != nil {
		allowed = objective(j, q)
	}
	s.cfg.Log.Info("job ended", zap.String("job", string(j.ID)), zap.String("queue", j.Queue),
		zap.String("workspace", j.Workspace), zap.Stringer("state", j.State), zap.String("reason", j.Reason),
		zap.Duration("took", took), zap.Duration("objective", allowed), zap.Bool("over_share", overShare))
}

// shareBucket counts the jobs that a workspace may still submit within its share.
type shareBucket struct {
	jobs float64
	at   clock.Instant
}

// withinShare counts one job of a workspace, whose share is its weight in jobs a
// second. A workspace without a weight has no bound.
func (s *Scheduler) withinShare(w *cell.Workspace, now clock.Instant) bool {
	if w == nil || w.Weight <= 0 {
		return true
	}
	full := w.Weight * shareWindow.Seconds()
	b := s.shares[w.Name]
	if b == nil {
		b = &shareBucket{jobs: full, at: now}
		s.shares[w.Name] = b
	}
	b.jobs = min(full, b.jobs+w.Weight*now.Sub(b.at).Seconds())
	b.at = now
	if b.jobs < 1 {
		return false
	}
	b.jobs--
	return true
}
