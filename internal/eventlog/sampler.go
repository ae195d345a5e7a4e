package eventlog

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// KindDropped is the kind of event with which a Sampler reports dropped events.
	KindDropped Kind = "event.dropped"
	// maxStreams is the maximum number of streams with a limiter of their own. All
	// further streams share one limiter, which bounds the memory for causes that vary
	// without limit.
	maxStreams = 256
)

// Sampler is a Recorder that passes events on to another Recorder, at a limited rate
// for each kind and cause. A refusal that occurs often then neither fills the event
// file nor displaces other events. Flush records how many events were dropped. It is
// safe for concurrent use.
type Sampler struct {
	next  Recorder
	limit rate.Limit
	burst int
	now   func() time.Time

	mu      sync.Mutex
	streams map[streamKey]*stream // guarded by mu
}

// streamKey identifies the events that share a rate limit.
type streamKey struct {
	kind  Kind
	cause string
}

// stream is the rate limiter of a stream of events, with the number of events
// dropped since the last Flush.
type stream struct {
	limiter *rate.Limiter
	dropped int
}

// NewSampler returns a Sampler that passes on to next at most perSecond events per
// second of each kind and cause, in bursts of at most burst events.
func NewSampler(next Recorder, perSecond float64, burst int, now func() time.Time) *Sampler {
	return &Sampler{next: next, limit: rate.Limit(perSecond), burst: burst, now: now, streams: map[streamKey]*stream{}}
}

// Record implements Recorder.
func (s *Sampler) Record(e Event) {
	if s.allow(streamKey{e.Kind, e.Cause}) {
		s.next.Record(e)
	}
}

// allow reports whether an event of stream k may pass, and counts it as dropped
// otherwise.
func (s *Sampler) allow(k streamKey) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.streams[k]
	if st == nil && len(s.streams) >= maxStreams {
		k = streamKey{}
		st = s.streams[k]
	}
	if st == nil {
		st = &stream{limiter: rate.NewLimiter(s.limit, s.burst)}
		s.streams[k] = st
	}
	if st.limiter.AllowN(s.now(), 1) {
		return true
	}
	st.dropped++
	return false
}

// Flush records the number of events dropped since the last Flush, as one event for
// each kind and cause. It is meant to be called about once per second.
func (s *Sampler) Flush() {
	for _, e := range s.takeDropped() {
		s.next.Record(e)
	}
}

// takeDropped returns the events that report the dropped events, and resets the
// counts.
func (s *Sampler) takeDropped() []Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Event
	for k, st := range s.streams {
		if st.dropped == 0 {
			continue
		}
		out = append(out, Event{
			Kind: KindDropped, Cause: k.cause,
			Detail: fmt.Sprintf("%d more %s events were left out", st.dropped, cmp.Or(k.kind, "other")),
		})
		st.dropped = 0
	}
	slices.SortFunc(out, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Cause, b.Cause), cmp.Compare(a.Detail, b.Detail))
	})
	return out
}
