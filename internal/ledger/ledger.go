// Package ledger is the table of requests that are not idempotent, kept by a
// data centre's group. A request is recorded before a byte of it is sent; a
// repeat of its id finds the record and is never sent again. The table is
// pure: it has no clock and no I/O, and each command carries the group's time.
package ledger

import (
	"kumquatwing/internal/api"
	"kumquatwing/internal/model"
	"kumquatwing/internal/verdict"
)

const (
	// DefaultRecords bounds the number of records.
	DefaultRecords = 50_000
	// DefaultAnswerBytes bounds the bodies of all stored answers together.
	DefaultAnswerBytes = 8 << 20
	// mintAheadMillis is how far an id's time may be ahead of the group's clock,
	// since entry VMs advance it on their own between two syncs.
	mintAheadMillis = 60_000
	// fullRetryMillis is when a caller may try again after the table was full.
	fullRetryMillis = 1000
)

// Limits bounds the table. All members of a group must use the same.
type Limits struct {
	Records     int
	AnswerBytes int
}

// Command is one change; exactly one field is set.
type Command struct {
	Begin  *api.RecordBegin  `msgpack:"b,omitempty"`
	Finish *api.RecordFinish `msgpack:"f,omitempty"`
}

// Result is what applying a command gave: a reply or a refusal.
type Result struct {
	Reply   *api.RecordReply `msgpack:"r,omitempty"`
	Refusal *verdict.Refusal `msgpack:"e,omitempty"`
}

// record is one request.
type record struct {
	ID        model.RequestID   `msgpack:"i"`
	Workspace model.WorkspaceID `msgpack:"t"`
	Queue     model.QueueName   `msgpack:"q"`
	Digest    uint64            `msgpack:"h"`
	Attempt   string            `msgpack:"a"`
	Expires   int64             `msgpack:"x"`
	State     api.RecordState   `msgpack:"s"`
	Answer    *api.StoredAnswer `msgpack:"w,omitempty"`
}

// State is the table. It is not safe for concurrent use.
type State struct {
	dc         model.DCID
	generation uint64
	limits     Limits
	// now is the newest group time seen, in milliseconds; it never runs back.
	now         int64
	records     map[model.RequestID]*record
	expiry      expiryHeap
	answerBytes int
	// floors holds, per queue, the newest mint time of a dropped record. An id
	// minted no later and without a record may be the dropped one.
	floors map[model.QueueName]int64
}

// New returns an empty table of a data centre's group. A group that has lost
// its records must use a higher generation than before.
func New(dc model.DCID, generation uint64, limits Limits) *State {
	return &State{
		dc:         dc,
		generation: generation,
		limits:     limits,
		records:    map[model.RequestID]*record{},
		floors:     map[model.QueueName]int64{},
	}
}

// Generation returns the generation of the ids that this table accepts.
func (s *State) Generation() uint64 { return s.generation }

// Len returns the number of records.
func (s *State) Len() int { return len(s.records) }

// Apply executes one command at the group's time nowMillis. The result depends
// on the state and the command alone.
func (s *State) Apply(nowMillis int64, cmd *Command) Result {
	s.now = max(s.now, nowMillis)
	s.expire()
	switch {
	case cmd.Begin != nil:
		return s.begin(cmd.Begin)
	case cmd.Finish != nil:
		return s.finish(cmd.Finish)
	}
	return Result{Refusal: verdict.Refuse(verdict.ReasonBadRequest, "empty ledger command")}
}

func reply(state api.RecordState, answer *api.StoredAnswer) Result {
	return Result{Reply: &api.RecordReply{State: state, Answer: answer}}
}

