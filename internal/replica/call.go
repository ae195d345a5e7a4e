package replica

import (
	"context"
	"time"

	"kumquatwing/internal/clock"
	"kumquatwing/internal/consensus"
	"kumquatwing/internal/verdict"
)

const (
	// retryDelay is the delay before a call that was certainly not executed is
	// retried.
	retryDelay = 50 * time.Millisecond
	// defaultTimeout limits a call whose context has no deadline.
	defaultTimeout = 5 * time.Second
)

// changeKind is the type of a membership change.
type changeKind uint8

const (
	changeNone changeKind = iota
	changeAdd
	changePromote
	changeRemove
)

// request is a call to the leader: a read if Read is set, otherwise a membership
// change if Change is set, otherwise a command.
type request struct {
	Read    bool       `msgpack:"r,omitempty"`
	Change  changeKind `msgpack:"c,omitempty"`
	Member  Member     `msgpack:"m"`
	Command []byte     `msgpack:"d,omitempty"`
	// Leader is the member that the sender believes to be the leader.
	Leader MemberID `msgpack:"l"`
}

// reply is the leader's response to a request.
type reply struct {
	Result []byte `msgpack:"d,omitempty"`
	Index  uint64 `msgpack:"i,omitempty"`
}

// Propose implements Group.
func (n *Node) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) > maxCommandBytes {
		return nil, verdict.Refuse(verdict.ReasonTooLarge, "command of %d bytes is over %d", len(command), maxCommandBytes)
	}
	r, err := n.callLeader(ctx, &request{Command: command})
	if err != nil {
		return nil, err
	}
	return r.Result, nil
}

// Barrier implements Group.
func (n *Node) Barrier(ctx context.Context) error {
	r, err := n.callLeader(ctx, &request{Read: true})
	if err != nil {
		return err
	}
	return n.waitApplied(ctx, r.Index)
}

// AddLearner implements Group.
func (n *Node) AddLearner(ctx context.Context, m Member) error {
	return n.changeMembership(ctx, changeAdd, m)
}

// Promote implements Group. It refuses a learner that is too far behind.
func (n *Node) Promote(ctx context.Context, id MemberID) error {
	return n.changeMembership(ctx, changePromote, Member{ID: id})
}

// Remove implements Group.
func (n *Node) Remove(ctx context.Context, id MemberID) error {
	return n.changeMembership(ctx, changeRemove, Member{ID: id})
}

func (n *Node) changeMembership(ctx context.Context, k changeKind, m Member) error {
	_, err := n.callLeader(ctx, &request{Change: k, Member: m})
	return err
}

// callLeader sends a request to the leader and retries it while mayRetry allows
// that and the deadline has not passed.
func (n *Node) callLeader(ctx context.Context, req *request) (*reply, error) {
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	for {
		r, err := n.callLeaderOnce(ctx, req)
		if err == nil {
			return r, nil
		}
		refused := verdict.FromError(err)
		if !n.mayRetry(req, refused) || !clock.Sleep(ctx, retryDelay) {
			return nil, refused
		}
	}
}

// mayRetry reports whether a failed request can be sent again: another leader
// may accept it, and it was certainly not executed or is a read.
func (n *Node) mayRetry(req *request, r *verdict.Refusal) bool {
	if r.Verdict != verdict.NotRun && !req.Read {
		return false
	}
	switch r.Reason {
	case verdict.ReasonNotLeader, verdict.ReasonNoLeader, verdict.ReasonUnreachable:
		return true
	case verdict.ReasonDeadline:
		return req.Read
	}
	return false
}

// withDeadline adds defaultTimeout to a context that has no deadline.
func withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, defaultTimeout)
}

// callLeaderOnce sends a request to the member that this member believes to be
// the leader. A read waits for at most one minimum election timeout, since it
// can be retried at the next leader.
func (n *Node) callLeaderOnce(ctx context.Context, req *request) (*reply, error) {
	if req.Read {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, electionTicks*n.cfg.Tick)
		defer cancel()
	}
	leader := n.published.Load().status.Leader
	switch leader {
	case 0:
		return nil, verdict.Refuse(verdict.ReasonNoLeader, "the group has no leader").WithRetryAfter(retryDelay)
	case n.cfg.Self.ID:
		return n.serve(ctx, req)
	}
	addr, err := n.addrOf(ctx, leader)
	if err != nil {
		return nil, err
	}
	forwarded := *req
	forwarded.Leader = leader
	var r reply
	if err := n.cfg.Wire.Call(ctx, addr, callPrefix+n.cfg.Group, &forwarded, &r); err != nil {
		return nil, err
	}
	return &r, nil
}

