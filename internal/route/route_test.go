package route

import (
	"context"
	"flag"
	"net/http"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"kumquatwing/internal/api"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/model"
	"kumquatwing/internal/verdict"
)

// TestMain fixes the seed of rapid unless one is given, so that runs are
// reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		flag.Set("rapid.seed", "20261204")
	}
	os.Exit(m.Run())
}

// TestFairQueueFollowsShares checks theorem 1 of the start-time fair queueing paper
// for random shares: while two workspaces both have waiting requests, their service
// divided by their share differs by at most one request of each.
func TestFairQueueFollowsShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shares := rapid.SliceOfN(rapid.Int64Range(1, 9), 2, 5).Draw(t, "shares")
		q := newFairQueue()
		for i, share := range shares {
			for range 200 {
				q.push(&waiter{workspace: workspaceName(i), share: share})
			}
		}
		got := map[model.WorkspaceID]int{}
		for range 100 {
			got[q.pop().workspace]++
			for i := range shares {
				for j := range shares {
					checkPair(t, got, i, j, float64(shares[i]), float64(shares[j]))
				}
			}
		}
	})
}

func workspaceName(i int) model.WorkspaceID { return model.WorkspaceID(rune('a' + i)) }

// checkPair fails the test if workspace i is further ahead of workspace j than
// theorem 1 allows. a and b are their shares.
func checkPair(t *rapid.T, got map[model.WorkspaceID]int, i, j int, a, b float64) {
	const rounding = 1e-9
	gap := float64(got[workspaceName(i)])/a - float64(got[workspaceName(j)])/b
	if gap > 1/a+1/b+rounding {
		t.Fatalf("shares %v and %v got %d and %d", a, b, got[workspaceName(i)], got[workspaceName(j)])
	}
}

// TestIdleWorkspaceGetsNoCredit guards against credit for idle time: a workspace
// that was idle must not get all slots when it sends requests again.
func TestIdleWorkspaceGetsNoCredit(t *testing.T) {
	q := newFairQueue()
	for range 100 {
		q.push(&waiter{workspace: "busy", share: 1})
	}
	for range 50 {
		q.pop()
	}
	for range 20 {
		q.push(&waiter{workspace: "back", share: 1})
	}
	busy := 0
	for range 20 {
		if q.pop().workspace == "busy" {
			busy++
		}
	}
	qt.Assert(t, busy >= 9 && busy <= 11, qt.IsTrue, qt.Commentf("%d of 20", busy))
}

// TestExpiredRequestsCostNoShare guards against a workspace that loses its share with
// each request that leaves the queue without a slot, as at its deadline.
func TestExpiredRequestsCostNoShare(t *testing.T) {
	q := newFairQueue()
	got := map[model.WorkspaceID]int{}
	var oldest []*waiter
	pushShop := func() {
		w := &waiter{workspace: "shop", share: 1}
		q.push(w)
		oldest = append(oldest, w)
	}
	for range 24 {
		q.push(&waiter{workspace: "vets", share: 3})
		pushShop()
	}
	for range 400 {
		w := q.pop()
		got[w.workspace]++
		if w.workspace == "vets" {
			q.push(&waiter{workspace: "vets", share: 3})
		} else {
			pushShop()
		}
		for !oldest[0].waiting() {
			oldest = oldest[1:]
		}
		q.remove(oldest[0])
		pushShop()
	}
	qt.Assert(t, got["shop"] >= 99 && got["shop"] <= 101, qt.IsTrue, qt.Commentf("%v", got))
}

func TestRemovedWaitersAreNotHandedOut(t *testing.T) {
	q := newFairQueue()
	first, second := &waiter{workspace: "a"}, &waiter{workspace: "b"}
	q.push(first)
	q.push(second)
	qt.Assert(t, q.remove(first), qt.IsTrue)
	qt.Assert(t, q.remove(first), qt.IsFalse)
	qt.Assert(t, q.pop(), qt.Equals, second)
	qt.Assert(t, q.len(), qt.Equals, 0)
}

func TestRetryBudget(t *testing.T) {
	var b retryBudget
	n := 0
	for b.withdraw() {
		n++
	}
	qt.Assert(t, n, qt.Equals, maxRetryCredit/retryCost)
	for range 5 {
		b.deposit(20)
	}
	qt.Assert(t, b.withdraw(), qt.IsTrue)
	qt.Assert(t, b.withdraw(), qt.IsFalse)
}

func TestCopyEndToEndSkipsHopByHopHeaders(t *testing.T) {
	from := http.Header{
		"Connection": {"close, X-Own"}, "X-Own": {"1"}, "Te": {"trailers"}, "Kq-Key": {"kq_a_b"},
		"Content-Length": {"3"}, "Accept": {"text/csv"}, "Authorization": {"Basic x"},
	}
	to := http.Header{}
	copyEndToEnd(to, from)
	qt.Assert(t, to, qt.DeepEquals, http.Header{"Accept": {"text/csv"}, "Authorization": {"Basic x"}})
}

