package cellapi

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/replica"
	"kumquatwing/internal/scheduler"
	"kumquatwing/internal/verdict"
	"kumquatwing/internal/wire"
)

// JoinFunc handles the hello of a control process, which wants to be a member of the
// group.
type JoinFunc func(m Member)

// Config holds the dependencies of a Server.
type Config struct {
	Wire      *wire.Node
	Group     replica.Group
	State     *cell.State
	Scheduler *scheduler.Scheduler
	Clock     clock.Clock
	Log       *zap.Logger
	// Join handles join requests; nil ignores them.
	Join JoinFunc
	// MaxBodyBytes returns the limit on callers' bodies that a configuration document states,
	// 0 if it states none; nil if no document does.
	MaxBodyBytes func(document []byte) int64
}

// Server handles calls if this process is the leader, and forwards them to the
// leader otherwise.
type Server struct {
	Config
	reports reportTracker
	stays   stayTracker
	service serviceRevisions
	// waitingReads counts the reads that wait for a job to end. The lock of State
	// protects it.
	waitingReads int
	limit        bodyLimit
}

// Serve returns a Server and registers its handlers for all calls with cfg.Wire.
func Serve(cfg Config) *Server {
	s := &Server{Config: cfg, reports: newReportTracker(), stays: newStayTracker()}
	handle(s, topicSubmit, s.submit)
	handle(s, topicJob, s.job)
	handle(s, topicCancel, s.cancel)
	handle(s, topicQueue, s.queue)
	handle(s, topicConfigure, s.configure)
	handle(s, topicConfig, s.config)
	handle(s, topicSetOut, s.setOut)
	handle(s, topicReport, s.report)
	handle(s, topicLeave, s.leave)
	handle(s, topicHello, s.hello)
	wire.HandleTyped(cfg.Wire, topicPing, s.ping)
	return s
}

// handle registers the handler of a call under its topic, and under the topic for
// calls that another process has forwarded.
func handle[Req, Resp any](s *Server, topic string, h func(context.Context, *Req) (*Resp, error)) {
	typed := wire.Typed(topic, h)
	onLeader := func(ctx context.Context, body []byte) ([]byte, error) {
		if !s.Group.Status().IsLeader() {
			return nil, verdict.Refuse(verdict.ReasonNotLeader, "this process does not lead")
		}
		return typed(ctx, body)
	}
	s.Wire.Handle(topic+leaderSuffix, onLeader)
	s.Wire.Handle(topic, func(ctx context.Context, body []byte) ([]byte, error) {
		st := s.Group.Status()
		if st.Leader == st.Self {
			return onLeader(ctx, body)
		}
		m, ok := st.LeaderMember()
		if !ok {
			return nil, verdict.Refuse(verdict.ReasonNoLeader, "the cell has no leader")
		}
		return s.forward(ctx, m.Addr, topic, body)
	})
}

// forwardTimeout bounds a forwarded call. It is below attemptTimeout, so that the
// sender learns that the leader doesn't answer, and not this process.
const forwardTimeout = 450 * time.Millisecond

// forward sends a call to the leader and returns the reply.
func (s *Server) forward(ctx context.Context, leader, topic string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	reply, err := s.Wire.CallRaw(ctx, leader, topic+leaderSuffix, body)
	if err == nil {
		return reply, nil
	}
	switch r := verdict.FromError(err); r.Reason {
	case verdict.ReasonUnreachable, verdict.ReasonDeadline:
		return nil, verdict.New(r.Verdict, verdict.ReasonNoLeader, "the leader at %s does not answer: %s", leader, r.Message)
	default:
		return nil, r
	}
}

// ping tells which member this process is and which leader it knows. A leader whose
// lease has ended may have a successor, and does not name itself.
func (s *Server) ping(context.Context, *PingRequest) (*PingReply, error) {
	st := s.Group.Status()
	r := &PingReply{Member: uint64(st.Self)}
	m, ok := st.LeaderMember()
	if !ok || (st.Leader == st.Self && !st.IsLeader()) {
		return r, nil
	}
	r.Leader, r.Term = m.Addr, st.Term
	return r, nil
}

// confirmLeadership returns an error unless this process certainly is the leader.
// Called after a read, it shows that no later leader has changed what was read.
func (s *Server) confirmLeadership() error {
	if s.Group.Status().IsLeader() {
		return nil
	}
	return verdict.Refuse(verdict.ReasonNotLeader, "leadership is not confirmed")
}

