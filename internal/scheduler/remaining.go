package scheduler

import (
	"time"

	"kumquatwing/internal/clock"
)

// notePace records the first progress of a run that is known. A run that began without a
// checkpoint had none when it was confirmed. Other runs may list none while they restore
// the checkpoint, which tells nothing.
func (r *run) notePace(percent int, now clock.Instant) {
	if r.paceFrom == 0 {
		r.paceFrom, r.pacePercent = now, percent
	}
}

// expectedEnd returns when a run ends if it goes on at the pace of its listed progress. ok
// is false if no progress is known. It needs no estimate of the run time: on the heaviest
// days half of the callers' estimates are wrong by more than a factor of 1.7.
func (r *run) expectedEnd() (end clock.Instant, ok bool) {
	done := r.percent - r.pacePercent
	if r.paceFrom == 0 || done <= 0 || r.lastProgress <= r.paceFrom {
		return 0, false
	}
	left := time.Duration(100-r.percent) * r.lastProgress.Sub(r.paceFrom) / time.Duration(done)
	return r.lastProgress.Add(left), true
}

// isAboutToEnd reports whether a run is expected to end within a period from now. One
// that should have ended by that period before now is not.
func (r *run) isAboutToEnd(now clock.Instant, period time.Duration) bool {
	end, ok := r.expectedEnd()
	return ok && end <= now.Add(period) && now <= end.Add(period)
}

// endsBetween reports whether a run is expected to end between two instants.
func (r *run) endsBetween(from, to clock.Instant) bool {
	end, ok := r.expectedEnd()
	return ok && from <= end && end <= to
}
