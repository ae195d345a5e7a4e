package fleet

import "kumquatwing/internal/model"

// maxMinGrantAge is the number of requests of other data centres after which a
// satisfied minimum grant expires. Otherwise a data centre that never clears its
// minimum grant would block those of the others forever.
const maxMinGrantAge = 32

// setMinGrant records the minimum grant of a request. The minimum grants of a
// workspace are served one at a time in the order in which they were first
// requested. A different minimum grant that follows a satisfied one goes to the
// end of the queue.
func (s *State) setMinGrant(g *Grant, minGrant model.Resources) {
	s.ageMinGrants(g)
	switch {
	case minGrant.IsZero():
		g.MinGrantSeq = 0
	case g.MinGrantSeq == 0 || g.MinGrant != minGrant && g.MinGrant.Fits(g.Amount):
		s.minGrantSeq++
		g.MinGrantSeq = s.minGrantSeq
	}
	g.MinGrant = minGrant
	g.MinGrantAge = 0
}

// ageMinGrants increments the age of the satisfied minimum grants of all data centres
// but the requesting one, and clears those above maxMinGrantAge.
func (s *State) ageMinGrants(requesting *Grant) {
	for _, g := range s.grantsOf(requesting.Workspace) {
		if g == requesting || g.MinGrantSeq == 0 || !g.MinGrant.Fits(g.Amount) {
			continue
		}
		g.MinGrantAge++
		if g.MinGrantAge > maxMinGrantAge {
			g.MinGrant, g.MinGrantSeq, g.MinGrantAge = model.Resources{}, 0, 0
		}
	}
}

// nextMinGrant returns the grant whose minimum is served now, or nil. A minimum
// above the workspace's limit can't be satisfied and is skipped.
func (s *State) nextMinGrant(grants []*Grant) *Grant {
	var first *Grant
	for _, g := range grants {
		if g.MinGrantSeq == 0 || s.dcs[g.DC].Out || !g.MinGrant.Fits(s.workspaces[g.Workspace].Limit) {
			continue
		}
		if first == nil || g.MinGrantSeq < first.MinGrantSeq {
			first = g
		}
	}
	return first
}
