package cellapi

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/clock"
)

// stayInterval is the least time between the reports that show that a worker doesn't leave.
// Reports from before a leave call that were held up together arrive together.
const stayInterval = time.Second

// leave handles a worker's notice that it is about to shut down. The worker is
// marked as draining and gets no new tasks. Its runs stay allocated until they
// have ended, its lease has expired or another incarnation replies at its
// address. The call names no incarnation, and may have been held up: whether the worker
// really leaves, its next reports show, see checkLeaving.
func (s *Server) leave(ctx context.Context, req *LeaveRequest) (*LeaveReply, error) {
	var w cell.Worker
	s.State.Read(func() {
		if old := s.State.Workers[req.ID]; old != nil {
			w = old.Worker
		}
	})
	if w.ID == "" {
		return &LeaveReply{}, s.confirmLeadership()
	}
	i := cell.Incarnation{ID: w.ID, Born: w.Born}
	if !w.Draining {
		s.stays.forget(w.ID)
		if _, err := s.propose(ctx, &cell.Command{Workers: &cell.Workers{Left: []cell.Incarnation{i}}}); err != nil {
			return nil, err
		}
	}
	if w.Draining && !w.Leaving {
		s.Scheduler.NoteShutdown(ctx, i, 0)
	}
	return &LeaveReply{}, s.confirmLeadership()
}

// stay is the first report of a worker since its leave call that says that it is ready.
type stay struct {
	born, sequence int64
	at             clock.Instant
}

// stayTracker holds the first such report of each worker that a leave call has named.
type stayTracker struct {
	mu    sync.Mutex
	first map[cell.WorkerID]stay
}

func newStayTracker() stayTracker { return stayTracker{first: map[cell.WorkerID]stay{}} }

// observe records a report that says that the worker is ready. It returns the first one of
// its incarnation, and whether this one has a higher sequence and came long after it.
func (t *stayTracker) observe(id cell.WorkerID, report stay) (first stay, again bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	first, known := t.first[id]
	if !known || first.born != report.born {
		t.first[id] = report
		return report, false
	}
	return first, report.sequence > first.sequence && report.at.Sub(first.at) >= stayInterval
}

// forget drops what is known of a worker.
func (t *stayTracker) forget(id cell.WorkerID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.first, id)
}

// checkLeaving takes back a leave call that was not meant for the present incarnation of a
// worker. That one has to report twice that it is ready, some time apart, and to answer an
// order that was sent after the first of these reports: one from before a true leave call
// may arrive late, but its sender has ended.
func (s *Server) checkLeaving(ctx context.Context, w *cell.Worker, sequence int64) {
	i := cell.Incarnation{ID: w.ID, Born: w.Born}
	leaving := false
	s.State.Read(func() {
		old := s.State.Workers[w.ID]
		leaving = old != nil && old.Born == w.Born && old.Leaving
	})
	if !leaving || w.Draining {
		s.stays.forget(w.ID)
		return
	}
	first, again := s.stays.observe(w.ID, stay{w.Born, sequence, s.Clock.Now()})
	if !again || !s.Scheduler.AnsweredSince(ctx, i, first.at) {
		return
	}
	if _, err := s.propose(ctx, &cell.Command{Workers: &cell.Workers{Stayed: []cell.Incarnation{i}}}); err != nil {
		s.Log.Warn("could not record that a worker stays, waiting for its next report", zap.String("worker", string(w.ID)), zap.Error(err))
		return
	}
	s.Log.Info("worker stays, its leave call was outdated", zap.String("worker", string(w.ID)), zap.Int64("born", w.Born))
	s.stays.forget(w.ID)
}
