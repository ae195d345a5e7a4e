package consensus

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"kumquatwing/internal/clock"
)

// Protection is a set of safety mechanisms of the algorithm that tests can
// disable.
type Protection uint

// Protections that tests disable to show that they would detect the absence of
// each.
const (
	// ProtectVoteWindow refuses votes while a leader may hold a lease.
	ProtectVoteWindow Protection = 1 << iota
	// ProtectRestartWindow refuses votes for an election timeout after a restart,
	// as if a leader had just been heard from.
	ProtectRestartWindow
	// ProtectUpToDate refuses votes to candidates whose log is not up to date.
	ProtectUpToDate
	// ProtectLeaseExpiry lets the leader lease expire unless a quorum replies.
	ProtectLeaseExpiry
	// ProtectTermCommit commits by counting replicas only entries of the leader's
	// own term; earlier entries are committed with them.
	ProtectTermCommit
	// ProtectOneVote limits a member to one vote per term.
	ProtectOneVote
	// ProtectTransferLease makes a leader give up its lease when it transfers its
	// leadership.
	ProtectTransferLease
)

// Options are the fixed parameters of a member.
type Options struct {
	Self ID
	// Rand randomizes election timeouts.
	Rand *rand.Rand
	// Tick is the interval between two calls of Raft.Tick.
	Tick time.Duration
	// ElectionTicks is the minimum election timeout in ticks; a random part of up
	// to half of it is added.
	ElectionTicks int
	// HeartbeatTicks is the interval between heartbeat rounds in ticks.
	// LearnerHeartbeatTicks is the interval for learners whose log is up to date.
	HeartbeatTicks        int
	LearnerHeartbeatTicks int
	// LearnerBatchTicks is the minimum number of ticks between two batches of
	// entries to a learner that keeps up; 0 sends entries at once.
	LearnerBatchTicks int
	// DriftMargin is subtracted from the leader lease to allow for clocks that run
	// at different rates.
	DriftMargin time.Duration
	// MaxAppendBytes and ChunkBytes limit the size of one message.
	MaxAppendBytes int
	ChunkBytes     int
	// Disabled is the set of protections to disable; only tests set it.
	Disabled Protection
}

// minElectionTimeout returns the minimum election timeout as a duration.
func (o *Options) minElectionTimeout() time.Duration {
	return time.Duration(o.ElectionTicks) * o.Tick
}

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// membership is the membership set by the entry at index.
type membership struct {
	index   uint64
	members Members
}

// Raft is the consensus state of one member. It is not safe for concurrent use.
type Raft struct {
	opts Options
	log  memLog

	term     uint64
	votedFor ID
	// persistedHardState is the hard state that the driver has persisted.
	persistedHardState HardState

	role     role
	leaderID ID
	// memberships are the memberships set by entries of the log, oldest first; the
	// last one is in effect.
	memberships []membership

	now   clock.Instant
	ticks int
	// elapsed is the number of ticks since the election timer was restarted; the
	// timer expires at timeout.
	elapsed, timeout int
	// leaderContactAt and leaderContactTick are when a message from a leader was
	// last received.
	leaderContactAt   clock.Instant
	leaderContactTick int

	votes map[ID]bool
	// transferCampaign is set if the leader asked for the current election to
	// transfer its leadership.
	transferCampaign bool

	leaderState leaderState
	incoming    *incomingSnapshot

	out Output
}

// Output is the work for the driver, to be done in the order of the fields.
type Output struct {
	// Install is a snapshot that replaces the whole log and state machine.
	Install *Snapshot
	// HardState is set if it has to be persisted. Entries replace the log from the
	// index of the first one on. Both must be synced before Messages are sent.
	HardState *HardState
	Entries   []Entry
	// Messages are to be sent; delivery is not guaranteed.
	Messages []Message
	// Committed are the entries to apply.
	Committed []Entry
	// Reads are the completed read requests.
	Reads []ReadRequest
	// WantSnapshot asks the driver to call OfferSnapshot.
	WantSnapshot bool
}

