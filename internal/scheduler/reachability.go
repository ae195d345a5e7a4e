package scheduler

import (
	"time"

	"go.uber.org/zap"

	"kumquatwing/internal/clock"
)

const (
	// minSilence is the least time without a reply from any worker of a data centre
	// after which the data centre counts as unreachable.
	minSilence = 200 * time.Millisecond
	// silenceFactor times the mean time between two replies of a data centre is the
	// silence after which it counts as unreachable, if that is longer. Replies that
	// arrive at random leave such a gap once in 160,000.
	silenceFactor = 12
	// minContactSamples is how many replies a data centre must have sent before its
	// silence tells something.
	minContactSamples = 32
	// gapWeight is the weight of the newest sample in the moving average of the time
	// between two replies.
	gapWeight = 32
)

// contact tracks the replies of the workers of one data centre.
type contact struct {
	lastReply clock.Instant
	meanGap   time.Duration
	samples   int
	// silentLogged is set while the data centre is logged as unreachable.
	silentLogged bool
}

// reachability tells which data centres a partition cuts off, from the replies of all
// their workers. A worker that is silent alone is found out by its own calls; a whole
// data centre replies so often that its silence shows within minSilence, long before
// the calls to each of its workers have timed out. The load that it answers: quick jobs
// that arrive while a data centre is cut off. A task that is placed there can't be
// placed elsewhere until its worker's lease has ended.
type reachability struct {
	byDC map[string]*contact
}

func newReachability() reachability { return reachability{byDC: map[string]*contact{}} }

// observe records a reply of a worker of the data centre.
func (r *reachability) observe(dc string, now clock.Instant) {
	c := r.byDC[dc]
	if c == nil {
		c = &contact{lastReply: now}
		r.byDC[dc] = c
		return
	}
	// The bound keeps the end of a partition from counting as the usual gap.
	gap := min(now.Sub(c.lastReply), minSilence)
	c.samples++
	c.meanGap += (gap - c.meanGap) / time.Duration(min(c.samples, gapWeight))
	c.lastReply = max(c.lastReply, now)
}

// silenceLimit returns the silence after which the data centre counts as unreachable.
func (c *contact) silenceLimit() time.Duration {
	return max(minSilence, silenceFactor*c.meanGap)
}

// unreachable reports whether the data centre is silent while another one replies. If
// all are silent, the fault is more likely on this side.
func (r *reachability) unreachable(dc string, now clock.Instant) bool {
	c := r.byDC[dc]
	if c == nil || c.samples < minContactSamples || now.Sub(c.lastReply) <= c.silenceLimit() {
		return false
	}
	for other, o := range r.byDC {
		if other != dc && o.samples >= minContactSamples && now.Sub(o.lastReply) <= min(o.silenceLimit(), now.Sub(c.lastReply)/2) {
			return true
		}
	}
	return false
}

// recordReply records that the worker of the session has answered a call.
func (s *Scheduler) recordReply(se *session, now clock.Instant) {
	se.lastAnswer = now
	s.reachability.observe(se.dc, now)
}

// recordNoReply records that the worker of the session has left an order unanswered.
func (s *Scheduler) recordNoReply(se *session, now clock.Instant) { se.unansweredAt = now }

// answers reports whether the worker has answered a call since it last left an order
// unanswered. One that has not gets no tasks: each might run there, and so could not be
// placed elsewhere.
func (se *session) answers() bool { return se.unansweredAt == 0 || se.lastAnswer > se.unansweredAt }

// logReachability logs the data centres that have become unreachable, or reachable again,
// and updates the metric.
func (s *Scheduler) logReachability(now clock.Instant) {
	for dc, c := range s.reachability.byDC {
		silent := s.reachability.unreachable(dc, now)
		if silent == c.silentLogged {
			continue
		}
		c.silentLogged = silent
		if silent {
			s.cfg.Metrics.unreachable.WithLabelValues(dc).Set(1)
			s.cfg.Log.Warn("no worker of the data centre answers, placing no tasks there", zap.String("dc", dc), zap.Duration("silence", now.Sub(c.lastReply)))
			continue
		}
		s.cfg.Metrics.unreachable.WithLabelValues(dc).Set(0)
		s.cfg.Log.Info("workers of the data centre answer again", zap.String("dc", dc))
	}
}
