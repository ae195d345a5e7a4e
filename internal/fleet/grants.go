package fleet

import (
	"kumquatwing/internal/model"
	"kumquatwing/internal/verdict"
)

// quantaPerLimit is the number of quanta that a limit is divided into. Grants are
// recalled in whole quanta where possible, and a fair share is enforced only to
// within one quantum, so that small changes of demand move no grants.
const quantaPerLimit = 64

type grantKey struct {
	workspace model.WorkspaceID
	dc        model.DCID
}

// Grant is the part of a workspace's limit that is granted to a data centre. The
// sum of the amounts over all data centres never exceeds the limit, except after
// the limit was lowered: then no amount grows until enough has been returned.
type Grant struct {
	Workspace model.WorkspaceID `msgpack:"t" json:"workspace"`
	DC        model.DCID        `msgpack:"d" json:"dc"`
	// Amount is the most that the workspace's tasks may use in the data centre.
	Amount model.Resources `msgpack:"a" json:"amount"`
	// Target is the part of Amount that the data centre should keep. It starts no
	// task beyond Target and returns what is above Target and not in use. Tasks
	// that already run beyond Target continue, unless Over is set.
	Target model.Resources `msgpack:"g" json:"target"`
	// Over is set while the workspace's grants exceed its lowered limit: tasks
	// that run beyond Target are to be stopped. It is set in copies for readers
	// only.
	Over bool `msgpack:"x,omitempty" json:"over,omitempty"`
	// Demand and InUse are those of the newest RequestGrant. Demand is raised to InUse
	// and MinGrant and lowered by returns.
	Demand model.Resources `msgpack:"w" json:"want"`
	InUse  model.Resources `msgpack:"h" json:"holds"`
	// MinGrant is the minimum grant of the newest RequestGrant. MinGrantSeq orders
	// the minimum grants of a workspace; it is 0 if none is requested. MinGrantAge
	// counts the requests of other data centres that found MinGrant satisfied since
	// it was last stated.
	MinGrant    model.Resources `msgpack:"f" json:"floor"`
	MinGrantSeq uint64          `msgpack:"q" json:"-"`
	MinGrantAge int             `msgpack:"e" json:"-"`
	// Version is incremented by each RequestGrant and each change of Amount.
	Version uint64 `msgpack:"v" json:"version"`
}

// requestGrant records the demand and grants what is free of the limit.
func (s *State) requestGrant(c *RequestGrant) *Result {
	if refusal := s.checkGrantee(c.Workspace, c.DC); refusal != nil {
		return &Result{Refusal: refusal}
	}
	for _, r := range []model.Resources{c.Demand, c.InUse, c.MinGrant} {
		if r.Negative() || !withinBounds(r) {
			return refuse(verdict.ReasonBadRequest, "grant: %s is out of bounds", r)
		}
	}
	g := s.ensureGrant(c.Workspace, c.DC)
	g.Demand = c.Demand.Max(c.InUse).Max(c.MinGrant)
	g.InUse = c.InUse
	g.Version++
	s.setMinGrant(g, c.MinGrant)
	s.rebalance(c.Workspace)
	s.addHeadroom(g)
	return s.grantResult(g)
}

// returnGrant takes back the amount above Keep and redistributes it.
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
	g.reduceTo(c.Keep)
	s.rebalance(c.Workspace)
	return s.grantResult(g)
}

// reduceTo reduces the amount to keep. If keep is below the target, it reduces the
// demand to keep as well, or else the returned amount would be granted again at
// once.
func (g *Grant) reduceTo(keep model.Resources) {
	for d := range model.Dimensions {
		if keep.At(d) < g.Target.At(d) {
			setAt(&g.Demand, d, min(g.Demand.At(d), keep.At(d)))
		}
	}
	g.Amount = g.Amount.Min(keep)
	g.Version++
}

func (s *State) grantResult(g *Grant) *Result {
	c := s.readerCopy(g)
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

// ensureGrant returns the grant of workspace in dc and creates it if there is none.
func (s *State) ensureGrant(workspace model.WorkspaceID, dc model.DCID) *Grant {
	k := grantKey{workspace, dc}
	g := s.grants[k]
	if g == nil {
		g = &Grant{Workspace: workspace, DC: dc}
		s.grants[k] = g
	}
	return g
}

// grantsOf returns a workspace's grants, sorted by data centre.
func (s *State) grantsOf(workspace model.WorkspaceID) []*Grant {
	var list []*Grant
	for _, dc := range s.DataCentres() {
		if g := s.grants[grantKey{workspace, dc.ID}]; g != nil {
			list = append(list, g)
		}
	}
	return list
}

// rebalance grants what is free of the limit to the data centres below their fair
// share and lowers the targets of others to recall what is missing.
func (s *State) rebalance(workspace model.WorkspaceID) {
	s.grantsVersion++
	grants := s.grantsOf(workspace)
	limit := s.workspaces[workspace].Limit
	served := s.nextMinGrant(grants)
	amountsBefore := make([]model.Resources, len(grants))
	for i, g := range grants {
		amountsBefore[i] = g.Amount
	}
	for d := range model.Dimensions {
		s.rebalanceDimension(grants, served, d, limit.At(d))
	}
	for i, g := range grants {
		if g.Amount != amountsBefore[i] {
			g.Version++
		}
	}
	s.updateOverLimit(workspace, totalAmount(grants))
}

// updateOverLimit records whether sum, the total of a workspace's grants, exceeds the
// workspace's limit.
func (s *State) updateOverLimit(workspace model.WorkspaceID, sum model.Resources) {
	if sum.Fits(s.workspaces[workspace].Limit) {
		delete(s.overLimit, workspace)
		return
	}
	s.overLimit[workspace] = true
}

func totalAmount(grants []*Grant) model.Resources {
	var sum model.Resources
	for _, g := range grants {
		sum = sum.Add(g.Amount)
	}
	return sum
}

func (s *State) rebalanceDimension(grants []*Grant, served *Grant, d int, limit int64) {
	shares := make([]share, len(grants))
	for i, g := range grants {
		shares[i] = share{
			amount: g.Amount.At(d), demand: g.Demand.At(d), inUse: g.InUse.At(d), outOfService: s.dcs[g.DC].Out,
		}
		if g == served {
			shares[i].minGrant = g.MinGrant.At(d)
		}
	}
	distribute(shares, limit)
	for i, g := range grants {
		setAt(&g.Amount, d, shares[i].amount)
		setAt(&g.Target, d, shares[i].target)
	}
}

// headroomDivisor bounds a data centre's headroom: it is granted at most its demand
// divided by headroomDivisor beyond the demand.
const headroomDivisor = 4

// addHeadroom raises the grant of a requesting data centre beyond its demand by a
// part of the demand, at most one quantum, so that it need not send a request for
// each task. It uses only what is free of the limit.
func (s *State) addHeadroom(g *Grant) {
	if s.dcs[g.DC].Out {
		return
	}
	limit := s.workspaces[g.Workspace].Limit
	sum := totalAmount(s.grantsOf(g.Workspace))
	for d := range model.Dimensions {
		demand := g.Demand.At(d)
		if demand == 0 || g.Amount.At(d) < demand {
			continue
		}
		increase := demand + min(quantum(limit.At(d)), demand/headroomDivisor) - g.Amount.At(d)
		added := max(0, min(limit.At(d)-sum.At(d), increase))
		setAt(&g.Amount, d, g.Amount.At(d)+added)
		setAt(&g.Target, d, g.Target.At(d)+added)
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
