// Package dcstate combines the parts of a data centre's replicated state into the
// state machine of the data centre group: work (jobs, tasks, workers), slots
// (backend servers) and the ledger (records of requests that are not idempotent).
package dcstate

import (
	"kumquatwing/internal/codec"
	"kumquatwing/internal/ledger"
	"kumquatwing/internal/model"
	"kumquatwing/internal/replica"
	"kumquatwing/internal/slots"
	"kumquatwing/internal/verdict"
	"kumquatwing/internal/work"
)

// Bounds of the ledger. All members of a group must use the same values.
const (
	ledgerRecords     = 200_000
	ledgerAnswerBytes = 8 << 20
)

// Command is one change of a data centre's replicated state. Its parts are applied
// in the order of the fields. Work and Slots refuse commands that an earlier
// leader decided.
type Command struct {
	// NowMillis is the group's time at the leader that proposed the command.
	NowMillis int64            `msgpack:"n"`
	Work      *work.Command    `msgpack:"w,omitempty"`
	Slots     []*slots.Command `msgpack:"s,omitempty"`
	Ledger    *ledger.Command  `msgpack:"l,omitempty"`
}

// Result is the result of applying a Command.
type Result struct {
	Work    *work.Result     `msgpack:"w,omitempty"`
	Slots   []slots.Result   `msgpack:"s,omitempty"`
	Ledger  *ledger.Result   `msgpack:"l,omitempty"`
	Refusal *verdict.Refusal `msgpack:"e,omitempty"`
}

// State is the state machine of a data centre group.
type State struct {
	nowMillis int64
	Work      *work.State
	Slots     *slots.State
	Ledger    *ledger.State
}

var _ replica.StateMachine = (*State)(nil)

// New returns the empty state of a group in the given generation.
func New(dc model.DCID, generation uint64) *State {
	limits := ledger.Limits{Records: ledgerRecords, AnswerBytes: ledgerAnswerBytes}
	return &State{
		Work:   work.New(),
		Slots:  slots.NewState(generation),
		Ledger: ledger.New(dc, generation, limits),
	}
}

// NowMillis returns the latest group time of all applied commands.
func (s *State) NowMillis() int64 { return s.nowMillis }

// Apply implements replica.StateMachine.
func (s *State) Apply(_ uint64, command []byte) []byte {
	var c Command
	var r Result
	if err := codec.Unmarshal(command, &c); err != nil {
		r.Refusal = verdict.Refuse(verdict.ReasonBadRequest, "command can't be decoded: %v", err)
	} else {
		s.apply(&c, &r)
	}
	out, err := codec.Marshal(&r)
	if err != nil {
		// Unreachable: every type in a result can be encoded.
		panic(err)
	}
	return out
}

func (s *State) apply(c *Command, r *Result) {
	s.nowMillis = max(s.nowMillis, c.NowMillis)
	if c.Work != nil {
		w := s.Work.Apply(s.nowMillis, c.Work)
		r.Work = &w
	}
	for _, sc := range c.Slots {
		r.Slots = append(r.Slots, s.Slots.Apply(s.nowMillis, sc))
	}
	if c.Ledger != nil {
		l := s.Ledger.Apply(s.nowMillis, c.Ledger)
		r.Ledger = &l
	}
}

// snapshotData is the encoded form of State. Its parts are snapshots of their own.
type snapshotData struct {
	NowMillis int64  `msgpack:"n"`
	Work      []byte `msgpack:"w"`
	Slots     []byte `msgpack:"s"`
	Ledger    []byte `msgpack:"l"`
}

// Snapshot implements replica.StateMachine.
func (s *State) Snapshot() ([]byte, error) {
	data := snapshotData{NowMillis: s.nowMillis}
	var err error
	if data.Work, err = s.Work.Snapshot(); err != nil {
		return nil, err
	}
	if data.Slots, err = s.Slots.Snapshot(); err != nil {
		return nil, err
	}
	if data.Ledger, err = s.Ledger.Snapshot(); err != nil {
		return nil, err
	}
	return codec.Marshal(&data)
}

// Restore implements replica.StateMachine.
func (s *State) Restore(snapshot []byte) error {
	var data snapshotData
	if err := codec.Unmarshal(snapshot, &data); err != nil {
		return err
	}
	if err := s.Work.Restore(data.Work); err != nil {
		return err
	}
	if err := s.Slots.Restore(data.Slots); err != nil {
		return err
	}
	if err := s.Ledger.Restore(data.Ledger); err != nil {
		return err
	}
	s.nowMillis = data.NowMillis
	return nil
}

// Encode encodes a command for proposing it to the group.
func Encode(c *Command) ([]byte, error) { return codec.Marshal(c) }

// DecodeResult decodes the result of a proposed command. If the command was
// refused, the error is the refusal.
func DecodeResult(b []byte) (*Result, error) {
	r := &Result{}
	if err := codec.Unmarshal(b, r); err != nil {
		return nil, verdict.RefuseMayHaveRun(verdict.ReasonInternal, "result can't be decoded: %v", err)
	}
	if r.Refusal != nil {
		return nil, r.Refusal
	}
	return r, nil
}
