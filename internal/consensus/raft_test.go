package consensus

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/clock"
)

const testTick = 50 * time.Millisecond

func testOptions(self ID) Options {
	return Options{
		Self: self, Rand: rand.New(rand.NewPCG(uint64(self), 1)), Tick: testTick,
		ElectionTicks: 20, HeartbeatTicks: 3, LearnerHeartbeatTicks: 12,
		DriftMargin: 100 * time.Millisecond, MaxAppendBytes: 1 << 10, ChunkBytes: 1 << 10,
	}
}

// threeVoters returns the persisted state of a member of a group of three, whose
// last entry is of term 2.
func threeVoters(t *testing.T) State {
	data, err := Encode(Members{{ID: 1, VM: "a"}, {ID: 2, VM: "b"}, {ID: 3, VM: "c"}})
	qt.Assert(t, err, qt.IsNil)
	return State{
		HardState: HardState{Term: 3},
		Entries: []Entry{
			{Index: 1, Term: 1, Kind: EntryMembers, Data: data},
			{Index: 2, Term: 2, Kind: EntryCommand, Data: []byte("old")},
		},
	}
}

// drain persists all output and returns the messages in it.
func drain(r *Raft) []Message {
	var ms []Message
	for r.HasOutput() {
		out := r.Take()
		r.Persisted()
		ms = append(ms, out.Messages...)
	}
	return ms
}

// tickUntil ticks until cond is true and returns the messages sent meanwhile.
func tickUntil(t *testing.T, r *Raft, now *clock.Instant, cond func() bool) []Message {
	t.Helper()
	var ms []Message
	for range 200 {
		if cond() {
			return ms
		}
		*now = now.Add(testTick)
		r.Tick(*now)
		ms = append(ms, drain(r)...)
	}
	t.Fatal("condition not met after 200 ticks")
	return nil
}

// elect makes r the leader with its own vote and that of member 2.
func elect(t *testing.T, r *Raft, now *clock.Instant) {
	t.Helper()
	tickUntil(t, r, now, func() bool { return r.role == preCandidate })
	r.Step(*now, Message{Kind: MsgPreVoteReply, From: 2, To: 1, Term: r.term + 1})
	drain(r)
	r.Step(*now, Message{Kind: MsgVoteReply, From: 2, To: 1, Term: r.term})
	drain(r)
	qt.Assert(t, r.IsLeader(), qt.IsTrue)
}

// TestEarlierTermCommitsWithCurrentTerm checks that an entry of an earlier term
// is not committed just because a quorum has it: a leader of a later term could
// still overwrite it (figure 3.7 of the dissertation). It is committed with an
// entry of the leader's own term.
func TestEarlierTermCommitsWithCurrentTerm(t *testing.T) {
	cases := []struct {
		name     string
		disabled Protection
		want     uint64
	}{
		{"protected", 0, 0},
		{"unprotected", ProtectTermCommit, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o, now := testOptions(1), clock.Instant(0)
			o.Disabled = c.disabled
			r := New(o, threeVoters(t), now)
			elect(t, r, &now)
			r.Step(now, Message{Kind: MsgAppendReply, From: 2, To: 1, Term: r.term, Index: 2})
			drain(r)
			qt.Assert(t, r.Commit(), qt.Equals, c.want)
			r.Step(now, Message{Kind: MsgAppendReply, From: 2, To: 1, Term: r.term, Index: 3})
			drain(r)
			qt.Assert(t, r.Commit(), qt.Equals, uint64(3))
		})
	}
}

