package entry

import (
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"kumquatwing/internal/api"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/eventlog"
	"kumquatwing/internal/model"
	"kumquatwing/internal/route"
	"kumquatwing/internal/wire"
)

const (
	// headerTimeout bounds the reading of a request's headers.
	headerTimeout = 5 * time.Second
	// requestTimeout bounds reading and writing where nothing narrower does.
	requestTimeout = 15 * time.Minute
	// keepAliveTimeout bounds the silence between two requests.
	keepAliveTimeout = 60 * time.Second
	// handBackTimeout bounds the last sync of a stop.
	handBackTimeout = 2 * time.Second
)

// Entry is one kqentry process.
type Entry struct {
	cfg         Config
	incarnation string
	clock       clock.Clock
	log         *zap.Logger
	events      eventlog.Recorder
	closeEvents func() error
	listener    net.Listener
	server      *http.Server
	node        *wire.Node
	control     *controlClient
	router      *route.Router
	metrics     *metrics
	announced   announcements
	wake        chan struct{}
	ready       atomic.Bool
	// returning is set while a stop hands back free slots.
	returning atomic.Bool
	// lastSync is the instant at which the last answered sync was sent.
	lastSync    atomic.Int64
	syncFailing bool
}

// Open opens the listeners of a checked configuration; Run then serves.
func Open(cfg Config, logger *zap.Logger, c clock.Clock) (*Entry, error) {
	e := &Entry{
		cfg:         cfg,
		incarnation: uuid.NewString(),
		clock:       c,
		log:         logger.Named("entry"),
		events:      eventlog.Discard{},
		closeEvents: func() error { return nil },
		announced:   announcements{all: map[model.ServerID]api.Announcement{}},
		wake:        make(chan struct{}, 1),
	}
	if err := e.open(); err != nil {
		e.close()
		return nil, err
	}
	host, _, _ := net.SplitHostPort(cfg.Listen)
	e.control = &controlClient{node: e.node, addrs: cfg.Control}
	e.router = route.New(route.Config{
		VM:          cfg.VM,
		DC:          cfg.DC,
		Incarnation: e.incarnation,
		Clock:       c,
		Dial:        route.DialTCP(host),
		Ledger:      e.control,
		Log:         logger,
		Events:      e.events,
		Wake:        e.wakeSync,
		Requests:    cfg.Requests,
		Observe:     func(o route.Outcome) { e.metrics.observe(o) },
	})
	e.metrics = newMetrics(e.router)
	e.server = &http.Server{
		Handler:           e.handler(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      requestTimeout,
		IdleTimeout:       keepAliveTimeout,
		MaxHeaderBytes:    cfg.HeaderBytes,
		ErrorLog:          log.New(httpErrors{e.log}, "", 0),
	}
	return e, nil
}

// open opens what can fail.
func (e *Entry) open() error {
	var err error
	if e.cfg.EventDir != "" {
		f, err := eventlog.OpenFile(e.cfg.EventDir, "kqentry", e.cfg.VM, eventlog.DefaultFileBytes)
		if err != nil {
			return err
		}
		e.events, e.closeEvents = f, f.Close
	}
	if e.listener, err = net.Listen("tcp", e.cfg.Listen); err != nil {
		return err
	}
	if e.node, err = wire.Listen(e.cfg.Wire, nil); err != nil {
		return err
	}
	if f, ok := e.events.(*eventlog.File); ok {
		e.node.SetStamper(f)
	}
	return nil
}

func (e *Entry) close() {
	if e.listener != nil {
		e.listener.Close()
	}
	if e.node != nil {
		e.node.Close()
	}
	e.closeEvents()
}

// Addr is where callers are served.
func (e *Entry) Addr() string { return e.listener.Addr().String() }

// Run serves until ctx ends and then stops gracefully: it turns unready, waits
// for the balancer, refuses new requests, lets those in flight end, and hands
// back its slots.
func (e *Entry) Run(ctx context.Context) error {
	defer e.close()
	syncing, stopSync := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	loops.Go(func() { e.syncLoop(syncing) })
	loops.Go(func() { e.noteLoop(syncing) })
	stopLoops := func() {
		stopSync()
		loops.Wait()
	}
	defer stopLoops()
	served := make(chan error, 1)
	go func() { served <- e.server.Serve(e.listener) }()
	e.ready.Store(true)
	e.log.Info("serving", zap.String("addr", e.Addr()))
	e.record(eventStarted, "", "serves callers at "+e.Addr())
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	err := e.drain()
	stopLoops()
	return errors.Join(err, e.handBack())
}

// drain ends serving without cutting a request that is in flight.
func (e *Entry) drain() error {
	e.ready.Store(false)
	e.record(eventStopping, "", fmt.Sprintf("unready; refuses new requests after %s", e.cfg.Grace))
	e.log.Info("unready, waiting for the balancer", zap.Duration("grace", e.cfg.Grace))
	time.Sleep(e.cfg.Grace)
	e.log.Info("refusing new requests")
	e.router.Stop()
	e.returning.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), e.cfg.Drain)
	defer cancel()
	err := e.server.Shutdown(ctx)
	if err != nil {
		e.log.Error("requests in flight were cut", zap.Error(err))
		e.server.Close()
	}
	e.router.Wait()
	return err
}

// handBack tells the group that nothing is held any more. If that fails, the
// slots come back when the slot lease has ended.
func (e *Entry) handBack() error {
	ctx, cancel := context.WithTimeout(context.Background(), handBackTimeout)
	defer cancel()
	detail := "slots handed back"
	if err := e.syncOnce(ctx, true); err != nil {
		detail = "slots come back only after their lease"
		e.log.Warn(detail, zap.Error(err))
	}
	e.record(eventStopped, "", detail)
	e.log.Info("stopped")
	return nil
}

// httpErrors passes the HTTP server's complaints on to the log.
type httpErrors struct{ log *zap.Logger }

// Write implements io.Writer.
func (h httpErrors) Write(b []byte) (int, error) {
	h.log.Debug("http", zap.ByteString("detail", b))
	return len(b), nil
}
