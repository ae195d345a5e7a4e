package fleetapi

import (
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"go.uber.org/zap"

	"kumquatwing/internal/api"
	"kumquatwing/internal/fleet"
	"kumquatwing/internal/httpx"
	"kumquatwing/internal/model"
	"kumquatwing/internal/verdict"
)

// commandHeader returns the command header for the operation of a call.
func commandHeader(o api.Operation) fleet.Header {
	expect := uint64(fleet.AnyRevision)
	if o.ExpectRevision != nil {
		expect = *o.ExpectRevision
	}
	return fleet.Header{
		OpID:           o.OpID,
		Actor:          o.Actor,
		ExpectRevision: expect,
		AtMillis:       time.Now().UnixMilli(),
	}
}

// runOperation proposes an operator's command and writes the response.
func (s *Server) runOperation(w http.ResponseWriter, r *http.Request, c *fleet.Command) {
	result, err := s.propose(r.Context(), c)
	if err != nil {
		s.log.Info("operator call refused", zap.String("op", c.Header.OpID), zap.Error(err))
		httpx.WriteRefusal(w, err)
		return
	}
	s.log.Info("operator call accepted", zap.String("op", c.Header.OpID),
		zap.String("actor", c.Header.Actor), zap.Uint64("revision", result.Revision))
	httpx.WriteJSON(w, http.StatusOK, &api.OperationAnswer{
		Revision: result.Revision,
		Changes:  result.Changes,
		Repeat:   result.Duplicate,
	})
}

// apply replaces all declarations.
func (s *Server) apply(w http.ResponseWriter, r *http.Request) {
	var call api.ApplyCall
	if refusal := httpx.ReadJSON(r, maxApplyBytes, &call); refusal != nil {
		httpx.WriteRefusal(w, refusal)
		return
	}
	if (call.Declarations == nil) == (call.FromRevision == 0) {
		httpx.WriteRefusal(w, verdict.Refuse(verdict.ReasonBadRequest,
			"one of the fields \"declarations\" and \"from_revision\" is needed"))
		return
	}
	if call.ExpectRevision == nil {
		httpx.WriteRefusal(w, verdict.Refuse(verdict.ReasonBadRequest,
			"field \"expect_revision\" is needed: an apply replaces everything"))
		return
	}
	apply := &fleet.Apply{FromRevision: call.FromRevision}
	if call.Declarations != nil {
		apply.Declarations = *call.Declarations
	}
	s.runOperation(w, r, &fleet.Command{Header: commandHeader(call.Operation), Apply: apply})
}

// grantKey grants a key to a workspace.
func (s *Server) grantKey(w http.ResponseWriter, r *http.Request) {
	var call api.KeyCall
	if refusal := httpx.ReadJSON(r, maxCallBytes, &call); refusal != nil {
		httpx.WriteRefusal(w, refusal)
		return
	}
	hash, ok := fleet.ParseHash(call.Hash)
	if !ok {
		httpx.WriteRefusal(w, verdict.Refuse(verdict.ReasonBadRequest,
			"field \"hash\" is not the base64 of a SHA-256 hash"))
		return
	}
	grant := &fleet.GrantKey{Key: call.Key, Workspace: call.Workspace, Hash: hash}
	s.runOperation(w, r, &fleet.Command{Header: commandHeader(call.Operation), GrantKey: grant})
}

// withdrawKey withdraws the key that the path names.
func (s *Server) withdrawKey(w http.ResponseWriter, r *http.Request) {
	var call api.Operation
	if refusal := httpx.ReadJSON(r, maxCallBytes, &call); refusal != nil {
		httpx.WriteRefusal(w, refusal)
		return
	}
	withdraw := &fleet.WithdrawKey{Key: model.KeyID(chi.URLParam(r, "key"))}
	s.runOperation(w, r, &fleet.Command{Header: commandHeader(call), WithdrawKey: withdraw})
}

// setDataCentre takes a data centre out of service or back into service.
func (s *Server) setDataCentre(w http.ResponseWriter, r *http.Request) {
	var call api.Operation
	if refusal := httpx.ReadJSON(r, maxCallBytes, &call); refusal != nil {
		httpx.WriteRefusal(w, refusal)
		return
	}
	action := chi.URLParam(r, "action")
	if action != "out" && action != "in" {
		httpx.WriteRefusal(w, verdict.Refuse(verdict.ReasonBadRequest, "action %q is neither out nor in", action))
		return
	}
	set := &fleet.SetDataCentre{DC: model.DCID(chi.URLParam(r, "dc")), Out: action == "out"}
	s.runOperation(w, r, &fleet.Command{Header: commandHeader(call), SetDataCentre: set})
}
