package fleet

import (
	"cmp"
	"slices"
)

// share is one data centre's part of a limit, in one dimension.
type share struct {
	amount int64
	want   int64
	// holds is what running tasks use.
	holds int64
	// floor is set for the one data centre whose waiting job can't start with a
	// fair share.
	floor int64
	// out data centres should keep nothing.
	out bool
	// fair is what the data centre should have at least, target what it should
	// keep at most.
	fair   int64
	target int64
}

// quantum is the step in which parts of a limit are moved.
func quantum(limit int64) int64 { return max(1, limit/quantumParts) }

// split lends what is free of limit and sets targets. Amounts never shrink
// here, since only their holder can give them back.
func split(shares []share, limit int64) {
	fairShares(shares, limit)
	free := lend(shares, limit)
	for i := range shares {
		shares[i].target = shares[i].amount
		if shares[i].out {
			shares[i].target = 0
		}
	}
	recall(shares, limit, free)
}

// fairShares divides limit by max-min fairness over the wants: nobody gets
// more than it wants, and the rest is shared equally. Where that is less than
// the floor, the floor is served first.
func fairShares(shares []share, limit int64) {
	maxMin(shares, limit, -1)
	for i := range shares {
		s := &shares[i]
		if s.out || s.fair >= s.floor {
			continue
		}
		s.fair = min(s.floor, limit)
		maxMin(shares, limit-s.fair, i)
		return
	}
}

// maxMin sets the fair shares of all but the one to skip.
func maxMin(shares []share, limit int64, skip int) {
	order := make([]int, 0, len(shares))
	for i := range shares {
		if i == skip {
			continue
		}
		shares[i].fair = 0
		if !shares[i].out {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(shares[a].want, shares[b].want) })
	left := limit
	for n, i := range order {
		equal := left / int64(len(order)-n)
		shares[i].fair = min(shares[i].want, equal)
		left -= shares[i].fair
	}
}

// lend raises amounts to the fair shares as far as the limit allows, the one
// with a floor first, and returns what is left, below zero if the limit is
// exceeded.
func lend(shares []share, limit int64) int64 {
	free := limit
	for _, s := range shares {
		free -= s.amount
	}
	for _, withFloor := range []bool{true, false} {
		for i := range shares {
			if (shares[i].floor > 0) != withFloor {
				continue
			}
			more := max(0, min(free, shares[i].fair-shares[i].amount))
			shares[i].amount += more
			free -= more
		}
	}
	return free
}

// recall lowers targets by what is lacking: first what its holder doesn't want,
// then, for a floor, what nothing runs in, then what a holder has above its fair
// share. The last is left alone while nobody lacks a whole quantum; once somebody
// does, all that is lacking moves.
func recall(shares []share, limit, free int64) {
	lacking := -free
	for _, s := range shares {
		lacking += s.deficit() - (s.amount - s.target)
	}
	if lacking <= 0 {
		return
	}
	step := quantum(limit)
	lacking -= take(shares, roundUp(lacking, step), func(s *share) int64 { return s.target - max(s.want, s.fair) })
	for _, s := range shares {
		if s.floor > 0 {
			lacking -= take(shares, min(lacking, s.deficit()), (*share).unused)
		}
	}
	if contended(shares, step, free) {
		take(shares, lacking, func(s *share) int64 { return s.target - s.fair })
	}
}

// contended reports whether what is lacking is worth moving.
func contended(shares []share, step, free int64) bool {
	for _, s := range shares {
		if d := s.deficit(); d >= step || d > 0 && (s.amount == 0 || s.floor > 0) {
			return true
		}
	}
	return free < 0
}

func (s *share) deficit() int64 { return max(0, s.fair-s.amount) }

// unused is what a share could give to another's floor at once.
func (s *share) unused() int64 {
	if s.floor > 0 {
		return 0
	}
	return s.target - s.holds
}

// take lowers targets by amount in all, most from the share with the most to
// spare, and returns how much it took.
func take(shares []share, amount int64, spare func(*share) int64) int64 {
	taken := int64(0)
	for taken < amount {
		most := -1
		for i := range shares {
			if spare(&shares[i]) > 0 && (most < 0 || spare(&shares[i]) > spare(&shares[most])) {
				most = i
			}
		}
		if most < 0 {
			break
		}
		step := min(amount-taken, spare(&shares[most]))
		shares[most].target -= step
		taken += step
	}
	return taken
}

func roundUp(n, step int64) int64 { return (n + step - 1) / step * step }
