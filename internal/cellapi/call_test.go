package cellapi

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"kumquatwing/internal/clock"
	"kumquatwing/internal/codec"
	"kumquatwing/internal/verdict"
)

// virtualClock is a clock on the virtual time of testing/synctest.
type virtualClock struct{ start time.Time }

func (c virtualClock) Now() clock.Instant { return clock.Instant(time.Hour + time.Since(c.start)) }

// fakeCell is a transport to five control processes of which one leads.
type fakeCell struct {
	mu     sync.Mutex
	leader string
	term   uint64
	// silent holds the processes that receive requests and never answer, and refusing
	// those to which no connection can be opened.
	silent, refusing map[string]bool
	// slow delays the answers of the leader.
	slow time.Duration
	// received counts the calls that a process received, pings excluded.
	received map[string]int
	// answeredRepeated says that the last answered submission was marked as repeated.
	answeredRepeated bool
}

const fakeControls = 5

func newFakeCell() *fakeCell {
	return &fakeCell{leader: controlAddr(0), term: 1, silent: map[string]bool{}, refusing: map[string]bool{}, received: map[string]int{}}
}

func controlAddr(i int) string { return fmt.Sprint("c", i) }

func (f *fakeCell) newClient() *Client {
	var seeds []string
	for i := range fakeControls {
		seeds = append(seeds, controlAddr(i))
	}
	return newClient(f, seeds, virtualClock{time.Now()}, zap.NewNop())
}

// set changes the cell.
func (f *fakeCell) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// count returns the calls that the processes received.
func (f *fakeCell) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, k := range f.received {
		n += k
	}
	return n
}

// CallRaw implements transport.
func (f *fakeCell) CallRaw(ctx context.Context, addr, topic string, body []byte) ([]byte, error) {
	f.mu.Lock()
	if topic != topicPing && !f.refusing[addr] {
		f.received[addr]++
	}
	silent, refusing, leads, slow := f.silent[addr], f.refusing[addr], f.leader == addr, f.slow
	ping := PingReply{Leader: f.leader, Term: f.term}
	f.mu.Unlock()
	switch {
	case refusing:
		return nil, verdict.Refuse(verdict.ReasonUnreachable, "connection refused")
	case silent:
		<-ctx.Done()
		return nil, verdict.RefuseMayHaveRun(verdict.ReasonDeadline, "no reply")
	case topic == topicPing:
		return codec.Marshal(&ping)
	case !leads:
		return nil, verdict.Refuse(verdict.ReasonNotLeader, "this process does not lead")
	}
	time.Sleep(slow)
	var req SubmitRequest
	if err := codec.Unmarshal(body, &req); err != nil {
		return nil, err
	}
	f.set(func() { f.answeredRepeated = req.Repeated })
	return codec.Marshal(&SubmitReply{})
}

// submitResult is the outcome of a call that a test made.
type submitResult struct {
	at, took time.Duration
	refusal  *verdict.Refusal
}

// submitEvery makes a call every interval for the given period, each with a deadline of
// 2.8 s, and returns the results in the order of the calls.
func submitEvery(c *Client, interval, period time.Duration) []submitResult {
	results := make([]submitResult, int(period/interval))
	var wg sync.WaitGroup
	start := time.Now()
	for i := range results {
		wg.Go(func() {
			r := &results[i]
			r.at = time.Duration(i) * interval
			time.Sleep(r.at)
			ctx, cancel := context.WithTimeout(context.Background(), 2800*time.Millisecond)
			defer cancel()
			_, err := c.Submit(ctx, &SubmitRequest{})
			r.took, r.refusal = time.Since(start)-r.at, verdict.FromError(err)
		})
	}
	wg.Wait()
	time.Sleep(lookupRounds*lookupInterval + pingTimeout)
	return results
}

// TestCallsFollowANewLeader plays calls while the leader is lost and another one is
// elected 0.7 s later: all are accepted soon after the election, whether the lost leader
// is silent, as when it is frozen or cut off, or refuses connections. The load is that of
// one entry VM.
func TestCallsFollowANewLeader(t *testing.T) {
	const lostAt, election = time.Second, 700 * time.Millisecond
	for _, name := range []string{"silent", "refusing"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeCell()
				c := f.newClient()
				time.AfterFunc(lostAt, func() {
					f.set(func() {
						if name == "silent" {
							f.silent[controlAddr(0)] = true
						} else {
							f.refusing[controlAddr(0)] = true
						}
						f.leader = ""
					})
				})
				time.AfterFunc(lostAt+election, func() {
					f.set(func() { f.leader, f.term = controlAddr(3), 2 })
				})
				for _, r := range submitEvery(c, 50*time.Millisecond, 4*time.Second) {
					qt.Check(t, r.refusal == nil, qt.IsTrue, qt.Commentf("at %v: %v", r.at, r.refusal))
					elected := max(0, lostAt+election-r.at)
					if r.at+200*time.Millisecond < lostAt {
						elected = 0
					}
					qt.Check(t, r.took <= elected+450*time.Millisecond, qt.IsTrue, qt.Commentf("at %v: took %v", r.at, r.took))
				}
			})
		})
	}
}