// propose commits a command and returns its result.
func (s *Server) propose(ctx context.Context, c *cell.Command) (cell.Result, error) {
	data, err := c.Encode()
	if err != nil {
		return cell.Result{}, verdict.Refuse(verdict.ReasonBadRequest, "command can't be encoded: %v", err)
	}
	out, err := s.Group.Propose(ctx, data)
	if err != nil {
		return cell.Result{}, err
	}
	r, err := cell.DecodeResult(out)
	if err != nil {
		return r, verdict.RefuseMayHaveRun(verdict.ReasonInternal, "result can't be decoded: %v", err)
	}
	return r, nil
}

// caller is who makes a call, and the name of the queue that it is for.
type caller struct {
	queue string
	cell.Caller
}

// authorize returns the queue and the workspace of a call, or an error if the
// call is not allowed. It refuses a call only after confirming that this
// process leads.
func (s *Server) authorize(p *CallTarget) (caller, error) {
	var c caller
	var err error
	s.State.Read(func() {
		cfg := &s.State.Config
		if s.State.ConfigDocument == nil {
			err = verdict.Refuse(verdict.ReasonNoLease, "the cell has no configuration yet")
			return
		}
		q := cfg.MatchQueue(p.Host, p.Path)
		if q == nil {
			err = verdict.Refuse(verdict.ReasonUnknownQueue, "no queue at %s%s", p.Host, p.Path)
			return
		}
		c.queue, c.Place, c.Open = q.Name, q.Place(), q.Open
		ws := cfg.WorkspaceOfKey(p.Key)
		if ws == nil && !q.Open {
			err = verdict.Refuse(verdict.ReasonBadKey, "the key is not known")
			return
		}
		if ws != nil {
			c.Workspace = ws.Name
		}
	})
	if err != nil {
		if notLeader := s.confirmLeadership(); notLeader != nil {
			return c, notLeader
		}
	}
	return c, err
}

// submitAttempts is how often a job is proposed whose queue or workspace is removed and
// configured again meanwhile.
const submitAttempts = 3

func (s *Server) submit(ctx context.Context, req *SubmitRequest) (*SubmitReply, error) {
	for range submitAttempts {
		c, err := s.authorize(&req.Place)
		if err != nil {
			return s.acceptedBefore(req, err)
		}
		if reason := invalidJobReason(req); reason != "" {
			return nil, verdict.Refuse(verdict.ReasonBadRequest, "%s", reason)
		}
		r, err := s.propose(ctx, submitCommand(req, &c))
		if err != nil {
			return nil, err
		}
		if r.Cancelled {
			s.Log.Info("job refused, it was cancelled before", zap.String("job", string(req.ID)), zap.String("workspace", c.Workspace))
			return nil, verdict.Refuse(verdict.ReasonCancelled, "job %s was cancelled before it was submitted", req.ID)
		}
		if r.Unknown {
			s.Log.Info("job refused, its queue was removed meanwhile", zap.String("job", string(req.ID)), zap.String("queue", c.queue))
			continue
		}
		s.Log.Info("job submitted", zap.String("job", string(req.ID)), zap.String("queue", c.queue),
			zap.String("workspace", c.Workspace), zap.Bool("known", r.Known))
		return &SubmitReply{Known: r.Known}, nil
	}
	return nil, verdict.Refuse(verdict.ReasonNoLease, "the queue changes too often")
}

// acceptedBefore answers an attempt to submit a job that is refused with err. If an
// earlier attempt may have run, and the cell has the job of this caller, that attempt was
// accepted, and the queue was removed after it.
func (s *Server) acceptedBefore(req *SubmitRequest, err error) (*SubmitReply, error) {
	if !req.Repeated || verdict.FromError(err).Reason != verdict.ReasonUnknownQueue {
		return nil, err
	}
	accepted := false
	s.State.Read(func() {
		j, ws := s.State.Jobs[req.ID], s.State.Config.WorkspaceOfKey(req.Place.Key)
		accepted = j != nil && ws != nil && ws.Name == j.Workspace
	})
	if !accepted {
		return nil, err
	}
	return &SubmitReply{Known: true}, nil
}

// submitCommand returns the command that stores the job of a request.
func submitCommand(req *SubmitRequest, c *caller) *cell.Command {
	return &cell.Command{Submit: &cell.Submit{Job: cell.Job{
		ID: req.ID, Queue: c.queue, Workspace: c.Workspace, Spec: req.Spec, Steps: req.Steps,
		Schedule: req.Schedule, SubmittedUnixMillis: time.Now().UnixMilli(),
	}}}
}

func unknownJob(id cell.JobID) error {
	return verdict.Refuse(verdict.ReasonUnknownJob, "no job %s", id)
}

