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
		ElectionTicks: 20, HeartbeatTicks: 3, LearnerTicks: 12,
		DriftMargin: 100 * time.Millisecond, MaxAppendBytes: 1 << 10, ChunkBytes: 1 << 10,
	}
}

// threeVoters is the state of a member of three after an entry of term 2.
func threeVoters(t *testing.T) State {
	data, err := Encode(Members{{ID: 1, VM: "a"}, {ID: 2, VM: "b"}, {ID: 3, VM: "c"}})
	qt.Assert(t, err, qt.IsNil)
	return State{
		Hard: HardState{Term: 3},
		Entries: []Entry{
			{Index: 1, Term: 1, Kind: EntryMembers, Data: data},
			{Index: 2, Term: 2, Kind: EntryCommand, Data: []byte("old")},
		},
	}
}

// drain persists everything and returns the messages.
func drain(r *Raft) []Message {
	var ms []Message
	for r.HasOutput() {
		out := r.Take()
		r.Persisted()
		ms = append(ms, out.Messages...)
	}
	return ms
}

// tickUntil ticks until cond holds and returns the messages.
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
	t.Fatal("condition does not come true")
	return nil
}

// elect makes r lead by votes of member 2.
func elect(t *testing.T, r *Raft, now *clock.Instant) {
	t.Helper()
	tickUntil(t, r, now, func() bool { return r.role == preCandidate })
	r.Step(*now, Message{Kind: MsgPreVoteReply, From: 2, To: 1, Term: r.term + 1})
	drain(r)
	r.Step(*now, Message{Kind: MsgVoteReply, From: 2, To: 1, Term: r.term})
	drain(r)
	qt.Assert(t, r.IsLeader(), qt.IsTrue)
}

