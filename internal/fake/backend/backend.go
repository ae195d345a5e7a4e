// Package backend is a small backend server for tests and the demo. It
// announces itself, runs requests in its slots and counts what it ran, and can
// be told to answer badly.
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

// Mode is how the server treats requests.
type Mode string

// The modes.
const (
	// Echo answers with the request's body, or its path without one.
	Echo Mode = "echo"
	// Slow waits for Config.Delay first.
	Slow Mode = "slow"
	// Cut closes the connection within the answer.
	Cut Mode = "cut"
	// Long declares a shorter answer than it sends.
	Long Mode = "long"
	// Silent never answers.
	Silent Mode = "silent"
	// Drop closes the connection before it answers.
	Drop Mode = "drop"
	// Error answers 500.
	Error Mode = "error"
	// Busy answers 503.
	Busy Mode = "busy"
	// Duplicate sends every answer twice.
	Duplicate Mode = "duplicate"
	// Stranger answers under another request's id.
	Stranger Mode = "stranger"
	// Unsized answers without a declared length.
	Unsized Mode = "unsized"
	// Large answers with Config.AnswerBytes bytes.
	Large Mode = "large"
	// CutLarge closes the connection within such an answer.
	CutLarge Mode = "cut-large"
)

// Config is what a Server is started with.
type Config struct {
	Server      model.ServerID
	DC          model.DCID
	Queue       model.QueueName
	Listen      string
	Slots       int
	Connections int
	Incarnation string
	// Entries are the HTTP addresses of entry VMs to announce to.
	Entries []string
	// Every is the pause between two announcements.
	Every time.Duration
	// Delay is how long each request runs in mode Slow, and the pause between the
	// parts of faulty answers.
	Delay       time.Duration
	AnswerBytes int
	// Quiet leaves the request's id out of answers.
	Quiet bool
}

// Counts is what a Server has seen.
type Counts struct {
	// Running and Peak count requests at the same time, over the handlers'
	// whole run; PeakConnections counts open connections.
	Running, Peak, Connections, PeakConnections int
	// Runs is the number of runs per request id.
	Runs map[model.RequestID]int
}

// Doubled is the number of ids that ran more than once.
func (c *Counts) Doubled() int {
	n := 0
	for _, runs := range c.Runs {
		if runs > 1 {
			n++
		}
	}
	return n
}

// Server is one fake backend server.
type Server struct {
	cfg      Config
	listener net.Listener
	http     *http.Server

	mu      sync.Mutex
	mode    Mode
	leaving bool
	silent  bool
	counts  Counts
}

// Start listens and serves; announcements begin with Run.
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

// Addr is where the server serves requests.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close stops the server at once.
func (s *Server) Close() { s.http.Close() }

// SetMode changes how requests are treated.
func (s *Server) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

// Leave announces from now on that the server is leaving.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// FallSilent ends the announcements.
func (s *Server) FallSilent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = true
}

// Counts returns a copy of what the server has seen.
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

func (s *Server) begin(id model.RequestID) Mode {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Running++
	s.counts.Peak = max(s.counts.Peak, s.counts.Running)
	s.counts.Runs[id]++
	return s.mode
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Running--
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(api.HeaderRequestID)
	mode := s.begin(model.RequestID(id))
	defer s.end()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if len(body) == 0 {
		body = []byte(r.URL.RequestURI())
	}
	if !s.cfg.Quiet {
		w.Header().Set(api.HeaderRequestID, id)
	}
	s.answer(w, r, mode, body)
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, mode Mode, body []byte) {
	switch mode {
	case Slow:
		wait(r.Context(), s.cfg.Delay)
	case Silent:
		<-r.Context().Done()
		return
	case Error:
		w.WriteHeader(http.StatusInternalServerError)
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case Stranger:
		w.Header().Set(api.HeaderRequestID, "another")
	case Large:
		body = make([]byte, s.cfg.AnswerBytes)
	}
	if raw := s.raw(w, mode, body); raw != nil {
		send(w, raw, s.cfg.Delay)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Write(body)
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