func (s *State) begin(b *api.RecordBegin) Result {
	id, err := Parse(b.ID)
	if err != nil {
		return Result{Refusal: verdict.From(err)}
	}
	if id.DC != s.dc {
		return Result{Refusal: verdict.Refuse(verdict.ReasonBadRequest, "request %s is not recorded in data centre %s", b.ID, s.dc)}
	}
	if r, ok := s.records[b.ID]; ok {
		return s.repeat(r, b)
	}
	if refusal := s.admissible(id, b); refusal != nil {
		return Result{Refusal: refusal}
	}
	if s.mayBeDropped(id, b) {
		return reply(api.RecordExpired, nil)
	}
	if len(s.records) >= s.limits.Records {
		return Result{Refusal: s.full()}
	}
	s.add(&record{
		ID:        b.ID,
		Workspace: b.Workspace,
		Queue:     b.Queue,
		Digest:    b.Digest,
		Attempt:   b.Attempt,
		Expires:   id.MintMillis + b.LifeMillis,
		State:     api.RecordOpen,
	})
	return reply(api.RecordFresh, nil)
}

// admissible refuses ids that no entry VM can have minted and lives that end
// before they start.
func (s *State) admissible(id ID, b *api.RecordBegin) *verdict.Refusal {
	if b.LifeMillis <= 0 {
		return verdict.Refuse(verdict.ReasonBadRequest, "record of %s has no life", b.ID)
	}
	if id.Generation == s.generation && id.MintMillis > s.now+mintAheadMillis {
		return verdict.Refuse(verdict.ReasonBadRequest, "request id %s was not minted yet", b.ID)
	}
	return nil
}

// mayBeDropped reports whether a record of id may have existed and is gone.
func (s *State) mayBeDropped(id ID, b *api.RecordBegin) bool {
	if id.Generation != s.generation {
		return true
	}
	if id.MintMillis+b.LifeMillis <= s.now {
		return true
	}
	floor, ok := s.floors[b.Queue]
	return ok && id.MintMillis <= floor
}

func (s *State) full() *verdict.Refusal {
	r := verdict.Refuse(verdict.ReasonOverload, "all %d records of requests are in use", s.limits.Records)
	r.Retry = true
	r.RetryAfterMillis = fullRetryMillis
	return r
}

// repeat answers a Begin whose id has a record. The same attempt asking again
// after a lost reply is told what it was told first.
func (s *State) repeat(r *record, b *api.RecordBegin) Result {
	if r.Workspace != b.Workspace || r.Queue != b.Queue || r.Digest != b.Digest {
		return reply(api.RecordMismatch, nil)
	}
	if r.State == api.RecordOpen && b.Attempt != "" && r.Attempt == b.Attempt {
		return reply(api.RecordFresh, nil)
	}
	return reply(r.State, r.Answer)
}

// finish closes a record. Only the attempt that opened it may do so, and the
// first outcome stays.
func (s *State) finish(f *api.RecordFinish) Result {
	r, ok := s.records[f.ID]
	if !ok {
		return reply(api.RecordExpired, nil)
	}
	if r.Attempt != f.Attempt {
		return reply(api.RecordMismatch, nil)
	}
	if r.State != api.RecordOpen {
		return reply(r.State, nil)
	}
	if f.NotRun {
		r.State = api.RecordNotRun
		return reply(r.State, nil)
	}
	r.State = api.RecordAnswered
	r.Answer = s.store(f.Answer)
	return reply(r.State, nil)
}

// store keeps an answer, without its body when there is no room for it.
func (s *State) store(a *api.StoredAnswer) *api.StoredAnswer {
	if a == nil {
		return &api.StoredAnswer{}
	}
	kept := *a
	if s.answerBytes+len(kept.Body) > s.limits.AnswerBytes {
		kept.Body = nil
		kept.Whole = false
	}
	s.answerBytes += len(kept.Body)
	return &kept
}

func (s *State) add(r *record) {
	s.records[r.ID] = r
	s.expiry.push(r)
}

// expire drops the records whose life has ended.
func (s *State) expire() {
	for len(s.expiry) > 0 && s.expiry[0].Expires <= s.now {
		s.drop(s.expiry.pop())
	}
}

func (s *State) drop(r *record) {
	delete(s.records, r.ID)
	if r.Answer != nil {
		s.answerBytes -= len(r.Answer.Body)
	}
	id, err := Parse(r.ID)
	if err != nil {
		return
	}
	floor, ok := s.floors[r.Queue]
	if !ok || id.MintMillis > floor {
		s.floors[r.Queue] = id.MintMillis
	}
}
