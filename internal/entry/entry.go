package entry

import (
	"context"
	"fmt"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"kumquatwing/internal/api"
	"kumquatwing/internal/bodylimit"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/eventlog"
	"kumquatwing/internal/fdlimit"
	"kumquatwing/internal/inbound"
	"kumquatwing/internal/model"
	"kumquatwing/internal/route"
	"kumquatwing/internal/wire"
)

const (
	// headerTimeout limits the time to read a request's headers.
	headerTimeout = 5 * time.Second
	// requestTimeout limits the time to read a request and to write its response
	// where no shorter timeout applies.
	requestTimeout = 15 * time.Minute
	// keepAliveTimeout limits the idle time of a connection between two requests.
	keepAliveTimeout = 60 * time.Second
	// finalSyncTimeout limits the syncs at the end of a graceful stop, and
	// finalSyncRetry is the pause after one that failed.
	finalSyncTimeout = 2 * time.Second
	finalSyncRetry   = 50 * time.Millisecond
)

// Entry is a kqentry process. It must be created with Open.
type Entry struct {
	cfg         Config
	incarnation string
	clock       clock.Clock
	log         *zap.Logger
	events      eventlog.Recorder
	closeEvents func() error
	listener    *fdlimit.Listener
	server      *http.Server
	// budget is for the bodies of all calls that are not requests to backend servers.
	budget        *bodylimit.Budget
	node          *wire.Node
	control       *controlClient
	router        *route.Router
	metrics       *metrics
	announcements announcementBuffer
	syncRequests  chan struct{}
	ready         atomic.Bool
	// returningSlots is set during a graceful stop; each sync then returns the
	// free slots to the group.
	returningSlots atomic.Bool
	// lastSync is the clock.Instant at which the last successful sync was sent.
	lastSync atomic.Int64
	// syncFailing tells whether the last sync failed. Only the goroutine that
	// syncs uses it: syncLoop, and after its end finalSync.
	syncFailing bool
}

// Open opens the event file and the listeners of a process. The configuration
// must have passed Check. Run must be called to serve requests and to release
// the resources.
func Open(cfg Config, logger *zap.Logger, c clock.Clock) (*Entry, error) {
	e := &Entry{
		cfg:           cfg,
		incarnation:   uuid.NewString(),
		clock:         c,
		log:           logger.Named("entry"),
		events:        eventlog.Discard{},
		closeEvents:   func() error { return nil },
		announcements: announcementBuffer{byServer: map[model.ServerID]api.Announcement{}},
		syncRequests:  make(chan struct{}, 1),
	}
	registry := prometheus.NewRegistry()
	if err := e.open(registry); err != nil {
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
		RequestSync: e.requestSync,
		MaxInFlight: cfg.Requests,
		Observe:     func(o route.Outcome) { e.metrics.observeRequest(o) },
	})
	e.metrics = newMetrics(e.router, registry)
	e.server = &http.Server{
		Handler:           e.handler(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      requestTimeout,
		IdleTimeout:       keepAliveTimeout,
		MaxHeaderBytes:    cfg.HeaderBytes,
		ErrorLog:          log.New(httpErrorLog{e.log}, "", 0),
	}
	inbound.Limit(e.server, e.listener)
	return e, nil
}

// open opens the event file, the HTTP listener and the wire transport. The caller
// closes what is open if one of them fails.
func (e *Entry) open(registry prometheus.Registerer) error {
	fds, memory := fdlimit.SplitEntry(fdlimit.ProcessLimit()), inbound.EntryMemory(0)
	var err error
	if e.cfg.EventDir != "" {
		f, err := eventlog.OpenFile(e.cfg.EventDir, "kqentry", e.cfg.VM, eventlog.DefaultFileBytes)
		if err != nil {
			return err
		}
		e.events, e.closeEvents = f, f.Close
	}
	callers := inbound.Listener{Name: "callers", Addr: e.cfg.Listen, MaxConns: min(fds.Callers, memory.Conns)}
	if e.listener, err = callers.Listen(registry, e.log); err != nil {
		return err
	}
	e.budget = inbound.NewBudget("operators", memory.Bodies, registry, e.log)
	if e.node, err = wire.Listen(e.cfg.Wire, nil); err != nil {
		return err
	}
	e.node.SetLogger(e.log)
	inbound.LimitWire(e.node, memory, fds.Peers, registry, e.log)
	if f, ok := e.events.(*eventlog.File); ok {
		e.node.SetClock(f)
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

// Addr returns the address of the HTTP listener.
func (e *Entry) Addr() string { return e.listener.Addr().String() }

// Run serves until ctx ends and then stops gracefully: it reports itself as not
// ready, gives the load balancer time to notice, refuses new requests, waits for
// those in flight, and returns its slots to the group. It returns an error if the
// HTTP server fails or if requests are still in flight after Config.Drain.
func (e *Entry) Run(ctx context.Context) error {
	defer e.close()
	loopCtx, cancelLoops := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	loops.Go(func() { e.syncLoop(loopCtx) })
	loops.Go(func() { e.eventLoop(loopCtx) })
	stopLoops := func() {
		cancelLoops()
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
	e.finalSync()
	return err
}

// drain stops the HTTP server after the requests in flight have ended. Requests
// that are still in flight after Config.Drain are aborted.
func (e *Entry) drain() error {
	e.ready.Store(false)
	e.record(eventStopping, "", fmt.Sprintf("unready; refuses new requests after %s", e.cfg.Grace))
	e.log.Info("not ready; waiting for the load balancer to notice", zap.Duration("grace", e.cfg.Grace))
	time.Sleep(e.cfg.Grace)
	e.log.Info("refusing new requests")
	e.router.Stop()
	e.returningSlots.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), e.cfg.Drain)
	defer cancel()
	err := e.server.Shutdown(ctx)
	if err != nil {
		e.log.Error("drain failed; aborting requests in flight", zap.Error(err))
		e.server.Close()
	}
	e.router.Wait()
	return err
}

// finalSync tells the data centre's group that this process holds no slots any
// more. It repeats a failed sync until finalSyncTimeout; if none succeeds, the group
// gets the slots back when the slot lease expires.
func (e *Entry) finalSync() {
	ctx, cancel := context.WithTimeout(context.Background(), finalSyncTimeout)
	defer cancel()
	err := e.syncOnce(ctx, true)
	for err != nil && clock.Sleep(ctx, finalSyncRetry) {
		err = e.syncOnce(ctx, true)
	}
	detail := "slots handed back"
	if err != nil {
		detail = "slots come back only after their lease"
		e.log.Warn(detail, zap.Error(err))
	}
	e.record(eventStopped, "", detail)
	e.log.Info("stopped")
}

// httpErrorLog is an io.Writer that logs the HTTP server's errors at debug level.
type httpErrorLog struct{ log *zap.Logger }

// Write implements io.Writer.
func (h httpErrorLog) Write(b []byte) (int, error) {
	h.log.Debug("http", zap.ByteString("detail", b))
	return len(b), nil
}
