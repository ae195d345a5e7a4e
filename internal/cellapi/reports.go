package cellapi

import (
	"context"
	"slices"
	"sync"
	"time"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/verdict"
)

// reportTracker tracks the latest report of each worker that this process has handled.
type reportTracker struct {
	mu   sync.Mutex
	last map[cell.WorkerID]reportVersion
}

// reportVersion orders the reports of one incarnation of a worker.
type reportVersion struct{ born, sequence int64 }

func newReportTracker() reportTracker { return reportTracker{last: map[cell.WorkerID]reportVersion{}} }

// accept records the version of a report and reports whether it is not older than the
// latest one of its incarnation. Incarnations are not compared here: the latest report may
// claim one that the worker doesn't confirm.
func (r *reportTracker) accept(id cell.WorkerID, v reportVersion) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, ok := r.last[id]
	if ok && v.born == old.born && v.sequence < old.sequence {
		return false
	}
	r.last[id] = v
	return true
}

// report handles a worker's report. What it changes is committed before the
// reply. A report that arrives after a newer one of the same worker changes
// nothing.
func (s *Server) report(ctx context.Context, req *ReportRequest) (*ReportReply, error) {
	w := req.Worker
	if w.ID == "" || w.Addr == "" {
		return nil, verdict.Refuse(verdict.ReasonBadRequest, "a report must name the worker and its address")
	}
	if !s.reports.accept(w.ID, reportVersion{w.Born, req.Sequence}) {
		return &ReportReply{}, nil
	}
	if err := s.confirmReport(ctx, &w); err != nil {
		return nil, err
	}
	s.checkLeaving(ctx, &w, req.Sequence)
	if s.mergeReport(&w) {
		if _, err := s.propose(ctx, &cell.Command{Workers: &cell.Workers{Seen: []cell.Worker{w}}}); err != nil {
			return nil, err
		}
	}
	if others := s.othersAt(&w); len(others) > 0 {
		s.Scheduler.VerifyWorkers(ctx, others)
	}
	if w.Draining && req.Remaining > 0 {
		s.Scheduler.NoteShutdown(ctx, cell.Incarnation{ID: w.ID, Born: w.Born}, req.Remaining)
	}
	return &ReportReply{}, s.confirmLeadership()
}

// confirmWait bounds the wait until a worker has confirmed a report, and the runs of its
// earlier incarnation are accounted for. It is below attemptTimeout, so that the sender
// learns why it was refused.
const confirmWait = 400 * time.Millisecond

// confirmReport has the scheduler ask the worker about a report that needs it, and commit
// the report.
func (s *Server) confirmReport(ctx context.Context, w *cell.Worker) error {
	if !s.needsConfirmation(w) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, confirmWait)
	defer cancel()
	if err := s.Scheduler.ConfirmReport(ctx, w); err != nil {
		return err
	}
	if s.needsConfirmation(w) {
		return verdict.Refuse(verdict.ReasonNoLease, "the report of worker %s is not recorded yet", w.ID)
	}
	return nil
}

// needsConfirmation reports whether a report names a newer incarnation of a known worker,
// or another address.
func (s *Server) needsConfirmation(w *cell.Worker) bool {
	needs := false
	s.State.Read(func() {
		old := s.State.Workers[w.ID]
		needs = old != nil && (w.Born > old.Born || (w.Born == old.Born && w.Addr != old.Addr))
	})
	return needs
}

// mergeReport adds to a report that its worker drains, if the cell knows that of the
// incarnation, and reports whether the report then changes the replicated state. A report of
// a known worker for a pool that isn't configured comes from another sender.
func (s *Server) mergeReport(w *cell.Worker) (changed bool) {
	s.State.Read(func() {
		old := s.State.Workers[w.ID]
		if old == nil {
			changed = true
			return
		}
		if old.Born != w.Born || !s.State.KnowsPool(w.Pool) {
			return
		}
		confirmsLeave := w.Draining && old.Leaving
		w.Draining = w.Draining || old.Draining
		changed = confirmsLeave || !sameWorker(&old.Worker, w)
	})
	return changed
}

// othersAt returns the other workers with the address of a report, sorted. Which of them
// lives, the workers tell.
func (s *Server) othersAt(w *cell.Worker) []cell.WorkerID {
	var ids []cell.WorkerID
	s.State.Read(func() {
		for id, other := range s.State.Workers {
			if id != w.ID && other.Addr == w.Addr {
				ids = append(ids, id)
			}
		}
	})
	slices.Sort(ids)
	return ids
}

// Unchanged reports whether a worker's report matches this process's copy of
// the replicated state and a leader is known, so that the report can be
// confirmed without the leader. This is safe if the copy lags behind the
// leader: once it has caught up, the worker's next report shows any difference.
// Reports of draining workers always go to the leader.
func (s *Server) Unchanged(w *cell.Worker) bool {
	if w.Draining || s.Group.Status().Leader == 0 {
		return false
	}
	unchanged := false
	s.State.Read(func() {
		old := s.State.Workers[w.ID]
		unchanged = old != nil && old.Born == w.Born && sameWorker(&old.Worker, w)
	})
	return unchanged
}

// sameWorker reports whether two reports describe the same properties and state.
func sameWorker(a, b *cell.Worker) bool {
	return a.Addr == b.Addr && a.DC == b.DC && a.Pool == b.Pool && slices.Equal(a.Labels, b.Labels) &&
		a.Capacity == b.Capacity && a.Draining == b.Draining
}
