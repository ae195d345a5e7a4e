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

// laggingGroup is a follower that applies nothing before a barrier.
type laggingGroup struct {
	*replica.Local
	mu     sync.Mutex
	state  *fleet.State
	behind [][]byte
	// change, if set, alters each command before it is proposed.
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
	g.behind = append(g.behind, body)
	return g.Local.Propose(ctx, body)
}

func (g *laggingGroup) Barrier(context.Context) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, body := range g.behind {
		g.state.Apply(0, body)
	}
	g.behind = nil
	return nil
}

func (g *laggingGroup) View(fn func(replica.Status)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	fn(replica.Status{})
}

// lagging returns a service on a follower of a leader's state.
func lagging(t *testing.T, change func(*fleet.Command)) (s *service, leader *fleet.State) {
	leader = fleet.New()
	follower := fleet.New()
	group := &laggingGroup{Local: replica.NewLocal(leader, replica.Member{ID: 1}), state: follower, change: change}
	r := chi.NewRouter()
	New(Config{Group: group, State: follower, OperatorToken: token}).Routes(r)
	return &service{t: t, state: follower, group: group.Local, Handler: r}, leader
}

// submitAfterWithdrawal sends a job with a key that was withdrawn a moment ago,
// to a member that has not heard of it.
func submitAfterWithdrawal(t *testing.T, change func(*fleet.Command)) (status int, leader *fleet.State) {
	s, leader := lagging(t, change)
	s.operate(http.MethodPost, api.PathSettings, applyBody("first", 0, 4000))
	text := s.grant("shop")
	id, _, ok := fleet.ParseKey(text)
	qt.Assert(t, ok, qt.IsTrue)
	w := s.call(http.MethodPost, api.PathJobs, smallJob, text, "")
	qt.Assert(t, w.Code, qt.Equals, http.StatusOK, qt.Commentf("a new key at a member that lags: %s", w.Body))
	s.operate(http.MethodDelete, "/v1/keys/"+string(id), `{"op_id":"w","actor":"ada"}`)
	w = s.call(http.MethodPost, api.PathJobs, `{"id":"j2","class":"batch","tasks":1,"size":{"milli_cpu":1}}`, text, "")
	return w.Code, leader
}

func TestLaggingMemberTakesNoWithdrawnKey(t *testing.T) {
	status, leader := submitAfterWithdrawal(t, nil)
	qt.Assert(t, status, qt.Equals, http.StatusUnauthorized)
	qt.Assert(t, leader.JobsOwnedBy("dc1"), qt.HasLen, 1)
}

// TestLaggingMemberNeedsTheKeyInTheCommand takes the protection out.
func TestLaggingMemberNeedsTheKeyInTheCommand(t *testing.T) {
	drop := func(c *fleet.Command) {
		if c.SubmitJob != nil {
			c.SubmitJob.Key = ""
		}
	}
	status, leader := submitAfterWithdrawal(t, drop)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	qt.Assert(t, leader.JobsOwnedBy("dc1"), qt.HasLen, 2)
}

// TestReadsAreFresh reads from a member that lags.
func TestReadsAreFresh(t *testing.T) {
	s, _ := lagging(t, nil)
	s.operate(http.MethodPost, api.PathSettings, applyBody("first", 0, 4000))
	qt.Assert(t, s.operate(http.MethodGet, api.PathSettings+"?stale=true", ""), qt.Contains, `"revision":0`)
	qt.Assert(t, s.operate(http.MethodGet, api.PathSettings, ""), qt.Contains, `"revision":1`)
}
