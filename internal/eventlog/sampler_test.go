package eventlog

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// list is a Recorder that keeps everything.
type list []Event

func (l *list) Record(e Event) { *l = append(*l, e) }

// TestSamplerBoundsEachCause checks that a frequent refusal is bounded and
// counted, and that a rare one beside it is recorded.
func TestSamplerBoundsEachCause(t *testing.T) {
	var got list
	at := time.Unix(1000, 0)
	s := NewSampler(&got, 2, 3, func() time.Time { return at })
	for range 100 {
		s.Record(Event{Kind: "request.refused", Cause: "bad-key"})
	}
	s.Record(Event{Kind: "request.refused", Cause: "no-server"})
	qt.Assert(t, got, qt.HasLen, 4)
	qt.Assert(t, got[3].Cause, qt.Equals, "no-server")

	s.Flush()
	qt.Assert(t, got, qt.HasLen, 5)
	qt.Assert(t, got[4], qt.DeepEquals, Event{
		Kind: KindDropped, Cause: "bad-key", Detail: "97 more request.refused events were left out",
	})
	s.Flush()
	qt.Assert(t, got, qt.HasLen, 5)

	at = at.Add(time.Second)
	for range 5 {
		s.Record(Event{Kind: "request.refused", Cause: "bad-key"})
	}
	qt.Assert(t, got, qt.HasLen, 7)
}

// TestSamplerIsBounded checks that causes without end don't take memory
// without end.
func TestSamplerIsBounded(t *testing.T) {
	var got list
	at := time.Unix(1000, 0)
	s := NewSampler(&got, 1, 1, func() time.Time { return at })
	for i := range 10 * maxSamples {
		s.Record(Event{Kind: "test.kind", Cause: fmt.Sprint(i)})
	}
	qt.Assert(t, len(s.samples), qt.Equals, maxSamples+1)
	qt.Assert(t, got, qt.HasLen, maxSamples+1)
	s.Flush()
	qt.Assert(t, got[len(got)-1].Detail, qt.Equals, fmt.Sprintf("%d more other events were left out", 9*maxSamples-1))
}
