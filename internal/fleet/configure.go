package fleet

import (
	"fmt"
	"slices"

	"kumquatwing/internal/model"
	"kumquatwing/internal/settings"
	"kumquatwing/internal/verdict"
)

// Values of Change.Kind, the kinds of configuration changes.
const (
	changeApply        = "apply"
	changeKeyGrant     = "key-grant"
	changeKeyWithdraw  = "key-withdraw"
	changeOutOfService = "dc-out"
	changeInService    = "dc-in"
)

// maxKeys bounds the number of keys, revoked ones included. Revoked keys are
// kept so that no id is granted twice.
const maxKeys = 65_536

// apply replaces the declarations atomically. It makes no new revision if nothing
// differs.
func (s *State) apply(h Header, a *Apply) *Result {
	next := a.Declarations
	if a.FromRevision == 0 {
		next.Sort()
	} else {
		earlier, refusal := s.declarationsAt(a.FromRevision)
		if refusal != nil {
			return &Result{Refusal: refusal}
		}
		// The lists are shared with readers and must not be sorted in place; they
		// were sorted when they were first applied.
		next = *earlier
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
	result := s.recordChange(h, changeApply, changes, &next)
	s.install(&next)
	return result
}

// changeLines formats differences as lines of the history.
func changeLines(diffs []settings.Difference) []string {
	lines := make([]string, len(diffs))
	for i, d := range diffs {
		lines[i] = d.String()
	}
	return lines
}

// declarationsAt returns the declarations that were applied at revision, if the
// history still has them.
func (s *State) declarationsAt(revision uint64) (*settings.Declarations, *verdict.Refusal) {
	for _, change := range s.history {
		if change.Revision == revision && change.Declarations != nil {
			return change.Declarations, nil
		}
	}
	return nil, verdict.Refuse(verdict.ReasonBadRequest,
		"the history holds no tree applied at revision %d", revision)
}

// checkRemovals refuses next if it lacks a workspace or a data centre that is still
// in use.
func (s *State) checkRemovals(next *settings.Declarations) *verdict.Refusal {
	for _, w := range s.declarations.Workspaces {
		kept := slices.ContainsFunc(next.Workspaces, func(n model.Workspace) bool { return n.ID == w.ID })
		if n := s.jobs.unfinished[w.ID]; !kept && n > 0 {
			return verdict.Refuse(verdict.ReasonConflict, "workspaces.%s: can't be removed with %d jobs unfinished", w.ID, n)
		}
	}
	for _, d := range s.declarations.DataCentres {
		kept := slices.ContainsFunc(next.DataCentres, func(n settings.DataCentre) bool { return n.ID == d.ID })
		if kept {
			continue
		}
		if use := s.inUseReason(d.ID); use != "" {
			return verdict.Refuse(verdict.ReasonConflict, "data-centres.%s: can't be removed: %s", d.ID, use)
		}
	}
	return nil
}

// inUseReason returns why a data centre can't be removed, or "" if it can.
func (s *State) inUseReason(dc model.DCID) string {
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

// install makes validated declarations the current ones. The caller must have
// incremented the revision.
func (s *State) install(next *settings.Declarations) {
	s.tree = next.Tree(s.tree, s.revision)
	s.declarations = *next
	s.grantsVersion++
	s.installWorkspaces(next.Workspaces)
	s.installDataCentres(next.DataCentres)
	for _, w := range next.Workspaces {
		s.rebalance(w.ID)
	}
}

// installWorkspaces replaces the workspaces. It revokes the keys and deletes the
// grants of removed workspaces.
func (s *State) installWorkspaces(workspaces []model.Workspace) {
	old, oldLimitRevisions := s.workspaces, s.limitRevisions
	s.workspaces = make(map[model.WorkspaceID]model.Workspace, len(workspaces))
	s.limitRevisions = make(map[model.WorkspaceID]uint64, len(workspaces))
	for _, w := range workspaces {
		s.workspaces[w.ID] = w
		s.limitRevisions[w.ID] = s.revision
		if previous, ok := old[w.ID]; ok && previous.Limit == w.Limit {
			s.limitRevisions[w.ID] = oldLimitRevisions[w.ID]
		}
	}
	for id, k := range s.keys {
		if _, ok := s.workspaces[k.Workspace]; !ok && !k.Revoked {
			k.Revoked = true
			k.Revision = s.revision
			s.keys[id] = k
		}
	}
	for k := range s.grants {
		if _, ok := s.workspaces[k.workspace]; !ok {
			delete(s.grants, k)
			delete(s.overLimit, k.workspace)
		}
	}
}

// installDataCentres replaces the data centres and deletes the grants of removed
// ones. A data centre that stays keeps its Out state.
func (s *State) installDataCentres(dataCentres []settings.DataCentre) {
	dcs := make(map[model.DCID]model.DataCentre, len(dataCentres))
	for _, d := range dataCentres {
		dc, ok := s.dcs[d.ID]
		if !ok {
			dc = model.DataCentre{ID: d.ID, Revision: s.revision}
		}
		dc.Region = d.Region
		dcs[d.ID] = dc
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
	result := s.recordChange(h, changeKeyGrant, changes, nil)
	s.keys[g.Key] = model.Key{ID: g.Key, Workspace: g.Workspace, Hash: g.Hash, Revision: s.revision}
	return result
}

// withdrawKey marks a key as revoked. The key's id stays reserved, so that it
// can't be granted again. Revoking a key twice makes no new revision.
func (s *State) withdrawKey(h Header, w *WithdrawKey) *Result {
	k, ok := s.keys[w.Key]
	if !ok {
		return refuse(verdict.ReasonUnknownKey, "key %q is not known", w.Key)
	}
	if k.Revoked {
		return &Result{}
	}
	changes := []string{fmt.Sprintf("key %s of workspace %s withdrawn", k.ID, k.Workspace)}
	result := s.recordChange(h, changeKeyWithdraw, changes, nil)
	k.Revoked = true
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
	kind, verb := changeInService, "brought back"
	if c.Out {
		kind, verb = changeOutOfService, "taken out"
	}
	result := s.recordChange(h, kind, []string{fmt.Sprintf("data centre %s %s", dc.ID, verb)}, nil)
	dc.Out = c.Out
	dc.Revision = s.revision
	s.dcs[dc.ID] = dc
	for _, w := range s.declarations.Workspaces {
		s.rebalance(w.ID)
	}
	return result
}
