package cell

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestRepeatedDueCommandCreatesOneOccurrence guards against an occurrence that starts before
// its time: the command that creates the one before it is committed twice, since its
// outcome was unknown at first.
func TestRepeatedDueCommandCreatesOneOccurrence(t *testing.T) {
	s := stateWithJob(t, Step{Count: 1})
	job := Job{ID: "scheduled", Queue: "q", Workspace: "a", Steps: []Step{{Count: 1}}, Schedule: Schedule{Times: 3, IntervalMillis: 1000}}
	applyCommand(t, s, &Command{Submit: &Submit{job}})
	due := func(number int) {
		applyCommand(t, s, &Command{Leadership: 2, Due: &Due{Occurrences: []OccurrenceKey{{Job: "scheduled", Number: number}, {Job: "none", Number: number}}}})
	}
	for _, c := range []struct{ number, want int }{{0, 1}, {0, 1}, {1, 2}, {0, 2}, {1, 2}, {3, 2}, {2, 3}, {3, 3}} {
		due(c.number)
		qt.Check(t, s.Jobs["scheduled"].Occurrences, qt.HasLen, c.want, qt.Commentf("occurrence %d", c.number))
	}
}