// synctestClock is a clock on the virtual time of testing/synctest. Its first
// instant is above 0.
type synctestClock struct{ start time.Time }

func (c synctestClock) Now() clock.Instant { return clock.Instant(time.Hour + time.Since(c.start)) }

// newTestPool returns a pool that holds n slots of one server under a lease of 2 s,
// and the sync response that granted them.
func newTestPool(n int) (*Pool, *api.EntryState) {
	p := NewPool(synctestClock{time.Now()}, DialTCP(""), func() {})
	state := &api.EntryState{SlotsValid: true, SlotLeaseMillis: 2000, Slots: []api.SlotGrant{{
		Server: "s", Incarnation: "1", Addr: "127.0.0.1:1", Queue: "orders", Slots: n, Connections: n, Epoch: 1,
	}}}
	p.longest.observe(time.Now(), time.Minute)
	syncPool(p, state)
	return p, state
}

// syncPool makes one sync and returns its request. A nil state stands for a lost
// response.
func syncPool(p *Pool, state *api.EntryState) *api.EntrySync {
	req := &api.EntrySync{}
	p.PrepareSync(req, false)
	if state != nil {
		p.ApplySync(p.clock.Now(), state)
	}
	return req
}

// slotRequestIn returns a slot request with a deadline in d.
func slotRequestIn(d time.Duration) *SlotRequest {
	return &SlotRequest{Queue: "orders", Workspace: "vets", Share: 1, Deadline: time.Now().Add(d), MaxWaiting: 2}
}

// reasonOf returns the reason of a NotRun refusal, and "" for any other error.
func reasonOf(err error) verdict.Reason {
	if r := verdict.FromError(err); r != nil && r.Verdict == verdict.NotRun {
		return r.Reason
	}
	return ""
}

// TestAcquire checks the result and the waiting time of a request when the only
// slot is in use.
func TestAcquire(t *testing.T) {
	cases := []struct {
		name string
		// setup is called while the slot is in use.
		setup                  func(p *Pool, slot *Slot)
		maxWaiting             int
		extraDeadline, maxWait time.Duration
		reason                 verdict.Reason
		waits                  time.Duration
	}{
		{"slot comes free", func(_ *Pool, s *Slot) { time.AfterFunc(100*time.Millisecond, s.ReleaseDone) }, 1, 0, 0, "", 100 * time.Millisecond},
		{"deadline passes", func(*Pool, *Slot) {}, 1, 0, 0, verdict.ReasonDeadline, time.Second},
		{"wait limit passes", func(*Pool, *Slot) {}, 1, 0, 50 * time.Millisecond, verdict.ReasonOverload, 50 * time.Millisecond},
		{"queue of the workspace is full", func(*Pool, *Slot) {}, 0, 0, 0, verdict.ReasonOverload, 0},
		{"estimated wait exceeds the deadline", func(p *Pool, _ *Slot) { p.queues["orders"].meanHold = 600 * time.Millisecond }, 1, 0, 0, verdict.ReasonOverload, 0},
		{"entry VM stops", func(p *Pool, _ *Slot) { time.AfterFunc(10*time.Millisecond, p.Close) }, 1, 0, 0, verdict.ReasonStopping, 10 * time.Millisecond},
		{"slot comes free after the lease", func(_ *Pool, s *Slot) { time.AfterFunc(2500*time.Millisecond, s.ReleaseDone) }, 1, 3 * time.Second, 0, verdict.ReasonNoServer, 4 * time.Second},
		{"slot is recalled", func(p *Pool, s *Slot) {
			p.servers[serverKey{"s", "1"}].grant.Recall = 1
			time.AfterFunc(100*time.Millisecond, s.ReleaseDone)
		}, 1, 0, 0, verdict.ReasonNoServer, time.Second},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, _ := newTestPool(1)
				slot, err := p.Acquire(context.Background(), slotRequestIn(time.Second))
				qt.Assert(t, err, qt.IsNil)
				k.setup(p, slot)
				req := slotRequestIn(time.Second)
				req.MaxWait, req.MaxWaiting = k.maxWait, k.maxWaiting
				req.Deadline = req.Deadline.Add(k.extraDeadline)
				ctx, cancel := context.WithDeadline(context.Background(), req.Deadline)
				defer cancel()
				began := time.Now()
				_, err = p.Acquire(ctx, req)
				qt.Assert(t, reasonOf(err), qt.Equals, k.reason)
				qt.Assert(t, time.Since(began), qt.Equals, k.waits)
			})
		})
	}
}

// overload counts the requests of callers that send more than the slots can serve.
type overload struct {
	mu   sync.Mutex
	done map[model.WorkspaceID]int
}

// call sends one request of a workspace and waits for its end. The server needs hold
// for it, and the caller gives up after 500 ms.
func (o *overload) call(p *Pool, workspace model.WorkspaceID, share int64, hold time.Duration) {
	const patience = 500 * time.Millisecond
	req := slotRequestIn(patience)
	req.Workspace, req.Share, req.MaxWaiting = workspace, share, 100
	ctx, cancel := context.WithDeadline(context.Background(), req.Deadline)
	defer cancel()
	slot, err := p.Acquire(ctx, req)
	if err != nil {
		time.Sleep(10 * time.Millisecond)
		return
	}
	if left := time.Until(req.Deadline); left < hold {
		time.Sleep(left)
		slot.ReleaseAfterAbort()
		return
	}
	time.Sleep(hold)
	slot.ReleaseDone()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.done[workspace]++
}