// TestSuspendedLeaderLosesLease checks that the lease runs from the start of the
// heartbeat round, not from the reply to it, and that a leader that was
// suspended finds its lease expired as soon as it gets the current instant.
func TestSuspendedLeaderLosesLease(t *testing.T) {
	now := clock.Instant(0)
	r := New(testOptions(1), threeVoters(t), now)
	elect(t, r, &now)
	roundStart := now
	qt.Assert(t, r.LeaseUntil(), qt.Equals, clock.Instant(0))
	replyTime := now.Add(300 * time.Millisecond)
	r.Step(replyTime, Message{Kind: MsgAppendReply, From: 2, To: 1, Term: r.term, Index: 3, Round: 1})
	drain(r)
	qt.Assert(t, r.LeaseUntil(), qt.Equals, roundStart.Add(900*time.Millisecond))
	r.Tick(roundStart.Add(time.Hour))
	qt.Assert(t, r.LeaseUntil() < roundStart.Add(time.Hour), qt.IsTrue)
}

// TestVoteConditions checks which vote unreachableAtRequest are granted.
func TestVoteConditions(t *testing.T) {
	const window = 1100 * time.Millisecond
	vote := Message{Kind: MsgVote, From: 3, To: 1, Term: 4, Index: 2, LogTerm: 2}
	cases := []struct {
		name   string
		modify func(*Message)
		wait   bool
		want   bool
	}{
		{"up-to-date log", func(*Message) {}, true, true},
		{"just after a restart", func(*Message) {}, false, false},
		{"just after a restart, leadership transfer", func(m *Message) { m.Transfer = true }, false, true},
		{"shorter log", func(m *Message) { m.Index = 1 }, true, false},
		{"last entry of an earlier term", func(m *Message) { m.LogTerm, m.Index = 1, 9 }, true, false},
		{"earlier term", func(m *Message) { m.Term = 2 }, true, false},
		{"addressed to another incarnation", func(m *Message) { m.To = 9 }, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := clock.Instant(0)
			r := New(testOptions(1), threeVoters(t), now)
			if c.wait {
				// No leader contacts the member, and its election timer is long.
				r.timeout = 1000
				end := now.Add(window)
				tickUntil(t, r, &now, func() bool { return now >= end })
			}
			m := vote
			c.modify(&m)
			r.Step(now, m)
			granted := false
			for _, out := range drain(r) {
				granted = granted || (out.Kind == MsgVoteReply && !out.Reject)
			}
			qt.Assert(t, granted, qt.Equals, c.want)
		})
	}
}

// TestClockJumpDoesNotAllowVote checks that a clock that jumps ahead does not
// make a member grant a vote while a leader may hold a lease.
func TestClockJumpDoesNotAllowVote(t *testing.T) {
	r := New(testOptions(1), threeVoters(t), 0)
	r.Step(clock.Instant(time.Hour), Message{Kind: MsgVote, From: 3, To: 1, Term: 4, Index: 2, LogTerm: 2})
	qt.Assert(t, drain(r), qt.HasLen, 0)
}

// TestWitnessCountsWhenVoterMissesHeartbeats checks that the acknowledgement of
// a witness commits an entry only after the other voter has missed several
// heartbeats.
func TestWitnessCountsWhenVoterMissesHeartbeats(t *testing.T) {
	st, now := threeVoters(t), clock.Instant(0)
	data, err := Encode(Members{{ID: 1}, {ID: 2}, {ID: 3, Witness: true}})
	qt.Assert(t, err, qt.IsNil)
	st.Entries[0].Data = data
	r := New(testOptions(1), st, now)
	elect(t, r, &now)
	ack := Message{Kind: MsgAppendReply, From: 3, To: 1, Term: r.term, Index: 3, Round: 1}
	r.Step(now, ack)
	drain(r)
	qt.Assert(t, r.Commit(), qt.Equals, uint64(0))
	tickUntil(t, r, &now, func() bool { return r.Commit() == 3 })
	qt.Assert(t, r.IsLeader(), qt.IsTrue)
}

