package cellapi

import (
	"context"
	"slices"
	"sync"
	"time"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/verdict"
)

// reportTracker tracks the newest report of each worker that this process has
// handled.
type reportTracker struct {
	mu   sync.Mutex
	last map[cell.WorkerID]reportVersion
}

// reportVersion orders the reports of a worker: by incarnation, then by sequence.
type reportVersion struct{ born, sequence int64 }

func newReportTracker() reportTracker { return reportTracker{last: map[cell.WorkerID]reportVersion{}} }

// accept records the version of a report and reports whether no newer one was
// recorded before.
func (r *reportTracker) accept(id cell.WorkerID, v reportVersion) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, ok := r.last[id]
	if ok && (v.born < old.born || (v.born == old.born && v.sequence < old.sequence)) {
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
	if s.replaces(&w) {
		if err := s.reportIncarnation(ctx, &w); err != nil {
			return nil, err
		}
	}
	cmd, changed := s.workerChanges(&w)
	if changed {
		if _, err := s.propose(ctx, &cell.Command{Workers: cmd}); err != nil {
			return nil, err
		}
	}
	if w.Draining && req.Remaining > 0 {
		s.Scheduler.NoteShutdown(ctx, w.ID, req.Remaining)
	}
	return &ReportReply{}, s.confirmLeadership()
}

// incarnationWait bounds the wait until the runs of an earlier incarnation are accounted
// for. It is below attemptTimeout, so that the sender learns why it was refused.
const incarnationWait = 400 * time.Millisecond

// replaces reports whether the worker is a newer incarnation of a known one.
func (s *Server) replaces(w *cell.Worker) bool {
	newer := false
	s.State.Read(func() {
		old := s.State.Workers[w.ID]
		newer = old != nil && w.Born > old.Born && !s.superseded(w)
	})
	return newer
}

// reportIncarnation has the scheduler commit the report of a newer incarnation.
func (s *Server) reportIncarnation(ctx context.Context, w *cell.Worker) error {
	ctx, cancel := context.WithTimeout(ctx, incarnationWait)
	defer cancel()
	return s.Scheduler.ReportIncarnation(ctx, w)
}

// workerChanges returns the changes that a report makes to the replicated
// state, and whether there are any. A worker that is draining stays so for the
// rest of its incarnation. A report from an address shows that older
// incarnations of other workers at this address have ended.
func (s *Server) workerChanges(w *cell.Worker) (*cell.Workers, bool) {
	cmd := &cell.Workers{}
	s.State.Read(func() {
		if s.superseded(w) {
			return
		}
		old := s.State.Workers[w.ID]
		if old != nil && old.Born == w.Born {
			w.Draining = w.Draining || old.Draining
		}
		if old == nil || w.Born > old.Born || (w.Born == old.Born && !sameWorker(&old.Worker, w)) {
			cmd.Seen = []cell.Worker{*w}
		}
		for id, other := range s.State.Workers {
			if id != w.ID && other.Addr == w.Addr && other.Born < w.Born {
				cmd.Gone = append(cmd.Gone, cell.Incarnation{ID: id, Born: other.Born})
			}
		}
	})
	slices.SortFunc(cmd.Gone, func(a, b cell.Incarnation) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return cmd, len(cmd.Seen)+len(cmd.Gone) > 0
}

// superseded reports whether a later incarnation of another worker has the same
// address. The state is locked.
func (s *Server) superseded(w *cell.Worker) bool {
	for id, other := range s.State.Workers {
		if id != w.ID && other.Addr == w.Addr && other.Born > w.Born {
			return true
		}
	}
	return false
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

// leave handles a worker's notice that it is about to shut down. The worker is
// marked as draining and gets no new tasks. Its runs stay allocated until they
// have ended, its lease has expired or another incarnation replies at its
// address.
func (s *Server) leave(ctx context.Context, req *LeaveRequest) (*LeaveReply, error) {
	var w *cell.Worker
	s.State.Read(func() {
		if old := s.State.Workers[req.ID]; old != nil && !old.Draining {
			c := old.Worker
			w = &c
		}
	})
	if w != nil {
		w.Draining = true
		if _, err := s.propose(ctx, &cell.Command{Workers: &cell.Workers{Seen: []cell.Worker{*w}}}); err != nil {
			return nil, err
		}
	}
	s.Scheduler.NoteShutdown(ctx, req.ID, 0)
	return &LeaveReply{}, s.confirmLeadership()
}
