// Package backend implements a backend server for tests and the demo. It
// announces itself to entry VMs, counts the requests that it runs, and can be
// switched to modes that inject faults.
package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"kumquatwing/internal/api"
	"kumquatwing/internal/model"
)

// Mode selects how the server responds to requests.
type Mode string

// The modes.
const (
	// Echo responds with the request's body, or with its URI if the body is
	// empty.
	Echo Mode = "echo"
	// Slow is Echo after a delay of Config.Delay.
	Slow Mode = "slow"
	// Cut closes the connection after half of the response body.
	Cut Mode = "cut"
	// Long sends a body that is longer than its Content-Length.
	Long Mode = "long"
	// Silent never responds.
	Silent Mode = "silent"
	// Drop closes the connection without a response.
	Drop Mode = "drop"
	// Error responds with status 500.
	Error Mode = "error"
	// Busy responds with status 503.
	Busy Mode = "busy"
	// Duplicate sends every response twice.
	Duplicate Mode = "duplicate"
	// WrongID responds with the id of another request.
	WrongID Mode = "stranger"
	// Unsized responds without Content-Length.
	Unsized Mode = "unsized"
	// Large responds with Config.AnswerBytes bytes.
	Large Mode = "large"
	// CutLarge closes the connection after half of a Large response.
	CutLarge Mode = "cut-large"
)

// Config configures a Server.
type Config struct {
	Server      model.ServerID
	DC          model.DCID
	Queue       model.QueueName
	Listen      string
	Slots       int
	Connections int
	Incarnation string
	// Entries lists the HTTP addresses of the entry VMs to announce to.
	Entries []string
	// AnnounceInterval is the announcement interval.
	AnnounceInterval time.Duration
	// Delay is the run time of a request in mode Slow, and the delay between
	// the parts of a faulty response.
	Delay time.Duration
	// AnswerBytes is the length of the response body in modes Large and CutLarge.
	AnswerBytes int
	// OmitRequestID omits the request id header from responses.
	OmitRequestID bool
}

// Counts holds the counters of a Server.
type Counts struct {
	// Running is the number of requests in progress and Peak its maximum. A
	// request is in progress while its handler runs. Connections is the number
	// of open connections and PeakConnections its maximum.
	Running, Peak, Connections, PeakConnections int
	// Runs counts the runs of each request id.
	Runs map[model.RequestID]int
}

// RepeatedIDs returns the number of request ids that ran more than once.
func (c *Counts) RepeatedIDs() int {
	n := 0
	for _, runs := range c.Runs {
		if runs > 1 {
			n++
		}
	}
	return n
}

// Server is a fake backend server.
type Server struct {
	cfg      Config
	listener net.Listener
	http     *http.Server

	// mu guards the fields below.
	mu                   sync.Mutex
	mode                 Mode
	leaving              bool
	announcementsStopped bool
	counts               Counts
}

// Start listens on cfg.Listen and serves requests. It does not announce the
// server; Run does.
func Start(cfg Config) (*Server, error) {
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, err
	}
	s := &Server{cfg: cfg, listener: l, mode: Echo, counts: Counts{Runs: map[model.RequestID]int{}}}
	if cfg.Delay > 0 {
		s.mode = Slow
	}
	s.http = &http.Server{Handler: s, ConnState: s.connState, ReadHeaderTimeout: time.Minute}
	go s.http.Serve(l)
	return s, nil
}

// Addr returns the address on which the server accepts requests.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close stops the server immediately and closes its connections.
func (s *Server) Close() { s.http.Close() }

// SetMode sets the mode for requests that arrive from now on.
func (s *Server) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

// Leave marks all further announcements as leaving.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// StopAnnouncing stops the announcements.
func (s *Server) StopAnnouncing() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announcementsStopped = true
}

// Counts returns a copy of the server's counters.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.Runs = make(map[model.RequestID]int, len(s.counts.Runs))
	for id, n := range s.counts.Runs {
		c.Runs[id] = n
	}
	return c
}

func (s *Server) connState(_ net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.counts.Connections++
		s.counts.PeakConnections = max(s.counts.PeakConnections, s.counts.Connections)
	case http.StateClosed, http.StateHijacked:
		s.counts.Connections--
	}
}

func (s *Server) beginRequest(id model.RequestID) Mode {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Running++
	s.counts.Peak = max(s.counts.Peak, s.counts.Running)
	s.counts.Runs[id]++
	return s.mode
}

func (s *Server) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Running--
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(api.HeaderRequestID)
	mode := s.beginRequest(model.RequestID(id))
	defer s.endRequest()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if len(body) == 0 {
		body = []byte(r.URL.RequestURI())
	}
	if !s.cfg.OmitRequestID {
		w.Header().Set(api.HeaderRequestID, id)
	}
	s.respond(w, r, mode, body)
}

func (s *Server) respond(w http.ResponseWriter, r *http.Request, mode Mode, body []byte) {
	switch mode {
	case Slow:
		sleep(r.Context(), s.cfg.Delay)
	case Silent:
		<-r.Context().Done()
		return
	case Error:
		w.WriteHeader(http.StatusInternalServerError)
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case WrongID:
		w.Header().Set(api.HeaderRequestID, "another")
	case Large:
		body = make([]byte, s.cfg.AnswerBytes)
	}
	if raw := s.faultyResponse(w, mode, body); raw != nil {
		writeRaw(w, raw, s.cfg.Delay)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Write(body)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