// addrOf looks up a member's address on the member goroutine.
func (n *Node) addrOf(ctx context.Context, id MemberID) (string, error) {
	result := make(chan string, 1)
	err := n.submit(func(clock.Instant) { result <- n.addrs.lookup(n.core, consensus.ID(id)) })
	if err != nil {
		return "", err
	}
	select {
	case addr := <-result:
		if addr == "" {
			return "", verdict.Refuse(verdict.ReasonNoLeader, "the leader's address is not known")
		}
		return addr, nil
	case <-n.stopped:
		return "", verdict.Refuse(verdict.ReasonStopping, "member is closed")
	case <-ctx.Done():
		return "", verdict.Refuse(verdict.ReasonDeadline, "the deadline passed before the leader was asked")
	}
}

// handleForwarded serves a request that another member sent to this one as the
// leader.
func (n *Node) handleForwarded(ctx context.Context, req *request) (*reply, error) {
	if req.Leader != n.cfg.Self.ID {
		return nil, errNotLeader()
	}
	return n.serve(ctx, req)
}

// outcome is the result of a request.
type outcome struct {
	reply *reply
	err   error
}

// serve executes a request on this member. The request is refused if this member
// does not lead.
func (n *Node) serve(ctx context.Context, req *request) (*reply, error) {
	outcomes := make(chan outcome, 1)
	if err := n.submit(func(now clock.Instant) { n.startRequest(ctx, now, req, outcomes) }); err != nil {
		return nil, err
	}
	select {
	case o := <-outcomes:
		return o.reply, o.err
	case <-ctx.Done():
		return n.outcomeIfReady(outcomes, verdict.ReasonDeadline)
	case <-n.stopped:
		return n.outcomeIfReady(outcomes, verdict.ReasonStopping)
	}
}

// outcomeIfReady returns the outcome of a request whose caller stops waiting, or a
// may-have-run refusal if the outcome is not known yet.
func (n *Node) outcomeIfReady(outcomes <-chan outcome, reason verdict.Reason) (*reply, error) {
	select {
	case o := <-outcomes:
		return o.reply, o.err
	default:
		return nil, verdict.RefuseMayHaveRun(reason, "the outcome was not known in time")
	}
}

// startRequest starts a request; it runs on the member goroutine.
func (n *Node) startRequest(ctx context.Context, now clock.Instant, req *request, outcomes chan<- outcome) {
	if ctx.Err() != nil {
		outcomes <- outcome{err: verdict.Refuse(verdict.ReasonDeadline, "the deadline passed before the request was begun")}
		return
	}
	finish := func(result []byte, err error) { outcomes <- outcome{&reply{Result: result}, err} }
	switch {
	case req.Read:
		n.core.readIndex(now, func(index uint64, err error) { outcomes <- outcome{&reply{Index: index}, err} })
	case req.Change != changeNone:
		n.core.change(req.Change, req.Member, finish)
	default:
		n.core.propose(req.Command, finish)
	}
}

// waitApplied waits until this member has applied index.
func (n *Node) waitApplied(ctx context.Context, index uint64) error {
	applied := make(chan error, 1)
	err := n.submit(func(clock.Instant) { n.core.onApplied(index, func(err error) { applied <- err }) })
	if err != nil {
		return err
	}
	select {
	case err := <-applied:
		return err
	case <-ctx.Done():
		return verdict.Refuse(verdict.ReasonDeadline, "index %d was not applied in time", index)
	case <-n.stopped:
		return verdict.Refuse(verdict.ReasonStopping, "member is closed")
	}
}

// TransferLeadership implements Group. On a member that does not lead, it only
// waits until another member does.
func (n *Node) TransferLeadership(ctx context.Context) error {
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	started := make(chan error, 1)
	err := n.submit(func(clock.Instant) {
		if !n.core.raft.IsLeader() {
			started <- nil
			return
		}
		started <- n.core.raft.Transfer()
	})
	if err != nil {
		return err
	}
	select {
	case err := <-started:
		if err != nil {
			return refusalFor(err)
		}
	case <-n.stopped:
		return verdict.Refuse(verdict.ReasonStopping, "member is closed")
	}
	return n.waitForSuccessor(ctx)
}

// waitForSuccessor waits until this member sees another member as the leader.
func (n *Node) waitForSuccessor(ctx context.Context) error {
	for {
		if leader := n.Status().Leader; leader != 0 && leader != n.cfg.Self.ID {
			return nil
		}
		if !clock.Sleep(ctx, retryDelay) {
			return verdict.RefuseMayHaveRun(verdict.ReasonDeadline, "no other member took over in time")
		}
	}
}
