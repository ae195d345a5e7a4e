package control

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"kumquatwing/internal/api"
	"kumquatwing/internal/bodylimit"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/eventlog"
	"kumquatwing/internal/fdlimit"
	"kumquatwing/internal/inbound"
	"kumquatwing/internal/model"
	"kumquatwing/internal/replica"
	"kumquatwing/internal/why"
	"kumquatwing/internal/wire"
)

// Kinds of the events that this package records.
const (
	eventStarted        eventlog.Kind = "control.started"
	eventStopped        eventlog.Kind = "control.stopped"
	eventLeads          eventlog.Kind = "control.leads"
	eventStepsDown      eventlog.Kind = "control.steps-down"
	eventBootstrapped   eventlog.Kind = "control.founded"
	eventMembership     eventlog.Kind = "control.members"
	eventReachability   eventlog.Kind = "control.silent"
	eventRevision       eventlog.Kind = "control.revision"
	eventChangeAccepted eventlog.Kind = "control.accepted"
	eventLeaseLost      eventlog.Kind = "control.lease-lost"
	eventCorrupt        eventlog.Kind = "control.corrupt"
	eventLeaseRegained  eventlog.Kind = "control.lease-back"
)

// processName is the name of this program in event files.
const processName = "kqcontrol"

const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 16 << 10
	// shutdownTimeout bounds the transfer of leaderships and the wait for open HTTP
	// requests in a graceful shutdown.
	shutdownTimeout = 3 * time.Second
)

// Server is one kqcontrol process.
type Server struct {
	cfg       Config
	clock     clock.Clock
	log       *zap.Logger
	wire      *wire.Node
	events    eventlog.Recorder
	eventFile *eventlog.File
	// id is this process's identity in both groups.
	id replica.MemberID

	fleet         *fleetGroup
	dc            *dcGroup
	leases        *settingsLeases
	announcements *announcements
	capacities    *capacityReports
	// fleetSize is the total size of all workers, as the leader of the fleet group last
	// reported it.
	fleetSize atomic.Pointer[model.Resources]
	// runningElsewhere is nil unless this process leads a data centre that is out of
	// service.
	runningElsewhere atomic.Pointer[runningElsewhere]

	// decisions keeps the newest decisions for explanations. It passes all events on to
	// events.
	decisions *why.RecentEvents
	metrics   *metrics
	// explains limits the explanations of jobs that aren't submitted.
	explains *rate.Limiter
	// fds and memory are the limits of what clients can use, and operatorBodies and
	// workerBodies the budgets for the bodies of their calls.
	fds                          fdlimit.Budget
	memory                       inbound.Memory
	operatorBodies, workerBodies *bodylimit.Budget
	// apiCache is the handler that api returned last.
	apiCache atomic.Pointer[apiRoutes]
	// proposingRequests is locked while the fleet requests of a tick are being proposed.
	proposingRequests sync.Mutex

	stopping chan struct{}
	stopOnce sync.Once
	// fatal receives the error that ends the process.
	fatal chan error
}

// New opens the event file, the wire node and the durable state of a process.
func New(cfg Config, log *zap.Logger) (*Server, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	s := &Server{
		cfg:           cfg,
		clock:         clock.Boot{},
		log:           log.Named("control"),
		events:        eventlog.Discard{},
		announcements: newAnnouncements(),
		capacities:    newCapacityReports(),
		explains:      newExplainLimiter(),
		stopping:      make(chan struct{}),
		fatal:         make(chan error, 1),
		fds:           fdlimit.Split(fdlimit.ProcessLimit()),
		memory:        inbound.ControlMemory(0),
	}
	if cfg.EventDir != "" {
		f, err := eventlog.OpenFile(cfg.EventDir, processName, cfg.VM, eventlog.DefaultFileBytes)
		if err != nil {
			return nil, err
		}
		s.eventFile, s.events = f, f
	}
	s.decisions = why.NewRecentEvents(s.events, why.DefaultEvents, why.DefaultLatest, time.Now)
	node, err := wire.Listen(cfg.WireAddr, nil)
	if err != nil {
		return nil, err
	}
	s.wire = node
	node.SetLogger(s.log)
	if s.eventFile != nil {
		node.SetClock(s.eventFile)
	}
	if err := s.openGroups(); err != nil {
		node.Close()
		return nil, err
	}
	s.leases = newSettingsLeases(s)
	s.metrics = newMetrics(s)
	inbound.LimitWire(node, s.memory, s.fds.Peers, s.metrics.registry, s.log)
	s.operatorBodies = inbound.NewBudget("operators", s.memory.Bodies, s.metrics.registry, s.log)
	s.workerBodies = inbound.NewBudget("workers", s.memory.Bodies, s.metrics.registry, s.log)
	s.handleTopics()
	return s, nil
}

