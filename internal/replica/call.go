package replica

import (
	"context"
	"time"

	"kumquatwing/internal/clock"
	"kumquatwing/internal/consensus"
	"kumquatwing/internal/verdict"
)

const (
	// retryPause is the wait before a call that surely did not run is repeated.
	retryPause = 50 * time.Millisecond
	// defaultTimeout bounds a call whose context has no deadline.
	defaultTimeout = 5 * time.Second
)

// changeKind is a membership change.
type changeKind uint8

const (
	changeNone changeKind = iota
	changeAdd
	changePromote
	changeRemove
)

// request is what a member asks of its leader: a read if Read is set, else a
// change, else a command.
type request struct {
	Read    bool       `msgpack:"r,omitempty"`
	Change  changeKind `msgpack:"c,omitempty"`
	Member  Member     `msgpack:"m"`
	Command []byte     `msgpack:"d,omitempty"`
	// Leader is who the sender takes for the leader.
	Leader MemberID `msgpack:"l"`
}

// reply is the leader's answer.
type reply struct {
	Result []byte `msgpack:"d,omitempty"`
	Index  uint64 `msgpack:"i,omitempty"`
}

// Propose implements Group.
func (n *Node) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) > maxCommandBytes {
		return nil, verdict.Refuse(verdict.ReasonTooLarge, "command of %d bytes is over %d", len(command), maxCommandBytes)
	}
	r, err := n.ask(ctx, &request{Command: command})
	if err != nil {
		return nil, err
	}
	return r.Result, nil
}

// Barrier implements Group.
func (n *Node) Barrier(ctx context.Context) error {
	r, err := n.ask(ctx, &request{Read: true})
	if err != nil {
		return err
	}
	return n.await(ctx, r.Index)
}

// AddLearner implements Group.
func (n *Node) AddLearner(ctx context.Context, m Member) error {
	return n.change(ctx, changeAdd, m)
}

// Promote implements Group. It refuses a learner that lags.
func (n *Node) Promote(ctx context.Context, id MemberID) error {
	return n.change(ctx, changePromote, Member{ID: id})
}

// Remove implements Group.
func (n *Node) Remove(ctx context.Context, id MemberID) error {
	return n.change(ctx, changeRemove, Member{ID: id})
}

func (n *Node) change(ctx context.Context, k changeKind, m Member) error {
	_, err := n.ask(ctx, &request{Change: k, Member: m})
	return err
}

// ask puts a request to the leader. It is repeated only when it surely did not
// run and another leader may take it.
func (n *Node) ask(ctx context.Context, req *request) (*reply, error) {
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	for {
		r, err := n.askOnce(ctx, req)
		if err == nil {
			return r, nil
		}
		refused := verdict.From(err)
		if !n.mayRepeat(req, refused) || !clock.Sleep(ctx, retryPause) {
			return nil, refused
		}
	}
}

func (n *Node) mayRepeat(req *request, r *verdict.Refusal) bool {
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

func withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, defaultTimeout)
}

// askOnce puts a request to whom this member takes for the leader. A read waits
// for one election timeout only, since it may be put to the next leader.
func (n *Node) askOnce(ctx context.Context, req *request) (*reply, error) {
	if req.Read {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, electionTicks*n.cfg.Tick)
		defer cancel()
	}
	leader := n.published.Load().status.Leader
	switch leader {
	case 0:
		return nil, verdict.Refuse(verdict.ReasonNoLeader, "the group has no leader").RetryIn(retryPause)
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

// addrOf looks a member's address up on the member's goroutine.
func (n *Node) addrOf(ctx context.Context, id MemberID) (string, error) {
	found := make(chan string, 1)
	err := n.submit(func(clock.Instant) { found <- n.book.find(n.core, consensus.ID(id)) })
	if err != nil {
		return "", err
	}
	select {
	case addr := <-found:
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

// handle answers another member's request.
func (n *Node) handle(ctx context.Context, req *request) (*reply, error) {
	if req.Leader != n.cfg.Self.ID {
		return nil, errNotLeader()
	}
	return n.serve(ctx, req)
}

// outcome is what became of a request.
type outcome struct {
	reply *reply
	err   error
}

// serve runs a request on this member, which refuses it unless it leads.
func (n *Node) serve(ctx context.Context, req *request) (*reply, error) {
	got := make(chan outcome, 1)
	if err := n.submit(func(now clock.Instant) { n.start(ctx, now, req, got) }); err != nil {
		return nil, err
	}
	select {
	case o := <-got:
		return o.reply, o.err
	case <-ctx.Done():
		return n.gone(got, verdict.ReasonDeadline)
	case <-n.stopped:
		return n.gone(got, verdict.ReasonStopping)
	}
}

// gone is the answer to a call that nobody waits for any longer.
func (n *Node) gone(got <-chan outcome, why verdict.Reason) (*reply, error) {
	select {
	case o := <-got:
		return o.reply, o.err
	default:
		return nil, verdict.Uncertain(why, "the outcome was not known in time")
	}
}

// start begins a request on the member's goroutine.
func (n *Node) start(ctx context.Context, now clock.Instant, req *request, got chan<- outcome) {
	if ctx.Err() != nil {
		got <- outcome{err: verdict.Refuse(verdict.ReasonDeadline, "the deadline passed before the request was begun")}
		return
	}
	finish := func(result []byte, err error) { got <- outcome{&reply{Result: result}, err} }
	switch {
	case req.Read:
		n.core.readIndex(now, func(index uint64, err error) { got <- outcome{&reply{Index: index}, err} })
	case req.Change != changeNone:
		n.core.change(req.Change, req.Member, finish)
	default:
		n.core.propose(req.Command, finish)
	}
}

// await waits until index has been applied here.
func (n *Node) await(ctx context.Context, index uint64) error {
	applied := make(chan error, 1)
	err := n.submit(func(clock.Instant) { n.core.await(index, func(err error) { applied <- err }) })
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

// TransferLeadership implements Group. A member that doesn't lead has nothing
// to hand over.
func (n *Node) TransferLeadership(ctx context.Context) error {
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	begun := make(chan error, 1)
	err := n.submit(func(clock.Instant) {
		if !n.core.raft.IsLeader() {
			begun <- nil
			return
		}
		begun <- n.core.raft.Transfer()
	})
	if err != nil {
		return err
	}
	select {
	case err := <-begun:
		if err != nil {
			return refusal(err)
		}
	case <-n.stopped:
		return verdict.Refuse(verdict.ReasonStopping, "member is closed")
	}
	return n.awaitSuccessor(ctx)
}

// awaitSuccessor waits until another member leads.
func (n *Node) awaitSuccessor(ctx context.Context) error {
	for {
		if leader := n.Status().Leader; leader != 0 && leader != n.cfg.Self.ID {
			return nil
		}
		if !clock.Sleep(ctx, retryPause) {
			return verdict.Uncertain(verdict.ReasonDeadline, "no other member took over in time")
		}
	}
}
