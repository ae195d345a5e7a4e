package cellapi

import (
	"context"
	"slices"
	"sync"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/verdict"
)

// reports remembers the newest report of each worker on this process.
type reports struct {
	mu   sync.Mutex
	last map[cell.WorkerID]reportMark
}

type reportMark struct{ born, sequence int64 }

func newReports() reports { return reports{last: map[cell.WorkerID]reportMark{}} }

// newer notes a report and says whether it is the newest one.
func (r *reports) newer(id cell.WorkerID, m reportMark) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, ok := r.last[id]
	if ok && (m.born < old.born || (m.born == old.born && m.sequence < old.sequence)) {
		return false
	}
	r.last[id] = m
	return true
}

// report takes a worker's report: what is new in it is committed before it is
// confirmed. A report that was overtaken changes nothing.
func (s *Server) report(ctx context.Context, req *ReportRequest) (*ReportReply, error) {
	w := req.Worker
	if w.ID == "" || w.Addr == "" {
		return nil, verdict.Refuse(verdict.ReasonBadRequest, "a report must name the worker and its address")
	}
	if !s.reports.newer(w.ID, reportMark{w.Born, req.Sequence}) {
		return &ReportReply{}, nil
	}
	cmd, changed := s.changes(&w)
	if changed {
		if _, err := s.propose(ctx, &cell.Command{Workers: cmd}); err != nil {
			return nil, err
		}
	}
	if w.Draining && req.Remaining > 0 {
		s.Scheduler.NoteShutdown(ctx, w.ID, req.Remaining)
	}
	return &ReportReply{}, s.confirm()
}

// changes returns what a report changes in the tables. A worker that drains
// never takes work again in the same incarnation; another incarnation at an
// address shows that an older one there is gone.
func (s *Server) changes(w *cell.Worker) (*cell.Workers, bool) {
	cmd := &cell.Workers{}
	s.State.Read(func() {
		if s.overtaken(w) {
			return
		}
		old := s.State.Workers[w.ID]
		if old != nil && old.Born == w.Born {
			w.Draining = w.Draining || old.Draining
		}
		if old == nil || w.Born > old.Born || (w.Born == old.Born && !same(&old.Worker, w)) {
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

// overtaken reports whether a later incarnation has the worker's address.
func (s *Server) overtaken(w *cell.Worker) bool {
	for id, other := range s.State.Workers {
		if id != w.ID && other.Addr == w.Addr && other.Born > w.Born {
			return true
		}
	}
	return false
}

// Known reports whether a worker's report says nothing that this process's
// tables don't hold. Such a report changes nothing wherever it is taken: if the
// tables lag, the worker's next one shows what is missing.
func (s *Server) Known(w *cell.Worker) bool {
	if w.Draining || s.Group.Status().Leader == 0 {
		return false
	}
	known := false
	s.State.Read(func() {
		old := s.State.Workers[w.ID]
		known = old != nil && old.Born == w.Born && same(&old.Worker, w)
	})
	return known
}

func same(a, b *cell.Worker) bool {
	return a.Addr == b.Addr && a.DC == b.DC && a.Pool == b.Pool && slices.Equal(a.Labels, b.Labels) &&
		a.Capacity == b.Capacity && a.Draining == b.Draining
}

// leave takes a worker's notice that it is about to end: it gets nothing new.
// Its runs count until its lease has ended or another incarnation answers.
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
	return &LeaveReply{}, s.confirm()
}