// TestOldTermsCommitWithOwn shows figure 3.7 of the dissertation: an entry of
// an earlier term on a quorum may still be replaced.
func TestOldTermsCommitWithOwn(t *testing.T) {
	cases := []struct {
		name    string
		without Protection
		want    uint64
	}{
		{"protected", 0, 0},
		{"unprotected", ProtectTermCommit, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o, now := testOptions(1), clock.Instant(0)
			o.Without = c.without
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

// TestLeaseOfFrozenLeader checks the lease's end against the driver's clock.
func TestLeaseOfFrozenLeader(t *testing.T) {
	now := clock.Instant(0)
	r := New(testOptions(1), threeVoters(t), now)
	elect(t, r, &now)
	began := now
	qt.Assert(t, r.LeaseUntil(), qt.Equals, clock.Instant(0))
	late := now.Add(300 * time.Millisecond)
	r.Step(late, Message{Kind: MsgAppendReply, From: 2, To: 1, Term: r.term, Index: 3, Round: 1})
	drain(r)
	qt.Assert(t, r.LeaseUntil(), qt.Equals, began.Add(900*time.Millisecond))
	r.Tick(began.Add(time.Hour))
	qt.Assert(t, r.LeaseUntil() < began.Add(time.Hour), qt.IsTrue)
}

// TestVotes checks who is given a vote.
func TestVotes(t *testing.T) {
	const window = 1100 * time.Millisecond
	vote := Message{Kind: MsgVote, From: 3, To: 1, Term: 4, Index: 2, LogTerm: 2}
	cases := []struct {
		name   string
		change func(*Message)
		wait   bool
		want   bool
	}{
		{"whole log", func(*Message) {}, true, true},
		{"soon after a start", func(*Message) {}, false, false},
		{"soon, asked for by the leader", func(m *Message) { m.Transfer = true }, false, true},
		{"shorter log", func(m *Message) { m.Index = 1 }, true, false},
		{"older last term", func(m *Message) { m.LogTerm, m.Index = 1, 9 }, true, false},
		{"stale term", func(m *Message) { m.Term = 2 }, true, false},
		{"for another incarnation", func(m *Message) { m.To = 9 }, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := clock.Instant(0)
			r := New(testOptions(1), threeVoters(t), now)
			if c.wait {
				// The member hears nobody, but has not begun an election yet.
				r.timeout = 1000
				end := now.Add(window)
				tickUntil(t, r, &now, func() bool { return now >= end })
			}
			m := vote
			c.change(&m)
			r.Step(now, m)
			granted := false
			for _, out := range drain(r) {
				granted = granted || (out.Kind == MsgVoteReply && !out.Reject)
			}
			qt.Assert(t, granted, qt.Equals, c.want)
		})
	}
}

// TestClockStepKeepsWindow shows that an instant far ahead alone ends no
// other member's lease.
func TestClockStepKeepsWindow(t *testing.T) {
	r := New(testOptions(1), threeVoters(t), 0)
	r.Step(clock.Instant(time.Hour), Message{Kind: MsgVote, From: 3, To: 1, Term: 4, Index: 2, LogTerm: 2})
	qt.Assert(t, drain(r), qt.HasLen, 0)
}

// TestWitnessCountsWhenAVoterIsLate shows which members' entries commit.
func TestWitnessCountsWhenAVoterIsLate(t *testing.T) {
	st, now := threeVoters(t), clock.Instant(0)
	data, err := Encode(Members{{ID: 1}, {ID: 2}, {ID: 3, Witness: true}})
	qt.Assert(t, err, qt.IsNil)
	st.Entries[0].Data = data
	r := New(testOptions(1), st, now)
	elect(t, r, &now)
	fromWitness := Message{Kind: MsgAppendReply, From: 3, To: 1, Term: r.term, Index: 3, Round: 1}
	r.Step(now, fromWitness)
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

// TestNoSnapshotForSilentMember shows that a member that is gone costs its
// leader no snapshots.
func TestNoSnapshotForSilentMember(t *testing.T) {
	now := clock.Instant(0)
	r := New(testOptions(1), threeVoters(t), now)
	elect(t, r, &now)
	wanted := 0
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
			wanted += len(r.Late())
			r.OfferSnapshot(r.SnapshotAt())
		}
		r.Compact(0)
		r.Step(now, Message{
			Kind: MsgAppendReply, From: 2, To: 1, Term: r.term,
			Index: r.Last(), Round: r.lead.beats.newest,
		})
	}
	qt.Assert(t, r.Late(), qt.DeepEquals, []ID{3})
	qt.Assert(t, wanted, qt.Equals, 0)
	qt.Assert(t, r.lead.snapshot, qt.IsNil)
}

// lead returns a leader of three whose first entry and peer 2 are caught up.
func lead(t *testing.T) *Raft {
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
		{"replace the leader", add(Member{ID: 4, VM: "a"}), ErrSelf, nil},
		{"remove", remove(3), nil, Members{{ID: 1, VM: "a"}, {ID: 2, VM: "b"}}},
		{"remove the leader", remove(1), ErrSelf, nil},
		{"remove a stranger", remove(9), ErrUnknown, nil},
		{"promote a stranger", promote(9), ErrUnknown, nil},
		{"promote a voter", promote(3), nil, Members{{ID: 1, VM: "a"}, {ID: 2, VM: "b"}, {ID: 3, VM: "c"}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := lead(t)
			_, err := c.call(r)
			qt.Assert(t, err, qt.Equals, c.err)
			if err != nil {
				return
			}
			qt.Assert(t, r.Members(), qt.DeepEquals, c.want)
			if r.Last() > r.Commit() {
				_, err = r.Remove(2)
				qt.Assert(t, err, qt.Equals, ErrChanging)
			}
		})
	}
}

func TestLaggingLearnerIsNotPromoted(t *testing.T) {
	r := lead(t)
	_, err := r.AddLearner(Member{ID: 4, VM: "d"})
	qt.Assert(t, err, qt.IsNil)
	drain(r)
	r.Step(r.now, Message{Kind: MsgAppendReply, From: 2, To: 1, Term: r.term, Index: r.Last(), Round: 1})
	drain(r)
	_, err = r.Promote(4)
	qt.Assert(t, err, qt.Equals, ErrLagging)
	r.Step(r.now, Message{Kind: MsgAppendReply, From: 4, To: 1, Term: r.term, Index: r.Last(), Round: 1})
	drain(r)
	_, err = r.Promote(4)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.Members().Quorum(), qt.Equals, 3)
}

// A learner that keeps up gets entries in batches, and a voter at once.
func TestLearnersGetEntriesInBatches(t *testing.T) {
	r := lead(t)
	r.opts.LearnerPause = r.opts.HeartbeatTicks
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
	r.lead.peer(4).fedTick = r.ticks
	for range commands {
		_, err := r.Propose([]byte("c"))
		qt.Assert(t, err, qt.IsNil)
		count()
	}
	qt.Assert(t, sent[2], qt.Equals, commands)
	qt.Assert(t, sent[4], qt.Equals, 0, qt.Commentf("a learner got entries at once"))
	for range r.opts.HeartbeatTicks {
		r.Tick(r.now)
	}
	count()
	qt.Assert(t, sent[4], qt.Equals, commands)
}
