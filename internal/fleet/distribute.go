package fleet

import (
	"cmp"
	"slices"
)

// share is a data centre's grant of a workspace's limit in one resource dimension.
type share struct {
	amount int64
	demand int64
	// inUse is the amount that running tasks use.
	inUse int64
	// minGrant is the minimum grant of the data centre whose minimum is served now,
	// and 0 for all others.
	minGrant int64
	// outOfService is set for a data centre that should keep nothing.
	outOfService bool
	// fairShare is the amount to raise the grant to, target the amount that the
	// data centre should keep at most.
	fairShare int64
	target    int64
}

// quantum returns the unit in which grants of a limit are recalled.
func quantum(limit int64) int64 { return max(1, limit/quantaPerLimit) }

// distribute grants what is free of limit and sets the targets. It never reduces an
// amount, since only the data centre that holds a grant can return it.
func distribute(shares []share, limit int64) {
	fairShares(shares, limit)
	free := grantFree(shares, limit)
	for i := range shares {
		shares[i].target = shares[i].amount
		if shares[i].outOfService {
			shares[i].target = 0
		}
	}
	recall(shares, limit, free)
}

// fairShares sets the fair shares of limit by max-min fairness: no data centre gets
// more than its demand, and the rest is divided equally. If a data centre's fair
// share is less than its minimum grant, it gets the minimum grant, and the others
// divide the rest.
func fairShares(shares []share, limit int64) {
	setMaxMinShares(shares, limit, -1)
	for i := range shares {
		s := &shares[i]
		if s.outOfService || s.fairShare >= s.minGrant {
			continue
		}
		s.fairShare = min(s.minGrant, limit)
		setMaxMinShares(shares, limit-s.fairShare, i)
		return
	}
}

// setMaxMinShares sets the fair shares of limit by max-min fairness for all data
// centres but the one at index skip.
func setMaxMinShares(shares []share, limit int64, skip int) {
	order := make([]int, 0, len(shares))
	for i := range shares {
		if i == skip {
			continue
		}
		shares[i].fairShare = 0
		if !shares[i].outOfService {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(shares[a].demand, shares[b].demand) })
	remaining := limit
	for n, i := range order {
		equal := remaining / int64(len(order)-n)
		shares[i].fairShare = min(shares[i].demand, equal)
		remaining -= shares[i].fairShare
	}
}

// grantFree raises amounts to the fair shares as far as the limit allows, the one
// with a minimum grant first. It returns what is left of the limit, which is negative
// if the amounts exceed the limit.
func grantFree(shares []share, limit int64) int64 {
	free := limit
	for _, s := range shares {
		free -= s.amount
	}
	for _, withMinGrant := range []bool{true, false} {
		for i := range shares {
			if (shares[i].minGrant > 0) != withMinGrant {
				continue
			}
			more := max(0, min(free, shares[i].fairShare-shares[i].amount))
			shares[i].amount += more
			free -= more
		}
	}
	return free
}

// recall lowers targets by the shortfall: the amount that is missing from the fair
// shares, or by which the limit is exceeded, and that neither the free amount nor
// earlier reductions of targets cover. It lowers, in this order, targets above both
// demand and fair share; for a minimum grant, targets above what running tasks
// use; targets above the fair share. The last step is skipped unless contended
// reports true; it then covers the whole rest of the shortfall.
func recall(shares []share, limit, free int64) {
	shortfall := -free
	for _, s := range shares {
		shortfall += s.deficit() - (s.amount - s.target)
	}
	if shortfall <= 0 {
		return
	}
	step := quantum(limit)
	shortfall -= reduceTargets(shares, roundUp(shortfall, step), func(s *share) int64 { return s.target - max(s.demand, s.fairShare) })
	for _, s := range shares {
		if s.minGrant > 0 {
			shortfall -= reduceTargets(shares, min(shortfall, s.deficit()), (*share).unused)
		}
	}
	if contended(shares, step, free) {
		reduceTargets(shares, shortfall, func(s *share) int64 { return s.target - s.fairShare })
	}
}

// contended reports whether the shortfall is large enough to recall grants that are
// in demand: a data centre lacks a whole quantum, one without any amount or with a
// minimum grant lacks something, or the limit is exceeded.
func contended(shares []share, step, free int64) bool {
	for _, s := range shares {
		if d := s.deficit(); d >= step || d > 0 && (s.amount == 0 || s.minGrant > 0) {
			return true
		}
	}
	return free < 0
}

// deficit returns the amount that is missing from the fair share.
func (s *share) deficit() int64 { return max(0, s.fairShare-s.amount) }

// unused returns the amount of the target that no running task uses and that can be
// recalled for the minimum grant of another data centre.
func (s *share) unused() int64 {
	if s.minGrant > 0 {
		return 0
	}
	return s.target - s.inUse
}

// reduceTargets lowers targets by up to amount in total, each time that of the share
// with the most available, and returns by how much.
func reduceTargets(shares []share, amount int64, available func(*share) int64) int64 {
	reduced := int64(0)
	for reduced < amount {
		most := -1
		for i := range shares {
			if available(&shares[i]) > 0 && (most < 0 || available(&shares[i]) > available(&shares[most])) {
				most = i
			}
		}
		if most < 0 {
			break
		}
		step := min(amount-reduced, available(&shares[most]))
		shares[most].target -= step
		reduced += step
	}
	return reduced
}

func roundUp(n, step int64) int64 { return (n + step - 1) / step * step }
