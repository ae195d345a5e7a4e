package fleetapi

import (
	"context"
	"net/http"
	"slices"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"kumquatwing/internal/api"
	"kumquatwing/internal/fleet"
	"kumquatwing/internal/httpx"
	"kumquatwing/internal/model"
	"kumquatwing/internal/replica"
	"kumquatwing/internal/verdict"
)

// submitter is who sent a job's call: a workspace by its key, or an operator.
type submitter struct {
	workspace model.WorkspaceID
	key       model.KeyID
}

// authenticate returns the workspace of the call's key. A key that this member
// doesn't know may have been granted a moment ago, so that it asks the group.
func (s *Server) authenticate(r *http.Request) (submitter, *verdict.Refusal) {
	text := r.Header.Get(api.HeaderKey)
	who, refusal := s.checkKey(text)
	if refusal == nil || text == "" || !s.lookups.Allow() {
		return who, refusal
	}
	if err := s.fresh(r); err != nil {
		return submitter{}, verdict.From(err)
	}
	return s.checkKey(text)
}

func (s *Server) checkKey(text string) (submitter, *verdict.Refusal) {
	var view *api.EntryView
	s.Group.View(func(replica.Status) { view = s.State.EntryView() })
	workspace, key, refusal := fleet.AuthenticateKey(view, text)
	return submitter{workspace.ID, key}, refusal
}

// authenticateAny lets operators in without a key.
func (s *Server) authenticateAny(r *http.Request) (submitter, *verdict.Refusal) {
	if r.Header.Get(api.HeaderKey) != "" {
		return s.authenticate(r)
	}
	return submitter{}, s.CheckOperator(r)
}

// submitJob accepts a job for the workspace whose key came with it.
func (s *Server) submitJob(w http.ResponseWriter, r *http.Request) {
	who, refusal := s.authenticate(r)
	if refusal != nil {
		httpx.WriteRefusal(w, refusal)
		return
	}
	var spec model.JobSpec
	if refusal := httpx.ReadJSON(r, maxCallBytes, &spec); refusal != nil {
		httpx.WriteRefusal(w, refusal)
		return
	}
	answer, err := s.submit(r.Context(), who, &spec)
	if err != nil {
		s.log.Info("job refused", zap.String("job", string(spec.ID)), zap.Error(err))
		httpx.WriteRefusal(w, err)
		return
	}
	httpx.WriteJSON(w, http.StatusOK, answer)
}

func (s *Server) submit(ctx context.Context, who submitter, spec *model.JobSpec) (*api.JobAnswer, error) {
	if spec.Workspace == "" {
		spec.Workspace = who.workspace
	}
	if spec.Workspace != who.workspace {
		return nil, verdict.Refuse(verdict.ReasonWrongWorkspace, "the key is not one of workspace %q", spec.Workspace)
	}
	if spec.ID == "" {
		spec.ID = model.JobID(uuid.NewString())
	}
	if refusal := fleet.CheckSpec(spec); refusal != nil {
		return nil, refusal
	}
	owners, refusal := s.owners(ctx, spec)
	if refusal != nil {
		return nil, refusal
	}
	result, err := s.propose(ctx, &fleet.Command{
		SubmitJob: &fleet.SubmitJob{Spec: *spec, Owners: owners, Key: who.key},
	})
	if err != nil {
		return nil, err
	}
	return &api.JobAnswer{
		Job:      spec.ID,
		DC:       result.Job.Owners[0],
		Revision: result.Revision,
		Repeat:   result.Repeat,
	}, nil
}

func (s *Server) owners(ctx context.Context, spec *model.JobSpec) ([]model.DCID, *verdict.Refusal) {
	if s.Placer != nil {
		return s.Placer.Owners(ctx, spec)
	}
	var owners []model.DCID
	var refusal *verdict.Refusal
	s.Group.View(func(replica.Status) { owners, refusal = s.State.SpreadOwners(spec) })
	return owners, refusal
}