// openGroups starts the member of the fleet group. The member of the data centre group
// is started once the fleet's state names that group.
func (s *Server) openGroups() error {
	f, id, err := openFleetGroup(s)
	if err != nil {
		return err
	}
	s.fleet, s.id = f, id
	s.dc = newDCGroup(s)
	return nil
}

// handleTopics registers the handlers of calls from other processes.
func (s *Server) handleTopics() {
	wire.HandleTyped(s.wire, topicAnnounce, s.handleAnnouncement)
	wire.HandleTyped(s.wire, api.TopicLeaseRenew, s.leases.handleRenew)
	wire.HandleTyped(s.wire, api.TopicHTTP, s.handleForwardedCall)
	wire.HandleTyped(s.wire, api.TopicEntrySync, s.handleEntrySync)
	wire.HandleTyped(s.wire, topicSlotSync, s.handleSlotSync)
	wire.HandleTyped(s.wire, api.TopicRecordBegin, s.handleRecordBegin)
	wire.HandleTyped(s.wire, api.TopicRecordFinish, s.handleRecordFinish)
	wire.HandleTyped(s.wire, topicInForce, s.handleInForce)
	wire.HandleTyped(s.wire, topicOwners, s.handleOwners)
	wire.HandleTyped(s.wire, topicDecisionHistory, s.handleDecisionHistory)
	wire.HandleTyped(s.wire, topicTasks, s.handleTasks)
	wire.HandleTyped(s.wire, topicExplainJob, s.handleExplainJob)
	wire.HandleTyped(s.wire, topicStatus, s.handleStatus)
}

// Run serves until ctx is done and then shuts down gracefully. It returns early with
// the error of a failed member.
func (s *Server) Run(ctx context.Context) error {
	control := inbound.Listener{Name: "control", Addr: s.cfg.HTTPAddr, MaxConns: min(s.fds.Inbound, s.memory.Conns)}
	listener, err := control.Listen(s.metrics.registry, s.log)
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
	inbound.Limit(server, listener)
	workCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var g errgroup.Group
	g.Go(func() error { return ignoreClosed(server.Serve(listener)) })
	for _, run := range []func(context.Context){
		(&announcer{s: s}).run,
		s.leases.run,
		s.fleet.run,
		s.dc.run,
		s.pollRunningElsewhere,
		(&recordedState{s: s}).run,
	} {
		g.Go(func() error { run(workCtx); return nil })
	}
	var fatal error
	select {
	case <-ctx.Done():
		s.stop(server)
	case fatal = <-s.fatal:
		s.log.Error("shutting down after a fatal error", zap.Error(fatal))
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

// stop reports the process as not ready, transfers its leaderships and waits for open
// HTTP requests.
func (s *Server) stop(server *http.Server) {
	s.stopOnce.Do(func() { close(s.stopping) })
	s.log.Info("stopping")
	time.Sleep(s.cfg.StopGrace)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	s.dc.transferLeadership(ctx)
	s.fleet.transferLeadership(ctx)
	if err := server.Shutdown(ctx); err != nil {
		s.log.Warn("HTTP server shutdown failed", zap.Error(err))
	}
}

// close stops both members and closes the wire node and the event file.
func (s *Server) close() {
	s.dc.close()
	s.fleet.close()
	s.wire.Close()
	s.events.Record(eventlog.Event{Kind: eventStopped, DC: s.cfg.DC})
	if s.eventFile != nil {
		s.eventFile.Close()
	}
	s.log.Info("stopped")
}

// isStopping reports whether a graceful shutdown has begun.
func (s *Server) isStopping() bool {
	select {
	case <-s.stopping:
		return true
	default:
		return false
	}
}

// announcement returns the announcement of this process.
func (s *Server) announcement() announcement {
	ann := announcement{
		VM:        s.cfg.VM,
		DC:        s.cfg.DC,
		Region:    s.cfg.Region,
		ID:        s.id,
		WireAddr:  s.cfg.AdvertiseAddr,
		HTTPAddr:  s.cfg.HTTPAddr,
		EntryAddr: s.cfg.EntryAddr,
		Disk:      s.cfg.DataDir != "",
	}
	if l := s.dc.leaderState(); l != nil && s.dcStatus().IsLeader() {
		ann.Capacity = l.capacity()
	}
	return ann
}

// holderName returns the name of this process as the holder of a settings lease. Each
// incarnation is a separate holder.
func (s *Server) holderName() string { return fmt.Sprintf("control/%s/%d", s.cfg.VM, s.id) }
