package fleet

import (
	"kumquatwing/internal/model"
	"kumquatwing/internal/verdict"
)

// quantumParts is into how many quanta a limit is split. Grants move in whole
// quanta where they can, and a fair share is not enforced closer than one, so
// that small swings of demand move nothing.
const quantumParts = 64

type grantKey struct {
	team model.TeamID
	dc   model.DCID
}

// Grant is the part of a team's limit lent to a data centre. Over all data
// centres the amounts never exceed the limit, except after the limit was
// lowered, until enough is returned; meanwhile no amount grows.
type Grant struct {
	Team model.TeamID `msgpack:"t" json:"team"`
	DC   model.DCID   `msgpack:"d" json:"dc"`
	// Amount is what the team's tasks may hold there.
	Amount model.Resources `msgpack:"a" json:"amount"`
	// Target is what the data centre should keep: it starts nothing beyond it
	// and returns what is above it and free.
	Target model.Resources `msgpack:"g" json:"target"`
	// Want and Holds are from the newest RequestGrant.
	Want  model.Resources `msgpack:"w" json:"want"`
	Holds model.Resources `msgpack:"h" json:"holds"`
	// Version grows with each RequestGrant and each change of Amount.
	Version uint64 `msgpack:"v" json:"version"`
}

// requestGrant notes the demand and lends what is free.
func (s *State) requestGrant(c *RequestGrant) *Result {
	if refusal := s.checkGrantee(c.Team, c.DC); refusal != nil {
		return &Result{Refusal: refusal}
	}
	if c.Want.Negative() || c.Holds.Negative() {
		return refuse(verdict.ReasonBadRequest, "grant: amounts can't be negative")
	}
	g := s.grantOf(c.Team, c.DC)
	g.Want = c.Want.Max(c.Holds)
	g.Holds = c.Holds
	g.Version++
	s.rebalance(c.Team)
	s.addHeadroom(g)
	return grantResult(g)
}

// returnGrant takes back what is above Keep and lends it on.
func (s *State) returnGrant(c *ReturnGrant) *Result {
	if refusal := s.checkGrantee(c.Team, c.DC); refusal != nil {
		return &Result{Refusal: refusal}
	}
	g := s.grants[grantKey{c.Team, c.DC}]
	if g == nil || g.Version != c.Version {
		return refuse(verdict.ReasonConflict, "grant of team %s in data centre %s has changed", c.Team, c.DC)
	}
	if refusal := s.checkGeneration(c.DC, c.Generation); refusal != nil {
		return &Result{Refusal: refusal}
	}
	if c.Keep.Negative() {
		return refuse(verdict.ReasonBadRequest, "grant: amounts can't be negative")
	}
	g.lower(c.Keep)
	s.rebalance(c.Team)
	return grantResult(g)
}

// lower cuts the amount down to keep. What is returned beyond the target is no
// longer wanted, or it would be lent again at once.
func (g *Grant) lower(keep model.Resources) {
	for d := range model.Dimensions {
		if keep.At(d) < g.Target.At(d) {
			setAt(&g.Want, d, min(g.Want.At(d), keep.At(d)))
		}
	}
	g.Amount = g.Amount.Min(keep)
	g.Version++
}

func grantResult(g *Grant) *Result {
	c := *g
	return &Result{Grant: &c}
}

func (s *State) checkGrantee(team model.TeamID, dc model.DCID) *verdict.Refusal {
	if _, ok := s.teams[team]; !ok {
		return verdict.Refuse(verdict.ReasonUnknownTeam, "team %q is not declared", team)
	}
	if _, ok := s.dcs[dc]; !ok {
		return verdict.Refuse(verdict.ReasonBadRequest, "data centre %q is not declared", dc)
	}
	return nil
}

func (s *State) grantOf(team model.TeamID, dc model.DCID) *Grant {
	k := grantKey{team, dc}
	g := s.grants[k]
	if g == nil {
		g = &Grant{Team: team, DC: dc}
		s.grants[k] = g
	}
	return g
}

// grantsOf lists a team's grants by data centre.
func (s *State) grantsOf(team model.TeamID) []*Grant {
	var list []*Grant
	for _, dc := range s.DataCentres() {
		if g := s.grants[grantKey{team, dc.ID}]; g != nil {
			list = append(list, g)
		}
	}
	return list
}

// rebalance lends what is free to the data centres below their fair share and
// sets targets so that what others lack is returned.
func (s *State) rebalance(team model.TeamID) {
	grants := s.grantsOf(team)
	limit := s.teams[team].Limit
	before := make([]model.Resources, len(grants))
	for i, g := range grants {
		before[i] = g.Amount
	}
	for d := range model.Dimensions {
		s.rebalanceDimension(grants, d, limit.At(d))
	}
	for i, g := range grants {
		if g.Amount != before[i] {
			g.Version++
		}
	}
}

func (s *State) rebalanceDimension(grants []*Grant, d int, limit int64) {
	shares := make([]share, len(grants))
	for i, g := range grants {
		shares[i] = share{amount: g.Amount.At(d), want: g.Want.At(d), out: s.dcs[g.DC].Out}
	}
	split(shares, limit)
	for i, g := range grants {
		setAt(&g.Amount, d, shares[i].amount)
		setAt(&g.Target, d, shares[i].target)
	}
}

// addHeadroom lends up to a quantum beyond the demand of the data centre that
// asked, so that it need not ask for each task. It takes only what is free.
func (s *State) addHeadroom(g *Grant) {
	if s.dcs[g.DC].Out {
		return
	}
	limit := s.teams[g.Team].Limit
	var sum model.Resources
	for _, o := range s.grantsOf(g.Team) {
		sum = sum.Add(o.Amount)
	}
	for d := range model.Dimensions {
		want := g.Want.At(d)
		if want == 0 || g.Amount.At(d) < want {
			continue
		}
		room := want + quantum(limit.At(d)) - g.Amount.At(d)
		more := max(0, min(limit.At(d)-sum.At(d), room))
		setAt(&g.Amount, d, g.Amount.At(d)+more)
		setAt(&g.Target, d, g.Target.At(d)+more)
	}
}

func setAt(r *model.Resources, d int, v int64) {
	switch d {
	case 0:
		r.MilliCPU = v
	case 1:
		r.MemoryMB = v
	default:
		r.Accelerators = v
	}
}
