package cellapi

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/scheduler"
	"kumquatwing/internal/verdict"
)

// liveWorkers answers the renewals of the incarnations that are at their addresses, and
// refuses those that are meant for another worker. An address without one never answers.
type liveWorkers struct {
	silentWorkers

	// mu protects the field below.
	mu sync.Mutex
	at map[string]cell.Incarnation
}

// set starts an incarnation at an address, in place of the one that was there.
func (l *liveWorkers) set(addr string, id cell.WorkerID, born int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.at == nil {
		l.at = map[string]cell.Incarnation{}
	}
	l.at[addr] = cell.Incarnation{ID: id, Born: born}
}

func (l *liveWorkers) RenewLease(ctx context.Context, w scheduler.WorkerTarget, o scheduler.RenewOrder) (*scheduler.RenewReply, error) {
	l.mu.Lock()
	live, ok := l.at[w.Addr]
	l.mu.Unlock()
	if !ok {
		return l.silentWorkers.RenewLease(ctx, w, o)
	}
	if live.ID != w.ID {
		return nil, &scheduler.RefusedError{Refusal: scheduler.RefusedIncarnation}
	}
	return &scheduler.RenewReply{ClockMillis: 1, Incarnation: live.Born}, nil
}

const (
	testAddr  = "10.0.0.1:1"
	otherAddr = "10.0.0.2:1"
)

// reportOf returns the report of a worker of the configured pool at testAddr.
func reportOf(id cell.WorkerID, born, sequence int64) *ReportRequest {
	return &ReportRequest{Worker: cell.Worker{ID: id, Born: born, Addr: testAddr, Pool: "p"}, Sequence: sequence}
}

// workerOf returns what the server's state holds of a worker, nil if nothing.
func workerOf(s *Server, id cell.WorkerID) (w *cell.Worker) {
	s.State.Read(func() {
		if ws := s.State.Workers[id]; ws != nil {
			held := ws.Worker
			w = &held
		}
	})
	return w
}

// eventually fails the test unless a condition becomes true.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 500 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%s: not so within 5 s", what)
}

// always fails the test if a condition becomes false within the given time.
func always(t *testing.T, what string, d time.Duration, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if !condition() {
			t.Fatalf("%s: no longer so", what)
		}
	}
}

// newServerWithWorkers returns a leading server with a configuration, whose workers are
// those that the test starts.
func newServerWithWorkers(t *testing.T) (*Server, *Client, *liveWorkers) {
	t.Helper()
	workers := &liveWorkers{}
	s, client := newServerOf(t, workers)
	lead(t, s)
	_, err := client.Configure(context.Background(), &ConfigureRequest{Config: testConfig, Document: []byte("{}")})
	qt.Assert(t, err, qt.IsNil)
	return s, client, workers
}

// TestClaimsDoNotReplaceLiveWorkers guards against runs that are given up, and worked on
// twice, by the word of a report alone: of another writer, or of an incarnation that has
// ended. What a worker that answers says itself holds, and its reports are still taken.
func TestClaimsDoNotReplaceLiveWorkers(t *testing.T) {
	ctx := context.Background()
	for _, c := range []struct {
		name  string
		claim func(r *ReportRequest)
	}{
		{"its address under another id", func(r *ReportRequest) { r.Worker.ID = "x" }},
		{"its address, an unknown pool", func(r *ReportRequest) { r.Worker.ID, r.Worker.Pool = "x", "retired" }},
		{"a later incarnation under its id", func(r *ReportRequest) { r.Sequence = 1 }},
		{"a later incarnation elsewhere", func(r *ReportRequest) { r.Worker.Addr = otherAddr }},
		{"the same incarnation elsewhere", func(r *ReportRequest) { r.Worker.Born, r.Worker.Addr = 5, otherAddr }},
		{"its id, an unknown pool", func(r *ReportRequest) { r.Worker.Born, r.Worker.Pool = 5, "retired" }},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, client, workers := newServerWithWorkers(t)
			workers.set(testAddr, "w", 5)
			workers.set(otherAddr, "y", 7)
			_, err := client.Report(ctx, reportOf("w", 5, 1))
			qt.Assert(t, err, qt.IsNil)
			before := *workerOf(s, "w")
			claim := reportOf("w", 9, 100)
			c.claim(claim)
			// Whether the claim is acknowledged doesn't matter here.
			_, _ = s.report(ctx, claim)
			always(t, "the worker is kept as it is", 300*time.Millisecond, func() bool {
				w := workerOf(s, "w")
				return w != nil && w.Born == before.Born && w.Addr == before.Addr && w.Pool == before.Pool
			})
			draining := reportOf("w", 5, 101)
			draining.Worker.Draining = true
			_, err = client.Report(ctx, draining)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, workerOf(s, "w").Draining, qt.IsTrue, qt.Commentf("the worker's own report"))
		})
	}
}

// TestConfirmedClaimsReplaceWorkers checks that a claim holds once the worker confirms it:
// another worker or a later incarnation has taken the address, or the worker has moved.
func TestConfirmedClaimsReplaceWorkers(t *testing.T) {
	ctx := context.Background()
	for _, c := range []struct {
		name  string
		id    cell.WorkerID
		born  int64
		addr  string
		ended bool
	}{
		{"another worker at its address", "x", 9, testAddr, true},
		{"a later incarnation", "w", 9, testAddr, false},
		{"a later incarnation elsewhere", "w", 9, otherAddr, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, client, workers := newServerWithWorkers(t)
			workers.set(testAddr, "w", 5)
			_, err := client.Report(ctx, reportOf("w", 5, 3))
			qt.Assert(t, err, qt.IsNil)
			workers.set(testAddr, c.id, c.born)
			if c.addr != testAddr {
				workers.set(testAddr, "y", 1)
				workers.set(c.addr, c.id, c.born)
			}
			claim := reportOf(c.id, c.born, 1)
			claim.Worker.Addr = c.addr
			eventually(t, "the report is acknowledged", func() bool {
				_, err := client.Report(ctx, claim)
				return err == nil
			})
			eventually(t, "the report holds", func() bool {
				old, claimed := workerOf(s, "w"), workerOf(s, c.id)
				return claimed != nil && claimed.Born == c.born && claimed.Addr == c.addr && (old == nil) == c.ended
			})
		})
	}
}

// TestUnconfirmedClaimEnds checks that the claim of an incarnation that never answers is
// refused after a bounded time, and doesn't keep the worker from reporting.
func TestUnconfirmedClaimEnds(t *testing.T) {
	ctx := context.Background()
	s, client, _ := newServerWithWorkers(t)
	_, err := client.Report(ctx, reportOf("w", 5, 1))
	qt.Assert(t, err, qt.IsNil)
	_, err = s.report(ctx, reportOf("w", 9, 1))
	qt.Check(t, verdict.FromError(err) != nil, qt.IsTrue)
	_, err = client.Report(ctx, reportOf("w", 5, 2))
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, workerOf(s, "w").Born, qt.Equals, int64(5))
}
