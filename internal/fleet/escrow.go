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
	workspace model.WorkspaceID
	dc        model.DCID
}

// Grant is the part of a workspace's limit lent to a data centre. Over all data
// centres the amounts never exceed the limit, except after the limit was
// lowered, until enough is returned; meanwhile no amount grows.
type Grant struct {
	Workspace model.WorkspaceID `msgpack:"t" json:"workspace"`
	DC        model.DCID        `msgpack:"d" json:"dc"`
	// Amount is what the workspace's tasks may hold there.
	Amount model.Resources `msgpack:"a" json:"amount"`
	// Target is what the data centre should keep: it starts nothing beyond it
	// and returns what is above it and free. What runs beyond it runs on, unless
	// Over is set.
	Target model.Resources `msgpack:"g" json:"target"`
	// Over is set for readers while a lowered limit is exceeded: what runs beyond
	// Target is to be stopped.
	Over bool `msgpack:"x,omitempty" json:"over,omitempty"`
	// Want and Holds are from the newest RequestGrant.
	Want  model.Resources `msgpack:"w" json:"want"`
	Holds model.Resources `msgpack:"h" json:"holds"`
	// Floor is from the newest RequestGrant; FloorSeq orders the floors of a workspace
	// and FloorAge counts what others asked since it was met.
	Floor    model.Resources `msgpack:"f" json:"floor"`
	FloorSeq uint64          `msgpack:"q" json:"-"`
	FloorAge int             `msgpack:"e" json:"-"`
	// Version grows with each RequestGrant and each change of Amount.
	Version uint64 `msgpack:"v" json:"version"`
}

// requestGrant notes the demand and lends what is free.
func (s *State) requestGrant(c *RequestGrant) *Result {
	if refusal := s.checkGrantee(c.Workspace, c.DC); refusal != nil {
		return &Result{Refusal: refusal}
	}
	for _, r := range []model.Resources{c.Want, c.Holds, c.Floor} {
		if r.Negative() || !withinBounds(r) {
			return refuse(verdict.ReasonBadRequest, "grant: %s is out of bounds", r)
		}
	}
	g := s.grantOf(c.Workspace, c.DC)
	g.Want = c.Want.Max(c.Holds).Max(c.Floor)
	g.Holds = c.Holds
	g.Version++
	s.claim(g, c.Floor)
	s.rebalance(c.Workspace)
	s.addHeadroom(g)
	return s.grantResult(g)
}

// returnGrant takes back what is above Keep and lends it on.
func (s *State) returnGrant(c *ReturnGrant) *Result {
	if refusal := s.checkGrantee(c.Workspace, c.DC); refusal != nil {
		return &Result{Refusal: refusal}
	}
	g := s.grants[grantKey{c.Workspace, c.DC}]
	if g == nil || g.Version != c.Version {
		return refuse(verdict.ReasonConflict, "grant of workspace %s in data centre %s has changed", c.Workspace, c.DC)
	}
	if refusal := s.checkGeneration(c.DC, c.Generation); refusal != nil {
		return &Result{Refusal: refusal}
	}
	if c.Keep.Negative() {
		return refuse(verdict.ReasonBadRequest, "grant: amounts can't be negative")
	}
	g.lower(c.Keep)
	s.rebalance(c.Workspace)
	return s.grantResult(g)
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

func (s *State) grantResult(g *Grant) *Result {
	c := s.shown(g)
	return &Result{Grant: &c}
}

func (s *State) checkGrantee(workspace model.WorkspaceID, dc model.DCID) *verdict.Refusal {
	if _, ok := s.workspaces[workspace]; !ok {
		return verdict.Refuse(verdict.ReasonUnknownWorkspace, "workspace %q is not declared", workspace)
	}
	if _, ok := s.dcs[dc]; !ok {
		return verdict.Refuse(verdict.ReasonBadRequest, "data centre %q is not declared", dc)
	}
	return nil
}

func (s *State) grantOf(workspace model.WorkspaceID, dc model.DCID) *Grant {
	k := grantKey{workspace, dc}
	g := s.grants[k]
	if g == nil {
		g = &Grant{Workspace: workspace, DC: dc}
		s.grants[k] = g
	}
	return g
}

// grantsOf lists a workspace's grants by data centre.
func (s *State) grantsOf(workspace model.WorkspaceID) []*Grant {
	var list []*Grant
	for _, dc := range s.DataCentres() {
		if g := s.grants[grantKey{workspace, dc.ID}]; g != nil {
			list = append(list, g)
		}
	}
	return list
}

// rebalance lends what is free to the data centres below their fair share and
// sets targets so that what others lack is returned.
func (s *State) rebalance(workspace model.WorkspaceID) {
	s.grantsVersion++
	grants := s.grantsOf(workspace)
	limit := s.workspaces[workspace].Limit
	first := s.firstClaim(grants)
	before := make([]model.Resources, len(grants))
	for i, g := range grants {
		before[i] = g.Amount
	}
	for d := range model.Dimensions {
		s.rebalanceDimension(grants, first, d, limit.At(d))
	}
	for i, g := range grants {
		if g.Amount != before[i] {
			g.Version++
		}
	}
	s.noteOver(workspace, sumOf(grants))
}

// noteOver keeps whether a workspace's grants exceed its limit.
func (s *State) noteOver(workspace model.WorkspaceID, sum model.Resources) {
	if sum.Fits(s.workspaces[workspace].Limit) {
		delete(s.over, workspace)
		return
	}
	s.over[workspace] = true
}

func sumOf(grants []*Grant) model.Resources {
	var sum model.Resources
	for _, g := range grants {
		sum = sum.Add(g.Amount)
	}
	return sum
}

func (s *State) rebalanceDimension(grants []*Grant, first *Grant, d int, limit int64) {
	shares := make([]share, len(grants))
	for i, g := range grants {
		shares[i] = share{
			amount: g.Amount.At(d), want: g.Want.At(d), holds: g.Holds.At(d), out: s.dcs[g.DC].Out,
		}
		if g == first {
			shares[i].floor = g.Floor.At(d)
		}
	}
	split(shares, limit)
	for i, g := range grants {
		setAt(&g.Amount, d, shares[i].amount)
		setAt(&g.Target, d, shares[i].target)
	}
}

// headroomPart is the part of its demand, one in so many, that a data centre gets
// beyond it.
const headroomPart = 4

// addHeadroom lends a part of the demand, a quantum at most, beyond the demand of
// the data centre that asked, so that it need not ask for each task. It takes
// only what is free.
func (s *State) addHeadroom(g *Grant) {
	if s.dcs[g.DC].Out {
		return
	}
	limit := s.workspaces[g.Workspace].Limit
	sum := sumOf(s.grantsOf(g.Workspace))
	for d := range model.Dimensions {
		want := g.Want.At(d)
		if want == 0 || g.Amount.At(d) < want {
			continue
		}
		room := want + min(quantum(limit.At(d)), want/headroomPart) - g.Amount.At(d)
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