// New returns a member that continues from a persisted state.
func New(opts Options, st State, now clock.Instant) *Raft {
	r := &Raft{opts: opts, now: now, leaderContactAt: now}
	if opts.Disabled&ProtectRestartWindow != 0 {
		r.leaderContactAt = now.Add(-opts.minElectionTimeout())
		r.leaderContactTick = -opts.ElectionTicks
	}
	r.log.reset(st.Snapshot.Index, st.Snapshot.Term)
	r.log.append(st.Entries...)
	r.log.persisted = r.log.last()
	r.log.commit = max(r.log.commit, min(st.HardState.Commit, r.log.last()))
	r.term, r.votedFor = st.HardState.Term, st.HardState.Vote
	r.persistedHardState = r.hardState()
	r.memberships = []membership{{st.Snapshot.Index, st.Snapshot.Members}}
	r.addMemberships(st.Entries)
	r.resetElectionTimer()
	return r
}

// Bootstrap returns the initial state of a new group with the given voters. All
// of them must be started with the same voters.
func Bootstrap(voters ...Member) (State, error) {
	ms := slices.Clone(Members(voters))
	slices.SortFunc(ms, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	data, err := Encode(ms)
	if err != nil {
		return State{}, err
	}
	return State{
		HardState: HardState{Term: 1},
		Entries:   []Entry{{Index: 1, Term: 1, Kind: EntryMembers, Data: data}},
	}, nil
}

func (r *Raft) hardState() HardState {
	return HardState{Term: r.term, Vote: r.votedFor, Commit: r.log.commit}
}

// Tick advances the timers by one tick; now is the current instant of the
// driver's clock.
func (r *Raft) Tick(now clock.Instant) {
	r.advanceNow(now)
	r.ticks++
	if r.role == leader {
		r.tickLeader()
		return
	}
	r.elapsed++
	switch {
	case !r.electionDue():
	case r.canCampaign():
		r.preCampaign()
	default:
		r.leaderID = None
	}
}

// advanceNow sets the current instant, unless that would move it back.
func (r *Raft) advanceNow(now clock.Instant) { r.now = max(r.now, now) }

// HasOutput reports whether Take would return any work.
func (r *Raft) HasOutput() bool {
	return r.out.Install != nil || len(r.out.Messages) > 0 || len(r.out.Reads) > 0 ||
		r.log.persisted < r.log.last() || r.hardStateChanged() ||
		r.log.delivered < r.applicable() || r.wantsSnapshot()
}

// hardStateChanged reports whether the term or the vote has to be persisted. The
// commit index is ignored, since it needs no sync of its own.
func (r *Raft) hardStateChanged() bool {
	return r.persistedHardState.Term != r.term || r.persistedHardState.Vote != r.votedFor
}

// applicable returns the last index that is both committed and persisted here.
func (r *Raft) applicable() uint64 { return min(r.log.commit, r.log.persisted) }

// Take returns the pending work. The driver must call Persisted once Install,
// HardState and Entries are synced, and must not call other methods that change
// the member before.
func (r *Raft) Take() Output {
	r.broadcastEntries()
	out := r.out
	r.out = Output{}
	out.Entries = r.log.slice(r.log.persisted+1, r.log.last())
	if r.hardStateChanged() || len(out.Entries) > 0 || out.Install != nil {
		h := r.hardState()
		out.HardState = &h
	}
	if to := r.applicable(); r.log.delivered < to {
		out.Committed = r.log.slice(r.log.delivered+1, to)
		r.log.delivered = to
	}
	out.WantSnapshot = r.wantsSnapshot()
	return out
}

// TermPersisted reports whether the current term and vote are persisted.
func (r *Raft) TermPersisted() bool { return !r.hardStateChanged() }

// Persisted tells the member that the state in the last output is synced.
func (r *Raft) Persisted() {
	r.persistedHardState = r.hardState()
	if r.log.persisted == r.log.last() {
		return
	}
	r.log.persisted = r.log.last()
	if r.role == leader {
		r.advanceCommit()
	}
}

// Step handles a message received from another member.
func (r *Raft) Step(now clock.Instant, m Message) {
	r.advanceNow(now)
	if m.To != r.opts.Self || m.From == None {
		return
	}
	if isVoteRequest(m.Kind) && !m.Transfer && r.leaseMayHold() {
		return
	}
	switch {
	case m.Term > r.term:
		if !keepsTerm(&m) {
			r.becomeFollower(m.Term, None)
		}
	case m.Term < r.term:
		r.replyStaleTerm(&m)
		return
	}
	r.dispatch(&m)
}

func isVoteRequest(k MessageKind) bool { return k == MsgPreVote || k == MsgVote }

// keepsTerm reports whether a message of a later term leaves the receiver's term
// unchanged: pre-votes carry a term that has not begun.
func keepsTerm(m *Message) bool {
	return m.Kind == MsgPreVote || (m.Kind == MsgPreVoteReply && !m.Reject)
}

// replyStaleTerm tells the sender of a request with an earlier term about the
// current term.
func (r *Raft) replyStaleTerm(m *Message) {
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

// Members returns the membership in effect. The caller must not modify it.
func (r *Raft) Members() Members { return r.memberships[len(r.memberships)-1].members }

// addMemberships records the memberships in newly appended entries.
func (r *Raft) addMemberships(es []Entry) {
	for i := range es {
		if es[i].Kind != EntryMembers {
			continue
		}
		var ms Members
		if err := Decode(es[i].Data, &ms); err != nil {
			panic("consensus: membership entry can't be decoded: " + err.Error())
		}
		r.memberships = append(r.memberships, membership{es[i].Index, ms})
	}
}

// truncateMemberships drops the memberships set by entries after index, which
// were removed from the log.
func (r *Raft) truncateMemberships(index uint64) {
	for len(r.memberships) > 1 && r.memberships[len(r.memberships)-1].index > index {
		r.memberships = r.memberships[:len(r.memberships)-1]
	}
}

// membersAsOf returns the membership in effect at index.
func (r *Raft) membersAsOf(index uint64) Members {
	ms := r.memberships[0].members
	for _, m := range r.memberships {
		if m.index <= index {
			ms = m.members
		}
	}
	return ms
}

// Compact drops applied entries from the log, which a persisted snapshot must
// cover if the driver keeps snapshots. It keeps about keepBytes of them for
// members that are slightly behind.
func (r *Raft) Compact(keepBytes int) {
	index := r.log.compactionIndex(keepBytes)
	if index <= r.log.base {
		return
	}
	ms := r.membersAsOf(index)
	r.memberships = slices.DeleteFunc(r.memberships, func(m membership) bool { return m.index <= index })
	r.memberships = append([]membership{{index, ms}}, r.memberships...)
	r.log.compact(index)
}

// SnapshotHeader returns a snapshot at the last delivered index, without data.
func (r *Raft) SnapshotHeader() Snapshot {
	term, _ := r.log.term(r.log.delivered)
	return Snapshot{Index: r.log.delivered, Term: term, Members: r.membersAsOf(r.log.delivered)}
}

// EntriesAfter returns the entries after index.
func (r *Raft) EntriesAfter(index uint64) []Entry { return r.log.slice(index+1, r.log.last()) }

// HardState returns the current hard state.
func (r *Raft) HardState() HardState { return r.hardState() }

// LogBytes returns the approximate memory used by the log, in bytes.
func (r *Raft) LogBytes() int { return r.log.bytes }

// Base returns the index of the last compacted entry.
func (r *Raft) Base() uint64 { return r.log.base }

// Last returns the index of the last entry in the log.
func (r *Raft) Last() uint64 { return r.log.last() }

// Commit returns the last index known to be committed.
func (r *Raft) Commit() uint64 { return r.log.commit }

// Term returns the current term.
func (r *Raft) Term() uint64 { return r.term }

// Leader returns the leader of the current term, or None if it is not known.
func (r *Raft) Leader() ID { return r.leaderID }

// IsLeader reports whether this member leads its term. Another member may lead a
// later term already; LeaseUntil rules that out.
func (r *Raft) IsLeader() bool { return r.role == leader }
