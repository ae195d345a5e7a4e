package fleetapi

import (
	"context"
	"net/http"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-chi/chi/v5"
	"github.com/vmihailenco/msgpack/v5"

	"kumquatwing/internal/api"
	"kumquatwing/internal/fleet"
	"kumquatwing/internal/replica"
)

// laggingGroup is a follower that applies committed commands only at a barrier.
type laggingGroup struct {
	*replica.Local
	// mu protects state and unapplied.
	mu    sync.Mutex
	state *fleet.State
	// unapplied holds the commands proposed since the last barrier.
	unapplied [][]byte
	// change, if set, modifies each command before it is proposed.
	change func(*fleet.Command)
}

func (g *laggingGroup) Propose(ctx context.Context, body []byte) ([]byte, error) {
	if g.change != nil {
		var c fleet.Command
		if err := msgpack.Unmarshal(body, &c); err != nil {
			return nil, err
		}
		g.change(&c)
		body, _ = fleet.Encode(&c)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unapplied = append(g.unapplied, body)
	return g.Local.Propose(ctx, body)
}

func (g *laggingGroup) Barrier(context.Context) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, body := range g.unapplied {
		g.state.Apply(0, body)
	}
	g.unapplied = nil
	return nil
}

func (g *laggingGroup) View(fn func(replica.Status)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	fn(replica.Status{})
}

// lagging returns a service on a lagging follower, and the state of its leader.
func lagging(t *testing.T, change func(*fleet.Command)) (s *service, leader *fleet.State) {
	leader = fleet.New()
	follower := fleet.New()
	group := &laggingGroup{Local: replica.NewLocal(leader, replica.Member{ID: 1}), state: follower, change: change}
	r := chi.NewRouter()
	New(Config{Group: group, State: follower, OperatorToken: token}).Routes(r)
	return &service{t: t, state: follower, group: group.Local, Handler: r}, leader
}

// submitAfterRevocation submits a job with a revoked key, to a member that has not
// applied the revocation. change modifies the commands that the member proposes.
func submitAfterRevocation(t *testing.T, change func(*fleet.Command)) (status int, leader *fleet.State) {
	s, leader := lagging(t, change)
	s.callAsOperator(http.MethodPost, api.PathSettings, applyBody("first", 0, 4000))
	text := s.grantKey("shop")
	id, _, ok := fleet.ParseKey(text)
	qt.Assert(t, ok, qt.IsTrue)
	w := s.call(http.MethodPost, api.PathJobs, smallJob, text, "")
	qt.Assert(t, w.Code, qt.Equals, http.StatusOK, qt.Commentf("a new key at a lagging member: %s", w.Body))
	s.callAsOperator(http.MethodDelete, "/v1/keys/"+string(id), `{"op_id":"w","actor":"ada"}`)
	w = s.call(http.MethodPost, api.PathJobs, `{"id":"j2","class":"batch","tasks":1,"size":{"milli_cpu":1}}`, text, "")
	return w.Code, leader
}

// TestLaggingMemberRefusesRevokedKey checks that a job with a revoked key is
// refused when its command is applied, although the member that proposes the command
// still accepts the key.
func TestLaggingMemberRefusesRevokedKey(t *testing.T) {
	status, leader := submitAfterRevocation(t, nil)
	qt.Assert(t, status, qt.Equals, http.StatusUnauthorized)
	qt.Assert(t, leader.JobsOwnedBy("dc1"), qt.HasLen, 1)
}

// TestRevokedKeyIsAcceptedWithoutKeyInCommand removes the key from the commands, so
// that it can't be checked when they are applied: the revoked key is accepted.
func TestRevokedKeyIsAcceptedWithoutKeyInCommand(t *testing.T) {
	removeKey := func(c *fleet.Command) {
		if c.SubmitJob != nil {
			c.SubmitJob.Key = ""
		}
	}
	status, leader := submitAfterRevocation(t, removeKey)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	qt.Assert(t, leader.JobsOwnedBy("dc1"), qt.HasLen, 2)
}

// TestReadsAreUpToDate checks that a lagging member returns all committed changes,
// except if the query allows stale state.
func TestReadsAreUpToDate(t *testing.T) {
	s, _ := lagging(t, nil)
	s.callAsOperator(http.MethodPost, api.PathSettings, applyBody("first", 0, 4000))
	qt.Assert(t, s.callAsOperator(http.MethodGet, api.PathSettings+"?stale=true", ""), qt.Contains, `"revision":0`)
	qt.Assert(t, s.callAsOperator(http.MethodGet, api.PathSettings, ""), qt.Contains, `"revision":1`)
}
