package eventlog

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// eventList is a Recorder that keeps all events.
type eventList []Event

func (l *eventList) Record(e Event) { *l = append(*l, e) }

// TestSamplerBoundsEachCause checks that frequent refusals with one cause are limited
// and counted, and that a refusal with another cause is recorded.
func TestSamplerBoundsEachCause(t *testing.T) {
	var got eventList
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

// TestSamplerIsBounded checks that the memory of a Sampler stays bounded when every
// event has another cause.
func TestSamplerIsBounded(t *testing.T) {
	var got eventList
	at := time.Unix(1000, 0)
	s := NewSampler(&got, 1, 1, func() time.Time { return at })
	for i := range 10 * maxStreams {
		s.Record(Event{Kind: "test.kind", Cause: fmt.Sprint(i)})
	}
	qt.Assert(t, len(s.streams), qt.Equals, maxStreams+1)
	qt.Assert(t, got, qt.HasLen, maxStreams+1)
	s.Flush()
	qt.Assert(t, got[len(got)-1].Detail, qt.Equals, fmt.Sprintf("%d more other events were left out", 9*maxStreams-1))
}
