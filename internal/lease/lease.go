// Package lease implements time-bounded leases. The holder measures the term from
// before it sends its request. The grantor measures it from when it grants the
// lease, which is later, and adds a margin for clock drift. So the grantor never
// considers a lease expired while its holder still acts on it. Source: Gray and
// Cheriton, "Leases", 1989.
package lease

import (
	"sync/atomic"
	"time"

	"kumquatwing/internal/clock"
)

// Lease is the holder's side of a lease. It is safe for concurrent use. The zero
// value is an expired lease.
type Lease struct {
	// expiry is a clock.Instant; 0 if no lease is held.
	expiry atomic.Int64
}

// Extend moves the expiry to askedAt + term, if that is later. askedAt is when the
// holder sent the request that was granted.
func (l *Lease) Extend(askedAt clock.Instant, term time.Duration) {
	end := int64(askedAt.Add(term))
	for {
		old := l.expiry.Load()
		if old >= end || l.expiry.CompareAndSwap(old, end) {
			return
		}
	}
}

// Expire ends the lease at once.
func (l *Lease) Expire() { l.expiry.Store(0) }

// Remaining returns the remaining time of the lease at now, 0 if it has expired. It
// must be called immediately before each action that requires the lease.
func (l *Lease) Remaining(now clock.Instant) time.Duration {
	expiry := l.expiry.Load()
	if expiry == 0 {
		// No lease is held. The check is needed for clocks with negative instants,
		// to which an expiry of 0 would seem to lie ahead.
		return 0
	}
	return max(0, clock.Instant(expiry).Sub(now))
}

// Valid reports whether the lease is held and has not expired at now.
func (l *Lease) Valid(now clock.Instant) bool { return l.Remaining(now) > 0 }

// Grantor is the grantor's side of many leases, by holder. A group's leader keeps
// it in memory. A new leader can't know which leases its predecessor granted last,
// so it treats every holder as renewed at the time of its take-over. Grantor is not
// safe for concurrent use.
type Grantor[K comparable] struct {
	// margin is the allowance for clock drift, added to each term.
	margin time.Duration
	// expiries holds the expiry of each recorded lease, margin included.
	expiries map[K]clock.Instant
	// unknownExpiry is the lower bound of every expiry, also for holders without an
	// entry.
	unknownExpiry clock.Instant
}

// NewGrantor returns a grantor without entries. It considers a lease expired margin
// after the end of its term.
func NewGrantor[K comparable](margin time.Duration) *Grantor[K] {
	return &Grantor[K]{margin: margin, expiries: map[K]clock.Instant{}}
}

// TakeOver removes all entries and treats every holder as renewed at now for
// longest, the longest term that the previous leader may have granted.
func (g *Grantor[K]) TakeOver(now clock.Instant, longest time.Duration) {
	clear(g.expiries)
	g.unknownExpiry = now.Add(longest + g.margin)
}

// Renew records that k was granted a lease of the given term at now. It never moves
// an expiry to an earlier time.
func (g *Grantor[K]) Renew(k K, now clock.Instant, term time.Duration) {
	g.expiries[k] = max(g.Expiry(k), now.Add(term+g.margin))
}

// Expiry returns the time at which the lease of k has expired for certain, the
// margin included.
func (g *Grantor[K]) Expiry(k K) clock.Instant { return max(g.expiries[k], g.unknownExpiry) }

// Expired reports whether the lease of k has expired for certain at now.
func (g *Grantor[K]) Expired(k K, now clock.Instant) bool { return !now.Before(g.Expiry(k)) }

// Remove removes the entry of k. The holder must have confirmed that it no longer
// acts on the lease.
func (g *Grantor[K]) Remove(k K) { delete(g.expiries, k) }