// TestOverloadIsSharedAndServed plays an overload through the queue: 24 callers of each
// of two workspaces with the shares 3:1, whose requests get a turn shortly before or
// after their deadline. Slots must not be spent on requests that can't end in time, and
// what is served must follow the shares.
func TestOverloadIsSharedAndServed(t *testing.T) {
	const slots, period = 4, 4 * time.Second
	for _, hold := range []time.Duration{10 * time.Millisecond, 24 * time.Millisecond, 60 * time.Millisecond} {
		t.Run(hold.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, state := newTestPool(slots)
				o := &overload{done: map[model.WorkspaceID]int{}}
				ends := time.Now().Add(period)
				var wg sync.WaitGroup
				for workspace, share := range map[model.WorkspaceID]int64{"vets": 3, "shop": 1} {
					for range 24 {
						wg.Go(func() {
							for time.Now().Before(ends) {
								o.call(p, workspace, share, hold)
							}
						})
					}
				}
				wg.Go(func() {
					for time.Now().Before(ends) {
						time.Sleep(200 * time.Millisecond)
						syncPool(p, state)
					}
				})
				wg.Wait()
				capacity := slots * int(period/hold)
				vets, shop := o.done["vets"], o.done["shop"]
				t.Logf("%d of %d served, %d and %d", vets+shop, capacity, vets, shop)
				qt.Check(t, 10*(vets+shop) >= 9*capacity, qt.IsTrue)
				qt.Check(t, vets >= 2*shop && vets <= 4*shop, qt.IsTrue)
			})
		})
	}
}

// TestSlotValid checks Slot.Valid, the check right before a request is sent, after
// the lease, the grant or the announced deadline has changed.
func TestSlotValid(t *testing.T) {
	cases := []struct {
		name   string
		change func(p *Pool, state *api.EntryState)
		want   bool
	}{
		{"nothing changed", func(*Pool, *api.EntryState) {}, true},
		{"lease ended", func(*Pool, *api.EntryState) { time.Sleep(2 * time.Second) }, false},
		{"lease renewed", func(p *Pool, s *api.EntryState) {
			time.Sleep(time.Second)
			syncPool(p, s)
			time.Sleep(time.Second)
		}, true},
		{"grant gone", func(p *Pool, s *api.EntryState) {
			s.Slots = nil
			syncPool(p, s)
		}, false},
		{"server leaving", func(p *Pool, s *api.EntryState) {
			s.Slots[0].Leaving = true
			syncPool(p, s)
		}, false},
		{"only shorter deadlines announced to the group", func(p *Pool, s *api.EntryState) {
			p.longest = longestDeadline{}
			syncPool(p, s)
		}, false},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, state := newTestPool(1)
				deadline := time.Now().Add(10 * time.Second)
				slot, err := p.Acquire(context.Background(), slotRequestIn(10*time.Second))
				qt.Assert(t, err, qt.IsNil)
				k.change(p, state)
				qt.Assert(t, slot.Valid(deadline), qt.Equals, k.want)
			})
		})
	}
}

// TestReturnsAreRepeated checks that returned slots are sent again until a sync
// that carried them has a response, even if the slot lease ends in the meantime.
func TestReturnsAreRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, state := newTestPool(3)
		state.Slots[0].Recall = 2
		syncPool(p, state)
		lost := syncPool(p, nil)
		qt.Assert(t, lost.Returned, qt.HasLen, 1)
		qt.Assert(t, lost.Returned[0].Slots, qt.Equals, 2)
		qt.Assert(t, lost.Returned[0].Epoch, qt.Equals, model.Epoch(1))
		time.Sleep(3 * time.Second)
		state.Slots[0].Slots, state.Slots[0].Recall, state.Slots[0].Epoch = 1, 0, 2
		again := syncPool(p, state)
		qt.Assert(t, again.Returned, qt.DeepEquals, lost.Returned)
		qt.Assert(t, syncPool(p, state).Returned, qt.HasLen, 0)
		qt.Assert(t, p.Load().Slots, qt.Equals, 1)
	})
}

// TestViewRevisionNeverDecreases checks that a sync with a kqcontrol whose view is
// older doesn't replace the view in force.
func TestViewRevisionNeverDecreases(t *testing.T) {
	rt := New(Config{DC: "a", Clock: &clock.Manual{}, Dial: DialTCP(""), Log: zap.NewNop(), RequestSync: func() {}, MaxInFlight: 1})
	for _, revision := range []uint64{5, 4, 6, 1} {
		rt.ApplySync(0, &api.EntryState{Revision: revision, View: &api.EntryView{Revision: revision}})
	}
	qt.Assert(t, rt.Revision(), qt.Equals, uint64(6))
}
