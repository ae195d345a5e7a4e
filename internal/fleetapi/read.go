package fleetapi

import (
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"

	"kumquatwing/internal/api"
	"kumquatwing/internal/fleet"
	"kumquatwing/internal/httpx"
	"kumquatwing/internal/model"
	"kumquatwing/internal/settings"
	"kumquatwing/internal/verdict"
)

// settings returns the current declarations.
func (s *Server) settings(w http.ResponseWriter, r *http.Request) {
	var answer api.SettingsAnswer
	ok := s.readState(w, r, func(state *fleet.State) {
		answer.Revision = state.Revision()
		answer.Declarations = state.Declarations()
	})
	if ok {
		httpx.WriteJSON(w, http.StatusOK, &answer)
	}
}

// explain returns the effective value and the decision of one setting, or of all
// settings if the query names none.
func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	scope := settings.Scope{
		Region:    query.Get("region"),
		DC:        model.DCID(query.Get("dc")),
		Workspace: model.WorkspaceID(query.Get("workspace")),
		Workload:  model.Workload(query.Get("workload")),
	}
	names, refusal := settingNames(settings.Name(query.Get("name")))
	if refusal != nil {
		httpx.WriteRefusal(w, refusal)
		return
	}
	var answer api.ExplainAnswer
	ok := s.readState(w, r, func(state *fleet.State) {
		answer, refusal = explainSettings(state, scope, names)
	})
	switch {
	case !ok:
	case refusal != nil:
		httpx.WriteRefusal(w, refusal)
	default:
		httpx.WriteJSON(w, http.StatusOK, &answer)
	}
}

// settingNames returns name, or the names of all settings if name is empty.
func settingNames(name settings.Name) ([]settings.Name, *verdict.Refusal) {
	var all []settings.Name
	for _, d := range settings.Definitions() {
		if d.Name == name {
			return []settings.Name{name}, nil
		}
		all = append(all, d.Name)
	}
	if name != "" {
		return nil, verdict.Refuse(verdict.ReasonBadRequest, "there is no setting %q", name)
	}
	return all, nil
}

// explainSettings looks up settings in a scope. If the scope names a data centre, the
// region is that of the data centre.
func explainSettings(state *fleet.State, scope settings.Scope, names []settings.Name) (api.ExplainAnswer, *verdict.Refusal) {
	answer := api.ExplainAnswer{Revision: state.Revision()}
	if scope.DC != "" {
		dc, ok := state.DataCentre(scope.DC)
		if !ok {
			return answer, verdict.Refuse(verdict.ReasonBadRequest, "data centre %q is not declared", scope.DC)
		}
		scope.Region = dc.Region
	}
	if _, ok := state.Workspace(scope.Workspace); scope.Workspace != "" && !ok {
		return answer, verdict.Refuse(verdict.ReasonUnknownWorkspace, "workspace %q is not declared", scope.Workspace)
	}
	if scope.Workload != "" && scope.Workspace == "" {
		return answer, verdict.Refuse(verdict.ReasonBadRequest, "a workload belongs to a workspace; name the workspace too")
	}
	for _, name := range names {
		d := state.Tree().Lookup(scope, name)
		answer.Decisions = append(answer.Decisions, d)
		answer.Lines = append(answer.Lines, d.String())
	}
	return answer, nil
}

// history lists the accepted changes.
func (s *Server) history(w http.ResponseWriter, r *http.Request) {
	var answer api.HistoryAnswer
	ok := s.readState(w, r, func(state *fleet.State) {
		answer.Revision = state.Revision()
		for _, c := range state.History() {
			answer.Changes = append(answer.Changes, apiChange(c))
		}
	})
	if ok {
		httpx.WriteJSON(w, http.StatusOK, &answer)
	}
}

func apiChange(c fleet.Change) api.Change {
	return api.Change{
		Revision: c.Revision,
		OpID:     c.OpID,
		Actor:    c.Actor,
		AtMillis: c.AtMillis,
		Kind:     c.Kind,
		Changes:  c.Changes,
		Kept:     c.Declarations != nil,
	}
}

// keys lists the keys.
func (s *Server) keys(w http.ResponseWriter, r *http.Request) {
	var answer api.KeysAnswer
	ok := s.readState(w, r, func(state *fleet.State) { answer.Keys = state.Keys() })
	if ok {
		httpx.WriteJSON(w, http.StatusOK, &answer)
	}
}

// inForce returns whether a revision is in force everywhere, and what it waits for.
func (s *Server) inForce(w http.ResponseWriter, r *http.Request) {
	revision, err := strconv.ParseUint(chi.URLParam(r, "revision"), 10, 64)
	if err != nil {
		httpx.WriteRefusal(w, verdict.Refuse(verdict.ReasonBadRequest, "revision is not a number"))
		return
	}
	if s.RolloutTracker == nil {
		httpx.WriteRefusal(w, verdict.Refuse(verdict.ReasonNotLeader, "this member doesn't know what is in force"))
		return
	}
	answer, err := s.RolloutTracker.InForce(r.Context(), revision)
	if err != nil {
		httpx.WriteRefusal(w, err)
		return
	}
	if s.readState(w, r, func(state *fleet.State) { addLimits(answer, state) }) {
		httpx.WriteJSON(w, http.StatusOK, answer)
	}
}

// addLimits adds the data centres that must still return a part of a lowered limit.
// While there are any, the revision is not in force.
func addLimits(answer *api.InForce, state *fleet.State) {
	for _, g := range state.PendingReturns(answer.Revision) {
		answer.InForce = false
		answer.Limits = append(answer.Limits, api.PendingLimit{Workspace: g.Workspace, DC: g.DC, Amount: g.Amount, Target: g.Target})
	}
}