func TestBacklogIsBounded(t *testing.T) {
	now := clock.Instant(0)
	r := New(testOptions(1), threeVoters(t), now)
	elect(t, r, &now)
	accepted := 0
	for ; accepted <= maxUncommitted; accepted++ {
		if _, err := r.Propose([]byte("x")); err != nil {
			qt.Assert(t, err, qt.Equals, ErrBacklog)
			break
		}
	}
	qt.Assert(t, accepted < maxUncommitted, qt.IsTrue)
}

// TestNoSnapshotForUnreachableMember checks that a leader makes no snapshots for
// a member that does not reply.
func TestNoSnapshotForUnreachableMember(t *testing.T) {
	now := clock.Instant(0)
	r := New(testOptions(1), threeVoters(t), now)
	elect(t, r, &now)
	unreachableAtRequest := 0
	for range 5 * r.opts.ElectionTicks {
		_, err := r.Propose([]byte("x"))
		qt.Assert(t, err, qt.IsNil)
		now = now.Add(testTick)
		r.Tick(now)
		for r.HasOutput() {
			out := r.Take()
			r.Persisted()
			if !out.WantSnapshot {
				continue
			}
			unreachableAtRequest += len(r.Unreachable())
			r.OfferSnapshot(r.SnapshotHeader())
		}
		r.Compact(0)
		r.Step(now, Message{
			Kind: MsgAppendReply, From: 2, To: 1, Term: r.term,
			Index: r.Last(), Round: r.leaderState.heartbeats.newest,
		})
	}
	qt.Assert(t, r.Unreachable(), qt.DeepEquals, []ID{3})
	qt.Assert(t, unreachableAtRequest, qt.Equals, 0)
	qt.Assert(t, r.leaderState.snapshot, qt.IsNil)
}

// TestLearnerForgetsLostLeader guards against a learner that names a leader which it no
// longer hears: it never campaigns, and so nothing else makes it forget that leader.
func TestLearnerForgetsLostLeader(t *testing.T) {
	state, err := Bootstrap(Member{ID: 1, VM: "a"}, Member{ID: 2, VM: "b", Learner: true}, Member{ID: 3, VM: "c"})
	qt.Assert(t, err, qt.IsNil)
	now := clock.Instant(0)
	r := New(testOptions(2), state, now)
	r.Step(now, Message{Kind: MsgAppend, From: 1, To: 2, Term: 2, Index: 1, LogTerm: 1, Round: 1})
	qt.Assert(t, r.Leader(), qt.Equals, ID(1))
	for range 2 * r.opts.ElectionTicks {
		now = now.Add(testTick)
		r.Tick(now)
	}
	qt.Check(t, r.Leader(), qt.Equals, None)
	r.Step(now, Message{Kind: MsgAppend, From: 1, To: 2, Term: 2, Index: 1, LogTerm: 1, Round: 2})
	qt.Check(t, r.Leader(), qt.Equals, ID(1))
}

// newLeader returns the leader of a group of three after member 2 has
// acknowledged the first entry of the term.
func newLeader(t *testing.T) *Raft {
	now := clock.Instant(0)
	r := New(testOptions(1), threeVoters(t), now)
	elect(t, r, &now)
	r.Step(now, Message{Kind: MsgAppendReply, From: 2, To: 1, Term: r.term, Index: 3, Round: 1})
	drain(r)
	return r
}

