package consensus

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"kumquatwing/internal/clock"
)

// Protection is a set of safeguards.
type Protection uint

// The safeguards that a test may take out to show that it would notice.
const (
	// ProtectVoteWindow refuses votes while a leader was heard recently.
	ProtectVoteWindow Protection = 1 << iota
	// ProtectRestartWindow counts a restart as having heard a leader.
	ProtectRestartWindow
	// ProtectUpToDate refuses votes to candidates with an older log.
	ProtectUpToDate
	// ProtectLeaseEnd ends the leader lease without a quorum's replies.
	ProtectLeaseEnd
	// ProtectTermCommit commits entries of the leader's own term only.
	ProtectTermCommit
	// ProtectOneVote gives one vote a term.
	ProtectOneVote
	// ProtectTransferLease gives the lease up when leadership is handed over.
	ProtectTransferLease
)

// Options are a member's fixed parameters.
type Options struct {
	Self ID
	// Rand draws election timeouts.
	Rand *rand.Rand
	// Tick is the time between two calls of Tick.
	Tick time.Duration
	// ElectionTicks is the least election timeout; up to half is drawn on top.
	ElectionTicks int
	// HeartbeatTicks and LearnerTicks are the heartbeat intervals.
	HeartbeatTicks int
	LearnerTicks   int
	// LearnerPause is the least number of ticks between two batches of entries to
	// a learner that keeps up; 0 sends them at once.
	LearnerPause int
	// DriftMargin is taken off the leader lease for clocks that run unevenly.
	DriftMargin time.Duration
	// MaxAppendBytes and ChunkBytes bound one message.
	MaxAppendBytes int
	ChunkBytes     int
	// Without takes safeguards out; only tests set it.
	Without Protection
}

// electionTimeout is the least election timeout.
func (o *Options) electionTimeout() time.Duration {
	return time.Duration(o.ElectionTicks) * o.Tick
}

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// membersAt is the membership set by the entry at index.
type membersAt struct {
	index   uint64
	members Members
}

// Raft is one member's state. It is not safe for concurrent use.
type Raft struct {
	opts Options
	log  memLog

	term uint64
	vote ID
	// saved is the hard state that the driver has persisted.
	saved HardState

	role   role
	leader ID
	// configs are the memberships in the log, oldest first; the last is in use.
	configs []membersAt

	now   clock.Instant
	ticks int
	// elapsed counts ticks since the election timer was set to timeout.
	elapsed, timeout int
	// heardAt and heardTick are when a leader was last heard.
	heardAt   clock.Instant
	heardTick int

	votes    map[ID]bool
	transfer bool // the running campaign was asked for by the leader

	lead     leading
	incoming *incoming

	out Output
}

// Output is what the driver has to do, in the order of the fields.
type Output struct {
	// Install replaces the whole log and state machine.
	Install *Snapshot
	// Hard is set when it changed; Entries replace the log from the first
	// one's index on. Both must be synced before Messages leave.
	Hard    *HardState
	Entries []Entry
	// Messages are to be sent; each may be lost.
	Messages []Message
	// Committed entries are to be applied.
	Committed []Entry
	// Reads are read requests that can be answered now.
	Reads []Read
	// WantSnapshot asks for a call of OfferSnapshot.
	WantSnapshot bool
}

// New returns a member that starts from a persisted state.
func New(opts Options, st State, now clock.Instant) *Raft {
	r := &Raft{opts: opts, now: now, heardAt: now}
	if opts.Without&ProtectRestartWindow != 0 {
		r.heardAt = now.Add(-opts.electionTimeout())
		r.heardTick = -opts.ElectionTicks
	}
	r.log.reset(st.Snapshot.Index, st.Snapshot.Term)
	r.log.append(st.Entries...)
	r.log.persisted = r.log.last()
	r.log.commit = max(r.log.commit, min(st.Hard.Commit, r.log.last()))
	r.term, r.vote = st.Hard.Term, st.Hard.Vote
	r.saved = r.hard()
	r.configs = []membersAt{{st.Snapshot.Index, st.Snapshot.Members}}
	r.learnMembers(st.Entries)
	r.resetTimer()
	return r
}

