// Package dcstate joins the tables of one data centre into the state machine
// of its group: work (jobs, tasks, workers), slots (backend servers) and the
// ledger (records of requests that are not idempotent).
package dcstate

import (
	"github.com/vmihailenco/msgpack/v5"

	"kumquatwing/internal/codec"
	"kumquatwing/internal/ledger"
	"kumquatwing/internal/model"
	"kumquatwing/internal/replica"
	"kumquatwing/internal/slots"
	"kumquatwing/internal/verdict"
	"kumquatwing/internal/work"
)

// Bounds of the ledger; all members of a group use the same.
const (
	ledgerRecords     = 200_000
	ledgerAnswerBytes = 8 << 20
)

// Command is one change of a data centre's tables. Its parts are applied in
// the order of the fields; work and slots refuse what an earlier leader decided.
type Command struct {
	// NowMillis is the group's time at the leader that proposed the command.
	NowMillis int64            `msgpack:"n"`
	Work      *work.Command    `msgpack:"w,omitempty"`
	Slots     []*slots.Command `msgpack:"s,omitempty"`
	Ledger    *ledger.Command  `msgpack:"l,omitempty"`
}

// Result is what applying a Command gave.
type Result struct {
	Work    *work.Result     `msgpack:"w,omitempty"`
	Slots   []slots.Result   `msgpack:"s,omitempty"`
	Ledger  *ledger.Result   `msgpack:"l,omitempty"`
	Refusal *verdict.Refusal `msgpack:"e,omitempty"`
}

// State is the state machine of a data centre group.
type State struct {
	now    int64
	Work   *work.State
	Slots  *slots.State
	Ledger *ledger.State
}

var _ replica.Machine = (*State)(nil)

// New returns the empty state of a group in its generation.
func New(dc model.DCID, generation uint64) *State {
	limits := ledger.Limits{Records: ledgerRecords, AnswerBytes: ledgerAnswerBytes}
	return &State{
		Work:   work.New(),
		Slots:  slots.NewState(generation),
		Ledger: ledger.New(dc, generation, limits),
	}
}

// NowMillis is the newest group time applied.
func (s *State) NowMillis() int64 { return s.now }

// Apply implements replica.Machine.
func (s *State) Apply(_ uint64, command []byte) []byte {
	var c Command
	var r Result
	if err := msgpack.Unmarshal(command, &c); err != nil {
		r.Refusal = verdict.Refuse(verdict.ReasonBadRequest, "command can't be decoded: %v", err)
	} else {
		s.execute(&c, &r)
	}
	out, err := codec.Marshal(&r)
	if err != nil {
		// The types of a result always encode.
		panic(err)
	}
	return out
}

func (s *State) execute(c *Command, r *Result) {
	s.now = max(s.now, c.NowMillis)
	if c.Work != nil {
		w := s.Work.Apply(s.now, c.Work)
		r.Work = &w
	}
	for _, sc := range c.Slots {
		r.Slots = append(r.Slots, s.Slots.Apply(s.now, sc))
	}
	if c.Ledger != nil {
		l := s.Ledger.Apply(s.now, c.Ledger)
		r.Ledger = &l
	}
}

// image is the encoded form of State.
type image struct {
	Now    int64  `msgpack:"n"`
	Work   []byte `msgpack:"w"`
	Slots  []byte `msgpack:"s"`
	Ledger []byte `msgpack:"l"`
}

// Snapshot implements replica.Machine.
func (s *State) Snapshot() ([]byte, error) {
	im := image{Now: s.now}
	var err error
	if im.Work, err = s.Work.Snapshot(); err != nil {
		return nil, err
	}
	if im.Slots, err = s.Slots.Snapshot(); err != nil {
		return nil, err
	}
	if im.Ledger, err = s.Ledger.Snapshot(); err != nil {
		return nil, err
	}
	return codec.Marshal(&im)
}

// Restore implements replica.Machine.
func (s *State) Restore(snapshot []byte) error {
	var im image
	if err := msgpack.Unmarshal(snapshot, &im); err != nil {
		return err
	}
	if err := s.Work.Restore(im.Work); err != nil {
		return err
	}
	if err := s.Slots.Restore(im.Slots); err != nil {
		return err
	}
	if err := s.Ledger.Restore(im.Ledger); err != nil {
		return err
	}
	s.now = im.Now
	return nil
}

// Encode returns a command as it is proposed.
func Encode(c *Command) ([]byte, error) { return codec.Marshal(c) }

// DecodeResult reads the result of a proposed command.
func DecodeResult(b []byte) (*Result, error) {
	r := &Result{}
	if err := msgpack.Unmarshal(b, r); err != nil {
		return nil, verdict.Uncertain(verdict.ReasonInternal, "result can't be decoded: %v", err)
	}
	if r.Refusal != nil {
		return nil, r.Refusal
	}
	return r, nil
}
