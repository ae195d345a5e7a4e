package cell

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/model"
)

// fuzzCommands are commands that refer to what stateWithJob holds, and some that refer
// to nothing.
func fuzzCommands() []*Command {
	worker := Worker{ID: testWorker, Born: 2, Addr: "10.0.0.1:1", DC: "dc1", Pool: "p", Capacity: model.Resources{MilliCPU: 1000}}
	odd := startOf(0, 1)
	odd.Task = TaskKey{Job: testJob, Occurrence: -1, Step: -1, Index: -1}
	oddEnd := endOf(0, 1, OutcomeDone)
	oddEnd.Ends.Ends[0].Task.Step = 7
	measuredEnd := endOf(0, 1, OutcomeDone)
	measuredEnd.Ends.Ends[0].WorkMillis = 1 << 62
	lateEnd := endOf(0, 1, OutcomeDone)
	lateEnd.Ends.Ends[0].Late = true
	return []*Command{
		{Lead: &Lead{Term: 9}},
		{Submit: &Submit{Job{ID: "j2", Queue: "q", Workspace: "a", Steps: []Step{{Count: 2, Gang: true}, {Count: 1, After: []int{0}}}}}},
		{Cancel: &Cancel{ID: testJob}},
		{Cancel: &Cancel{ID: "unknown", Caller: &Caller{Workspace: "a"}}},
		{Forget: &Forget{Tombstones: []Tombstone{{ID: "unknown", Caller: Caller{Workspace: "a"}, Cancels: 1}}}},
		{Leadership: 2, Starts: &Starts{[]Start{startOf(0, 1), odd}}},
		endOf(0, 1, OutcomeFailed),
		oddEnd,
		measuredEnd,
		lateEnd,
		{Workers: &Workers{Seen: []Worker{worker}, Gone: []Incarnation{{ID: testWorker, Born: 1}}}},
		{SetOut: &SetOut{DC: "dc1", Out: true}},
		{Due: &Due{Jobs: []JobID{testJob, "none"}}},
		{Due: &Due{Occurrences: []OccurrenceKey{{Job: testJob, Number: 1}, {Job: "none", Number: -1}}}},
		{Forget: &Forget{Jobs: []JobID{testJob}}},
		{Configure: &Configure{Config: Config{Version: 2}}},
	}
}

// FuzzApply checks that no command makes the state machine panic, which would end every
// member of the group, and that the state can still be stored and restored.
func FuzzApply(f *testing.F) {
	for _, c := range fuzzCommands() {
		data, err := c.Encode()
		qt.Assert(f, err, qt.IsNil)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s := stateWithJob(t, Step{Count: 2, Need: model.Resources{MilliCPU: 1000}})
		applyCommand(t, s, &Command{Leadership: 2, Starts: &Starts{[]Start{startOf(1, 1)}}})
		s.Apply(s.Applied+1, data)
		s.Apply(s.Applied+1, data)
		snapshot, err := s.Snapshot()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, NewState(nil).Restore(snapshot), qt.IsNil)
	})
}

// FuzzRestore checks that a damaged snapshot is refused without a panic.
func FuzzRestore(f *testing.F) {
	s := NewState(nil)
	for _, c := range fuzzCommands() {
		data, err := c.Encode()
		qt.Assert(f, err, qt.IsNil)
		s.Apply(s.Applied+1, data)
		snapshot, err := s.Snapshot()
		qt.Assert(f, err, qt.IsNil)
		f.Add(snapshot)
		f.Add(snapshot[:len(snapshot)/2])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		restored := NewState(nil)
		if restored.Restore(data) == nil {
			restored.Apply(1, []byte{0x80})
		}
	})
}