// Found returns the state of a new group with the given voters. All of them
// must start from the same voters.
func Found(voters ...Member) (State, error) {
	ms := slices.Clone(Members(voters))
	slices.SortFunc(ms, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	data, err := Encode(ms)
	if err != nil {
		return State{}, err
	}
	return State{
		Hard:    HardState{Term: 1},
		Entries: []Entry{{Index: 1, Term: 1, Kind: EntryMembers, Data: data}},
	}, nil
}

func (r *Raft) hard() HardState {
	return HardState{Term: r.term, Vote: r.vote, Commit: r.log.commit}
}

// Tick moves the member's timers on; now is the driver's present instant.
func (r *Raft) Tick(now clock.Instant) {
	r.setNow(now)
	r.ticks++
	if r.role == leader {
		r.tickLeader()
		return
	}
	r.elapsed++
	if r.canCampaign() && r.due() {
		r.campaignBefore()
	}
}

// setNow never moves back.
func (r *Raft) setNow(now clock.Instant) { r.now = max(r.now, now) }

// HasOutput reports whether Take would return something to do.
func (r *Raft) HasOutput() bool {
	return r.out.Install != nil || len(r.out.Messages) > 0 || len(r.out.Reads) > 0 ||
		r.log.persisted < r.log.last() || r.hardChanged() ||
		r.log.handed < r.applicable() || r.wantsSnapshot()
}

// hardChanged ignores the commit index, which needs no sync of its own.
func (r *Raft) hardChanged() bool {
	return r.saved.Term != r.term || r.saved.Vote != r.vote
}

// applicable is the last index that is committed and persisted here.
func (r *Raft) applicable() uint64 { return min(r.log.commit, r.log.persisted) }

// Take returns what is to be done. The driver calls Persisted once Install,
// Hard and Entries are synced, and passes nothing else in before.
func (r *Raft) Take() Output {
	r.flush()
	out := r.out
	r.out = Output{}
	out.Entries = r.log.slice(r.log.persisted+1, r.log.last())
	if r.hardChanged() || len(out.Entries) > 0 || out.Install != nil {
		h := r.hard()
		out.Hard = &h
	}
	if to := r.applicable(); r.log.handed < to {
		out.Committed = r.log.slice(r.log.handed+1, to)
		r.log.handed = to
	}
	out.WantSnapshot = r.wantsSnapshot()
	return out
}

// TermSaved reports whether the present term and vote are persisted.
func (r *Raft) TermSaved() bool { return !r.hardChanged() }

// Persisted says that the last output's state is synced.
func (r *Raft) Persisted() {
	r.saved = r.hard()
	if r.log.persisted == r.log.last() {
		return
	}
	r.log.persisted = r.log.last()
	if r.role == leader {
		r.advanceCommit()
	}
}

// Step takes one message in.
func (r *Raft) Step(now clock.Instant, m Message) {
	r.setNow(now)
	if m.To != r.opts.Self || m.From == None {
		return
	}
	if isVote(m.Kind) && !m.Transfer && r.protected() {
		return
	}
	switch {
	case m.Term > r.term:
		if !keepsTerm(&m) {
			r.becomeFollower(m.Term, None)
		}
	case m.Term < r.term:
		r.answerStale(&m)
		return
	}
	r.dispatch(&m)
}

func isVote(k MessageKind) bool { return k == MsgPreVote || k == MsgVote }

// keepsTerm reports whether a message of a later term doesn't begin that term.
func keepsTerm(m *Message) bool {
	return m.Kind == MsgPreVote || (m.Kind == MsgPreVoteReply && !m.Reject)
}

// answerStale tells the sender of an outdated request about the newer term.
func (r *Raft) answerStale(m *Message) {
	switch m.Kind {
	case MsgAppend, MsgChunk:
		r.send(Message{Kind: MsgAppendReply, To: m.From, Index: m.Index, Reject: true})
	case MsgPreVote:
		r.send(Message{Kind: MsgPreVoteReply, To: m.From, Reject: true})
	}
}

func (r *Raft) dispatch(m *Message) {
	switch m.Kind {
	case MsgPreVote:
		r.onPreVote(m)
	case MsgVote:
		r.onVote(m)
	case MsgPreVoteReply, MsgVoteReply:
		r.onVoteReply(m)
	case MsgAppend:
		r.onAppend(m)
	case MsgAppendReply:
		r.onAppendReply(m)
	case MsgChunk:
		r.onChunk(m)
	case MsgChunkReply:
		r.onChunkReply(m)
	case MsgTimeoutNow:
		r.onTimeoutNow(m)
	}
}

func (r *Raft) send(m Message) {
	m.From = r.opts.Self
	if m.Term == 0 {
		m.Term = r.term
	}
	r.out.Messages = append(r.out.Messages, m)
}

// Members returns the membership in use; it must not be changed.
func (r *Raft) Members() Members { return r.configs[len(r.configs)-1].members }

// learnMembers notes the memberships among newly appended entries.
func (r *Raft) learnMembers(es []Entry) {
	for i := range es {
		if es[i].Kind != EntryMembers {
			continue
		}
		var ms Members
		if err := Decode(es[i].Data, &ms); err != nil {
			panic("consensus: membership entry can't be decoded: " + err.Error())
		}
		r.configs = append(r.configs, membersAt{es[i].Index, ms})
	}
}

// forgetMembers drops the memberships after index, whose entries are gone.
func (r *Raft) forgetMembers(index uint64) {
	for len(r.configs) > 1 && r.configs[len(r.configs)-1].index > index {
		r.configs = r.configs[:len(r.configs)-1]
	}
}

// membersAsOf returns the membership set at or before index.
func (r *Raft) membersAsOf(index uint64) Members {
	ms := r.configs[0].members
	for _, c := range r.configs {
		if c.index <= index {
			ms = c.members
		}
	}
	return ms
}

// Compact drops log entries that a persisted snapshot covers. It keeps about
// keepBytes of the applied ones for members that lag a little.
func (r *Raft) Compact(keepBytes int) {
	index := r.log.tailStart(keepBytes)
	if index <= r.log.base {
		return
	}
	ms := r.membersAsOf(index)
	r.configs = slices.DeleteFunc(r.configs, func(c membersAt) bool { return c.index <= index })
	r.configs = append([]membersAt{{index, ms}}, r.configs...)
	r.log.compact(index)
}

// SnapshotAt returns the header of a snapshot at the last applied index.
func (r *Raft) SnapshotAt() Snapshot {
	term, _ := r.log.term(r.log.handed)
	return Snapshot{Index: r.log.handed, Term: term, Members: r.membersAsOf(r.log.handed)}
}

// Tail returns the entries after index, for the log that follows a snapshot.
func (r *Raft) Tail(index uint64) []Entry { return r.log.slice(index+1, r.log.last()) }

// Hard returns the present hard state.
func (r *Raft) Hard() HardState { return r.hard() }

// LogBytes returns about how much memory the log takes.
func (r *Raft) LogBytes() int { return r.log.bytes }

// Base returns the index of the last compacted entry.
func (r *Raft) Base() uint64 { return r.log.base }

// Last returns the index of the last entry in the log.
func (r *Raft) Last() uint64 { return r.log.last() }

// Commit returns the last index known to be committed.
func (r *Raft) Commit() uint64 { return r.log.commit }

// Term returns the current term.
func (r *Raft) Term() uint64 { return r.term }

// Leader returns the current term's leader, if known.
func (r *Raft) Leader() ID { return r.leader }

// IsLeader reports whether this member leads its term. It may have been
// replaced already; see LeaseUntil.
func (r *Raft) IsLeader() bool { return r.role == leader }
