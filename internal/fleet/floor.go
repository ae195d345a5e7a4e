package fleet

import "kumquatwing/internal/model"

// floorPatience is how many requests of other data centres a floor outlives
// once it is met, so that a holder that forgets to drop it doesn't keep others
// from theirs for good.
const floorPatience = 32

// claim notes the floor of a request. Floors of a workspace are served one at a time
// in the order in which they were first stated; a new floor after one that was
// met goes to the end.
func (s *State) claim(g *Grant, floor model.Resources) {
	s.ageFloors(g)
	switch {
	case floor.IsZero():
		g.FloorSeq = 0
	case g.FloorSeq == 0 || g.Floor != floor && g.Floor.Fits(g.Amount):
		s.floorSeq++
		g.FloorSeq = s.floorSeq
	}
	g.Floor = floor
	g.FloorAge = 0
}

// ageFloors drops the floors that were met long ago.
func (s *State) ageFloors(asking *Grant) {
	for _, g := range s.grantsOf(asking.Workspace) {
		if g == asking || g.FloorSeq == 0 || !g.Floor.Fits(g.Amount) {
			continue
		}
		g.FloorAge++
		if g.FloorAge > floorPatience {
			g.Floor, g.FloorSeq, g.FloorAge = model.Resources{}, 0, 0
		}
	}
}

// firstClaim returns the grant whose floor is served, or nil. A floor over the
// limit can't be met and is passed over.
func (s *State) firstClaim(grants []*Grant) *Grant {
	var first *Grant
	for _, g := range grants {
		if g.FloorSeq == 0 || s.dcs[g.DC].Out || !g.Floor.Fits(s.workspaces[g.Workspace].Limit) {
			continue
		}
		if first == nil || g.FloorSeq < first.FloorSeq {
			first = g
		}
	}
	return first
}
