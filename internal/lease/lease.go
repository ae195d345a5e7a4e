// Package lease keeps time-bounded rights. A holder counts its lease from
// before it asked, a giver from after it answered and adds a margin for clock
// drift, so that a giver never believes a lease ended while its holder still
// acts on it. Source: Gray and Cheriton, "Leases", 1989.
package lease

import (
	"sync/atomic"
	"time"

	"kumquatwing/internal/clock"
)

// Held is the holder's side of one lease. It is safe for concurrent use. The
// zero value is a lease that has ended.
type Held struct {
	until atomic.Int64
}

// Extend moves the end to askedAt + term, if that is later. askedAt is when
// the holder sent the request that was granted.
func (h *Held) Extend(askedAt clock.Instant, term time.Duration) {
	end := int64(askedAt.Add(term))
	for {
		old := h.until.Load()
		if old >= end || h.until.CompareAndSwap(old, end) {
			return
		}
	}
}

// Drop ends the lease at once.
func (h *Held) Drop() { h.until.Store(0) }

// Left returns the time left at now, at least 0. It must be called right
// before each act that needs the lease.
func (h *Held) Left(now clock.Instant) time.Duration {
	until := h.until.Load()
	if until == 0 {
		// Never held, also where the clock started below 0.
		return 0
	}
	return max(0, clock.Instant(until).Sub(now))
}

// Valid reports whether the lease holds at now.
func (h *Held) Valid(now clock.Instant) bool { return h.Left(now) > 0 }

// Book is the giver's side of many leases. It is kept by a group's leader in
// memory: a new leader can't know what its predecessor granted last, so it
// counts every holder as renewed when it took over. It is not safe for
// concurrent use.
type Book[K comparable] struct {
	margin time.Duration
	ends   map[K]clock.Instant
	// floor is the earliest end of a holder without an entry.
	floor clock.Instant
}

// NewBook returns a book whose leases end margin after their term.
func NewBook[K comparable](margin time.Duration) *Book[K] {
	return &Book[K]{margin: margin, ends: map[K]clock.Instant{}}
}

// TakeOver forgets all entries and counts every holder as renewed at now for
// longest, the longest term the predecessor may have granted.
func (b *Book[K]) TakeOver(now clock.Instant, longest time.Duration) {
	clear(b.ends)
	b.floor = now.Add(longest + b.margin)
}

// Renew records a lease of term granted at now.
func (b *Book[K]) Renew(k K, now clock.Instant, term time.Duration) {
	b.ends[k] = max(b.End(k), now.Add(term+b.margin))
}

// End returns when the lease of k has provably ended.
func (b *Book[K]) End(k K) clock.Instant { return max(b.ends[k], b.floor) }

// Ended reports whether the lease of k has provably ended at now.
func (b *Book[K]) Ended(k K, now clock.Instant) bool { return !now.Before(b.End(k)) }

// Forget removes the entry of k, whose holder has confirmed that it stopped.
func (b *Book[K]) Forget(k K) { delete(b.ends, k) }