// TestCutOffCallsAreNotSent plays calls to a client that is cut off from all control
// processes but one, which knows no leader: calls that could only be sent into the cut
// are refused as not run, and soon, so that their callers try elsewhere.
func TestCutOffCallsAreNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeCell()
		c := f.newClient()
		const interval, cutAt = 100 * time.Millisecond, 1050 * time.Millisecond
		time.AfterFunc(cutAt, func() {
			f.set(func() {
				for i := range fakeControls - 1 {
					f.silent[controlAddr(i)] = true
				}
				f.leader = ""
			})
		})
		uncertain, notRun := 0, 0
		for _, r := range submitEvery(c, interval, 5*time.Second) {
			switch {
			case r.at < 800*time.Millisecond:
				qt.Check(t, r.refusal == nil, qt.IsTrue, qt.Commentf("at %v: %v", r.at, r.refusal))
			case r.refusal == nil:
			case r.refusal.Verdict == verdict.NotRun:
				notRun++
				qt.Check(t, r.took <= leaderWait, qt.IsTrue, qt.Commentf("at %v: took %v", r.at, r.took))
			default:
				uncertain++
				qt.Check(t, r.at < cutAt+interval+silenceTolerance, qt.IsTrue, qt.Commentf("a call at %v was sent into the cut", r.at))
			}
		}
		t.Logf("%d not run, %d may have run", notRun, uncertain)
		qt.Check(t, notRun >= 30, qt.IsTrue)
		qt.Check(t, c.Ready(), qt.IsFalse)
	})
}

// TestCallsFailFastWhileNothingAnswers checks that calls are refused at once while no
// control process answers, and accepted soon after one does again.
func TestCallsFailFastWhileNothingAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeCell()
		c := f.newClient()
		cut := func(on bool) func() {
			return func() {
				f.set(func() {
					for i := range fakeControls {
						f.refusing[controlAddr(i)] = on
					}
				})
			}
		}
		cut(true)()
		time.AfterFunc(3*time.Second, cut(false))
		for _, r := range submitEvery(c, 100*time.Millisecond, 5*time.Second) {
			if r.at < 2500*time.Millisecond && r.at > 200*time.Millisecond {
				qt.Assert(t, r.refusal != nil, qt.IsTrue, qt.Commentf("at %v", r.at))
				qt.Check(t, r.refusal.Verdict, qt.Equals, verdict.NotRun)
				qt.Check(t, r.took < 50*time.Millisecond, qt.IsTrue, qt.Commentf("at %v: took %v", r.at, r.took))
			}
			if r.at > 3300*time.Millisecond {
				qt.Check(t, r.refusal == nil, qt.IsTrue, qt.Commentf("at %v: %v", r.at, r.refusal))
			}
		}
	})
}

// TestSlowLeaderGetsEachCallOnce checks that a leader that answers late is not sent a
// call again, directly or through another process.
func TestSlowLeaderGetsEachCallOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeCell()
		f.slow = 500 * time.Millisecond
		c := f.newClient()
		results := submitEvery(c, 100*time.Millisecond, 3*time.Second)
		for _, r := range results {
			qt.Check(t, r.refusal == nil, qt.IsTrue, qt.Commentf("at %v: %v", r.at, r.refusal))
		}
		qt.Check(t, f.count(), qt.Equals, len(results))
	})
}

// TestReadsAreNeverUncertain checks that a read without an answer is refused as not run:
// it changes nothing.
func TestReadsAreNeverUncertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeCell()
		c := f.newClient()
		_, err := c.Submit(context.Background(), &SubmitRequest{})
		qt.Assert(t, err, qt.IsNil)
		f.set(func() {
			for i := range fakeControls {
				f.silent[controlAddr(i)] = true
			}
		})
		ctx, cancel := context.WithTimeout(context.Background(), 2800*time.Millisecond)
		defer cancel()
		_, err = c.Job(ctx, &JobRequest{})
		qt.Check(t, verdict.FromError(err).Verdict, qt.Equals, verdict.NotRun)
		_, err = c.Submit(ctx, &SubmitRequest{})
		qt.Check(t, verdict.FromError(err).Verdict, qt.Equals, verdict.NotRun, qt.Commentf("not sent"))
		time.Sleep(lookupRounds*lookupInterval + pingTimeout)
	})
}

// TestAttemptsAfterALostReplyAreMarked guards against a leader that can't tell a first
// attempt at a submission from one that follows on a lost reply.
func TestAttemptsAfterALostReplyAreMarked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeCell()
		c := f.newClient()
		submit := func() {
			_, err := c.Submit(t.Context(), &SubmitRequest{ID: "j"})
			qt.Assert(t, err, qt.IsNil)
		}
		submit()
		qt.Check(t, f.answeredRepeated, qt.IsFalse)
		f.silent[controlAddr(0)] = true
		time.AfterFunc(300*time.Millisecond, func() {
			f.set(func() { f.leader, f.term = controlAddr(3), 2 })
		})
		submit()
		qt.Check(t, f.answeredRepeated, qt.IsTrue)
		time.Sleep(lookupRounds*lookupInterval + pingTimeout)
	})
}
