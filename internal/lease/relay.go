package lease

import (
	"cmp"
	"slices"
	"time"

	"kumquatwing/internal/clock"
	"kumquatwing/internal/model"
)

// catchUpTime is how long after the relay has applied a revision it still renews
// holders that have not applied the revision yet. Without it, a burst of changes
// would cost every holder its lease.
const catchUpTime = 300 * time.Millisecond

// Relay is one node of the tree that distributes the settings lease from the
// fleet group's leader through the data centre groups' leaders to every process.
// It guarantees that once Confirmed has returned a revision, no holder below the
// relay acts on an older one. It is not safe for concurrent use.
type Relay struct {
	margin  time.Duration
	grantor *Grantor[string]
	holders map[string]*holder
	// applied lists the revisions that the relay's own process applied last, oldest
	// first, from the newest one that was applied at least catchUpTime ago.
	applied []appliedRevision
	// confirmedRevision is the newest revision that Confirmed has returned or that
	// counts as confirmed since TakeOver. No holder with an older one gets a lease.
	confirmedRevision uint64
}

// holder is a process that was granted a lease by the relay.
type holder struct {
	dc model.DCID
	// confirmed is the revision with which the holder was last renewed.
	confirmed uint64
}

// appliedRevision is a revision and when the relay's own process applied it.
type appliedRevision struct {
	revision uint64
	at       clock.Instant
}

// PendingHolder is a holder with an unexpired lease that has not confirmed a
// revision.
type PendingHolder struct {
	Holder    string
	DC        model.DCID
	Confirmed uint64
	// Ends is when the holder's lease expires for certain.
	Ends clock.Instant
}

// NewRelay returns a relay without holders. margin is the allowance for clock drift.
func NewRelay(margin time.Duration) *Relay {
	return &Relay{margin: margin, grantor: NewGrantor[string](margin), holders: map[string]*holder{}}
}

// TakeOver resets the relay of a new leader. Holders that it doesn't know may act on
// any revision for up to longest, and all revisions up to the given one, the newest
// that the leader has, count as confirmed by the previous leader.
func (r *Relay) TakeOver(now clock.Instant, revision uint64, longest time.Duration) {
	r.grantor.TakeOver(now, longest)
	clear(r.holders)
	r.applied = nil
	r.confirmedRevision = revision
}

// RecordApplied records that the relay's own process has applied revision at now.
func (r *Relay) RecordApplied(now clock.Instant, revision uint64) {
	n := len(r.applied)
	if n > 0 && r.applied[n-1].revision >= revision {
		return
	}
	r.applied = append(r.applied, appliedRevision{revision, now})
	// Only the newest revision older than catchUpTime matters.
	for len(r.applied) > 1 && now.Sub(r.applied[1].at) >= catchUpTime {
		r.applied = r.applied[1:]
	}
}

// requiredRevision returns the oldest revision with which a holder is renewed at
// now.
func (r *Relay) requiredRevision(now clock.Instant) uint64 {
	required := r.confirmedRevision
	for _, a := range r.applied {
		if now.Sub(a.at) >= catchUpTime {
			required = max(required, a.revision)
		}
	}
	return required
}

// Renew grants the holder name, which has applied the given revision, a lease and
// returns its term; 0 if that revision is too old. The caller must itself hold a
// lease with at least term remaining, unless it is the root of the tree.
func (r *Relay) Renew(now clock.Instant, name string, dc model.DCID, applied uint64, term time.Duration) time.Duration {
	if applied < r.requiredRevision(now) || term <= 0 {
		return 0
	}
	h := r.holders[name]
	if h == nil {
		h = &holder{}
		r.holders[name] = h
	}
	h.dc = dc
	h.confirmed = applied
	r.grantor.Renew(name, now, term)
	return term
}

// Remove removes a holder that has confirmed that it no longer acts on its lease.
func (r *Relay) Remove(name string) {
	delete(r.holders, name)
	r.grantor.Remove(name)
}

// Confirmed returns the oldest revision that the relay, which acts on own, or any
// holder with an unexpired lease may act on, and 0 while leases of the previous
// leader may still be valid. Between two calls of TakeOver the result never
// decreases.
func (r *Relay) Confirmed(now clock.Instant, own uint64) uint64 {
	if now.Before(r.grantor.unknownExpiry) {
		return 0
	}
	oldest := own
	for name, h := range r.holders {
		if r.grantor.Expired(name, now) {
			r.Remove(name)
			continue
		}
		oldest = min(oldest, h.confirmed)
	}
	r.confirmedRevision = max(r.confirmedRevision, oldest)
	return oldest
}

// PendingHolders returns the holders with an unexpired lease that may act on a
// revision older than the given one, sorted by name. While leases of the previous
// leader may still be valid, one more entry stands for all of their holders.
func (r *Relay) PendingHolders(now clock.Instant, revision uint64) []PendingHolder {
	var out []PendingHolder
	if now.Before(r.grantor.unknownExpiry) {
		out = append(out, PendingHolder{Holder: "leases of the previous leader", Ends: r.grantor.unknownExpiry})
	}
	for name, h := range r.holders {
		if h.confirmed < revision && !r.grantor.Expired(name, now) {
			out = append(out, PendingHolder{name, h.dc, h.confirmed, r.grantor.Expiry(name)})
		}
	}
	slices.SortFunc(out, func(a, b PendingHolder) int { return cmp.Compare(a.Holder, b.Holder) })
	return out
}
