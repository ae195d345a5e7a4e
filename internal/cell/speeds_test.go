package cell

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/consensus"
)

// speedsOf returns a command with the end of no run and one speed.
func speedsOf(born, thousandths int64) *Command {
	return &Command{Ends: &Ends{Speeds: []WorkerSpeed{{Incarnation{testWorker, born}, thousandths}}}}
}

// TestSpeedsEndWithIncarnation guards against a worker that is given the speed of a
// machine that had its ID before, and against the loss of speeds with reports or
// snapshots.
func TestSpeedsEndWithIncarnation(t *testing.T) {
	s := stateWithJob(t, Step{Count: 1})
	speed := func() int64 { return s.Workers[testWorker].Speed }
	applyCommand(t, s, speedsOf(1, 550))
	qt.Check(t, speed(), qt.Equals, int64(550))
	applyCommand(t, s, speedsOf(2, 900))
	qt.Check(t, speed(), qt.Equals, int64(550), qt.Commentf("the speed of an incarnation that isn't recorded"))

	report := s.Workers[testWorker].Worker
	report.Draining = true
	applyCommand(t, s, &Command{Workers: &Workers{Seen: []Worker{report}}})
	qt.Check(t, speed(), qt.Equals, int64(550), qt.Commentf("after a report of the same incarnation"))

	data, err := s.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	restored := NewState(nil)
	qt.Assert(t, restored.Restore(data), qt.IsNil)
	qt.Check(t, restored.Workers[testWorker].Speed, qt.Equals, int64(550))

	report.Born = 2
	applyCommand(t, s, &Command{Leadership: 2, Workers: &Workers{Seen: []Worker{report}}})
	qt.Check(t, speed(), qt.Equals, int64(0))
	for _, odd := range []int64{-1, maxSpeed + 1} {
		applyCommand(t, s, speedsOf(2, odd))
		qt.Check(t, speed(), qt.Equals, int64(0))
	}
}

// TestSpeedsOfEarlierVersions guards against log entries and snapshots of the version
// without speeds that can't be decoded any more. The types repeat the encoded fields of
// that version; structs are encoded as arrays.
func TestSpeedsOfEarlierVersions(t *testing.T) {
	type earlierEnd struct {
		Task       TaskKey
		Run        int64
		Worker     WorkerID
		Born       int64
		Outcome    Outcome
		Checkpoint string
	}
	type earlierEnds struct {
		Ends       []earlierEnd
		UnixMillis int64
	}
	type earlierCommand struct {
		Leadership uint64
		Lead       *Lead
		Submit     *Submit
		Cancel     *Cancel
		Configure  *Configure
		SetOut     *SetOut
		Workers    *Workers
		Starts     *Starts
		Ends       *earlierEnds
		Due        *Due
		Forget     *Forget
	}
	type earlierSnapshot struct {
		Leadership uint64
		Config     Config
		Document   []byte
		Former     []Queue
		Out        []string
		Workers    []Worker
		Held       [][]Allocation
		Jobs       []*Job
		Tombstones []Tombstone
	}
	s := stateWithJob(t, Step{Count: 2})
	applyCommand(t, s, &Command{Leadership: 2, Starts: &Starts{[]Start{startOf(0, 1), startOf(1, 1)}}})
	end := earlierEnd{Task: startOf(0, 1).Task, Run: 1, Worker: testWorker, Born: 1, Outcome: OutcomeDone}
	entry, err := consensus.Encode(&earlierCommand{Leadership: 2, Ends: &earlierEnds{Ends: []earlierEnd{end}, UnixMillis: 5}})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, s.Apply(s.Applied+1, entry), qt.IsNotNil)
	qt.Check(t, s.Jobs[testJob].Occurrences[0].Steps[0].Done, qt.Equals, 1)

	// Members of the earlier version decode what is encoded while no speed is known.
	entry, err = (&Command{Leadership: 2, Ends: &Ends{Ends: []End{{Task: end.Task, Run: 1}}, UnixMillis: 5}}).Encode()
	qt.Assert(t, err, qt.IsNil)
	var earlier earlierCommand
	qt.Assert(t, consensus.Decode(entry, &earlier), qt.IsNil)
	qt.Check(t, earlier.Ends.UnixMillis, qt.Equals, int64(5))

	w := s.Workers[testWorker]
	data, err := consensus.Encode(&earlierSnapshot{
		Leadership: 2, Config: s.Config, Document: s.ConfigDocument, Workers: []Worker{w.Worker},
		Held: [][]Allocation{w.allocations()}, Jobs: []*Job{s.Jobs[testJob]},
	})
	qt.Assert(t, err, qt.IsNil)
	restored := NewState(nil)
	qt.Assert(t, restored.Restore(data), qt.IsNil)
	qt.Check(t, restored.Workers[testWorker].Speed, qt.Equals, int64(0))
	qt.Check(t, restored.Workers[testWorker].Allocations, qt.DeepEquals, w.Allocations)
	qt.Check(t, restored.Jobs[testJob], qt.DeepEquals, s.Jobs[testJob])
	data, err = restored.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, consensus.Decode(data, &earlierSnapshot{}), qt.IsNil)
}