// cancelJob asks a job's owners to end it; a workspace cancels its own jobs only.
func (s *Server) cancelJob(w http.ResponseWriter, r *http.Request) {
	who, refusal := s.authenticateAny(r)
	if refusal != nil {
		httpx.WriteRefusal(w, refusal)
		return
	}
	s.cancel(w, r, who, []model.JobID{model.JobID(chi.URLParam(r, "job"))})
}

// cancelJobs is cancelJob for many, as one command.
func (s *Server) cancelJobs(w http.ResponseWriter, r *http.Request) {
	who, refusal := s.authenticateAny(r)
	if refusal != nil {
		httpx.WriteRefusal(w, refusal)
		return
	}
	var call api.CancelCall
	if refusal := httpx.ReadJSON(r, maxCallBytes, &call); refusal != nil {
		httpx.WriteRefusal(w, refusal)
		return
	}
	if len(call.Jobs) == 0 || len(call.Jobs) > maxCancelled {
		httpx.WriteRefusal(w, verdict.Refuse(verdict.ReasonBadRequest,
			"field \"jobs\" must name 1 to %d jobs", maxCancelled))
		return
	}
	s.cancel(w, r, who, call.Jobs)
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request, who submitter, jobs []model.JobID) {
	cancel := &fleet.CancelJobs{IDs: jobs, Workspace: who.workspace, Key: who.key}
	if _, err := s.propose(r.Context(), &fleet.Command{CancelJobs: cancel}); err != nil {
		httpx.WriteRefusal(w, err)
		return
	}
	httpx.WriteJSON(w, http.StatusOK, &api.CancelAnswer{Jobs: jobs})
}

// listJobs lists the jobs that the caller may see, without their tasks.
func (s *Server) listJobs(w http.ResponseWriter, r *http.Request) {
	who, refusal := s.authenticateAny(r)
	if refusal != nil {
		httpx.WriteRefusal(w, refusal)
		return
	}
	var answer api.JobsAnswer
	ok := s.read(w, r, func(state *fleet.State) {
		jobs := state.ActiveJobs()
		if r.URL.Query().Get("finished") == "true" {
			jobs = append(state.FinishedJobs(), jobs...)
		}
		answer = listOf(jobs, who.workspace)
	})
	if ok {
		httpx.WriteJSON(w, http.StatusOK, &answer)
	}
}

// listOf lists the newest jobs of a workspace, or of all, in their order.
func listOf(jobs []*fleet.Job, workspace model.WorkspaceID) api.JobsAnswer {
	seen := slices.DeleteFunc(jobs, func(j *fleet.Job) bool { return workspace != "" && j.Spec.Workspace != workspace })
	answer := api.JobsAnswer{Jobs: []api.JobStatus{}, Left: max(0, len(seen)-maxListed)}
	for _, j := range seen[answer.Left:] {
		answer.Jobs = append(answer.Jobs, statusOf(j))
	}
	return answer
}

// showJob shows what the fleet group knows of a job.
func (s *Server) showJob(w http.ResponseWriter, r *http.Request) {
	if job, ok := s.VisibleJob(w, r); ok {
		status := statusOf(job)
		httpx.WriteJSON(w, http.StatusOK, &status)
	}
}

// VisibleJob returns the job that the path names, if the caller may see it. A
// refusal is answered and reported as false; a workspace is not told whether a job
// of another one exists.
func (s *Server) VisibleJob(w http.ResponseWriter, r *http.Request) (*fleet.Job, bool) {
	who, refusal := s.authenticateAny(r)
	if refusal != nil {
		httpx.WriteRefusal(w, refusal)
		return nil, false
	}
	id := model.JobID(chi.URLParam(r, "job"))
	var job *fleet.Job
	if !s.read(w, r, func(state *fleet.State) { job, _ = state.Job(id) }) {
		return nil, false
	}
	if job == nil || who.workspace != "" && job.Spec.Workspace != who.workspace {
		httpx.WriteRefusal(w, verdict.Refuse(verdict.ReasonUnknownJob, "job %q is not known", id))
		return nil, false
	}
	return job, true
}

func statusOf(j *fleet.Job) api.JobStatus {
	return api.JobStatus{Spec: j.Spec, DC: j.Owners[0], Outcome: j.Outcome, Reason: j.Reason}
}
