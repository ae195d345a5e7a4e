package fleet

import (
	"fmt"
	"slices"

	"kumquatwing/internal/model"
	"kumquatwing/internal/settings"
	"kumquatwing/internal/verdict"
)

// Kinds of changes in the history.
const (
	changeApply       = "apply"
	changeKeyGrant    = "key-grant"
	changeKeyWithdraw = "key-withdraw"
	changeOut         = "dc-out"
	changeIn          = "dc-in"
)

// maxKeys bounds the keys ever granted. The withdrawn ones are kept, so that no
// id is granted twice.
const maxKeys = 65_536

// apply replaces the declarations, whole or not at all.
func (s *State) apply(h Header, a *Apply) *Result {
	next := a.Declarations
	if a.FromRevision == 0 {
		next.Sort()
	} else {
		older, refusal := s.declarationsAt(a.FromRevision)
		if refusal != nil {
			return &Result{Refusal: refusal}
		}
		// Readers may hold its lists, which are sorted already.
		next = *older
	}
	if faults := next.Validate(); len(faults) > 0 {
		return refuse(verdict.ReasonBadRequest, "%v", faults)
	}
	if refusal := s.checkRemovals(&next); refusal != nil {
		return &Result{Refusal: refusal}
	}
	changes := changeLines(settings.Diff(&s.declarations, &next))
	if len(changes) == 0 {
		return &Result{}
	}
	result := s.accept(h, changeApply, changes, &next)
	s.install(&next)
	return result
}

// changeLines formats the differences for the history.
func changeLines(diffs []settings.Difference) []string {
	lines := make([]string, len(diffs))
	for i, d := range diffs {
		lines[i] = d.String()
	}
	return lines
}

// declarationsAt finds an older tree in the history.
func (s *State) declarationsAt(revision uint64) (*settings.Declarations, *verdict.Refusal) {
	for _, change := range s.history {
		if change.Revision == revision && change.Declarations != nil {
			return change.Declarations, nil
		}
	}
	return nil, verdict.Refuse(verdict.ReasonBadRequest,
		"the history holds no tree applied at revision %d", revision)
}

// checkRemovals refuses to remove what is still in use.
func (s *State) checkRemovals(next *settings.Declarations) *verdict.Refusal {
	for _, t := range s.declarations.Workspaces {
		kept := slices.ContainsFunc(next.Workspaces, func(n model.Workspace) bool { return n.ID == t.ID })
		if n := s.jobs.unfinished[t.ID]; !kept && n > 0 {
			return verdict.Refuse(verdict.ReasonConflict, "workspaces.%s: can't be removed with %d jobs unfinished", t.ID, n)
		}
	}
	for _, p := range s.declarations.DataCentres {
		kept := slices.ContainsFunc(next.DataCentres, func(n settings.Place) bool { return n.ID == p.ID })
		if kept {
			continue
		}
		if use := s.useOf(p.ID); use != "" {
			return verdict.Refuse(verdict.ReasonConflict, "data-centres.%s: can't be removed: %s", p.ID, use)
		}
	}
	return nil
}

// useOf says what still needs a data centre, or "".
func (s *State) useOf(dc model.DCID) string {
	if !s.dcs[dc].Out {
		return "it must be taken out first"
	}
	if n := len(s.JobsOwnedBy(dc)); n > 0 {
		return fmt.Sprintf("it owns tasks of %d unfinished jobs", n)
	}
	for _, workspace := range s.declarations.Workspaces {
		if g := s.grants[grantKey{workspace.ID, dc}]; g != nil && !g.Amount.IsZero() {
			return fmt.Sprintf("it holds a grant of workspace %s", workspace.ID)
		}
	}
	return ""
}

// install makes validated declarations the current ones. The revision must
// have been raised before.
func (s *State) install(next *settings.Declarations) {
	s.tree = next.Tree(s.tree, s.revision)
	s.declarations = *next
	s.grantsVersion++
	s.installWorkspaces(next.Workspaces)
	s.installDataCentres(next.DataCentres)
	for _, t := range next.Workspaces {
		s.rebalance(t.ID)
	}
}

