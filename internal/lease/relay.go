package lease

import (
	"cmp"
	"slices"
	"time"

	"kumquatwing/internal/clock"
	"kumquatwing/internal/model"
)

// catchUpTime is how long after a revision's arrival a holder that has not
// applied it yet is still renewed. It keeps a burst of changes from costing
// every holder its lease.
const catchUpTime = 300 * time.Millisecond

// Relay is one node of the tree along which the settings lease spreads from
// the fleet's leader over the data centres' leaders to every process. It
// guarantees that once Confirmed has returned a revision, no holder below it
// acts on an older one. It is not safe for concurrent use.
type Relay struct {
	margin  time.Duration
	book    *Book[string]
	holders map[string]*holder
	// arrivals lists the newest revisions with their arrival, oldest first.
	arrivals []arrival
	// floor is the newest revision reported as confirmed; no holder with an
	// older one gets a lease.
	floor uint64
}

type holder struct {
	dc        model.DCID
	confirmed uint64
}

type arrival struct {
	revision uint64
	at       clock.Instant
}

// Waiting is a live holder that has not confirmed a revision.
type Waiting struct {
	Holder    string
	DC        model.DCID
	Confirmed uint64
	Ends      clock.Instant
}

// NewRelay returns a relay without holders. margin covers clock drift.
func NewRelay(margin time.Duration) *Relay {
	return &Relay{margin: margin, book: NewBook[string](margin), holders: map[string]*holder{}}
}

// TakeOver resets the relay of a new leader: unknown holders may act for
// longest yet, on anything, and every revision known now counts as confirmed
// by the predecessor.
func (r *Relay) TakeOver(now clock.Instant, revision uint64, longest time.Duration) {
	r.book.TakeOver(now, longest)
	clear(r.holders)
	r.arrivals = nil
	r.floor = revision
}

// Arrived tells the relay which revision it has applied itself.
func (r *Relay) Arrived(now clock.Instant, revision uint64) {
	n := len(r.arrivals)
	if n > 0 && r.arrivals[n-1].revision >= revision {
		return
	}
	r.arrivals = append(r.arrivals, arrival{revision, now})
	// Only the newest revision older than catchUpTime matters.
	for len(r.arrivals) > 1 && now.Sub(r.arrivals[1].at) >= catchUpTime {
		r.arrivals = r.arrivals[1:]
	}
}

// required is the oldest revision a holder must have applied to be renewed.
func (r *Relay) required(now clock.Instant) uint64 {
	need := r.floor
	for _, a := range r.arrivals {
		if now.Sub(a.at) >= catchUpTime {
			need = max(need, a.revision)
		}
	}
	return need
}

// Renew grants name a lease of at most term, or 0 if it acts on settings that
// are too old. The caller must hold a right that lasts at least term.
func (r *Relay) Renew(now clock.Instant, name string, dc model.DCID, applied uint64, term time.Duration) time.Duration {
	if applied < r.required(now) || term <= 0 {
		return 0
	}
	h := r.holders[name]
	if h == nil {
		h = &holder{}
		r.holders[name] = h
	}
	h.dc = dc
	h.confirmed = applied
	r.book.Renew(name, now, term)
	return term
}

// Drop forgets a holder that has confirmed that it acts no more.
func (r *Relay) Drop(name string) {
	delete(r.holders, name)
	r.book.Forget(name)
}

// Confirmed returns the oldest revision that any live holder or the relay
// itself, at own, acts on. It never decreases.
func (r *Relay) Confirmed(now clock.Instant, own uint64) uint64 {
	if now.Before(r.book.floor) {
		return 0
	}
	oldest := own
	for name, h := range r.holders {
		if r.book.Ended(name, now) {
			r.Drop(name)
			continue
		}
		oldest = min(oldest, h.confirmed)
	}
	r.floor = max(r.floor, oldest)
	return oldest
}

// Waits lists the live holders that act on settings older than revision, in
// the order of their names. A new leader waits for unknown holders first.
func (r *Relay) Waits(now clock.Instant, revision uint64) []Waiting {
	var out []Waiting
	if now.Before(r.book.floor) {
		out = append(out, Waiting{Holder: "leases of the previous leader", Ends: r.book.floor})
	}
	for name, h := range r.holders {
		if h.confirmed < revision && !r.book.Ended(name, now) {
			out = append(out, Waiting{name, h.dc, h.confirmed, r.book.End(name)})
		}
	}
	slices.SortFunc(out, func(a, b Waiting) int { return cmp.Compare(a.Holder, b.Holder) })
	return out
}
