package scheduler

import (
	"context"
	"slices"
	"time"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/clock"
)

const (
	// cleanupInterval is the interval at which expired jobs and unused policy answers
	// are deleted.
	cleanupInterval = 5 * time.Second
	// maxClockError bounds the sum of the errors of two machines' wall clocks.
	maxClockError = time.Minute
)

// retention tells how long the jobs that have ended are kept. The wall clocks of the
// leaders that recorded a job's end and that delete it may differ, and jump. Therefore a
// leader goes by its own steady clock, from when it first sees that a job has ended, and
// by the wall clock only beyond doubt.
type retention struct {
	// seenEndedAt is when this leader first saw that a job had ended, by job.
	seenEndedAt map[cell.JobID]clock.Instant
	// seenTombstoneAt is when this leader first saw a tombstone.
	seenTombstoneAt map[cell.Tombstone]clock.Instant
}

func newRetention() retention {
	return retention{seenEndedAt: map[cell.JobID]clock.Instant{}, seenTombstoneAt: map[cell.Tombstone]clock.Instant{}}
}

// expired reports whether a job that has ended was kept for the given time.
func (r *retention) expired(j *cell.Job, keep time.Duration, now clock.Instant, wall time.Time) bool {
	if wall.Sub(time.UnixMilli(j.EndedUnixMillis)) >= keep+maxClockError {
		return true
	}
	at, seen := r.seenEndedAt[j.ID]
	if !seen {
		r.seenEndedAt[j.ID] = now
		return false
	}
	return now.Sub(at) >= keep
}

// deleteExpiredJobs deletes jobs that ended more than Bounds.EndedJobRetention ago, the
// policy answers for all ended jobs, and expired tombstones.
func (s *Scheduler) deleteExpiredJobs(ctx context.Context, now clock.Instant) {
	if now < s.nextCleanup {
		return
	}
	s.nextCleanup = now.Add(cleanupInterval)
	forget := &cell.Forget{Jobs: s.expiredJobs(now, time.Now()), Tombstones: s.expiredTombstones(now)}
	if len(forget.Jobs) == 0 && len(forget.Tombstones) == 0 {
		return
	}
	s.propose(ctx, &cell.Command{Forget: forget}, func(cell.Result, error) {})
}

// expiredTombstones returns the tombstones to delete: like the state of a cancelled job,
// they are kept for Bounds.EndedJobRetention, counted from when this leader first saw them.
func (s *Scheduler) expiredTombstones(now clock.Instant) []cell.Tombstone {
	var all []cell.Tombstone
	s.cfg.State.Read(func() { all = s.cfg.State.Tombstones() })
	seen := make(map[cell.Tombstone]clock.Instant, len(all))
	var expired []cell.Tombstone
	for _, t := range all {
		at, known := s.retention.seenTombstoneAt[t]
		if !known {
			at = now
		}
		seen[t] = at
		if now.Sub(at) >= s.cfg.Bounds.EndedJobRetention {
			expired = append(expired, t)
		}
	}
	s.retention.seenTombstoneAt = seen
	return expired
}

// expiredJobs returns the jobs to delete, sorted, and forgets what was kept for jobs that
// are deleted or have ended.
func (s *Scheduler) expiredJobs(now clock.Instant, wall time.Time) []cell.JobID {
	var expired []cell.JobID
	s.cfg.State.Read(func() {
		for id, j := range s.cfg.State.Jobs {
			if j.State.Ended() && s.retention.expired(j, s.cfg.Bounds.EndedJobRetention, now, wall) {
				expired = append(expired, id)
			}
		}
		for id := range s.retention.seenEndedAt {
			if s.cfg.State.Jobs[id] == nil {
				delete(s.retention.seenEndedAt, id)
			}
		}
		for k := range s.advice {
			if s.cfg.State.Active[k.Job] == nil {
				delete(s.advice, k)
			}
		}
	})
	slices.Sort(expired)
	return expired
}