func TestMembershipChanges(t *testing.T) {
	add := func(m Member) func(*Raft) (uint64, error) {
		return func(r *Raft) (uint64, error) { return r.AddLearner(m) }
	}
	remove := func(id ID) func(*Raft) (uint64, error) {
		return func(r *Raft) (uint64, error) { return r.Remove(id) }
	}
	promote := func(id ID) func(*Raft) (uint64, error) {
		return func(r *Raft) (uint64, error) { return r.Promote(id) }
	}
	cases := []struct {
		name string
		call func(*Raft) (uint64, error)
		err  error
		want Members
	}{
		{"add", add(Member{ID: 4, VM: "d"}), nil, Members{
			{ID: 1, VM: "a"}, {ID: 2, VM: "b"}, {ID: 3, VM: "c"}, {ID: 4, VM: "d", Learner: true},
		}},
		{"replace on the same VM", add(Member{ID: 4, VM: "c"}), nil, Members{
			{ID: 1, VM: "a"}, {ID: 2, VM: "b"}, {ID: 4, VM: "c", Learner: true},
		}},
		{"new address", add(Member{ID: 3, VM: "c", Addr: "x"}), nil, Members{
			{ID: 1, VM: "a"}, {ID: 2, VM: "b"}, {ID: 3, VM: "c", Addr: "x"},
		}},
		{"replace the leader", add(Member{ID: 4, VM: "a"}), ErrRemoveLeader, nil},
		{"remove", remove(3), nil, Members{{ID: 1, VM: "a"}, {ID: 2, VM: "b"}}},
		{"remove the leader", remove(1), ErrRemoveLeader, nil},
		{"remove an unknown member", remove(9), ErrUnknownMember, nil},
		{"promote an unknown member", promote(9), ErrUnknownMember, nil},
		{"promote a voter", promote(3), nil, Members{{ID: 1, VM: "a"}, {ID: 2, VM: "b"}, {ID: 3, VM: "c"}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newLeader(t)
			_, err := c.call(r)
			qt.Assert(t, err, qt.Equals, c.err)
			if err != nil {
				return
			}
			qt.Assert(t, r.Members(), qt.DeepEquals, c.want)
			if r.Last() > r.Commit() {
				_, err = r.Remove(2)
				qt.Assert(t, err, qt.Equals, ErrChangePending)
			}
		})
	}
}

func TestLaggingLearnerIsNotPromoted(t *testing.T) {
	r := newLeader(t)
	_, err := r.AddLearner(Member{ID: 4, VM: "d"})
	qt.Assert(t, err, qt.IsNil)
	drain(r)
	r.Step(r.now, Message{Kind: MsgAppendReply, From: 2, To: 1, Term: r.term, Index: r.Last(), Round: 1})
	drain(r)
	_, err = r.Promote(4)
	qt.Assert(t, err, qt.Equals, ErrLearnerLagging)
	r.Step(r.now, Message{Kind: MsgAppendReply, From: 4, To: 1, Term: r.term, Index: r.Last(), Round: 1})
	drain(r)
	_, err = r.Promote(4)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.Members().Quorum(), qt.Equals, 3)
}

// TestLearnersGetEntriesInBatches checks that entries are sent to voters at
// once, and to a learner that keeps up in batches.
func TestLearnersGetEntriesInBatches(t *testing.T) {
	r := newLeader(t)
	r.opts.LearnerBatchTicks = r.opts.HeartbeatTicks
	_, err := r.AddLearner(Member{ID: 4, VM: "d"})
	qt.Assert(t, err, qt.IsNil)
	reply := func(from ID) {
		r.Step(r.now, Message{Kind: MsgAppendReply, From: from, To: 1, Term: r.term, Index: r.Last(), Round: 1})
		drain(r)
	}
	drain(r)
	reply(2)
	reply(4)
	sent := map[ID]int{}
	count := func() {
		for r.HasOutput() {
			out := r.Take()
			r.Persisted()
			for _, m := range out.Messages {
				if len(m.Entries) > 0 {
					sent[m.To] += len(m.Entries)
				}
			}
		}
	}
	const commands = 5
	r.leaderState.peer(4).lastSendTick = r.ticks
	for range commands {
		_, err := r.Propose([]byte("c"))
		qt.Assert(t, err, qt.IsNil)
		count()
	}
	qt.Assert(t, sent[2], qt.Equals, commands)
	qt.Assert(t, sent[4], qt.Equals, 0, qt.Commentf("learner got entries before the batch interval had passed"))
	for range r.opts.HeartbeatTicks {
		r.Tick(r.now)
	}
	count()
	qt.Assert(t, sent[4], qt.Equals, commands)
}