// tombstoneRetryAfter is the Retry-After of a cancel for which the cell has no tombstone
// left. Tombstones expire by the minute.
const tombstoneRetryAfter = 5 * time.Second

// cancel cancels a job. The cancel of an unknown job is committed before the reply, so that
// a submission that was held up on its way doesn't run the job later.
func (s *Server) cancel(ctx context.Context, req *JobRequest) (*CancelReply, error) {
	c, err := s.authorize(&req.Place)
	if err != nil {
		return nil, err
	}
	cmd := &cell.Command{Cancel: &cell.Cancel{ID: req.ID, UnixMillis: time.Now().UnixMilli(), Caller: &c.Caller}}
	r, err := s.propose(ctx, cmd)
	switch {
	case err != nil:
		return nil, err
	case r.Full:
		return nil, verdict.Refuse(verdict.ReasonOverload, "too many unknown jobs were cancelled").WithRetryAfter(tombstoneRetryAfter)
	}
	s.Log.Info("job cancelled", zap.String("job", string(req.ID)), zap.String("workspace", c.Workspace), zap.Bool("known", !r.Unknown))
	if r.Unknown {
		return nil, unknownJob(req.ID)
	}
	return &CancelReply{}, nil
}

func (s *Server) queue(_ context.Context, req *QueueRequest) (*QueueReply, error) {
	c, err := s.authorize(&req.Place)
	if err != nil {
		return nil, err
	}
	r := &QueueReply{}
	s.State.Read(func() {
		for _, j := range s.State.Active {
			q := s.State.QueueOf(j)
			if q != nil && (q.Name == c.queue || q.Place() == c.Place) && !s.Scheduler.HasBegun(j) {
				r.Waiting++
			}
		}
	})
	return r, s.confirmLeadership()
}

func (s *Server) configure(ctx context.Context, req *ConfigureRequest) (*ConfigureReply, error) {
	if reason := req.Config.Validate(); reason != "" {
		return nil, verdict.Refuse(verdict.ReasonBadRequest, "%s", reason)
	}
	held := int64(0)
	s.State.Read(func() { held = s.State.Config.Version })
	_, err := s.propose(ctx, &cell.Command{Configure: &cell.Configure{Config: req.Config, Document: req.Document}})
	if err != nil {
		return nil, err
	}
	s.Log.Info("configuration committed", zap.Int64("version", req.Config.Version), zap.Int64("held", held),
		zap.Int("queues", len(req.Config.Queues)), zap.Int("workspaces", len(req.Config.Workspaces)))
	return &ConfigureReply{}, nil
}

func (s *Server) config(context.Context, *ConfigRequest) (*ConfigReply, error) {
	r := &ConfigReply{}
	s.State.Read(func() { r.Document = s.State.ConfigDocument })
	if err := s.confirmLeadership(); err != nil {
		return nil, err
	}
	if r.Document == nil {
		return nil, verdict.Refuse(verdict.ReasonNoLease, "the cell has no configuration yet")
	}
	return r, nil
}

func (s *Server) hello(ctx context.Context, req *HelloRequest) (*HelloReply, error) {
	if req.Member != nil && s.Join != nil {
		s.Join(*req.Member)
	}
	if req.Adviser {
		s.Scheduler.SetAdviser(ctx, req.Addr, &remoteAdviser{s.Wire, req.Addr})
	}
	st := s.Group.Status()
	r := &HelloReply{Term: st.Term, ServiceChanges: s.service.counts(st.Term), MaxBodyBytes: s.maxBodyBytes()}
	for _, m := range st.Members {
		r.Controls = append(r.Controls, m.Addr)
		if m.ID == st.Leader {
			r.Leader = m.Addr
		}
	}
	s.State.Read(func() { r.Configured = s.State.ConfigDocument != nil })
	slices.Sort(r.Controls)
	return r, nil
}

// remoteAdviser requests advice from the placement policy through another
// process.
type remoteAdviser struct {
	wire *wire.Node
	addr string
}

// Advise implements scheduler.Adviser.
func (a *remoteAdviser) Advise(ctx context.Context, step cell.StepKey, workers []cell.WorkerID) (*scheduler.Advice, error) {
	var r AdviseReply
	if err := a.wire.Call(ctx, a.addr, topicAdvise, &AdviseRequest{step, workers}, &r); err != nil {
		return nil, err
	}
	out := &scheduler.Advice{Tickets: make(map[cell.WorkerID]string, len(r.Workers)), Valid: r.Valid}
	for i, w := range r.Workers {
		out.Tickets[w] = r.Tokens[i]
	}
	return out, nil
}
