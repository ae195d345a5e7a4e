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
	// KindDropped tells how many events of a kind and cause were left out.
	KindDropped Kind = "event.dropped"
	// maxSamples bounds the kinds and causes told apart; the rest are one.
	maxSamples = 256
)

// Sampler is a Recorder that bounds how many events of each kind and cause are
// passed on per second, so that one refusal that repeats neither fills the
// event file nor hides the others. It counts what it leaves out. It is safe for
// concurrent use.
type Sampler struct {
	next  Recorder
	limit rate.Limit
	burst int
	now   func() time.Time

	mu      sync.Mutex
	samples map[sample]*sampled
}

// sample is what is bounded together.
type sample struct {
	kind  Kind
	cause string
}

// sampled is the state of one sample.
type sampled struct {
	limiter *rate.Limiter
	dropped int
}

// NewSampler returns a Sampler that passes on perSecond events of each kind and
// cause, and burst of them at once.
func NewSampler(next Recorder, perSecond float64, burst int, now func() time.Time) *Sampler {
	return &Sampler{next: next, limit: rate.Limit(perSecond), burst: burst, now: now, samples: map[sample]*sampled{}}
}

// Record implements Recorder.
func (s *Sampler) Record(e Event) {
	if s.allow(sample{e.Kind, e.Cause}) {
		s.next.Record(e)
	}
}

func (s *Sampler) allow(k sample) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.samples[k]
	if st == nil && len(s.samples) >= maxSamples {
		k = sample{}
		st = s.samples[k]
	}
	if st == nil {
		st = &sampled{limiter: rate.NewLimiter(s.limit, s.burst)}
		s.samples[k] = st
	}
	if st.limiter.AllowN(s.now(), 1) {
		return true
	}
	st.dropped++
	return false
}

// Flush records how many events were left out since the last Flush, one event
// for each kind and cause. It is called once a second or so.
func (s *Sampler) Flush() {
	for _, e := range s.takeDropped() {
		s.next.Record(e)
	}
}

func (s *Sampler) takeDropped() []Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Event
	for k, st := range s.samples {
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
