package scheduler

import (
	"context"
	"time"

	"go.uber.org/zap"

	"kumquatwing/internal/cell"
)

// seenUpTo is how far a worker's ends are recorded once the batch is committed.
type seenUpTo struct {
	session *session
	number  int64
}

// endBatch collects ends for the next commit.
type endBatch struct {
	ends     []cell.End
	seen     []seenUpTo
	inFlight int
}

// maxEndCommits bounds the batches of ends that wait for their commit.
const maxEndCommits = 2

func (s *Scheduler) addEnd(se *session, k cell.TaskKey, r *run, o cell.Outcome, checkpoint string) {
	s.cfg.Log.Info("run ended", zap.Stringer("task", k), zap.Int64("run", r.number), zap.Stringer("how", o),
		zap.String("worker", string(se.target.ID)))
	s.ends.ends = append(s.ends.ends, cell.End{
		Task: k, Run: r.number, Worker: se.target.ID, Born: se.target.Born, Outcome: o, Checkpoint: checkpoint,
	})
}

// commitEnds records the collected ends; the workers may forget them after.
func (s *Scheduler) commitEnds(ctx context.Context) {
	b := &s.ends
	if b.inFlight >= maxEndCommits || (len(b.ends) == 0 && len(b.seen) == 0) {
		return
	}
	ends, seen := b.ends, b.seen
	b.ends, b.seen = nil, nil
	if len(ends) == 0 {
		acknowledge(seen)
		return
	}
	b.inFlight++
	c := &cell.Command{Ends: &cell.Ends{Ends: ends, UnixMillis: time.Now().UnixMilli()}}
	s.propose(ctx, c, func(_ cell.Result, err error) { s.endsCommitted(ends, seen, err) })
}

func (s *Scheduler) endsCommitted(ends []cell.End, seen []seenUpTo, err error) {
	s.ends.inFlight--
	s.dirty = true
	if err != nil {
		s.cfg.Log.Warn("ends are not recorded", zap.Int("ends", len(ends)), zap.Error(err))
		s.reopen(ends)
		for _, x := range seen {
			x.session.resume()
		}
		return
	}
	s.cfg.Metrics.ends.Add(float64(len(ends)))
	acknowledge(seen)
}

// reopen lets ends that were not recorded be listed again, and leases that
// lapsed be noticed again.
func (s *Scheduler) reopen(ends []cell.End) {
	for i := range ends {
		e := &ends[i]
		if se := s.sessions[e.Worker]; se != nil {
			se.lapsed = false
			if r := se.runs[e.Task]; r != nil && r.number == e.Run {
				r.ending = false
			}
		}
	}
}

func acknowledge(seen []seenUpTo) {
	for _, x := range seen {
		x.session.seen = max(x.session.seen, x.number)
		x.session.resume()
	}
}
