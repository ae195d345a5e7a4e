package cellapi

import (
	"context"
	"maps"
	"sync"

	"go.uber.org/zap"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/verdict"
)

// ServiceRevision counts the changes of a data centre's service, out of service or back
// in, that one leader has made. A change states the revision that it is based on, so that
// one that was delayed on its way doesn't undo later ones.
type ServiceRevision struct {
	// Term is the term of the leader, 0 in a change of an earlier version, which is not
	// checked.
	Term    uint64
	Changes uint64
}

// serviceRevisions holds the revisions at this process while it leads.
type serviceRevisions struct {
	// committing is held while a change is checked and committed.
	committing sync.Mutex

	// mu protects the fields below.
	mu sync.Mutex
	// term is the term in which changes were counted.
	term    uint64
	changes map[string]uint64
}

// begin starts to count anew if the term has changed. The caller holds mu.
func (s *serviceRevisions) begin(term uint64) {
	if s.term != term || s.changes == nil {
		s.term, s.changes = term, map[string]uint64{}
	}
}

// counts returns the number of changes of each data centre in a term.
func (s *serviceRevisions) counts(term uint64) map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begin(term)
	return maps.Clone(s.changes)
}

// advance counts a change of a data centre that is based on a revision, unless others
// were made since. It reports whether it did.
func (s *serviceRevisions) advance(term uint64, dc string, based ServiceRevision) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begin(term)
	if based.Term != 0 && based != (ServiceRevision{term, s.changes[dc]}) {
		return false
	}
	s.changes[dc]++
	return true
}

// setOut takes a data centre out of service, or puts it back in service. Changes are
// committed one at a time, in the order in which they are checked.
func (s *Server) setOut(ctx context.Context, req *SetOutRequest) (*SetOutReply, error) {
	s.service.committing.Lock()
	defer s.service.committing.Unlock()
	term := s.Group.Status().Term
	if !s.service.advance(term, req.DC, req.Revision) {
		s.Log.Info("change of a data centre's service refused, others were made since", zap.String("dc", req.DC), zap.Bool("out", req.Out),
			zap.Uint64("term", req.Revision.Term), zap.Uint64("based_on", req.Revision.Changes))
		return nil, verdict.Refuse(verdict.ReasonConflict, "the service of data centre %s has changed", req.DC)
	}
	r, err := s.propose(ctx, &cell.Command{Leadership: term, SetOut: &cell.SetOut{DC: req.DC, Out: req.Out}})
	if err != nil {
		return nil, err
	}
	if r.Stale {
		return nil, verdict.Refuse(verdict.ReasonNoLease, "the scheduler of this leader has not begun, or has a successor")
	}
	s.Log.Info("data centre service state set", zap.String("dc", req.DC), zap.Bool("out", req.Out))
	return &SetOutReply{}, nil
}

// SetOut takes a data centre out of service or puts it back in service.
func (c *Client) SetOut(ctx context.Context, req *SetOutRequest) (*SetOutReply, error) {
	for {
		hello, err := invoke[HelloReply](ctx, c, topicHello, &HelloRequest{})
		if err != nil {
			return nil, err
		}
		based := *req
		based.Revision = ServiceRevision{hello.Term, hello.ServiceChanges[req.DC]}
		reply, err := invoke[SetOutReply](ctx, c, topicSetOut, &based)
		if refusal := verdict.FromError(err); refusal == nil || refusal.Reason != verdict.ReasonConflict || ctx.Err() != nil {
			return reply, err
		}
	}
}
