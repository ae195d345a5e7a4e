package scheduler

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/clock"
)

// maxInheritedAge bounds the age assumed for a job that an earlier leader
// admitted. The age is computed from wall-clock times, and the wall clock may
// have jumped.
const maxInheritedAge = 20 * time.Second

// shareWindow is the burst that a workspace's share allows: the jobs that accrue
// at its rate in this time.
const shareWindow = time.Second

// admission is what the leader recorded of a job when it first saw the job.
type admission struct {
	// submittedAt is when the job was submitted; for a job that an earlier leader
	// admitted, an estimate.
	submittedAt clock.Instant
	// overShare says that the job exceeded the share of its workspace.
	overShare bool
}

// admissionOf returns the admission record of a job, and creates it when the job
// is first seen. A job that is first seen within a second of the start of the
// leadership counts as admitted by an earlier leader: its age is estimated, and
// it is never over its share. The state is locked.
func (s *Scheduler) admissionOf(j *cell.Job, now clock.Instant) admission {
	adm, ok := s.admissions[j.ID]
	if ok {
		return adm
	}
	adm = admission{submittedAt: now}
	if now.Sub(s.leadingSince) < time.Second {
		age := time.Duration(time.Now().UnixMilli()-j.SubmittedUnixMillis) * time.Millisecond
		adm.submittedAt = now.Add(-min(max(0, age), maxInheritedAge))
	} else {
		adm.overShare = !s.takeShareToken(s.cfg.State.Config.Workspace(j.Workspace), now)
	}
	s.admissions[j.ID] = adm
	if s.cfg.State.QueueOf(j) == nil {
		s.cfg.Log.Error("job can't run, its queue is not known", zap.String("job", string(j.ID)), zap.String("queue", j.Queue))
	}
	return adm
}

// reportEndedJobs logs each job that has ended since the last call, updates the
// metrics and deletes its admission record and the run times of its steps.
func (s *Scheduler) reportEndedJobs(now clock.Instant) {
	s.cfg.State.Read(func() {
		for id, adm := range s.admissions {
			if s.cfg.State.Active[id] != nil {
				continue
			}
			delete(s.admissions, id)
			s.begun.remove(id)
			if j := s.cfg.State.Jobs[id]; j != nil {
				s.reportJobEnd(j, now.Sub(adm.submittedAt), adm.overShare)
			}
		}
		// A job that ends before the first plan of this leader has no admission record.
		maps.DeleteFunc(s.stepTimes, func(id cell.JobID, _ map[occurrenceStep][]time.Duration) bool {
			return s.cfg.State.Active[id] == nil
		})
	})
}

// reportJobEnd logs the end of a job and updates the metrics. The state is
// locked.
func (s *Scheduler) reportJobEnd(j *cell.Job, took time.Duration, overShare bool) {
	s.cfg.Metrics.jobs.WithLabelValues(j.Queue, j.State.String()).Observe(took.Seconds())
	var target time.Duration
	if q := s.cfg.State.QueueOf(j); q != nil {
		target = s.objective(j, q, max(0, len(j.Occurrences)-1))
	}
	s.cfg.Log.Info("job ended", zap.String("job", string(j.ID)), zap.String("queue", j.Queue),
		zap.String("workspace", j.Workspace), zap.Stringer("state", j.State), zap.String("reason", j.Reason),
		zap.Duration("took", took), zap.Duration("objective", target), zap.Bool("over_share", overShare))
}

// tokenBucket limits the rate of jobs of a workspace: a job takes one token, and
// tokens accrue at the rate of the share.
type tokenBucket struct {
	tokens     float64
	refilledAt clock.Instant
}

// takeShareToken counts one job of a workspace and reports whether the job is
// within the share of the workspace, which is its weight in jobs per second. A
// workspace without a weight has no limit.
func (s *Scheduler) takeShareToken(w *cell.Workspace, now clock.Instant) bool {
	if w == nil || w.Weight <= 0 {
		return true
	}
	burst := w.Weight * shareWindow.Seconds()
	b := s.shareBuckets[w.Name]
	if b == nil {
		b = &tokenBucket{tokens: burst, refilledAt: now}
		s.shareBuckets[w.Name] = b
	}
	b.tokens = min(burst, b.tokens+w.Weight*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
