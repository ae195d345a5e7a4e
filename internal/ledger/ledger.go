// Package ledger implements the replicated records of requests that are not
// idempotent, kept by a data centre group. A request is recorded before any byte
// of it is sent; a duplicate request finds the record and is never sent again.
// State is a deterministic state machine: it reads no clock and does no I/O, and
// every command is applied with the group time.
package ledger

import (
	"kumquatwing/internal/api"
	"kumquatwing/internal/model"
	"kumquatwing/internal/verdict"
)

const (
	// DefaultRecords is the default maximum number of records.
	DefaultRecords = 50_000
	// DefaultAnswerBytes is the default maximum total size of the stored response
	// bodies.
	DefaultAnswerBytes = 8 << 20
	// maxMintAheadMillis is how far the mint time of an id may be ahead of the
	// group time. It can be ahead because entry VMs advance the group time by
	// their own clocks between two syncs.
	maxMintAheadMillis = 60_000
	// tableFullRetryMillis is the retry delay in a refusal because all records
	// are in use.
	tableFullRetryMillis = 1000
)

// Limits bounds the memory of a State. All members of a group must use the same
// limits.
type Limits struct {
	// Records is the maximum number of records.
	Records int
	// AnswerBytes is the maximum total size of the stored response bodies.
	AnswerBytes int
}

// Command is one change; exactly one field is set.
type Command struct {
	Begin  *api.RecordBegin  `msgpack:"b,omitempty"`
	Finish *api.RecordFinish `msgpack:"f,omitempty"`
}

// Result is the result of applying a command: a reply or a refusal.
type Result struct {
	Reply   *api.RecordReply `msgpack:"r,omitempty"`
	Refusal *verdict.Refusal `msgpack:"e,omitempty"`
}

// record is the record of one request. Expires is in milliseconds of group time.
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

// State holds the records of a data centre group. It is not safe for concurrent
// use.
type State struct {
	dc         model.DCID
	generation uint64
	limits     Limits
	// now is the newest group time of a command, in milliseconds; it never
	// decreases.
	now         int64
	records     map[model.RequestID]*record
	expiry      expiryHeap
	answerBytes int
	// newestExpired holds, per queue, the newest mint time of a removed record.
	// An id of the queue that has no record and was minted no later may belong
	// to a removed record.
	newestExpired map[model.QueueName]int64
}

// New returns the empty state of a data centre group. A group that has lost its
// records must use a higher generation than before.
func New(dc model.DCID, generation uint64, limits Limits) *State {
	return &State{
		dc:            dc,
		generation:    generation,
		limits:        limits,
		records:       map[model.RequestID]*record{},
		newestExpired: map[model.QueueName]int64{},
	}
}

// Generation returns the generation for which this state creates records. Ids of
// any other generation are reported as expired.
func (s *State) Generation() uint64 { return s.generation }

// Len returns the number of records.
func (s *State) Len() int { return len(s.records) }

// Apply executes one command at the group time nowMillis. The result depends only
// on the state, the command and nowMillis.
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

// reply returns a result that holds a reply.
func reply(state api.RecordState, answer *api.StoredAnswer) Result {
	return Result{Reply: &api.RecordReply{State: state, Answer: answer}}
}

// begin creates the record of a request, or reports the state of an existing one.
func (s *State) begin(b *api.RecordBegin) Result {
	id, err := Parse(b.ID)
	if err != nil {
		return Result{Refusal: verdict.FromError(err)}
	}
	if id.DC != s.dc {
		return Result{Refusal: verdict.Refuse(verdict.ReasonBadRequest, "request %s is not recorded in data centre %s", b.ID, s.dc)}
	}
	if r, ok := s.records[b.ID]; ok {
		return s.beginDuplicate(r, b)
	}
	if refusal := s.validate(id, b); refusal != nil {
		return Result{Refusal: refusal}
	}
	if s.mayHaveExpired(id, b) {
		return reply(api.RecordExpired, nil)
	}
	if len(s.records) >= s.limits.Records {
		return Result{Refusal: s.tableFull()}
	}
	s.insert(&record{
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

// validate refuses ids that no entry VM can have minted and lifetimes that are
// not positive.
func (s *State) validate(id ID, b *api.RecordBegin) *verdict.Refusal {
	if b.LifeMillis <= 0 {
		return verdict.Refuse(verdict.ReasonBadRequest, "record of %s has no life", b.ID)
	}
	if id.Generation == s.generation && id.MintMillis > s.now+maxMintAheadMillis {
		return verdict.Refuse(verdict.ReasonBadRequest, "request id %s was not minted yet", b.ID)
	}
	return nil
}

// mayHaveExpired reports whether a record of id may have existed and been
// removed.
func (s *State) mayHaveExpired(id ID, b *api.RecordBegin) bool {
	if id.Generation != s.generation {
		return true
	}
	if id.MintMillis+b.LifeMillis <= s.now {
		return true
	}
	newest, ok := s.newestExpired[b.Queue]
	return ok && id.MintMillis <= newest
}

// tableFull returns the refusal for a request that can't be recorded because
// all records are in use.
func (s *State) tableFull() *verdict.Refusal {
	r := verdict.Refuse(verdict.ReasonOverload, "all %d records of requests are in use", s.limits.Records)
	r.Retry = true
	r.RetryAfterMillis = tableFullRetryMillis
	return r
}

// beginDuplicate replies to a Begin whose id has a record. An attempt that
// repeats its Begin after a lost reply gets the same reply while the record is
// open.
func (s *State) beginDuplicate(r *record, b *api.RecordBegin) Result {
	if r.Workspace != b.Workspace || r.Queue != b.Queue || r.Digest != b.Digest {
		return reply(api.RecordMismatch, nil)
	}
	if r.State == api.RecordOpen && b.Attempt != "" && r.Attempt == b.Attempt {
		return reply(api.RecordFresh, nil)
	}
	return reply(r.State, r.Answer)
}

// finish finishes a record. Only the attempt that created the record may finish
// it, and the first outcome is final.
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
	r.Answer = s.storeResponse(f.Answer)
	return reply(r.State, nil)
}

// storeResponse returns a copy of a response to keep in its record. The copy
// has no body if the total size of the stored bodies would exceed the limit.
func (s *State) storeResponse(a *api.StoredAnswer) *api.StoredAnswer {
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

// insert adds a record to the index by id and to the expiry heap.
func (s *State) insert(r *record) {
	s.records[r.ID] = r
	s.expiry.push(r)
}

// expire removes the records whose lifetime has ended.
func (s *State) expire() {
	for len(s.expiry) > 0 && s.expiry[0].Expires <= s.now {
		s.remove(s.expiry.pop())
	}
}

// remove removes a record and updates newestExpired of its queue.
func (s *State) remove(r *record) {
	delete(s.records, r.ID)
	if r.Answer != nil {
		s.answerBytes -= len(r.Answer.Body)
	}
	id, err := Parse(r.ID)
	if err != nil {
		return
	}
	newest, ok := s.newestExpired[r.Queue]
	if !ok || id.MintMillis > newest {
		s.newestExpired[r.Queue] = id.MintMillis
	}
}
