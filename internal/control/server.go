package control

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"kumquatwing/internal/api"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/eventlog"
	"kumquatwing/internal/model"
	"kumquatwing/internal/replica"
	"kumquatwing/internal/why"
	"kumquatwing/internal/wire"
)

// Event kinds that control records.
const (
	eventStarted   eventlog.Kind = "control.started"
	eventStopped   eventlog.Kind = "control.stopped"
	eventLeads     eventlog.Kind = "control.leads"
	eventSteps     eventlog.Kind = "control.steps-down"
	eventFounded   eventlog.Kind = "control.founded"
	eventMembers   eventlog.Kind = "control.members"
	eventSilent    eventlog.Kind = "control.silent"
	eventRevision  eventlog.Kind = "control.revision"
	eventAccepted  eventlog.Kind = "control.accepted"
	eventLeaseLost eventlog.Kind = "control.lease-lost"
	eventCorrupt   eventlog.Kind = "control.corrupt"
	eventLeaseBack eventlog.Kind = "control.lease-back"
)

// processName labels the event files and logs of this binary.
const processName = "kqcontrol"

const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 16 << 10
	// handOverTimeout bounds the search for a new leader on a graceful stop.
	handOverTimeout = 3 * time.Second
)

// Server is one kqcontrol process.
type Server struct {
	cfg    Config
	clock  clock.Clock
	log    *zap.Logger
	wire   *wire.Node
	events eventlog.Recorder
	file   *eventlog.File
	id     replica.MemberID

	fleet  *fleetSide
	dc     *dcSide
	leases *settingsLeases
	roster *roster
	rooms  *rooms
	// fleetSize is the size of all workers as the fleet's leader last told.
	fleetSize atomic.Pointer[model.Resources]
	elsewhere atomic.Pointer[runningElsewhere]

	// account keeps the newest decisions for explanations.
	account *why.Book
	metrics *metrics
	routed  atomic.Pointer[callRoutes]
	// fleetRequests is held while requests of a tick are on their way.
	fleetRequests sync.Mutex

	stopping chan struct{}
	stopOnce sync.Once
	// fatal gets the error that ends the process.
	fatal chan error
}

// New opens the process's durable state and its wire node.
func New(cfg Config, log *zap.Logger) (*Server, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	s := &Server{
		cfg:      cfg,
		clock:    clock.Boot{},
		log:      log.Named("control"),
		events:   eventlog.Discard{},
		roster:   newRoster(),
		rooms:    newRooms(),
		stopping: make(chan struct{}),
		fatal:    make(chan error, 1),
	}
	if cfg.EventDir != "" {
		f, err := eventlog.OpenFile(cfg.EventDir, processName, cfg.VM, eventlog.DefaultFileBytes)
		if err != nil {
			return nil, err
		}
		s.file, s.events = f, f
	}
	s.account = why.NewBook(s.events, why.DefaultEvents, why.DefaultLatest, time.Now)
	node, err := wire.Listen(cfg.WireAddr, nil)
	if err != nil {
		return nil, err
	}
	s.wire = node
	if s.file != nil {
		node.SetStamper(s.file)
	}
	if err := s.openGroups(); err != nil {
		node.Close()
		return nil, err
	}
	s.leases = newSettingsLeases(s)
	s.metrics = newMetrics(s)
	s.handleTopics()
	return s, nil
}

func (s *Server) openGroups() error {
	f, id, err := openFleetSide(s)
	if err != nil {
		return err
	}
	s.fleet, s.id = f, id
	s.dc = newDCSide(s)
	return nil
}

// handleTopics registers what other processes may ask of this one.
func (s *Server) handleTopics() {
	wire.HandleTyped(s.wire, topicHello, s.handleHello)
	wire.HandleTyped(s.wire, api.TopicLeaseRenew, s.leases.handleRenew)
	wire.HandleTyped(s.wire, api.TopicHTTP, s.handleHTTPCall)
	wire.HandleTyped(s.wire, api.TopicEntrySync, s.handleEntrySync)
	wire.HandleTyped(s.wire, topicSlotSync, s.handleSlotSync)
	wire.HandleTyped(s.wire, api.TopicRecord, s.handleRecordBegin)
	wire.HandleTyped(s.wire, api.TopicFinish, s.handleRecordFinish)
	wire.HandleTyped(s.wire, topicInForce, s.handleInForce)
	wire.HandleTyped(s.wire, topicOwners, s.handleOwners)
	wire.HandleTyped(s.wire, topicAccount, s.handleAccount)
	wire.HandleTyped(s.wire, topicTasks, s.handleTasks)
	wire.HandleTyped(s.wire, topicInfo, s.handleInfo)
}

// Run serves until ctx ends, then stops gracefully.
func (s *Server) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", s.cfg.HTTPAddr)
	if err != nil {
		return err
	}
	s.events.Record(eventlog.Event{Kind: eventStarted, DC: s.cfg.DC})
	s.log.Info("started", zap.String("vm", string(s.cfg.VM)), zap.Uint64("member", uint64(s.id)))
	server := &http.Server{
		Handler:           s.routes(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	var g errgroup.Group
	g.Go(func() error { return ignoreClosed(server.Serve(listener)) })
	for _, run := range []func(context.Context){
		(&announcer{s: s}).run,
		s.leases.run,
		s.fleet.run,
		s.dc.run,
		s.followElsewhere,
		(&notes{s: s}).run,
	} {
		g.Go(func() error { run(work); return nil })
	}
	var fatal error
	select {
	case <-ctx.Done():
		s.stop(server)
	case fatal = <-s.fatal:
		s.log.Error("can't go on", zap.Error(fatal))
		server.Close()
	}
	cancel()
	err = g.Wait()
	s.close()
	return errors.Join(fatal, err)
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// stop withdraws readiness, hands leadership over and finishes open calls.
func (s *Server) stop(server *http.Server) {
	s.stopOnce.Do(func() { close(s.stopping) })
	s.log.Info("stopping")
	time.Sleep(s.cfg.StopGrace)
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	s.dc.handOver(ctx)
	s.fleet.handOver(ctx)
	if err := server.Shutdown(ctx); err != nil {
		s.log.Warn("calls were still open", zap.Error(err))
	}
}

func (s *Server) close() {
	s.dc.close()
	s.fleet.close()
	s.wire.Close()
	s.events.Record(eventlog.Event{Kind: eventStopped, DC: s.cfg.DC})
	if s.file != nil {
		s.file.Close()
	}
	s.log.Info("stopped")
}

// isStopping reports whether a graceful stop has begun.
func (s *Server) isStopping() bool {
	select {
	case <-s.stopping:
		return true
	default:
		return false
	}
}

// hello describes this process.
func (s *Server) hello() hello {
	h := hello{
		VM:        s.cfg.VM,
		DC:        s.cfg.DC,
		Region:    s.cfg.Region,
		ID:        s.id,
		WireAddr:  s.cfg.AdvertiseAddr,
		HTTPAddr:  s.cfg.HTTPAddr,
		EntryAddr: s.cfg.EntryAddr,
		Disk:      s.cfg.DataDir != "",
	}
	if l := s.dc.leader(); l != nil && s.dcStatus().IsLeader() {
		h.Room = l.room()
	}
	return h
}

// holderName names this process as the holder of a settings lease. A new
// incarnation is a new holder.
func (s *Server) holderName() string { return fmt.Sprintf("control/%s/%d", s.cfg.VM, s.id) }