// installWorkspaces also withdraws the keys and drops the grants of removed workspaces.
func (s *State) installWorkspaces(workspaces []model.Workspace) {
	old, oldRevisions := s.workspaces, s.limitRevisions
	s.workspaces = make(map[model.WorkspaceID]model.Workspace, len(workspaces))
	s.limitRevisions = make(map[model.WorkspaceID]uint64, len(workspaces))
	for _, t := range workspaces {
		s.workspaces[t.ID] = t
		s.limitRevisions[t.ID] = s.revision
		if before, ok := old[t.ID]; ok && before.Limit == t.Limit {
			s.limitRevisions[t.ID] = oldRevisions[t.ID]
		}
	}
	for id, k := range s.keys {
		if _, ok := s.workspaces[k.Workspace]; !ok && !k.Withdrawn {
			k.Withdrawn = true
			k.Revision = s.revision
			s.keys[id] = k
		}
	}
	for k := range s.grants {
		if _, ok := s.workspaces[k.workspace]; !ok {
			delete(s.grants, k)
			delete(s.over, k.workspace)
		}
	}
}

// installDataCentres keeps whether a data centre is out.
func (s *State) installDataCentres(places []settings.Place) {
	dcs := make(map[model.DCID]model.DataCentre, len(places))
	for _, p := range places {
		dc, ok := s.dcs[p.ID]
		if !ok {
			dc = model.DataCentre{ID: p.ID, Revision: s.revision}
		}
		dc.Region = p.Region
		dcs[p.ID] = dc
	}
	s.dcs = dcs
	for k := range s.grants {
		if _, ok := dcs[k.dc]; !ok {
			delete(s.grants, k)
		}
	}
}

func (s *State) grantKey(h Header, g *GrantKey) *Result {
	if _, ok := s.workspaces[g.Workspace]; !ok {
		return refuse(verdict.ReasonUnknownWorkspace, "workspace %q is not declared", g.Workspace)
	}
	if !validKeyID(g.Key) {
		return refuse(verdict.ReasonBadRequest, "%q is not a key id", g.Key)
	}
	if _, ok := s.keys[g.Key]; ok {
		return refuse(verdict.ReasonConflict, "key %s was granted before", g.Key)
	}
	if len(s.keys) >= maxKeys {
		return refuse(verdict.ReasonOverload, "there are %d keys already, withdrawn ones included", maxKeys)
	}
	changes := []string{fmt.Sprintf("key %s granted to workspace %s", g.Key, g.Workspace)}
	result := s.accept(h, changeKeyGrant, changes, nil)
	s.keys[g.Key] = model.Key{ID: g.Key, Workspace: g.Workspace, Hash: g.Hash, Revision: s.revision}
	return result
}

// withdrawKey keeps the key's id, so that it can't be granted again. A key
// that is withdrawn already makes no new revision.
func (s *State) withdrawKey(h Header, w *WithdrawKey) *Result {
	k, ok := s.keys[w.Key]
	if !ok {
		return refuse(verdict.ReasonUnknownKey, "key %q is not known", w.Key)
	}
	if k.Withdrawn {
		return &Result{}
	}
	changes := []string{fmt.Sprintf("key %s of workspace %s withdrawn", k.ID, k.Workspace)}
	result := s.accept(h, changeKeyWithdraw, changes, nil)
	k.Withdrawn = true
	k.Revision = s.revision
	s.keys[k.ID] = k
	return result
}

func (s *State) setDataCentre(h Header, c *SetDataCentre) *Result {
	dc, ok := s.dcs[c.DC]
	if !ok {
		return refuse(verdict.ReasonBadRequest, "data centre %q is not declared", c.DC)
	}
	if dc.Out == c.Out {
		return &Result{}
	}
	kind, verb := changeIn, "brought back"
	if c.Out {
		kind, verb = changeOut, "taken out"
	}
	result := s.accept(h, kind, []string{fmt.Sprintf("data centre %s %s", dc.ID, verb)}, nil)
	dc.Out = c.Out
	dc.Revision = s.revision
	s.dcs[dc.ID] = dc
	for _, t := range s.declarations.Workspaces {
		s.rebalance(t.ID)
	}
	return result
}
